"""Confirmation of the leadership by a majority of the voters, as in Raft's ReadIndex. No I/O.

A leader that was paused or partitioned may have been replaced without noticing, and must not answer from stale state.
After it has received a call, it therefore requests confirmations from the voters that they still accept its term. Once
a majority has confirmed, no other leader had been elected when the call was received: a later leader needs the vote of
one of these voters, given after its confirmation. The method doesn't depend on clocks.

See section 6.4 of Consensus: Bridging Theory and Practice (Ongaro, 2014).
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from ..transport.mesh_pb2 import Voter
from .quorum import has_majority

CONFIRM_RESEND_INTERVAL = 0.1  # seconds until the request to voters that have not confirmed is resent


class LeadershipConfirmations:
    """Rounds of confirmation requests within one term.

    A confirmation of a round also confirms all earlier rounds, because it was given after they began.
    """

    def __init__(self) -> None:
        self.round = 0
        """Number of the newest round. Not reset between terms, so that no number is used twice in a process."""
        self.requested_round = 0
        """The newest round that was requested from the voters."""
        self.requested_at = 0.0
        """In seconds."""
        self.confirmed: dict[str, int] = {}
        """The newest round that each voter has confirmed, by disk ID."""

    def begin_round(self) -> int:
        """Begin a round and return its number."""
        self.round += 1
        return self.round

    def is_due(self, wanted: int, now: float) -> bool:
        """Whether to request confirmations of round ``wanted`` now; 0 stands for no round."""
        return wanted > self.requested_round or (wanted > 0 and now - self.requested_at >= CONFIRM_RESEND_INTERVAL)

    def on_requested(self, wanted: int, now: float) -> None:
        """Record that confirmations of a round were requested."""
        self.requested_round, self.requested_at = wanted, now

    def record(self, disk: str, confirmed_round: int) -> None:
        """Record that a voter has confirmed a round."""
        if confirmed_round <= self.round:
            self.confirmed[disk] = max(confirmed_round, self.confirmed.get(disk, 0))

    def has_confirmed(self, disk: str, wanted: int) -> bool:
        """Whether a voter has confirmed round ``wanted`` or a later one."""
        return self.confirmed.get(disk, 0) >= wanted

    def is_confirmed(self, wanted: int, voters: Sequence[Voter], own_disks: Collection[str]) -> bool:
        """Whether a majority has confirmed a round.

        Args:
            wanted: The round.
            voters: The current voters.
            own_disks: Disks that count as confirmed without a request.
        """
        confirmed = {disk for disk in self.confirmed if self.has_confirmed(disk, wanted)}
        return has_majority(voters, confirmed | set(own_disks))

    def reset(self) -> None:
        """Discard the confirmations at the end of a term."""
        self.confirmed.clear()
