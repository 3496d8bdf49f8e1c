"""Detects orphaned endpoints, whose sidecar has left the mesh without declaring them GONE. No I/O.

Each process detects them independently and broadcasts the same record, so it doesn't matter which process is first.
Without this detection, the records of endpoints that were lost together with their machine would never expire and would
fill the store.
"""

from __future__ import annotations

from ..transport.mesh_pb2 import EndpointInfo, Record
from .record_store import TOMBSTONE_RETENTION, RecordStore
from .records import ENDED_RANK, EndpointPhase, RecordKey, RecordKind

CHECK_INTERVAL = 5.0  # s between two checks
ORPHAN_TIMEOUT = TOMBSTONE_RETENTION  # s without a known sidecar after which an endpoint is declared GONE


class OrphanDetector:
    """Tracks endpoints without a known sidecar, and since when their sidecar has been unknown."""

    def __init__(self) -> None:
        self.orphaned_since: dict[RecordKey, float] = {}
        self.checked_at = 0.0

    def find_ended(self, now: float, records: RecordStore) -> list[Record]:
        """Return records that declare orphaned endpoints GONE, or an empty list if the next check is not due yet."""
        if now - self.checked_at < CHECK_INTERVAL:
            return []
        self.checked_at = now
        still_orphaned: dict[RecordKey, float] = {}
        ended: list[Record] = []
        for record in records.of_kind(RecordKind.ENDPOINT):
            sidecar = EndpointInfo.FromString(record.body).sidecar if record.rank < ENDED_RANK else ""
            if record.rank >= ENDED_RANK or records.get(RecordKind.NODE, sidecar) is not None:
                continue
            key = RecordKey(RecordKind.ENDPOINT, record.id)
            since = self.orphaned_since.get(key, now)
            if now - since >= ORPHAN_TIMEOUT:
                ended.append(
                    Record(
                        kind=RecordKind.ENDPOINT,
                        id=record.id,
                        incarnation=record.incarnation,
                        seq=record.seq,
                        rank=EndpointPhase.GONE,
                        body=record.body,
                    )
                )
            else:
                still_orphaned[key] = since
        self.orphaned_since = still_orphaned
        return ended
