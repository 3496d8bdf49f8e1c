"""Turns at an endpoint, and the budget that all sidecars share."""

from __future__ import annotations

import random
import unittest

from mesh.cases import params
from zinclever.mesh.attempt_outcome import AttemptOutcome
from zinclever.mesh.dataplane.retry_budget import RATIO_SHARE, RetryBudget
from zinclever.mesh.dataplane.retry_detector import RetryDetector
from zinclever.mesh.dataplane.slot_queue import QueueEntry, SlotQueue


def waiting(
    since: float = 0.0, aim: float = 0.6, left: float = 1.5, priority: int = 1, inner: bool = False, copy: bool = False
) -> QueueEntry:
    return QueueEntry(since, left, aim, priority, inner, copy)


class Turns(unittest.TestCase):
    @params(
        ("room", 3, 0, {}, True),
        ("full, a short wait", 4, 0, {}, True),
        ("full, a long wait", 4, 8, {}, False),
        ("an inner call waits for longer", 4, 8, {"inner": True}, True),
        ("a copy on an idle slot", 1, 0, {"copy": True}, True),
        ("a copy where it is busy", 3, 0, {"copy": True}, False),
        ("little of its aim is left", 4, 2, {"aim": 0.05}, False),
        ("a higher rank passes those that wait", 4, 8, {"priority": 0}, True),
    )
    def test_admits(self, name: str, busy: int, queued: int, told: dict[str, bool], want: bool) -> None:
        q = SlotQueue(4)
        q.record_service_time(0.1)
        q.busy = busy
        for _ in range(queued):
            q.add(waiting())
        self.assertEqual(q.admits(0.0, waiting(**told)), want, name)

    def test_order_of_turns(self) -> None:
        q = SlotQueue(1)
        late, low, high, inner = (
            waiting(-1.0),
            waiting(0.1, priority=2),
            waiting(0.2, priority=0),
            waiting(0.3, priority=9, inner=True),
        )
        for w in (late, low, high, inner):
            q.add(w)
        seen = []
        while (turn := q.next(0.4)) is not None:
            seen.append(turn)
            q.release_slot()
        self.assertEqual(seen, [inner, high, low, late])

    def test_never_more_than_its_slots(self) -> None:
        q, rng, out = SlotQueue(6), random.Random(3), []
        for n in range(2000):
            q.add(waiting(n * 0.01))
            while (turn := q.next(n * 0.01)) is not None:
                out.append(turn)
            self.assertLessEqual(q.busy, 6)
            if out and rng.random() < 0.5:
                out.pop()
                q.release_slot()
            if q.waiting and rng.random() < 0.5:
                q.remove(rng.choice(q.waiting))


class Returned(unittest.TestCase):
    """Further tries are told from first ones by what is left of their clients' time."""

    def told(self, times: list[float], step: float = 0.1) -> list[float]:
        made = RetryDetector()
        return [round(made.time_used(n * step, "r", t), 3) for n, t in enumerate(times)]

    @params(
        ("first tries alone", [1.5, 1.499, 1.5], [0.0, 0.0, 0.0]),
        ("one that comes again", [1.5, 1.5, 1.35, 1.5], [0.0, 0.0, 0.15, 0.0]),
        ("half of them come again", [1.5, 1.4, 1.5, 1.41, 1.5, 1.3], [0.0, 0.1, 0.0, 0.09, 0.0, 0.2]),
        (
            "calls that end with their parents'",
            [0.5, 0.41, 0.33, 0.47, 0.29, 0.11, 0.38],
            [0.0, 0.09, 0.17, 0.0, 0.0, 0.0, 0.0],
        ),
        ("the first that is seen came again", [1.2, 1.5, 1.5, 1.2], [0.0, 0.0, 0.0, 0.3]),
    )
    def test_used(self, name: str, times: list[float], want: list[float]) -> None:
        self.assertEqual(self.told(times), want, name)

    def test_a_shorter_time_is_learnt(self) -> None:
        """Clients of a new version wait for less: after a while that is no sign of anything."""
        self.assertEqual(self.told([1.5] * 50 + [0.8] * 600)[-1], 0.0)

    def test_only_what_there_is_is_kept(self) -> None:
        made = RetryDetector()
        for n in range(100):
            made.time_used(0.0, f"r{n}", 1.0)
        made.keep_only({"r5"})
        self.assertEqual(list(made.routes), ["r5"])


class Budget(unittest.TestCase):
    """The rule's own words, over sidecars that come and go: none is asked about another."""

    RATIO, WINDOW, SLACK = 0.2, 10.0, 60.0

    @params(3, 15, 60)
    def test_the_sum_stays_under_the_rule(self, sidecars: int) -> None:
        rng = random.Random(sidecars)
        asked: list[float] = []
        further: list[float] = []
        parts = [RetryBudget(self.RATIO, self.WINDOW, self.SLACK) for _ in range(sidecars)]
        for part in parts:
            part.sidecars = sidecars
        now = 0.0
        while now < 60.0:
            now += rng.expovariate(200.0)
            if 20.0 < now < 23.0 and rng.random() < 0.97:
                continue  # hardly anything is asked
            if rng.random() < 0.001:  # one is started anew, and knows nothing of what it spent
                parts[rng.randrange(sidecars)] = made = RetryBudget(self.RATIO, self.WINDOW, self.SLACK)
                made.sidecars = sidecars
            part = parts[int(rng.random() ** 2 * sidecars)]
            part.on_request(now)
            asked.append(now)
            for _ in range(3):  # everything is tried again, as often as it may
                if part.allows_retry(now):
                    part.charge(now)
                    further.append(now)
        self.assertGreater(len(further), 0.05 * len(asked))
        for n in range(0, 500):
            at = n * 0.1
            used = sum(at <= t < at + self.WINDOW for t in further)
            begins = (at, at - self.WINDOW, at - self.WINDOW / 2)
            most = max(sum(a <= t < a + self.WINDOW for t in asked) for a in begins)
            self.assertLessEqual(used, self.RATIO * most + self.SLACK)

    def test_what_reached_nobody_is_given_back(self) -> None:
        part = RetryBudget(0.2, 10.0, 0.0)
        for n in range(100):
            part.on_request(n * 0.01)
        while part.allows_retry(1.0):
            spent = part.charge(1.0)
        part.refund(1.0, spent)
        self.assertTrue(part.allows_retry(1.0))
        part.charge(1.0)
        part.refund(1.0, spent)  # the same one again
        self.assertFalse(part.allows_retry(1.0))

    def test_a_refund_lowers_no_window_that_does_not_hold_the_try(self) -> None:
        part = RetryBudget(0.2, 10.0, 0.0)
        for n in range(400):
            part.on_request(n * 0.1)
        early = part.charge(20.0)
        part.refund(39.9, early)  # its window is over
        spent = 0
        while part.allows_retry(39.9):
            part.charge(39.9)
            spent += 1
        self.assertEqual(spent, int(RATIO_SHARE * 0.2 * part.requests.value(39.9)))


class Verdicts(unittest.TestCase):
    @params(
        (AttemptOutcome.NOT_EXECUTED, True),
        (AttemptOutcome.NO_CAPACITY, True),
        (AttemptOutcome.UNKNOWN, False),
        (AttemptOutcome.EXECUTED, False),
    )
    def test_what_proves_that_nothing_ran(self, verdict: AttemptOutcome, want: bool) -> None:
        self.assertEqual(verdict.proves_not_executed, want)


if __name__ == "__main__":
    unittest.main()
