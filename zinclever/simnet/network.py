"""Machines and the ways between them: latency, jitter, bandwidth, cuts in one direction, machines that vanish."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from .scheduler import NS, Scheduler
from .trace import Trace

if TYPE_CHECKING:
    from .tcp import Listener, Socket

Address = tuple[str, int]
FIRST_PORT = 32768  # of those that connections are given, as Linux has it
LAST_PORT = 60999


@dataclass(frozen=True, slots=True)
class Path:
    """One way between two zones."""

    latency: float = 0.0001
    """s, one way"""
    jitter: float = 0.0
    """Each segment's latency lies within this share of it."""
    bandwidth: float = 0.0
    """Bytes a second of one connection; 0: no bound."""


LOCAL = Path(latency=30e-6)
"""From a machine to itself."""


class Machine:
    """A host with one address. Owns its listeners and sockets until it vanishes for good or reboots."""

    def __init__(self, network: Network, name: str, address: str, zone: str = "") -> None:
        self.network, self.name, self.address, self.zone = network, name, address, zone
        self.up = True
        """It hears and says something."""
        self.listeners: dict[int, Listener] = {}
        self.sockets: dict[Socket, None] = {}
        """Those connected or connecting, in the order in which they were made."""
        self.port = FIRST_PORT

    def free_port(self) -> int:
        """A port for a connection of its own."""
        port = self.port
        self.port = FIRST_PORT if port == LAST_PORT else port + 1
        return port

    def vanish(self) -> None:
        """From now on it says nothing and hears nothing; its connections stay open at the other ends."""
        self.up = False

    def come_back(self, rebooted: bool = True) -> None:
        """Heard again. ``rebooted``: it knows none of its connections, and resets what is sent on them."""
        self.up = True
        if rebooted:
            for socket in list(self.sockets):
                socket.forget()
            self.listeners.clear()


class Network:
    """All machines, by address. The instants at which segments arrive are drawn from its seed."""

    def __init__(
        self, scheduler: Scheduler, seed: int = 0, path: Path | None = None, trace: Trace | None = None
    ) -> None:
        """``path``: between machines of zones of which nothing else is said."""
        self.scheduler, self.rng = scheduler, Random(seed)
        self.trace = trace if trace is not None else Trace()
        self.path = path or Path()
        self.paths: dict[tuple[str, str], Path] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.machines: dict[str, Machine] = {}
        self.connections = 0
        """How many were ever begun: names them in the trace."""

    def machine(self, name: str, address: str, zone: str = "") -> Machine:
        """A new machine. ValueError where the address is another's."""
        if address in self.machines:
            raise ValueError(f"{address} is {self.machines[address].name}'s already")
        made = self.machines[address] = Machine(self, name, address, zone)
        return made

    def between(self, one: str, other: str, path: Path) -> None:
        """The path between two zones, both ways."""
        self.paths[one, other] = self.paths[other, one] = path

    # --- cuts ---

    def cut(self, source: str, target: str) -> None:
        """Nothing gets from one zone or machine, by its name, to another any more."""
        self.cuts.add((source, target))

    def heal(self, source: str, target: str) -> None:
        self.cuts.discard((source, target))

    def open(self, source: Machine, target: Machine) -> bool:
        """Whether a segment that is on its way now arrives."""
        if not (source.up and target.up):
            return False
        if not self.cuts:
            return True
        return self.cuts.isdisjoint(
            (one, other) for one in (source.name, source.zone) for other in (target.name, target.zone)
        )

    # --- time on the way ---

    def way(self, source: Machine, target: Machine) -> Path:
        if source is target:
            return LOCAL
        return self.paths.get((source.zone, target.zone), self.path)

    def delay(self, path: Path) -> int:
        """ns that a segment is on its way, but for its length."""
        span = path.latency
        if path.jitter:
            span *= 1.0 + path.jitter * (2.0 * self.rng.random() - 1.0)
        return round(span * NS)


def addresses(first: str, count: int) -> Iterable[str]:
    """So many addresses from one on, such as ``10.0.0.1``; those that end with .0 or .255 are left out."""
    a, b, c, d = (int(part) for part in first.split("."))
    number = (a << 24) | (b << 16) | (c << 8) | d
    while count:
        if number & 255 not in (0, 255):
            count -= 1
            yield ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))
        number += 1
