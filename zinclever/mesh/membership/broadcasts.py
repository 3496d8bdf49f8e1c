"""Spreading records: each is retransmitted a few times to random peers, or until named recipients confirm it. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from ..transport.mesh_pb2 import GossipMessage, Record
from .records import RecordKey, is_urgent, record_key
from .transmitter import Transmitter

FANOUT = 3  # peers that a retransmission goes to
RETRANSMITS = 2  # times that each process passes a record on: whoever is missed learns of it by digests, in 1 to 2 s
URGENT_RETRANSMITS = 3  # times for an urgent one
STARTUP_PERIOD = 6.0  # s after its own start for which a process knows few others yet ...
STARTUP_EXTRA_RETRANSMITS = 5  # ... and passes each record on so many times more
STARTUP_BYTES = 60_000  # sent by then at the most: where there are many processes, digests do for the rest
RECEIPT_RETRY_INTERVAL = 0.15  # s after which a record is sent again to those that haven't confirmed it


@dataclass(slots=True)
class ConfirmedBroadcast:
    """A record that is sent to its recipients until each has confirmed that it holds it."""

    record: Record
    recipients: set[str]
    sent_at: float = -math.inf
    confirmed_by: set[str] = field(default_factory=set)


class Broadcasts:
    """The records that are being spread."""

    def __init__(self, transmitter: Transmitter, numbers: Iterator[int], now: float) -> None:
        self.transmitter = transmitter
        self.members = transmitter.members
        self.records = transmitter.members.records
        self.numbers = numbers
        self.started_at = self.ticked_at = now
        self.retransmits: dict[RecordKey, int] = {}
        """Retransmissions that are left of each record."""
        self.awaiting_receipts: dict[int, ConfirmedBroadcast] = {}
        """By number. Whoever began one removes it."""

    def enqueue(self, key: RecordKey) -> None:
        """Spread a record that is new here."""
        count = URGENT_RETRANSMITS if is_urgent(self.records.by_key[key]) else RETRANSMITS
        if self.ticked_at - self.started_at < STARTUP_PERIOD and self.transmitter.bytes_sent < STARTUP_BYTES:
            count += STARTUP_EXTRA_RETRANSMITS
        self.retransmits[key] = count

    def retransmit(self) -> None:
        """Send what is queued to a few others: urgent records at once, the rest as the rate allows."""
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
        """Send a record until each recipient has confirmed it; a number for :attr:`confirmed`."""
        number = next(self.numbers)
        self.awaiting_receipts[number] = ConfirmedBroadcast(record, set(recipients) - {self.members.name})
        self.resend_unconfirmed(now)
        return number

    def resend_unconfirmed(self, now: float) -> None:
        """Send records again whose receipts are due."""
        for number, broadcast in self.awaiting_receipts.items():
            if now - broadcast.sent_at >= RECEIPT_RETRY_INTERVAL:
                broadcast.sent_at = now
                for name in broadcast.recipients - broadcast.confirmed_by:
                    message = GossipMessage(records=[broadcast.record], receipt_request=number)
                    self.transmitter.send(name, message)

    def on_receipt(self, number: int, name: str) -> None:
        """A recipient confirms a record."""
        if number in self.awaiting_receipts:
            self.awaiting_receipts[number].confirmed_by.add(name)

    def answer_receipt_request(self, name: str, message: GossipMessage) -> None:
        """Confirm the records of a message, unless others take precedence here: then the sender gets those instead."""
        superseding = self.records.superseding(message.records)
        if superseding:
            self.transmitter.send_records(name, superseding)
        elif superseding is not None:
            self.transmitter.send(name, GossipMessage(receipt=message.receipt_request))

    def send_requested(self, name: str, message: GossipMessage) -> None:
        """Send the records that another asks for."""
        keys = (record_key(version) for version in message.wanted)
        self.transmitter.send_records(name, [self.records.by_key[key] for key in keys if key in self.records.by_key])
