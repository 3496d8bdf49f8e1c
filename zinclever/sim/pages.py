"""The upstream HTTP/1.1 servers: processor, concurrency limit, queue, cold start, key cache and injected faults.

The faults are those of the test servers on real sockets: :class:`~zinclever.standins.faults.Fault`.
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
"""Draws the fault of one request."""
REASONS = {200: b"OK", 500: b"Internal Server Error", 503: b"Service Unavailable"}
MALFORMED_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nxxxx"


def no_fault(rng: Random) -> Fault:
    """The default fault plan: no request fails."""
    return Fault.NONE


class UpstreamServer:
    """One server process; a process that is started later on the same machine is another instance."""

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
        """The key cache: recently requested keys and the instants in ns at which they expire."""
        self.connections: dict[ServerConnection, None] = {}
        self.busy_slots = 0
        self.queued: deque[Request] = deque()
        self.health: Literal["ready", "draining", "gone"] = "ready"
        self.overloaded = self.silent = False
        self.plan: FaultPlan = no_fault
        self.recent_work: deque[tuple[int, float]] = deque()
        """While cold: instant in ns and work of each request received within the window of the overload rule."""
        self.recent_work_total = 0.0
        self.reported_queue, self.next_report_at = 0, -1
        self.pending_reports: deque[tuple[int, int]] = deque()
        """Load reports that are not visible yet: the instant in ns from which they are sent, and the queue length."""
        self.reporting = 0
        if cold:
            # The auditor's capacity is in seconds of work per second, as the work of requests is in seconds.
            world.log.started.append(Started(world.now_ms(), self.name, speed))

    async def listen(self) -> None:
        """Accept connections on the server's port."""
        server = await self.loop.create_server(lambda: ServerConnection(self), self.machine.address, PORT, backlog=1024)
        server.listener.admits = self.admits

    def admits(self) -> Literal["yes", "refused", "silent"]:
        """Decide on a new connection; beyond the connection limit, it gets no answer."""
        self.world.counts.count_handshake(self.name)
        return "yes" if len(self.connections) < self.world.day.servers.connections else "silent"

    def is_serving(self) -> bool:
        """Return whether the server can answer new requests."""
        return self.health == "ready" and not self.loop.dead and self.machine.up and not self.silent

    # --- end of the process ---

    def end(self) -> None:
        """End the process: its connections are reset and new ones refused."""
        self.health = "gone"
        self.core.stop()
        self.queued.clear()
        self.loop.die()
        self.machine.listeners.clear()

    def crash_from_overload(self) -> None:
        """Crash because of overload while cold; the server is not restarted."""
        self.overloaded = True
        self.world.counts.overloaded_servers.append(self.name)
        self.end()

    # --- requests ---

    def record_work(self, work: float) -> None:
        """Count work sent to a cold server; it crashes if it gets a multiple of its capacity over the rule's window."""
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
        """Handle a complete request: choose its fault, log it, then start, queue or reject it."""
        world = self.world
        fault = Fault.NONE
        if self.plan is not no_fault:
            # Each request has its own seed, so its fault stays the same if others are removed from the day.
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
        """Return the group of servers that discards duplicates of the request; the auditor compares it."""
        return f"{self.machine.zone}/{self.cell}" if request.group == "cell" else self.machine.zone

    def start_request(self, request: Request) -> None:
        """Give the request a slot; it first waits for the server's dependencies, then for the processor."""
        self.busy_slots += 1
        request.has_slot = True
        io_time = self.rng.expovariate(1.0) * request.io_time
        request.io_wait = self.world.scheduler.after(round(io_time * NS), self.start_processing, request)

    def start_processing(self, request: Request) -> None:
        """Queue the request's work at the processor."""
        request.io_wait = None
        work = request.work * (1.0 - self.cache_saving(request.key))
        request.job = self.core.add(work, lambda: self.finish(request))

    def cache_saving(self, key: str) -> float:
        """Return the fraction of the work that the cache saves, and add the key to the cache."""
        if not key:
            return 0.0
        settings, now = self.world.day.servers, self.world.now()
        is_cached = self.recent_keys.pop(key, 0) > now
        self.recent_keys[key] = now + round(settings.key_s * NS)
        if len(self.recent_keys) > settings.keys_kept:
            self.recent_keys.popitem(last=False)
        return settings.key_saving if is_cached else 0.0

    def finish(self, request: Request) -> None:
        """Answer a processed request, or fail in the way of its fault."""
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
        """Free the request's slot and start queued requests."""
        request.has_slot = False
        self.busy_slots -= 1
        while self.queued and self.busy_slots < self.kind.slots:
            self.start_request(self.queued.popleft())

    def cancel(self, request: Request) -> None:
        """Stop work on a request whose client has disconnected."""
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
        """Return the queue length in the current load report, which is updated periodically and sent with a delay."""
        settings, now = self.world.day.servers, self.world.now()
        delay = round((settings.report_delay_ms + self.world.report_delay_ms) * MS)
        if now >= self.next_report_at:
            self.next_report_at = now + round(settings.report_ms * MS)
            self.pending_reports.append((now + delay, len(self.queued) + len(self.core.jobs)))
        while self.pending_reports and self.pending_reports[0][0] <= now:
            self.reported_queue = self.pending_reports.popleft()[1]
        return self.reported_queue


class Request:
    """A request that is being received or processed on a connection."""

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
    """A server-side connection with at most one request in flight; sidecars do not pipeline requests."""

    transport: asyncio.Transport

    def __init__(self, server: UpstreamServer) -> None:
        self.server = server
        self.parser: Any = httptools.HttpRequestParser(self)
        self.request: Request | None = None
        self.incoming: Request | None = None
        self.usable_from = 0
        self.idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Charge the handshake to the processor and compute the instant from which the connection can be used."""
        self.transport = cast(asyncio.Transport, transport)
        server = self.server
        server.connections[self] = None
        settings = server.world.day.servers
        if settings.handshake_ms:
            server.core.add(settings.handshake_ms / 1000.0, on_handshake_done)
        network = server.machine.network
        path = network.way(server.machine, network.machines[transport.get_extra_info("peername")[0]])
        self.usable_from = server.world.now() + round(2 * settings.handshake_trips * path.latency * NS)
        self.start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in flight."""
        self.server.connections.pop(self, None)
        self.parser = None
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        if self.request is not None:
            self.server.cancel(self.request)

    def data_received(self, data: bytes) -> None:
        """Parse a part of a request."""
        if self.incoming is None and self.request is None:
            self.incoming = Request(self, self.server.world.now_ms())
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.server.world.counts.malformed += 1
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        """Look up the request's class by the first part of the path."""
        if self.incoming is not None:
            request_kind = self.server.world.classes.get(url.decode().lstrip("/").partition("/")[0])
            if request_kind is not None:
                self.incoming.io_time, self.incoming.group = request_kind.io_ms / 1000.0, request_kind.group

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read the request's identifier, work and key."""
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
        """Pass the request to the server, once the handshake is over."""
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
        """Pass on a request that had to wait for the handshake, unless the client has disconnected."""
        if self.request is request and not self.transport.is_closing():
            self.server.receive(request)

    def answer(self, request: Request, status: int, body: bytes, headers: bytes = b"", trailing: bytes = b"") -> None:
        """Write a response with a load report; ``trailing`` is sent after its body, as a fault."""
        if self.request is not request or self.transport.is_closing():
            return
        self.request = None
        self.transport.write(
            b'HTTP/1.1 %d %b\r\nContent-Length: %d\r\nSrv-Load: {"queue":%d}\r\n%b\r\n%b%b'
            % (status, REASONS[status], len(body), self.server.reported_load(), headers, body, trailing)
        )
        self.start_idle_timer()

    def start_idle_timer(self) -> None:
        """Start the idle timeout."""
        self.idle_timer = self.server.loop.call_later(self.server.world.day.servers.idle_s, self.close_if_idle)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in flight."""
        if self.request is None:
            self.transport.close()


def on_handshake_done() -> None:
    """Do nothing: the processing time of a handshake has no effect other than to occupy the processor."""
