"""Test servers, clients and sidecars on loopback addresses, and a scripted balancer."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import Any

import uvloop
from helpers import LIMITS, RULES

from zinclever import Balancer, Settings, interface
from zinclever.core.descriptors import Descriptors
from zinclever.core.dispatcher import Dispatcher
from zinclever.core.host import Host
from zinclever.discovery.catalog import Discovery
from zinclever.http1.frontend import Frontend
from zinclever.http1.wire import HttpWire
from zinclever.simnet import runner
from zinclever.system import System

SYSTEM = System()
CLOSED = itertools.count(1)  # ports without a listener, in simulated time
TEST_TIMEOUT = 20.0  # s, far more than any test takes
CLASSES = (
    interface.RequestClass(aim=5000.0, deadline=9000.0, repeat="idempotent", name="read"),
    interface.RequestClass(aim=5000.0, deadline=9000.0, repeat="deduplicated", window=9000.0, name="unlock"),
    interface.RequestClass(aim=5000.0, deadline=9000.0, repeat="at_most_once", name="tip"),
)


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Runs a test in simulated time; fails it if it hangs."""
    runner.run(test)


def run_real(test: Callable[[], Awaitable[None]]) -> None:
    """Runs a test on real sockets and the event loop used in production; fails it if it hangs."""

    async def bounded() -> None:
        async with asyncio.timeout(TEST_TIMEOUT):
            await test()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


class Message:
    """A received request or answer."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        self.start, self.headers, self.body = start, headers, body

    @property
    def status(self) -> int:
        return int(self.start.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads the next message; None once the other side has closed the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        start, *lines = head.strip().split("\r\n")
        headers = {k.lower(): v.strip() for k, v in (x.split(":", 1) for x in lines)}
        return Message(start, headers, await reader.readexactly(int(headers.get("content-length", "0"))))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def response(status: int = 200, body: bytes = b"ok", **headers: str) -> bytes:
    lines = "".join(f"{k.replace('_', '-')}: {v}\r\n" for k, v in headers.items())
    return f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


Script = Callable[[Message, "Peer"], Awaitable[bytes | None]]


class Peer:
    """A server with scripted answers; it closes the connection if the script returns None."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.requests: list[tuple[int, Message]] = []
        """Received requests, each with the number of its connection."""
        self.connections = 0
        self.ended: asyncio.Queue[int] = asyncio.Queue()
        self.arrived: asyncio.Queue[Message] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = self.connections
        self.connections += 1
        self.writers.append(writer)
        while (message := await read_message(reader)) is not None:
            self.requests.append((number, message))
            self.arrived.put_nowait(message)
            answer = await self.or_disconnect(reader, self.script(message, self))
            if answer is None:
                break
            writer.write(answer)
        writer.close()
        self.ended.put_nowait(number)

    async def or_disconnect(self, reader: asyncio.StreamReader, answer: Awaitable[bytes | None]) -> bytes | None:
        """Returns the script's answer, or None if the client disconnects first."""
        task = asyncio.ensure_future(answer)
        disconnect = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({task, disconnect}, return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            disconnect.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await disconnect
            return task.result()
        task.cancel()
        return None


async def silence(message: Message, peer: Peer) -> bytes | None:
    """Script that never answers."""
    await asyncio.Event().wait()
    return None


def always(answer: bytes | None) -> Script:
    """Script that gives the same answer to every request."""

    async def script(message: Message, peer: Peer) -> bytes | None:
        return answer

    return script


@contextlib.asynccontextmanager
async def serving(script: Script) -> AsyncIterator[tuple[Peer, str]]:
    """Starts a server and yields it with its address."""
    peer = Peer(script)
    server = await asyncio.start_server(peer.on_connection, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield peer, f"{host}:{port}"
    finally:
        server.close()
        for writer in peer.writers:
            writer.transport.abort()


def host_here() -> Host:
    """Returns the host of the running test: simulated or real."""
    return runner.host() if runner.simulated() else SYSTEM


def closed_port() -> str:
    """Returns an address without a listener."""
    with contextlib.suppress(RuntimeError):
        if runner.simulated():
            return f"{runner.HOME}:{next(CLOSED)}"
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{s.getsockname()[1]}"


Reaction = Callable[[interface.Event], Iterable[interface.Action]]


class Scripted(Balancer):
    """A balancer whose decisions are scripted by ``react``; it records the events that it receives."""

    def __init__(self, settings: Settings, react: Reaction) -> None:
        super().__init__(settings, 1)
        self.react = react
        self.received_events: list[tuple[float, interface.Event]] = []
        self.changed = asyncio.Event()
        self.inside = False

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        assert not self.inside, "handle was called recursively"
        self.inside = True
        try:
            self.received_events.append((now, event))
            self.changed.set()
            return list(self.react(event))
        finally:
            self.inside = False

    def ends(self) -> list[interface.AttemptEnded]:
        """Returns the ends of attempts so far."""
        return [e for _, e in self.received_events if isinstance(e, interface.AttemptEnded)]

    async def until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds; it is checked after each event."""
        while not condition():
            self.changed.clear()
            await self.changed.wait()


def script(dispatcher: Dispatcher, balancer: Scripted) -> None:
    """Installs a scripted balancer that stays in use on a slow machine.

    Otherwise a stall of more than a second would replace it by a real balancer, and a slow dial would time out and end
    an attempt that the test waits for.
    """
    dispatcher.balancer = balancer
    dispatcher.balancer_replaced_at = math.inf
    limits = balancer.settings.limits
    dispatcher.wire.configure(1000.0 * TEST_TIMEOUT, limits.connection_idle, dispatcher.connections)


def host(name: str, dial: str, health: str = "in_service", **more: Any) -> dict[str, Any]:
    """An entry of discovery's list."""
    entry = {"host": name, "dial": dial, "site": "a", "class": "m", "block": 0, "share": 1.0, "born_ms": 0}
    return entry | {"health": health} | more


def known(**hosts: str) -> dict[str, Any]:
    """A saved endpoint list: addresses by name."""
    return {"seq": 1, "whole": True, "hosts": [host(k, v) for k, v in hosts.items()]}


class Client:
    """A client connection to the sidecar."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, target: str = "/read/x?y=1", method: str = "GET", body: bytes = b"", **headers: str) -> None:
        defaults = {"Req_Id": "r1", "Req_Deadline": "9.0"} | headers
        lines = "".join(f"{k.replace('_', '-')}: {v}\r\n" for k, v in defaults.items() if v)
        length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
        head = f"{method} {target} HTTP/1.1\r\nHost: backend.local\r\n{lines}{length}\r\n"
        self.writer.write(head.encode() + body)

    async def answer(self) -> Message:
        message = await read_message(self.reader)
        assert message is not None, "the connection ended without an answer"
        return message

    async def fetch(self, target: str = "/read/x?y=1", **more: Any) -> Message:
        self.send(target, **more)
        return await self.answer()


class Setup:
    """A sidecar in this process with a scripted balancer."""

    def __init__(self, sidecar: Dispatcher, balancer: Scripted, front: Frontend, address: tuple[str, int]) -> None:
        self.sidecar, self.balancer, self.front, self.address = sidecar, balancer, front, address
        assert isinstance(sidecar.wire, HttpWire) and isinstance(sidecar.source, Discovery)
        self.wire, self.discovery = sidecar.wire, sidecar.source
        self.clients: list[Client] = []

    async def client(self) -> Client:
        client = Client(*await asyncio.open_connection(*self.address))
        self.clients.append(client)
        return client


@contextlib.asynccontextmanager
async def sidecar(
    react: Reaction,
    hosts: dict[str, Any] | None = None,
    discovery: str = "",
    sockets: int = 1024,
    discovery_mode: str = "on_request",
    **more: Any,
) -> AsyncIterator[Setup]:
    """Starts a sidecar with a scripted balancer and stops it at the end."""
    options: dict[str, Any] = {"classes": CLASSES, "limits": LIMITS, "rules": RULES}
    options["discovery"] = discovery_mode
    balancer = Scripted(Settings(**(options | more)), react)
    address, _, port = (discovery or closed_port()).partition(":")
    descriptors, machine = Descriptors(sockets), host_here()
    dispatcher = Dispatcher(
        balancer,
        HttpWire(descriptors, machine),
        lambda on_list: Discovery((address, int(port)), balancer.settings, ["a", "b"], hosts or {}, on_list, machine),
        descriptors,
        machine,
    )
    front = Frontend(dispatcher)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(front.connection, "127.0.0.1", 0)
    dispatcher.start()
    setup = Setup(dispatcher, balancer, front, server.sockets[0].getsockname())
    try:
        yield setup
    finally:
        for client in setup.clients:
            client.writer.transport.abort()
        server.close()
        dispatcher.stop()
