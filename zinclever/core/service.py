"""A service: a front, a dispatcher with its own balancer, and the address that clients connect to."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from .dispatcher import Dispatcher
from .protocol import Address

IDLE_GRACE = 0.45  # s after SIGTERM for which idle connections stay open; clients learn of the shutdown within 0.4 s
RECONNECT_GRACE = 0.2  # s more for clients to resend requests that were lost with a closed connection
DRAIN_TIMEOUT = 3.0  # s more for open requests; no client of the platform waits longer
BACKLOG = 1024


class Frontend(Protocol):
    """The client side of a protocol."""

    def configure(self) -> None:
        """Applies names and limits from the dispatcher's settings."""

    def connection(self) -> asyncio.BaseProtocol:
        """Returns the protocol instance for a new client connection."""

    def begin_drain(self) -> None:
        """Starts draining; a protocol may close connections after their next answer from then on."""

    def close_idle(self) -> None:
        """Closes all connections without an open request; a protocol may refuse new requests from then on."""

    async def wait_disconnected(self) -> None:
        """Waits until no client is connected."""

    def stop(self) -> None:
        """Closes all remaining connections."""


@dataclass(slots=True)
class Service:
    """One service of the process. Owns its listener from :meth:`listen` to the end of :func:`drain`."""

    name: str
    address: Address
    dispatcher: Dispatcher
    front: Frontend
    drain_timeout: float = DRAIN_TIMEOUT
    """s that open requests may take to finish at shutdown."""
    server: asyncio.Server | None = field(default=None, init=False)

    def start(self) -> None:
        """Starts to track endpoints; requests are accepted after :meth:`listen`."""
        self.dispatcher.start()

    async def listen(self, inherited: Any = None) -> None:
        """Starts to accept requests, on the ``inherited`` listening socket if there is one.

        Raises OSError if the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        if inherited is not None:
            self.server = await loop.create_server(self.front.connection, sock=inherited, backlog=BACKLOG)
        else:
            self.server = await loop.create_server(self.front.connection, *self.address, backlog=BACKLOG)

    def is_ready(self) -> bool:
        """Returns whether the service listens and has received a non-empty endpoint list."""
        return self.server is not None and self.dispatcher.ready

    def close(self) -> None:
        """Closes the listener."""
        if self.server is not None:
            self.server.close()
            self.server = None


def for_each(services: Sequence[Service], action: Callable[[Service], None]) -> None:
    """Calls ``action`` with each service."""
    for service in services:
        action(service)


async def drain(services: Sequence[Service], succeeded: bool = False) -> None:
    """Drains all services: serves clients for a grace period, then waits for open requests to finish.

    Clients learn late of a planned restart, so new connections are still served for a while; see
    :meth:`Frontend.begin_drain` for the open ones. With ``succeeded``, another process already accepts on the same
    sockets: this one stops accepting at once.
    """
    for_each(services, lambda s: s.front.begin_drain())
    if succeeded:
        for_each(services, Service.close)
    await asyncio.sleep(IDLE_GRACE)
    for_each(services, lambda s: s.front.close_idle())
    await asyncio.sleep(RECONNECT_GRACE)
    for_each(services, Service.close)
    for_each(services, lambda s: s.front.close_idle())
    await asyncio.gather(*(finish(s) for s in services))


async def finish(service: Service) -> None:
    """Waits for the open requests of a service, up to its drain timeout, then stops it."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(service.drain_timeout):
            await service.front.wait_disconnected()
    service.front.stop()
    service.dispatcher.stop()
