"""Outgoing datagrams: batching, counters, and the rate limit of background traffic. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict, dataclass

from ...core.protocol import Address
from ..transport.mesh_pb2 import GossipMessage, Record
from .members import Members
from .records import RecordKey, RecordKind

MAX_DATAGRAM_RECORD_BYTES = 1100
RECORD_OVERHEAD_BYTES = 4  # tag and length of a record in a datagram
DEFAULT_GOSSIP_RATE = 25_000.0  # bytes/s for background records if the bandwidth of the link is not configured
BURST_PERIOD = 1.0  # s; unused credit accumulates up to the rate times this period


@dataclass(slots=True)
class GossipCounters:
    """Counts of datagrams, records and state changes since the start of the process."""

    sent: int = 0
    received: int = 0
    dropped: int = 0
    """Datagrams and records that were invalid or exceeded a limit."""
    suspected: int = 0
    dead: int = 0
    refuted: int = 0
    """Number of times that this node overrode a record of itself that it had not issued."""

    def as_dict(self) -> dict[str, int]:
        """Return the counters by name, as they are logged."""
        return asdict(self)


class Transmitter:
    """Queues datagrams in ``outbox`` and fills in the name and incarnation of the sender."""

    def __init__(self, members: Members, counters: GossipCounters, rate: float) -> None:
        """Create a transmitter that limits background records to ``rate`` bytes/s.

        Urgent records are sent regardless of the limit, but use up its credit.
        """
        self.members = members
        self.counters = counters
        self.rate = rate
        self.credit = rate
        """Bytes that may be sent now; negative if urgent records have exceeded the rate."""
        self.bytes_sent = 0
        self.outbox: list[tuple[Address, GossipMessage]] = []

    def refill(self, elapsed: float) -> None:
        """Add the credit for ``elapsed`` seconds."""
        self.credit = min(BURST_PERIOD * self.rate, self.credit + self.rate * elapsed)

    def send(self, name: str, message: GossipMessage) -> None:
        """Send a message to a node; dropped if the address of the node is unknown."""
        address = self.members.address_of(name)
        if address is not None:
            self.send_to(address, message)

    def send_to(self, address: Address, message: GossipMessage) -> None:
        """Send a message to an address."""
        own = self.members.records.by_key[RecordKey(RecordKind.NODE, self.members.name)]
        message.incarnation = own.incarnation
        message.sender = self.members.name
        self.counters.sent += 1
        size = message.ByteSize()
        self.credit -= size
        self.bytes_sent += size
        self.outbox.append((address, message))

    def reply(self, name: str, source: Address, message: GossipMessage) -> None:
        """Send a message to a node, or to ``source`` if the address of the node is not known yet."""
        if self.members.address_of(name) is not None:
            self.send(name, message)
        else:
            self.send_to(source, message)

    def send_records(self, name: str, records: Iterable[Record]) -> None:
        """Send records to a node, in datagrams of bounded size."""
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
