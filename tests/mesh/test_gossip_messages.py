"""Handling of gossip messages by single nodes: bounds, invalid messages, receipts and refutations."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from mesh.cases import params
from zinclever.mesh.membership import gossip
from zinclever.mesh.membership.gossip import Gossip
from zinclever.mesh.membership.records import CONFIG_RECORD_ID, RecordKey, RecordKind
from zinclever.mesh.model.field import Field, endpoint
from zinclever.mesh.transport.mesh_pb2 import EndpointInfo, GossipMessage, NodeInfo, Record, Version

DRAIN_BOUND = 2.0  # s in which every node has to know of a drain
RECONNECT_BOUND = 3.0  # s after a partition or a stall in which a node has to be up to date


def joined_simulation(count: int, **options: float) -> Field:
    """Return a simulation of ``count`` nodes that have joined the mesh."""
    sim = Field(count, **options)  # type: ignore[arg-type]
    sim.run(5.0)
    return sim


def version(index: int) -> Record:
    body = Version(index=index, generation=index).SerializeToString()
    return Record(kind=RecordKind.VERSION, id=CONFIG_RECORD_ID, incarnation=index, body=body)


class Messages(unittest.TestCase):
    def test_datagrams_are_bounded_in_size(self) -> None:
        sim = joined_simulation(50)
        for n in range(100):
            sim.tell("b1", Record(kind=2, id=f"e{n}", seq=1, body=EndpointInfo(service="x" * 150).SerializeToString()))
        sim.run(3.0)
        self.assertLess(sim.longest, 2000)

    @params(
        b"",
        b"\x0a\x00",
        GossipMessage(sender="b1", digests=[]).SerializeToString(),
        GossipMessage(sender="x", incarnation=1, ranges=[9999], records=[Record(kind=7, id="?")]).SerializeToString(),
        GossipMessage(
            sender="x", records=[Record(kind=RecordKind.NODE, id="b9", incarnation=9, body=b"\xff\xff")]
        ).SerializeToString(),
    )
    def test_invalid_messages_are_ignored(self, data: bytes) -> None:
        sim = joined_simulation(3)
        node = sim.gossips["b0"]
        node.receive(sim.now, GossipMessage.FromString(data), ("10.9.9.9", 9))
        sim.run(2.0)
        self.assertEqual(len(node.members.others()), 2)
        self.assertNotIn("x", node.failure_detector.last_contact)

    def test_a_record_is_resent_until_its_receipt_arrives(self) -> None:
        sim = joined_simulation(4)
        sim.cut = {("b0", "b1")}
        broadcast_id = sim.gossips["b0"].broadcast_confirmed(sim.now, endpoint(rank=1), ["b1", "b2"])
        sim.flush("b0")
        sim.run(0.5)
        self.assertEqual(sim.gossips["b0"].broadcasts.awaiting_receipts[broadcast_id].confirmed_by, {"b2"})
        sim.cut.clear()
        sim.run(0.5)
        self.assertEqual(sim.gossips["b0"].broadcasts.awaiting_receipts[broadcast_id].confirmed_by, {"b1", "b2"})

    def test_no_receipt_for_a_record_that_is_superseded(self) -> None:
        """The sender gets the superseding record instead."""
        sim = joined_simulation(4)
        sim.cut = {("b2", n) for n in sim.names}
        sim.tell("b2", endpoint(seq=1, life=1))
        sim.cut.clear()
        broadcast_id = sim.gossips["b0"].broadcast_confirmed(sim.now, endpoint(seq=3, rank=1), ["b1", "b2"])
        sim.flush("b0")
        sim.run(0.1)
        self.assertEqual(sim.gossips["b0"].broadcasts.awaiting_receipts[broadcast_id].confirmed_by, {"b1"})
        self.assertEqual(sim.gossips["b0"].records.by_key[RecordKey(RecordKind.ENDPOINT, "e1")].incarnation, 1)

    def test_no_receipt_for_a_record_that_a_full_store_rejects(self) -> None:
        sim = joined_simulation(3)
        with mock.patch.object(gossip, "MAX_RECORDS", 3):
            broadcast_id = sim.gossips["b0"].broadcast_confirmed(sim.now, endpoint(rank=1), ["b1", "b2"])
            sim.flush("b0")
            sim.run(0.5)
        self.assertEqual(sim.gossips["b0"].broadcasts.awaiting_receipts[broadcast_id].confirmed_by, set())

    def test_a_confirmed_drain_spreads_after_its_sender_fails(self) -> None:
        """Once two other nodes have confirmed it, all nodes know of it within the bound."""
        sim = joined_simulation(30, loss=0.05)
        for n in range(5):
            sender, drain = sim.names[n], endpoint(f"e{n}", rank=1)
            broadcast_id = sim.gossips[sender].broadcast_confirmed(sim.now, drain, sim.names[10:13])
            sim.flush(sender)
            broadcast = sim.gossips[sender].broadcasts.awaiting_receipts[broadcast_id]
            while len(broadcast.confirmed_by) < 2:
                sim.run(0.005)
            del sim.gossips[sender]
            self.assertLess(sim.time_to_reach_all(drain), DRAIN_BOUND)

    def test_a_node_refutes_its_declared_death(self) -> None:
        node = Gossip("me", 5, NodeInfo(ip="10.0.0.1", port=7), [], 0.0, random.Random(1))
        node.receive(
            0.1,
            GossipMessage(sender="b2", records=[Record(kind=RecordKind.NODE, id="me", incarnation=5, seq=1, rank=2)]),
            ("10.0.0.2", 7),
        )
        own_record = node.records.by_key[RecordKey(RecordKind.NODE, "me")]
        self.assertEqual((own_record.incarnation, own_record.seq, own_record.rank), (5, 2, 0))


if __name__ == "__main__":
    unittest.main()
