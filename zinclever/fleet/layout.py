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

FULLEST = 0.85  # part of the table in use from which on it grows: beyond, a change moves ever more servers
EMPTIEST = 0.4  # below which it shrinks; apart from FULLEST, as a list that flaps must not lay out anew each time
STEP = 1.25  # by which it grows: 68 to 85 per cent are in use after it
SMALLEST = 8  # slots
MASK = 2**64 - 1
GOLDEN = 0x9E3779B97F4A7C15  # splitmix64's increment


def mix(x: int) -> int:
    """The finalizer of splitmix64 (Steele, Lea and Flood, 2014): 64 bits in, 64 well-mixed bits out."""
    x = (x ^ x >> 30) * 0xBF58476D1CE4E5B9 & MASK
    x = (x ^ x >> 27) * 0x94D049BB133111EB & MASK
    return x ^ x >> 31


def mark_of(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest())


def table_size(servers: int) -> int:
    """Slots for so many servers: the first step that leaves enough of them empty."""
    size = SMALLEST
    while servers > FULLEST * size:
        size = int(size * STEP) + 1
    return size


class Seat:
    """One server: which of its own proposals was taken."""

    __slots__ = ("listed", "mark", "tried")

    def __init__(self, listed: interface.ListedEndpoint) -> None:
        self.listed, self.mark = listed, mark_of(listed.endpoint)
        self.tried = 0

    def proposal(self, number: int, size: int) -> int:
        return mix(self.mark + number * GOLDEN & MASK) % size

    def slot(self, size: int) -> int:
        return self.proposal(self.tried, size)

    def rank(self, number: int, slot: int) -> tuple[int, int, str]:
        """Where a slot ranks this proposal of it: the least is kept."""
        return number, mix(self.mark ^ slot * GOLDEN & MASK), self.listed.endpoint


class Layout:
    """The servers that may be sent to, each in its slot. A change costs what it moves; see the module's text.

    ``size`` is that of the table. It depends on the number of servers where the layout is made at once; one that
    has grown or shrunk may keep another size for a while, so that instances needn't agree on it.
    """

    def __init__(self, listed: Iterable[interface.ListedEndpoint] = ()) -> None:
        self.placements: dict[str, Seat] = {x.endpoint: Seat(x) for x in listed}
        self.lay_out()

    def lay_out(self) -> None:
        self.size = table_size(len(self.placements))
        self.table: list[Seat | None] = [None] * self.size
        self.wanting: dict[int, list[tuple[int, Seat]]] = {}
        """Who proposed to a slot and was not kept, and by which proposal."""
        for seat in self.placements.values():
            self.settle(seat, 0)

    def __len__(self) -> int:
        return len(self.placements)

    def settle(self, seat: Seat, number: int) -> None:
        """Propose on until one is taken, for whoever is without a slot."""
        while True:
            slot = seat.proposal(number, self.size)
            holder = self.table[slot]
            if holder is None or seat.rank(number, slot) < holder.rank(holder.tried, slot):
                self.table[slot], seat.tried = seat, number
                if holder is None:
                    return
                seat, number = holder, holder.tried
            self.wanting.setdefault(slot, []).append((number, seat))
            number += 1

    def put(self, listed: interface.ListedEndpoint) -> None:
        """A server, new or with other news of it."""
        known = self.placements.get(listed.endpoint)
        if known is not None:
            known.listed = listed
            return
        seat = self.placements[listed.endpoint] = Seat(listed)
        if len(self.placements) > FULLEST * self.size:
            self.lay_out()
        else:
            self.settle(seat, 0)

    def drop(self, name: str) -> None:
        """A server has gone: its slot is for the first of those that wanted it, and so on."""
        seat = self.placements.pop(name, None)
        if seat is None:
            return
        if self.size > SMALLEST and len(self.placements) < EMPTIEST * self.size:
            self.lay_out()
            return
        slot = seat.slot(self.size)
        self.withdraw(seat, 0, seat.tried)
        self.refill(slot)

    def refill(self, slot: int) -> None:
        while True:
            waiting = self.wanting.get(slot)
            if not waiting:
                self.table[slot] = None
                return
            number, heir = min(waiting, key=lambda x, slot=slot: x[1].rank(x[0], slot))  # type: ignore[misc]
            left = heir.slot(self.size)
            self.withdraw(heir, number, heir.tried)
            self.table[slot], heir.tried = heir, number
            slot = left

    def withdraw(self, seat: Seat, first: int, end: int) -> None:
        """It wants the slots of these proposals no longer."""
        for number in range(first, end):
            slot = seat.proposal(number, self.size)
            self.wanting[slot].remove((number, seat))
            if not self.wanting[slot]:
                del self.wanting[slot]

    def places(self) -> Mapping[str, int]:
        """Each server's slot."""
        return {name: seat.slot(self.size) for name, seat in self.placements.items()}
