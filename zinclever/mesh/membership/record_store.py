"""Store of the records that a process holds, with digests over hash ranges of their keys. No I/O.

Records of ended nodes and endpoints are kept for a while as tombstones, which reject late records of the same key.
Times are in seconds on a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..transport.mesh_pb2 import NodeInfo, RangeDigest, Record, RecordVersion
from .records import (
    CONFIG_RECORD_ID,
    ENDED_RANK,
    RANGE_COUNT,
    RecordKey,
    RecordKind,
    fingerprint,
    precedence,
    range_index,
    record_key,
)

TOMBSTONE_GOSSIP_PERIOD = 10.0  # s after which a tombstone is excluded from digests, so that it stops spreading
TOMBSTONE_RETENTION = 60.0  # s for which a tombstone rejects older records; far longer than any datagram is delayed


class Reconciliation(NamedTuple):
    """The differences between two stores within some ranges."""

    newer_here: list[Record]
    """Records to be sent to the other store."""
    newer_there: list[RecordVersion]
    """Record versions to be requested from the other store."""


class RecordStore:
    """Records by key. The cost of a change does not depend on the number of records."""

    def __init__(self) -> None:
        self.by_key: dict[RecordKey, Record] = {}
        self.ended_at: dict[RecordKey, float] = {}
        """The times at which tombstones were applied, oldest first."""
        self.undigested: set[RecordKey] = set()
        """Tombstones that are excluded from the digests."""
        self.nodes_revision = 0
        """Incremented by every change of a node record."""
        self.range_digests = [0] * RANGE_COUNT
        self.range_keys: list[dict[RecordKey, None]] = [{} for _ in range(RANGE_COUNT)]
        """Keys in the order of arrival: that of a set differs between processes, and simulations have to repeat."""

    def get(self, kind: int, id: str) -> Record | None:
        """Return the record of a key, or None if there is none."""
        return self.by_key.get(RecordKey(kind, id))

    def of_kind(self, kind: int) -> list[Record]:
        """Return all records of a kind, including tombstones."""
        return [record for key, record in self.by_key.items() if key.kind == kind]

    def nodes(self) -> list[tuple[Record, NodeInfo]]:
        """Return the records of the nodes that are alive or suspect, each with its parsed body."""
        records = (record for record in self.of_kind(RecordKind.NODE) if record.rank < ENDED_RANK)
        return [(record, NodeInfo.FromString(record.body)) for record in records]

    def node_infos(self) -> list[NodeInfo]:
        """Return the descriptions of all known nodes, including tombstones."""
        return [NodeInfo.FromString(record.body) for record in self.of_kind(RecordKind.NODE)]

    def config_version(self) -> list[Record]:
        """Return the record of the newest known configuration version, or an empty list if there is none.

        It is included in messages to nodes that may have been partitioned or stalled, as it is what they need first.
        """
        record = self.get(RecordKind.VERSION, CONFIG_RECORD_ID)
        return [record] if record is not None else []

    def superseding(self, records: Iterable[Record]) -> list[Record] | None:
        """Return the held records that have taken precedence over the given ones with a lower rank.

        Returns:
            An empty list if the rank of each given record, such as a drain, is in effect here. None if one of the
            records is not held at all because the store is full.
        """
        overriding: list[Record] = []
        for record in records:
            held = self.by_key.get(record_key(record))
            if held is None:
                return None
            if held.rank < record.rank:
                overriding.append(held)
        return overriding

    def apply(self, now: float, record: Record) -> bool:
        """Store a record if it takes precedence over the held record of its key, and return whether it did."""
        key = record_key(record)
        held = self.by_key.get(key)
        if held is not None:
            if precedence(held) >= precedence(record):
                return False
            self.remove(key)
        self.by_key[key] = record
        self.nodes_revision += record.kind == RecordKind.NODE
        index = range_index(key)
        self.range_digests[index] ^= fingerprint(key, precedence(record))
        self.range_keys[index][key] = None
        if record.rank >= ENDED_RANK:
            self.ended_at[key] = now
        return True

    def remove(self, key: RecordKey) -> None:
        """Remove a record and its contribution to the digests."""
        record = self.by_key.pop(key)
        self.nodes_revision += record.kind == RecordKind.NODE
        self.ended_at.pop(key, None)
        if key in self.undigested:
            self.undigested.discard(key)
        else:
            self.exclude_from_digest(key, record)

    def exclude_from_digest(self, key: RecordKey, record: Record) -> None:
        """Remove a record from the digest of its range."""
        index = range_index(key)
        self.range_digests[index] ^= fingerprint(key, precedence(record))
        self.range_keys[index].pop(key, None)

    def expire(self, now: float) -> None:
        """Exclude old tombstones from the digests, and remove them after their retention period."""
        for key, ended_at in list(self.ended_at.items()):
            age = now - ended_at
            if age < TOMBSTONE_GOSSIP_PERIOD:
                break
            if key not in self.undigested:
                self.undigested.add(key)
                self.exclude_from_digest(key, self.by_key[key])
            if age >= TOMBSTONE_RETENTION:
                self.remove(key)

    # --- digests ---

    def digests(self) -> list[RangeDigest]:
        """Return the digests of all ranges that are not empty."""
        return [RangeDigest(range=index, hash=digest) for index, digest in enumerate(self.range_digests) if digest]

    def root_digest(self) -> int:
        """Return one digest over all ranges; never 0, which means that a message has no root digest."""
        root = 0
        for digest in self.range_digests:
            root ^= digest
        return root or 1

    def differing_ranges(self, digests: Iterable[RangeDigest]) -> list[int]:
        """Return the ranges whose digests differ from those of another store."""
        theirs = {digest.range: digest.hash for digest in digests if digest.range < RANGE_COUNT}
        return [index for index, digest in enumerate(self.range_digests) if digest != theirs.get(index, 0)]

    def versions_in(self, index: int) -> list[RecordVersion]:
        """Return the versions of all records in a range."""
        versions = []
        for key in self.range_keys[index]:
            record = self.by_key[key]
            versions.append(
                RecordVersion(
                    kind=record.kind, id=record.id, incarnation=record.incarnation, seq=record.seq, rank=record.rank
                )
            )
        return versions

    def reconcile(self, ranges: Iterable[int], versions: Iterable[RecordVersion]) -> Reconciliation:
        """Compare the records in some ranges with the versions that another store holds in them."""
        theirs = {record_key(version): version for version in versions}
        newer_here = [
            self.by_key[key]
            for index in ranges
            if index < RANGE_COUNT
            for key in self.range_keys[index]
            if key not in theirs or precedence(theirs[key]) < precedence(self.by_key[key])
        ]
        # Tombstones excluded from the digests: a peer that still holds the record they ended was partitioned meanwhile.
        newer_here += [
            self.by_key[key]
            for key, version in theirs.items()
            if key in self.undigested and precedence(version) < precedence(self.by_key[key])
        ]
        newer_there = [
            version
            for key, version in theirs.items()
            if key not in self.by_key or precedence(self.by_key[key]) < precedence(version)
        ]
        return Reconciliation(newer_here, newer_there)
