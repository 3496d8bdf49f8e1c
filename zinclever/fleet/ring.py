"""Multi-probe consistent hashing of keys (Appleton and O'Reilly, 2015)."""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterable
from typing import Generic, TypeVar

PROBES = 21  # probes for each key; with 21 the loads of the owners differ by about 5 %

T = TypeVar("T")


def mix(x: int) -> int:
    """Mix 32 bits: the finalizer of MurmurHash3 (Appleby)."""
    x = (x ^ x >> 16) * 0x85EBCA6B % 2**32
    x = (x ^ x >> 13) * 0xC2B2AE35 % 2**32
    return x ^ x >> 16


class Ring(Generic[T]):
    """A consistent-hashing ring with one 32-bit position for each owner.

    Adding or removing an owner moves only the keys next to it.
    """

    __slots__ = ("owners", "positions", "sizes")

    def __init__(self, owners: Iterable[tuple[int, float, T]]) -> None:
        """Build the ring from position, size and value of each owner."""
        ordered = sorted(owners, key=lambda x: x[0])
        self.positions = [position for position, _, _ in ordered]
        self.sizes = [size for _, size, _ in ordered]
        self.owners = [owner for _, _, owner in ordered]

    def insert(self, position: int, size: float, owner: T) -> None:
        """Add an owner."""
        index = bisect.bisect(self.positions, position)
        self.positions.insert(index, position)
        self.sizes.insert(index, size)
        self.owners.insert(index, owner)

    def remove(self, position: int, owner: T) -> None:
        """Remove an owner, which must be on the ring. Others may have the same position."""
        index = bisect.bisect_left(self.positions, position)
        while self.owners[index] is not owner:
            index += 1
        del self.positions[index], self.sizes[index], self.owners[index]

    def owner_of(self, seed: int) -> T:
        """Return the owner at the least distance after any of the key's probes, divided by the owner's size.

        Raises:
            IndexError: the ring is empty.
        """
        nearest, shortest = self.owners[0], math.inf
        for n in range(PROBES):
            point = mix(seed ^ n * 0x9E3779B1)
            index = bisect.bisect_left(self.positions, point) % len(self.positions)
            distance = float((self.positions[index] - point) % 2**32) / self.sizes[index]
            if distance < shortest:
                nearest, shortest = self.owners[index], distance
        return nearest
