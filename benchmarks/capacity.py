"""Measures how state, messages, CPU time and memory grow with size, and extrapolates to the design size.

PYTHONPATH=.:tests ZINCLEVER_NATIVE=text python -m benchmarks.capacity measure benchmarks/capacity.json
PYTHONPATH=.:tests ZINCLEVER_NATIVE=text python -m benchmarks.capacity plan benchmarks/capacity.json
PYTHONPATH=.:tests ZINCLEVER_NATIVE=text python -m benchmarks.capacity page benchmarks/capacity.json

``measure`` takes some minutes on one core and writes the fitted lines; ``plan`` prints the tables of
``docs/CAPACITY.md`` computed from them, and ``page`` writes them into that page.
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
KNOWN = 1000  # endpoints that simulated processes know besides each other, enough to fill all ranges of a digest
NEWS_TIME = 40.0  # s of record changes at each rate: about thirty changes at the planned rate
LOSS = 0.02  # share of datagrams lost, where anti-entropy has to repair the missing records
IDLE_TIME = 15.0  # s without calls
CALLS_TIME = 5.0  # s of calls at each rate

Lines = dict[str, Line]
T = TypeVar("T")


def measure_all(xs: Sequence[float], measure: Callable[[float, int], T]) -> list[tuple[float, T]]:
    """Measures at each x with each seed."""
    return [(x, measure(x, seed)) for x, seed in itertools.product(xs, SEEDS)]


def line_of(found: Iterable[tuple[float, T]], value: Callable[[T], float]) -> Line:
    """Fits a line to one value of each measurement."""
    return fit([(x, value(measured)) for x, measured in found])


def gossip_lines() -> Lines:
    """Fits the cost of gossip by processes at rest, by rate of changes, by failed processes and by known endpoints."""
    rest = measure_all((15, 50, 100, 300), lambda n, seed: hollow.gossip(int(n), seed, KNOWN))
    news = measure_all((0, 0.5, 1, 2, 4), lambda rate, seed: hollow.gossip(50, seed, KNOWN, rate, span=NEWS_TIME))
    deaths = measure_all((0, 2, 5, 10), lambda killed, seed: hollow.gossip(100, seed, KNOWN, killed=int(killed)))
    known = measure_all(
        (500, 2000, 4000, 8000),
        lambda n, seed: hollow.gossip(50, seed, int(n), NEWS_RATE, span=NEWS_TIME, loss=LOSS),
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
    """Fits memory by endpoint in gossip records, by endpoint of a called service, by called service, by route."""
    lines: Lines = {}
    for name, make, counts in (
        ("endpoint known", hollow.make_records, (4000, 8000, 16000, 32000)),
        ("endpoint called", hollow.make_service_client, (100, 400, 800, 1600)),
        ("service called", hollow.make_service_clients, (50, 100, 200, 400)),
        ("route", hollow.make_active, (1000, 2000, 4000, 8000)),
    ):
        for kind, traced in (("traced", True), ("resident", False)):
            found = measure_all(
                counts,
                lambda n, _, make=make, traced=traced: hollow.measure_in_new_process(make, int(n), traced),  # type: ignore[misc]
            )
            lines[f"{kind} bytes by {name}"] = line_of(found, float)
    return lines


def configuration_lines() -> Lines:
    """Fits the sizes of a configuration and the time to activate it, by route."""
    found = measure_all((100, 500, 2000, 5000), lambda n, _: hollow.ConfigurationCost(int(n)))
    return {
        "text bytes by route": line_of(found, lambda c: c.text),
        "packed bytes by route": line_of(found, lambda c: c.packed),
        "ms to put in force by route": line_of(found, lambda c: c.milliseconds),
    }


def control_lines() -> Lines:
    """Fits the cost of the replicated log: at rest by pairs of replicas, per change by followers and by size."""
    members = measure_all((3, 5, 7, 9), lambda n, seed: hollow.ControlLoad(int(n), seed, 20_000))
    sizes = measure_all((0, 20_000, 100_000, 400_000), lambda size, seed: hollow.ControlLoad(5, seed, int(size)))
    disk = measure_all((20_000, 400_000, 1_000_000, 4_000_000), lambda size, _: hollow.DiskCost(int(size)))
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
    """Measurements of real processes."""

    through_sidecars: list[CallLoad]
    """Calls through two sidecars, at several rates."""
    direct: list[CallLoad]
    """Calls sent directly to the endpoint."""
    memory: list[int]
    """Resident bytes of each process before the calls, control first."""
    idle: list[float]
    """Cores used by each process before the calls, control first."""


async def measure_calls() -> CallsMeasured:
    """Measures calls through real sidecar processes."""
    async with Processes() as processes:
        idle = await processes.idle(IDLE_TIME)
        memory = [resident(p.pid) for p in processes.running]
        through_sidecars = [
            await processes.load(rate, CALLS_TIME, seed) for rate, seed in itertools.product((50, 100, 200, 400), SEEDS)
        ]
        direct = [await processes.load(200, CALLS_TIME, seed, direct=True) for seed in SEEDS]
    return CallsMeasured(through_sidecars, direct, memory, idle)


def call_lines() -> tuple[Lines, dict[str, list[float]]]:
    """Fits CPU time by call rate; also returns single figures of real processes, by name."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        calls = runner.run(measure_calls())
    through_sidecars, direct = calls.through_sidecars, calls.direct
    assert all(c.served == c.sent for c in through_sidecars), "a call was not served"
    lines = {
        "core of the caller's sidecar by calls/s": fit([(c.rate, c.caller_sidecar) for c in through_sidecars]),
        "core of the endpoint's sidecar by calls/s": fit([(c.rate, c.endpoint_sidecar) for c in through_sidecars]),
    }
    at_plan = [c for c in through_sidecars if 150 < c.rate < 300]
    return lines, {
        "ms p50 direct, 200/s": [c.median for c in direct],
        "ms p99 direct, 200/s": [c.p99 for c in direct],
        "ms p50 over two sidecars, 200/s": [c.median for c in at_plan],
        "ms p99 over two sidecars, 200/s": [c.p99 for c in at_plan],
        "MB resident: control, sidecar, sidecar, 2 endpoints known": [m / 1e6 for m in calls.memory],
        "cores at rest: control, sidecar, sidecar": calls.idle,
    }


def commit() -> str:
    """Returns the measured commit."""
    return subprocess.run(["git", "describe", "--always", "--dirty"], capture_output=True, text=True).stdout.strip()


def measure(path: Path) -> None:
    """Runs all measurements and writes the results to a file."""
    started, load = time.strftime("%Y-%m-%d %H:%M"), os.getloadavg()
    lines, figures = call_lines()
    for part in (gossip_lines, memory_lines, configuration_lines, control_lines):
        lines |= part()
        print(f"{part.__name__}: done, load {os.getloadavg()[0]:.1f}", file=sys.stderr, flush=True)
    results = {
        "commit": commit(),
        "began": started,
        "load before": load,
        "load after": os.getloadavg(),
        "figures": figures,
        "lines": {name: asdict(line) for name, line in lines.items()},
    }
    path.write_text(json.dumps(results, indent=1) + "\n")


def plan(path: Path) -> None:
    """Prints all tables."""
    measured = read_measured(path.read_text())
    print(measured.header)
    for name, table in measured.tables.items():
        print(f"\n{name}\n\n{table}")


def page(path: Path) -> None:
    """Writes the tables into the page."""
    measured = read_measured(path.read_text())
    PAGE.write_text(fill(PAGE.read_text(), measured.tables))


if __name__ == "__main__":
    {"measure": measure, "plan": plan, "page": page}[sys.argv[1]](Path(sys.argv[2]))
