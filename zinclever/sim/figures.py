"""What came of a day: service as its clients saw it, and what servers and discovery were sent."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ..simnet.scheduler import NS
from .days import CACHE_SAVING

if TYPE_CHECKING:
    from .applications import ClientRequest
    from .scene import BaseWorld

WORST_WINDOW_SECONDS = 10  # s: the worst stretch of a day is looked for in windows of so long
BASELINE_SECONDS = 4  # s of a day, from the first that counts, before any trouble begins
CAPACITY_THRESHOLD = 0.9  # of the capacity before: it has returned
SERVICE_THRESHOLD = 0.95  # of the service before: it is back
STABLE_SECONDS = 3  # s for which it has to be
IGNORED_SECONDS = 1  # s of a day that don't count: nobody has learnt anything yet


@dataclass(slots=True)
class FleetCounters:
    """By second of the world where a second matters."""

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
        return self.world.now() // NS

    def count_handshake(self, server: str) -> None:
        self.handshakes[self.second(), server] += 1

    def count_request(self, server: str) -> None:
        self.sent[self.second(), server] += 1

    def count_discovery_call(self) -> None:
        self.discovery_calls[self.second()] += 1

    def count_discovery_entries(self, count: int) -> None:
        self.discovery_lines[self.second()] += count


class ServiceMetrics:
    """Service by second, and by class: worth asked for, and worth answered within its aim."""

    def __init__(self, world: BaseWorld) -> None:
        self.world = world
        self.requests_by_second: Counter[tuple[int, str]] = Counter()
        self.in_time_by_second: Counter[tuple[int, str]] = Counter()
        """By second in which its first try began, and class; counted in requests."""
        self.worth_by_second: dict[tuple[int, str], float] = {}
        self.in_time_worth_by_second: dict[tuple[int, str], float] = {}
        self.first_tries = self.served = 0
        self.capacity: Counter[int] = Counter()
        """By second: work in ns that the servers could do which are there, cold ones at what they can."""
        self.work: Counter[tuple[int, str]] = Counter()
        """By second and class: work in ns that was asked for."""

    def sample(self) -> None:
        """Once a second of the day: what the servers can do."""
        second = self.world.day_second(self.world.now())
        self.capacity[second] = round(
            sum(s.core.current_speed() for s in self.world.servers.values() if s.is_serving()) * NS
        )
        if not self.world.over:
            self.world.scheduler.after(NS, self.sample)

    def on_request_started(self, request: ClientRequest) -> None:
        key = self.world.day_second(request.started_at), request.kind.name
        self.first_tries += 1
        self.requests_by_second[key] += 1
        self.worth_by_second[key] = self.worth_by_second.get(key, 0.0) + request.kind.worth * request.work
        self.work[key] += round(request.work * NS)

    def on_request_finished(self, request: ClientRequest, served: bool) -> None:
        self.served += served
        if served and self.world.now() - request.started_at <= request.kind.aim_ms * NS / 1000:
            key = self.world.day_second(request.started_at), request.kind.name
            self.in_time_by_second[key] += 1
            self.in_time_worth_by_second[key] = (
                self.in_time_worth_by_second.get(key, 0.0) + request.kind.worth * request.work
            )

    def in_time_share(self, first: int, last: int, name: str = "") -> float:
        """Of the worth asked for in these seconds, what was answered in time."""
        keys = [key for key in self.worth_by_second if first <= key[0] < last and name in ("", key[1])]
        total_worth = sum(self.worth_by_second[key] for key in keys)
        return sum(self.in_time_worth_by_second.get(key, 0.0) for key in keys) / total_worth if total_worth else 1.0

    def worth_upper_bound(self, first: int, last: int) -> float:
        """The most of the worth that any balancer could have had answered: each second's capacity goes to what is worth
        most for its work. An estimate: key caches spare what they do on an ordinary day, and nothing is put off."""
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
        """s from the return of capacity until service is back at 0.95 of what it was before.

        Capacity is back after the last second in which it was under 0.9 of its mean at first. 0 where it never went, -1
        where service isn't back by the end of the day.
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
        """Of the requests, from the first second on, those answered in time."""
        requested = sum(
            count for (second, _), count in self.requests_by_second.items() if IGNORED_SECONDS <= second < seconds
        )
        in_time = sum(
            count for (second, _), count in self.in_time_by_second.items() if IGNORED_SECONDS <= second < seconds
        )
        return in_time / requested if requested else 1.0

    def worst_window(self, seconds: int) -> float:
        last = max(IGNORED_SECONDS + 1, seconds - WORST_WINDOW_SECONDS + 1)
        return min(self.in_time_share(first, first + WORST_WINDOW_SECONDS) for first in range(IGNORED_SECONDS, last))


def summary(world: BaseWorld, breaches: list[Any]) -> dict[str, Any]:
    """One object for a day, ready to be printed as JSON."""
    day, counts, figures = world.day, world.counts, world.figures
    seconds = round(day.seconds)
    names = [kind.name for kind in day.classes]
    by_server = Counter[str]()
    for (_, server), count in counts.handshakes.items():
        by_server[server] += count
    worth = figures.in_time_share(IGNORED_SECONDS, seconds)
    by_class = {name: round(figures.in_time_share(IGNORED_SECONDS, seconds, name), 4) for name in names}
    worst = figures.worst_window(seconds)
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
        "worth_in_time": round(worth, 4),
        "worst_10s": round(worst, 4),
        "by_class": by_class,
        "bound": round(figures.worth_upper_bound(IGNORED_SECONDS, seconds), 4),
        "recovered_s": figures.recovery_seconds(seconds),
        "goal": round(0.6 * worth + 0.2 * worst + 0.2 * min(by_class.values()), 4),
        "answers": dict(sorted(counts.answers.items())),
        "tries": len(world.log.asked),
        "attempts": len(world.log.received),
        "breaches": [f"rule {b.rule}: {b.about}: {b.what}" for b in breaches] + counts.crashes,
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
