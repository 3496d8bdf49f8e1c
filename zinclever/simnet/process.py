"""A process on a simulated machine: its descriptors, its share of a core, its life."""

from __future__ import annotations

import errno
from typing import Protocol

from .network import Machine
from .tcp import Listener, Socket, wrong

FIRST = 3  # of the descriptors: those below are the standard streams


class Clock(Protocol):
    """Tells a process' own time, later than the network's while the process is busy."""

    def local(self) -> int:
        """ns"""


class Descriptors:
    """Those of one process. Owns every socket from its making to its closing."""

    __slots__ = ("clock", "free", "limit", "machine", "most", "next", "open")

    def __init__(self, machine: Machine, clock: Clock, limit: int = 1 << 20) -> None:
        self.machine, self.clock, self.limit = machine, clock, limit
        self.open: dict[int, Socket | Listener] = {}
        self.free: list[int] = []
        self.next = FIRST
        self.most = 0
        """How many were ever open at once."""

    def local(self) -> int:
        return self.clock.local()

    def full(self) -> bool:
        return len(self.open) + FIRST >= self.limit

    def take(self, what: Socket | Listener) -> int:
        """A number for what is open from now on. OSError (EMFILE) where there are too many."""
        if self.full():
            raise wrong(errno.EMFILE)
        if self.free:
            number = self.free.pop()
        else:
            number, self.next = self.next, self.next + 1
        self.open[number] = what
        self.most = max(self.most, len(self.open))
        if isinstance(what, Socket):
            what.descriptor, what.descriptors = number, self
        return number

    def give(self, socket: Socket) -> None:
        """It is closed."""
        self.put_back(socket.descriptor)

    def put_back(self, number: int) -> None:
        if self.open.pop(number, None) is not None:
            self.free.append(number)

    def socket(self) -> Socket:
        """A new one, not connected. OSError where there are too many."""
        made = Socket(self.machine)
        self.take(made)
        return made

    def die(self) -> None:
        """The process is no more: every connection of its is reset."""
        for what in list(self.open.values()):
            if isinstance(what, Socket):
                what.vanish()
        self.open.clear()
