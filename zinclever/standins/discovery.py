"""A test double of the platform's discovery service: full endpoint lists, and watches that wait for changes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any, Literal, Self
from urllib.parse import parse_qs, urlsplit

from .endpoint import Endpoint
from .log import EndpointAnnouncement, Log

Phase = Literal["ready", "draining", "gone"]
HEALTH: dict[Phase, str] = {"ready": "in_service", "draining": "terminating", "gone": "terminated"}


class Discovery:
    """Serves the endpoint list over HTTP. An entry counts as announced once it is written to a socket."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.version = 0
        self.hosts: dict[str, tuple[int, Phase, dict[str, Any]]] = {}
        """For each name the version of the latest change, the phase and the list entry."""
        self.changed = asyncio.Condition()
        self.announced_versions: set[tuple[str, int]] = set()
        """Names and versions of the entries that have been announced."""
        self.announced = asyncio.Condition()
        self.writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> Self:
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *error: object) -> None:
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def set(self, endpoint: Endpoint, phase: Phase = "ready", cold: bool = False) -> None:
        """Adds or changes an endpoint in the list; ``cold``: the endpoint has just started."""
        async with self.changed:
            self.version += 1
            started_at_ms = time.time() * 1000.0 if cold else 0.0
            if not cold and endpoint.name in self.hosts:
                started_at_ms = self.hosts[endpoint.name][2]["born_ms"]
            entry = {
                "host": endpoint.name,
                "dial": endpoint.address,
                "site": endpoint.zone,
                "class": "m",
                "block": 0,
                "health": HEALTH[phase],
                "share": 1.0,
                "born_ms": started_at_ms,
            }
            self.hosts[endpoint.name] = self.version, phase, entry
            self.changed.notify_all()

    async def wait_until_announced(self, endpoint: Endpoint) -> None:
        """Waits until the latest change of an endpoint has been written to at least one sidecar."""
        version = self.hosts[endpoint.name][0]
        async with self.announced:
            await self.announced.wait_for(lambda: (endpoint.name, version) in self.announced_versions)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the requests of one connection until it is closed."""
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = parse_qs(urlsplit(head.split()[1].decode()).query)
                known = int(query["index"][0]) if "index" in query else None
                if known is not None:
                    await self.wait(known, float(query.get("wait", ["0"])[0]) / 1000.0)
                await self.answer(writer, known)
        self.writers.discard(writer)
        writer.transport.abort()

    async def wait(self, known: int, timeout: float) -> None:
        """Waits until the list is newer than version ``known``, at most ``span`` seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout), self.changed:
                await self.changed.wait_for(lambda: self.version > known)

    async def answer(self, writer: asyncio.StreamWriter, known: int | None) -> None:
        """Writes the entries changed since version ``known``, or the full list where it is None."""
        is_full_list = known is None
        changes = {
            name: (version, phase, entry)
            for name, (version, phase, entry) in self.hosts.items()
            if known is None or version > known
        }
        hosts = [entry for _, phase, entry in changes.values() if not (is_full_list and phase == "gone")]
        body = json.dumps({"seq": self.version, "whole": is_full_list, "hosts": hosts}).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        at = self.log.clock()
        self.log.announcements += [EndpointAnnouncement(at, name, phase) for name, (_, phase, _) in changes.items()]
        async with self.announced:
            self.announced_versions |= {(name, version) for name, (version, _, _) in changes.items()}
            self.announced.notify_all()
