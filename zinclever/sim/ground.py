"""What a world stands on: a clock with what happens when, and processes on its machines. Simulated in
:mod:`zinclever.simnet`, real in :mod:`zinclever.rig`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol


class ScheduledCall(Protocol):
    """What is to happen at an instant."""

    def call_off(self) -> None: ...


class Clock(Protocol):
    """Instants are whole ns."""

    @property
    def now(self) -> int: ...

    def at(self, when: int, act: Callable[..., object], /, *args: Any) -> ScheduledCall: ...

    def after(self, span: int, act: Callable[..., object], /, *args: Any) -> ScheduledCall: ...


class Process(Protocol):
    """A loop that is one process' own: nothing of it goes on once it has died."""

    dead: bool

    def create_task(self, coro: Coroutine[Any, Any, Any], /) -> asyncio.Task[Any]: ...

    def call_later(self, delay: float, callback: Callable[..., object], /, *args: Any) -> asyncio.TimerHandle: ...

    async def create_server(
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], host: str, port: int, *, backlog: int
    ) -> Any: ...

    async def create_connection(
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], host: str, port: int
    ) -> tuple[Any, asyncio.BaseProtocol]: ...

    def die(self) -> None: ...
