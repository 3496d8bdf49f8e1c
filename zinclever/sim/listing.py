"""Service discovery for all sidecars: learns of changes late, publishes them in batches and answers calls in order."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any, Literal, cast
from urllib.parse import parse_qs, urlsplit

import httptools
import orjson

from ..simnet.network import Machine
from ..simnet.scheduler import NS
from ..standins.log import EndpointAnnouncement

if TYPE_CHECKING:
    from .pages import UpstreamServer
    from .scene import BaseWorld

PORT = 8500
MS = NS // 1000
Health = Literal["ready", "draining", "gone"]
HEALTH_NAMES: dict[Health, str] = {"ready": "in_service", "draining": "terminating", "gone": "terminated"}
MAX_WATCH_MS = 60_000.0  # longest wait of a watch call in the discovery protocol


class DiscoveryServer:
    """The discovery service: the versioned server list and the calls that watch it."""

    def __init__(self, world: BaseWorld, machine: Machine) -> None:
        self.world, self.machine, self.settings = world, machine, world.day.listing
        self.rng = Random(f"{world.day.seed}/listing")
        self.loop = world.process(machine)
        self.version = 0
        self.entries: dict[str, tuple[int, Health, dict[str, Any]]] = {}
        """By server name: the version of the latest change, the health and the entry as sent."""
        self.pending: dict[str, tuple[Health, dict[str, Any]]] = {}
        """Changes that the next step publishes, by server name."""
        self.step_scheduled = False
        self.watching: dict[DiscoveryConnection, None] = {}
        self.busy_until = 0
        """Instant in ns at which all calls received so far have been processed."""
        self.down = False

    async def listen(self) -> None:
        """Accept connections on the discovery port."""
        await self.loop.create_server(lambda: DiscoveryConnection(self), self.machine.address, PORT, backlog=4096)

    # --- changes of the list ---

    def schedule_change(self, server: UpstreamServer, health: Health, after: float) -> None:
        """Let discovery learn of a server's new health after ``after`` seconds; at once if 0."""
        entry = {
            "host": server.name,
            "dial": f"{server.machine.address}:8080",
            "site": server.machine.zone,
            "class": server.kind.name,
            "block": server.cell,
            "health": HEALTH_NAMES[health],
            "share": 1.0,
            "born_ms": round(server.started_at_ms),
        }
        if after <= 0.0:
            self.record_change(server.name, health, entry)
        else:
            self.world.scheduler.after(round(after * NS), self.queue_change, server.name, health, entry)

    def queue_change(self, name: str, health: Health, entry: dict[str, Any]) -> None:
        """Add a change to the next step; steps are at multiples of the publishing interval."""
        self.pending[name] = health, entry
        if not self.step_scheduled:
            self.step_scheduled = True
            step_ns = round(self.settings.period_ms * MS)
            self.world.scheduler.at((self.world.now() // step_ns + 1) * step_ns, self.publish_step)

    def publish_step(self) -> None:
        """Publish the pending changes and answer all watching calls."""
        self.step_scheduled = False
        pending, self.pending = self.pending, {}
        for name, (health, entry) in pending.items():
            self.record_change(name, health, entry)
        watching, self.watching = self.watching, {}
        for connection in watching:
            connection.schedule_answer()

    def record_change(self, name: str, health: Health, entry: dict[str, Any]) -> None:
        """Store a change under the next version."""
        self.version += 1
        self.entries[name] = self.version, health, entry

    def changes_since(self, since: int | None) -> dict[str, tuple[Health, dict[str, Any]]]:
        """Return the changes after a version; for None, all servers that are not gone."""
        return {
            name: (health, entry)
            for name, (version, health, entry) in self.entries.items()
            if (version > since if since is not None else health != "gone")
        }

    def ready_names(self) -> list[str]:
        """Return the names of the servers that discovery lists as ready."""
        return [name for name, (health, _) in self.changes_since(None).items() if health == "ready"]

    def snapshot(self) -> dict[str, Any]:
        """Return the full list, as a starting sidecar gets it in its configuration."""
        return {"seq": self.version, "whole": True, "hosts": [entry for _, entry in self.changes_since(None).values()]}

    # --- faults of discovery itself ---

    def go_down(self) -> None:
        """Stop the service: all connections are reset and new ones refused."""
        self.down = True
        self.watching.clear()
        self.loop.die()
        self.machine.listeners.clear()

    def restore(self) -> None:
        """Start the service again, with the list as it was."""
        self.down = False
        self.loop = self.world.process(self.machine)
        self.loop.create_task(self.listen())
        self.busy_until = self.world.now()


class DiscoveryConnection(asyncio.Protocol):
    """A sidecar's HTTP connection to discovery, with one call at a time."""

    transport: asyncio.Transport

    def __init__(self, listing: DiscoveryServer) -> None:
        self.listing, self.world = listing, listing.world
        self.parser: Any = httptools.HttpRequestParser(self)
        self.url = b""
        self.since: int | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.caller = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and look up the caller's name."""
        self.transport = cast(asyncio.Transport, transport)
        self.caller = self.world.machine_names.get(transport.get_extra_info("peername")[0], "")

    def connection_lost(self, exc: Exception | None) -> None:
        """End the watch of a closed connection."""
        self.parser = None
        self.stop_watching()

    def stop_watching(self) -> None:
        """End the watch, if the current call is one."""
        self.listing.watching.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def data_received(self, data: bytes) -> None:
        """Parse a part of a call."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.world.counts.malformed += 1
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        """Collect a part of the call's URL."""
        self.url += url

    def on_message_complete(self) -> None:
        """Answer the call, or let it watch until the list changes or its wait time is over."""
        query = parse_qs(urlsplit(self.url.decode()).query)
        self.url = b""
        self.world.counts.count_discovery_call()
        self.since = int(query["index"][0]) if "index" in query else None
        wait = min(float(query.get("wait", ["0"])[0]), MAX_WATCH_MS)
        if self.since is not None and self.since >= self.listing.version and wait > 0.0:
            self.listing.watching[self] = None
            self.timer = self.listing.loop.call_later(wait / 1000.0, self.schedule_answer)
        else:
            self.schedule_answer()

    def schedule_answer(self) -> None:
        """Answer the current call after the calls before it; fail it if the queue is longer than the timeout."""
        self.stop_watching()
        listing, now = self.listing, self.world.now()
        settings = listing.settings
        start = max(now, listing.busy_until)
        if start - now > settings.timeout_ms * MS:
            listing.loop.call_later(settings.timeout_ms / 1000.0, self.send_failure)
            return
        entry_count = len(listing.changes_since(self.since)) + settings.call_lines
        listing.busy_until = start + round(entry_count / settings.lines_per_s * NS)
        listing.loop.call_later((listing.busy_until - now) / NS, self.send_answer)

    def send_failure(self) -> None:
        """Answer 503: discovery is overloaded."""
        self.world.counts.discovery_failures += 1
        if not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")

    def send_answer(self) -> None:
        """Send the changes since the caller's version."""
        if self.transport.is_closing():
            return
        listing = self.listing
        changes = listing.changes_since(self.since)
        entries = [self.world.localize_entry(entry, self.caller) for _, entry in changes.values()]
        body = orjson.dumps({"seq": listing.version, "whole": self.since is None, "hosts": entries})
        self.world.counts.count_discovery_entries(len(changes))
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        now = self.world.now_ms()
        self.world.log.announcements += [
            EndpointAnnouncement(now, name, health, self.caller) for name, (health, _) in changes.items()
        ]
