"""The file descriptors of a simulated process."""

from __future__ import annotations

import errno
from typing import Protocol

from .network import Machine
from .tcp import Listener, Socket, os_error

FIRST_DESCRIPTOR = 3  # 0 to 2 are the standard streams


class Clock(Protocol):
    """A process's own time, which is ahead of the scheduler's while the process is busy."""

    def local_now(self) -> int:
        """Return the time in ns."""


class Descriptors:
    """The descriptor table of one process. Owns every socket from its creation until it is closed."""

    __slots__ = ("clock", "free_numbers", "limit", "machine", "most", "next_number", "open")

    def __init__(self, machine: Machine, clock: Clock, limit: int = 1 << 20) -> None:
        self.machine, self.clock, self.limit = machine, clock, limit
        self.open: dict[int, Socket | Listener] = {}
        self.free_numbers: list[int] = []
        self.next_number = FIRST_DESCRIPTOR
        self.most = 0
        """The largest number of descriptors that were open at once."""

    def local_now(self) -> int:
        """Return the process's own time in ns."""
        return self.clock.local_now()

    def is_full(self) -> bool:
        """Return whether the limit on open descriptors is reached."""
        return len(self.open) + FIRST_DESCRIPTOR >= self.limit

    def allocate(self, resource: Socket | Listener) -> int:
        """Return a descriptor for a socket or a listener.

        Raises:
            OSError: EMFILE, too many are open.
        """
        if self.is_full():
            raise os_error(errno.EMFILE)
        if self.free_numbers:
            number = self.free_numbers.pop()
        else:
            number, self.next_number = self.next_number, self.next_number + 1
        self.open[number] = resource
        self.most = max(self.most, len(self.open))
        if isinstance(resource, Socket):
            resource.descriptor, resource.descriptors = number, self
        return number

    def release_socket(self, socket: Socket) -> None:
        """Free the descriptor of a socket that was closed."""
        self.release(socket.descriptor)

    def release(self, number: int) -> None:
        """Free a descriptor; has no effect if it isn't open."""
        if self.open.pop(number, None) is not None:
            self.free_numbers.append(number)

    def socket(self) -> Socket:
        """Return a new socket, not connected.

        Raises:
            OSError: EMFILE, too many descriptors are open.
        """
        sock = Socket(self.machine)
        self.allocate(sock)
        return sock

    def die(self) -> None:
        """Reset all connections, as the kernel does when a process ends."""
        for resource in list(self.open.values()):
            if isinstance(resource, Socket):
                resource.abort()
        self.open.clear()
