"""A set whose members become due at an instant each."""

from __future__ import annotations

import heapq
from typing import Generic, TypeVar

T = TypeVar("T")


class ExpiringSet(Generic[T]):
    """A set with a heap of instants, so that finding the due members doesn't scan all of them."""

    __slots__ = ("deadlines", "members")

    def __init__(self) -> None:
        self.members: set[T] = set()
        self.deadlines: list[tuple[float, float, T]] = []

    def add(self, due_at: float, rank: float, member: T) -> None:
        """Add a member that becomes due at ``due_at``. ``rank`` breaks ties."""
        self.members.add(member)
        heapq.heappush(self.deadlines, (due_at, rank, member))

    def pop_due(self, now: float) -> list[T]:
        """Return the members that became due. They stay in the set; the caller checks whether they were extended."""
        due_members: list[T] = []
        while self.deadlines and self.deadlines[0][0] <= now:
            due_members.append(heapq.heappop(self.deadlines)[2])
        return due_members
