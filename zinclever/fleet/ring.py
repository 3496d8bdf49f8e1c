"""A ring on which keys find their keepers: multi-probe consistent hashing (Appleton and O'Reilly 2015)."""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterable
from typing import Generic, TypeVar

PROBES = 21  # places on the ring where a key's keeper is sought: loads differ by some 5 % then

T = TypeVar("T")


def mix(x: int) -> int:
    """32 bits in, 32 well-mixed bits out: the finalizer of MurmurHash3 (Appleby)."""
    x = (x ^ x >> 16) * 0x85EBCA6B % 2**32
    x = (x ^ x >> 13) * 0xC2B2AE35 % 2**32
    return x ^ x >> 16


class Ring(Generic[T]):
    """Owners by their marks of 32 bits. Each has one place, and one more or less moves the keys next to it only."""

    __slots__ = ("marks", "owners", "sizes")

    def __init__(self, owners: Iterable[tuple[int, float, T]]) -> None:
        """``owners``: mark, size and owner of each."""
        told = sorted(owners, key=lambda x: x[0])
        self.marks = [mark for mark, _, _ in told]
        self.sizes = [size for _, size, _ in told]
        self.owners = [owner for _, _, owner in told]

    def insert(self, mark: int, size: float, owner: T) -> None:
        at = bisect.bisect(self.marks, mark)
        self.marks.insert(at, mark)
        self.sizes.insert(at, size)
        self.owners.insert(at, owner)

    def remove(self, mark: int, owner: T) -> None:
        """Take out one that is there; others may have the same mark."""
        at = bisect.bisect_left(self.marks, mark)
        while self.owners[at] is not owner:
            at += 1
        del self.marks[at], self.sizes[at], self.owners[at]

    def keeper(self, seed: int) -> T:
        """Whose mark comes soonest, by size, after one of the places that a seed gives. IndexError without owners."""
        best, least = self.owners[0], math.inf
        for n in range(PROBES):
            place = mix(seed ^ n * 0x9E3779B1)
            at = bisect.bisect_left(self.marks, place) % len(self.marks)
            distance = float((self.marks[at] - place) % 2**32) / self.sizes[at]
            if distance < least:
                best, least = self.owners[at], distance
        return best
