"""Page servers: HTTP/1.1 on a simulated machine, with cores, slots, a queue, cold starts, caches, faults of all kinds.

The vocabulary of faults is that of the stand-ins on real sockets: :class:`~zinclever.standins.faults.Fault`.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any, Literal, cast

import httptools

from ..simnet.network import Machine
from ..simnet.scheduler import NS
from ..standins.faults import UNDONE, Fault
from ..standins.log import Received, Started
from .core import Core, Job, Warming
from .model import ServerKind

if TYPE_CHECKING:
    from .scene import BaseWorld

PORT = 8080
MS = NS // 1000
Plan = Callable[[Random], Fault]
REASONS = {200: b"OK", 500: b"Internal Server Error", 503: b"Service Unavailable"}
SPOILT = b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nxxxx"


def calm(rng: Random) -> Fault:
    """Nothing goes wrong of itself."""
    return Fault.NONE


class PageServer:
    """One server, from its start to its end; a process that comes after it on the same machine is another one."""

    def __init__(self, world: BaseWorld, machine: Machine, kind: ServerKind, cell: int, cold: bool) -> None:
        self.world, self.machine, self.kind, self.cell = world, machine, kind, cell
        self.name = machine.name
        self.rng = Random(f"{world.day.seed}/server/{self.name}")
        self.loop = world.process(machine)
        speed = self.rng.uniform(*kind.speed)
        self.born = world.unix_ms() if cold else 0.0
        warming = Warming(world.now(), kind.cold_share, round(kind.cold_s * NS)) if cold else None
        self.core = Core(world.scheduler, speed, warming)
        self.keys: OrderedDict[str, int] = OrderedDict()
        """Those met lately, and until when they are remembered, in ns."""
        self.connections: dict[Connection, None] = {}
        self.working = 0
        self.waiting: deque[Request] = deque()
        self.health: Literal["ready", "draining", "gone"] = "ready"
        self.fallen = self.silent = False
        self.plan: Plan = calm
        self.received: deque[tuple[int, float]] = deque()
        """Instants, and work, of what a cold server has been sent within the window of the rule."""
        self.received_work = 0.0
        self.report, self.report_at = 0, -1
        self.reports: deque[tuple[int, int]] = deque()
        """Load reports that are not out yet: from when on, in ns, and the queue."""
        self.reporting = 0
        if cold:
            # The capacity is told to the auditor as work: s of it in a second.
            world.log.started.append(Started(world.now_ms(), self.name, speed))

    async def listen(self) -> None:
        server = await self.loop.create_server(lambda: Connection(self), self.machine.address, PORT, backlog=1024)
        server.listener.admits = self.admits

    def admits(self) -> Literal["yes", "refused", "silent"]:
        self.world.counts.handshake(self.name)
        return "yes" if len(self.connections) < self.world.day.servers.connections else "silent"

    def serves(self) -> bool:
        """Whether what it can do is of use to new requests."""
        return self.health == "ready" and not self.loop.dead and self.machine.up and not self.silent

    # --- its life ---

    def end(self) -> None:
        """The process is no more: its connections are reset, new ones refused."""
        self.health = "gone"
        self.core.stop()
        self.waiting.clear()
        self.loop.die()
        self.machine.listeners.clear()

    def fall(self) -> None:
        """Pushed over while cold: it stays down."""
        self.fallen = True
        self.world.counts.fallen.append(self.name)
        self.end()

    # --- requests ---

    def push(self, work: float) -> None:
        """A cold server is sent work: more than a multiple of what it can do, for long enough, pushes it over."""
        warming = self.core.warming
        now = self.world.now()
        if warming is None or now >= warming.since + warming.span:
            return
        rules = self.world.day.rules
        self.received.append((now, work))
        self.received_work += work
        while self.received[0][0] <= now - rules.fall_ms * MS:
            self.received_work -= self.received.popleft()[1]
        most = rules.fall_multiple * self.core.rate() * rules.fall_ms / 1000.0
        if self.received_work > most:
            self.fall()

    def take(self, request: Request) -> None:
        """A whole request has come."""
        world = self.world
        fault = Fault.NONE
        if self.plan is not calm:
            # Of its own seed: what befalls a request stays when others are left out of the day.
            fault = self.plan(Random(f"{world.day.seed}/fault/{request.id}/{self.name}"))
        if self.silent and fault is Fault.NONE:
            fault = Fault.SILENCE
        if fault is Fault.NONE and self.working >= self.kind.slots and len(self.waiting) >= self.kind.queue:
            fault = Fault.DECLINE
        if fault is Fault.NONE and self.rng.random() < world.day.servers.error_rate:
            fault = Fault.ERROR
        request.fault = fault
        request.made = f"{self.name}#{world.serial()}" if fault not in UNDONE else ""
        world.log.received.append(
            Received(
                request.first,
                world.now_ms(),
                request.id,
                self.name,
                self.zone_of(request),
                fault not in UNDONE,
                fault is Fault.DECLINE,
                request.made,
                request.via,
                request.work,
            )
        )
        world.counts.received(self.name)
        self.push(request.work)
        if self.loop.dead or fault in (Fault.SILENCE, Fault.SWALLOW):
            return
        if fault is Fault.BREAK_BEFORE:
            request.connection.transport.abort()
        elif fault is Fault.DECLINE:
            request.connection.answer(request, 503, b"", b"Srv-Declined: 1\r\n")
        elif self.working < self.kind.slots:
            self.begin(request)
        else:
            self.waiting.append(request)

    def zone_of(self, request: Request) -> str:
        """What the auditor compares of a keyed request's endpoints: the group that drops its repeats."""
        return f"{self.machine.zone}/{self.cell}" if request.group == "cell" else self.machine.zone

    def begin(self, request: Request) -> None:
        """It gets a slot: it waits on others, then for the processor."""
        self.working += 1
        request.working = True
        span = self.rng.expovariate(1.0) * request.io
        request.waits = self.world.scheduler.after(round(span * NS), self.ready, request)

    def ready(self, request: Request) -> None:
        request.waits = None
        work = request.work * (1.0 - self.saves(request.key))
        request.job = self.core.add(work, lambda: self.done(request))

    def saves(self, key: str) -> float:
        """The share of the work that the cache spares."""
        if not key:
            return 0.0
        told, now = self.world.day.servers, self.world.now()
        known = self.keys.pop(key, 0) > now
        self.keys[key] = now + round(told.key_s * NS)
        if len(self.keys) > told.keys_kept:
            self.keys.popitem(last=False)
        return told.key_saving if known else 0.0

    def done(self, request: Request) -> None:
        self.free(request)
        made = request.made.encode()
        connection = request.connection
        if request.fault is Fault.BREAK_AT:
            connection.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(made))
            connection.transport.close()
        elif request.fault is Fault.SPOILT:
            connection.transport.write(SPOILT)
        elif request.fault is Fault.ERROR:
            connection.answer(request, 500, b"")
        else:
            connection.answer(request, 200, made, behind=b"\x00noise" if request.fault is Fault.BEYOND else b"")

    def free(self, request: Request) -> None:
        """Its slot goes to the next that waits."""
        request.working = False
        self.working -= 1
        while self.waiting and self.working < self.kind.slots:
            self.begin(self.waiting.popleft())

    def cancel(self, request: Request) -> None:
        """Whoever asked has gone: work on it stops."""
        if request.waits is not None:
            request.waits.call_off()
            request.waits = None
        if request.job is not None:
            self.core.call_off(request.job)
        if request.working:
            self.free(request)
        elif request in self.waiting:
            self.waiting.remove(request)

    def load(self) -> int:
        """The queue, as of some time ago."""
        told, now = self.world.day.servers, self.world.now()
        delay = round((told.report_delay_ms + self.world.report_delay_ms) * MS)
        if now >= self.report_at:
            self.report_at = now + round(told.report_ms * MS)
            self.reports.append((now + delay, len(self.waiting) + len(self.core.jobs)))
        while self.reports and self.reports[0][0] <= now:
            self.report = self.reports.popleft()[1]
        return self.report


class Request:
    """One that is coming in, or has come, on a connection."""

    __slots__ = (
        "connection",
        "fault",
        "first",
        "group",
        "id",
        "io",
        "job",
        "key",
        "made",
        "via",
        "waits",
        "work",
        "working",
    )

    def __init__(self, connection: Connection, first: float) -> None:
        self.connection, self.first = connection, first
        self.id = self.key = self.made = self.group = self.via = ""
        self.work = self.io = 0.0
        self.fault = Fault.NONE
        self.job: Job | None = None
        self.waits: Any = None
        self.working = False


class Connection(asyncio.Protocol):
    """One request at a time, as sidecars send them."""

    transport: asyncio.Transport

    def __init__(self, server: PageServer) -> None:
        self.server = server
        self.parser: Any = httptools.HttpRequestParser(self)
        self.request: Request | None = None
        self.coming: Request | None = None
        self.usable_at = 0
        self.idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        server = self.server
        server.connections[self] = None
        told = server.world.day.servers
        if told.handshake_ms:
            server.core.add(told.handshake_ms / 1000.0, nothing)
        network = server.machine.network
        way = network.way(server.machine, network.machines[transport.get_extra_info("peername")[0]])
        self.usable_at = server.world.now() + round(2 * told.handshake_trips * way.latency * NS)
        self.rest()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.pop(self, None)
        self.parser = None
        if self.idle is not None:
            self.idle.cancel()
        if self.request is not None:
            self.server.cancel(self.request)

    def data_received(self, data: bytes) -> None:
        if self.coming is None and self.request is None:
            self.coming = Request(self, self.server.world.now_ms())
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.server.world.counts.malformed += 1
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        if self.coming is not None:
            told = self.server.world.classes.get(url.decode().lstrip("/").partition("/")[0])
            if told is not None:
                self.coming.io, self.coming.group = told.io_ms / 1000.0, told.group

    def on_header(self, name: bytes, value: bytes) -> None:
        request, low = self.coming, name.lower()
        if request is None:
            return
        if low == b"req-id":
            request.id = value.decode()
        elif low == b"req-cost":
            request.work = float(value) / 1e6
        elif low == b"cookie":
            request.key = value.decode().removeprefix("key=")

    def on_message_complete(self) -> None:
        request, self.coming = self.coming, None
        if request is None:
            self.server.world.counts.malformed += 1
            self.transport.abort()
            return
        self.request = request
        if self.idle is not None:
            self.idle.cancel()
            self.idle = None
        request.via = self.server.world.names.get(self.transport.get_extra_info("peername")[0], "")
        later = self.usable_at - self.server.world.now()
        if later > 0:
            self.server.loop.call_later(later / NS, self.take, request)
        else:
            self.server.take(request)

    def take(self, request: Request) -> None:
        """The handshake is over. Who has gone meanwhile has sent nothing."""
        if self.request is request and not self.transport.is_closing():
            self.server.take(request)

    def answer(self, request: Request, status: int, body: bytes, headers: bytes = b"", behind: bytes = b"") -> None:
        if self.request is not request or self.transport.is_closing():
            return
        self.request = None
        self.transport.write(
            b'HTTP/1.1 %d %b\r\nContent-Length: %d\r\nSrv-Load: {"queue":%d}\r\n%b\r\n%b%b'
            % (status, REASONS[status], len(body), self.server.load(), headers, body, behind)
        )
        self.rest()

    def rest(self) -> None:
        """Idle from now on."""
        self.idle = self.server.loop.call_later(self.server.world.day.servers.idle_s, self.close)

    def close(self) -> None:
        if self.request is None:
            self.transport.close()


def nothing() -> None:
    """A handshake is over."""
