"""The calls of operators: what they are told by a leader that was replaced, cut off or unlucky, and what a change that
is sent again is told."""

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
from zinclever.mesh.model.histories import Call, Told, is_linearizable
from zinclever.mesh.model.members import World
from zinclever.mesh.transport.mesh_pb2 import AppliedCall, LogEntry

CALLER_TIMEOUT = 1.0  # s of silence after which an operator goes on to another member


def up(seed: int = 1, members: int = 3) -> World:
    """A world with a leader, in which version 1 was acknowledged."""
    w = World(seed, members)
    w.run(2.0)
    (ip,) = w.leaders()
    w.put(ip, 0, 1)
    w.run(0.5)
    assert list(w.acked) == [1]
    return w


def isolate(w: World, ip: str) -> None:
    """Cut a machine off, both ways."""
    w.cut = {(a, b) for a in w.machines for b in w.machines if ip in (a, b) and a != b}


def told(call: Call | None) -> Told:
    assert call is not None
    return call.told


def put_until_told(w: World, base: int, generation: int, variant: int = 0, within: float = 6.0) -> Told:
    """An operator that sends a change to whoever leads until it has a clear answer."""
    until = w.now + within
    while w.now < until:
        for ip in w.leaders():
            call = w.put(ip, base, generation, variant)
            w.run(0.3)
            if told(call) is not Told.INDETERMINATE:
                return told(call)
        w.run(0.1)
    return Told.INDETERMINATE


class Bounded(unittest.TestCase):
    """What waits at a leader is bounded, in calls and in bytes: what is more has no clear answer at once."""

    def asked(self, count: int, size: int) -> list[int]:
        """The statuses that calls got at once, of so many with configurations of so many bytes."""
        replies: list[int] = []
        calls = ClientCalls(lambda call, status, text: replies.append(status))
        for n in range(count):
            calls.change(ChangeCall(n, 0.0, 0, n + 1, b"x" * size, b"%d" % n), None)
        return replies

    def test_calls(self) -> None:
        self.assertEqual(self.asked(MAX_CALLS, 10), [])
        self.assertEqual(self.asked(MAX_CALLS + 3, 10), [503] * 3)

    def test_bytes(self) -> None:
        self.assertEqual(self.asked(5, MAX_CALL_BYTES // 4), [503])

    def test_reads(self) -> None:
        replies: list[int] = []
        calls = ClientCalls(lambda call, status, text: replies.append(status))
        for n in range(MAX_CALLS + 1):
            calls.read(0.0, n)
        self.assertEqual(replies, [503])


class ReplacedLeader(unittest.TestCase):
    """A leader that doesn't know yet that it was replaced states nothing."""

    def replaced(self, seed: int) -> tuple[World, str]:
        """A leader stood still for 10 s. Another was elected, and version 2 acknowledged. It runs again."""
        w = up(seed)
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
    def test_on_top_of_a_version_that_it_does_not_know(self, seed: int) -> None:
        w, old = self.replaced(seed)
        call = w.put(old, 2, 3)  # at the first instant: before a message, before a turn
        w.run(1.0)
        self.assertIsNot(told(call), Told.STALE)
        self.assertTrue(is_linearizable(w.history))
        self.assertIs(put_until_told(w, 2, 3), Told.DONE)

    @params(*range(6))
    def test_a_number_that_is_not_above_the_one_that_it_knows(self, seed: int) -> None:
        w, old = self.replaced(seed)
        call = w.put(old, 1, 1)
        w.run(1.0)
        self.assertIsNot(told(call), Told.GENERATION_TOO_LOW)
        self.assertTrue(is_linearizable(w.history))

    @params(*range(6))
    def test_calls_that_came_while_it_stood_still(self, seed: int) -> None:
        w = up(seed)
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
        self.assertTrue(is_linearizable(w.history))

    @params(*range(6))
    def test_cut_off_both_ways(self, seed: int) -> None:
        """Between the election of the next leader and its own stepping down two lead."""
        w = up(seed)
        (old,) = w.leaders()
        isolate(w, old)
        asked = 0
        for generation in range(2, 100):
            w.run(0.02)
            newest = max(w.acked)
            for ip in w.leaders():
                if ip != old:
                    w.put(ip, newest, generation)
                elif newest > 1:  # one that it could only refuse: it knows of version 1
                    w.put(old, newest, generation)
                    asked += 1
        self.assertGreater(asked, 0)
        self.assertTrue(is_linearizable(w.history))

    @params(*range(6))
    def test_refusals_of_a_leader_that_nobody_hears(self, seed: int) -> None:
        """It hears the others and is not heard: no answer of theirs is one to its question."""
        w = up(seed)
        (old,) = w.leaders()
        w.cut = {(old, ip) for ip in w.machines if ip != old}
        call = w.put(old, 0, 9)
        w.run(1.0)
        self.assertIs(told(call), Told.INDETERMINATE)


class Confirmations(unittest.TestCase):
    @params("all are up", "one is lost")
    def test_messages_that_are_lost(self, case: str) -> None:
        """A tenth of the messages is lost: the leader asks again those that have not answered."""
        unanswered = []
        for seed in range(30):
            w = up(seed)
            (ip,) = w.leaders()
            if case == "one is lost":
                w.kill(next(other for other in w.machines if other != ip))
            w.loss = 0.1
            read, refusal = w.get(ip), w.put(ip, 0, 9)
            w.run(CALLER_TIMEOUT)
            if (told(read), told(refusal)) != (Told.DONE, Told.STALE):
                unanswered.append(seed)
        self.assertEqual(unanswered, [])

    def test_one_that_began_before_the_call_is_none(self) -> None:
        """The questions of an earlier call are answered late: they say nothing for a later one."""
        w = up()
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
        self.assertIs(told(later), Told.INDETERMINATE)
        self.assertEqual(later.ended if later else 0.0, math.inf)

    def test_those_of_an_earlier_term_are_none(self) -> None:
        w = up()
        (old,) = w.leaders()
        replica = w.machines[old].replica
        assert replica is not None
        replica.calls.confirmations.record("d2", replica.calls.confirmations.begin())
        replica.change_role(type(replica.role).FOLLOWER, w.now)
        self.assertFalse(replica.calls.confirmations.confirmed)

    @params("get", "put", "refusal")
    def test_without_a_majority_the_caller_can_go_on_soon(self, kind: str) -> None:
        w = up()
        (ip,) = w.leaders()
        isolate(w, ip)
        call = {"get": lambda: w.get(ip), "put": lambda: w.put(ip, 1, 2), "refusal": lambda: w.put(ip, 0, 2)}[kind]()
        w.run(CALL_TIMEOUT + 0.1)
        assert call is not None
        self.assertIs(call.told, Told.INDETERMINATE)
        self.assertLess(call.ended - call.began, CALLER_TIMEOUT - 0.2)

    @params((0, 0.6), (32 * 1024, 0.6), (132_768, 1.6), (4_000_000, 2.5))
    def test_larger_configurations_may_take_longer(self, size: int, want: float) -> None:
        self.assertAlmostEqual(call_timeout(size), want, places=6)


class TwoOperators(unittest.TestCase):
    def test_one_number_with_two_texts(self) -> None:
        w = up()
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
        self.assertTrue(is_linearizable(w.history))

    def test_one_text_under_two_numbers(self) -> None:
        committed = LogEntry(generation=5, applied_calls=[AppliedCall(generation=5, base=1, digest=b"text")])
        again = direct_answer(ChangeCall(1, 0.0, 1, 5, b"text", b"text"), committed)
        other = direct_answer(ChangeCall(2, 0.0, 1, 6, b"text", b"text"), committed)
        self.assertEqual((again and again.status, other and other.status), (200, 412))
        self.assertIsNone(direct_answer(ChangeCall(3, 0.0, 5, 6, b"text", b"text"), committed))

    def test_sent_at_once_to_three_members(self) -> None:
        """Two of them hand it on to the leader: it comes there three times."""
        w = up()
        (ip,) = w.leaders()
        number = w.newest().index
        calls = [w.put(ip, 1, 2) for _ in range(3)]
        w.run(0.5)
        self.assertEqual([told(c) for c in calls], [Told.DONE] * 3)
        self.assertEqual(w.newest().index, number + 1)

    def test_one_that_builds_on_one_under_way(self) -> None:
        w = up()
        (ip,) = w.leaders()
        calls = [w.put(ip, n, n + 1) for n in range(1, 5)]
        w.run(0.5)
        self.assertEqual([told(c) for c in calls], [Told.DONE] * 4)

    def test_one_that_lost_its_race_stays_refused(self) -> None:
        w = up()
        (ip,) = w.leaders()
        w.put(ip, 1, 2)
        w.run(0.5)
        for _ in range(3):
            self.assertIs(put_until_told(w, 1, 3), Told.STALE)
        for base in range(2, 60):
            self.assertIs(put_until_told(w, base, base + 1), Told.DONE)
        self.assertIs(put_until_told(w, 1, 70), Told.STALE)

    @params(1, 50, 300)
    def test_again_after_other_changes(self, others: int) -> None:
        """One that was taken is acknowledged again, or has no clear answer once it is forgotten."""
        w = up()
        w.synced = 1.0
        (ip,) = w.leaders()
        for base in range(1, others + 1):
            w.put(ip, base, base + 1)
            while base + 1 not in w.acked:
                w.run(0.01)
        again = w.put(ip, 0, 1)
        lost = w.put(ip, 0, others + 7)  # never taken: its number is above all that are forgotten
        w.run(0.5)
        self.assertIs(told(again), Told.DONE if others < MAX_APPLIED_CALLS else Told.INDETERMINATE)
        self.assertIs(told(lost), Told.STALE)

    @params(*range(4))
    def test_again_across_a_change_of_leader(self, seed: int) -> None:
        w = up(seed)
        (old,) = w.leaders()
        w.reply_loss = 1.0
        w.put(old, 1, 2)
        w.run(0.01 * seed)
        w.kill(old)
        w.reply_loss = 0.0
        self.assertIs(put_until_told(w, 1, 2), Told.DONE)
        w.start(old)
        self.assertIs(put_until_told(w, 2, 3), Told.DONE)
        self.assertIs(put_until_told(w, 1, 2), Told.DONE)
        self.assertTrue(is_linearizable(w.history))

    @params(*range(4))
    def test_again_after_all_power_was_lost(self, seed: int) -> None:
        w = up(seed)
        w.reply_loss = 1.0
        w.put(w.leaders()[0], 1, 2)
        w.run(0.5)
        for ip in list(w.machines):
            w.kill(ip)
        w.quiet(2.0)
        self.assertIs(put_until_told(w, 1, 2), Told.DONE)
        self.assertIs(put_until_told(w, 1, 3), Told.STALE)
        self.assertTrue(is_linearizable(w.history))


if __name__ == "__main__":
    unittest.main()
