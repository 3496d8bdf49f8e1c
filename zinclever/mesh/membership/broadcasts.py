"""Record dissemination: each record is retransmitted to random peers, or until named recipients confirm it. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from ..transport.mesh_pb2 import GossipMessage, Record
from .records import RecordKey, is_urgent, record_key
from .transmitter import Transmitter

FANOUT = 3  # peers per retransmission
RETRANSMITS = 2  # per record and process; digests deliver the record to missed peers within 1 to 2 s
URGENT_RETRANSMITS = 3  # per urgent record
STARTUP_PERIOD = 6.0  # s after the start during which a process knows few peers and retransmits records more often
# The few nodes that a new process knows would pass its records on to the others too late.
STARTUP_EXTRA_RETRANSMITS = 5  # additional retransmissions of each record during the startup period
STARTUP_BYTES = 60_000  # bytes sent after which no retransmissions are added; in large meshes, digests deliver the rest
RECEIPT_RETRY_INTERVAL = 0.15  # s after which a record is resent to recipients that have not confirmed it


@dataclass(slots=True)
class ConfirmedBroadcast:
    """A record that is resent until each recipient has confirmed that it holds it."""

    record: Record
    recipients: set[str]
    sent_at: float = -math.inf
    confirmed_by: set[str] = field(default_factory=set)


class Broadcasts:
    """The records that are being disseminated."""

    def __init__(self, transmitter: Transmitter, ids: Iterator[int], now: float) -> None:
        self.transmitter = transmitter
        self.members = transmitter.members
        self.records = transmitter.members.records
        self.ids = ids
        self.started_at = self.ticked_at = now
        self.retransmits: dict[RecordKey, int] = {}
        """Remaining retransmissions of each record."""
        self.awaiting_receipts: dict[int, ConfirmedBroadcast] = {}
        """Broadcasts that wait for receipts, by id. The caller that began a broadcast removes it."""

    def enqueue(self, key: RecordKey) -> None:
        """Queue a new record for retransmission."""
        count = URGENT_RETRANSMITS if is_urgent(self.records.by_key[key]) else RETRANSMITS
        if self.ticked_at - self.started_at < STARTUP_PERIOD and self.transmitter.bytes_sent < STARTUP_BYTES:
            count += STARTUP_EXTRA_RETRANSMITS
        self.retransmits[key] = count

    def retransmit(self) -> None:
        """Send the queued records to a few random peers: urgent ones at once, the others as the rate limit allows."""
        if not self.retransmits or not self.members.others():
            return
        by_key = self.records.by_key
        may_send_all = self.transmitter.credit > 0.0
        keys = [key for key in self.retransmits if key in by_key and (may_send_all or is_urgent(by_key[key]))]
        if not keys:
            return
        for name in self.members.sample(FANOUT):
            self.transmitter.send_records(name, [by_key[key] for key in keys])
        for key in keys:
            self.retransmits[key] -= 1
            if self.retransmits[key] <= 0:
                del self.retransmits[key]

    def begin_confirmed(self, now: float, record: Record, recipients: Iterable[str]) -> int:
        """Send a record until each recipient has confirmed it.

        Returns:
            The id of the broadcast in :attr:`awaiting_receipts`.
        """
        broadcast_id = next(self.ids)
        self.awaiting_receipts[broadcast_id] = ConfirmedBroadcast(record, set(recipients) - {self.members.name})
        self.resend_unconfirmed(now)
        return broadcast_id

    def resend_unconfirmed(self, now: float) -> None:
        """Resend records whose receipts are overdue."""
        for broadcast_id, broadcast in self.awaiting_receipts.items():
            if now - broadcast.sent_at >= RECEIPT_RETRY_INTERVAL:
                broadcast.sent_at = now
                for name in sorted(broadcast.recipients - broadcast.confirmed_by):
                    message = GossipMessage(records=[broadcast.record], receipt_request=broadcast_id)
                    self.transmitter.send(name, message)

    def on_receipt(self, broadcast_id: int, name: str) -> None:
        """Record that a recipient has confirmed a broadcast."""
        if broadcast_id in self.awaiting_receipts:
            self.awaiting_receipts[broadcast_id].confirmed_by.add(name)

    def answer_receipt_request(self, name: str, message: GossipMessage) -> None:
        """Confirm the records of a message, or send back the records held here that take precedence over them."""
        superseding = self.records.superseding(message.records)
        if superseding:
            self.transmitter.send_records(name, superseding)
        elif superseding is not None:
            self.transmitter.send(name, GossipMessage(receipt=message.receipt_request))

    def send_requested(self, name: str, message: GossipMessage) -> None:
        """Send the records that a peer has requested."""
        keys = (record_key(version) for version in message.wanted)
        self.transmitter.send_records(name, [self.records.by_key[key] for key in keys if key in self.records.by_key])
