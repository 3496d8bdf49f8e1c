"""Metrics of a day: the service that clients received, and the traffic that servers and discovery received."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ..simnet.scheduler import NS
from .days import CACHE_SAVING

if TYPE_CHECKING:
    from .applications import ClientRequest
    from .scene import BaseWorld

WORST_WINDOW_SECONDS = 10  # length of the window in which the worst service is searched
BASELINE_SECONDS = 4  # seconds after the ignored ones that give the baseline; faults begin later
CAPACITY_THRESHOLD = 0.9  # fraction of the baseline capacity from which on capacity counts as restored
SERVICE_THRESHOLD = 0.95  # fraction of the baseline service from which on service counts as recovered
STABLE_SECONDS = 3  # seconds for which service has to stay above that threshold
IGNORED_SECONDS = 1  # seconds at the start of a day that are not counted: the sidecars have no measurements yet


@dataclass(slots=True)
class FleetCounters:
    """Counts of events in the fleet; those with an ``int`` key are per second of simulated time."""

    world: BaseWorld
    handshakes: Counter[tuple[int, str]] = field(default_factory=Counter)
    sent: Counter[tuple[int, str]] = field(default_factory=Counter)
    discovery_calls: Counter[int] = field(default_factory=Counter)
    discovery_lines: Counter[int] = field(default_factory=Counter)
    discovery_failures: int = 0
    malformed: int = 0
    unreachable: int = 0
    answers: Counter[str] = field(default_factory=Counter)
    overloaded_servers: list[str] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)

    def second(self) -> int:
        """Return the current second of the simulation's clock."""
        return self.world.now() // NS

    def count_handshake(self, server: str) -> None:
        """Count a connection attempt at a server."""
        self.handshakes[self.second(), server] += 1

    def count_request(self, server: str) -> None:
        """Count a request that a server received."""
        self.sent[self.second(), server] += 1

    def count_discovery_call(self) -> None:
        """Count a call that discovery received."""
        self.discovery_calls[self.second()] += 1

    def count_discovery_entries(self, count: int) -> None:
        """Count the entries that discovery sent in an answer."""
        self.discovery_lines[self.second()] += count


class ServiceMetrics:
    """Service per second and request class: the value of all requests, and of those answered in time.

    The value of a request is its class's ``worth`` times its work; an answer is in time within the class's ``aim_ms``.
    """

    def __init__(self, world: BaseWorld) -> None:
        self.world = world
        self.requests_by_second: Counter[tuple[int, str]] = Counter()
        self.in_time_by_second: Counter[tuple[int, str]] = Counter()
        """Requests by class and by the second in which their first try was sent."""
        self.value_by_second: dict[tuple[int, str], float] = {}
        self.in_time_value_by_second: dict[tuple[int, str], float] = {}
        self.first_tries = self.served = 0
        self.capacity: Counter[int] = Counter()
        """Work in ns that the available servers can do in each second; cold servers count at their reduced speed."""
        self.work: Counter[tuple[int, str]] = Counter()
        """Requested work in ns, by second and class."""

    def sample(self) -> None:
        """Record the servers' present capacity; repeats itself every second of the day."""
        second = self.world.day_second(self.world.now())
        self.capacity[second] = round(
            sum(s.core.current_speed() for s in self.world.servers.values() if s.is_serving()) * NS
        )
        if not self.world.over:
            self.world.scheduler.after(NS, self.sample)

    def on_request_started(self, request: ClientRequest) -> None:
        """Count a new request."""
        key = self.world.day_second(request.started_at), request.kind.name
        self.first_tries += 1
        self.requests_by_second[key] += 1
        self.value_by_second[key] = self.value_by_second.get(key, 0.0) + request.kind.worth * request.work
        self.work[key] += round(request.work * NS)

    def on_request_finished(self, request: ClientRequest, served: bool) -> None:
        """Count the end of a request, and whether it was answered in time."""
        self.served += served
        if served and self.world.now() - request.started_at <= request.kind.aim_ms * NS / 1000:
            key = self.world.day_second(request.started_at), request.kind.name
            self.in_time_by_second[key] += 1
            self.in_time_value_by_second[key] = (
                self.in_time_value_by_second.get(key, 0.0) + request.kind.worth * request.work
            )

    def in_time_share(self, first: int, last: int, name: str = "") -> float:
        """Return the fraction of the requested value that was answered in time.

        Args:
            first: First second of the day.
            last: End of the range, exclusive.
            name: The request class; all classes if empty.
        """
        keys = [key for key in self.value_by_second if first <= key[0] < last and name in ("", key[1])]
        total_value = sum(self.value_by_second[key] for key in keys)
        return sum(self.in_time_value_by_second.get(key, 0.0) for key in keys) / total_value if total_value else 1.0

    def value_upper_bound(self, first: int, last: int) -> float:
        """Estimate the highest fraction of the requested value that any balancer could serve in these seconds.

        The capacity of each second goes to the classes with the highest value per unit of work. The estimate assumes
        the usual savings of the key caches and that no work is deferred to a later second.
        """
        kinds = sorted(self.world.day.classes, key=lambda kind: -kind.worth)
        requested = achieved = 0.0
        for second in range(first, last):
            remaining = self.capacity[second] / (1.0 - CACHE_SAVING)
            for kind in kinds:
                work = self.work[second, kind.name]
                done = min(remaining, work)
                remaining -= done
                requested += kind.worth * work
                achieved += kind.worth * done
        return achieved / requested if requested else 1.0

    def recovery_seconds(self, seconds: int) -> int:
        """Return the seconds from the restoration of capacity until service is back at 0.95 of its baseline.

        Capacity counts as restored after the last second in which it was below 0.9 of its baseline mean.

        Returns:
            0 if capacity never fell below that, -1 if service has not recovered by the end of the day.
        """
        before = [self.capacity[s] for s in range(IGNORED_SECONDS, IGNORED_SECONDS + BASELINE_SECONDS)]
        baseline = sum(before) / len(before)
        degraded = [s for s in range(IGNORED_SECONDS, seconds) if self.capacity[s] < CAPACITY_THRESHOLD * baseline]
        if not degraded:
            return 0
        target = SERVICE_THRESHOLD * self.in_time_share(IGNORED_SECONDS, IGNORED_SECONDS + BASELINE_SECONDS)
        for second in range(degraded[-1] + 1, seconds - STABLE_SECONDS + 1):
            if self.in_time_share(second, second + STABLE_SECONDS) >= target:
                return second - degraded[-1] - 1
        return -1

    def in_time_ratio(self, seconds: int) -> float:
        """Return the fraction of requests that were answered in time, after the ignored first seconds."""
        requested = sum(
            count for (second, _), count in self.requests_by_second.items() if IGNORED_SECONDS <= second < seconds
        )
        in_time = sum(
            count for (second, _), count in self.in_time_by_second.items() if IGNORED_SECONDS <= second < seconds
        )
        return in_time / requested if requested else 1.0

    def worst_window(self, seconds: int) -> float:
        """Return the lowest in-time share of any window of ``WORST_WINDOW_SECONDS``."""
        last = max(IGNORED_SECONDS + 1, seconds - WORST_WINDOW_SECONDS + 1)
        return min(self.in_time_share(first, first + WORST_WINDOW_SECONDS) for first in range(IGNORED_SECONDS, last))


def summary(world: BaseWorld, breaches: list[Any]) -> dict[str, Any]:
    """Return the results of a day as an object that can be serialized to JSON."""
    day, counts, figures = world.day, world.counts, world.figures
    seconds = round(day.seconds)
    names = [kind.name for kind in day.classes]
    by_server = Counter[str]()
    for (_, server), count in counts.handshakes.items():
        by_server[server] += count
    value_share = figures.in_time_share(IGNORED_SECONDS, seconds)
    by_class = {name: round(figures.in_time_share(IGNORED_SECONDS, seconds, name), 4) for name in names}
    worst_share = figures.worst_window(seconds)
    return {
        "kind": day.kind,
        "seed": day.seed,
        "seconds": day.seconds,
        "sidecars": day.sidecars,
        "endpoints": day.endpoints,
        "rate": day.rate,
        "trace": world.trace.digest(),
        "requests": figures.first_tries,
        "served": figures.served,
        "served_in_time": round(figures.in_time_ratio(seconds), 4),
        "worth_in_time": round(value_share, 4),
        "worst_10s": round(worst_share, 4),
        "by_class": by_class,
        "bound": round(figures.value_upper_bound(IGNORED_SECONDS, seconds), 4),
        "recovered_s": figures.recovery_seconds(seconds),
        "goal": round(0.6 * value_share + 0.2 * worst_share + 0.2 * min(by_class.values()), 4),
        "answers": dict(sorted(counts.answers.items())),
        "tries": len(world.log.sent_requests),
        "attempts": len(world.log.received),
        "breaches": [f"rule {b.rule}: {b.subject}: {b.description}" for b in breaches] + counts.crashes,
        "fallen": len(counts.overloaded_servers),
        "handshakes": sum(counts.handshakes.values()),
        "handshakes_worst_second": max(counts.handshakes.values(), default=0),
        "list_calls": sum(counts.discovery_calls.values()),
        "list_calls_worst_second": max(counts.discovery_calls.values(), default=0),
        "list_failures": counts.discovery_failures,
        "unreachable": counts.unreachable,
        "malformed": counts.malformed,
        "descriptors_most": max((s.descriptors() for s in world.sidecars), default=0),
        "segments": world.trace.count,
    }
