"""Bodies of requests that are held until their requests are answered, and how much memory they may take. No I/O, no
clock.

A body is held whole, so that a further attempt can send it again. Small ones go out once they are whole. Larger ones
need room first, wait for it in turn, and go out as they come: the time that a slow endpoint takes to read them would
else be their client's.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Protocol

HELD_FREELY = 64 * 1024  # bytes of a body that need no room: as many as descriptors are little memory
STEP = 256 * 1024  # bytes of room taken at a time for a body whose length isn't told
LEAST_ROOM = 4 << 20  # bytes, however little memory there is
ROOM_UNTOLD = 64 << 20  # bytes, where nobody says how much memory there is
BASE = 30 << 20  # bytes that a sidecar uses without: the program, its connections, answers that are passed on
SHARE = 0.4  # of the rest: a body is held twice for a moment, and every attempt has the kernel's copy besides


def body_memory_limit(memory: float | None) -> int:
    """Bytes of room in so many bytes of memory; None: not told."""
    if memory is None:
        return ROOM_UNTOLD
    return max(LEAST_ROOM, int(SHARE * (memory - BASE)))


class Room:
    """What is taken of a bound, and who waits for more of it, in the order in which they came."""

    __slots__ = ("limit", "taken", "waiting")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.taken = 0
        self.waiting: dict[Hashable, int] = {}

    def take(self, who: Hashable, need: int) -> bool:
        """Take so many bytes; where there are none ``who`` waits for them, behind those that wait already."""
        if not self.waiting and self.taken + need <= self.limit:
            self.taken += need
            return True
        self.waiting[who] = need
        return False

    def give(self, taken: int) -> None:
        self.taken -= taken

    def leave(self, who: Hashable) -> None:
        """Wait no longer."""
        self.waiting.pop(who, None)

    def granted(self) -> list[tuple[Hashable, int]]:
        """Who has waited and has its bytes now."""
        served: list[tuple[Hashable, int]] = []
        for who, need in self.waiting.items():
            if self.taken + need > self.limit:
                break
            self.taken += need
            served.append((who, need))
        for who, _ in served:
            del self.waiting[who]
        return served


class Taker(Protocol):
    """Gets a body as it comes, in order: each byte once."""

    def more(self, data: bytes) -> None: ...

    def last(self, data: bytes) -> None:
        """The last byte; called once, and nothing comes after it."""


class Body:
    """A body that comes in. Its last byte is kept back until it is known to be the last: an endpoint has a whole
    request only once its client has sent one."""

    __slots__ = ("back", "length", "parts", "takers", "whole")

    def __init__(self, length: int | None) -> None:
        self.length = length
        """As its client told it; None: it comes in chunks."""
        self.parts: list[bytes] = []
        self.back = b""
        self.whole = False
        self.takers: dict[Taker, None] = {}

    def add(self, data: bytes) -> None:
        """Bytes as they have come, one at least."""
        sure, self.back = self.back + data[:-1], data[-1:]
        if sure:
            self.parts.append(sure)
            for taker in list(self.takers):
                taker.more(sure)

    def finish(self) -> None:
        """It is whole. At least one byte has come."""
        self.whole = True
        takers, self.takers = self.takers, {}
        for taker in takers:
            taker.last(self.back)

    def follow(self, taker: Taker) -> None:
        """Begin to get what has come, and what is still to come."""
        self.takers[taker] = None
        for part in self.parts:
            taker.more(part)

    def leave(self, taker: Taker) -> None:
        self.takers.pop(taker, None)

    def bytes(self) -> bytes:
        """All of it, once it is whole: put together for the first who asks."""
        if len(self.parts) > 1 or self.back:
            self.parts, self.back = [b"".join((*self.parts, self.back))], b""
        return self.parts[0]
