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
from .layout import GOLDEN, MASK, Layout, Placement, mix
from .limits import EQUAL_SHARE

EACH_SHARED = 10.0  # instances that each server is shared by at least, so that their uneven loads even out
INFLIGHT_PER_SERVER = 2.0  # requests in flight to each server from which on the subset grows with the load
WIDEN_FACTOR = 1.25  # by which it grows at once
NARROW_AFTER = 30_000.0  # ms for which less has to do before some are left
NARROW_FACTOR = 0.875  # what is kept of the surplus width then
MIN_FAR_SERVERS = 4  # servers of the other zones: they are there for when home fails
MIN_SERVERS = 3  # servers that an instance knows whatever the caps: one that fails leaves two to draw
CELL_PEERS = 2  # servers of each cell met, where a class may be repeated within its cell only
REPLACED_FOR = 5_000.0  # ms for which a server that can't be reached is made up for by another
PROBES_PER_SERVER = (
    8  # rounds of the walk for each server looked for: with a tenth of the table in use it finds half of them
)


def visited_slots(instance: int, group_size: int, size: int) -> Iterator[int]:
    """The slots of a table that instance ``instance`` of ``group_size`` meets, round after round, without end.

    In a round, instance number p (a shuffle of ``instance``) starts at p/group of the table. Rounds are offset by the
    van der Corput sequence within that step, so that few instances cover a large table evenly as well.
    """
    round_number = 0
    while True:
        mixed = mix(round_number * GOLDEN & MASK)
        shift, step = mixed % group_size, coprime(mixed >> 32, group_size)
        point = ((instance * step + shift) % group_size + van_der_corput(round_number)) / group_size
        yield int(point * size)
        round_number += 1


def coprime(candidate: int, group_size: int) -> int:
    """A number without a common factor with ``group_size``: times it, the instances are shuffled."""
    step = candidate % group_size or 1
    while math.gcd(step, group_size) != 1:
        step += 1
    return step


def van_der_corput(number: int) -> float:
    """The number's binary digits mirrored at the point: 0, 1/2, 1/4, 3/4, ..."""
    result, unit = 0.0, 0.5
    while number:
        result, number, unit = result + unit * (number & 1), number >> 1, unit / 2
    return result


@dataclass(frozen=True, slots=True)
class Shape:
    """What a subset has to hold."""

    min_servers: int
    """Servers of the home zone."""
    instance: int = 0
    group_size: int = 1
    zone: int | None = None
    """The home zone; None: zones make no difference."""
    connections: float = 0.0
    """Open at once to each server, of all instances: none is known that no connection is left for. 0: no bound."""
    has_cell_classes: bool = False
    """A class is bound to cells, so that each cell met has to be met twice."""


class Subset:
    """Which servers one instance is to know.

    Feed it the list, its load and what can't be reached; ask it for :meth:`changes`, which are what the module has to
    be told.
    """

    def __init__(self, spec: Shape, home: Layout | None = None, away: Layout | None = None) -> None:
        """``home``, ``away``: to be shared by instances in one process; each list is the same for all of them."""
        self.spec = spec
        self.home = home if home is not None else Layout()
        self.away = away if away is not None else Layout()
        self.cells: dict[int, dict[str, Placement]] = {}
        self.members: dict[str, interface.Listed] = {}
        self.unreachable: dict[str, float] = {}
        """Servers that couldn't be reached, and until when they are made up for."""
        self.replacement_ends: list[tuple[float, str]] = []
        self.load_width = 0.0
        """Width that the load asks for."""
        self.peak_in_flight, self.peak_at = 0, -math.inf

    # --- what is told ---

    def layout(self, zone: int) -> Layout:
        return self.home if self.spec.zone is None or zone == self.spec.zone else self.away

    def whole(self, listed: Sequence[interface.Listed]) -> None:
        """A whole list; what it doesn't hold is gone."""
        names = {x.endpoint for x in listed}
        for layout in (self.home, self.away):
            for name in [n for n in layout.seats if n not in names]:
                self.remove(name)
        self.change(listed)

    def change(self, listed: Sequence[interface.Listed]) -> None:
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
                if self.spec.has_cell_classes:
                    self.cells.setdefault(x.cell, {})[x.endpoint] = layout.seats[x.endpoint]

    def find(self, name: str) -> Placement | None:
        return self.home.seats.get(name) or self.away.seats.get(name)

    def remove(self, name: str) -> None:
        placement = self.find(name)
        if placement is None:
            return
        self.home.drop(name)
        self.away.drop(name)
        self.unreachable.pop(name, None)
        if self.spec.has_cell_classes:
            cell = self.cells[placement.listed.cell]
            del cell[name]
            if not cell:
                del self.cells[placement.listed.cell]

    def load(self, now: float, in_flight: int) -> bool:
        """How many requests this instance has in flight; whether the subset is to change for it."""
        self.peak_in_flight = max(self.peak_in_flight, in_flight)
        if in_flight > INFLIGHT_PER_SERVER * max(self.load_width, self.base_width(self.home)):
            self.load_width = max(in_flight / INFLIGHT_PER_SERVER, WIDEN_FACTOR * self.load_width)
            self.peak_at = now
            return self.load_width < WIDEN_FACTOR * len(self.home)
        if now - self.peak_at < NARROW_AFTER:
            return False
        needed, self.peak_in_flight, self.peak_at = self.peak_in_flight / INFLIGHT_PER_SERVER, in_flight, now
        if needed >= self.load_width:
            return False
        self.load_width = max(needed, NARROW_FACTOR * self.load_width) if self.load_width > 1.0 else 0.0
        return True

    def failed(self, now: float, name: str) -> bool:
        """A server couldn't be reached; whether the subset is to change for it."""
        if name not in self.members or name in self.unreachable:
            return False
        self.unreachable[name] = now + REPLACED_FOR
        heapq.heappush(self.replacement_ends, (now + REPLACED_FOR, name))
        return True

    def served(self, name: str) -> None:
        """A server has answered: it is no longer made up for, from the next change on."""
        self.unreachable.pop(name, None)

    # --- what comes of it ---

    def base_width(self, layout: Layout) -> int:
        """Servers that are met without any load, so that each is shared by enough instances, but by no more than
        there are connections for."""
        spec, servers = self.spec, len(layout)
        width = max(spec.min_servers, math.ceil(EACH_SHARED * servers / spec.group_size))
        if spec.connections:
            width = min(width, max(MIN_SERVERS, int(EQUAL_SHARE * spec.connections * servers / spec.group_size)))
        return width

    def changes(self, now: float) -> list[interface.Listed]:
        """What the module is to be told: servers to take up or with other news, and those to leave as ``gone``.

        What is out on one that is left ends by itself. Costs the width, not the fleet.
        """
        while self.replacement_ends and self.replacement_ends[0][0] <= now:
            name = heapq.heappop(self.replacement_ends)[1]
            if self.unreachable.get(name, math.inf) <= now:
                del self.unreachable[name]
        selected = self.select_members()
        news = [x for name, x in selected.items() if self.members.get(name) != x]
        news += [x._replace(phase="gone") for name, x in self.members.items() if name not in selected]
        self.members = selected
        return news

    def select_members(self) -> dict[str, interface.Listed]:
        near = self.walk(self.home, max(self.base_width(self.home), math.ceil(self.load_width)))
        away = self.walk(self.away, MIN_FAR_SERVERS if near else max(MIN_FAR_SERVERS, math.ceil(self.load_width)))
        selected = near | away
        if self.spec.has_cell_classes:
            for placement in [*selected.values()]:
                selected |= self.cell_peers(placement)
        return {name: placement.listed for name, placement in selected.items()}

    def walk(self, layout: Layout, width: int) -> dict[str, Placement]:
        """The first that this instance meets; those that can't be reached are kept, and made up for.

        Where nearly all are met anyway all are taken: the last ones of a walk take long to find.
        """
        if 2 * width >= len(layout) or (2 * len(self.unreachable) >= len(layout)):
            return dict(layout.seats)
        selected: dict[str, Placement] = {}
        reachable = 0
        slots = visited_slots(self.spec.instance % self.spec.group_size, self.spec.group_size, layout.size)
        for _ in range(PROBES_PER_SERVER * (width + len(self.unreachable))):
            placement = layout.table[next(slots)]
            if placement is None or placement.listed.endpoint in selected:
                continue
            selected[placement.listed.endpoint] = placement
            reachable += placement.listed.endpoint not in self.unreachable
            if reachable >= width:
                break
        return selected

    def cell_peers(self, placement: Placement) -> dict[str, Placement]:
        """Others of a server's cell, chosen so that each of the cell is chosen about as often."""
        cell = self.cells.get(placement.listed.cell, {})
        names = sorted(cell, key=lambda n: cell[n].hash ^ mix(self.spec.instance))
        return {n: cell[n] for n in names[:CELL_PEERS]}
