"""Texts that travel by name and block by block: whole and as they were, or not at all; bounded whatever comes."""

from __future__ import annotations

import random
import unittest

from zinclever.mesh.consensus.messages import MessageKind, Send
from zinclever.mesh.consensus.text_blocks import (
    MAX_BLOCK_BYTES,
    block_names,
    compress,
    decompress,
    make_manifest,
    manifest_name,
    split_blocks,
)
from zinclever.mesh.consensus.text_exchange import MAX_HELD_MESSAGES, MAX_SENT_RECORDS, TextExchange
from zinclever.mesh.consensus.text_store import MAX_HELD_BYTES, MAX_TEXTS, TextStore
from zinclever.mesh.model.slow_links import config_text
from zinclever.mesh.transport.mesh_pb2 import ConsensusMessage, LogEntry, Voter

LARGE = 4_000_000  # bytes of a configuration

ONE, TWO = Voter(disk="d1", ip="10.0.0.1", port=1), Voter(disk="d2", ip="10.0.0.2", port=1)


class Exchange(unittest.TestCase):
    def setUp(self) -> None:
        self.one, self.two = TextExchange(ONE), TextExchange(TWO)
        self.one.incoming(0.0, ConsensusMessage(kind=MessageKind.HEARTBEAT, disk="d2", voter=TWO, protocol_version=1))

    def append(self, number: int, text: bytes) -> ConsensusMessage:
        """As it comes to the second member: named, not whole."""
        entry = LogEntry(term=1, index=number, text=text)
        message = ConsensusMessage(kind=MessageKind.APPEND, disk="d1", term=1, entry=entry, voter=ONE)
        (sent,) = self.one.outgoing(number * 1.0, Send(TWO, message))
        self.assertLess(sent.message.ByteSize(), 200)
        return sent.message

    def answer(self) -> ConsensusMessage:
        """What the first member answers to the latest request of the second one."""
        request = self.two.outbox.pop()
        self.two.outbox.clear()
        self.one.incoming(0.0, request.message)
        return self.one.outbox.pop().message

    def exchanged(self) -> list[ConsensusMessage]:
        """Requests and answers until there are no more; the messages that came whole."""
        whole: list[ConsensusMessage] = []
        while self.two.outbox:
            whole += self.two.incoming(0.0, self.answer())
        return whole

    def test_a_text_arrives_as_it_was(self) -> None:
        text = config_text(300_000, 1)
        self.assertEqual(self.two.incoming(0.0, self.append(1, text)), [])
        (whole,) = self.exchanged()
        self.assertEqual((whole.entry.index, whole.entry.text, whole.entry.text_name), (1, text, b""))

    def test_only_what_differs_is_fetched(self) -> None:
        self.two.incoming(0.0, self.append(1, config_text(LARGE, 1)))
        self.exchanged()
        before = self.two.counters.blocks
        self.two.incoming(0.0, self.append(2, config_text(LARGE, 2)))
        (whole,) = self.exchanged()
        self.assertEqual(whole.entry.text, config_text(LARGE, 2))
        self.assertLess(self.two.counters.blocks - before, 20)

    def test_what_was_begun_is_finished(self) -> None:
        """Newer texts are named at each step; the one that is being fetched comes whole all the same, and then
        the newest."""
        self.two.incoming(0.0, self.append(1, config_text(300_000, 1, kind=1)))
        whole: list[ConsensusMessage] = []
        for number in range(2, 60):
            whole += self.two.incoming(0.0, self.answer())
            if whole:
                break
            self.two.incoming(0.0, self.append(number, config_text(300_000, number, kind=2)))
            self.two.outbox[:] = self.two.outbox[-1:]
            self.assertLessEqual(len(self.two.held), 2)
        self.assertEqual([m.entry.index for m in whole], [1])
        (newest,) = self.exchanged()
        self.assertEqual(newest.entry.index, number - 1)

    def test_a_damaged_block_is_not_taken(self) -> None:
        self.two.incoming(0.0, self.append(1, config_text(300_000, 1)))
        self.two.incoming(0.0, self.answer())
        answer = self.answer()
        data = bytearray(decompress(answer.blocks[0].compressed, MAX_BLOCK_BYTES) or b"")
        data[5] ^= 1
        answer.blocks[0].compressed = compress(bytes(data))
        held = dict(self.two.store.blocks)
        self.assertEqual(self.two.incoming(0.0, answer), [])
        self.assertEqual((self.two.store.blocks, self.two.counters.given_up), (held, 1))
        self.two.incoming(0.0, self.append(2, config_text(300_000, 1)))
        self.assertEqual([m.entry.index for m in self.exchanged()], [2])

    def test_a_source_that_has_it_no_more(self) -> None:
        self.two.incoming(0.0, self.append(1, config_text(300_000, 1)))
        self.one.store = TextStore()
        self.assertEqual(self.exchanged(), [])
        self.assertEqual((self.two.transfer, self.two.held, self.two.counters.given_up), (None, [], 1))

    def test_a_source_that_is_silent(self) -> None:
        """Asked again, and given up; an answer of before is no reason to ask twice."""
        self.two.incoming(0.0, self.append(1, config_text(300_000, 1)))
        late = self.answer()
        for step in range(1, 200):
            self.two.tick(step * 0.1)
        self.assertEqual((len(self.two.outbox), self.two.counters.given_up), (2, 1))
        self.two.outbox.clear()
        self.assertEqual((self.two.incoming(20.0, late), self.two.outbox), ([], []))

    def test_bounded(self) -> None:
        """5,000 changes to many members that never fetch anything, and as many named texts that nobody hands out."""
        for number in range(1, 5001):
            message = ConsensusMessage(
                kind=MessageKind.APPEND, disk=f"x{number}", term=1, voter=TWO, protocol_version=1
            )
            message.entry.text_name = b"%016d" % number
            self.two.incoming(0.0, message)
            text = b"%d" % number * 20_000
            self.one.outgoing(number * 1.0, Send(TWO, self.whole(number, text)))
        self.assertLessEqual(len(self.two.held), MAX_HELD_MESSAGES)
        self.assertEqual(len(self.two.outbox), 1)
        self.assertLessEqual(len(self.two.protocol_versions), 64)
        self.assertLessEqual(len(self.one.sent_at), MAX_SENT_RECORDS)
        self.assertLessEqual(len(self.one.store.manifests), MAX_TEXTS)
        self.assertLessEqual(sum(len(b) for b in self.one.store.blocks.values()), MAX_HELD_BYTES)
        self.assertLessEqual(len(self.one.store.names), MAX_TEXTS)

    def whole(self, number: int, text: bytes) -> ConsensusMessage:
        entry = LogEntry(term=1, index=number, text=text)
        return ConsensusMessage(kind=MessageKind.APPEND, disk="d1", term=1, entry=entry, voter=ONE)


class Blocks(unittest.TestCase):
    def test_any_text(self) -> None:
        drawn = random.Random(4)
        texts = [b"", b"x", b"},", b'},"' * 50_000, drawn.randbytes(100_000), config_text(LARGE, 3)]
        texts += [b"".join(drawn.choice((b'},"', b"a", b"}")) for _ in range(5000)) for _ in range(20)]
        for text in texts:
            blocks = split_blocks(text)
            self.assertEqual(b"".join(blocks), text)
            self.assertTrue(all(0 < len(block) <= MAX_BLOCK_BYTES for block in blocks))
            store = TextStore()
            name = store.add(text)
            self.assertEqual((store.text(name), name), (text, manifest_name(make_manifest(blocks))))

    def test_routes_that_come_and_go_change_few_blocks(self) -> None:
        text = config_text(LARGE, 1)
        before = set(block_names(make_manifest(split_blocks(text))))
        for at in (300, len(text) // 2, len(text) - 50):
            end = text.rindex(b'},"', 0, at) + 3
            changed = text[:end] + b'r-new":{"Authority":"new.example"},"' + text[end:]
            self.assertLess(len(set(block_names(make_manifest(split_blocks(changed)))) - before), 4)


if __name__ == "__main__":
    unittest.main()
