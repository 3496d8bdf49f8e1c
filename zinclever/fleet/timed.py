"""Members of which something holds until an instant."""

from __future__ import annotations

import heapq
from typing import Generic, TypeVar

T = TypeVar("T")


class Timed(Generic[T]):
    """It ends by time, not by a look at all."""

    __slots__ = ("due", "members")

    def __init__(self) -> None:
        self.members: set[T] = set()
        self.due: list[tuple[float, float, T]] = []

    def add(self, until: float, rank: float, member: T) -> None:
        """``rank`` tells apart those of one instant."""
        self.members.add(member)
        heapq.heappush(self.due, (until, rank, member))

    def over(self, now: float) -> list[T]:
        """Whose time has passed: each is to be looked at, as it may have been prolonged."""
        ended: list[T] = []
        while self.due and self.due[0][0] <= now:
            ended.append(heapq.heappop(self.due)[2])
        return ended
