"""What a process reads of the machine that it runs on. Handed in, so that no module knows which machine that is: the
one of the operating system (:class:`~zinclever.system.System`) or a simulated one."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Any, Protocol

from .protocol import Address


class Socket(Protocol):
    """A TCP socket that doesn't block; what a call raises is as :mod:`socket` has it."""

    def fileno(self) -> int: ...

    def send(self, data: bytes | memoryview, /) -> int: ...

    def recv(self, most: int, flags: int = 0, /) -> bytes: ...

    def shutdown(self, how: int, /) -> None: ...

    def getsockname(self) -> Address: ...

    def setsockopt(self, level: int, option: int, value: int, /) -> None: ...

    def close(self) -> None: ...


class Presence(Protocol):
    """This process among those of one sidecar."""

    def enter(self) -> None:
        """Be seen by the others. OSError where that can't be."""

    def others(self) -> int:
        """The other processes that are alive. OSError where that can't be told."""

    def leave(self) -> None: ...


class Host(Protocol):
    """The machine as a process sees it."""

    environ: Mapping[str, str]

    def time_ns(self) -> int:
        """Unix time; it may be set back."""

    def monotonic_ns(self) -> int:
        """From an instant that doesn't matter; it never goes back."""

    def random(self) -> Random:
        """A generator whose seed nobody else has."""

    def socket(self) -> Any:
        """A :class:`Socket` of TCP over IPv4, not connected. OSError where there is no descriptor."""

    def unread(self, sock: Any) -> bool:
        """Whether the kernel holds bytes, or an end, that nobody has read from a connection."""

    def ms_since_received(self, sock: Any) -> float:
        """ms since the latest bytes of a connection came; 0 where the kernel doesn't tell."""

    def read_file(self, path: str) -> bytes:
        """:exc:`~zinclever.configuration.reading.Unreadable` where there is no ordinary file."""

    def inherited(self, descriptor: int) -> Any:
        """The socket behind a descriptor that was handed over. OSError where it is none that listens on TCP."""

    def unblock_reload_signal(self) -> None:
        """There is a handler for SIGHUP from now on: one that came before is told now."""

    def presence(self, address: Address) -> Presence:
        """Of this process among those that serve this address."""
