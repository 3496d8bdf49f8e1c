"""Where each server of a fleet sits in a table that all instances agree on without talking.

Every server has one slot, and which one depends on the names listed and the size of the table alone, not on the
order in which they came: each proposes to slots in an order of its own, and a slot keeps the proposer that it
ranks first (deferred acceptance: Gale and Shapley, "College Admissions and the Stability of Marriage", 1962). Both
sides rank by the same thing, the number of the proposal, and slots by a hash among equals: so there is one stable
outcome only, and servers may come and go in any order. A table that is at most 85 per cent full takes some two
proposals a server, and one server more or less moves a few others.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b

from .. import interface

MAX_LOAD_FACTOR = 0.85  # part of the table in use from which on it grows: beyond, a change moves ever more servers
MIN_LOAD_FACTOR = (
    0.4  # below which it shrinks; apart from FULLEST, as a list that flaps must not lay out anew each time
)
GROWTH_FACTOR = 1.25  # by which it grows: 68 to 85 per cent are in use after it
MIN_TABLE_SIZE = 8  # slots
MASK = 2**64 - 1
GOLDEN = 0x9E3779B97F4A7C15  # splitmix64's increment


def mix(x: int) -> int:
    """The finalizer of splitmix64 (Steele, Lea and Flood, 2014): 64 bits in, 64 well-mixed bits out."""
    x = (x ^ x >> 30) * 0xBF58476D1CE4E5B9 & MASK
    x = (x ^ x >> 27) * 0x94D049BB133111EB & MASK
    return x ^ x >> 31


def hash_of(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest())


def table_size(servers: int) -> int:
    """Slots for so many servers: the first step that leaves enough of them empty."""
    size = MIN_TABLE_SIZE
    while servers > MAX_LOAD_FACTOR * size:
        size = int(size * GROWTH_FACTOR) + 1
    return size


class Placement:
    """One server: which of its own proposals was taken."""

    __slots__ = ("accepted", "hash", "listed")

    def __init__(self, listed: interface.Listed) -> None:
        self.listed, self.hash = listed, hash_of(listed.endpoint)
        self.accepted = 0

    def proposal(self, number: int, size: int) -> int:
        return mix(self.hash + number * GOLDEN & MASK) % size

    def slot(self, size: int) -> int:
        return self.proposal(self.accepted, size)

    def rank(self, number: int, slot: int) -> tuple[int, int, str]:
        """Where a slot ranks this proposal of it: the least is kept."""
        return number, mix(self.hash ^ slot * GOLDEN & MASK), self.listed.endpoint


class Layout:
    """The servers that may be sent to, each in its slot. A change costs what it moves; see the module's text.

    ``size`` is that of the table. It depends on the number of servers where the layout is made at once; one that
    has grown or shrunk may keep another size for a while, so that instances needn't agree on it.
    """

    def __init__(self, listed: Iterable[interface.Listed] = ()) -> None:
        self.seats: dict[str, Placement] = {x.endpoint: Placement(x) for x in listed}
        self.rebuild()

    def rebuild(self) -> None:
        self.size = table_size(len(self.seats))
        self.table: list[Placement | None] = [None] * self.size
        self.rejected: dict[int, list[tuple[int, Placement]]] = {}
        """Who proposed to a slot and was not kept, and by which proposal."""
        for placement in self.seats.values():
            self.assign(placement, 0)

    def __len__(self) -> int:
        return len(self.seats)

    def assign(self, placement: Placement, number: int) -> None:
        """Propose on until one is taken, for whoever is without a slot."""
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

    def put(self, listed: interface.Listed) -> None:
        """A server, new or with other news of it."""
        known = self.seats.get(listed.endpoint)
        if known is not None:
            known.listed = listed
            return
        placement = self.seats[listed.endpoint] = Placement(listed)
        if len(self.seats) > MAX_LOAD_FACTOR * self.size:
            self.rebuild()
        else:
            self.assign(placement, 0)

    def drop(self, name: str) -> None:
        """A server has gone: its slot is for the first of those that wanted it, and so on."""
        placement = self.seats.pop(name, None)
        if placement is None:
            return
        if self.size > MIN_TABLE_SIZE and len(self.seats) < MIN_LOAD_FACTOR * self.size:
            self.rebuild()
            return
        slot = placement.slot(self.size)
        self.withdraw(placement, 0, placement.accepted)
        self.refill(slot)

    def refill(self, slot: int) -> None:
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
        """It wants the slots of these proposals no longer."""
        for number in range(first, end):
            slot = placement.proposal(number, self.size)
            self.rejected[slot].remove((number, placement))
            if not self.rejected[slot]:
                del self.rejected[slot]

    def slots_by_name(self) -> Mapping[str, int]:
        """Each server's slot."""
        return {name: placement.slot(self.size) for name, placement in self.seats.items()}
