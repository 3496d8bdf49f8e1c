"""What goes wrong on a day, carried out: each kind of :class:`~zinclever.sim.model.FaultEvent` has its method here."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from ..simnet.scheduler import NS
from ..standins.faults import Fault
from .model import FaultEvent
from .pages import PageServer, no_fault

if TYPE_CHECKING:
    from .applications import Application
    from .scene import BaseWorld
    from .sidecars import Sidecar

DRAIN_DURATION = 4.0  # s from a server's draining to its end
CLIENTS_STOP_DELAY = 0.3  # s after SIGTERM for which clients still come
RESTART_DELAY = 4.0  # s after SIGTERM at which the next process starts: no deadline is longer, as clients count it
CLIENTS_RESUME_DELAY = 0.5  # s from a sidecar's start to its application's first request
KILL_DOWNTIME = 1.0  # s until a process that was killed is started again
LOOP_RESTART_DELAY = 0.2  # s until one that dies again and again is


FAULT_KINDS = frozenset(
    {
        "silent",
        "vanish",
        "late_reports",
        "hot_keys",
        "hot_sidecars",
        "shrink",
        "grow",
        "waves",
        "spike",
        "restart",
        "kill",
        "reload",
        "partition",
        "discovery_down",
        "discovery_crowded",
        "faults",
        "zone_lost",
        "pause",
        "one_way",
        "flapping",
        "restart_loop",
        "slow",
        "power",
    }
)
"""The kinds of troubles: each has a method of that name."""


class NetworkCut(NamedTuple):
    """What gets from one machine or zone to another, by name, is held for a while; from all, where none is named."""

    source: str
    target: str
    started_at: float
    duration: float


class FaultInjector:
    """Those of one day. Who is befallen is drawn from the day's seed."""

    def __init__(self, world: BaseWorld) -> None:
        self.world = world

    def plan(self, start: int) -> None:
        """Each at its time after the start, in ns."""
        for number, event in enumerate(self.world.day.troubles):
            rng = Random(f"{self.world.day.seed}/trouble/{number}")
            self.world.scheduler.at(start + round(event.at_s * NS), getattr(self, event.kind), event, rng)

    def after(self, seconds: float, callback: Callable[..., object], *args: object) -> None:
        self.world.scheduler.after(round(seconds * NS), callback, *args)

    def pick_servers(self, event: FaultEvent, rng: Random) -> list[PageServer]:
        """The servers that it befalls."""
        ready = [s for s in self.world.ready_servers() if event.zone in ("", s.machine.zone)]
        return rng.sample(ready, round(event.share * len(ready)))

    # --- servers ---

    def silent(self, event: FaultEvent, rng: Random) -> None:
        """A share of the servers takes requests and answers none."""
        for server in self.pick_servers(event, rng):
            server.silent = True
            self.after(event.for_s, setattr, server, "silent", False)

    def slow(self, event: FaultEvent, rng: Random) -> None:
        """A share of the servers does its work ``factor`` times as slowly, but lives."""
        for server in self.pick_servers(event, rng):
            server.core.speed /= event.factor
            self.after(event.for_s, setattr, server.core, "speed", server.core.speed * event.factor)

    def faults(self, event: FaultEvent, rng: Random) -> None:
        """A share of all requests to servers goes wrong, in one of the ways that stand-ins know."""
        kinds = [fault for fault in Fault if fault is not Fault.NONE]

        def plan(request_rng: Random) -> Fault:
            return request_rng.choice(kinds) if request_rng.random() < event.share else Fault.NONE

        for server in self.world.servers.values():
            server.plan = plan
            self.after(event.for_s, setattr, server, "plan", no_fault)

    def vanish(self, event: FaultEvent, rng: Random) -> None:
        """Machines say nothing; they come back with a server that has just started."""
        for server in self.pick_servers(event, rng):
            self.take_down(server, event.for_s)

    def zone_lost(self, event: FaultEvent, rng: Random) -> None:
        """All servers of a zone vanish and come back cold."""
        for server in self.world.ready_servers():
            if server.machine.zone == event.zone:
                self.take_down(server, event.for_s)

    def take_down(self, server: PageServer, duration: float) -> None:
        listing = self.world.listing
        server.machine.vanish()
        self.world.cuts.append(NetworkCut("", server.name, self.world.now_ms(), 1000.0 * duration))
        notice = listing.settings.silent_notice_s
        if duration > notice:
            listing.schedule_change(server, "gone", notice)
        self.after(duration, self.reboot, server)

    def reboot(self, server: PageServer) -> None:
        """The machine is back with a new process under the old name."""
        server.end()
        server.machine.come_back()
        world = self.world
        replacement = world.servers[server.name] = PageServer(world, server.machine, server.kind, server.cell, True)
        replacement.loop.create_task(replacement.listen())
        world.listing.schedule_change(replacement, "ready", self.discovery_delay())

    def discovery_delay(self) -> float:
        listing = self.world.listing
        return listing.rng.uniform(*listing.settings.add_s)

    def shrink(self, event: FaultEvent, rng: Random) -> None:
        """The fleet shrinks to a share of its size within a time; the traffic by ``factor`` with it."""
        ready = self.world.ready_servers()
        leaving = rng.sample(ready, len(ready) - round(event.share * len(ready)))
        for server in leaving:
            self.after(rng.random() * event.for_s, self.drain, server)
        if event.factor:
            self.world.rate_factor = event.factor
            self.reschedule_arrivals()

    def drain(self, server: PageServer) -> None:
        """It wants nothing new, and ends some time later."""
        if server.health != "ready":
            return
        server.health = "draining"
        listing = self.world.listing
        notice = listing.rng.uniform(*listing.settings.notice_s)
        listing.schedule_change(server, "draining", notice)
        self.after(notice + DRAIN_DURATION, self.end, server)

    def end(self, server: PageServer) -> None:
        if server.health == "gone":
            return
        server.end()
        listing = self.world.listing
        listing.schedule_change(server, "gone", listing.rng.uniform(*listing.settings.notice_s))

    def grow(self, event: FaultEvent, rng: Random) -> None:
        """So many new servers start within a time."""
        for _ in range(event.count):
            self.after(rng.random() * event.for_s, self.begin, rng.randrange(len(self.world.day.zones.names)))
        if event.factor:
            self.world.rate_factor = event.factor
            self.after(event.for_s, self.reschedule_arrivals)

    def begin(self, zone: int) -> None:
        world = self.world
        cells = len(world.day.zones.names) * (len(world.servers) // 2 // world.day.servers.cell) + zone
        server = world.new_server(world.day.zones.names[zone], world.draw_kind(), cells, True)
        world.listing.schedule_change(server, "ready", self.discovery_delay())

    def waves(self, event: FaultEvent, rng: Random) -> None:
        """A share of the fleet is replaced by new servers, in waves of ``count``, within a time."""
        leaving = self.pick_servers(event, rng)
        waves = max(1, -(-len(leaving) // max(1, event.count)))
        for number, server in enumerate(leaving):
            offset = event.for_s * (number // max(1, event.count)) / waves
            self.after(offset, self.begin, self.world.day.zones.names.index(server.machine.zone))
            self.after(offset + rng.random(), self.drain, server)

    # --- reports, keys, load ---

    def late_reports(self, event: FaultEvent, rng: Random) -> None:
        """Load reports come ``factor`` ms later."""
        self.world.report_delay_ms = event.factor
        self.after(event.for_s, setattr, self.world, "report_delay_ms", 0.0)

    def hot_keys(self, event: FaultEvent, rng: Random) -> None:
        """A few keys draw a share of all traffic."""
        keys = self.world.keys
        keys.hot_names, keys.hot_share = rng.sample(keys.names, event.count), event.share
        self.after(event.for_s, setattr, keys, "hot_share", 0.0)

    def hot_sidecars(self, event: FaultEvent, rng: Random) -> None:
        """A few applications carry a share of all traffic, or each so many times the mean."""
        world = self.world
        hot = rng.sample(world.applications, event.count)
        rest = world.total_weight - sum(a.weight for a in hot)
        weight = event.factor * rest / max(1, len(world.applications) - len(hot))
        if event.share:
            weight = rest * event.share / (1.0 - event.share) / len(hot)
        before = [a.weight for a in hot]
        self.set_weights(hot, [weight] * len(hot))
        self.after(event.for_s, self.set_weights, hot, before)

    def set_weights(self, applications: list[Application], weights: list[float]) -> None:
        for application, weight in zip(applications, weights, strict=True):
            application.weight = weight
        self.world.total_weight = sum(a.weight for a in self.world.applications)
        self.reschedule_arrivals()

    def reschedule_arrivals(self) -> None:
        """Every application draws its next arrival by the rate that holds now."""
        for application in self.world.applications:
            application.go()

    def spike(self, event: FaultEvent, rng: Random) -> None:
        """``factor`` times the traffic."""
        self.world.rate_factor = event.factor
        self.reschedule_arrivals()
        self.after(event.for_s, self.end_spike)

    def end_spike(self) -> None:
        self.world.rate_factor = 1.0
        self.reschedule_arrivals()

    # --- sidecars ---

    def pick_sidecars(self, event: FaultEvent, rng: Random) -> list[Sidecar]:
        sidecars = self.world.sidecars
        return rng.sample(sidecars, round((event.share or 1.0) * len(sidecars)))

    def restart(self, event: FaultEvent, rng: Random) -> None:
        """Planned, one after another within a time: SIGTERM, and a new process after it."""
        sidecars = self.pick_sidecars(event, rng)
        for number, sidecar in enumerate(sidecars):
            self.after(event.for_s * number / len(sidecars), self.restart_one, sidecar)

    def restart_one(self, sidecar: Sidecar) -> None:
        application = self.world.applications[sidecar.number]
        sidecar.terminate()
        self.after(CLIENTS_STOP_DELAY, application.stop_arrivals)
        self.after(RESTART_DELAY, sidecar.restart, sidecar.loop)
        self.after(RESTART_DELAY + CLIENTS_RESUME_DELAY, application.go)

    def kill(self, event: FaultEvent, rng: Random) -> None:
        """Killed without warning within a time, and started again."""
        for sidecar in self.pick_sidecars(event, rng):
            offset = rng.random() * event.for_s
            self.after(offset, sidecar.kill)
            self.after(offset + KILL_DOWNTIME, sidecar.start)

    def pause(self, event: FaultEvent, rng: Random) -> None:
        """Processes stand still, and go on as if no time had passed."""
        for sidecar in self.pick_sidecars(event, rng):
            sidecar.pause()
            self.after(event.for_s, sidecar.resume)

    def restart_loop(self, event: FaultEvent, rng: Random) -> None:
        """``count`` sidecars die every ``factor`` s, and are started again at once."""
        for sidecar in rng.sample(list(self.world.sidecars), event.count):
            offset = 0.0
            while offset < event.for_s:
                self.after(offset, sidecar.kill)
                self.after(offset + LOOP_RESTART_DELAY, sidecar.start)
                offset += event.factor

    def power(self, event: FaultEvent, rng: Random) -> None:
        """Every machine is off for a while: all servers come back cold, all sidecars anew, discovery with them."""
        self.discovery_down(event, rng)
        for server in self.world.ready_servers():
            self.take_down(server, event.for_s)
        for sidecar in self.world.sidecars:
            sidecar.kill()
            self.after(event.for_s, sidecar.start)

    def reload(self, event: FaultEvent, rng: Random) -> None:
        """SIGHUP, within a time; the file says the same."""
        for sidecar in self.pick_sidecars(event, rng):
            self.after(rng.random() * event.for_s, sidecar.reload)

    # --- the network, discovery ---

    def partition(self, event: FaultEvent, rng: Random) -> None:
        """Nothing gets from any zone to any other."""
        names = self.world.day.zones.names
        for source in names:
            for target in names:
                if source != target:
                    self.cut(source, target, event.for_s)

    def cut(self, source: str, target: str, duration: float) -> None:
        self.world.cuts.append(NetworkCut(source, target, self.world.now_ms(), 1000.0 * duration))
        self.world.network.cut(source, target)
        self.after(duration, self.world.network.heal, source, target)

    def one_way(self, event: FaultEvent, rng: Random) -> None:
        """Nothing gets out of a zone, while all gets in; of the first one where none is named."""
        names = self.world.day.zones.names
        source = event.zone or names[0]
        for target in names:
            if target != source:
                self.cut(source, target, event.for_s)

    def flapping(self, event: FaultEvent, rng: Random) -> None:
        """Discovery goes down and comes back, each for ``factor`` s."""
        offset = 0.0
        while offset + event.factor <= event.for_s:
            self.after(offset, self.world.listing.go_down)
            self.after(offset + event.factor, self.world.listing.come_back)
            offset += 2.0 * event.factor

    def discovery_down(self, event: FaultEvent, rng: Random) -> None:
        self.world.listing.go_down()
        self.after(event.for_s, self.world.listing.come_back)

    def discovery_crowded(self, event: FaultEvent, rng: Random) -> None:
        """Others call it: it has ``factor`` of its capacity left."""
        listing = self.world.listing
        before = listing.settings
        listing.settings = replace(before, lines_per_s=before.lines_per_s * event.factor)
        self.after(event.for_s, setattr, listing, "settings", before)
