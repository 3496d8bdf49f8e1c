"""Swarms in simulated time: datagrams that are lost, doubled and late, cuts one way and both, processes that freeze."""

from __future__ import annotations

import heapq
import itertools
import random

from ..membership.gossip import TICK_INTERVAL, Gossip
from ..membership.records import RecordKind
from ..transport.mesh_pb2 import GossipMessage, NodeInfo, Record

Address = tuple[str, int]


class Field:
    """Swarms by name; the first ``seeds`` of them are the seeds of all."""

    def __init__(self, count: int, seed: int = 1, seeds: int = 3, loss: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.speaks = 3
        self.now = 0.0
        self.loss = loss
        self.duplicates = 0.0
        self.gossips: dict[str, Gossip] = {}
        self.cut: set[tuple[str, str]] = set()
        self.frozen: dict[str, list[tuple[bytes, Address]]] = {}
        self.agenda: list[tuple[float, int, str, bytes, Address]] = []
        self.order = itertools.count()
        self.bytes = self.datagrams = self.longest = 0
        self.deaths: list[tuple[float, str, str]] = []
        self.names = [f"b{n}" for n in range(count)]
        self.seeds = [self.address(n) for n in self.names[:seeds]]
        for n in self.names:
            self.add(n)

    def address(self, name: str) -> Address:
        return f"10.0.{int(name[1:]) // 250}.{int(name[1:]) % 250}", 7

    def add(self, name: str, life: int = 1) -> None:
        ip, port = self.address(name)
        info = NodeInfo(ip=ip, port=port, role="forager", protocol_version=self.speaks)
        self.gossips[name] = Gossip(name, life, info, self.seeds, self.now, random.Random(self.rng.random()))
        self.turn_at(name, self.now + TICK_INTERVAL * self.rng.random())

    def turn_at(self, name: str, at: float) -> None:
        heapq.heappush(self.agenda, (at, next(self.order), name, b"", ("", 0)))

    def run(self, span: float) -> None:
        until = self.now + span
        while self.agenda and self.agenda[0][0] <= until:
            self.now, _, name, data, sender = heapq.heappop(self.agenda)
            gossip = self.gossips.get(name)
            if not data:
                if gossip is None:
                    continue
                self.turn_at(name, self.now + TICK_INTERVAL)
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
        gossip = self.gossips[name]
        out, gossip.transmitter.outbox = gossip.transmitter.outbox, []
        for record, _ in gossip.changes:
            if record.kind == 1 and record.rank == 2:
                self.deaths.append((self.now, name, record.id))
        gossip.changes.clear()
        names = {self.address(n): n for n in self.gossips} if len(self.gossips) < 30 else self.book()
        for address, message in out:
            data = message.SerializeToString()
            self.bytes += len(data)
            self.datagrams += 1
            self.longest = max(self.longest, len(data))
            to = names.get(address)
            if to is None or (name, to) in self.cut:
                continue
            for _ in range(2 if self.rng.random() < self.duplicates else 1):
                if self.rng.random() >= self.loss:
                    at = self.now + 0.002 + 0.01 * self.rng.random()
                    heapq.heappush(self.agenda, (at, next(self.order), to, data, self.address(name)))

    def book(self) -> dict[Address, str]:
        if not hasattr(self, "known") or len(self.known) != len(self.gossips):
            self.known: dict[Address, str] = {self.address(n): n for n in self.gossips}
        return self.known

    def freeze(self, name: str) -> None:
        self.frozen[name] = []

    def thaw(self, name: str) -> None:
        """What the kernel held is read first."""
        for data, sender in self.frozen.pop(name):
            self.gossips[name].receive(self.now, GossipMessage.FromString(data), sender)
        self.flush(name)

    def tell(self, name: str, record: Record) -> None:
        self.gossips[name].broadcast(self.now, record)
        self.flush(name)

    def count_holders(self, record: Record) -> int:
        return sum(
            (r := s.records.get(record.kind, record.id)) is not None
            and (r.incarnation, r.seq, r.rank) == (record.incarnation, record.seq, record.rank)
            for s in self.gossips.values()
        )

    def time_to_reach_all(self, record: Record, most: float = 10.0) -> float:
        """s until everybody knows a piece of news."""
        began = self.now
        while self.count_holders(record) < len(self.gossips):
            self.run(0.02)
            if self.now - began > most:
                return float("inf")
        return self.now - began


def endpoint(name: str = "e1", seq: int = 1, rank: int = 0, life: int = 0) -> Record:
    return Record(kind=RecordKind.ENDPOINT, id=name, incarnation=life, seq=seq, rank=rank, body=b"")
