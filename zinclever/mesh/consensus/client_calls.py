"""The queue of client calls on the leader: reads and changes of the configuration. No I/O.

Every call gets exactly one answer, an HTTP status and a body. Answers that depend on the current state, which are 200
and 404 to a read and 200, 400 and 412 to a change that is not proposed, wait for a round of leadership confirmations
that began after the call was received (:mod:`.leadership_confirmations`). A change that is proposed needs no such
round: the voters that accept its entry confirm the leader's term too, and the entry directly follows the one that the
change was checked against. A 503 leaves the outcome open: the change may be committed already or later, and the caller
sends it again unmodified.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection

from ..transport.mesh_pb2 import LogEntry
from .leadership_confirmations import LeadershipConfirmations
from .messages import ChangeCall, DirectAnswer, ReadCall, UnconfirmedCall

CALL_TIMEOUT = 0.6  # seconds after which a call is answered 503; its caller gives up 1 s after sending it
LARGE_CALL_TIMEOUT = 2.5  # maximum timeout in seconds, for large configurations, whose callers wait longer
LARGE_BYTES = 32 * 1024  # size of a configuration above which the timeout grows
TRANSFER_RATE = 100_000.0  # bytes/s to voters and their disks, which determines how much the timeout grows
MAX_CALLS = 64  # waiting calls; further ones are answered 503 at once
MAX_CALL_BYTES = 32 << 20  # total size of the configurations in waiting calls
MAX_APPLIED_CALLS = 256  # committed changes that are remembered to recognize repeated calls

TOO_MANY_CALLS = b"too many calls are waiting"


def call_timeout(size: int) -> float:
    """The timeout of a call with a configuration of ``size`` bytes, in seconds."""
    return min(LARGE_CALL_TIMEOUT, CALL_TIMEOUT + max(0, size - LARGE_BYTES) / TRANSFER_RATE)


class ClientCalls:
    """The calls that the leader has not answered yet."""

    def __init__(self, reply: Callable[[int, int, bytes], None]) -> None:
        """Create an empty queue.

        Args:
            reply: Answers a call; takes its ID, an HTTP status and a body.
        """
        self.reply = reply
        self.confirmations = LeadershipConfirmations()
        self.queued_changes: deque[ChangeCall] = deque()
        """Changes that wait until the entries before them are committed."""
        self.proposed_change: ChangeCall | None = None
        self.unconfirmed: list[UnconfirmedCall] = []
        """Calls that are answered from the committed state once the leadership is confirmed."""

    def read(self, now: float, call_id: int) -> None:
        """Accept a call to read the current configuration."""
        if self.can_accept(0):
            self.await_confirmation(ReadCall(call_id, now))
        else:
            self.reply(call_id, 503, TOO_MANY_CALLS)

    def change(self, call: ChangeCall, committed: LogEntry | None) -> None:
        """Accept a call to replace the configuration.

        Args:
            call: The call.
            committed: The committed entry; None until the leader is established in its term.
        """
        if not self.can_accept(len(call.text)):
            self.reply(call.call_id, 503, TOO_MANY_CALLS)
        elif committed is not None and not may_be_proposed(call, committed):
            self.answer_directly(call, committed)
        else:
            self.queued_changes.append(call)

    def can_accept(self, size: int) -> bool:
        """Whether the limits allow one more waiting call, with a configuration of ``size`` bytes."""
        calls = [*self.queued_changes, *(entry.call for entry in self.unconfirmed)]
        queued_bytes = sum(len(call.text) for call in calls if isinstance(call, ChangeCall))
        return len(calls) < MAX_CALLS and queued_bytes + size <= MAX_CALL_BYTES

    def next_change(self, committed: LogEntry) -> ChangeCall | None:
        """Take the next change that needs an entry off the queue, and answer the ones before it that need none."""
        while self.queued_changes:
            call = self.queued_changes.popleft()
            if direct_answer(call, committed) is None:
                self.proposed_change = call
                return call
            self.answer_directly(call, committed)
        return None

    def answer_directly(self, call: ChangeCall, committed: LogEntry) -> None:
        """Answer a change that needs no entry: a 503 at once, other statuses after the next confirmation."""
        answer = direct_answer(call, committed)
        if answer is not None and answer.status == 503:
            self.reply(call.call_id, answer.status, answer.text)
        else:
            self.await_confirmation(call)

    def await_confirmation(self, call: ChangeCall | ReadCall) -> None:
        """Hold a call until a round of confirmations that begins now is complete."""
        self.unconfirmed.append(UnconfirmedCall(call, self.confirmations.begin_round()))

    def on_committed(self) -> None:
        """Answer the proposed change, whose entry is committed now."""
        call, self.proposed_change = self.proposed_change, None
        if call is not None:
            self.reply(call.call_id, 200, b"")

    def answer_confirmed(self, committed: LogEntry, own_disks: Collection[str]) -> None:
        """Answer the calls whose round a majority has confirmed, from the committed state.

        Args:
            committed: The committed entry.
            own_disks: Disks that count as confirmed without a request.
        """
        unconfirmed, self.unconfirmed = self.unconfirmed, []
        for entry in unconfirmed:
            if not self.confirmations.is_confirmed(entry.round, committed.voters, own_disks):
                self.unconfirmed.append(entry)
            elif isinstance(entry.call, ReadCall):
                self.answer_read(entry.call, committed)
            else:
                self.answer_change(entry.call, committed)

    def answer_read(self, call: ReadCall, committed: LogEntry) -> None:
        """Answer a read after its confirmation."""
        if committed.generation:
            self.reply(call.call_id, 200, committed.text)
        else:
            self.reply(call.call_id, 404, b"there is none yet")

    def answer_change(self, call: ChangeCall, committed: LogEntry) -> None:
        """Answer a change after its confirmation, or queue it if its base has been committed in the meantime."""
        answer = direct_answer(call, committed)
        if answer is not None:
            self.reply(call.call_id, answer.status, answer.text)
        else:
            self.queued_changes.append(call)

    def unconfirmed_round(self) -> int:
        """The newest round that a call waits for; 0 if there is none."""
        return max((entry.round for entry in self.unconfirmed), default=0)

    def tick(self, now: float) -> None:
        """Answer 503 to the calls whose timeout has expired."""
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
        """Answer 503 to all calls when this replica ceases to be the leader."""
        proposed = [self.proposed_change] if self.proposed_change is not None else []
        for call in [*self.queued_changes, *proposed, *(entry.call for entry in self.unconfirmed)]:
            self.reply(call.call_id, 503, b"leads no more: a change may be committed")
        self.queued_changes.clear()
        self.unconfirmed.clear()
        self.proposed_change = None
        self.confirmations.reset()


def is_expired(call: ChangeCall | ReadCall, now: float) -> bool:
    """Whether the timeout of a call has expired."""
    size = len(call.text) if isinstance(call, ChangeCall) else 0
    return now - call.received_at > call_timeout(size)


def direct_answer(call: ChangeCall, committed: LogEntry) -> DirectAnswer | None:
    """The answer to a change that needs no entry; None if the change must be proposed."""
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
    """Whether this change, with the same generation, base and text, is among the remembered ones."""
    return any(
        applied.digest == call.digest and applied.generation == call.generation and applied.base == call.base
        for applied in committed.applied_calls
    )


def may_have_been_applied(call: ChangeCall, committed: LogEntry) -> bool:
    """Whether a change that is no longer remembered may have been applied.

    Generations only rise, because the base of each applied change is the generation of the one before. Changes older
    than the oldest remembered one therefore have generations up to its base. A change with a higher generation is
    either remembered or was never applied; for a lower one this can't be decided, and it must not be answered as
    rejected.
    """
    oldest = committed.applied_calls[0].base if committed.applied_calls else committed.generation
    return call.base < call.generation <= oldest


def may_be_proposed(call: ChangeCall, committed: LogEntry) -> bool:
    """Whether a change can be proposed now, or once its base is committed.

    Generations only rise, so a base below the committed generation can't become current again.
    """
    return call.base > committed.generation or direct_answer(call, committed) is None
