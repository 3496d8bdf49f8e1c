"""Many instances of the sidecar's decisions on one clock: the real module, subset, connections and calls of each.

No sockets. Servers are queues with a few workers, discovery sends so many lines a second. Instances share nothing
but what is the same for all by construction: the layout of a list's version, which each of them would make alike.
Every figure is counted at the servers and at discovery, not at the instances.
"""

from __future__ import annotations

import copy
import heapq
import itertools
import math
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from zinclever import Balancer, interface
from zinclever.core.view import shape_of
from zinclever.fleet.layout import Layout
from zinclever.fleet.limits import ConnectionLimiter
from zinclever.fleet.subset import Subset

IDLE_FOR = 13_500.0  # ms for which a connection is kept: nine tenths of the platform's 15 s
DIAL = 1.0  # ms
QUEUE = 64  # requests that a server lets wait; beyond, it refuses
CALL_FOR = 3_000.0  # ms that a call of discovery is waited for, over what the call itself may wait
EARLY = 15.0  # ms before the deadline that the module is told


@dataclass(slots=True)
class Counts:
    """What the servers and discovery saw, by second."""

    handshakes: Counter[tuple[int, str]] = field(default_factory=Counter)
    connections: Counter[tuple[int, str]] = field(default_factory=Counter)
    """The most at once in that second."""
    received: Counter[tuple[int, str]] = field(default_factory=Counter)
    requests: Counter[int] = field(default_factory=Counter)
    retries: Counter[int] = field(default_factory=Counter)
    copies: Counter[int] = field(default_factory=Counter)
    barred: Counter[int] = field(default_factory=Counter)
    answers: Counter[tuple[int, str]] = field(default_factory=Counter)
    calls: Counter[int] = field(default_factory=Counter)
    lines: Counter[int] = field(default_factory=Counter)

    def busiest(self, what: Counter[tuple[int, str]]) -> dict[int, int]:
        """By second, the figure of whichever server has the highest."""
        most: dict[int, int] = {}
        for (second, _), count in what.items():
            most[second] = max(most.get(second, 0), count)
        return most


class World:
    """The clock, the servers, discovery, and all instances."""

    def __init__(
        self,
        servers: Sequence[interface.ListedEndpoint],
        seed: int,
        workers: int = 2,
        took: float = 60.0,
        lines_per_s: float = 400.0,
        backlog: int = 0,
    ) -> None:
        self.now, self.rng = 0.0, Random(seed)
        self.due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.serial = itertools.count()
        self.counts = Counts()
        self.workers, self.took, self.backlog = workers, took, backlog
        self.servers = {x.endpoint: Server(self, x.endpoint) for x in servers}
        self.discovery = Discovery(self, servers, lines_per_s)

    def at(self, when: float, act: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.due, (when, next(self.serial), act, args))

    def run(self, until: float) -> None:
        while self.due and self.due[0][0] <= until:
            self.now, _, act, args = heapq.heappop(self.due)
            act(*args)
        self.now = until

    def second(self) -> int:
        return int(self.now / 1000.0)

    def replace(self, name: str, new: str) -> None:
        """A server goes, and another one has just started."""
        self.servers[name].gone = True
        self.servers[new] = Server(self, new)
        self.discovery.change(
            [interface.ListedEndpoint(name, "gone"), interface.ListedEndpoint(new, started_at=max(1.0, self.now))]
        )


class Server:
    """Some workers and a queue. ``silent``: takes all and answers nothing."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.busy, self.open = 0, 0
        self.waiting: deque[Attempt] = deque()
        self.silent = self.gone = False

    def dial(self) -> bool:
        """Whether a connection comes up."""
        world = self.world
        world.counts.handshakes[world.second(), self.name] += 1
        if self.gone or (world.backlog and self.open >= world.backlog):
            return False
        self.open += 1
        key = world.second(), self.name
        world.counts.connections[key] = max(world.counts.connections[key], self.open)
        return True

    def receive(self, attempt: Attempt) -> None:
        world = self.world
        world.counts.received[world.second(), self.name] += 1
        if self.gone:
            attempt.end("reset")
        elif self.silent:
            return
        elif self.busy < self.world.workers:
            self.serve(attempt)
        elif len(self.waiting) < QUEUE:
            self.waiting.append(attempt)
        else:
            attempt.end("full")

    def serve(self, attempt: Attempt) -> None:
        self.busy += 1
        self.world.at(self.world.now + self.world.rng.expovariate(1.0 / self.world.took), self.done, attempt)

    def done(self, attempt: Attempt) -> None:
        self.busy -= 1
        if not self.silent:
            attempt.end("reset" if self.gone else "served")
        while self.waiting and self.busy < self.world.workers:
            following = self.waiting.popleft()
            if not following.over:  # who has gone away is not served
                self.serve(following)


class Discovery:
    """Tells changes to who watches: so many lines a second in all, one for each entry and one for each answer."""

    def __init__(self, world: World, listed: Sequence[interface.ListedEndpoint], lines_per_s: float) -> None:
        self.world, self.each = world, 1000.0 / lines_per_s
        self.layouts = [Layout(listed)]
        self.changes: list[Sequence[interface.ListedEndpoint]] = []
        self.watching: dict[Instance, tuple[int, float]] = {}
        """Who waits for news, the number of the call, and when its caller gives it up."""
        self.free_at = 0.0

    @property
    def version(self) -> int:
        return len(self.changes)

    def change(self, entries: Sequence[interface.ListedEndpoint]) -> None:
        layout = copy.deepcopy(self.layouts[-1])
        for x in entries:
            if x.phase == "ready":
                layout.put(x)
            else:
                layout.drop(x.endpoint)
        self.layouts.append(layout)
        self.changes.append(entries)
        watching, self.watching = self.watching, {}
        for instance, (number, until) in watching.items():
            self.answer(instance, number, until)

    def call(self, instance: Instance, number: int, wait: float) -> None:
        self.world.counts.calls[self.world.second()] += 1
        until = self.world.now + wait + CALL_FOR
        self.world.at(until, self.time_out, instance, number)
        if wait and instance.version == self.version:
            self.watching[instance] = number, until
            self.world.at(self.world.now + wait, self.nothing, instance, number, until)
        else:
            self.answer(instance, number, until)

    def nothing(self, instance: Instance, number: int, until: float) -> None:
        if self.watching.get(instance) == (number, until):
            del self.watching[instance]
            self.answer(instance, number, until)

    def answer(self, instance: Instance, number: int, until: float) -> None:
        """In line behind all that is to be sent before."""
        lines = 1 + sum(len(c) for c in self.changes[instance.version :])
        begins = max(self.world.now, self.free_at)
        if begins > until:
            return  # nobody waits for so long: the call times out
        self.free_at = begins + lines * self.each
        self.world.at(self.free_at, self.sent, instance, number, lines)

    def sent(self, instance: Instance, number: int, lines: int) -> None:
        self.world.counts.lines[self.world.second()] += lines
        instance.told(number, self.version)

    def time_out(self, instance: Instance, number: int) -> None:
        if self.watching.get(instance, (0, 0.0))[0] == number:
            del self.watching[instance]
        instance.told(number, -1)


class Attempt:
    """One attempt, from its connection to its outcome."""

    __slots__ = ("instance", "kept", "number", "over", "request", "sent_at", "server")

    def __init__(self, instance: Instance, request: str, number: int, server: Server) -> None:
        self.instance, self.request, self.number, self.server = instance, request, number, server
        self.sent_at, self.over, self.kept = instance.world.now, False, False

    def end(self, outcome: interface.Outcome) -> None:
        if not self.over:
            self.instance.ended(self, outcome)


class Instance:
    """One sidecar, as the ledger and the pools would have it."""

    def __init__(
        self,
        world: World,
        settings: interface.Settings,
        rate: float,
        version: int,
        make: Callable[[interface.Settings, int], Balancer],
    ) -> None:
        """``rate``: requests a second; ``version``: of the list that it remembers."""
        self.world, self.settings, self.rate, self.version = world, settings, rate, version
        seed = world.rng.getrandbits(48)
        self.rng = Random(seed)
        self.balancer = make(settings, seed)
        self.connections = ConnectionLimiter(self.rng)
        self.view: Subset | None = (
            Subset(shape_of(settings), self.layout()) if settings.shares != interface.Shares() else None
        )
        self.open: dict[str, int] = {}
        self.idle: dict[str, list[float]] = {}
        """Of each server, when its idle connections were last used, oldest first."""
        self.answered_at: dict[str, float] = {}
        self.total = 0
        self.requests: dict[str, float] = {}
        self.attempts: dict[str, list[Attempt]] = {}
        self.serial, self.call_number, self.calling = 0, 0, False
        self.stopped = False
        self.hear("remembered")
        self.world.at(world.now + self.gap(), self.arrive)

    def layout(self) -> Layout:
        return self.world.discovery.layouts[self.version]

    def gap(self) -> float:
        return self.rng.expovariate(self.rate / 1000.0)

    def stop(self) -> None:
        """The process ends, and its connections with it."""
        self.stopped = True
        for name, count in self.open.items():
            self.world.servers[name].open -= count

    # --- the list ---

    def hear(self, kind: interface.ListKind, changes: Sequence[interface.ListedEndpoint] = ()) -> None:
        if self.view is None:
            entries = [s.listed for s in self.layout().placements.values()] if kind == "remembered" else list(changes)
            self.feed(interface.MembershipUpdate(kind, entries))
            return
        self.view.home = self.layout()
        news = self.view.changes(self.world.now)
        if kind == "remembered":
            news = [*self.view.members.values()]
        self.share_out()
        self.feed(interface.MembershipUpdate(kind, news, len(self.layout())))

    def share_out(self) -> None:
        assert self.view is not None
        self.connections.configure(
            self.settings.shares, self.settings.group_size, len(self.layout()), len(self.view.members)
        )

    def move(self) -> None:
        if self.view is not None:
            self.hear("remembered")

    def watch(self, wait: float) -> None:
        self.call_number += 1
        self.calling = True
        self.world.discovery.call(self, self.call_number, wait)

    def told(self, number: int, version: int) -> None:
        """An answer of discovery; a version below 0: the call timed out."""
        if number != self.call_number or not self.calling or self.stopped:
            return
        self.calling = False
        if version < 0:
            self.feed(interface.MembershipUpdate("refused"))
            return
        changes = [x for c in self.world.discovery.changes[self.version : version] for x in c]
        self.version = version
        self.hear("changes", changes)
        wait = self.balancer.endpoint_list.calls.watch_timeout(20_000.0)
        pause = (
            self.balancer.endpoint_list.calls.watch_pause()
            if changes and self.balancer.endpoint_list.calls.span
            else 0.0
        )
        self.world.at(self.world.now + pause, self.watch_again, self.call_number, wait)

    def watch_again(self, number: int, wait: float) -> None:
        if number == self.call_number and not self.stopped:
            self.watch(wait)

    # --- requests ---

    def arrive(self) -> None:
        if self.stopped:
            return
        now = self.world.now
        self.world.at(now + self.gap(), self.arrive)
        self.serial += 1
        name = f"{self.serial}"
        deadline = now + self.settings.classes[0].deadline
        self.requests[name], self.attempts[name] = now, []
        self.world.counts.requests[self.world.second()] += 1
        self.world.at(deadline, self.guard, name)
        if self.view is not None and self.view.load(now, len(self.requests)):
            self.move()
        self.feed(interface.RequestArrived(name, 0, deadline - EARLY))

    def guard(self, name: str) -> None:
        if name in self.requests and not self.stopped:
            self.answer(name, "guarded")
            self.feed(interface.RequestClosed(name))

    def answer(self, name: str, kind: str) -> None:
        if self.requests.pop(name, None) is not None:
            self.world.counts.answers[self.world.second(), kind] += 1

    def feed(self, event: interface.Event) -> None:
        for action in self.balancer.handle(self.world.now, event):
            match action:
                case interface.Send():
                    self.send(action)
                case interface.Cancel():
                    self.ended(self.attempts[action.request][action.attempt], "cancelled")
                case interface.Refuse():
                    self.answer(action.request, "refused")
                case interface.Fail():
                    self.answer(action.request, "failed")
                case interface.SetTimer():
                    self.world.at(max(action.at, self.world.now), self.fire)
                case interface.WatchMembership():
                    self.watch(0.0)

    def fire(self) -> None:
        if not self.stopped:
            self.feed(interface.TimerFired("due"))

    def send(self, action: interface.Send) -> None:
        world, tried = self.world, self.attempts[action.request]
        attempt = Attempt(self, action.request, len(tried), world.servers[action.endpoint])
        if tried:
            copied = any(not a.over for a in tried)
            (world.counts.copies if copied else world.counts.retries)[world.second()] += 1
        tried.append(attempt)
        if action.request not in self.requests or len(tried) > self.settings.limits.max_attempts:
            world.at(world.now, attempt.end, "not_sent")
            return
        world.at(action.expires_at, attempt.end, "timeout")
        self.connect(attempt)

    # --- connections ---

    def connect(self, attempt: Attempt) -> None:
        """An idle connection, or a new one where this instance's part allows it."""
        now, server = self.world.now, attempt.server
        idle = self.idle.setdefault(server.name, [])
        while idle:
            if idle.pop() + IDLE_FOR > now and not server.gone:
                attempt.kept = True
                self.world.at(now, self.arrived, attempt)
                return
            self.close(server)
        if self.connections.is_exhausted(now, self.total):
            self.evict()
        if not self.connections.may_open(now, self.open.get(server.name, 0), self.total):
            self.world.counts.barred[self.world.second()] += 1
            self.world.at(now, attempt.end, "barred")
            return
        self.total += 1
        self.open[server.name] = self.open.get(server.name, 0) + 1
        self.world.at(now + DIAL, self.dialled, attempt)

    def dialled(self, attempt: Attempt) -> None:
        if self.stopped:
            return
        if not attempt.server.dial():
            self.total -= 1
            self.open[attempt.server.name] -= 1
            self.connections.on_connect_failed(self.world.now, self.answered_at.get(attempt.server.name, -math.inf))
            attempt.end("connect_failed")
            return
        attempt.kept = True
        if attempt.over:
            self.free(attempt.server)
        else:
            self.arrived(attempt)

    def arrived(self, attempt: Attempt) -> None:
        if not attempt.over:
            attempt.server.receive(attempt)

    def free(self, server: Server) -> None:
        self.answered_at[server.name] = self.world.now
        self.idle.setdefault(server.name, []).append(self.world.now)
        self.world.at(self.world.now + IDLE_FOR, self.reap, server)

    def reap(self, server: Server) -> None:
        idle = self.idle.get(server.name, [])
        while idle and idle[0] + IDLE_FOR <= self.world.now and not self.stopped:
            del idle[0]
            self.close(server)

    def evict(self) -> None:
        """Close the connection that has been idle for longest, if any is."""
        name = min((n for n, times in self.idle.items() if times), key=lambda n: self.idle[n][0], default=None)
        if name is not None:
            del self.idle[name][0]
            self.close(self.world.servers[name])

    def close(self, server: Server) -> None:
        self.total -= 1
        self.open[server.name] -= 1
        server.open -= 1

    def ended(self, attempt: Attempt, outcome: interface.Outcome) -> None:
        if attempt.over or self.stopped:
            return
        attempt.over = True
        server, name = attempt.server, attempt.request
        if attempt.kept and outcome in ("served", "full"):
            self.free(server)
        elif attempt.kept:
            self.close(server)
        if outcome == "served":
            self.answer(name, "served")
        if self.view is not None:
            if outcome == "served":
                self.view.served(server.name)
            elif outcome == "full":
                self.connections.on_server_refused(self.world.now)
            elif outcome == "connect_failed" and self.view.failed(self.world.now, server.name):
                self.move()
        self.feed(
            interface.AttemptEnded(
                name, attempt.number, server.name, outcome, self.world.now - attempt.sent_at, name not in self.requests
            )
        )
        if name not in self.requests and all(a.over for a in self.attempts.get(name, ())):
            self.attempts.pop(name, None)
