"""The records that a process holds, with digests over ranges of their keys. Pure.

What has ended is kept for a while as a tombstone: it refuses late records of what it ended. Instants are in s, of any
clock that only moves forward.
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

TOMBSTONE_GOSSIP_PERIOD = 10.0  # s after which a tombstone is in no digest: nobody learns of it anew
TOMBSTONE_RETENTION = 60.0  # s for which a tombstone refuses older records: a datagram lives for far less


class Reconciliation(NamedTuple):
    """What two stores differ in, within some ranges."""

    newer_here: list[Record]
    """To be sent to the other store."""
    newer_there: list[RecordVersion]
    """To be requested from it."""


class RecordStore:
    """Records by key. The cost of a change doesn't grow with the number of records."""

    def __init__(self) -> None:
        self.by_key: dict[RecordKey, Record] = {}
        self.ended_at: dict[RecordKey, float] = {}
        """When tombstones were applied, the oldest first."""
        self.hidden: set[RecordKey] = set()
        """Tombstones that are in no digest any more."""
        self.nodes_revision = 0
        """Rises with every change of a record of a node."""
        self.range_digests = [0] * RANGE_COUNT
        self.range_keys: list[set[RecordKey]] = [set() for _ in range(RANGE_COUNT)]

    def get(self, kind: int, id: str) -> Record | None:
        """The record of a key; None where there is none."""
        return self.by_key.get(RecordKey(kind, id))

    def of_kind(self, kind: int) -> list[Record]:
        """All records of a kind, tombstones included."""
        return [record for key, record in self.by_key.items() if key.kind == kind]

    def nodes(self) -> list[tuple[Record, NodeInfo]]:
        """The records of nodes that have not ended, each with its parsed body."""
        records = (record for record in self.of_kind(RecordKind.NODE) if record.rank < ENDED_RANK)
        return [(record, NodeInfo.FromString(record.body)) for record in records]

    def node_infos(self) -> list[NodeInfo]:
        """The descriptions of all nodes that are held, tombstones included."""
        return [NodeInfo.FromString(record.body) for record in self.of_kind(RecordKind.NODE)]

    def config_version(self) -> list[Record]:
        """The record of the newest configuration known of, or nothing.

        It is sent along whenever a process may have been cut off or stalled: that one needs it first.
        """
        record = self.get(RecordKind.VERSION, CONFIG_RECORD_ID)
        return [record] if record is not None else []

    def superseding(self, records: Iterable[Record]) -> list[Record] | None:
        """The records held instead of these, where those don't tell of an end that these tell of.

        Empty where the end told by each is known here. None where one of them isn't known at all, as there was no room.
        """
        found: list[Record] = []
        for record in records:
            held = self.by_key.get(record_key(record))
            if held is None:
                return None
            if held.rank < record.rank:
                found.append(held)
        return found

    def apply(self, now: float, record: Record) -> bool:
        """Hold a record if it precedes the one that is held; whether it did."""
        key = record_key(record)
        old = self.by_key.get(key)
        if old is not None:
            if precedence(old) >= precedence(record):
                return False
            self.remove(key)
        self.by_key[key] = record
        self.nodes_revision += record.kind == RecordKind.NODE
        index = range_index(key)
        self.range_digests[index] ^= fingerprint(key, precedence(record))
        self.range_keys[index].add(key)
        if record.rank >= ENDED_RANK:
            self.ended_at[key] = now
        return True

    def remove(self, key: RecordKey) -> None:
        """Forget a record."""
        record = self.by_key.pop(key)
        self.nodes_revision += record.kind == RecordKind.NODE
        self.ended_at.pop(key, None)
        if key in self.hidden:
            self.hidden.discard(key)
        else:
            self.exclude_from_digest(key, record)

    def exclude_from_digest(self, key: RecordKey, record: Record) -> None:
        """Take a record out of the digest of its range."""
        index = range_index(key)
        self.range_digests[index] ^= fingerprint(key, precedence(record))
        self.range_keys[index].discard(key)

    def expire(self, now: float) -> None:
        """Take tombstones out of digests, and later forget them."""
        for key, ended_at in list(self.ended_at.items()):
            age = now - ended_at
            if age < TOMBSTONE_GOSSIP_PERIOD:
                break
            if key not in self.hidden:
                self.hidden.add(key)
                self.exclude_from_digest(key, self.by_key[key])
            if age >= TOMBSTONE_RETENTION:
                self.remove(key)

    # --- digests ---

    def digests(self) -> list[RangeDigest]:
        """The digests of all ranges that hold something."""
        return [RangeDigest(range=index, hash=digest) for index, digest in enumerate(self.range_digests) if digest]

    def root_digest(self) -> int:
        """One digest over all ranges; never 0."""
        root = 0
        for digest in self.range_digests:
            root ^= digest
        return root or 1

    def differing_ranges(self, digests: Iterable[RangeDigest]) -> list[int]:
        """The ranges in which another store holds something else."""
        theirs = {digest.range: digest.hash for digest in digests if digest.range < RANGE_COUNT}
        return [index for index, digest in enumerate(self.range_digests) if digest != theirs.get(index, 0)]

    def versions_in(self, index: int) -> list[RecordVersion]:
        """The versions of all records in a range."""
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
        """Compare some ranges with the versions that another store holds in them."""
        theirs = {record_key(version): version for version in versions}
        newer_here = [
            self.by_key[key]
            for index in ranges
            if index < RANGE_COUNT
            for key in self.range_keys[index]
            if key not in theirs or precedence(theirs[key]) < precedence(self.by_key[key])
        ]
        # Tombstones that are in no digest any more: whoever still holds what they ended was cut off meanwhile.
        newer_here += [
            self.by_key[key]
            for key, version in theirs.items()
            if key in self.hidden and precedence(version) < precedence(self.by_key[key])
        ]
        newer_there = [
            version
            for key, version in theirs.items()
            if key not in self.by_key or precedence(self.by_key[key]) < precedence(version)
        ]
        return Reconciliation(newer_here, newer_there)
