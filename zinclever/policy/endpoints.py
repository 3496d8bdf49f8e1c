"""What this balancer knows of one endpoint."""

from __future__ import annotations

import random
import zlib

from .. import interface as i
from ..fleet.ring import mix
from ..fleet.smooth import MEMORY, NEVER, Smooth


class Endpoint:
    """What this balancer knows of one endpoint."""

    __slots__ = (
        "cell",
        "down_until",
        "failures",
        "good",
        "hash",
        "inflight",
        "latency",
        "mark",
        "name",
        "near",
        "phase",
        "presumed_at",
        "quiet_from",
        "quiet_to",
        "rank",
        "served",
        "served_at",
        "size",
        "started_at",
        "tokens",
        "tokens_at",
        "up_at",
        "zone",
    )

    def __init__(self, listed: i.Listed, now: float, rng: random.Random) -> None:
        self.name, self.rank, self.near = listed.endpoint, rng.random(), True
        self.hash = zlib.crc32(self.name.encode())
        self.mark = mix(self.hash)  # its place on the ring of keepers
        self.inflight = 0
        self.up_at = -1  # place among those of its side that are up
        self.forget(listed, now, rng)

    def forget(self, listed: i.Listed, now: float, rng: random.Random) -> None:
        """A new process: nothing learnt of the old one holds."""
        self.good, self.latency, self.served = Smooth(MEMORY), Smooth(MEMORY), Smooth(MEMORY)
        self.quiet_from = self.quiet_to = NEVER
        self.served_at = -NEVER
        self.down_until, self.failures = -NEVER, 0
        self.presumed_at = -NEVER  # from when on it is taken for cold, whatever the list says
        self.tokens, self.tokens_at = rng.random(), now
        self.tell(listed)

    def tell(self, listed: i.Listed) -> None:
        self.phase, self.size, self.zone, self.cell = listed.phase, listed.size, listed.zone, listed.cell
        self.started_at = listed.started_at

    def silence(self, now: float) -> float:
        """How long it was asked without a word; once nothing is out this wears off as fast as it grew."""
        if self.quiet_from == NEVER:
            return 0.0
        if self.inflight:
            return now - self.quiet_from
        return max(0.0, 2 * self.quiet_to - self.quiet_from - now)
