"""One process in the gossip: takes datagrams and ticks, and leaves datagrams and changed records. Pure.

Instants are in s, of any clock that only moves forward; they and random numbers are handed in.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable
from random import Random

from ...core.protocol import Address
from ..transport.mesh_pb2 import GossipMessage, NodeInfo, Record
from .anti_entropy import DIGEST_INTERVAL, AntiEntropy
from .broadcasts import Broadcasts
from .failure_detector import FailureDetector
from .members import Members
from .orphans import OrphanDetector
from .record_store import RecordStore
from .records import MemberState, RecordKey, RecordKind, is_valid, precedence, record_key
from .transmitter import DEFAULT_GOSSIP_RATE, GossipCounters, Transmitter

TICK_INTERVAL = 0.2  # s between two calls of Gossip.tick
STALL_THRESHOLD = 3 * TICK_INTERVAL  # s between two ticks from which on this process itself stood still
MAX_RECORDS = 100_000  # that are held: a mesh has a few for each machine
MAX_REASON_LENGTH = 300  # characters


class Gossip:
    """Membership and records of one process.

    Call :meth:`tick` each :data:`TICK_INTERVAL`, :meth:`receive` with each datagram, and :meth:`broadcast` with each
    record that is new here. Afterwards send what is in ``transmitter.outbox``, and read ``changes``.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        info: NodeInfo,
        seeds: Iterable[Address],
        now: float,
        rng: Random,
        rate: float = DEFAULT_GOSSIP_RATE,
    ) -> None:
        """``incarnation`` is higher than at any earlier start of this process; ``rate`` is in bytes/s."""
        numbers = itertools.count(1)
        self.name = name
        self.rng = rng
        self.counters = GossipCounters()
        self.records = RecordStore()
        self.members = Members(name, self.records, rng)
        self.transmitter = Transmitter(self.members, self.counters, rate)
        self.broadcasts = Broadcasts(self.transmitter, numbers, now)
        self.failure_detector = FailureDetector(self.transmitter, numbers, self.declare, now)
        self.anti_entropy = AntiEntropy(self.transmitter, seeds, now)
        self.orphan_detector = OrphanDetector()
        self.changes: list[tuple[Record, str]] = []
        """Records that are new here since this was last emptied, each with the process that sent it."""
        self.ticked_at = now
        self.digests_sent_at = -math.inf
        own = Record(
            kind=RecordKind.NODE, id=name, incarnation=incarnation, seq=1, rank=0, body=info.SerializeToString()
        )
        self.records.apply(now, own)
        self.broadcasts.enqueue(record_key(own))

    def own_record(self) -> Record:
        """The record of this process."""
        return self.records.by_key[RecordKey(RecordKind.NODE, self.name)]

    # --- records from here ---

    def broadcast(self, now: float, record: Record) -> bool:
        """Spread a record from here, at once. False where one that takes precedence is held."""
        if not self.records.apply(now, record):
            return False
        self.changes.append((record, self.name))
        self.broadcasts.enqueue(record_key(record))
        self.broadcasts.retransmit()
        return True

    def broadcast_confirmed(self, now: float, record: Record, recipients: Iterable[str]) -> int:
        """Spread a record, and send it to ``recipients`` until each has confirmed it.

        Returns a number for ``broadcasts.confirmed``, from which the caller removes it.
        """
        self.broadcast(now, record)
        return self.broadcasts.begin_confirmed(now, record, recipients)

    def leave(self, now: float) -> None:
        """Say that this process ends in order."""
        own = self.own_record()
        self.broadcast(
            now,
            Record(
                kind=RecordKind.NODE,
                id=self.name,
                incarnation=own.incarnation,
                seq=own.seq,
                rank=MemberState.LEFT,
                body=own.body,
            ),
        )

    def declare(self, now: float, name: str, state: MemberState, reason: str) -> None:
        """Spread what was found about another; it may refute that with a higher ``seq``."""
        record = self.records.get(RecordKind.NODE, name)
        if record is None or record.rank >= state:
            return
        if state is MemberState.SUSPECT:
            self.counters.suspected += 1
        else:
            self.counters.dead += 1
        info = NodeInfo.FromString(record.body)
        info.declared_by, info.reason = self.name, reason[:MAX_REASON_LENGTH]
        self.broadcast(
            now,
            Record(
                kind=RecordKind.NODE,
                id=name,
                incarnation=record.incarnation,
                seq=record.seq,
                rank=state,
                body=info.SerializeToString(),
            ),
        )
        self.failure_detector.on_node_record(now, self.records.by_key[RecordKey(RecordKind.NODE, name)])

    # --- ticks ---

    def tick(self, now: float) -> None:
        """Do what is due."""
        elapsed = now - self.ticked_at
        self.ticked_at = self.broadcasts.ticked_at = now
        self.transmitter.refill(elapsed)
        if elapsed > STALL_THRESHOLD:
            self.failure_detector.after_stall(now)
        self.records.expire(now)
        for record in self.orphan_detector.find_ended(now, self.records):
            self.broadcast(now, record)
        self.broadcasts.retransmit()
        self.broadcasts.resend_unconfirmed(now)
        self.failure_detector.tick(now)
        if now - self.digests_sent_at >= DIGEST_INTERVAL:
            self.digests_sent_at = now
            self.anti_entropy.send_digests(now)

    # --- datagrams of others ---

    def receive(self, now: float, message: GossipMessage, source: Address) -> None:
        """Handle a datagram that came from ``source``."""
        name = message.sender
        if not name or name == self.name:
            self.counters.dropped += 1
            return
        self.counters.received += 1
        merged = [self.merge(now, record, name) for record in message.records]
        self.failure_detector.on_heard(now, name)
        if message.receipt_request:
            self.broadcasts.answer_receipt_request(name, message)
        if message.receipt:
            self.broadcasts.on_receipt(message.receipt, name)
        if message.ping:
            self.failure_detector.on_ping(name, message)
        if message.ack:
            self.failure_detector.on_ack(now, name, message.ack)
        self.correct_sender(name, message.incarnation)
        if message.root_digest:
            self.anti_entropy.on_root_digest(name, source, message.root_digest)
        if message.digests:
            self.anti_entropy.on_digests(name, source, message)
        if message.ranges:
            self.anti_entropy.on_versions(name, source, message)
        if message.wanted:
            self.broadcasts.send_requested(name, message)
        if any(merged):
            self.anti_entropy.joined = True
            self.broadcasts.retransmit()

    def correct_sender(self, name: str, incarnation: int) -> None:
        """Tell a sender what is held about it, where it is suspect, dead, or of a later incarnation than it says.

        It may refute that. The incarnation is lower than the one held where its clock was ahead before.
        """
        known = self.records.get(RecordKind.NODE, name)
        if known is None:
            return
        if incarnation < known.incarnation or known.rank in (MemberState.SUSPECT, MemberState.DEAD):
            self.transmitter.send(name, GossipMessage(records=[known, *self.records.config_version()]))

    def merge(self, now: float, record: Record, sender: str) -> bool:
        """Take in a record of another; whether it is new here."""
        key = record_key(record)
        if key == RecordKey(RecordKind.NODE, self.name):
            self.refute(now, record)
            return False
        is_full = len(self.records.by_key) >= MAX_RECORDS
        if not is_valid(record) or (is_full and key not in self.records.by_key):
            self.counters.dropped += 1
            return False
        if not self.records.apply(now, record):
            return False
        if record.kind == RecordKind.NODE:
            self.failure_detector.on_node_record(now, record)
        self.changes.append((record, sender))
        self.broadcasts.enqueue(key)
        return True

    def refute(self, now: float, record: Record) -> None:
        """Answer a record of this process that another holds, and that this one didn't make.

        Another takes this process for gone, or an earlier incarnation of it had a clock that was ahead.
        """
        own = self.own_record()
        if precedence(record) <= precedence(own) or not (record.rank or record.incarnation > own.incarnation):
            return
        self.counters.refuted += 1
        self.broadcast(
            now,
            Record(
                kind=RecordKind.NODE,
                id=self.name,
                incarnation=record.incarnation,
                seq=record.seq + 1,
                rank=own.rank,
                body=own.body,
            ),
        )
