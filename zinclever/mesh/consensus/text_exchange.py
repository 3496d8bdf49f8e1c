"""Transfer of the configuration texts in log entries: inline, compressed, or by name and block by block. No I/O.

This layer sits between :class:`.replica.Replica` and the connections. In a message with large texts, it replaces each
text by its name. A receiver that has the text inserts it at once. Otherwise it holds the message and requests the
missing blocks, with one request in flight at a time. The size of requests adapts to the response time, so that protocol
messages, above all heartbeats, never queue behind more than one response. To the replica, a held message looks like a
delayed one, which the protocol tolerates.

A transfer in progress is completed even if newer texts are announced meanwhile, as long as its source still has the
text. Received blocks are kept, so that the next transfer requests only blocks that differ. Replicas of versions without
this protocol get texts inline.
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

TEXT_PROTOCOL = 1  # supported version of this protocol, announced in each message
MAX_PLAIN_BYTES = 4 << 10  # texts up to this size are sent inline
MAX_COMPRESSIBLE_BYTES = 64 << 10  # texts up to this size are compressed ...
MAX_INLINE_BYTES = 16 << 10  # ... and sent inline if the compressed size is within this limit
RESEND_INTERVAL = 0.3  # seconds during which the same message with a large text isn't resent to the same replica
MAX_SENT_RECORDS = 64  # remembered messages for RESEND_INTERVAL
MAX_KNOWN_PEERS = 64  # replicas whose protocol version is remembered
MAX_HELD_MESSAGES = 16  # messages that wait for their texts
INITIAL_WINDOW = 2  # blocks in the first request
MAX_WINDOW = 64  # blocks in a request at most
QUICK_ANSWER = 0.06  # seconds; a faster answer doubles the window
SLOW_ANSWER = 0.2  # seconds; a slower answer halves the window
REQUEST_TIMEOUT = 2.0  # seconds until an unanswered request is repeated
MAX_UNANSWERED_REQUESTS = 3  # consecutive unanswered requests until a transfer is abandoned


@dataclass
class HeldMessage:
    """A received message that waits for texts."""

    message: ConsensusMessage
    missing_texts: list[bytes]
    """Names of the texts."""


@dataclass
class Transfer:
    """A text that is being fetched from another replica."""

    name: bytes
    source: Voter
    manifest: bytes | None = None
    round: int = 0
    """Number of the latest request; answers to earlier ones are ignored."""
    window: int = INITIAL_WINDOW
    """Blocks in the next request."""
    requested_at: float = 0.0
    """In seconds."""
    unanswered_requests: int = 0
    """Consecutive unanswered requests."""


@dataclass
class TransferCounters:
    """Counters of the transfers to this replica since the start of the process."""

    begun: int = 0
    finished: int = 0
    given_up: int = 0
    blocks: int = 0


class SentKey(NamedTuple):
    """Identifies a message that was sent to a replica, apart from its texts."""

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
    """One replica's end of the text transfer protocol.

    Outgoing messages pass through :meth:`outgoing`, received ones through :meth:`incoming`. The protocol's own messages
    are collected in ``outbox`` for the caller to send.
    """

    own_voter: Voter
    store: TextStore = field(default_factory=TextStore)
    outbox: list[Send] = field(default_factory=list)
    protocol_versions: dict[str, int] = field(default_factory=dict)
    """The latest protocol version that each replica has announced, by disk ID."""
    sent_at: dict[SentKey, float] = field(default_factory=dict)
    last_compressed: tuple[bytes, bytes] = (b"", b"")
    """The text that was compressed last, and the result."""
    held: list[HeldMessage] = field(default_factory=list)
    transfer: Transfer | None = None
    round: int = 0
    """Number of the latest request of any transfer."""
    counters: TransferCounters = field(default_factory=TransferCounters)

    # --- outgoing messages ---

    def outgoing(self, now: float, send: Send) -> list[Send]:
        """Encode a message for its receiver.

        Returns:
            The encoded message. Empty for a message with a large text if it was just sent or if the protocol version of
            the receiver is unknown.
        """
        is_large = any(len(entry.text) > MAX_PLAIN_BYTES for entry in entries_of(send.message))
        receiver_version = self.protocol_versions.get(send.to.disk)
        if is_large and (receiver_version is None or self.was_just_sent(now, send)):
            return []  # a replica that has never sent a message may be down; it gets the text after its first one
        message = ConsensusMessage()
        message.CopyFrom(send.message)
        message.protocol_version = TEXT_PROTOCOL
        if is_large and receiver_version:
            for entry in entries_of(message):
                self.replace_text(entry)
            if not message.HasField("voter"):
                message.voter.CopyFrom(self.own_voter)
        return [Send(send.to, message)]

    def replace_text(self, entry: LogEntry) -> None:
        """Replace a large text by its compressed form or by its name."""
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
        """Compress a text. The last result is cached, since a text is usually sent to several replicas in a row."""
        if self.last_compressed[0] != text:
            self.last_compressed = text, compress(text)
        return self.last_compressed[1]

    def was_just_sent(self, now: float, send: Send) -> bool:
        """Whether the same message was sent to this replica within :data:`RESEND_INTERVAL`; if not, record it."""
        message = send.message
        key = SentKey(send.to.disk, message.kind, message.term, message.entry.index, message.committed.index)
        if now - self.sent_at.get(key, -RESEND_INTERVAL) < RESEND_INTERVAL:
            return True
        self.sent_at.pop(key, None)
        self.sent_at[key] = now
        if len(self.sent_at) > MAX_SENT_RECORDS:
            del self.sent_at[next(iter(self.sent_at))]
        return False

    # --- received messages ---

    def incoming(self, now: float, message: ConsensusMessage) -> list[ConsensusMessage]:
        """Handle a received message and return the messages that are complete now."""
        self.record_protocol_version(message)
        if message.kind == MessageKind.BLOCK_REQUEST:
            self.serve_blocks(message)
            return []
        if message.kind == MessageKind.BLOCK_REPLY:
            return self.on_block_reply(now, message)
        missing = self.insert_texts(message)
        if missing is None:
            return []
        if not missing:
            return [message]
        if not message.HasField("voter"):
            return []  # without the sender's address the text can't be requested
        self.hold(HeldMessage(message, missing))
        self.begin_next_transfer(now)
        return []

    def record_protocol_version(self, message: ConsensusMessage) -> None:
        """Remember the sender's protocol version, for the latest :data:`MAX_KNOWN_PEERS` senders."""
        self.protocol_versions.pop(message.disk, None)
        self.protocol_versions[message.disk] = message.protocol_version
        if len(self.protocol_versions) > MAX_KNOWN_PEERS:
            del self.protocol_versions[next(iter(self.protocol_versions))]

    def insert_texts(self, message: ConsensusMessage) -> list[bytes] | None:
        """Insert the texts that are available into a message.

        Returns:
            The names of the missing texts; None if an inline text is damaged.
        """
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
        """Hold a message, replacing an earlier one of the same kind from the same replica.

        The earlier one stays if it needs the text in transfer and the new one doesn't.
        """
        name_in_transfer = self.transfer.name if self.transfer is not None else b""
        origin = (new.message.disk, new.message.kind)

        def must_stay(held: HeldMessage) -> bool:
            if (held.message.disk, held.message.kind) != origin:
                return True
            return name_in_transfer in held.missing_texts and name_in_transfer not in new.missing_texts

        self.held = [held for held in self.held if must_stay(held)]
        self.held.append(new)
        if len(self.held) > MAX_HELD_MESSAGES:
            self.held.remove(next((held for held in self.held if name_in_transfer not in held.missing_texts), new))

    # --- transfers ---

    def begin_next_transfer(self, now: float) -> None:
        """Start to fetch the first text that a message waits for, unless a transfer is in progress."""
        if self.transfer is None and self.held:
            first = self.held[0]
            self.transfer = Transfer(first.missing_texts[0], first.message.voter)
            self.counters.begun += 1
            self.request_blocks(now, self.transfer)

    def request_blocks(self, now: float, transfer: Transfer) -> None:
        """Request the manifest, or as many missing blocks as the window allows."""
        if transfer.manifest is None:
            wanted = [transfer.name]
        else:
            wanted = self.store.missing_blocks(transfer.manifest)[: transfer.window]
        self.round += 1
        transfer.round, transfer.requested_at = self.round, now
        transfer.unanswered_requests += 1
        request = self.message(MessageKind.BLOCK_REQUEST, self.round)
        request.wanted.extend(wanted)
        self.outbox.append(Send(transfer.source, request))

    def message(self, kind: MessageKind, round: int) -> ConsensusMessage:
        """A new message of this protocol."""
        return ConsensusMessage(
            kind=kind, disk=self.own_voter.disk, voter=self.own_voter, protocol_version=TEXT_PROTOCOL, round=round
        )

    def serve_blocks(self, message: ConsensusMessage) -> None:
        """Answer a request for blocks or a manifest.

        Unavailable ones are returned without data, upon which the requester abandons the transfer.
        """
        if not message.HasField("voter"):
            return
        reply = self.message(MessageKind.BLOCK_REPLY, message.round)
        for name in message.wanted[:MAX_WINDOW]:
            data = self.store.find(name)
            reply.blocks.append(TextBlock(name=name, compressed=compress(data) if data is not None else b""))
        self.outbox.append(Send(message.voter, reply))

    def on_block_reply(self, now: float, message: ConsensusMessage) -> list[ConsensusMessage]:
        """Handle the answer to the latest request and return the messages that are complete now."""
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
        """Store a received block or manifest; False if it is missing or doesn't match its name."""
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

    def adapt_window(self, transfer: Transfer, response_time: float) -> None:
        """Adapt the request size to the response time, so that other messages don't queue behind large answers."""
        transfer.unanswered_requests = 0
        if response_time < QUICK_ANSWER:
            transfer.window = min(2 * transfer.window, MAX_WINDOW)
        elif response_time > SLOW_ANSWER:
            transfer.window = max(transfer.window // 2, 1)

    def finish_transfer(self, now: float, transfer: Transfer, manifest: bytes) -> list[ConsensusMessage]:
        """Complete a text and return the messages that need no other text."""
        self.store.complete(transfer.name, manifest)
        self.transfer = None
        self.counters.finished += 1
        complete: list[ConsensusMessage] = []
        still_held: list[HeldMessage] = []
        for held in self.held:
            held.missing_texts = self.insert_texts(held.message) or []
            if held.missing_texts:
                still_held.append(held)
            else:
                complete.append(held.message)
        self.held = still_held
        self.begin_next_transfer(now)
        return complete

    def abandon_transfer(self, transfer: Transfer) -> None:
        """Give up a text that its source no longer has or doesn't send.

        Messages that wait for it are dropped; the protocol resends them like lost ones.
        """
        self.transfer = None
        self.held = [held for held in self.held if transfer.name not in held.missing_texts]
        self.counters.given_up += 1

    def latest_from_other(self, source: Voter) -> HeldMessage | None:
        """Return the latest message that waits for a text and was not sent by ``source``."""
        others = [held for held in self.held if held.message.disk != source.disk]
        return others[-1] if others else None

    def tick(self, now: float) -> None:
        """Repeat an unanswered request, or abandon the transfer after too many of them.

        If another replica has sent a message whose text is missing too, it is asked instead: the first one may be down.
        """
        transfer = self.transfer
        if transfer is None or now - transfer.requested_at < REQUEST_TIMEOUT:
            return
        alternative = self.latest_from_other(transfer.source)
        if alternative is not None and transfer.name in alternative.missing_texts:
            transfer.source, transfer.unanswered_requests = alternative.message.voter, 0
        elif alternative is not None:
            self.abandon_transfer(transfer)
            self.begin_next_transfer(now)
            return
        if transfer.unanswered_requests >= MAX_UNANSWERED_REQUESTS:
            self.abandon_transfer(transfer)
            self.begin_next_transfer(now)
            return
        transfer.window = 1
        self.request_blocks(now, transfer)
