"""A server, an application or discovery on the rig's own loop: what belongs to one of them ends with it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Literal, cast

from ..simnet.network import Machine

Admits = Literal["yes", "refused", "silent"]


class Listening:
    """Who is let in, as the simulated listener has it. What isn't is reset: its kernel has answered."""

    def __init__(self) -> None:
        self.admits: Callable[[], Admits] = lambda: "yes"


class Accepting:
    """What a scene gets for a server."""

    def __init__(self, server: asyncio.Server, listener: Listening) -> None:
        self.server, self.listener = server, listener

    def close(self) -> None:
        self.server.close()


class Scope:
    """A :class:`~zinclever.sim.ground.Process` within the rig's."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.loop = asyncio.get_running_loop()
        self.dead = False
        self.tasks: set[asyncio.Task[Any]] = set()
        self.servers: list[asyncio.Server] = []
        self.transports: set[asyncio.Transport] = set()

    def create_task(self, coro: Coroutine[Any, Any, Any], /) -> asyncio.Task[Any]:
        task = self.loop.create_task(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def call_later(self, delay: float, callback: Callable[..., object], /, *args: Any) -> asyncio.TimerHandle:
        return self.loop.call_later(delay, self.call, callback, args)

    def call(self, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        if not self.dead:
            callback(*args)

    async def create_server(
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], host: str, port: int, *, backlog: int
    ) -> Accepting:
        listener = Listening()

        def accepted() -> asyncio.BaseProtocol:
            return Owned(self, protocol_factory() if listener.admits() == "yes" else None)

        server = await self.loop.create_server(accepted, host, port, backlog=backlog)
        self.servers.append(server)
        return Accepting(server, listener)

    async def create_connection(
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], host: str, port: int
    ) -> tuple[Any, asyncio.BaseProtocol]:
        protocol = protocol_factory()
        transport, _ = await self.loop.create_connection(
            lambda: Owned(self, protocol), host, port, local_addr=(self.machine.address, 0)
        )
        return transport, protocol

    def die(self) -> None:
        """As a process that is killed: its connections are reset, what it was doing is over."""
        self.dead = True
        for server in self.servers:
            server.close()
        for task in self.tasks:
            task.cancel()
        for transport in list(self.transports):
            transport.abort()


class Owned(asyncio.Protocol):
    """Passes on what happens on a connection; without a protocol the connection is not let in."""

    transport: asyncio.Transport

    def __init__(self, scope: Scope, inner: asyncio.BaseProtocol | None) -> None:
        self.scope, self.inner = scope, inner

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        if self.inner is None or self.scope.dead or transport.get_extra_info("peername") is None:
            # Not let in, or gone by now.
            self.inner = None
            transport.abort()
            return
        self.scope.transports.add(transport)
        self.inner.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        if not self.scope.dead and isinstance(self.inner, asyncio.Protocol):
            self.inner.data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.scope.transports.discard(self.transport)
        if self.inner is not None and not self.scope.dead:
            self.inner.connection_lost(exc)
