"""The platform's discovery: the whole list, and watches that wait for changes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any, Literal, Self
from urllib.parse import parse_qs, urlsplit

from .endpoint import Endpoint
from .log import Log, Told

Phase = Literal["ready", "draining", "gone"]
HEALTH: dict[Phase, str] = {"ready": "in_service", "draining": "terminating", "gone": "terminated"}


class Discovery:
    """Tells the list to whoever asks; what it has written to a socket counts as told."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.version = 0
        self.hosts: dict[str, tuple[int, Phase, dict[str, Any]]] = {}
        """By name: the version of the latest change, the phase, the entry."""
        self.changed = asyncio.Condition()
        self.seen: set[tuple[str, int]] = set()
        self.told = asyncio.Condition()
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
        """Change the list. ``cold``: the endpoint has started just now."""
        async with self.changed:
            self.version += 1
            born = time.time() * 1000.0 if cold else 0.0
            if not cold and endpoint.name in self.hosts:
                born = self.hosts[endpoint.name][2]["born_ms"]
            entry = {
                "host": endpoint.name,
                "dial": endpoint.address,
                "site": endpoint.zone,
                "class": "m",
                "block": 0,
                "health": HEALTH[phase],
                "share": 1.0,
                "born_ms": born,
            }
            self.hosts[endpoint.name] = self.version, phase, entry
            self.changed.notify_all()

    async def wait_until_announced(self, endpoint: Endpoint) -> None:
        """Wait until an endpoint's latest change has been written to some sidecar."""
        version = self.hosts[endpoint.name][0]
        async with self.told:
            await self.told.wait_for(lambda: (endpoint.name, version) in self.seen)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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

    async def wait(self, known: int, span: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(span), self.changed:
                await self.changed.wait_for(lambda: self.version > known)

    async def answer(self, writer: asyncio.StreamWriter, known: int | None) -> None:
        whole = known is None
        new = {
            name: (version, phase, entry)
            for name, (version, phase, entry) in self.hosts.items()
            if known is None or version > known
        }
        hosts = [entry for _, phase, entry in new.values() if not (whole and phase == "gone")]
        body = json.dumps({"seq": self.version, "whole": whole, "hosts": hosts}).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        at = self.log.clock()
        self.log.told += [Told(at, name, phase) for name, (_, phase, _) in new.items()]
        async with self.told:
            self.seen |= {(name, version) for name, (version, _, _) in new.items()}
            self.told.notify_all()
