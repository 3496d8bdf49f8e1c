"""The model checker on three replicas: invariants hold, and it detects replicas that are broken on purpose."""

from __future__ import annotations

import unittest

from mesh.cases import params
from zinclever.mesh.consensus import messages
from zinclever.mesh.consensus.replica import Replica
from zinclever.mesh.model.explore import Broken, Explorer, Start
from zinclever.mesh.model.explored_state import Budget
from zinclever.mesh.transport.mesh_pb2 import ConsensusMessage, LogEntry


class InvariantsHold(unittest.TestCase):
    @params(
        ("a crash and an election", Budget(time_steps=1, crashes=1, losses=0), 2500, 7),
        ("a lost disk and an election", Budget(time_steps=1, crashes=0, wipes=1, losses=0), 2500, 7),
        ("two elections and a lost message", Budget(time_steps=2, crashes=0, losses=1), 2500, 6),
        ("a duplicated message", Budget(time_steps=1, crashes=0, losses=0, duplicates=1), 2500, 7),
    )
    def test_invariants(self, name: str, budget: Budget, max_states: int, max_depth: int) -> None:
        self.assertGreater(Explorer(budget=budget).explore(max_states, max_depth), 500, name)

    @params(
        (
            "a member is paused during an election",
            Start.TWO_CHANGES,
            Budget(time_steps=1, crashes=0, losses=0, pauses=1),
        ),
        (
            "two operators, a read and a replaced leader",
            Start.REPLACED,
            Budget(time_steps=0, crashes=0, losses=0, changes=2, reads=1),
        ),
        (
            "a replaced leader and a lost message",
            Start.REPLACED,
            Budget(time_steps=0, crashes=0, losses=1, changes=1, reads=1),
        ),
        (
            "a member that lacks a version becomes leader",
            Start.LAGGING_MEMBER,
            Budget(time_steps=0, crashes=0, losses=0, changes=1, reads=1),
        ),
    )
    def test_histories_of_calls_are_linearizable(self, name: str, start: Start, budget: Budget) -> None:
        explorer = Explorer(budget=budget, start=start)
        self.assertGreater(explorer.explore(1500, 12), 1000, name)
        self.assertGreater(len(explorer.judged), 1, name)

    def test_changing_a_copy_leaves_the_original_unchanged(self) -> None:
        start = Explorer(budget=Budget(), start=Start.REPLACED).start
        key, copy = start.key(), start.copy()
        self.assertEqual(copy.key(), key)
        for replica in copy.replicas:
            replica.tick(99.0)
            replica.calls.fail_all()
            replica.last_contact.clear()
        self.assertEqual(start.key(), key)


class DetectsBrokenReplicas(unittest.TestCase):
    def is_detected(self, replica_type: type[Replica], budget: Budget, start: Start = Start.TWO_CHANGES) -> bool:
        try:
            Explorer(replica_type, budget, start).explore(6000, 12)
        except Broken:
            return True
        return False

    def test_reply_before_the_entry_is_durable(self) -> None:
        class RepliesBeforePersist(Replica):
            def persist(self, accepted: LogEntry | None, after: list[messages.Send]) -> None:
                self.actions += after
                super().persist(accepted, [])

        self.assertTrue(self.is_detected(RepliesBeforePersist, Budget(time_steps=0, crashes=0, losses=0)))

    def test_term_that_goes_back(self) -> None:
        class LowersTerm(Replica):
            def on_append(self, now: float, m: ConsensusMessage) -> None:
                self.vote = messages.Vote(min(self.vote.term, m.term), m.disk)
                super().on_append(now, m)

        self.assertTrue(self.is_detected(LowersTerm, Budget(time_steps=1, crashes=0, losses=0)))

    def test_two_changes_acknowledged_on_one_base(self) -> None:
        class AcknowledgesTwo(Replica):
            def change(self, now: float, call: int, base: int, generation: int, text: bytes, digest: bytes) -> None:
                super().change(now, call, base, generation, text, digest)
                if self.calls.queued_changes:  # also acknowledges the next change for this entry
                    self.reply(self.calls.queued_changes.popleft().call_id, 200, b"")

        self.assertTrue(self.is_detected(AcknowledgesTwo, Budget(time_steps=0, crashes=0, losses=0)))

    def test_leader_ignores_entries_in_vote_replies(self) -> None:
        class IgnoresVoteReplies(Replica):
            def on_vote_reply(self, now: float, m: ConsensusMessage) -> None:
                if m.disk != self.own_voter.disk:
                    m.ClearField("entry")
                    m.ClearField("committed")
                super().on_vote_reply(now, m)

            def on_append_reply(self, now: float, m: ConsensusMessage) -> None:
                self.acknowledged_by.add(self.own_voter.disk)  # as if it had persisted the entry itself
                super().on_append_reply(now, m)

        self.assertTrue(self.is_detected(IgnoresVoteReplies, Budget(time_steps=1, crashes=0, losses=0)))

    def test_leader_answers_without_confirmation_by_a_majority(self) -> None:
        class SkipsConfirmation(Replica):
            def answer_confirmed(self) -> None:
                if self.is_established():
                    self.calls.answer_confirmed(self.committed, [v.disk for v in self.committed.voters])

        changes = Budget(time_steps=0, crashes=0, losses=0, changes=1)
        self.assertTrue(self.is_detected(SkipsConfirmation, changes, Start.REPLACED))
        reads = Budget(time_steps=0, crashes=0, losses=0, reads=1)
        self.assertTrue(self.is_detected(SkipsConfirmation, reads, Start.REPLACED))

    def test_leader_counts_confirmations_of_an_earlier_round(self) -> None:
        class CountsOldRounds(Replica):
            def answer_confirmed(self) -> None:
                for entry in self.calls.unconfirmed:
                    if self.calls.confirmations.confirmed:
                        self.calls.confirmations.confirmed = dict.fromkeys(
                            self.calls.confirmations.confirmed, entry.round
                        )
                super().answer_confirmed()

        self.assertTrue(
            self.is_detected(CountsOldRounds, Budget(time_steps=0, crashes=0, losses=0, reads=1), Start.REPLACED),
        )

    def test_voter_confirms_any_leader(self) -> None:
        class AlwaysConfirms(Replica):
            def on_confirm_leadership(self, m: ConsensusMessage) -> None:
                self.respond(
                    m,
                    ConsensusMessage(
                        kind=messages.MessageKind.LEADERSHIP_CONFIRMED,
                        disk=self.own_voter.disk,
                        term=m.term,
                        round=m.round,
                        granted=True,
                    ),
                )

        self.assertTrue(
            self.is_detected(AlwaysConfirms, Budget(time_steps=0, crashes=0, losses=0, reads=1), Start.REPLACED)
        )

    def test_leader_answers_before_it_is_established(self) -> None:
        class AlwaysEstablished(Replica):
            def is_established(self) -> bool:
                return self.role is messages.ReplicaRole.LEADER

        self.assertTrue(
            self.is_detected(
                AlwaysEstablished, Budget(time_steps=0, crashes=0, losses=0, reads=1), Start.LAGGING_MEMBER
            )
        )

    def test_applied_changes_are_forgotten_and_retries_refused(self) -> None:
        class ForgetsAppliedCalls(Replica):
            def propose(self, now: float, entry: LogEntry) -> None:
                del entry.applied_calls[:]
                entry.applied_calls.add(generation=entry.generation)
                super().propose(now, entry)

        self.assertTrue(
            self.is_detected(ForgetsAppliedCalls, Budget(time_steps=0, crashes=0, losses=0, changes=1), Start.REPLACED)
        )


if __name__ == "__main__":
    unittest.main()
