"""Runs a coroutine in a small simulation: one machine, 127.0.0.1, with one process."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from .host import SimulatedHost
from .loop import Cost, Loop
from .network import Network
from .scheduler import NS, Scheduler
from .trace import Trace

T = TypeVar("T")
HOME = "127.0.0.1"


class TimeLimitExceeded(Exception):
    """A coroutine has not finished within its limit of simulated time."""


CALLBACK_COST = 1e-6
"""s that a callback takes, so that time passes even for code that polls the clock without waiting."""


def world(seed: int = 0, permute: int | None = None, trace: Trace | None = None) -> Loop:
    """Return the loop of a process on the only machine of a new network."""
    network = Network(Scheduler(permute), seed, trace=trace)
    return Loop(network.machine("home", HOME), Cost(CALLBACK_COST))


def run(main: Callable[[], Awaitable[T]], seconds: float = 3600.0, loop: Loop | None = None) -> T:
    """Run a coroutine in simulated time and return its result.

    Raises:
        TimeLimitExceeded: it takes more than ``seconds`` of simulated time.
        zinclever.simnet.loop.NoMoreEvents: it waits, and no event is left that could wake it.
    """
    loop = loop or world()

    async def bounded() -> T:
        async with asyncio.timeout(seconds):
            return await main()

    try:
        return loop.run_until_complete(bounded())  # type: ignore[no-any-return]
    except TimeoutError as error:
        if loop.time() >= seconds:
            raise TimeLimitExceeded(f"not finished after {seconds:g} simulated seconds") from error
        raise
    finally:
        end(loop)


def end(loop: Loop) -> None:
    """Cancel the remaining tasks, as asyncio's own runner does, and close the loop."""
    remaining = asyncio.all_tasks(loop)
    for task in remaining:
        task.cancel()
    if remaining:
        loop.scheduler.run(loop.scheduler.now + NS)
    loop.close()


def host() -> SimulatedHost:
    """Return a host for the running process."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, Loop)
    return SimulatedHost(loop, 1)


def simulated() -> bool:
    """Return whether the running loop is a simulated one."""
    return isinstance(asyncio.get_running_loop(), Loop)
