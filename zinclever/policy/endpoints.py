"""What this balancer knows of one endpoint."""

from __future__ import annotations

import random
import zlib

from .. import interface
from ..fleet.ring import mix
from ..fleet.smooth import MEMORY, NEVER, Smooth


class Endpoint:
    """What this balancer knows of one endpoint."""

    __slots__ = (
        "cell",
        "down_until",
        "failures",
        "hash",
        "inflight",
        "is_near",
        "latency",
        "name",
        "phase",
        "presumed_cold_at",
        "rank",
        "ring_position",
        "served",
        "served_at",
        "silent_since",
        "silent_until",
        "size",
        "started_at",
        "success",
        "tokens",
        "tokens_at",
        "up_index",
        "zone",
    )

    def __init__(self, listed: interface.ListedEndpoint, now: float, rng: random.Random) -> None:
        self.name, self.rank, self.is_near = listed.endpoint, rng.random(), True
        self.hash = zlib.crc32(self.name.encode())
        self.ring_position = mix(self.hash)  # its place on the ring of keepers
        self.inflight = 0
        self.up_index = -1  # place among those of its side that are up
        self.reset(listed, now, rng)

    def reset(self, listed: interface.ListedEndpoint, now: float, rng: random.Random) -> None:
        """A new process: nothing learnt of the old one holds."""
        self.success, self.latency, self.served = Smooth(MEMORY), Smooth(MEMORY), Smooth(MEMORY)
        self.silent_since = self.silent_until = NEVER
        self.served_at = -NEVER
        self.down_until, self.failures = -NEVER, 0
        self.presumed_cold_at = -NEVER  # from when on it is taken for cold, whatever the list says
        self.tokens, self.tokens_at = rng.random(), now
        self.update(listed)

    def update(self, listed: interface.ListedEndpoint) -> None:
        """Take in what discovery lists."""
        self.phase, self.size, self.zone, self.cell = listed.phase, listed.size, listed.zone, listed.cell
        self.started_at = listed.started_at

    def silence(self, now: float) -> float:
        """How long it was asked without a word; once nothing is out this wears off as fast as it grew."""
        if self.silent_since == NEVER:
            return 0.0
        if self.inflight:
            return now - self.silent_since
        return max(0.0, 2 * self.silent_until - self.silent_since - now)
