"""Isolated parts of the rig's own event loop, one for each server, application and discovery service.

Ending a part ends its tasks, servers and connections, as the end of a process would.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Literal, cast

from ..simnet.network import Machine

Admits = Literal["yes", "refused", "silent"]


class AdmissionListener:
    """Decides which connections are accepted, as a simulated listener does.

    The others are reset, since the kernel has already accepted them.
    """

    def __init__(self) -> None:
        self.admits: Callable[[], Admits] = lambda: "yes"


class RunningServer:
    """A running server, as :mod:`zinclever.sim` uses it."""

    def __init__(self, server: asyncio.Server, listener: AdmissionListener) -> None:
        self.server, self.listener = server, listener

    def close(self) -> None:
        """Stops listening."""
        self.server.close()


class Scope:
    """A :class:`~zinclever.sim.ground.Process` that runs inside the rig's process."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.loop = asyncio.get_running_loop()
        self.dead = False
        self.tasks: set[asyncio.Task[Any]] = set()
        self.servers: list[asyncio.Server] = []
        self.transports: set[asyncio.Transport] = set()

    def create_task(self, coro: Coroutine[Any, Any, Any], /) -> asyncio.Task[Any]:
        """Starts a task that ends with this part."""
        task = self.loop.create_task(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def call_later(self, delay: float, callback: Callable[..., object], /, *args: Any) -> asyncio.TimerHandle:
        """Calls back after ``delay`` seconds, unless this part has ended by then."""
        return self.loop.call_later(delay, self.call, callback, args)

    def call(self, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        """Runs a callback, unless this part has ended."""
        if not self.dead:
            callback(*args)

    async def create_server(
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], host: str, port: int, *, backlog: int
    ) -> RunningServer:
        """Starts a server whose listener decides which connections are accepted."""
        listener = AdmissionListener()

        def accepted() -> asyncio.BaseProtocol:
            return ScopedProtocol(self, protocol_factory() if listener.admits() == "yes" else None)

        server = await self.loop.create_server(accepted, host, port, backlog=backlog)
        self.servers.append(server)
        return RunningServer(server, listener)

    async def create_connection(
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], host: str, port: int
    ) -> tuple[Any, asyncio.BaseProtocol]:
        """Connects from the address of this part's machine."""
        protocol = protocol_factory()
        transport, _ = await self.loop.create_connection(
            lambda: ScopedProtocol(self, protocol), host, port, local_addr=(self.machine.address, 0)
        )
        return transport, protocol

    def die(self) -> None:
        """Ends this part as a killed process ends: its connections are reset and its tasks cancelled."""
        self.dead = True
        for server in self.servers:
            server.close()
        for task in self.tasks:
            task.cancel()
        for transport in list(self.transports):
            transport.abort()


class ScopedProtocol(asyncio.Protocol):
    """Passes the events of a connection on to ``inner``; without one the connection is reset."""

    transport: asyncio.Transport

    def __init__(self, scope: Scope, inner: asyncio.BaseProtocol | None) -> None:
        self.scope, self.inner = scope, inner

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and passes the event on; resets a connection that was not accepted."""
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        if self.inner is None or self.scope.dead or transport.get_extra_info("peername") is None:
            # Not accepted, or already closed by the peer.
            self.inner = None
            transport.abort()
            return
        self.scope.transports.add(transport)
        self.inner.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Passes the data on unless the scope is dead."""
        if not self.scope.dead and isinstance(self.inner, asyncio.Protocol):
            self.inner.data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection from the scope and passes the event on unless the scope is dead."""
        self.scope.transports.discard(self.transport)
        if self.inner is not None and not self.scope.dead:
            self.inner.connection_lost(exc)
