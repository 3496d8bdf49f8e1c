"""What a process reads of its simulated machine: clocks, random numbers, socket queues, descriptors and files."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

from ..configuration.reading import UnreadableFileError
from ..core.protocol import Address
from .loop import Loop
from .scheduler import NS
from .tcp import Listener, Socket, os_error

EPOCH = 1_700_000_000 * NS
"""Unix time in ns at which every simulation begins."""


class Disk:
    """What the processes of one machine share: its files, and which processes are registered as running."""

    def __init__(self, files: Mapping[str, bytes] | None = None) -> None:
        self.files: dict[str, bytes] = dict(files or {})
        self.presences: dict[Address, list[SimulatedPresence]] = {}
        """Registered processes by the address that they serve."""


class SimulatedHost:
    """A :class:`~zinclever.core.host.Host` for the process of one loop."""

    def __init__(
        self, loop: Loop, seed: int, environ: Mapping[str, str] | None = None, disk: Disk | None = None
    ) -> None:
        self.loop, self.rng = loop, Random(seed)
        self.environ: Mapping[str, str] = environ or {}
        self.disk = disk or Disk()
        self.clock_offset_ns = 0
        """By how many ns the machine's clock is ahead of the simulation's Unix time."""
        self.inherited_listeners: dict[int, Listener] = {}
        """Listeners by the descriptor that the process inherited."""

    def time_ns(self) -> int:
        """Return the machine's Unix time."""
        return EPOCH + self.loop.local_now() + self.clock_offset_ns

    def monotonic_ns(self) -> int:
        """Return the simulated time as the process reads it."""
        return self.loop.local_now()

    def random(self) -> Random:
        """Return a new random number generator with its own seed."""
        return Random(self.rng.getrandbits(64))

    def socket(self) -> Socket:
        """Return a new socket, not connected. Raises OSError if too many descriptors are open."""
        return self.loop.descriptors.socket()

    def unread(self, sock: Socket) -> bool:
        """Return whether a connection has unread bytes, or an unread end or error."""
        return sock.readable()

    def ms_since_received(self, sock: Socket) -> float:
        """Return the ms since the latest bytes of a connection were received."""
        return (self.loop.local_now() - sock.received_at) * 1000.0 / NS

    def read_file(self, path: str) -> bytes:
        """Return the content of a file. Raises UnreadableFileError if there is none."""
        if path not in self.disk.files:
            raise UnreadableFileError(f"{path}: No such file or directory")
        return self.disk.files[path]

    def inherited(self, descriptor: int) -> Listener:
        """Return the listener behind an inherited descriptor. Raises OSError if there is none."""
        found = self.inherited_listeners.get(descriptor)
        if found is None:
            raise os_error(9)
        return found

    def unblock_reload_signal(self) -> None:
        """Do nothing: a simulated process sets its handlers before any signal can arrive."""

    def presence(self, address: Address) -> SimulatedPresence:
        """Return the presence of this process among those that serve an address."""
        return SimulatedPresence(self, address)


class SimulatedPresence:
    """A process among those of its machine that serve one address."""

    def __init__(self, host: SimulatedHost, address: Address) -> None:
        self.host = host
        self.registered = host.disk.presences.setdefault(address, [])

    def enter(self) -> None:
        """Register this process."""
        self.registered.append(self)

    def others(self) -> int:
        """Return the number of other registered processes that are running."""
        return sum(other is not self and not other.host.loop.dead for other in self.registered)

    def leave(self) -> None:
        """Deregister this process."""
        if self in self.registered:
            self.registered.remove(self)
