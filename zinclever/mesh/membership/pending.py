"""What a process waits for: answers to probes, and receipts for news. Pure."""

from __future__ import annotations

import math

from ..transport.mesh_pb2 import Record


class Probe:
    __slots__ = ("indirect", "relays", "sent_at", "target")

    def __init__(self, target: str, sent_at: float) -> None:
        self.target, self.sent_at, self.indirect = target, sent_at, False
        self.relays: list[str] = []
        """Others that were asked to try."""


class ConfirmedBroadcast:
    """News that is to be known to have arrived."""

    __slots__ = ("confirmed_by", "recipients", "record", "sent_at")

    def __init__(self, record: Record, recipients: set[str]) -> None:
        self.record, self.recipients, self.sent_at = record, recipients, -math.inf
        self.confirmed_by: set[str] = set()
