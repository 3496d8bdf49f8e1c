"""Random valid sequences of events: the rules hold, and equal events with equal seeds give equal actions."""

from __future__ import annotations

import math
import random
from dataclasses import replace
from typing import Any

from helpers import KEYED, LIMITS, RULES, SAFE, UNSAFE, BalancerHarness, settings
from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies as st

from zinclever import interface

CLASSES = (SAFE, UNSAFE, KEYED, replace(KEYED, group="zone"), replace(KEYED, group="cell", window=90.0))
PROVEN_NOT_RUN = interface.NEVER_RAN
LISTED = [interface.ListedEndpoint(f"e{x}", zone=x % 2, cell=x // 2, size=1.0 + x % 3) for x in range(8)]
MORE: dict[str, Any] = {"warm_keys": True, "prices": interface.Prices(cross_zone=0.2), "group_size": 3}


class World:
    """A caller that keeps to the interface's contract and checks the balancer's actions against the rules."""

    def __init__(self, seed: int, event_seed: int) -> None:
        self.rng = random.Random(event_seed)
        self.s = BalancerHarness(settings(*CLASSES, **MORE), LISTED, seed)
        self.where = {x.endpoint: x for x in LISTED}
        self.leaving_since: dict[str, float] = {}
        self.deadline: dict[str, float] = {}
        self.klass: dict[str, interface.RequestClass] = {}
        self.closed: set[str] = set()
        self.sent: dict[str, list[tuple[float, str]]] = {}
        self.ended: dict[tuple[str, int], str] = {}
        self.uploading: dict[str, float] = {}
        """Requests whose bodies are being received, with the time that their clients wait after the end."""
        self.seen = len(self.s.all)

    def watch(self) -> None:
        """Check the actions since the last call."""
        for at, a in self.s.all[self.seen :]:
            if isinstance(a, interface.Send):
                self.check_send(at, a)
            elif isinstance(a, interface.Refuse | interface.Fail):
                assert a.request not in self.closed and at <= self.deadline[a.request] + RULES.answer_slack
                self.check_refusal(a)
                self.closed.add(a.request)
        self.seen = len(self.s.all)

    def may_have_run(self, r: str) -> list[tuple[float, str]]:
        """Return the sends of a request that may have run, with their instants."""
        return [x for n, x in enumerate(self.sent.get(r, [])) if self.ended.get((r, n)) not in PROVEN_NOT_RUN]

    def check_send(self, at: float, a: interface.Send) -> None:
        """Check a send against the rules on drains, attempts and repeats."""
        assert a.request not in self.closed
        assert at <= self.leaving_since.get(a.endpoint, at) + RULES.drain_grace
        before, k = self.may_have_run(a.request), self.klass[a.request]
        assert len(self.sent.setdefault(a.request, [])) < LIMITS.max_attempts
        if before and k.repeat != "idempotent":
            assert k.repeat == "deduplicated"
            assert at < before[0][0] + k.window
            old, new = self.where[before[0][1]], self.where[a.endpoint]
            assert k.group == "all" or getattr(old, k.group) == getattr(new, k.group)
        self.sent[a.request].append((at, a.endpoint))

    def check_refusal(self, a: interface.Refuse | interface.Fail) -> None:
        """Check that a refusal only promises a harmless retry where it is."""
        k = self.klass[a.request]
        if isinstance(a, interface.Refuse) and self.may_have_run(a.request):
            assert k.repeat == "idempotent" or (k.repeat == "deduplicated" and k.group == "all")

    def step(self) -> None:
        """Feed one random event."""
        choice = self.rng.random()
        if choice < 0.35:
            n, span = self.rng.randrange(len(CLASSES)), self.rng.choice([30.0, 200.0, 500.0])
            name = f"r{self.s.serial + 1}"
            self.klass[name], self.deadline[name] = CLASSES[n], self.s.now + span
            uploading = self.rng.random() < 0.3
            if uploading:
                self.uploading[name], self.deadline[name] = span, math.inf
            self.s.submit(n, span, key=self.rng.choice(["", "k1", "k2"]), uploading=uploading)
        elif choice < 0.42 and self.uploading:
            self.end_upload(self.rng.choice(sorted(self.uploading)))
        elif choice < 0.75:
            self.end_one()
        elif choice < 0.8:
            x = self.rng.choice(LISTED)
            phase: Any = self.rng.choice(["ready", "draining", "gone"])
            if phase == "ready":
                self.leaving_since.pop(x.endpoint, None)
            else:
                self.leaving_since.setdefault(x.endpoint, self.s.now)
            self.s.feed(interface.MembershipUpdate("changes", [x._replace(phase=phase)]))
        elif choice < 0.83 and self.klass:
            r = self.rng.choice(sorted(self.klass))
            if r not in self.closed:
                self.closed.add(r)
                self.s.feed(interface.RequestClosed(r))
        else:
            self.pass_time(self.rng.choice([1.0, 20.0, 80.0]))
        self.watch()

    def end_upload(self, r: str) -> None:
        """End a request's body: only now can its open attempts run."""
        self.deadline[r] = self.s.now + self.uploading.pop(r)
        if r in self.closed:
            return
        for n, (_, endpoint) in enumerate(self.sent.get(r, [])):
            if (r, n) not in self.ended:
                self.sent[r][n] = self.s.now, endpoint
        self.s.feed(interface.UploadEnded(r, self.deadline[r]))

    def end_one(self) -> None:
        """End a random open attempt."""
        sent = [(r, n) for r in sorted(self.sent) for n in range(len(self.sent[r]))]
        open_attempts = [x for x in sent if x not in self.ended]
        if not open_attempts:
            return
        r, n = self.rng.choice(open_attempts)
        outcome: Any = self.rng.choice(["served", "served", "error", "full", "connect_failed", "reset"])
        self.finish(r, n, outcome)

    def finish(self, r: str, n: int, outcome: Any) -> None:
        """End an attempt with an outcome."""
        self.ended[r, n] = outcome
        done = r in self.closed or outcome == "served"
        if done:
            self.closed.add(r)
        self.s.end(r, n, outcome, complete=done)

    def pass_time(self, span: float) -> None:
        """Advance the clock; attempts time out at their request's deadline."""
        until = self.s.now + span
        while self.s.now < until:
            self.s.wait(min(5.0, until - self.s.now))
            self.watch()
            for r in sorted(self.sent):
                for n in range(len(self.sent[r])):
                    if self.s.now >= self.deadline[r] and (r, n) not in self.ended:
                        self.finish(r, n, "timeout")
                        self.watch()

    def play(self, steps: int) -> list[tuple[float, interface.Action]]:
        """Feed a number of random events, finish all requests, and return the actions."""
        for _ in range(steps):
            self.step()
        for r in sorted(self.uploading):
            self.end_upload(r)
            self.watch()
        self.pass_time(700.0)
        assert set(self.klass) <= self.closed, "a request has no final answer"
        return self.s.all


@effort(max_examples=60, deadline=None, derandomize=True)
@given(seed=st.integers(0, 2**32), event_seed=st.integers(0, 2**32), steps=st.integers(1, 120))
def test_rules_hold_and_equal_events_give_equal_actions(seed: int, event_seed: int, steps: int) -> None:
    assert World(seed, event_seed).play(steps) == World(seed, event_seed).play(steps)
