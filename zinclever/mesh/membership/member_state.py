"""The state of a member, as its record tells it, and which records have to spread within a bound."""

from __future__ import annotations

import enum

from ..transport.mesh_pb2 import Record
from .records import ENDPOINT, NODE, VERSION


class MemberState(enum.IntEnum):
    """The state of a process of the mesh: the rank of its record."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @classmethod
    def of(cls, record: Record) -> MemberState:
        """The state that the record of a process tells; ranks of later versions count as LEFT."""
        return cls(min(record.rank, cls.LEFT))

    @property
    def label(self) -> str:
        """The name in answers to operators: ``live``, ``suspect``, ``dead`` or ``left``."""
        return "live" if self is MemberState.ALIVE else self.name.lower()


def is_urgent(record: Record) -> bool:
    """Whether a record has to reach all others within a bound: versions, drains, departures, processes that leave."""
    if record.kind == VERSION:
        return True
    if record.kind == ENDPOINT:
        return record.rank > 0
    return record.kind == NODE and record.rank == MemberState.LEFT
