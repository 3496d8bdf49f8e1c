"""Discovery: one service for all sidecars. Learns late, tells changes in steps, works through calls in turn."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any, Literal, cast
from urllib.parse import parse_qs, urlsplit

import httptools
import orjson

from ..simnet.network import Machine
from ..simnet.scheduler import NS
from ..standins.log import Told

if TYPE_CHECKING:
    from .pages import PageServer
    from .scene import BaseWorld

PORT = 8500
MS = NS // 1000
Health = Literal["ready", "draining", "gone"]
WORDS: dict[Health, str] = {"ready": "in_service", "draining": "terminating", "gone": "terminated"}
MOST_WAIT = 60_000.0  # ms that a watch waits, as the protocol has it


class Listing:
    """The list, its versions and who watches it."""

    def __init__(self, world: BaseWorld, machine: Machine) -> None:
        self.world, self.machine, self.told = world, machine, world.day.listing
        self.rng = Random(f"{world.day.seed}/listing")
        self.loop = world.process(machine)
        self.version = 0
        self.entries: dict[str, tuple[int, Health, dict[str, Any]]] = {}
        """By name: the version of the latest change, what it was, the line."""
        self.coming: dict[str, tuple[Health, dict[str, Any]]] = {}
        """What the next step will tell."""
        self.stepping = False
        self.watchers: dict[Call, None] = {}
        self.free_at = 0
        """ns when it is through with the calls that have come."""
        self.down = False

    async def listen(self) -> None:
        await self.loop.create_server(lambda: Call(self), self.machine.address, PORT, backlog=4096)

    # --- what it learns ---

    def learn(self, server: PageServer, health: Health, after: float) -> None:
        """It knows of a change after so many s."""
        line = {
            "host": server.name,
            "dial": f"{server.machine.address}:8080",
            "site": server.machine.zone,
            "class": server.kind.name,
            "block": server.cell,
            "health": WORDS[health],
            "share": 1.0,
            "born_ms": round(server.born),
        }
        if after <= 0.0:
            self.put(server.name, health, line)
        else:
            self.world.scheduler.after(round(after * NS), self.expect, server.name, health, line)

    def expect(self, name: str, health: Health, line: dict[str, Any]) -> None:
        self.coming[name] = health, line
        if not self.stepping:
            self.stepping = True
            step = round(self.told.period_ms * MS)
            self.world.scheduler.at((self.world.now() // step + 1) * step, self.step)

    def step(self) -> None:
        """All that has come since the last one makes a new version."""
        self.stepping = False
        coming, self.coming = self.coming, {}
        for name, (health, line) in coming.items():
            self.put(name, health, line)
        watchers, self.watchers = self.watchers, {}
        for call in watchers:
            call.due()

    def put(self, name: str, health: Health, line: dict[str, Any]) -> None:
        self.version += 1
        self.entries[name] = self.version, health, line

    def hosts(self, since: int | None) -> dict[str, tuple[Health, dict[str, Any]]]:
        """What has changed since a version, or all there is."""
        return {
            name: (health, line)
            for name, (version, health, line) in self.entries.items()
            if (version > since if since is not None else health != "gone")
        }

    def listed(self) -> list[str]:
        """The servers that are ready as far as it knows."""
        return [name for name, (health, _) in self.hosts(None).items() if health == "ready"]

    def whole(self) -> dict[str, Any]:
        """As a sidecar that has just started may know it."""
        return {"seq": self.version, "whole": True, "hosts": [line for _, line in self.hosts(None).values()]}

    # --- its own troubles ---

    def go_down(self) -> None:
        """Watches end, calls fail."""
        self.down = True
        self.watchers.clear()
        self.loop.die()
        self.machine.listeners.clear()

    def come_back(self) -> None:
        self.down = False
        self.loop = self.world.process(self.machine)
        self.loop.create_task(self.listen())
        self.free_at = self.world.now()


class Call(asyncio.Protocol):
    """A connection of a sidecar: one call at a time."""

    transport: asyncio.Transport

    def __init__(self, listing: Listing) -> None:
        self.listing, self.world = listing, listing.world
        self.parser: Any = httptools.HttpRequestParser(self)
        self.url = b""
        self.since: int | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.caller = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.caller = self.world.names.get(transport.get_extra_info("peername")[0], "")

    def connection_lost(self, exc: Exception | None) -> None:
        self.parser = None
        self.leave()

    def leave(self) -> None:
        self.listing.watchers.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.world.counts.malformed += 1
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        query = parse_qs(urlsplit(self.url.decode()).query)
        self.url = b""
        self.world.counts.list_call()
        self.since = int(query["index"][0]) if "index" in query else None
        wait = min(float(query.get("wait", ["0"])[0]), MOST_WAIT)
        if self.since is not None and self.since >= self.listing.version and wait > 0.0:
            self.listing.watchers[self] = None
            self.timer = self.listing.loop.call_later(wait / 1000.0, self.due)
        else:
            self.due()

    def due(self) -> None:
        """It is to be answered, in its turn."""
        self.leave()
        listing, now = self.listing, self.world.now()
        told = listing.told
        start = max(now, listing.free_at)
        if start - now > told.timeout_ms * MS:
            listing.loop.call_later(told.timeout_ms / 1000.0, self.fail)
            return
        lines = len(listing.hosts(self.since)) + told.call_lines
        listing.free_at = start + round(lines / told.lines_per_s * NS)
        listing.loop.call_later((listing.free_at - now) / NS, self.answer)

    def fail(self) -> None:
        self.world.counts.list_failures += 1
        if not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")

    def answer(self) -> None:
        if self.transport.is_closing():
            return
        listing = self.listing
        new = listing.hosts(self.since)
        told = [self.world.localize_entry(line, self.caller) for _, line in new.values()]
        body = orjson.dumps({"seq": listing.version, "whole": self.since is None, "hosts": told})
        self.world.counts.list_line(len(new))
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        at = self.world.now_ms()
        self.world.log.told += [Told(at, name, health, self.caller) for name, (health, _) in new.items()]
