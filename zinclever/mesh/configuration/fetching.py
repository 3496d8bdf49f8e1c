"""Scheduling of fetches of a newer configuration from peers. No I/O.

Gossip announces a new version, usually before its text is here, and the text is fetched from a peer. A peer that lacks
the text answers so at once, and sends the text later if it gets it soon. After such an answer, and after a failure, a
control node is asked every other time: control nodes have the text as soon as they know that it is committed, while
sidecars may all lack it. A fetch without an answer is a transfer that may be slow; transfers are hedged with increasing
delays, and the first answer is used, even a late one.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass

from .fetch_waiters import WAITER_TIMEOUT

INITIAL_HEDGE_DELAY = 0.6  # s after a fetch before another peer is asked in parallel
MAX_HEDGE_DELAY = 4.8  # s; the delay doubles up to this, as parallel transfers slow each other down on a slow link
MAX_OPEN_FETCHES = 3  # transfers at a time
FETCH_TIMEOUT = 6.0  # s after which a fetch no longer counts as open; earlier releases hold it for 5 s and then drop it
FAILED_RETRY_DELAY = 0.05  # s after a fetch has failed before the next one
EMPTY_RETRY_DELAY = 0.3  # s after a peer has answered that it lacks the text; it often gets and sends it meanwhile
FAILURE_AVOIDANCE_PERIOD = 0.6  # s for which a peer that can't be reached is not asked again
MAX_EXAMINED = 16  # candidates of which one is chosen

Choose = Callable[[Sequence[str]], str]
"""Selects one of several peers."""


def is_never_unresponsive(peer: str) -> bool:
    """Return False: nothing is known of any link."""
    return False


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
        self.avoided_until: dict[str, float] = {}
        """Peers that lack the text or can't be reached, and until when they are not asked again."""
        self.hedge_delay = INITIAL_HEDGE_DELAY
        self.hedge_at = self.retry_at = -math.inf
        self.asked_control_node = False
        """Whether the last fetch went to a control node."""

    def is_due(self, now: float, is_unresponsive: Callable[[str], bool] = is_never_unresponsive) -> bool:
        """Return whether another peer should be asked: a transfer takes long, or none is in progress."""
        if any(not is_unresponsive(peer) for peer in self.open_since):
            return now >= self.hedge_at
        return now >= self.retry_at

    def next_peer(
        self,
        now: float,
        preferred: str,
        peers: Sequence[str],
        choose: Choose,
        control_nodes: Sequence[str] = (),
        is_unresponsive: Callable[[str], bool] = is_never_unresponsive,
    ) -> str | None:
        """Return the next peer to fetch from and mark its fetch as open.

        Args:
            now: Current time in seconds.
            preferred: A peer that has announced the version.
            peers: All candidates.
            choose: Selects one of the candidates if the preferred one cannot be used.
            control_nodes: The control nodes, including those that are believed dead.
            is_unresponsive: Returns whether nothing has been received from a peer for too long.

        Returns:
            None if all candidates have an open fetch, or if the limit of transfers is reached.
        """
        self.expire(now)
        transfers = sum(not is_unresponsive(peer) for peer in self.open_since)
        if transfers >= MAX_OPEN_FETCHES:
            return None

        def is_usable(peer: str) -> bool:
            return peer not in self.open_since and peer not in self.avoided_until and not is_unresponsive(peer)

        def has_no_fetch(peer: str) -> bool:
            return peer not in self.open_since

        peer: str | None
        if preferred in peers and has_no_fetch(preferred) and not is_unresponsive(preferred):
            peer = preferred
        else:
            # The first hedge of a transfer goes to any peer: on slow links all hedges together would overload the core.
            prefers_control = not self.asked_control_node and transfers != 1
            groups = (control_nodes, peers) if prefers_control else (peers, control_nodes)
            picked = (
                pick(group, is_candidate, choose) for is_candidate in (is_usable, has_no_fetch) for group in groups
            )
            peer = next((candidate for candidate in picked if candidate is not None), None)
        if peer is None:
            return None
        self.asked_control_node = peer in control_nodes
        self.open_since[peer] = now
        return peer

    def expire(self, now: float) -> None:
        """Forget fetches that have timed out, and peers that are no longer avoided."""
        self.open_since = {peer: since for peer, since in self.open_since.items() if now - since < FETCH_TIMEOUT}
        self.avoided_until = {peer: until for peer, until in self.avoided_until.items() if now < until}

    def next_delay(self) -> float:
        """Return the delay in seconds before the next peer is asked in parallel; it doubles with each call."""
        delay = self.hedge_delay
        self.hedge_delay = min(MAX_HEDGE_DELAY, 2 * delay)
        return delay

    def on_asked(self, now: float) -> None:
        """Schedule the hedge of a fetch that was sent."""
        self.hedge_at = now + self.next_delay()

    def on_answered(self, peer: str) -> None:
        """Close the fetch of a peer that has sent a text. If there is a newer one, it is fetched immediately."""
        self.open_since.pop(peer, None)
        self.hedge_at = self.retry_at = -math.inf

    def on_empty(self, now: float, peer: str) -> None:
        """Close the fetch of a peer that lacks the text. It still sends the text if it gets it in time."""
        self.close(peer, now + EMPTY_RETRY_DELAY, now + WAITER_TIMEOUT)

    def on_failed(self, now: float, peer: str) -> None:
        """Close the fetch of a peer that could not be reached, or whose connection or text was damaged."""
        self.close(peer, now + FAILED_RETRY_DELAY, now + FAILURE_AVOIDANCE_PERIOD)

    def close(self, peer: str, retry_at: float, avoided_until: float) -> None:
        """Close the fetch of a peer, and ask another one from ``retry_at`` on."""
        if self.open_since.pop(peer, None) is not None:
            self.retry_at = retry_at
        self.avoided_until[peer] = avoided_until

    def finish(self) -> list[str]:
        """Close all fetches once the newest version is active, and return the peers that had not answered."""
        unanswered = list(self.open_since)
        self.open_since.clear()
        self.avoided_until.clear()
        self.hedge_delay = INITIAL_HEDGE_DELAY
        self.hedge_at = self.retry_at = -math.inf
        self.asked_control_node = False
        return unanswered


def pick(peers: Sequence[str], is_candidate: Callable[[str], bool], choose: Choose) -> str | None:
    """Return one of the peers that are candidates, of at most :data:`MAX_EXAMINED` random ones; None if none is."""
    examined = peers if len(peers) <= MAX_EXAMINED else [choose(peers) for _ in range(MAX_EXAMINED)]
    candidates = [peer for peer in examined if is_candidate(peer)]
    return choose(candidates) if candidates else None
