"""The arithmetic of ``docs/CAPACITY.md``: measured slopes, carried on to the size to design for. Pure."""

from __future__ import annotations

import json
import re
import statistics
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from benchmarks.fitting import Line

DAY = 86_400.0  # s

# --- the size to design for, in the users' words ---

SIDECARS = ENDPOINTS = 34_000
SERVICES = 2_500
CALLS = 7.2e6  # a second
DEPTH = 24  # of calls
REGIONS, ZONES = 4, 16
CHANGES = 51_000 / DAY  # of the configuration a second
ENDED = (88 + 2_400) / DAY  # machines a second that fail, or are restarted or replaced
CORE, MEMORY, BANDWIDTH = 0.03, 32e6, 3000.0  # that control may take of a sidecar's machine: of a core, bytes, bytes/s
MACHINES = 15  # set aside for control
ADDED = 0.34  # ms added to a call, for 99 in 100

# --- assumptions: the letter doesn't say these ---

CALLED = 25  # services that the routes of one sidecar's callers reach
ROUTES = 2 * SERVICES
PEAK = 10  # times the mean rate of changes, in the worst minute
NEWS_EACH = 4  # records that one machine's end and successor make: end and start of the process and of the endpoint
ROUND_TRIP = 0.15  # s between the farthest two regions
SYNC = 0.005  # s
RECORD = 130  # bytes on the wire of an endpoint's record: 98 of its own, the rest for its place in the subscription
DELTA = 60  # bytes on the wire of one route's change beside the route itself
BEAT, BEAT_BYTES = 1.0, 100  # s between two beats of a sidecar to its aggregator, and bytes of one with its answer
CHECK, CHECK_BYTES = 10.0, 16  # s between two checks of all subscriptions, and bytes of each one's part
SUBSCRIPTION = 200  # bytes of memory of one subscription at an aggregator
RACK = 40  # machines
DATAGRAM_BYTES = 1100  # of records in one
REMEMBERED_BYTES = 40  # of an order: its number, its base and its digest

REPLICAS = 7
NEWS_RATE = ENDED * NEWS_EACH + CHANGES
"""Records a second that all are told of today."""

REST, NEWS, KNOWN = "rest bytes/s by processes", "bytes/s by news/s", "bytes/s by endpoints known"
DATAGRAMS, DATAGRAMS_NEWS = "rest datagrams/s by processes", "datagrams/s by news/s"
SEED, DATAGRAM = "datagrams/s at a seed by processes", "us a datagram by processes"
RECORD_MEMORY, CALLED_MEMORY = "resident bytes by endpoint known", "traced bytes by endpoint called"
SERVICE_MEMORY = "resident bytes by service called"
ROUTE_MEMORY, TEXT, PACKED = "resident bytes by route", "text bytes by route", "packed bytes by route"
IN_FORCE = "ms to put in force by route"
CHANGE_SIZE, DISK_SIZE = "bytes a change by size, 5 replicas", "disk bytes a change by size"
CALLER, KEEPER = "core of the caller's sidecar by calls/s", "core of the endpoint's sidecar by calls/s"


MARKED = re.compile(r"(<!-- table: ([a-z ]+) -->)\n.*?(<!-- end -->)", re.DOTALL)


@dataclass(frozen=True, slots=True)
class Row:
    """One figure of a table."""

    what: str
    value: float
    unit: str
    how: str
    bound: float = 0.0
    """What it may be; 0: nothing is said of it."""
    error: float = 0.0
    """Half of its 95% interval, of the measured slopes alone."""

    def cells(self) -> tuple[str, ...]:
        value = figure(self.value) + (f" ± {figure(self.error)}" if self.error else "")
        held = "" if not self.bound else "yes" if self.value + self.error <= self.bound else "**no**"
        return self.what, f"{value} {self.unit}", figure(self.bound) if self.bound else "", held, self.how


def figure(value: float) -> str:
    """Three digits, with thousands set apart."""
    if value == 0:
        return "0"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def table(rows: Iterable[Row]) -> str:
    head = ["figure", "at the size", "may be", "holds", "how it is worked out"]
    lines = ["| " + " | ".join(cells) + " |" for cells in (head, ["---"] * len(head), *(r.cells() for r in rows))]
    return "\n".join(lines)


def slopes(lines: Mapping[str, Line]) -> str:
    """The lines as they were measured."""
    head = "| line | slope ± 95% | at 0 ± 95% | measured from, to | points |\n| --- | --- | --- | --- | --- |"
    rows = [
        f"| {name} | {m.slope:.4g} ± {m.interval:.2g} | {m.intercept:.4g} ± {m.intercept_interval:.2g} "
        f"| {m.least_x:,.0f}, {m.most_x:,.0f} | {m.points} |"
        for name, m in lines.items()
    ]
    return "\n".join([head, *rows])


def today(m: Mapping[str, Line]) -> list[Row]:
    """Each sidecar, with the mechanisms that run now."""
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
    """A call over two sidecars, as it runs now."""
    each = CALLS / SIDECARS
    caller, keeper = m[CALLER], m[KEEPER]
    error = caller.interval + keeper.interval
    spent = caller.slope + keeper.slope

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
    """The group of replicas, and the seeds, with the mechanisms that run now."""
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
    """With subscriptions, deltas and an aggregator."""
    share = CALLED / SERVICES
    endpoints = CALLED * ENDPOINTS / SERVICES
    routes = ROUTES * share
    cost = datagram_cost(m)
    delta = m[TEXT].slope + DELTA
    beats, checks = BEAT_BYTES / BEAT, CHECK_BYTES * CALLED / CHECK
    news, changes = ENDED * NEWS_EACH * share * RECORD, CHANGES * share * delta
    fixed = routes * m[ROUTE_MEMORY].slope + CALLED * m[SERVICE_MEMORY].slope
    held = endpoints * m[RECORD_MEMORY].slope + fixed
    rate = 2 / BEAT + 2 / CHECK + PEAK * (CHANGES + ENDED * NEWS_EACH) * share
    largest = (MEMORY - held) / (m[RECORD_MEMORY].slope + m[CALLED_MEMORY].slope)
    return [
        Row("endpoints known", endpoints, "", f"{CALLED} services of {figure(ENDPOINTS / SERVICES)} endpoints"),
        Row("memory for them and routes", 1e-6 * held, "MB", f"and {figure(routes)} routes", 1e-6 * MEMORY),
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
    """s of processor time of a datagram, as measured with the most processes."""
    return 1e-6 * m[DATAGRAM].at(m[DATAGRAM].most_x)


def aggregator_memory(m: Mapping[str, Line]) -> float:
    """Bytes: all endpoints, all routes, the subscriptions of the zone's sidecars."""
    subscriptions = SIDECARS / ZONES * CALLED * SUBSCRIPTION
    return ENDPOINTS * m[RECORD_MEMORY].slope + subscriptions + ROUTES * m[ROUTE_MEMORY].slope


def aggregator_datagrams() -> tuple[float, float]:
    """A second: beats and checks with their answers, and what goes to subscribers at the mean rates."""
    here = SIDECARS / ZONES
    return 2 * here / BEAT + 2 * here / CHECK, (CHANGES + ENDED * NEWS_EACH) * here * CALLED / SERVICES


def aggregator(m: Mapping[str, Line]) -> list[Row]:
    """One for each zone, with another beside it: all state of the zone's sidecars that control has."""
    here = SIDECARS / ZONES
    cost = datagram_cost(m)
    subscribers = here * CALLED / SERVICES
    beats, fan = aggregator_datagrams()
    whole = CALLED * ENDPOINTS / SERVICES * RECORD
    zone_lost = here * -(-CALLED * ENDPOINTS / SERVICES / ZONES * RECORD // DATAGRAM_BYTES)
    return [
        Row("sidecars", here, "", f"{SIDECARS:,} in {ZONES} zones"),
        Row("subscribers of a service here", subscribers, "", f"{CALLED} of {SERVICES:,} services each"),
        Row("memory", 1e-6 * aggregator_memory(m), "MB", "all endpoints, all routes, the zone's subscriptions"),
        Row("beats and checks", beats, "datagrams/s", "with their answers"),
        Row("changes and news, mean", fan, "datagrams/s", "one to each subscriber"),
        Row("changes and news, peak", PEAK * fan, "datagrams/s", f"{PEAK} times as many"),
        Row("processor, mean", (beats + fan) * cost, "cores", f"{figure(1e6 * cost)} us a datagram"),
        Row("processor, peak", (beats + PEAK * fan) * cost, "cores", "the same"),
        Row("a change that all need", here * cost, "s of a core", "one datagram to each sidecar of the zone"),
        Row("a rack lost", RACK * subscribers * cost, "s of a core", f"{RACK} endpoints to their subscribers here"),
        Row("another zone lost", zone_lost * cost, "s of a core", "its endpoints, packed for each sidecar here"),
        Row("all subscribe anew, whole", here * whole * 1e-6, "MB", f"{figure(whole)} B each; by digests far less"),
    ]


def machine(m: Mapping[str, Line]) -> list[Row]:
    """One of those set aside, at the worst: its region has three of them and one is lost."""
    zones = ZONES // REGIONS
    left = MACHINES // REGIONS - 1
    beats, fan = aggregator_datagrams()
    aggregators = 2 * zones / left
    replica = REMEMBERED_BYTES * CHANGES * DAY + 3 * m[TEXT].at(ROUTES)
    memory = aggregators * aggregator_memory(m) + relay_memory(m) + replica
    processor = (zones / left * (beats + PEAK * fan) + zones / left * PEAK * (CHANGES + ENDED)) * datagram_cost(m)
    return [
        Row("aggregators", aggregators, "", f"{zones} zones and a second one for each, on {left} machines"),
        Row("memory", 1e-6 * memory, "MB", "aggregators, a relay and a replica, beside the programs"),
        Row("processor, peak", processor, "cores", "first aggregators at their peak, the second ones only listen"),
    ]


def relay_memory(m: Mapping[str, Line]) -> float:
    """Bytes: all endpoints and all routes."""
    return ENDPOINTS * m[RECORD_MEMORY].slope + ROUTES * m[ROUTE_MEMORY].slope


def relay(m: Mapping[str, Line]) -> list[Row]:
    """One for each region, with others beside it: between control, the other regions and the zones."""
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
    """Seven replicas over four regions, a log of deltas in batches, a snapshot now and then."""
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
    """Figures that are no lines: each run's."""
    rows = [f"| {name} | {', '.join(f'{v:.3g}' for v in values)} |" for name, values in figures.items()]
    return "\n".join(["| figure | each run |", "| --- | --- |", *rows])


def tables(m: Mapping[str, Line], figures: Mapping[str, Sequence[float]]) -> dict[str, str]:
    """All tables of the page, by the name that stands in its marks."""
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
    """What a run has written."""

    said: str
    """Which sources, when, under what load."""
    tables: dict[str, str]


def read_measured(text: str) -> Measured:
    """The tables that follow from what ``benchmarks.capacity measure`` has written."""
    told = json.loads(text)
    lines = {name: Line(**fields) for name, fields in told["lines"].items()}
    before, after = told["load before"][0], told["load after"][0]
    said = f"Measured on {told['commit']}, {told['began']}; load of the machine {before:.1f} before, {after:.1f} after."
    return Measured(said, {"run": said, **tables(lines, told["figures"])})


def fill(page: str, made: Mapping[str, str]) -> str:
    """The page with each table put between its marks. KeyError where a mark names no table."""
    return MARKED.sub(lambda found: f"{found[1]}\n{made[found[2]]}\n{found[3]}", page)
