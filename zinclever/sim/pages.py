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
from .core import Job, ProcessorCore, WarmUp
from .model import ServerKind

if TYPE_CHECKING:
    from .scene import BaseWorld

PORT = 8080
MS = NS // 1000
FaultPlan = Callable[[Random], Fault]
REASONS = {200: b"OK", 500: b"Internal Server Error", 503: b"Service Unavailable"}
MALFORMED_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nxxxx"


def no_fault(rng: Random) -> Fault:
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
        self.started_at_ms = world.unix_ms() if cold else 0.0
        warming = WarmUp(world.now(), kind.cold_share, round(kind.cold_s * NS)) if cold else None
        self.core = ProcessorCore(world.scheduler, speed, warming)
        self.recent_keys: OrderedDict[str, int] = OrderedDict()
        """Those met lately, and until when they are remembered, in ns."""
        self.connections: dict[ServerConnection, None] = {}
        self.busy_slots = 0
        self.queued: deque[Request] = deque()
        self.health: Literal["ready", "draining", "gone"] = "ready"
        self.overloaded = self.silent = False
        self.plan: FaultPlan = no_fault
        self.recent_work: deque[tuple[int, float]] = deque()
        """Instants, and work, of what a cold server has been sent within the window of the rule."""
        self.recent_work_total = 0.0
        self.reported_queue, self.next_report_at = 0, -1
        self.pending_reports: deque[tuple[int, int]] = deque()
        """Load reports that are not out yet: from when on, in ns, and the queue."""
        self.reporting = 0
        if cold:
            # The capacity is told to the auditor as work: s of it in a second.
            world.log.started.append(Started(world.now_ms(), self.name, speed))

    async def listen(self) -> None:
        server = await self.loop.create_server(lambda: ServerConnection(self), self.machine.address, PORT, backlog=1024)
        server.listener.admits = self.admits

    def admits(self) -> Literal["yes", "refused", "silent"]:
        self.world.counts.count_handshake(self.name)
        return "yes" if len(self.connections) < self.world.day.servers.connections else "silent"

    def is_serving(self) -> bool:
        """Whether what it can do is of use to new requests."""
        return self.health == "ready" and not self.loop.dead and self.machine.up and not self.silent

    # --- its life ---

    def end(self) -> None:
        """The process is no more: its connections are reset, new ones refused."""
        self.health = "gone"
        self.core.stop()
        self.queued.clear()
        self.loop.die()
        self.machine.listeners.clear()

    def crash_from_overload(self) -> None:
        """Pushed over while cold: it stays down."""
        self.overloaded = True
        self.world.counts.overloaded_servers.append(self.name)
        self.end()

    # --- requests ---

    def record_work(self, work: float) -> None:
        """A cold server is sent work: more than a multiple of what it can do, for long enough, pushes it over."""
        warming = self.core.warming
        now = self.world.now()
        if warming is None or now >= warming.started_at + warming.duration:
            return
        rules = self.world.day.rules
        self.recent_work.append((now, work))
        self.recent_work_total += work
        while self.recent_work[0][0] <= now - rules.fall_ms * MS:
            self.recent_work_total -= self.recent_work.popleft()[1]
        limit = rules.fall_multiple * self.core.current_speed() * rules.fall_ms / 1000.0
        if self.recent_work_total > limit:
            self.crash_from_overload()

    def receive(self, request: Request) -> None:
        """A whole request has come."""
        world = self.world
        fault = Fault.NONE
        if self.plan is not no_fault:
            # Of its own seed: what befalls a request stays when others are left out of the day.
            fault = self.plan(Random(f"{world.day.seed}/fault/{request.id}/{self.name}"))
        if self.silent and fault is Fault.NONE:
            fault = Fault.SILENCE
        if fault is Fault.NONE and self.busy_slots >= self.kind.slots and len(self.queued) >= self.kind.queue:
            fault = Fault.DECLINE
        if fault is Fault.NONE and self.rng.random() < world.day.servers.error_rate:
            fault = Fault.ERROR
        request.fault = fault
        request.execution_id = f"{self.name}#{world.next_execution_number()}" if fault not in UNDONE else ""
        world.log.received.append(
            Received(
                request.first_byte_at,
                world.now_ms(),
                request.id,
                self.name,
                self.dedup_group(request),
                fault not in UNDONE,
                fault is Fault.DECLINE,
                request.execution_id,
                request.sidecar,
                request.work,
            )
        )
        world.counts.count_request(self.name)
        self.record_work(request.work)
        if self.loop.dead or fault in (Fault.SILENCE, Fault.SWALLOW):
            return
        if fault is Fault.BREAK_BEFORE:
            request.connection.transport.abort()
        elif fault is Fault.DECLINE:
            request.connection.answer(request, 503, b"", b"Srv-Declined: 1\r\n")
        elif self.busy_slots < self.kind.slots:
            self.start_request(request)
        else:
            self.queued.append(request)

    def dedup_group(self, request: Request) -> str:
        """What the auditor compares of a keyed request's endpoints: the group that drops its repeats."""
        return f"{self.machine.zone}/{self.cell}" if request.group == "cell" else self.machine.zone

    def start_request(self, request: Request) -> None:
        """It gets a slot: it waits on others, then for the processor."""
        self.busy_slots += 1
        request.has_slot = True
        io_time = self.rng.expovariate(1.0) * request.io_time
        request.io_wait = self.world.scheduler.after(round(io_time * NS), self.start_processing, request)

    def start_processing(self, request: Request) -> None:
        request.io_wait = None
        work = request.work * (1.0 - self.cache_saving(request.key))
        request.job = self.core.add(work, lambda: self.finish(request))

    def cache_saving(self, key: str) -> float:
        """The share of the work that the cache spares."""
        if not key:
            return 0.0
        settings, now = self.world.day.servers, self.world.now()
        is_cached = self.recent_keys.pop(key, 0) > now
        self.recent_keys[key] = now + round(settings.key_s * NS)
        if len(self.recent_keys) > settings.keys_kept:
            self.recent_keys.popitem(last=False)
        return settings.key_saving if is_cached else 0.0

    def finish(self, request: Request) -> None:
        self.release_slot(request)
        execution_id = request.execution_id.encode()
        connection = request.connection
        if request.fault is Fault.BREAK_AT:
            connection.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(execution_id))
            connection.transport.close()
        elif request.fault is Fault.SPOILT:
            connection.transport.write(MALFORMED_RESPONSE)
        elif request.fault is Fault.ERROR:
            connection.answer(request, 500, b"")
        else:
            connection.answer(
                request, 200, execution_id, trailing=b"\x00noise" if request.fault is Fault.BEYOND else b""
            )

    def release_slot(self, request: Request) -> None:
        """Its slot goes to the next that waits."""
        request.has_slot = False
        self.busy_slots -= 1
        while self.queued and self.busy_slots < self.kind.slots:
            self.start_request(self.queued.popleft())

    def cancel(self, request: Request) -> None:
        """Whoever asked has gone: work on it stops."""
        if request.io_wait is not None:
            request.io_wait.call_off()
            request.io_wait = None
        if request.job is not None:
            self.core.cancel(request.job)
        if request.has_slot:
            self.release_slot(request)
        elif request in self.queued:
            self.queued.remove(request)

    def reported_load(self) -> int:
        """The queue, as of some time ago."""
        settings, now = self.world.day.servers, self.world.now()
        delay = round((settings.report_delay_ms + self.world.report_delay_ms) * MS)
        if now >= self.next_report_at:
            self.next_report_at = now + round(settings.report_ms * MS)
            self.pending_reports.append((now + delay, len(self.queued) + len(self.core.jobs)))
        while self.pending_reports and self.pending_reports[0][0] <= now:
            self.reported_queue = self.pending_reports.popleft()[1]
        return self.reported_queue


class Request:
    """One that is coming in, or has come, on a connection."""

    __slots__ = (
        "connection",
        "execution_id",
        "fault",
        "first_byte_at",
        "group",
        "has_slot",
        "id",
        "io_time",
        "io_wait",
        "job",
        "key",
        "sidecar",
        "work",
    )

    def __init__(self, connection: ServerConnection, first_byte_at: float) -> None:
        self.connection, self.first_byte_at = connection, first_byte_at
        self.id = self.key = self.execution_id = self.group = self.sidecar = ""
        self.work = self.io_time = 0.0
        self.fault = Fault.NONE
        self.job: Job | None = None
        self.io_wait: Any = None
        self.has_slot = False


class ServerConnection(asyncio.Protocol):
    """One request at a time, as sidecars send them."""

    transport: asyncio.Transport

    def __init__(self, server: PageServer) -> None:
        self.server = server
        self.parser: Any = httptools.HttpRequestParser(self)
        self.request: Request | None = None
        self.incoming: Request | None = None
        self.usable_from = 0
        self.idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        server = self.server
        server.connections[self] = None
        settings = server.world.day.servers
        if settings.handshake_ms:
            server.core.add(settings.handshake_ms / 1000.0, on_handshake_done)
        network = server.machine.network
        way = network.way(server.machine, network.machines[transport.get_extra_info("peername")[0]])
        self.usable_from = server.world.now() + round(2 * settings.handshake_trips * way.latency * NS)
        self.start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.pop(self, None)
        self.parser = None
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        if self.request is not None:
            self.server.cancel(self.request)

    def data_received(self, data: bytes) -> None:
        if self.incoming is None and self.request is None:
            self.incoming = Request(self, self.server.world.now_ms())
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.server.world.counts.malformed += 1
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        if self.incoming is not None:
            request_kind = self.server.world.classes.get(url.decode().lstrip("/").partition("/")[0])
            if request_kind is not None:
                self.incoming.io_time, self.incoming.group = request_kind.io_ms / 1000.0, request_kind.group

    def on_header(self, name: bytes, value: bytes) -> None:
        request, lower_name = self.incoming, name.lower()
        if request is None:
            return
        if lower_name == b"req-id":
            request.id = value.decode()
        elif lower_name == b"req-cost":
            request.work = float(value) / 1e6
        elif lower_name == b"cookie":
            request.key = value.decode().removeprefix("key=")

    def on_message_complete(self) -> None:
        request, self.incoming = self.incoming, None
        if request is None:
            self.server.world.counts.malformed += 1
            self.transport.abort()
            return
        self.request = request
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None
        request.sidecar = self.server.world.machine_names.get(self.transport.get_extra_info("peername")[0], "")
        delay = self.usable_from - self.server.world.now()
        if delay > 0:
            self.server.loop.call_later(delay / NS, self.receive, request)
        else:
            self.server.receive(request)

    def receive(self, request: Request) -> None:
        """The handshake is over. Who has gone meanwhile has sent nothing."""
        if self.request is request and not self.transport.is_closing():
            self.server.receive(request)

    def answer(self, request: Request, status: int, body: bytes, headers: bytes = b"", trailing: bytes = b"") -> None:
        if self.request is not request or self.transport.is_closing():
            return
        self.request = None
        self.transport.write(
            b'HTTP/1.1 %d %b\r\nContent-Length: %d\r\nSrv-Load: {"queue":%d}\r\n%b\r\n%b%b'
            % (status, REASONS[status], len(body), self.server.reported_load(), headers, body, trailing)
        )
        self.start_idle_timer()

    def start_idle_timer(self) -> None:
        """Idle from now on."""
        self.idle_timer = self.server.loop.call_later(self.server.world.day.servers.idle_s, self.close_if_idle)

    def close_if_idle(self) -> None:
        if self.request is None:
            self.transport.close()


def on_handshake_done() -> None:
    """A handshake is over."""
