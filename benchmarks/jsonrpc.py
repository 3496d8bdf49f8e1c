"""Calls a second, CPU and latency over JSON-RPC beside HTTP and beside no sidecar; memory; growth.

    python -m benchmarks.jsonrpc rates      # 1, 32 and 256 clients, each way in turn
    python -m benchmarks.jsonrpc held       # 10,000 calls in flight
    python -m benchmarks.jsonrpc growth     # a million calls
    python -m benchmarks.jsonrpc http DIR   # the HTTP service of this tree beside that of another checkout

Endpoints and clients run in processes of their own; the sidecar's CPU and memory are read from /proc.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import multiprocessing
import os
import signal
import socket
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import uvloop

from zinclever import Balancer, interface
from zinclever.assembly import JsonRpc
from zinclever.configuration.check import check_operator
from zinclever.configuration.operator import build
from zinclever.core.descriptors import Descriptors
from zinclever.system import System

ROOT = Path(__file__).parent.parent
TICK = os.sysconf("SC_CLK_TCK")
RUN_FOR = 3.0  # s of each measurement
ROUNDS = 3
COMPARED = 30  # turns of 1 s for each tree


def free_port() -> int:
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return int(s.getsockname()[1])


# --- endpoints ---


class RpcEcho(asyncio.Protocol):
    def connection_made(self, transport: Any) -> None:
        self.transport, self.rest = transport, b""

    def data_received(self, data: bytes) -> None:
        *texts, self.rest = (self.rest + data).split(b"\n")
        out = []
        for text in texts:
            id = text[text.rindex(b'"id":') + 5 : -1]
            out.append(b'{"jsonrpc":"2.0","id":%b,"result":{"page":"%b"}}\n' % (id, PAGE))
        self.transport.write(b"".join(out))


class RpcSilent(RpcEcho):
    """Holds every call for a second."""

    def data_received(self, data: bytes) -> None:
        asyncio.get_running_loop().call_later(1.0, super().data_received, data)


PAGE = b"x" * 200


class HttpEcho(asyncio.Protocol):
    def connection_made(self, transport: Any) -> None:
        self.transport, self.rest = transport, b""

    def data_received(self, data: bytes) -> None:
        self.rest += data
        while b"\r\n\r\n" in self.rest:
            _, _, self.rest = self.rest.partition(b"\r\n\r\n")
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(PAGE), PAGE))


def serve(kind: type[asyncio.Protocol], port: int, cpu: int) -> None:
    os.sched_setaffinity(0, {cpu})

    async def main() -> None:
        loop = asyncio.get_running_loop()
        await loop.create_server(kind, "127.0.0.1", port, backlog=4096)
        await asyncio.Event().wait()

    uvloop.run(main())


# --- clients ---


class RpcCaller(asyncio.Protocol):
    """One call at a time."""

    def __init__(self, over: float, spans: list[float]) -> None:
        self.over, self.spans, self.count = over, spans, 0

    def connection_made(self, transport: Any) -> None:
        self.transport, self.rest, self.done = transport, b"", asyncio.Event()
        self.ask()

    def ask(self) -> None:
        self.count += 1
        self.at = time.perf_counter()
        self.transport.write(
            b'{"jsonrpc":"2.0","method":"page.get","params":{"page":%d},"id":%d}\n' % (self.count, self.count)
        )

    def data_received(self, data: bytes) -> None:
        self.rest += data
        if self.whole():
            self.next(b'"result"' in self.rest)

    def whole(self) -> bool:
        return self.rest.endswith(b"\n")

    def next(self, good: bool) -> None:
        """Note the answer, a refusal as a span below 0, and ask again."""
        span = time.perf_counter() - self.at
        self.spans.append(span if good else -span)
        self.rest = b""
        if time.perf_counter() < self.over:
            self.ask()
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """At the end, or where the sidecar ends it, as it may with a client that it has heard once."""
        self.done.set()


class HttpCaller(RpcCaller):
    def ask(self) -> None:
        self.count += 1
        self.at = time.perf_counter()
        self.transport.write(
            b"GET /read/%d HTTP/1.1\r\nHost: x\r\nReq-Id: %d-%d\r\nReq-Deadline: 5.0\r\n\r\n"
            % (self.count, id(self), self.count)
        )

    def data_received(self, data: bytes) -> None:
        self.rest += data
        if self.whole():
            self.next(self.rest.startswith(b"HTTP/1.1 200"))

    def whole(self) -> bool:
        head, _, body = self.rest.partition(b"\r\n\r\n")
        return b"Content-Length: %d" % len(body) in head


def ask(kind: type[RpcCaller], port: int, clients: int, cpu: int, span: float, out: Any) -> None:
    os.sched_setaffinity(0, {cpu})

    async def main() -> list[float]:
        loop, spans = asyncio.get_running_loop(), list[float]()
        over = time.perf_counter() + span
        made = [(await loop.create_connection(lambda: kind(over, spans), "127.0.0.1", port))[1] for _ in range(clients)]
        await asyncio.gather(*(m.done.wait() for m in made))
        return spans

    out.send(uvloop.run(main()))


# --- the sidecar ---


def operator_text(port: int, ports: list[int]) -> str:
    """An operator file with one service."""
    endpoints = ", ".join(f'"127.0.0.1:{p}"' for p in ports)
    return f"""
version = 1
[services.bench]
protocol = "jsonrpc"
listen = "127.0.0.1:{port}"
endpoints = [{endpoints}]
connect_timeout_ms = 1000
[services.bench.classes.read]
repeat = "idempotent"
aim_ms = 4000
deadline_ms = 5000
[services.bench.methods]
"page.get" = {{ class = "read" }}
"""


@contextlib.contextmanager
def sidecar(tree: Path, rpc: list[int], http: list[int], cpu: int) -> Iterator[tuple[int, int, int]]:
    """Its process id, its JSON-RPC port and its HTTP port."""
    rpc_port, http_port = free_port(), free_port()
    with tempfile.TemporaryDirectory() as folder:
        classes = [{"name": "read", "aim": 1000.0, "deadline": 5000.0, "repeat": "idempotent"}]
        limits = {"attempts-cap": 3, "cancel": True, "second-copies": True, "dial-timeout": 250.0}
        hosts = [
            {
                "host": f"e{p}",
                "dial": f"127.0.0.1:{p}",
                "site": "a",
                "block": 0,
                "health": "in_service",
                "share": 1.0,
                "born_ms": 0,
            }
            for p in http
        ]
        config = Path(folder) / "config.json"
        config.write_text(
            json.dumps(
                {
                    "listen": f"127.0.0.1:{http_port}",
                    "discovery": "127.0.0.1:9",
                    "seed": "1",
                    "limits": {"sockets": 4096},
                    "known": {"seq": 1, "whole": True, "hosts": hosts},
                    "settings": {"classes": classes, "limits": limits, "registry-mode": "on_request", "zones": ["a"]},
                }
            )
        )
        operator = Path(folder) / "operator.toml"
        operator.write_text(operator_text(rpc_port, rpc))
        env = os.environ | {"LB_CONFIG": str(config)}
        if rpc:
            env["ZINCLEVER_OPERATOR"] = str(operator)
        pid = os.posix_spawn(
            "/usr/bin/env",
            [
                "env",
                "-C",
                str(tree),
                "taskset",
                "-c",
                str(cpu),
                sys.executable,
                "-m",
                "zinclever",
            ],
            env,
        )
        try:
            wait_for(http_port)
            yield pid, rpc_port, http_port
        finally:
            os.kill(pid, signal.SIGKILL)
            os.waitpid(pid, 0)


def wait_for(port: int) -> None:
    while True:
        try:
            socket.create_connection(("127.0.0.1", port)).close()
            return
        except OSError:
            time.sleep(0.05)


def cpu_of(pid: int) -> float:
    """s"""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def memory_of(pid: int) -> float:
    """MB"""
    line = next(x for x in Path(f"/proc/{pid}/status").read_text().splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1]) / 1024.0


def descriptors_of(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


@contextlib.contextmanager
def endpoints(kind: type[asyncio.Protocol], cpu: int, count: int = 2) -> Iterator[list[int]]:
    ports = [free_port() for _ in range(count)]
    made = [multiprocessing.Process(target=serve, args=(kind, p, cpu), daemon=True) for p in ports]
    for process in made:
        process.start()
    for port in ports:
        wait_for(port)
    try:
        yield ports
    finally:
        for process in made:
            process.kill()
            process.join()


def measure(kind: type[RpcCaller], port: int, clients: int, cpu: int, span: float = RUN_FOR) -> list[float]:
    """Spans of all calls of so many s, in s, sorted; those below 0 were refused."""
    mine, theirs = multiprocessing.Pipe()
    process = multiprocessing.Process(target=ask, args=(kind, port, clients, cpu, span, theirs))
    process.start()
    spans: list[float] = mine.recv()
    process.join()
    return sorted(spans)


def words(told: list[float], cpu: float) -> str:
    spans = [s for s in told if s >= 0.0]
    p50, p99 = (1e3 * spans[int(len(spans) * q)] for q in (0.5, 0.99))
    return (
        f"{len(spans) / RUN_FOR:8.0f} calls/s   CPU {1e6 * cpu / len(spans):5.0f} us a call   "
        f"p50 {p50:6.2f} ms   p99 {p99:6.2f} ms   refused {len(told) - len(spans)}"
    )


def rates() -> None:
    """Every way in turn, so that a slow moment of the machine falls on all."""
    with (
        endpoints(RpcEcho, 6) as rpc,
        endpoints(HttpEcho, 6) as http,
        sidecar(ROOT, rpc, http, 4) as (pid, rpc_port, http_port),
    ):
        ways: dict[str, tuple[type[RpcCaller], int]] = {
            "JSON-RPC, direct": (RpcCaller, rpc[0]),
            "JSON-RPC, sidecar": (RpcCaller, rpc_port),
            "HTTP, direct": (HttpCaller, http[0]),
            "HTTP, sidecar": (HttpCaller, http_port),
        }
        for clients in (1, 32, 256):
            print(f"{clients} clients")
            for n in range(ROUNDS):
                for name, (kind, port) in ways.items():
                    before = cpu_of(pid)
                    spans = measure(kind, port, clients, 5)
                    if n == ROUNDS - 1:
                        print(f"  {name:18}{words(spans, cpu_of(pid) - before)}")


def compare(other: Path) -> None:
    """The HTTP service of this tree and of another, in turns that rotate; the other one twice, so that the
    noise shows."""
    trees = {"this": ROOT, "other": other, "other again": other}
    rates: dict[str, list[float]] = {name: [] for name in trees}
    used: dict[str, list[float]] = {name: [] for name in trees}
    with endpoints(HttpEcho, 6) as http, contextlib.ExitStack() as stack:
        made = {name: stack.enter_context(sidecar(tree, [], http, 4)) for name, tree in trees.items()}
        names = list(trees)
        for n in range(COMPARED):
            for name in names[n % 3 :] + names[: n % 3]:
                pid, _, port = made[name]
                before = cpu_of(pid)
                spans = measure(HttpCaller, port, 32, 5, 1.0)
                rates[name].append(len(spans))
                used[name].append(1e6 * (cpu_of(pid) - before) / len(spans))
    for name in names:
        rate, cpu = (statistics.median(x[name]) / statistics.median(x["other"]) for x in (rates, used))
        print(
            f"{name:12} {statistics.median(rates[name]):.0f} requests/s ({rate:.3f} of other), "
            f"CPU {statistics.median(used[name]):.1f} us a request ({cpu:.3f})"
        )


class SendAll(Balancer):
    """Puts every call on an endpoint in turn: the real one would hold most back."""

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        if isinstance(event, interface.MembershipUpdate):
            self.names = itertools.cycle([e.endpoint for e in event.entries])
        elif isinstance(event, interface.RequestArrived):
            return [interface.Send(event.request, next(self.names), 0.0)]
        return []


def serve_all(port: int, ports: list[int], cpu: int) -> None:
    """A JSON-RPC service in a process of its own round that balancer."""
    os.sched_setaffinity(0, {cpu})

    async def main() -> None:
        (told,) = build(check_operator(operator_text(port, ports).encode()).clean).services.values()
        made = JsonRpc(told, 1, Descriptors(4096), System())
        made.dispatcher.balancer = SendAll(told.settings, 1)
        await made.service.listen()
        await asyncio.Event().wait()

    uvloop.run(main())


def held() -> None:
    """10,000 calls in flight at once, from 20 clients on 2 endpoints that hold each for a second."""
    port = free_port()
    with endpoints(RpcSilent, 6) as rpc:
        process = multiprocessing.get_context("spawn").Process(target=serve_all, args=(port, rpc, 4))
        process.start()
        pid = process.pid
        assert pid is not None
        wait_for(port)
        print(f"idle: {memory_of(pid):.1f} MB, {descriptors_of(pid)} descriptors")

        async def main() -> None:
            streams = [await asyncio.open_connection("127.0.0.1", port, limit=1 << 22) for _ in range(20)]
            await asyncio.gather(*(one_round(r, w, pid, n == 0) for n, (r, w) in enumerate(streams)))

        uvloop.run(main())
        print(f"after: {memory_of(pid):.1f} MB, {descriptors_of(pid)} descriptors")
        process.kill()
        process.join()


async def one_round(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, pid: int, look: bool) -> None:
    for n in range(500):
        writer.write(b'{"jsonrpc":"2.0","method":"page.get","params":{"page":%d},"id":%d}\n' % (n, n))
    if look:
        await asyncio.sleep(0.8)
        print(f"held: {memory_of(pid):.1f} MB, {descriptors_of(pid)} descriptors")
    for n in range(500):
        assert "result" in json.loads(await reader.readline())
        if look and n == 0:
            print(f"first answer: {memory_of(pid):.1f} MB")


def growth() -> None:
    """A million calls: memory at each tenth."""
    with endpoints(RpcEcho, 6) as rpc, endpoints(HttpEcho, 6) as http, sidecar(ROOT, rpc, http, 4) as (pid, port, _):
        calls = 0
        while calls < 1_000_000:
            calls += len(measure(RpcCaller, port, 64, 5))
            print(f"{calls:8} calls: {memory_of(pid):.2f} MB, {descriptors_of(pid)} descriptors")


def main() -> None:
    match sys.argv[1:]:
        case ["rates"]:
            rates()
        case ["held"]:
            held()
        case ["growth"]:
            growth()
        case ["http", folder]:
            compare(Path(folder).resolve())
        case _:
            sys.exit(__doc__)


if __name__ == "__main__":
    main()
