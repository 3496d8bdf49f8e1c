"""Who is there and what is known, in simulated time."""

from __future__ import annotations

import random
import unittest

from mesh.cases import params
from zinclever.mesh.membership.record_store import TOMBSTONE_GOSSIP_PERIOD, TOMBSTONE_RETENTION, RecordStore
from zinclever.mesh.membership.records import CONFIG_RECORD_ID, MemberState, RecordKey, RecordKind
from zinclever.mesh.model.field import Field, endpoint
from zinclever.mesh.transport.mesh_pb2 import EndpointInfo, GossipMessage, NodeInfo, Record, Version

DRAIN_WITHIN = 2.0  # s, by the rules
IN_TOUCH = 3.0  # s after which a machine that was cut off or stood still counts as in touch, by the rules


def met(count: int, **more: float) -> Field:
    f = Field(count, **more)  # type: ignore[arg-type]
    f.run(5.0)
    return f


class News(unittest.TestCase):
    @params((15, 0.0), (15, 0.1), (50, 0.0), (50, 0.1))
    def test_reaches_all_within_the_bound(self, count: int, loss: float) -> None:
        f = met(count, loss=loss)
        f.duplicates = loss
        for n in range(6):
            drain = endpoint(f"e{n}", rank=1)
            f.tell(f.rng.choice(f.names), drain)
            self.assertLess(f.time_to_reach_all(drain), DRAIN_WITHIN)

    def test_costs_per_sidecar_stay_flat(self) -> None:
        each: list[float] = []
        for count in (15, 60):
            f = met(count)
            f.bytes = f.datagrams = 0
            f.run(10.0)
            each.append(f.datagrams / count / 10.0)
        self.assertLess(each[1], 1.3 * each[0])

    def test_a_start_of_many_crowds_no_link(self) -> None:
        """What 70 send each as all come up at once: links may be slow."""
        f = Field(70)
        f.run(6.0)
        self.assertEqual({len(s.members.others()) for s in f.gossips.values()}, {69})
        self.assertLess(f.bytes / 70, 70_000)

    def test_at_rest_a_root_is_enough(self) -> None:
        f = met(20)
        f.run(5.0)
        f.bytes = 0
        f.run(10.0)
        self.assertLess(f.bytes / 20 / 10.0, 500)  # 64 sums alone are 700 bytes, twice a second

    def test_versions_of_before_and_after_meet(self) -> None:
        f = Field(12)
        for n, s in enumerate(f.gossips.values()):
            if n % 2:  # understands no roots, and sends none
                mine = s.records.by_key[RecordKey(RecordKind.NODE, s.name)]
                body = NodeInfo.FromString(mine.body)
                body.protocol_version = 0
                mine.body = body.SerializeToString()
        f.run(5.0)
        f.gossips["b3"].broadcasts.retransmits.clear()
        f.gossips["b3"].records.apply(f.now, endpoint("quiet"))  # told to nobody: digests bring it
        f.run(6.0)
        self.assertEqual(f.count_holders(endpoint("quiet")), 12)

    def test_one_that_knows_the_same_has_met(self) -> None:
        f = met(2)
        s, other = f.gossips["b0"], f.gossips["b1"]
        for root, want in ((other.records.root_digest() ^ 1, False), (other.records.root_digest(), True)):
            s.anti_entropy.joined = False
            s.receive(f.now, GossipMessage(sender="b1", incarnation=1, root_digest=root), f.address("b1"))
            self.assertIs(s.anti_entropy.joined, want)

    def test_what_has_a_bound_goes_before_the_rate_allows_it(self) -> None:
        f = met(20)
        for s in f.gossips.values():
            s.transmitter.rate = s.transmitter.credit = 0.0
        drain, beat = endpoint("e1", rank=1), endpoint("e2")
        f.tell("b3", beat)
        f.tell("b3", drain)
        f.run(0.3)
        self.assertEqual(f.count_holders(drain), 20)
        self.assertLess(f.count_holders(beat), 20)
        f.run(20.0)  # digests bring the rest
        self.assertEqual(f.count_holders(beat), 20)

    def test_two_sides_of_a_cut_agree_again(self) -> None:
        f = met(16)
        left, right = f.names[:8], f.names[8:]
        f.cut = {(a, b) for a in left for b in right} | {(b, a) for a in left for b in right}
        for n in range(5):
            f.tell(left[0], endpoint(f"l{n}"))
            f.tell(right[0], endpoint(f"r{n}"))
        f.run(30.0)  # each side takes the other for dead by now
        self.assertEqual(f.gossips[left[0]].members.state_of(right[0]), MemberState.DEAD)
        f.cut.clear()
        f.run(8.0)
        for s in f.gossips.values():
            self.assertEqual([s.members.state_of(n) for n in f.names], [MemberState.ALIVE] * 16)
            for n in range(5):
                self.assertIsNotNone(s.records.get(RecordKind.ENDPOINT, f"l{n}"))
                self.assertIsNotNone(s.records.get(RecordKind.ENDPOINT, f"r{n}"))

    @params(
        ("a late beat never undoes a drain", [(3, 1, 0), (2, 0, 0)], (3, 1, 0)),
        ("a drain with the same number holds", [(3, 0, 0), (3, 1, 0)], (3, 1, 0)),
        ("a departure is behind all beats", [(2**62, 2, 0), (9, 0, 0)], (2**62, 2, 0)),
        ("another life is newer", [(9, 2, 0), (1, 0, 1)], (1, 0, 1)),
        ("an earlier life is older", [(1, 0, 1), (9, 2, 0)], (1, 0, 1)),
    )
    def test_order_of_an_endpoints_news(
        self, name: str, told: list[tuple[int, int, int]], want: tuple[int, int, int]
    ) -> None:
        records = RecordStore()
        for seq, rank, life in told:
            records.apply(0.0, endpoint(seq=seq, rank=rank, life=life))
        r = records.by_key[RecordKey(RecordKind.ENDPOINT, "e1")]
        self.assertEqual((r.seq, r.rank, r.incarnation), want, name)

    def test_ended_lives_are_remembered_and_forgotten(self) -> None:
        records = RecordStore()
        records.apply(0.0, endpoint(seq=5, rank=2))
        self.assertTrue(records.digests())
        records.expire(TOMBSTONE_GOSSIP_PERIOD + 0.1)
        self.assertFalse(records.digests())
        self.assertFalse(records.apply(TOMBSTONE_GOSSIP_PERIOD + 0.2, endpoint(seq=4)))
        records.expire(TOMBSTONE_RETENTION + 0.1)
        self.assertFalse(records.by_key)

    def test_digests_follow_any_order_of_changes(self) -> None:
        rng = random.Random(7)
        told = [endpoint(f"e{rng.randrange(6)}", rng.randrange(9), rng.randrange(3)) for _ in range(200)]
        a, b = RecordStore(), RecordStore()
        for r in told:
            a.apply(0.0, r)
        rng.shuffle(told)
        for r in told + told:
            b.apply(0.0, r)
        self.assertEqual(a.range_digests, b.range_digests)
        self.assertFalse(a.differing_ranges(b.digests()))


def version(number: int) -> Record:
    body = Version(index=number, generation=number).SerializeToString()
    return Record(kind=RecordKind.VERSION, id=CONFIG_RECORD_ID, incarnation=number, body=body)


def cut(f: Field, side: list[str]) -> None:
    others = [n for n in f.names if n not in side]
    f.cut = {(a, b) for a in side for b in others} | {(b, a) for a in side for b in others}


def run_until_caught_up(f: Field, news: list[Record]) -> float:
    """s until everybody knows all of it."""
    return sum(f.time_to_reach_all(r) for r in news)


class BackAgain(unittest.TestCase):
    """What was said while some were cut off or stood still is known to them before they count as in touch."""

    @params((15, 1, 20.0), (15, 5, 20.0), (15, 5, 70.0), (70, 23, 13.0))
    def test_after_a_cut(self, count: int, most: int, span: float) -> None:
        f = met(count, loss=0.02)
        f.tell("b1", version(1))
        for n in range(2):
            f.tell("b1", endpoint(f"e{n}"))
        f.run(3.0)
        cut(f, f.names[-most:])
        f.run(1.0)
        departure, drain = endpoint("e0", seq=2**62, rank=2), endpoint("e1", seq=5, rank=1)
        f.tell("b1", departure)  # it has faded from all digests by the end of the cut
        f.run(span - 2.0)
        f.tell("b1", version(2))
        f.tell("b1", drain)
        f.run(1.0)
        f.cut.clear()
        news = [version(2), drain, departure] if span < TOMBSTONE_RETENTION else [version(2), drain]
        self.assertLess(run_until_caught_up(f, news), IN_TOUCH)

    @params((1.5, 9999), (5.0, 9999), (20.0, 9999), (20.0, 20))
    def test_after_a_standstill(self, span: float, kept: int) -> None:
        """``kept``: datagrams that its kernel has room for meanwhile, the oldest."""
        f = met(15, loss=0.02)
        f.tell("b1", version(1))
        f.tell("b1", endpoint("e1"))
        f.run(3.0)
        stood = f.names[-3:]
        for name in stood:
            f.freeze(name)
        f.run(span - 1.0)
        f.tell("b1", version(2))
        f.tell("b1", endpoint("e1", seq=5, rank=1))
        f.run(1.0)
        for name in stood:
            del f.frozen[name][kept:]
            f.thaw(name)
        self.assertLess(run_until_caught_up(f, [version(2), endpoint("e1", seq=5, rank=1)]), IN_TOUCH)

    def test_the_first_word_after_a_silence_is_answered_with_the_newest_version(self) -> None:
        """Not only once digests have been compared."""
        f = met(5)
        f.tell("b1", version(1))
        f.run(2.0)
        cut(f, ["b4"])
        f.run(10.0)
        s = f.gossips["b2"]
        self.assertEqual(s.members.state_of("b4"), MemberState.DEAD)
        s.transmitter.outbox.clear()
        s.receive(f.now, GossipMessage(sender="b4", incarnation=1, ping=7), f.address("b4"))
        told = [r.kind for _, w in s.transmitter.outbox for r in w.records]
        self.assertEqual(told, [RecordKind.NODE, RecordKind.VERSION])


class EachOther(unittest.TestCase):
    def test_a_death_is_known_to_all(self) -> None:
        f = met(15)
        del f.gossips["b9"]
        f.run(8.0)
        self.assertEqual({s.members.state_of("b9") for s in f.gossips.values()}, {MemberState.DEAD})

    def test_who_says_so_and_why(self) -> None:
        f = met(15)
        del f.gossips["b9"]
        while f.gossips["b1"].members.state_of("b9") is not MemberState.SUSPECT:
            f.run(0.1)
        info = f.gossips["b1"].members.node_info("b9")
        assert info is not None
        self.assertIn(info.declared_by, f.names)
        self.assertIn("nor through", info.reason)
        f.run(5.0)
        info = f.gossips["b1"].members.node_info("b9")
        assert info is not None
        self.assertIn("and said nothing (by b", info.reason)
        f.add("b9", life=2)
        f.run(5.0)
        info = f.gossips["b1"].members.node_info("b9")
        assert info is not None
        self.assertEqual(info.reason, "")

    def test_a_tenth_frozen_for_ten_seconds(self) -> None:
        f = met(30)
        frozen = ["b4", "b11", "b23"]
        for name in frozen:
            f.freeze(name)
        f.run(10.0)
        f.deaths.clear()
        for name in frozen:
            f.thaw(name)
        f.run(5.0)
        self.assertEqual([d for d in f.deaths if d[2] not in frozen], [])  # they doubt themselves first
        for s in f.gossips.values():
            self.assertEqual({s.members.state_of(n) for n in f.names}, {MemberState.ALIVE})

    def test_a_zone_cut_from_a_zone_removes_nobody(self) -> None:
        """Those of the third zone hear both: second opinions go through them."""
        f = met(15)
        zones = [f.names[n::3] for n in range(3)]
        f.cut = {(a, b) for a in zones[0] for b in zones[1]} | {(b, a) for a in zones[0] for b in zones[1]}
        f.deaths.clear()
        f.run(30.0)
        self.assertEqual(f.deaths, [])

    def test_nobody_living_is_removed_by_losses(self) -> None:
        f = met(15, loss=0.05)
        f.deaths.clear()
        f.run(600.0)
        self.assertEqual(f.deaths, [])

    def test_one_way_cut_between_two_removes_nobody(self) -> None:
        f = met(15)
        f.cut = {("b4", "b9"), ("b9", "b5")}
        f.deaths.clear()
        f.run(60.0)
        self.assertEqual(f.deaths, [])

    def test_one_that_nobody_answers_doubts_itself(self) -> None:
        """Its own link is crowded: the others answer, and it hears of it late. It waits for longer, and takes fewer
        for dead than it would."""
        f = met(15)
        s = f.gossips["b4"]
        f.cut = {(n, "b4") for n in f.names if n != "b4"}
        f.run(4.0)
        self.assertGreater(s.failure_detector.health_score, 1)
        f.cut.clear()
        f.run(8.0)
        self.assertLess(s.failure_detector.health_score, 2)

    def test_a_frozen_one_finds_out_before_it_judges(self) -> None:
        f = met(15)
        f.freeze("b4")
        f.run(10.0)
        f.deaths.clear()
        f.thaw("b4")
        f.run(6.0)
        self.assertEqual([d for d in f.deaths if d[1] == "b4"], [])
        self.assertEqual({s.members.state_of("b4") for s in f.gossips.values()}, {MemberState.ALIVE})

    def test_a_life_with_a_clock_set_back_is_believed(self) -> None:
        f = met(9)
        del f.gossips["b5"]
        f.run(8.0)
        f.add("b5", life=0)  # its clock is an hour behind that of its earlier life
        f.run(6.0)
        self.assertEqual({s.members.state_of("b5") for s in f.gossips.values()}, {MemberState.ALIVE})

    @params(3.0, 20.0, 40.0)
    def test_one_that_left_and_comes_back_with_a_clock_set_back(self, away: float) -> None:
        """Its end is in no digest any more, but is remembered still."""
        f = met(9)
        f.gossips["b5"].leave(f.now)
        f.flush("b5")
        f.run(0.5)
        del f.gossips["b5"]
        f.run(away)
        f.add("b5", life=0)
        f.run(0.6)
        self.assertEqual({s.members.state_of("b5") for s in f.gossips.values()}, {MemberState.ALIVE})

    def test_endpoints_go_with_a_sidecar_that_is_gone_for_good(self) -> None:
        f = met(6)
        info = EndpointInfo(service="one", sidecar="b5").SerializeToString()
        f.tell("b5", Record(kind=2, id="e1", seq=1, body=info))
        f.tell("b5", Record(kind=2, id="e2", seq=1, body=EndpointInfo(sidecar="b1").SerializeToString()))
        f.run(1.0)
        del f.gossips["b5"]
        f.run(10.0 + 3 * TOMBSTONE_RETENTION)
        for s in f.gossips.values():
            self.assertEqual([r.id for r in s.records.of_kind(RecordKind.ENDPOINT)], ["e2"])
            self.assertEqual(s.orphan_detector.orphaned_since, {})

    def test_half_killed_at_once(self) -> None:
        f = met(20)
        for n in f.names[10:]:
            del f.gossips[n]
        f.run(15.0)
        for s in f.gossips.values():
            self.assertEqual(set(s.members.others()) | {s.name}, set(f.names[:10]))

    def test_all_at_once_from_nothing(self) -> None:
        f = Field(50)
        f.run(4.0)
        self.assertEqual({len(s.members.others()) for s in f.gossips.values()}, {49})


if __name__ == "__main__":
    unittest.main()
