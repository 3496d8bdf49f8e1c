"""The real clock of a run: time in ns since its start, and scheduled calls."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any

from ..simnet.scheduler import NS

log = logging.getLogger(__name__)


class ScheduledCall:
    """A scheduled call that can be cancelled."""

    __slots__ = ("handle",)

    def __init__(self, handle: asyncio.TimerHandle) -> None:
        self.handle = handle

    def call_off(self) -> None:
        """Cancels the call."""
        self.handle.cancel()


class RealClock:
    """A :class:`~zinclever.sim.ground.Clock` on the running event loop."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.started_at = time.monotonic_ns()
        self.failures: list[str] = []
        """Errors in scheduled calls. A run with any of them is invalid."""

    @property
    def now(self) -> int:
        """The time since the start, in ns."""
        return time.monotonic_ns() - self.started_at

    def at(self, when: int, callback: Callable[..., object], /, *args: Any) -> ScheduledCall:
        """Schedules a call at ``when``, in ns since the start."""
        return self.after(when - self.now, callback, *args)

    def after(self, delay: int, callback: Callable[..., object], /, *args: Any) -> ScheduledCall:
        """Schedules a call after a delay in ns."""
        return ScheduledCall(self.loop.call_later(max(0.0, delay / NS), self.run_callback, callback, args))

    def run_callback(self, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        """Runs a scheduled call and records an exception as a failure of the run."""
        try:
            callback(*args)
        except Exception as error:
            log.exception("scheduled call failed")
            self.failures.append(f"{type(error).__name__}: {error}")
