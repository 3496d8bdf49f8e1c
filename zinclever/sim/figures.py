"""What came of a day: service as its clients saw it, and what servers and discovery were sent."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ..simnet.scheduler import NS
from .days import SPARED

if TYPE_CHECKING:
    from .applications import Story
    from .scene import BaseWorld

WINDOW = 10  # s: the worst stretch of a day is looked for in windows of so long
BEFORE = 4  # s of a day, from the first that counts, before any trouble begins
RETURNED = 0.9  # of the capacity before: it has returned
BACK = 0.95  # of the service before: it is back
STEADY = 3  # s for which it has to be
FIRST = 1  # s of a day that don't count: nobody has learnt anything yet


@dataclass(slots=True)
class Counts:
    """By second of the world where a second matters."""

    world: BaseWorld
    handshakes: Counter[tuple[int, str]] = field(default_factory=Counter)
    sent: Counter[tuple[int, str]] = field(default_factory=Counter)
    calls: Counter[int] = field(default_factory=Counter)
    lines: Counter[int] = field(default_factory=Counter)
    list_failures: int = 0
    malformed: int = 0
    unreachable: int = 0
    answers: Counter[str] = field(default_factory=Counter)
    fallen: list[str] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)

    def second(self) -> int:
        return self.world.now() // NS

    def handshake(self, server: str) -> None:
        self.handshakes[self.second(), server] += 1

    def received(self, server: str) -> None:
        self.sent[self.second(), server] += 1

    def list_call(self) -> None:
        self.calls[self.second()] += 1

    def list_line(self, count: int) -> None:
        self.lines[self.second()] += count


class Figures:
    """Service by second, and by class: worth asked for, and worth answered within its aim."""

    def __init__(self, world: BaseWorld) -> None:
        self.world = world
        self.asked: Counter[tuple[int, str]] = Counter()
        self.in_time: Counter[tuple[int, str]] = Counter()
        """By second in which its first try began, and class; counted in requests."""
        self.worth: dict[tuple[int, str], float] = {}
        self.worth_in_time: dict[tuple[int, str], float] = {}
        self.first_tries = self.served = 0
        self.capacity: Counter[int] = Counter()
        """By second: work in ns that the servers could do which are there, cold ones at what they can."""
        self.work: Counter[tuple[int, str]] = Counter()
        """By second and class: work in ns that was asked for."""

    def sample(self) -> None:
        """Once a second of the day: what the servers can do."""
        second = self.world.day_second(self.world.now())
        self.capacity[second] = round(sum(s.core.rate() for s in self.world.servers.values() if s.serves()) * NS)
        if not self.world.over:
            self.world.scheduler.after(NS, self.sample)

    def began(self, story: Story) -> None:
        key = self.world.day_second(story.began), story.kind.name
        self.first_tries += 1
        self.asked[key] += 1
        self.worth[key] = self.worth.get(key, 0.0) + story.kind.worth * story.work
        self.work[key] += round(story.work * NS)

    def ended(self, story: Story, served: bool) -> None:
        self.served += served
        if served and self.world.now() - story.began <= story.kind.aim_ms * NS / 1000:
            key = self.world.day_second(story.began), story.kind.name
            self.in_time[key] += 1
            self.worth_in_time[key] = self.worth_in_time.get(key, 0.0) + story.kind.worth * story.work

    def share(self, first: int, last: int, name: str = "") -> float:
        """Of the worth asked for in these seconds, what was answered in time."""
        keys = [k for k in self.worth if first <= k[0] < last and name in ("", k[1])]
        whole = sum(self.worth[k] for k in keys)
        return sum(self.worth_in_time.get(k, 0.0) for k in keys) / whole if whole else 1.0

    def bound(self, first: int, last: int) -> float:
        """The most of the worth that any balancer could have had answered: each second's capacity goes to what is worth
        most for its work. An estimate: key caches spare what they do on an ordinary day, and nothing is put off."""
        kinds = sorted(self.world.day.classes, key=lambda k: -k.worth)
        asked = got = 0.0
        for second in range(first, last):
            left = self.capacity[second] / (1.0 - SPARED)
            for kind in kinds:
                work = self.work[second, kind.name]
                done = min(left, work)
                left -= done
                asked += kind.worth * work
                got += kind.worth * done
        return got / asked if asked else 1.0

    def recovered(self, seconds: int) -> int:
        """s from the return of capacity until service is back at 0.95 of what it was before.

        Capacity is back after the last second in which it was under 0.9 of its mean at first. 0 where it never went, -1
        where service isn't back by the end of the day.
        """
        before = [self.capacity[s] for s in range(FIRST, FIRST + BEFORE)]
        usual = sum(before) / len(before)
        low = [s for s in range(FIRST, seconds) if self.capacity[s] < RETURNED * usual]
        if not low:
            return 0
        wanted = BACK * self.share(FIRST, FIRST + BEFORE)
        for second in range(low[-1] + 1, seconds - STEADY + 1):
            if self.share(second, second + STEADY) >= wanted:
                return second - low[-1] - 1
        return -1

    def counted(self, seconds: int) -> float:
        """Of the requests, from the first second on, those answered in time."""
        asked = sum(count for (second, _), count in self.asked.items() if FIRST <= second < seconds)
        in_time = sum(count for (second, _), count in self.in_time.items() if FIRST <= second < seconds)
        return in_time / asked if asked else 1.0

    def worst_window(self, seconds: int) -> float:
        last = max(FIRST + 1, seconds - WINDOW + 1)
        return min(self.share(first, first + WINDOW) for first in range(FIRST, last))


def summary(world: BaseWorld, breaches: list[Any]) -> dict[str, Any]:
    """One object for a day, ready to be printed as JSON."""
    day, counts, figures = world.day, world.counts, world.figures
    seconds = round(day.seconds)
    names = [k.name for k in day.classes]
    by_server = Counter[str]()
    for (_, server), count in counts.handshakes.items():
        by_server[server] += count
    worth = figures.share(FIRST, seconds)
    by_class = {name: round(figures.share(FIRST, seconds, name), 4) for name in names}
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
        "served_in_time": round(figures.counted(seconds), 4),
        "worth_in_time": round(worth, 4),
        "worst_10s": round(worst, 4),
        "by_class": by_class,
        "bound": round(figures.bound(FIRST, seconds), 4),
        "recovered_s": figures.recovered(seconds),
        "goal": round(0.6 * worth + 0.2 * worst + 0.2 * min(by_class.values()), 4),
        "answers": dict(sorted(counts.answers.items())),
        "tries": len(world.log.asked),
        "attempts": len(world.log.received),
        "breaches": [f"rule {b.rule}: {b.about}: {b.what}" for b in breaches] + counts.crashes,
        "fallen": len(counts.fallen),
        "handshakes": sum(counts.handshakes.values()),
        "handshakes_worst_second": max(counts.handshakes.values(), default=0),
        "list_calls": sum(counts.calls.values()),
        "list_calls_worst_second": max(counts.calls.values(), default=0),
        "list_failures": counts.list_failures,
        "unreachable": counts.unreachable,
        "malformed": counts.malformed,
        "descriptors_most": max((s.descriptors() for s in world.sidecars), default=0),
        "segments": world.trace.count,
    }
