"""One replica of the replicated log, as a state machine without I/O.

The replicated state is a single value: the current configuration and the voter set. Each log entry contains the
complete state, at an index that rises by one. The leader proposes the entry after the committed one, in its term; the
entry is committed once enough disks hold it (:meth:`.replication.Replication.is_committed`). A new leader collects the
accepted entries of a majority with their votes, proposes the newest again in its own term, and continues from there.

Times are in seconds of the local monotonic clock; clocks of different machines are never compared. Sources: Viewstamped
Replication Revisited (Liskov and Cowling, 2012) for changes of the voter set and for replicas that have lost their
disk; Paxos Made Simple (Lamport, 2001) for the safety of continuing from the accepted entry with the newest term; Raft
(Ongaro, 2014) for terms and ReadIndex.
"""

from __future__ import annotations

import math

from ..transport.mesh_pb2 import AppliedCall, ConsensusMessage, LogEntry, Voter
from .client_calls import MAX_APPLIED_CALLS
from .election import Election
from .leader_calls import NOT_LEADER, LeaderCalls
from .messages import ChangeCall, MessageKind, ReplicaRole, Reply, Vote, VotersChanged
from .quorum import VoterChange, changes_voters, digest, disk_ids, has_majority
from .replica_state import ReportedCommit
from .timing import (
    BOOTSTRAP_STAGGER,
    BOOTSTRAP_TIMEOUT,
    ELECTION_ROUND,
    ELECTION_TIMEOUT,
    HEARTBEAT_INTERVAL,
    QUORUM_TIMEOUT,
    RESEND_AFTER,
    STALL_THRESHOLD,
)


class Replica(Election, LeaderCalls):
    """One replica of the log.

    The caller invokes :meth:`tick` at least every :data:`.timing.HEARTBEAT_INTERVAL`, :meth:`receive` for each message,
    :meth:`on_persisted` after each save, and :meth:`read` and :meth:`change` for client calls. After each of them it
    carries out the collected ``actions``.
    """

    # --- ticks ---

    def tick(self, now: float) -> None:
        """Send heartbeats and handle the timeouts of the current role."""
        self.voter_changes.tick(now)
        self.detect_stall(now)
        if now - self.heartbeat_sent_at >= HEARTBEAT_INTERVAL:
            self.heartbeat_sent_at = now
            for voter in self.other_voters():
                self.send(voter, self.heartbeat())
                if self.leaving:
                    self.send(voter, self.message_with_voter(MessageKind.LEAVE))
        if self.role is ReplicaRole.LEARNER:
            self.bootstrap_cluster(now)
        elif self.role is ReplicaRole.FOLLOWER:
            self.check_leader(now)
        elif self.role is ReplicaRole.CANDIDATE:
            self.tick_candidate(now)
        else:
            self.tick_leader(now)
        self.request_confirmations(now)
        self.answer_confirmed()
        self.calls.tick(now)

    def detect_stall(self, now: float) -> None:
        """Extend the election timeout after a stall of this process, as heartbeats of the leader may wait unread.

        This avoids needless elections; safety depends on terms alone.
        """
        if now - self.ticked_at > STALL_THRESHOLD:
            self.leader_last_contact = max(self.leader_last_contact, now - ELECTION_TIMEOUT / 2)
        self.ticked_at = now

    def tick_candidate(self, now: float) -> None:
        """Repeat the vote requests, or give up after :data:`.timing.ELECTION_ROUND`."""
        if now - self.role_since > ELECTION_ROUND:
            self.change_role(ReplicaRole.FOLLOWER, now)
            self.leader_last_contact = now - ELECTION_TIMEOUT  # so that the next voter in election order can start
            self.leader = ""  # so that replicas which followed different leaders use the same election order
        elif now - self.votes_requested_at > HEARTBEAT_INTERVAL:
            self.request_votes(now)

    def tick_leader(self, now: float) -> None:
        """Step down without contact to a majority; otherwise resend the proposal, or send snapshots and propose."""
        voters = self.committed.voters or self.voters()
        time_as_leader = now - self.role_since
        if time_as_leader > QUORUM_TIMEOUT and not has_majority(voters, self.recently_active(QUORUM_TIMEOUT, now)):
            self.change_role(ReplicaRole.FOLLOWER, now)
            self.leader_last_contact = now
        elif self.proposed is not None:
            self.check_proposal(now, self.proposed)
        else:
            self.send_snapshots(now)
            self.propose_next_entry(now)

    def check_proposal(self, now: float, entry: LogEntry) -> None:
        """Finish the proposal if it is committed by now, or resend it."""
        if self.is_committed(now, entry):  # the disks that count depend on which replicas are leaving or reachable
            self.finish_proposal(now, entry)
        elif self.is_bootstrap_stuck(now, entry):
            self.start_election(now)
        elif now - self.proposed_at > RESEND_AFTER:
            self.proposed_at = now
            self.send_appends(entry, self.acknowledged_by)

    def is_bootstrap_stuck(self, now: float, entry: LogEntry) -> bool:
        """Whether the first entry is on most disks, and another one was probably lost before it held the entry.

        In a later term, the entry needs only a commit quorum.
        """
        is_overdue = now - self.role_since > BOOTSTRAP_TIMEOUT
        return is_overdue and self.is_bootstrap_entry(entry) and has_majority(entry.voters, self.acknowledged_by)

    def propose_next_entry(self, now: float) -> None:
        """Propose the next entry: a change of the voter set, a client's change, or the completion of a voter change."""
        is_settled = not changes_voters(self.committed)
        change = self.next_voter_change(now) if is_settled else None
        if change is not None:
            self.propose(now, self.next_entry(change.voters))
            return
        if self.calls.queued_changes:
            self.propose_next_change(now)
        if self.proposed is None and not is_settled:
            # Another entry with the same voters completes the change. Until it is on enough disks, a restarted replica
            # can't know that the entry before was committed, and an election also needs a majority of the old voters.
            self.propose(now, self.next_entry(list(self.committed.voters)))
        if self.proposed is None:
            self.replicate_committed(now)
            self.confirm_leaves()

    def next_voter_change(self, now: float) -> VoterChange | None:
        """The next change of the voter set, or None."""
        return self.voter_changes.next_change(
            self.committed, self.own_voter.disk, self.last_contact, now, self.tolerated_failures
        )

    # --- heartbeats and snapshots ---

    def peers(self) -> list[Voter]:
        """The replicas that this one sends messages to: the other voters and the known learners."""
        learners = [learner.voter for learner in self.voter_changes.learners.values()]
        return [*self.other_voters(), *learners]

    def heartbeat(self) -> ConsensusMessage:
        """A heartbeat with this replica's committed index and digest; from the leader also with its term."""
        leads = self.role is ReplicaRole.LEADER
        return ConsensusMessage(
            kind=MessageKind.HEARTBEAT,
            disk=self.own_voter.disk,
            term=self.term if leads else 0,
            granted=leads,
            index=self.committed.index,
            digest=self.committed_digest,
            voter=self.own_voter,
            bootstrap=not self.voters(),
        )

    def on_heartbeat(self, now: float, message: ConsensusMessage) -> None:
        """Record what the sender has committed; if it leads, follow it and commit what it has committed."""
        voter = message.voter
        if message.disk == self.own_voter.disk:
            return
        self.latest_heartbeats[(voter.ip, voter.port)] = message
        self.reported[message.disk] = ReportedCommit(message.index, message.digest)
        if message.granted and message.term >= self.vote.term:
            self.follow_leader(now, message.disk, message.term)
            if message.HasField("committed"):
                self.on_snapshot(now, message.committed)
            elif self.accepted is not None and (message.index, message.term) == (
                self.accepted.index,
                self.accepted.term,
            ):
                self.commit(now, self.accepted)
        if self.role is ReplicaRole.LEADER and message.disk not in disk_ids(self.committed.voters):
            self.voter_changes.on_heartbeat(now, voter)

    def send_snapshots(self, now: float) -> None:
        """Send a snapshot to voters that lag behind, or whose committed entry differs from the majority's."""
        own = ReportedCommit(self.committed.index, self.committed_digest)
        matching_disks = {disk for disk, reported in self.reported.items() if reported == own} | {self.own_voter.disk}
        others = self.other_voters()
        self.lag_monitor.retain(set(disk_ids(others)))
        for voter in others:
            reported = self.reported.get(voter.disk, ReportedCommit(0, 0))
            deviates = reported.index == own.index and reported.digest != own.digest
            if deviates and has_majority(self.committed.voters, matching_disks):
                is_due = self.lag_monitor.needs_repair(now, voter.disk, reported.index)
            else:
                is_due = self.lag_monitor.needs_snapshot(now, voter.disk, reported.index, self.committed.index)
            if is_due:
                self.send_snapshot(voter)

    def send_snapshot(self, voter: Voter) -> None:
        """Send the committed entry, which contains the complete state, with a heartbeat."""
        message = self.heartbeat()
        message.committed.CopyFrom(self.committed)
        self.send(voter, message)

    def on_snapshot(self, now: float, entry: LogEntry) -> None:
        """Commit and persist an entry that the leader has committed."""
        differs = entry.index == self.committed.index and digest(entry) != self.committed_digest
        if entry.index <= self.committed.index and not differs:
            return
        self.commit(now, entry, repairs=differs)
        last = self.last_accepted()
        if last is None or last.index < entry.index:
            self.persist(entry, [])
        elif differs and last.index == entry.index:
            copy = LogEntry()
            copy.CopyFrom(entry)
            copy.term = max(entry.term, last.term)  # never lower the term of an accepted entry
            self.persist(copy, [])

    # --- proposals ---

    def on_append_reply(self, now: float, message: ConsensusMessage) -> None:
        """Count an acknowledgement of the proposed entry, or step down after a rejection."""
        if not message.granted and message.round >= self.term and self.role is ReplicaRole.LEADER:
            self.on_append_rejected(now, message)
            return
        if self.role is not ReplicaRole.LEADER or message.term != self.term or not message.granted:
            return
        self.voter_changes.on_acknowledged(message.disk, message.index)
        entry = self.proposed
        if entry is None or message.index != entry.index:
            return
        self.acknowledged_by.add(message.disk)
        if self.is_committed(now, entry):
            self.finish_proposal(now, entry)

    def on_append_rejected(self, now: float, message: ConsensusMessage) -> None:
        """Step down, because a replica has accepted a higher term or another leader."""
        self.change_role(ReplicaRole.FOLLOWER, now)
        if message.round > self.vote.term:
            self.vote = Vote(message.round, "")  # the next election uses a higher term
        elif self.is_voter() and not self.leaving:
            # The sender was a candidate in the same term and voted for itself. It follows this replica now, but would
            # reject its entries throughout the term. Only a higher term resolves that.
            self.start_election(now)

    def finish_proposal(self, now: float, entry: LogEntry) -> None:
        """Commit the proposed entry and answer the calls that waited for it."""
        self.proposed = None
        change, self.voter_changes.proposed_change = self.voter_changes.proposed_change, None
        if change is not None and changes_voters(entry):
            self.actions.append(VotersChanged(entry.index, change))
        self.commit(now, entry)
        self.established_term = self.term
        self.calls.on_committed()
        self.answer_confirmed()
        self.heartbeat_sent_at = -math.inf  # announce the commit at once
        if self.role is ReplicaRole.LEADER:
            self.tick(now)

    # --- changes of the voter set ---

    def replicate_committed(self, now: float) -> None:
        """Send the committed entry to learners and, while a replica is leaving, to voters that may lack it.

        It is sent as an append request, which is acknowledged once the entry is durable.
        """
        for voter in self.voter_changes.due_appends(now, self.committed):
            self.send_append(voter, self.in_own_term(self.committed))

    def confirm_leaves(self) -> None:
        """Allow leaving replicas to shut down once enough other disks hold the committed entry."""
        if not self.voter_changes.is_durable_without_leaving(self.committed, self.tolerated_failures):
            return
        for disk in self.voter_changes.leaving_since:
            heartbeat = next((h for h in self.latest_heartbeats.values() if h.disk == disk), None)
            if heartbeat is not None:
                reply = self.message(MessageKind.LEAVE_REPLY, self.term)
                reply.granted = True
                reply.index = self.committed.index
                self.send(heartbeat.voter, reply)

    def transfer_leadership(self, now: float) -> None:
        """Step down and make the next voter in election order start an election at once."""
        if self.role is ReplicaRole.LEADER:
            for voter in self.other_voters():
                self.send(voter, self.message_with_voter(MessageKind.TRANSFER_LEADERSHIP, self.term))
            self.change_role(ReplicaRole.FOLLOWER, now)
            self.leader_last_contact = now

    def leave(self, now: float) -> None:
        """Prepare to shut down, possibly for good.

        Gives up leadership. A LEAVE message with each heartbeat then makes the leader replicate the committed entry to
        enough other disks.
        """
        self.leaving = True
        if self.role is ReplicaRole.CANDIDATE:
            self.change_role(ReplicaRole.FOLLOWER, now)
        self.transfer_leadership(now)

    def can_shut_down(self, now: float) -> bool:
        """Whether this replica is no longer needed, or no other voter that stays is reachable."""
        staying = [voter for voter in self.other_voters() if voter.disk not in self.voter_changes.leaving_since]
        is_any_reachable = any(
            now - self.last_contact.get(voter.disk, -math.inf) < ELECTION_TIMEOUT for voter in staying
        )
        return self.leave_granted or not self.is_voter() or not is_any_reachable

    def on_leave_reply(self, message: ConsensusMessage) -> None:
        """Handle the leader's confirmation that enough other disks hold all entries up to an index.

        From then on this replica accepts no further entries, since its disk may become unavailable at any moment.
        """
        last = self.last_accepted()
        if last is None or last.index <= message.index:
            self.leave_granted = self.leaving

    # --- bootstrap ---

    def bootstrap_cluster(self, now: float) -> None:
        """Announce this replica and, if it is one of the initial members, propose the first voter set.

        It proposes once it hears all initial members and none of them knows of a cluster: the first of them in the
        order of their addresses at once, the next one a little later. A member that was started again since is not
        told to bootstrap. It takes part, but doesn't propose. If a cluster existed, more disks than tolerated
        would have to be lost until no initial member holds an entry, and this replica's disk is not among them.
        """
        own_address = (self.own_voter.ip, self.own_voter.port)
        if now - self.heartbeat_sent_at < HEARTBEAT_INTERVAL / 2:
            for ip, port in dict.fromkeys([*self.bootstrap_addresses, *self.known_addresses]):
                if (ip, port) != own_address:
                    self.send(Voter(ip=ip, port=port), self.heartbeat())
        if not self.bootstrap or self.voters() or own_address not in self.bootstrap_addresses:
            return
        others = self.members_without_cluster(now)
        if len(others) + 1 < len(self.bootstrap_addresses):
            self.bootstrap_possible_since = math.inf
            return
        self.bootstrap_possible_since = min(self.bootstrap_possible_since, now)
        delay = BOOTSTRAP_STAGGER * self.bootstrap_addresses.index(own_address)
        if now - self.bootstrap_possible_since < delay:
            return
        voters = sorted([self.own_voter, *others], key=lambda voter: (voter.ip, voter.port))
        self.change_role(ReplicaRole.LEADER, now)
        self.term = 1
        self.vote = Vote(1, self.own_voter.disk)
        for voter in voters:
            self.last_contact[voter.disk] = now
        self.propose(now, LogEntry(term=1, index=1, voters=voters, founding_size=len(voters)))

    def members_without_cluster(self, now: float) -> list[Voter]:
        """The other initial members that this replica hears and that know of no cluster."""
        own_address = (self.own_voter.ip, self.own_voter.port)
        heartbeats = [self.latest_heartbeats.get(a) for a in self.bootstrap_addresses if a != own_address]
        active = self.recently_active(ELECTION_TIMEOUT, now)
        return [h.voter for h in heartbeats if h is not None and h.bootstrap and h.disk in active]

    # --- received messages ---

    def receive(self, now: float, message: ConsensusMessage) -> None:
        """Handle a message from another replica, or from this one to itself."""
        if message.disk != self.own_voter.disk:
            self.last_contact[message.disk] = now
        from_leader = message.disk == self.leader and message.term >= self.vote.term
        if message.kind == MessageKind.HEARTBEAT:
            self.on_heartbeat(now, message)
        elif message.kind == MessageKind.VOTE_REQUEST:
            self.on_vote_request(now, message)
        elif message.kind == MessageKind.VOTE_REPLY:
            self.on_vote_reply(now, message)
        elif message.kind == MessageKind.APPEND:
            self.on_append(now, message)
        elif message.kind == MessageKind.APPEND_REPLY:
            self.on_append_reply(now, message)
        elif message.kind == MessageKind.CONFIRM_LEADERSHIP:
            self.on_confirm_leadership(message)
        elif message.kind == MessageKind.LEADERSHIP_CONFIRMED:
            self.on_leadership_confirmed(message)
        elif message.kind == MessageKind.TRANSFER_LEADERSHIP and from_leader:
            self.last_contact.pop(message.disk, None)  # skip the old leader in election order ...
            self.leader_last_contact = now - ELECTION_TIMEOUT  # ... and don't wait for the election timeout
        elif message.kind == MessageKind.LEAVE:
            self.voter_changes.on_leave(now, message.disk)
        elif message.kind == MessageKind.LEAVE_REPLY and message.granted and from_leader:
            self.on_leave_reply(message)

    # --- client calls ---

    def change(self, now: float, call_id: int, base: int, generation: int, text: bytes, digest: bytes) -> None:
        """Accept a call to replace the configuration of generation ``base`` by a validated one.

        The call is answered with 503 if this replica is not the leader.
        """
        if self.role is not ReplicaRole.LEADER:
            self.actions.append(Reply(call_id, 503, NOT_LEADER))
            return
        committed = self.committed if self.is_established() else None
        self.calls.change(ChangeCall(call_id, now, base, generation, text, digest), committed)
        if self.proposed is None:
            self.propose_next_change(now)
        self.request_confirmations(now)
        self.answer_confirmed()

    def propose_next_change(self, now: float) -> None:
        """Propose the next queued change that needs an entry."""
        call = self.calls.next_change(self.committed)
        if call is not None:
            entry = self.next_entry(list(self.committed.voters))
            entry.text, entry.generation = call.text, call.generation
            entry.applied_calls.append(AppliedCall(generation=call.generation, base=call.base, digest=call.digest))
            del entry.applied_calls[:-MAX_APPLIED_CALLS]
            self.propose(now, entry)
