"""The replicated log: bootstrap, elections, changes, and failures of replicas, disks and links."""

from __future__ import annotations

import itertools
import unittest

from mesh.cases import params
from zinclever.mesh.consensus import messages
from zinclever.mesh.consensus.messages import ReplicaRole
from zinclever.mesh.consensus.quorum import VOTER_LOST_TIMEOUT, Learner, commit_quorum, majority, next_voters
from zinclever.mesh.model.members import World
from zinclever.mesh.transport.mesh_pb2 import ConsensusMessage, LogEntry, Voter


def started_cluster(seed: int = 1, members: int = 3) -> World:
    """A cluster that has been bootstrapped and has a leader."""
    world = World(seed, members)
    world.run(2.0)
    return world


class Bootstrap(unittest.TestCase):
    @params(1, 2, 3, 4, 5, 7)
    def test_cluster_is_bootstrapped_once(self, members: int) -> None:
        world = started_cluster(members=members)
        self.assertEqual(len(world.leaders()), 1)
        self.assertEqual(len(world.newest().voters), members)
        self.assertEqual(world.newest().index, 1)

    @params(*range(8))
    def test_restart_of_the_proposing_replica_during_bootstrap(self, seed: int) -> None:
        world = World(seed)
        world.run(0.02 + 0.02 * seed)
        world.kill("10.0.0.0")
        world.run(0.3)
        world.start("10.0.0.0")
        world.run(4.0)
        self.assertEqual(len(world.newest().voters), 3)
        self.assertEqual(len(world.leaders()), 1)

    @params(*itertools.product(range(3), (0.0, 0.01, 0.02, 0.03, 0.05, 0.1, 0.3), (False, True), range(3)))
    def test_a_member_that_is_started_again_is_no_longer_told_to_bootstrap(
        self, member: int, killed_at: float, is_wiped: bool, seed: int
    ) -> None:
        """Guards against review/6: a cluster that is never bootstrapped, as a process was killed at the first start."""
        world, victim = World(seed), f"10.0.0.{member}"
        world.loss = 0.05 * seed
        world.run(killed_at)
        if is_wiped:  # or killed before its first write
            world.wipe(victim)
        else:
            world.kill(victim)
            world.machines[victim].bootstrap = False
        world.run(0.3)
        world.start(victim)
        world.run(8.0)
        self.assertEqual(len(world.leaders()), 1)
        (leader,) = world.leaders()
        world.put(leader, 0, 5)
        world.run(1.0)
        self.assertEqual(set(world.acked), {5})
        world.run(VOTER_LOST_TIMEOUT)  # until a lost disk is replaced by the one that came after it
        self.assertEqual({v.disk for v in world.newest().voters}, {m.disk.name for m in world.machines.values()})

    def test_changed_seed_list_does_not_bootstrap_a_second_cluster(self) -> None:
        world = started_cluster()
        world.founders = [("10.0.0.7", 1), ("10.0.0.8", 1), ("10.0.0.0", 1)]
        world.add("10.0.0.7")
        world.run(4.0)
        self.assertEqual(len(world.newest().voters), 4)
        self.assertEqual(len(world.leaders()), 1)


class Changes(unittest.TestCase):
    def test_only_one_of_two_changes_on_the_same_base_is_applied(self) -> None:
        world = started_cluster()
        (ip,) = world.leaders()
        world.put(ip, 0, 5)
        world.put(ip, 0, 6)
        world.run(1.0)
        self.assertEqual(world.acked, {5: b"config 5"})
        self.assertEqual(world.refused, [(0, 6)])
        world.put(ip, 0, 5)  # a repetition is acknowledged but not applied again
        index = world.newest().index
        world.run(0.5)
        self.assertEqual(world.newest().index, index)
        self.assertFalse(world.asked)

    def test_generation_not_above_the_current_one_is_rejected(self) -> None:
        world = started_cluster()
        (ip,) = world.leaders()
        world.put(ip, 0, 5)
        world.run(0.5)
        world.put(ip, 5, 4)
        world.run(0.5)
        self.assertEqual(world.refused, [(5, 4)])

    def test_leader_without_majority_acknowledges_nothing(self) -> None:
        world = started_cluster()
        (ip,) = world.leaders()
        others = [o for o in world.machines if o != ip]
        world.cut = {(a, b) for a in world.machines for b in world.machines if ip in (a, b) and a != b}
        world.put(ip, 0, 5)
        world.run(4.0)
        self.assertFalse(world.acked)
        (new,) = [a for a in world.leaders() if a != ip]
        self.assertIn(new, others)
        world.put(new, 0, 6)
        world.run(1.0)
        self.assertEqual(list(world.acked), [6])
        world.quiet()
        self.assertEqual(world.newest().generation, 6)

    def test_leader_that_can_send_but_not_receive_is_replaced(self) -> None:
        world = started_cluster()
        (ip,) = world.leaders()
        world.cut = {(o, ip) for o in world.machines if o != ip}
        world.run(3.0)
        (new,) = [a for a in world.leaders() if a != ip]
        world.put(new, 0, 6)
        world.run(1.0)
        self.assertEqual(list(world.acked), [6])

    def test_reads_need_a_majority(self) -> None:
        world = started_cluster()
        (ip,) = world.leaders()
        world.put(ip, 0, 5)
        world.run(0.5)
        world.cut = {(a, b) for a in world.machines for b in world.machines if ip in (a, b) and a != b}
        statuses: list[int] = []
        replica = world.machines[ip].replica
        assert replica is not None
        replica.read(world.now, 999)
        for _ in range(40):
            world.now += 0.05
            replica.tick(world.now)
            statuses += [a.status for a in replica.actions if isinstance(a, messages.Reply) and a.call_id == 999]
            replica.actions.clear()
        self.assertEqual(statuses, [503])


class Failures(unittest.TestCase):
    @params(0, 1, 2)
    def test_loss_of_any_disk_right_after_an_acknowledgement(self, which: int) -> None:
        for seed in range(12):
            world = started_cluster(seed)
            world.put(world.leaders()[0], 0, 5)
            while 5 not in world.acked:
                world.run(0.01)
            for n, ip in enumerate(list(world.machines)):
                if n == which:
                    world.wipe(ip)
                else:
                    world.kill(ip)
            world.quiet()
            world.assert_acknowledged_kept()
            self.assertEqual(len(world.newest().voters), 3)

    def test_replica_with_an_empty_disk_becomes_a_new_voter(self) -> None:
        world = started_cluster()
        (ip,) = world.leaders()
        old = [voter.disk for voter in world.newest().voters]
        victim = next(o for o in world.machines if o != ip)
        world.wipe(victim)
        world.run(0.5)
        self.assertEqual([voter.disk for voter in world.newest().voters], old)
        world.start(victim)
        world.run(2.0)
        self.assertEqual(len(world.newest().voters), 3)
        self.assertIn(world.machines[victim].disk.name, [voter.disk for voter in world.newest().voters])

    def test_replacement_of_all_nodes_one_after_another(self) -> None:
        world = started_cluster()
        world.put(world.leaders()[0], 0, 5)
        world.run(0.5)
        for n in range(3):
            world.remove(f"10.0.0.{n}")
            world.run(1.5)
            world.add(f"10.0.0.{10 + n}")
            world.run(3.0)
            self.assertEqual(len(world.newest().voters), 3)
        world.assert_acknowledged_kept()
        self.assertEqual({voter.ip for voter in world.newest().voters}, {f"10.0.0.{10 + n}" for n in range(3)})

    def test_planned_replacement_restores_the_number_of_voters(self) -> None:
        world = started_cluster()
        world.add("10.0.0.10")
        world.run(4.0)
        self.assertEqual(len(world.newest().voters), 4)
        world.remove("10.0.0.1")
        world.run(3.0)
        self.assertEqual(len(world.newest().voters), 3)

    def test_leadership_transfer_is_immediate(self) -> None:
        for seed in range(6):
            world = started_cluster(seed)
            (ip,) = world.leaders()
            replica = world.machines[ip].replica
            assert replica is not None
            replica.transfer_leadership(world.now)
            world.carry_out(world.machines[ip])
            world.run(0.05)
            world.kill(ip)
            world.run(0.2)
            self.assertEqual(len(world.leaders()), 1)

    def test_follower_that_was_a_candidate_in_the_same_term(self) -> None:
        """Guards against a deadlock after two replicas were candidates in the same term and the third is lost.

        The losing candidate voted for itself and rejects the leader's entries in this term, so the leader must move to
        a higher one.
        """
        world = started_cluster()
        a, b, c = (world.machines[f"10.0.0.{n}"].replica for n in range(3))
        assert a is not None and b is not None and c is not None
        world.put("10.0.0.0", 0, 5)
        world.run(0.5)
        for replica in (a, b, c):
            replica.change_role(ReplicaRole.FOLLOWER, world.now)
            replica.leader_last_contact, replica.leader = world.now - 1.0, ""
        world.cut = {
            (x, y) for x in world.machines for y in world.machines if {x, y} != {"10.0.0.0", "10.0.0.2"} and x != y
        }
        a.start_election(world.now)
        b.start_election(world.now)
        self.assertEqual(a.term, b.term)
        world.run(0.2)
        self.assertEqual(world.leaders(), ["10.0.0.0"])
        world.cut = set()
        world.kill("10.0.0.2")
        world.run(4.0)
        (ip,) = world.leaders()
        self.assertTrue(world.reads(ip))
        for _ in range(2):  # the first call may fail while the leader moves to a higher term
            world.put(ip, 5, 6)
            world.run(1.0)
        self.assertIn(6, world.acked)

    @params(*range(8))
    def test_candidates_that_disagree_on_the_previous_leader(self, seed: int) -> None:
        """Guards against repeated split votes: each of two replicas considers itself first in election order.

        The former leader has stepped down after a stall and no longer knows who led, while the other still does.
        """
        world = started_cluster(seed)
        a, b = (world.machines[f"10.0.0.{n}"].replica for n in range(2))
        assert a is not None and b is not None
        world.kill("10.0.0.2")
        for replica in (a, b):
            replica.change_role(ReplicaRole.FOLLOWER, world.now)
            replica.leader_last_contact = world.now - 0.6
        a.leader, b.leader = "", a.own_voter.disk
        world.run(5.0)
        self.assertEqual(len(world.leaders()), 1)

    def test_election_after_a_completed_voter_change_needs_only_the_new_voters(self) -> None:
        """All replicas lose power right after a voter was replaced, and another one is lost for good.

        The remaining ones are a majority of the new voters but not of the old ones.
        """
        world = started_cluster()
        world.put("10.0.0.0", 0, 5)
        world.run(0.5)
        world.remove("10.0.0.2")
        world.add("10.0.0.9")
        while "10.0.0.9" not in {voter.ip for voter in world.newest().voters}:
            world.run(0.05)
        world.run(0.2)
        for ip in list(world.machines):
            world.kill(ip)
        world.remove("10.0.0.0")
        world.quiet(4.0)
        (ip,) = world.leaders()
        self.assertTrue(world.reads(ip))
        world.assert_acknowledged_kept()

    @params(0.5, 0.8, 2.0, 10.0)
    def test_follower_does_not_replace_the_leader_after_its_own_pause(self, span: float) -> None:
        """When the follower resumes, heartbeats of the leader are still unread; it must not start an election."""
        for seed in range(15):
            world = started_cluster(seed)
            (ip,) = world.leaders()
            replica = world.machines[ip].replica
            assert replica is not None
            term, follower = replica.term, next(other for other in world.machines if other != ip)
            world.pause(follower)
            world.run(span)
            world.resume(follower)
            world.run(1.0)
            self.assertEqual((world.leaders(), replica.term), ([ip], term))

    def test_time_without_a_leader(self) -> None:
        for seed in range(10):
            world = started_cluster(seed)
            (ip,) = world.leaders()
            world.kill(ip)
            killed_at = world.now
            while not world.leaders():
                world.run(0.05)
                self.assertLess(world.now - killed_at, 2.0)


class VoterSets(unittest.TestCase):
    @params((1, 0, 1), (1, 1, 1), (2, 1, 2), (3, 1, 2), (3, 2, 3), (4, 1, 3), (5, 1, 3), (5, 3, 4), (9, 2, 5))
    def test_commit_quorum(self, count: int, losses: int, want: int) -> None:
        self.assertEqual(commit_quorum(count, losses), want)
        self.assertGreaterEqual(want, min(count, majority(count)))

    @params(
        ("all voters are reachable", [], {"a": 9.9, "b": 9.9, "c": 9.9}, None),
        ("a node returns with a new disk", [("b2", 2)], {"a": 9.9, "b": 9.9, "c": 9.9}, ["a", "b2", "c"]),
        ("a learner, all voters reachable", [("d", 4)], {"a": 9.9, "b": 9.9, "c": 9.9}, None),
        ("a learner and an unreachable voter", [("d", 4)], {"a": 9.9, "b": 5.0, "c": 9.9}, ["a", "d", "c"]),
        ("an unreachable voter, no learner", [], {"a": 9.9, "b": 5.0, "c": 9.9}, None),
    )
    def test_next_voters(
        self, name: str, waiting: list[tuple[str, int]], contacts: dict[str, float], want: list[str] | None
    ) -> None:
        voters = [Voter(disk=d, ip=f"10.0.0.{n}", port=1) for n, d in enumerate("abc", 1)]
        learners = {d: Learner(Voter(disk=d, ip=f"10.0.0.{n}", port=1), 9.5) for d, n in waiting}
        change = next_voters(LogEntry(voters=voters, founding_size=3), "a", learners, contacts, 10.0)
        self.assertEqual(None if change is None else [voter.disk for voter in change.voters], want, name)


class Persistence(unittest.TestCase):
    def test_entry_is_rejected_if_its_save_fails(self) -> None:
        world = started_cluster()
        (ip,) = world.leaders()
        follower = next(m for o, m in world.machines.items() if o != ip)
        replica = follower.replica
        assert replica is not None
        replica.actions.clear()
        entry = LogEntry(term=replica.vote.term, index=9, voters=replica.committed.voters)
        replica.receive(
            world.now,
            ConsensusMessage(
                kind=messages.MessageKind.APPEND,
                disk=replica.vote.candidate,
                term=replica.vote.term,
                entry=entry,
                voter=replica.committed.voters[0],
            ),
        )
        (persist,) = [a for a in replica.actions if isinstance(a, messages.Persist)]
        replica.actions.clear()
        replica.on_persisted(world.now, persist.token, False)
        (reply,) = [a.message for a in replica.actions if isinstance(a, messages.Send)]
        self.assertFalse(reply.granted)
        self.assertNotEqual(replica.accepted.index if replica.accepted is not None else 0, 9)
        self.assertIs(replica.role, ReplicaRole.FOLLOWER)


if __name__ == "__main__":
    unittest.main()
