"""Runs a day in simulated time: the unmodified program on a simulated clock and network."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Any

from ..simnet.loop import Loop
from ..simnet.network import Machine, Network, Path
from ..simnet.scheduler import NS, Scheduler, TieBreaker
from ..simnet.trace import Trace
from .figures import summary
from .model import Day
from .scene import CLIENT_RETRY_PERIOD, START, BaseWorld, seed_from_text
from .sidecars import SimulatedSidecar

START_SPREAD = 1.5  # s within which all sidecars are started

__all__ = ["START", "World"]


class World(BaseWorld):
    """A simulated environment. It reads no external state, so the same day and seed always give the same run."""

    scheduler: Scheduler
    sidecars: Sequence[SimulatedSidecar]

    def __init__(
        self, day: Day, trace: Trace | None = None, permute: int | None = None, choose: TieBreaker | None = None
    ) -> None:
        """Create the environment of a day.

        Args:
            day: The day to run.
            trace: Receives a line for each network segment.
            permute: Seed for a random order of simultaneous events.
            choose: Decides the order of simultaneous events.
        """
        scheduler = Scheduler(permute, choose)
        path = Path(day.zones.same_ms / 1000.0, day.zones.jitter)
        network = Network(
            scheduler, seed_from_text(f"{day.seed}/network"), path, trace if trace is not None else Trace()
        )
        super().__init__(day, scheduler, network)

    def process(self, machine: Machine) -> Loop:
        """Create a simulated process."""
        return Loop(machine)

    def new_sidecar(self, machine: Machine, number: int) -> SimulatedSidecar:
        """Create a sidecar in simulated time."""
        return SimulatedSidecar(self, machine, number)

    def begin(self) -> None:
        """Start discovery and schedule the start of the sidecars before :data:`START`."""
        self.listing.loop.create_task(self.listing.listen())
        rng = Random(f"{self.day.seed}/start")
        for sidecar in self.sidecars:
            self.scheduler.at(round(rng.random() * START_SPREAD * NS), sidecar.start)

    def play(self) -> dict[str, Any]:
        """Run the whole day and return its summary."""
        self.begin()
        for application in self.applications:
            self.scheduler.at(START, application.go)
        self.scheduler.at(START, self.figures.sample)
        self.troubles.plan(START)
        end = START + round(self.day.seconds * NS)
        self.scheduler.run(end)
        self.over = True
        longest = max(kind.deadline_ms for kind in self.day.classes) / 1000.0
        self.scheduler.run(end + round(CLIENT_RETRY_PERIOD * NS))
        self.closing = True
        self.scheduler.run(end + round((CLIENT_RETRY_PERIOD + longest) * NS))
        result = summary(self, self.find_breaches())
        self.end()
        return result

    def end(self) -> None:
        """Kill all processes, including their pending tasks."""
        loops = [s.loop for s in self.servers.values()] + [a.loop for a in self.applications]
        for loop in (self.listing.loop, *loops):
            loop.die()
        for sidecar in self.sidecars:
            sidecar.kill()
