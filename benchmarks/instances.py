"""Simulates 20,000 sidecars with 2,000 servers: restarts, replaced servers, an overloaded sidecar, silent servers.

    python -m benchmarks.instances [--instances N] [--servers N] [--shares stated|tight|none] [--told N] [--plots DIR]

All counts are taken at the servers and at discovery, and are printed beside the configured limits.
"""

from __future__ import annotations

import argparse
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

from zinclever import Balancer, interface
from zinclever.standins.many import Instance, World

CAPS = interface.Shares(
    subset=20,
    connections=400.0,
    handshakes_per_s=100.0,
    list_calls_per_s=400.0,
    busy=4,
    retry_ratio=0.2,
    copy_ratio=0.2,
    floor_per_s=1.0,
)
SHARES = {
    "none": interface.Shares(),
    "stated": CAPS,
    "tight": replace(CAPS, subset=8, connections=100.0, handshakes_per_s=40.0),
}
LIMITS = interface.Limits(max_attempts=4, cancel=True, second_copies=True, connect_timeout=250.0)
RULES = interface.Rules(drain_grace=1000.0, cold_share=0.2, cold_for=10_000.0)
READ = interface.RequestClass(aim=400.0, deadline=1500.0, repeat="idempotent", name="read")
RATE = 0.25  # requests per second of an instance
HOT = 100.0  # factor by which the hot instance's rate is higher
SILENT = 0.17  # share of the servers
REPLACED = 0.006  # share of the servers, during the churn phase
SPAN = 70  # s
PHASES = ((0, "start"), (12, "hot"), (20, "churn"), (32, "silent"), (47, "all well"), (55, "restart"))
SEED = 12


class Timeline:
    """Runs all instances through PHASES."""

    def __init__(self, instances: int, servers: int, shares: interface.Shares, group_size: int, rate: float) -> None:
        """Makes the servers.

        Args:
            instances: Number of instances.
            servers: Number of servers.
            shares: Limits for all instances together.
            group_size: Number of instances that each instance is configured with.
            rate: Requests per second of each instance.
        """
        self.count, self.shares, self.configured_instances, self.rate = instances, shares, group_size, rate
        listed = [interface.ListedEndpoint(f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:80") for n in range(servers)]
        mean_service_time = 0.4 * 1000.0 * 2 * servers / (instances * rate)  # the load is 40 % of the servers' capacity
        self.world = World(listed, SEED, mean_service_time=min(80.0, mean_service_time))
        self.instances: dict[int, Instance] = {}

    def start(self, me: int, rate: float) -> None:
        """Starts or restarts the instance with number ``me``."""
        world = self.world
        before = self.instances.get(me)
        if before is not None:
            before.stop()
        settings = interface.Settings(
            classes=(READ,),
            limits=LIMITS,
            rules=RULES,
            group_size=self.configured_instances,
            me=me,
            discovery="on_request",
            shares=self.shares,
        )
        version = before.version if before is not None else 0
        self.instances[me] = Instance(world, settings, rate, version, Balancer)

    def run(self) -> None:
        """Runs all phases."""
        world = self.world
        for begins in (0, 55):
            for me in range(self.count):
                rate = HOT * self.rate if me == 7 and begins else self.rate
                world.at(1000.0 * (begins + world.rng.random()), self.start, me, rate)
        world.at(12_000.0, self.start, 7, HOT * self.rate)
        names = list(world.servers)
        replaced = max(1, int(REPLACED * len(names)))
        for n in range(replaced):
            world.at(20_000.0 + 12_000.0 * n / replaced, world.replace, names[n], f"new{n}:80")
        silent = world.rng.sample(names[replaced:], int(SILENT * len(names)))
        for is_silent, at in ((True, 32_000.0), (False, 47_000.0)):
            for name in silent:
                world.at(at, self.set_silent, name, is_silent)
        began = time.monotonic()
        for second in range(1, SPAN + 1):
            world.run(1000.0 * second)
            if second % 5 == 0:
                print(f"{second} s after {time.monotonic() - began:.0f} s", file=sys.stderr, flush=True)

    def set_silent(self, name: str, is_silent: bool) -> None:
        """Makes a server silent, or lets it answer again."""
        self.world.servers[name].silent = is_silent


def peak(counts: dict[int, int], first: int, end: int) -> int:
    """Returns the highest count from second ``first`` until before second ``end``."""
    return max((counts.get(s, 0) for s in range(first, end)), default=0)


def show(timeline: Timeline) -> None:
    """Prints for each phase the highest counts of a server in a second, and totals."""
    c = timeline.world.counts
    handshakes, connections, received = (c.busiest(x) for x in (c.handshakes, c.connections, c.received))
    print(
        f"{timeline.count} instances (configured {timeline.configured_instances}), "
        f"{len(timeline.world.servers)} servers, {timeline.shares}"
    )
    print(
        "phase      connections  handshakes/s  requests/s  |  all: requests  retries  copies  barred  lines/s "
        " calls/s  served %"
    )
    ends = [at for at, _ in PHASES[1:]] + [SPAN]
    for (first, name), end in zip(PHASES, ends, strict=True):
        span = range(first, end)
        request_count = sum(c.requests[s] for s in span)
        retries, copies, barred = (sum(x[s] for s in span) for x in (c.retries, c.copies, c.barred))
        served = sum(c.answers[s, "served"] for s in span)
        answers = sum(count for (s, _), count in c.answers.items() if s in span)
        print(
            f"{name:10} {peak(connections, first, end):11} {peak(handshakes, first, end):13} "
            f"{peak(received, first, end):11}  | {request_count:14} {retries:8} {copies:7} {barred:7} "
            f"{peak(c.lines, first, end):8} {peak(c.calls, first, end):8} {100.0 * served / max(1, answers):9.2f}"
        )
    up_to_date = sum(x.version == timeline.world.discovery.version for x in timeline.instances.values())
    print(f"instances with the latest list: {up_to_date}")


def plot(timeline: Timeline, folder: Path) -> None:
    """Draws a chart of the busiest server and of the totals, by second."""
    import matplotlib  # type: ignore[import-not-found,unused-ignore]

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "zinclever"
    from matplotlib import pyplot  # type: ignore[import-not-found,unused-ignore]

    c, seconds = timeline.world.counts, range(SPAN)
    rows: list[tuple[str, list[tuple[str, dict[int, int]]], float]] = [
        ("connections of the busiest server", [("", c.busiest(c.connections))], timeline.shares.connections),
        ("handshakes/s at the busiest server", [("", c.busiest(c.handshakes))], timeline.shares.handshakes_per_s),
        ("list lines/s", [("", c.lines)], 0.0),
        ("attempts/s in all", [("requests", c.requests), ("retries", c.retries), ("copies", c.copies)], 0.0),
    ]
    figure, axes = pyplot.subplots(len(rows), 1, figsize=(8, 9), sharex=True)
    for axis, (title, lines, cap) in zip(axes, rows, strict=True):
        for label, counts in lines:
            axis.plot(seconds, [counts.get(s, 0) for s in seconds], label=label, linewidth=1.2)
        if cap:
            axis.axhline(cap, color="black", linestyle=":", linewidth=0.8)
        for at, name in PHASES:
            axis.axvline(at, color="grey", linewidth=0.5)
            if axis is axes[0]:
                axis.text(at + 0.3, axis.get_ylim()[1], name, fontsize=7, va="bottom")
        axis.set_title(title, fontsize=9, loc="left", pad=12 if axis is axes[0] else 4)
        if len(lines) > 1:
            axis.legend(fontsize=7)
    axes[-1].set_xlabel("s")
    figure.tight_layout()
    metadata: dict[str, Any] = {"Date": None, "Creator": None}
    figure.savefig(folder / f"instances-{timeline.count}.svg", metadata=metadata)


def main() -> None:
    """Runs the simulation as the command line asks."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--instances", type=int, default=20_000)
    parser.add_argument("--servers", type=int, default=2000)
    parser.add_argument("--shares", choices=SHARES, default="stated")
    parser.add_argument("--told", type=int, help="number of instances that each is configured with")
    parser.add_argument("--rate", type=float, default=RATE, help="requests per second of each instance")
    parser.add_argument("--plots", type=Path)
    options = parser.parse_args()
    timeline = Timeline(
        options.instances, options.servers, SHARES[options.shares], options.told or options.instances, options.rate
    )
    timeline.run()
    show(timeline)
    if options.plots is not None:
        plot(timeline, options.plots)


if __name__ == "__main__":
    main()
