"""The model checker on changes of the voters: leaves, replacements, a second loss, and replicas broken on purpose."""

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


def budget(**counts: int) -> Budget:
    """Return a budget of the given events only."""
    allowed = Budget(time_steps=0, crashes=0, losses=0)
    for name, count in counts.items():
        setattr(allowed, name, count)
    return allowed


class InvariantsHold(unittest.TestCase):
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

    def test_second_disk_is_lost_only_after_the_first_is_replaced(self) -> None:
        explorer = VoterExplorer(budget=budget(destroyed=1), start=VoterStart.REPLACEMENT)
        state = explorer.start
        self.assertEqual(state.lost_disks, {"d2"})
        self.assertFalse(list(explorer.disk_loss_successors(state, 0)))
        for _ in range(3):
            explorer.deliver_all(state)
            explorer.wait(state)
        self.assertEqual(state.lost_disks, set())
        self.assertEqual([len(successor.destroyed) for successor in explorer.disk_loss_successors(state, 0)], [2])


class FoundByModelChecker(unittest.TestCase):
    """The shortest event sequences of faults that the model checker has found."""

    def test_two_candidates_that_refuse_each_other_do_not_block_election(self) -> None:
        explorer = VoterExplorer(start=VoterStart.REPLACEMENT)
        state = explorer.start
        explorer.restart(state, 0)
        explorer.advance_time(state)
        self.assertEqual([state.replicas[n].role for n in (0, 1)], [ReplicaRole.CANDIDATE] * 2)
        explorer.check_liveness(state)

    def test_candidate_excluded_by_a_proposed_entry_does_not_block_election(self) -> None:
        explorer = VoterExplorer(start=VoterStart.PLANNED_REPLACEMENT)
        state = explorer.start
        state.paused.add(1)
        explorer.wait(state)  # the leader proposes voters without it ...
        explorer.destroy(state, 0)  # ... and is lost
        explorer.check_liveness(state)

    def test_disk_of_a_member_with_granted_leave_does_not_count(self) -> None:
        explorer = VoterExplorer(start=VoterStart.LEAVE_GRANTED)
        state = explorer.start
        state.paused.add(2)
        explorer.wait(state)  # the leader no longer counts it as leaving
        explorer.request_change(state, 0, 1, 3)
        state.paused = {1}
        explorer.deliver_all(state)  # the leader and the leaving member have received everything
        explorer.stop_member(state, 2, by_agreement=True)
        explorer.check_invariants(state)

    def test_late_leave_reply_for_an_older_entry_is_ignored(self) -> None:
        explorer = VoterExplorer(start=VoterStart.FOLLOWER_LEAVES)
        state = explorer.start
        state.in_flight = [
            (to, m) for to, m in state.in_flight if ConsensusMessage.FromString(m).kind != MessageKind.LEAVE
        ]
        explorer.deliver_all(state)  # the follower has persisted the second change, entry 3; its LEAVE was lost
        self.assertEqual(state.persisted_index["d2"], 3)
        late = ConsensusMessage(kind=MessageKind.LEAVE_REPLY, disk="d0", term=1, granted=True, index=2)
        explorer.deliver(state, 2, late.SerializeToString())
        self.assertFalse(state.replicas[2].leave_granted)


class DetectsBrokenReplicas(unittest.TestCase):
    def assert_found(
        self, replica_type: type[Replica], start: VoterStart, allowed: Budget, message: str, liveness_every: int = 0
    ) -> None:
        with self.assertRaisesRegex(Broken, message):
            VoterExplorer(replica_type, allowed, start, liveness_every).explore(6000, 40)

    def test_leader_grants_leave_at_once(self) -> None:
        class GrantsLeaveAtOnce(Replica):
            def receive(self, now: float, m: ConsensusMessage) -> None:
                super().receive(now, m)
                if m.kind == MessageKind.LEAVE and self.role is ReplicaRole.LEADER:
                    reply = ConsensusMessage(
                        kind=MessageKind.LEAVE_REPLY, disk=self.own_voter.disk, term=self.term, granted=True, index=99
                    )
                    self.respond(m, reply)

        allowed = budget(changes=1)
        self.assert_found(GrantsLeaveAtOnce, VoterStart.FOLLOWER_LEAVES, allowed, "fewer disks than needed to survive")

    def test_leader_counts_the_disk_of_a_member_with_granted_leave(self) -> None:
        class CountsLeavingMembers(Replica):
            def is_committed(self, now: float, entry: LogEntry) -> bool:
                self.voter_changes.leaving_since.clear()
                return super().is_committed(now, entry)

            def on_append(self, now: float, m: ConsensusMessage) -> None:
                granted, self.leave_granted = self.leave_granted, False
                super().on_append(now, m)
                self.leave_granted = granted

        self.assert_found(
            CountsLeavingMembers, VoterStart.LEAVE_GRANTED, budget(changes=1), "fewer disks than needed to survive"
        )

    def test_learner_becomes_a_voter_without_the_committed_state(self) -> None:
        class AddsVotersTooEarly(Replica):
            def next_voter_change(self, now: float) -> VoterChange | None:
                changes = self.voter_changes
                changes.durable_index = {**dict.fromkeys(changes.learners, 0), **changes.durable_index}
                return super().next_voter_change(now)

        self.assert_found(
            AddsVotersTooEarly,
            VoterStart.LEARNER_WAITS,
            budget(waits=1),
            "a voter is added that doesn't have the committed state",
        )

    def test_change_of_voters_committed_by_the_new_voters_alone(self) -> None:
        class IgnoresPreviousVoters(Replica):
            def is_committed(self, now: float, entry: LogEntry) -> bool:
                return has_commit_quorum(entry.voters, self.acknowledged_by, self.tolerated_failures)

        self.assert_found(
            IgnoresPreviousVoters, VoterStart.REPLACEMENT, budget(), "without a majority of the previous voters"
        )

    def test_commit_by_one_disk(self) -> None:
        class CommitsOnOneDisk(Replica):
            def is_committed(self, now: float, entry: LogEntry) -> bool:
                return len(self.acknowledged_by) > 0 and len(entry.voters) > 0

        self.assert_found(CommitsOnOneDisk, VoterStart.FOLLOWER_LEAVES, budget(), "without a majority|fewer disks")

    def test_silent_voters_are_removed_without_replacement(self) -> None:
        class RemovesSilentVoters(Replica):
            def next_voter_change(self, now: float) -> VoterChange | None:
                voters = list(self.committed.voters)
                silent = [
                    v for v in voters if v is not self.own_voter and now - self.last_contact.get(v.disk, now) > 2.0
                ]
                if not silent:
                    return next_voters(self.committed, self.own_voter.disk, {}, self.last_contact, now)
                rest = [v for v in voters if v.disk != silent[0].disk]
                return VoterChange(rest, VoterChangeReason.LOST, removed=silent[0])

        self.assert_found(RemovesSilentVoters, VoterStart.LEARNER_WAITS, budget(), "fewer voters")

    def test_candidates_never_win(self) -> None:
        class NeverCampaigns(Replica):
            def request_votes(self, now: float) -> None:
                self.change_role(ReplicaRole.FOLLOWER, now)

            def start_election(self, now: float) -> None:
                self.leader_last_contact = now

        self.assert_found(NeverCampaigns, VoterStart.LEADER_LEAVES, budget(), "no leader", liveness_every=1)


if __name__ == "__main__":
    unittest.main()
