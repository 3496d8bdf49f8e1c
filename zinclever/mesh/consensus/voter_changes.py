"""What a leader knows of changes of the voters that are due: who wants in, who leaves, what is durable on whose disk.

A newcomer is a learner first: it gets the committed entry and says that it is on its disk, before it is proposed as a
voter. One that leaves is let go once the committed entry is on enough disks of the others. Pure; the rules of which
voters follow are in :mod:`.quorum`.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence

from ..transport.mesh_pb2 import LogEntry, Voter
from .quorum import VoterChange, commit_quorum, disk_ids, has_commit_quorum, next_voters

LEAVE_EXPIRES = 0.5  # s after its last LEAVE for which a member counts as leaving
STALL = 0.5  # s between two ticks from which on this process itself stood still
RESEND_ENTRY_AFTER = 0.5  # s after which an entry that wasn't acknowledged is sent again ...
RESEND_RATE = 100_000  # bytes/s: ... and the time that its size takes on the slowest link
MAX_NEWCOMERS = 64  # learners that are kept at once
NEWCOMER_EXPIRES = 2.0  # s without a heartbeat after which a learner is forgotten


class VoterChanges:
    """Kept by each replica, used while it leads: :meth:`begin` starts a term."""

    def __init__(self, now: float) -> None:
        self.began = self.resumed_at = self.ticked_at = now
        self.newcomers: dict[str, tuple[Voter, float]] = {}
        """By disk: members that have no vote and want one, and since when."""
        self.leaving: dict[str, float] = {}
        """By disk: when a member that is about to end last said so."""
        self.stored: dict[str, int] = {}
        """By disk: the newest entry that it has acknowledged as durable under this leader's term."""
        self.sent_at: dict[str, float] = {}
        self.change: VoterChange | None = None
        """What is being proposed."""

    def begin(self) -> None:
        """A new term as the leader: nothing that was acknowledged under another one counts."""
        self.newcomers.clear()
        self.stored.clear()
        self.sent_at.clear()
        self.change = None

    def tick(self, now: float) -> None:
        """Silence isn't told from one's own standstill: after one, it is counted anew."""
        if now - self.ticked_at > STALL:
            self.resumed_at = now
        self.ticked_at = now
        self.leaving = {disk: at for disk, at in self.leaving.items() if now - at < LEAVE_EXPIRES}

    def heartbeat(self, now: float, voter: Voter) -> None:
        """A member without a vote is there; at an address counts the newest disk only."""
        if voter.disk in self.leaving:
            return
        since = self.newcomers.get(voter.disk, (voter, now))[1]
        address = (voter.ip, voter.port)
        self.newcomers = {d: w for d, w in self.newcomers.items() if (w[0].ip, w[0].port) != address}
        if len(self.newcomers) < MAX_NEWCOMERS:
            self.newcomers[voter.disk] = (voter, since)

    def acknowledged(self, disk: str, number: int) -> None:
        """An entry is durable on a disk."""
        self.stored[disk] = max(number, self.stored.get(disk, 0))

    def leaves(self, now: float, disk: str) -> None:
        self.leaving[disk] = now
        self.newcomers.pop(disk, None)

    def admitted(self, voters: Iterable[Voter]) -> None:
        for disk in disk_ids(voters):
            self.newcomers.pop(disk, None)

    def last_heard(self, voters: Iterable[Voter], heard_at: dict[str, float]) -> dict[str, float]:
        """When each was last heard, as far as this process was there to hear it."""
        return {v.disk: max(heard_at.get(v.disk, self.began), self.resumed_at) for v in voters}

    def next(
        self, committed: LogEntry, leader: str, heard_at: dict[str, float], now: float, losses: int
    ) -> VoterChange | None:
        """The change of the voters that is due: only learners that have the state take part."""
        self.newcomers = {d: w for d, w in self.newcomers.items() if now - heard_at.get(d, now) < NEWCOMER_EXPIRES}
        ready = {d: w for d, w in self.newcomers.items() if d in self.stored}
        heard = self.last_heard(committed.voters, heard_at)
        self.change = next_voters(committed, leader, ready, heard, now, losses, self.leaving)
        return self.change

    def lacking(self, now: float, committed: LogEntry) -> list[Voter]:
        """Whom to send the committed entry now: learners without it, and all voters while one of them leaves."""
        wanted = [w[0] for d, w in self.newcomers.items() if d not in self.stored]
        if self.leaving:
            wanted += [v for v in committed.voters if self.stored.get(v.disk, 0) < committed.index]
        pause = RESEND_ENTRY_AFTER + len(committed.text) / RESEND_RATE
        due = [v for v in wanted if now - self.sent_at.get(v.disk, -1e9) > pause]
        for voter in due:
            self.sent_at[voter.disk] = now
        return due

    def stays_elsewhere(self, committed: LogEntry, losses: int) -> bool:
        """Whether the committed entry is on enough disks of voters that don't leave."""
        others = [d for d in disk_ids(committed.voters) if d not in self.leaving]
        stored = sum(self.stored.get(d, 0) >= committed.index for d in others)
        return stored >= min(commit_quorum(len(committed.voters), losses), len(others))

    def counted(self, voters: Sequence[Voter], have: Collection[str], live: Collection[str], losses: int) -> set[str]:
        """Of the disks that have an entry, those that count: not the ones that leave, if the rest can be enough."""
        staying = {d for d in live if d not in self.leaving}
        if self.leaving and has_commit_quorum(voters, staying, losses):
            return {d for d in have if d not in self.leaving}
        return set(have)
