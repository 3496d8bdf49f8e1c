"""Days of faults for the decision module alone: no sockets, a clock of its own, many days a second.

It plays the ledger's part (one outcome a send, the guard before the deadline) and the endpoints', and writes the
same log as the stand-ins, which the same auditor judges.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from zinclever import Balancer, interface

from .faults import UNDONE, Fault
from .log import Answered, Asked, Kind, Log, Received

EARLY = 15.0  # ms before the deadline that the module is told
OUTCOMES: Mapping[Fault, interface.Outcome] = {
    Fault.NONE: "served",
    Fault.BEYOND: "served",
    Fault.DECLINE: "full",
    Fault.ERROR: "error",
    Fault.SPOILT: "reset",
    Fault.BREAK_AT: "reset",
    Fault.BREAK_BEFORE: "reset",
}


@dataclass(slots=True)
class _Attempt:
    request: str
    number: int
    endpoint: str
    sent_at: float
    over: bool = False


class Simulation:
    """One balancer, its endpoints and its clients, from a seed."""

    def __init__(
        self,
        settings: interface.Settings,
        endpoints: Sequence[interface.ListedEndpoint],
        shares: Mapping[Fault, float],
        seed: int,
        make: Callable[[interface.Settings, int], Balancer] = Balancer,
    ) -> None:
        self.settings, self.shares, self.rng = settings, shares, Random(seed)
        self.balancer = make(settings, seed)
        self.zones = {e.endpoint: (str(e.zone), str(e.cell)) for e in endpoints}
        self.now = 1_000_000.0
        self.log = Log(lambda: self.now)
        self.due: list[tuple[float, int, Any]] = []
        self.serial = itertools.count()
        self.open: dict[str, interface.RequestClass] = {}
        self.classes: dict[str, interface.RequestClass] = {}
        self.attempts: dict[str, list[_Attempt]] = {}
        self.feed(interface.MembershipUpdate("whole", list(endpoints)))

    def at(self, when: float, act: Any) -> None:
        heapq.heappush(self.due, (when, next(self.serial), act))

    def run(self, requests: int, rate: float) -> Log:
        """So many requests, ``rate`` of them a second; then on until everything has ended."""
        when = self.now
        for n in range(requests):
            when += self.rng.expovariate(rate / 1000.0)
            klass = self.rng.randrange(len(self.settings.classes))
            self.at(when, lambda n=n, klass=klass: self.ask(f"r{n}", klass))
        while self.due:
            self.now, _, act = heapq.heappop(self.due)
            act()
        return self.log

    def ask(self, name: str, klass: int) -> None:
        told = self.settings.classes[klass]
        group = told.group if told.group != "cell" else "zone"
        self.log.asked.append(Asked(self.now, name, told.repeat, told.deadline, name, group, told.window))
        self.open[name] = self.classes[name] = told
        self.attempts[name] = []
        self.at(self.now + told.deadline - EARLY / 2, lambda: self.guard(name))
        self.feed(interface.RequestArrived(name, klass, self.now + told.deadline - EARLY, key=name))

    def guard(self, name: str) -> None:
        if name in self.open:
            self.answer(name, "failed")
            self.feed(interface.RequestClosed(name))

    def answer(self, name: str, kind: Kind, made: str = "") -> None:
        if self.open.pop(name, None) is not None:
            self.log.answered.append(Answered(self.now, name, kind, made))

    # --- actions ---

    def feed(self, event: interface.Event) -> None:
        for action in self.balancer.handle(self.now, event):
            match action:
                case interface.Send():
                    self.send(action)
                case interface.Cancel():
                    self.end(self.attempts[action.request][action.attempt], "cancelled")
                case interface.Refuse():
                    self.answer(action.request, "refused")
                case interface.Fail():
                    self.answer(action.request, "failed")
                case interface.SetTimer():
                    self.at(max(action.at, self.now), lambda token=action.token: self.feed(interface.TimerFired(token)))

    def send(self, action: interface.Send) -> None:
        tried = self.attempts[action.request]
        attempt = _Attempt(action.request, len(tried), action.endpoint, self.now)
        tried.append(attempt)
        if action.request not in self.open or len(tried) > self.settings.limits.max_attempts:
            self.at(self.now, lambda: self.end(attempt, "not_sent"))
            return
        faults = list(self.shares)
        weights = [self.shares[f] for f in faults]
        fault = self.rng.choices([Fault.NONE, *faults], [1.0 - sum(weights), *weights])[0]
        took = self.rng.random() * 60.0
        self.at(action.expires_at or self.now, lambda: self.end(attempt, "timeout"))
        self.at(self.now + took / 2, lambda: self.receive(attempt, fault, took / 2))

    def receive(self, attempt: _Attempt, fault: Fault, left: float) -> None:
        """It has reached its endpoint, also where it has been given up meanwhile."""
        ran = fault not in UNDONE
        made = f"{attempt.request}.{attempt.number}" if ran else ""
        klass = self.classes[attempt.request]
        zone, cell = self.zones[attempt.endpoint]
        self.log.received.append(
            Received(
                attempt.sent_at,
                self.now,
                attempt.request,
                attempt.endpoint,
                cell if klass.group == "cell" else zone,
                ran,
                fault is Fault.DECLINE,
                made,
            )
        )
        if (outcome := OUTCOMES.get(fault)) is not None:
            self.at(self.now + left, lambda: self.end(attempt, outcome, made))

    def end(self, attempt: _Attempt, outcome: interface.Outcome, made: str = "") -> None:
        if attempt.over:
            return
        attempt.over = True
        if outcome == "served":
            self.answer(attempt.request, "served", made)
        self.feed(
            interface.AttemptEnded(
                attempt.request,
                attempt.number,
                attempt.endpoint,
                outcome,
                self.now - attempt.sent_at,
                attempt.request not in self.open,
            )
        )
