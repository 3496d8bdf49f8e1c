"""What accepts connections on a simulated listener, by the contract of :class:`asyncio.Server`."""

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
    """Tells one server of new connections."""

    __slots__ = ("loop", "server")

    def __init__(self, server: Server) -> None:
        self.server, self.loop = server, server.loop

    def __call__(self) -> None:
        self.server.wake()


class Server(asyncio.AbstractServer):
    """Owns its descriptor of the listener until it is closed; others may accept from the same."""

    def __init__(self, loop: Loop, listener: Listener, factory: Callable[[], asyncio.BaseProtocol]) -> None:
        self.loop, self.listener, self.factory = loop, listener, factory
        self.descriptor = loop.descriptors.take(listener)
        self.waker: Waker | None = None
        self.woken = False

    @property
    def sockets(self) -> tuple[Listener, ...]:
        return (self.listener,) if self.waker is not None else ()

    def get_loop(self) -> Any:
        return self.loop

    def is_serving(self) -> bool:
        return self.waker is not None

    async def start_serving(self) -> None:
        if self.waker is None:
            self.waker = Waker(self)
            self.listener.wakers.append(self.waker)
            self.wake()

    async def serve_forever(self) -> None:
        await self.start_serving()
        await self.loop.create_future()

    def wake(self) -> None:
        if not self.woken and self.listener.queue:
            self.woken = True
            self.loop.call_soon(self.accept)

    def accept(self) -> None:
        """One connection; without a descriptor for it, it is closed, as libuv does."""
        self.woken = False
        if self.waker is None or not self.listener.queue:
            return
        socket = self.listener.queue.popleft()
        try:
            self.loop.descriptors.take(socket)
        except OSError as full:
            log.error("accepted and closed: %s", full)
            socket.close()
        else:
            Transport(self.loop, socket, self.factory())
        self.wake()

    def close(self) -> None:
        """Accept no more. The last server on the listener closes it; connections go on."""
        if self.waker is not None:
            self.listener.wakers.remove(self.waker)
            self.waker = None
            self.loop.descriptors.put_back(self.descriptor)
            if not self.listener.wakers:
                self.listener.close()

    async def wait_closed(self) -> None:
        """Nothing of it goes on after :meth:`close`."""
