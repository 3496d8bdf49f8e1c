"""Quorum of receipts that is required before the drain or departure of an endpoint is acknowledged. No I/O.

A process that has acknowledged a drain may lose power immediately afterwards, together with as many control nodes as
the fault model tolerates. The record therefore has to be held by one control node more than may be lost, and by the
sidecar in front of the endpoint, which handles every request to it. If that sidecar doesn't confirm the record, another
sidecar suffices. The counts follow from the fault model and never from the current membership: a partitioned process
receives no receipts and acknowledges nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

SIDECAR_PREFERENCE_PERIOD = 0.4  # s to wait for the endpoint's own sidecar before another sidecar's receipt suffices


@dataclass(frozen=True, slots=True)
class ReceiptQuorum:
    """The recipients of a record and the receipts that are required."""

    control_nodes: frozenset[str]
    """Control nodes other than this process."""
    required_control_receipts: int
    endpoint_sidecar: str
    """The sidecar in front of the endpoint; empty if it is unknown or is this process."""
    sidecars: frozenset[str]
    """Sidecars other than this process, including the endpoint's own sidecar if that is considered alive."""

    def recipients(self) -> frozenset[str]:
        """Return all nodes that the record is sent to."""
        return self.control_nodes | self.sidecars

    def is_reached(self, received: Iterable[str], waited: float) -> bool:
        """Return whether the receipts of the nodes ``received`` suffice after ``waited`` seconds."""
        confirmed_by = frozenset(received)
        if len(confirmed_by & self.control_nodes) < self.required_control_receipts:
            return False
        if self.endpoint_sidecar in confirmed_by or not self.sidecars:
            return True
        if self.endpoint_sidecar in self.sidecars and waited < SIDECAR_PREFERENCE_PERIOD:
            return False
        return bool(confirmed_by & self.sidecars)
