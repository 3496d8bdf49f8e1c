"""What a process reads of its simulated machine: clocks, random numbers, kernel queues, descriptors, files."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

from ..configuration.reading import UnreadableFileError
from ..core.protocol import Address
from .loop import Loop
from .scheduler import NS
from .tcp import Listener, Socket, wrong

EPOCH = 1_700_000_000 * NS
"""ns of Unix time at which every simulated world begins."""


class Disk:
    """What several processes of one machine share: files, and who of them is alive."""

    def __init__(self, files: Mapping[str, bytes] | None = None) -> None:
        self.files: dict[str, bytes] = dict(files or {})
        self.alive: dict[Address, list[SimulatedPresence]] = {}


class SimulatedHost:
    """A :class:`~zinclever.core.host.Host` for the process of one loop."""

    def __init__(
        self, loop: Loop, seed: int, environ: Mapping[str, str] | None = None, disk: Disk | None = None
    ) -> None:
        self.loop, self.rng = loop, Random(seed)
        self.environ: Mapping[str, str] = environ or {}
        self.disk = disk or Disk()
        self.clock_offset_ns = 0
        """ns by which the machine's clock is wrong."""
        self.handed_over: dict[int, Listener] = {}
        """Descriptors that the process found open."""

    def time_ns(self) -> int:
        return EPOCH + self.loop.local() + self.clock_offset_ns

    def monotonic_ns(self) -> int:
        return self.loop.local()

    def random(self) -> Random:
        return Random(self.rng.getrandbits(64))

    def socket(self) -> Socket:
        return self.loop.descriptors.socket()

    def unread(self, sock: Socket) -> bool:
        return sock.readable()

    def ms_since_received(self, sock: Socket) -> float:
        return (self.loop.local() - sock.heard_at) * 1000.0 / NS

    def read_file(self, path: str) -> bytes:
        if path not in self.disk.files:
            raise UnreadableFileError(f"{path}: No such file or directory")
        return self.disk.files[path]

    def inherited(self, descriptor: int) -> Listener:
        found = self.handed_over.get(descriptor)
        if found is None:
            raise wrong(9)
        return found

    def unblock_reload_signal(self) -> None:
        """Nothing comes before: a simulated process has its handlers in the instant in which it starts."""

    def presence(self, address: Address) -> SimulatedPresence:
        return SimulatedPresence(self, address)


class SimulatedPresence:
    """A process among those of its machine that serve one address."""

    def __init__(self, host: SimulatedHost, address: Address) -> None:
        self.host = host
        self.here = host.disk.alive.setdefault(address, [])

    def enter(self) -> None:
        self.here.append(self)

    def others(self) -> int:
        return sum(other is not self and not other.host.loop.dead for other in self.here)

    def leave(self) -> None:
        if self in self.here:
            self.here.remove(self)
