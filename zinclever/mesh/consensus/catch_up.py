"""Which members are to be sent the committed entry, as they don't come to it by themselves. Pure."""

from __future__ import annotations

from typing import NamedTuple

CATCH_UP_AFTER = 0.3  # s for which a member lacks an entry before it is sent the committed one


class Lacking(NamedTuple):
    """What a member lacks, and since when."""

    number: int
    since: float


class CatchUpWatch:
    """The leader's view of the others. A member that is always one entry behind, as everybody is while changes come
    fast, is not sent anything: it only counts how long it lacks one and the same entry."""

    def __init__(self) -> None:
        self.lacking: dict[str, Lacking] = {}

    def is_due(self, now: float, disk: str, told: int, committed: int) -> bool:
        """Whether a member that has told of entry ``told`` is to be sent the one that is committed now."""
        lacks = self.lacking.get(disk)
        if lacks is None or told >= lacks.number:
            lacks = self.lacking[disk] = Lacking(committed, now)
        if told >= committed:
            del self.lacking[disk]
            return False
        return self.waited(now, disk, lacks)

    def differs(self, now: float, disk: str, committed: int) -> bool:
        """Whether a member that has the entry otherwise than most is to be sent it."""
        lacks = self.lacking.setdefault(disk, Lacking(committed + 1, now))
        return self.waited(now, disk, lacks)

    def waited(self, now: float, disk: str, lacks: Lacking) -> bool:
        if now - lacks.since <= CATCH_UP_AFTER:
            return False
        self.lacking[disk] = Lacking(lacks.number, now)
        return True

    def keep_only(self, disks: set[str]) -> None:
        """Members that are no voters any more are forgotten."""
        for disk in self.lacking.keys() - disks:
            del self.lacking[disk]
