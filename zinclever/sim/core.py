"""One processor of a page server: jobs one after another, at a speed that changes while it warms up."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ..simnet.scheduler import NS
from .ground import Clock, ScheduledCall


@dataclass(frozen=True, slots=True)
class Warming:
    """How a server that has started gets up to its speed: evenly with time."""

    since: int
    """ns"""
    share: float
    """Of its speed, that it has at the start."""
    span: int
    """ns until it has all of it."""

    def at(self, now: int) -> float:
        if now >= self.since + self.span:
            return 1.0
        return self.share + (1.0 - self.share) * (now - self.since) / self.span


class Job:
    """Work that waits or is done, until it is through or called off."""

    __slots__ = ("done", "left")

    def __init__(self, work: float, done: Callable[[], None]) -> None:
        """``work``: s on a processor of speed 1."""
        self.left = work
        self.done: Callable[[], None] | None = done


class Core:
    """Does jobs in their order. What is called off costs nothing more."""

    __slots__ = ("end", "jobs", "running", "scheduler", "speed", "warming", "worked")

    def __init__(self, scheduler: Clock, speed: float, warming: Warming | None = None) -> None:
        self.scheduler, self.speed, self.warming = scheduler, speed, warming
        self.jobs: deque[Job] = deque()
        self.running: Job | None = None
        self.end: ScheduledCall | None = None
        self.worked = 0.0
        """s at speed 1"""

    def rate(self) -> float:
        """What it does at this moment, against speed 1."""
        return self.speed * (self.warming.at(self.scheduler.now) if self.warming is not None else 1.0)

    def add(self, work: float, done: Callable[[], None]) -> Job:
        job = Job(work, done)
        self.jobs.append(job)
        if self.running is None:
            self.begin()
        return job

    def begin(self) -> None:
        while self.jobs:
            job = self.jobs.popleft()
            if job.done is not None:
                self.running = job
                self.worked += job.left
                self.end = self.scheduler.after(round(job.left / self.rate() * NS), self.finish, job)
                return

    def finish(self, job: Job) -> None:
        self.running = None
        done, job.done = job.done, None
        self.begin()
        if done is not None:
            done()

    def call_off(self, job: Job) -> None:
        """Nobody waits for it any more."""
        job.done = None
        if job is self.running:
            if self.end is not None:
                self.end.call_off()
            self.running = None
            self.begin()

    def stop(self) -> None:
        """Nothing of it goes on."""
        self.jobs.clear()
        if self.running is not None:
            self.call_off(self.running)
