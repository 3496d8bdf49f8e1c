"""Fault injection: one method for each kind of :class:`~zinclever.sim.model.FaultEvent`."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from ..simnet.scheduler import NS
from ..standins.faults import Fault
from .model import FaultEvent
from .pages import UpstreamServer, no_fault

if TYPE_CHECKING:
    from .applications import Application
    from .scene import BaseWorld
    from .sidecars import Sidecar

DRAIN_DURATION = 4.0  # s from the notice of a server's drain to the end of its process
CLIENTS_STOP_DELAY = 0.3  # s after SIGTERM during which the application still sends requests
RESTART_DELAY = 4.0  # s from SIGTERM to the start of the next process; no client waits longer for an answer
CLIENTS_RESUME_DELAY = 0.5  # s from a sidecar's start to its application's first request
KILL_DOWNTIME = 1.0  # s until a killed process is started again
LOOP_RESTART_DELAY = 0.2  # s until a process in a crash loop is started again


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
"""All kinds of faults; :class:`FaultInjector` has a method of the same name for each."""


class NetworkCut(NamedTuple):
    """A period during which traffic from one machine or zone to another is held back."""

    source: str
    """Name of a machine or zone; empty for all."""
    target: str
    """Name of a machine or zone."""
    started_at: float
    """Instant in ms."""
    duration: float
    """In ms."""


class FaultInjector:
    """Injects the faults of a day; the affected servers and sidecars are drawn from the day's seed."""

    def __init__(self, world: BaseWorld) -> None:
        self.world = world

    def plan(self, start: int) -> None:
        """Schedule all faults relative to ``start``, the beginning of the day in ns."""
        for number, event in enumerate(self.world.day.troubles):
            rng = Random(f"{self.world.day.seed}/trouble/{number}")
            self.world.scheduler.at(start + round(event.at_s * NS), getattr(self, event.kind), event, rng)

    def after(self, seconds: float, callback: Callable[..., object], *args: object) -> None:
        """Schedule a callback."""
        self.world.scheduler.after(round(seconds * NS), callback, *args)

    def pick_servers(self, event: FaultEvent, rng: Random) -> list[UpstreamServer]:
        """Draw the affected servers."""
        ready = [s for s in self.world.ready_servers() if event.zone in ("", s.machine.zone)]
        return rng.sample(ready, round(event.share * len(ready)))

    # --- servers ---

    def silent(self, event: FaultEvent, rng: Random) -> None:
        """A share of the servers accepts requests but does not answer them."""
        for server in self.pick_servers(event, rng):
            server.silent = True
            self.after(event.for_s, setattr, server, "silent", False)

    def slow(self, event: FaultEvent, rng: Random) -> None:
        """A share of the servers runs at 1/``factor`` of its speed."""
        for server in self.pick_servers(event, rng):
            server.core.speed /= event.factor
            self.after(event.for_s, setattr, server.core, "speed", server.core.speed * event.factor)

    def faults(self, event: FaultEvent, rng: Random) -> None:
        """A share of all requests to servers fails, each with a random :class:`~zinclever.standins.faults.Fault`."""
        kinds = [fault for fault in Fault if fault is not Fault.NONE]

        def plan(request_rng: Random) -> Fault:
            return request_rng.choice(kinds) if request_rng.random() < event.share else Fault.NONE

        for server in self.world.servers.values():
            server.plan = plan
            self.after(event.for_s, setattr, server, "plan", no_fault)

    def vanish(self, event: FaultEvent, rng: Random) -> None:
        """Machines drop off the network, and come back with a newly started server."""
        for server in self.pick_servers(event, rng):
            self.take_down(server, event.for_s)

    def zone_lost(self, event: FaultEvent, rng: Random) -> None:
        """All servers of a zone vanish and come back cold."""
        for server in self.world.ready_servers():
            if server.machine.zone == event.zone:
                self.take_down(server, event.for_s)

    def take_down(self, server: UpstreamServer, duration: float) -> None:
        """Take a server's machine off the network for ``duration`` seconds, then reboot it."""
        listing = self.world.listing
        server.machine.vanish()
        self.world.cuts.append(NetworkCut("", server.name, self.world.now_ms(), 1000.0 * duration))
        notice = listing.settings.silent_notice_s
        if duration > notice:
            listing.schedule_change(server, "gone", notice)
        self.after(duration, self.reboot, server)

    def reboot(self, server: UpstreamServer) -> None:
        """Bring a machine back with a new server process of the same name."""
        server.end()
        server.machine.come_back()
        world = self.world
        replacement = world.servers[server.name] = UpstreamServer(world, server.machine, server.kind, server.cell, True)
        replacement.loop.create_task(replacement.listen())
        world.listing.schedule_change(replacement, "ready", self.discovery_delay())

    def discovery_delay(self) -> float:
        """Draw the seconds until discovery learns of a new server."""
        listing = self.world.listing
        return listing.rng.uniform(*listing.settings.add_s)

    def shrink(self, event: FaultEvent, rng: Random) -> None:
        """The fleet shrinks to ``share`` of its size within ``for_s``; a ``factor`` above 0 multiplies the traffic."""
        ready = self.world.ready_servers()
        leaving = rng.sample(ready, len(ready) - round(event.share * len(ready)))
        for server in leaving:
            self.after(rng.random() * event.for_s, self.drain, server)
        if event.factor:
            self.world.rate_factor = event.factor
            self.reschedule_arrivals()

    def drain(self, server: UpstreamServer) -> None:
        """Start draining a server, and end it some time later."""
        if server.health != "ready":
            return
        server.health = "draining"
        listing = self.world.listing
        notice = listing.rng.uniform(*listing.settings.notice_s)
        listing.schedule_change(server, "draining", notice)
        self.after(notice + DRAIN_DURATION, self.end, server)

    def end(self, server: UpstreamServer) -> None:
        """End a server's process; discovery learns of it later."""
        if server.health == "gone":
            return
        server.end()
        listing = self.world.listing
        listing.schedule_change(server, "gone", listing.rng.uniform(*listing.settings.notice_s))

    def grow(self, event: FaultEvent, rng: Random) -> None:
        """``count`` new servers start within ``for_s``; a ``factor`` above 0 then multiplies the traffic."""
        for _ in range(event.count):
            self.after(rng.random() * event.for_s, self.begin, rng.randrange(len(self.world.day.zones.names)))
        if event.factor:
            self.world.rate_factor = event.factor
            self.after(event.for_s, self.reschedule_arrivals)

    def begin(self, zone: int) -> None:
        """Start a new, cold server in a zone."""
        world = self.world
        cell = len(world.day.zones.names) * (len(world.servers) // 2 // world.day.servers.cell) + zone
        server = world.new_server(world.day.zones.names[zone], world.draw_kind(), cell, True)
        world.listing.schedule_change(server, "ready", self.discovery_delay())

    def waves(self, event: FaultEvent, rng: Random) -> None:
        """A share of the fleet is replaced by new servers, ``count`` at a time, within ``for_s``."""
        leaving = self.pick_servers(event, rng)
        waves = max(1, -(-len(leaving) // max(1, event.count)))
        for number, server in enumerate(leaving):
            offset = event.for_s * (number // max(1, event.count)) / waves
            self.after(offset, self.begin, self.world.day.zones.names.index(server.machine.zone))
            self.after(offset + rng.random(), self.drain, server)

    # --- load reports, keys, traffic ---

    def late_reports(self, event: FaultEvent, rng: Random) -> None:
        """Load reports are delayed by an additional ``factor`` ms."""
        self.world.report_delay_ms = event.factor
        self.after(event.for_s, setattr, self.world, "report_delay_ms", 0.0)

    def hot_keys(self, event: FaultEvent, rng: Random) -> None:
        """``count`` keys receive a share of all traffic."""
        keys = self.world.keys
        keys.hot_names, keys.hot_share = rng.sample(keys.names, event.count), event.share
        self.after(event.for_s, setattr, keys, "hot_share", 0.0)

    def hot_sidecars(self, event: FaultEvent, rng: Random) -> None:
        """``count`` applications send a share of all traffic together, or ``factor`` times the others' mean each."""
        world = self.world
        hot_applications = rng.sample(world.applications, event.count)
        other_weight = world.total_weight - sum(a.weight for a in hot_applications)
        weight = event.factor * other_weight / max(1, len(world.applications) - len(hot_applications))
        if event.share:
            weight = other_weight * event.share / (1.0 - event.share) / len(hot_applications)
        old_weights = [a.weight for a in hot_applications]
        self.set_weights(hot_applications, [weight] * len(hot_applications))
        self.after(event.for_s, self.set_weights, hot_applications, old_weights)

    def set_weights(self, applications: list[Application], weights: list[float]) -> None:
        """Set the relative load of some applications."""
        for application, weight in zip(applications, weights, strict=True):
            application.weight = weight
        self.world.total_weight = sum(a.weight for a in self.world.applications)
        self.reschedule_arrivals()

    def reschedule_arrivals(self) -> None:
        """Let every application draw its next request again, at the current rate."""
        for application in self.world.applications:
            application.go()

    def spike(self, event: FaultEvent, rng: Random) -> None:
        """Traffic is multiplied by ``factor``."""
        self.world.rate_factor = event.factor
        self.reschedule_arrivals()
        self.after(event.for_s, self.end_spike)

    def end_spike(self) -> None:
        """Return to the day's normal traffic."""
        self.world.rate_factor = 1.0
        self.reschedule_arrivals()

    # --- sidecars ---

    def pick_sidecars(self, event: FaultEvent, rng: Random) -> list[Sidecar]:
        """Draw the affected sidecars; a share of 0 means all."""
        sidecars = self.world.sidecars
        return rng.sample(sidecars, round((event.share or 1.0) * len(sidecars)))

    def restart(self, event: FaultEvent, rng: Random) -> None:
        """Planned restarts, one sidecar after another within ``for_s``: SIGTERM, then a new process."""
        sidecars = self.pick_sidecars(event, rng)
        for number, sidecar in enumerate(sidecars):
            self.after(event.for_s * number / len(sidecars), self.restart_one, sidecar)

    def restart_one(self, sidecar: Sidecar) -> None:
        """Restart one sidecar; its application pauses meanwhile."""
        application = self.world.applications[sidecar.number]
        sidecar.terminate()
        self.after(CLIENTS_STOP_DELAY, application.stop_arrivals)
        self.after(RESTART_DELAY, sidecar.restart, sidecar.loop)
        self.after(RESTART_DELAY + CLIENTS_RESUME_DELAY, application.go)

    def kill(self, event: FaultEvent, rng: Random) -> None:
        """Sidecars are killed with SIGKILL at random instants within ``for_s``, and started again."""
        for sidecar in self.pick_sidecars(event, rng):
            offset = rng.random() * event.for_s
            self.after(offset, sidecar.kill)
            self.after(offset + KILL_DOWNTIME, sidecar.start)

    def pause(self, event: FaultEvent, rng: Random) -> None:
        """Sidecar processes are stopped, and continue after ``for_s``."""
        for sidecar in self.pick_sidecars(event, rng):
            sidecar.pause()
            self.after(event.for_s, sidecar.resume)

    def restart_loop(self, event: FaultEvent, rng: Random) -> None:
        """``count`` sidecars die every ``factor`` s, and are started again after a short delay."""
        for sidecar in rng.sample(list(self.world.sidecars), event.count):
            offset = 0.0
            while offset < event.for_s:
                self.after(offset, sidecar.kill)
                self.after(offset + LOOP_RESTART_DELAY, sidecar.start)
                offset += event.factor

    def power(self, event: FaultEvent, rng: Random) -> None:
        """All machines lose power: servers come back cold, sidecars and discovery are started again."""
        self.discovery_down(event, rng)
        for server in self.world.ready_servers():
            self.take_down(server, event.for_s)
        for sidecar in self.world.sidecars:
            sidecar.kill()
            self.after(event.for_s, sidecar.start)

    def reload(self, event: FaultEvent, rng: Random) -> None:
        """Sidecars get SIGHUP at random instants within ``for_s``; their configuration is unchanged."""
        for sidecar in self.pick_sidecars(event, rng):
            self.after(rng.random() * event.for_s, sidecar.reload)

    # --- network and discovery ---

    def partition(self, event: FaultEvent, rng: Random) -> None:
        """No traffic passes between zones."""
        names = self.world.day.zones.names
        for source in names:
            for target in names:
                if source != target:
                    self.cut(source, target, event.for_s)

    def cut(self, source: str, target: str, duration: float) -> None:
        """Hold back traffic in one direction for ``duration`` seconds."""
        self.world.cuts.append(NetworkCut(source, target, self.world.now_ms(), 1000.0 * duration))
        self.world.network.cut(source, target)
        self.after(duration, self.world.network.heal, source, target)

    def one_way(self, event: FaultEvent, rng: Random) -> None:
        """Traffic enters a zone but does not leave it; the first zone if none is given."""
        names = self.world.day.zones.names
        source = event.zone or names[0]
        for target in names:
            if target != source:
                self.cut(source, target, event.for_s)

    def flapping(self, event: FaultEvent, rng: Random) -> None:
        """Discovery alternates between down and up, ``factor`` s each."""
        offset = 0.0
        while offset + event.factor <= event.for_s:
            self.after(offset, self.world.listing.go_down)
            self.after(offset + event.factor, self.world.listing.restore)
            offset += 2.0 * event.factor

    def discovery_down(self, event: FaultEvent, rng: Random) -> None:
        """Discovery is down."""
        self.world.listing.go_down()
        self.after(event.for_s, self.world.listing.restore)

    def discovery_crowded(self, event: FaultEvent, rng: Random) -> None:
        """Discovery is busy with other callers: ``factor`` of its capacity is left."""
        listing = self.world.listing
        old_settings = listing.settings
        listing.settings = replace(old_settings, lines_per_s=old_settings.lines_per_s * event.factor)
        self.after(event.for_s, setattr, listing, "settings", old_settings)
