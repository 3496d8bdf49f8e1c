"""What a leader knows of changes of the voters that are due: who joins, who leaves, what is durable on whose disk.

A newcomer is a learner first: it gets the committed entry and acknowledges it as durable, before it is proposed as a
voter. A replica that leaves is released once the committed entry is on enough disks of the others. Pure; the rules of
which voters follow are in :mod:`.quorum`.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping, Sequence

from ..transport.mesh_pb2 import LogEntry, Voter
from .quorum import Learner, VoterChange, commit_quorum, disk_ids, has_commit_quorum, next_voters

LEAVE_TIMEOUT = 0.5  # s after its last LEAVE for which a replica counts as leaving
STALL_THRESHOLD = 0.5  # s between two ticks from which on this process itself stood still
RESEND_INTERVAL = 0.5  # s after which an entry that wasn't acknowledged is sent again ...
RESEND_RATE = 100_000  # bytes/s: ... and the time that its size takes on the slowest link
MAX_LEARNERS = 64
LEARNER_TIMEOUT = 2.0  # s without a heartbeat after which a learner is forgotten


class VoterChanges:
    """Kept by each replica, used while it leads: :meth:`begin_term` starts a term."""

    def __init__(self, now: float) -> None:
        self.started_at = self.resumed_at = self.ticked_at = now
        self.learners: dict[str, Learner] = {}
        """By disk."""
        self.leaving_since: dict[str, float] = {}
        """By disk: when a replica that is about to end last said so."""
        self.durable_index: dict[str, int] = {}
        """By disk: the newest entry that it has acknowledged as durable under this leader's term."""
        self.sent_at: dict[str, float] = {}
        """By disk: when :meth:`due_appends` last named it."""
        self.proposed_change: VoterChange | None = None

    def begin_term(self) -> None:
        """This replica leads a new term: nothing that was acknowledged under another one counts."""
        self.learners.clear()
        self.durable_index.clear()
        self.sent_at.clear()
        self.proposed_change = None

    def tick(self, now: float) -> None:
        """Forget who has not said lately that it leaves. After a stall of this process, silence is counted anew."""
        if now - self.ticked_at > STALL_THRESHOLD:
            self.resumed_at = now
        self.ticked_at = now
        self.leaving_since = {disk: at for disk, at in self.leaving_since.items() if now - at < LEAVE_TIMEOUT}

    def on_heartbeat(self, now: float, voter: Voter) -> None:
        """A replica without a vote is there; at an address counts the newest disk only."""
        if voter.disk in self.leaving_since:
            return
        known = self.learners.get(voter.disk)
        address = (voter.ip, voter.port)
        self.learners = {
            disk: learner
            for disk, learner in self.learners.items()
            if (learner.voter.ip, learner.voter.port) != address
        }
        if len(self.learners) < MAX_LEARNERS:
            self.learners[voter.disk] = Learner(voter, known.since if known is not None else now)

    def on_acknowledged(self, disk: str, index: int) -> None:
        """An entry is durable on a disk."""
        self.durable_index[disk] = max(index, self.durable_index.get(disk, 0))

    def on_leave(self, now: float, disk: str) -> None:
        """A replica is about to end."""
        self.leaving_since[disk] = now
        self.learners.pop(disk, None)

    def on_admitted(self, voters: Iterable[Voter]) -> None:
        """These have a vote."""
        for disk in disk_ids(voters):
            self.learners.pop(disk, None)

    def last_heard_here(self, voters: Iterable[Voter], last_contact: Mapping[str, float]) -> dict[str, float]:
        """When each was last heard, as far as this process was there to hear it."""
        return {voter.disk: max(last_contact.get(voter.disk, self.started_at), self.resumed_at) for voter in voters}

    def next_change(
        self, committed: LogEntry, leader: str, last_contact: Mapping[str, float], now: float, tolerated_failures: int
    ) -> VoterChange | None:
        """The change of the voters that is due: only learners that have the state take part."""
        self.learners = {
            disk: learner
            for disk, learner in self.learners.items()
            if now - last_contact.get(disk, now) < LEARNER_TIMEOUT
        }
        ready = {disk: learner for disk, learner in self.learners.items() if disk in self.durable_index}
        heard = self.last_heard_here(committed.voters, last_contact)
        self.proposed_change = next_voters(committed, leader, ready, heard, now, tolerated_failures, self.leaving_since)
        return self.proposed_change

    def due_appends(self, now: float, committed: LogEntry) -> list[Voter]:
        """Whom to send the committed entry now: learners without it, and all voters while one of them leaves."""
        lacking = [learner.voter for disk, learner in self.learners.items() if disk not in self.durable_index]
        if self.leaving_since:
            lacking += [v for v in committed.voters if self.durable_index.get(v.disk, 0) < committed.index]
        pause = RESEND_INTERVAL + len(committed.text) / RESEND_RATE
        due = [voter for voter in lacking if now - self.sent_at.get(voter.disk, -math.inf) > pause]
        for voter in due:
            self.sent_at[voter.disk] = now
        return due

    def is_durable_without_leaving(self, committed: LogEntry, tolerated_failures: int) -> bool:
        """Whether the committed entry is on enough disks of voters that don't leave."""
        staying = [disk for disk in disk_ids(committed.voters) if disk not in self.leaving_since]
        durable = sum(self.durable_index.get(disk, 0) >= committed.index for disk in staying)
        return durable >= min(commit_quorum(len(committed.voters), tolerated_failures), len(staying))

    def counted(
        self, voters: Sequence[Voter], holders: Collection[str], live: Collection[str], tolerated_failures: int
    ) -> set[str]:
        """Of the disks that have an entry, those that count: not the ones that leave, if the rest can be enough."""
        staying = {disk for disk in live if disk not in self.leaving_since}
        if self.leaving_since and has_commit_quorum(voters, staying, tolerated_failures):
            return {disk for disk in holders if disk not in self.leaving_since}
        return set(holders)
