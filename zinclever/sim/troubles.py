"""What goes wrong on a day, carried out: each kind of :class:`~zinclever.sim.model.FaultEvent` has its method here."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from ..simnet.scheduler import NS
from ..standins.faults import Fault
from .model import FaultEvent
from .pages import PageServer, calm

if TYPE_CHECKING:
    from .applications import Application
    from .scene import BaseWorld
    from .sidecars import Sidecar

DRAINS_FOR = 4.0  # s from a server's draining to its end
LEAVES_AFTER = 0.3  # s after SIGTERM for which clients still come
RESTARTS_AFTER = 4.0  # s after SIGTERM at which the next process starts: no deadline is longer, as clients count it
BACK_AFTER = 0.5  # s from a sidecar's start to its application's first request
KILLED_FOR = 1.0  # s until a process that was killed is started again
RESTARTED_AFTER = 0.2  # s until one that dies again and again is


VOCABULARY = frozenset(
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


class Cut(NamedTuple):
    """What gets from one machine or zone to another, by name, is held for a while; from all, where none is named."""

    source: str
    target: str
    at: float
    span: float


class Troubles:
    """Those of one day. Who is befallen is drawn from the day's seed."""

    def __init__(self, world: BaseWorld) -> None:
        self.world = world

    def plan(self, start: int) -> None:
        """Each at its time after the start, in ns."""
        for number, trouble in enumerate(self.world.day.troubles):
            rng = Random(f"{self.world.day.seed}/trouble/{number}")
            self.world.scheduler.at(start + round(trouble.at_s * NS), getattr(self, trouble.kind), trouble, rng)

    def after(self, seconds: float, act: Callable[..., object], *args: object) -> None:
        self.world.scheduler.after(round(seconds * NS), act, *args)

    def some(self, trouble: FaultEvent, rng: Random) -> list[PageServer]:
        """The servers that it befalls."""
        ready = [s for s in self.world.ready_servers() if trouble.zone in ("", s.machine.zone)]
        return rng.sample(ready, round(trouble.share * len(ready)))

    # --- servers ---

    def silent(self, trouble: FaultEvent, rng: Random) -> None:
        """A share of the servers takes requests and answers none."""
        for server in self.some(trouble, rng):
            server.silent = True
            self.after(trouble.for_s, setattr, server, "silent", False)

    def slow(self, trouble: FaultEvent, rng: Random) -> None:
        """A share of the servers does its work ``factor`` times as slowly, but lives."""
        for server in self.some(trouble, rng):
            server.core.speed /= trouble.factor
            self.after(trouble.for_s, setattr, server.core, "speed", server.core.speed * trouble.factor)

    def faults(self, trouble: FaultEvent, rng: Random) -> None:
        """A share of all requests to servers goes wrong, in one of the ways that stand-ins know."""
        wrong = [fault for fault in Fault if fault is not Fault.NONE]

        def plan(drawn: Random) -> Fault:
            return drawn.choice(wrong) if drawn.random() < trouble.share else Fault.NONE

        for server in self.world.servers.values():
            server.plan = plan
            self.after(trouble.for_s, setattr, server, "plan", calm)

    def vanish(self, trouble: FaultEvent, rng: Random) -> None:
        """Machines say nothing; they come back with a server that has just started."""
        for server in self.some(trouble, rng):
            self.lose(server, trouble.for_s)

    def zone_lost(self, trouble: FaultEvent, rng: Random) -> None:
        """All servers of a zone vanish and come back cold."""
        for server in self.world.ready_servers():
            if server.machine.zone == trouble.zone:
                self.lose(server, trouble.for_s)

    def lose(self, server: PageServer, span: float) -> None:
        listing = self.world.listing
        server.machine.vanish()
        self.world.cuts.append(Cut("", server.name, self.world.now_ms(), 1000.0 * span))
        silent = listing.told.silent_notice_s
        if span > silent:
            listing.learn(server, "gone", silent)
        self.after(span, self.reboot, server)

    def reboot(self, server: PageServer) -> None:
        """The machine is back with a new process under the old name."""
        server.end()
        server.machine.come_back()
        world = self.world
        made = world.servers[server.name] = PageServer(world, server.machine, server.kind, server.cell, True)
        made.loop.create_task(made.listen())
        world.listing.learn(made, "ready", self.adds())

    def adds(self) -> float:
        listing = self.world.listing
        return listing.rng.uniform(*listing.told.add_s)

    def shrink(self, trouble: FaultEvent, rng: Random) -> None:
        """The fleet shrinks to a share of its size within a time; the traffic by ``factor`` with it."""
        ready = self.world.ready_servers()
        going = rng.sample(ready, len(ready) - round(trouble.share * len(ready)))
        for server in going:
            self.after(rng.random() * trouble.for_s, self.drain, server)
        if trouble.factor:
            self.world.factor = trouble.factor
            self.all_go()

    def drain(self, server: PageServer) -> None:
        """It wants nothing new, and ends some time later."""
        if server.health != "ready":
            return
        server.health = "draining"
        listing = self.world.listing
        notice = listing.rng.uniform(*listing.told.notice_s)
        listing.learn(server, "draining", notice)
        self.after(notice + DRAINS_FOR, self.end, server)

    def end(self, server: PageServer) -> None:
        if server.health == "gone":
            return
        server.end()
        listing = self.world.listing
        listing.learn(server, "gone", listing.rng.uniform(*listing.told.notice_s))

    def grow(self, trouble: FaultEvent, rng: Random) -> None:
        """So many new servers start within a time."""
        for _ in range(trouble.count):
            self.after(rng.random() * trouble.for_s, self.begin, rng.randrange(len(self.world.day.zones.names)))
        if trouble.factor:
            self.world.factor = trouble.factor
            self.after(trouble.for_s, self.all_go)

    def begin(self, zone: int) -> None:
        world = self.world
        cells = len(world.day.zones.names) * (len(world.servers) // 2 // world.day.servers.cell) + zone
        server = world.new_server(world.day.zones.names[zone], world.draw_kind(), cells, True)
        world.listing.learn(server, "ready", self.adds())

    def waves(self, trouble: FaultEvent, rng: Random) -> None:
        """A share of the fleet is replaced by new servers, in waves of ``count``, within a time."""
        going = self.some(trouble, rng)
        waves = max(1, -(-len(going) // max(1, trouble.count)))
        for number, server in enumerate(going):
            at = trouble.for_s * (number // max(1, trouble.count)) / waves
            self.after(at, self.begin, self.world.day.zones.names.index(server.machine.zone))
            self.after(at + rng.random(), self.drain, server)

    # --- reports, keys, load ---

    def late_reports(self, trouble: FaultEvent, rng: Random) -> None:
        """Load reports come ``factor`` ms later."""
        self.world.report_delay_ms = trouble.factor
        self.after(trouble.for_s, setattr, self.world, "report_delay_ms", 0.0)

    def hot_keys(self, trouble: FaultEvent, rng: Random) -> None:
        """A few keys draw a share of all traffic."""
        keys = self.world.keys
        keys.hot, keys.hot_share = rng.sample(keys.names, trouble.count), trouble.share
        self.after(trouble.for_s, setattr, keys, "hot_share", 0.0)

    def hot_sidecars(self, trouble: FaultEvent, rng: Random) -> None:
        """A few applications carry a share of all traffic, or each so many times the mean."""
        world = self.world
        hot = rng.sample(world.applications, trouble.count)
        rest = world.weights - sum(a.weight for a in hot)
        each = trouble.factor * rest / max(1, len(world.applications) - len(hot))
        if trouble.share:
            each = rest * trouble.share / (1.0 - trouble.share) / len(hot)
        before = [a.weight for a in hot]
        self.weigh(hot, [each] * len(hot))
        self.after(trouble.for_s, self.weigh, hot, before)

    def weigh(self, applications: list[Application], weights: list[float]) -> None:
        for application, weight in zip(applications, weights, strict=True):
            application.weight = weight
        self.world.weights = sum(a.weight for a in self.world.applications)
        self.all_go()

    def all_go(self) -> None:
        """Every application draws its next arrival by the rate that holds now."""
        for application in self.world.applications:
            application.go()

    def spike(self, trouble: FaultEvent, rng: Random) -> None:
        """``factor`` times the traffic."""
        self.world.factor = trouble.factor
        self.all_go()
        self.after(trouble.for_s, self.calm_down)

    def calm_down(self) -> None:
        self.world.factor = 1.0
        self.all_go()

    # --- sidecars ---

    def chosen(self, trouble: FaultEvent, rng: Random) -> list[Sidecar]:
        sidecars = self.world.sidecars
        return rng.sample(sidecars, round((trouble.share or 1.0) * len(sidecars)))

    def restart(self, trouble: FaultEvent, rng: Random) -> None:
        """Planned, one after another within a time: SIGTERM, and a new process after it."""
        chosen = self.chosen(trouble, rng)
        for number, sidecar in enumerate(chosen):
            self.after(trouble.for_s * number / len(chosen), self.restart_one, sidecar)

    def restart_one(self, sidecar: Sidecar) -> None:
        application = self.world.applications[sidecar.number]
        sidecar.terminate()
        self.after(LEAVES_AFTER, application.pause)
        self.after(RESTARTS_AFTER, sidecar.restart, sidecar.loop)
        self.after(RESTARTS_AFTER + BACK_AFTER, application.go)

    def kill(self, trouble: FaultEvent, rng: Random) -> None:
        """Killed without warning within a time, and started again."""
        for sidecar in self.chosen(trouble, rng):
            at = rng.random() * trouble.for_s
            self.after(at, sidecar.kill)
            self.after(at + KILLED_FOR, sidecar.start)

    def pause(self, trouble: FaultEvent, rng: Random) -> None:
        """Processes stand still, and go on as if no time had passed."""
        for sidecar in self.chosen(trouble, rng):
            sidecar.pause()
            self.after(trouble.for_s, sidecar.resume)

    def restart_loop(self, trouble: FaultEvent, rng: Random) -> None:
        """``count`` sidecars die every ``factor`` s, and are started again at once."""
        for sidecar in rng.sample(list(self.world.sidecars), trouble.count):
            at = 0.0
            while at < trouble.for_s:
                self.after(at, sidecar.kill)
                self.after(at + RESTARTED_AFTER, sidecar.start)
                at += trouble.factor

    def power(self, trouble: FaultEvent, rng: Random) -> None:
        """Every machine is off for a while: all servers come back cold, all sidecars anew, discovery with them."""
        self.discovery_down(trouble, rng)
        for server in self.world.ready_servers():
            self.lose(server, trouble.for_s)
        for sidecar in self.world.sidecars:
            sidecar.kill()
            self.after(trouble.for_s, sidecar.start)

    def reload(self, trouble: FaultEvent, rng: Random) -> None:
        """SIGHUP, within a time; the file says the same."""
        for sidecar in self.chosen(trouble, rng):
            self.after(rng.random() * trouble.for_s, sidecar.reload)

    # --- the network, discovery ---

    def partition(self, trouble: FaultEvent, rng: Random) -> None:
        """Nothing gets from any zone to any other."""
        names = self.world.day.zones.names
        for one in names:
            for other in names:
                if one != other:
                    self.cut(one, other, trouble.for_s)

    def cut(self, source: str, target: str, span: float) -> None:
        self.world.cuts.append(Cut(source, target, self.world.now_ms(), 1000.0 * span))
        self.world.network.cut(source, target)
        self.after(span, self.world.network.heal, source, target)

    def one_way(self, trouble: FaultEvent, rng: Random) -> None:
        """Nothing gets out of a zone, while all gets in; of the first one where none is named."""
        names = self.world.day.zones.names
        source = trouble.zone or names[0]
        for other in names:
            if other != source:
                self.cut(source, other, trouble.for_s)

    def flapping(self, trouble: FaultEvent, rng: Random) -> None:
        """Discovery goes down and comes back, each for ``factor`` s."""
        at = 0.0
        while at + trouble.factor <= trouble.for_s:
            self.after(at, self.world.listing.go_down)
            self.after(at + trouble.factor, self.world.listing.come_back)
            at += 2.0 * trouble.factor

    def discovery_down(self, trouble: FaultEvent, rng: Random) -> None:
        self.world.listing.go_down()
        self.after(trouble.for_s, self.world.listing.come_back)

    def discovery_crowded(self, trouble: FaultEvent, rng: Random) -> None:
        """Others call it: it has ``factor`` of its capacity left."""
        listing = self.world.listing
        before = listing.told
        listing.told = replace(before, lines_per_s=before.lines_per_s * trouble.factor)
        self.after(trouble.for_s, setattr, listing, "told", before)
