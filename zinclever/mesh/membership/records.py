"""Replicated records: their kinds, keys, precedence, validation and fingerprints. No I/O.

Incarnations follow SWIM (Das et al., 2002), versions follow Scuttlebutt (van Renesse et al., 2008).
"""

from __future__ import annotations

import enum
import hashlib
import zlib
from typing import NamedTuple

from google.protobuf.message import DecodeError

from ..transport.mesh_pb2 import EndpointInfo, NodeInfo, Record, RecordVersion, Version

SIDECAR, CONTROL = "forager", "comb"  # role names on the wire, kept from version 0.1
CONFIG_RECORD_ID = "config"  # id of the only record of kind VERSION
RANGE_COUNT = 64  # hash ranges of keys, each with its own digest
MAX_BODY_BYTES = 1000
ENDED_RANK = 2  # lowest rank at which a node is dead or has left, or an endpoint is GONE
DEPARTED_SEQ = 2**62  # seq of an endpoint that has departed; higher than that of any heartbeat


class RecordKind(enum.IntEnum):
    """What a record describes; determines the type of its body."""

    NODE = 1
    ENDPOINT = 2
    VERSION = 3


class EndpointPhase(enum.IntEnum):
    """The phase of an endpoint, which is the rank of its record."""

    READY = 0
    DRAINING = 1
    GONE = 2

    @classmethod
    def of(cls, record: Record) -> EndpointPhase:
        """Return the phase of an endpoint record; unknown higher ranks of later protocol versions map to GONE."""
        return cls(min(record.rank, cls.GONE))


class MemberState(enum.IntEnum):
    """The state of a node of the mesh, which is the rank of its record."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @classmethod
    def of(cls, record: Record) -> MemberState:
        """Return the state of a node record; unknown higher ranks of later protocol versions map to LEFT."""
        return cls(min(record.rank, cls.LEFT))

    @property
    def label(self) -> str:
        """The name used by the control API: ``live``, ``suspect``, ``dead`` or ``left``."""
        return "live" if self is MemberState.ALIVE else self.name.lower()


BODY_TYPES: dict[int, type[NodeInfo] | type[EndpointInfo] | type[Version]] = {
    RecordKind.NODE: NodeInfo,
    RecordKind.ENDPOINT: EndpointInfo,
    RecordKind.VERSION: Version,
}


class RecordKey(NamedTuple):
    """The unique key of a record."""

    kind: int
    id: str


class Precedence(NamedTuple):
    """Decides between two records with the same key: the one with the higher precedence wins, compared field by field.

    A new incarnation overrides all records of the previous one. Within an incarnation a higher ``seq`` wins. With equal
    ``seq`` a higher rank wins, so that a drain or a suspicion overrides the record that it was derived from.
    """

    incarnation: int
    seq: int
    rank: int


def precedence(record: Record | RecordVersion) -> Precedence:
    """Return the precedence of a record or of a record version."""
    return Precedence(record.incarnation, record.seq, record.rank)


def record_key(record: Record | RecordVersion) -> RecordKey:
    """Return the key of a record or of a record version."""
    return RecordKey(record.kind, record.id)


def is_valid(record: Record) -> bool:
    """Return whether a received record has a known kind, an id, and a body of bounded size that can be parsed."""
    if record.kind not in BODY_TYPES or not record.id or len(record.body) > MAX_BODY_BYTES:
        return False
    try:
        BODY_TYPES[record.kind].FromString(record.body)
    except DecodeError:
        return False
    return True


def is_urgent(record: Record) -> bool:
    """Return whether a record has to reach all nodes quickly: versions, drains, departures and nodes that leave."""
    if record.kind == RecordKind.VERSION:
        return True
    if record.kind == RecordKind.ENDPOINT:
        return record.rank > EndpointPhase.READY
    return record.kind == RecordKind.NODE and record.rank == MemberState.LEFT


def range_index(key: RecordKey) -> int:
    """Return the index of the hash range of a key, from 0 to :data:`RANGE_COUNT` - 1."""
    return zlib.crc32(b"%d %b" % (key.kind, key.id.encode())) % RANGE_COUNT


def fingerprint(key: RecordKey, version: Precedence) -> int:
    """Return the 64-bit fingerprint of a record. The digest of a range is the XOR of its fingerprints."""
    encoded = b"%d %b %d %d %d" % (key.kind, key.id.encode(), *version)
    return int.from_bytes(hashlib.blake2b(encoded, digest_size=8).digest(), "big")
