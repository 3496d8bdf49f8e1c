"""Lists in the order of their members' ranks."""

from __future__ import annotations

import bisect
from typing import Protocol, TypeVar


class Ranked(Protocol):
    rank: float


R = TypeVar("R", bound=Ranked)


def rank_of(member: Ranked) -> float:
    return member.rank


def remove_ranked(ranked: list[R], member: R) -> None:
    """Take a member out of a list by rank; others may be of the same rank. IndexError where it isn't in it."""
    index = bisect.bisect_left(ranked, member.rank, key=rank_of)
    while ranked[index] is not member:
        index += 1
    del ranked[index]
