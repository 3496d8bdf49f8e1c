"""The replica, explored: every replica of events to a depth, and variants that are broken on purpose."""

from __future__ import annotations

import unittest

from mesh.cases import params
from zinclever.mesh.consensus import messages
from zinclever.mesh.consensus.replica import Replica
from zinclever.mesh.model.explore import Broken, Budget, Explorer
from zinclever.mesh.transport.mesh_pb2 import ConsensusMessage, LogEntry


class Explored(unittest.TestCase):
    @params(
        ("a crash and a take-over", Budget(turns=1, crashes=1, losses=0), 2500, 7),
        ("a lost disk and a take-over", Budget(turns=1, crashes=0, wipes=1, losses=0), 2500, 7),
        ("two take-overs and a lost message", Budget(turns=2, crashes=0, losses=1), 2500, 6),
        ("a doubled message", Budget(turns=1, crashes=0, losses=0, doubles=1), 2500, 7),
    )
    def test_invariants(self, name: str, budget: Budget, most: int, depth: int) -> None:
        self.assertGreater(Explorer(budget=budget).explore(most, depth), 500, name)


class BrokenOnPurpose(unittest.TestCase):
    def found_cluster(self, kind: type[Replica], budget: Budget) -> bool:
        try:
            Explorer(kind, budget).explore(6000, 12)
        except Broken:
            return True
        return False

    def test_acknowledged_before_it_is_synced(self) -> None:
        class Hasty(Replica):
            def persist(self, accepted: LogEntry | None, after: list[messages.Send]) -> None:
                self.out += after
                super().persist(accepted, [])

        self.assertTrue(self.found_cluster(Hasty, Budget(turns=0, crashes=0, losses=0)))

    def test_an_epoch_that_goes_back(self) -> None:
        class Meek(Replica):
            def on_append(self, now: float, m: ConsensusMessage) -> None:
                self.vote = messages.Vote(min(self.vote.term, m.term), m.disk)
                super().on_append(now, m)

        self.assertTrue(self.found_cluster(Meek, Budget(turns=1, crashes=0, losses=0)))

    def test_two_winners_on_one_version(self) -> None:
        class Generous(Replica):
            def put(self, now: float, call: int, base: int, generation: int, text: bytes, digest: bytes) -> None:
                super().put(now, call, base, generation, text, digest)
                if self.calls.waiting:  # takes the next one for the same entry
                    self.reply(self.calls.waiting.popleft().call, 200, b"")

        self.assertTrue(self.found_cluster(Generous, Budget(turns=0, crashes=0, losses=0)))

    def test_two_settled_under_one_number(self) -> None:
        class Proud(Replica):
            def on_vote_reply(self, now: float, m: ConsensusMessage) -> None:
                if m.disk != self.me.disk:
                    m.ClearField("entry")
                    m.ClearField("committed")
                super().on_vote_reply(now, m)

            def on_append_reply(self, now: float, m: ConsensusMessage) -> None:
                self.have.add(self.me.disk)  # and has_commit_quorum with what another has
                super().on_append_reply(now, m)

        self.assertTrue(self.found_cluster(Proud, Budget(turns=1, crashes=0, losses=0)))


if __name__ == "__main__":
    unittest.main()
