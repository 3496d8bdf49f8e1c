"""Entries that come late, and copies that differ from the others."""

from __future__ import annotations

import unittest

from mesh.cases import params
from zinclever.mesh.consensus import messages as orders
from zinclever.mesh.consensus.quorum import digest
from zinclever.mesh.consensus.replica import Replica
from zinclever.mesh.model.members import World
from zinclever.mesh.transport.mesh_pb2 import ConsensusMessage, LogEntry


def up(seed: int = 1, members: int = 3) -> World:
    """A world whose first voters stands."""
    w = World(seed, members)
    w.run(2.0)
    return w


class Repair(unittest.TestCase):
    """Copies are compared by digests; one that differs from a majority is mended, on its disk, too."""

    def spoil(self, w: World, ip: str) -> None:
        replica = w.machines[ip].replica
        assert replica is not None and replica.accepted is not None
        for entry in (replica.committed, replica.accepted):
            entry.text = b"spoilt"
        replica.committed_digest = digest(replica.committed)

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
        ahead.index, ahead.text = ahead.index + 1, b"next"
        replica.accepted = ahead
        sound = LogEntry()
        sound.CopyFrom(replica.committed)
        replica.committed.text = b"spoilt"
        replica.committed_digest = digest(replica.committed)
        replica.on_snapshot(w.now, sound)
        self.assertEqual((replica.committed.text, replica.accepted.text), (b"config 5", b"next"))
        self.assertFalse([a for a in replica.actions if isinstance(a, orders.Persist)])


class LateEntries(unittest.TestCase):
    """Messages of one leader that overtake each other: found by the explorer, after a pause."""

    def follower(self) -> tuple[World, Replica]:
        w = up()
        (ip,) = w.leaders()
        replica = next(m.replica for o, m in w.machines.items() if o != ip)
        assert replica is not None
        replica.actions.clear()
        return w, replica

    def append(self, w: World, replica: Replica, number: int, term: int = 1, entry_term: int | None = None) -> None:
        """``entry_term``: that of the entry, where it is another than the leader's."""
        entry = LogEntry(term=entry_term or term, index=number, voters=replica.committed.voters, founding_size=3)
        leader = next(v for v in replica.committed.voters if v.disk == replica.leader)
        message = ConsensusMessage(
            kind=orders.MessageKind.APPEND, disk=leader.disk, term=term, index=number, entry=entry, voter=leader
        )
        replica.receive(w.now, message)

    def saves(self, w: World, replica: Replica) -> list[int]:
        """Numbers of the entries that are saved, in order."""
        saves = [a for a in replica.actions if isinstance(a, orders.Persist) and a.entry is not None]
        replica.actions.clear()
        for act in saves:
            replica.on_persisted(w.now, act.token, True)
        return [act.entry.index for act in saves if act.entry is not None]

    @params("is saved", "is being saved")
    def test_an_entry_does_not_overwrite_a_later_one(self, case: str) -> None:
        w, replica = self.follower()
        self.append(w, replica, 4)
        saved = self.saves(w, replica) if case == "is saved" else []
        self.append(w, replica, 3)
        self.assertEqual(saved + self.saves(w, replica), [4])
        self.assertEqual(replica.accepted.index if replica.accepted is not None else 0, 4)

    def test_an_entry_of_a_term_before_does_not_overwrite_a_later_one(self) -> None:
        """The leader has offered what was committed under the term before, and that comes after its own entry."""
        w, replica = self.follower()
        self.append(w, replica, 4, term=5)
        saved = self.saves(w, replica)
        self.append(w, replica, 3, term=5, entry_term=4)
        self.assertEqual(saved + self.saves(w, replica), [4])

    def test_a_newcomer_with_an_entry_that_was_never_committed(self) -> None:
        """It accepted one more entry under a term before, and comes back without a vote: it takes what is committed in
        its place, though no further change comes, and is let in."""
        w = up()
        (former,) = w.leaders()
        w.put(former, 0, 5)
        w.run(0.5)
        w.kill(former)
        w.run(3.0)
        (ip,) = w.leaders()
        leader = w.machines[ip].replica
        assert leader is not None
        self.assertLess(leader.committed.term, leader.term)
        w.add("10.0.0.10")
        newcomer = w.machines["10.0.0.10"]
        never = LogEntry()
        never.CopyFrom(leader.committed)
        never.index, never.text = never.index + 1, b"never committed"
        newcomer.disk.accepted = never
        w.start("10.0.0.10")
        w.run(6.0)
        self.assertIn("10.0.0.10", {v.ip for v in w.newest().voters})

    def test_a_committed_entry_does_not_overwrite_a_later_one(self) -> None:
        w, replica = self.follower()
        self.append(w, replica, 4)
        replica.on_snapshot(
            w.now, LogEntry(term=1, index=3, voters=replica.committed.voters, founding_size=3, text=b"x")
        )
        self.assertEqual(self.saves(w, replica), [4])

    def test_a_leader_of_before_does_not_overwrite_what_was_committed(self) -> None:
        """The voter has heard what is committed under a higher term, without a vote of its own for it."""
        w, replica = self.follower()
        replica.on_snapshot(w.now, LogEntry(term=5, index=3, voters=replica.committed.voters, founding_size=3))
        self.assertEqual(self.saves(w, replica), [3])
        self.append(w, replica, 4, term=1)
        (answer,) = [a.message for a in replica.actions if isinstance(a, orders.Send)]
        self.assertEqual((answer.granted, answer.round), (False, 5))
        self.assertEqual(self.saves(w, replica), [])


if __name__ == "__main__":
    unittest.main()
