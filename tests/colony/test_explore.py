"""The order, explored: every order of events to a depth, and variants that are broken on purpose."""

from __future__ import annotations

import unittest

from colony.cases import params
from zinclever.hive.comb import acts
from zinclever.hive.comb.order import Order
from zinclever.hive.dance.hive_pb2 import Change, Comb
from zinclever.hive.model.explore import Broken, Budget, Explorer


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
    def found(self, kind: type[Order], budget: Budget) -> bool:
        try:
            Explorer(kind, budget).explore(6000, 12)
        except Broken:
            return True
        return False

    def test_acknowledged_before_it_is_synced(self) -> None:
        class Hasty(Order):
            def save(self, accepted: Change | None, after: list[acts.Say]) -> None:
                self.out += after
                super().save(accepted, [])

        self.assertTrue(self.found(Hasty, Budget(turns=0, crashes=0, losses=0)))

    def test_an_epoch_that_goes_back(self) -> None:
        class Meek(Order):
            def on_propose(self, now: float, m: Comb) -> None:
                self.vow = acts.Vow(min(self.vow.epoch, m.epoch), m.disk)
                super().on_propose(now, m)

        self.assertTrue(self.found(Meek, Budget(turns=1, crashes=0, losses=0)))

    def test_two_winners_on_one_version(self) -> None:
        class Generous(Order):
            def put(self, now: float, call: int, base: int, generation: int, text: bytes, digest: bytes) -> None:
                super().put(now, call, base, generation, text, digest)
                if self.calls.waiting:  # takes the next one for the same change
                    self.reply(self.calls.waiting.popleft().call, 200, b"")

        self.assertTrue(self.found(Generous, Budget(turns=0, crashes=0, losses=0)))

    def test_two_settled_under_one_number(self) -> None:
        class Proud(Order):
            def on_promise(self, now: float, m: Comb) -> None:
                if m.disk != self.me.disk:
                    m.ClearField("change")
                    m.ClearField("settled")
                super().on_promise(now, m)

            def on_taken(self, now: float, m: Comb) -> None:
                self.have.add(self.me.disk)  # and settles with what another has
                super().on_taken(now, m)

        self.assertTrue(self.found(Proud, Budget(turns=1, crashes=0, losses=0)))


if __name__ == "__main__":
    unittest.main()
