"""The replicated log, through everything that may happen to its members."""

from __future__ import annotations

import unittest

from mesh.cases import params
from zinclever.mesh.consensus import messages as orders
from zinclever.mesh.consensus.messages import ReplicaRole
from zinclever.mesh.consensus.quorum import commit_quorum, digest, majority, next_voters
from zinclever.mesh.consensus.replica import Replica
from zinclever.mesh.model.histories import Call, Told, linearizable
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
        self.assertEqual(w.newest().number, 1)

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
        number = w.newest().number
        w.run(0.5)
        self.assertEqual(w.newest().number, number)
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
        replica.get(w.now, 999)
        for _ in range(40):
            w.now += 0.05
            replica.tick(w.now)
            found_cluster += [a.status for a in replica.out if isinstance(a, orders.Reply) and a.call == 999]
            replica.out.clear()
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
            w.nothing_lost()
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
        w.nothing_lost()
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
            replica.hand_over(w.now)
            w.carry_out(w.machines[ip])
            w.run(0.05)
            w.kill(ip)
            w.run(0.2)
            self.assertEqual(len(w.leaders()), 1)

    def test_two_that_courted_under_one_epoch(self) -> None:
        """The second one has vowed the term to itself when the first has its majority, and then follows it. The third
        is lost: nothing is committed without the second, which refuses that term for good."""
        w = up()
        a, b, c = (w.machines[f"10.0.0.{n}"].replica for n in range(3))
        assert a is not None and b is not None and c is not None
        w.put("10.0.0.0", 0, 5)
        w.run(0.5)
        for replica in (a, b, c):
            replica.become(ReplicaRole.FOLLOWER, w.now)
            replica.leader_heard_at, replica.leader = w.now - 1.0, ""
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
        w.nothing_lost()

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


class Repair(unittest.TestCase):
    """Copies are compared by digests; one that differs from a majority is mended, on its disk, too."""

    def spoil(self, w: World, ip: str) -> None:
        replica = w.machines[ip].replica
        assert replica is not None and replica.accepted is not None
        for entry in (replica.committed, replica.accepted):
            entry.text = b"spoilt"
        replica.digest = digest(replica.committed)

    def test_a_copy_that_differs(self) -> None:
        w = up()
        (ip,) = w.leaders()
        w.put(ip, 0, 5)
        w.run(0.5)
        other = next(o for o in w.machines if o != ip)
        self.spoil(w, other)
        w.run(1.5)
        m = w.machines[other]
        assert m.replica is not None and m.disk.accepted is not None
        self.assertEqual((m.replica.committed.text, m.disk.accepted.text), (b"config 5", b"config 5"))
        w.put(ip, 5, 6)
        w.run(0.5)
        self.assertIn(6, w.acked)

    def test_the_one_that_acts_mends_nobody_alone(self) -> None:
        w = up()
        (ip,) = w.leaders()
        w.put(ip, 0, 5)
        w.run(0.5)
        self.spoil(w, ip)
        w.run(1.5)
        texts = sorted(m.replica.committed.text for m in w.machines.values() if m.replica is not None)
        self.assertEqual(texts, [b"config 5", b"config 5", b"spoilt"])

    def test_a_vote_for_what_follows_stays(self) -> None:
        """One that has promised the next entry, and is mended in the one before, still has the next."""
        w = up()
        (ip,) = w.leaders()
        w.put(ip, 0, 5)
        w.run(0.5)
        other = next(o for o in w.machines if o != ip)
        replica = w.machines[other].replica
        assert replica is not None and replica.accepted is not None
        ahead = LogEntry()
        ahead.CopyFrom(replica.accepted)
        ahead.number, ahead.text = ahead.number + 1, b"next"
        replica.accepted = ahead
        sound = LogEntry()
        sound.CopyFrom(replica.committed)
        replica.committed.text = b"spoilt"
        replica.digest = digest(replica.committed)
        replica.take_committed(w.now, sound)
        self.assertEqual((replica.committed.text, replica.accepted.text), (b"config 5", b"next"))
        self.assertFalse([a for a in replica.out if isinstance(a, orders.Persist)])


class Storms(unittest.TestCase):
    """Days drawn from a seed: whatever happens, in whatever replica, within what is to be borne."""

    def day(self, seed: int, kind: type[Replica] = Replica) -> World:
        w = World(seed, kind=kind)
        w.run(2.0)
        w.loss, w.doubles, w.delay, w.synced, w.answer_loss = 0.1, 0.1, 0.01, 0.15, 0.1
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
        w.nothing_lost()
        w.one_winner()
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
                self.assertTrue(linearizable(w.history))
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
                    if send.message.kind == orders.Kind.VOTE_REPLY and self.accepted is not None:
                        send.message.entry.CopyFrom(self.accepted)
                    self.out.append(send)
                super().persist(accepted, [])

        class Proud(Replica):
            def on_vote_reply(self, now: float, m: ConsensusMessage) -> None:
                if m.disk != self.me.disk:  # goes on from what it has itself
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

        self.assertFalse(all(linearizable(self.day(seed, Sure).history) for seed in range(60)))

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
            ("unclear, and taken later", [put(0, 1, 0, 1, Told.UNCLEAR), get(2, 3, 0), get(4, 5, 1)], True),
            ("unclear, and never taken", [put(0, 1, 0, 1, Told.UNCLEAR), put(2, 3, 0, 2), get(4, 5, 2)], True),
            ("unclear, taken and undone", [put(0, 1, 0, 1, Told.UNCLEAR), get(2, 3, 1), get(4, 5, 0)], False),
            ("refused, and in force all the same", [put(0, 1, 0, 1), put(2, 3, 0, 2, Told.STALE), get(4, 5, 2)], False),
            ("lost", [put(0, 1, 0, 1), put(2, 3, 0, 2)], False),
        ]
        for name, history, want in cases:
            with self.subTest(name):
                self.assertEqual(linearizable(history), want)

    def test_reads_of_one_that_asks_nobody_are_found(self) -> None:
        class Sure(Replica):
            def get(self, now: float, call: int) -> None:
                self.out.append(orders.Reply(call, 200 if self.committed.generation else 404, self.committed.text))

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
            found_cluster = found_cluster or not linearizable(w.history)
        self.assertTrue(found_cluster)


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
        newcomers = {d: (Voter(disk=d, ip=f"10.0.0.{n}", port=1), 9.5) for d, n in waiting}
        found = next_voters(LogEntry(voters=voters, founding_size=3), "a", newcomers, heard_at, 10.0)
        self.assertEqual(None if found is None else [s.disk for s in found.voters], want, name)


class LateEntries(unittest.TestCase):
    """Messages of one leader that overtake each other: found by the explorer, after a pause."""

    def follower(self) -> tuple[World, Replica]:
        w = up()
        (ip,) = w.leaders()
        replica = next(m.replica for o, m in w.machines.items() if o != ip)
        assert replica is not None
        replica.out.clear()
        return w, replica

    def append(self, w: World, replica: Replica, number: int, term: int = 1) -> None:
        entry = LogEntry(term=term, number=number, voters=replica.committed.voters, founding_size=3)
        leader = next(v for v in replica.committed.voters if v.disk == replica.leader)
        message = ConsensusMessage(
            kind=orders.Kind.APPEND, disk=leader.disk, term=term, number=number, entry=entry, voter=leader
        )
        replica.receive(w.now, message)

    def saves(self, w: World, replica: Replica) -> list[int]:
        """Numbers of the entries that are saved, in order."""
        saves = [a for a in replica.out if isinstance(a, orders.Persist) and a.accepted is not None]
        replica.out.clear()
        for act in saves:
            replica.persisted(w.now, act.token, True)
        return [act.accepted.number for act in saves if act.accepted is not None]

    @params("is saved", "is being saved")
    def test_an_entry_does_not_overwrite_a_later_one(self, case: str) -> None:
        w, replica = self.follower()
        self.append(w, replica, 4)
        saved = self.saves(w, replica) if case == "is saved" else []
        self.append(w, replica, 3)
        self.assertEqual(saved + self.saves(w, replica), [4])
        self.assertEqual(replica.accepted.number if replica.accepted is not None else 0, 4)

    def test_a_committed_entry_does_not_overwrite_a_later_one(self) -> None:
        w, replica = self.follower()
        self.append(w, replica, 4)
        replica.take_committed(
            w.now, LogEntry(term=1, number=3, voters=replica.committed.voters, founding_size=3, text=b"x")
        )
        self.assertEqual(self.saves(w, replica), [4])

    def test_a_leader_of_before_does_not_overwrite_what_was_committed(self) -> None:
        """The voter has heard what is committed under a higher term, without a vote of its own for it."""
        w, replica = self.follower()
        replica.take_committed(w.now, LogEntry(term=5, number=3, voters=replica.committed.voters, founding_size=3))
        self.assertEqual(self.saves(w, replica), [3])
        self.append(w, replica, 4, term=1)
        (answer,) = [a.message for a in replica.out if isinstance(a, orders.Send)]
        self.assertEqual((answer.granted, answer.round), (False, 5))
        self.assertEqual(self.saves(w, replica), [])


class Phases(unittest.TestCase):
    def test_what_is_not_saved_is_not_promised(self) -> None:
        w = up()
        (ip,) = w.leaders()
        other = next(m for o, m in w.machines.items() if o != ip)
        replica = other.replica
        assert replica is not None
        replica.out.clear()
        entry = LogEntry(term=replica.vote.term, number=9, voters=replica.committed.voters)
        replica.receive(
            w.now,
            ConsensusMessage(
                kind=orders.Kind.APPEND,
                disk=replica.vote.disk,
                term=replica.vote.term,
                entry=entry,
                voter=replica.committed.voters[0],
            ),
        )
        (persist,) = [a for a in replica.out if isinstance(a, orders.Persist)]
        replica.out.clear()
        replica.persisted(w.now, persist.token, False)
        (said,) = [a.message for a in replica.out if isinstance(a, orders.Send)]
        self.assertFalse(said.granted)
        self.assertNotEqual(replica.accepted.number if replica.accepted is not None else 0, 9)
        self.assertIs(replica.role, ReplicaRole.FOLLOWER)


if __name__ == "__main__":
    unittest.main()
