"""A fake clock and short names around one balancer."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from random import Random
from typing import Any, TypeVar

from zinclever import Balancer, Settings, interface

A = TypeVar("A")

SAFE = interface.RequestClass(aim=200.0, deadline=500.0, value=2.0, repeat="idempotent")
UNSAFE = replace(SAFE, repeat="at_most_once", window=1000.0)
KEYED = replace(SAFE, repeat="deduplicated", window=1000.0)
LIMITS = interface.Limits(max_attempts=4, cancel=True, second_copies=True, connect_timeout=100.0)
RULES = interface.Rules(
    answer_slack=20.0,
    ask_within=10000.0,
    drain_grace=500.0,
    cold_share=0.2,
    cold_for=10000.0,
    overload_factor=3.0,
    overload_for=2000.0,
)


def settings(*classes: interface.RequestClass, **more: Any) -> Settings:
    given: dict[str, Any] = {"classes": classes or (SAFE,), "limits": LIMITS, "rules": RULES, "tick": 1.0}
    return Settings(**(given | more))


def fleet(n: int, **more: Any) -> list[interface.ListedEndpoint]:
    return [interface.ListedEndpoint(f"e{x}", **more) for x in range(n)]


class BalancerHarness:
    """One balancer, its clock, and the actions of the latest event."""

    def __init__(self, told: Settings, listed: Iterable[interface.ListedEndpoint] = (), seed: int = 1) -> None:
        self.b = Balancer(told, seed)
        self.now = 1_000_000.0
        self.all: list[tuple[float, interface.Action]] = []
        self.timers: list[tuple[float, str]] = []
        self.serial = 0
        self.jitter = Random(3)
        self.feed(interface.MembershipUpdate("remembered", list(listed)))

    def feed(self, event: interface.Event) -> list[interface.Action]:
        out = self.b.handle(self.now, event)
        self.all += [(self.now, a) for a in out]
        self.timers += [(a.at, a.token) for a in out if isinstance(a, interface.SetTimer)]
        return out

    def ask(self, klass: int = 0, deadline: float = 500.0, **more: Any) -> str:
        self.serial += 1
        name = f"r{self.serial}"
        self.feed(interface.RequestArrived(name, klass, self.now + deadline, **more))
        return name

    def wait(self, span: float) -> None:
        """Let time pass, with the timers due in it."""
        until = self.now + span
        while self.timers and min(self.timers)[0] <= until:
            self.timers.sort()
            at, token = self.timers.pop(0)
            self.now = max(self.now, at)
            self.feed(interface.TimerFired(token))
        self.now = until

    def sends(self, request: str | None = None) -> list[interface.Send]:
        return [a for a in self.of(interface.Send) if request in (None, a.request)]

    def of(self, kind: type[A]) -> list[A]:
        return [a for _, a in self.all if isinstance(a, kind)]

    def end(
        self,
        request: str,
        attempt: int = 0,
        outcome: interface.Outcome = "served",
        complete: bool | None = None,
        elapsed: float | None = None,
    ) -> list[interface.Action]:
        where = self.sends(request)[attempt].endpoint
        if complete is None:
            complete = outcome == "served"
        sent = [t for t, a in self.all if isinstance(a, interface.Send) and a.request == request][attempt]
        took = self.now - sent if elapsed is None else elapsed
        return self.feed(interface.AttemptEnded(request, attempt, where, outcome, took, complete))

    def finals(self, request: str) -> list[interface.Action]:
        return [a for _, a in self.all if isinstance(a, interface.Refuse | interface.Fail) and a.request == request]

    def serve_many(self, rounds: int, at_once: int, took: float) -> None:
        """Traffic that overlaps, so that requests in flight weigh in the draw."""
        for _ in range(rounds):
            names = [self.ask() for _ in range(at_once)]
            self.wait(took)
            for name in names:
                if self.sends(name):
                    self.end(name)

    def serve(self, n: int, took: float = 40.0, gap: float = 10.0) -> None:
        """Plain traffic, each request answered by its first attempt, in ``took`` or a little more."""
        for _ in range(n):
            name = self.ask()
            self.wait(took * self.jitter.uniform(1.0, 1.3))
            if self.sends(name):
                self.end(name)
            self.wait(max(0.0, gap - took))
