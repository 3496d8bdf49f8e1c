"""The state of a replica: its voter and disk, the voters that it knows, its role. The protocol is in :mod:`.replica`.

Pure. Instants are in s, of the replica's own monotonic clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..transport.mesh_pb2 import ConsensusMessage, LogEntry, Voter
from .client_calls import ClientCalls
from .lag_monitor import LagMonitor
from .messages import Action, Commit, MessageKind, Persist, ReplicaRole, Reply, Send, Vote
from .quorum import digest, disk_ids
from .voter_changes import VoterChanges


@dataclass(frozen=True, slots=True)
class ReportedCommit:
    """What another replica has committed, as its latest heartbeat says."""

    index: int
    digest: int


class ReplicaState:
    """The state of a replica, with one method for each kind of change of it. What it wants done is in ``actions``."""

    def __init__(
        self,
        own_voter: Voter,
        founding_addresses: list[tuple[str, int]],
        bootstrap: bool,
        tolerated_failures: int,
        now: float,
        vote: Vote | None = None,
        accepted: LogEntry | None = None,
    ) -> None:
        """``founding_addresses``: of the replicas that found the cluster if ``bootstrap`` is set.

        ``tolerated_failures``: disks that may be lost at once. ``vote`` and ``accepted``: as read from the disk.
        """
        self.own_voter = own_voter
        self.founding_addresses = sorted(founding_addresses)
        self.bootstrap = bootstrap
        self.tolerated_failures = tolerated_failures
        self.actions: list[Action] = []
        self.started_at = self.ticked_at = now

        # What is on disk, and what is committed.
        self.vote = vote or Vote(0, "")
        self.accepted = accepted
        self.committed = LogEntry()
        self.committed_digest = 0
        self.last_token = 0
        self.pending_persists: dict[int, Persist] = {}
        self.after_persist: dict[int, list[Send]] = {}
        """By token: what is sent once that save is durable."""

        # The others.
        self.leader = ""
        """Disk of the leader, as far as is known; empty where it isn't."""
        self.leader_last_contact = -math.inf
        self.last_contact: dict[str, float] = {}
        self.reported: dict[str, ReportedCommit] = {}
        self.latest_heartbeats: dict[tuple[str, int], ConsensusMessage] = {}
        """By address."""
        self.known_addresses: list[tuple[str, int]] = []
        """Where replicas may be, besides the founding ones."""
        self.lag_monitor = LagMonitor()
        self.voter_changes = VoterChanges(now)

        # The role.
        self.role = ReplicaRole.LEARNER
        self.role_since = now
        self.heartbeat_sent_at = -math.inf
        self.votes_requested_at = now
        self.votes: dict[str, ConsensusMessage] = {}
        """Of a candidate: the votes that it was given, by disk."""
        self.term = 0
        """That this replica leads or stands for."""
        self.established_term = 0
        """The newest under which this replica, as leader, has committed an entry."""
        self.proposed: LogEntry | None = None
        self.proposed_at = 0.0
        self.acknowledged_by: set[str] = set()
        """Disks that have the proposed entry."""
        self.calls = ClientCalls(self.reply)
        self.leaving = False
        """This replica is about to end: it takes no more part in elections."""
        self.leave_granted = False
        """The leader has said that nothing depends on this replica any more."""
        if self.is_voter():
            self.change_role(ReplicaRole.FOLLOWER, now)

    # --- role and voters ---

    def change_role(self, role: ReplicaRole, now: float) -> None:
        """The one place where the role changes. Whoever gives up the lead fails all calls."""
        if role is not ReplicaRole.LEADER and self.role is ReplicaRole.LEADER:
            self.calls.fail_all()
        if role is not ReplicaRole.CANDIDATE:
            self.votes.clear()
        if role in (ReplicaRole.FOLLOWER, ReplicaRole.LEARNER):
            self.proposed = None
        if role is ReplicaRole.LEADER:
            self.leader, self.leader_last_contact = self.own_voter.disk, now
            self.voter_changes.begin_term()
        elif self.leader == self.own_voter.disk:
            self.leader = ""
        self.role, self.role_since = role, now

    def voters(self) -> list[Voter]:
        """The newest voters that this replica knows of: committed, or at least accepted."""
        if self.committed.voters:
            return list(self.committed.voters)
        return list(self.accepted.voters) if self.accepted is not None else []

    def committed_and_accepted_voters(self) -> list[Voter]:
        """The voters of the committed entry and of the accepted one."""
        return [*self.committed.voters, *(self.accepted.voters if self.accepted is not None else [])]

    def is_voter(self) -> bool:
        """Whether this replica has a vote in the committed or in the accepted entry."""
        return self.own_voter.disk in disk_ids(self.committed_and_accepted_voters())

    def other_voters(self) -> list[Voter]:
        """All other replicas with a vote now, or under an entry that is accepted or proposed here."""
        voters = {voter.disk: voter for voter in self.committed.voters}
        for entry in (self.accepted, self.proposed):
            if entry is not None and entry.index > self.committed.index:
                voters.update((voter.disk, voter) for voter in (*entry.previous_voters, *entry.voters))
        voters.pop(self.own_voter.disk, None)
        return list(voters.values())

    def heard_within(self, timeout: float, now: float) -> set[str]:
        """Disks of the replicas that were heard lately, this one among them."""
        return {disk for disk, at in self.last_contact.items() if now - at < timeout} | {self.own_voter.disk}

    # --- the log ---

    def commit(self, now: float, entry: LogEntry, repairs: bool = False) -> None:
        """Put the next entry of the log in force here; ``repairs``: the same one, as the others have it."""
        if entry.index < self.committed.index or (entry.index == self.committed.index and not repairs):
            return
        self.committed = LogEntry()
        self.committed.CopyFrom(entry)
        self.committed_digest = digest(entry)
        self.voter_changes.on_admitted(entry.voters)
        self.actions.append(Commit(entry))
        is_voter = self.own_voter.disk in disk_ids(entry.voters)
        if self.role is ReplicaRole.LEARNER and is_voter:
            self.change_role(ReplicaRole.FOLLOWER, now)
        elif self.role is not ReplicaRole.LEARNER and not is_voter:
            self.change_role(ReplicaRole.LEARNER, now)

    def persist(self, entry: LogEntry | None, after: list[Send]) -> None:
        """Make the vote durable, and the entry if there is one; then send ``after``."""
        self.last_token += 1
        action = Persist(self.vote, entry, self.last_token)
        self.after_persist[self.last_token] = after
        self.pending_persists[self.last_token] = action
        self.actions.append(action)

    def last_accepted(self) -> LogEntry | None:
        """The entry that is on the disk once the saves under way are done."""
        pending = [action.entry for action in self.pending_persists.values() if action.entry is not None]
        return pending[-1] if pending else self.accepted

    def on_persisted(self, now: float, token: int, is_durable: bool) -> None:
        """A save is done, or has failed: then nothing is promised, and what was to be sent is sent as a refusal."""
        action, after = self.pending_persists.pop(token), self.after_persist.pop(token)
        if is_durable and action.entry is not None:
            self.accepted = action.entry
        if is_durable and self.role is ReplicaRole.LEARNER and self.is_voter():
            self.change_role(ReplicaRole.FOLLOWER, now)
        for send in after:
            m = send.message
            if not is_durable:
                if m.kind == MessageKind.VOTE_REQUEST or not m.granted:
                    continue
                m.granted = False
            if m.kind == MessageKind.VOTE_REPLY and m.granted:
                if self.accepted is not None:
                    m.entry.CopyFrom(self.accepted)
                m.committed.CopyFrom(self.committed)
            if m.kind in (MessageKind.APPEND_REPLY, MessageKind.VOTE_REPLY) and m.term < self.vote.term:
                m.granted = False  # it has voted in a higher term while the disk was at work
            self.send(send.to, m)

    # --- messages ---

    def message(self, kind: MessageKind, term: int = 0) -> ConsensusMessage:
        """A message of this replica."""
        return ConsensusMessage(kind=kind, disk=self.own_voter.disk, term=term)

    def message_with_voter(self, kind: MessageKind, term: int = 0) -> ConsensusMessage:
        """A message that says where this replica is, for a receiver that may not know it."""
        return ConsensusMessage(kind=kind, disk=self.own_voter.disk, term=term, voter=self.own_voter)

    def sender_of(self, m: ConsensusMessage) -> Voter | None:
        """Where to answer a message; None where that isn't known."""
        if m.disk == self.own_voter.disk:
            return self.own_voter
        if m.HasField("voter"):
            return m.voter
        for voter in self.committed_and_accepted_voters():
            if voter.disk == m.disk:
                return voter
        return next((h.voter for h in self.latest_heartbeats.values() if h.disk == m.disk), None)

    def respond(self, m: ConsensusMessage, answer: ConsensusMessage) -> None:
        """Answer a message, if it is known where to."""
        voter = self.sender_of(m)
        if voter is not None:
            self.send(voter, answer)

    def send(self, to: Voter, m: ConsensusMessage) -> None:
        """Send a message."""
        self.actions.append(Send(to, m))

    def reply(self, call_id: int, status: int, text: bytes) -> None:
        """Answer a call."""
        self.actions.append(Reply(call_id, status, text))
