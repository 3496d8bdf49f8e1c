"""Who is asked for a configuration that is newer than the one in force, and who waits here for one. Pure.

A version's record comes by gossip, its text from a peer that has it. A peer that is behind, frozen or at the end of a
slow link keeps its answer back for a while: others are asked beside it, each after a longer pause, and whichever answer
comes first is taken, also a late one.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

FIRST_PATIENCE = 0.6  # s for which the first peer is waited for before another is asked beside it
MOST_PATIENCE = 4.8  # s; it doubles from the first on: on a slow link texts that cross only hold each other up
MOST_ASKED = 3  # peers whose answers are outstanding at once
ABANDONED = 30.0  # s after which an answer is waited for no more
MOST_WAITING = 1024  # links on which an asker waits here for a version
WAITS = 5.0  # s for which it does: it has asked another long before

L = TypeVar("L")
A = TypeVar("A")


class Inquiry:
    """The peers that are asked for the newest version known of."""

    def __init__(self) -> None:
        self.asked: dict[str, float] = {}
        """Peers whose answer is outstanding, and since when."""
        self.patience = FIRST_PATIENCE

    def choose(self, now: float, teller: str, peers: Sequence[str], draw: Callable[[Sequence[str]], str]) -> str | None:
        """The next peer to ask: who told of the version if possible, else any that isn't asked yet. None where there
        is none, or where enough are asked already."""
        for peer in [p for p, since in self.asked.items() if now - since >= ABANDONED]:
            del self.asked[peer]
        if len(self.asked) >= MOST_ASKED:
            return None
        free = [p for p in peers if p not in self.asked]
        if not free:
            return None
        peer = teller if teller in free else draw(free)
        self.asked[peer] = now
        return peer

    def waits(self) -> float:
        """s for which the peer that was asked last is waited for before the next one is asked beside it."""
        patience = self.patience
        self.patience = min(MOST_PATIENCE, 2 * patience)
        return patience

    def answered(self, peer: str) -> None:
        """It has answered, or its link is lost."""
        self.asked.pop(peer, None)

    def satisfied(self) -> list[str]:
        """The newest version is in force: the peers whose answers are not needed any more."""
        rest = list(self.asked)
        self.asked.clear()
        self.patience = FIRST_PATIENCE
        return rest


class Waiting(Generic[L, A]):
    """Askers that wait here for a version: one on each link, the one that asked last."""

    def __init__(self) -> None:
        self.held: dict[L, tuple[A, float]] = {}

    def add(self, now: float, link: L, asker: A) -> bool:
        """Whether there is room for it."""
        if link not in self.held and len(self.held) >= MOST_WAITING:
            self.held = {other: w for other, w in self.held.items() if now - w[1] < WAITS}
            if len(self.held) >= MOST_WAITING:
                return False
        self.held[link] = asker, now
        return True

    def take(self, now: float) -> list[tuple[L, A]]:
        """Those that wait still; nobody waits afterwards."""
        held, self.held = self.held, {}
        return [(link, asker) for link, (asker, since) in held.items() if now - since < WAITS]

    def drop(self, link: L) -> None:
        self.held.pop(link, None)
