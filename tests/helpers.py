"""A test harness: one balancer with a fake clock, and shorthands for settings and fleets."""

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
    """Return settings with the defaults of these tests."""
    given: dict[str, Any] = {"classes": classes or (SAFE,), "limits": LIMITS, "rules": RULES, "tick": 1.0}
    return Settings(**(given | more))


def fleet(n: int, **more: Any) -> list[interface.ListedEndpoint]:
    """Return ``n`` list entries named e0, e1, ..."""
    return [interface.ListedEndpoint(f"e{x}", **more) for x in range(n)]


class BalancerHarness:
    """A balancer with a fake clock. It keeps all actions with their instants, and fires the timers."""

    def __init__(self, config: Settings, listed: Iterable[interface.ListedEndpoint] = (), seed: int = 1) -> None:
        self.b = Balancer(config, seed)
        self.now = 1_000_000.0
        self.all: list[tuple[float, interface.Action]] = []
        self.timers: list[tuple[float, str]] = []
        self.serial = 0
        self.jitter = Random(3)
        self.feed(interface.MembershipUpdate("remembered", list(listed)))

    def feed(self, event: interface.Event) -> list[interface.Action]:
        """Process an event at the current instant."""
        actions = self.b.handle(self.now, event)
        self.all += [(self.now, a) for a in actions]
        self.timers += [(a.at, a.token) for a in actions if isinstance(a, interface.SetTimer)]
        return actions

    def submit(self, klass: int = 0, deadline: float = 500.0, **more: Any) -> str:
        """Send in a request and return its name."""
        self.serial += 1
        name = f"r{self.serial}"
        self.feed(interface.RequestArrived(name, klass, self.now + deadline, **more))
        return name

    def wait(self, span: float) -> None:
        """Advance the clock by ``span`` ms and fire the timers that are due on the way."""
        until = self.now + span
        while self.timers and min(self.timers)[0] <= until:
            self.timers.sort()
            at, token = self.timers.pop(0)
            self.now = max(self.now, at)
            self.feed(interface.TimerFired(token))
        self.now = until

    def sends(self, request: str | None = None) -> list[interface.Send]:
        """Return the sends of a request, or all."""
        return [a for a in self.actions_of(interface.Send) if request in (None, a.request)]

    def actions_of(self, kind: type[A]) -> list[A]:
        """Return all actions of a type."""
        return [a for _, a in self.all if isinstance(a, kind)]

    def end(
        self,
        request: str,
        attempt: int = 0,
        outcome: interface.Outcome = "served",
        complete: bool | None = None,
        elapsed: float | None = None,
    ) -> list[interface.Action]:
        """End an attempt of a request."""
        endpoint = self.sends(request)[attempt].endpoint
        if complete is None:
            complete = outcome == "served"
        sent_at = [t for t, a in self.all if isinstance(a, interface.Send) and a.request == request][attempt]
        duration = self.now - sent_at if elapsed is None else elapsed
        return self.feed(interface.AttemptEnded(request, attempt, endpoint, outcome, duration, complete))

    def final_answers(self, request: str) -> list[interface.Action]:
        """Return the final answers given to a request."""
        return [a for _, a in self.all if isinstance(a, interface.Refuse | interface.Fail) and a.request == request]

    def serve_many(self, rounds: int, concurrency: int, latency: float) -> None:
        """Serve rounds of concurrent requests, so that requests in flight affect the selection."""
        for _ in range(rounds):
            names = [self.submit() for _ in range(concurrency)]
            self.wait(latency)
            for name in names:
                if self.sends(name):
                    self.end(name)

    def serve(self, n: int, latency: float = 40.0, gap: float = 10.0) -> None:
        """Serve requests one after another, each by its first attempt in ``latency`` ms or up to 30 % more."""
        for _ in range(n):
            name = self.submit()
            self.wait(latency * self.jitter.uniform(1.0, 1.3))
            if self.sends(name):
                self.end(name)
            self.wait(max(0.0, gap - latency))
