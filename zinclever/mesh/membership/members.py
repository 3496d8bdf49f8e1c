"""The other processes of the mesh, as the records tell of them. Pure."""

from __future__ import annotations

from random import Random

from ...core.protocol import Address
from ..transport.mesh_pb2 import NodeInfo
from .record_store import RecordStore
from .records import ENDED_RANK, MemberState, RecordKind


class Members:
    """A view of the records of nodes, from the process ``name``."""

    def __init__(self, name: str, records: RecordStore, rng: Random) -> None:
        self.name = name
        self.records = records
        self.rng = rng
        self.cached_revision = -1
        self.cached_others: list[str] = []

    def node_info(self, name: str) -> NodeInfo | None:
        """The description of a process; None where it isn't known."""
        record = self.records.get(RecordKind.NODE, name)
        return NodeInfo.FromString(record.body) if record is not None else None

    def state_of(self, name: str) -> MemberState | None:
        """The state of a process; None where it isn't known."""
        record = self.records.get(RecordKind.NODE, name)
        return MemberState.of(record) if record is not None else None

    def address_of(self, name: str) -> Address | None:
        """The address of a process, for gossip and for links; None where it isn't known."""
        info = self.node_info(name)
        return (info.ip, info.port) if info is not None else None

    def others(self) -> list[str]:
        """The names of the others that are alive or suspect. The caller must not change the list."""
        if self.cached_revision != self.records.nodes_revision:
            self.cached_revision = self.records.nodes_revision
            self.cached_others = [
                record.id
                for record in self.records.of_kind(RecordKind.NODE)
                if record.rank < ENDED_RANK and record.id != self.name
            ]
        return self.cached_others

    def dead(self) -> list[str]:
        """The names of those that were declared dead and are not forgotten yet."""
        return [record.id for record in self.records.of_kind(RecordKind.NODE) if record.rank == MemberState.DEAD]

    def sample(self, count: int, exclude: str = "") -> list[str]:
        """Up to ``count`` of the others, drawn at random."""
        others = self.others()
        drawn = self.rng.sample(others, min(len(others), count + (exclude != "")))
        return [name for name in drawn if name != exclude][:count]
