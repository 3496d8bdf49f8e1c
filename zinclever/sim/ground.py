"""Interfaces of the execution environment: the clock with its event queue, and the processes on each machine.

:mod:`zinclever.simnet` implements them in simulated time, :mod:`zinclever.rig` with real processes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol


class ScheduledCall(Protocol):
    """A callback that is scheduled for some instant."""

    def call_off(self) -> None:
        """Cancel the callback."""
        ...


class Clock(Protocol):
    """A clock with an event queue. Instants and durations are integers in ns."""

    @property
    def now(self) -> int:
        """The current instant."""
        ...

    def at(self, when: int, callback: Callable[..., object], /, *args: Any) -> ScheduledCall:
        """Schedule a callback for the instant ``when``."""
        ...

    def after(self, delay: int, callback: Callable[..., object], /, *args: Any) -> ScheduledCall:
        """Schedule a callback for ``delay`` ns from now."""
        ...


class Process(Protocol):
    """The event loop of a single process: after :meth:`die`, no callback or task of it runs any more."""

    dead: bool

    def create_task(self, coro: Coroutine[Any, Any, Any], /) -> asyncio.Task[Any]:
        """As :meth:`asyncio.loop.create_task`."""
        ...

    def call_later(self, delay: float, callback: Callable[..., object], /, *args: Any) -> asyncio.TimerHandle:
        """As :meth:`asyncio.loop.call_later`; ``delay`` is in seconds."""
        ...

    async def create_server(
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], host: str, port: int, *, backlog: int
    ) -> Any:
        """As :meth:`asyncio.loop.create_server`."""
        ...

    async def create_connection(
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], host: str, port: int
    ) -> tuple[Any, asyncio.BaseProtocol]:
        """As :meth:`asyncio.loop.create_connection`."""
        ...

    def die(self) -> None:
        """Kill the process: no task or callback runs any more, and its connections are reset."""
        ...
