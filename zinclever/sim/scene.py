"""A day's scene: its machines and servers, its applications, its troubles, and the judgement of what happened.

Whether processes and time are simulated or real is for those who build on it.
"""

from __future__ import annotations

import itertools
from bisect import bisect
from collections.abc import Iterator, Sequence
from dataclasses import replace
from hashlib import blake2b
from random import Random
from typing import Any, NamedTuple

from ..simnet.host import EPOCH
from ..simnet.network import Machine, Network, Path, addresses
from ..simnet.scheduler import NS
from ..simnet.trace import Trace
from ..standins.audit import Breach, Terms, audit
from ..standins.log import Log
from .applications import Application, Keys
from .figures import Counts, Figures
from .ground import Clock, Process
from .listing import Listing
from .model import Day, RequestKind, ServerKind
from .pages import PageServer
from .sidecars import Sidecar
from .troubles import Cut, Troubles

MS = NS // 1000
START = 3 * NS  # ns at which the day begins: the sidecars are up by then
CLIENT_RETRY_PERIOD = 3.0  # s after its day in which clients still try again
MOST_ATTEMPTS = 6
SLACK = 60.0  # ms that an answer, or a send, may be late: the rules' 50 and what a segment takes
REDELIVERED = 4000.0  # ms after a cut of some seconds within which what it held has come: TCP's tries double from 0.2 s
BUSY_PART = 20  # one in so many sidecars is a busy one


class AddressPlan(NamedTuple):
    """The first addresses of each kind of machine."""

    sidecars: str
    servers: str
    discovery: str
    most_servers: int


NETS = AddressPlan("10.1.0.1", "10.2.0.1", "10.3.0.1", 60_000)


class BaseWorld:
    """Everything of one day but the sidecars' processes, and what time is."""

    def __init__(self, day: Day, clock: Clock, network: Network, nets: AddressPlan = NETS) -> None:
        self.day = day
        self.scheduler = clock
        self.start = START
        """ns at which the day begins."""
        self.network = network
        self.trace: Trace = network.trace
        zones = day.zones
        for one, other in itertools.combinations(zones.names, 2):
            self.network.between(one, other, Path(zones.cross_ms / 1000.0, zones.jitter))
        self.rng = Random(f"{day.seed}/world")
        self.log = Log(self.now_ms)
        self.counts, self.figures = Counts(self), Figures(self)
        self.serials = itertools.count(1)
        self.only = frozenset(day.only)
        self.cuts: list[Cut] = []
        self.drawn = 0
        """First tries drawn so far."""
        self.classes = {kind.name: kind for kind in day.classes}
        self.class_sums = list(itertools.accumulate(kind.share for kind in day.classes))
        self.names: dict[str, str] = {}
        """Of the machines, by address."""
        self.over = False
        """No new requests."""
        self.closing = False
        """No new tries of those that there are: what is still out gets its answer before the world ends."""
        self.factor = 1.0
        """Of the rate of requests."""
        self.report_delay_ms = 0.0
        self.keys = Keys(day.applications.keys, day.applications.zipf, f"{day.seed}/keys")
        self.listing = Listing(self, self.network.machine("discovery", nets.discovery, zones.names[0]))
        self.server_addresses = iter(addresses(nets.servers, nets.most_servers))
        self.servers: dict[str, PageServer] = {}
        """By name; those that are gone among them."""
        self.make_servers()
        self.sidecars: Sequence[Sidecar] = list(self.make_sidecars(nets.sidecars))
        self.applications = [Application(self, s, self.weight(n)) for n, s in enumerate(self.sidecars)]
        self.weights = sum(a.weight for a in self.applications)
        self.troubles = Troubles(self)

    # --- time and draws ---

    def now(self) -> int:
        """ns"""
        return self.scheduler.now

    def now_ms(self) -> float:
        return self.scheduler.now / MS

    def unix_ms(self) -> float:
        return float((EPOCH + self.scheduler.now) // MS)

    def day_second(self, at: int) -> int:
        return (at - self.start) // NS

    def serial(self) -> int:
        return next(self.serials)

    def seed_from_text(self, text: str) -> int:
        return seed_from_text(text)

    def next_request(self) -> int:
        """The number of a first try: from 1, over all applications."""
        self.drawn += 1
        return self.drawn

    def rate_now(self) -> float:
        return self.day.rate * self.factor

    def draw_class(self, rng: Random) -> RequestKind:
        sums = self.class_sums
        return self.day.classes[bisect(sums, rng.random() * sums[-1], 0, len(sums) - 1)]

    # --- what it stands on ---

    def process(self, machine: Machine) -> Process:
        """A process on a machine: a server, an application, discovery."""
        raise NotImplementedError

    def new_sidecar(self, machine: Machine, number: int) -> Sidecar:
        raise NotImplementedError

    def localize_entry(self, line: dict[str, Any], caller: str) -> dict[str, Any]:
        """A line of the list as one caller gets it: an address may differ from one sidecar to the next."""
        return line

    # --- who is there ---

    def zone_of(self, number: int) -> str:
        names = self.day.zones.names
        return names[number % len(names)]

    def new_server(self, zone: str, kind: ServerKind, cell: int, cold: bool) -> PageServer:
        """A server on a machine of its own; who wants it heard of tells discovery."""
        machine = self.network.machine(f"s{len(self.servers)}", next(self.server_addresses), zone)
        self.names[machine.address] = machine.name
        server = self.servers[machine.name] = PageServer(self, machine, kind, cell, cold)
        server.loop.create_task(server.listen())
        return server

    def make_servers(self) -> None:
        told = self.day.servers
        zones = len(self.day.zones.names)
        for number in range(self.day.endpoints):
            cell = zones * (number // zones // told.cell) + number % zones
            server = self.new_server(self.zone_of(number), self.draw_kind(), cell, False)
            self.listing.learn(server, "ready", 0.0)

    def draw_kind(self) -> ServerKind:
        kinds = self.day.servers.kinds
        sums = list(itertools.accumulate(kind.share for kind in kinds))
        return kinds[bisect(sums, self.rng.random() * sums[-1], 0, len(sums) - 1)]

    def make_sidecars(self, first: str) -> Iterator[Sidecar]:
        zones = self.day.zones
        for number, address in enumerate(addresses(first, self.day.sidecars)):
            in_first = self.rng.random() < zones.skew
            half = (len(zones.names) + 1) // 2
            names = zones.names[:half] if in_first or half == len(zones.names) else zones.names[half:]
            machine = self.network.machine(f"n{number}", address, names[number % len(names)])
            self.names[address] = machine.name
            yield self.new_sidecar(machine, number)

    def weight(self, number: int) -> float:
        """How busy a sidecar's application is: most are quiet, some are not."""
        return self.day.applications.busy if number % BUSY_PART == 0 else 0.5 + self.rng.random()

    def ready_servers(self) -> list[PageServer]:
        return [s for s in self.servers.values() if s.health == "ready" and s.machine.up]

    # --- what a sidecar is told ---

    def settings(self, sidecar: Sidecar) -> dict[str, Any]:
        """The settings object, under the platform's names."""
        day = self.day
        kinds = day.servers.kinds
        return {
            "me": sidecar.number,
            "group-size": day.sidecar.told_group or day.sidecars,
            "zone": day.zones.names.index(sidecar.machine.zone),
            "zones": list(day.zones.names),
            "classes": [
                {
                    "name": k.name,
                    "aim": k.aim_ms,
                    "deadline": k.deadline_ms,
                    "value": k.worth,
                    "repeat": k.repeat,
                    "group": k.group,
                    "window": k.window_ms,
                }
                for k in day.classes
            ],
            "limits": {
                "attempts-cap": MOST_ATTEMPTS,
                "cancel": True,
                "second-copies": True,
                "retry-after": True,
                "max-retry-after": 2000.0,
                "dial-timeout": 250.0,
                "conn-idle": 1000.0 * day.servers.idle_s,
            },
            "rules": {
                "answer-slack": 50.0,
                "ask-within": day.rules.ask_within_ms,
                "stop-sending-within": day.rules.drain_grace_ms,
                "cold-share": min(k.cold_share for k in kinds),
                "cold": 1000.0 * max(k.cold_s for k in kinds),
                "overload-factor": day.rules.fall_multiple,
                "fall": day.rules.fall_ms,
            },
            "prices": {"cross-zone": 0.22, "late-fail": 0.05, "waste": 0.04},
            "registry-mode": "on_request",
            "value-by": "work",
            "weights": "nominal",
            "report": {"how": "piggyback", "fields": ["queue"]},
            "family-info": {"warm-keys": True},
        }

    # --- what came of it ---

    def slack(self) -> float:
        """ms that an answer, or a send, may be late."""
        return SLACK

    def judge(self) -> list[Breach]:
        """Every breach of the four rules, by the shared auditor; a server that fell is one of the fourth."""
        rules = self.day.rules
        terms = Terms(
            slack=self.slack(),
            drain_grace=rules.drain_grace_ms,
            overload_factor=rules.fall_multiple,
            overload_for=rules.fall_ms,
            cold_for=0.0,
        )
        fallen = [Breach(4, name, "pushed over while cold") for name in self.counts.fallen]
        return [*audit(self.as_sent(), terms), *fallen]

    def as_sent(self) -> Log:
        """The log with what a cut has held back dated to when it may have been sent, which no peer has seen."""
        if not self.cuts:
            return self.log
        zones = {m.name: m.zone for m in self.network.machines.values()}
        held = replace(self.log, received=[])
        for r in self.log.received:
            ends = {r.via, zones.get(r.via, ""), ""}, {r.endpoint, zones.get(r.endpoint, "")}
            since = [
                c.at
                for c in self.cuts
                if c.source in ends[0] and c.target in ends[1] and c.at <= r.first <= c.at + c.span + REDELIVERED
            ]
            held.received.append(r._replace(first=min([r.first, *since])))
        return held


def seed_from_text(text: str) -> int:
    """A seed of 64 bits, the same on every machine."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())
