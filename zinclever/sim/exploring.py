"""A small world in every order of its events: 2 sidecars, 2 servers, 3 requests, one fault at any step.

As a model checker would, but by playing the program anew for each order: what a run did at each choice is kept, and the
next run takes the last choice that has another way left. A bound keeps it finite; what was left is said.
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

MAX_DURATION = 9.0  # s from the requests on until all is over: the longest deadline and the clients' retries
FAULT_INTERVAL = 3  # events between two instants at which the fault is tried
InjectFault = Callable[[World], object]


def kill(world: World) -> None:
    """A sidecar dies without warning."""
    world.sidecars[0].kill()


def terminate(world: World) -> None:
    """A sidecar is asked to end."""
    world.sidecars[0].terminate()


def end_at(world: World) -> None:
    """A server dies: its connections are reset."""
    world.servers["s0"].end()


def vanish(world: World) -> None:
    """A server's machine says nothing more."""
    world.servers["s0"].machine.vanish()


def drain(world: World) -> None:
    """A server drains, and discovery tells it at its next step."""
    world.listing.schedule_change(world.servers["s0"], "draining", 0.001)


def cut(world: World) -> None:
    """Nothing gets from one data centre to the other; the way back is open."""
    world.network.cut(*world.day.zones.names[:2])


FAULTS: dict[str, InjectFault] = {f.__name__: f for f in (kill, terminate, end_at, vanish, drain, cut)}


class ExplorationResult(NamedTuple):
    """What came of it."""

    orders: int
    """How many were played."""
    ties: int
    """Choices among events of one instant, in all of them."""
    complete: bool
    """Every order of every step was played; else a bound was reached."""
    breaches: list[str]
    """Each with its fault, step and choices."""


class Chooser:
    """Takes the choices that it is told, then the first of each; keeps how many ways there were."""

    def __init__(self, prefix: list[int]) -> None:
        self.prefix = prefix
        self.option_counts: list[int] = []

    def __call__(self, count: int) -> int:
        index = len(self.option_counts)
        self.option_counts.append(count)
        return self.prefix[index] if index < len(self.prefix) else 0

    def next_prefix(self) -> list[int] | None:
        """The choices of the next order; None where this was the last."""
        choices = [*self.prefix[: len(self.option_counts)], *[0] * (len(self.option_counts) - len(self.prefix))]
        for index in range(len(self.option_counts) - 1, -1, -1):
            if choices[index] + 1 < self.option_counts[index]:
                return [*choices[:index], choices[index] + 1]
        return None


def small_day(seed: int) -> Day:
    """Without jitter, so that much happens at one instant."""
    day = draw("calm", seed, 2, 2, 1.0, rate=1e-6)
    return replace(day, zones=replace(ZoneSettings(), jitter=0.0), applications=replace(ClientSettings(), busy=1.0))


def play_order(day: Day, fault: InjectFault, step: int, chooser: Chooser) -> tuple[World, int]:
    """One order: the world after it, and how many events it took."""
    world = World(day)
    world.begin()
    scheduler = world.scheduler
    scheduler.run(START)
    scheduler.choose = chooser
    for number, kind in enumerate(day.classes[:3], 1):
        request = ClientRequest(number, kind, "k", f"{number:032x}", kind.work_ms / 1000.0, world.now())
        scheduler.at(START, world.applications[number % 2].send_try, request)
    events_before, end_at = scheduler.ran, START + round(MAX_DURATION * NS)
    while (when := scheduler.next_at()) is not None and when <= end_at:
        if scheduler.ran - events_before == step:
            fault(world)  # which may call off what was next
            when = scheduler.next_at() or end_at
        scheduler.run_one(when)
    return world, scheduler.ran - events_before


def enumerate_orders(day: Day, fault: InjectFault, step: int) -> Iterator[tuple[World, int, Chooser]]:
    """All orders of one step, one after another."""
    prefix: list[int] | None = []
    while prefix is not None:
        chooser = Chooser(prefix)
        world, events = play_order(day, fault, step, chooser)
        yield world, events, chooser
        prefix = chooser.next_prefix()


def format_choices(chooser: Chooser) -> str:
    """The choices that were not the first way, as place=way."""
    return " ".join(f"{index}={option}" for index, option in enumerate(chooser.prefix) if option) or "first order"


def explore(names: list[str], seed: int, max_steps: int, max_orders: int) -> ExplorationResult:
    """Each fault at each ``STEP``-th event, in up to ``most_orders`` orders each."""
    order_count = ties = 0
    complete = True
    breaches: list[str] = []
    day, last_event = small_day(seed), 0
    for name in names:
        for step in range(0, max_steps * FAULT_INTERVAL, FAULT_INTERVAL):
            for number, (world, events, chooser) in enumerate(enumerate_orders(day, FAULTS[name], step), 1):
                order_count, ties = order_count + 1, ties + len(chooser.option_counts)
                breaches += [f"{name} at {step}, {format_choices(chooser)}: {b.about}: {b.what}" for b in world.judge()]
                world.end()
                last_event = events
                if number == max_orders:
                    complete = complete and chooser.next_prefix() is None
                    break
            if last_event <= step:
                break  # the requests were over before: later faults change nothing
        else:
            complete = False
    return ExplorationResult(order_count, ties, complete, breaches)
