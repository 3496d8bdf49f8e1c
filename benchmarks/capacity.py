"""Slopes of state, messages, processor time and memory, and what they come to at the size to design for.

PYTHONPATH=.:tests ZINCLEVER_NATIVE=text python -m benchmarks.capacity measure benchmarks/capacity.json
PYTHONPATH=.:tests ZINCLEVER_NATIVE=text python -m benchmarks.capacity plan benchmarks/capacity.json
PYTHONPATH=.:tests ZINCLEVER_NATIVE=text python -m benchmarks.capacity page benchmarks/capacity.json

``measure`` takes some minutes of one core, and writes the lines that it has fitted; ``plan`` prints the tables of
``docs/CAPACITY.md`` from them, ``page`` puts them there.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import subprocess
import sys
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import TypeVar

import uvloop

from benchmarks import hollow
from benchmarks.capacity_plan import NEWS_RATE, fill, read_measured
from benchmarks.fitting import Line, fit
from benchmarks.processes import CallLoad, Processes, resident

PAGE = Path(__file__).parents[1] / "docs" / "CAPACITY.md"
SEEDS = (1, 2, 3)
KNOWN = 1000  # endpoints that hollow processes know besides each other: all ranges of a digest are filled
NEWS_FOR = 40.0  # s of news at each rate: some thirty pieces of it at the plan's
LOSS = 0.02  # of datagrams, where what was missed is to be mended
IDLE_FOR = 15.0  # s without calls
CALLS_FOR = 5.0  # s of calls at each rate

Lines = dict[str, Line]
T = TypeVar("T")


def drawn(xs: Sequence[float], measure: Callable[[float, int], T]) -> list[tuple[float, T]]:
    """Measured at each place with each seed."""
    return [(x, measure(x, seed)) for x, seed in itertools.product(xs, SEEDS)]


def line_of(found: Iterable[tuple[float, T]], value: Callable[[T], float]) -> Line:
    return fit([(x, value(measured)) for x, measured in found])


def gossip_lines() -> Lines:
    """By processes at rest, by news, by deaths, by endpoints known."""
    rest = drawn((15, 50, 100, 300), lambda n, seed: hollow.gossip(int(n), seed, KNOWN))
    news = drawn((0, 0.5, 1, 2, 4), lambda rate, seed: hollow.gossip(50, seed, KNOWN, rate, span=NEWS_FOR))
    deaths = drawn((0, 2, 5, 10), lambda killed, seed: hollow.gossip(100, seed, KNOWN, killed=int(killed)))
    known = drawn(
        (500, 2000, 4000, 8000),
        lambda n, seed: hollow.gossip(50, seed, int(n), NEWS_RATE, span=NEWS_FOR, loss=LOSS),
    )
    return {
        "rest bytes/s by processes": line_of(rest, lambda g: g.bytes),
        "rest datagrams/s by processes": line_of(rest, lambda g: g.datagrams),
        "datagrams/s at a seed by processes": line_of(rest, lambda g: g.seed_datagrams),
        "us a datagram by processes": line_of(rest, lambda g: g.microseconds),
        "bytes/s by news/s": line_of(news, lambda g: g.bytes),
        "datagrams/s by news/s": line_of(news, lambda g: g.datagrams),
        "bytes in 10 s by deaths": line_of(deaths, lambda g: g.bytes * hollow.SPAN),
        "bytes/s by endpoints known": line_of(known, lambda g: g.bytes),
        "us a datagram by endpoints known": line_of(known, lambda g: g.microseconds),
    }


def memory_lines() -> Lines:
    """By endpoint in gossip's records, by endpoint of one service that is called, by service, by route."""
    made: Lines = {}
    for name, make, counts in (
        ("endpoint known", hollow.make_records, (4000, 8000, 16000, 32000)),
        ("endpoint called", hollow.make_flight, (100, 400, 800, 1600)),
        ("service called", hollow.make_services, (50, 100, 200, 400)),
        ("route", hollow.make_active, (1000, 2000, 4000, 8000)),
    ):
        for kind, traced in (("traced", True), ("resident", False)):
            found = drawn(counts, lambda n, _, make=make, traced=traced: hollow.alone(make, int(n), traced))  # type: ignore[misc]
            made[f"{kind} bytes by {name}"] = line_of(found, float)
    return made


def configuration_lines() -> Lines:
    found = drawn((100, 500, 2000, 5000), lambda n, _: hollow.ConfigurationCost(int(n)))
    return {
        "text bytes by route": line_of(found, lambda c: c.text),
        "packed bytes by route": line_of(found, lambda c: c.packed),
        "ms to put in force by route": line_of(found, lambda c: c.milliseconds),
    }


def control_lines() -> Lines:
    """By pairs of replicas at rest, by followers and by size for a change; a disk by size."""
    members = drawn((3, 5, 7, 9), lambda n, seed: hollow.ControlLoad(int(n), seed, 20_000))
    sizes = drawn((0, 20_000, 100_000, 400_000), lambda size, seed: hollow.ControlLoad(5, seed, int(size)))
    disk = drawn((20_000, 400_000, 1_000_000, 4_000_000), lambda size, _: hollow.DiskCost(int(size)))
    pairs = [(n * (n - 1), load) for n, load in members]
    followers = [(n - 1, load) for n, load in members]
    return {
        "rest messages/s by pairs": line_of(pairs, lambda c: c.rest_messages),
        "rest bytes/s by pairs": line_of(pairs, lambda c: c.rest_bytes),
        "messages a change by followers": line_of(followers, lambda c: c.messages),
        "bytes a change by followers, 20 kB": line_of(followers, lambda c: c.bytes),
        "bytes a change by size, 5 replicas": line_of(sizes, lambda c: c.bytes),
        "disk bytes a change by size": line_of(disk, lambda d: d.bytes),
        "disk ms of processor a change by size": line_of(disk, lambda d: d.milliseconds),
        "syncs a change by size": line_of(disk, lambda d: d.syncs),
    }


@dataclass(frozen=True, slots=True)
class CallsMeasured:
    """What real processes took."""

    found: list[CallLoad]
    """Over two sidecars, at several rates."""
    direct: list[CallLoad]
    """To the endpoint itself."""
    memory: list[int]
    """Bytes of each process before the calls, control first."""
    idle: list[float]
    """Of a core: each process before the calls."""


async def measure_calls() -> CallsMeasured:
    async with Processes() as processes:
        idle = await processes.idle(IDLE_FOR)
        memory = [resident(p.pid) for p in processes.running]
        found = [
            await processes.load(rate, CALLS_FOR, seed) for rate, seed in itertools.product((50, 100, 200, 400), SEEDS)
        ]
        direct = [await processes.load(200, CALLS_FOR, seed, direct=True) for seed in SEEDS]
    return CallsMeasured(found, direct, memory, idle)


def call_lines() -> tuple[Lines, dict[str, list[float]]]:
    """Processor time by calls; and single figures of real processes, by name."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        made = runner.run(measure_calls())
    found, direct = made.found, made.direct
    assert all(c.served == c.sent for c in found), "a call was not served"
    lines = {
        "core of the caller's sidecar by calls/s": fit([(c.rate, c.caller) for c in found]),
        "core of the endpoint's sidecar by calls/s": fit([(c.rate, c.keeper) for c in found]),
    }
    at_plan = [c for c in found if 150 < c.rate < 300]
    return lines, {
        "ms p50 direct, 200/s": [c.median for c in direct],
        "ms p99 direct, 200/s": [c.high for c in direct],
        "ms p50 over two sidecars, 200/s": [c.median for c in at_plan],
        "ms p99 over two sidecars, 200/s": [c.high for c in at_plan],
        "MB resident: control, sidecar, sidecar, 2 endpoints known": [m / 1e6 for m in made.memory],
        "cores at rest: control, sidecar, sidecar": made.idle,
    }


def commit() -> str:
    """The commit that is measured."""
    return subprocess.run(["git", "describe", "--always", "--dirty"], capture_output=True, text=True).stdout.strip()


def measure(path: Path) -> None:
    began, load = time.strftime("%Y-%m-%d %H:%M"), os.getloadavg()
    lines, figures = call_lines()
    for part in (gossip_lines, memory_lines, configuration_lines, control_lines):
        lines |= part()
        print(f"{part.__name__}: done, load {os.getloadavg()[0]:.1f}", file=sys.stderr, flush=True)
    told = {
        "commit": commit(),
        "began": began,
        "load before": load,
        "load after": os.getloadavg(),
        "figures": figures,
        "lines": {name: asdict(line) for name, line in lines.items()},
    }
    path.write_text(json.dumps(told, indent=1) + "\n")


def plan(path: Path) -> None:
    """Print all tables."""
    told = read_measured(path.read_text())
    print(told.said)
    for name, table in told.tables.items():
        print(f"\n{name}\n\n{table}")


def page(path: Path) -> None:
    """Put the tables into the page."""
    told = read_measured(path.read_text())
    PAGE.write_text(fill(PAGE.read_text(), told.tables))


if __name__ == "__main__":
    {"measure": measure, "plan": plan, "page": page}[sys.argv[1]](Path(sys.argv[2]))
