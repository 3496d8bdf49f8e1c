"""A simulated cluster whose links have a limited rate and deliver messages in order, like TCP connections."""

from __future__ import annotations

import hashlib
import random
from functools import lru_cache

import orjson

from ..consensus.messages import MessageKind, Reply, Send
from ..consensus.replica import Replica
from ..consensus.text_exchange import TextExchange
from ..transport.mesh_pb2 import ConsensusMessage, LogEntry, Voter
from .members import Machine, World

MEGABIT = 125_000.0  # bytes per s
STORM_INTERVAL = 0.5  # s between two changes while operators keep changing the configuration
ROUTE_BYTES = 190  # approximate size of a route in :func:`config_text`


@lru_cache(8)
def make_routes(size: int, kind: int) -> list[bytes]:
    """Return the serialized routes of a configuration of about ``size`` bytes, sorted by name."""
    rng = random.Random(size * 1000 + kind)
    table = {}
    for _ in range(max(size // ROUTE_BYTES, 1)):
        table[f"r-{rng.getrandbits(40):x}"] = {
            "Authority": f"h{rng.getrandbits(24):x}.example",
            "DeadlineS": rng.randrange(1, 40) / 10,
            "MaxAttempts": 2,
            "PathPrefix": f"/p{rng.getrandbits(32):x}/",
            "Priority": rng.randrange(3),
            "RouteClass": rng.choice(("idempotent", "non_idempotent")),
            "TargetLatencyS": 0.2,
            "WeightedTargets": [{"Target": f"s{rng.randrange(200)}a", "Weight": 100}],
        }
    return [b'"%b":%b' % (name.encode(), orjson.dumps(table[name])) for name in sorted(table)]


def config_text(size: int, generation: int, kind: int = 0) -> bytes:
    """Return a configuration in which each generation changes three routes; different kinds have no route in common."""
    routes = list(make_routes(size, kind))
    for n in range(3):
        index = (generation * 7919 + n * 104729) % len(routes)
        routes[index] = routes[index].replace(b"0.2", b"%d" % generation)
    return b'{"Generation":%d,"Routes":{%b}}' % (generation, b",".join(routes))


class SlowLinkWorld(World):
    """A cluster whose links transmit ``rate`` bytes a second.

    Args:
        seed: Seeds the generator of all random choices.
        rate: Bytes a second of each link, in each direction.
        exchange: False: configurations are sent inline in messages, as in the version before the text exchange.
        old: Addresses of the members that run that version.
        kind: Class of the replicas.
    """

    def __init__(
        self, seed: int, rate: float, exchange: bool = True, old: tuple[str, ...] = (), kind: type[Replica] = Replica
    ) -> None:
        self.rate, self.exchange, self.old = rate, exchange, old
        self.texts: dict[str, TextExchange] = {}
        self.free_at: dict[tuple[str, str], float] = {}
        """By link: when it has transmitted everything that was put on it."""
        self.queued = 0.0
        """The longest time in s that a message waited for earlier ones on its link."""
        self.max_heartbeat_delay = 0.0
        """The longest time in s between a leader's sending a plain heartbeat and the end of its transmission."""
        self.snapshots = 0
        """Number of heartbeats that carried a committed entry to a lagging member."""
        self.sent_bytes: dict[tuple[str, str], int] = {}
        self.generation = 0
        self.confirmed = 0
        """The newest generation that was acknowledged to an operator."""
        self.stale_reads: list[tuple[int, int]] = []
        """Reads that returned an older generation than was acknowledged before them: call id, that generation."""
        self.expected_generations: dict[int, int] = {}
        """By call id: the generation of a change, or the newest one that was acknowledged when a read began."""
        super().__init__(seed, kind=kind)
        self.synced = 1.0

    def start(self, ip: str) -> None:
        """Start the process of a machine with what is on its disk."""
        super().start(ip)
        m = self.machines[ip]
        texts = TextExchange(Voter(disk=m.disk.name, name=ip, ip=ip, port=1))
        if m.disk.accepted is not None and m.disk.accepted.text:
            texts.store.add(m.disk.accepted.text)
        self.texts[ip] = texts

    def uses_text_exchange(self, ip: str) -> bool:
        """Return whether a member exchanges configurations by digest and blocks."""
        return self.exchange and ip not in self.old

    def send(self, m: Machine, action: Send) -> None:
        """Put a message on its link, through the text exchange if the member uses it."""
        if action.to.disk == m.disk.name:
            self.in_flight.append((self.now, m.ip, m.ip, action.message))
        elif self.uses_text_exchange(m.ip):
            for prepared in self.texts[m.ip].outgoing(self.now, action):
                self.put_on_link(m.ip, prepared)
        else:
            self.put_on_link(m.ip, action)

    def put_on_link(self, sender: str, send: Send) -> None:
        """Transmit a message after those that are already on its link, unless it is lost."""
        link = (sender, send.to.ip)
        if self.loss and self.rng.random() < self.loss:
            return
        message = ConsensusMessage()
        message.CopyFrom(send.message)
        size = message.ByteSize()
        begins = max(self.now, self.free_at.get(link, 0.0))
        self.free_at[link] = begins + size / self.rate
        self.sent_bytes[link] = self.sent_bytes.get(link, 0) + size
        self.queued = max(self.queued, begins - self.now)
        if message.kind == MessageKind.HEARTBEAT and not message.HasField("committed"):
            self.max_heartbeat_delay = max(self.max_heartbeat_delay, self.free_at[link] - self.now)
        self.snapshots += message.kind == MessageKind.HEARTBEAT and message.HasField("committed")
        self.in_flight.append((self.free_at[link] + self.delay, sender, send.to.ip, message))

    def run(self, span: float, step: float = 0.01) -> None:
        """Let ``span`` s pass, in steps of ``step`` s; messages are delivered in the order of their arrival."""
        until = self.now + span
        while self.now < until:
            self.now += step
            for ip in list(self.machines):
                self.step(ip)
            due = sorted((p for p in self.in_flight if p[0] <= self.now), key=lambda p: p[0])
            self.in_flight = [p for p in self.in_flight if p[0] > self.now]
            for _, sender, target, message in due:
                self.deliver_from_link(sender, target, message)

    def deliver_from_link(self, sender: str, target: str, message: ConsensusMessage) -> None:
        """Pass a message through the receiver's text exchange and deliver what is complete, unless the link is cut."""
        m = self.machines.get(target)
        if m is None or m.replica is None or (sender, target) in self.cut:
            return
        completed = [message]
        if sender != target and self.uses_text_exchange(target):
            completed = self.texts[target].incoming(self.now, message)
        for ready in completed:
            self.deliver(m, ready)
        self.carry_out(m)

    def step(self, ip: str) -> None:
        """Let the text exchange of a process tick, then the process itself."""
        if self.machines[ip].replica is not None:
            self.texts[ip].tick(self.now)
        super().step(ip)

    def carry_out(self, m: Machine) -> None:
        """Carry out the actions of a replica, and send what its text exchange has queued."""
        super().carry_out(m)
        sends, self.texts[m.ip].outbox = self.texts[m.ip].outbox, []
        for send in sends:
            self.put_on_link(m.ip, send)

    def check_agreement(self, entry: LogEntry) -> None:
        """As in :class:`World`, but keeps digests, because the entries are large."""
        normalized = LogEntry()
        normalized.CopyFrom(entry)
        normalized.term = 0
        text = hashlib.blake2b(normalized.SerializeToString(deterministic=True)).digest()
        known = self.committed.setdefault(entry.index, text)
        assert known == text, f"two different entries are committed under index {entry.index}"

    def record_reply(self, action: Reply) -> None:
        """Record an acknowledged change, or a read that returned too old a generation."""
        expected = self.expected_generations.pop(action.call_id)
        if action.status != 200:
            return
        if not action.text:
            self.confirmed = max(self.confirmed, expected)
        elif int(action.text[len(b'{"Generation":') :].split(b",")[0]) < expected:
            self.stale_reads.append((action.call_id, expected))

    # --- for tests ---

    def replica(self, ip: str) -> Replica:
        """Return the running replica of a machine."""
        found = self.machines[ip].replica
        assert found is not None
        return found

    def change(self, size: int, kind: int = 0) -> int:
        """Request a change on top of the leader's committed one; return its generation, or 0 without a leader."""
        leaders = self.leaders()
        if not leaders:
            return 0
        leader = self.replica(leaders[0])
        self.generation = max(self.generation, leader.committed.generation) + 1
        self.calls += 1
        self.expected_generations[self.calls] = self.generation
        text = config_text(size, self.generation, kind)
        digest = b"%016d" % self.generation
        leader.change(self.now, self.calls, leader.committed.generation, self.generation, text, digest)
        self.carry_out(self.machines[leaders[0]])
        return self.generation

    def read(self, ip: str) -> None:
        """Request the configuration from a member; :meth:`record_reply` checks the reply."""
        self.calls += 1
        self.expected_generations[self.calls] = self.confirmed
        self.replica(ip).read(self.now, self.calls)
        self.carry_out(self.machines[ip])

    def run_until_caught_up(self, ip: str, storm: int = 0, kind: int = 0, most: float = 60.0) -> float:
        """Run until a member has committed what the newest one had committed a second before.

        Args:
            ip: Address of the member.
            storm: Size in bytes of the configuration that operators keep changing meanwhile; 0: no changes.
            kind: Kind of that configuration.
            most: Seconds after which to give up.

        Returns:
            The seconds that passed.
        """
        began, changed_at = self.now, self.now
        newest_indexes = [(self.now, self.newest().index)]
        while self.now - began < most:
            self.run(0.05)
            if storm and self.now - changed_at >= STORM_INTERVAL:
                changed_at = self.now
                self.change(storm, kind)
            newest_indexes.append((self.now, self.newest().index))
            target = max((index for at, index in newest_indexes if at <= self.now - 1.0), default=newest_indexes[0][1])
            if self.replica(ip).committed.index >= target:
                break
        return self.now - began
