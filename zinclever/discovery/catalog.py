"""Client of the platform's discovery service: fetches and watches the endpoint list for the dispatcher."""

from __future__ import annotations

import asyncio
import logging
import sys
from collections.abc import Callable, Sequence
from typing import Any

import orjson

from .. import interface
from ..core.host import Host
from ..core.protocol import Address, Entry, OnList, read_address
from ..fleet.limits import DiscoveryCallPacer
from ..http1.connection import Broken, ClientConnection, Reply, dial

log = logging.getLogger(__name__)

PATH = "/catalog/members"
WATCH_PER_SIDECAR = 200.0  # ms that a watch waits for changes, per sidecar that shares the service
MIN_WATCH, MAX_WATCH = 3000.0, 20000.0  # bounds of that wait in ms; a hung service is detected only after it
CALL_TIMEOUT = 3000.0  # ms to wait for an answer, in addition to the wait requested by the call
MAX_LIST_SIZE = 4 << 20  # bytes of a list, for some ten thousand entries
RETRY_DELAY = 500.0  # ms before a failed watch is repeated in pushed mode, if the rate of calls is not limited
PHASES: dict[str, interface.Phase] = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}


def read_hosts(hosts: Sequence[dict[str, Any]], zones: Sequence[str]) -> list[Entry]:
    """Parses the entries of a list, each with the address to connect to.

    ``born_ms`` is Unix time in ms, as is the balancer's clock.
    """
    return [
        (
            interface.ListedEndpoint(
                endpoint=h["host"],
                phase=PHASES[h["health"]],
                size=h.get("share") or 1.0,
                zone=zone_of(h.get("site"), zones),
                cell=h.get("block") or 0,
                started_at=float(h.get("born_ms") or 0.0),
            ),
            read_address(h["dial"]),
        )
        for h in hosts
    ]


def zone_of(site: object, zones: Sequence[str]) -> int:
    """Returns the index of a zone; unknown zones count as the first one."""
    return zones.index(site) if isinstance(site, str) and site in zones else 0


#: The result of a call: kind, version, entries.
ListUpdate = tuple[interface.ListKind, int, list[dict[str, Any]]]


class Call:
    """Makes one call at a time on its own connection, which is kept for the next call."""

    def __init__(self, host: Host, address: Address, timeout: float, on_update: Callable[[ListUpdate], None]) -> None:
        self.host, self.address, self.timeout, self.on_update = host, address, timeout / 1000.0, on_update
        self.loop = asyncio.get_running_loop()
        self.connection: ClientConnection | None = None
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def start(self, query: str, wait: float) -> None:
        """Starts a call with a wait in ms; aborts the previous one if it is still in progress."""
        if self.timer is not None or (self.connection and not self.connection.reusable()):
            self.stop()
        head = f"GET {PATH}{query} HTTP/1.1\r\nHost: {self.address[0]}:{self.address[1]}\r\n\r\n"
        self.timer = self.loop.call_later((wait + CALL_TIMEOUT) / 1000.0, self.end, None)
        if self.connection is not None:
            self.connection.request(head.encode(), self.end)
        else:
            self.task = self.loop.create_task(self.connect(head.encode()))

    async def connect(self, data: bytes) -> None:
        """Dials the service and sends a call."""
        try:
            connection = await dial(self.host, self.address, self.timeout, lambda c: None, self.lost, MAX_LIST_SIZE)
        except OSError:
            self.task = None
            self.end(None)
            return
        self.task = None
        self.connection = connection
        connection.request(data, self.end)

    def lost(self, connection: ClientConnection) -> None:
        """Handles the end of a connection."""
        if connection is self.connection:
            self.connection = None

    def stop(self) -> None:
        """Aborts the call in progress, if any, and the connection."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.task is not None:
            self.task.cancel()
            self.task = None
        if self.connection is not None:
            self.connection.abort()
            self.connection = None

    def end(self, result: Reply | Broken | None) -> None:
        """Reports the result of a call: an answer, a broken connection or, with None, a timeout or a failed dial."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if isinstance(result, Reply) and result.status == 200:
            try:
                answer = orjson.loads(result.body)
                update: ListUpdate = "whole" if answer["whole"] else "changes", int(answer["seq"]), answer["hosts"]
            except (ValueError, LookupError, TypeError) as error:
                log.error("discovery: malformed answer: %s: %s", type(error).__name__, error)
            else:
                self.on_update(update)
                return
        elif not isinstance(result, Reply):
            self.stop()
        self.on_update(("refused", 0, []))


class Discovery:
    """Keeps the endpoint list up to date by watches and fetches, as the balancer requests them."""

    def __init__(
        self,
        address: Address,
        settings: interface.Settings,
        zones: Sequence[str],
        saved_list: dict[str, Any],
        on_list: OnList,
        host: Host,
    ) -> None:
        self.on_list, self.saved_list, self.host, self.rng = on_list, saved_list, host, host.random()
        self.refusals = 0
        self.retry_timer: asyncio.TimerHandle | None = None
        """The delay before the next watch call."""
        self.connect_timeout = settings.limits.connect_timeout
        self.configure(settings, zones)
        self.hosts: dict[str, tuple[Entry, str]] = {}
        """The list: each endpoint's entry and the name of its zone, as a reload may change the numbers of zones.

        The entries are kept compact, as the list may be long and memory scarce.
        """
        self.version: int | None = None
        self.watching = False
        self.connect(address)

    def configure(self, settings: interface.Settings, zones: Sequence[str]) -> None:
        """Sets the zones and the timing of watches."""
        self.pushed, self.zones = settings.discovery == "pushed", zones
        min_wait = min(max(WATCH_PER_SIDECAR * settings.group_size, MIN_WATCH), MAX_WATCH)
        calls = settings.shares.list_calls_per_s
        self.calls = DiscoveryCallPacer(calls, settings.group_size, settings.rules.ask_within, self.rng)
        self.wait = self.calls.watch_timeout(min_wait) if calls else min_wait

    def connect(self, address: Address) -> None:
        """Sets up the calls to a discovery service; connections are made on demand."""
        self.address = address
        self.watch_call = Call(self.host, address, self.connect_timeout, self.on_watched)
        self.fetch_call = Call(self.host, address, self.connect_timeout, self.on_fetched)

    def change_address(self, address: Address) -> None:
        """Switches to another discovery service and requests its full list, as it has its own version numbers.

        Late answers of the old service are ignored: its calls and connections are aborted.
        """
        self.stop()
        self.connect(address)
        self.version = None
        self.watch(True)

    def start(self) -> None:
        """Starts from the list that was saved before, if any."""
        # Release the parsed file content before the list is passed on: it takes more memory than the list itself.
        kind, entries = self.read("remembered", self.saved_list.pop("hosts", None) or [])
        self.version = self.saved_list.get("seq") if entries else None
        if self.pushed:
            self.watch(True)
        self.on_list(kind, entries)

    def remembered(self) -> list[Entry]:
        """Returns the last known list, with the current zone numbers."""
        return [
            (listed._replace(zone=zone_of(site, self.zones)), address)
            for (listed, address), site in self.hosts.values()
        ]

    def apply_update(self, kind: interface.ListKind, hosts: list[dict[str, Any]]) -> None:
        """Applies an answer of discovery and reports it."""
        self.on_list(*self.read(kind, hosts))

    def read(self, kind: interface.ListKind, hosts: list[dict[str, Any]]) -> tuple[interface.ListKind, list[Entry]]:
        """Applies an update to the list and returns it; a malformed one counts as refused."""
        entries: list[Entry] = []
        try:
            entries = read_hosts(hosts, self.zones)
        except (LookupError, TypeError, ValueError, AttributeError) as error:
            log.error("malformed list of endpoints: %s: %s", type(error).__name__, error)
            kind = "refused"
        if kind in ("whole", "remembered"):
            self.hosts.clear()
        for entry, raw in zip(entries, hosts, strict=kind != "refused"):
            listed, _ = entry
            if listed.phase == "gone":
                self.hosts.pop(listed.endpoint, None)
            else:
                self.hosts[listed.endpoint] = entry, sys.intern(str(raw.get("site") or ""))
        return kind, entries

    def watch(self, on: bool) -> None:
        """Starts a new watch, or stops watching.

        The first call returns at once: it reports missed changes and confirms the watch even if nothing has changed.
        The following calls wait for changes.
        """
        self.watching = on
        self.cancel_retry()
        if on:
            self.next_call(0.0)
        else:
            self.watch_call.stop()

    def next_call(self, wait: float) -> None:
        """Starts the next watch call, which waits up to ``wait`` ms for changes."""
        query = "" if self.version is None else f"?index={self.version}&wait={wait:.0f}"
        self.watch_call.start(query, wait)

    def on_watched(self, update: ListUpdate) -> None:
        """Handles the result of a watch call."""
        if not self.watching:
            return
        kind, version, hosts = update
        if kind == "refused":
            self.watching = False
            self.refusals += 1
            if self.pushed:
                self.schedule(
                    self.calls.retry_delay(self.refusals) if self.calls.span else RETRY_DELAY, lambda: self.watch(True)
                )
                return
        else:
            self.refusals = 0
            self.version = version
            if hosts and self.calls.span:
                self.schedule(self.calls.watch_pause(), lambda: self.next_call(self.wait))
            else:
                self.next_call(self.wait)
        self.apply_update(kind, hosts)

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Calls ``action`` after a delay in ms, unless another watch is started or stopped before."""
        self.cancel_retry()
        self.retry_timer = self.watch_call.loop.call_later(delay / 1000.0, action)

    def cancel_retry(self) -> None:
        """Cancels the delayed call, if any."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None

    def fetch(self) -> None:
        """Requests the full list once."""
        self.fetch_call.start("", 0.0)

    def on_fetched(self, update: ListUpdate) -> None:
        """Handles the result of a fetch."""
        self.fetch_call.stop()
        kind, version, hosts = update
        if kind != "refused":
            if self.version is not None and version < self.version:
                return  # the watch has delivered a newer version
            self.version = version
        self.apply_update(kind, hosts)

    def stop(self) -> None:
        """Stops all calls."""
        self.watching = False
        self.cancel_retry()
        self.watch_call.stop()
        self.fetch_call.stop()
