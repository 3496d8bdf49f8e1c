"""Counters of a process, shown to operators."""

from __future__ import annotations


class ReplyCounts:
    """Counts of final answers to requests of one class."""

    __slots__ = ("failed", "refused", "served")

    def __init__(self) -> None:
        self.served = self.refused = self.failed = 0

    def mark_failed(self) -> None:
        """Moves an answer, counted as served when its transfer began, to the failed ones."""
        self.served -= 1
        self.failed += 1


class Counts:
    """Counters of one service since the start of the process; a reload of the settings doesn't reset them."""

    __slots__ = ("concurrent", "replies")

    def __init__(self) -> None:
        self.concurrent = 0
        """Requests in progress."""
        self.replies: dict[str, ReplyCounts] = {}
        """Reply counts by the name of the class."""

    def of(self, name: str) -> ReplyCounts:
        """Returns the reply counts of a class, by its name; creates them on first use."""
        replies = self.replies.get(name)
        if replies is None:
            replies = self.replies[name] = ReplyCounts()
        return replies
