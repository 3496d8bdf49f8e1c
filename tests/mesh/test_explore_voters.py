"""The replicas, explored while voters change: leave, replacement, a second loss; and variants broken on purpose."""

from __future__ import annotations

import unittest

from mesh.cases import params
from zinclever.mesh.consensus.messages import MessageKind, ReplicaRole
from zinclever.mesh.consensus.quorum import VoterChange, VoterChangeReason, has_commit_quorum, next_voters
from zinclever.mesh.consensus.replica import Replica
from zinclever.mesh.model.explore import Broken
from zinclever.mesh.model.explore_voters import VoterExplorer, VoterStart
from zinclever.mesh.model.explored_state import Budget
from zinclever.mesh.transport.mesh_pb2 import ConsensusMessage, LogEntry

STATES = 250
LIVENESS_EVERY = 30


def budget(**named: int) -> Budget:
    """Nothing happens but what is named."""
    made = Budget(time_steps=0, crashes=0, losses=0)
    for name, count in named.items():
        setattr(made, name, count)
    return made


class Explored(unittest.TestCase):
    @params(
        (VoterStart.FOLLOWER_LEAVES, budget(changes=1, destroyed=1)),
        (VoterStart.FOLLOWER_LEAVES, budget(time_steps=1, forced_ends=1)),
        (VoterStart.FOLLOWER_LEAVES, budget(waits=2, wipes=2)),
        (VoterStart.LEAVE_GRANTED, budget(time_steps=1, changes=1, destroyed=1)),
        (VoterStart.LEADER_LEAVES, budget(time_steps=1, wipes=1)),
        (VoterStart.REPLACEMENT, budget(destroyed=1, time_steps=1)),
        (VoterStart.REPLACED, budget(destroyed=1, time_steps=1)),
        (VoterStart.REPLACED, budget(wipes=1, time_steps=1, waits=1)),
        (VoterStart.PLANNED_REPLACEMENT, budget(waits=1, destroyed=1)),
        (VoterStart.LEARNER_WAITS, budget(waits=2, time_steps=1, leaves=1)),
    )
    def test_invariants(self, start: VoterStart, allowed: Budget) -> None:
        explorer = VoterExplorer(budget=allowed, start=start, liveness_every=LIVENESS_EVERY)
        self.assertGreaterEqual(explorer.explore(STATES, 40), STATES, start)
        self.assertGreater(explorer.recovered, 5, start)

    def test_a_second_loss_is_played_only_once_the_first_is_over(self) -> None:
        explorer = VoterExplorer(budget=budget(destroyed=1), start=VoterStart.REPLACEMENT)
        state = explorer.start
        self.assertEqual(state.lost_disks, {"d2"})
        self.assertFalse(list(explorer.moves_of_losses(state, 0)))
        for _ in range(3):
            explorer.calm(state)
            explorer.wait(state)
        self.assertEqual(state.lost_disks, set())
        self.assertEqual([len(made.destroyed) for made in explorer.moves_of_losses(state, 0)], [2])


class FoundByExploration(unittest.TestCase):
    """The shortest histories of faults that the exploration has found."""

    def test_two_candidates_that_refuse_each_other(self) -> None:
        explorer = VoterExplorer(start=VoterStart.REPLACEMENT)
        state = explorer.start
        explorer.restart(state, 0)
        explorer.turn(state)
        self.assertEqual([state.orders[n].role for n in (0, 1)], [ReplicaRole.CANDIDATE] * 2)
        explorer.check_recovers(state)

    def test_a_candidate_that_the_entry_to_go_on_from_takes_out(self) -> None:
        explorer = VoterExplorer(start=VoterStart.PLANNED_REPLACEMENT)
        state = explorer.start
        state.paused.add(1)
        explorer.wait(state)  # the leader proposes voters without it ...
        explorer.destroy(state, 0)  # ... and is gone
        explorer.check_recovers(state)

    def test_an_acknowledgement_of_one_that_was_let_go(self) -> None:
        explorer = VoterExplorer(start=VoterStart.LEAVE_GRANTED)
        state = explorer.start
        state.paused.add(2)
        explorer.wait(state)  # the leader forgets that it leaves
        explorer.ask_change(state, 0, 1, 3)
        state.paused = {1}
        explorer.calm(state)  # the leader and the one that was let go have heard all
        explorer.end(state, 2, by_agreement=True)
        explorer.check(state)

    def test_a_late_word_that_lets_go(self) -> None:
        explorer = VoterExplorer(start=VoterStart.FOLLOWER_LEAVES)
        state = explorer.start
        state.post = [(to, m) for to, m in state.post if ConsensusMessage.FromString(m).kind != MessageKind.LEAVE]
        explorer.calm(state)  # the second change, entry 3, is on the disk of the follower, and LEAVE was lost
        self.assertEqual(state.held["d2"], 3)
        late = ConsensusMessage(kind=MessageKind.LEAVE_REPLY, disk="d0", term=1, granted=True, index=2)
        explorer.receive(state, 2, late.SerializeToString())
        self.assertFalse(state.orders[2].leave_granted)


class BrokenOnPurpose(unittest.TestCase):
    def assert_found(
        self, kind: type[Replica], start: VoterStart, allowed: Budget, message: str, liveness_every: int = 0
    ) -> None:
        with self.assertRaisesRegex(Broken, message):
            VoterExplorer(kind, allowed, start, liveness_every).explore(6000, 40)

    def test_a_leader_that_lets_go_at_once(self) -> None:
        class Careless(Replica):
            def receive(self, now: float, m: ConsensusMessage) -> None:
                super().receive(now, m)
                if m.kind == MessageKind.LEAVE and self.role is ReplicaRole.LEADER:
                    reply = ConsensusMessage(
                        kind=MessageKind.LEAVE_REPLY, disk=self.own_voter.disk, term=self.term, granted=True, index=99
                    )
                    self.respond(m, reply)

        allowed = budget(changes=1)
        self.assert_found(Careless, VoterStart.FOLLOWER_LEAVES, allowed, "fewer disks than may be lost")

    def test_a_leader_that_counts_the_disk_of_one_that_was_let_go(self) -> None:
        class Counting(Replica):
            def is_committed(self, now: float, entry: LogEntry) -> bool:
                self.voter_changes.leaving_since.clear()
                return super().is_committed(now, entry)

            def on_append(self, now: float, m: ConsensusMessage) -> None:
                let_go, self.leave_granted = self.leave_granted, False
                super().on_append(now, m)
                self.leave_granted = let_go

        self.assert_found(Counting, VoterStart.LEAVE_GRANTED, budget(changes=1), "fewer disks than may be lost")

    def test_a_newcomer_with_a_vote_before_it_has_the_state(self) -> None:
        class Hasty(Replica):
            def next_voter_change(self, now: float) -> VoterChange | None:
                known = self.voter_changes
                known.durable_index = {**dict.fromkeys(known.learners, 0), **known.durable_index}
                return super().next_voter_change(now)

        self.assert_found(Hasty, VoterStart.LEARNER_WAITS, budget(waits=1), "doesn't have the state")

    def test_a_change_committed_by_the_new_voters_alone(self) -> None:
        class Hurried(Replica):
            def is_committed(self, now: float, entry: LogEntry) -> bool:
                return has_commit_quorum(entry.voters, self.acknowledged_by, self.tolerated_failures)

        self.assert_found(Hurried, VoterStart.REPLACEMENT, budget(), "without a majority of the voters before it")

    def test_a_commit_by_one_disk(self) -> None:
        class Lonely(Replica):
            def is_committed(self, now: float, entry: LogEntry) -> bool:
                return len(self.acknowledged_by) > 0 and len(entry.voters) > 0

        self.assert_found(Lonely, VoterStart.FOLLOWER_LEAVES, budget(), "without a majority|fewer disks")

    def test_voters_that_go_out_by_silence(self) -> None:
        class Shrinking(Replica):
            def next_voter_change(self, now: float) -> VoterChange | None:
                voters = list(self.committed.voters)
                silent = [
                    v for v in voters if v is not self.own_voter and now - self.last_contact.get(v.disk, now) > 2.0
                ]
                if not silent:
                    return next_voters(self.committed, self.own_voter.disk, {}, self.last_contact, now)
                rest = [v for v in voters if v.disk != silent[0].disk]
                return VoterChange(rest, VoterChangeReason.LOST, removed=silent[0])

        self.assert_found(Shrinking, VoterStart.LEARNER_WAITS, budget(), "fewer voters")

    def test_a_candidate_that_never_wins(self) -> None:
        class Shy(Replica):
            def request_votes(self, now: float) -> None:
                self.change_role(ReplicaRole.FOLLOWER, now)

            def start_election(self, now: float) -> None:
                self.leader_last_contact = now

        self.assert_found(Shy, VoterStart.LEADER_LEAVES, budget(), "no leader", liveness_every=1)


if __name__ == "__main__":
    unittest.main()
