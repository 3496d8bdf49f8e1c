"""How texts of log entries travel between members: in place, packed, or by name and then block by block. Pure.

It stands between :class:`.replica.Replica` and the links. A message whose texts are large goes out with their names in
place of the texts. A receiver that holds a text of that name puts it in at once; else it keeps the message back and
asks the sender for the blocks that it lacks, one request at a time, and what it asks for follows how fast answers come:
the messages of the protocol, heartbeats above all, are never behind more than one such answer. To the replica this
looks like a message that was late, which it bears in any case.

A transfer that was begun is finished, also when newer texts are named meanwhile, as long as its source still has it;
the blocks that have come stay, so that the next one asks only for what differs. Members of a version before get texts
whole, as they always did.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..transport.mesh_pb2 import ConsensusMessage, LogEntry, TextBlock, Voter
from .messages import Kind, Send
from .text_blocks import MOST_BLOCK, MOST_MANIFEST, name_of_block, name_of_manifest, pack, unpack
from .text_store import TextStore

SPEAKS_TEXTS = 1  # version of what a member understands of this: told in each of its messages
PLAIN = 4 << 10  # bytes up to which a text goes as it is
PACKABLE = 64 << 10  # bytes up to which a text may go packed in its message ...
MOST_INLINE = 16 << 10  # ... if it is no longer than this then
REPEAT_AFTER = 0.3  # s for which the same message with a large text isn't sent to the same member again
MOST_REPEATS = 64  # messages of which it is known when they were sent last
MOST_MEMBERS = 64  # members of which it is known what they understand
MOST_WAITING = 16  # messages that wait for their texts
FIRST_WINDOW = 2  # blocks that are asked for first
MOST_WINDOW = 64  # blocks that are asked for at once
QUICK_ANSWER = 0.06  # s within which an answer lets the next request ask for twice as much ...
SLOW_ANSWER = 0.2  # ... and beyond which for half
ASK_AGAIN_AFTER = 2.0  # s without an answer after which blocks are asked for again
MOST_ASKED = 3  # requests without an answer after which a transfer is given up


@dataclass
class Waiting:
    """A message that came without its texts."""

    message: ConsensusMessage
    names: list[bytes]


@dataclass
class Transfer:
    """A text that is being fetched."""

    name: bytes
    source: Voter
    manifest: bytes | None = None
    round: int = 0
    """The number of the latest request: only its answer is followed by another one."""
    window: int = FIRST_WINDOW
    asked_at: float = 0.0
    unanswered: int = 0


def entries_of(message: ConsensusMessage) -> list[LogEntry]:
    return [getattr(message, part) for part in ("entry", "committed") if message.HasField(part)]


@dataclass
class TextExchange:
    """One member's end of it. Sends through :meth:`outgoing`, receives through :meth:`incoming`; what it wants sent by
    itself is left in ``out``."""

    me: Voter
    store: TextStore = field(default_factory=TextStore)
    out: list[Send] = field(default_factory=list)
    speaks: dict[str, int] = field(default_factory=dict)
    """By disk: what a member has told that it understands."""
    sent_at: dict[tuple[str, int, int, int, int], float] = field(default_factory=dict)
    last_packed: tuple[bytes, bytes] = (b"", b"")
    waiting: list[Waiting] = field(default_factory=list)
    transfer: Transfer | None = None
    round: int = 0
    counts: dict[str, int] = field(default_factory=lambda: {"begun": 0, "finished": 0, "given_up": 0, "blocks": 0})
    """Of the transfers to this member: shown to operators."""

    # --- out ---

    def outgoing(self, now: float, send: Send) -> list[Send]:
        """What goes on the link for a message: one, or none where it has just gone or can't yet."""
        large = any(len(entry.text) > PLAIN for entry in entries_of(send.message))
        understood = self.speaks.get(send.to.disk)
        if large and (understood is None or self.just_sent(now, send)):
            return []  # a member that was never heard gets large texts once it is: it can't want them before
        made = ConsensusMessage()
        made.CopyFrom(send.message)
        made.protocol_version = SPEAKS_TEXTS
        if large and understood:
            for entry in entries_of(made):
                self.shorten(entry)
            if not made.HasField("voter"):
                made.voter.CopyFrom(self.me)
        return [Send(send.to, made)]

    def shorten(self, entry: LogEntry) -> None:
        """Put a packed text, or its name, in place of a large text."""
        text = entry.text
        if len(text) <= PLAIN:
            return
        packed = self.packed(text) if len(text) <= PACKABLE else b""
        entry.text = b""
        if packed and len(packed) <= MOST_INLINE:
            entry.compressed = packed
        else:
            entry.text_name = self.store.hold(text)

    def packed(self, text: bytes) -> bytes:
        """A text is mostly sent to several members, one after another."""
        if self.last_packed[0] != text:
            self.last_packed = text, pack(text)
        return self.last_packed[1]

    def just_sent(self, now: float, send: Send) -> bool:
        m = send.message
        key = (send.to.disk, m.kind, m.term, m.entry.index, m.committed.index)
        if now - self.sent_at.get(key, -REPEAT_AFTER) < REPEAT_AFTER:
            return True
        self.sent_at.pop(key, None)
        self.sent_at[key] = now
        if len(self.sent_at) > MOST_REPEATS:
            del self.sent_at[next(iter(self.sent_at))]
        return False

    # --- in ---

    def incoming(self, now: float, message: ConsensusMessage) -> list[ConsensusMessage]:
        """The messages that are whole now."""
        self.note(message)
        if message.kind == Kind.TEXT_WANTED:
            self.hand_out(message)
            return []
        if message.kind == Kind.TEXT_BLOCKS:
            return self.take_blocks(now, message)
        names = self.fill(message)
        if names is None:
            return []
        if not names:
            return [message]
        if not message.HasField("voter"):
            return []  # nobody could be asked for the text
        self.hold_back(Waiting(message, names))
        self.begin_next(now)
        return []

    def note(self, message: ConsensusMessage) -> None:
        """What the sender understands."""
        self.speaks.pop(message.disk, None)
        self.speaks[message.disk] = message.protocol_version
        if len(self.speaks) > MOST_MEMBERS:
            del self.speaks[next(iter(self.speaks))]

    def fill(self, message: ConsensusMessage) -> list[bytes] | None:
        """Put in the texts that are here; the names of those that aren't. None where a text is damaged."""
        lacking: list[bytes] = []
        for entry in entries_of(message):
            if entry.compressed:
                text = unpack(entry.compressed, PACKABLE)
            elif entry.text_name:
                text = self.store.text(entry.text_name)
                if text is None:
                    lacking.append(entry.text_name)
                    continue
            else:
                text = entry.text
            if text is None:
                return None
            entry.ClearField("compressed")
            entry.ClearField("text_name")
            entry.text = text
            if len(text) > PACKABLE:
                self.store.hold(text)
        return lacking

    def hold_back(self, new: Waiting) -> None:
        """In place of the message of the same kind from the same member, unless that one's text is just being fetched
        and is another one."""
        fetched = self.transfer.name if self.transfer is not None else b""
        origin = (new.message.disk, new.message.kind)
        self.waiting = [
            w
            for w in self.waiting
            if (w.message.disk, w.message.kind) != origin or (fetched in w.names and fetched not in new.names)
        ]
        self.waiting.append(new)
        if len(self.waiting) > MOST_WAITING:
            self.waiting.remove(next((w for w in self.waiting if fetched not in w.names), new))

    # --- a transfer ---

    def begin_next(self, now: float) -> None:
        if self.transfer is None and self.waiting:
            first = self.waiting[0]
            self.transfer = Transfer(first.names[0], first.message.voter)
            self.counts["begun"] += 1
            self.ask(now)

    def ask(self, now: float) -> None:
        """One request: for the manifest, or for as many blocks as the window allows."""
        transfer = self.transfer
        assert transfer is not None
        if transfer.manifest is None:
            wanted = [transfer.name]
        else:
            wanted = self.store.lacking(transfer.manifest)[: transfer.window]
        self.round += 1
        transfer.round, transfer.asked_at = self.round, now
        transfer.unanswered += 1
        made = self.message(Kind.TEXT_WANTED, self.round)
        made.wanted.extend(wanted)
        self.out.append(Send(transfer.source, made))

    def message(self, kind: Kind, number: int) -> ConsensusMessage:
        return ConsensusMessage(
            kind=kind, disk=self.me.disk, voter=self.me, protocol_version=SPEAKS_TEXTS, round=number
        )

    def hand_out(self, message: ConsensusMessage) -> None:
        """What is asked for and is here; what isn't goes without its data, and the asker looks elsewhere."""
        if not message.HasField("voter"):
            return
        made = self.message(Kind.TEXT_BLOCKS, message.round)
        for name in message.wanted[:MOST_WINDOW]:
            data = self.store.handed_out(name)
            made.blocks.append(TextBlock(name=name, compressed=pack(data) if data is not None else b""))
        self.out.append(Send(message.voter, made))

    def take_blocks(self, now: float, message: ConsensusMessage) -> list[ConsensusMessage]:
        transfer = self.transfer
        if transfer is None or message.disk != transfer.source.disk or message.round != transfer.round:
            return []
        if not message.blocks or not all(self.take_block(transfer, block) for block in message.blocks):
            self.give_up()
            self.begin_next(now)
            return []
        self.adapt(transfer, now - transfer.asked_at)
        if transfer.manifest is not None and not self.store.lacking(transfer.manifest):
            return self.finish(now, transfer, transfer.manifest)
        self.ask(now)
        return []

    def take_block(self, transfer: Transfer, block: TextBlock) -> bool:
        """Whether this is a sound part of the text."""
        data = unpack(block.compressed, MOST_MANIFEST) if block.compressed else None
        if data is None:
            return False
        if block.name == transfer.name:
            transfer.manifest = data
            return name_of_manifest(data) == block.name
        if name_of_block(data) != block.name or len(data) > MOST_BLOCK:
            return False
        self.store.add_block(data)
        self.counts["blocks"] += 1
        return True

    def adapt(self, transfer: Transfer, took: float) -> None:
        """Ask for more where answers are quick, for less where others wait behind them."""
        transfer.unanswered = 0
        if took < QUICK_ANSWER:
            transfer.window = min(2 * transfer.window, MOST_WINDOW)
        elif took > SLOW_ANSWER:
            transfer.window = max(transfer.window // 2, 1)

    def finish(self, now: float, transfer: Transfer, manifest: bytes) -> list[ConsensusMessage]:
        """A text is whole: the messages that waited for it go on."""
        self.store.complete(transfer.name, manifest)
        self.transfer = None
        self.counts["finished"] += 1
        whole: list[ConsensusMessage] = []
        still: list[Waiting] = []
        for waiting in self.waiting:
            waiting.names = self.fill(waiting.message) or []
            if waiting.names:
                still.append(waiting)
            else:
                whole.append(waiting.message)
        self.waiting = still
        self.begin_next(now)
        return whole

    def give_up(self) -> None:
        """The source has the text no more, or doesn't answer: what waits for it is as if lost, and is sent anew."""
        assert self.transfer is not None
        name, self.transfer = self.transfer.name, None
        self.waiting = [w for w in self.waiting if name not in w.names]
        self.counts["given_up"] += 1

    def tick(self, now: float) -> None:
        """Requests that had no answer are sent again."""
        transfer = self.transfer
        if transfer is None or now - transfer.asked_at < ASK_AGAIN_AFTER:
            return
        if transfer.unanswered >= MOST_ASKED:
            self.give_up()
            self.begin_next(now)
            return
        transfer.window = 1
        self.ask(now)
