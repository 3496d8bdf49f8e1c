"""The part of a large fleet that one instance sends to: deterministic, even over servers, stable, as wide as needed.

Instances number themselves 0 to n-1. Each walks the table of :mod:`.layout` in an order of its own, in rounds: in
every round the starting points of all instances lie evenly over the table, so that each slot is met by as many
instances as any other; between rounds they are shuffled, so that two that share one server share no more than
chance has it. An empty slot is passed over.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from .. import interface
from .layout import GOLDEN, MASK, Layout, Seat, mix
from .limits import EQUAL

MIN_INSTANCES_PER_SERVER = 10.0  # instances that each server is shared by at least, so that their uneven loads even out
PER_SERVER = 2.0  # requests in flight to each server from which on the subset grows with the load
GROW = 1.25  # by which it grows at once
SHRINK_AFTER = 30_000.0  # ms for which less has to do before some are left
SHRINK = 0.875  # what is kept of the surplus width then
FAR_LEAST = 4  # servers of the other zones: they are there for when home fails
FEWEST = 3  # servers that an instance knows whatever the caps: one that fails leaves two to draw
MATES = 2  # servers of each cell met, where a class may be repeated within its cell only
FAILED_FOR = 5_000.0  # ms for which a server that can't be reached is made up for by another
PROBES = 8  # rounds of the walk for each server looked for: with a tenth of the table in use it finds half of them


def visits(me: int, group: int, size: int) -> Iterator[int]:
    """The slots of a table that instance ``me`` of ``group`` meets, round after round, without end.

    In a round, instance number p (a shuffle of ``me``) starts at p/group of the table. Rounds are offset by the
    van der Corput sequence within that step, so that few instances cover a large table evenly as well.
    """
    turn = 0
    while True:
        spread = mix(turn * GOLDEN & MASK)
        shift, step = spread % group, coprime(spread >> 32, group)
        place = ((me * step + shift) % group + van_der_corput(turn)) / group
        yield int(place * size)
        turn += 1


def coprime(wish: int, group: int) -> int:
    """A number without a common factor with ``group``: times it, the instances are shuffled."""
    step = wish % group or 1
    while math.gcd(step, group) != 1:
        step += 1
    return step


def van_der_corput(number: int) -> float:
    """The number's binary digits mirrored at the point: 0, 1/2, 1/4, 3/4, ..."""
    result, unit = 0.0, 0.5
    while number:
        result, number, unit = result + unit * (number & 1), number >> 1, unit / 2
    return result


@dataclass(frozen=True, slots=True)
class SubsetSpec:
    """What a subset has to hold."""

    least: int
    """Servers of the home zone."""
    me: int = 0
    group: int = 1
    zone: int | None = None
    """The home zone; None: zones make no difference."""
    connections: float = 0.0
    """Open at once to each server, of all instances: none is known that no connection is left for. 0: no bound."""
    mates: bool = False
    """A class is bound to cells, so that each cell met has to be met twice."""


class Subset:
    """Which servers one instance is to know.

    Feed it the list, its load and what can't be reached; ask it for :meth:`changes`, which are what the module has to
    be told.
    """

    def __init__(self, shape: SubsetSpec, home: Layout | None = None, away: Layout | None = None) -> None:
        """``home``, ``away``: to be shared by instances in one process; each list is the same for all of them."""
        self.shape = shape
        self.home = home if home is not None else Layout()
        self.away = away if away is not None else Layout()
        self.cells: dict[int, dict[str, Seat]] = {}
        self.members: dict[str, interface.ListedEndpoint] = {}
        self.failing: dict[str, float] = {}
        """Servers that couldn't be reached, and until when they are made up for."""
        self.ends: list[tuple[float, str]] = []
        self.wide = 0.0
        """Width that the load asks for."""
        self.peak, self.peak_at = 0, -math.inf

    # --- what is told ---

    def layout(self, zone: int) -> Layout:
        return self.home if self.shape.zone is None or zone == self.shape.zone else self.away

    def replace_list(self, listed: Sequence[interface.ListedEndpoint]) -> None:
        """A whole list; what it doesn't hold is gone."""
        names = {x.endpoint for x in listed}
        for layout in (self.home, self.away):
            for name in [n for n in layout.placements if n not in names]:
                self.remove(name)
        self.apply_changes(listed)

    def apply_changes(self, listed: Sequence[interface.ListedEndpoint]) -> None:
        """News of some servers."""
        for x in listed:
            known = self.find(x.endpoint)
            if x.phase != "ready":
                self.remove(x.endpoint)
            elif known is not None and (known.listed.zone, known.listed.cell) == (x.zone, x.cell):
                known.listed = x
            else:
                self.remove(x.endpoint)
                layout = self.layout(x.zone)
                layout.put(x)
                if self.shape.mates:
                    self.cells.setdefault(x.cell, {})[x.endpoint] = layout.placements[x.endpoint]

    def find(self, name: str) -> Seat | None:
        return self.home.placements.get(name) or self.away.placements.get(name)

    def remove(self, name: str) -> None:
        seat = self.find(name)
        if seat is None:
            return
        self.home.drop(name)
        self.away.drop(name)
        self.failing.pop(name, None)
        if self.shape.mates:
            cell = self.cells[seat.listed.cell]
            del cell[name]
            if not cell:
                del self.cells[seat.listed.cell]

    def load(self, now: float, in_flight: int) -> bool:
        """How many requests this instance has in flight; whether the subset is to change for it."""
        self.peak = max(self.peak, in_flight)
        if in_flight > PER_SERVER * max(self.wide, self.base(self.home)):
            self.wide = max(in_flight / PER_SERVER, GROW * self.wide)
            self.peak_at = now
            return self.wide < GROW * len(self.home)
        if now - self.peak_at < SHRINK_AFTER:
            return False
        asked, self.peak, self.peak_at = self.peak / PER_SERVER, in_flight, now
        if asked >= self.wide:
            return False
        self.wide = max(asked, SHRINK * self.wide) if self.wide > 1.0 else 0.0
        return True

    def failed(self, now: float, name: str) -> bool:
        """A server couldn't be reached; whether the subset is to change for it."""
        if name not in self.members or name in self.failing:
            return False
        self.failing[name] = now + FAILED_FOR
        heapq.heappush(self.ends, (now + FAILED_FOR, name))
        return True

    def served(self, name: str) -> None:
        """A server has answered: it is no longer made up for, from the next change on."""
        self.failing.pop(name, None)

    # --- what comes of it ---

    def base(self, layout: Layout) -> int:
        """Servers that are met without any load, so that each is shared by enough instances, but by no more than
        there are connections for."""
        shape, servers = self.shape, len(layout)
        wide = max(shape.least, math.ceil(MIN_INSTANCES_PER_SERVER * servers / shape.group))
        if shape.connections:
            wide = min(wide, max(FEWEST, int(EQUAL * shape.connections * servers / shape.group)))
        return wide

    def changes(self, now: float) -> list[interface.ListedEndpoint]:
        """What the module is to be told: servers to take up or with other news, and those to leave as ``gone``.

        What is out on one that is left ends by itself. Costs the width, not the fleet.
        """
        while self.ends and self.ends[0][0] <= now:
            name = heapq.heappop(self.ends)[1]
            if self.failing.get(name, math.inf) <= now:
                del self.failing[name]
        wanted = self.wanted()
        news = [x for name, x in wanted.items() if self.members.get(name) != x]
        news += [x._replace(phase="gone") for name, x in self.members.items() if name not in wanted]
        self.members = wanted
        return news

    def wanted(self) -> dict[str, interface.ListedEndpoint]:
        near = self.walk(self.home, max(self.base(self.home), math.ceil(self.wide)))
        away = self.walk(self.away, FAR_LEAST if near else max(FAR_LEAST, math.ceil(self.wide)))
        found = near | away
        if self.shape.mates:
            for seat in [*found.values()]:
                found |= self.mates(seat)
        return {name: seat.listed for name, seat in found.items()}

    def walk(self, layout: Layout, width: int) -> dict[str, Seat]:
        """The first that this instance meets; those that can't be reached are kept, and made up for.

        Where nearly all are met anyway all are taken: the last ones of a walk take long to find.
        """
        if 2 * width >= len(layout) or (2 * len(self.failing) >= len(layout)):
            return dict(layout.placements)
        found: dict[str, Seat] = {}
        up = 0
        meets = visits(self.shape.me % self.shape.group, self.shape.group, layout.size)
        for _ in range(PROBES * (width + len(self.failing))):
            seat = layout.table[next(meets)]
            if seat is None or seat.listed.endpoint in found:
                continue
            found[seat.listed.endpoint] = seat
            up += seat.listed.endpoint not in self.failing
            if up >= width:
                break
        return found

    def mates(self, seat: Seat) -> dict[str, Seat]:
        """Others of a server's cell, chosen so that each of the cell is chosen about as often."""
        cell = self.cells.get(seat.listed.cell, {})
        names = sorted(cell, key=lambda n: cell[n].mark ^ mix(self.shape.me))
        return {n: cell[n] for n in names[:MATES]}
