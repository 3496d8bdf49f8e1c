"""Dialing with staggered connection attempts, of which the first that succeeds is used."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ...core.protocol import Address
from .framed_connection import FramedConnection

DIAL_TIMEOUT = 0.6  # s for all attempts together; on a local network a connection takes milliseconds
DIAL_RETRY_DELAYS = (0.1, 0.2)  # s after which a further attempt starts, as the peer may be reachable again


async def race_dials(
    loop: asyncio.AbstractEventLoop, address: Address, make_protocol: Callable[[], FramedConnection]
) -> FramedConnection:
    """Return the first established connection to ``address``; later attempts run in parallel with hanging ones.

    Raises:
        OSError: The first attempt to finish has failed, or none has finished within :data:`DIAL_TIMEOUT`.
    """

    async def dial() -> FramedConnection:
        _, connection = await loop.create_connection(make_protocol, *address)
        return connection

    attempts: set[asyncio.Task[FramedConnection]] = set()
    started_at = loop.time()
    try:
        for delay in (*DIAL_RETRY_DELAYS, DIAL_TIMEOUT):
            attempts.add(loop.create_task(dial()))
            timeout = min(delay, started_at + DIAL_TIMEOUT - loop.time())
            done, _ = await asyncio.wait(attempts, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
            if done:
                first = done.pop()
                attempts.discard(first)
                return first.result()
        raise TimeoutError(f"{address} doesn't answer")
    finally:
        for attempt in attempts:
            attempt.cancel()
            attempt.add_done_callback(abort_late_connection)


def abort_late_connection(attempt: asyncio.Task[FramedConnection]) -> None:
    """Close a connection that was established after another attempt had already been used."""
    if not attempt.cancelled() and attempt.exception() is None:
        attempt.result().abort()
