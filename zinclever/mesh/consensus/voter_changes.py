"""The leader's bookkeeping for changes of the voter set: learners, leaving replicas, durable entries. No I/O.

A new replica begins as a learner: it is proposed as a voter only after it has acknowledged the committed entry as
durable. A leaving replica may shut down once enough other disks hold the committed entry. The rules for the next voter
set are in :func:`.quorum.next_voters`.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping, Sequence

from ..transport.mesh_pb2 import LogEntry, Voter
from .quorum import Learner, VoterChange, commit_quorum, disk_ids, has_commit_quorum, next_voters

LEAVE_TIMEOUT = 0.5  # seconds after its last LEAVE message until a replica no longer counts as leaving
STALL_THRESHOLD = 0.5  # seconds between two ticks that are treated as a stall of this process
RESEND_INTERVAL = 0.5  # seconds until an unacknowledged entry is resent, plus its transfer time at RESEND_RATE
RESEND_RATE = 100_000  # bytes/s of the slowest link
MAX_LEARNERS = 64
LEARNER_TIMEOUT = 2.0  # seconds without a heartbeat until a learner is forgotten


class VoterChanges:
    """Learners, leaving replicas and durable entries, as known to this replica.

    Every replica has one. Only a leader uses it, except for ``leaving_since``, which every replica uses before it shuts
    down. :meth:`begin_term` resets the rest.
    """

    def __init__(self, now: float) -> None:
        self.started_at = self.resumed_at = self.ticked_at = now
        self.learners: dict[str, Learner] = {}
        """By disk ID."""
        self.leaving_since: dict[str, float] = {}
        """When each leaving replica last sent a LEAVE message, by disk ID."""
        self.durable_index: dict[str, int] = {}
        """The newest entry that each replica has acknowledged as durable in this leader's term, by disk ID."""
        self.sent_at: dict[str, float] = {}
        """When :meth:`due_appends` last returned each replica, by disk ID."""
        self.proposed_change: VoterChange | None = None

    def begin_term(self) -> None:
        """Reset all but ``leaving_since`` at the start of a term, as acknowledgements from other terms don't count."""
        self.learners.clear()
        self.durable_index.clear()
        self.sent_at.clear()
        self.proposed_change = None

    def tick(self, now: float) -> None:
        """Expire old LEAVE messages. After a stall of this process, restart the timers of unreachable voters."""
        if now - self.ticked_at > STALL_THRESHOLD:
            self.resumed_at = now
        self.ticked_at = now
        self.leaving_since = {disk: at for disk, at in self.leaving_since.items() if now - at < LEAVE_TIMEOUT}

    def on_heartbeat(self, now: float, voter: Voter) -> None:
        """Record a replica without a vote as a learner; a new disk at the same address replaces the old one."""
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
        """Record that an entry is durable on a disk."""
        self.durable_index[disk] = max(index, self.durable_index.get(disk, 0))

    def on_leave(self, now: float, disk: str) -> None:
        """Record that a replica is about to shut down."""
        self.leaving_since[disk] = now
        self.learners.pop(disk, None)

    def on_admitted(self, voters: Iterable[Voter]) -> None:
        """Remove learners that have become voters."""
        for disk in disk_ids(voters):
            self.learners.pop(disk, None)

    def observed_last_contact(self, voters: Iterable[Voter], last_contact: Mapping[str, float]) -> dict[str, float]:
        """When each voter last sent a message, or when this process started or resumed from a stall, if later."""
        return {voter.disk: max(last_contact.get(voter.disk, self.started_at), self.resumed_at) for voter in voters}

    def next_change(
        self, committed: LogEntry, leader: str, last_contact: Mapping[str, float], now: float, tolerated_failures: int
    ) -> VoterChange | None:
        """The next change of the voter set; only learners that hold the committed state are considered."""
        self.learners = {
            disk: learner
            for disk, learner in self.learners.items()
            if now - last_contact.get(disk, now) < LEARNER_TIMEOUT
        }
        ready = {disk: learner for disk, learner in self.learners.items() if disk in self.durable_index}
        observed_contacts = self.observed_last_contact(committed.voters, last_contact)
        self.proposed_change = next_voters(
            committed, leader, ready, observed_contacts, now, tolerated_failures, self.leaving_since
        )
        return self.proposed_change

    def due_appends(self, now: float, committed: LogEntry) -> list[Voter]:
        """The replicas to send the committed entry to now.

        These are learners that lack it and, while a replica is leaving, all voters that have not acknowledged it.
        """
        lacking = [learner.voter for disk, learner in self.learners.items() if disk not in self.durable_index]
        if self.leaving_since:
            lacking += [v for v in committed.voters if self.durable_index.get(v.disk, 0) < committed.index]
        resend_delay = RESEND_INTERVAL + len(committed.text) / RESEND_RATE
        due = [voter for voter in lacking if now - self.sent_at.get(voter.disk, -math.inf) > resend_delay]
        for voter in due:
            self.sent_at[voter.disk] = now
        return due

    def is_durable_without_leaving(self, committed: LogEntry, tolerated_failures: int) -> bool:
        """Whether enough voters that are not leaving hold the committed entry durably."""
        staying = [disk for disk in disk_ids(committed.voters) if disk not in self.leaving_since]
        durable_count = sum(self.durable_index.get(disk, 0) >= committed.index for disk in staying)
        return durable_count >= min(commit_quorum(len(committed.voters), tolerated_failures), len(staying))

    def counted_holders(
        self, voters: Sequence[Voter], holders: Collection[str], live: Collection[str], tolerated_failures: int
    ) -> set[str]:
        """The disks, out of those that hold an entry, that count towards its commit quorum.

        Leaving disks don't count as long as the reachable voters that stay can form a quorum without them.

        Args:
            voters: The voters after the entry.
            holders: Disks that hold the entry.
            live: Disks of replicas that have sent a message recently.
            tolerated_failures: The number of simultaneous failures to tolerate.
        """
        staying = {disk for disk in live if disk not in self.leaving_since}
        if self.leaving_since and has_commit_quorum(voters, staying, tolerated_failures):
            return {disk for disk in holders if disk not in self.leaving_since}
        return set(holders)
