"""What a process counts for its operators. Counts only grow."""

from __future__ import annotations


class ReplyCounts:
    """Final answers to requests of one class."""

    __slots__ = ("failed", "refused", "served")

    def __init__(self) -> None:
        self.served = self.refused = self.failed = 0

    def mark_failed(self) -> None:
        """What was counted as served when its answer began has failed."""
        self.served -= 1
        self.failed += 1


class Counts:
    """Of one service, from the start of the process on; settings that come with a reload don't begin them anew."""

    __slots__ = ("concurrent", "replies")

    def __init__(self) -> None:
        self.concurrent = 0
        """Requests taken and not yet ended."""
        self.replies: dict[str, ReplyCounts] = {}

    def of(self, name: str) -> ReplyCounts:
        """Those of a class by its name."""
        replies = self.replies.get(name)
        if replies is None:
            replies = self.replies[name] = ReplyCounts()
        return replies
