"""Computes the tables of ``docs/CAPACITY.md``: measured slopes, extrapolated to the design size. Pure functions."""

from __future__ import annotations

import json
import re
import statistics
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from benchmarks.fitting import Line

DAY = 86_400.0  # s

# --- the design size, as required ---

SIDECARS = ENDPOINTS = 34_000
SERVICES = 2_500
CALLS = 7.2e6  # a second
DEPTH = 24  # of a chain of calls
REGIONS, ZONES = 4, 16
CHANGES = 51_000 / DAY  # of the configuration a second
ENDED = (88 + 2_400) / DAY  # machines per second that fail, or are restarted or replaced
CORE, MEMORY, BANDWIDTH = 0.03, 32e6, 3000.0  # control's limits on a sidecar's machine: cores, bytes, bytes/s
MACHINES = 15  # reserved for control
ADDED = 0.34  # ms of added latency of a call, 99th percentile

# --- assumptions, not part of the requirements ---

CALLED = 25  # services that the callers of one sidecar reach
ROUTES = 2 * SERVICES
PEAK = 10  # ratio of the rate of changes in the worst minute to the mean
NEWS_EACH = 4  # record changes per replaced machine: end and start of the process and of the endpoint
ROUND_TRIP = 0.15  # s between the farthest two regions
SYNC = 0.005  # s
RECORD = 130  # bytes on the wire of an endpoint's record: 98 for the record, the rest for its position
DELTA = 60  # bytes on the wire of one route change, without the route itself
BEAT, BEAT_BYTES = 1.0, 100  # s between heartbeats of a sidecar to its aggregator; bytes of one with its answer
CHECK, CHECK_BYTES = 10.0, 16  # s between checks of all subscriptions; bytes per subscription
SUBSCRIPTION = 200  # bytes of memory of one subscription at an aggregator
RACK = 40  # machines
DATAGRAM_BYTES = 1100  # bytes of records in one datagram
REMEMBERED_BYTES = 40  # of a remembered change request: its number, base and digest

REPLICAS = 7
NEWS_RATE = ENDED * NEWS_EACH + CHANGES
"""Record changes per second that gossip spreads to all processes today."""

REST, NEWS, KNOWN = "rest bytes/s by processes", "bytes/s by news/s", "bytes/s by endpoints known"
DATAGRAMS, DATAGRAMS_NEWS = "rest datagrams/s by processes", "datagrams/s by news/s"
SEED, DATAGRAM = "datagrams/s at a seed by processes", "us a datagram by processes"
RECORD_MEMORY, CALLED_MEMORY = "resident bytes by endpoint known", "traced bytes by endpoint called"
SERVICE_MEMORY = "resident bytes by service called"
ROUTE_MEMORY, TEXT, PACKED = "resident bytes by route", "text bytes by route", "packed bytes by route"
IN_FORCE = "ms to put in force by route"
CHANGE_SIZE, DISK_SIZE = "bytes a change by size, 5 replicas", "disk bytes a change by size"
CALLER, ENDPOINT_SIDECAR = "core of the caller's sidecar by calls/s", "core of the endpoint's sidecar by calls/s"


TABLE_MARK = re.compile(r"(<!-- table: ([a-z ]+) -->)\n.*?(<!-- end -->)", re.DOTALL)


@dataclass(frozen=True, slots=True)
class Row:
    """One row of a table."""

    what: str
    value: float
    unit: str
    how: str
    bound: float = 0.0
    """Upper limit of the value; 0: no limit."""
    error: float = 0.0
    """Half width of the 95% interval, from the measured slopes alone."""

    def cells(self) -> tuple[str, ...]:
        """Returns the texts of the cells."""
        value = figure(self.value) + (f" ± {figure(self.error)}" if self.error else "")
        holds = "" if not self.bound else "yes" if self.value + self.error <= self.bound else "**no**"
        return self.what, f"{value} {self.unit}", figure(self.bound) if self.bound else "", holds, self.how


def figure(value: float) -> str:
    """Formats a value with three significant digits, or as an integer with thousands separators from 100 on."""
    if value == 0:
        return "0"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def table(rows: Iterable[Row]) -> str:
    """Formats rows as a Markdown table."""
    head = ["figure", "at the size", "may be", "holds", "how it is worked out"]
    lines = ["| " + " | ".join(cells) + " |" for cells in (head, ["---"] * len(head), *(r.cells() for r in rows))]
    return "\n".join(lines)


def slopes(lines: Mapping[str, Line]) -> str:
    """Formats the measured lines as a table."""
    head = "| line | slope ± 95% | at 0 ± 95% | measured from, to | points |\n| --- | --- | --- | --- | --- |"
    rows = [
        f"| {name} | {m.slope:.4g} ± {m.interval:.2g} | {m.intercept:.4g} ± {m.intercept_interval:.2g} "
        f"| {m.least_x:,.0f}, {m.most_x:,.0f} | {m.points} |"
        for name, m in lines.items()
    ]
    return "\n".join([head, *rows])


def today(m: Mapping[str, Line]) -> list[Row]:
    """Returns the figures of a sidecar with the present mechanisms."""
    text, packed = m[TEXT].at(ROUTES), m[PACKED].at(ROUTES)
    datagrams = m[DATAGRAMS].at(SIDECARS) + m[DATAGRAMS_NEWS].slope * NEWS_RATE
    cost = datagram_cost(m)
    records = SIDECARS + ENDPOINTS
    parts = (m[RECORD_MEMORY].slope * records, m[SERVICE_MEMORY].slope * SERVICES, m[ROUTE_MEMORY].slope * ROUTES)
    held = 1e-6 * MEMORY
    rest = m[REST]
    news = m[NEWS]
    known = m[KNOWN]
    return [
        Row("gossip at rest", rest.at(SIDECARS), "B/s", "line of processes", BANDWIDTH, rest.error_at(SIDECARS)),
        Row("news", news.slope * NEWS_RATE, "B/s", f"{NEWS_RATE:.2f}/s", BANDWIDTH, news.interval * NEWS_RATE),
        Row("mending", known.slope * records, "B/s", f"{records:,} records", BANDWIDTH, known.interval * records),
        Row("configurations", packed * CHANGES, "B/s", f"{figure(packed)} B packed, each change", BANDWIDTH),
        Row("datagrams", datagrams * cost, "cores", f"{figure(datagrams)}/s of {figure(1e6 * cost)} us", CORE),
        Row("put in force", 1e-3 * m[IN_FORCE].at(ROUTES) * CHANGES, "cores", "each change, whole", CORE),
        Row("records", 1e-6 * parts[0], "MB", f"{records:,} of processes and endpoints", held),
        Row("ledgers", 1e-6 * parts[1], "MB", f"a way to each of {SERVICES:,} services", held),
        Row("routes", 1e-6 * parts[2], "MB", f"{ROUTES:,} routes, {figure(text)} B of text", held),
        Row("memory, all three", 1e-6 * sum(parts), "MB", "beside the program itself", held),
    ]


def calls(m: Mapping[str, Line], figures: Mapping[str, Sequence[float]]) -> list[Row]:
    """Returns the figures of a call through two sidecars with the present mechanisms."""
    each = CALLS / SIDECARS
    caller, endpoint_sidecar = m[CALLER], m[ENDPOINT_SIDECAR]
    error = caller.interval + endpoint_sidecar.interval
    spent = caller.slope + endpoint_sidecar.slope

    def added(quantile: str) -> tuple[float, float]:
        direct, over = figures[f"ms {quantile} direct, 200/s"], figures[f"ms {quantile} over two sidecars, 200/s"]
        return statistics.median(over) - statistics.median(direct), max(over) - min(over)

    middle, high = added("p50"), added("p99")
    return [
        Row("processor time of a call", 1000 * spent, "ms", "both sidecars together", ADDED, 1000 * error),
        Row("added to a call, median", middle[0], "ms", f"medians of runs, {figure(middle[1])} apart", ADDED),
        Row("added to a call, 99 in 100", high[0], "ms", f"medians of runs, {figure(high[1])} apart", ADDED),
        Row("calls of a sidecar", each, "per s", "out, and as many in"),
        Row("processor for them", each * spent, "cores", "not part of control's 3%", 0.0, each * error),
        Row("a chain", DEPTH * middle[0], "ms", f"{DEPTH} deep, at the median", DEPTH * ADDED),
    ]


def control_today(m: Mapping[str, Line]) -> list[Row]:
    """Returns the figures of the replicas and the gossip seeds with the present mechanisms."""
    text = m[TEXT].at(ROUTES)
    followers = REPLICAS - 1
    serial = 1 / (ROUND_TRIP + 2 * SYNC)
    return [
        Row(
            "datagrams at a seed", m[SEED].at(SIDECARS), "per s", "three seeds for all", 0.0, m[SEED].error_at(SIDECARS)
        ),
        Row("leader sends", text * followers * CHANGES, "B/s", f"{figure(text)} B to {followers} followers"),
        Row("disk of each", m[DISK_SIZE].slope * text * CHANGES, "B/s", "two copies of the whole"),
        Row(
            "changes a second",
            serial,
            "per s",
            f"one at a time: a round trip and two syncs; needed at the peak: {figure(CHANGES * PEAK)}",
        ),
        Row("orders remembered", 256 / CHANGES, "s", "256 of them; a retry later than that gets no clear answer"),
        Row("fetches", SIDECARS * m[PACKED].at(ROUTES) * CHANGES, "B/s", "all sidecars together, each change whole"),
    ]


def sidecar(m: Mapping[str, Line]) -> list[Row]:
    """Returns the figures of a sidecar with subscriptions, deltas and an aggregator."""
    share = CALLED / SERVICES
    endpoints = CALLED * ENDPOINTS / SERVICES
    routes = ROUTES * share
    cost = datagram_cost(m)
    delta = m[TEXT].slope + DELTA
    beats, checks = BEAT_BYTES / BEAT, CHECK_BYTES * CALLED / CHECK
    news, changes = ENDED * NEWS_EACH * share * RECORD, CHANGES * share * delta
    fixed = routes * m[ROUTE_MEMORY].slope + CALLED * m[SERVICE_MEMORY].slope
    memory = endpoints * m[RECORD_MEMORY].slope + fixed
    rate = 2 / BEAT + 2 / CHECK + PEAK * (CHANGES + ENDED * NEWS_EACH) * share
    largest = (MEMORY - memory) / (m[RECORD_MEMORY].slope + m[CALLED_MEMORY].slope)
    return [
        Row("endpoints known", endpoints, "", f"{CALLED} services of {figure(ENDPOINTS / SERVICES)} endpoints"),
        Row("memory for them and routes", 1e-6 * memory, "MB", f"and {figure(routes)} routes", 1e-6 * MEMORY),
        Row("further endpoints that would fill it", largest, "", "of large services: subsets must begin before"),
        Row("beats and checks", beats + checks, "B/s", "to the aggregator, and back", BANDWIDTH),
        Row(
            "news and deltas, mean",
            news + changes,
            "B/s",
            f"{figure(100 * share)}% of all; {figure(delta)} B a route",
            BANDWIDTH,
        ),
        Row("news and deltas, peak", PEAK * (news + changes), "B/s", f"{PEAK} times as many", BANDWIDTH),
        Row("all deltas, unsubscribed, peak", PEAK * CHANGES * delta, "B/s", "for comparison", BANDWIDTH),
        Row("processor", rate * cost, "cores", f"{figure(rate)} datagrams/s of {figure(1e6 * cost)} us", CORE),
    ]


def datagram_cost(m: Mapping[str, Line]) -> float:
    """Returns the CPU time of a datagram in s, measured with the largest number of processes."""
    return 1e-6 * m[DATAGRAM].at(m[DATAGRAM].most_x)


def aggregator_memory(m: Mapping[str, Line]) -> float:
    """Returns the memory of an aggregator in bytes: endpoints, routes and the subscriptions of the zone's sidecars."""
    subscriptions = SIDECARS / ZONES * CALLED * SUBSCRIPTION
    return ENDPOINTS * m[RECORD_MEMORY].slope + subscriptions + ROUTES * m[ROUTE_MEMORY].slope


def aggregator_datagrams() -> tuple[float, float]:
    """Returns datagrams per second: heartbeats and checks with their answers, and updates to subscribers on average."""
    sidecars = SIDECARS / ZONES
    return 2 * sidecars / BEAT + 2 * sidecars / CHECK, (CHANGES + ENDED * NEWS_EACH) * sidecars * CALLED / SERVICES


def aggregator(m: Mapping[str, Line]) -> list[Row]:
    """Returns the figures of an aggregator, which holds the control state of one zone's sidecars.

    Each zone has one, and a standby.
    """
    sidecars = SIDECARS / ZONES
    cost = datagram_cost(m)
    subscribers = sidecars * CALLED / SERVICES
    beats, updates = aggregator_datagrams()
    whole = CALLED * ENDPOINTS / SERVICES * RECORD
    zone_lost = sidecars * -(-CALLED * ENDPOINTS / SERVICES / ZONES * RECORD // DATAGRAM_BYTES)
    return [
        Row("sidecars", sidecars, "", f"{SIDECARS:,} in {ZONES} zones"),
        Row("subscribers of a service here", subscribers, "", f"{CALLED} of {SERVICES:,} services each"),
        Row("memory", 1e-6 * aggregator_memory(m), "MB", "all endpoints, all routes, the zone's subscriptions"),
        Row("beats and checks", beats, "datagrams/s", "with their answers"),
        Row("changes and news, mean", updates, "datagrams/s", "one to each subscriber"),
        Row("changes and news, peak", PEAK * updates, "datagrams/s", f"{PEAK} times as many"),
        Row("processor, mean", (beats + updates) * cost, "cores", f"{figure(1e6 * cost)} us a datagram"),
        Row("processor, peak", (beats + PEAK * updates) * cost, "cores", "the same"),
        Row("a change that all need", sidecars * cost, "s of a core", "one datagram to each sidecar of the zone"),
        Row("a rack lost", RACK * subscribers * cost, "s of a core", f"{RACK} endpoints to their subscribers here"),
        Row("another zone lost", zone_lost * cost, "s of a core", "its endpoints, packed for each sidecar here"),
        Row("all subscribe anew, whole", sidecars * whole * 1e-6, "MB", f"{figure(whole)} B each; by digests far less"),
    ]


def machine(m: Mapping[str, Line]) -> list[Row]:
    """Returns the figures of a control machine in the worst case, when one of three in its region is lost."""
    zones = ZONES // REGIONS
    remaining_machines = MACHINES // REGIONS - 1
    beats, updates = aggregator_datagrams()
    aggregators = 2 * zones / remaining_machines
    replica = REMEMBERED_BYTES * CHANGES * DAY + 3 * m[TEXT].at(ROUTES)
    memory = aggregators * aggregator_memory(m) + relay_memory(m) + replica
    processor = (
        zones / remaining_machines * (beats + PEAK * updates) + zones / remaining_machines * PEAK * (CHANGES + ENDED)
    ) * datagram_cost(m)
    return [
        Row(
            "aggregators", aggregators, "", f"{zones} zones and a second one for each, on {remaining_machines} machines"
        ),
        Row("memory", 1e-6 * memory, "MB", "aggregators, a relay and a replica, beside the programs"),
        Row("processor, peak", processor, "cores", "first aggregators at their peak, the second ones only listen"),
    ]


def relay_memory(m: Mapping[str, Line]) -> float:
    """Returns the memory of a relay in bytes: all endpoints and all routes."""
    return ENDPOINTS * m[RECORD_MEMORY].slope + ROUTES * m[ROUTE_MEMORY].slope


def relay(m: Mapping[str, Line]) -> list[Row]:
    """Returns the figures of a region's relay, which connects control, the other regions and the zones."""
    delta = m[TEXT].slope + DELTA
    zones = ZONES // REGIONS
    news = ENDED * NEWS_EACH * RECORD
    missed = 300 * PEAK * CHANGES
    return [
        Row("memory", 1e-6 * relay_memory(m), "MB", "all endpoints and all routes"),
        Row("from control, peak", PEAK * CHANGES * delta, "B/s", "each delta once"),
        Row("to zones, peak", PEAK * zones * (CHANGES * delta + news), "B/s", f"{zones} aggregators, deltas and news"),
        Row("to other regions, peak", PEAK * (REGIONS - 1) * news / REGIONS, "B/s", "news of its own endpoints"),
        Row("after 5 min cut off, at the peak", missed * delta * 1e-6, "MB", f"{figure(missed)} deltas"),
    ]


def control(m: Mapping[str, Line]) -> list[Row]:
    """Returns the figures of seven replicas in four regions, with batches of deltas and periodic snapshots."""
    delta = m[TEXT].slope + DELTA
    text = m[TEXT].at(ROUTES)
    batch = 0.1
    snapshot = 1000
    return [
        Row(
            "entries a second",
            min(CHANGES * PEAK, 1 / (ROUND_TRIP + 2 * SYNC)),
            "per s",
            "batches of what came meanwhile",
        ),
        Row(
            "leader sends, peak", PEAK * CHANGES * delta * (REPLICAS - 1), "B/s", f"{figure(delta)} B to each follower"
        ),
        Row(
            "disk of each, peak",
            PEAK * CHANGES * (2 * delta + 2 * text / snapshot),
            "B/s",
            f"deltas, and the whole every {snapshot:,}; two copies",
        ),
        Row(
            "orders of a day remembered",
            REMEMBERED_BYTES * CHANGES * DAY * 1e-6,
            "MB",
            f"{REMEMBERED_BYTES} B each: number, base, digest",
        ),
        Row("commit", batch + ROUND_TRIP + 2 * SYNC, "s", "waits for its batch, a round trip, two syncs"),
        Row(
            "in force everywhere",
            batch + 1.5 * ROUND_TRIP + 2 * SYNC + 3 * 0.05 + 2 * 1.0,
            "s",
            "commit, three hops of 50 ms, two messages lost and sent again after 1 s",
            8.0,
        ),
    ]


def singles(figures: Mapping[str, Sequence[float]]) -> str:
    """Formats the single figures of each run as a table."""
    rows = [f"| {name} | {', '.join(f'{v:.3g}' for v in values)} |" for name, values in figures.items()]
    return "\n".join(["| figure | each run |", "| --- | --- |", *rows])


def tables(m: Mapping[str, Line], figures: Mapping[str, Sequence[float]]) -> dict[str, str]:
    """Returns all tables, by their names in the page's marks."""
    return {
        "lines": slopes(m),
        "singles": singles(figures),
        "sidecar today": table(today(m)),
        "calls today": table(calls(m, figures)),
        "control today": table(control_today(m)),
        "sidecar": table(sidecar(m)),
        "aggregator": table(aggregator(m)),
        "relay": table(relay(m)),
        "control": table(control(m)),
        "machine": table(machine(m)),
    }


@dataclass(frozen=True, slots=True)
class Measured:
    """The results of one run of ``benchmarks.capacity measure``."""

    header: str
    """The measured commit, the time and the load of the machine."""
    tables: dict[str, str]
    """Markdown tables, by name."""


def read_measured(text: str) -> Measured:
    """Computes the tables from the output of ``benchmarks.capacity measure``."""
    results = json.loads(text)
    lines = {name: Line(**fields) for name, fields in results["lines"].items()}
    before, after = results["load before"][0], results["load after"][0]
    header = (
        f"Measured on {results['commit']}, {results['began']}; "
        f"load of the machine {before:.1f} before, {after:.1f} after."
    )
    return Measured(header, {"run": header, **tables(lines, results["figures"])})


def fill(page: str, tables: Mapping[str, str]) -> str:
    """Returns the page with each table between its marks. Raises KeyError if a mark names no table."""
    return TABLE_MARK.sub(lambda found: f"{found[1]}\n{tables[found[2]]}\n{found[3]}", page)
