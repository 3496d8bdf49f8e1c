"""A JSON-RPC service in this process, between stand-in endpoints and scripted clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

from loopback import Reaction, Scripted, script

from zinclever.assembly import JsonRpc
from zinclever.configuration.check import check_operator
from zinclever.configuration.operator import build
from zinclever.core.descriptors import Descriptors
from zinclever.standins import Log, Plan
from zinclever.standins.clients import ClientRequestClass, JsonRpcClient
from zinclever.standins.jsonrpc_endpoint import DECLINED, JsonRpcEndpoint, read
from zinclever.system import System

READ = ClientRequestClass("read", "page.get", "idempotent", 6000.0)
TIP = ClientRequestClass("tip", "tip.send", "at_most_once", 6000.0)
UNLOCK = ClientRequestClass("unlock", "unlock.buy", "deduplicated", 6000.0, window=12000.0)


def operator(
    endpoints: str,
    framing: str = "lines",
    listen: str = "127.0.0.1:7001",
    more: str = "",
    deadline: float = 6000.0,
    aim: float = 2000.0,
    group: str = "all",
) -> str:
    """An operator file with one service; ``endpoints``: the line that names them."""
    times = f"aim_ms = {aim}\ndeadline_ms = {deadline}\n"
    return f"""
version = 1
[services.creator-tools]
protocol = "jsonrpc"
listen = "{listen}"
{endpoints}
framing = "{framing}"
never_ran_errors = [{DECLINED}]
{more}
[services.creator-tools.classes.read]
repeat = "idempotent"
{times}
[services.creator-tools.classes.unlock]
repeat = "deduplicated"
{times}window_ms = 12000
group = "{group}"
[services.creator-tools.classes.tip]
repeat = "at_most_once"
{times}
[services.creator-tools.methods]
"page.get" = {{ class = "read" }}
"unlock.buy" = {{ class = "unlock", key = "/key" }}
"tip.send" = {{ class = "tip" }}
"""


class Setup:
    """The service, its endpoints and their common log."""

    def __init__(self, made: JsonRpc, log: Log, endpoints: list[JsonRpcEndpoint], address: str) -> None:
        self.made, self.log, self.endpoints, self.address = made, log, endpoints, address
        self.clients: list[JsonRpcClient] = []

    @property
    def balancer(self) -> Scripted:
        assert isinstance(self.made.dispatcher.balancer, Scripted)
        return self.made.dispatcher.balancer

    @property
    def manual(self) -> Manual:
        manual = self.endpoints[-1]
        assert isinstance(manual, Manual)
        return manual

    def outcomes(self) -> list[str]:
        """How each attempt ended, in order. For scripted balancers."""
        return [e.outcome for e in self.balancer.ends()]

    async def client(self) -> JsonRpcClient:
        """A client that is connected."""
        client = await JsonRpcClient(self.log, self.made.spec.rules.framing).connect(self.address)
        self.clients.append(client)
        return client


@contextlib.asynccontextmanager
async def service(
    *plans: Plan,
    react: Reaction | None = None,
    framing: str = "lines",
    text: str | None = None,
    deadline: float = 6000.0,
    aim: float = 2000.0,
    sockets: int = 1024,
    more: str = "",
    by_hand: bool = False,
) -> AsyncIterator[Setup]:
    """One endpoint a plan behind one service, and with ``by_hand`` one that a test writes by hand.

    ``react``: what a scripted balancer does; else the real one decides.
    """
    log = Log()
    async with contextlib.AsyncExitStack() as stack:
        kinds = [JsonRpcEndpoint(log, plan, framing=framing) for plan in plans]
        kinds += [Manual(log)] if by_hand else []
        endpoints = [await stack.enter_async_context(kind) for kind in kinds]
        names = ", ".join(f'"{e.address}"' for e in endpoints)
        told = text or operator(f"endpoints = [{names}]", framing, deadline=deadline, aim=aim, more=more)
        report = check_operator(told.encode())
        assert not report.errors, report.errors
        (spec,) = build(report.clean).services.values()
        made = JsonRpc(spec, 1, Descriptors(sockets), System())
        if react is not None:
            script(made.dispatcher, Scripted(spec.settings, react))
        loop = asyncio.get_running_loop()
        server = await loop.create_server(made.front.connection, "127.0.0.1", 0)
        made.dispatcher.start()
        host, port = server.sockets[0].getsockname()
        setup = Setup(made, log, endpoints, f"{host}:{port}")
        try:
            yield setup
        finally:
            for client in setup.clients:
                await client.close()
            server.close()
            made.front.stop()
            made.dispatcher.stop()


class Manual(JsonRpcEndpoint):
    """An endpoint whose every byte a test writes by hand."""

    def __init__(self, log: Log) -> None:
        super().__init__(log)
        self.gate: asyncio.Event | None = None
        """Until it is set, nothing is read."""
        self.came: asyncio.Queue[tuple[dict[str, Any], asyncio.StreamWriter]] = asyncio.Queue()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            if self.gate is not None:
                await self.gate.wait()
            if not (text := await read(self.framing, reader)):
                return
            told = json.loads(text)
            self.receive(told["params"]["call"], self.log.clock())
            self.came.put_nowait((told, writer))

    async def next(self, name: str) -> tuple[int, asyncio.StreamWriter]:
        """The next call, which has to be the one of that name: its id, and the way back."""
        told, writer = await self.came.get()
        assert told["params"]["call"] == name
        return told["id"], writer


def result(id: int) -> bytes:
    return b'{"jsonrpc":"2.0","id":%d,"result":{"made":"by hand"}}\n' % id
