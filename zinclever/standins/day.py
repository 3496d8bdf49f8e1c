"""A day of faults, drawn from a seed: the same one for every protocol.

Clients ask, endpoints go wrong, one of them drains, goes and comes back cold, and the configuration is read
again in between. What happened is in the log; :func:`~zinclever.standins.audit.audit` judges it.
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

#: What share of the requests meets each fault.
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
MOST_DELAY = 0.03  # s that an answer takes
THINK = 0.03  # s between two requests of a client at the most
CAPACITY = 400.0  # requests a second that an endpoint is said to carry when warm
LEAVES = 0.01  # chance that a JSON-RPC client leaves with what it has out


@dataclass(frozen=True, slots=True)
class Day:
    """How long each part lasts, in s. ``draining`` outlasts the grace, so that a drain that is not heeded
    shows."""

    calm: float = 1.0
    draining: float = 2.4
    gone: float = 0.6
    back: float = 1.0


async def change(day: Day, discovery: Discovery, endpoints: Sequence[Endpoint], reload: Callable[[], None]) -> None:
    """The list of endpoints through the day: the first one drains, goes, and comes back cold."""
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


async def ask_http(client: HttpClient, classes: Sequence[ClientRequestClass], rng: Random, over: asyncio.Event) -> None:
    """One request after another until the day is over."""
    while not over.is_set():
        await client.call(rng.choice(classes))
        await asyncio.sleep(rng.random() * THINK)
    client.close()


async def ask_jsonrpc(
    client: JsonRpcClient, address: str, classes: Sequence[ClientRequestClass], rng: Random, over: asyncio.Event
) -> None:
    """Calls, batches and notifications, several at once, until the day is over."""
    await client.connect(address)
    out: list[asyncio.Future[object]] = []
    while not over.is_set():
        kind = rng.random()
        if kind < 0.6:
            out.append(client.call(rng.choice(classes)))
        elif kind < 0.8:
            calls = [client.prepare(rng.choice(classes)) for _ in range(rng.randrange(1, 5))]
            client.raw(b"[%b]" % b",".join(text for text, _ in calls))
            out += [future for _, future in calls]
        else:
            client.notify(rng.choice(classes))
        if rng.random() < LEAVES:
            await client.close()
            out.clear()
            await client.connect(address)
        await asyncio.sleep(rng.random() * THINK)
    await asyncio.gather(*out)
    await client.close()
