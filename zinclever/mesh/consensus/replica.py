"""The replicated log: one replica, as a pure state machine.

What is committed is one value, the configuration in force and the voters, at an index that rises by one with each
entry. One replica leads, under a term that the others refuse to go below; it proposes the entry after the committed
one, and that one is committed once enough disks have it (:meth:`.replication.Replication.is_committed`). A replica that
takes over first asks a majority for what they have, proposes the newest anew under its own term, and goes on from
there.

Instants are in s; nothing here depends on the clocks of two machines agreeing. Sources: Viewstamped Replication
Revisited (Liskov and Cowling, 2012) for changes of the voters and for a replica without its disk; Paxos Made Simple
(Lamport, 2001) for why the newest by term of a majority is safe; Raft (Ongaro, 2014) for terms and ReadIndex.
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
from .timing import ELECTION_ROUND, ELECTION_TIMEOUT, HEARTBEAT_INTERVAL, QUORUM_TIMEOUT, RESEND_AFTER, STALL_THRESHOLD


class Replica(Election, LeaderCalls):
    """One replica.

    Call :meth:`tick` at least every :data:`.timing.HEARTBEAT_INTERVAL`, :meth:`receive` with each message,
    :meth:`on_persisted` after each save, and :meth:`read` and :meth:`change` with operators' calls. Afterwards carry
    out what is in ``actions``.
    """

    # --- ticks ---

    def tick(self, now: float) -> None:
        """Do what is due in the present role."""
        self.voter_changes.tick(now)
        self.notice_stall(now)
        if now - self.heartbeat_sent_at >= HEARTBEAT_INTERVAL:
            self.heartbeat_sent_at = now
            for voter in self.other_voters():
                self.send(voter, self.heartbeat())
                if self.leaving:
                    self.send(voter, self.message_with_voter(MessageKind.LEAVE))
        if self.role is ReplicaRole.LEARNER:
            self.found_cluster(now)
        elif self.role is ReplicaRole.FOLLOWER:
            self.check_leader(now)
        elif self.role is ReplicaRole.CANDIDATE:
            self.tick_candidate(now)
        else:
            self.tick_leader(now)
        self.request_confirmations(now)
        self.answer_confirmed()
        self.calls.tick(now)

    def notice_stall(self, now: float) -> None:
        """After a stall of this process, don't take the leader for silent before its unread heartbeats are read.

        Who leads depends on terms alone; this spares a healthy leader an election.
        """
        if now - self.ticked_at > STALL_THRESHOLD:
            self.leader_last_contact = max(self.leader_last_contact, now - ELECTION_TIMEOUT / 2)
        self.ticked_at = now

    def tick_candidate(self, now: float) -> None:
        """Ask for votes again, or end a round that nobody has won."""
        if now - self.role_since > ELECTION_ROUND:
            self.change_role(ReplicaRole.FOLLOWER, now)
            self.leader_last_contact = now - ELECTION_TIMEOUT  # the next in order gets its turn, too
            self.leader = ""  # candidates that took different replicas for the leader agree on the order now
        elif now - self.votes_requested_at > HEARTBEAT_INTERVAL:
            self.request_votes(now)

    def tick_leader(self, now: float) -> None:
        """Step down without a majority; else resend the proposal, help whoever lags, and propose what is due."""
        voters = self.committed.voters or self.voters()
        has_led_for = now - self.role_since
        if has_led_for > QUORUM_TIMEOUT and not has_majority(voters, self.heard_within(QUORUM_TIMEOUT, now)):
            self.change_role(ReplicaRole.FOLLOWER, now)
            self.leader_last_contact = now
        elif self.proposed is not None:
            self.check_proposal(now, self.proposed)
        else:
            self.send_snapshots(now)
            self.propose_what_is_due(now)

    def check_proposal(self, now: float, entry: LogEntry) -> None:
        """Finish the proposal if it is committed by now, or send it again."""
        if self.is_committed(now, entry):  # a voter that left may count again, or be out
            self.finish_proposal(now, entry)
        elif now - self.proposed_at > RESEND_AFTER:
            self.proposed_at = now
            self.send_appends(entry, self.acknowledged_by)

    def propose_what_is_due(self, now: float) -> None:
        """Propose a change of the voters, an operator's change, or the end of a change of the voters, in this order."""
        is_settled = not changes_voters(self.committed)
        change = self.next_voter_change(now) if is_settled else None
        if change is not None:
            self.propose(now, self.next_entry(change.voters))
            return
        if self.calls.queued_changes:
            self.propose_next_change(now)
        if self.proposed is None and not is_settled:
            # One more entry that needs the new voters alone: until it is on enough disks, a replica that starts and
            # finds the entry before can't know that it was committed, and would need a majority of the old ones, too.
            self.propose(now, self.next_entry(list(self.committed.voters)))
        if self.proposed is None:
            self.replicate_committed(now)
            self.release_leaving()

    def next_voter_change(self, now: float) -> VoterChange | None:
        """The change of the voters that is due."""
        return self.voter_changes.next_change(
            self.committed, self.own_voter.disk, self.last_contact, now, self.tolerated_failures
        )

    # --- heartbeats and snapshots ---

    def peers(self) -> list[Voter]:
        """Whom this replica sends to: the other voters, and learners that it knows of."""
        learners = [learner.voter for learner in self.voter_changes.learners.values()]
        return [*self.other_voters(), *learners]

    def heartbeat(self) -> ConsensusMessage:
        """What this replica has committed; of the leader, also that it leads."""
        leads = self.role is ReplicaRole.LEADER
        return ConsensusMessage(
            kind=MessageKind.HEARTBEAT,
            disk=self.own_voter.disk,
            term=self.term if leads else 0,
            granted=leads,
            index=self.committed.index,
            digest=self.committed_digest,
            voter=self.own_voter,
            bootstrap=self.bootstrap and not self.voters(),
        )

    def on_heartbeat(self, now: float, m: ConsensusMessage) -> None:
        """Record what the sender has committed; from the leader, follow it."""
        voter = m.voter
        if m.disk == self.own_voter.disk:
            return
        self.latest_heartbeats[(voter.ip, voter.port)] = m
        self.reported[m.disk] = ReportedCommit(m.index, m.digest)
        if m.granted and m.term >= self.vote.term:
            self.follow_leader(now, m.disk, m.term)
            if m.HasField("committed"):
                self.on_snapshot(now, m.committed)
            elif self.accepted is not None and (m.index, m.term) == (self.accepted.index, self.accepted.term):
                self.commit(now, self.accepted)
        if self.role is ReplicaRole.LEADER and m.disk not in disk_ids(self.committed.voters):
            self.voter_changes.on_heartbeat(now, voter)

    def send_snapshots(self, now: float) -> None:
        """Send the committed entry to voters that lack it for a while, or have another than the majority."""
        own = ReportedCommit(self.committed.index, self.committed_digest)
        alike = {disk for disk, reported in self.reported.items() if reported == own} | {self.own_voter.disk}
        others = self.other_voters()
        self.lag_monitor.keep_only(set(disk_ids(others)))
        for voter in others:
            reported = self.reported.get(voter.disk, ReportedCommit(0, 0))
            has_other_entry = reported.index == own.index and reported.digest != own.digest
            if has_other_entry and has_majority(self.committed.voters, alike):
                is_due = self.lag_monitor.differs(now, voter.disk, reported.index)
            else:
                is_due = self.lag_monitor.is_due(now, voter.disk, reported.index, self.committed.index)
            if is_due:
                self.send_snapshot(voter)

    def send_snapshot(self, voter: Voter) -> None:
        """Send the committed entry, which is all the state that there is."""
        message = self.heartbeat()
        message.committed.CopyFrom(self.committed)
        self.send(voter, message)

    def on_snapshot(self, now: float, entry: LogEntry) -> None:
        """The leader sends the committed entry: put it in force, and on disk."""
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
            copy.term = max(entry.term, last.term)  # what was promised under it stays promised
            self.persist(copy, [])

    # --- proposals ---

    def on_append_reply(self, now: float, m: ConsensusMessage) -> None:
        """A replica has accepted an entry, or refuses this leader's term."""
        if not m.granted and m.round >= self.term and self.role is ReplicaRole.LEADER:
            self.on_append_refused(now, m)
            return
        if self.role is not ReplicaRole.LEADER or m.term != self.term or not m.granted:
            return
        self.voter_changes.on_acknowledged(m.disk, m.index)
        entry = self.proposed
        if entry is None or m.index != entry.index:
            return
        self.acknowledged_by.add(m.disk)
        if self.is_committed(now, entry):
            self.finish_proposal(now, entry)

    def on_append_refused(self, now: float, m: ConsensusMessage) -> None:
        """Step down: a replica has promised itself to another leader."""
        self.change_role(ReplicaRole.FOLLOWER, now)
        if m.round > self.vote.term:
            self.vote = Vote(m.round, "")  # the next try is above it
        elif self.is_voter() and not self.leaving:
            # It stood under the same term and has voted for itself: it follows this one now, and would refuse it for
            # good. Only a term above can have both.
            self.start_election(now)

    def finish_proposal(self, now: float, entry: LogEntry) -> None:
        """The proposed entry is committed."""
        self.proposed = None
        change, self.voter_changes.proposed_change = self.voter_changes.proposed_change, None
        if change is not None and changes_voters(entry):
            self.actions.append(VotersChanged(entry.index, change))
        self.commit(now, entry)
        self.established_term = self.term
        self.calls.on_committed()
        self.answer_confirmed()
        self.heartbeat_sent_at = -math.inf  # the others hear of it at once
        if self.role is ReplicaRole.LEADER:
            self.tick(now)

    # --- changes of the voters ---

    def replicate_committed(self, now: float) -> None:
        """Send the committed entry to learners, and while a voter leaves to voters that may lack it.

        It goes as a proposal, since that is acknowledged once it is durable.
        """
        for voter in self.voter_changes.due_appends(now, self.committed):
            self.send_append(voter, self.under_own_term(self.committed))

    def release_leaving(self) -> None:
        """Let those that leave end, once what is committed is on enough other disks."""
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
        """Give up the lead: the next voter in order stands for election at once."""
        if self.role is ReplicaRole.LEADER:
            for voter in self.other_voters():
                self.send(voter, self.message_with_voter(MessageKind.TRANSFER_LEADERSHIP, self.term))
            self.change_role(ReplicaRole.FOLLOWER, now)
            self.leader_last_contact = now

    def leave(self, now: float) -> None:
        """Prepare the end of this replica, which may be for good: it can't know.

        It gives up the lead and asks the leader, with each heartbeat, to make sure that nothing depends on it.
        """
        self.leaving = True
        if self.role is ReplicaRole.CANDIDATE:
            self.change_role(ReplicaRole.FOLLOWER, now)
        self.transfer_leadership(now)

    def can_shut_down(self, now: float) -> bool:
        """Whether nothing depends on this replica any more, or nobody is there whom waiting would help."""
        staying = [voter for voter in self.other_voters() if voter.disk not in self.voter_changes.leaving_since]
        is_anybody_heard = any(
            now - self.last_contact.get(voter.disk, -math.inf) < ELECTION_TIMEOUT for voter in staying
        )
        return self.leave_granted or not self.is_voter() or not is_anybody_heard

    def on_leave_reply(self, m: ConsensusMessage) -> None:
        """The leader has made sure that entries up to an index are on enough other disks.

        From now on this replica acknowledges no further one, as nothing would make sure of that.
        """
        last = self.last_accepted()
        if last is None or last.index <= m.index:
            self.leave_granted = self.leaving

    # --- founding the cluster ---

    def found_cluster(self, now: float) -> None:
        """Propose the first voters, as the first founder, once all founders are there and none knows of a cluster."""
        own_address = (self.own_voter.ip, self.own_voter.port)
        if now - self.heartbeat_sent_at < HEARTBEAT_INTERVAL / 2:
            for ip, port in dict.fromkeys([*self.founding_addresses, *self.known_addresses]):
                if (ip, port) != own_address:
                    self.send(Voter(ip=ip, port=port), self.heartbeat())
        if not self.bootstrap or self.voters() or not self.founding_addresses:
            return
        if self.founding_addresses[0] != own_address:
            return
        others = [address for address in self.founding_addresses if address != own_address]
        heartbeats = [self.latest_heartbeats.get(address) for address in others]
        if not all(h is not None and h.bootstrap for h in heartbeats):
            return
        voters = [self.own_voter, *(h.voter for h in heartbeats if h is not None)]
        self.change_role(ReplicaRole.LEADER, now)
        self.term = 1
        self.vote = Vote(1, self.own_voter.disk)
        for voter in voters:
            self.last_contact[voter.disk] = now
        self.propose(now, LogEntry(term=1, index=1, voters=voters, founding_size=len(voters)))

    # --- messages of others ---

    def receive(self, now: float, m: ConsensusMessage) -> None:
        """Handle a message of another replica, or of this one to itself."""
        if m.disk != self.own_voter.disk:
            self.last_contact[m.disk] = now
        from_leader = m.disk == self.leader and m.term >= self.vote.term
        if m.kind == MessageKind.HEARTBEAT:
            self.on_heartbeat(now, m)
        elif m.kind == MessageKind.VOTE_REQUEST:
            self.on_vote_request(now, m)
        elif m.kind == MessageKind.VOTE_REPLY:
            self.on_vote_reply(now, m)
        elif m.kind == MessageKind.APPEND:
            self.on_append(now, m)
        elif m.kind == MessageKind.APPEND_REPLY:
            self.on_append_reply(now, m)
        elif m.kind == MessageKind.CONFIRM_LEADERSHIP:
            self.on_confirm_leadership(m)
        elif m.kind == MessageKind.LEADERSHIP_CONFIRMED:
            self.on_leadership_confirmed(m)
        elif m.kind == MessageKind.TRANSFER_LEADERSHIP and from_leader:
            self.last_contact.pop(m.disk, None)  # it is passed over in the order of voters ...
            self.leader_last_contact = now - ELECTION_TIMEOUT  # ... and the next one needn't wait for its silence
        elif m.kind == MessageKind.LEAVE:
            self.voter_changes.on_leave(now, m.disk)
        elif m.kind == MessageKind.LEAVE_REPLY and m.granted and from_leader:
            self.on_leave_reply(m)

    # --- calls of operators ---

    def change(self, now: float, call_id: int, base: int, generation: int, text: bytes, digest: bytes) -> None:
        """Replace the configuration of generation ``base`` by a checked one. Without the lead the answer is 503."""
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
        """Propose the next change that needs an entry."""
        call = self.calls.next_change(self.committed)
        if call is not None:
            entry = self.next_entry(list(self.committed.voters))
            entry.text, entry.generation = call.text, call.generation
            entry.applied_calls.append(AppliedCall(generation=call.generation, base=call.base, digest=call.digest))
            del entry.applied_calls[:-MAX_APPLIED_CALLS]
            self.propose(now, entry)
