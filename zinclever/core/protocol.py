"""What a protocol brings to the core, and what it gets from there: fronts, wires, sources of endpoints."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, Protocol

from .. import interface
from ..fleet.limits import ConnectionLimiter

Address = tuple[str, int]
#: An endpoint as its source lists it, and where it is found.
Entry = tuple[interface.ListedEndpoint, Address]
#: Takes news of the list of endpoints: a whole one, changes, or (``refused``) that there is none.
OnList = Callable[[interface.ListKind, Sequence[Entry]], None]


def read_address(text: str) -> Address:
    """``host:port`` in two parts. ValueError where it is neither."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise ValueError(f"not host:port: {text!r}")
    return host, int(port)


class IncomingRequest(NamedTuple):
    """A request as a front read it."""

    id: str
    """Unlike that of any other open request of the service."""
    klass: int
    tenant: int
    key: str
    wait: float
    """How long the client waits, in ms."""
    work: float
    retry: bool
    payload: Any
    """What the wire of the same protocol sends; the core doesn't look into it."""
    uploading: bool = False
    """The payload is still coming in: :meth:`~zinclever.core.dispatcher.Dispatcher.upload_finished` tells of its end."""


class Served(NamedTuple):
    """Final answer: what an endpoint made for this request, as its wire read it."""

    reply: Any


class Refused(NamedTuple):
    """Final answer: a repeat is harmless, after so many ms (0: no advice). ``reply``: as for ``Failed``."""

    retry_after: float = 0.0
    reply: Any = None


class Failed(NamedTuple):
    """Final answer: it may have run. ``reply``: the last failure that an endpoint worded, if any."""

    reply: Any = None


FinalAnswer = Served | Refused | Failed


class OnEnded(Protocol):
    """Told once how an attempt ended, unless it is cancelled before."""

    def __call__(self, outcome: interface.Outcome, reply: Any = None, report: Mapping[str, float] = {}) -> None: ...


class Exchange(Protocol):
    """One attempt on a wire. Whoever started it owns it until it has ended or been cancelled."""

    def begun(self) -> bool:
        """Whether the endpoint may have, or may yet get, the whole request."""

    def cancel(self, silent: bool) -> None:
        """Stop waiting: what has not gone out yet never does. Nothing is reported.

        ``silent``: its time is up without a word from the endpoint.
        """


class Wire(Protocol):
    """Attempts on endpoints, and the connections that carry them."""

    def configure(self, connect_timeout: float, idle_limit: float, connections: ConnectionLimiter) -> None:
        """Take new limits, in ms, and who says whether one more connection may be opened."""

    def set_address(self, endpoint: str, address: Address) -> None:
        """An endpoint is found at this address from now on."""

    def drain(self, endpoint: str) -> None:
        """An endpoint wants nothing new: what has not begun to go out to it ends as never run."""

    def forget(self, endpoint: str) -> None:
        """An endpoint is gone; what is out on it ends by itself."""

    def listed(self) -> Sequence[str]:
        """The endpoints that have a place."""

    def start(self, endpoint: str, payload: Any, left: float, ended: OnEnded, unsafe: bool) -> Exchange:
        """Begin an attempt that is waited for ``left`` seconds; ``ended`` is never called from within."""

    def close_idle(self, endpoint: str) -> None: ...

    def close(self) -> None:
        """Close all that is idle, at the end."""


class Source(Protocol):
    """Where the list of endpoints comes from."""

    def start(self) -> None:
        """Tell the list as it was last held, and begin to keep up with it."""

    def remembered(self) -> Sequence[Entry]:
        """The list as it is held now."""

    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None:
        """Ask for the whole list, once."""

    def stop(self) -> None: ...
