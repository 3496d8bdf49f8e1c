"""What the mesh's state and messages cost, over hollow processes that share this one, in simulated time.

Each function measures one point; :mod:`benchmarks.capacity` draws the lines. Hollow processes are the gossip, the
replicas and the records of the program itself, without sockets.
"""

from __future__ import annotations

import asyncio
import gc
import json
import multiprocessing
import os
import tempfile
import time
import tracemalloc
import zlib
from collections.abc import Callable
from pathlib import Path

from benchmarks.disk import Counted
from zinclever import interface
from zinclever.core.descriptors import Descriptors
from zinclever.mesh.configuration.active import ActiveConfiguration
from zinclever.mesh.consensus.messages import Send
from zinclever.mesh.dataplane.forwarding import Forwarder
from zinclever.mesh.dataplane.ingress import Ingress
from zinclever.mesh.dataplane.retry_budget import RetryBudget
from zinclever.mesh.dataplane.service_clients import ServiceClient
from zinclever.mesh.membership.record_store import RecordStore
from zinclever.mesh.membership.records import RecordKind
from zinclever.mesh.model.field import Field
from zinclever.mesh.model.members import Machine, World
from zinclever.mesh.storage.generation_file import GenerationFile
from zinclever.mesh.transport.channel import ChannelPool
from zinclever.mesh.transport.mesh_pb2 import EndpointInfo, Record
from zinclever.system import System

SETTLES = 20.0  # s until all have met, nobody is young any more and each has heard of each
SPAN = 10.0  # s that are measured
SERVICE_SIZE = 14  # endpoints of a service: 34,000 in 2,500 services
PAGE = os.sysconf("SC_PAGE_SIZE")


def endpoint(n: int, seq: int = 1) -> Record:
    """An endpoint's record with the fields that a sidecar tells."""
    info = EndpointInfo(
        service=f"service-{n // SERVICE_SIZE:05d}",
        address=f"10.{n >> 16}.{(n >> 8) & 255}.{n & 255}:8080",
        zone=f"region-{n % 4}-zone-{n % 16:02d}",
        slots=9,
        sidecar=f"node-{n:06d}/forager",
        generation="v1.42.0",
    )
    return Record(kind=RecordKind.ENDPOINT, id=f"i-{n:08x}", seq=seq, body=info.SerializeToString())


class GossipLoad:
    """What a mean process and a mean seed spent in a span."""

    def __init__(self, field: Field, span: float, processor: float) -> None:
        seeds = [g for n, g in field.gossips.items() if field.address(n) in field.seeds]
        others = [g for n, g in field.gossips.items() if field.address(n) not in field.seeds]
        self.bytes = sum(g.transmitter.bytes_sent for g in others) / len(others) / span
        self.datagrams = sum(g.counters.sent for g in others) / len(others) / span
        self.seed_bytes = sum(g.transmitter.bytes_sent for g in seeds) / len(seeds) / span
        self.seed_datagrams = sum(g.counters.sent + g.counters.received for g in seeds) / len(seeds) / span
        sent = sum(g.counters.sent for g in field.gossips.values())
        self.microseconds = 1e6 * processor / max(1, sent)
        """Processor time per datagram sent and heard, with the process's turns and the field's own part."""


def gossip(
    count: int, seed: int, known: int, news: float = 0.0, killed: int = 0, span: float = SPAN, loss: float = 0.0
) -> GossipLoad:
    """So many processes that know ``known`` endpoints, while ``news`` endpoints a second change somewhere.

    ``killed`` of the processes end without a word as the span begins; ``loss`` is the part of datagrams that is lost.
    """
    field = Field(count, seed=seed, loss=loss)
    field.run(SETTLES)
    for name in field.names[count - killed :]:
        del field.gossips[name]
    for held in field.gossips.values():
        for n in range(known):
            held.records.apply(field.now, endpoint(n))
        held.transmitter.bytes_sent = held.counters.sent = held.counters.received = 0
    told, until = 0, field.now + span
    began = time.process_time()
    due = field.now + field.rng.expovariate(news) if news else until
    while field.now < until:
        field.run(min(due, until) - field.now)
        if due < until:
            told += 1
            changed = endpoint(field.rng.randrange(max(1, known)), seq=1 + told)
            field.tell(field.rng.choice(list(field.gossips)), changed)
            due += field.rng.expovariate(news)
    return GossipLoad(field, span, time.process_time() - began)


# --- memory: each point in a process of its own ---


def resident() -> int:
    """Bytes of this process that are in memory."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE


def grown(make: Callable[[int], object], count: int, traced: bool) -> float:
    """Bytes that what ``make`` makes takes: what Python has allocated, or (not traced) what the process grew by."""

    async def on_a_loop() -> float:
        return grown_here(make, count, traced)

    return asyncio.run(on_a_loop())


def grown_here(make: Callable[[int], object], count: int, traced: bool) -> float:
    make(8)
    gc.collect()
    if traced:
        tracemalloc.start()
        kept = make(count)
        gc.collect()
        return float(tracemalloc.get_traced_memory()[0]) if kept is not None else 0.0
    before = resident()
    kept = make(count)
    gc.collect()
    return float(resident() - before) if kept is not None else 0.0


def alone(make: Callable[[int], object], count: int, traced: bool) -> float:
    """The same in a new process: what an earlier point has freed doesn't hide what this one takes."""
    with multiprocessing.get_context("spawn").Pool(1) as pool:
        return pool.apply(grown, (make, count, traced))


def make_records(count: int) -> RecordStore:
    """What gossip holds of so many endpoints, each read from a datagram."""
    records = RecordStore()
    for n in range(count):
        records.apply(0.0, Record.FromString(endpoint(n).SerializeToString()))
    return records


def make_flight(count: int) -> ServiceClient:
    """The way to one service with so many endpoints, as a sidecar keeps it for its calls."""
    host, descriptors = System(), Descriptors(1000)
    budget = RetryBudget(0.2, 10.0, 0.0)
    wire = Forwarder(("127.0.0.1", 1), Ingress(host, descriptors), ChannelPool("me").to, budget, {})
    flight = ServiceClient("service", 0, 10, wire, budget, descriptors, host)
    listed = [interface.ListedEndpoint(f"i-{n:08x}", "ready", 9.0, n % 4) for n in range(count)]
    flight.set_endpoints([(entry, (f"10.0.{n >> 8}.{n & 255}", 7)) for n, entry in enumerate(listed)])
    return flight


def make_services(count: int) -> list[ServiceClient]:
    """The ways to so many services of the usual size."""
    return [make_flight(SERVICE_SIZE) for _ in range(count)]


def make_routes(count: int) -> bytes:
    """A configuration of so many routes, two to a service, as operators write them."""
    services = {f"service-{n:05d}": {"HealthPath": "/health", "MaxConns": 120} for n in range(max(1, count // 2))}
    routes = {
        f"r-{zlib.crc32(b'%d' % n):08x}": {
            "Authority": f"host{n // 2:05d}.example",
            "PathPrefix": f"/p{zlib.crc32(b'p%d' % n):08x}/",
            "RouteClass": "idempotent" if n % 2 else "non_idempotent",
            "DeadlineS": 0.5,
            "TargetLatencyS": 0.2,
            "Priority": n % 3,
            "MaxAttempts": 2,
            "Target": f"service-{(n // 2) % len(services):05d}",
        }
        for n in range(count)
    }
    return json.dumps({"Generation": 1, "Routes": routes, "Services": services}, separators=(",", ":")).encode()


def make_active(count: int) -> ActiveConfiguration:
    """A configuration of so many routes in force, packed for others."""
    active = ActiveConfiguration()
    active.apply(1, 1, make_routes(count))
    active.compressed()
    return active


class ConfigurationCost:
    """One whole configuration, fetched and put in force."""

    def __init__(self, routes: int) -> None:
        text = make_routes(routes)
        self.text, self.packed = len(text), len(zlib.compress(text, 1))
        began = time.process_time()
        ActiveConfiguration().apply(1, 1, text)
        self.milliseconds = 1000 * (time.process_time() - began)


# --- control ---


class CountedWorld(World):
    """A world that counts what its replicas say to each other, with configurations of a given size."""

    def __init__(self, seed: int, members: int, size: int) -> None:
        self.size = size
        self.messages = self.bytes = 0
        super().__init__(seed, members, losses=members // 2)

    def send(self, m: Machine, act: Send) -> None:
        if act.to.disk != m.disk.name:
            self.messages += 1
            self.bytes += act.message.ByteSize()
        super().send(m, act)

    def put_padded(self, ip: str, base: int, generation: int) -> None:
        """Ask for a configuration of the world's size."""
        replica = self.machines[ip].replica
        assert replica is not None
        self.calls += 1
        text = (b"config %d " % generation).ljust(self.size, b"x")
        replica.change(self.now, self.calls, base, generation, text, b"d" * 16)
        self.carry_out(self.machines[ip])


class ControlLoad:
    """Of all replicas together: a second at rest, and what each change adds."""

    def __init__(self, members: int, seed: int, size: int, changes: int = 10) -> None:
        world = CountedWorld(seed, members, size)
        world.run(4.0)
        self.rest_messages, self.rest_bytes = self.spent(world, 4.0)
        (leader,) = world.leaders()
        before_messages, before_bytes, began = world.messages, world.bytes, world.now
        for n in range(1, changes + 1):
            world.put_padded(leader, n - 1, n)
            world.run(0.2)
        span = world.now - began
        replica = world.machines[leader].replica
        assert replica is not None and replica.committed.generation == changes, "not every change was committed"
        self.messages = (world.messages - before_messages - span * self.rest_messages) / changes
        self.bytes = (world.bytes - before_bytes - span * self.rest_bytes) / changes

    @staticmethod
    def spent(world: CountedWorld, span: float) -> tuple[float, float]:
        """Messages and bytes a second over so many seconds."""
        messages, total = world.messages, world.bytes
        world.run(span)
        return (world.messages - messages) / span, (world.bytes - total) / span


class DiskCost:
    """Mean of some saves of a state of so many bytes: syncs, bytes written, processor time."""

    def __init__(self, size: int, saves: int = 6) -> None:
        with tempfile.TemporaryDirectory() as folder:
            files = Counted(0.0)
            store = GenerationFile(Path(folder), "entry", files)
            began = time.process_time()
            for n in range(saves):
                store.save({b"change": b"%d" % n + b"x" * size})
                store.mark()
            self.milliseconds = 1000 * (time.process_time() - began) / saves
            self.syncs, self.bytes = files.syncs / saves, files.bytes / saves
