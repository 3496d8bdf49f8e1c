"""How much memory the bodies of requests may take that are held until their requests are answered. No I/O, no clock.

A body is held whole, so that a further attempt can send it again, and nothing goes out of a request that may never be
whole. Small ones are held as they come; larger ones need room first, and wait for it in turn.
"""

from __future__ import annotations

from collections.abc import Hashable

HELD_FREELY = 64 * 1024  # bytes of a body that need no room: as many as descriptors are little memory
STEP = 256 * 1024  # bytes of room taken at a time for a body whose length isn't told
LEAST_ROOM = 4 << 20  # bytes, however little memory there is
ROOM_UNTOLD = 64 << 20  # bytes, where nobody says how much memory there is
BASE = 30 << 20  # bytes that a sidecar uses without: the program, its connections, answers that are passed on
SHARE = 0.4  # of the rest: a body is held twice for a moment, and every attempt has the kernel's copy besides


def room_for(memory: float | None) -> int:
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
