"""A table of slots for the servers of a fleet that all instances compute alike, without communicating.

Each server has one slot, which depends only on the listed names and the size of the table, not on the order of
arrival. Each server proposes to slots in an order of its own, and a slot keeps the proposal that it ranks first
(deferred acceptance: Gale and Shapley, "College Admissions and the Stability of Marriage", 1962). Both sides rank by
the number of the proposal, and slots break ties by a hash. There is therefore only one stable outcome, whatever the
order in which servers come and go. A table that is at most 85 % full takes about two proposals for each server, and
adding or removing a server moves a few others.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b

from .. import interface

MAX_LOAD_FACTOR = 0.85  # share of used slots above which the table grows, as changes to a fuller one move more servers
MIN_LOAD_FACTOR = 0.4  # below it the table shrinks; far below the maximum, so that a flapping list causes no rebuilds
GROWTH_FACTOR = 1.25  # 68 % to 85 % of the slots are in use after growing
MIN_TABLE_SIZE = 8  # slots
MASK = 2**64 - 1
GOLDEN = 0x9E3779B97F4A7C15  # increment of splitmix64


def mix(x: int) -> int:
    """Mix 64 bits: the finalizer of splitmix64 (Steele, Lea and Flood, 2014)."""
    x = (x ^ x >> 30) * 0xBF58476D1CE4E5B9 & MASK
    x = (x ^ x >> 27) * 0x94D049BB133111EB & MASK
    return x ^ x >> 31


def hash_of(name: str) -> int:
    """Return a 64-bit hash of a server's name that is the same in all processes."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest())


def table_size(servers: int) -> int:
    """Return the smallest table size in the growth sequence that leaves enough slots empty."""
    size = MIN_TABLE_SIZE
    while servers > MAX_LOAD_FACTOR * size:
        size = int(size * GROWTH_FACTOR) + 1
    return size


class Placement:
    """A server and the number of its proposal that was accepted."""

    __slots__ = ("accepted", "hash", "listed")

    def __init__(self, listed: interface.ListedEndpoint) -> None:
        self.listed, self.hash = listed, hash_of(listed.endpoint)
        self.accepted = 0

    def proposal(self, number: int, size: int) -> int:
        """Return the slot of the server's proposal ``number`` in a table of ``size`` slots."""
        return mix(self.hash + number * GOLDEN & MASK) % size

    def slot(self, size: int) -> int:
        """Return the server's slot in a table of ``size`` slots."""
        return self.proposal(self.accepted, size)

    def rank(self, number: int, slot: int) -> tuple[int, int, str]:
        """Return the rank of a proposal at a slot; the slot keeps the lowest."""
        return number, mix(self.hash ^ slot * GOLDEN & MASK), self.listed.endpoint


class Layout:
    """The servers that may be sent to, each in its slot. The cost of a change is the number of servers that it moves.

    ``size`` is the size of the table. After growing or shrinking it can differ from that of a new layout with the same
    number of servers, so that instances with different histories may differ for a while.
    """

    def __init__(self, listed: Iterable[interface.ListedEndpoint] = ()) -> None:
        self.placements: dict[str, Placement] = {x.endpoint: Placement(x) for x in listed}
        self.rebuild()

    def rebuild(self) -> None:
        """Place all servers anew in a table of the matching size."""
        self.size = table_size(len(self.placements))
        self.table: list[Placement | None] = [None] * self.size
        self.rejected: dict[int, list[tuple[int, Placement]]] = {}
        """By slot: the proposals that it did not keep, with their servers."""
        for placement in self.placements.values():
            self.assign(placement, 0)

    def __len__(self) -> int:
        return len(self.placements)

    def assign(self, placement: Placement, number: int) -> None:
        """Make the proposals of a server from ``number`` on until every server that this displaces has a slot."""
        while True:
            slot = placement.proposal(number, self.size)
            occupant = self.table[slot]
            if occupant is None or placement.rank(number, slot) < occupant.rank(occupant.accepted, slot):
                self.table[slot], placement.accepted = placement, number
                if occupant is None:
                    return
                placement, number = occupant, occupant.accepted
            self.rejected.setdefault(slot, []).append((number, placement))
            number += 1

    def put(self, listed: interface.ListedEndpoint) -> None:
        """Add a server, or update its entry."""
        known = self.placements.get(listed.endpoint)
        if known is not None:
            known.listed = listed
            return
        placement = self.placements[listed.endpoint] = Placement(listed)
        if len(self.placements) > MAX_LOAD_FACTOR * self.size:
            self.rebuild()
        else:
            self.assign(placement, 0)

    def drop(self, name: str) -> None:
        """Remove a server. Its slot goes to the best rejected proposal, and so on for the slot that this vacates."""
        placement = self.placements.pop(name, None)
        if placement is None:
            return
        if self.size > MIN_TABLE_SIZE and len(self.placements) < MIN_LOAD_FACTOR * self.size:
            self.rebuild()
            return
        slot = placement.slot(self.size)
        self.withdraw(placement, 0, placement.accepted)
        self.refill(slot)

    def refill(self, slot: int) -> None:
        """Fill an empty slot from its rejected proposals, and then the slot that this vacates, until none is left."""
        while True:
            waiting = self.rejected.get(slot)
            if not waiting:
                self.table[slot] = None
                return
            number, successor = min(waiting, key=lambda x, slot=slot: x[1].rank(x[0], slot))  # type: ignore[misc]
            vacated = successor.slot(self.size)
            self.withdraw(successor, number, successor.accepted)
            self.table[slot], successor.accepted = successor, number
            slot = vacated

    def withdraw(self, placement: Placement, first: int, end: int) -> None:
        """Remove a server's rejected proposals ``first`` to ``end`` (exclusive)."""
        for number in range(first, end):
            slot = placement.proposal(number, self.size)
            self.rejected[slot].remove((number, placement))
            if not self.rejected[slot]:
                del self.rejected[slot]

    def slots_by_name(self) -> Mapping[str, int]:
        """Return the slot of each server."""
        return {name: placement.slot(self.size) for name, placement in self.placements.items()}
