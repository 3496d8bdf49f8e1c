"""Days drawn from a seed, and histories of calls that are judged linearizable."""

from __future__ import annotations

import unittest

from zinclever.mesh.consensus import messages as orders
from zinclever.mesh.consensus.replica import Replica
from zinclever.mesh.model.histories import Call, Told, is_linearizable
from zinclever.mesh.model.members import World
from zinclever.mesh.transport.mesh_pb2 import ConsensusMessage, LogEntry


class Storms(unittest.TestCase):
    """Days drawn from a seed: whatever happens, in whatever replica, within what is to be borne."""

    def day(self, seed: int, kind: type[Replica] = Replica) -> World:
        w = World(seed, kind=kind)
        w.run(2.0)
        w.loss, w.duplicates, w.delay, w.synced, w.reply_loss = 0.1, 0.1, 0.01, 0.15, 0.1
        generation, hurt, names = 0, "", 20
        for _ in range(40):
            w.run(0.3 * w.rng.random())
            for ip in w.leaders():
                replica = w.machines[ip].replica
                if replica is not None and w.rng.random() < 0.7:
                    for _ in range(w.rng.randrange(1, 3)):
                        generation += 1
                        w.put(ip, replica.committed.generation, generation)
                self.other_calls(w, ip)
                if w.rng.random() < 0.5:
                    w.get(ip)
            draw = w.rng.random()
            if hurt and draw < 0.5:  # one machine at a time is lost: it is whole again before the next one is
                if hurt in w.machines and w.machines[hurt].replica is None:
                    w.start(hurt)
                elif hurt in w.machines and w.machines[hurt].paused:
                    w.run(2.0 * w.rng.random())  # others go on without it
                    for ip in w.leaders():
                        generation += 1
                        w.put(ip, max(w.acked, default=0), generation)
                    w.run(0.3)
                    w.resume(hurt)
                    self.other_calls(w, hurt)  # before it has read anything
                    w.get(hurt)
                w.cut.clear()
                w.full.clear()
                w.run(4.0)  # it counts as lost for CatchupS
                hurt = ""
            elif not hurt and draw < 0.8:
                hurt = w.rng.choice(list(w.machines))
                what = w.rng.randrange(7)
                if what == 0:
                    w.kill(hurt)
                elif what == 1:
                    w.wipe(hurt)
                elif what == 2:
                    w.cut = {(a, b) for a in w.machines for b in w.machines if hurt in (a, b)}
                elif what == 3:
                    w.cut = {(a, hurt) for a in w.machines if a != hurt}
                elif what == 4:
                    w.full = {hurt}
                elif what == 5:
                    w.pause(hurt)
                else:
                    names += 1
                    w.remove(hurt)
                    hurt = f"10.0.0.{names}"
                    w.add(hurt)
            elif draw > 0.9 and not hurt:  # all power is gone, soon after an entry was asked for
                for ip in w.leaders():
                    replica = w.machines[ip].replica
                    if replica is not None:
                        generation += 1
                        w.put(ip, replica.committed.generation, generation)
                w.run(0.15 * w.rng.random())
                for ip in list(w.machines):
                    w.kill(ip)
                for ip in list(w.machines):
                    w.start(ip)
        w.quiet(8.0)
        w.assert_acknowledged_kept()
        w.assert_one_change_per_base()
        return w

    def other_calls(self, w: World, ip: str) -> None:
        """What else operators ask a leader for: a change again, another text under its number, one on top of the newest
        version that anybody knows, and one whose number is not above."""
        earlier = [call for call in w.history if call.kind == "put"]
        newest = max(w.acked, default=0)
        if earlier and w.rng.random() < 0.4:
            w.again(ip, w.rng.choice(earlier[-8:]))
        if earlier and w.rng.random() < 0.2:
            call = w.rng.choice(earlier[-8:])
            w.put(ip, call.base, call.generation, call.variant + 1)
        if w.rng.random() < 0.3:
            w.put(ip, newest, w.rng.randrange(newest + 1))

    def test_nothing_acknowledged_is_lost_and_one_wins(self) -> None:
        acked = 0
        told = dict.fromkeys(Told, 0)
        for seed in range(25):
            with self.subTest(seed=seed):
                w = self.day(seed)
                self.assertEqual(len(w.leaders()), 1)
                self.assertTrue(w.reads(w.leaders()[0]))
                self.assertTrue(is_linearizable(w.history))
                acked += len(w.acked)
                for call in w.history:
                    told[call.told] += call.kind == "put"
        self.assertGreater(acked, 200)
        self.assertGreater(min(told.values()), 50, told)

    def test_the_checks_find_what_is_broken(self) -> None:
        """An replica that votes before its disk has it, and one that takes over without what the others have."""

        class Hasty(Replica):
            def persist(self, accepted: LogEntry | None, after: list[orders.Send]) -> None:
                for send in after:
                    if send.message.kind == orders.MessageKind.VOTE_REPLY and self.accepted is not None:
                        send.message.entry.CopyFrom(self.accepted)
                    self.actions.append(send)
                super().persist(accepted, [])

        class Proud(Replica):
            def on_vote_reply(self, now: float, m: ConsensusMessage) -> None:
                if m.disk != self.own_voter.disk:  # goes on from what it has itself
                    m.ClearField("entry")
                    m.ClearField("committed")
                super().on_vote_reply(now, m)

        for kind in (Hasty, Proud):
            with self.subTest(kind=kind.__name__):
                self.assertTrue(any(self.breaks(seed, kind) for seed in range(60)))

    def test_refusals_that_nobody_confirms_are_found(self) -> None:
        class Sure(Replica):
            def answer_confirmed(self) -> None:
                if self.is_established():
                    self.calls.answer_confirmed(self.committed, [v.disk for v in self.committed.voters])

        self.assertFalse(all(is_linearizable(self.day(seed, Sure).history) for seed in range(60)))

    def breaks(self, seed: int, kind: type[Replica]) -> bool:
        try:
            self.day(seed, kind)
        except AssertionError:
            return True
        return False


class Histories(unittest.TestCase):
    """The judge of histories: what is told in one replica and what isn't."""

    def put(self, began: float, ended: float, base: int, generation: int, told: Told = Told.DONE) -> Call:
        return Call(began, ended, "put", generation, base, told)

    def get(self, began: float, ended: float, generation: int) -> Call:
        return Call(began, ended, "get", generation, 0, Told.DONE)

    def test_judged(self) -> None:
        put, get = self.put, self.get
        cases: list[tuple[str, list[Call], bool]] = [
            ("one after another", [put(0, 1, 0, 1), put(2, 3, 1, 2), get(4, 5, 2)], True),
            ("a read beside an entry", [put(0, 3, 0, 1), get(1, 2, 0), get(1, 2, 1)], True),
            ("a stale read", [put(0, 1, 0, 1), get(2, 3, 0)], False),
            ("reads that go back", [put(0, 9, 0, 1), get(1, 2, 1), get(3, 4, 0)], False),
            ("two winners", [put(0, 1, 0, 1), put(0, 1, 0, 2)], False),
            ("one of two", [put(0, 1, 0, 1), put(0, 1, 0, 2, Told.STALE)], True),
            ("refused without a cause", [put(0, 1, 0, 1, Told.STALE), get(2, 3, 0)], False),
            ("the same again", [put(0, 1, 0, 1), put(2, 3, 1, 2), put(4, 5, 0, 1)], True),
            ("unclear, and taken later", [put(0, 1, 0, 1, Told.INDETERMINATE), get(2, 3, 0), get(4, 5, 1)], True),
            ("unclear, and never taken", [put(0, 1, 0, 1, Told.INDETERMINATE), put(2, 3, 0, 2), get(4, 5, 2)], True),
            ("unclear, taken and undone", [put(0, 1, 0, 1, Told.INDETERMINATE), get(2, 3, 1), get(4, 5, 0)], False),
            ("refused, and in force all the same", [put(0, 1, 0, 1), put(2, 3, 0, 2, Told.STALE), get(4, 5, 2)], False),
            ("lost", [put(0, 1, 0, 1), put(2, 3, 0, 2)], False),
        ]
        for name, history, want in cases:
            with self.subTest(name):
                self.assertEqual(is_linearizable(history), want)

    def test_reads_of_one_that_asks_nobody_are_found(self) -> None:
        class Sure(Replica):
            def read(self, now: float, call: int) -> None:
                self.actions.append(orders.Reply(call, 200 if self.committed.generation else 404, self.committed.text))

        found_cluster = False
        for seed in range(20):
            w = World(seed, kind=Sure)
            w.run(2.0)
            (ip,) = w.leaders()
            w.cut = {(a, b) for a in w.machines for b in w.machines if ip in (a, b) and a != b}
            for n in range(1, 100):
                w.run(0.02)
                for at in w.leaders():
                    replica = w.machines[at].replica
                    if at != ip and replica is not None:
                        w.put(at, replica.committed.generation, n)
                    w.get(at)
            found_cluster = found_cluster or not is_linearizable(w.history)
        self.assertTrue(found_cluster)


if __name__ == "__main__":
    unittest.main()
