"""Answers to client calls: from replaced or partitioned leaders, under message loss, and to repeated changes."""

from __future__ import annotations

import math
import unittest

from mesh.cases import params
from zinclever.mesh.consensus.client_calls import (
    CALL_TIMEOUT,
    MAX_APPLIED_CALLS,
    MAX_CALL_BYTES,
    MAX_CALLS,
    ClientCalls,
    call_timeout,
    direct_answer,
)
from zinclever.mesh.consensus.messages import ChangeCall
from zinclever.mesh.model.histories import Call, Told, linearizable
from zinclever.mesh.model.members import World
from zinclever.mesh.transport.mesh_pb2 import AppliedCall, LogEntry

CALLER_TIMEOUT = 1.0  # seconds until a caller gives up and tries another replica


def started_cluster(seed: int = 1, members: int = 3) -> World:
    """A cluster with a leader, in which generation 1 was acknowledged."""
    w = World(seed, members)
    w.run(2.0)
    (ip,) = w.leaders()
    w.put(ip, 0, 1)
    w.run(0.5)
    assert list(w.acked) == [1]
    return w


def isolate(w: World, ip: str) -> None:
    """Partition a replica from all others, in both directions."""
    w.cut = {(a, b) for a in w.machines for b in w.machines if ip in (a, b) and a != b}


def told(call: Call | None) -> Told:
    assert call is not None
    return call.told


def put_until_answered(w: World, base: int, generation: int, variant: int = 0, within: float = 6.0) -> Told:
    """Send a change to the current leaders until one gives a definite answer."""
    deadline = w.now + within
    while w.now < deadline:
        for ip in w.leaders():
            call = w.put(ip, base, generation, variant)
            w.run(0.3)
            if told(call) is not Told.UNCLEAR:
                return told(call)
        w.run(0.1)
    return Told.UNCLEAR


class QueueLimits(unittest.TestCase):
    """The number and the total size of waiting calls are limited; further calls are answered 503 at once."""

    def immediate_statuses(self, count: int, size: int) -> list[int]:
        """The immediate answers to ``count`` changes with configurations of ``size`` bytes."""
        replies: list[int] = []
        calls = ClientCalls(lambda call, status, text: replies.append(status))
        for n in range(count):
            calls.change(ChangeCall(n, 0.0, 0, n + 1, b"x" * size, b"%d" % n), None)
        return replies

    def test_number_of_changes_is_limited(self) -> None:
        self.assertEqual(self.immediate_statuses(MAX_CALLS, 10), [])
        self.assertEqual(self.immediate_statuses(MAX_CALLS + 3, 10), [503] * 3)

    def test_total_size_is_limited(self) -> None:
        self.assertEqual(self.immediate_statuses(5, MAX_CALL_BYTES // 4), [503])

    def test_number_of_reads_is_limited(self) -> None:
        replies: list[int] = []
        calls = ClientCalls(lambda call, status, text: replies.append(status))
        for n in range(MAX_CALLS + 1):
            calls.read(0.0, n)
        self.assertEqual(replies, [503])


class ReplacedLeader(unittest.TestCase):
    """A leader that has been replaced without noticing must not answer from its stale state."""

    def replaced_leader(self, seed: int) -> tuple[World, str]:
        """A leader that resumes after a pause of 10 s, in which another was elected and committed generation 2."""
        w = started_cluster(seed)
        (old,) = w.leaders()
        w.pause(old)
        w.run(10.0)
        (new,) = [ip for ip in w.leaders() if ip != old]
        w.put(new, 1, 2)
        w.run(0.5)
        self.assertIn(2, w.acked)
        w.resume(old)
        self.assertIn(old, w.leaders())
        return w, old

    @params(*range(6))
    def test_change_on_a_generation_it_has_not_seen_is_not_rejected(self, seed: int) -> None:
        w, old = self.replaced_leader(seed)
        call = w.put(old, 2, 3)  # before the old leader has handled a message or a tick
        w.run(1.0)
        self.assertIsNot(told(call), Told.STALE)
        self.assertTrue(linearizable(w.history))
        self.assertIs(put_until_answered(w, 2, 3), Told.DONE)

    @params(*range(6))
    def test_generation_not_above_its_own_is_not_rejected(self, seed: int) -> None:
        w, old = self.replaced_leader(seed)
        call = w.put(old, 1, 1)
        w.run(1.0)
        self.assertIsNot(told(call), Told.NOT_ABOVE)
        self.assertTrue(linearizable(w.history))

    @params(*range(6))
    def test_calls_received_during_its_pause(self, seed: int) -> None:
        w = started_cluster(seed)
        (old,) = w.leaders()
        w.pause(old)
        w.run(4.0)
        w.put(old, 1, 3)
        w.put(old, 2, 4)
        w.get(old)
        (new,) = [ip for ip in w.leaders() if ip != old]
        w.put(new, 1, 2)
        w.run(0.5)
        w.resume(old)
        w.get(old)
        w.run(1.5)
        self.assertTrue(linearizable(w.history))

    @params(*range(6))
    def test_partitioned_leader_before_it_steps_down(self, seed: int) -> None:
        """After the election of the new leader, both replicas lead until the old one steps down."""
        w = started_cluster(seed)
        (old,) = w.leaders()
        isolate(w, old)
        calls_to_old = 0
        for generation in range(2, 100):
            w.run(0.02)
            newest = max(w.acked)
            for ip in w.leaders():
                if ip != old:
                    w.put(ip, newest, generation)
                elif newest > 1:  # the old leader only has generation 1 and could only reject this
                    w.put(old, newest, generation)
                    calls_to_old += 1
        self.assertGreater(calls_to_old, 0)
        self.assertTrue(linearizable(w.history))

    @params(*range(6))
    def test_leader_that_can_receive_but_not_send_gives_no_definite_answer(self, seed: int) -> None:
        """Messages received from the other voters must not count as confirmations."""
        w = started_cluster(seed)
        (old,) = w.leaders()
        w.cut = {(old, ip) for ip in w.machines if ip != old}
        call = w.put(old, 0, 9)
        w.run(1.0)
        self.assertIs(told(call), Told.UNCLEAR)


class Confirmations(unittest.TestCase):
    @params("all are up", "one is down")
    def test_lost_confirmation_requests_are_repeated(self, case: str) -> None:
        """With 10% message loss, calls are still answered in time."""
        unanswered = []
        for seed in range(30):
            w = started_cluster(seed)
            (ip,) = w.leaders()
            if case == "one is down":
                w.kill(next(other for other in w.machines if other != ip))
            w.loss = 0.1
            read, refusal = w.get(ip), w.put(ip, 0, 9)
            w.run(CALLER_TIMEOUT)
            if (told(read), told(refusal)) != (Told.DONE, Told.STALE):
                unanswered.append(seed)
        self.assertEqual(unanswered, [])

    def test_confirmation_of_an_earlier_round_does_not_count(self) -> None:
        """Late confirmations of a round that began before the call must not confirm it."""
        w = started_cluster()
        (old,) = w.leaders()
        replica = w.machines[old].replica
        assert replica is not None
        earlier = w.get(old)
        w.run(0.3)
        self.assertIs(told(earlier), Told.DONE)
        isolate(w, old)
        later = w.get(old)
        for disk in ("d1", "d2", "d3"):
            replica.calls.confirmations.record(disk, replica.calls.confirmations.round - 1)
        replica.answer_confirmed()
        w.carry_out(w.machines[old])
        self.assertIs(told(later), Told.UNCLEAR)
        self.assertEqual(later.ended if later else 0.0, math.inf)

    def test_confirmations_are_discarded_at_the_end_of_a_term(self) -> None:
        w = started_cluster()
        (old,) = w.leaders()
        replica = w.machines[old].replica
        assert replica is not None
        replica.calls.confirmations.record("d2", replica.calls.confirmations.begin_round())
        replica.change_role(type(replica.role).FOLLOWER, w.now)
        self.assertFalse(replica.calls.confirmations.confirmed)

    @params("get", "put", "refusal")
    def test_without_a_majority_calls_fail_before_the_caller_times_out(self, kind: str) -> None:
        w = started_cluster()
        (ip,) = w.leaders()
        isolate(w, ip)
        call = {"get": lambda: w.get(ip), "put": lambda: w.put(ip, 1, 2), "refusal": lambda: w.put(ip, 0, 2)}[kind]()
        w.run(CALL_TIMEOUT + 0.1)
        assert call is not None
        self.assertIs(call.told, Told.UNCLEAR)
        self.assertLess(call.ended - call.began, CALLER_TIMEOUT - 0.2)

    @params((0, 0.6), (32 * 1024, 0.6), (132_768, 1.6), (4_000_000, 2.5))
    def test_timeout_grows_with_configuration_size(self, size: int, want: float) -> None:
        self.assertAlmostEqual(call_timeout(size), want, places=6)


class ConcurrentAndRepeatedChanges(unittest.TestCase):
    def test_same_generation_with_different_texts(self) -> None:
        w = started_cluster()
        (ip,) = w.leaders()
        first, second = w.put(ip, 1, 5, 1), w.put(ip, 1, 5, 2)
        w.run(0.5)
        self.assertEqual((told(first), told(second)), (Told.DONE, Told.STALE))
        read = w.get(ip)
        w.run(0.5)
        self.assertEqual(read.variant if read else 0, 1)
        for variant, want in ((1, Told.DONE), (2, Told.STALE)):
            again = w.put(ip, 1, 5, variant)
            w.run(0.5)
            self.assertIs(told(again), want)
        self.assertTrue(linearizable(w.history))

    def test_same_text_with_different_generations(self) -> None:
        committed = LogEntry(generation=5, applied_calls=[AppliedCall(generation=5, base=1, digest=b"text")])
        again = direct_answer(ChangeCall(1, 0.0, 1, 5, b"text", b"text"), committed)
        other = direct_answer(ChangeCall(2, 0.0, 1, 6, b"text", b"text"), committed)
        self.assertEqual((again and again.status, other and other.status), (200, 412))
        self.assertIsNone(direct_answer(ChangeCall(3, 0.0, 5, 6, b"text", b"text"), committed))

    def test_change_received_three_times_at_once_is_committed_once(self) -> None:
        """A caller that sends a change to three replicas reaches the leader three times, as followers forward it."""
        w = started_cluster()
        (ip,) = w.leaders()
        index = w.newest().index
        calls = [w.put(ip, 1, 2) for _ in range(3)]
        w.run(0.5)
        self.assertEqual([told(c) for c in calls], [Told.DONE] * 3)
        self.assertEqual(w.newest().index, index + 1)

    def test_change_based_on_a_pending_change(self) -> None:
        w = started_cluster()
        (ip,) = w.leaders()
        calls = [w.put(ip, n, n + 1) for n in range(1, 5)]
        w.run(0.5)
        self.assertEqual([told(c) for c in calls], [Told.DONE] * 4)

    def test_change_that_lost_to_a_concurrent_one_stays_rejected(self) -> None:
        w = started_cluster()
        (ip,) = w.leaders()
        w.put(ip, 1, 2)
        w.run(0.5)
        for _ in range(3):
            self.assertIs(put_until_answered(w, 1, 3), Told.STALE)
        for base in range(2, 60):
            self.assertIs(put_until_answered(w, base, base + 1), Told.DONE)
        self.assertIs(put_until_answered(w, 1, 70), Told.STALE)

    @params(1, 50, 300)
    def test_repeated_change_after_later_changes(self, others: int) -> None:
        """An applied change is acknowledged again, or gets no definite answer once it is no longer remembered."""
        w = started_cluster()
        w.synced = 1.0
        (ip,) = w.leaders()
        for base in range(1, others + 1):
            w.put(ip, base, base + 1)
            while base + 1 not in w.acked:
                w.run(0.01)
        repeated = w.put(ip, 0, 1)
        never_applied = w.put(ip, 0, others + 7)  # its generation is above all that are no longer remembered
        w.run(0.5)
        self.assertIs(told(repeated), Told.DONE if others < MAX_APPLIED_CALLS else Told.UNCLEAR)
        self.assertIs(told(never_applied), Told.STALE)

    @params(*range(4))
    def test_repeated_change_after_a_leader_change(self, seed: int) -> None:
        w = started_cluster(seed)
        (old,) = w.leaders()
        w.answer_loss = 1.0
        w.put(old, 1, 2)
        w.run(0.01 * seed)
        w.kill(old)
        w.answer_loss = 0.0
        self.assertIs(put_until_answered(w, 1, 2), Told.DONE)
        w.start(old)
        self.assertIs(put_until_answered(w, 2, 3), Told.DONE)
        self.assertIs(put_until_answered(w, 1, 2), Told.DONE)
        self.assertTrue(linearizable(w.history))

    @params(*range(4))
    def test_repeated_change_after_a_power_failure_of_all_replicas(self, seed: int) -> None:
        w = started_cluster(seed)
        w.answer_loss = 1.0
        w.put(w.leaders()[0], 1, 2)
        w.run(0.5)
        for ip in list(w.machines):
            w.kill(ip)
        w.quiet(2.0)
        self.assertIs(put_until_answered(w, 1, 2), Told.DONE)
        self.assertIs(put_until_answered(w, 1, 3), Told.STALE)
        self.assertTrue(linearizable(w.history))


if __name__ == "__main__":
    unittest.main()
