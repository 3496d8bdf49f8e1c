"""Confirmations by the voters that a replica still leads, as in Raft's ReadIndex. Pure.

An answer that states what is current must not come from a leader that was replaced without noticing it: one that stood
still, or that is cut off. So the leader asks the voters, after the call came, whether they have promised themselves to
a higher term. Once a majority has said no, nobody else had been elected when the call came: whoever was elected since
needs the vote of one of them, given after its confirmation. No clock has a part in it.

Source: Consensus: Bridging Theory and Practice (Ongaro, 2014), section 6.4.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from ..transport.mesh_pb2 import Voter
from .quorum import has_majority

CONFIRM_RESEND_INTERVAL = 0.1  # s after which a voter that has not confirmed is asked again


class LeadershipConfirmations:
    """Rounds of requests under one term.

    A confirmation of a round holds for the rounds before it, too, as it was given later than they began.
    """

    def __init__(self) -> None:
        self.round = 0
        """The newest round. It rises for as long as the process lives, so that no round has the number of an earlier
        term's."""
        self.requested_round = 0
        """The newest round that the voters were asked to confirm."""
        self.requested_at = 0.0
        """In s."""
        self.confirmed: dict[str, int] = {}
        """By disk of a voter: the newest round that it has confirmed."""

    def begin(self) -> int:
        """Begin a round: its number."""
        self.round += 1
        return self.round

    def is_due(self, wanted: int, now: float) -> bool:
        """Whether the voters are to be asked for round ``wanted``; 0 for none."""
        return wanted > self.requested_round or (wanted > 0 and now - self.requested_at >= CONFIRM_RESEND_INTERVAL)

    def on_requested(self, wanted: int, now: float) -> None:
        """The voters are asked for a round now."""
        self.requested_round, self.requested_at = wanted, now

    def record(self, disk: str, confirmed_round: int) -> None:
        """A voter has confirmed a round."""
        if confirmed_round <= self.round:
            self.confirmed[disk] = max(confirmed_round, self.confirmed.get(disk, 0))

    def has_confirmed(self, disk: str, wanted: int) -> bool:
        """Whether a voter has confirmed round ``wanted`` or a later one."""
        return self.confirmed.get(disk, 0) >= wanted

    def is_confirmed(self, wanted: int, voters: Sequence[Voter], own: Collection[str]) -> bool:
        """Whether a majority has confirmed a round; ``own``: disks that need not be asked."""
        confirmed = {disk for disk in self.confirmed if self.has_confirmed(disk, wanted)}
        return has_majority(voters, confirmed | set(own))

    def reset(self) -> None:
        """The term ends: what was confirmed under it says nothing about a later one."""
        self.confirmed.clear()
