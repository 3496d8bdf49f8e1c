"""The subset of a large fleet that one instance sends to: deterministic, evenly spread, stable, and sized by load.

Instances are numbered 0 to n-1. Each walks the table of :mod:`.layout` in an order of its own, in rounds. In each
round the starting points of all instances are spaced evenly over the table, so that each slot is visited by as many
instances as any other. Between rounds the instances are shuffled, so that two that share one server share others only
by chance. Empty slots are skipped.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from .. import interface
from .layout import GOLDEN, MASK, Layout, Placement, mix
from .limits import EQUAL_SHARE

MIN_INSTANCES_PER_SERVER = 10.0  # minimum that share each server, so that their uneven loads average out
INFLIGHT_PER_SERVER = 2.0  # requests in flight for each server above which the subset grows with the load
WIDEN_FACTOR = 1.25  # minimum factor by which it grows
NARROW_AFTER = 30_000.0  # ms of lower load before the subset shrinks
NARROW_FACTOR = 0.875  # minimum factor on the width that the load requires when the subset shrinks
MIN_FAR_SERVERS = 4  # servers of the other zones, kept as fallback for the home zone
MIN_SERVERS = 3  # servers in each subset whatever the caps: after a failure two are left to choose from
CELL_PEERS = 2  # servers of each cell, if a class may be repeated within its cell only
REPLACED_FOR = 5_000.0  # ms for which an unreachable server is replaced by another
PROBES_PER_SERVER = 8  # maximum number of slots visited for each server needed, in case few slots are in use


def visited_slots(instance: int, group_size: int, size: int) -> Iterator[int]:
    """Yield the slots of a table of ``size`` that an instance visits, round after round, without end.

    In each round the instance with shuffled number p starts at p/``group_size`` of the table. Rounds are offset by the
    van der Corput sequence within that step, so that few instances also cover a large table evenly.
    """
    round_number = 0
    while True:
        mixed = mix(round_number * GOLDEN & MASK)
        shift, step = mixed % group_size, coprime(mixed >> 32, group_size)
        point = ((instance * step + shift) % group_size + van_der_corput(round_number)) / group_size
        yield int(point * size)
        round_number += 1


def coprime(candidate: int, group_size: int) -> int:
    """Return a number coprime to ``group_size``; multiplying by it shuffles the instances."""
    step = candidate % group_size or 1
    while math.gcd(step, group_size) != 1:
        step += 1
    return step


def van_der_corput(number: int) -> float:
    """Return the binary digits of a number mirrored at the point: 0, 1/2, 1/4, 3/4, ..."""
    result, unit = 0.0, 0.5
    while number:
        result, number, unit = result + unit * (number & 1), number >> 1, unit / 2
    return result


@dataclass(frozen=True, slots=True)
class SubsetSpec:
    """The requirements on a subset."""

    min_servers: int
    """Minimum number of servers of the home zone."""
    instance: int = 0
    group_size: int = 1
    zone: int | None = None
    """The home zone; None: zones are ignored."""
    connections: float = 0.0
    """Cap on open connections of all instances to each server; 0: no cap. It bounds the subset, so that the instance
    can hold a connection to each server of it."""
    has_cell_classes: bool = False
    """A class may be repeated within its cell only, so that each cell needs a second server."""


class Subset:
    """The subset of servers that one instance uses.

    Pass it the list, the load and unreachable servers; :meth:`changes` returns the updates for the balancer.
    """

    def __init__(self, spec: SubsetSpec, home: Layout | None = None, away: Layout | None = None) -> None:
        """Layouts may be shared by instances in one process that have the same list."""
        self.spec = spec
        self.home = home if home is not None else Layout()
        self.away = away if away is not None else Layout()
        self.cells: dict[int, dict[str, Placement]] = {}
        self.members: dict[str, interface.ListedEndpoint] = {}
        self.unreachable: dict[str, float] = {}
        """Servers that couldn't be reached, with the instant until which they are replaced."""
        self.replacement_ends: list[tuple[float, str]] = []
        self.load_width = 0.0
        """Number of servers that the load requires."""
        self.peak_in_flight, self.peak_at = 0, -math.inf

    # --- inputs ---

    def layout(self, zone: int) -> Layout:
        """Return the layout of a zone's servers."""
        return self.home if self.spec.zone is None or zone == self.spec.zone else self.away

    def replace_list(self, listed: Sequence[interface.ListedEndpoint]) -> None:
        """Replace the full list; servers that are not in it are removed."""
        names = {x.endpoint for x in listed}
        for layout in (self.home, self.away):
            for name in [n for n in layout.placements if n not in names]:
                self.remove(name)
        self.apply_changes(listed)

    def apply_changes(self, listed: Sequence[interface.ListedEndpoint]) -> None:
        """Apply changed entries of the list."""
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
                    self.cells.setdefault(x.cell, {})[x.endpoint] = layout.placements[x.endpoint]

    def find(self, name: str) -> Placement | None:
        """Return the placement of a server, or None."""
        return self.home.placements.get(name) or self.away.placements.get(name)

    def remove(self, name: str) -> None:
        """Remove a server."""
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
        """Record the number of requests in flight. Returns whether the subset has to change."""
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
        """Record that a server couldn't be reached. Returns whether the subset has to change."""
        if name not in self.members or name in self.unreachable:
            return False
        self.unreachable[name] = now + REPLACED_FOR
        heapq.heappush(self.replacement_ends, (now + REPLACED_FOR, name))
        return True

    def served(self, name: str) -> None:
        """Record that a server has answered: from the next change on it is no longer replaced."""
        self.unreachable.pop(name, None)

    # --- result ---

    def base_width(self, layout: Layout) -> int:
        """Return the number of servers needed without load: each is shared by enough instances, but by no more than its
        connections permit.
        """
        spec, servers = self.spec, len(layout)
        width = max(spec.min_servers, math.ceil(MIN_INSTANCES_PER_SERVER * servers / spec.group_size))
        if spec.connections:
            width = min(width, max(MIN_SERVERS, int(EQUAL_SHARE * spec.connections * servers / spec.group_size)))
        return width

    def changes(self, now: float) -> list[interface.ListedEndpoint]:
        """Update the subset and return the changes for the balancer: new or changed servers, and removed ones as
        ``gone``.

        Requests in flight on a removed server are not cancelled. The cost depends on the size of the subset, not of the
        fleet.
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

    def select_members(self) -> dict[str, interface.ListedEndpoint]:
        """Return the servers of the subset by name."""
        near = self.walk(self.home, max(self.base_width(self.home), math.ceil(self.load_width)))
        away = self.walk(self.away, MIN_FAR_SERVERS if near else max(MIN_FAR_SERVERS, math.ceil(self.load_width)))
        selected = near | away
        if self.spec.has_cell_classes:
            for placement in [*selected.values()]:
                selected |= self.cell_peers(placement)
        return {name: placement.listed for name, placement in selected.items()}

    def walk(self, layout: Layout, width: int) -> dict[str, Placement]:
        """Return the first ``width`` reachable servers that this instance visits, and the unreachable ones on the way.

        All servers are returned if ``width`` is at least half of them or as many are unreachable, as the last ones of a
        walk take long to find.
        """
        if 2 * width >= len(layout) or (2 * len(self.unreachable) >= len(layout)):
            return dict(layout.placements)
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
        """Return up to CELL_PEERS servers of a server's cell. Over all instances each is chosen about as often."""
        cell = self.cells.get(placement.listed.cell, {})
        names = sorted(cell, key=lambda n: cell[n].hash ^ mix(self.spec.instance))
        return {n: cell[n] for n in names[:CELL_PEERS]}
