"""Scheduling of fetches of a newer configuration from peers, and queueing of the fetches of peers. No I/O.

Gossip announces a new version, and its text is fetched from a peer. A peer that doesn't have the version yet, is
stalled or is behind a slow link answers late. Fetches are therefore hedged: further peers are asked in parallel with
increasing delays, and the first answer is used, even a late one.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from typing import Generic, TypeVar

INITIAL_HEDGE_DELAY = 0.6  # s after the first fetch before a second peer is asked in parallel
MAX_HEDGE_DELAY = 4.8  # s; the delay doubles up to this, as parallel transfers slow each other down on a slow link
MAX_OPEN_FETCHES = 3
FETCH_TIMEOUT = 30.0  # s after which a fetch no longer counts as open
MAX_WAITERS = 1024  # connections whose peers wait for a version
WAITER_TIMEOUT = 5.0  # s after which a waiting fetch is dropped; the peer has asked other processes by then

ConnectionT = TypeVar("ConnectionT")
RequestT = TypeVar("RequestT")


@dataclass(slots=True)
class FetchCounters:
    """Counts of fetches since the start of the process."""

    sent: int = 0
    texts: int = 0
    """Answers that held a configuration."""
    empty: int = 0
    """Answers of peers that don't have the requested version."""
    failed: int = 0
    """Fetches whose peer could not be reached, or whose connection was lost."""
    held: int = 0
    """Fetches of peers for a version that was not active here."""
    dropped: int = 0
    """Of these, the ones that were neither answered in time nor withdrawn."""

    def as_dict(self) -> dict[str, int]:
        """Return the counters by name, as they are logged."""
        return asdict(self)


class FetchScheduler:
    """Selects the peers from which the newest known version is fetched."""

    def __init__(self) -> None:
        self.open_since: dict[str, float] = {}
        """Peers with an open fetch and the time at which it started."""
        self.hedge_delay = INITIAL_HEDGE_DELAY

    def next_peer(
        self, now: float, preferred: str, peers: Sequence[str], choose: Callable[[Sequence[str]], str]
    ) -> str | None:
        """Return the next peer to fetch from and mark its fetch as open.

        Args:
            now: Current time in seconds.
            preferred: A peer that is known to have the version.
            peers: All candidates.
            choose: Selects one of the candidates if the preferred one cannot be used.

        Returns:
            None if all candidates have an open fetch, or if the limit of open fetches is reached.
        """
        for peer in [peer for peer, since in self.open_since.items() if now - since >= FETCH_TIMEOUT]:
            del self.open_since[peer]
        if len(self.open_since) >= MAX_OPEN_FETCHES:
            return None
        candidates = [peer for peer in peers if peer not in self.open_since]
        if not candidates:
            return None
        peer = preferred if preferred in candidates else choose(candidates)
        self.open_since[peer] = now
        return peer

    def next_delay(self) -> float:
        """Return the delay in seconds before the next peer is asked in parallel; it doubles with each call."""
        delay = self.hedge_delay
        self.hedge_delay = min(MAX_HEDGE_DELAY, 2 * delay)
        return delay

    def on_answered(self, peer: str) -> None:
        """Close the fetch of a peer that has answered or whose connection is lost."""
        self.open_since.pop(peer, None)

    def finish(self) -> list[str]:
        """Close all fetches once the newest version is active, and return the peers that had not answered."""
        unanswered = list(self.open_since)
        self.open_since.clear()
        self.hedge_delay = INITIAL_HEDGE_DELAY
        return unanswered


@dataclass(frozen=True, slots=True)
class Waiter(Generic[RequestT]):
    """A fetch request that waits for a version, with the time of its arrival."""

    request: RequestT
    since: float


class FetchWaiters(Generic[ConnectionT, RequestT]):
    """Fetch requests of peers for a version that is not active here yet: the latest one of each connection."""

    def __init__(self) -> None:
        self.waiters: dict[ConnectionT, Waiter[RequestT]] = {}

    def add(self, now: float, connection: ConnectionT, request: RequestT) -> bool:
        """Add a request, replacing an earlier one of the connection. Returns False if the limit is reached."""
        if connection not in self.waiters and len(self.waiters) >= MAX_WAITERS:
            self.waiters = {
                other: waiter for other, waiter in self.waiters.items() if now - waiter.since < WAITER_TIMEOUT
            }
            if len(self.waiters) >= MAX_WAITERS:
                return False
        self.waiters[connection] = Waiter(request, now)
        return True

    def take_all(self, now: float) -> list[tuple[ConnectionT, RequestT]]:
        """Remove all requests, and return those that have not timed out."""
        waiters, self.waiters = self.waiters, {}
        return [
            (connection, waiter.request)
            for connection, waiter in waiters.items()
            if now - waiter.since < WAITER_TIMEOUT
        ]

    def drop(self, connection: ConnectionT) -> None:
        """Remove the request of a lost connection."""
        self.waiters.pop(connection, None)
