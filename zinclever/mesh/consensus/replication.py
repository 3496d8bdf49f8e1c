"""Log replication: proposing, accepting and committing entries. No I/O."""

from __future__ import annotations

from ..transport.mesh_pb2 import ConsensusMessage, LogEntry, Voter
from .messages import MessageKind, ReplicaRole, Send, Vote
from .quorum import disk_ids, has_commit_quorum, has_majority
from .replica_state import ReplicaState
from .timing import ELECTION_TIMEOUT


class Replication(ReplicaState):
    """The part of a replica that replicates entries.

    Entries are proposed one at a time. Each contains the complete state, so that it replaces the one before.
    """

    # --- the leader ---

    def next_entry(self, voters: list[Voter]) -> LogEntry:
        """A new entry that follows the committed one, with the given voters and otherwise the same content."""
        entry = LogEntry()
        entry.CopyFrom(self.committed)
        entry.term, entry.index = self.term, self.committed.index + 1
        del entry.voters[:], entry.previous_voters[:]
        entry.voters.extend(voters)
        entry.previous_voters.extend(self.committed.voters)
        return entry

    def propose(self, now: float, entry: LogEntry) -> None:
        """Propose an entry to the voters before and after it."""
        self.proposed, self.proposed_at = entry, now
        self.acknowledged_by = set()
        self.send_appends(entry, self.acknowledged_by)

    def send_appends(self, entry: LogEntry, acknowledged_by: set[str]) -> None:
        """Send an entry to the voters before and after it that have not acknowledged it."""
        voters = {voter.disk: voter for voter in (*entry.previous_voters, *entry.voters)}
        for disk, voter in voters.items():
            if disk not in acknowledged_by:
                self.send_append(voter, entry)

    def send_append(self, voter: Voter, entry: LogEntry) -> None:
        """Send an append request for an entry to one replica."""
        append = self.message_with_voter(MessageKind.APPEND, self.term)
        append.entry.CopyFrom(entry)
        self.send(voter, append)

    def in_own_term(self, entry: LogEntry) -> LogEntry:
        """A copy of an entry in this leader's term.

        The higher term makes replicas accept it in place of a later, uncommitted entry from an earlier term.
        """
        copy = LogEntry()
        copy.CopyFrom(entry)
        copy.term = self.term
        return copy

    def is_committed(self, now: float, entry: LogEntry) -> bool:
        """Whether enough disks hold a proposed entry.

        It needs a commit quorum of the voters after it, and a majority of the voters before it, which intersects each
        of their quorums. The first entry of the log must be on all disks, unless a later leader proposes it again.
        """
        needs_all = self.is_bootstrap_entry(entry)
        tolerated_failures = len(entry.voters) - 1 if needs_all else self.tolerated_failures
        before = entry.previous_voters if entry.index > self.committed.index else []
        if before and not has_majority(before, self.acknowledged_by):
            return False
        live = self.recently_active(ELECTION_TIMEOUT, now)
        counted = self.voter_changes.counted_holders(entry.voters, self.acknowledged_by, live, tolerated_failures)
        return has_commit_quorum(entry.voters, counted, tolerated_failures)

    def is_bootstrap_entry(self, entry: LogEntry) -> bool:
        """Whether an entry is the first one of the log, as its first leader proposes it."""
        return entry.index == 1 and not self.committed.index and entry.term == 1

    # --- followers and learners ---

    def on_append(self, now: float, message: ConsensusMessage) -> None:
        """Accept an entry and acknowledge it once it is durable.

        Entries from a lower term and entries that would bootstrap a second cluster are rejected.
        """
        if self.leave_granted:
            return  # this replica may shut down for good at any moment: its disk must not count for new entries
        entry = message.entry
        last = self.last_accepted()
        promised_term = max(self.vote.term, last.term if last is not None else 0)
        voted_for_sender = self.vote.candidate in ("", message.disk) or message.term > self.vote.term
        is_rejected = message.term < promised_term or not voted_for_sender
        if is_rejected or self.conflicts_with_bootstrap(entry):
            rejection = self.append_reply(message, granted=False)
            rejection.round = promised_term if is_rejected else 0
            self.respond(message, rejection)
            return
        if message.disk != self.own_voter.disk:
            self.follow_leader(now, message.disk, message.term)
        if last is not None and last.index > entry.index and last.term >= entry.term:
            return  # outdated: its leader has committed it since, and the accepted later entry must be kept
        self.vote = Vote(message.term, message.disk)
        voter = self.sender_of(message)
        self.persist(entry, [Send(voter, self.append_reply(message, granted=True))] if voter is not None else [])

    def append_reply(self, message: ConsensusMessage, granted: bool) -> ConsensusMessage:
        """A reply to an append request."""
        reply = self.message(MessageKind.APPEND_REPLY, message.term)
        reply.index = message.entry.index
        reply.granted = granted
        return reply

    def follow_leader(self, now: float, disk: str, term: int) -> None:
        """Follow the leader of a term that this replica accepts."""
        if self.role in (ReplicaRole.LEADER, ReplicaRole.CANDIDATE) and term > self.term:
            self.change_role(ReplicaRole.FOLLOWER, now)
        if self.role is ReplicaRole.FOLLOWER or self.role is ReplicaRole.LEARNER:
            self.leader, self.leader_last_contact = disk, now

    def conflicts_with_bootstrap(self, entry: LogEntry) -> bool:
        """Whether an entry would bootstrap a second cluster."""
        if entry.index != 1:
            return False
        own = self.accepted or self.committed
        return own.index > 1 or (own.index == 1 and disk_ids(own.voters) != disk_ids(entry.voters))
