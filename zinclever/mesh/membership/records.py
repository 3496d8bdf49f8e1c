"""News as records: which of two holds, how long ended ones are remembered, digests over ranges. Pure."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterable

from google.protobuf.message import DecodeError

from ..transport.mesh_pb2 import EndpointInfo, NodeInfo, RangeDigest, Record, RecordVersion, Version

NODE, ENDPOINT, VERSION = 1, 2, 3
CONFIG = "config"  # id of the one record of kind VERSION
RANGES = 64
MOST_RECORDS = 100_000  # that are held: a mesh has a few for each machine
MOST_RECORD = 1000  # bytes of one's body
GONE = 2  # ranks from here on: what a record tells of has ended
FADES = 10.0  # s after its end from which on a record is in no digest: nobody is to hear of it anew
FORGOTTEN = 60.0  # s after its end for which it still refuses older news: a datagram lives for far less

Key = tuple[int, str]
Order = tuple[int, int, int]


def order(r: Record | RecordVersion) -> Order:
    """Of two records with the same key the higher one holds."""
    return r.life, r.seq, r.rank


def key(r: Record | RecordVersion) -> Key:
    return r.kind, r.id


def sound(r: Record) -> bool:
    """Whether a record is one of the mesh's: of a known kind, with a body that can be read."""
    bodies: dict[int, type[NodeInfo] | type[EndpointInfo] | type[Version]] = {
        NODE: NodeInfo,
        ENDPOINT: EndpointInfo,
        VERSION: Version,
    }
    if r.kind not in bodies or not r.id or len(r.body) > MOST_RECORD:
        return False
    try:
        bodies[r.kind].FromString(r.body)
    except DecodeError:
        return False
    return True


def range_of(k: Key) -> int:
    return zlib.crc32(f"{k[0]} {k[1]}".encode()) % RANGES


def mark(k: Key, o: Order) -> int:
    """A record's part in the digest of its range: digests are the exclusive or of these."""
    text = f"{k[0]} {k[1]} {o[0]} {o[1]} {o[2]}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


class Records:
    """What is known. Costs of a change don't grow with the number of records."""

    def __init__(self) -> None:
        self.held: dict[Key, Record] = {}
        self.ended: dict[Key, float] = {}
        """When records of what has ended came: the oldest first."""
        self.faded: set[Key] = set()
        self.nodes = 0
        """Rises with every change of what is known of processes."""
        self.sums = [0] * RANGES
        self.keys: list[set[Key]] = [set() for _ in range(RANGES)]

    def get(self, kind: int, name: str) -> Record | None:
        return self.held.get((kind, name))

    def all(self, kind: int) -> list[Record]:
        return [r for (k, _), r in self.held.items() if k == kind]

    def newest_version(self) -> list[Record]:
        """The record of the newest configuration known of: one that was cut off or stood still is told of it first."""
        record = self.held.get((VERSION, CONFIG))
        return [record] if record is not None else []

    def above(self, news: Iterable[Record]) -> list[Record] | None:
        """What is held instead of these, where it doesn't tell of an end that they tell of; none where each of them
        is known here, or an end beyond it. None where one isn't known at all, as there is no room for it."""
        found: list[Record] = []
        for r in news:
            held = self.held.get(key(r))
            if held is None:
                return None
            if held.rank < r.rank:
                found.append(held)
        return found

    def put(self, now: float, r: Record) -> bool:
        """Take a record in; whether it is newer than what was held."""
        k = key(r)
        old = self.held.get(k)
        if old is not None and order(old) >= order(r):
            return False
        if old is not None:
            self.remove(k)
        self.held[k] = r
        self.nodes += r.kind == NODE
        at = range_of(k)
        self.sums[at] ^= mark(k, order(r))
        self.keys[at].add(k)
        if r.rank >= GONE:
            self.ended[k] = now
        return True

    def remove(self, k: Key) -> None:
        r = self.held.pop(k)
        self.nodes += r.kind == NODE
        self.ended.pop(k, None)
        if k in self.faded:
            self.faded.discard(k)
        else:
            self.hide(k, r)

    def hide(self, k: Key, r: Record) -> None:
        at = range_of(k)
        self.sums[at] ^= mark(k, order(r))
        self.keys[at].discard(k)

    def age(self, now: float) -> None:
        """What has ended long ago is told no more, then forgotten."""
        for k, at in list(self.ended.items()):
            if now - at < FADES:
                break
            if k not in self.faded:
                self.faded.add(k)
                self.hide(k, self.held[k])
            if now - at >= FORGOTTEN:
                self.remove(k)

    def digest(self) -> list[RangeDigest]:
        return [RangeDigest(range=n, hash=s) for n, s in enumerate(self.sums) if s]

    def root(self) -> int:
        """Of the whole digest; never 0."""
        made = 0
        for s in self.sums:
            made ^= s
        return made or 1

    def differing(self, sums: Iterable[RangeDigest]) -> list[int]:
        """The ranges in which another holds something else."""
        theirs = {s.range: s.hash for s in sums if s.range < RANGES}
        return [n for n, s in enumerate(self.sums) if s != theirs.get(n, 0)]

    def holdings(self, n: int) -> list[RecordVersion]:
        found = []
        for k in self.keys[n]:
            r = self.held[k]
            found.append(RecordVersion(kind=r.kind, id=r.id, life=r.life, seq=r.seq, rank=r.rank))
        return found

    def compare(
        self, ranges: Iterable[int], theirs: Iterable[RecordVersion]
    ) -> tuple[list[Record], list[RecordVersion]]:
        """What another lacks of these ranges, and what is to be asked of it."""
        told = {key(h): h for h in theirs}
        lacks = [
            self.held[k]
            for n in ranges
            if n < RANGES
            for k in self.keys[n]
            if k not in told or order(told[k]) < order(self.held[k])
        ]
        # An end that is in no digest any more is told to whoever has missed it: it was cut off meanwhile.
        lacks += [self.held[k] for k, h in told.items() if k in self.faded and order(h) < order(self.held[k])]
        wanted = [h for k, h in told.items() if k not in self.held or order(self.held[k]) < order(h)]
        return lacks, wanted
