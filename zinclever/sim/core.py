"""One processor of a page server: jobs one after another, at a speed that changes while it warms up."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ..simnet.scheduler import NS
from .ground import Clock, Due


@dataclass(frozen=True, slots=True)
class WarmUp:
    """How a server that has started gets up to its speed: evenly with time."""

    started_at: int
    """ns"""
    initial_share: float
    """Of its speed, that it has at the start."""
    duration: int
    """ns until it has all of it."""

    def speed_factor(self, now: int) -> float:
        if now >= self.started_at + self.duration:
            return 1.0
        return self.initial_share + (1.0 - self.initial_share) * (now - self.started_at) / self.duration


class Job:
    """Work that waits or is done, until it is through or called off."""

    __slots__ = ("on_done", "work")

    def __init__(self, work: float, done: Callable[[], None]) -> None:
        """``work``: s on a processor of speed 1."""
        self.work = work
        self.on_done: Callable[[], None] | None = done


class ProcessorCore:
    """Does jobs in their order. What is called off costs nothing more."""

    __slots__ = ("completion", "current_job", "jobs", "scheduler", "speed", "total_work", "warming")

    def __init__(self, scheduler: Clock, speed: float, warming: WarmUp | None = None) -> None:
        self.scheduler, self.speed, self.warming = scheduler, speed, warming
        self.jobs: deque[Job] = deque()
        self.current_job: Job | None = None
        self.completion: Due | None = None
        self.total_work = 0.0
        """s at speed 1"""

    def current_speed(self) -> float:
        """What it does at this moment, against speed 1."""
        return self.speed * (self.warming.speed_factor(self.scheduler.now) if self.warming is not None else 1.0)

    def add(self, work: float, done: Callable[[], None]) -> Job:
        job = Job(work, done)
        self.jobs.append(job)
        if self.current_job is None:
            self.start_next()
        return job

    def start_next(self) -> None:
        while self.jobs:
            job = self.jobs.popleft()
            if job.on_done is not None:
                self.current_job = job
                self.total_work += job.work
                self.completion = self.scheduler.after(round(job.work / self.current_speed() * NS), self.finish, job)
                return

    def finish(self, job: Job) -> None:
        self.current_job = None
        done, job.on_done = job.on_done, None
        self.start_next()
        if done is not None:
            done()

    def call_off(self, job: Job) -> None:
        """Nobody waits for it any more."""
        job.on_done = None
        if job is self.current_job:
            if self.completion is not None:
                self.completion.call_off()
            self.current_job = None
            self.start_next()

    def stop(self) -> None:
        """Nothing of it goes on."""
        self.jobs.clear()
        if self.current_job is not None:
            self.call_off(self.current_job)
