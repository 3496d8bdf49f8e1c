"""The part of a replica that proposes entries, accepts them, and decides when one is committed. Pure."""

from __future__ import annotations

from ..transport.mesh_pb2 import ConsensusMessage, LogEntry, Voter
from .messages import MessageKind, ReplicaRole, Send, Vote
from .quorum import disk_ids, has_commit_quorum, has_majority
from .replica_state import ReplicaState
from .timing import ELECTION_TIMEOUT


class Replication(ReplicaState):
    """Entries, one after another. Each holds the whole state that is in force after it."""

    # --- the leader ---

    def next_entry(self, voters: list[Voter]) -> LogEntry:
        """The entry after the committed one: these voters, and all else as it is."""
        entry = LogEntry()
        entry.CopyFrom(self.committed)
        entry.term, entry.index = self.term, self.committed.index + 1
        del entry.voters[:], entry.previous_voters[:]
        entry.voters.extend(voters)
        entry.previous_voters.extend(self.committed.voters)
        return entry

    def propose(self, now: float, entry: LogEntry) -> None:
        """Send an entry to all voters, before and after it."""
        self.proposed, self.proposed_at = entry, now
        self.acknowledged_by = set()
        self.send_appends(entry, self.acknowledged_by)

    def send_appends(self, entry: LogEntry, acknowledged_by: set[str]) -> None:
        """Send an entry to all voters, before and after it, that have not acknowledged it."""
        voters = {voter.disk: voter for voter in (*entry.previous_voters, *entry.voters)}
        for disk, voter in voters.items():
            if disk not in acknowledged_by:
                self.send_append(voter, entry)

    def send_append(self, voter: Voter, entry: LogEntry) -> None:
        """Ask a replica to accept an entry."""
        append = self.message_with_voter(MessageKind.APPEND, self.term)
        append.entry.CopyFrom(entry)
        self.send(voter, append)

    def under_own_term(self, entry: LogEntry) -> LogEntry:
        """A committed entry as this leader proposes it.

        A replica that has accepted a later one of an earlier term, which was never committed, accepts it in its place.
        """
        copy = LogEntry()
        copy.CopyFrom(entry)
        copy.term = self.term
        return copy

    def is_committed(self, now: float, entry: LogEntry) -> bool:
        """Whether enough disks have a proposed entry.

        Of the voters after it as many as the fault model asks for, of those before it a majority, which meets every
        quorum of theirs. The first entry has to be on all disks.
        """
        is_founding = entry.index == 1 and not self.committed.index and entry.term == 1
        tolerated_failures = len(entry.voters) - 1 if is_founding else self.tolerated_failures
        before = entry.previous_voters if entry.index > self.committed.index else []
        if before and not has_majority(before, self.acknowledged_by):
            return False
        live = self.heard_within(ELECTION_TIMEOUT, now)
        counted = self.voter_changes.counted(entry.voters, self.acknowledged_by, live, tolerated_failures)
        return has_commit_quorum(entry.voters, counted, tolerated_failures)

    # --- the others ---

    def on_append(self, now: float, m: ConsensusMessage) -> None:
        """Accept the leader's entry, acknowledged once it is durable. A lower term or a second founding is refused."""
        if self.leave_granted:
            return  # it may end at any moment, for good: an entry that counted on its disk could be lost with it
        entry = m.entry
        last = self.last_accepted()
        promised = max(self.vote.term, last.term if last is not None else 0)
        voted_for_sender = self.vote.candidate in ("", m.disk) or m.term > self.vote.term
        is_refused = m.term < promised or not voted_for_sender
        if is_refused or self.conflicts_with_founding(entry):
            refusal = self.append_reply(m, granted=False)
            refusal.round = promised if is_refused else 0
            self.respond(m, refusal)
            return
        if m.disk != self.own_voter.disk:
            self.follow_leader(now, m.disk, m.term)
        if last is not None and last.index > entry.index and last.term >= entry.term:
            return  # late: its leader has committed it since, and what was accepted after it stays promised
        self.vote = Vote(m.term, m.disk)
        voter = self.sender_of(m)
        self.persist(entry, [Send(voter, self.append_reply(m, granted=True))] if voter is not None else [])

    def append_reply(self, m: ConsensusMessage, granted: bool) -> ConsensusMessage:
        """The answer to an append."""
        reply = self.message(MessageKind.APPEND_REPLY, m.term)
        reply.index = m.entry.index
        reply.granted = granted
        return reply

    def follow_leader(self, now: float, disk: str, term: int) -> None:
        """Another leads under a term that this replica doesn't refuse."""
        if self.role in (ReplicaRole.LEADER, ReplicaRole.CANDIDATE) and term > self.term:
            self.change_role(ReplicaRole.FOLLOWER, now)
        if self.role is ReplicaRole.FOLLOWER or self.role is ReplicaRole.LEARNER:
            self.leader, self.leader_last_contact = disk, now

    def conflicts_with_founding(self, entry: LogEntry) -> bool:
        """Whether this would found the cluster a second time."""
        if entry.index != 1:
            return False
        own = self.accepted or self.committed
        return own.index > 1 or (own.index == 1 and disk_ids(own.voters) != disk_ids(entry.voters))
