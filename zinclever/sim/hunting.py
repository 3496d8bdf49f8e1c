"""Looks for days on which a rule is broken or service is low, and cuts such a day down to what matters."""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from typing import Any, NamedTuple

from .days import draw
from .model import Day
from .world import World

FailurePredicate = Callable[[Day], bool]
MIN_SECONDS = 4.0  # of a day that is cut down
DEFAULT_MAX_TRIALS = 300  # days that are played at most to cut one down


class DayResult(NamedTuple):
    """A day that was played, and what came of it."""

    day: Day
    figures: dict[str, Any]


def play(day: Day) -> DayResult:
    return DayResult(day, World(day).play())


def drawn(kinds: Sequence[str], first: int, sidecars: int, endpoints: int, seconds: float) -> Iterator[Day]:
    """Days of each kind in turn, from a seed on."""
    for seed in itertools.count(first):
        for kind in kinds:
            yield draw(kind, seed, sidecars, endpoints, seconds)


def hunt(
    days: Iterable[Day],
    budget: float,
    jobs: int = 1,
    play: Callable[[Day], DayResult] = play,
    prepare: Callable[[], object] | None = None,
) -> Iterator[DayResult]:
    """Play days for so many s of wall time, on so many cores; each as it is over, in their order. ``prepare`` is called
    first in each of the processes that play."""
    deadline, days = time.monotonic() + budget, iter(days)
    if jobs == 1:
        for day in days:
            if time.monotonic() >= deadline:
                return
            yield play(day)
        return
    with ProcessPoolExecutor(jobs, initializer=prepare) as pool:
        pending = [pool.submit(play, day) for day in itertools.islice(days, 2 * jobs)]
        while pending:
            yield pending.pop(0).result()
            if time.monotonic() < deadline:
                pending += [pool.submit(play, day) for day in itertools.islice(days, 1)]


# --- cutting down ---


def reductions(day: Day) -> Iterator[Day]:
    """Days that have less of something, the boldest cuts first."""
    for number in range(len(day.troubles)):
        yield replace(day, troubles=day.troubles[:number] + day.troubles[number + 1 :])
    for sidecars in smaller_counts(day.sidecars):
        yield replace(day, sidecars=sidecars)
    for endpoints in smaller_counts(day.endpoints):
        yield replace(day, endpoints=endpoints)
    last = max((t.at_s for t in day.troubles), default=0.0)
    for seconds in (day.seconds / 2, 0.8 * day.seconds):
        if seconds >= max(MIN_SECONDS, last):
            yield replace(day, seconds=round(seconds, 2))
    for rate in (day.rate / 4, day.rate / 2, 0.8 * day.rate):
        yield replace(day, rate=round(rate, 3))


def smaller_counts(count: int) -> list[int]:
    return sorted({c for c in (1, count // 4, count // 2, count - 1) if 0 < c < count})


class DayMinimizer:
    """Plays smaller days until none of them fails any more, or a bound is reached."""

    def __init__(self, fails: FailurePredicate, max_trials: int = DEFAULT_MAX_TRIALS) -> None:
        self.fails, self.remaining_trials = fails, max_trials

    def still_fails(self, day: Day) -> bool:
        self.remaining_trials -= 1
        return self.fails(day)

    def minimize(self, day: Day) -> Day:
        """The least day found that fails as this one does."""
        return self.minimize_requests(self.minimize_environment(day))

    def minimize_environment(self, day: Day) -> Day:
        """With fewer troubles, machines, seconds and requests a second, but for those that are left out one by one."""
        while self.remaining_trials > 0:
            smaller = next((d for d in reductions(day) if self.remaining_trials > 0 and self.still_fails(d)), None)
            if smaller is None:
                break
            day = smaller
        return day

    def minimize_requests(self, day: Day) -> Day:
        """Fewer first tries: halves, quarters and so on are left out as long as it still fails (delta debugging)."""
        kept = list(day.only) or list(range(1, 1 + count_requests(day)))
        parts = 2
        while len(kept) > 1 and self.remaining_trials > 0:
            size = -(-len(kept) // parts)
            chunks = [kept[at : at + size] for at in range(0, len(kept), size)]
            for number in range(len(chunks)):
                fewer = [n for other, chunk in enumerate(chunks) if other != number for n in chunk]
                if fewer and self.remaining_trials > 0 and self.still_fails(replace(day, only=tuple(fewer))):
                    kept, parts = fewer, max(2, parts - 1)
                    break
            else:
                if size == 1:
                    break
                parts = min(2 * parts, len(kept))
        return replace(day, only=tuple(kept))


def count_requests(day: Day) -> int:
    """How many first tries are drawn on a day."""
    world = World(day)
    world.play()
    return world.request_count


def size(day: Day) -> int:
    """What a day consists of, once it is cut down: first tries and troubles."""
    return len(day.only) + len(day.troubles)


def breaches_rule(rule: str) -> FailurePredicate:
    """Whether a day has a breach whose text begins so."""
    return lambda day: any(b.startswith(rule) for b in World(day).play()["breaches"])
