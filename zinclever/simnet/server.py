"""Accepts connections on a simulated listener, with the interface of :class:`asyncio.Server`."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from .tcp import Listener
from .transport import Transport

if TYPE_CHECKING:
    from .loop import Loop

log = logging.getLogger(__name__)


class Waker:
    """Notifies one server of new connections."""

    __slots__ = ("loop", "server")

    def __init__(self, server: Server) -> None:
        self.server, self.loop = server, server.loop

    def __call__(self) -> None:
        """Schedule an accept."""
        self.server.wake()


class Server(asyncio.AbstractServer):
    """Owns its descriptor of the listener until it is closed; other servers may accept from the same listener."""

    def __init__(self, loop: Loop, listener: Listener, protocol_factory: Callable[[], asyncio.BaseProtocol]) -> None:
        self.loop, self.listener, self.protocol_factory = loop, listener, protocol_factory
        self.descriptor = loop.descriptors.allocate(listener)
        self.waker: Waker | None = None
        self.accept_scheduled = False

    @property
    def sockets(self) -> tuple[Listener, ...]:
        """The listener while the server accepts connections, otherwise empty."""
        return (self.listener,) if self.waker is not None else ()

    def get_loop(self) -> Any:
        """Return the loop of the process."""
        return self.loop

    def is_serving(self) -> bool:
        """Return whether the server accepts connections."""
        return self.waker is not None

    async def start_serving(self) -> None:
        """Begin to accept connections."""
        if self.waker is None:
            self.waker = Waker(self)
            self.listener.wakers.append(self.waker)
            self.wake()

    async def serve_forever(self) -> None:
        """Accept connections until cancelled."""
        await self.start_serving()
        await self.loop.create_future()

    def wake(self) -> None:
        """Schedule an accept if a connection is queued."""
        if not self.accept_scheduled and self.listener.queue:
            self.accept_scheduled = True
            self.loop.call_soon(self.accept)

    def accept(self) -> None:
        """Accept one connection; close it if there is no descriptor for it, as libuv does."""
        self.accept_scheduled = False
        if self.waker is None or not self.listener.queue:
            return
        socket = self.listener.queue.popleft()
        try:
            self.loop.descriptors.allocate(socket)
        except OSError as error:
            log.error("connection accepted and closed at once: %s", error)
            socket.close()
        else:
            Transport(self.loop, socket, self.protocol_factory())
        self.wake()

    def close(self) -> None:
        """Stop accepting. The last server closes the listener; accepted connections stay open."""
        if self.waker is not None:
            self.listener.wakers.remove(self.waker)
            self.waker = None
            self.loop.descriptors.release(self.descriptor)
            if not self.listener.wakers:
                self.listener.close()

    async def wait_closed(self) -> None:
        """Return at once: :meth:`close` completes synchronously."""
