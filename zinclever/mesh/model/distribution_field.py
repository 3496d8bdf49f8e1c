"""Simulated distribution of configurations: gossip and fetches between processes that stop, start and lose power.

Gossip and the :class:`..roles.configuration_distributor.ConfigurationDistributor` of each process are the real ones;
time, datagrams and connections are simulated. Consensus is not: control nodes are told what has been committed. Times
are in seconds.
"""

from __future__ import annotations

import heapq
import itertools
import json
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from ..configuration.active import ActiveConfiguration
from ..membership.gossip import TICK_INTERVAL, Gossip
from ..membership.records import CONTROL, SIDECAR, RecordKind
from ..roles.configuration_distributor import ConfigurationDistributor
from ..transport.channel import (
    CALL_SILENCE_TIMEOUT,
    LIVENESS_CHECK_INTERVAL,
    UNRESPONSIVE_AFTER,
    LinkState,
    OnAnswer,
)
from ..transport.dialing import DIAL_TIMEOUT
from ..transport.mesh_pb2 import Frame, NodeInfo
from .field import Address, Field

MIN_LATENCY = 0.001  # of a frame
MAX_EXTRA_LATENCY = 0.005
LINK_BYTES_PER_SECOND = 250_000.0  # a link of 2 Mbit/s
LOAD_DELAY = 0.05  # from the start of a control node until it has read its disk


class SimulatedTimer:
    """A scheduled callback."""

    def __init__(self, callback: Callable[[], object]) -> None:
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        """Prevent the callback from running."""
        self.callback = None


class SimulatedClock:
    """The clock of one process; its callbacks don't run once the process has ended."""

    def __init__(self, field: DistributionField, is_running: Callable[[], bool]) -> None:
        self.field, self.is_running = field, is_running

    def time(self) -> float:
        """Return the simulated time."""
        return self.field.now

    def call_later(self, delay: float, callback: Callable[[], object]) -> SimulatedTimer:
        """Run ``callback`` after ``delay`` s, if the process is still running then."""

        def run_if_alive() -> None:
            if self.is_running():
                callback()

        return self.field.call_later(delay, run_if_alive)


@dataclass(eq=False)
class AcceptedConnection:
    """A connection from ``channel`` as the process that accepted it sees it."""

    channel: SimulatedChannel
    target: Process

    def send(self, frame: Frame) -> None:
        """Send an answer to the process that opened the call."""
        field = self.channel.field
        latency = field.latency() + frame.ByteSize() / LINK_BYTES_PER_SECOND
        field.call_later(latency, lambda: self.channel.deliver(self, frame))


class SimulatedChannel:
    """The channel of one process to one address. Calls fail as those of a real channel do."""

    def __init__(self, field: DistributionField, caller: Process, address: Address) -> None:
        self.field, self.caller, self.address = field, caller, address
        self.open_calls: dict[int, OnAnswer] = {}
        self.last_stream = 0
        self.connection: AcceptedConnection | None = None
        self.dial_ends_at = 0.0
        self.dial_started_at = self.silent_since = math.inf
        """When the dial to a dark machine began, and when a connection with open calls became silent."""

    def call(self, frame: Frame, on_answer: OnAnswer) -> int:
        """Open a call and return its stream number."""
        self.last_stream += 1
        frame.stream = stream = self.last_stream
        self.open_calls[stream] = on_answer
        if self.connection is not None:
            self.send(self.connection, frame)
        else:
            self.dial(frame)
        return stream

    def connect(self) -> None:
        """Establish the connection if the process at the address is running."""
        target = self.field.process_at(self.address)
        if self.connection is None and target is not None:
            self.connection = AcceptedConnection(self, target)

    def dial(self, frame: Frame) -> None:
        """Connect and send the frame. The dial to a dark machine fails the call early, later calls when it ends."""
        now = self.field.now
        self.connect()
        if self.connection is not None:
            self.send(self.connection, frame)
        elif self.address not in self.field.dark:
            self.field.call_later(self.field.latency(), lambda: self.fail(frame.stream))
        elif now < self.dial_ends_at:
            self.field.call_later(self.dial_ends_at - now, lambda: self.fail(frame.stream))
        else:
            self.dial_started_at, self.dial_ends_at = now, now + DIAL_TIMEOUT
            self.field.call_later(UNRESPONSIVE_AFTER, lambda: self.fail(frame.stream))

    def send(self, connection: AcceptedConnection, frame: Frame) -> None:
        """Deliver a frame to the process at the other end, if that is still running."""

        def receive() -> None:
            if connection.target.is_running:
                connection.target.distributor.on_fetch(connection, frame)
            else:
                self.on_silence(connection)

        self.field.call_later(self.field.latency(), receive)

    def on_silence(self, connection: AcceptedConnection) -> None:
        """Lose the connection to a process that has ended: after the timeout if its machine is dark, else at once."""
        if connection is self.connection and math.isinf(self.silent_since):
            self.silent_since = self.field.now
            delay = CALL_SILENCE_TIMEOUT if self.address in self.field.dark else self.field.latency()
            self.field.call_later(delay, lambda: self.lose(connection))

    def lose(self, connection: AcceptedConnection) -> None:
        """Fail all open calls."""
        if connection is self.connection:
            self.connection, self.silent_since = None, math.inf
            for stream in list(self.open_calls):
                self.fail(stream)

    def fail(self, stream: int) -> None:
        """Fail a call."""
        on_answer = self.open_calls.pop(stream, None)
        if on_answer is not None and self.caller.is_running:
            on_answer(None)

    def deliver(self, connection: AcceptedConnection, frame: Frame) -> None:
        """Deliver an answer unless the connection was lost meanwhile."""
        if connection is not self.connection or not connection.target.is_running or not self.caller.is_running:
            return
        on_answer = self.open_calls.get(frame.stream)
        if on_answer is not None:
            on_answer(frame)

    def finish_call(self, stream: int) -> bool:
        """Stop delivering answers of a call."""
        return self.open_calls.pop(stream, None) is not None

    def is_unresponsive(self) -> bool:
        """Return whether the peer has been silent, or a dial has taken, for too long."""
        now = self.field.now
        if self.connection is None:
            return self.dial_started_at + UNRESPONSIVE_AFTER <= now < self.dial_ends_at
        return now - self.silent_since > LIVENESS_CHECK_INTERVAL + UNRESPONSIVE_AFTER

    def link_state(self) -> LinkState:
        """Return the state of the connection."""
        return LinkState.CLOSED if self.connection is None else LinkState.LIVE


class SimulatedChannels:
    """The channels of one process."""

    def __init__(self, field: DistributionField, caller: Process) -> None:
        self.field, self.caller = field, caller
        self.channels: dict[Address, SimulatedChannel] = {}

    def to(self, address: Address) -> SimulatedChannel:
        """Return the channel to an address."""
        if address not in self.channels:
            self.channels[address] = SimulatedChannel(self.field, self.caller, address)
        return self.channels[address]

    def is_unresponsive(self, address: Address) -> bool:
        """Return whether there is a channel to an address whose peer has been silent for too long."""
        return address in self.channels and self.channels[address].is_unresponsive()


class Process:
    """One life of a process: its gossip is in ``field.gossips`` under its name."""

    def __init__(self, field: DistributionField, name: str, gossip: Gossip) -> None:
        self.is_running = True
        self.started_at = field.now
        self.active = ActiveConfiguration()
        self.channels = SimulatedChannels(field, self)
        self.distributor = ConfigurationDistributor(
            gossip,
            self.channels,
            self.active,
            lambda record: field.tell(name, record),
            SimulatedClock(field, lambda: self.is_running),
        )


class DistributionField(Field):
    """The first ``control_count`` nodes are control nodes, which keep what is committed; the others are sidecars."""

    def __init__(self, sidecars: int, control_count: int, seed: int, idle_routes: int = 0, loss: float = 0.0) -> None:
        """Start all processes. ``idle_routes`` sets the size of the configuration, ``loss`` that of datagrams."""
        self.processes: dict[str, Process] = {}
        self.dark: set[Address] = set()
        """Addresses of machines without power."""
        self.timers: list[tuple[float, int, SimulatedTimer]] = []
        self.timer_ids = itertools.count()
        self.lives = itertools.count(1)
        self.idle_routes = idle_routes
        self.control_count = control_count
        self.committed = 0
        """Log index of the newest committed configuration."""
        self.known_committed: dict[str, int] = {}
        """By control node: the newest configuration that its disk holds as committed."""
        super().__init__(control_count + sidecars, seed, control_count, loss)

    # --- processes ---

    @property
    def control_nodes(self) -> list[str]:
        """The names of the control nodes."""
        return self.names[: self.control_count]

    @property
    def sidecars(self) -> list[str]:
        """The names of the sidecars."""
        return self.names[self.control_count :]

    def add(self, name: str, life: int = 1) -> None:
        """Start a process without any knowledge of the others."""
        ip, port = self.address(name)
        role = CONTROL if name in self.control_nodes else SIDECAR
        info = NodeInfo(ip=ip, port=port, role=role, protocol_version=self.protocol_version)
        gossip = Gossip(name, life, info, self.seeds, self.now, random.Random(self.rng.random()))
        self.gossips[name] = gossip
        self.processes[name] = Process(self, name, gossip)
        self.schedule_tick(name, self.now + TICK_INTERVAL * self.rng.random())
        if name in self.known_committed:
            process = self.processes[name]
            process.distributor.clock.call_later(LOAD_DELAY, lambda: self.activate_known(name))

    def activate_known(self, name: str) -> None:
        """Let a control node use the newest configuration that it knows to be committed."""
        index = self.known_committed[name]
        self.processes[name].distributor.activate_configuration(index, index, self.text(index))

    def process_at(self, address: Address) -> Process | None:
        """Return the process that runs at an address, or None."""
        name = self.names_by_address().get(address)
        return self.processes.get(name) if name is not None else None

    def stop(self, name: str, dark: bool = False) -> None:
        """Kill a process; ``dark``: by a loss of power, so that its connections and its machine are silent."""
        if name not in self.processes:
            return
        process = self.processes.pop(name)
        process.is_running = False
        del self.gossips[name]
        self.event_queue = [event for event in self.event_queue if event[2] != name]
        heapq.heapify(self.event_queue)
        if dark:
            self.dark.add(self.address(name))
        for other in self.processes.values():
            channel = other.channels.channels.get(self.address(name))
            if channel is not None and channel.connection is not None and (channel.open_calls or not dark):
                channel.on_silence(channel.connection)
            for connection in list(other.distributor.waiters.waiters):
                if isinstance(connection, AcceptedConnection) and connection.channel.caller is process:
                    other.distributor.waiters.drop(connection)

    def restart(self, name: str) -> None:
        """Start a process again, with what its disk holds."""
        self.dark.discard(self.address(name))
        if name not in self.processes:
            self.add(name, next(self.lives) + 1)

    def connect(self, share: float) -> None:
        """Connect a share of the pairs of sidecars, as their requests do."""
        for caller in self.sidecars:
            for target in self.sidecars:
                if caller != target and caller in self.processes and self.rng.random() < share:
                    self.processes[caller].channels.to(self.address(target)).connect()

    # --- configurations ---

    def text(self, index: int) -> bytes:
        """Return the configuration that was committed under an index; the index is its generation."""
        route = {
            "RouteClass": "idempotent",
            "DeadlineS": 3,
            "TargetLatencyS": 2,
            "Priority": 1,
            "MaxAttempts": 2,
            "Target": "a",
        }
        routes = {
            f"r{number}": {"Authority": "a.example", "PathPrefix": f"/{number}/", **route}
            for number in range(1 + self.idle_routes)
        }
        return json.dumps({"Generation": index, "Routes": routes, "Services": {"a": {}}}).encode()

    def activate(self, name: str) -> None:
        """Tell a control node that the newest configuration is committed."""
        if name in self.processes:
            self.known_committed[name] = self.committed
            self.activate_known(name)

    def active_index(self, name: str) -> int:
        """Return the index of the configuration that a process uses; 0 without one."""
        return self.processes[name].active.index

    # --- time ---

    def latency(self) -> float:
        """Return the delay of a frame."""
        return MIN_LATENCY + MAX_EXTRA_LATENCY * self.rng.random()

    def call_later(self, delay: float, callback: Callable[[], object]) -> SimulatedTimer:
        """Run ``callback`` after ``delay`` s."""
        timer = SimulatedTimer(callback)
        heapq.heappush(self.timers, (self.now + delay, next(self.timer_ids), timer))
        return timer

    def run(self, span: float) -> None:
        """Let ``span`` s pass."""
        until = self.now + span
        while True:
            timer_at = self.timers[0][0] if self.timers else until
            event_at = self.event_queue[0][0] if self.event_queue else until
            if min(timer_at, event_at) >= until:
                break
            if event_at < timer_at:
                super().run(max(0.0, event_at - self.now))
                continue
            self.now, _, timer = heapq.heappop(self.timers)
            if timer.callback is not None:
                timer.callback()
        self.now = until

    def flush(self, name: str) -> None:
        """Send the datagrams that a node has queued, and fetch the versions that it has heard of."""
        changes = self.gossips[name].changes
        announcers = [sender for record, sender in changes if record.kind == RecordKind.VERSION]
        super().flush(name)
        for announcer in announcers:
            self.processes[name].distributor.fetch_newer(announcer)
