"""What a process waits for: answers to probes, and receipts for news. Pure."""

from __future__ import annotations

import math

from ..transport.mesh_pb2 import Record


class Probe:
    __slots__ = ("asked", "at", "name", "through")

    def __init__(self, name: str, at: float) -> None:
        self.name, self.at, self.asked = name, at, False
        self.through: list[str] = []
        """Others that were asked to try."""


class Receipt:
    """News that is to be known to have arrived."""

    __slots__ = ("at", "owed", "received", "record")

    def __init__(self, record: Record, owed: set[str]) -> None:
        self.record, self.owed, self.at = record, owed, -math.inf
        self.received: set[str] = set()
