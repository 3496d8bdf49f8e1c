"""A service: a front, a ledger with a balancer of its own, and the address that its clients connect to."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from .dispatcher import Dispatcher
from .protocol import Address

KEEP_FOR = 0.45  # s after SIGTERM for which idle connections stay open; clients hear of it within 0.4 s
RESEND_FOR = 0.2  # s more in which a request that crossed the end of its connection may come on a new one
HELD_FOR = 3.0  # s more for what is held; no client of the platform waits longer
BACKLOG = 1024


class Frontend(Protocol):
    """A protocol's side towards the clients."""

    def configure(self) -> None:
        """Take names and limits from the ledger's settings."""

    def connection(self) -> asyncio.BaseProtocol:
        """For a client that connects."""

    def begin_drain(self) -> None:
        """The end is near: connections end with their next answer."""

    def close_idle(self) -> None:
        """Close all connections between requests, at the end."""

    async def wait_disconnected(self) -> None:
        """Wait until no client is connected."""

    def stop(self) -> None: ...


@dataclass(slots=True)
class Service:
    """Owns its listener from :meth:`listen` to the end of :func:`drain`."""

    name: str
    address: Address
    dispatcher: Dispatcher
    front: Frontend
    held_for: float = HELD_FOR
    """s for which what is held may go on at the end."""
    server: asyncio.Server | None = field(default=None, init=False)

    def start(self) -> None:
        """Learn of the endpoints; requests come once it listens."""
        self.dispatcher.start()

    async def listen(self, inherited: Any = None) -> None:
        """Begin to take requests, from a socket that listens already where one is given. OSError where the address
        can't be had."""
        loop = asyncio.get_running_loop()
        if inherited is not None:
            self.server = await loop.create_server(self.front.connection, sock=inherited, backlog=BACKLOG)
        else:
            self.server = await loop.create_server(self.front.connection, *self.address, backlog=BACKLOG)

    def takes(self) -> bool:
        """Whether a request that comes now is served, as far as is known."""
        return self.server is not None and self.dispatcher.ready

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None


def each(services: Sequence[Service], act: Callable[[Service], None]) -> None:
    for service in services:
        act(service)


async def drain(services: Sequence[Service], succeeded: bool = False) -> None:
    """Go on answering while clients still come, then end with the last answer.

    Clients learn late of a planned restart: whoever connects in the meantime has to be served, and kept
    connections end with their next answer. With ``succeeded`` another process accepts from the same sockets
    already: all that is new is left to it from now on.
    """
    each(services, lambda s: s.front.begin_drain())
    if succeeded:
        each(services, Service.close)
    await asyncio.sleep(KEEP_FOR)
    each(services, lambda s: s.front.close_idle())
    await asyncio.sleep(RESEND_FOR)
    each(services, Service.close)
    each(services, lambda s: s.front.close_idle())
    await asyncio.gather(*(finish(s) for s in services))


async def finish(service: Service) -> None:
    """Wait for what a service holds, within its bound."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(service.held_for):
            await service.front.wait_disconnected()
    service.front.stop()
    service.dispatcher.stop()
