"""Endpoints whose sidecar is gone for good, with nobody left to say that they are gone, too. Pure.

Each process finds them by itself and broadcasts the same record, so that it doesn't matter who is first. Without this
the records of endpoints that vanished together with their machine would be held for ever and fill the store.
"""

from __future__ import annotations

from ..transport.mesh_pb2 import EndpointInfo, Record
from .record_store import TOMBSTONE_RETENTION, RecordStore
from .records import ENDED_RANK, EndpointPhase, RecordKey, RecordKind

CHECK_INTERVAL = 5.0  # s between two checks
ORPHAN_TIMEOUT = TOMBSTONE_RETENTION  # s without a known sidecar after which an endpoint counts as gone


class OrphanDetector:
    """Endpoints without a known sidecar, and since when."""

    def __init__(self) -> None:
        self.orphaned_since: dict[RecordKey, float] = {}
        self.checked_at = 0.0

    def find_ended(self, now: float, records: RecordStore) -> list[Record]:
        """The records by which orphaned endpoints are declared gone; nothing before the next check is due."""
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
