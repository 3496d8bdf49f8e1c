"""The calls of operators at the member that acts: which is next, which needs no entry, which stays unclear. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ..transport.mesh_pb2 import LogEntry
from .messages import Proposal
from .quorum import has_majority

CALL_FOR = 2.5  # s in which a call is committed, or has no clear answer
REMEMBERED = 256  # entries by which a repeated call is known


class ClientCalls:
    """Every call gets one answer, as an HTTP status and a text."""

    def __init__(self, reply: Callable[[int, int, bytes], None]) -> None:
        self.reply = reply
        self.waiting: deque[Proposal] = deque()
        self.current: Proposal | None = None
        """What is being proposed."""
        self.round = 0
        self.reads: dict[int, tuple[int, float, set[str]]] = {}
        """By round: the call, when it came, who has confirmed."""

    def next(self, committed: LogEntry) -> Proposal | None:
        """The next call that wants an entry; those before it that don't are answered."""
        while self.waiting:
            call = self.waiting.popleft()
            status, text = judge(call, committed)
            if not status:
                self.current = call
                return call
            self.reply(call.call, status, text)
        return None

    def committed(self) -> None:
        """What was proposed is committed."""
        call, self.current = self.current, None
        if call is not None:
            self.reply(call.call, 200, b"")

    def ask(self, now: float, call: int) -> int:
        """A read that wants a majority: the number of its round."""
        self.round += 1
        self.reads[self.round] = (call, now, set())
        return self.round

    def confirmed(self, number: int, disk: str, committed: LogEntry) -> None:
        """A member knows of no other that acts."""
        if number not in self.reads:
            return
        call, _, who = self.reads[number]
        who.add(disk)
        if has_majority(committed.voters, who):
            del self.reads[number]
            if committed.generation:
                self.reply(call, 200, committed.text)
            else:
                self.reply(call, 404, b"there is none yet")

    def tick(self, now: float) -> None:
        """Those whose time is up."""
        for call in [c for c in self.waiting if now - c.at > CALL_FOR]:
            self.waiting.remove(call)
            self.reply(call.call, 503, b"not committed in time")
        if self.current is not None and now - self.current.at > CALL_FOR:
            self.reply(self.current.call, 503, b"not committed in time: it may be yet")
            self.current = None
        for number, (asked, at, _) in list(self.reads.items()):
            if now - at > CALL_FOR / 2:
                del self.reads[number]
                self.reply(asked, 503, b"no majority answers")

    def drop(self) -> None:
        """This member acts no more: calls have no clear answer here."""
        for call in [*self.waiting, *([self.current] if self.current is not None else [])]:
            self.reply(call.call, 503, b"does not act any more: it may be committed")
        self.waiting.clear()
        self.current = None
        for asked, _, _ in self.reads.values():
            self.reply(asked, 503, b"does not act any more")
        self.reads.clear()


def judge(call: Proposal, committed: LogEntry) -> tuple[int, bytes]:
    """A status where a call is answered without an entry; 0 where it is to be proposed."""
    for taken in committed.applied:
        if taken.digest == call.digest and taken.generation == call.generation and taken.base == call.base:
            return 200, b""  # the same entry again
    if call.base != committed.generation:
        return 412, b"another version is current: %d" % committed.generation
    if call.generation <= committed.generation:
        return 400, b"Generation is not above the current one, %d" % committed.generation
    return 0, b""
