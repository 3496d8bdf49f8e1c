"""Real time as a scene reads it: ns from an instant of its own, and what happens when."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any

from ..simnet.scheduler import NS

log = logging.getLogger(__name__)


class ScheduledCall:
    """What is to happen, until it has happened or has been called off."""

    __slots__ = ("handle",)

    def __init__(self, handle: asyncio.TimerHandle) -> None:
        self.handle = handle

    def call_off(self) -> None:
        self.handle.cancel()


class RealClock:
    """A :class:`~zinclever.sim.ground.Clock` on the running loop."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.began = time.monotonic_ns()
        self.failures: list[str] = []
        """What the rig itself did wrong: a run with any proves nothing."""

    @property
    def now(self) -> int:
        return time.monotonic_ns() - self.began

    def at(self, when: int, act: Callable[..., object], /, *args: Any) -> ScheduledCall:
        return self.after(when - self.now, act, *args)

    def after(self, span: int, act: Callable[..., object], /, *args: Any) -> ScheduledCall:
        return ScheduledCall(self.loop.call_later(max(0.0, span / NS), self.happen, act, args))

    def happen(self, act: Callable[..., object], args: tuple[Any, ...]) -> None:
        try:
            act(*args)
        except Exception as wrong:
            log.exception("rig")
            self.failures.append(f"{type(wrong).__name__}: {wrong}")
