"""Helpers that run a JSON-RPC service in the test process, with stand-in endpoints and clients."""

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
    """Return an operator file with one service. ``endpoints`` is the line that configures its endpoints."""
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
    """A running service, its endpoints, its clients and their common log."""

    def __init__(self, service: JsonRpc, log: Log, endpoints: list[JsonRpcEndpoint], address: str) -> None:
        self.service, self.log, self.endpoints, self.address = service, log, endpoints, address
        self.clients: list[JsonRpcClient] = []

    @property
    def balancer(self) -> Scripted:
        assert isinstance(self.service.dispatcher.balancer, Scripted)
        return self.service.dispatcher.balancer

    @property
    def manual(self) -> Manual:
        manual = self.endpoints[-1]
        assert isinstance(manual, Manual)
        return manual

    def outcomes(self) -> list[str]:
        """The outcomes of the attempts, in order. Requires a scripted balancer."""
        return [event.outcome for event in self.balancer.ends()]

    async def client(self) -> JsonRpcClient:
        """Connect a new client."""
        client = await JsonRpcClient(self.log, self.service.spec.rules.framing).connect(self.address)
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
    manual_endpoint: bool = False,
) -> AsyncIterator[Setup]:
    """Run a service with one endpoint per plan, and with a :class:`Manual` endpoint if ``manual_endpoint`` is set.

    ``react`` scripts the balancer; without it, the real one is used.
    """
    log = Log()
    async with contextlib.AsyncExitStack() as stack:
        unstarted = [JsonRpcEndpoint(log, plan, framing=framing) for plan in plans]
        unstarted += [Manual(log)] if manual_endpoint else []
        endpoints = [await stack.enter_async_context(endpoint) for endpoint in unstarted]
        addresses = ", ".join(f'"{e.address}"' for e in endpoints)
        operator_file = text or operator(f"endpoints = [{addresses}]", framing, deadline=deadline, aim=aim, more=more)
        report = check_operator(operator_file.encode())
        assert not report.errors, report.errors
        (spec,) = build(report.clean).services.values()
        json_rpc = JsonRpc(spec, 1, Descriptors(sockets), System())
        if react is not None:
            script(json_rpc.dispatcher, Scripted(spec.settings, react))
        loop = asyncio.get_running_loop()
        server = await loop.create_server(json_rpc.front.connection, "127.0.0.1", 0)
        json_rpc.dispatcher.start()
        host, port = server.sockets[0].getsockname()
        setup = Setup(json_rpc, log, endpoints, f"{host}:{port}")
        try:
            yield setup
        finally:
            for client in setup.clients:
                await client.close()
            server.close()
            json_rpc.front.stop()
            json_rpc.dispatcher.stop()


class Manual(JsonRpcEndpoint):
    """An endpoint whose responses are written by the test."""

    def __init__(self, log: Log) -> None:
        super().__init__(log)
        self.gate: asyncio.Event | None = None
        """Reading is suspended until it is set."""
        self.calls: asyncio.Queue[tuple[dict[str, Any], asyncio.StreamWriter]] = asyncio.Queue()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            if self.gate is not None:
                await self.gate.wait()
            if not (text := await read(self.framing, reader)):
                return
            request = json.loads(text)
            self.receive(request["params"]["call"], self.log.clock())
            self.calls.put_nowait((request, writer))

    async def next(self, name: str) -> tuple[int, asyncio.StreamWriter]:
        """Return the id of the next call, which must have this name, and the writer for its response."""
        request, writer = await self.calls.get()
        assert request["params"]["call"] == name
        return request["id"], writer


def result(id: int) -> bytes:
    return b'{"jsonrpc":"2.0","id":%d,"result":{"made":"by hand"}}\n' % id
