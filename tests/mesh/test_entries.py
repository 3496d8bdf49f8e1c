"""Outdated entries that arrive late, and repair of replicas whose committed entry differs from the majority's."""

from __future__ import annotations

import unittest

from mesh.cases import params
from zinclever.mesh.consensus import messages
from zinclever.mesh.consensus.quorum import digest
from zinclever.mesh.consensus.replica import Replica
from zinclever.mesh.model.members import World
from zinclever.mesh.transport.mesh_pb2 import ConsensusMessage, LogEntry


def started_cluster(seed: int = 1, members: int = 3) -> World:
    """A cluster that has been bootstrapped and has a leader."""
    world = World(seed, members)
    world.run(2.0)
    return world


class Repair(unittest.TestCase):
    """Committed entries are compared by digest; one that differs from the majority's is repaired, also on disk."""

    def corrupt(self, world: World, ip: str) -> None:
        replica = world.machines[ip].replica
        assert replica is not None and replica.accepted is not None
        for entry in (replica.committed, replica.accepted):
            entry.text = b"spoilt"
        replica.committed_digest = digest(replica.committed)

    def test_deviating_entry_of_a_follower_is_repaired(self) -> None:
        world = started_cluster()
        (ip,) = world.leaders()
        world.put(ip, 0, 5)
        world.run(0.5)
        follower = next(o for o in world.machines if o != ip)
        self.corrupt(world, follower)
        world.run(1.5)
        m = world.machines[follower]
        assert m.replica is not None and m.disk.accepted is not None
        self.assertEqual((m.replica.committed.text, m.disk.accepted.text), (b"config 5", b"config 5"))
        world.put(ip, 5, 6)
        world.run(0.5)
        self.assertIn(6, world.acked)

    def test_leader_without_a_matching_majority_repairs_nobody(self) -> None:
        world = started_cluster()
        (ip,) = world.leaders()
        world.put(ip, 0, 5)
        world.run(0.5)
        self.corrupt(world, ip)
        world.run(1.5)
        texts = sorted(m.replica.committed.text for m in world.machines.values() if m.replica is not None)
        self.assertEqual(texts, [b"config 5", b"config 5", b"spoilt"])

    def test_repair_keeps_a_later_accepted_entry(self) -> None:
        """A follower that has accepted the next entry must keep it when its committed entry is repaired."""
        world = started_cluster()
        (ip,) = world.leaders()
        world.put(ip, 0, 5)
        world.run(0.5)
        follower = next(o for o in world.machines if o != ip)
        replica = world.machines[follower].replica
        assert replica is not None and replica.accepted is not None
        next_entry = LogEntry()
        next_entry.CopyFrom(replica.accepted)
        next_entry.index, next_entry.text = next_entry.index + 1, b"next"
        replica.accepted = next_entry
        correct_entry = LogEntry()
        correct_entry.CopyFrom(replica.committed)
        replica.committed.text = b"spoilt"
        replica.committed_digest = digest(replica.committed)
        replica.on_snapshot(world.now, correct_entry)
        self.assertEqual((replica.committed.text, replica.accepted.text), (b"config 5", b"next"))
        self.assertFalse([a for a in replica.actions if isinstance(a, messages.Persist)])


class OutdatedEntries(unittest.TestCase):
    """Reordered messages must not overwrite later entries."""

    def follower(self) -> tuple[World, Replica]:
        world = started_cluster()
        (ip,) = world.leaders()
        replica = next(m.replica for o, m in world.machines.items() if o != ip)
        assert replica is not None
        replica.actions.clear()
        return world, replica

    def append(self, world: World, replica: Replica, index: int, term: int = 1, entry_term: int | None = None) -> None:
        """Deliver an append request; ``entry_term`` is the entry's term if it differs from the leader's."""
        entry = LogEntry(term=entry_term or term, index=index, voters=replica.committed.voters, founding_size=3)
        leader = next(v for v in replica.committed.voters if v.disk == replica.leader)
        message = ConsensusMessage(
            kind=messages.MessageKind.APPEND, disk=leader.disk, term=term, index=index, entry=entry, voter=leader
        )
        replica.receive(world.now, message)

    def saved_indexes(self, world: World, replica: Replica) -> list[int]:
        """Complete the pending saves, and return the indexes of their entries in order."""
        saves = [a for a in replica.actions if isinstance(a, messages.Persist) and a.entry is not None]
        replica.actions.clear()
        for action in saves:
            replica.on_persisted(world.now, action.token, True)
        return [action.entry.index for action in saves if action.entry is not None]

    @params("is saved", "is being saved")
    def test_append_does_not_overwrite_a_later_entry(self, case: str) -> None:
        world, replica = self.follower()
        self.append(world, replica, 4)
        saved = self.saved_indexes(world, replica) if case == "is saved" else []
        self.append(world, replica, 3)
        self.assertEqual(saved + self.saved_indexes(world, replica), [4])
        self.assertEqual(replica.accepted.index if replica.accepted is not None else 0, 4)

    def test_append_with_an_earlier_entry_term_does_not_overwrite_a_later_entry(self) -> None:
        """The leader sent an entry committed in an earlier term, which arrives after the leader's own next entry."""
        world, replica = self.follower()
        self.append(world, replica, 4, term=5)
        saved = self.saved_indexes(world, replica)
        self.append(world, replica, 3, term=5, entry_term=4)
        self.assertEqual(saved + self.saved_indexes(world, replica), [4])

    def test_learner_with_an_uncommitted_entry_becomes_a_voter(self) -> None:
        """A learner that accepted a later, never committed entry in an earlier term takes the committed one instead.

        It does so without any further change, and becomes a voter.
        """
        world = started_cluster()
        (old_leader,) = world.leaders()
        world.put(old_leader, 0, 5)
        world.run(0.5)
        world.kill(old_leader)
        world.run(3.0)
        (ip,) = world.leaders()
        leader = world.machines[ip].replica
        assert leader is not None
        self.assertLess(leader.committed.term, leader.term)
        world.add("10.0.0.10")
        learner = world.machines["10.0.0.10"]
        uncommitted = LogEntry()
        uncommitted.CopyFrom(leader.committed)
        uncommitted.index, uncommitted.text = uncommitted.index + 1, b"never committed"
        learner.disk.accepted = uncommitted
        world.start("10.0.0.10")
        world.run(6.0)
        self.assertIn("10.0.0.10", {v.ip for v in world.newest().voters})

    def test_snapshot_does_not_overwrite_a_later_entry(self) -> None:
        world, replica = self.follower()
        self.append(world, replica, 4)
        replica.on_snapshot(
            world.now, LogEntry(term=1, index=3, voters=replica.committed.voters, founding_size=3, text=b"x")
        )
        self.assertEqual(self.saved_indexes(world, replica), [4])

    def test_append_from_an_earlier_leader_does_not_overwrite_a_snapshot(self) -> None:
        """The follower has learned a committed entry of a higher term without having voted in that term."""
        world, replica = self.follower()
        replica.on_snapshot(world.now, LogEntry(term=5, index=3, voters=replica.committed.voters, founding_size=3))
        self.assertEqual(self.saved_indexes(world, replica), [3])
        self.append(world, replica, 4, term=1)
        (answer,) = [a.message for a in replica.actions if isinstance(a, messages.Send)]
        self.assertEqual((answer.granted, answer.round), (False, 5))
        self.assertEqual(self.saved_indexes(world, replica), [])


if __name__ == "__main__":
    unittest.main()
