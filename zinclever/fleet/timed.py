"""Members of which something holds until an instant."""

from __future__ import annotations

import heapq
from typing import Generic, TypeVar

T = TypeVar("T")


class ExpiringSet(Generic[T]):
    """It ends by time, not by a look at all."""

    __slots__ = ("deadlines", "members")

    def __init__(self) -> None:
        self.members: set[T] = set()
        self.deadlines: list[tuple[float, float, T]] = []

    def add(self, due_at: float, rank: float, member: T) -> None:
        """``rank`` tells apart those of one instant."""
        self.members.add(member)
        heapq.heappush(self.deadlines, (due_at, rank, member))

    def pop_due(self, now: float) -> list[T]:
        """Whose time has passed: each is to be looked at, as it may have been prolonged."""
        due_members: list[T] = []
        while self.deadlines and self.deadlines[0][0] <= now:
            due_members.append(heapq.heappop(self.deadlines)[2])
        return due_members
