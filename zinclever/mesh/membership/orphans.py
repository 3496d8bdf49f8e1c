"""Endpoints whose sidecar is gone for good: nobody is left to say that they are gone, too. Pure.

Each process finds them by itself and tells the same record, so that it doesn't matter who is first. Without this the
records of endpoints that went with their machine, with no word, would be held for ever and fill the table.
"""

from __future__ import annotations

from ..transport.mesh_pb2 import EndpointInfo, Record
from .records import ENDPOINT, FORGOTTEN, GONE, NODE, Key, Records

LOOK_EACH = 5.0  # s between two looks
ORPHANED_FOR = FORGOTTEN  # s without a sidecar that is known, after which an endpoint is taken for gone


class Orphans:
    """Endpoints without a sidecar that is known, and since when."""

    def __init__(self) -> None:
        self.since: dict[Key, float] = {}
        self.looked_at = 0.0

    def look(self, now: float, records: Records) -> list[Record]:
        """The records by which those are told that are gone."""
        if now - self.looked_at < LOOK_EACH:
            return []
        self.looked_at = now
        found: dict[Key, float] = {}
        gone: list[Record] = []
        for r in records.all(ENDPOINT):
            if r.rank >= GONE or records.get(NODE, EndpointInfo.FromString(r.body).keeper) is not None:
                continue
            k = ENDPOINT, r.id
            since = self.since.get(k, now)
            if now - since >= ORPHANED_FOR:
                gone.append(Record(kind=ENDPOINT, id=r.id, life=r.life, seq=r.seq, rank=GONE, body=r.body))
            else:
                found[k] = since
        self.since = found
        return gone
