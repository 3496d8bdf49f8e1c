"""Long requests, of which an endpoint runs one and loses its answer: is that request run again?"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import sys
import time
from collections import Counter
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins_2 import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    Client,
    Endpoint,
    Site,
    configuration,
    has_trouble,
    read_head,
    route,
    run_case,
)

REQUESTS = 20  # one of them loses its answer: x = 0.05
BODY = b"x" * (16 << 20)
WORK_S = 0.05
STEP = 64 * 1024
WINDOW = 64 * 1024  # bytes; "small windows" (DEPLOY.md, Network)


class UploadEndpoint(Endpoint):
    """Works on a request once the first part of its body is in, answers, keeps the connection and reads on later."""

    async def start(self) -> None:
        """Listen with a small window, and send heartbeats."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
        host, _, port = self.address.rpartition(":")
        sock.bind((host, int(port)))
        self.server = await asyncio.start_server(self.serve, sock=sock, limit=STEP)
        self.site.spawn(self.beat())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one request at a time on a connection."""
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                _, headers = await read_head(reader)
                request, length = headers["x-attempt-id"], int(headers["content-length"])
                received = len(await reader.read(STEP))
                self.runs.append((time.monotonic(), request))
                self.site.record.add(
                    f"endpoint {self.id}: begins to work on {request}, {received} of {length} bytes are in"
                )
                await asyncio.sleep(WORK_S)
                if request in to_lose:
                    to_lose.discard(request)
                    self.site.record.add(f"endpoint {self.id}: {request} has run; its answer is lost by a reset")
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    break
                head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request}\r\nX-Server-Seal: 3e1b.07.5a2\r\n"
                writer.write(f"{head}Content-Length: 2\r\n\r\nok".encode())
                await writer.drain()
                self.site.record.add(f"endpoint {self.id}: has answered {request}, and reads on")
                while received < length:
                    part = await reader.read(STEP)
                    if not part:
                        break
                    received += len(part)
        writer.transport.abort()


to_lose: set[str] = {f"charge-{REQUESTS // 2}"} if has_trouble() else set()


async def play(site: Site) -> int:
    """Send the requests one after the other, and count how often each was run."""
    site.add_control()
    sidecars = [site.add_sidecar("grandi", "huvo11a"), *(site.add_sidecar(zone, "wuno96b") for zone in site.zones[1:])]
    routes = {"r-1": route("/cards/", "wuno96b", is_idempotent=False, deadline=8.0, aim=4.0)}
    if not await site.replace(configuration(5, routes, ["huvo11a", "wuno96b"]), 0):
        return NOT_RUN
    endpoints = [UploadEndpoint(site, sidecar) for sidecar in sidecars]
    for endpoint in endpoints:
        await endpoint.start()
    if not await site.wait_ready(sidecars):
        return NOT_RUN
    client = Client(site, sidecars[0])
    answers = Counter[int]()
    for number in range(REQUESTS):
        answer = await client.send("/cards/", f"charge-{number}", BODY, deadline=8.0, method="PUT")
        answers[answer[0] if answer is not None else 0] += 1
    runs = Counter(request for endpoint in endpoints for _, request in endpoint.runs)
    twice = {request: count for request, count in runs.items() if count > 1}
    site.record.add(f"answers by status: {dict(answers)}; run more than once: {twice}")
    if not has_trouble() and answers[200] < REQUESTS:
        return NOT_RUN
    return BROKEN if twice else HELD


run_case(CASE, play)
