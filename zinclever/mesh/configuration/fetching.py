"""Who is asked for a configuration that is newer than the one in force, and who waits here for one. Pure.

A version's record comes by gossip, its text from a peer that has it. A peer that is behind, frozen or at the end of a
slow link keeps its answer back for a while: others are asked beside it, each after a longer pause, and whichever answer
comes first is taken, also a late one.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

INITIAL_PATIENCE = 0.6  # s for which the first peer is waited for before another is asked beside it
MAX_PATIENCE = 4.8  # s; it doubles from the first on: on a slow link texts that cross only hold each other up
MAX_OPEN_FETCHES = 3  # peers whose answers are outstanding at once
FETCH_TIMEOUT = 30.0  # s after which an answer is waited for no more
MAX_WAITERS = 1024  # links on which an asker waits here for a version
WAITER_TIMEOUT = 5.0  # s for which it does: it has asked another long before

L = TypeVar("L")
A = TypeVar("A")


class FetchScheduler:
    """The peers that are asked for the newest version known of."""

    def __init__(self) -> None:
        self.open_since: dict[str, float] = {}
        """Peers whose answer is outstanding, and since when."""
        self.patience = INITIAL_PATIENCE

    def next_peer(
        self, now: float, teller: str, peers: Sequence[str], draw: Callable[[Sequence[str]], str]
    ) -> str | None:
        """The next peer to ask: who told of the version if possible, else any that isn't asked yet. None where there
        is none, or where enough are asked already."""
        for peer in [p for p, since in self.open_since.items() if now - since >= FETCH_TIMEOUT]:
            del self.open_since[peer]
        if len(self.open_since) >= MAX_OPEN_FETCHES:
            return None
        free = [p for p in peers if p not in self.open_since]
        if not free:
            return None
        peer = teller if teller in free else draw(free)
        self.open_since[peer] = now
        return peer

    def next_delay(self) -> float:
        """s for which the peer that was asked last is waited for before the next one is asked beside it."""
        patience = self.patience
        self.patience = min(MAX_PATIENCE, 2 * patience)
        return patience

    def on_answered(self, peer: str) -> None:
        """It has answered, or its link is lost."""
        self.open_since.pop(peer, None)

    def finish(self) -> list[str]:
        """The newest version is in force: the peers whose answers are not needed any more."""
        rest = list(self.open_since)
        self.open_since.clear()
        self.patience = INITIAL_PATIENCE
        return rest


class FetchWaiters(Generic[L, A]):
    """Askers that wait here for a version: one on each link, the one that asked last."""

    def __init__(self) -> None:
        self.waiters: dict[L, tuple[A, float]] = {}

    def add(self, now: float, link: L, asker: A) -> bool:
        """Whether there is room for it."""
        if link not in self.waiters and len(self.waiters) >= MAX_WAITERS:
            self.waiters = {other: w for other, w in self.waiters.items() if now - w[1] < WAITER_TIMEOUT}
            if len(self.waiters) >= MAX_WAITERS:
                return False
        self.waiters[link] = asker, now
        return True

    def take_all(self, now: float) -> list[tuple[L, A]]:
        """Those that wait still; nobody waits afterwards."""
        held, self.waiters = self.waiters, {}
        return [(link, asker) for link, (asker, since) in held.items() if now - since < WAITER_TIMEOUT]

    def drop(self, link: L) -> None:
        self.waiters.pop(link, None)
