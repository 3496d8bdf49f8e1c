"""The processor of a simulated server: runs jobs in FIFO order, at a speed that rises while the server warms up."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ..simnet.scheduler import NS
from .ground import Clock, ScheduledCall


@dataclass(frozen=True, slots=True)
class WarmUp:
    """The linear ramp from a cold server's initial speed to its full speed."""

    started_at: int
    """Start of the ramp, in ns."""
    initial_share: float
    """Fraction of the full speed at the start."""
    duration: int
    """Length of the ramp, in ns."""

    def speed_factor(self, now: int) -> float:
        """Return the fraction of the full speed that is available at ``now``, in ns."""
        if now >= self.started_at + self.duration:
            return 1.0
        return self.initial_share + (1.0 - self.initial_share) * (now - self.started_at) / self.duration


class Job:
    """A unit of work that is queued or running."""

    __slots__ = ("on_done", "work")

    def __init__(self, work: float, on_done: Callable[[], None]) -> None:
        """``work`` is in seconds on a processor of speed 1; ``on_done`` runs when the job completes."""
        self.work = work
        self.on_done: Callable[[], None] | None = on_done


class ProcessorCore:
    """Runs one job at a time, in FIFO order. A cancelled job consumes no further processor time."""

    __slots__ = ("completion", "current_job", "jobs", "scheduler", "speed", "total_work", "warming")

    def __init__(self, scheduler: Clock, speed: float, warming: WarmUp | None = None) -> None:
        self.scheduler, self.speed, self.warming = scheduler, speed, warming
        self.jobs: deque[Job] = deque()
        self.current_job: Job | None = None
        self.completion: ScheduledCall | None = None
        self.total_work = 0.0
        """Work of all jobs started so far, in seconds at speed 1."""

    def current_speed(self) -> float:
        """Return the present speed, relative to a processor of speed 1."""
        return self.speed * (self.warming.speed_factor(self.scheduler.now) if self.warming is not None else 1.0)

    def add(self, work: float, on_done: Callable[[], None]) -> Job:
        """Queue a job of ``work`` seconds at speed 1; ``on_done`` runs when it completes."""
        job = Job(work, on_done)
        self.jobs.append(job)
        if self.current_job is None:
            self.start_next()
        return job

    def start_next(self) -> None:
        """Start the first queued job that has not been cancelled."""
        while self.jobs:
            job = self.jobs.popleft()
            if job.on_done is not None:
                self.current_job = job
                self.total_work += job.work
                self.completion = self.scheduler.after(round(job.work / self.current_speed() * NS), self.finish, job)
                return

    def finish(self, job: Job) -> None:
        """Complete the running job and start the next one before calling back."""
        self.current_job = None
        on_done, job.on_done = job.on_done, None
        self.start_next()
        if on_done is not None:
            on_done()

    def cancel(self, job: Job) -> None:
        """Cancel a queued or running job; its callback is not called."""
        job.on_done = None
        if job is self.current_job:
            if self.completion is not None:
                self.completion.call_off()
            self.current_job = None
            self.start_next()

    def stop(self) -> None:
        """Drop all queued jobs and cancel the running one."""
        self.jobs.clear()
        if self.current_job is not None:
            self.cancel(self.current_job)
