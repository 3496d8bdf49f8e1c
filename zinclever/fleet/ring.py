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

    __slots__ = ("owners", "positions", "sizes")

    def __init__(self, owners: Iterable[tuple[int, float, T]]) -> None:
        """``owners``: mark, size and owner of each."""
        ordered = sorted(owners, key=lambda x: x[0])
        self.positions = [position for position, _, _ in ordered]
        self.sizes = [size for _, size, _ in ordered]
        self.owners = [owner for _, _, owner in ordered]

    def insert(self, position: int, size: float, owner: T) -> None:
        index = bisect.bisect(self.positions, position)
        self.positions.insert(index, position)
        self.sizes.insert(index, size)
        self.owners.insert(index, owner)

    def remove(self, position: int, owner: T) -> None:
        """Take out one that is there; others may have the same mark."""
        index = bisect.bisect_left(self.positions, position)
        while self.owners[index] is not owner:
            index += 1
        del self.positions[index], self.sizes[index], self.owners[index]

    def owner_of(self, seed: int) -> T:
        """Whose mark comes soonest, by size, after one of the places that a seed gives. IndexError without owners."""
        nearest, shortest = self.owners[0], math.inf
        for n in range(PROBES):
            point = mix(seed ^ n * 0x9E3779B1)
            index = bisect.bisect_left(self.positions, point) % len(self.positions)
            distance = float((self.positions[index] - point) % 2**32) / self.sizes[index]
            if distance < shortest:
                nearest, shortest = self.owners[index], distance
        return nearest
