"""News as records: which of two holds, how long ended ones are remembered, digests over ranges. Pure."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterable

from google.protobuf.message import DecodeError

from ..transport.mesh_pb2 import EndpointInfo, NodeInfo, RangeDigest, Record, RecordVersion, Version

NODE, ENDPOINT, VERSION = 1, 2, 3
CONFIG_RECORD_ID = "config"  # id of the one record of kind VERSION
RANGE_COUNT = 64
MAX_RECORDS = 100_000  # that are held: a mesh has a few for each machine
MAX_BODY_BYTES = 1000  # bytes of one's body
ENDED_RANK = 2  # ranks from here on: what a record tells of has ended
TOMBSTONE_GOSSIP_PERIOD = 10.0  # s after its end from which on a record is in no digest: nobody is to hear of it anew
TOMBSTONE_RETENTION = 60.0  # s after its end for which it still refuses older news: a datagram lives for far less

Key = tuple[int, str]
Precedence = tuple[int, int, int]


def precedence(r: Record | RecordVersion) -> Precedence:
    """Of two records with the same key the higher one holds."""
    return r.incarnation, r.seq, r.rank


def record_key(r: Record | RecordVersion) -> Key:
    return r.kind, r.id


def is_valid(r: Record) -> bool:
    """Whether a record is one of the mesh's: of a known kind, with a body that can be read."""
    bodies: dict[int, type[NodeInfo] | type[EndpointInfo] | type[Version]] = {
        NODE: NodeInfo,
        ENDPOINT: EndpointInfo,
        VERSION: Version,
    }
    if r.kind not in bodies or not r.id or len(r.body) > MAX_BODY_BYTES:
        return False
    try:
        bodies[r.kind].FromString(r.body)
    except DecodeError:
        return False
    return True


def range_index(k: Key) -> int:
    return zlib.crc32(f"{k[0]} {k[1]}".encode()) % RANGE_COUNT


def fingerprint(k: Key, o: Precedence) -> int:
    """A record's part in the digest of its range: digests are the exclusive or of these."""
    text = f"{k[0]} {k[1]} {o[0]} {o[1]} {o[2]}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


class RecordStore:
    """What is known. Costs of a change don't grow with the number of records."""

    def __init__(self) -> None:
        self.by_key: dict[Key, Record] = {}
        self.ended_at: dict[Key, float] = {}
        """When records of what has ended came: the oldest first."""
        self.hidden: set[Key] = set()
        self.nodes_revision = 0
        """Rises with every change of what is known of processes."""
        self.range_digests = [0] * RANGE_COUNT
        self.range_keys: list[set[Key]] = [set() for _ in range(RANGE_COUNT)]

    def get(self, kind: int, name: str) -> Record | None:
        return self.by_key.get((kind, name))

    def of_kind(self, kind: int) -> list[Record]:
        return [r for (k, _), r in self.by_key.items() if k == kind]

    def config_version(self) -> list[Record]:
        """The record of the newest configuration known of: one that was cut off or stood still is told of it first."""
        record = self.by_key.get((VERSION, CONFIG_RECORD_ID))
        return [record] if record is not None else []

    def superseding(self, news: Iterable[Record]) -> list[Record] | None:
        """What is held instead of these, where it doesn't tell of an end that they tell of; none where each of them
        is known here, or an end beyond it. None where one isn't known at all, as there is no room for it."""
        found: list[Record] = []
        for r in news:
            held = self.by_key.get(record_key(r))
            if held is None:
                return None
            if held.rank < r.rank:
                found.append(held)
        return found

    def apply(self, now: float, r: Record) -> bool:
        """Take a record in; whether it is newer than what was held."""
        k = record_key(r)
        old = self.by_key.get(k)
        if old is not None and precedence(old) >= precedence(r):
            return False
        if old is not None:
            self.remove(k)
        self.by_key[k] = r
        self.nodes_revision += r.kind == NODE
        at = range_index(k)
        self.range_digests[at] ^= fingerprint(k, precedence(r))
        self.range_keys[at].add(k)
        if r.rank >= ENDED_RANK:
            self.ended_at[k] = now
        return True

    def remove(self, k: Key) -> None:
        r = self.by_key.pop(k)
        self.nodes_revision += r.kind == NODE
        self.ended_at.pop(k, None)
        if k in self.hidden:
            self.hidden.discard(k)
        else:
            self.exclude_from_digest(k, r)

    def exclude_from_digest(self, k: Key, r: Record) -> None:
        at = range_index(k)
        self.range_digests[at] ^= fingerprint(k, precedence(r))
        self.range_keys[at].discard(k)

    def expire(self, now: float) -> None:
        """What has ended long ago is told no more, then forgotten."""
        for k, at in list(self.ended_at.items()):
            if now - at < TOMBSTONE_GOSSIP_PERIOD:
                break
            if k not in self.hidden:
                self.hidden.add(k)
                self.exclude_from_digest(k, self.by_key[k])
            if now - at >= TOMBSTONE_RETENTION:
                self.remove(k)

    def digests(self) -> list[RangeDigest]:
        return [RangeDigest(range=n, hash=s) for n, s in enumerate(self.range_digests) if s]

    def root_digest(self) -> int:
        """Of the whole digest; never 0."""
        made = 0
        for s in self.range_digests:
            made ^= s
        return made or 1

    def differing_ranges(self, sums: Iterable[RangeDigest]) -> list[int]:
        """The ranges in which another holds something else."""
        theirs = {s.range: s.hash for s in sums if s.range < RANGE_COUNT}
        return [n for n, s in enumerate(self.range_digests) if s != theirs.get(n, 0)]

    def versions_in(self, n: int) -> list[RecordVersion]:
        found = []
        for k in self.range_keys[n]:
            r = self.by_key[k]
            found.append(RecordVersion(kind=r.kind, id=r.id, incarnation=r.incarnation, seq=r.seq, rank=r.rank))
        return found

    def reconcile(
        self, ranges: Iterable[int], theirs: Iterable[RecordVersion]
    ) -> tuple[list[Record], list[RecordVersion]]:
        """What another lacks of these ranges, and what is to be asked of it."""
        told = {record_key(h): h for h in theirs}
        lacks = [
            self.by_key[k]
            for n in ranges
            if n < RANGE_COUNT
            for k in self.range_keys[n]
            if k not in told or precedence(told[k]) < precedence(self.by_key[k])
        ]
        # An end that is in no digest any more is told to whoever has missed it: it was cut off meanwhile.
        lacks += [
            self.by_key[k] for k, h in told.items() if k in self.hidden and precedence(h) < precedence(self.by_key[k])
        ]
        wanted = [h for k, h in told.items() if k not in self.by_key or precedence(self.by_key[k]) < precedence(h)]
        return lacks, wanted
