"""Decides to which lagging voters the leader sends a snapshot. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

SNAPSHOT_AFTER = 0.3  # seconds that a voter may lack an entry before it is sent a snapshot


@dataclass(frozen=True, slots=True)
class Lag:
    """The first committed entry that a voter is known to lack, and since when."""

    index: int
    since: float
    """In seconds."""


class LagMonitor:
    """Tracks, on the leader, how long each voter has lacked an entry.

    Only the time for which a voter lacks the same entry counts. A voter that trails by one entry but keeps advancing,
    which is normal under a high rate of changes, needs no snapshot.
    """

    def __init__(self) -> None:
        self.lags: dict[str, Lag] = {}
        """By disk ID."""

    def needs_snapshot(self, now: float, disk: str, reported: int, committed: int) -> bool:
        """Whether a voter that reports commit index ``reported`` needs a snapshot of the entry at ``committed``."""
        lag = self.lags.get(disk)
        if lag is None or reported >= lag.index:
            lag = self.lags[disk] = Lag(committed, now)
        if reported >= committed:
            del self.lags[disk]
            return False
        return self.has_lasted(now, disk, lag)

    def needs_repair(self, now: float, disk: str, committed: int) -> bool:
        """Whether a voter whose entry at index ``committed`` differs from the majority's needs a snapshot."""
        lag = self.lags.setdefault(disk, Lag(committed + 1, now))
        return self.has_lasted(now, disk, lag)

    def has_lasted(self, now: float, disk: str, lag: Lag) -> bool:
        """Whether a lag has lasted longer than :data:`SNAPSHOT_AFTER`; if so, restarts its timer."""
        if now - lag.since <= SNAPSHOT_AFTER:
            return False
        self.lags[disk] = Lag(lag.index, now)
        return True

    def retain(self, disks: set[str]) -> None:
        """Forget the lags of all other disks, which are no longer voters."""
        for disk in self.lags.keys() - disks:
            del self.lags[disk]
