"""Cost of a call through real processes: ``meshd.py control`` and two sidecars on the loopback network.

The client and both endpoints run in the measuring process. Calls arrive in an open loop, at a mean rate that doesn't
depend on earlier answers. They go to the sidecar of machine 0 for the service of machine 1, so that each passes through
two sidecars.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from mesh.cluster import StubEndpoint, config, read_message

ROOT = Path(__file__).parents[1]
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
CLIENTS = 16  # connections that carry the calls


def cpu_time(pid: int) -> float:
    """Returns the CPU time of a process, in s."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident(pid: int) -> int:
    """Returns the resident memory of a process, in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE


@dataclass(frozen=True, slots=True)
class CallLoad:
    """Results of calls at one rate, in calls per second."""

    rate: float
    served: int
    sent: int
    caller_sidecar: float
    """Cores used by the caller's sidecar."""
    endpoint_sidecar: float
    """Cores used by the endpoint's sidecar."""
    median: float
    """Median latency until the complete answer, in ms."""
    p99: float
    """99th percentile of the latency, in ms."""


async def post(address: str, path: str, body: bytes) -> int:
    """Sends a POST request and returns the status code."""
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST {path} HTTP/1.1\r\nHost: {address}\r\nX-Base-Version: 0\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    start, _, _ = await read_message(reader)
    writer.close()
    return int(start.split()[1])


class Processes:
    """Owns the processes and their folder, as an asynchronous context manager."""

    def __init__(self) -> None:
        self.control_ip = "127.78.1.1"
        self.ips = ["127.78.1.10", "127.78.1.11"]
        with socket.socket() as s:
            s.bind((self.control_ip, 0))
            self.port = min(s.getsockname()[1], 65000)
        self.apps = [StubEndpoint(f"{ip}:{self.port + 6}", f"service-{n}") for n, ip in enumerate(self.ips)]
        self.running: list[subprocess.Popen[bytes]] = []
        self.folder = tempfile.TemporaryDirectory()

    def launch(self, ip: str, role: str, **more: object) -> None:
        """Starts a process with the given role; ``more``: additional bootstrap keys."""
        names = ("Egress", "Readiness", "ControlPlane") if role == "sidecar" else ("ControlPlane",)
        bootstrap = {
            "NodeName": ip,
            "Role": role,
            "Ip": ip,
            "Zone": "z",
            "Serves": [],
            "Bind": {n: f"{ip}:{self.port + 2 + k}" for k, n in enumerate(names)},
            "EphemeralPorts": [self.port, self.port + 1],
            "SeedNodes": [f"{self.control_ip}:{self.port + 2}"],
            "Bootstrap": True,
            "HeartbeatS": 60,
            "Limits": {"MaxFds": 1024},
            "FaultModel": {"HostLosses": 0},
            "Bounds": ["RetryRatio=0.2", "RetryWindowS=10", "RetrySlack=60", "GraceS=1"],
            **more,
        }
        path = Path(self.folder.name) / f"{ip}.json"
        path.write_text(json.dumps(bootstrap))
        with open(Path(self.folder.name) / f"{ip}.log", "wb") as log:
            env = {**os.environ, "ZINCLEVER_BOOT": os.fspath(path)}
            self.running.append(
                subprocess.Popen([sys.executable, "meshd.py", role], cwd=ROOT, env=env, stdout=log, stderr=log)
            )

    async def __aenter__(self) -> Processes:
        self.launch(self.control_ip, "control", StateDir=os.fspath(Path(self.folder.name) / "disk"))
        for ip, app in zip(self.ips, self.apps, strict=True):
            await app.start()
            self.launch(ip, "sidecar", AppAddr=app.address, Target=app.service)
        for ip, app in zip(self.ips, self.apps, strict=True):
            await self.post_until_acknowledged(
                f"{ip}:{self.port + 4}", f"/v1/endpoints/{app.id}/heartbeat", app.heartbeat_body()
            )
        text = json.dumps(config(*(a.service for a in self.apps))).encode()
        await self.post_until_acknowledged(f"{self.control_ip}:{self.port + 2}", "/v1/config/replace", text)
        await asyncio.sleep(3.0)  # until all processes have the configuration and gossip has settled
        return self

    async def __aexit__(self, *error: object) -> None:
        for process in self.running:
            process.terminate()
        for process in self.running:
            await asyncio.to_thread(process.wait)
        for app in self.apps:
            await app.stop()
        self.folder.cleanup()

    async def post_until_acknowledged(self, address: str, path: str, body: bytes) -> None:
        """Sends a POST request until it is acknowledged."""
        async with asyncio.timeout(15.0):
            while True:
                try:
                    if await post(address, path, body) == 200:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.1)

    async def idle(self, span: float) -> list[float]:
        """Returns the cores used by each process without calls, control first."""
        before = [cpu_time(p.pid) for p in self.running]
        await asyncio.sleep(span)
        return [(cpu_time(p.pid) - b) / span for p, b in zip(self.running, before, strict=True)]

    async def load(self, rate: float, span: float, seed: int, direct: bool = False) -> CallLoad:
        """Sends calls at a mean rate for ``span`` seconds; ``direct``: to the endpoint without a sidecar."""
        address = self.apps[1].address if direct else f"{self.ips[0]}:{self.port + 2}"
        rng = random.Random(seed)
        idle: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()
        host, _, port = address.partition(":")
        for _ in range(CLIENTS):
            idle.put_nowait(await asyncio.open_connection(host, int(port)))
        latencies: list[float] = []

        async def call(n: int) -> None:
            reader, writer = await idle.get()
            started = time.perf_counter()
            head = f"GET /service-1/safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {seed}-{rate:g}-{n}\r\n"
            writer.write(f"{head}X-Deadline-Ms: 2000\r\n\r\n".encode())
            start, _, _ = await read_message(reader)
            if start.split()[1] == "200":
                latencies.append(1000 * (time.perf_counter() - started))
            idle.put_nowait((reader, writer))

        pids = [p.pid for p in self.running[1:]]
        before, started = [cpu_time(p) for p in pids], time.perf_counter()
        calls: list[asyncio.Task[None]] = []
        due = started
        while due < started + span:
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            calls.append(asyncio.create_task(call(len(calls))))
            due += rng.expovariate(rate)
        await asyncio.gather(*calls)
        elapsed = time.perf_counter() - started
        caller_sidecar, endpoint_sidecar = ((cpu_time(p) - b) / elapsed for p, b in zip(pids, before, strict=True))
        for _ in range(CLIENTS):
            (await idle.get())[1].close()
        latencies.sort()
        median, p99 = latencies[len(latencies) // 2], latencies[int(0.99 * (len(latencies) - 1))]
        return CallLoad(len(calls) / elapsed, len(latencies), len(calls), caller_sidecar, endpoint_sidecar, median, p99)
