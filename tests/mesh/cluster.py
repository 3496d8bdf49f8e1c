"""A mesh of real roles on loopback addresses, in one process: members of the core, sidecars, endpoints that do as they
are told, clients and operators."""

from __future__ import annotations

import asyncio
import itertools
import json
import socket
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import uvloop

from zinclever.mesh.roles import node_settings
from zinclever.mesh.roles.control import ControlNode
from zinclever.mesh.roles.sidecar import Sidecar

PATIENCE = 20.0  # s: far more than any wait here takes
CLEAR_WITHIN = 10.0  # s in which a call of an operator has a clear answer, however busy this machine is
_nets = itertools.count(1)

Plan = Callable[[dict[str, str]], bytes | None]
"""What an endpoint answers to a request's headers; None: it closes without a word."""


def good(headers: dict[str, str], body: bytes = b"made") -> bytes:
    return b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Seal: s\r\nContent-Length: %d\r\n\r\n%b" % (
        headers["x-attempt-id"].encode(),
        len(body),
        body,
    )


def away(headers: dict[str, str]) -> bytes:
    return (
        b"HTTP/1.1 503 Busy\r\nX-Attempt-Id: %b\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        % headers["x-attempt-id"].encode()
    )


async def until(true: Callable[[], Any]) -> None:
    """Wait for what the loop brings about."""
    async with asyncio.timeout(PATIENCE):
        while not true():
            await asyncio.sleep(0.005)


async def read_message(reader: asyncio.StreamReader, first: bytes = b"") -> tuple[str, dict[str, str], bytes]:
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in head[1:] if line)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


class App:
    """An endpoint beside a sidecar."""

    def __init__(self, address: str, service: str, plan: Plan = good) -> None:
        self.address, self.service, self.plan = address, service, plan
        self.id = f"i-{address}"
        self.received_requests: list[tuple[str, dict[str, str], bytes]] = []
        self.seq = 0
        self.hold: asyncio.Event | None = None
        """Answers wait for it."""
        self.forgotten: set[asyncio.StreamWriter] = set()
        """Connections on which whatever comes is reset."""
        self.resets = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        host, _, port = self.address.partition(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                first = await reader.readexactly(1)
                if writer in self.forgotten:
                    self.resets += 1
                    break
                start, headers, body = await read_message(reader, first)
                self.received_requests.append((start, headers, body))
                if self.hold is not None:
                    await self.hold.wait()
                answer = self.plan(headers)
                if answer is None:
                    break
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.transport.abort()
        self.writers.discard(writer)
        self.forgotten.discard(writer)

    async def stop(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        await until(lambda: not self.writers)

    def heartbeat_body(self, phase: str = "ready") -> bytes:
        self.seq += 1
        return json.dumps(
            {
                "Address": self.address,
                "Descriptor": {"Target": self.service, "Generation": "v1", "Zone": "z", "Capacity": 4},
                "Observed": {"Phase": phase, "CallSeq": self.seq, "ColdLeftS": 0},
            }
        ).encode()


class Mesh:
    """Use as an asynchronous context."""

    def __init__(self, services: list[str], plans: dict[int, Plan] | None = None) -> None:
        net = next(_nets)
        self.control_ip = f"127.77.{net}.1"
        with socket.socket() as s:
            s.bind((self.control_ip, 0))
            port = s.getsockname()[1]
        self.port = min(port, 65000)
        self.folder = tempfile.TemporaryDirectory()
        self.ips = [f"127.77.{net}.{10 + n}" for n in range(len(services))]
        self.stub_endpoints = [
            App(f"{ip}:{self.port + 6}", s, (plans or {}).get(n, good))
            for n, (ip, s) in enumerate(zip(self.ips, services, strict=True))
        ]
        self.ids = itertools.count(1)

    def make_settings(self, ip: str, role: str, **more: Any) -> node_settings.NodeSettings:
        names = ("Egress", "Readiness", "ControlPlane") if role == "forager" else ("ControlPlane",)
        bind = {n: f"{ip}:{self.port + 2 + k}" for k, n in enumerate(names)}
        told = {
            "NodeName": ip,
            "Role": role,
            "Ip": ip,
            "Zone": "z",
            "Serves": [],
            "Bind": bind,
            "EphemeralPorts": [self.port, self.port + 1],
            "SeedNodes": [f"{self.control_ip}:{self.port + 2}"],
            "Bootstrap": True,
            "Limits": {"MaxFds": 1024},
            "FaultModel": {"HostLosses": 0},
            "Bounds": ["RetryRatio=0.2", "RetryWindowS=10", "RetrySlack=60", "GraceS=1"],
        }
        return node_settings.parse(json.dumps({**told, **more}).encode())

    async def __aenter__(self) -> Mesh:
        self.control = ControlNode(
            self.make_settings(self.control_ip, "comb", StateDir=str(Path(self.folder.name) / "disk"))
        )
        await self.control.start()
        self.sidecars: list[Sidecar] = []
        for ip, app in zip(self.ips, self.stub_endpoints, strict=True):
            await app.start()
            f = Sidecar(self.make_settings(ip, "forager", AppAddr=app.address, Target=app.service))
            await f.start()
            self.sidecars.append(f)
        return self

    async def __aexit__(self, *error: object) -> None:
        for f in self.sidecars:
            for server in f.servers:
                server.close()
            f.node.stop()
        for app in self.stub_endpoints:
            await app.stop()
        self.control.node.stop()
        if self.control.server is not None:
            self.control.server.close()
        self.control.store.close()
        self.control.store.thread.shutdown(wait=True)  # a save may be under way in the folder
        self.folder.cleanup()

    # --- callers ---

    async def call(
        self, address: str, method: str, path: str, body: bytes = b"", **headers: Any
    ) -> tuple[int, dict[str, str], bytes]:
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = "".join(f"{n.replace('_', '-')}: {v}\r\n" for n, v in {"Host": "a.example", **headers}.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        async with asyncio.timeout(PATIENCE):
            start, told, made = await read_message(reader)
        writer.close()
        return int(start.split()[1]), told, made

    async def ask(
        self, path: str, method: str = "GET", at: int = 0, body: bytes = b"", **headers: Any
    ) -> tuple[int, dict[str, str], bytes]:
        """A client's request at one of the sidecars."""
        told = {"X_Attempt_Id": f"r{next(self.ids)}", "X_Deadline_Ms": "3000", **headers}
        return await self.call(f"{self.ips[at]}:{self.port + 2}", method, path, body, **told)

    async def put(self, config: dict[str, Any] | bytes, base: int) -> tuple[int, dict[str, str], bytes]:
        text = config if isinstance(config, bytes) else json.dumps(config).encode()
        return await self.call(
            f"{self.control_ip}:{self.port + 2}", "POST", "/v1/config/replace", text, X_Base_Version=str(base)
        )

    async def beat(self, n: int, phase: str = "ready") -> int:
        app = self.stub_endpoints[n]
        status, _, _ = await self.call(
            f"{self.ips[n]}:{self.port + 4}", "POST", f"/v1/endpoints/{app.id}/heartbeat", app.heartbeat_body(phase)
        )
        return status

    async def serve(self) -> None:
        """A configuration is in force everywhere, and all endpoints are known everywhere."""
        for n in range(len(self.stub_endpoints)):
            assert await self.beat(n) == 200
        await self.put_until_clear(config(*{a.service for a in self.stub_endpoints}), 0)
        await until(lambda: all(f.node.active.generation == 1 for f in self.sidecars))
        await until(lambda: all(self.known(f) == len(self.stub_endpoints) for f in self.sidecars))

    async def put_until_clear(self, text: dict[str, Any], base: int) -> None:
        """Put a configuration in force as an operator does: 503 is no clear answer, and the call is sent again."""
        until_at = asyncio.get_running_loop().time() + CLEAR_WITHIN
        status = 503
        while status == 503 and asyncio.get_running_loop().time() < until_at:
            status, _, _ = await self.put(text, base)
        assert status == 200, status

    def known(self, sidecar: Sidecar) -> int:
        return sum(len(f.forwarder.addresses) for f in sidecar.clients.clients.values())

    def runs(self) -> int:
        return sum(len(a.received_requests) for a in self.stub_endpoints)


def config(*services: str, generation: int = 1) -> dict[str, Any]:
    """Safe requests under /SERVICE/safe/, others under /SERVICE/unsafe/."""
    routes = {
        f"{s}-{kind}": {
            "Authority": "a.example",
            "PathPrefix": f"/{s}/{kind}/",
            "RouteClass": told,
            "DeadlineS": 3,
            "TargetLatencyS": 2,
            "Priority": 1,
            "MaxAttempts": 2,
            "Target": s,
        }
        for s in services
        for kind, told in (("safe", "idempotent"), ("unsafe", "non_idempotent"))
    }
    return {"Generation": generation, "Routes": routes, "Services": {s: {} for s in services}}


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run one test on the loop that is used in service; guards against one that hangs."""

    async def bounded() -> None:
        async with asyncio.timeout(PATIENCE):
            await test()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())
