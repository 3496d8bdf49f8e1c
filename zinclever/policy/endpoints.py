"""Per-endpoint state."""

from __future__ import annotations

import random
import zlib

from .. import interface
from ..fleet.decaying_mean import DECAY_TIME, NEVER, DecayingMean
from ..fleet.ring import mix


class Endpoint:
    """What this balancer has learned about an endpoint.

    ``rank`` is the endpoint's place in this balancer's own random order; all instants and durations are in ms.
    """

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
        self.ring_position = mix(self.hash)  # on the consistent-hashing ring
        self.inflight = 0
        self.up_index = -1  # index in the partition's list of endpoints that are up; -1: not in it
        self.reset(listed, now, rng)

    def reset(self, listed: interface.ListedEndpoint, now: float, rng: random.Random) -> None:
        """Discard what was learned, as the endpoint's process is a new one."""
        self.success, self.latency, self.served = (
            DecayingMean(DECAY_TIME),
            DecayingMean(DECAY_TIME),
            DecayingMean(DECAY_TIME),
        )
        self.silent_since = self.silent_until = NEVER
        self.served_at = -NEVER
        self.down_until, self.failures = -NEVER, 0
        self.presumed_cold_at = -NEVER  # presumed cold since then, whatever the list says; see SlowStart.mark_cold
        self.tokens, self.tokens_at = rng.random(), now
        self.update(listed)

    def update(self, listed: interface.ListedEndpoint) -> None:
        """Apply the endpoint's entry in the list."""
        self.phase, self.size, self.zone, self.cell = listed.phase, listed.size, listed.zone, listed.cell
        self.started_at = listed.started_at

    def silence(self, now: float) -> float:
        """Return how long the endpoint has been sent requests without answering, in ms.

        Once nothing is in flight the value decreases as fast as it grew.
        """
        if self.silent_since == NEVER:
            return 0.0
        if self.inflight:
            return now - self.silent_since
        return max(0.0, 2 * self.silent_until - self.silent_since - now)
