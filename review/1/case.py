"""CONFIG: sidecars keep an old configuration for up to half a minute after all core machines were dark for 5 s.

In each round the operator moves the route to the other service; once the change is acknowledged, all core processes are
killed and start again 5 s later with their disks. Each sidecar then gets requests from when it is in touch again. It is
luck whether the new text reaches a sidecar before the kill: there are several rounds, and the first break ends them.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (
    BOUNDS,
    CannotRun,
    Deployment,
    Record,
    Sidecar,
    call,
    main,
    new_request,
    now,
    read_message,
    request_head,
    route,
)

DARK_S = 5.0  # `fleetbench kinds`: herd_kill on core, "with how off they lose power for for_s"; "for_s: how long (5)"
ROUNDS = 9
IDLE_ROUTES = 400  # further routes of the configuration: they only make it larger
DEADLINE_S, TARGET_S = 2.0, 0.8
MARGIN_S = 0.5
WATCH_S = 1.2  # for which the sidecars are watched, from when they are in touch again
LAST_S = 105.0  # from the start of the script: no request is sent later
HOST = "orders.example"


async def probe(deployment: Deployment, sidecar: Sidecar, record: Record) -> str:
    """Send one request to a sidecar; returns the service that ran it, empty if none is known to have."""
    request = new_request()
    host, _, port = sidecar.egress.rpartition(":")
    status = "no answer"
    try:
        async with asyncio.timeout(DEADLINE_S + 0.5):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request_head("POST", HOST, request, DEADLINE_S, 5) + b"order")
            status = (await read_message(reader)).start.split()[1]
            writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        status = repr(error)
    ran = [s.endpoint.service for s in deployment.sidecars if any(run.id == request for run in s.endpoint.runs)]
    record.line(f"request {request} to {sidecar.name}: {status}, run by {ran or 'none'}")
    return ran[0] if ran else ""


async def case(record: Record, trouble: bool) -> bool:
    routes = {f"r-idle-{n}": route("first", f"idle-{n}.example", "idempotent", 2.0, 0.8) for n in range(IDLE_ROUTES)}
    target = "first"

    def routes_to(service: str) -> dict[str, object]:
        return routes | {"r-orders": route(service, HOST, "non_idempotent", DEADLINE_S, TARGET_S)}

    deployment = Deployment(record, ["first", "second", "first", "second", "first"], routes_to(target), quiet=True)
    try:
        await deployment.start()
        for generation in range(2, 2 + ROUNDS):
            old, target = target, "second" if target == "first" else "first"
            deployment.routes = routes_to(target)
            record.line(f"the operator sends version {generation}: {HOST} moves from {old} to {target}")
            while not await asyncio.to_thread(put_and_kill, deployment, generation, trouble):
                await asyncio.sleep(0.1)
            acknowledged = now()
            record.line(f"version {generation} is acknowledged")
            started = acknowledged
            if trouble:
                record.line("all core processes are killed")
                await asyncio.sleep(DARK_S)
                for core in deployment.cores:
                    core.end()
                    core.settings["Bootstrap"] = False
                    core.start()
                started = now()
                record.line("all core processes are started, with their disks")
            await read_back(deployment, record, generation)
            # In touch: ContactS after the last start in the core, which is also later than ConfigApplyS after the
            # acknowledgement.
            watched_from = max(started, acknowledged + BOUNDS["ConfigApplyS"]) + BOUNDS["ContactS"] + MARGIN_S
            await asyncio.sleep(watched_from - now())
            stale, last_stale = 0, 0.0
            end = now() + WATCH_S
            while now() < end:
                sent = now()
                ran = await asyncio.gather(*(probe(deployment, s, record) for s in deployment.sidecars))
                if old in ran:
                    stale, last_stale = stale + ran.count(old), sent - acknowledged
                    end = min(sent + WATCH_S, LAST_S)  # watch on, to see how long it lasts
                await asyncio.sleep(0.5)
            record.line(
                f"version {generation}: {stale} requests, sent {watched_from - acknowledged:.1f} to {last_stale:.1f} s "
                f"after its acknowledgement, were run by {old}, which only version {generation - 1} allows"
                if stale
                else f"version {generation}: no request was run by {old}"
            )
            if stale:
                return True
            if now() > LAST_S - DARK_S - 15.0:
                break
    finally:
        await deployment.stop()
    return False


def put_and_kill(deployment: Deployment, generation: int, kill: bool) -> bool:
    """Send the configuration to a core machine, following redirections; once it answers 200, kill the core at once.

    With blocking calls in a thread, as the event loop of this script would be slower than those of the sidecars.
    """
    body = json.dumps(deployment.configuration(generation)).encode()
    address = random.choice(deployment.controls)
    for _ in range(3):
        host, _, port = address.rpartition(":")
        head = (
            f"POST /v1/config/replace HTTP/1.1\r\nHost: {address}\r\nX-Base-Version: {generation - 1}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        try:
            with socket.create_connection((host, int(port)), 4.0) as sock:
                sock.settimeout(4.0)  # a second, and more for large bodies
                sock.sendall(head.encode() + body)
                answer = sock.recv(4096)
                if answer.startswith(b"HTTP/1.1 200 ") and kill:
                    for core in deployment.cores:
                        os.kill(core.pid, signal.SIGKILL)
        except OSError:
            return False
        if not answer.startswith(b"HTTP/1.1 307 "):
            return answer.startswith(b"HTTP/1.1 200 ")
        location = next(line for line in answer.split(b"\r\n") if line.lower().startswith(b"location:"))
        address = location.decode().partition("http://")[2].partition("/")[0]
    return False


async def read_back(deployment: Deployment, record: Record, generation: int) -> None:
    """Wait until a read of the configuration answers this version: the core serves again."""
    for _ in range(150):
        for address in deployment.controls:
            answer = await call(address, "GET", "/v1/config/read")
            if (
                answer is not None
                and answer.start.split()[1] == "200"
                and f'"Generation":{generation},'.encode() in answer.body
            ):
                record.line(f"version {generation} is read back")
                return
        await asyncio.sleep(0.1)
    raise CannotRun("the configuration can't be read")


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, case))
