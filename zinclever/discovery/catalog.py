"""The platform's discovery: its list of endpoints is asked for, watched, and told to the ledger."""

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
WATCH_EACH = 200.0  # ms that a watch waits for changes, for each sidecar that shares the service
WATCH_LEAST, WATCH_MOST = 3000.0, 20000.0  # a service that has gone silent is noticed no sooner than this
CALL = 3000.0  # ms to wait for an answer beyond what the call itself may wait
MOST_LIST = 4 << 20  # bytes: some ten thousand entries
AGAIN = 500.0  # ms between two tries where lists are pushed and the balancer doesn't ask
PHASES: dict[str, interface.Phase] = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}


def read_hosts(hosts: Sequence[dict[str, Any]], zones: Sequence[str]) -> list[Entry]:
    """Entries of the list, each with the address that it has at this sidecar.

    The balancer's clock reads Unix time in milliseconds, as ``born_ms`` does.
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
    """The number of a zone; what isn't named is in the first one."""
    return zones.index(site) if isinstance(site, str) and site in zones else 0


#: What came of a call: kind, version, entries.
News = tuple[interface.ListKind, int, list[dict[str, Any]]]


class Call:
    """One call at a time on a connection of its own, kept for the next."""

    def __init__(self, host: Host, address: Address, timeout: float, on_news: Callable[[News], None]) -> None:
        self.host, self.address, self.timeout, self.on_news = host, address, timeout / 1000.0, on_news
        self.loop = asyncio.get_running_loop()
        self.connection: ClientConnection | None = None
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def ask(self, query: str, wait: float) -> None:
        """Start a call; one that is still out is given up for it."""
        if self.timer is not None or (self.connection and not self.connection.reusable()):
            self.stop()
        head = f"GET {PATH}{query} HTTP/1.1\r\nHost: {self.address[0]}:{self.address[1]}\r\n\r\n"
        self.timer = self.loop.call_later((wait + CALL) / 1000.0, self.end, None)
        if self.connection is not None:
            self.connection.request(head.encode(), self.end)
        else:
            self.task = self.loop.create_task(self.connect(head.encode()))

    async def connect(self, data: bytes) -> None:
        try:
            connection = await dial(self.host, self.address, self.timeout, lambda c: None, self.lost, MOST_LIST)
        except OSError:
            self.task = None
            self.end(None)
            return
        self.task = None
        self.connection = connection
        connection.request(data, self.end)

    def lost(self, connection: ClientConnection) -> None:
        if connection is self.connection:
            self.connection = None

    def stop(self) -> None:
        """Give up the call that is out, if any, and the connection."""
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
        """An answer, a broken connection or, with None, no answer in time."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if isinstance(result, Reply) and result.status == 200:
            try:
                told = orjson.loads(result.body)
                news: News = "whole" if told["whole"] else "changes", int(told["seq"]), told["hosts"]
            except (ValueError, LookupError, TypeError) as wrong:
                log.error("discovery: %s: %s", type(wrong).__name__, wrong)
            else:
                self.on_news(news)
                return
        elif not isinstance(result, Reply):
            self.stop()
        self.on_news(("refused", 0, []))


class Discovery:
    """Keeps up with the list, as far as the balancer asks for it."""

    def __init__(
        self,
        address: Address,
        settings: interface.Settings,
        zones: Sequence[str],
        known: dict[str, Any],
        on_list: OnList,
        host: Host,
    ) -> None:
        self.on_list, self.known, self.host, self.rng = on_list, known, host, host.random()
        self.refusals = 0
        self.pause: asyncio.TimerHandle | None = None
        """Before the next call."""
        self.connect_timeout = settings.limits.connect_timeout
        self.configure(settings, zones)
        self.hosts: dict[str, tuple[Entry, str]] = {}
        """The list, and each endpoint's zone by its name: a reload may number zones otherwise. Kept small, as the list
        may be long where memory is little."""
        self.version: int | None = None
        self.watching = False
        self.connect(address)

    def configure(self, settings: interface.Settings, zones: Sequence[str]) -> None:
        """Read the list by these names from now on."""
        self.pushed, self.zones = settings.discovery == "pushed", zones
        least = min(max(WATCH_EACH * settings.group_size, WATCH_LEAST), WATCH_MOST)
        calls = settings.shares.list_calls_per_s
        self.calls = DiscoveryCallPacer(calls, settings.group_size, settings.rules.ask_within, self.rng)
        self.wait = self.calls.watch_timeout(least) if calls else least

    def connect(self, address: Address) -> None:
        self.address = address
        self.watch_call = Call(self.host, address, self.connect_timeout, self.watched)
        self.fetch_call = Call(self.host, address, self.connect_timeout, self.fetched)

    def move(self, address: Address) -> None:
        """Ask another service from now on: the whole list at once, as its versions are its own.

        What the old one may still answer is not heard: its calls are given up with their connections.
        """
        self.stop()
        self.connect(address)
        self.version = None
        self.watch(True)

    def start(self) -> None:
        """Begin from a list that is known already, if any."""
        # The text of the list takes more memory than the list: it is let go before others make theirs of it.
        kind, entries = self.read("remembered", self.known.pop("hosts", None) or [])
        self.version = self.known.get("seq") if entries else None
        if self.pushed:
            self.watch(True)
        self.on_list(kind, entries)

    def remembered(self) -> list[Entry]:
        return [
            (listed._replace(zone=zone_of(site, self.zones)), address)
            for (listed, address), site in self.hosts.values()
        ]

    def apply_update(self, kind: interface.ListKind, hosts: list[dict[str, Any]]) -> None:
        """Hand on what discovery has answered."""
        self.on_list(*self.read(kind, hosts))

    def read(self, kind: interface.ListKind, hosts: list[dict[str, Any]]) -> tuple[interface.ListKind, list[Entry]]:
        """Take news into the list; those that can't be read are none."""
        entries: list[Entry] = []
        try:
            entries = read_hosts(hosts, self.zones)
        except (LookupError, TypeError, ValueError, AttributeError) as wrong:
            log.error("list of endpoints: %s: %s", type(wrong).__name__, wrong)
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
        """Begin a watch anew, or leave it.

        The first call doesn't wait: it tells what was missed and that the watch is on, even if nothing has
        changed. Those that follow at once wait for changes.
        """
        self.watching = on
        self.unpause()
        if on:
            self.next_call(0.0)
        else:
            self.watch_call.stop()

    def next_call(self, wait: float) -> None:
        query = "" if self.version is None else f"?index={self.version}&wait={wait:.0f}"
        self.watch_call.ask(query, wait)

    def watched(self, news: News) -> None:
        if not self.watching:
            return
        kind, version, hosts = news
        if kind == "refused":
            self.watching = False
            self.refusals += 1
            if self.pushed:
                self.later(
                    self.calls.retry_delay(self.refusals) if self.calls.span else AGAIN, lambda: self.watch(True)
                )
                return
        else:
            self.refusals = 0
            self.version = version
            if hosts and self.calls.span:
                self.later(self.calls.watch_pause(), lambda: self.next_call(self.wait))
            else:
                self.next_call(self.wait)
        self.apply_update(kind, hosts)

    def later(self, pause: float, act: Callable[[], None]) -> None:
        """Call again after a pause in ms, unless something else is done before."""
        self.unpause()
        self.pause = self.watch_call.loop.call_later(pause / 1000.0, act)

    def unpause(self) -> None:
        if self.pause is not None:
            self.pause.cancel()
            self.pause = None

    def fetch(self) -> None:
        """The whole list, once."""
        self.fetch_call.ask("", 0.0)

    def fetched(self, news: News) -> None:
        self.fetch_call.stop()
        kind, version, hosts = news
        if kind != "refused":
            if self.version is not None and version < self.version:
                return  # overtaken by the watch
            self.version = version
        self.apply_update(kind, hosts)

    def stop(self) -> None:
        self.watching = False
        self.unpause()
        self.watch_call.stop()
        self.fetch_call.stop()
