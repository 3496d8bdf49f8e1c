"""Interfaces between the core and the protocols: requests, answers, attempts, wires and sources of endpoints."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, Protocol

from .. import interface
from ..fleet.limits import ConnectionLimiter

Address = tuple[str, int]
#: An endpoint as its source lists it, and its address.
Entry = tuple[interface.ListedEndpoint, Address]
#: Receives an update of the endpoint list: a full list, changes, or (``refused``) a failed call.
OnList = Callable[[interface.ListKind, Sequence[Entry]], None]


def read_address(text: str) -> Address:
    """Splits ``host:port``. Raises ValueError for any other text."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise ValueError(f"not host:port: {text!r}")
    return host, int(port)


class IncomingRequest(NamedTuple):
    """A client request as parsed by a front."""

    id: str
    """Unique among the open requests of the service."""
    klass: int
    """Index of the request's class in the settings."""
    tenant: int
    """Index of the tenant in the settings."""
    key: str
    """The key that the request concerns, for endpoints that serve recent keys faster; empty if it has none."""
    wait: float
    """ms that the client waits for the answer."""
    work: float
    """Expected work, in ms on a standard core; 0 if unknown."""
    retry: bool
    """The client has sent this request before."""
    payload: Any
    """What the wire of the same protocol sends; opaque to the core."""
    uploading: bool = False
    """The payload is still being received; the front calls ``Dispatcher.upload_finished`` at its end."""


class Served(NamedTuple):
    """Final answer: the reply of an endpoint, as parsed by its wire."""

    reply: Any


class Refused(NamedTuple):
    """Final answer: a repeat is harmless. Nothing ran, or the request is idempotent or deduplicated by all endpoints.

    ``retry_after`` is the advised delay in ms, 0 for none. ``reply`` is as in :class:`Failed`.
    """

    retry_after: float = 0.0
    reply: Any = None


class Failed(NamedTuple):
    """Final answer: the request may have run. ``reply`` is the last failure reply of an endpoint, if any."""

    reply: Any = None


FinalAnswer = Served | Refused | Failed


class OnEnded(Protocol):
    """Callback for the end of an attempt: called exactly once, unless the attempt is cancelled first."""

    def __call__(self, outcome: interface.Outcome, reply: Any = None, report: Mapping[str, float] = {}) -> None:
        """Reports the outcome, the endpoint's reply and its load report, where there is one."""


class Exchange(Protocol):
    """One attempt on a wire, owned by its caller until it has ended or been cancelled."""

    def begun(self) -> bool:
        """Returns whether the endpoint may have received the complete request, or may still receive it."""

    def cancel(self, silent: bool) -> None:
        """Stops waiting for the reply; a request that was not sent completely never is. No outcome is reported.

        ``silent``: the attempt timed out without any reply from the endpoint.
        """


class Wire(Protocol):
    """Sends attempts to endpoints and manages the connections for them."""

    def configure(self, connect_timeout: float, idle_limit: float, connections: ConnectionLimiter) -> None:
        """Sets the timeouts, in ms, and the limits on opening connections."""

    def set_address(self, endpoint: str, address: Address) -> None:
        """Adds an endpoint, or changes its address."""

    def drain(self, endpoint: str) -> None:
        """Stops sending to a draining endpoint: attempts that have not started to be sent end as never run."""

    def forget(self, endpoint: str) -> None:
        """Removes an endpoint; attempts that have been sent to it run on."""

    def listed(self) -> Sequence[str]:
        """Returns the endpoints that have an address."""

    def start(self, endpoint: str, payload: Any, time_left: float, on_ended: OnEnded, unsafe: bool) -> Exchange:
        """Starts an attempt. The caller cancels it if it has not ended after ``time_left`` seconds.

        ``on_ended`` is never called before this returns. ``unsafe``: the request must not be repeated.
        """

    def close_idle(self, endpoint: str) -> None:
        """Closes the idle connections to an endpoint."""

    def close(self) -> None:
        """Closes connections at shutdown: the idle ones, and multiplexed ones even if requests are pending."""


class Source(Protocol):
    """A source of endpoint lists, such as discovery or a fixed list."""

    def start(self) -> None:
        """Reports the last known list and starts to keep it up to date."""

    def remembered(self) -> Sequence[Entry]:
        """Returns the last known list."""

    def watch(self, on: bool) -> None:
        """Starts or stops watching for changes."""

    def fetch(self) -> None:
        """Requests the full list once."""

    def stop(self) -> None:
        """Stops all calls."""
