"""The replica, explored: every replica of events to a depth, and variants that are broken on purpose."""

from __future__ import annotations

import unittest

from mesh.cases import params
from zinclever.mesh.consensus import messages
from zinclever.mesh.consensus.replica import Replica
from zinclever.mesh.model.explore import Broken, Explorer, Start
from zinclever.mesh.model.explored_state import Budget
from zinclever.mesh.transport.mesh_pb2 import ConsensusMessage, LogEntry


class Explored(unittest.TestCase):
    @params(
        ("a crash and a take-over", Budget(time_steps=1, crashes=1, losses=0), 2500, 7),
        ("a lost disk and a take-over", Budget(time_steps=1, crashes=0, wipes=1, losses=0), 2500, 7),
        ("two take-overs and a lost message", Budget(time_steps=2, crashes=0, losses=1), 2500, 6),
        ("a doubled message", Budget(time_steps=1, crashes=0, losses=0, duplicates=1), 2500, 7),
    )
    def test_invariants(self, name: str, budget: Budget, most: int, depth: int) -> None:
        self.assertGreater(Explorer(budget=budget).explore(most, depth), 500, name)

    @params(
        (
            "a member stands still during a take-over",
            Start.TWO_CHANGES,
            Budget(time_steps=1, crashes=0, losses=0, pauses=1),
        ),
        (
            "two operators, a read, and a leader that was replaced",
            Start.REPLACED,
            Budget(time_steps=0, crashes=0, losses=0, changes=2, reads=1),
        ),
        (
            "a leader that was replaced, and a lost message",
            Start.REPLACED,
            Budget(time_steps=0, crashes=0, losses=1, changes=1, reads=1),
        ),
        (
            "a member that has missed a version takes over",
            Start.LAGGING_MEMBER,
            Budget(time_steps=0, crashes=0, losses=0, changes=1, reads=1),
        ),
    )
    def test_calls_of_operators(self, name: str, start: Start, budget: Budget) -> None:
        explorer = Explorer(budget=budget, start=start)
        self.assertGreater(explorer.explore(1500, 12), 1000, name)
        self.assertGreater(len(explorer.judged), 1, name)

    def test_copies_share_nothing_that_changes(self) -> None:
        start = Explorer(budget=Budget(), start=Start.REPLACED).start
        key, made = start.key(), start.copy()
        self.assertEqual(made.key(), key)
        for replica in made.orders:
            replica.tick(99.0)
            replica.calls.fail_all()
            replica.last_contact.clear()
        self.assertEqual(start.key(), key)


class BrokenOnPurpose(unittest.TestCase):
    def found_cluster(self, kind: type[Replica], budget: Budget, start: Start = Start.TWO_CHANGES) -> bool:
        try:
            Explorer(kind, budget, start).explore(6000, 12)
        except Broken:
            return True
        return False

    def test_acknowledged_before_it_is_synced(self) -> None:
        class Hasty(Replica):
            def persist(self, accepted: LogEntry | None, after: list[messages.Send]) -> None:
                self.actions += after
                super().persist(accepted, [])

        self.assertTrue(self.found_cluster(Hasty, Budget(time_steps=0, crashes=0, losses=0)))

    def test_an_epoch_that_goes_back(self) -> None:
        class Meek(Replica):
            def on_append(self, now: float, m: ConsensusMessage) -> None:
                self.vote = messages.Vote(min(self.vote.term, m.term), m.disk)
                super().on_append(now, m)

        self.assertTrue(self.found_cluster(Meek, Budget(time_steps=1, crashes=0, losses=0)))

    def test_two_winners_on_one_version(self) -> None:
        class Generous(Replica):
            def change(self, now: float, call: int, base: int, generation: int, text: bytes, digest: bytes) -> None:
                super().change(now, call, base, generation, text, digest)
                if self.calls.queued_changes:  # takes the next one for the same entry
                    self.reply(self.calls.queued_changes.popleft().call_id, 200, b"")

        self.assertTrue(self.found_cluster(Generous, Budget(time_steps=0, crashes=0, losses=0)))

    def test_two_settled_under_one_number(self) -> None:
        class Proud(Replica):
            def on_vote_reply(self, now: float, m: ConsensusMessage) -> None:
                if m.disk != self.own_voter.disk:
                    m.ClearField("entry")
                    m.ClearField("committed")
                super().on_vote_reply(now, m)

            def on_append_reply(self, now: float, m: ConsensusMessage) -> None:
                self.acknowledged_by.add(self.own_voter.disk)  # and has_commit_quorum with what another has
                super().on_append_reply(now, m)

        self.assertTrue(self.found_cluster(Proud, Budget(time_steps=1, crashes=0, losses=0)))

    def test_a_refusal_without_a_majority(self) -> None:
        class Sure(Replica):
            def answer_confirmed(self) -> None:
                if self.is_established():
                    self.calls.answer_confirmed(self.committed, [v.disk for v in self.committed.voters])

        changes = Budget(time_steps=0, crashes=0, losses=0, changes=1)
        self.assertTrue(self.found_cluster(Sure, changes, Start.REPLACED))
        reads = Budget(time_steps=0, crashes=0, losses=0, reads=1)
        self.assertTrue(self.found_cluster(Sure, reads, Start.REPLACED))

    def test_a_confirmation_of_an_earlier_round(self) -> None:
        class Content(Replica):
            def answer_confirmed(self) -> None:
                for entry in self.calls.unconfirmed:
                    if self.calls.confirmations.confirmed:
                        self.calls.confirmations.confirmed = dict.fromkeys(
                            self.calls.confirmations.confirmed, entry.round
                        )
                super().answer_confirmed()

        self.assertTrue(
            self.found_cluster(Content, Budget(time_steps=0, crashes=0, losses=0, reads=1), Start.REPLACED),
        )

    def test_a_voter_that_confirms_whoever_asks(self) -> None:
        class Polite(Replica):
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

        self.assertTrue(self.found_cluster(Polite, Budget(time_steps=0, crashes=0, losses=0, reads=1), Start.REPLACED))

    def test_a_leader_that_answers_before_it_knows_what_is_committed(self) -> None:
        class Eager(Replica):
            def is_established(self) -> bool:
                return self.role is messages.ReplicaRole.LEADER

        self.assertTrue(
            self.found_cluster(Eager, Budget(time_steps=0, crashes=0, losses=0, reads=1), Start.LAGGING_MEMBER)
        )

    def test_a_change_that_is_forgotten_and_refused(self) -> None:
        class Forgetful(Replica):
            def propose(self, now: float, entry: LogEntry) -> None:
                del entry.applied_calls[:]
                entry.applied_calls.add(generation=entry.generation)
                super().propose(now, entry)

        self.assertTrue(
            self.found_cluster(Forgetful, Budget(time_steps=0, crashes=0, losses=0, changes=1), Start.REPLACED)
        )


if __name__ == "__main__":
    unittest.main()
