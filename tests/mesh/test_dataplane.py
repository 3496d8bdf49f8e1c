"""The slot queue of an endpoint, the detection of client retries, and the retry budget shared by all sidecars."""

from __future__ import annotations

import random
import unittest

from mesh.cases import params
from zinclever.mesh.attempt_outcome import AttemptOutcome
from zinclever.mesh.dataplane.retry_budget import RATIO_SHARE, RetryBudget
from zinclever.mesh.dataplane.retry_detector import RetryDetector
from zinclever.mesh.dataplane.slot_queue import QueueEntry, SlotQueue


def queue_entry(
    received_at: float = 0.0,
    latency_target_left: float = 0.6,
    deadline_left: float = 1.5,
    priority: int = 1,
    is_nested: bool = False,
    is_hedge: bool = False,
) -> QueueEntry:
    return QueueEntry(received_at, deadline_left, latency_target_left, priority, is_nested, is_hedge)


class SlotQueueTest(unittest.TestCase):
    @params(
        ("a free slot", 3, 0, {}, True),
        ("busy, a short wait", 4, 0, {}, True),
        ("busy, a long wait", 4, 8, {}, False),
        ("a nested call may wait longer", 4, 8, {"is_nested": True}, True),
        ("a hedge with idle slots", 1, 0, {"is_hedge": True}, True),
        ("a hedge when busy", 3, 0, {"is_hedge": True}, False),
        ("latency target almost passed", 4, 2, {"latency_target_left": 0.05}, False),
        ("a higher priority overtakes the queue", 4, 8, {"priority": 0}, True),
    )
    def test_admits(self, name: str, busy: int, queued: int, properties: dict[str, bool], expected: bool) -> None:
        queue = SlotQueue(4)
        queue.record_service_time(0.1)
        queue.busy = busy
        for _ in range(queued):
            queue.add(queue_entry())
        self.assertEqual(queue.admits(0.0, queue_entry(**properties)), expected, name)

    def test_order_of_service(self) -> None:
        queue = SlotQueue(1)
        past_target, low, high, nested = (
            queue_entry(-1.0),
            queue_entry(0.1, priority=2),
            queue_entry(0.2, priority=0),
            queue_entry(0.3, priority=9, is_nested=True),
        )
        for queued in (past_target, low, high, nested):
            queue.add(queued)
        order = []
        while (entry := queue.next(0.4)) is not None:
            order.append(entry)
            queue.release_slot()
        self.assertEqual(order, [nested, high, low, past_target])

    def test_never_more_running_than_slots(self) -> None:
        queue, rng, running = SlotQueue(6), random.Random(3), []
        for n in range(2000):
            queue.add(queue_entry(n * 0.01))
            while (entry := queue.next(n * 0.01)) is not None:
                running.append(entry)
            self.assertLessEqual(queue.busy, 6)
            if running and rng.random() < 0.5:
                running.pop()
                queue.release_slot()
            if queue.waiting and rng.random() < 0.5:
                queue.remove(rng.choice(queue.waiting))


class RetryDetection(unittest.TestCase):
    """Client retries are recognized by the timeout that they have left, compared with first tries."""

    def times_used(self, timeouts: list[float], step: float = 0.1) -> list[float]:
        detector = RetryDetector()
        return [round(detector.time_used(n * step, "r", t), 3) for n, t in enumerate(timeouts)]

    @params(
        ("first tries alone", [1.5, 1.499, 1.5], [0.0, 0.0, 0.0]),
        ("one retry", [1.5, 1.5, 1.35, 1.5], [0.0, 0.0, 0.15, 0.0]),
        ("half of the requests are retries", [1.5, 1.4, 1.5, 1.41, 1.5, 1.3], [0.0, 0.1, 0.0, 0.09, 0.0, 0.2]),
        (
            "nested calls that expire with their parents",
            [0.5, 0.41, 0.33, 0.47, 0.29, 0.11, 0.38],
            [0.0, 0.09, 0.17, 0.0, 0.0, 0.0, 0.0],
        ),
        ("the first request seen is a retry", [1.2, 1.5, 1.5, 1.2], [0.0, 0.0, 0.0, 0.3]),
    )
    def test_time_used_by_earlier_tries(self, name: str, timeouts: list[float], expected: list[float]) -> None:
        self.assertEqual(self.times_used(timeouts), expected, name)

    def test_shorter_timeout_of_all_clients_is_learnt(self) -> None:
        """When all clients use a shorter timeout, it is soon taken as that of first tries."""
        self.assertEqual(self.times_used([1.5] * 50 + [0.8] * 600)[-1], 0.0)

    def test_state_of_removed_routes_is_dropped(self) -> None:
        detector = RetryDetector()
        for n in range(100):
            detector.time_used(0.0, f"r{n}", 1.0)
        detector.keep_only({"r5"})
        self.assertEqual(list(detector.routes), ["r5"])


class SharedRetryBudget(unittest.TestCase):
    """The retry limit over all sidecars, which restart and don't communicate."""

    RATIO, WINDOW, SLACK = 0.2, 10.0, 60.0

    @params(3, 15, 60)
    def test_sum_over_sidecars_stays_within_the_limit(self, sidecars: int) -> None:
        rng = random.Random(sidecars)
        requests: list[float] = []
        retries: list[float] = []
        budgets = [RetryBudget(self.RATIO, self.WINDOW, self.SLACK) for _ in range(sidecars)]
        for budget in budgets:
            budget.sidecars = sidecars
        now = 0.0
        while now < 60.0:
            now += rng.expovariate(200.0)
            if 20.0 < now < 23.0 and rng.random() < 0.97:
                continue  # almost no requests
            if rng.random() < 0.001:  # a sidecar restarts with an empty budget state
                budgets[rng.randrange(sidecars)] = restarted = RetryBudget(self.RATIO, self.WINDOW, self.SLACK)
                restarted.sidecars = sidecars
            budget = budgets[int(rng.random() ** 2 * sidecars)]
            budget.on_request(now)
            requests.append(now)
            for _ in range(3):  # retries are made as often as allowed
                if budget.allows_retry(now):
                    budget.charge(now)
                    retries.append(now)
        self.assertGreater(len(retries), 0.05 * len(requests))
        for n in range(0, 500):
            start = n * 0.1
            retries_in_window = sum(start <= t < start + self.WINDOW for t in retries)
            request_windows = (start, start - self.WINDOW, start - self.WINDOW / 2)
            max_requests = max(sum(a <= t < a + self.WINDOW for t in requests) for a in request_windows)
            self.assertLessEqual(retries_in_window, self.RATIO * max_requests + self.SLACK)

    def test_refund_is_idempotent(self) -> None:
        budget = RetryBudget(0.2, 10.0, 0.0)
        for n in range(100):
            budget.on_request(n * 0.01)
        while budget.allows_retry(1.0):
            charge = budget.charge(1.0)
        budget.refund(1.0, charge)
        self.assertTrue(budget.allows_retry(1.0))
        budget.charge(1.0)
        budget.refund(1.0, charge)  # a second refund of the same charge
        self.assertFalse(budget.allows_retry(1.0))

    def test_refund_after_its_window_has_no_effect(self) -> None:
        budget = RetryBudget(0.2, 10.0, 0.0)
        for n in range(400):
            budget.on_request(n * 0.1)
        charge = budget.charge(20.0)
        budget.refund(39.9, charge)  # its window has passed
        charged = 0
        while budget.allows_retry(39.9):
            budget.charge(39.9)
            charged += 1
        self.assertEqual(charged, int(RATIO_SHARE * 0.2 * budget.requests.value(39.9)))


class Outcomes(unittest.TestCase):
    @params(
        (AttemptOutcome.NOT_EXECUTED, True),
        (AttemptOutcome.NO_CAPACITY, True),
        (AttemptOutcome.UNKNOWN, False),
        (AttemptOutcome.EXECUTED, False),
    )
    def test_outcomes_that_prove_non_execution(self, outcome: AttemptOutcome, expected: bool) -> None:
        self.assertEqual(outcome.proves_not_executed, expected)


if __name__ == "__main__":
    unittest.main()
