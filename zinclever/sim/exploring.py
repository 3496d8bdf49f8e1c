"""A small world in every order of its events: 2 sidecars, 2 servers, 3 requests, one fault at any step.

As a model checker would, but by playing the program anew for each order: what a run did at each choice is kept, and the
next run takes the last choice that has another way left. A bound keeps it finite; what was left is said.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import NamedTuple

from ..simnet.scheduler import NS
from .applications import Story
from .days import draw
from .model import Applications, Day, Zones
from .world import START, World

SPAN = 9.0  # s from the requests on until all is over: the longest deadline and the clients' retries
STEP = 3  # events between two instants at which the fault is tried
Fault = Callable[[World], object]


def kill(world: World) -> None:
    """A sidecar dies without warning."""
    world.sidecars[0].kill()


def terminate(world: World) -> None:
    """A sidecar is asked to end."""
    world.sidecars[0].terminate()


def end(world: World) -> None:
    """A server dies: its connections are reset."""
    world.servers["s0"].end()


def vanish(world: World) -> None:
    """A server's machine says nothing more."""
    world.servers["s0"].machine.vanish()


def drain(world: World) -> None:
    """A server drains, and discovery tells it at its next step."""
    world.listing.learn(world.servers["s0"], "draining", 0.001)


def cut(world: World) -> None:
    """Nothing gets from one data centre to the other; the way back is open."""
    world.network.cut(*world.day.zones.names[:2])


FAULTS: dict[str, Fault] = {f.__name__: f for f in (kill, terminate, end, vanish, drain, cut)}


class Explored(NamedTuple):
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

    def __init__(self, told: list[int]) -> None:
        self.told = told
        self.ways: list[int] = []

    def __call__(self, count: int) -> int:
        at = len(self.ways)
        self.ways.append(count)
        return self.told[at] if at < len(self.told) else 0

    def following(self) -> list[int] | None:
        """The choices of the next order; None where this was the last."""
        taken = [*self.told[: len(self.ways)], *[0] * (len(self.ways) - len(self.told))]
        for at in range(len(self.ways) - 1, -1, -1):
            if taken[at] + 1 < self.ways[at]:
                return [*taken[:at], taken[at] + 1]
        return None


def small(seed: int) -> Day:
    """Without jitter, so that much happens at one instant."""
    day = draw("calm", seed, 2, 2, 1.0, rate=1e-6)
    return replace(day, zones=replace(Zones(), jitter=0.0), applications=replace(Applications(), busy=1.0))


def play(day: Day, fault: Fault, step: int, chooser: Chooser) -> tuple[World, int]:
    """One order: the world after it, and how many events it took."""
    world = World(day)
    world.begin()
    scheduler = world.scheduler
    scheduler.run(START)
    scheduler.choose = chooser
    for number, kind in enumerate(day.classes[:3], 1):
        story = Story(number, kind, "k", f"{number:032x}", kind.work_ms / 1000.0, world.now())
        scheduler.at(START, world.applications[number % 2].attempt, story)
    begun, over = scheduler.ran, START + round(SPAN * NS)
    while (when := scheduler.next_at()) is not None and when <= over:
        if scheduler.ran - begun == step:
            fault(world)  # which may call off what was next
            when = scheduler.next_at() or over
        scheduler.run_one(when)
    return world, scheduler.ran - begun


def orders(day: Day, fault: Fault, step: int) -> Iterator[tuple[World, int, Chooser]]:
    """All orders of one step, one after another."""
    told: list[int] | None = []
    while told is not None:
        chooser = Chooser(told)
        world, events = play(day, fault, step, chooser)
        yield world, events, chooser
        told = chooser.following()


def other(chooser: Chooser) -> str:
    """The choices that were not the first way, as place=way."""
    return " ".join(f"{at}={way}" for at, way in enumerate(chooser.told) if way) or "first order"


def explore(names: list[str], seed: int, most_steps: int, most_orders: int) -> Explored:
    """Each fault at each ``STEP``-th event, in up to ``most_orders`` orders each."""
    played = ties = 0
    complete = True
    breaches: list[str] = []
    day, last = small(seed), 0
    for name in names:
        for step in range(0, most_steps * STEP, STEP):
            for number, (world, events, chooser) in enumerate(orders(day, FAULTS[name], step), 1):
                played, ties = played + 1, ties + len(chooser.ways)
                breaches += [f"{name} at {step}, {other(chooser)}: {b.about}: {b.what}" for b in world.judge()]
                world.end()
                last = events
                if number == most_orders:
                    complete = complete and chooser.following() is None
                    break
            if last <= step:
                break  # the requests were over before: later faults change nothing
        else:
            complete = False
    return Explored(played, ties, complete, breaches)
