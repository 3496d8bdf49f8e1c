"""When the end of an endpoint may be acknowledged: by whom else it has to be known first. Pure.

A process that acknowledged a drain may lose power in the next instant, and with it as many members of the core as the
fault model allows. So the news is held by one member of the core more than may be lost, and by the keeper of the
endpoint, through which every request to it goes. Counts follow from the fault model, never from who is thought to
live: one that is cut off has nobody left to ask, and acknowledges nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

SIDECAR_PREFERRED_FOR = (
    0.4  # s for which the keeper of the endpoint is waited for, before another sidecar's receipt does instead
)


@dataclass(frozen=True, slots=True)
class ReceiptQuorum:
    """The processes that are told, and how many of them have to say that they know."""

    control_nodes: frozenset[str]
    """Members of the core other than this process."""
    required_control_receipts: int
    """Receipts of members of the core."""
    endpoint_sidecar: str
    """The keeper of the endpoint; empty where none is known, or where this process is the keeper."""
    sidecars: frozenset[str]
    """Sidecars other than this process, the keeper among them where it is thought to live."""

    def recipients(self) -> frozenset[str]:
        return self.control_nodes | self.sidecars

    def is_reached(self, received: Iterable[str], waited: float) -> bool:
        """Whether these receipts are enough after so many seconds."""
        told = frozenset(received)
        if len(told & self.control_nodes) < self.required_control_receipts:
            return False
        if self.endpoint_sidecar in told or not self.sidecars:
            return True
        if self.endpoint_sidecar in self.sidecars and waited < SIDECAR_PREFERRED_FOR:
            return False
        return bool(told & self.sidecars)
