"""The part of a replica that proposes entries, takes them, and judges when one is committed. Pure."""

from __future__ import annotations

from ..transport.mesh_pb2 import ConsensusMessage, LogEntry, Voter
from .messages import Kind, ReplicaRole, Send, Vote
from .quorum import disk_ids, has_commit_quorum, has_majority
from .replica_state import ReplicaState
from .timing import ELECTION_TIMEOUT


class Replication(ReplicaState):
    """Entries, one after another, each with all that is in force after it."""

    def next_entry(self, voters: list[Voter]) -> LogEntry:
        """The entry after the committed one: these voters, and all else as it is."""
        made = LogEntry()
        made.CopyFrom(self.committed)
        made.term, made.index = self.term, self.committed.index + 1
        del made.voters[:], made.previous_voters[:]
        made.voters.extend(voters)
        made.previous_voters.extend(self.committed.voters)
        return made

    def propose(self, now: float, entry: LogEntry) -> None:
        self.proposed, self.proposed_at = entry, now
        self.have = set()
        self.offer(entry, self.have)

    def offer(self, entry: LogEntry, have: set[str]) -> None:
        """Send an entry to all voters, before and after it, that don't have it yet."""
        voters = {s.disk: s for s in (*entry.previous_voters, *entry.voters)}
        for disk, voter in voters.items():
            if disk not in have:
                self.send_append(voter, entry)

    def send_append(self, voter: Voter, entry: LogEntry) -> None:
        self.send(
            voter,
            ConsensusMessage(kind=Kind.APPEND, disk=self.me.disk, term=self.term, entry=entry, voter=self.me),
        )

    def under_own_term(self, entry: LogEntry) -> LogEntry:
        """A committed entry as this leader proposes it: a member that has accepted a later one of a term before, which
        was never committed, takes it in its place."""
        made = LogEntry()
        made.CopyFrom(entry)
        made.term = self.term
        return made

    def on_append(self, now: float, m: ConsensusMessage) -> None:
        if self.let_go:
            return  # it may end at any moment, for good: an entry that counted on its disk could be lost with it
        entry = m.entry
        last = self.last_accepted()
        promised = max(self.vote.term, last.term if last is not None else 0)
        known = self.vote.disk in ("", m.disk) or m.term > self.vote.term
        refused = m.term < promised or not known
        if refused or self.conflicts_with_founding(entry):
            self.answer(
                m,
                ConsensusMessage(
                    kind=Kind.APPEND_REPLY,
                    disk=self.me.disk,
                    term=m.term,
                    index=entry.index,
                    granted=False,
                    round=promised if refused else 0,
                ),
            )
            return
        if m.disk != self.me.disk:
            self.follow(now, m.disk, m.term)
        if last is not None and last.index > entry.index and last.term >= entry.term:
            return  # late: its leader has committed it since, and what was accepted after it stays promised
        self.vote = Vote(m.term, m.disk)
        answer = ConsensusMessage(
            kind=Kind.APPEND_REPLY, disk=self.me.disk, term=m.term, index=entry.index, granted=True
        )
        voter = self.voter_of(m)
        self.persist(entry, [Send(voter, answer)] if voter is not None else [])

    def follow(self, now: float, disk: str, term: int) -> None:
        """Another leads under a term that this member doesn't refuse."""
        if self.role in (ReplicaRole.LEADER, ReplicaRole.CANDIDATE) and term > self.term:
            self.become(ReplicaRole.FOLLOWER, now)
        if self.role is ReplicaRole.FOLLOWER or self.role is ReplicaRole.LEARNER:
            self.leader, self.leader_heard_at = disk, now

    def conflicts_with_founding(self, entry: LogEntry) -> bool:
        """Whether this would be a second founding."""
        if entry.index != 1:
            return False
        mine = self.accepted or self.committed
        return mine.index > 1 or (mine.index == 1 and disk_ids(mine.voters) != disk_ids(entry.voters))

    def is_committed(self, now: float, entry: LogEntry) -> bool:
        """Whether enough disks have it: of the voters after it as many as the fault model asks, of those before it a
        majority, which meets every quorum of theirs."""
        first = entry.index == 1 and not self.committed.index and entry.term == 1
        losses = len(entry.voters) - 1 if first else self.losses
        before = entry.previous_voters if entry.index > self.committed.index else []
        if before and not has_majority(before, self.have):
            return False
        live = {d for d, at in self.heard_at.items() if now - at < ELECTION_TIMEOUT} | {self.me.disk}
        counted = self.voter_changes.counted(entry.voters, self.have, live, losses)
        return has_commit_quorum(entry.voters, counted, losses)
