"""Listening addresses of a role, and how they are closed without losing connections that clients have established."""

from __future__ import annotations

import asyncio
import socket

from ...core.protocol import Address
from ...http1.request_handler import RequestHandler

LISTEN_BACKLOG = 2048


class Listener:
    """A request handler and the server that accepts its connections."""

    def __init__(self, handler: RequestHandler, server: asyncio.Server) -> None:
        self.handler, self.server = handler, server
        self.loop = asyncio.get_running_loop()

    async def close(self) -> None:
        """Stop listening, and accept the connections that the kernel has established already.

        Closing the address alone would reset them, and their clients could not tell whether a request that they have
        sent meanwhile was executed.
        """
        queues = [sock.dup() for sock in self.server.sockets]
        self.server.close()
        for queue in queues:
            with queue:
                accepted = accept_all(queue)
            for connection in accepted:
                await self.loop.connect_accepted_socket(self.handler.connection, connection)


async def listen(handler: RequestHandler, address: Address) -> Listener:
    """Accept connections of a handler at an address. Raises OSError if it can't be bound."""
    loop = asyncio.get_running_loop()
    return Listener(handler, await loop.create_server(handler.connection, *address, backlog=LISTEN_BACKLOG))


def accept_all(queue: socket.socket) -> list[socket.socket]:
    """Accept all connections that wait at a listening socket."""
    queue.setblocking(False)
    accepted: list[socket.socket] = []
    try:
        while True:
            connection, _ = queue.accept()
            accepted.append(connection)
    except OSError:  # none is left, or there are no descriptors left for it
        return accepted
