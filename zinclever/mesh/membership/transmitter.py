"""Outgoing datagrams: their size, their count, and the rate that background traffic may take. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict, dataclass

from ...core.protocol import Address
from ..transport.mesh_pb2 import GossipMessage, Record
from .members import Members
from .records import RecordKey, RecordKind

MAX_DATAGRAM_RECORD_BYTES = 1100
RECORD_OVERHEAD_BYTES = 4  # tag and length of a record in a datagram
DEFAULT_GOSSIP_RATE = 25_000.0  # bytes/s that records may take where the bandwidth of the link is not configured
BURST_PERIOD = 1.0  # s of the rate that may be saved up


@dataclass(slots=True)
class GossipCounters:
    """Counts since the start, of datagrams, records and state changes."""

    sent: int = 0
    received: int = 0
    dropped: int = 0
    """Datagrams and records that could not be used."""
    suspected: int = 0
    dead: int = 0
    refuted: int = 0
    """Times that this process was declared suspect or dead, and said otherwise."""

    def as_dict(self) -> dict[str, int]:
        """For the log."""
        return asdict(self)


class Transmitter:
    """Leaves datagrams in ``outbox``, with the sender's name and incarnation filled in."""

    def __init__(self, members: Members, counters: GossipCounters, rate: float) -> None:
        """``rate``: bytes/s that background records may take. Urgent ones are sent all the same, and are counted."""
        self.members = members
        self.counters = counters
        self.rate = rate
        self.credit = rate
        """Bytes that may be sent now."""
        self.bytes_sent = 0
        self.outbox: list[tuple[Address, GossipMessage]] = []

    def refill(self, elapsed: float) -> None:
        """Add the credit of ``elapsed`` s."""
        self.credit = min(BURST_PERIOD * self.rate, self.credit + self.rate * elapsed)

    def send(self, name: str, message: GossipMessage) -> None:
        """Send to a process; dropped where its address isn't known."""
        address = self.members.address_of(name)
        if address is not None:
            self.send_to(address, message)

    def send_to(self, address: Address, message: GossipMessage) -> None:
        """Send to an address."""
        own = self.members.records.by_key[RecordKey(RecordKind.NODE, self.members.name)]
        message.incarnation = own.incarnation
        message.sender = self.members.name
        self.counters.sent += 1
        size = message.ByteSize()
        self.credit -= size
        self.bytes_sent += size
        self.outbox.append((address, message))

    def reply(self, name: str, source: Address, message: GossipMessage) -> None:
        """Answer a process that may not be known by name yet."""
        if self.members.address_of(name) is not None:
            self.send(name, message)
        else:
            self.send_to(source, message)

    def send_records(self, name: str, records: Iterable[Record]) -> None:
        """Send records, in datagrams of a bounded size."""
        batch: list[Record] = []
        batch_bytes = 0
        for record in records:
            size = record.ByteSize() + RECORD_OVERHEAD_BYTES
            if batch and batch_bytes + size > MAX_DATAGRAM_RECORD_BYTES:
                self.send(name, GossipMessage(records=batch))
                batch, batch_bytes = [], 0
            batch.append(record)
            batch_bytes += size
        if batch:
            self.send(name, GossipMessage(records=batch))
