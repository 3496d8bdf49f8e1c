"""Which voters are to be sent a snapshot, as they don't get to the committed entry by themselves. Pure."""

from __future__ import annotations

from dataclasses import dataclass

SNAPSHOT_AFTER = 0.3  # s for which a voter lacks an entry before it is sent the committed one


@dataclass(frozen=True, slots=True)
class Lag:
    """The entry that a voter lacks, and since when."""

    index: int
    since: float


class LagMonitor:
    """The leader's view of the others.

    A voter that is always one entry behind, as every voter is while changes come fast, is not sent anything: only the
    time counts for which it lacks one and the same entry.
    """

    def __init__(self) -> None:
        self.lags: dict[str, Lag] = {}
        """By disk."""

    def is_due(self, now: float, disk: str, reported: int, committed: int) -> bool:
        """Whether a voter that has reported index ``reported`` is to be sent the entry at index ``committed``."""
        lag = self.lags.get(disk)
        if lag is None or reported >= lag.index:
            lag = self.lags[disk] = Lag(committed, now)
        if reported >= committed:
            del self.lags[disk]
            return False
        return self.has_lasted(now, disk, lag)

    def differs(self, now: float, disk: str, committed: int) -> bool:
        """Whether a voter that has another entry than the majority at index ``committed`` is to be sent it."""
        lag = self.lags.setdefault(disk, Lag(committed + 1, now))
        return self.has_lasted(now, disk, lag)

    def has_lasted(self, now: float, disk: str, lag: Lag) -> bool:
        """Whether a lag has lasted for :data:`SNAPSHOT_AFTER`; if so, its time begins anew."""
        if now - lag.since <= SNAPSHOT_AFTER:
            return False
        self.lags[disk] = Lag(lag.index, now)
        return True

    def keep_only(self, disks: set[str]) -> None:
        """Forget whoever is no voter any more."""
        for disk in self.lags.keys() - disks:
            del self.lags[disk]
