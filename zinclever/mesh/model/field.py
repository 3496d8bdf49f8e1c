"""Simulated gossip between many nodes: lost, duplicated and delayed datagrams, partitions and frozen processes."""

from __future__ import annotations

import heapq
import itertools
import random

from ..membership.gossip import TICK_INTERVAL, Gossip
from ..membership.records import RecordKind
from ..transport.mesh_pb2 import GossipMessage, NodeInfo, Record

Address = tuple[str, int]


class Field:
    """The simulated nodes by name, ``b0`` and so on; the first ``seeds`` of them are the seed nodes of all."""

    def __init__(self, count: int, seed: int = 1, seeds: int = 3, loss: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.protocol_version = 3
        self.now = 0.0
        self.loss = loss
        self.duplicates = 0.0
        """Probability that a datagram is duplicated."""
        self.gossips: dict[str, Gossip] = {}
        self.cut: set[tuple[str, str]] = set()
        """Directions, as (sender, target), in which all datagrams are lost."""
        self.frozen: dict[str, list[tuple[bytes, Address]]] = {}
        """By name of a frozen node: the datagrams that its kernel buffers, with their senders."""
        self.event_queue: list[tuple[float, int, str, bytes, Address]] = []
        """Heap of instant, sequence number, target, datagram (empty for a tick) and sender."""
        self.reused_addresses: dict[str, Address] = {}
        """By name of a node: its address, which belonged to another node before."""
        self.sequence = itertools.count()
        self.bytes = self.datagrams = self.longest = 0
        """Bytes and datagrams sent, and the size of the largest datagram."""
        self.deaths: list[tuple[float, str, str]] = []
        """Nodes that were declared dead: when, by which node, and which one."""
        self.names = [f"b{n}" for n in range(count)]
        self.seeds = [self.address(n) for n in self.names[:seeds]]
        for n in self.names:
            self.add(n)

    def address(self, name: str) -> Address:
        """Return the address of a node."""
        if name in self.reused_addresses:
            return self.reused_addresses[name]
        return f"10.0.{int(name[1:]) // 250}.{int(name[1:]) % 250}", 7

    def add(self, name: str, life: int = 1) -> None:
        """Start a node; ``life`` is its incarnation."""
        ip, port = self.address(name)
        info = NodeInfo(ip=ip, port=port, role="forager", protocol_version=self.protocol_version)
        self.gossips[name] = Gossip(name, life, info, self.seeds, self.now, random.Random(self.rng.random()))
        self.schedule_tick(name, self.now + TICK_INTERVAL * self.rng.random())

    def schedule_tick(self, name: str, at: float) -> None:
        """Schedule a tick of a node."""
        heapq.heappush(self.event_queue, (at, next(self.sequence), name, b"", ("", 0)))

    def run(self, span: float) -> None:
        """Let ``span`` s pass."""
        until = self.now + span
        while self.event_queue and self.event_queue[0][0] <= until:
            self.now, _, name, data, sender = heapq.heappop(self.event_queue)
            gossip = self.gossips.get(name)
            if not data:
                if gossip is None:
                    continue
                self.schedule_tick(name, self.now + TICK_INTERVAL)
                if name not in self.frozen:
                    gossip.tick(self.now)
            elif name in self.frozen:
                self.frozen[name].append((data, sender))
                continue
            elif gossip is not None:
                gossip.receive(self.now, GossipMessage.FromString(data), sender)
            if gossip is not None and name not in self.frozen:
                self.flush(name)
        self.now = until

    def flush(self, name: str) -> None:
        """Send the datagrams that a node has queued, and note which nodes it has declared dead."""
        gossip = self.gossips[name]
        outbox, gossip.transmitter.outbox = gossip.transmitter.outbox, []
        for record, _ in gossip.changes:
            if record.kind == 1 and record.rank == 2:
                self.deaths.append((self.now, name, record.id))
        gossip.changes.clear()
        names = {self.address(n): n for n in self.gossips} if len(self.gossips) < 30 else self.names_by_address()
        for address, message in outbox:
            data = message.SerializeToString()
            self.bytes += len(data)
            self.datagrams += 1
            self.longest = max(self.longest, len(data))
            target = names.get(address)
            if target is None or (name, target) in self.cut:
                continue
            for _ in range(2 if self.rng.random() < self.duplicates else 1):
                if self.rng.random() >= self.loss:
                    at = self.now + 0.002 + 0.01 * self.rng.random()
                    heapq.heappush(self.event_queue, (at, next(self.sequence), target, data, self.address(name)))

    def names_by_address(self) -> dict[Address, str]:
        """Return the nodes' names by address, cached until the number of nodes changes."""
        if not hasattr(self, "known") or len(self.known) != len(self.gossips):
            self.known: dict[Address, str] = {self.address(n): n for n in self.gossips}
        return self.known

    def freeze(self, name: str) -> None:
        """Freeze a node's process; its kernel buffers incoming datagrams."""
        self.frozen[name] = []

    def thaw(self, name: str) -> None:
        """Let a frozen node run again; it reads the buffered datagrams first."""
        for data, sender in self.frozen.pop(name):
            self.gossips[name].receive(self.now, GossipMessage.FromString(data), sender)
        self.flush(name)

    def tell(self, name: str, record: Record) -> None:
        """Let a node broadcast a record."""
        self.gossips[name].broadcast(self.now, record)
        self.flush(name)

    def count_holders(self, record: Record) -> int:
        """Return how many nodes hold exactly this version of a record."""
        return sum(
            (held := gossip.records.get(record.kind, record.id)) is not None
            and (held.incarnation, held.seq, held.rank) == (record.incarnation, record.seq, record.rank)
            for gossip in self.gossips.values()
        )

    def time_to_reach_all(self, record: Record, limit: float = 10.0) -> float:
        """Run until all nodes hold a record, and return the time that it took in s; infinity beyond ``limit`` s."""
        began = self.now
        while self.count_holders(record) < len(self.gossips):
            self.run(0.02)
            if self.now - began > limit:
                return float("inf")
        return self.now - began


def endpoint(name: str = "e1", seq: int = 1, rank: int = 0, life: int = 0) -> Record:
    """Return an endpoint record without a body; ``life`` is its incarnation."""
    return Record(kind=RecordKind.ENDPOINT, id=name, incarnation=life, seq=seq, rank=rank, body=b"")
