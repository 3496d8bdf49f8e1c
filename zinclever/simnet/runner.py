"""A coroutine in a small simulated world: one machine, 127.0.0.1, and one process."""

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


class TooLong(Exception):
    """A coroutine has not ended within its simulated time: most likely it waits for what never comes."""


TURN = 1e-6
"""s that a callback takes: who asks time and again without waiting would else ask for ever at one instant."""


def world(seed: int = 0, permute: int | None = None, trace: Trace | None = None) -> Loop:
    """The loop of a process on a machine of its own, in a network of its own."""
    network = Network(Scheduler(permute), seed, trace=trace)
    return Loop(network.machine("home", HOME), Cost(TURN))


def run(main: Callable[[], Awaitable[T]], seconds: float = 3600.0, loop: Loop | None = None) -> T:
    """Run a coroutine in simulated time. TooLong where it takes more than so many simulated seconds;
    :exc:`~zinclever.simnet.loop.Stalled` where it waits and nothing is left that could happen."""
    loop = loop or world()

    async def bounded() -> T:
        async with asyncio.timeout(seconds):
            return await main()

    try:
        return loop.run_until_complete(bounded())  # type: ignore[no-any-return]
    except TimeoutError as late:
        if loop.time() >= seconds:
            raise TooLong(f"not over after {seconds:g} simulated seconds") from late
        raise
    finally:
        end(loop)


def end(loop: Loop) -> None:
    """Cancel what is left, as asyncio's own runner does, and close the loop."""
    left = asyncio.all_tasks(loop)
    for task in left:
        task.cancel()
    if left:
        loop.scheduler.run(loop.scheduler.now + NS)
    loop.close()


def host() -> SimulatedHost:
    """Of the process that runs."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, Loop)
    return SimulatedHost(loop, 1)


def simulated() -> bool:
    """Whether the loop that runs is a simulated one."""
    return isinstance(asyncio.get_running_loop(), Loop)
