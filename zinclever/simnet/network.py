"""Simulated machines and the paths between them: latency, jitter, bandwidth, partitions and machines that vanish."""

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
FIRST_EPHEMERAL_PORT = 32768  # Linux' default range of ports for outgoing connections
LAST_EPHEMERAL_PORT = 60999


@dataclass(frozen=True, slots=True)
class Path:
    """The properties of the network between two zones, in one direction."""

    latency: float = 0.0001
    """One-way latency in s."""
    jitter: float = 0.0
    """Each segment's latency is up to this fraction shorter or longer."""
    bandwidth: float = 0.0
    """Bytes a second of one connection; 0: unlimited."""


LOOPBACK = Path(latency=30e-6)
"""The path from a machine to itself."""


class Machine:
    """A host with one address. Owns its listeners and sockets until it reboots."""

    def __init__(self, network: Network, name: str, address: str, zone: str = "") -> None:
        self.network, self.name, self.address, self.zone = network, name, address, zone
        self.up = True
        """Whether the machine sends and receives segments."""
        self.listeners: dict[int, Listener] = {}
        self.sockets: dict[Socket, None] = {}
        """Connected and connecting sockets, in the order of their creation."""
        self.next_port = FIRST_EPHEMERAL_PORT

    def free_port(self) -> int:
        """Return the next ephemeral port."""
        port = self.next_port
        self.next_port = FIRST_EPHEMERAL_PORT if port == LAST_EPHEMERAL_PORT else port + 1
        return port

    def vanish(self) -> None:
        """Send and receive nothing from now on; the peers' connections stay open."""
        self.up = False

    def come_back(self, rebooted: bool = True) -> None:
        """Send and receive again. A rebooted machine has lost its connections, and resets them when segments arrive."""
        self.up = True
        if rebooted:
            for socket in list(self.sockets):
                socket.drop_state()
            self.listeners.clear()


class Network:
    """All machines by address. The latencies of segments are drawn from its seed."""

    def __init__(
        self, scheduler: Scheduler, seed: int = 0, path: Path | None = None, trace: Trace | None = None
    ) -> None:
        """``path`` connects zones for which :meth:`between` sets none."""
        self.scheduler, self.rng = scheduler, Random(seed)
        self.trace = trace if trace is not None else Trace()
        self.path = path or Path()
        self.paths: dict[tuple[str, str], Path] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.machines: dict[str, Machine] = {}
        self.connections = 0
        """Number of connections ever begun; the trace identifies each by its number."""

    def machine(self, name: str, address: str, zone: str = "") -> Machine:
        """Add a machine.

        Raises:
            ValueError: another machine has this address.
        """
        if address in self.machines:
            raise ValueError(f"{address} is {self.machines[address].name}'s address")
        added = self.machines[address] = Machine(self, name, address, zone)
        return added

    def between(self, zone: str, other: str, path: Path) -> None:
        """Set the path between two zones, in both directions."""
        self.paths[zone, other] = self.paths[other, zone] = path

    # --- partitions ---

    def cut(self, source: str, target: str) -> None:
        """Drop all segments from one zone or machine to another, given by name."""
        self.cuts.add((source, target))

    def heal(self, source: str, target: str) -> None:
        """Deliver segments again, after :meth:`cut` with the same arguments."""
        self.cuts.discard((source, target))

    def open(self, source: Machine, target: Machine) -> bool:
        """Return whether a segment from one machine to the other arrives at present."""
        if not (source.up and target.up):
            return False
        if not self.cuts:
            return True
        return self.cuts.isdisjoint(
            (sender, receiver) for sender in (source.name, source.zone) for receiver in (target.name, target.zone)
        )

    # --- latency ---

    def way(self, source: Machine, target: Machine) -> Path:
        """Return the path from one machine to another."""
        if source is target:
            return LOOPBACK
        return self.paths.get((source.zone, target.zone), self.path)

    def delay(self, path: Path) -> int:
        """Draw the latency in ns of a segment, without the time that its length takes at the path's bandwidth."""
        span = path.latency
        if path.jitter:
            span *= 1.0 + path.jitter * (2.0 * self.rng.random() - 1.0)
        return round(span * NS)


def addresses(first: str, count: int) -> Iterable[str]:
    """Yield ``count`` addresses from ``first`` on, such as ``10.0.0.1``, except those that end with .0 or .255."""
    a, b, c, d = (int(part) for part in first.split("."))
    number = (a << 24) | (b << 16) | (c << 8) | d
    while count:
        if number & 255 not in (0, 255):
            count -= 1
            yield ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))
        number += 1
