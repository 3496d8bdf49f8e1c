"""The calls of operators at the leader: which one is proposed next, which is answered without a log entry. Pure.

Every call gets exactly one answer, an HTTP status and a text. The statuses that state what is current, 200 of a read
and 200, 400 and 412 of a change that is not proposed, wait for a round of confirmations that began after the call came
(:mod:`.leadership_confirmations`). A change that is proposed needs none: the voters that have its entry under the
leader's term confirm the term as well, and the entry follows directly on the one that it was checked against. 503
states nothing: the change may be committed, now or later, and is sent again as it was.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection

from ..transport.mesh_pb2 import LogEntry
from .leadership_confirmations import LeadershipConfirmations
from .messages import ChangeCall, DirectAnswer, ReadCall, UnconfirmedCall

CALL_TIMEOUT = 0.6  # s in which a call has an answer: a caller gives up after 1 s of silence, on its way here included
LARGE_CALL_TIMEOUT = 2.5  # s for the largest configurations, whose callers wait longer
LARGE_BYTES = 32 * 1024  # of a configuration from which on it takes longer ...
TRANSFER_RATE = 100_000.0  # ... by the time that its entry takes to voters and disks, in bytes/s
MAX_CALLS = 64  # calls that wait at once; further ones get no clear answer at once
MAX_CALL_BYTES = 32 << 20  # of their configurations together
MAX_APPLIED_CALLS = 256  # committed changes whose repetition is recognized

TOO_MANY_CALLS = b"too many calls are waiting"


def call_timeout(size: int) -> float:
    """The time in which a call with a configuration of ``size`` bytes has an answer, in s."""
    return min(LARGE_CALL_TIMEOUT, CALL_TIMEOUT + max(0, size - LARGE_BYTES) / TRANSFER_RATE)


class ClientCalls:
    """The calls that the leader has not answered yet."""

    def __init__(self, reply: Callable[[int, int, bytes], None]) -> None:
        """``reply`` is called with the id of a call, its HTTP status and text."""
        self.reply = reply
        self.confirmations = LeadershipConfirmations()
        self.queued_changes: deque[ChangeCall] = deque()
        """Changes that wait for their turn to be proposed."""
        self.proposed_change: ChangeCall | None = None
        self.unconfirmed: list[UnconfirmedCall] = []
        """Calls that are answered from what is committed, once the leader is confirmed."""

    def read(self, now: float, call_id: int) -> None:
        """Read the configuration in force."""
        if self.has_capacity(0):
            self.await_confirmation(ReadCall(call_id, now))
        else:
            self.reply(call_id, 503, TOO_MANY_CALLS)

    def change(self, call: ChangeCall, committed: LogEntry | None) -> None:
        """Replace the configuration; ``committed``: None while the leader doesn't know what is."""
        if not self.has_capacity(len(call.text)):
            self.reply(call.call_id, 503, TOO_MANY_CALLS)
        elif committed is not None and not may_be_proposed(call, committed):
            self.answer_directly(call, committed)
        else:
            self.queued_changes.append(call)

    def has_capacity(self, size: int) -> bool:
        """Whether one more call, with a configuration of ``size`` bytes, may wait."""
        calls = [*self.queued_changes, *(entry.call for entry in self.unconfirmed)]
        held = sum(len(call.text) for call in calls if isinstance(call, ChangeCall))
        return len(calls) < MAX_CALLS and held + size <= MAX_CALL_BYTES

    def next_change(self, committed: LogEntry) -> ChangeCall | None:
        """The next change that needs an entry; those before it that need none are answered."""
        while self.queued_changes:
            call = self.queued_changes.popleft()
            if direct_answer(call, committed) is None:
                self.proposed_change = call
                return call
            self.answer_directly(call, committed)
        return None

    def answer_directly(self, call: ChangeCall, committed: LogEntry) -> None:
        """Answer a change without an entry. A 503 states nothing, and needs nobody's confirmation."""
        answer = direct_answer(call, committed)
        if answer is not None and answer.status == 503:
            self.reply(call.call_id, answer.status, answer.text)
        else:
            self.await_confirmation(call)

    def await_confirmation(self, call: ChangeCall | ReadCall) -> None:
        """Answer a call once a round that begins now is confirmed."""
        self.unconfirmed.append(UnconfirmedCall(call, self.confirmations.begin()))

    def on_committed(self) -> None:
        """What was proposed is committed."""
        call, self.proposed_change = self.proposed_change, None
        if call is not None:
            self.reply(call.call_id, 200, b"")

    def answer_confirmed(self, committed: LogEntry, own: Collection[str]) -> None:
        """Answer the calls whose round a majority has confirmed, from what is committed by now."""
        unconfirmed, self.unconfirmed = self.unconfirmed, []
        for entry in unconfirmed:
            if not self.confirmations.is_confirmed(entry.round, committed.voters, own):
                self.unconfirmed.append(entry)
            elif isinstance(entry.call, ReadCall):
                self.answer_read(entry.call, committed)
            else:
                self.answer_change(entry.call, committed)

    def answer_read(self, call: ReadCall, committed: LogEntry) -> None:
        """Answer a confirmed read."""
        if committed.generation:
            self.reply(call.call_id, 200, committed.text)
        else:
            self.reply(call.call_id, 404, b"there is none yet")

    def answer_change(self, call: ChangeCall, committed: LogEntry) -> None:
        """Answer a confirmed change, checked anew: its base may have been committed while the voters were asked."""
        answer = direct_answer(call, committed)
        if answer is not None:
            self.reply(call.call_id, answer.status, answer.text)
        else:
            self.queued_changes.append(call)

    def unconfirmed_round(self) -> int:
        """The newest round that a call waits for; 0 where none does."""
        return max((entry.round for entry in self.unconfirmed), default=0)

    def tick(self, now: float) -> None:
        """Answer 503 to the calls whose time is up."""
        for call in [call for call in self.queued_changes if is_expired(call, now)]:
            self.queued_changes.remove(call)
            self.reply(call.call_id, 503, b"not committed in time")
        if self.proposed_change is not None and is_expired(self.proposed_change, now):
            self.reply(self.proposed_change.call_id, 503, b"not committed in time: it may be yet")
            self.proposed_change = None
        for entry in [entry for entry in self.unconfirmed if is_expired(entry.call, now)]:
            self.unconfirmed.remove(entry)
            self.reply(entry.call.call_id, 503, b"no majority confirms that this member leads")

    def fail_all(self) -> None:
        """Answer 503 to all calls: this replica leads no more."""
        proposed = [self.proposed_change] if self.proposed_change is not None else []
        for call in [*self.queued_changes, *proposed, *(entry.call for entry in self.unconfirmed)]:
            self.reply(call.call_id, 503, b"leads no more: a change may be committed")
        self.queued_changes.clear()
        self.unconfirmed.clear()
        self.proposed_change = None
        self.confirmations.reset()


def is_expired(call: ChangeCall | ReadCall, now: float) -> bool:
    """Whether the time of a call is up."""
    size = len(call.text) if isinstance(call, ChangeCall) else 0
    return now - call.received_at > call_timeout(size)


def direct_answer(call: ChangeCall, committed: LogEntry) -> DirectAnswer | None:
    """The answer to a change that needs no entry; None where it is to be proposed."""
    if was_applied(call, committed):
        return DirectAnswer(200, b"")
    if may_have_been_applied(call, committed):
        return DirectAnswer(503, b"it may have been taken: that many changes ago none is remembered")
    if call.base != committed.generation:
        return DirectAnswer(412, b"another version is current: %d" % committed.generation)
    if call.generation <= committed.generation:
        return DirectAnswer(400, b"Generation is not above the current one, %d" % committed.generation)
    return None


def was_applied(call: ChangeCall, committed: LogEntry) -> bool:
    """Whether this very change is among those remembered: same generation, same base, same text."""
    return any(
        applied.digest == call.digest and applied.generation == call.generation and applied.base == call.base
        for applied in committed.applied_calls
    )


def may_have_been_applied(call: ChangeCall, committed: LogEntry) -> bool:
    """Whether a change that isn't remembered may have been applied all the same.

    Each change that is applied builds on the generation that the one before it made, so generations only rise: those
    applied before the oldest that is remembered made generations up to the one that it builds on. A change with a
    higher generation is remembered, or was never applied; with a lower one nobody can tell, and a change that was
    applied is never refused.
    """
    oldest = committed.applied_calls[0].base if committed.applied_calls else committed.generation
    return call.base < call.generation <= oldest


def may_be_proposed(call: ChangeCall, committed: LogEntry) -> bool:
    """Whether a change may be proposed now or after others that are under way.

    Generations only rise: a change that builds on a lower one than the committed one never will.
    """
    return call.base > committed.generation or direct_answer(call, committed) is None
