"""A scenario of faults drawn from a seed, the same for every protocol.

Clients send requests, endpoints fail, one endpoint drains, disappears and returns cold, and the configuration is
reloaded meanwhile. The log records the run, and :func:`~zinclever.standins.audit.audit` checks it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from .clients import ClientRequestClass, HttpClient, JsonRpcClient
from .discovery import Discovery
from .endpoint import Endpoint
from .faults import Fault

#: Share of the requests that each fault applies to.
SHARES = {
    Fault.SILENCE: 0.02,
    Fault.SWALLOW: 0.02,
    Fault.BREAK_BEFORE: 0.02,
    Fault.BREAK_AT: 0.03,
    Fault.SPOILT: 0.02,
    Fault.BEYOND: 0.02,
    Fault.ERROR: 0.04,
    Fault.DECLINE: 0.05,
}
MAX_DELAY = 0.03  # s until an endpoint answers
MAX_THINK_TIME = 0.03  # s between two requests of a client
CAPACITY = 400.0  # requests per second of a warm endpoint, as the auditor assumes it
DISCONNECT_PROBABILITY = 0.01  # that a JSON-RPC client disconnects with calls in flight, after each step


@dataclass(frozen=True, slots=True)
class Day:
    """Durations of the phases, in s.

    ``draining`` is longer than the grace period, so that the auditor sees a sidecar that ignores the drain.
    """

    calm: float = 1.0
    draining: float = 2.4
    gone: float = 0.6
    back: float = 1.0


async def change_endpoints(
    day: Day, discovery: Discovery, endpoints: Sequence[Endpoint], reload: Callable[[], None]
) -> None:
    """Changes the endpoint list: the first endpoint drains, disappears and returns cold; reloads in between."""
    first = endpoints[0]
    await asyncio.sleep(day.calm)
    await discovery.set(first, "draining")
    await asyncio.sleep(day.draining)
    await discovery.set(first, "gone")
    await asyncio.sleep(day.gone / 2)
    reload()
    await asyncio.sleep(day.gone / 2)
    first.start_cold(CAPACITY)
    await discovery.set(first, "ready", cold=True)
    await asyncio.sleep(day.back)


async def send_http_requests(
    client: HttpClient, classes: Sequence[ClientRequestClass], rng: Random, finished: asyncio.Event
) -> None:
    """Sends one request after another until ``finished`` is set."""
    while not finished.is_set():
        await client.call(rng.choice(classes))
        await asyncio.sleep(rng.random() * MAX_THINK_TIME)
    client.close()


async def send_jsonrpc_calls(
    client: JsonRpcClient, address: str, classes: Sequence[ClientRequestClass], rng: Random, finished: asyncio.Event
) -> None:
    """Sends concurrent calls, batches and notifications until ``finished`` is set."""
    await client.connect(address)
    in_flight: list[asyncio.Future[object]] = []
    while not finished.is_set():
        kind = rng.random()
        if kind < 0.6:
            in_flight.append(client.call(rng.choice(classes)))
        elif kind < 0.8:
            calls = [client.prepare(rng.choice(classes)) for _ in range(rng.randrange(1, 5))]
            client.raw(b"[%b]" % b",".join(text for text, _ in calls))
            in_flight += [future for _, future in calls]
        else:
            client.notify(rng.choice(classes))
        if rng.random() < DISCONNECT_PROBABILITY:
            await client.close()
            in_flight.clear()
            await client.connect(address)
        await asyncio.sleep(rng.random() * MAX_THINK_TIME)
    await asyncio.gather(*in_flight)
    await client.close()
