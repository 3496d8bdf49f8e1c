"""Cost of one HTTP request in the sidecar, compared with a bare relay in the same run, and a profile.

    python -m benchmarks.request            # CPU time per request and latency, sidecar and relay in turn
    python -m benchmarks.request DIR ...    # also the sidecars of other checkouts
    python -m benchmarks.request profile    # profile of the sidecar by function

The relay parses requests and responses with httptools on uvloop, reuses connections, and has no balancing logic.
"""

from __future__ import annotations

import asyncio
import contextlib
import cProfile
import io
import multiprocessing
import os
import pstats
import statistics
import sys
from collections import deque
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import httptools
import uvloop

from zinclever import Balancer, interface
from zinclever.core.descriptors import Descriptors
from zinclever.core.dispatcher import Dispatcher
from zinclever.discovery.fixed import StaticEndpoints
from zinclever.http1.frontend import Frontend
from zinclever.http1.wire import HttpWire
from zinclever.system import System

from .jsonrpc import ROOT, HttpCaller, HttpEcho, cpu_of, endpoints, free_port, measure, sidecar, wait_for

ROUNDS = 12
SPAN = 1.0  # s of each measurement
MANY_CLIENTS = 32


class Upstream(asyncio.Protocol):
    """A connection of the relay to an endpoint, for one request at a time."""

    def __init__(self, idle: deque[Upstream]) -> None:
        self.idle = idle
        self.parser = httptools.HttpResponseParser(self)
        self.client: Downstream | None = None

    def connection_made(self, transport: Any) -> None:
        """Stores the transport."""
        self.transport = transport

    def send(self, client: Downstream, data: bytes) -> None:
        """Sends a request for a client."""
        self.client, self.body = client, b""
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Parses data of the response."""
        self.parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        """Collects the body of the response."""
        self.body += body

    def on_message_complete(self) -> None:
        """Passes the response on to the client and becomes idle."""
        client, self.client = self.client, None
        self.idle.append(self)
        if client is not None:
            client.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(self.body), self.body))


class Downstream(asyncio.Protocol):
    """A connection of a client to the relay."""

    def __init__(self, ports: list[int], idle: deque[Upstream]) -> None:
        self.ports, self.idle = ports, idle
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: Any) -> None:
        """Stores the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses data of the request."""
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Begins a request."""
        self.lines: list[bytes] = []

    def on_url(self, url: bytes) -> None:
        """Stores the request's target."""
        self.url = url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self.lines.append(b"%b: %b\r\n" % (name, value))

    def on_message_complete(self) -> None:
        """Passes the request on over an idle connection, or a new one."""
        data = b"GET %b HTTP/1.1\r\n%b\r\n" % (self.url, b"".join(self.lines))
        if self.idle:
            self.idle.popleft().send(self, data)
        else:
            self.dialling = asyncio.ensure_future(self.dial(data))

    async def dial(self, data: bytes) -> None:
        """Sends a request over a new connection."""
        loop = asyncio.get_running_loop()
        port = self.ports[id(self) % len(self.ports)]
        _, upstream = await loop.create_connection(lambda: Upstream(self.idle), "127.0.0.1", port)
        upstream.send(self, data)


def relay_on(port: int, ports: list[int], cpu: int) -> None:
    """Runs the relay on a port, bound to one CPU."""
    os.sched_setaffinity(0, {cpu})

    async def main() -> None:
        idle: deque[Upstream] = deque()
        await asyncio.get_running_loop().create_server(lambda: Downstream(ports, idle), "127.0.0.1", port, backlog=1024)
        await asyncio.Event().wait()

    uvloop.run(main())


@contextlib.contextmanager
def relay(ports: list[int], cpu: int) -> Iterator[tuple[int, int]]:
    """Runs the relay in its own process; yields its process id and port."""
    port = free_port()
    process = multiprocessing.Process(target=relay_on, args=(port, ports, cpu), daemon=True)
    process.start()
    wait_for(port)
    assert process.pid is not None
    try:
        yield process.pid, port
    finally:
        process.kill()
        process.join()


def compare(trees: dict[str, Path]) -> None:
    """Compares the relay and the sidecars in rotating order, so that a temporary slowdown affects each of them."""
    with endpoints(HttpEcho, 6) as ports, contextlib.ExitStack() as stack:
        targets = {"relay": stack.enter_context(relay(ports, 4))}
        for name, tree in trees.items():
            pid, _, port = stack.enter_context(sidecar(tree, [], ports, 4))
            targets[name] = pid, port
        names = list(targets)
        for clients in (1, MANY_CLIENTS):
            cpu_times: dict[str, list[float]] = {n: [] for n in names}
            rates: dict[str, list[float]] = {n: [] for n in names}
            p99_times: dict[str, list[float]] = {n: [] for n in names}
            for round_number in range(ROUNDS):
                first = round_number % len(names)
                for name in names[first:] + names[:first]:
                    pid, port = targets[name]
                    before = cpu_of(pid)
                    latencies = measure(HttpCaller, port, clients, 5, SPAN)
                    assert all(s >= 0.0 for s in latencies)
                    cpu_times[name].append(1e6 * (cpu_of(pid) - before) / len(latencies))
                    rates[name].append(len(latencies) / SPAN)
                    p99_times[name].append(1e3 * latencies[int(0.99 * len(latencies))])
            for name in names:
                cpu, per_s, p99 = (statistics.median(x[name]) for x in (cpu_times, rates, p99_times))
                ratio = cpu / statistics.median(cpu_times["relay"])
                print(
                    f"{clients:3} clients  {name:12} CPU {cpu:6.1f} us a request ({ratio:.2f} of the relay)  "
                    f"{per_s:6.0f}/s  p99 {p99:.2f} ms",
                    flush=True,
                )


def profile_on(port: int, ports: list[int], cpu: int, out: Any) -> None:
    """Runs a sidecar on a port, bound to one CPU, and sends its profile through a pipe."""
    os.sched_setaffinity(0, {cpu})
    limits = interface.Limits(max_attempts=3, cancel=True, second_copies=True, connect_timeout=250.0)
    settings = interface.Settings(
        classes=(interface.RequestClass(1000.0, 5000.0, repeat="idempotent", name="read"),), limits=limits
    )

    async def main() -> None:
        descriptors = Descriptors(4096)
        listed = [(interface.ListedEndpoint(f"e{p}"), ("127.0.0.1", p)) for p in ports]
        dispatcher = Dispatcher(
            Balancer(settings, 1),
            HttpWire(descriptors, System()),
            lambda on: StaticEndpoints(listed, on),
            descriptors,
            System(),
        )
        frontend = Frontend(dispatcher)
        await asyncio.get_running_loop().create_server(frontend.connection, "127.0.0.1", port)
        dispatcher.start()
        await asyncio.sleep(2.0)
        profiler = cProfile.Profile()
        profiler.enable()
        await asyncio.sleep(3.0)
        profiler.disable()
        text = io.StringIO()
        pstats.Stats(profiler, stream=text).sort_stats("tottime").print_stats(45)
        out.send(text.getvalue())

    uvloop.run(main())


def profile() -> None:
    """Prints the profile of a sidecar under load."""
    with endpoints(HttpEcho, 6) as ports:
        port = free_port()
        receiver, sender = multiprocessing.Pipe()
        process = multiprocessing.Process(target=profile_on, args=(port, ports, 4, sender), daemon=True)
        process.start()
        wait_for(port)
        measure(HttpCaller, port, MANY_CLIENTS, 5, 6.0)
        print(receiver.recv())
        process.join()


def main() -> None:
    """Runs the comparison, or the profile if the command line asks for it."""
    if sys.argv[1:] == ["profile"]:
        profile()
    else:
        compare({"this": ROOT} | {Path(d).name: Path(d) for d in sys.argv[1:]})


if __name__ == "__main__":
    main()
