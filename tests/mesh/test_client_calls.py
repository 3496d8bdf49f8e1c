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
from zinclever.mesh.model.histories import Call, CallOutcome, is_linearizable
from zinclever.mesh.model.members import World
from zinclever.mesh.transport.mesh_pb2 import AppliedCall, LogEntry

CALLER_TIMEOUT = 1.0  # seconds until a caller gives up and tries another replica


def started_cluster(seed: int = 1, members: int = 3) -> World:
    """A cluster with a leader, in which generation 1 was acknowledged."""
    world = World(seed, members)
    world.run(2.0)
    (ip,) = world.leaders()
    world.put(ip, 0, 1)
    world.run(0.5)
    assert list(world.acked) == [1]
    return world


def isolate(world: World, ip: str) -> None:
    """Partition a replica from all others, in both directions."""
    world.cut = {(a, b) for a in world.machines for b in world.machines if ip in (a, b) and a != b}


def outcome_of(call: Call | None) -> CallOutcome:
    assert call is not None
    return call.outcome


def put_until_answered(world: World, base: int, generation: int, variant: int = 0, within: float = 6.0) -> CallOutcome:
    """Send a change to the current leaders until one gives a definite answer."""
    deadline = world.now + within
    while world.now < deadline:
        for ip in world.leaders():
            call = world.put(ip, base, generation, variant)
            world.run(0.3)
            if outcome_of(call) is not CallOutcome.INDETERMINATE:
                return outcome_of(call)
        world.run(0.1)
    return CallOutcome.INDETERMINATE


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
        world = started_cluster(seed)
        (old,) = world.leaders()
        world.pause(old)
        world.run(10.0)
        (new,) = [ip for ip in world.leaders() if ip != old]
        world.put(new, 1, 2)
        world.run(0.5)
        self.assertIn(2, world.acked)
        world.resume(old)
        self.assertIn(old, world.leaders())
        return world, old

    @params(*range(6))
    def test_change_on_a_generation_it_has_not_seen_is_not_rejected(self, seed: int) -> None:
        world, old = self.replaced_leader(seed)
        call = world.put(old, 2, 3)  # before the old leader has handled a message or a tick
        world.run(1.0)
        self.assertIsNot(outcome_of(call), CallOutcome.STALE)
        self.assertTrue(is_linearizable(world.history))
        self.assertIs(put_until_answered(world, 2, 3), CallOutcome.DONE)

    @params(*range(6))
    def test_generation_not_above_its_own_is_not_rejected(self, seed: int) -> None:
        world, old = self.replaced_leader(seed)
        call = world.put(old, 1, 1)
        world.run(1.0)
        self.assertIsNot(outcome_of(call), CallOutcome.GENERATION_TOO_LOW)
        self.assertTrue(is_linearizable(world.history))

    @params(*range(6))
    def test_calls_received_during_its_pause(self, seed: int) -> None:
        world = started_cluster(seed)
        (old,) = world.leaders()
        world.pause(old)
        world.run(4.0)
        world.put(old, 1, 3)
        world.put(old, 2, 4)
        world.get(old)
        (new,) = [ip for ip in world.leaders() if ip != old]
        world.put(new, 1, 2)
        world.run(0.5)
        world.resume(old)
        world.get(old)
        world.run(1.5)
        self.assertTrue(is_linearizable(world.history))

    @params(*range(6))
    def test_partitioned_leader_before_it_steps_down(self, seed: int) -> None:
        """After the election of the new leader, both replicas lead until the old one steps down."""
        world = started_cluster(seed)
        (old,) = world.leaders()
        isolate(world, old)
        calls_to_old = 0
        for generation in range(2, 100):
            world.run(0.02)
            newest = max(world.acked)
            for ip in world.leaders():
                if ip != old:
                    world.put(ip, newest, generation)
                elif newest > 1:  # the old leader only has generation 1 and could only reject this
                    world.put(old, newest, generation)
                    calls_to_old += 1
        self.assertGreater(calls_to_old, 0)
        self.assertTrue(is_linearizable(world.history))

    @params(*range(6))
    def test_leader_that_can_receive_but_not_send_gives_no_definite_answer(self, seed: int) -> None:
        """Messages received from the other voters must not count as confirmations."""
        world = started_cluster(seed)
        (old,) = world.leaders()
        world.cut = {(old, ip) for ip in world.machines if ip != old}
        call = world.put(old, 0, 9)
        world.run(1.0)
        self.assertIs(outcome_of(call), CallOutcome.INDETERMINATE)


class Confirmations(unittest.TestCase):
    @params("all are up", "one is down")
    def test_lost_confirmation_requests_are_repeated(self, case: str) -> None:
        """With 10% message loss, calls are still answered in time."""
        unanswered = []
        for seed in range(30):
            world = started_cluster(seed)
            (ip,) = world.leaders()
            if case == "one is down":
                world.kill(next(other for other in world.machines if other != ip))
            world.loss = 0.1
            read, refusal = world.get(ip), world.put(ip, 0, 9)
            world.run(CALLER_TIMEOUT)
            if (outcome_of(read), outcome_of(refusal)) != (CallOutcome.DONE, CallOutcome.STALE):
                unanswered.append(seed)
        self.assertEqual(unanswered, [])

    def test_confirmation_of_an_earlier_round_does_not_count(self) -> None:
        """Late confirmations of a round that began before the call must not confirm it."""
        world = started_cluster()
        (old,) = world.leaders()
        replica = world.machines[old].replica
        assert replica is not None
        earlier = world.get(old)
        world.run(0.3)
        self.assertIs(outcome_of(earlier), CallOutcome.DONE)
        isolate(world, old)
        later = world.get(old)
        for disk in ("d1", "d2", "d3"):
            replica.calls.confirmations.record(disk, replica.calls.confirmations.round - 1)
        replica.answer_confirmed()
        world.carry_out(world.machines[old])
        self.assertIs(outcome_of(later), CallOutcome.INDETERMINATE)
        self.assertEqual(later.ended if later else 0.0, math.inf)

    def test_confirmations_are_discarded_at_the_end_of_a_term(self) -> None:
        world = started_cluster()
        (old,) = world.leaders()
        replica = world.machines[old].replica
        assert replica is not None
        replica.calls.confirmations.record("d2", replica.calls.confirmations.begin_round())
        replica.change_role(type(replica.role).FOLLOWER, world.now)
        self.assertFalse(replica.calls.confirmations.confirmed)

    @params("get", "put", "refusal")
    def test_without_a_majority_calls_fail_before_the_caller_times_out(self, kind: str) -> None:
        world = started_cluster()
        (ip,) = world.leaders()
        isolate(world, ip)
        call = {
            "get": lambda: world.get(ip),
            "put": lambda: world.put(ip, 1, 2),
            "refusal": lambda: world.put(ip, 0, 2),
        }[kind]()
        world.run(CALL_TIMEOUT + 0.1)
        assert call is not None
        self.assertIs(call.outcome, CallOutcome.INDETERMINATE)
        self.assertLess(call.ended - call.began, CALLER_TIMEOUT - 0.2)

    @params((0, 0.6), (32 * 1024, 0.6), (132_768, 1.6), (4_000_000, 2.5))
    def test_timeout_grows_with_configuration_size(self, size: int, want: float) -> None:
        self.assertAlmostEqual(call_timeout(size), want, places=6)


class ConcurrentAndRepeatedChanges(unittest.TestCase):
    def test_same_generation_with_different_texts(self) -> None:
        world = started_cluster()
        (ip,) = world.leaders()
        first, second = world.put(ip, 1, 5, 1), world.put(ip, 1, 5, 2)
        world.run(0.5)
        self.assertEqual((outcome_of(first), outcome_of(second)), (CallOutcome.DONE, CallOutcome.STALE))
        read = world.get(ip)
        world.run(0.5)
        self.assertEqual(read.variant if read else 0, 1)
        for variant, want in ((1, CallOutcome.DONE), (2, CallOutcome.STALE)):
            repetition = world.put(ip, 1, 5, variant)
            world.run(0.5)
            self.assertIs(outcome_of(repetition), want)
        self.assertTrue(is_linearizable(world.history))

    def test_same_text_with_different_generations(self) -> None:
        committed = LogEntry(generation=5, applied_calls=[AppliedCall(generation=5, base=1, digest=b"text")])
        repetition = direct_answer(ChangeCall(1, 0.0, 1, 5, b"text", b"text"), committed)
        other = direct_answer(ChangeCall(2, 0.0, 1, 6, b"text", b"text"), committed)
        self.assertEqual((repetition and repetition.status, other and other.status), (200, 412))
        self.assertIsNone(direct_answer(ChangeCall(3, 0.0, 5, 6, b"text", b"text"), committed))

    def test_change_received_three_times_at_once_is_committed_once(self) -> None:
        """A caller that sends a change to three replicas reaches the leader three times, as followers forward it."""
        world = started_cluster()
        (ip,) = world.leaders()
        index = world.newest().index
        calls = [world.put(ip, 1, 2) for _ in range(3)]
        world.run(0.5)
        self.assertEqual([outcome_of(c) for c in calls], [CallOutcome.DONE] * 3)
        self.assertEqual(world.newest().index, index + 1)

    def test_change_based_on_a_pending_change(self) -> None:
        world = started_cluster()
        (ip,) = world.leaders()
        calls = [world.put(ip, n, n + 1) for n in range(1, 5)]
        world.run(0.5)
        self.assertEqual([outcome_of(c) for c in calls], [CallOutcome.DONE] * 4)

    def test_change_that_lost_to_a_concurrent_one_stays_rejected(self) -> None:
        world = started_cluster()
        (ip,) = world.leaders()
        world.put(ip, 1, 2)
        world.run(0.5)
        for _ in range(3):
            self.assertIs(put_until_answered(world, 1, 3), CallOutcome.STALE)
        for base in range(2, 60):
            self.assertIs(put_until_answered(world, base, base + 1), CallOutcome.DONE)
        self.assertIs(put_until_answered(world, 1, 70), CallOutcome.STALE)

    @params(1, 50, 300)
    def test_repeated_change_after_later_changes(self, others: int) -> None:
        """An applied change is acknowledged again, or gets no definite answer once it is no longer remembered."""
        world = started_cluster()
        world.synced = 1.0
        (ip,) = world.leaders()
        for base in range(1, others + 1):
            world.put(ip, base, base + 1)
            while base + 1 not in world.acked:
                world.run(0.01)
        repeated = world.put(ip, 0, 1)
        never_applied = world.put(ip, 0, others + 7)  # its generation is above all that are no longer remembered
        world.run(0.5)
        self.assertIs(
            outcome_of(repeated), CallOutcome.DONE if others < MAX_APPLIED_CALLS else CallOutcome.INDETERMINATE
        )
        self.assertIs(outcome_of(never_applied), CallOutcome.STALE)

    @params(*range(4))
    def test_repeated_change_after_a_leader_change(self, seed: int) -> None:
        world = started_cluster(seed)
        (old,) = world.leaders()
        world.reply_loss = 1.0
        world.put(old, 1, 2)
        world.run(0.01 * seed)
        world.kill(old)
        world.reply_loss = 0.0
        self.assertIs(put_until_answered(world, 1, 2), CallOutcome.DONE)
        world.start(old)
        self.assertIs(put_until_answered(world, 2, 3), CallOutcome.DONE)
        self.assertIs(put_until_answered(world, 1, 2), CallOutcome.DONE)
        self.assertTrue(is_linearizable(world.history))

    @params(*range(4))
    def test_repeated_change_after_a_power_failure_of_all_replicas(self, seed: int) -> None:
        world = started_cluster(seed)
        world.reply_loss = 1.0
        world.put(world.leaders()[0], 1, 2)
        world.run(0.5)
        for ip in list(world.machines):
            world.kill(ip)
        world.quiet(2.0)
        self.assertIs(put_until_answered(world, 1, 2), CallOutcome.DONE)
        self.assertIs(put_until_answered(world, 1, 3), CallOutcome.STALE)
        self.assertTrue(is_linearizable(world.history))


if __name__ == "__main__":
    unittest.main()
