"""Fault scenarios for the balancer alone, in simulated time and without sockets.

The simulation stands in for the dispatcher (one outcome per send, an answer just before the deadline) and for the
endpoints. It writes the same log as the test doubles on sockets, for the same auditor.
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
from .log import Answered, Kind, Log, Received, SentRequest

DEADLINE_MARGIN = 15.0  # ms by which the deadline given to the balancer is earlier than the client's
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
    ended: bool = False


class Simulation:
    """One balancer with its endpoints and clients, driven by a seed."""

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
        self.events: list[tuple[float, int, Any]] = []
        self.serial = itertools.count()
        self.open: dict[str, interface.RequestClass] = {}
        """Classes of the requests without a final answer."""
        self.classes: dict[str, interface.RequestClass] = {}
        """Classes of all requests."""
        self.attempts: dict[str, list[_Attempt]] = {}
        self.feed(interface.MembershipUpdate("whole", list(endpoints)))

    def at(self, when: float, callback: Any) -> None:
        """Schedules a callback at ``when``, in ms."""
        heapq.heappush(self.events, (when, next(self.serial), callback))

    def run(self, requests: int, rate: float) -> Log:
        """Sends ``requests`` requests at a mean rate per second and runs until all events have been handled."""
        when = self.now
        for n in range(requests):
            when += self.rng.expovariate(rate / 1000.0)
            klass = self.rng.randrange(len(self.settings.classes))
            self.at(when, lambda n=n, klass=klass: self.submit(f"r{n}", klass))
        while self.events:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        return self.log

    def submit(self, name: str, klass: int) -> None:
        """Sends a request of the class with index ``klass``."""
        request_class = self.settings.classes[klass]
        group = request_class.group if request_class.group != "cell" else "zone"
        self.log.sent_requests.append(
            SentRequest(self.now, name, request_class.repeat, request_class.deadline, name, group, request_class.window)
        )
        self.open[name] = self.classes[name] = request_class
        self.attempts[name] = []
        self.at(self.now + request_class.deadline - DEADLINE_MARGIN / 2, lambda: self.guard(name))
        self.feed(interface.RequestArrived(name, klass, self.now + request_class.deadline - DEADLINE_MARGIN, key=name))

    def guard(self, name: str) -> None:
        """Fails a request that is still open shortly before its deadline."""
        if name in self.open:
            self.answer(name, "failed")
            self.feed(interface.RequestClosed(name))

    def answer(self, name: str, kind: Kind, execution_id: str = "") -> None:
        """Logs the final answer of a request, unless it already has one."""
        if self.open.pop(name, None) is not None:
            self.log.answered.append(Answered(self.now, name, kind, execution_id))

    # --- actions ---

    def feed(self, event: interface.Event) -> None:
        """Passes an event to the balancer and carries out its actions."""
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
        """Starts an attempt and draws its fault and its duration."""
        attempts = self.attempts[action.request]
        attempt = _Attempt(action.request, len(attempts), action.endpoint, self.now)
        attempts.append(attempt)
        if action.request not in self.open or len(attempts) > self.settings.limits.max_attempts:
            self.at(self.now, lambda: self.end(attempt, "not_sent"))
            return
        faults = list(self.shares)
        weights = [self.shares[f] for f in faults]
        fault = self.rng.choices([Fault.NONE, *faults], [1.0 - sum(weights), *weights])[0]
        duration = self.rng.random() * 60.0
        self.at(action.expires_at or self.now, lambda: self.end(attempt, "timeout"))
        self.at(self.now + duration / 2, lambda: self.receive(attempt, fault, duration / 2))

    def receive(self, attempt: _Attempt, fault: Fault, remaining: float) -> None:
        """Delivers an attempt to its endpoint, even if the client has given it up meanwhile."""
        executed = fault not in UNDONE
        execution_id = f"{attempt.request}.{attempt.number}" if executed else ""
        klass = self.classes[attempt.request]
        zone, cell = self.zones[attempt.endpoint]
        self.log.received.append(
            Received(
                attempt.sent_at,
                self.now,
                attempt.request,
                attempt.endpoint,
                cell if klass.group == "cell" else zone,
                executed,
                fault is Fault.DECLINE,
                execution_id,
            )
        )
        if (outcome := OUTCOMES.get(fault)) is not None:
            self.at(self.now + remaining, lambda: self.end(attempt, outcome, execution_id))

    def end(self, attempt: _Attempt, outcome: interface.Outcome, execution_id: str = "") -> None:
        """Ends an attempt, unless it has ended, and reports its outcome to the balancer."""
        if attempt.ended:
            return
        attempt.ended = True
        if outcome == "served":
            self.answer(attempt.request, "served", execution_id)
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
