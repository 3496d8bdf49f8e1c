"""A world of members whose links carry only so many bytes a second, each in its order, as TCP does."""

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
STORM_EACH = 0.5  # s between two changes of a storm
ROUTE_BYTES = 190  # of a route in :func:`config_text`, about


@lru_cache(8)
def routes_of(size: int, kind: int) -> list[bytes]:
    """The routes of a configuration of about ``size`` bytes, in the order of their names."""
    drawn = random.Random(size * 1000 + kind)
    table = {}
    for _ in range(max(size // ROUTE_BYTES, 1)):
        table[f"r-{drawn.getrandbits(40):x}"] = {
            "Authority": f"h{drawn.getrandbits(24):x}.example",
            "DeadlineS": drawn.randrange(1, 40) / 10,
            "MaxAttempts": 2,
            "PathPrefix": f"/p{drawn.getrandbits(32):x}/",
            "Priority": drawn.randrange(3),
            "RouteClass": drawn.choice(("idempotent", "non_idempotent")),
            "TargetLatencyS": 0.2,
            "WeightedTargets": [{"Target": f"s{drawn.randrange(200)}a", "Weight": 100}],
        }
    return [b'"%b":%b' % (name.encode(), orjson.dumps(table[name])) for name in sorted(table)]


def config_text(size: int, generation: int, kind: int = 0) -> bytes:
    """A configuration in which each generation has changed three routes; one of another kind shares nothing with it."""
    routes = list(routes_of(size, kind))
    for n in range(3):
        at = (generation * 7919 + n * 104729) % len(routes)
        routes[at] = routes[at].replace(b"0.2", b"%d" % generation)
    return b'{"Generation":%d,"Routes":{%b}}' % (generation, b",".join(routes))


class SlowLinkWorld(World):
    """``exchange`` False: texts go whole in their messages, as in the version before."""

    def __init__(
        self, seed: int, rate: float, exchange: bool = True, old: tuple[str, ...] = (), kind: type[Replica] = Replica
    ) -> None:
        self.rate, self.exchange, self.old = rate, exchange, old
        self.texts: dict[str, TextExchange] = {}
        self.free_at: dict[tuple[str, str], float] = {}
        """When a link has sent what was put on it."""
        self.queued = 0.0
        """The longest span in s for which a message waited for those before it on its link."""
        self.max_heartbeat_delay = 0.0
        """The longest span in s between a leader's saying something small and its arrival."""
        self.snapshots = 0
        """Messages that brought a committed entry to a member that lacked it."""
        self.sent_bytes: dict[tuple[str, str], int] = {}
        self.generation = 0
        self.confirmed = 0
        """The newest generation that was acknowledged to an operator."""
        self.stale_reads: list[tuple[int, int]] = []
        """Reads that were answered with less than had been acknowledged before they were asked."""
        self.promised: dict[int, int] = {}
        """By call: a change's generation, or what was acknowledged when a read was asked."""
        super().__init__(seed, kind=kind)
        self.synced = 1.0

    def start(self, ip: str) -> None:
        super().start(ip)
        m = self.machines[ip]
        texts = TextExchange(Voter(disk=m.disk.name, name=ip, ip=ip, port=1))
        if m.disk.accepted is not None and m.disk.accepted.text:
            texts.store.add(m.disk.accepted.text)
        self.texts[ip] = texts

    def speaks_texts(self, ip: str) -> bool:
        return self.exchange and ip not in self.old

    def send(self, m: Machine, act: Send) -> None:
        if act.to.disk == m.disk.name:
            self.post.append((self.now, m.ip, m.ip, act.message))
        elif self.speaks_texts(m.ip):
            for ready in self.texts[m.ip].outgoing(self.now, act):
                self.put_on_link(m.ip, ready)
        else:
            self.put_on_link(m.ip, act)

    def put_on_link(self, sender: str, send: Send) -> None:
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
        self.post.append((self.free_at[link] + self.delay, sender, send.to.ip, message))

    def run(self, span: float, step: float = 0.01) -> None:
        until = self.now + span
        while self.now < until:
            self.now += step
            for ip in list(self.machines):
                self.step(ip)
            due = sorted((p for p in self.post if p[0] <= self.now), key=lambda p: p[0])
            self.post = [p for p in self.post if p[0] > self.now]
            for _, sender, to, message in due:
                self.arrive_by_link(sender, to, message)

    def arrive_by_link(self, sender: str, to: str, message: ConsensusMessage) -> None:
        m = self.machines.get(to)
        if m is None or m.replica is None or (sender, to) in self.cut:
            return
        whole = [message]
        if sender != to and self.speaks_texts(to):
            whole = self.texts[to].incoming(self.now, message)
        for ready in whole:
            self.deliver(m, ready)
        self.carry_out(m)

    def step(self, ip: str) -> None:
        if self.machines[ip].replica is not None:
            self.texts[ip].tick(self.now)
        super().step(ip)

    def carry_out(self, m: Machine) -> None:
        super().carry_out(m)
        sends, self.texts[m.ip].outbox = self.texts[m.ip].outbox, []
        for send in sends:
            self.put_on_link(m.ip, send)

    def check(self, entry: LogEntry) -> None:
        """As in :class:`World`, by digest: the texts are large."""
        kept = LogEntry()
        kept.CopyFrom(entry)
        kept.term = 0
        text = hashlib.blake2b(kept.SerializeToString(deterministic=True)).digest()
        known = self.committed.setdefault(entry.index, text)
        assert known == text, f"two entries are committed under number {entry.index}"

    def answer(self, act: Reply) -> None:
        bound = self.promised.pop(act.call_id)
        if act.status != 200:
            return
        if not act.text:
            self.confirmed = max(self.confirmed, bound)
        elif int(act.text[len(b'{"Generation":') :].split(b",")[0]) < bound:
            self.stale_reads.append((act.call_id, bound))

    # --- what tests do ---

    def replica(self, ip: str) -> Replica:
        found = self.machines[ip].replica
        assert found is not None
        return found

    def change(self, size: int, kind: int = 0) -> int:
        """An operator's order on top of what is committed, at the leader; its generation, or 0 without a leader."""
        leaders = self.leaders()
        if not leaders:
            return 0
        leader = self.replica(leaders[0])
        self.generation = max(self.generation, leader.committed.generation) + 1
        self.calls += 1
        self.promised[self.calls] = self.generation
        text = config_text(size, self.generation, kind)
        digest = b"%016d" % self.generation
        leader.change(self.now, self.calls, leader.committed.generation, self.generation, text, digest)
        self.carry_out(self.machines[leaders[0]])
        return self.generation

    def read(self, ip: str) -> None:
        """An operator's read at a member; what it is answered is judged in :meth:`answer`."""
        self.calls += 1
        self.promised[self.calls] = self.confirmed
        self.replica(ip).read(self.now, self.calls)
        self.carry_out(self.machines[ip])

    def run_until_caught_up(self, ip: str, storm: int = 0, kind: int = 0, most: float = 60.0) -> float:
        """Run until a member has committed what the leader had a second before, or ``most`` s have gone; the s it
        took. ``storm``: bytes of the configuration that operators go on changing meanwhile, twice a second."""
        began, changed_at = self.now, self.now
        behind = [(self.now, self.newest().index)]
        while self.now - began < most:
            self.run(0.05)
            if storm and self.now - changed_at >= STORM_EACH:
                changed_at = self.now
                self.change(storm, kind)
            behind.append((self.now, self.newest().index))
            target = max((number for at, number in behind if at <= self.now - 1.0), default=behind[0][1])
            if self.replica(ip).committed.index >= target:
                break
        return self.now - began
