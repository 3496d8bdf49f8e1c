"""Measures the cost of the mesh's state and messages with processes simulated in this one, in simulated time.

Each function measures one point; :mod:`benchmarks.capacity` fits the lines. A simulated process runs the real gossip,
replica and record code without sockets.
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

from benchmarks.disk import CountingFileSystem
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

SETTLING_TIME = 20.0  # s until all processes know each other and their startup period is over
SPAN = 10.0  # s of a measurement
SERVICE_SIZE = 14  # endpoints of a service: 34,000 in 2,500 services
PAGE = os.sysconf("SC_PAGE_SIZE")


def endpoint(n: int, seq: int = 1) -> Record:
    """Returns an endpoint record with the fields that a sidecar publishes."""
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
    """The mean load of a process and of a seed during a measurement."""

    def __init__(self, field: Field, span: float, cpu_time: float) -> None:
        seeds = [g for n, g in field.gossips.items() if field.address(n) in field.seeds]
        others = [g for n, g in field.gossips.items() if field.address(n) not in field.seeds]
        self.bytes = sum(g.transmitter.bytes_sent for g in others) / len(others) / span
        self.datagrams = sum(g.counters.sent for g in others) / len(others) / span
        self.seed_bytes = sum(g.transmitter.bytes_sent for g in seeds) / len(seeds) / span
        self.seed_datagrams = sum(g.counters.sent + g.counters.received for g in seeds) / len(seeds) / span
        sent = sum(g.counters.sent for g in field.gossips.values())
        self.microseconds = 1e6 * cpu_time / max(1, sent)
        """CPU time per datagram sent and received, including timers and the simulation itself."""


def gossip(
    count: int, seed: int, known: int, news: float = 0.0, killed: int = 0, span: float = SPAN, loss: float = 0.0
) -> GossipLoad:
    """Measures the gossip of a group of processes.

    Args:
        count: Number of processes.
        seed: Seed of the simulation.
        known: Number of endpoints that all processes know.
        news: Rate at which endpoint records change, per second.
        killed: Number of processes that are killed when the measurement begins.
        span: Length of the measurement, in s.
        loss: Share of datagrams lost.
    """
    field = Field(count, seed=seed, loss=loss)
    field.run(SETTLING_TIME)
    for name in field.names[count - killed :]:
        del field.gossips[name]
    for process in field.gossips.values():
        for n in range(known):
            process.records.apply(field.now, endpoint(n))
        process.transmitter.bytes_sent = process.counters.sent = process.counters.received = 0
    change_count, until = 0, field.now + span
    started = time.process_time()
    due = field.now + field.rng.expovariate(news) if news else until
    while field.now < until:
        field.run(min(due, until) - field.now)
        if due < until:
            change_count += 1
            changed = endpoint(field.rng.randrange(max(1, known)), seq=1 + change_count)
            field.tell(field.rng.choice(list(field.gossips)), changed)
            due += field.rng.expovariate(news)
    return GossipLoad(field, span, time.process_time() - started)


# --- memory: each point is measured in its own process ---


def resident() -> int:
    """Returns the resident memory of this process, in bytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE


def measure_memory(make: Callable[[int], object], count: int, traced: bool) -> float:
    """Returns the memory of what ``make`` makes, in bytes.

    With ``traced`` it is the memory allocated by Python, otherwise the growth of the process.
    """

    async def on_a_loop() -> float:
        return measure_memory_on_loop(make, count, traced)

    return asyncio.run(on_a_loop())


def measure_memory_on_loop(make: Callable[[int], object], count: int, traced: bool) -> float:
    """Does the work of :func:`measure_memory` on the running event loop."""
    make(8)
    gc.collect()
    if traced:
        tracemalloc.start()
        result = make(count)
        gc.collect()
        return float(tracemalloc.get_traced_memory()[0]) if result is not None else 0.0
    before = resident()
    result = make(count)
    gc.collect()
    return float(resident() - before) if result is not None else 0.0


def measure_in_new_process(make: Callable[[int], object], count: int, traced: bool) -> float:
    """Does the same in a new process, so that memory freed by an earlier measurement doesn't hide this one's."""
    with multiprocessing.get_context("spawn").Pool(1) as pool:
        return pool.apply(measure_memory, (make, count, traced))


def make_records(count: int) -> RecordStore:
    """Makes the gossip records of ``count`` endpoints, each decoded from its serialized form."""
    records = RecordStore()
    for n in range(count):
        records.apply(0.0, Record.FromString(endpoint(n).SerializeToString()))
    return records


def make_service_client(count: int) -> ServiceClient:
    """Makes the client of a service with ``count`` endpoints, as a sidecar holds it for its calls."""
    host, descriptors = System(), Descriptors(1000)
    budget = RetryBudget(0.2, 10.0, 0.0)
    forwarder = Forwarder(("127.0.0.1", 1), Ingress(host, descriptors), ChannelPool("me").to, budget, {})
    client = ServiceClient("service", 0, 10, forwarder, budget, descriptors, host)
    listed = [interface.ListedEndpoint(f"i-{n:08x}", "ready", 9.0, n % 4) for n in range(count)]
    client.set_endpoints([(entry, (f"10.0.{n >> 8}.{n & 255}", 7)) for n, entry in enumerate(listed)])
    return client


def make_service_clients(count: int) -> list[ServiceClient]:
    """Makes the clients of ``count`` services of the usual size."""
    return [make_service_client(SERVICE_SIZE) for _ in range(count)]


def make_routes(count: int) -> bytes:
    """Returns the text of a configuration with ``count`` routes, two for each service."""
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
    """Makes an active configuration with ``count`` routes, including its compressed form."""
    active = ActiveConfiguration()
    active.apply(1, 1, make_routes(count))
    active.compressed()
    return active


class ConfigurationCost:
    """Sizes of a configuration and the time to activate it."""

    def __init__(self, routes: int) -> None:
        text = make_routes(routes)
        self.text, self.packed = len(text), len(zlib.compress(text, 1))
        began = time.process_time()
        ActiveConfiguration().apply(1, 1, text)
        self.milliseconds = 1000 * (time.process_time() - began)


# --- control ---


class CountedWorld(World):
    """A world that counts the messages between its replicas, with configurations of a given size."""

    def __init__(self, seed: int, members: int, size: int) -> None:
        self.size = size
        self.messages = self.bytes = 0
        super().__init__(seed, members, losses=members // 2)

    def send(self, m: Machine, act: Send) -> None:
        """Counts and sends a message, except from a replica to itself."""
        if act.to.disk != m.disk.name:
            self.messages += 1
            self.bytes += act.message.ByteSize()
        super().send(m, act)

    def put_padded(self, ip: str, base: int, generation: int) -> None:
        """Requests a change to a configuration of the world's size."""
        replica = self.machines[ip].replica
        assert replica is not None
        self.calls += 1
        text = (b"config %d " % generation).ljust(self.size, b"x")
        replica.change(self.now, self.calls, base, generation, text, b"d" * 16)
        self.carry_out(self.machines[ip])


class ControlLoad:
    """Messages and bytes of all replicas: per second at rest, and in addition for each change."""

    def __init__(self, members: int, seed: int, size: int, changes: int = 10) -> None:
        world = CountedWorld(seed, members, size)
        world.run(4.0)
        self.rest_messages, self.rest_bytes = self.measure_rate(world, 4.0)
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
    def measure_rate(world: CountedWorld, span: float) -> tuple[float, float]:
        """Runs the world for ``span`` seconds and returns its messages and bytes per second."""
        messages, total = world.messages, world.bytes
        world.run(span)
        return (world.messages - messages) / span, (world.bytes - total) / span


class DiskCost:
    """Mean cost of saving a state of ``size`` bytes: syncs, bytes written and CPU time."""

    def __init__(self, size: int, saves: int = 6) -> None:
        with tempfile.TemporaryDirectory() as folder:
            files = CountingFileSystem(0.0)
            store = GenerationFile(Path(folder), "entry", files)
            began = time.process_time()
            for n in range(saves):
                store.save({b"change": b"%d" % n + b"x" * size})
                store.mark()
            self.milliseconds = 1000 * (time.process_time() - began) / saves
            self.syncs, self.bytes = files.syncs / saves, files.bytes / saves
