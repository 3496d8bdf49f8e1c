"""The replicated log: one replica, as a pure machine.

What is committed is one value, the configuration in force and the voters, under a number that rises by one with each
entry. One member leads, under a term that the others refuse to go below; it proposes the entry after the committed one,
and that one is committed once enough disks have it (:meth:`.replication.Replication.is_committed`). A member that takes
over first asks a majority for what they have, proposes the newest anew under its own term, and goes on from there.

Instants in s; nothing here depends on the clocks of two machines agreeing. Sources: Viewstamped Replication Revisited
(Liskov and Cowling, 2012) for changes of the members and one without its disk; Paxos Made Simple (Lamport, 2001) for
why the newest by term of a majority is safe.
"""

from __future__ import annotations

from ..transport.mesh_pb2 import AppliedCall, ConsensusMessage, LogEntry, Voter
from .client_calls import REMEMBERED
from .election import Elections
from .leader_calls import LeaderCalls
from .messages import Kind, Proposal, ReplicaRole, Reply, Vote, VotersChanged
from .quorum import VoterChange, changes_voters, digest, disk_ids, has_majority
from .timing import ELECTION_ROUND, ELECTION_TIMEOUT, HEARTBEAT_INTERVAL, QUORUM_TIMEOUT, RESEND_AFTER, STANDSTILL


class Replica(Elections, LeaderCalls):
    """One member. Feed it :meth:`tick`, :meth:`receive`, :meth:`persisted` and calls; carry out what is left in
    ``out``."""

    # --- turns ---

    def tick(self, now: float) -> None:
        self.voter_changes.tick(now)
        self.notice_standstill(now)
        if now - self.heartbeat_at >= HEARTBEAT_INTERVAL:
            self.heartbeat_at = now
            for voter in self.others():
                self.send(voter, self.heartbeat())
                if self.leaving:
                    self.send(voter, ConsensusMessage(kind=Kind.LEAVE, disk=self.me.disk, voter=self.me))
        if self.role is ReplicaRole.LEARNER:
            self.found_cluster(now)
        elif self.role is ReplicaRole.FOLLOWER:
            self.check_leader(now)
        elif self.role is ReplicaRole.CANDIDATE:
            if now - self.role_since > ELECTION_ROUND:
                self.become(ReplicaRole.FOLLOWER, now)
                self.leader_heard_at = now - ELECTION_TIMEOUT  # the next in order gets its turn, too
                self.leader = ""  # candidates that took different members for the leader agree on the order now
            elif now - self.votes_requested_at > HEARTBEAT_INTERVAL:
                self.request_votes(now)
        else:
            self.lead(now)
        self.ask_for_confirmation(now)
        self.answer_confirmed()
        self.calls.tick(now)

    def notice_standstill(self, now: float) -> None:
        """One that stood still has not listened: heartbeats of the leader may lie unread, and are read before it is
        taken for silent. Who is right depends on terms alone; this spares a healthy leader an election."""
        if now - self.ticked_at > STANDSTILL:
            self.leader_heard_at = max(self.leader_heard_at, now - ELECTION_TIMEOUT / 2)
        self.ticked_at = now

    def peers(self) -> list[Voter]:
        """Whom this member sends to: the other voters, and learners that it knows of."""
        learners = [voter for voter, _ in self.voter_changes.newcomers.values()]
        return [*self.others(), *learners]

    def heartbeat(self) -> ConsensusMessage:
        leads = self.role is ReplicaRole.LEADER
        return ConsensusMessage(
            kind=Kind.HEARTBEAT,
            disk=self.me.disk,
            term=self.term if leads else 0,
            granted=leads,
            index=self.committed.index,
            digest=self.digest,
            voter=self.me,
            bootstrap=self.bootstrap and not self.voters(),
        )

    def lead(self, now: float) -> None:
        """A turn of the leader: the proposal is sent again, members that are behind are told, the voters follow who is
        there."""
        live = {d for d, at in self.heard_at.items() if now - at < QUORUM_TIMEOUT} | {self.me.disk}
        if now - self.role_since > QUORUM_TIMEOUT and not has_majority(self.committed.voters or self.voters(), live):
            self.become(ReplicaRole.FOLLOWER, now)
            self.leader_heard_at = now
            return
        if self.proposed is not None:
            if self.is_committed(now, self.proposed):  # one that had it and left counts again, or is out
                self.finish_proposal(now, self.proposed)
            elif now - self.proposed_at > RESEND_AFTER:
                self.proposed_at = now
                self.offer(self.proposed, self.have)
            return
        self.catch_up(now)
        settled = not changes_voters(self.committed)
        change = self.next_change(now) if settled else None
        if change is not None:
            self.propose(now, self.next_entry(change.voters))
            return
        if self.calls.waiting:
            self.start_call(now)
        if self.proposed is None and not settled:
            # One more entry that needs the new voters alone: until it is on enough disks, a member that starts and
            # finds the entry before can't know that it was committed, and would need a majority of the old ones, too.
            self.propose(now, self.next_entry(list(self.committed.voters)))
        if self.proposed is None:
            self.offer_committed(now)
            self.let_go_who_leaves()

    def next_change(self, now: float) -> VoterChange | None:
        return self.voter_changes.next(self.committed, self.me.disk, self.heard_at, now, self.losses)

    def offer_committed(self, now: float) -> None:
        """Learners get the committed entry, and voters that may lack it while one of them leaves; as a proposal, since
        that is acknowledged once it is durable."""
        for voter in self.voter_changes.lacking(now, self.committed):
            self.send_append(voter, self.under_own_term(self.committed))

    def let_go_who_leaves(self) -> None:
        """Those that leave may end once what is committed stays on enough other disks."""
        if not self.voter_changes.stays_elsewhere(self.committed, self.losses):
            return
        for disk in self.voter_changes.leaving:
            told = next((h for h in self.heartbeats.values() if h.disk == disk), None)
            if told is not None:
                self.send(
                    told.voter,
                    ConsensusMessage(
                        kind=Kind.LEAVE_REPLY,
                        disk=self.me.disk,
                        term=self.term,
                        granted=True,
                        index=self.committed.index,
                    ),
                )

    def catch_up(self, now: float) -> None:
        """Send the committed entry whole to members that lack it for a while, or have it otherwise than a majority."""
        mine = (self.committed.index, self.digest)
        alike = {d for d, told in self.told.items() if told == mine} | {self.me.disk}
        others = self.others()
        self.behind.keep_only(set(disk_ids(others)))
        for voter in others:
            number, told = self.told.get(voter.disk, (0, 0))
            differs = number == mine[0] and told != mine[1] and has_majority(self.committed.voters, alike)
            if differs:
                due = self.behind.differs(now, voter.disk, number)
            else:
                due = self.behind.is_due(now, voter.disk, number, self.committed.index)
            if due:
                self.send_committed(voter)

    def send_committed(self, voter: Voter) -> None:
        """The snapshot: the committed entry is all the state that there is."""
        message = self.heartbeat()
        message.committed.CopyFrom(self.committed)
        self.send(voter, message)

    def hand_over(self, now: float) -> None:
        """Give up the lead: the next voter in order stands for election at once."""
        if self.role is ReplicaRole.LEADER:
            for voter in self.others():
                self.send(
                    voter, ConsensusMessage(kind=Kind.HAND_OVER, disk=self.me.disk, term=self.term, voter=self.me)
                )
            self.become(ReplicaRole.FOLLOWER, now)
            self.leader_heard_at = now

    def leave(self, now: float) -> None:
        """This member is about to end, for good or to start again, which it can't know: it hands the lead on and asks
        the leader, with each heartbeat, to make sure that nothing depends on it."""
        self.leaving = True
        if self.role is ReplicaRole.CANDIDATE:
            self.become(ReplicaRole.FOLLOWER, now)
        self.hand_over(now)

    def may_end(self, now: float) -> bool:
        """Whether nothing depends on this member any more, or nobody is there whom waiting would help."""
        staying = [v for v in self.others() if v.disk not in self.voter_changes.leaving]
        heard = any(now - self.heard_at.get(v.disk, -1e9) < ELECTION_TIMEOUT for v in staying)
        return self.let_go or not self.is_voter() or not heard

    # --- the first voters ---

    def found_cluster(self, now: float) -> None:
        """The first founder proposes the first set of voters, once all founders are there and none knows of one."""
        if now - self.heartbeat_at < HEARTBEAT_INTERVAL / 2:
            for ip, port in dict.fromkeys([*self.founders, *self.known]):
                if (ip, port) != (self.me.ip, self.me.port):
                    self.send(Voter(ip=ip, port=port), self.heartbeat())
        mine = (self.me.ip, self.me.port)
        if not self.bootstrap or self.voters() or not self.founders or self.founders[0] != mine:
            return
        others = [f for f in self.founders if f != mine]
        told = [self.heartbeats.get(f) for f in others]
        if all(h is not None and h.bootstrap for h in told):
            voters = [self.me, *(h.voter for h in told if h is not None)]
            self.become(ReplicaRole.LEADER, now)
            self.term = 1
            self.vote = Vote(1, self.me.disk)
            for voter in voters:
                self.heard_at[voter.disk] = now
            self.propose(now, LogEntry(term=1, index=1, voters=voters, founding_size=len(voters)))

    # --- what comes ---

    def receive(self, now: float, m: ConsensusMessage) -> None:
        """A message of another, or of this member to itself."""
        if m.disk != self.me.disk:
            self.heard_at[m.disk] = now
        if m.kind == Kind.HEARTBEAT:
            self.on_heartbeat(now, m)
        elif m.kind == Kind.VOTE_REQUEST:
            self.on_vote_request(now, m)
        elif m.kind == Kind.VOTE_REPLY:
            self.on_vote_reply(now, m)
        elif m.kind == Kind.APPEND:
            self.on_append(now, m)
        elif m.kind == Kind.APPEND_REPLY:
            self.on_append_reply(now, m)
        elif m.kind == Kind.CONFIRM_LEADERSHIP:
            self.on_confirm_leadership(m)
        elif m.kind == Kind.LEADERSHIP_CONFIRMED:
            self.on_leadership_confirmed(m)
        elif m.kind == Kind.HAND_OVER and m.disk == self.leader and m.term >= self.vote.term:
            self.heard_at.pop(m.disk, None)  # it is passed over ...
            self.leader_heard_at = now - ELECTION_TIMEOUT  # ... and the next one needn't wait for its silence
        elif m.kind == Kind.LEAVE:
            self.voter_changes.leaves(now, m.disk)
        elif m.kind == Kind.LEAVE_REPLY and m.granted and m.disk == self.leader and m.term >= self.vote.term:
            self.on_leave_reply(m)

    def on_leave_reply(self, m: ConsensusMessage) -> None:
        """The leader has made sure that entries up to this number are on enough other disks. From now on this member
        acknowledges no further one, as nothing would make sure of that."""
        last = self.last_accepted()
        if last is None or last.index <= m.index:
            self.let_go = self.leaving

    def on_heartbeat(self, now: float, m: ConsensusMessage) -> None:
        voter = m.voter
        if m.disk == self.me.disk:
            return
        self.heartbeats[(voter.ip, voter.port)] = m
        self.told[m.disk] = m.index, m.digest
        if m.granted and m.term >= self.vote.term:
            self.follow(now, m.disk, m.term)
            if m.HasField("committed"):
                self.take_committed(now, m.committed)
            elif self.accepted is not None and (m.index, m.term) == (self.accepted.index, self.accepted.term):
                self.commit(now, self.accepted)
        if self.role is ReplicaRole.LEADER and m.disk not in disk_ids(self.committed.voters):
            self.voter_changes.heartbeat(now, voter)

    def on_append_reply(self, now: float, m: ConsensusMessage) -> None:
        if not m.granted and m.round >= self.term and self.role is ReplicaRole.LEADER:
            self.become(ReplicaRole.FOLLOWER, now)
            if m.round > self.vote.term:
                self.vote = Vote(m.round, "")  # the next try is above it
            elif self.is_voter() and not self.leaving:
                # It stood under the same term and has voted for itself: it follows this one now, and would
                # refuse it for good. Only a term above can have both.
                self.start_election(now)
            return
        if self.role is not ReplicaRole.LEADER or m.term != self.term or not m.granted:
            return
        self.voter_changes.acknowledged(m.disk, m.index)
        entry = self.proposed
        if entry is None or m.index != entry.index:
            return
        self.have.add(m.disk)
        if self.is_committed(now, entry):
            self.finish_proposal(now, entry)

    def finish_proposal(self, now: float, entry: LogEntry) -> None:
        self.proposed = None
        change, self.voter_changes.change = self.voter_changes.change, None
        if change is not None and changes_voters(entry):
            self.out.append(VotersChanged(entry.index, change))
        self.commit(now, entry)
        self.established_term = self.term
        self.calls.committed()
        self.answer_confirmed()
        self.heartbeat_at = -1e9  # the others hear of it at once
        if self.role is ReplicaRole.LEADER:
            self.tick(now)

    def take_committed(self, now: float, entry: LogEntry) -> None:
        """The leader says what is committed."""
        differs = entry.index == self.committed.index and digest(entry) != self.digest
        if entry.index > self.committed.index or differs:
            self.commit(now, entry, mends=differs)
            mine = self.last_accepted()
            if mine is None or mine.index < entry.index:
                self.persist(entry, [])
            elif differs and mine.index == entry.index:
                made = LogEntry()
                made.CopyFrom(entry)
                made.term = max(entry.term, mine.term)  # what was promised under it stays promised
                self.persist(made, [])

    # --- calls ---

    def put(self, now: float, call: int, base: int, generation: int, text: bytes, digest: bytes) -> None:
        """A checked configuration of an operator, on top of version ``base``."""
        if self.role is not ReplicaRole.LEADER:
            self.out.append(Reply(call, 503, b"does not lead"))
            return
        committed = self.committed if self.is_established() else None
        self.calls.change(Proposal(call, now, base, generation, text, digest), committed)
        if self.proposed is None:
            self.start_call(now)
        self.ask_for_confirmation(now)
        self.answer_confirmed()

    def start_call(self, now: float) -> None:
        """Propose the next change that wants an entry."""
        call = self.calls.next(self.committed)
        if call is not None:
            made = self.next_entry(list(self.committed.voters))
            made.text, made.generation = call.text, call.generation
            made.applied_calls.append(AppliedCall(generation=call.generation, base=call.base, digest=call.digest))
            del made.applied_calls[:-REMEMBERED]
            self.propose(now, made)
