"""Simulates many sidecars in one process: each with its real balancer, subset, connection limits and discovery calls.

There are no sockets. Servers are queues with a few workers, and discovery sends a fixed number of lines per second.
Instances share only the layout of each list version, which every one of them would compute identically. All figures are
counted at the servers and at discovery, not at the instances.
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

IDLE_TIMEOUT = 13_500.0  # ms after which an idle connection is closed: nine tenths of the platform's 15 s
CONNECT_TIME = 1.0  # ms
QUEUE_LIMIT = 64  # waiting requests of a server; further ones are refused
CALL_TIMEOUT = 3_000.0  # ms for a call of discovery, added to the time for which discovery may hold the call
DEADLINE_MARGIN = 15.0  # ms by which the deadline given to the balancer is earlier than the client's


@dataclass(slots=True)
class Counts:
    """Counts taken at the servers and at discovery, by second, and by server where the key holds a name."""

    handshakes: Counter[tuple[int, str]] = field(default_factory=Counter)
    connections: Counter[tuple[int, str]] = field(default_factory=Counter)
    """The largest number of open connections in that second."""
    received: Counter[tuple[int, str]] = field(default_factory=Counter)
    requests: Counter[int] = field(default_factory=Counter)
    retries: Counter[int] = field(default_factory=Counter)
    copies: Counter[int] = field(default_factory=Counter)
    """Hedged attempts: sent while another attempt of the same request was in flight."""
    barred: Counter[int] = field(default_factory=Counter)
    """Attempts that failed because the instance's connection limit allowed no new connection."""
    answers: Counter[tuple[int, str]] = field(default_factory=Counter)
    calls: Counter[int] = field(default_factory=Counter)
    """Calls of discovery."""
    lines: Counter[int] = field(default_factory=Counter)
    """Lines sent by discovery."""

    def busiest(self, counts: Counter[tuple[int, str]]) -> dict[int, int]:
        """Returns for each second the highest count of any server."""
        maxima: dict[int, int] = {}
        for (second, _), count in counts.items():
            maxima[second] = max(maxima.get(second, 0), count)
        return maxima


class World:
    """The simulated clock, the servers, discovery and the counts of one run."""

    def __init__(
        self,
        servers: Sequence[interface.ListedEndpoint],
        seed: int,
        workers: int = 2,
        mean_service_time: float = 60.0,
        lines_per_s: float = 400.0,
        backlog: int = 0,
    ) -> None:
        self.now, self.rng = 0.0, Random(seed)
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.serial = itertools.count()
        self.counts = Counts()
        self.workers, self.mean_service_time, self.backlog = workers, mean_service_time, backlog
        self.servers = {x.endpoint: Server(self, x.endpoint) for x in servers}
        self.discovery = Discovery(self, servers, lines_per_s)

    def at(self, when: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedules a callback at ``when``, in ms."""
        heapq.heappush(self.events, (when, next(self.serial), callback, args))

    def run(self, until: float) -> None:
        """Runs all events up to ``until``, in ms."""
        while self.events and self.events[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self.events)
            callback(*args)
        self.now = until

    def second(self) -> int:
        """Returns the current second."""
        return int(self.now / 1000.0)

    def replace(self, name: str, new: str) -> None:
        """Removes the server ``name`` and starts the server ``new``, cold, in its place."""
        self.servers[name].gone = True
        self.servers[new] = Server(self, new)
        self.discovery.change(
            [interface.ListedEndpoint(name, "gone"), interface.ListedEndpoint(new, started_at=max(1.0, self.now))]
        )


class Server:
    """A server with a fixed number of workers and a queue. While ``silent`` it accepts requests without answering."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.busy, self.open = 0, 0
        self.waiting: deque[Attempt] = deque()
        self.silent = self.gone = False

    def accept_connection(self) -> bool:
        """Counts a connection attempt and returns whether the connection is established."""
        world = self.world
        world.counts.handshakes[world.second(), self.name] += 1
        if self.gone or (world.backlog and self.open >= world.backlog):
            return False
        self.open += 1
        key = world.second(), self.name
        world.counts.connections[key] = max(world.counts.connections[key], self.open)
        return True

    def receive(self, attempt: Attempt) -> None:
        """Executes, queues or refuses an attempt."""
        world = self.world
        world.counts.received[world.second(), self.name] += 1
        if self.gone:
            attempt.end("reset")
        elif self.silent:
            return
        elif self.busy < self.world.workers:
            self.serve(attempt)
        elif len(self.waiting) < QUEUE_LIMIT:
            self.waiting.append(attempt)
        else:
            attempt.end("full")

    def serve(self, attempt: Attempt) -> None:
        """Begins to execute an attempt on a free worker."""
        self.busy += 1
        self.world.at(
            self.world.now + self.world.rng.expovariate(1.0 / self.world.mean_service_time),
            self.on_service_end,
            attempt,
        )

    def on_service_end(self, attempt: Attempt) -> None:
        """Ends an execution and begins the next ones in the queue."""
        self.busy -= 1
        if not self.silent:
            attempt.end("reset" if self.gone else "served")
        while self.waiting and self.busy < self.world.workers:
            following = self.waiting.popleft()
            if not following.is_ended:  # cancelled attempts are not executed
                self.serve(following)


class Discovery:
    """Announces list changes to watching instances, at a limited rate of lines.

    Each answer takes one line, and one more for each entry.
    """

    def __init__(self, world: World, listed: Sequence[interface.ListedEndpoint], lines_per_s: float) -> None:
        self.world, self.ms_per_line = world, 1000.0 / lines_per_s
        self.layouts = [Layout(listed)]
        self.changes: list[Sequence[interface.ListedEndpoint]] = []
        self.watching: dict[Instance, tuple[int, float]] = {}
        """Instances whose calls wait for a change: the call's number and the time when its caller gives up."""
        self.line_free_at = 0.0

    @property
    def version(self) -> int:
        """The number of changes so far."""
        return len(self.changes)

    def change(self, entries: Sequence[interface.ListedEndpoint]) -> None:
        """Makes a new version of the list and answers all waiting calls."""
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
        """Answers a call at once if there are changes, or after at most ``wait`` ms."""
        self.world.counts.calls[self.world.second()] += 1
        until = self.world.now + wait + CALL_TIMEOUT
        self.world.at(until, self.time_out, instance, number)
        if wait and instance.version == self.version:
            self.watching[instance] = number, until
            self.world.at(self.world.now + wait, self.answer_unchanged, instance, number, until)
        else:
            self.answer(instance, number, until)

    def answer_unchanged(self, instance: Instance, number: int, until: float) -> None:
        """Answers a call during whose wait nothing changed."""
        if self.watching.get(instance) == (number, until):
            del self.watching[instance]
            self.answer(instance, number, until)

    def answer(self, instance: Instance, number: int, until: float) -> None:
        """Queues an answer behind those that are still to be sent."""
        lines = 1 + sum(len(c) for c in self.changes[instance.version :])
        begins = max(self.world.now, self.line_free_at)
        if begins > until:
            return  # the caller has given up by then
        self.line_free_at = begins + lines * self.ms_per_line
        self.world.at(self.line_free_at, self.sent, instance, number, lines)

    def sent(self, instance: Instance, number: int, lines: int) -> None:
        """Counts the lines of an answer and delivers it."""
        self.world.counts.lines[self.world.second()] += lines
        instance.on_discovery_answer(number, self.version)

    def time_out(self, instance: Instance, number: int) -> None:
        """Ends a call that has not been answered in time."""
        if self.watching.get(instance, (0, 0.0))[0] == number:
            del self.watching[instance]
        instance.on_discovery_answer(number, -1)


class Attempt:
    """One attempt of a request, from its connection to its outcome."""

    __slots__ = ("holds_connection", "instance", "is_ended", "number", "request", "sent_at", "server")

    def __init__(self, instance: Instance, request: str, number: int, server: Server) -> None:
        self.instance, self.request, self.number, self.server = instance, request, number, server
        self.sent_at, self.is_ended, self.holds_connection = instance.world.now, False, False

    def end(self, outcome: interface.Outcome) -> None:
        """Ends the attempt, unless it has ended."""
        if not self.is_ended:
            self.instance.on_attempt_ended(self, outcome)


class Instance:
    """One sidecar: its balancer, with the parts of the dispatcher and of the connection pools."""

    def __init__(
        self,
        world: World,
        settings: interface.Settings,
        rate: float,
        version: int,
        make: Callable[[interface.Settings, int], Balancer],
    ) -> None:
        """Starts the sidecar.

        Args:
            world: The world that it runs in.
            settings: Its settings.
            rate: Mean requests per second of its application.
            version: Version of the endpoint list that it has stored.
            make: Makes the balancer from the settings and a seed.
        """
        self.world, self.settings, self.rate, self.version = world, settings, rate, version
        seed = world.rng.getrandbits(48)
        self.rng = Random(seed)
        self.balancer = make(settings, seed)
        self.connections = ConnectionLimiter(self.rng)
        self.view: Subset | None = (
            Subset(shape_of(settings), self.layout()) if settings.shares != interface.Shares() else None
        )
        self.open: dict[str, int] = {}
        """Open connections by server."""
        self.idle: dict[str, list[float]] = {}
        """For each server, when its idle connections were last used, oldest first."""
        self.answered_at: dict[str, float] = {}
        """When a connection to each server last became idle, which shows that the server responded."""
        self.total = 0
        """Open connections to all servers."""
        self.requests: dict[str, float] = {}
        """Open requests, with the times of their arrival."""
        self.attempts: dict[str, list[Attempt]] = {}
        self.serial, self.call_number, self.calling = 0, 0, False
        self.stopped = False
        self.apply_list("remembered")
        self.world.at(world.now + self.draw_interval(), self.start_request)

    def layout(self) -> Layout:
        """Returns the layout of the list version that it knows."""
        return self.world.discovery.layouts[self.version]

    def draw_interval(self) -> float:
        """Draws the time until the next request, in ms."""
        return self.rng.expovariate(self.rate / 1000.0)

    def stop(self) -> None:
        """Ends the process and closes its connections."""
        self.stopped = True
        for name, count in self.open.items():
            self.world.servers[name].open -= count

    # --- the list ---

    def apply_list(self, kind: interface.ListKind, changes: Sequence[interface.ListedEndpoint] = ()) -> None:
        """Passes list changes on to the balancer, reduced to its subset if there is one."""
        if self.view is None:
            entries = [s.listed for s in self.layout().placements.values()] if kind == "remembered" else list(changes)
            self.feed(interface.MembershipUpdate(kind, entries))
            return
        self.view.home = self.layout()
        changed_entries = self.view.changes(self.world.now)
        if kind == "remembered":
            changed_entries = [*self.view.members.values()]
        self.configure_connections()
        self.feed(interface.MembershipUpdate(kind, changed_entries, len(self.layout())))

    def configure_connections(self) -> None:
        """Sets the connection limits for the current sizes of the list and of the subset."""
        assert self.view is not None
        self.connections.configure(
            self.settings.shares, self.settings.group_size, len(self.layout()), len(self.view.members)
        )

    def apply_subset(self) -> None:
        """Passes a changed subset on to the balancer."""
        if self.view is not None:
            self.apply_list("remembered")

    def watch(self, wait: float) -> None:
        """Calls discovery, which may hold the call for ``wait`` ms."""
        self.call_number += 1
        self.calling = True
        self.world.discovery.call(self, self.call_number, wait)

    def on_discovery_answer(self, number: int, version: int) -> None:
        """Handles an answer of discovery; a version below 0 means that the call timed out."""
        if number != self.call_number or not self.calling or self.stopped:
            return
        self.calling = False
        if version < 0:
            self.feed(interface.MembershipUpdate("refused"))
            return
        changes = [x for c in self.world.discovery.changes[self.version : version] for x in c]
        self.version = version
        self.apply_list("changes", changes)
        wait = self.balancer.endpoint_list.calls.watch_timeout(20_000.0)
        pause = (
            self.balancer.endpoint_list.calls.watch_pause()
            if changes and self.balancer.endpoint_list.calls.span
            else 0.0
        )
        self.world.at(self.world.now + pause, self.resume_watch, self.call_number, wait)

    def resume_watch(self, number: int, wait: float) -> None:
        """Calls discovery again, unless there was another call since."""
        if number == self.call_number and not self.stopped:
            self.watch(wait)

    # --- requests ---

    def start_request(self) -> None:
        """Takes one request from the application and schedules the next one."""
        if self.stopped:
            return
        now = self.world.now
        self.world.at(now + self.draw_interval(), self.start_request)
        self.serial += 1
        name = f"{self.serial}"
        deadline = now + self.settings.classes[0].deadline
        self.requests[name], self.attempts[name] = now, []
        self.world.counts.requests[self.world.second()] += 1
        self.world.at(deadline, self.on_deadline, name)
        if self.view is not None and self.view.load(now, len(self.requests)):
            self.apply_subset()
        self.feed(interface.RequestArrived(name, 0, deadline - DEADLINE_MARGIN))

    def on_deadline(self, name: str) -> None:
        """Answers a request that is still open at its deadline."""
        if name in self.requests and not self.stopped:
            self.answer(name, "guarded")
            self.feed(interface.RequestClosed(name))

    def answer(self, name: str, kind: str) -> None:
        """Counts the final answer of a request, unless it already has one."""
        if self.requests.pop(name, None) is not None:
            self.world.counts.answers[self.world.second(), kind] += 1

    def feed(self, event: interface.Event) -> None:
        """Passes an event to the balancer and carries out its actions."""
        for action in self.balancer.handle(self.world.now, event):
            match action:
                case interface.Send():
                    self.send(action)
                case interface.Cancel():
                    self.on_attempt_ended(self.attempts[action.request][action.attempt], "cancelled")
                case interface.Refuse():
                    self.answer(action.request, "refused")
                case interface.Fail():
                    self.answer(action.request, "failed")
                case interface.SetTimer():
                    self.world.at(max(action.at, self.world.now), self.fire)
                case interface.WatchMembership():
                    self.watch(0.0)

    def fire(self) -> None:
        """Reports a due timer to the balancer."""
        if not self.stopped:
            self.feed(interface.TimerFired("due"))

    def send(self, action: interface.Send) -> None:
        """Starts an attempt."""
        world, attempts = self.world, self.attempts[action.request]
        attempt = Attempt(self, action.request, len(attempts), world.servers[action.endpoint])
        if attempts:
            is_hedge = any(not a.is_ended for a in attempts)
            (world.counts.copies if is_hedge else world.counts.retries)[world.second()] += 1
        attempts.append(attempt)
        if action.request not in self.requests or len(attempts) > self.settings.limits.max_attempts:
            world.at(world.now, attempt.end, "not_sent")
            return
        world.at(action.expires_at, attempt.end, "timeout")
        self.connect(attempt)

    # --- connections ---

    def connect(self, attempt: Attempt) -> None:
        """Uses an idle connection, or opens a new one if this instance's connection limit allows it."""
        now, server = self.world.now, attempt.server
        idle = self.idle.setdefault(server.name, [])
        while idle:
            if idle.pop() + IDLE_TIMEOUT > now and not server.gone:
                attempt.holds_connection = True
                self.world.at(now, self.deliver, attempt)
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
        self.world.at(now + CONNECT_TIME, self.on_connect_result, attempt)

    def on_connect_result(self, attempt: Attempt) -> None:
        """Handles the end of a connection attempt."""
        if self.stopped:
            return
        if not attempt.server.accept_connection():
            self.total -= 1
            self.open[attempt.server.name] -= 1
            self.connections.on_connect_failed(self.world.now, self.answered_at.get(attempt.server.name, -math.inf))
            attempt.end("connect_failed")
            return
        attempt.holds_connection = True
        if attempt.is_ended:
            self.release(attempt.server)
        else:
            self.deliver(attempt)

    def deliver(self, attempt: Attempt) -> None:
        """Delivers an attempt to its server, unless it has ended."""
        if not attempt.is_ended:
            attempt.server.receive(attempt)

    def release(self, server: Server) -> None:
        """Makes a connection idle."""
        self.answered_at[server.name] = self.world.now
        self.idle.setdefault(server.name, []).append(self.world.now)
        self.world.at(self.world.now + IDLE_TIMEOUT, self.close_expired, server)

    def close_expired(self, server: Server) -> None:
        """Closes connections that have been idle for too long."""
        idle = self.idle.get(server.name, [])
        while idle and idle[0] + IDLE_TIMEOUT <= self.world.now and not self.stopped:
            del idle[0]
            self.close(server)

    def evict(self) -> None:
        """Closes the connection that has been idle for the longest time, if there is one."""
        name = min((n for n, times in self.idle.items() if times), key=lambda n: self.idle[n][0], default=None)
        if name is not None:
            del self.idle[name][0]
            self.close(self.world.servers[name])

    def close(self, server: Server) -> None:
        """Closes one connection to a server."""
        self.total -= 1
        self.open[server.name] -= 1
        server.open -= 1

    def on_attempt_ended(self, attempt: Attempt, outcome: interface.Outcome) -> None:
        """Handles the outcome of an attempt: its connection, the final answer, the subset and the balancer."""
        if attempt.is_ended or self.stopped:
            return
        attempt.is_ended = True
        server, name = attempt.server, attempt.request
        if attempt.holds_connection and outcome in ("served", "full"):
            self.release(server)
        elif attempt.holds_connection:
            self.close(server)
        if outcome == "served":
            self.answer(name, "served")
        if self.view is not None:
            if outcome == "served":
                self.view.served(server.name)
            elif outcome == "full":
                self.connections.on_server_refused(self.world.now)
            elif outcome == "connect_failed" and self.view.failed(self.world.now, server.name):
                self.apply_subset()
        self.feed(
            interface.AttemptEnded(
                name, attempt.number, server.name, outcome, self.world.now - attempt.sent_at, name not in self.requests
            )
        )
        if name not in self.requests and all(a.is_ended for a in self.attempts.get(name, ())):
            self.attempts.pop(name, None)
