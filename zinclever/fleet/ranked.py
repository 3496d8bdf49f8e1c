"""Operations on lists that are sorted by the ranks of their members."""

from __future__ import annotations

import bisect
from typing import Protocol, TypeVar


class Ranked(Protocol):
    """Anything with a rank."""

    rank: float


R = TypeVar("R", bound=Ranked)


def rank_of(member: Ranked) -> float:
    """Return the rank of a member, as a sort key."""
    return member.rank


def remove_ranked(ranked: list[R], member: R) -> None:
    """Remove a member from a list that is sorted by rank. Several members may have the same rank.

    Raises:
        IndexError: the list does not contain the member.
    """
    index = bisect.bisect_left(ranked, member.rank, key=rank_of)
    while ranked[index] is not member:
        index += 1
    del ranked[index]
