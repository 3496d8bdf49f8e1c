"""The calls of operators at the leader: which one is proposed next, which is answered without an entry. Pure.

Every call gets exactly one answer, an HTTP status and a text. The statuses that state what is current, 200 of a read
and 200, 400 and 412 of a change that is not proposed, wait for a round of confirmations that began after the call came
(:mod:`.leadership`). A change that is proposed needs none: the voters that have its entry under the leader's term
confirm the term as well, and the entry follows directly on the one that it was judged against. 503 states nothing: the
change may be committed, now or later, and is sent again as it was.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection

from ..transport.mesh_pb2 import LogEntry
from .leadership import LeadershipConfirmations
from .messages import Judgement, Proposal, Read, Unconfirmed

CALL_TIMEOUT = 0.6  # s in which a call has an answer: a caller gives up after 1 s of silence, on its way here included
LARGE_CALL_TIMEOUT = 2.5  # s for the largest configurations, whose callers wait longer
LARGE_SIZE = 32 * 1024  # bytes of a configuration from which on it takes longer ...
TRANSFER_RATE = 100_000.0  # ... by the time that its entry takes to voters and disks, in bytes/s
MAX_CALLS = 64  # calls that wait at once; further ones get no clear answer at once
MAX_CALL_BYTES = 32 << 20  # of their configurations together
REMEMBERED = 256  # changes that were taken whose repetition is recognized

TOO_MANY = b"too many calls are waiting"


def call_timeout(size: int) -> float:
    """s in which a call with a configuration of so many bytes has an answer."""
    return min(LARGE_CALL_TIMEOUT, CALL_TIMEOUT + max(0, size - LARGE_SIZE) / TRANSFER_RATE)


class ClientCalls:
    """The calls that the leader has not answered yet."""

    def __init__(self, reply: Callable[[int, int, bytes], None]) -> None:
        self.reply = reply
        self.confirmations = LeadershipConfirmations()
        self.waiting: deque[Proposal] = deque()
        """Changes that wait for their turn to be proposed."""
        self.current: Proposal | None = None
        """The change that is being proposed."""
        self.unconfirmed: list[Unconfirmed] = []
        """Calls that are answered from what is committed, once the leader is confirmed."""

    def read(self, now: float, call: int) -> None:
        """A read of the configuration in force."""
        if self.has_room(0):
            self.await_confirmation(Read(call, now))
        else:
            self.reply(call, 503, TOO_MANY)

    def change(self, call: Proposal, committed: LogEntry | None) -> None:
        """A change; ``committed``: None while the leader doesn't know what is."""
        if not self.has_room(len(call.text)):
            self.reply(call.call, 503, TOO_MANY)
        elif committed is not None and not may_be_proposed(call, committed):
            self.settle(call, committed)
        else:
            self.waiting.append(call)

    def has_room(self, size: int) -> bool:
        """Whether one more call, with a configuration of so many bytes, may wait."""
        calls = [*self.waiting, *(entry.call for entry in self.unconfirmed)]
        held = sum(len(call.text) for call in calls if isinstance(call, Proposal))
        return len(calls) < MAX_CALLS and held + size <= MAX_CALL_BYTES

    def next(self, committed: LogEntry) -> Proposal | None:
        """The next change that wants an entry; those before it that don't go on to be answered."""
        while self.waiting:
            call = self.waiting.popleft()
            if judge(call, committed) is None:
                self.current = call
                return call
            self.settle(call, committed)
        return None

    def settle(self, call: Proposal, committed: LogEntry) -> None:
        """A change that is answered without an entry. 503 states nothing, and needs nobody's confirmation."""
        judgement = judge(call, committed)
        if judgement is not None and judgement.status == 503:
            self.reply(call.call, judgement.status, judgement.text)
        else:
            self.await_confirmation(call)

    def await_confirmation(self, call: Proposal | Read) -> None:
        self.unconfirmed.append(Unconfirmed(call, self.confirmations.begin()))

    def committed(self) -> None:
        """What was proposed is committed."""
        call, self.current = self.current, None
        if call is not None:
            self.reply(call.call, 200, b"")

    def answer_confirmed(self, committed: LogEntry, own: Collection[str]) -> None:
        """Answer the calls whose round a majority has confirmed, from what is committed by now."""
        unconfirmed, self.unconfirmed = self.unconfirmed, []
        for entry in unconfirmed:
            if not self.confirmations.is_confirmed(entry.round, committed.voters, own):
                self.unconfirmed.append(entry)
            elif isinstance(entry.call, Read):
                self.answer_read(entry.call, committed)
            else:
                self.answer_change(entry.call, committed)

    def answer_read(self, call: Read, committed: LogEntry) -> None:
        if committed.generation:
            self.reply(call.call, 200, committed.text)
        else:
            self.reply(call.call, 404, b"there is none yet")

    def answer_change(self, call: Proposal, committed: LogEntry) -> None:
        """Judged anew: the version that it builds on may have been committed while the voters were asked."""
        judgement = judge(call, committed)
        if judgement is not None:
            self.reply(call.call, judgement.status, judgement.text)
        else:
            self.waiting.append(call)

    def unconfirmed_round(self) -> int:
        """The newest round that a call waits for; 0 where none does."""
        return max((entry.round for entry in self.unconfirmed), default=0)

    def tick(self, now: float) -> None:
        """Those whose time is up get no clear answer."""
        for call in [c for c in self.waiting if is_late(c, now)]:
            self.waiting.remove(call)
            self.reply(call.call, 503, b"not committed in time")
        if self.current is not None and is_late(self.current, now):
            self.reply(self.current.call, 503, b"not committed in time: it may be yet")
            self.current = None
        for entry in [e for e in self.unconfirmed if is_late(e.call, now)]:
            self.unconfirmed.remove(entry)
            self.reply(entry.call.call, 503, b"no majority confirms that this member leads")

    def drop(self) -> None:
        """This member leads no more: calls have no clear answer here."""
        current = [self.current] if self.current is not None else []
        for call in [*self.waiting, *current, *(entry.call for entry in self.unconfirmed)]:
            self.reply(call.call, 503, b"leads no more: a change may be committed")
        self.waiting.clear()
        self.unconfirmed.clear()
        self.current = None
        self.confirmations.reset()


def is_late(call: Proposal | Read, now: float) -> bool:
    size = len(call.text) if isinstance(call, Proposal) else 0
    return now - call.at > call_timeout(size)


def judge(call: Proposal, committed: LogEntry) -> Judgement | None:
    """What a change is answered without an entry; None where it is to be proposed."""
    if was_taken(call, committed):
        return Judgement(200, b"")
    if may_be_forgotten(call, committed):
        return Judgement(503, b"it may have been taken: that many changes ago none is remembered")
    if call.base != committed.generation:
        return Judgement(412, b"another version is current: %d" % committed.generation)
    if call.generation <= committed.generation:
        return Judgement(400, b"Generation is not above the current one, %d" % committed.generation)
    return None


def was_taken(call: Proposal, committed: LogEntry) -> bool:
    """Whether this very change is among those remembered: same number, same version below, same text."""
    return any(
        taken.digest == call.digest and taken.generation == call.generation and taken.base == call.base
        for taken in committed.applied_calls
    )


def may_be_forgotten(call: Proposal, committed: LogEntry) -> bool:
    """Whether a change that isn't remembered may have been taken all the same.

    Each change that is taken builds on the version that the one before it made, so versions only rise: those taken
    before the oldest that is remembered made versions up to the one that it builds on. A change with a higher number
    is remembered, or was never taken; with a lower one nobody can tell, and a change that was taken is never refused.
    """
    oldest = committed.applied_calls[0].base if committed.applied_calls else committed.generation
    return call.base < call.generation <= oldest


def may_be_proposed(call: Proposal, committed: LogEntry) -> bool:
    """Whether a change may be proposed now or after others that are under way. Versions only rise: one that builds on
    a lower version than the committed one never will."""
    return call.base > committed.generation or judge(call, committed) is None
