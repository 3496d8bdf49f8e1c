"""The environment of a day: machines, servers, clients, fault injection and the audit of the result.

Subclasses of :class:`BaseWorld` supply the clock, the network and the sidecar processes, simulated or real.
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
from ..standins.audit import Breach, RuleParameters, audit
from ..standins.log import Log
from .applications import Application, KeyPopularity
from .figures import FleetCounters, ServiceMetrics
from .ground import Clock, Process
from .listing import DiscoveryServer
from .model import Day, RequestKind, ServerKind
from .pages import UpstreamServer
from .sidecars import Sidecar
from .troubles import FaultInjector, NetworkCut

MS = NS // 1000
START = 3 * NS  # beginning of the day on the simulation's clock; all sidecars have started by then
CLIENT_RETRY_PERIOD = 3.0  # s after the end of the day during which clients still retry
MAX_ATTEMPTS = 6
ANSWER_SLACK_MS = 60.0  # tolerated lateness: 50 ms that the rules allow, plus the network latency
# Time after a cut of a few seconds until TCP has retransmitted the data that it held back; the retransmission timeout
# doubles from 0.2 s.
REDELIVERY_MS = 4000.0
BUSY_SIDECAR_INTERVAL = 20  # every twentieth sidecar is a busy one


class AddressPlan(NamedTuple):
    """The first address of each kind of machine, and the maximum number of servers."""

    sidecars: str
    servers: str
    discovery: str
    max_servers: int


SIMULATED_ADDRESSES = AddressPlan("10.1.0.1", "10.2.0.1", "10.3.0.1", 60_000)


class BaseWorld:
    """Base class of an environment in which a day is run.

    Subclasses supply the clock, the processes and the sidecars.
    """

    def __init__(
        self, day: Day, clock: Clock, network: Network, address_plan: AddressPlan = SIMULATED_ADDRESSES
    ) -> None:
        self.day = day
        self.scheduler = clock
        self.start = START
        """Beginning of the day, in ns."""
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
        """Number of requests drawn so far, without retries."""
        self.classes = {kind.name: kind for kind in day.classes}
        self.cumulative_class_shares = list(itertools.accumulate(kind.share for kind in day.classes))
        self.machine_names: dict[str, str] = {}
        """Machine names by address."""
        self.over = False
        """The day is over: clients start no new requests."""
        self.closing = False
        """Clients send no more retries; requests in flight still get their answers."""
        self.rate_factor = 1.0
        """Factor on the day's request rate."""
        self.report_delay_ms = 0.0
        self.keys = KeyPopularity(day.applications.keys, day.applications.zipf, f"{day.seed}/keys")
        self.listing = DiscoveryServer(self, self.network.machine("discovery", address_plan.discovery, zones.names[0]))
        self.server_addresses = iter(addresses(address_plan.servers, address_plan.max_servers))
        self.servers: dict[str, UpstreamServer] = {}
        """All servers by name, including those that are gone."""
        self.create_servers()
        self.sidecars: Sequence[Sidecar] = list(self.create_sidecars(address_plan.sidecars))
        self.applications = [Application(self, s, self.draw_weight(n)) for n, s in enumerate(self.sidecars)]
        self.total_weight = sum(a.weight for a in self.applications)
        self.troubles = FaultInjector(self)

    # --- time and random draws ---

    def now(self) -> int:
        """Return the current instant in ns."""
        return self.scheduler.now

    def now_ms(self) -> float:
        """Return the current instant in ms."""
        return self.scheduler.now / MS

    def unix_ms(self) -> float:
        """Return the current Unix time in ms."""
        return float((EPOCH + self.scheduler.now) // MS)

    def day_second(self, instant: int) -> int:
        """Return the second of the day for an instant in ns."""
        return (instant - self.start) // NS

    def next_execution_number(self) -> int:
        """Return a number that identifies one execution of a request."""
        return next(self.execution_numbers)

    def seed_from_text(self, text: str) -> int:
        """Return a 64-bit seed, the same on every machine."""
        return seed_from_text(text)

    def next_request_number(self) -> int:
        """Return the number of a new request; numbers start at 1 and are unique over all applications."""
        self.request_count += 1
        return self.request_count

    def request_rate(self) -> float:
        """Return the current rate of requests per second of all applications, without retries."""
        return self.day.rate * self.rate_factor

    def draw_class(self, rng: Random) -> RequestKind:
        """Return a random request class according to the classes' shares."""
        cumulative_shares = self.cumulative_class_shares
        return self.day.classes[
            bisect(cumulative_shares, rng.random() * cumulative_shares[-1], 0, len(cumulative_shares) - 1)
        ]

    # --- supplied by subclasses ---

    def process(self, machine: Machine) -> Process:
        """Create a process on a machine, for a server, an application or discovery."""
        raise NotImplementedError

    def new_sidecar(self, machine: Machine, number: int) -> Sidecar:
        """Create a sidecar; it is not started."""
        raise NotImplementedError

    def localize_entry(self, entry: dict[str, Any], caller: str) -> dict[str, Any]:
        """Return a discovery entry as one sidecar gets it; subclasses may replace the address."""
        return entry

    # --- servers and sidecars ---

    def zone_for(self, number: int) -> str:
        """Return the zone of the n-th server; servers are distributed round-robin."""
        names = self.day.zones.names
        return names[number % len(names)]

    def new_server(self, zone: str, kind: ServerKind, cell: int, cold: bool) -> UpstreamServer:
        """Start a server on a new machine; the caller announces it to discovery."""
        machine = self.network.machine(f"s{len(self.servers)}", next(self.server_addresses), zone)
        self.machine_names[machine.address] = machine.name
        server = self.servers[machine.name] = UpstreamServer(self, machine, kind, cell, cold)
        server.loop.create_task(server.listen())
        return server

    def create_servers(self) -> None:
        """Start the initial servers, warm and known to discovery."""
        settings = self.day.servers
        zones = len(self.day.zones.names)
        for number in range(self.day.endpoints):
            cell = zones * (number // zones // settings.cell) + number % zones
            server = self.new_server(self.zone_for(number), self.draw_kind(), cell, False)
            self.listing.schedule_change(server, "ready", 0.0)

    def draw_kind(self) -> ServerKind:
        """Return a random kind of server according to the kinds' shares."""
        kinds = self.day.servers.kinds
        cumulative_shares = list(itertools.accumulate(kind.share for kind in kinds))
        return kinds[
            bisect(cumulative_shares, self.rng.random() * cumulative_shares[-1], 0, len(cumulative_shares) - 1)
        ]

    def create_sidecars(self, first_address: str) -> Iterator[Sidecar]:
        """Create the sidecars, each on its own machine in a random zone."""
        zones = self.day.zones
        for number, address in enumerate(addresses(first_address, self.day.sidecars)):
            in_first = self.rng.random() < zones.skew
            half = (len(zones.names) + 1) // 2
            names = zones.names[:half] if in_first or half == len(zones.names) else zones.names[half:]
            machine = self.network.machine(f"n{number}", address, names[number % len(names)])
            self.machine_names[address] = machine.name
            yield self.new_sidecar(machine, number)

    def draw_weight(self, number: int) -> float:
        """Return the relative load of a sidecar's application: one in twenty is busy."""
        return self.day.applications.busy if number % BUSY_SIDECAR_INTERVAL == 0 else 0.5 + self.rng.random()

    def ready_servers(self) -> list[UpstreamServer]:
        """Return the servers that are ready and whose machines are reachable."""
        return [s for s in self.servers.values() if s.health == "ready" and s.machine.up]

    # --- configuration of the sidecars ---

    def settings(self, sidecar: Sidecar) -> dict[str, Any]:
        """Return the settings in a sidecar's configuration, under the platform's key names."""
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

    # --- audit ---

    def slack(self) -> float:
        """Return the time in ms by which an answer or a send may be late."""
        return ANSWER_SLACK_MS

    def find_breaches(self) -> list[Breach]:
        """Audit the log and return all breaches of the rules; a server that crashed from overload breaches rule 4."""
        rules = self.day.rules
        parameters = RuleParameters(
            slack=self.slack(),
            drain_grace=rules.drain_grace_ms,
            overload_factor=rules.fall_multiple,
            overload_for=rules.fall_ms,
            cold_for=0.0,
        )
        overloads = [Breach(4, name, "overloaded while cold") for name in self.counts.overloaded_servers]
        return [*audit(self.log_adjusted_for_cuts(), parameters), *overloads]

    def log_adjusted_for_cuts(self) -> Log:
        """Return the log with earlier arrival times for requests that a network cut may have delayed.

        A request that arrives during a cut, or within ``REDELIVERY_MS`` after it, may have been sent before the cut, so
        it is dated to the cut's start.
        """
        if not self.cuts:
            return self.log
        zones = {m.name: m.zone for m in self.network.machines.values()}
        adjusted = replace(self.log, received=[])
        for r in self.log.received:
            ends = {r.via, zones.get(r.via, ""), ""}, {r.endpoint, zones.get(r.endpoint, "")}
            cut_starts = [
                c.started_at
                for c in self.cuts
                if c.source in ends[0]
                and c.target in ends[1]
                and c.started_at <= r.first_byte_at <= c.started_at + c.duration + REDELIVERY_MS
            ]
            adjusted.received.append(r._replace(first_byte_at=min([r.first_byte_at, *cut_starts])))
        return adjusted


def seed_from_text(text: str) -> int:
    """Return a 64-bit seed derived from a text, the same on every machine."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())
