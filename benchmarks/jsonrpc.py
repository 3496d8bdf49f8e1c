"""Call rate, CPU time and latency over JSON-RPC and HTTP, with and without a sidecar; memory and its growth.

    python -m benchmarks.jsonrpc rates      # 1, 32 and 256 clients, all four setups in turn
    python -m benchmarks.jsonrpc held       # 10,000 calls in flight
    python -m benchmarks.jsonrpc growth     # a million calls
    python -m benchmarks.jsonrpc http DIR   # the HTTP service of this tree compared with another checkout

Endpoints and clients run in their own processes; the sidecar's CPU time and memory are read from /proc.
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
RUN_TIME = 3.0  # s of each measurement
ROUNDS = 3
COMPARE_ROUNDS = 30  # runs of 1 s for each tree


def free_port() -> int:
    """Returns a port that was free just now."""
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return int(s.getsockname()[1])


# --- endpoints ---


class RpcEcho(asyncio.Protocol):
    """A JSON-RPC endpoint that answers each call at once."""

    def connection_made(self, transport: Any) -> None:
        """Stores the transport and clears the receive buffer."""
        self.transport, self.received = transport, b""

    def data_received(self, data: bytes) -> None:
        """Answers each complete call, a line, and keeps the rest in the buffer."""
        *texts, self.received = (self.received + data).split(b"\n")
        out = []
        for text in texts:
            id = text[text.rindex(b'"id":') + 5 : -1]
            out.append(b'{"jsonrpc":"2.0","id":%b,"result":{"page":"%b"}}\n' % (id, PAGE))
        self.transport.write(b"".join(out))


class RpcSilent(RpcEcho):
    """A JSON-RPC endpoint that answers each call after a second."""

    def data_received(self, data: bytes) -> None:
        """Handles the data a second later."""
        asyncio.get_running_loop().call_later(1.0, super().data_received, data)


PAGE = b"x" * 200


class HttpEcho(asyncio.Protocol):
    """An HTTP endpoint that answers each request at once."""

    def connection_made(self, transport: Any) -> None:
        """Stores the transport and clears the receive buffer."""
        self.transport, self.received = transport, b""

    def data_received(self, data: bytes) -> None:
        """Answers each complete request; requests have no body."""
        self.received += data
        while b"\r\n\r\n" in self.received:
            _, _, self.received = self.received.partition(b"\r\n\r\n")
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(PAGE), PAGE))


def serve(kind: type[asyncio.Protocol], port: int, cpu: int) -> None:
    """Runs an endpoint on a port, bound to one CPU."""
    os.sched_setaffinity(0, {cpu})

    async def main() -> None:
        loop = asyncio.get_running_loop()
        await loop.create_server(kind, "127.0.0.1", port, backlog=4096)
        await asyncio.Event().wait()

    uvloop.run(main())


# --- clients ---


class RpcCaller(asyncio.Protocol):
    """A JSON-RPC client that sends one call at a time until the time ``ends_at``."""

    def __init__(self, ends_at: float, latencies: list[float]) -> None:
        self.ends_at, self.latencies, self.count = ends_at, latencies, 0

    def connection_made(self, transport: Any) -> None:
        """Stores the transport and sends the first call."""
        self.transport, self.received, self.done = transport, b"", asyncio.Event()
        self.send()

    def send(self) -> None:
        """Sends the next call."""
        self.count += 1
        self.sent_at = time.perf_counter()
        self.transport.write(
            b'{"jsonrpc":"2.0","method":"page.get","params":{"page":%d},"id":%d}\n' % (self.count, self.count)
        )

    def data_received(self, data: bytes) -> None:
        """Buffers the data and handles the answer once it is complete."""
        self.received += data
        if self.is_complete():
            self.on_answer(b'"result"' in self.received)

    def is_complete(self) -> bool:
        """Returns whether the answer is complete."""
        return self.received.endswith(b"\n")

    def on_answer(self, good: bool) -> None:
        """Records the latency, negative for a refusal, and sends the next call."""
        span = time.perf_counter() - self.sent_at
        self.latencies.append(span if good else -span)
        self.received = b""
        if time.perf_counter() < self.ends_at:
            self.send()
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the client, also where the sidecar closes the connection, as it may after the first request."""
        self.done.set()


class HttpCaller(RpcCaller):
    """An HTTP client that sends one request at a time."""

    def send(self) -> None:
        """Sends the next request."""
        self.count += 1
        self.sent_at = time.perf_counter()
        self.transport.write(
            b"GET /read/%d HTTP/1.1\r\nHost: x\r\nReq-Id: %d-%d\r\nReq-Deadline: 5.0\r\n\r\n"
            % (self.count, id(self), self.count)
        )

    def data_received(self, data: bytes) -> None:
        """Buffers the data and handles the response once it is complete; any status but 200 is a refusal."""
        self.received += data
        if self.is_complete():
            self.on_answer(self.received.startswith(b"HTTP/1.1 200"))

    def is_complete(self) -> bool:
        """Returns whether the response has all bytes that its Content-Length states."""
        head, _, body = self.received.partition(b"\r\n\r\n")
        return b"Content-Length: %d" % len(body) in head


def run_clients(kind: type[RpcCaller], port: int, clients: int, cpu: int, span: float, result_pipe: Any) -> None:
    """Runs clients on one CPU for ``span`` seconds and sends their latencies through a pipe."""
    os.sched_setaffinity(0, {cpu})

    async def main() -> list[float]:
        loop, latencies = asyncio.get_running_loop(), list[float]()
        ends_at = time.perf_counter() + span
        protocols = [
            (await loop.create_connection(lambda: kind(ends_at, latencies), "127.0.0.1", port))[1]
            for _ in range(clients)
        ]
        await asyncio.gather(*(m.done.wait() for m in protocols))
        return latencies

    result_pipe.send(uvloop.run(main()))


# --- the sidecar ---


def operator_text(port: int, ports: list[int]) -> str:
    """Returns an operator file with one service."""
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
    """Runs the sidecar of a checkout; yields its process id, its JSON-RPC port and its HTTP port."""
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
    """Waits until a port accepts connections."""
    while True:
        try:
            socket.create_connection(("127.0.0.1", port)).close()
            return
        except OSError:
            time.sleep(0.05)


def cpu_of(pid: int) -> float:
    """Returns the CPU time of a process, in s."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def memory_of(pid: int) -> float:
    """Returns the resident memory of a process, in MB."""
    line = next(x for x in Path(f"/proc/{pid}/status").read_text().splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1]) / 1024.0


def descriptors_of(pid: int) -> int:
    """Returns the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


@contextlib.contextmanager
def endpoints(kind: type[asyncio.Protocol], cpu: int, count: int = 2) -> Iterator[list[int]]:
    """Runs endpoints in their own processes; yields their ports."""
    ports = [free_port() for _ in range(count)]
    processes = [multiprocessing.Process(target=serve, args=(kind, p, cpu), daemon=True) for p in ports]
    for process in processes:
        process.start()
    for port in ports:
        wait_for(port)
    try:
        yield ports
    finally:
        for process in processes:
            process.kill()
            process.join()


def measure(kind: type[RpcCaller], port: int, clients: int, cpu: int, span: float = RUN_TIME) -> list[float]:
    """Runs clients for ``span`` seconds; returns the sorted latencies in s, negative for refused calls."""
    receiver, sender = multiprocessing.Pipe()
    process = multiprocessing.Process(target=run_clients, args=(kind, port, clients, cpu, span, sender))
    process.start()
    latencies: list[float] = receiver.recv()
    process.join()
    return sorted(latencies)


def format_results(latencies: list[float], cpu: float) -> str:
    """Formats the results of a measurement of RUN_TIME with ``cpu`` seconds of CPU time."""
    served = [s for s in latencies if s >= 0.0]
    p50, p99 = (1e3 * served[int(len(served) * q)] for q in (0.5, 0.99))
    return (
        f"{len(served) / RUN_TIME:8.0f} calls/s   CPU {1e6 * cpu / len(served):5.0f} us a call   "
        f"p50 {p50:6.2f} ms   p99 {p99:6.2f} ms   refused {len(latencies) - len(served)}"
    )


def rates() -> None:
    """Compares all setups, in turn, so that a temporary slowdown of the machine affects all of them."""
    with (
        endpoints(RpcEcho, 6) as rpc,
        endpoints(HttpEcho, 6) as http,
        sidecar(ROOT, rpc, http, 4) as (pid, rpc_port, http_port),
    ):
        setups: dict[str, tuple[type[RpcCaller], int]] = {
            "JSON-RPC, direct": (RpcCaller, rpc[0]),
            "JSON-RPC, sidecar": (RpcCaller, rpc_port),
            "HTTP, direct": (HttpCaller, http[0]),
            "HTTP, sidecar": (HttpCaller, http_port),
        }
        for clients in (1, 32, 256):
            print(f"{clients} clients")
            for n in range(ROUNDS):
                for name, (kind, port) in setups.items():
                    before = cpu_of(pid)
                    latencies = measure(kind, port, clients, 5)
                    if n == ROUNDS - 1:
                        print(f"  {name:18}{format_results(latencies, cpu_of(pid) - before)}")


def compare(other: Path) -> None:
    """Compares the HTTP service of this tree with another one in rotating order.

    The other tree runs twice, which shows the noise of the measurement.
    """
    trees = {"this": ROOT, "other": other, "other again": other}
    rates: dict[str, list[float]] = {name: [] for name in trees}
    cpu_times: dict[str, list[float]] = {name: [] for name in trees}
    with endpoints(HttpEcho, 6) as http, contextlib.ExitStack() as stack:
        sidecars = {name: stack.enter_context(sidecar(tree, [], http, 4)) for name, tree in trees.items()}
        names = list(trees)
        for n in range(COMPARE_ROUNDS):
            for name in names[n % 3 :] + names[: n % 3]:
                pid, _, port = sidecars[name]
                before = cpu_of(pid)
                latencies = measure(HttpCaller, port, 32, 5, 1.0)
                rates[name].append(len(latencies))
                cpu_times[name].append(1e6 * (cpu_of(pid) - before) / len(latencies))
    for name in names:
        rate, cpu = (statistics.median(x[name]) / statistics.median(x["other"]) for x in (rates, cpu_times))
        print(
            f"{name:12} {statistics.median(rates[name]):.0f} requests/s ({rate:.3f} of other), "
            f"CPU {statistics.median(cpu_times[name]):.1f} us a request ({cpu:.3f})"
        )


class SendAll(Balancer):
    """Sends every call to the endpoints in turn, without the concurrency limits of the real balancer."""

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Sends each request to the next endpoint of the last membership update; ignores all other events."""
        if isinstance(event, interface.MembershipUpdate):
            self.names = itertools.cycle([e.endpoint for e in event.entries])
        elif isinstance(event, interface.RequestArrived):
            return [interface.Send(event.request, next(self.names), 0.0)]
        return []


def serve_all(port: int, ports: list[int], cpu: int) -> None:
    """Runs a JSON-RPC service with the balancer :class:`SendAll`, bound to one CPU."""
    os.sched_setaffinity(0, {cpu})

    async def main() -> None:
        (spec,) = build(check_operator(operator_text(port, ports).encode()).clean).services.values()
        service = JsonRpc(spec, 1, Descriptors(4096), System())
        service.dispatcher.balancer = SendAll(spec.settings, 1)
        await service.service.listen()
        await asyncio.Event().wait()

    uvloop.run(main())


def held() -> None:
    """Prints memory and descriptors with 10,000 calls in flight, from 20 clients to 2 endpoints that take a second."""
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


async def one_round(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, pid: int, reports: bool) -> None:
    """Sends 500 calls on one connection and reads their answers."""
    for n in range(500):
        writer.write(b'{"jsonrpc":"2.0","method":"page.get","params":{"page":%d},"id":%d}\n' % (n, n))
    if reports:
        await asyncio.sleep(0.8)
        print(f"held: {memory_of(pid):.1f} MB, {descriptors_of(pid)} descriptors")
    for n in range(500):
        assert "result" in json.loads(await reader.readline())
        if reports and n == 0:
            print(f"first answer: {memory_of(pid):.1f} MB")


def growth() -> None:
    """Prints memory and descriptors after every measurement until a million calls are done."""
    with endpoints(RpcEcho, 6) as rpc, endpoints(HttpEcho, 6) as http, sidecar(ROOT, rpc, http, 4) as (pid, port, _):
        calls = 0
        while calls < 1_000_000:
            calls += len(measure(RpcCaller, port, 64, 5))
            print(f"{calls:8} calls: {memory_of(pid):.2f} MB, {descriptors_of(pid)} descriptors")


def main() -> None:
    """Runs the benchmark named on the command line."""
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
