"""Simulated gossip between many nodes: dissemination bounds, failure detection, partitions and stalls."""

from __future__ import annotations

import random
import unittest

from mesh.cases import params
from zinclever.mesh.membership.record_store import TOMBSTONE_GOSSIP_PERIOD, TOMBSTONE_RETENTION, RecordStore
from zinclever.mesh.membership.records import CONFIG_RECORD_ID, MemberState, RecordKey, RecordKind
from zinclever.mesh.model.field import Field, endpoint
from zinclever.mesh.transport.mesh_pb2 import EndpointInfo, GossipMessage, NodeInfo, Record, Version

DRAIN_BOUND = 2.0  # s in which every node has to know of a drain
RECONNECT_BOUND = 3.0  # s after a partition or a stall in which a node has to be up to date


def joined_simulation(count: int, **options: float) -> Field:
    """Return a simulation of ``count`` nodes that have joined the mesh."""
    sim = Field(count, **options)  # type: ignore[arg-type]
    sim.run(5.0)
    return sim


class Dissemination(unittest.TestCase):
    @params((15, 0.0), (15, 0.1), (50, 0.0), (50, 0.1))
    def test_a_drain_reaches_all_nodes_within_the_bound(self, count: int, loss: float) -> None:
        sim = joined_simulation(count, loss=loss)
        sim.duplicates = loss
        for n in range(6):
            drain = endpoint(f"e{n}", rank=1)
            sim.tell(sim.rng.choice(sim.names), drain)
            self.assertLess(sim.time_to_reach_all(drain), DRAIN_BOUND)

    def test_the_traffic_per_node_does_not_grow_with_the_mesh(self) -> None:
        rates: list[float] = []
        for count in (15, 60):
            sim = joined_simulation(count)
            sim.bytes = sim.datagrams = 0
            sim.run(10.0)
            rates.append(sim.datagrams / count / 10.0)
        self.assertLess(rates[1], 1.3 * rates[0])

    def test_the_traffic_of_a_simultaneous_start_is_bounded(self) -> None:
        """Links may be slow, so 70 nodes that start at once must not send too much."""
        sim = Field(70)
        sim.run(6.0)
        self.assertEqual({len(node.members.others()) for node in sim.gossips.values()}, {69})
        self.assertLess(sim.bytes / 70, 70_000)

    def test_idle_traffic_consists_of_root_digests(self) -> None:
        sim = joined_simulation(20)
        sim.run(5.0)
        sim.bytes = 0
        sim.run(10.0)
        self.assertLess(sim.bytes / 20 / 10.0, 500)  # 64 range digests would be 700 bytes, twice a second

    def test_nodes_without_root_digests_are_interoperable(self) -> None:
        sim = Field(12)
        for n, node in enumerate(sim.gossips.values()):
            if n % 2:  # neither understands nor sends root digests
                own_record = node.records.by_key[RecordKey(RecordKind.NODE, node.name)]
                body = NodeInfo.FromString(own_record.body)
                body.protocol_version = 0
                own_record.body = body.SerializeToString()
        sim.run(5.0)
        sim.gossips["b3"].broadcasts.retransmits.clear()
        sim.gossips["b3"].records.apply(sim.now, endpoint("quiet"))  # not broadcast, so only digests deliver it
        sim.run(6.0)
        self.assertEqual(sim.count_holders(endpoint("quiet")), 12)

    def test_an_equal_root_digest_means_joined(self) -> None:
        sim = joined_simulation(2)
        node, other = sim.gossips["b0"], sim.gossips["b1"]
        for root_digest, expected in ((other.records.root_digest() ^ 1, False), (other.records.root_digest(), True)):
            node.anti_entropy.joined = False
            node.receive(sim.now, GossipMessage(sender="b1", incarnation=1, root_digest=root_digest), sim.address("b1"))
            self.assertIs(node.anti_entropy.joined, expected)

    def test_urgent_records_bypass_the_rate_limit(self) -> None:
        sim = joined_simulation(20)
        for node in sim.gossips.values():
            node.transmitter.rate = node.transmitter.credit = 0.0
        drain, heartbeat = endpoint("e1", rank=1), endpoint("e2")
        sim.tell("b3", heartbeat)
        sim.tell("b3", drain)
        sim.run(0.3)
        self.assertEqual(sim.count_holders(drain), 20)
        self.assertLess(sim.count_holders(heartbeat), 20)
        sim.run(20.0)  # digests deliver the rest
        self.assertEqual(sim.count_holders(heartbeat), 20)

    def test_records_converge_after_a_partition(self) -> None:
        sim = joined_simulation(16)
        left, right = sim.names[:8], sim.names[8:]
        sim.cut = {(a, b) for a in left for b in right} | {(b, a) for a in left for b in right}
        for n in range(5):
            sim.tell(left[0], endpoint(f"l{n}"))
            sim.tell(right[0], endpoint(f"r{n}"))
        sim.run(30.0)  # each side has declared the other dead
        self.assertEqual(sim.gossips[left[0]].members.state_of(right[0]), MemberState.DEAD)
        sim.cut.clear()
        sim.run(8.0)
        for node in sim.gossips.values():
            self.assertEqual([node.members.state_of(n) for n in sim.names], [MemberState.ALIVE] * 16)
            for n in range(5):
                self.assertIsNotNone(node.records.get(RecordKind.ENDPOINT, f"l{n}"))
                self.assertIsNotNone(node.records.get(RecordKind.ENDPOINT, f"r{n}"))

    @params(
        ("a late heartbeat does not override a drain", [(3, 1, 0), (2, 0, 0)], (3, 1, 0)),
        ("a drain with the same seq wins", [(3, 0, 0), (3, 1, 0)], (3, 1, 0)),
        ("a departure overrides all heartbeats", [(2**62, 2, 0), (9, 0, 0)], (2**62, 2, 0)),
        ("a later incarnation wins", [(9, 2, 0), (1, 0, 1)], (1, 0, 1)),
        ("an earlier incarnation loses", [(1, 0, 1), (9, 2, 0)], (1, 0, 1)),
    )
    def test_precedence_of_endpoint_records(
        self, name: str, versions: list[tuple[int, int, int]], expected: tuple[int, int, int]
    ) -> None:
        records = RecordStore()
        for seq, rank, incarnation in versions:
            records.apply(0.0, endpoint(seq=seq, rank=rank, life=incarnation))
        record = records.by_key[RecordKey(RecordKind.ENDPOINT, "e1")]
        self.assertEqual((record.seq, record.rank, record.incarnation), expected, name)

    def test_tombstones_reject_old_records_until_they_expire(self) -> None:
        records = RecordStore()
        records.apply(0.0, endpoint(seq=5, rank=2))
        self.assertTrue(records.digests())
        records.expire(TOMBSTONE_GOSSIP_PERIOD + 0.1)
        self.assertFalse(records.digests())
        self.assertFalse(records.apply(TOMBSTONE_GOSSIP_PERIOD + 0.2, endpoint(seq=4)))
        records.expire(TOMBSTONE_RETENTION + 0.1)
        self.assertFalse(records.by_key)

    def test_digests_do_not_depend_on_the_order_of_changes(self) -> None:
        rng = random.Random(7)
        updates = [endpoint(f"e{rng.randrange(6)}", rng.randrange(9), rng.randrange(3)) for _ in range(200)]
        a, b = RecordStore(), RecordStore()
        for record in updates:
            a.apply(0.0, record)
        rng.shuffle(updates)
        for record in updates + updates:
            b.apply(0.0, record)
        self.assertEqual(a.range_digests, b.range_digests)
        self.assertFalse(a.differing_ranges(b.digests()))


def version(index: int) -> Record:
    body = Version(index=index, generation=index).SerializeToString()
    return Record(kind=RecordKind.VERSION, id=CONFIG_RECORD_ID, incarnation=index, body=body)


def partition(sim: Field, side: list[str]) -> None:
    """Drop all datagrams between ``side`` and the other nodes."""
    others = [n for n in sim.names if n not in side]
    sim.cut = {(a, b) for a in side for b in others} | {(b, a) for a in side for b in others}


def time_to_converge(sim: Field, records: list[Record]) -> float:
    """Return the seconds until all nodes hold all the records."""
    return sum(sim.time_to_reach_all(record) for record in records)


class Recovery(unittest.TestCase):
    """Nodes that were partitioned or stalled get the records that they missed within the bound."""

    @params((15, 1, 20.0), (15, 5, 20.0), (15, 5, 70.0), (70, 23, 13.0))
    def test_after_a_partition(self, count: int, partitioned: int, duration: float) -> None:
        sim = joined_simulation(count, loss=0.02)
        sim.tell("b1", version(1))
        for n in range(2):
            sim.tell("b1", endpoint(f"e{n}"))
        sim.run(3.0)
        partition(sim, sim.names[-partitioned:])
        sim.run(1.0)
        departure, drain = endpoint("e0", seq=2**62, rank=2), endpoint("e1", seq=5, rank=1)
        sim.tell("b1", departure)  # excluded from all digests by the end of the partition
        sim.run(duration - 2.0)
        sim.tell("b1", version(2))
        sim.tell("b1", drain)
        sim.run(1.0)
        sim.cut.clear()
        missed = [version(2), drain, departure] if duration < TOMBSTONE_RETENTION else [version(2), drain]
        self.assertLess(time_to_converge(sim, missed), RECONNECT_BOUND)

    @params((1.5, 9999), (5.0, 9999), (20.0, 9999), (20.0, 20))
    def test_after_a_stall(self, duration: float, buffered: int) -> None:
        """``buffered``: number of datagrams, the oldest, that the kernel buffers for a stalled node."""
        sim = joined_simulation(15, loss=0.02)
        sim.tell("b1", version(1))
        sim.tell("b1", endpoint("e1"))
        sim.run(3.0)
        stalled = sim.names[-3:]
        for name in stalled:
            sim.freeze(name)
        sim.run(duration - 1.0)
        sim.tell("b1", version(2))
        sim.tell("b1", endpoint("e1", seq=5, rank=1))
        sim.run(1.0)
        for name in stalled:
            del sim.frozen[name][buffered:]
            sim.thaw(name)
        self.assertLess(time_to_converge(sim, [version(2), endpoint("e1", seq=5, rank=1)]), RECONNECT_BOUND)

    def test_a_returning_node_gets_the_newest_version_at_once(self) -> None:
        """The version is sent with the first reply, before digests are compared."""
        sim = joined_simulation(5)
        sim.tell("b1", version(1))
        sim.run(2.0)
        partition(sim, ["b4"])
        sim.run(10.0)
        node = sim.gossips["b2"]
        self.assertEqual(node.members.state_of("b4"), MemberState.DEAD)
        node.transmitter.outbox.clear()
        node.receive(sim.now, GossipMessage(sender="b4", incarnation=1, ping=7), sim.address("b4"))
        kinds = [record.kind for _, message in node.transmitter.outbox for record in message.records]
        self.assertEqual(kinds, [RecordKind.NODE, RecordKind.VERSION])


class FailureDetection(unittest.TestCase):
    def test_a_killed_node_is_declared_dead_everywhere(self) -> None:
        sim = joined_simulation(15)
        del sim.gossips["b9"]
        sim.run(8.0)
        self.assertEqual({node.members.state_of("b9") for node in sim.gossips.values()}, {MemberState.DEAD})

    def test_a_node_whose_address_another_one_has_got_is_declared_dead(self) -> None:
        """Guards against endpoints that stay listed, as the new node at their address answers the probes."""
        sim = joined_simulation(15)
        del sim.gossips["b9"]
        sim.reused_addresses["b99"] = sim.address("b9")
        sim.add("b99")
        sim.run(10.0)
        self.assertEqual({node.members.state_of("b9") for node in sim.gossips.values()}, {MemberState.DEAD})

    def test_a_declaration_names_its_author_and_reason(self) -> None:
        sim = joined_simulation(15)
        del sim.gossips["b9"]
        while sim.gossips["b1"].members.state_of("b9") is not MemberState.SUSPECT:
            sim.run(0.1)
        info = sim.gossips["b1"].members.node_info("b9")
        assert info is not None
        self.assertIn(info.declared_by, sim.names)
        self.assertIn("nor through", info.reason)
        sim.run(5.0)
        info = sim.gossips["b1"].members.node_info("b9")
        assert info is not None
        self.assertIn("and said nothing (by b", info.reason)
        sim.add("b9", life=2)
        sim.run(5.0)
        info = sim.gossips["b1"].members.node_info("b9")
        assert info is not None
        self.assertEqual(info.reason, "")

    def test_stalled_nodes_do_not_declare_others_dead(self) -> None:
        sim = joined_simulation(30)
        frozen = ["b4", "b11", "b23"]
        for name in frozen:
            sim.freeze(name)
        sim.run(10.0)
        sim.deaths.clear()
        for name in frozen:
            sim.thaw(name)
        sim.run(5.0)
        # Stalled nodes do not declare others dead for answers that they missed.
        self.assertEqual([death for death in sim.deaths if death[2] not in frozen], [])
        for node in sim.gossips.values():
            self.assertEqual({node.members.state_of(n) for n in sim.names}, {MemberState.ALIVE})

    def test_a_partition_between_two_zones_causes_no_deaths(self) -> None:
        """Indirect probes succeed through the nodes of the third zone, which reach both."""
        sim = joined_simulation(15)
        zones = [sim.names[n::3] for n in range(3)]
        sim.cut = {(a, b) for a in zones[0] for b in zones[1]} | {(b, a) for a in zones[0] for b in zones[1]}
        sim.deaths.clear()
        sim.run(30.0)
        self.assertEqual(sim.deaths, [])

    def test_packet_loss_causes_no_deaths(self) -> None:
        sim = joined_simulation(15, loss=0.05)
        sim.deaths.clear()
        sim.run(600.0)
        self.assertEqual(sim.deaths, [])

    def test_a_one_way_partition_between_two_nodes_causes_no_deaths(self) -> None:
        sim = joined_simulation(15)
        sim.cut = {("b4", "b9"), ("b9", "b5")}
        sim.deaths.clear()
        sim.run(60.0)
        self.assertEqual(sim.deaths, [])

    def test_the_health_score_rises_without_answers_and_recovers(self) -> None:
        """A node on a congested link receives answers late, and has to wait longer before it suspects others."""
        sim = joined_simulation(15)
        node = sim.gossips["b4"]
        sim.cut = {(n, "b4") for n in sim.names if n != "b4"}
        sim.run(4.0)
        self.assertGreater(node.failure_detector.health_score, 1)
        sim.cut.clear()
        sim.run(8.0)
        self.assertLess(node.failure_detector.health_score, 2)

    def test_a_stalled_node_declares_nobody_dead(self) -> None:
        sim = joined_simulation(15)
        sim.freeze("b4")
        sim.run(10.0)
        sim.deaths.clear()
        sim.thaw("b4")
        sim.run(6.0)
        self.assertEqual([death for death in sim.deaths if death[1] == "b4"], [])
        self.assertEqual({node.members.state_of("b4") for node in sim.gossips.values()}, {MemberState.ALIVE})

    def test_a_restart_with_a_clock_set_back_is_accepted(self) -> None:
        sim = joined_simulation(9)
        del sim.gossips["b5"]
        sim.run(8.0)
        sim.add("b5", life=0)  # incarnations come from the clock, which was set back
        sim.run(6.0)
        self.assertEqual({node.members.state_of("b5") for node in sim.gossips.values()}, {MemberState.ALIVE})

    @params(3.0, 20.0, 40.0)
    def test_a_node_that_left_may_return_with_a_clock_set_back(self, absence: float) -> None:
        """Its tombstone may be excluded from the digests, but is still retained."""
        sim = joined_simulation(9)
        sim.gossips["b5"].leave(sim.now)
        sim.flush("b5")
        sim.run(0.5)
        del sim.gossips["b5"]
        sim.run(absence)
        sim.add("b5", life=0)
        sim.run(0.6)
        self.assertEqual({node.members.state_of("b5") for node in sim.gossips.values()}, {MemberState.ALIVE})

    def test_endpoints_of_a_lost_sidecar_are_removed(self) -> None:
        sim = joined_simulation(6)
        info = EndpointInfo(service="one", sidecar="b5").SerializeToString()
        sim.tell("b5", Record(kind=2, id="e1", seq=1, body=info))
        sim.tell("b5", Record(kind=2, id="e2", seq=1, body=EndpointInfo(sidecar="b1").SerializeToString()))
        sim.run(1.0)
        del sim.gossips["b5"]
        sim.run(10.0 + 3 * TOMBSTONE_RETENTION)
        for node in sim.gossips.values():
            self.assertEqual([r.id for r in node.records.of_kind(RecordKind.ENDPOINT)], ["e2"])
            self.assertEqual(node.orphan_detector.orphaned_since, {})

    def test_half_of_the_nodes_are_killed_at_once(self) -> None:
        sim = joined_simulation(20)
        for n in sim.names[10:]:
            del sim.gossips[n]
        sim.run(15.0)
        for node in sim.gossips.values():
            self.assertEqual(set(node.members.others()) | {node.name}, set(sim.names[:10]))

    def test_all_nodes_start_at_once(self) -> None:
        sim = Field(50)
        sim.run(4.0)
        self.assertEqual({len(node.members.others()) for node in sim.gossips.values()}, {49})


if __name__ == "__main__":
    unittest.main()
