"""Block-wise transfer of configuration texts: integrity, reuse of blocks, abandoned transfers and bounded memory."""

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
from zinclever.mesh.consensus.text_exchange import (
    MAX_HELD_MESSAGES,
    MAX_SENT_RECORDS,
    REQUEST_TIMEOUT,
    TextExchange,
)
from zinclever.mesh.consensus.text_store import MAX_HELD_BYTES, MAX_TEXTS, TextStore
from zinclever.mesh.model.slow_links import config_text
from zinclever.mesh.transport.mesh_pb2 import ConsensusMessage, LogEntry, Voter

LARGE = 4_000_000  # bytes of a configuration

ONE, TWO = Voter(disk="d1", ip="10.0.0.1", port=1), Voter(disk="d2", ip="10.0.0.2", port=1)
THREE = Voter(disk="d3", ip="10.0.0.3", port=1)


class Exchange(unittest.TestCase):
    def setUp(self) -> None:
        self.one, self.two = TextExchange(ONE), TextExchange(TWO)
        self.one.incoming(0.0, ConsensusMessage(kind=MessageKind.HEARTBEAT, disk="d2", voter=TWO, protocol_version=1))

    def append(self, number: int, text: bytes) -> ConsensusMessage:
        """An append request as the second replica receives it: with the name of the text only."""
        entry = LogEntry(term=1, index=number, text=text)
        message = ConsensusMessage(kind=MessageKind.APPEND, disk="d1", term=1, entry=entry, voter=ONE)
        (sent,) = self.one.outgoing(number * 1.0, Send(TWO, message))
        self.assertLess(sent.message.ByteSize(), 200)
        return sent.message

    def answer(self) -> ConsensusMessage:
        """The first replica's answer to the latest request of the second one."""
        request = self.two.outbox.pop()
        self.two.outbox.clear()
        self.one.incoming(0.0, request.message)
        return self.one.outbox.pop().message

    def complete_transfers(self) -> list[ConsensusMessage]:
        """Exchange requests and answers until there are no more, and return the completed messages."""
        completed: list[ConsensusMessage] = []
        while self.two.outbox:
            completed += self.two.incoming(0.0, self.answer())
        return completed

    def test_text_is_transferred_unchanged(self) -> None:
        text = config_text(300_000, 1)
        self.assertEqual(self.two.incoming(0.0, self.append(1, text)), [])
        (completed,) = self.complete_transfers()
        self.assertEqual((completed.entry.index, completed.entry.text, completed.entry.text_name), (1, text, b""))

    def test_only_changed_blocks_are_fetched(self) -> None:
        self.two.incoming(0.0, self.append(1, config_text(LARGE, 1)))
        self.complete_transfers()
        before = self.two.counters.blocks
        self.two.incoming(0.0, self.append(2, config_text(LARGE, 2)))
        (completed,) = self.complete_transfers()
        self.assertEqual(completed.entry.text, config_text(LARGE, 2))
        self.assertLess(self.two.counters.blocks - before, 20)

    def test_transfer_in_progress_is_completed_before_newer_texts(self) -> None:
        """Newer texts announced at each step must not restart the transfer; afterwards the newest text is fetched."""
        self.two.incoming(0.0, self.append(1, config_text(300_000, 1, kind=1)))
        completed: list[ConsensusMessage] = []
        for number in range(2, 60):
            completed += self.two.incoming(0.0, self.answer())
            if completed:
                break
            self.two.incoming(0.0, self.append(number, config_text(300_000, number, kind=2)))
            self.two.outbox[:] = self.two.outbox[-1:]
            self.assertLessEqual(len(self.two.held), 2)
        self.assertEqual([m.entry.index for m in completed], [1])
        (newest,) = self.complete_transfers()
        self.assertEqual(newest.entry.index, number - 1)

    def test_damaged_block_is_rejected(self) -> None:
        self.two.incoming(0.0, self.append(1, config_text(300_000, 1)))
        self.two.incoming(0.0, self.answer())
        answer = self.answer()
        data = bytearray(decompress(answer.blocks[0].compressed, MAX_BLOCK_BYTES) or b"")
        data[5] ^= 1
        answer.blocks[0].compressed = compress(bytes(data))
        blocks_before = dict(self.two.store.blocks)
        self.assertEqual(self.two.incoming(0.0, answer), [])
        self.assertEqual((self.two.store.blocks, self.two.counters.given_up), (blocks_before, 1))
        self.two.incoming(0.0, self.append(2, config_text(300_000, 1)))
        self.assertEqual([m.entry.index for m in self.complete_transfers()], [2])

    def test_source_that_no_longer_has_the_text(self) -> None:
        self.two.incoming(0.0, self.append(1, config_text(300_000, 1)))
        self.one.store = TextStore()
        self.assertEqual(self.complete_transfers(), [])
        self.assertEqual((self.two.transfer, self.two.held, self.two.counters.given_up), (None, [], 1))

    def test_source_that_does_not_answer(self) -> None:
        """The request is repeated, then the transfer is abandoned; a late answer must not trigger another request."""
        self.two.incoming(0.0, self.append(1, config_text(300_000, 1)))
        late = self.answer()
        for step in range(1, 200):
            self.two.tick(step * 0.1)
        self.assertEqual((len(self.two.outbox), self.two.counters.given_up), (2, 1))
        self.two.outbox.clear()
        self.assertEqual((self.two.incoming(20.0, late), self.two.outbox), ([], []))

    # Guards against a new leader whose text waits for three requests to the old one, which is down.
    def test_another_replica_is_asked_once_the_first_source_has_not_answered(self) -> None:
        for number, text in ((1, config_text(300_000, 1)), (2, config_text(300_000, 2))):
            with self.subTest(same_text=number == 1):
                self.setUp()
                self.two.incoming(0.0, self.append(1, config_text(300_000, 1)))
                self.two.outbox.clear()
                new_leader = TextExchange(THREE)
                new_leader.protocol_versions["d2"] = 1
                entry = LogEntry(term=2, index=number, text=text)
                message = ConsensusMessage(kind=MessageKind.APPEND, disk="d3", term=2, entry=entry, voter=THREE)
                (sent,) = new_leader.outgoing(0.0, Send(TWO, message))
                self.two.incoming(0.1, sent.message)
                self.two.tick(REQUEST_TIMEOUT - 0.1)
                self.assertEqual(self.two.outbox, [])
                self.two.tick(REQUEST_TIMEOUT)
                self.assertEqual([send.to.disk for send in self.two.outbox], ["d3"])
                completed: list[ConsensusMessage] = []
                while self.two.outbox:
                    new_leader.incoming(REQUEST_TIMEOUT, self.two.outbox.pop().message)
                    completed += self.two.incoming(REQUEST_TIMEOUT, new_leader.outbox.pop().message)
                self.assertIn((2, text), [(each.term, each.entry.text) for each in completed])

    def test_memory_is_bounded(self) -> None:
        """5,000 texts that receivers never fetch, and as many announced texts that no source provides."""
        for number in range(1, 5001):
            message = ConsensusMessage(
                kind=MessageKind.APPEND, disk=f"x{number}", term=1, voter=TWO, protocol_version=1
            )
            message.entry.text_name = b"%016d" % number
            self.two.incoming(0.0, message)
            text = b"%d" % number * 20_000
            self.one.outgoing(number * 1.0, Send(TWO, self.append_with_text(number, text)))
        self.assertLessEqual(len(self.two.held), MAX_HELD_MESSAGES)
        self.assertEqual(len(self.two.outbox), 1)
        self.assertLessEqual(len(self.two.protocol_versions), 64)
        self.assertLessEqual(len(self.one.sent_at), MAX_SENT_RECORDS)
        self.assertLessEqual(len(self.one.store.manifests), MAX_TEXTS)
        self.assertLessEqual(sum(len(block) for block in self.one.store.blocks.values()), MAX_HELD_BYTES)
        self.assertLessEqual(len(self.one.store.names), MAX_TEXTS)

    def append_with_text(self, number: int, text: bytes) -> ConsensusMessage:
        entry = LogEntry(term=1, index=number, text=text)
        return ConsensusMessage(kind=MessageKind.APPEND, disk="d1", term=1, entry=entry, voter=ONE)


class Blocks(unittest.TestCase):
    def test_any_text_can_be_split_and_joined(self) -> None:
        rng = random.Random(4)
        texts = [b"", b"x", b"},", b'},"' * 50_000, rng.randbytes(100_000), config_text(LARGE, 3)]
        texts += [b"".join(rng.choice((b'},"', b"a", b"}")) for _ in range(5000)) for _ in range(20)]
        for text in texts:
            blocks = split_blocks(text)
            self.assertEqual(b"".join(blocks), text)
            self.assertTrue(all(0 < len(block) <= MAX_BLOCK_BYTES for block in blocks))
            store = TextStore()
            name = store.add(text)
            self.assertEqual((store.text(name), name), (text, manifest_name(make_manifest(blocks))))

    def test_an_inserted_route_changes_few_blocks(self) -> None:
        text = config_text(LARGE, 1)
        before = set(block_names(make_manifest(split_blocks(text))))
        for position in (300, len(text) // 2, len(text) - 50):
            end = text.rindex(b'},"', 0, position) + 3
            changed = text[:end] + b'r-new":{"Authority":"new.example"},"' + text[end:]
            self.assertLess(len(set(block_names(make_manifest(split_blocks(changed)))) - before), 4)


if __name__ == "__main__":
    unittest.main()
