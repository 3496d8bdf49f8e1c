"""Records: the replicated facts that gossip spreads, and which of two versions of one fact holds. Pure.

Sources: SWIM (Das and others, 2002) for incarnations, Scuttlebutt (van Renesse and others, 2008) for versions.
"""

from __future__ import annotations

import enum
import hashlib
import zlib
from typing import NamedTuple

from google.protobuf.message import DecodeError

from ..transport.mesh_pb2 import EndpointInfo, NodeInfo, Record, RecordVersion, Version

CONFIG_RECORD_ID = "config"  # id of the one record of kind VERSION
RANGE_COUNT = 64  # ranges that the keys are spread over for digests
MAX_BODY_BYTES = 1000
ENDED_RANK = 2  # rank from which on a node is dead or has left, and an endpoint is gone
DEPARTED_SEQ = 2**62  # seq of an endpoint that has left for good: above that of any heartbeat


class RecordKind(enum.IntEnum):
    """What a record describes, and with that the type of its body."""

    NODE = 1
    ENDPOINT = 2
    VERSION = 3


class EndpointPhase(enum.IntEnum):
    """The phase of an endpoint: the rank of its record."""

    READY = 0
    DRAINING = 1
    GONE = 2

    @classmethod
    def of(cls, record: Record) -> EndpointPhase:
        """The phase that the record of an endpoint tells; ranks of later versions count as GONE."""
        return cls(min(record.rank, cls.GONE))


class MemberState(enum.IntEnum):
    """The state of a process of the mesh: the rank of its record."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @classmethod
    def of(cls, record: Record) -> MemberState:
        """The state that the record of a node tells; ranks of later versions count as LEFT."""
        return cls(min(record.rank, cls.LEFT))

    @property
    def label(self) -> str:
        """The name in answers to operators: ``live``, ``suspect``, ``dead`` or ``left``."""
        return "live" if self is MemberState.ALIVE else self.name.lower()


BODY_TYPES: dict[int, type[NodeInfo] | type[EndpointInfo] | type[Version]] = {
    RecordKind.NODE: NodeInfo,
    RecordKind.ENDPOINT: EndpointInfo,
    RecordKind.VERSION: Version,
}


class RecordKey(NamedTuple):
    """Identifies a record."""

    kind: int
    id: str


class Precedence(NamedTuple):
    """Of two records with the same key the one with the higher precedence holds, compared field by field.

    A new incarnation overrides everything of the one before; within it a higher ``seq`` is newer; with the same ``seq``
    a higher rank holds, so that a drain or a suspicion overrides what it was drawn from.
    """

    incarnation: int
    seq: int
    rank: int


def precedence(record: Record | RecordVersion) -> Precedence:
    """The precedence of a record or of its version."""
    return Precedence(record.incarnation, record.seq, record.rank)


def record_key(record: Record | RecordVersion) -> RecordKey:
    """The key of a record or of its version."""
    return RecordKey(record.kind, record.id)


def is_valid(record: Record) -> bool:
    """Whether a received record is of a known kind, within bounds, and has a body that can be parsed."""
    if record.kind not in BODY_TYPES or not record.id or len(record.body) > MAX_BODY_BYTES:
        return False
    try:
        BODY_TYPES[record.kind].FromString(record.body)
    except DecodeError:
        return False
    return True


def is_urgent(record: Record) -> bool:
    """Whether a record has to reach all others within a bound: versions, drains, departures, processes that leave."""
    if record.kind == RecordKind.VERSION:
        return True
    if record.kind == RecordKind.ENDPOINT:
        return record.rank > EndpointPhase.READY
    return record.kind == RecordKind.NODE and record.rank == MemberState.LEFT


def range_index(key: RecordKey) -> int:
    """The range of a key, from 0 to :data:`RANGE_COUNT` - 1."""
    return zlib.crc32(b"%d %b" % (key.kind, key.id.encode())) % RANGE_COUNT


def fingerprint(key: RecordKey, version: Precedence) -> int:
    """A record's part in the digest of its range: 64 bits. A digest is the exclusive or of these."""
    encoded = b"%d %b %d %d %d" % (key.kind, key.id.encode(), *version)
    return int.from_bytes(hashlib.blake2b(encoded, digest_size=8).digest(), "big")
