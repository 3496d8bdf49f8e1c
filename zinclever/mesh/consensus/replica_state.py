"""State of a replica and the transitions shared by all parts of the protocol. No I/O.

The protocol itself is in :mod:`.replica`. Times are in seconds of the replica's own monotonic clock.
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
    """The committed index and entry digest in the latest heartbeat of another replica."""

    index: int
    digest: int


class ReplicaState:
    """State of a replica.

    Side effects, such as messages and writes, are collected in ``actions`` for the caller to carry out.
    """

    def __init__(
        self,
        own_voter: Voter,
        bootstrap_addresses: list[tuple[str, int]],
        bootstrap: bool,
        tolerated_failures: int,
        now: float,
        vote: Vote | None = None,
        accepted: LogEntry | None = None,
    ) -> None:
        """Create a follower if the accepted entry lists this replica as a voter, otherwise a learner.

        Args:
            own_voter: Disk ID, name and address of this replica.
            bootstrap_addresses: Addresses of the initial members, used if ``bootstrap`` is set.
            bootstrap: Whether this replica may take part in creating a new cluster.
            tolerated_failures: The number of simultaneous disk failures to tolerate.
            now: The current time in seconds.
            vote: The vote as read from disk.
            accepted: The accepted entry as read from disk.
        """
        self.own_voter = own_voter
        self.bootstrap_addresses = sorted(bootstrap_addresses)
        self.bootstrap = bootstrap
        self.tolerated_failures = tolerated_failures
        self.actions: list[Action] = []
        self.started_at = self.ticked_at = now

        # Durable and committed state.
        self.vote = vote or Vote(0, "")
        self.accepted = accepted
        self.committed = LogEntry()
        self.committed_digest = 0
        self.last_token = 0
        self.pending_persists: dict[int, Persist] = {}
        self.sends_after_persist: dict[int, list[Send]] = {}
        """Messages to send once a save is durable, by token."""

        # Other replicas.
        self.leader = ""
        """Disk ID of the leader; empty if unknown."""
        self.leader_last_contact = -math.inf
        self.bootstrap_possible_since = math.inf
        """When this replica began to hear all initial members, none of which knew of a cluster."""
        self.last_contact: dict[str, float] = {}
        self.reported: dict[str, ReportedCommit] = {}
        self.latest_heartbeats: dict[tuple[str, int], ConsensusMessage] = {}
        """By IP address and port."""
        self.known_addresses: list[tuple[str, int]] = []
        """Addresses of control nodes from gossip, to contact in addition to the initial members."""
        self.lag_monitor = LagMonitor()
        self.voter_changes = VoterChanges(now)

        # Role, election and leadership.
        self.role = ReplicaRole.LEARNER
        self.role_since = now
        self.heartbeat_sent_at = -math.inf
        self.votes_requested_at = now
        self.votes: dict[str, ConsensusMessage] = {}
        """Votes granted to this candidate, by disk ID."""
        self.term = 0
        """The term in which this replica is or was last leader or candidate."""
        self.established_term = 0
        """The newest term in which this replica, as leader, has committed an entry."""
        self.proposed: LogEntry | None = None
        self.proposed_at = 0.0
        self.acknowledged_by: set[str] = set()
        """Disks that hold the proposed entry."""
        self.calls = ClientCalls(self.reply)
        self.leaving = False
        """Whether this replica is shutting down: it no longer starts elections."""
        self.leave_granted = False
        """Whether the leader has confirmed that this replica is no longer needed."""
        if self.is_voter():
            self.change_role(ReplicaRole.FOLLOWER, now)

    # --- role and voters ---

    def change_role(self, role: ReplicaRole, now: float) -> None:
        """Change the role and reset what belongs to the previous one; a leader fails its pending calls."""
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
        """The voters of the committed entry; if there is none, of the accepted entry."""
        if self.committed.voters:
            return list(self.committed.voters)
        return list(self.accepted.voters) if self.accepted is not None else []

    def committed_and_accepted_voters(self) -> list[Voter]:
        """The voters of the committed entry and of the accepted one."""
        return [*self.committed.voters, *(self.accepted.voters if self.accepted is not None else [])]

    def is_voter(self) -> bool:
        """Whether this replica is a voter in the committed or the accepted entry."""
        return self.own_voter.disk in disk_ids(self.committed_and_accepted_voters())

    def other_voters(self) -> list[Voter]:
        """All other voters of the committed entry, and of a later accepted or proposed one."""
        voters = {voter.disk: voter for voter in self.committed.voters}
        for entry in (self.accepted, self.proposed):
            if entry is not None and entry.index > self.committed.index:
                voters.update((voter.disk, voter) for voter in (*entry.previous_voters, *entry.voters))
        voters.pop(self.own_voter.disk, None)
        return list(voters.values())

    def recently_active(self, timeout: float, now: float) -> set[str]:
        """Disk IDs of this replica and of those that have sent a message within ``timeout`` seconds."""
        return {disk for disk, at in self.last_contact.items() if now - at < timeout} | {self.own_voter.disk}

    # --- the log ---

    def commit(self, now: float, entry: LogEntry, repairs: bool = False) -> None:
        """Commit an entry that is newer than the committed one.

        Args:
            now: The current time in seconds.
            entry: The entry.
            repairs: Whether the entry may also replace a deviating committed entry at the same index.
        """
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
        """Persist the vote, and the entry if there is one; send the messages in ``after`` once they are durable."""
        self.last_token += 1
        action = Persist(self.vote, entry, self.last_token)
        self.sends_after_persist[self.last_token] = after
        self.pending_persists[self.last_token] = action
        self.actions.append(action)

    def last_accepted(self) -> LogEntry | None:
        """The entry that will be on disk after all pending saves."""
        pending = [action.entry for action in self.pending_persists.values() if action.entry is not None]
        return pending[-1] if pending else self.accepted

    def on_persisted(self, now: float, token: int, is_durable: bool) -> None:
        """Handle the result of a save.

        After a failure the accepted entry stays unchanged, and replies that depend on the save are sent as rejections.
        """
        action, after = self.pending_persists.pop(token), self.sends_after_persist.pop(token)
        if is_durable and action.entry is not None:
            self.accepted = action.entry
        if is_durable and self.role is ReplicaRole.LEARNER and self.is_voter():
            self.change_role(ReplicaRole.FOLLOWER, now)
        for send in after:
            message = send.message
            if not is_durable:
                if message.kind == MessageKind.VOTE_REQUEST or not message.granted:
                    continue
                message.granted = False
            if message.kind == MessageKind.VOTE_REPLY and message.granted:
                if self.accepted is not None:
                    message.entry.CopyFrom(self.accepted)
                message.committed.CopyFrom(self.committed)
            if message.kind in (MessageKind.APPEND_REPLY, MessageKind.VOTE_REPLY) and message.term < self.vote.term:
                message.granted = False  # this replica has voted in a higher term during the save
            self.send(send.to, message)

    # --- messages ---

    def message(self, kind: MessageKind, term: int = 0) -> ConsensusMessage:
        """A new message from this replica."""
        return ConsensusMessage(kind=kind, disk=self.own_voter.disk, term=term)

    def message_with_voter(self, kind: MessageKind, term: int = 0) -> ConsensusMessage:
        """A new message that includes this replica's address, for receivers that may not know it."""
        return ConsensusMessage(kind=kind, disk=self.own_voter.disk, term=term, voter=self.own_voter)

    def sender_of(self, message: ConsensusMessage) -> Voter | None:
        """Disk ID and address of the sender of a message; None if the address is unknown."""
        if message.disk == self.own_voter.disk:
            return self.own_voter
        if message.HasField("voter"):
            return message.voter
        for voter in self.committed_and_accepted_voters():
            if voter.disk == message.disk:
                return voter
        return next((h.voter for h in self.latest_heartbeats.values() if h.disk == message.disk), None)

    def respond(self, message: ConsensusMessage, answer: ConsensusMessage) -> None:
        """Send an answer to the sender of a message, if its address is known."""
        voter = self.sender_of(message)
        if voter is not None:
            self.send(voter, answer)

    def send(self, to: Voter, message: ConsensusMessage) -> None:
        """Send a message."""
        self.actions.append(Send(to, message))

    def reply(self, call_id: int, status: int, text: bytes) -> None:
        """Answer a client call."""
        self.actions.append(Reply(call_id, status, text))
