"""When the end of an endpoint may be acknowledged: which other processes have to hold its record first. Pure.

A process that acknowledged a drain may lose power in the next instant, and with it as many control nodes as the fault
model allows. So the record has to be held by one control node more than may be lost, and by the sidecar in front of the
endpoint, through which every request to it goes. The counts follow from the fault model, never from who is thought to
be alive: a process that is cut off has nobody left to ask, and acknowledges nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

SIDECAR_PREFERENCE_PERIOD = (
    0.4  # s for which the endpoint's own sidecar is waited for, before another's receipt will do
)


@dataclass(frozen=True, slots=True)
class ReceiptQuorum:
    """The processes that get the record, and how many of them have to confirm it."""

    control_nodes: frozenset[str]
    """Control nodes other than this process."""
    required_control_receipts: int
    endpoint_sidecar: str
    """The sidecar in front of the endpoint; empty where none is known, or where it is this process."""
    sidecars: frozenset[str]
    """Sidecars other than this process, the endpoint's own among them where it is thought to be alive."""

    def recipients(self) -> frozenset[str]:
        """All processes that get the record."""
        return self.control_nodes | self.sidecars

    def is_reached(self, received: Iterable[str], waited: float) -> bool:
        """Whether receipts of these processes are enough after ``waited`` s."""
        confirmed_by = frozenset(received)
        if len(confirmed_by & self.control_nodes) < self.required_control_receipts:
            return False
        if self.endpoint_sidecar in confirmed_by or not self.sidecars:
            return True
        if self.endpoint_sidecar in self.sidecars and waited < SIDECAR_PREFERENCE_PERIOD:
            return False
        return bool(confirmed_by & self.sidecars)
