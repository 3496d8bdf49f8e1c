"""What one process makes of the messages that others send it."""

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

DRAIN_WITHIN = 2.0  # s, by the rules
IN_TOUCH = 3.0  # s after which a machine that was cut off or stood still counts as in touch, by the rules


def met(count: int, **more: float) -> Field:
    f = Field(count, **more)  # type: ignore[arg-type]
    f.run(5.0)
    return f


def version(number: int) -> Record:
    body = Version(index=number, generation=number).SerializeToString()
    return Record(kind=RecordKind.VERSION, id=CONFIG_RECORD_ID, incarnation=number, body=body)


class Messages(unittest.TestCase):
    def test_every_datagram_is_bounded(self) -> None:
        f = met(50)
        for n in range(100):
            f.tell("b1", Record(kind=2, id=f"e{n}", seq=1, body=EndpointInfo(service="x" * 150).SerializeToString()))
        f.run(3.0)
        self.assertLess(f.longest, 2000)

    @params(
        b"",
        b"\x0a\x00",
        GossipMessage(sender="b1", digests=[]).SerializeToString(),
        GossipMessage(sender="x", incarnation=1, ranges=[9999], records=[Record(kind=7, id="?")]).SerializeToString(),
        GossipMessage(
            sender="x", records=[Record(kind=RecordKind.NODE, id="b9", incarnation=9, body=b"\xff\xff")]
        ).SerializeToString(),
    )
    def test_foreign_messages_do_no_harm(self, data: bytes) -> None:
        f = met(3)
        s = f.gossips["b0"]
        s.receive(f.now, GossipMessage.FromString(data), ("10.9.9.9", 9))
        f.run(2.0)
        self.assertEqual(len(s.members.others()), 2)
        self.assertNotIn("x", s.failure_detector.last_contact)

    def test_receipts_are_asked_for_until_they_come(self) -> None:
        f = met(4)
        f.cut = {("b0", "b1")}
        number = f.gossips["b0"].broadcast_confirmed(f.now, endpoint(rank=1), ["b1", "b2"])
        f.flush("b0")
        f.run(0.5)
        self.assertEqual(f.gossips["b0"].broadcasts.awaiting_receipts[number].confirmed_by, {"b2"})
        f.cut.clear()
        f.run(0.5)
        self.assertEqual(f.gossips["b0"].broadcasts.awaiting_receipts[number].confirmed_by, {"b1", "b2"})

    def test_no_receipt_for_news_that_something_else_stands_above(self) -> None:
        """It changes nothing there; the teller hears of what does."""
        f = met(4)
        f.cut = {("b2", n) for n in f.names}
        f.tell("b2", endpoint(seq=1, life=1))
        f.cut.clear()
        number = f.gossips["b0"].broadcast_confirmed(f.now, endpoint(seq=3, rank=1), ["b1", "b2"])
        f.flush("b0")
        f.run(0.1)
        self.assertEqual(f.gossips["b0"].broadcasts.awaiting_receipts[number].confirmed_by, {"b1"})
        self.assertEqual(f.gossips["b0"].records.by_key[RecordKey(RecordKind.ENDPOINT, "e1")].incarnation, 1)

    def test_no_receipt_for_news_that_there_is_no_room_for(self) -> None:
        f = met(3)
        with mock.patch.object(gossip, "MAX_RECORDS", 3):
            number = f.gossips["b0"].broadcast_confirmed(f.now, endpoint(rank=1), ["b1", "b2"])
            f.flush("b0")
            f.run(0.5)
        self.assertEqual(f.gossips["b0"].broadcasts.awaiting_receipts[number].confirmed_by, set())

    def test_a_drain_holds_though_its_teller_loses_power_at_once(self) -> None:
        """Acknowledged once two others have it: everybody knows of it within the bound."""
        f = met(30, loss=0.05)
        for n in range(5):
            teller, drain = f.names[n], endpoint(f"e{n}", rank=1)
            number = f.gossips[teller].broadcast_confirmed(f.now, drain, f.names[10:13])
            f.flush(teller)
            receipt = f.gossips[teller].broadcasts.awaiting_receipts[number]
            while len(receipt.confirmed_by) < 2:
                f.run(0.005)
            del f.gossips[teller]
            self.assertLess(f.until_all_know(drain), DRAIN_WITHIN)

    def test_refutes_what_is_said_of_it(self) -> None:
        s = Gossip("me", 5, NodeInfo(ip="10.0.0.1", port=7), [], 0.0, random.Random(1))
        s.receive(
            0.1,
            GossipMessage(sender="b2", records=[Record(kind=RecordKind.NODE, id="me", incarnation=5, seq=1, rank=2)]),
            ("10.0.0.2", 7),
        )
        mine = s.records.by_key[RecordKey(RecordKind.NODE, "me")]
        self.assertEqual((mine.incarnation, mine.seq, mine.rank), (5, 2, 0))


if __name__ == "__main__":
    unittest.main()
