"""How texts of log entries travel between replicas: in place, compressed, or by name and then block by block. Pure.

It stands between :class:`.replica.Replica` and the channels. A message whose texts are large is sent with their names
in place of the texts. A receiver that holds a text of that name inserts it at once; else it holds the message and
requests the blocks that it lacks, one request at a time, and what it requests follows how fast answers come: the
messages of the protocol, heartbeats above all, are never behind more than one such answer. To the replica this looks
like a message that was late, which it tolerates in any case.

A transfer that was begun is finished, also when newer texts are named meanwhile, as long as its source still has it;
the blocks that have come stay, so that the next one requests only what differs. Replicas of a version before get texts
whole, as they always did.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from ..transport.mesh_pb2 import ConsensusMessage, LogEntry, TextBlock, Voter
from .messages import MessageKind, Send
from .text_blocks import (
    MAX_BLOCK_BYTES,
    MAX_MANIFEST_BYTES,
    block_name,
    compress,
    decompress,
    manifest_name,
)
from .text_store import TextStore

TEXT_PROTOCOL = 1  # version of what a replica understands of this: told in each of its messages
MAX_PLAIN_BYTES = 4 << 10  # up to which a text goes as it is
MAX_COMPRESSIBLE_BYTES = 64 << 10  # up to which a text may go compressed in its message ...
MAX_INLINE_BYTES = 16 << 10  # ... if it is no longer than this then
RESEND_INTERVAL = 0.3  # s for which the same message with a large text isn't sent to the same replica again
MAX_SENT_RECORDS = 64  # messages of which it is known when they were sent last
MAX_KNOWN_PEERS = 64  # replicas of which it is known what they understand
MAX_HELD_MESSAGES = 16  # messages that wait for their texts
INITIAL_WINDOW = 2  # blocks that are requested first
MAX_WINDOW = 64  # blocks that are requested at once
QUICK_ANSWER = 0.06  # s within which an answer lets the next request ask for twice as much ...
SLOW_ANSWER = 0.2  # ... and beyond which for half
REQUEST_TIMEOUT = 2.0  # s without an answer after which blocks are requested again
MAX_UNANSWERED_REQUESTS = 3  # after which a transfer is abandoned


@dataclass
class HeldMessage:
    """A message that came without its texts."""

    message: ConsensusMessage
    missing_texts: list[bytes]


@dataclass
class Transfer:
    """A text that is being fetched."""

    name: bytes
    source: Voter
    manifest: bytes | None = None
    round: int = 0
    """The number of the latest request: only its answer is followed by another one."""
    window: int = INITIAL_WINDOW
    requested_at: float = 0.0
    unanswered: int = 0


@dataclass
class TransferCounters:
    """Counts of the transfers to this replica, since the start: shown to operators."""

    begun: int = 0
    finished: int = 0
    given_up: int = 0
    blocks: int = 0


class SentKey(NamedTuple):
    """Identifies a message with a large text that was sent to a replica."""

    disk: str
    kind: int
    term: int
    entry_index: int
    committed_index: int


def entries_of(message: ConsensusMessage) -> list[LogEntry]:
    """The log entries in a message."""
    return [getattr(message, part) for part in ("entry", "committed") if message.HasField(part)]


@dataclass
class TextExchange:
    """One replica's end of it.

    Outgoing messages pass through :meth:`outgoing`, received ones through :meth:`incoming`; what it wants sent by
    itself is left in ``outbox``.
    """

    own_voter: Voter
    store: TextStore = field(default_factory=TextStore)
    outbox: list[Send] = field(default_factory=list)
    protocol_versions: dict[str, int] = field(default_factory=dict)
    """By disk: what a replica has told that it understands."""
    sent_at: dict[SentKey, float] = field(default_factory=dict)
    last_compressed: tuple[bytes, bytes] = (b"", b"")
    """A text, and the same compressed."""
    held: list[HeldMessage] = field(default_factory=list)
    transfer: Transfer | None = None
    round: int = 0
    counters: TransferCounters = field(default_factory=TransferCounters)

    # --- outgoing messages ---

    def outgoing(self, now: float, send: Send) -> list[Send]:
        """What goes on the connection for a message: one, or none where it has just gone or can't yet."""
        is_large = any(len(entry.text) > MAX_PLAIN_BYTES for entry in entries_of(send.message))
        understood = self.protocol_versions.get(send.to.disk)
        if is_large and (understood is None or self.was_just_sent(now, send)):
            return []  # a replica that was never heard gets large texts once it is: it can't want them before
        message = ConsensusMessage()
        message.CopyFrom(send.message)
        message.protocol_version = TEXT_PROTOCOL
        if is_large and understood:
            for entry in entries_of(message):
                self.replace_text(entry)
            if not message.HasField("voter"):
                message.voter.CopyFrom(self.own_voter)
        return [Send(send.to, message)]

    def replace_text(self, entry: LogEntry) -> None:
        """Put a compressed text, or its name, in place of a large text."""
        text = entry.text
        if len(text) <= MAX_PLAIN_BYTES:
            return
        compressed = self.compressed(text) if len(text) <= MAX_COMPRESSIBLE_BYTES else b""
        entry.text = b""
        if compressed and len(compressed) <= MAX_INLINE_BYTES:
            entry.compressed = compressed
        else:
            entry.text_name = self.store.add(text)

    def compressed(self, text: bytes) -> bytes:
        """A text, compressed. The last one is cached: a text is mostly sent to several replicas in turn."""
        if self.last_compressed[0] != text:
            self.last_compressed = text, compress(text)
        return self.last_compressed[1]

    def was_just_sent(self, now: float, send: Send) -> bool:
        """Whether the same message was sent to the same replica within :data:`RESEND_INTERVAL`; if not, it is now."""
        m = send.message
        key = SentKey(send.to.disk, m.kind, m.term, m.entry.index, m.committed.index)
        if now - self.sent_at.get(key, -RESEND_INTERVAL) < RESEND_INTERVAL:
            return True
        self.sent_at.pop(key, None)
        self.sent_at[key] = now
        if len(self.sent_at) > MAX_SENT_RECORDS:
            del self.sent_at[next(iter(self.sent_at))]
        return False

    # --- received messages ---

    def incoming(self, now: float, message: ConsensusMessage) -> list[ConsensusMessage]:
        """The messages that are whole now."""
        self.record_protocol_version(message)
        if message.kind == MessageKind.BLOCK_REQUEST:
            self.serve_blocks(message)
            return []
        if message.kind == MessageKind.BLOCK_REPLY:
            return self.on_blocks(now, message)
        missing = self.insert_texts(message)
        if missing is None:
            return []
        if not missing:
            return [message]
        if not message.HasField("voter"):
            return []  # nobody could be asked for the text
        self.hold(HeldMessage(message, missing))
        self.begin_next_transfer(now)
        return []

    def record_protocol_version(self, message: ConsensusMessage) -> None:
        """Remember what the sender understands, for the latest :data:`MAX_KNOWN_PEERS` senders."""
        self.protocol_versions.pop(message.disk, None)
        self.protocol_versions[message.disk] = message.protocol_version
        if len(self.protocol_versions) > MAX_KNOWN_PEERS:
            del self.protocol_versions[next(iter(self.protocol_versions))]

    def insert_texts(self, message: ConsensusMessage) -> list[bytes] | None:
        """Insert the texts that are here; the names of those that aren't. None where a text is damaged."""
        missing: list[bytes] = []
        for entry in entries_of(message):
            text: bytes | None = entry.text
            if entry.compressed:
                text = decompress(entry.compressed, MAX_COMPRESSIBLE_BYTES)
            elif entry.text_name:
                text = self.store.text(entry.text_name)
                if text is None:
                    missing.append(entry.text_name)
                    continue
            if text is None:
                return None
            entry.ClearField("compressed")
            entry.ClearField("text_name")
            entry.text = text
            if len(text) > MAX_COMPRESSIBLE_BYTES:
                self.store.add(text)
        return missing

    def hold(self, new: HeldMessage) -> None:
        """Hold a message in place of the one of the same kind from the same replica.

        Unless that one's text is just being fetched and is another one.
        """
        fetched = self.transfer.name if self.transfer is not None else b""
        origin = (new.message.disk, new.message.kind)

        def stays(held: HeldMessage) -> bool:
            if (held.message.disk, held.message.kind) != origin:
                return True
            return fetched in held.missing_texts and fetched not in new.missing_texts

        self.held = [held for held in self.held if stays(held)]
        self.held.append(new)
        if len(self.held) > MAX_HELD_MESSAGES:
            self.held.remove(next((held for held in self.held if fetched not in held.missing_texts), new))

    # --- transfers ---

    def begin_next_transfer(self, now: float) -> None:
        """Fetch the first text that a message waits for, unless another transfer is under way."""
        if self.transfer is None and self.held:
            first = self.held[0]
            self.transfer = Transfer(first.missing_texts[0], first.message.voter)
            self.counters.begun += 1
            self.request_blocks(now, self.transfer)

    def request_blocks(self, now: float, transfer: Transfer) -> None:
        """Send one request: for the manifest, or for as many blocks as the window allows."""
        if transfer.manifest is None:
            wanted = [transfer.name]
        else:
            wanted = self.store.missing_blocks(transfer.manifest)[: transfer.window]
        self.round += 1
        transfer.round, transfer.requested_at = self.round, now
        transfer.unanswered += 1
        request = self.message(MessageKind.BLOCK_REQUEST, self.round)
        request.wanted.extend(wanted)
        self.outbox.append(Send(transfer.source, request))

    def message(self, kind: MessageKind, round: int) -> ConsensusMessage:
        """A message of the exchange itself."""
        return ConsensusMessage(
            kind=kind, disk=self.own_voter.disk, voter=self.own_voter, protocol_version=TEXT_PROTOCOL, round=round
        )

    def serve_blocks(self, message: ConsensusMessage) -> None:
        """Answer a request. What isn't here goes without its data, and the other looks elsewhere."""
        if not message.HasField("voter"):
            return
        reply = self.message(MessageKind.BLOCK_REPLY, message.round)
        for name in message.wanted[:MAX_WINDOW]:
            data = self.store.find(name)
            reply.blocks.append(TextBlock(name=name, compressed=compress(data) if data is not None else b""))
        self.outbox.append(Send(message.voter, reply))

    def on_blocks(self, now: float, message: ConsensusMessage) -> list[ConsensusMessage]:
        """Take in the answer to the latest request; the messages that are whole now."""
        transfer = self.transfer
        if transfer is None or message.disk != transfer.source.disk or message.round != transfer.round:
            return []
        if not message.blocks or not all(self.add_block(transfer, block) for block in message.blocks):
            self.abandon_transfer(transfer)
            self.begin_next_transfer(now)
            return []
        self.adapt_window(transfer, now - transfer.requested_at)
        if transfer.manifest is not None and not self.store.missing_blocks(transfer.manifest):
            return self.finish_transfer(now, transfer, transfer.manifest)
        self.request_blocks(now, transfer)
        return []

    def add_block(self, transfer: Transfer, block: TextBlock) -> bool:
        """Whether this is a sound part of the text; if so, it is held."""
        data = decompress(block.compressed, MAX_MANIFEST_BYTES) if block.compressed else None
        if data is None:
            return False
        if block.name == transfer.name:
            transfer.manifest = data
            return manifest_name(data) == block.name
        if block_name(data) != block.name or len(data) > MAX_BLOCK_BYTES:
            return False
        self.store.add_block(data)
        self.counters.blocks += 1
        return True

    def adapt_window(self, transfer: Transfer, took: float) -> None:
        """Request more where answers are quick, less where others wait behind them."""
        transfer.unanswered = 0
        if took < QUICK_ANSWER:
            transfer.window = min(2 * transfer.window, MAX_WINDOW)
        elif took > SLOW_ANSWER:
            transfer.window = max(transfer.window // 2, 1)

    def finish_transfer(self, now: float, transfer: Transfer, manifest: bytes) -> list[ConsensusMessage]:
        """A text is whole: the messages that waited for it alone."""
        self.store.complete(transfer.name, manifest)
        self.transfer = None
        self.counters.finished += 1
        whole: list[ConsensusMessage] = []
        still_held: list[HeldMessage] = []
        for held in self.held:
            held.missing_texts = self.insert_texts(held.message) or []
            if held.missing_texts:
                still_held.append(held)
            else:
                whole.append(held.message)
        self.held = still_held
        self.begin_next_transfer(now)
        return whole

    def abandon_transfer(self, transfer: Transfer) -> None:
        """The source has the text no more, or doesn't answer: what waits for it is as if lost, and is sent anew."""
        self.transfer = None
        self.held = [held for held in self.held if transfer.name not in held.missing_texts]
        self.counters.given_up += 1

    def tick(self, now: float) -> None:
        """Send an unanswered request again, or abandon the transfer."""
        transfer = self.transfer
        if transfer is None or now - transfer.requested_at < REQUEST_TIMEOUT:
            return
        if transfer.unanswered >= MAX_UNANSWERED_REQUESTS:
            self.abandon_transfer(transfer)
            self.begin_next_transfer(now)
            return
        transfer.window = 1
        self.request_blocks(now, transfer)
