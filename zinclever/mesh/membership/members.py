"""View of the other nodes of the mesh, derived from the held records. No I/O."""

from __future__ import annotations

from random import Random

from ...core.protocol import Address
from ..transport.mesh_pb2 import NodeInfo
from .record_store import RecordStore
from .records import CONTROL, ENDED_RANK, MemberState, RecordKind


class Members:
    """The node records as seen by the node ``name``."""

    def __init__(self, name: str, records: RecordStore, rng: Random) -> None:
        self.name = name
        self.records = records
        self.rng = rng
        self.cached_revision = -1
        self.cached_others: list[str] = []
        self.cached_control_nodes: list[str] = []

    def node_info(self, name: str) -> NodeInfo | None:
        """Return the description of a node, or None if the node is unknown."""
        record = self.records.get(RecordKind.NODE, name)
        return NodeInfo.FromString(record.body) if record is not None else None

    def state_of(self, name: str) -> MemberState | None:
        """Return the state of a node, or None if the node is unknown."""
        record = self.records.get(RecordKind.NODE, name)
        return MemberState.of(record) if record is not None else None

    def address_of(self, name: str) -> Address | None:
        """Return the address of a node for gossip and for channels, or None if the node is unknown."""
        info = self.node_info(name)
        return (info.ip, info.port) if info is not None else None

    def others(self) -> list[str]:
        """Return the names of the other nodes that are alive or suspect. The cached list must not be modified."""
        self.refresh_cache()
        return self.cached_others

    def control_nodes(self) -> list[str]:
        """Return the names of the other control nodes that have not left. The cached list must not be modified.

        Dead ones are included: they may be back before their records say so.
        """
        self.refresh_cache()
        return self.cached_control_nodes

    def refresh_cache(self) -> None:
        """Update the cached lists if a node record has changed."""
        if self.cached_revision == self.records.nodes_revision:
            return
        self.cached_revision = self.records.nodes_revision
        others = [record for record in self.records.of_kind(RecordKind.NODE) if record.id != self.name]
        self.cached_others = [record.id for record in others if record.rank < ENDED_RANK]
        self.cached_control_nodes = [
            record.id
            for record in others
            if record.rank < MemberState.LEFT and NodeInfo.FromString(record.body).role == CONTROL
        ]

    def dead(self) -> list[str]:
        """Return the names of the nodes that were declared dead and whose records have not expired."""
        return [record.id for record in self.records.of_kind(RecordKind.NODE) if record.rank == MemberState.DEAD]

    def sample(self, count: int, exclude: str = "") -> list[str]:
        """Return up to ``count`` random names of other nodes that are alive or suspect."""
        others = self.others()
        sampled = self.rng.sample(others, min(len(others), count + (exclude != "")))
        return [name for name in sampled if name != exclude][:count]
