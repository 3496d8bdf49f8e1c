"""Searches random days for broken rules or poor service, and minimizes a day that fails."""

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
"""Runs a day and returns whether it fails."""
MIN_SECONDS = 4.0  # minimum length of a minimized day
DEFAULT_MAX_TRIALS = 300  # maximum number of runs to minimize a day


class DayResult(NamedTuple):
    """A day and the summary of its run."""

    day: Day
    figures: dict[str, Any]


def play(day: Day) -> DayResult:
    """Simulate a day."""
    return DayResult(day, World(day).play())


def drawn(kinds: Sequence[str], first: int, sidecars: int, endpoints: int, seconds: float) -> Iterator[Day]:
    """Yield days endlessly: for each seed from ``first`` on, one of each kind."""
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
    """Run days until the time budget is used up, and yield the results in the order of the days.

    Args:
        days: The days to run.
        budget: Wall time in seconds after which no further day is started.
        jobs: Number of worker processes; 1 runs the days in this process.
        play: Runs one day.
        prepare: Called once in each worker process before its first day.
    """
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


# --- minimization ---


def reductions(day: Day) -> Iterator[Day]:
    """Yield smaller variants of a day: fewer faults, sidecars, endpoints or seconds, or a lower rate."""
    for number in range(len(day.troubles)):
        yield replace(day, troubles=day.troubles[:number] + day.troubles[number + 1 :])
    for sidecars in smaller_counts(day.sidecars):
        yield replace(day, sidecars=sidecars)
    for endpoints in smaller_counts(day.endpoints):
        yield replace(day, endpoints=endpoints)
    last_start = max((t.at_s for t in day.troubles), default=0.0)
    for seconds in (day.seconds / 2, 0.8 * day.seconds):
        if seconds >= max(MIN_SECONDS, last_start):
            yield replace(day, seconds=round(seconds, 2))
    for rate in (day.rate / 4, day.rate / 2, 0.8 * day.rate):
        yield replace(day, rate=round(rate, 3))


def smaller_counts(count: int) -> list[int]:
    """Return the smaller counts to try in place of ``count``, in ascending order."""
    return sorted({c for c in (1, count // 4, count // 2, count - 1) if 0 < c < count})


class DayMinimizer:
    """Reduces a failing day until no smaller variant fails or the maximum number of runs is reached."""

    def __init__(self, fails: FailurePredicate, max_trials: int = DEFAULT_MAX_TRIALS) -> None:
        self.fails, self.remaining_trials = fails, max_trials

    def still_fails(self, day: Day) -> bool:
        """Run a variant of the day, which uses up one trial."""
        self.remaining_trials -= 1
        return self.fails(day)

    def minimize(self, day: Day) -> Day:
        """Return the smallest variant found that fails in the same way."""
        return self.minimize_requests(self.minimize_environment(day))

    def minimize_environment(self, day: Day) -> Day:
        """Reduce faults, machines, seconds and the request rate; single requests are not removed."""
        while self.remaining_trials > 0:
            smaller = next((d for d in reductions(day) if self.remaining_trials > 0 and self.still_fails(d)), None)
            if smaller is None:
                break
            day = smaller
        return day

    def minimize_requests(self, day: Day) -> Day:
        """Remove requests by delta debugging: leave out halves, quarters and so on as long as the day still fails."""
        kept = list(day.only) or list(range(1, 1 + count_requests(day)))
        parts = 2
        while len(kept) > 1 and self.remaining_trials > 0:
            chunk_size = -(-len(kept) // parts)
            chunks = [kept[start : start + chunk_size] for start in range(0, len(kept), chunk_size)]
            for number in range(len(chunks)):
                fewer = [n for other, chunk in enumerate(chunks) if other != number for n in chunk]
                if fewer and self.remaining_trials > 0 and self.still_fails(replace(day, only=tuple(fewer))):
                    kept, parts = fewer, max(2, parts - 1)
                    break
            else:
                if chunk_size == 1:
                    break
                parts = min(2 * parts, len(kept))
        return replace(day, only=tuple(kept))


def count_requests(day: Day) -> int:
    """Return the number of requests on a day, without retries."""
    world = World(day)
    world.play()
    return world.request_count


def size(day: Day) -> int:
    """Return the size of a minimized day: its number of requests and faults."""
    return len(day.only) + len(day.troubles)


def breaches_rule(rule: str) -> FailurePredicate:
    """Return a predicate that is true for a day with a breach whose text starts with ``rule``."""
    return lambda day: any(b.startswith(rule) for b in World(day).play()["breaches"])
