"""Interfaces to the machine that a process runs on.

They are passed in, so that modules run unchanged on the operating system (:class:`~zinclever.system.System`) and on a
simulated machine.
"""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Any, Protocol

from .protocol import Address


class Socket(Protocol):
    """A non-blocking TCP socket; its methods behave and raise as those of :mod:`socket`."""

    def fileno(self) -> int:
        """Returns the file descriptor."""

    def send(self, data: bytes | memoryview, /) -> int:
        """Sends data and returns the number of bytes accepted by the kernel."""

    def recv(self, max_bytes: int, flags: int = 0, /) -> bytes:
        """Receives up to ``max_bytes``; empty at the end of the stream."""

    def shutdown(self, how: int, /) -> None:
        """Shuts down one or both directions."""

    def getsockname(self) -> Address:
        """Returns the local address."""

    def setsockopt(self, level: int, option: int, value: int, /) -> None:
        """Sets a socket option."""

    def close(self) -> None:
        """Closes the socket."""


class Presence(Protocol):
    """Registration of this process among the processes of one sidecar."""

    def enter(self) -> None:
        """Registers this process, visible to the others. Raises OSError on failure."""

    def others(self) -> int:
        """Returns the number of other live processes. Raises OSError if it can't be determined."""

    def leave(self) -> None:
        """Removes the registration."""


class Host(Protocol):
    """The machine as a process sees it."""

    environ: Mapping[str, str]

    def time_ns(self) -> int:
        """Returns Unix time in ns; it may go back."""

    def monotonic_ns(self) -> int:
        """Returns ns since an arbitrary instant; never goes back."""

    def random(self) -> Random:
        """Returns a new random number generator with its own seed."""

    def socket(self) -> Any:
        """Returns an unconnected :class:`Socket` for TCP over IPv4. Raises OSError if there is no descriptor left."""

    def unread(self, sock: Any) -> bool:
        """Returns whether the kernel holds data, or an end of stream, of a connection that has not been read."""

    def ms_since_received(self, sock: Any) -> float:
        """Returns the ms since data was last received on a connection; 0 if the kernel doesn't report it."""

    def read_file(self, path: str) -> bytes:
        """Returns a file's content.

        Raises :exc:`~zinclever.configuration.reading.UnreadableFileError` unless it is a regular file.
        """

    def inherited(self, descriptor: int) -> Any:
        """Returns the socket of an inherited descriptor. Raises OSError unless it is a listening TCP socket."""

    def unblock_reload_signal(self) -> None:
        """Unblocks SIGHUP, once a handler is installed; a signal that is pending is delivered now."""

    def presence(self, address: Address) -> Presence:
        """Returns the registration of this process among those that serve an address."""
