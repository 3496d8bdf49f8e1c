"""What is thought of a process of the mesh, and which news has a bound."""

from __future__ import annotations

import enum

from ..transport.mesh_pb2 import Record
from .records import ENDPOINT, NODE, VERSION


class Standing(enum.IntEnum):
    """What is thought of a process: the rank of its record."""

    LIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


def urgent(r: Record) -> bool:
    """Whether others have to know it within a bound."""
    return r.kind == VERSION or (r.kind == ENDPOINT and r.rank > 0) or (r.kind == NODE and r.rank == Standing.LEFT)
