"""A sidecar gets SIGTERM; its clients go on to send. Are the requests answered that it still takes after 3 s?"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from signal import SIGTERM

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins_2 import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    Client,
    Endpoint,
    Headers,
    Site,
    configuration,
    has_trouble,
    route,
    run_case,
)

DEADLINE_S = 3.0  # of the route and of each client
WORK_S = 2.7
INTERVAL_S = 0.1  # between two requests
LOAD_S = 5.0
EXCUSED_S = 3.0  # after SIGTERM: requests that are sent until then may be cut


async def work(endpoint: Endpoint, start: str, headers: Headers, body: bytes) -> tuple[int, bytes]:
    """Work on a request for :data:`WORK_S`."""
    await asyncio.sleep(WORK_S)
    return 200, b"ok"


async def play(site: Site) -> int:
    """Send a request every :data:`INTERVAL_S` to the only sidecar of its zone, which gets SIGTERM after a second."""
    site.add_control()
    taker = site.add_sidecar("grandi", "huvo11a")
    others = [site.add_sidecar(zone, "wuno96b") for zone in site.zones[1:]]
    routes = {"r-1": route("/orders/", "wuno96b", is_idempotent=False, deadline=DEADLINE_S, aim=1.2)}
    if not await site.replace(configuration(5, routes, ["huvo11a", "wuno96b"]), 0):
        return NOT_RUN
    endpoints = [Endpoint(site, machine, work, capacity=30) for machine in (taker, *others)]
    for endpoint in endpoints:
        await endpoint.start()
    if not await site.wait_ready([taker, *others]):
        return NOT_RUN
    cut: list[str] = []
    answered = refused = 0
    started_at = time.monotonic()
    terminated_at = started_at + 1.0

    async def send(number: int) -> None:
        nonlocal answered, refused
        client, request = Client(site, taker), f"order-{number}"
        sent_at = time.monotonic()
        answer = await client.send("/orders/", request, b"one frame", DEADLINE_S)
        waited = time.monotonic() - sent_at
        client.close()
        begun_at = next((at for endpoint in endpoints for at, run in endpoint.runs if run == request), None)
        is_at_work = begun_at is not None and time.monotonic() < begun_at + WORK_S
        status = answer[0] if answer is not None else 0
        answered += status == 200
        refused += status == 503
        is_excused = sent_at <= terminated_at + EXCUSED_S or waited > DEADLINE_S - 0.1
        if has_trouble() and status not in (200, 503) and is_at_work and not is_excused:
            site.record.add(
                f"{request}: sent {sent_at - terminated_at:.2f} s after SIGTERM, broken off {waited:.2f} s later "
                f"with {status or 'no answer'}, while its endpoint was at work"
            )
            cut.append(request)

    async def terminate() -> None:
        nonlocal terminated_at
        await asyncio.sleep(terminated_at - time.monotonic())
        if has_trouble():
            taker.is_down = True
            taker.send(SIGTERM)
            terminated_at = time.monotonic()
            site.record.add(f"{taker.name}: SIGTERM")

    tasks = [site.spawn(terminate())]
    for number in range(int(LOAD_S / INTERVAL_S)):
        tasks.append(site.spawn(send(number)))
        await asyncio.sleep(started_at + (number + 1) * INTERVAL_S - time.monotonic())
    await asyncio.gather(*tasks)
    site.record.add(f"answered {answered}, refused {refused}, broken off without an excuse {len(cut)}")
    if not has_trouble() and answered < len(tasks) - 1:
        return NOT_RUN
    return BROKEN if cut else HELD


run_case(CASE, play)
