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
from .applications import Application, KeyPopularity
from .figures import FleetCounters, ServiceMetrics
from .ground import Clock, Process
from .listing import DiscoveryServer
from .model import Day, RequestKind, ServerKind
from .pages import PageServer
from .sidecars import Sidecar
from .troubles import FaultInjector, NetworkCut

MS = NS // 1000
START = 3 * NS  # ns at which the day begins: the sidecars are up by then
CLIENT_RETRY_PERIOD = 3.0  # s after its day in which clients still try again
MAX_ATTEMPTS = 6
ANSWER_SLACK_MS = 60.0  # ms that an answer, or a send, may be late: the rules' 50 and what a segment takes
REDELIVERY_MS = (
    4000.0  # ms after a cut of some seconds within which what it held has come: TCP's tries double from 0.2 s
)
BUSY_SIDECAR_INTERVAL = 20  # one in so many sidecars is a busy one


class AddressPlan(NamedTuple):
    """The first addresses of each kind of machine."""

    sidecars: str
    servers: str
    discovery: str
    max_servers: int


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
        for source, target in itertools.combinations(zones.names, 2):
            self.network.between(source, target, Path(zones.cross_ms / 1000.0, zones.jitter))
        self.rng = Random(f"{day.seed}/world")
        self.log = Log(self.now_ms)
        self.counts, self.figures = FleetCounters(self), ServiceMetrics(self)
        self.execution_numbers = itertools.count(1)
        self.selected_requests = frozenset(day.only)
        self.cuts: list[NetworkCut] = []
        self.request_count = 0
        """First tries drawn so far."""
        self.classes = {kind.name: kind for kind in day.classes}
        self.cumulative_class_shares = list(itertools.accumulate(kind.share for kind in day.classes))
        self.machine_names: dict[str, str] = {}
        """Of the machines, by address."""
        self.over = False
        """No new requests."""
        self.closing = False
        """No new tries of those that there are: what is still out gets its answer before the world ends."""
        self.rate_factor = 1.0
        """Of the rate of requests."""
        self.report_delay_ms = 0.0
        self.keys = KeyPopularity(day.applications.keys, day.applications.zipf, f"{day.seed}/keys")
        self.listing = DiscoveryServer(self, self.network.machine("discovery", nets.discovery, zones.names[0]))
        self.server_addresses = iter(addresses(nets.servers, nets.max_servers))
        self.servers: dict[str, PageServer] = {}
        """By name; those that are gone among them."""
        self.create_servers()
        self.sidecars: Sequence[Sidecar] = list(self.create_sidecars(nets.sidecars))
        self.applications = [Application(self, s, self.draw_weight(n)) for n, s in enumerate(self.sidecars)]
        self.total_weight = sum(a.weight for a in self.applications)
        self.troubles = FaultInjector(self)

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

    def next_execution_number(self) -> int:
        return next(self.execution_numbers)

    def seed_from_text(self, text: str) -> int:
        return seed_from_text(text)

    def next_request_number(self) -> int:
        """The number of a first try: from 1, over all applications."""
        self.request_count += 1
        return self.request_count

    def request_rate(self) -> float:
        return self.day.rate * self.rate_factor

    def draw_class(self, rng: Random) -> RequestKind:
        cumulative_shares = self.cumulative_class_shares
        return self.day.classes[
            bisect(cumulative_shares, rng.random() * cumulative_shares[-1], 0, len(cumulative_shares) - 1)
        ]

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

    def zone_for(self, number: int) -> str:
        names = self.day.zones.names
        return names[number % len(names)]

    def new_server(self, zone: str, kind: ServerKind, cell: int, cold: bool) -> PageServer:
        """A server on a machine of its own; who wants it heard of tells discovery."""
        machine = self.network.machine(f"s{len(self.servers)}", next(self.server_addresses), zone)
        self.machine_names[machine.address] = machine.name
        server = self.servers[machine.name] = PageServer(self, machine, kind, cell, cold)
        server.loop.create_task(server.listen())
        return server

    def create_servers(self) -> None:
        settings = self.day.servers
        zones = len(self.day.zones.names)
        for number in range(self.day.endpoints):
            cell = zones * (number // zones // settings.cell) + number % zones
            server = self.new_server(self.zone_for(number), self.draw_kind(), cell, False)
            self.listing.schedule_change(server, "ready", 0.0)

    def draw_kind(self) -> ServerKind:
        kinds = self.day.servers.kinds
        cumulative_shares = list(itertools.accumulate(kind.share for kind in kinds))
        return kinds[
            bisect(cumulative_shares, self.rng.random() * cumulative_shares[-1], 0, len(cumulative_shares) - 1)
        ]

    def create_sidecars(self, first_address: str) -> Iterator[Sidecar]:
        zones = self.day.zones
        for number, address in enumerate(addresses(first_address, self.day.sidecars)):
            in_first = self.rng.random() < zones.skew
            half = (len(zones.names) + 1) // 2
            names = zones.names[:half] if in_first or half == len(zones.names) else zones.names[half:]
            machine = self.network.machine(f"n{number}", address, names[number % len(names)])
            self.machine_names[address] = machine.name
            yield self.new_sidecar(machine, number)

    def draw_weight(self, number: int) -> float:
        """How busy a sidecar's application is: most are quiet, some are not."""
        return self.day.applications.busy if number % BUSY_SIDECAR_INTERVAL == 0 else 0.5 + self.rng.random()

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
                    "name": kind.name,
                    "aim": kind.aim_ms,
                    "deadline": kind.deadline_ms,
                    "value": kind.worth,
                    "repeat": kind.repeat,
                    "group": kind.group,
                    "window": kind.window_ms,
                }
                for kind in day.classes
            ],
            "limits": {
                "attempts-cap": MAX_ATTEMPTS,
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
                "cold-share": min(kind.cold_share for kind in kinds),
                "cold": 1000.0 * max(kind.cold_s for kind in kinds),
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
        return ANSWER_SLACK_MS

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
        overloads = [Breach(4, name, "pushed over while cold") for name in self.counts.overloaded_servers]
        return [*audit(self.log_adjusted_for_cuts(), terms), *overloads]

    def log_adjusted_for_cuts(self) -> Log:
        """The log with what a cut has held back dated to when it may have been sent, which no peer has seen."""
        if not self.cuts:
            return self.log
        zones = {m.name: m.zone for m in self.network.machines.values()}
        adjusted = replace(self.log, received=[])
        for r in self.log.received:
            ends = {r.via, zones.get(r.via, ""), ""}, {r.endpoint, zones.get(r.endpoint, "")}
            since = [
                c.started_at
                for c in self.cuts
                if c.source in ends[0]
                and c.target in ends[1]
                and c.started_at <= r.first <= c.started_at + c.duration + REDELIVERY_MS
            ]
            adjusted.received.append(r._replace(first=min([r.first, *since])))
        return adjusted


def seed_from_text(text: str) -> int:
    """A seed of 64 bits, the same on every machine."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())
