"""Test harness: a mesh of a control node, sidecars and scripted endpoints on loopback addresses, in one process."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import socket
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Self, TypeVar

import uvloop

from zinclever.mesh.roles import node_settings
from zinclever.mesh.roles.control import ControlNode
from zinclever.mesh.roles.sidecar import Sidecar

TEST_TIMEOUT = 20.0  # s
DEFINITE_RESULT_TIMEOUT = 10.0  # s in which a repeated call of an operator has to get a response other than 503
MEMORY_FOLDER = "/dev/shm"
_network_numbers = itertools.count(1)

Result = TypeVar("Result")
Responder = Callable[[dict[str, str]], bytes | None]
"""Returns the response of an endpoint to a request with the given headers; None closes the connection."""


def ok_response(headers: dict[str, str], body: bytes = b"made") -> bytes:
    """Return a valid response to a request with the given headers."""
    return b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Seal: s\r\nContent-Length: %d\r\n\r\n%b" % (
        headers["x-attempt-id"].encode(),
        len(body),
        body,
    )


def not_executed(headers: dict[str, str]) -> bytes:
    """Return a 503 response that states that the request was not executed."""
    return (
        b"HTTP/1.1 503 Busy\r\nX-Attempt-Id: %b\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        % headers["x-attempt-id"].encode()
    )


def state_folder() -> tempfile.TemporaryDirectory[str]:
    """Return a folder for the state of the processes under test, in memory if the system has such a file system.

    A sync of a disk that others use may take half a second, which is most of the time that an operator's call has.
    """
    has_memory = os.access(MEMORY_FOLDER, os.W_OK)
    return tempfile.TemporaryDirectory(dir=MEMORY_FOLDER if has_memory else None)


async def wait_until(condition: Callable[[], Any]) -> None:
    """Wait until a condition holds; fails after :data:`TEST_TIMEOUT`."""
    async with asyncio.timeout(TEST_TIMEOUT):
        while not condition():
            await asyncio.sleep(0.005)


async def read_message(reader: asyncio.StreamReader, received: bytes = b"") -> tuple[str, dict[str, str], bytes]:
    """Read an HTTP message: its start line, its headers by lower-case name, and its body."""
    head = (received + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


class StubEndpoint:
    """A scripted HTTP endpoint in front of which a sidecar runs."""

    slots = 4

    def __init__(self, address: str, service: str, responder: Responder = ok_response) -> None:
        self.address, self.service, self.responder = address, service, responder
        self.id = f"i-{address}"
        self.received_requests: list[tuple[str, dict[str, str], bytes]] = []
        self.seq = 0
        self.response_gate: asyncio.Event | None = None
        """If set, responses wait for this event."""
        self.half_open: set[asyncio.StreamWriter] = set()
        """Connections that are reset as soon as a byte is received."""
        self.resets = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        host, _, port = self.address.partition(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                first_byte = await reader.readexactly(1)
                if writer in self.half_open:
                    self.resets += 1
                    break
                start, headers, body = await read_message(reader, first_byte)
                self.received_requests.append((start, headers, body))
                if self.response_gate is not None:
                    await self.response_gate.wait()
                response = self.responder(headers)
                if response is None:
                    break
                writer.write(response)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.transport.abort()
        self.writers.discard(writer)
        self.half_open.discard(writer)

    async def stop(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        await wait_until(lambda: not self.writers)

    def heartbeat_body(self, phase: str = "ready") -> bytes:
        self.seq += 1
        return json.dumps(
            {
                "Address": self.address,
                "Descriptor": {"Target": self.service, "Generation": "v1", "Zone": "z", "Capacity": self.slots},
                "Observed": {"Phase": phase, "CallSeq": self.seq, "ColdLeftS": 0},
            }
        ).encode()


class Mesh:
    """One control node and a sidecar for each endpoint. Use as an asynchronous context manager."""

    def __init__(self, services: list[str], responders: dict[int, Responder] | None = None) -> None:
        network = next(_network_numbers)
        self.control_ip = f"127.77.{network}.1"
        with socket.socket() as s:
            s.bind((self.control_ip, 0))
            port = s.getsockname()[1]
        self.port = min(port, 65000)
        self.folder = state_folder()
        self.ips = [f"127.77.{network}.{10 + n}" for n in range(len(services))]
        self.stub_endpoints = [
            StubEndpoint(f"{ip}:{self.port + 6}", s, (responders or {}).get(n, ok_response))
            for n, (ip, s) in enumerate(zip(self.ips, services, strict=True))
        ]
        self.ids = itertools.count(1)

    def make_settings(self, ip: str, role: str, **overrides: Any) -> node_settings.NodeSettings:
        names = ("Egress", "Readiness", "ControlPlane") if role == "forager" else ("ControlPlane",)
        bind = {name: f"{ip}:{self.port + 2 + offset}" for offset, name in enumerate(names)}
        defaults = {
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
        return node_settings.parse(json.dumps({**defaults, **overrides}).encode())

    async def __aenter__(self) -> Self:
        self.control = ControlNode(
            self.make_settings(self.control_ip, "comb", StateDir=str(Path(self.folder.name) / "disk"))
        )
        await self.control.start()
        self.sidecars: list[Sidecar] = []
        for ip, app in zip(self.ips, self.stub_endpoints, strict=True):
            await app.start()
            sidecar = Sidecar(self.make_settings(ip, "forager", AppAddr=app.address, Target=app.service))
            await sidecar.start()
            self.sidecars.append(sidecar)
        return self

    async def __aexit__(self, *error: object) -> None:
        for sidecar in self.sidecars:
            for listener in sidecar.listeners:
                listener.server.close()
            sidecar.node.stop()
        for app in self.stub_endpoints:
            await app.stop()
        self.control.node.stop()
        if self.control.listener is not None:
            self.control.listener.server.close()
        self.control.store.close()
        self.control.store.thread.shutdown(wait=True)  # a save to the folder may be in progress
        self.folder.cleanup()

    # --- requests of clients, endpoints and operators ---

    async def call(
        self, address: str, method: str, path: str, body: bytes = b"", **headers: Any
    ) -> tuple[int, dict[str, str], bytes]:
        """Send an HTTP request and return the status, the headers and the body of the response."""
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = "".join(
            f"{name.replace('_', '-')}: {value}\r\n" for name, value in {"Host": "a.example", **headers}.items()
        )
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            async with asyncio.timeout(TEST_TIMEOUT):
                start, response_headers, response_body = await read_message(reader)
        finally:
            writer.close()
        return int(start.split()[1]), response_headers, response_body

    async def send_request(
        self, path: str, method: str = "GET", sidecar_index: int = 0, body: bytes = b"", **headers: Any
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a client's request to the sidecar with the given index."""
        request_headers = {"X_Attempt_Id": f"r{next(self.ids)}", "X_Deadline_Ms": "3000", **headers}
        return await self.call(f"{self.ips[sidecar_index]}:{self.port + 2}", method, path, body, **request_headers)

    async def put_config(self, config: dict[str, Any] | bytes, base: int) -> tuple[int, dict[str, str], bytes]:
        """Replace the configuration of generation ``base``, and return the control node's response."""
        text = config if isinstance(config, bytes) else json.dumps(config).encode()
        return await self.call(
            f"{self.control_ip}:{self.port + 2}", "POST", "/v1/config/replace", text, X_Base_Version=str(base)
        )

    async def send_heartbeat(self, index: int, phase: str = "ready") -> int:
        """Send a heartbeat of an endpoint to its sidecar, and return the status."""
        app = self.stub_endpoints[index]
        status, _, _ = await self.call(
            f"{self.ips[index]}:{self.port + 4}", "POST", f"/v1/endpoints/{app.id}/heartbeat", app.heartbeat_body(phase)
        )
        return status

    async def bring_up(self) -> None:
        """Activate a configuration, and wait until all sidecars use it and know all endpoints."""
        for index in range(len(self.stub_endpoints)):
            assert await self.send_heartbeat(index) == 200
        await self.put_until_definite(config(*{app.service for app in self.stub_endpoints}), 0)
        await wait_until(lambda: all(s.node.active.generation == 1 for s in self.sidecars))
        await wait_until(lambda: all(self.known_endpoints(s) == len(self.stub_endpoints) for s in self.sidecars))

    async def put_until_definite(self, text: dict[str, Any], base: int) -> None:
        """Replace the configuration, repeating the call while the status is 503, after which its result is unknown."""
        deadline = asyncio.get_running_loop().time() + DEFINITE_RESULT_TIMEOUT
        status = 503
        while status == 503 and asyncio.get_running_loop().time() < deadline:
            status, _, _ = await self.put_config(text, base)
        assert status == 200, status

    def known_endpoints(self, sidecar: Sidecar) -> int:
        """Return how many endpoints a sidecar can forward requests to."""
        return sum(len(client.forwarder.addresses) for client in sidecar.clients.clients.values())

    def executed_requests(self) -> int:
        """Return how many requests all endpoints have received."""
        return sum(len(app.received_requests) for app in self.stub_endpoints)


def config(*services: str, generation: int = 1) -> dict[str, Any]:
    """Return a configuration with idempotent routes at /SERVICE/safe/ and non-idempotent ones at /SERVICE/unsafe/."""
    routes = {
        f"{service}-{kind}": {
            "Authority": "a.example",
            "PathPrefix": f"/{service}/{kind}/",
            "RouteClass": route_class,
            "DeadlineS": 3,
            "TargetLatencyS": 2,
            "Priority": 1,
            "MaxAttempts": 2,
            "Target": service,
        }
        for service in services
        for kind, route_class in (("safe", "idempotent"), ("unsafe", "non_idempotent"))
    }
    return {"Generation": generation, "Routes": routes, "Services": {service: {} for service in services}}


def run(test: Callable[[], Awaitable[Result]], timeout: float = TEST_TIMEOUT) -> Result:
    """Run a test on uvloop, the event loop used in production, and return its result."""

    async def bounded() -> Result:
        async with asyncio.timeout(timeout):
            return await test()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(bounded())
