"""The replicated log, through everything that may happen to its members."""

from __future__ import annotations

import unittest

from mesh.cases import params
from zinclever.mesh.consensus import messages as orders
from zinclever.mesh.consensus.messages import ReplicaRole
from zinclever.mesh.consensus.quorum import Learner, commit_quorum, majority, next_voters
from zinclever.mesh.model.members import World
from zinclever.mesh.transport.mesh_pb2 import ConsensusMessage, LogEntry, Voter


def up(seed: int = 1, members: int = 3) -> World:
    """A world whose first voters stands."""
    w = World(seed, members)
    w.run(2.0)
    return w


class FirstView(unittest.TestCase):
    @params(1, 2, 3, 4, 5, 7)
    def test_is_founded_once(self, members: int) -> None:
        w = up(members=members)
        self.assertEqual(len(w.leaders()), 1)
        self.assertEqual(len(w.newest().voters), members)
        self.assertEqual(w.newest().index, 1)

    @params(*range(8))
    def test_founder_restarted_in_mid_founding(self, seed: int) -> None:
        w = World(seed)
        w.run(0.02 + 0.02 * seed)
        w.kill("10.0.0.0")
        w.run(0.3)
        w.start("10.0.0.0")
        w.run(4.0)
        self.assertEqual(len(w.newest().voters), 3)
        self.assertEqual(len(w.leaders()), 1)

    def test_other_seeds_later_found_nothing(self) -> None:
        w = up()
        w.founders = [("10.0.0.7", 1), ("10.0.0.8", 1), ("10.0.0.0", 1)]
        w.add("10.0.0.7")
        w.run(4.0)
        self.assertEqual(len(w.newest().voters), 4)
        self.assertEqual(len(w.leaders()), 1)


class Changes(unittest.TestCase):
    def test_two_operators_on_one_version(self) -> None:
        w = up()
        (ip,) = w.leaders()
        w.put(ip, 0, 5)
        w.put(ip, 0, 6)
        w.run(1.0)
        self.assertEqual(w.acked, {5: b"config 5"})
        self.assertEqual(w.refused, [(0, 6)])
        w.put(ip, 0, 5)  # the same again: taken, and not taken twice
        number = w.newest().index
        w.run(0.5)
        self.assertEqual(w.newest().index, number)
        self.assertFalse(w.asked)

    def test_a_version_that_is_not_above(self) -> None:
        w = up()
        (ip,) = w.leaders()
        w.put(ip, 0, 5)
        w.run(0.5)
        w.put(ip, 5, 4)
        w.run(0.5)
        self.assertEqual(w.refused, [(5, 4)])

    def test_no_majority_no_acknowledgement(self) -> None:
        w = up()
        (ip,) = w.leaders()
        others = [o for o in w.machines if o != ip]
        w.cut = {(a, b) for a in w.machines for b in w.machines if ip in (a, b) and a != b}
        w.put(ip, 0, 5)
        w.run(4.0)
        self.assertFalse(w.acked)
        (new,) = [a for a in w.leaders() if a != ip]
        self.assertIn(new, others)
        w.put(new, 0, 6)
        w.run(1.0)
        self.assertEqual(list(w.acked), [6])
        w.quiet()
        self.assertEqual(w.newest().generation, 6)

    def test_one_way_cut_of_the_one_that_acts(self) -> None:
        w = up()
        (ip,) = w.leaders()
        w.cut = {(o, ip) for o in w.machines if o != ip}  # it speaks, and hears nobody
        w.run(3.0)
        (new,) = [a for a in w.leaders() if a != ip]
        w.put(new, 0, 6)
        w.run(1.0)
        self.assertEqual(list(w.acked), [6])

    def test_reads_need_a_majority(self) -> None:
        w = up()
        (ip,) = w.leaders()
        w.put(ip, 0, 5)
        w.run(0.5)
        w.cut = {(a, b) for a in w.machines for b in w.machines if ip in (a, b) and a != b}
        found_cluster: list[int] = []
        replica = w.machines[ip].replica
        assert replica is not None
        replica.read(w.now, 999)
        for _ in range(40):
            w.now += 0.05
            replica.tick(w.now)
            found_cluster += [a.status for a in replica.actions if isinstance(a, orders.Reply) and a.call_id == 999]
            replica.actions.clear()
        self.assertEqual(found_cluster, [503])


class Losses(unittest.TestCase):
    @params(0, 1, 2)
    def test_each_disk_lost_right_after_an_acknowledgement(self, which: int) -> None:
        for seed in range(12):
            w = up(seed)
            w.put(w.leaders()[0], 0, 5)
            while 5 not in w.acked:
                w.run(0.01)
            for n, ip in enumerate(list(w.machines)):
                if n == which:
                    w.wipe(ip)
                else:
                    w.kill(ip)
            w.quiet()
            w.assert_acknowledged_kept()
            self.assertEqual(len(w.newest().voters), 3)

    def test_an_empty_disk_counts_only_once_it_was_let_in(self) -> None:
        w = up()
        (ip,) = w.leaders()
        old = [s.disk for s in w.newest().voters]
        victim = next(o for o in w.machines if o != ip)
        w.wipe(victim)
        w.run(0.5)
        self.assertEqual([s.disk for s in w.newest().voters], old)
        w.start(victim)
        w.run(2.0)
        self.assertEqual(len(w.newest().voters), 3)
        self.assertIn(w.machines[victim].disk.name, [s.disk for s in w.newest().voters])

    def test_replaced_machines_one_after_another(self) -> None:
        w = up()
        w.put(w.leaders()[0], 0, 5)
        w.run(0.5)
        for n in range(3):
            w.remove(f"10.0.0.{n}")
            w.run(1.5)
            w.add(f"10.0.0.{10 + n}")
            w.run(3.0)
            self.assertEqual(len(w.newest().voters), 3)
        w.assert_acknowledged_kept()
        self.assertEqual({s.ip for s in w.newest().voters}, {f"10.0.0.{10 + n}" for n in range(3)})

    def test_planned_replacement_leaves_as_many_voices(self) -> None:
        w = up()
        w.add("10.0.0.10")
        w.run(4.0)
        self.assertEqual(len(w.newest().voters), 4)
        w.remove("10.0.0.1")
        w.run(3.0)
        self.assertEqual(len(w.newest().voters), 3)

    def test_one_that_ends_in_order_is_followed_at_once(self) -> None:
        for seed in range(6):
            w = up(seed)
            (ip,) = w.leaders()
            replica = w.machines[ip].replica
            assert replica is not None
            replica.transfer_leadership(w.now)
            w.carry_out(w.machines[ip])
            w.run(0.05)
            w.kill(ip)
            w.run(0.2)
            self.assertEqual(len(w.leaders()), 1)

    def test_two_candidates_under_one_term(self) -> None:
        """The second one has vowed the term to itself when the first has its majority, and then follows it. The third
        is lost: nothing is committed without the second, which refuses that term for good."""
        w = up()
        a, b, c = (w.machines[f"10.0.0.{n}"].replica for n in range(3))
        assert a is not None and b is not None and c is not None
        w.put("10.0.0.0", 0, 5)
        w.run(0.5)
        for replica in (a, b, c):
            replica.change_role(ReplicaRole.FOLLOWER, w.now)
            replica.leader_last_contact, replica.leader = w.now - 1.0, ""
        w.cut = {(x, y) for x in w.machines for y in w.machines if {x, y} != {"10.0.0.0", "10.0.0.2"} and x != y}
        a.start_election(w.now)
        b.start_election(w.now)
        self.assertEqual(a.term, b.term)
        w.run(0.2)
        self.assertEqual(w.leaders(), ["10.0.0.0"])
        w.cut = set()
        w.kill("10.0.0.2")
        w.run(4.0)
        (ip,) = w.leaders()
        self.assertTrue(w.reads(ip))
        for _ in range(2):  # the first one finds it out, and has no clear answer
            w.put(ip, 5, 6)
            w.run(1.0)
        self.assertIn(6, w.acked)

    @params(*range(8))
    def test_two_candidates_that_disagree_on_who_led(self, seed: int) -> None:
        """The third is gone. One stood still and stepped down, and has forgotten that it led; the other knows it: each
        takes itself to be the first in line, and both stand at the same instants."""
        w = up(seed)
        a, b = (w.machines[f"10.0.0.{n}"].replica for n in range(2))
        assert a is not None and b is not None
        w.kill("10.0.0.2")
        for replica in (a, b):
            replica.change_role(ReplicaRole.FOLLOWER, w.now)
            replica.leader_last_contact = w.now - 0.6
        a.leader, b.leader = "", a.own_voter.disk
        w.run(5.0)
        self.assertEqual(len(w.leaders()), 1)

    def test_a_change_of_view_needs_the_old_one_no_more(self) -> None:
        """All power is gone right after one was replaced, then another is lost for good: the rest are a majority of the
        voters in force, and have to know that those of the one before have no send any more."""
        w = up()
        w.put("10.0.0.0", 0, 5)
        w.run(0.5)
        w.remove("10.0.0.2")
        w.add("10.0.0.9")
        while "10.0.0.9" not in {s.ip for s in w.newest().voters}:
            w.run(0.05)
        w.run(0.2)
        for ip in list(w.machines):
            w.kill(ip)
        w.remove("10.0.0.0")
        w.quiet(4.0)
        (ip,) = w.leaders()
        self.assertTrue(w.reads(ip))
        w.assert_acknowledged_kept()

    @params(0.5, 0.8, 2.0, 10.0)
    def test_a_follower_that_stood_still_lets_the_leader_be(self, span: float) -> None:
        """The leader's heartbeats lie unread when it runs again: it doesn't take it for silent."""
        for seed in range(15):
            w = up(seed)
            (ip,) = w.leaders()
            replica = w.machines[ip].replica
            assert replica is not None
            term, follower = replica.term, next(other for other in w.machines if other != ip)
            w.pause(follower)
            w.run(span)
            w.resume(follower)
            w.run(1.0)
            self.assertEqual((w.leaders(), replica.term), ([ip], term))

    def test_time_without_one_that_acts(self) -> None:
        for seed in range(10):
            w = up(seed)
            (ip,) = w.leaders()
            w.kill(ip)
            at = w.now
            while not w.leaders():
                w.run(0.05)
                self.assertLess(w.now - at, 2.0)


class Views(unittest.TestCase):
    @params((1, 0, 1), (1, 1, 1), (2, 1, 2), (3, 1, 2), (3, 2, 3), (4, 1, 3), (5, 1, 3), (5, 3, 4), (9, 2, 5))
    def test_disks_needed(self, count: int, losses: int, want: int) -> None:
        self.assertEqual(commit_quorum(count, losses), want)
        self.assertGreaterEqual(want, min(count, majority(count)))

    @params(
        ("all is well", [], {"a": 9.9, "b": 9.9, "c": 9.9}, None),
        ("one comes back with another disk", [("b2", 2)], {"a": 9.9, "b": 9.9, "c": 9.9}, ["a", "b2", "c"]),
        ("one waits and nobody is dead", [("d", 4)], {"a": 9.9, "b": 9.9, "c": 9.9}, None),
        ("one waits and another is dead", [("d", 4)], {"a": 9.9, "b": 5.0, "c": 9.9}, ["a", "d", "c"]),
        ("one is dead and nobody waits", [], {"a": 9.9, "b": 5.0, "c": 9.9}, None),
    )
    def test_next_view(
        self, name: str, waiting: list[tuple[str, int]], heard_at: dict[str, float], want: list[str] | None
    ) -> None:
        voters = [Voter(disk=d, ip=f"10.0.0.{n}", port=1) for n, d in enumerate("abc", 1)]
        learners = {d: Learner(Voter(disk=d, ip=f"10.0.0.{n}", port=1), 9.5) for d, n in waiting}
        found = next_voters(LogEntry(voters=voters, founding_size=3), "a", learners, heard_at, 10.0)
        self.assertEqual(None if found is None else [s.disk for s in found.voters], want, name)


class Phases(unittest.TestCase):
    def test_what_is_not_saved_is_not_promised(self) -> None:
        w = up()
        (ip,) = w.leaders()
        other = next(m for o, m in w.machines.items() if o != ip)
        replica = other.replica
        assert replica is not None
        replica.actions.clear()
        entry = LogEntry(term=replica.vote.term, index=9, voters=replica.committed.voters)
        replica.receive(
            w.now,
            ConsensusMessage(
                kind=orders.MessageKind.APPEND,
                disk=replica.vote.candidate,
                term=replica.vote.term,
                entry=entry,
                voter=replica.committed.voters[0],
            ),
        )
        (persist,) = [a for a in replica.actions if isinstance(a, orders.Persist)]
        replica.actions.clear()
        replica.on_persisted(w.now, persist.token, False)
        (said,) = [a.message for a in replica.actions if isinstance(a, orders.Send)]
        self.assertFalse(said.granted)
        self.assertNotEqual(replica.accepted.index if replica.accepted is not None else 0, 9)
        self.assertIs(replica.role, ReplicaRole.FOLLOWER)


if __name__ == "__main__":
    unittest.main()
