"""Endpoints whose sidecar is gone for good: nobody is left to say that they are gone, too. Pure.

Each process finds them by itself and tells the same record, so that it doesn't matter who is first. Without this the
records of endpoints that went with their machine, with no word, would be held for ever and fill the table.
"""

from __future__ import annotations

from ..transport.mesh_pb2 import EndpointInfo, Record
from .records import ENDED_RANK, ENDPOINT, NODE, TOMBSTONE_RETENTION, Key, RecordStore

CHECK_INTERVAL = 5.0  # s between two looks
ORPHAN_TIMEOUT = TOMBSTONE_RETENTION  # s without a sidecar that is known, after which an endpoint is taken for gone


class OrphanDetector:
    """Endpoints without a sidecar that is known, and since when."""

    def __init__(self) -> None:
        self.orphaned_since: dict[Key, float] = {}
        self.checked_at = 0.0

    def find_ended(self, now: float, records: RecordStore) -> list[Record]:
        """The records by which those are told that are gone."""
        if now - self.checked_at < CHECK_INTERVAL:
            return []
        self.checked_at = now
        found: dict[Key, float] = {}
        gone: list[Record] = []
        for r in records.of_kind(ENDPOINT):
            if r.rank >= ENDED_RANK or records.get(NODE, EndpointInfo.FromString(r.body).sidecar) is not None:
                continue
            k = ENDPOINT, r.id
            since = self.orphaned_since.get(k, now)
            if now - since >= ORPHAN_TIMEOUT:
                gone.append(
                    Record(kind=ENDPOINT, id=r.id, incarnation=r.incarnation, seq=r.seq, rank=ENDED_RANK, body=r.body)
                )
            else:
                found[k] = since
        self.orphaned_since = found
        return gone
