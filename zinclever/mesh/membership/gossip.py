"""Gossip protocol of one process: consumes datagrams and ticks, and produces datagrams and record changes. No I/O.

The caller supplies the time, in seconds on a monotonic clock, and the random number generator.
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
STALL_THRESHOLD = 3 * TICK_INTERVAL  # s between two ticks beyond which this process counts as stalled
MAX_RECORDS = 100_000  # records held; a mesh has a few per machine
MAX_REASON_LENGTH = 300  # characters


class Gossip:
    """Membership and records of one process.

    Call :meth:`tick` every :data:`TICK_INTERVAL`, :meth:`receive` with each datagram, and :meth:`broadcast` with each
    record that originates here. After each call, send the messages in ``transmitter.outbox`` and process ``changes``.
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
        """Create the node record of this process and queue it for dissemination.

        Args:
            name: Name of this node.
            incarnation: Has to be higher than at any earlier start of this node.
            info: Body of the node record.
            seeds: Addresses that are contacted to join the mesh.
            now: Current time in seconds.
            rng: Selects peers and jitter.
            rate: Bytes per second that background records may use.
        """
        ids = itertools.count(1)
        self.name = name
        self.rng = rng
        self.counters = GossipCounters()
        self.records = RecordStore()
        self.members = Members(name, self.records, rng)
        self.transmitter = Transmitter(self.members, self.counters, rate)
        self.broadcasts = Broadcasts(self.transmitter, ids, now)
        self.failure_detector = FailureDetector(self.transmitter, ids, self.declare, now)
        self.anti_entropy = AntiEntropy(self.transmitter, seeds, now)
        self.orphan_detector = OrphanDetector()
        self.changes: list[tuple[Record, str]] = []
        """Records that have changed here since the caller last emptied the list, each with the node that sent it."""
        self.ticked_at = now
        self.digests_sent_at = -math.inf
        own = Record(
            kind=RecordKind.NODE, id=name, incarnation=incarnation, seq=1, rank=0, body=info.SerializeToString()
        )
        self.records.apply(now, own)
        self.broadcasts.enqueue(record_key(own))

    def own_record(self) -> Record:
        """Return the node record of this process."""
        return self.records.by_key[RecordKey(RecordKind.NODE, self.name)]

    # --- local records ---

    def broadcast(self, now: float, record: Record) -> bool:
        """Apply a local record and send it to other nodes at once.

        Returns:
            False if the held record of the same key takes precedence, in which case nothing is sent.
        """
        if not self.records.apply(now, record):
            return False
        self.changes.append((record, self.name))
        self.broadcasts.enqueue(record_key(record))
        self.broadcasts.retransmit()
        return True

    def broadcast_confirmed(self, now: float, record: Record, recipients: Iterable[str]) -> int:
        """Broadcast a record, and resend it to ``recipients`` until each has confirmed it.

        Returns:
            The id of the entry in ``broadcasts.awaiting_receipts``, which the caller has to remove.
        """
        self.broadcast(now, record)
        return self.broadcasts.begin_confirmed(now, record, recipients)

    def leave(self, now: float) -> None:
        """Announce that this process leaves the mesh."""
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
        """Broadcast a new state of another node, which may refute it by a record with a higher ``seq``."""
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
        """Run all periodic work that is due."""
        elapsed = now - self.ticked_at
        self.ticked_at = self.broadcasts.ticked_at = now
        self.transmitter.refill(elapsed)
        if elapsed > STALL_THRESHOLD:
            self.failure_detector.on_stall(now)
        self.records.expire(now)
        for record in self.orphan_detector.find_ended(now, self.records):
            self.broadcast(now, record)
        self.broadcasts.retransmit()
        self.broadcasts.resend_unconfirmed(now)
        self.failure_detector.tick(now)
        if now - self.digests_sent_at >= DIGEST_INTERVAL:
            self.digests_sent_at = now
            self.anti_entropy.send_digests(now)

    # --- received datagrams ---

    def receive(self, now: float, message: GossipMessage, source: Address) -> None:
        """Handle a datagram that was received from the address ``source``."""
        name = message.sender
        if not name or name == self.name:
            self.counters.dropped += 1
            return
        self.counters.received += 1
        merged = [self.merge(now, record, name) for record in message.records]
        self.failure_detector.on_message(now, name)
        if message.receipt_request:
            self.broadcasts.answer_receipt_request(name, message)
        if message.receipt:
            self.broadcasts.on_receipt(message.receipt, name)
        if message.ping:
            self.failure_detector.on_ping(name, message)
        if message.ack:
            self.failure_detector.on_ack(now, name, message)
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
        """Send a node its own record if it declares the node suspect or dead, or has a later incarnation.

        The node can then refute the record. The incarnation held here is higher than the sender's if the sender's clock
        was ahead at an earlier start.
        """
        held = self.records.get(RecordKind.NODE, name)
        if held is None:
            return
        if incarnation < held.incarnation or held.rank in (MemberState.SUSPECT, MemberState.DEAD):
            self.transmitter.send(name, GossipMessage(records=[held, *self.records.config_version()]))

    def merge(self, now: float, record: Record, sender: str) -> bool:
        """Apply a received record, and queue it for retransmission if it is new.

        Returns:
            Whether the record was new here. Records of this node itself are never new; they are refuted if necessary.
        """
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
        """Override a record of this node that this process did not issue.

        Such a record declares this node suspect or dead, or stems from an earlier incarnation whose clock was ahead.
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
