"""Explores the orders of simultaneous events in a small fleet: 2 sidecars, 2 servers, 3 requests, one fault.

A stateless model checker: each order is a new run from the start. The choices of a run are recorded, and the next run
repeats them up to the last choice that has an untried option (depth-first search). The number of runs is bounded; the
result says whether the search was complete.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import NamedTuple

from ..simnet.scheduler import NS
from .applications import ClientRequest
from .days import draw
from .model import ClientSettings, Day, ZoneSettings
from .world import START, World

MAX_DURATION = 9.0  # s of simulated time after the requests: covers the longest deadline and the clients' retries
FAULT_INTERVAL = 3  # events between two injection points
InjectFault = Callable[[World], object]
"""Injects one fault into the running simulation."""


def kill(world: World) -> None:
    """Kill a sidecar without warning."""
    world.sidecars[0].kill()


def terminate(world: World) -> None:
    """Send SIGTERM to a sidecar."""
    world.sidecars[0].terminate()


def end(world: World) -> None:
    """End a server process, which resets its connections."""
    world.servers["s0"].end()


def vanish(world: World) -> None:
    """Take a server's machine off the network without closing its connections."""
    world.servers["s0"].machine.vanish()


def drain(world: World) -> None:
    """Drain a server; discovery publishes it in its next update."""
    world.listing.schedule_change(world.servers["s0"], "draining", 0.001)


def cut(world: World) -> None:
    """Cut the network from the first zone to the second; the opposite direction still works."""
    world.network.cut(*world.day.zones.names[:2])


FAULTS: dict[str, InjectFault] = {f.__name__: f for f in (kill, terminate, end, vanish, drain, cut)}


class ExplorationResult(NamedTuple):
    """The outcome of :func:`explore`."""

    orders: int
    """Number of event orders that were run."""
    ties: int
    """Number of choices between simultaneous events, over all orders."""
    complete: bool
    """True if every order of every step was run, False if a limit was reached."""
    breaches: list[str]
    """Each rule that was broken, with the fault, step and choices."""


class ReplayTieBreaker:
    """Resolves ties: takes the options in ``prefix``, then always the first; records the number of options."""

    def __init__(self, prefix: list[int]) -> None:
        self.prefix = prefix
        self.option_counts: list[int] = []

    def __call__(self, count: int) -> int:
        """Choose one of ``count`` simultaneous events."""
        index = len(self.option_counts)
        self.option_counts.append(count)
        return self.prefix[index] if index < len(self.prefix) else 0

    def next_prefix(self) -> list[int] | None:
        """Return the prefix of the next order in depth-first search, or None if this order was the last."""
        choices = [*self.prefix[: len(self.option_counts)], *[0] * (len(self.option_counts) - len(self.prefix))]
        for index in range(len(self.option_counts) - 1, -1, -1):
            if choices[index] + 1 < self.option_counts[index]:
                return [*choices[:index], choices[index] + 1]
        return None


def small_day(seed: int) -> Day:
    """Return a day for the exploration, without jitter so that many events are simultaneous."""
    day = draw("calm", seed, 2, 2, 1.0, rate=1e-6)
    return replace(day, zones=replace(ZoneSettings(), jitter=0.0), applications=replace(ClientSettings(), busy=1.0))


def play_order(day: Day, fault: InjectFault, step: int, tie_breaker: ReplayTieBreaker) -> tuple[World, int]:
    """Run one order of events.

    Args:
        day: The fleet to simulate; instead of the clients' random arrivals, one request of each class is sent.
        fault: Injects the fault.
        step: Number of events after which the fault is injected.
        tie_breaker: Resolves ties between simultaneous events.

    Returns:
        The simulation after the run and its number of events.
    """
    world = World(day)
    world.begin()
    scheduler = world.scheduler
    scheduler.run(START)
    scheduler.choose = tie_breaker
    for number, kind in enumerate(day.classes[:3], 1):
        request = ClientRequest(number, kind, "k", f"{number:032x}", kind.work_ms / 1000.0, world.now())
        scheduler.at(START, world.applications[number % 2].send_try, request)
    events_before, end_at = scheduler.ran, START + round(MAX_DURATION * NS)
    while (when := scheduler.next_at()) is not None and when <= end_at:
        if scheduler.ran - events_before == step:
            fault(world)  # may cancel the next event
            when = scheduler.next_at() or end_at
        scheduler.run_one(when)
    return world, scheduler.ran - events_before


def enumerate_orders(day: Day, fault: InjectFault, step: int) -> Iterator[tuple[World, int, ReplayTieBreaker]]:
    """Run all orders for one injection point, each when it is requested."""
    prefix: list[int] | None = []
    while prefix is not None:
        tie_breaker = ReplayTieBreaker(prefix)
        world, events = play_order(day, fault, step, tie_breaker)
        yield world, events, tie_breaker
        prefix = tie_breaker.next_prefix()


def format_choices(tie_breaker: ReplayTieBreaker) -> str:
    """Return the choices other than the first option, as ``index=option``."""
    return " ".join(f"{index}={option}" for index, option in enumerate(tie_breaker.prefix) if option) or "first order"


def explore(names: list[str], seed: int, max_steps: int, max_orders: int) -> ExplorationResult:
    """Inject each named fault at every ``FAULT_INTERVAL``-th event, in up to ``max_orders`` orders each."""
    order_count = ties = 0
    complete = True
    breaches: list[str] = []
    day, last_event = small_day(seed), 0
    for name in names:
        for step in range(0, max_steps * FAULT_INTERVAL, FAULT_INTERVAL):
            for number, (world, events, tie_breaker) in enumerate(enumerate_orders(day, FAULTS[name], step), 1):
                order_count, ties = order_count + 1, ties + len(tie_breaker.option_counts)
                breaches += [
                    f"{name} at {step}, {format_choices(tie_breaker)}: {b.subject}: {b.description}"
                    for b in world.find_breaches()
                ]
                world.end()
                last_event = events
                if number == max_orders:
                    complete = complete and tie_breaker.next_prefix() is None
                    break
            if last_event <= step:
                break  # all requests had ended before the fault: later injection points change nothing
        else:
            complete = False
    return ExplorationResult(order_count, ties, complete, breaches)
