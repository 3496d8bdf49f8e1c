"""The replicated log: a member of the voters, as a pure machine.

What is committed is one value, the configuration in force and the voters, under a number that rises by one with each
entry. One member acts, under a term that the others refuse to go below; it proposes the entry after the committed
one, and that one is committed once enough disks have it (:func:`.views.has_commit_quorum`), those of the voters
before and of the
voters after it where it changes the voters. A member that takes over first asks a majority for what they have, puts the
newest in force anew under its own term (stops and trims), and goes on from there.

Instants in s; nothing here depends on the clocks of two machines agreeing. Sources: Viewstamped Replication Revisited
(Liskov and Cowling, 2012) for the entry of views and a member without its disk; Paxos Made Simple (Lamport, 2001) for
why the newest by term of a majority is safe.
"""

from __future__ import annotations

from ..transport.mesh_pb2 import AppliedCall, ConsensusMessage, LogEntry, Voter
from .client_calls import REMEMBERED
from .leader_calls import LeaderCalls
from .messages import Kind, Proposal, ReplicaRole, Reply, Send, Vote
from .quorum import changes_voters, digest, disk_ids, has_commit_quorum, has_majority, next_voters

HEARTBEAT_INTERVAL = 0.1  # s between two words of a member to the others
ELECTION_TIMEOUT = 0.7  # s without a word of the leader after which the next in order takes over ...
STARTUP_GRACE = (
    0.25  # s after its own start for which a member takes the others to be up, too, before it has heard them
)
ELECTION_STAGGER = 0.35  # ... and each further one so much later
LEADER_STICKINESS = 0.45  # s since its last word for which nobody helps to replace it
QUORUM_TIMEOUT = 0.9  # s without a word of a majority after which the leader stops leading
ELECTION_ROUND = 0.5  # s for which a majority is asked before a higher term is tried
RESEND_AFTER = 0.15  # s after which what is not answered is said again
STANDSTILL = 0.3  # s between two turns from which on this member has stood still, or was not given the processor
CATCH_UP_AFTER = 0.3  # s for which a member lacks what is committed before it is sent whole


class Replica(LeaderCalls):
    """One member. Feed it :meth:`tick`, :meth:`receive`, :meth:`persisted` and calls; carry out what is left in
    ``out``."""

    # --- turns ---

    def tick(self, now: float) -> None:
        self.notice_standstill(now)
        if now - self.heartbeat_at >= HEARTBEAT_INTERVAL:
            self.heartbeat_at = now
            for voter in self.others():
                self.send(voter, self.heartbeat())
        if self.role is ReplicaRole.LEARNER:
            self.found_cluster(now)
        elif self.role is ReplicaRole.FOLLOWER:
            self.check_leader(now)
        elif self.role is ReplicaRole.CANDIDATE:
            if now - self.role_since > ELECTION_ROUND:
                self.become(ReplicaRole.FOLLOWER, now)
                self.leader_heard_at = now - ELECTION_TIMEOUT  # the next in order has its turn, too
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

    def heartbeat(self) -> ConsensusMessage:
        acts = self.role is ReplicaRole.LEADER
        return ConsensusMessage(
            kind=Kind.HEARTBEAT,
            disk=self.me.disk,
            term=self.term if acts else 0,
            granted=acts,
            number=self.committed.number,
            digest=self.digest,
            voter=self.me,
            bootstrap=self.bootstrap and not self.voters(),
        )

    def check_leader(self, now: float) -> None:
        """Whether the leader is still heard of; the first live one in order after it takes over."""
        if not self.is_voter():
            return
        voters = disk_ids(self.voters())
        live = {d for d, at in self.heard_at.items() if now - at < ELECTION_TIMEOUT} | {self.me.disk}
        if self.me.disk not in voters or not has_majority(self.voters(), live):
            return  # one that hears nobody gains nothing by asking, and takes the duty from who could have it
        start = voters.index(self.leader) if self.leader in voters else -1
        turn = 0
        for n in range(1, len(voters) + 1):
            disk = voters[(start + n) % len(voters)]
            if disk == self.me.disk:
                break
            # The dead before this one are passed over; right after a start nobody is known to be dead.
            if now - self.heard_at.get(disk, self.began + STARTUP_GRACE - ELECTION_TIMEOUT) < ELECTION_TIMEOUT:
                turn += 1
        if (
            now - self.leader_heard_at > ELECTION_TIMEOUT + ELECTION_STAGGER * turn
            and now - self.role_since > ELECTION_STAGGER * turn
        ):
            self.start_election(now)

    def start_election(self, now: float) -> None:
        """Ask for the duty under a higher term."""
        self.become(ReplicaRole.CANDIDATE, now)
        self.term = self.vote.term + 1
        self.vote = Vote(self.term, self.me.disk)
        mine = self.vote_reply(True, self.term)
        self.persist(None, [Send(self.me, mine), *self.pending_vote_requests()])
        self.votes_requested_at = now

    def pending_vote_requests(self) -> list[Send]:
        """To those that have not answered."""
        return [
            Send(s, ConsensusMessage(kind=Kind.VOTE_REQUEST, disk=self.me.disk, term=self.term, voter=self.me))
            for s in self.others()
            if s.disk not in self.votes
        ]

    def request_votes(self, now: float) -> None:
        """Again: a member may have come up only now."""
        if self.me.disk in self.votes:  # else its own vote is not on disk yet
            self.votes_requested_at = now
            self.out += self.pending_vote_requests()

    def lead(self, now: float) -> None:
        """The duty: what is proposed goes on, members that are behind are told, the voters follows who is there."""
        live = {d for d, at in self.heard_at.items() if now - at < QUORUM_TIMEOUT} | {self.me.disk}
        if now - self.role_since > QUORUM_TIMEOUT and not has_majority(self.committed.voters or self.voters(), live):
            self.become(ReplicaRole.FOLLOWER, now)
            self.leader_heard_at = now
            return
        if self.proposed is not None:
            if now - self.proposed_at > RESEND_AFTER:
                self.proposed_at = now
                self.offer(self.proposed, self.have)
            return
        self.catch_up(now)
        if self.calls.waiting:
            self.start_call(now)
        if self.proposed is None and changes_voters(self.committed):
            # One more entry that needs the new voters alone: until it is on enough disks, a member that starts and
            # finds
            # the entry of voters can't know that it was committed, and would need a majority of the old one, too.
            self.propose(now, self.next_entry(list(self.committed.voters)))
        if self.proposed is None:
            voters = next_voters(self.committed, self.me.disk, self.waiting, self.heard_at, now)
            if voters is not None:
                self.propose(now, self.next_entry(voters))

    def catch_up(self, now: float) -> None:
        """Members that send for a while that they lack what is committed, or have it otherwise than the rest, get it
        whole."""
        mine = (self.committed.number, self.digest)
        alike = {d for d, told in self.told.items() if told == mine} | {self.me.disk}
        for voter in self.others():
            number, told = self.told.get(voter.disk, (0, 0))
            differs = number == mine[0] and told != mine[1] and has_majority(self.committed.voters, alike)
            if number >= self.committed.number and not differs:
                self.behind.pop(voter.disk, None)
            elif now - self.behind.setdefault(voter.disk, now) > CATCH_UP_AFTER:
                self.behind[voter.disk] = now
                self.send(
                    voter,
                    ConsensusMessage(
                        kind=Kind.HEARTBEAT,
                        disk=self.me.disk,
                        term=self.term,
                        granted=True,
                        voter=self.me,
                        number=self.committed.number,
                        committed=self.committed,
                    ),
                )

    def hand_over(self, now: float) -> None:
        """This member ends in order: what it acts for goes to the next one at once."""
        if self.role is ReplicaRole.LEADER:
            for voter in self.others():
                self.send(
                    voter, ConsensusMessage(kind=Kind.HAND_OVER, disk=self.me.disk, term=self.term, voter=self.me)
                )
            self.become(ReplicaRole.FOLLOWER, now)
            self.leader_heard_at = now

    # --- the first voters ---

    def found_cluster(self, now: float) -> None:
        """The first of the founders founds the voters, once all of them are there and none knows of one."""
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
            self.propose(now, LogEntry(term=1, number=1, voters=voters, founding_size=len(voters)))

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

    def on_heartbeat(self, now: float, m: ConsensusMessage) -> None:
        voter = m.voter
        if m.disk == self.me.disk:
            return
        self.heartbeats[(voter.ip, voter.port)] = m
        self.told[m.disk] = m.number, m.digest
        if m.granted and m.term >= self.vote.term:
            self.follow(now, m.disk, m.term)
            if m.HasField("committed"):
                self.take_committed(now, m.committed)
            elif self.accepted is not None and (m.number, m.term) == (self.accepted.number, self.accepted.term):
                self.commit(now, self.accepted)
        if self.role is ReplicaRole.LEADER and m.disk not in disk_ids(self.committed.voters):
            since = self.waiting.get(m.disk, (voter, now))[1]
            self.waiting = {d: w for d, w in self.waiting.items() if (w[0].ip, w[0].port) != (voter.ip, voter.port)}
            self.waiting[m.disk] = (voter, since)

    def follow(self, now: float, disk: str, term: int) -> None:
        """Another acts under a term that this member doesn't refuse."""
        if self.role in (ReplicaRole.LEADER, ReplicaRole.CANDIDATE) and term > self.term:
            self.become(ReplicaRole.FOLLOWER, now)
        if self.role is ReplicaRole.FOLLOWER or self.role is ReplicaRole.LEARNER:
            self.leader, self.leader_heard_at = disk, now

    def on_vote_request(self, now: float, m: ConsensusMessage) -> None:
        sticky = self.leader not in ("", m.disk) and now - self.leader_heard_at < LEADER_STICKINESS
        if sticky or m.term < self.vote.term or (m.term == self.vote.term and self.vote.disk not in ("", m.disk)):
            self.answer(m, self.vote_reply(False, m.term))
            return
        if self.role in (ReplicaRole.LEADER, ReplicaRole.CANDIDATE):
            self.become(ReplicaRole.FOLLOWER, now)
        self.leader_heard_at = max(self.leader_heard_at, now - ELECTION_TIMEOUT / 2)
        self.vote = Vote(m.term, m.disk)
        voter = self.voter_of(m)
        self.persist(None, [Send(voter, self.vote_reply(True, m.term))] if voter is not None else [])

    def vote_reply(self, granted: bool, term: int) -> ConsensusMessage:
        """What this member has; ``accepted`` is put in once the vote is on disk, by :meth:`persisted`."""
        return ConsensusMessage(
            kind=Kind.VOTE_REPLY, disk=self.me.disk, term=term, granted=granted, number=self.vote.term
        )

    def on_vote_reply(self, now: float, m: ConsensusMessage) -> None:
        if self.role is not ReplicaRole.CANDIDATE or m.term != self.term:
            return
        if not m.granted:
            if m.number > self.vote.term:
                self.vote = Vote(m.number, "")  # the next try is above it
            return
        self.votes[m.disk] = m
        committed = max([self.committed, *(p.committed for p in self.votes.values())], key=lambda c: c.number)
        taken = [p.entry for p in self.votes.values() if p.HasField("entry")]
        best = max(taken, key=lambda c: (c.number, c.term), default=committed)
        if best.number < committed.number:
            best = committed
        if best.number > committed.number:
            views = [list(v) for v in (best.previous_voters, best.voters) if v]
        else:
            views = [list(best.voters)] if best.voters else []
        if not views or not all(has_majority(v, self.votes) for v in views):
            return
        if committed.number > self.committed.number:
            self.commit(now, committed)
        if self.me.disk not in disk_ids(best.voters):
            self.become(ReplicaRole.FOLLOWER if self.is_voter() else ReplicaRole.LEARNER, now)
            return
        self.become(ReplicaRole.LEADER, now)
        self.waiting.clear()
        again = LogEntry()
        again.CopyFrom(best)
        again.term = self.term
        self.propose(now, again)

    # --- entries ---

    def next_entry(self, voters: list[Voter]) -> LogEntry:
        """The entry after the committed one: another voters, and all else as it is."""
        made = LogEntry()
        made.CopyFrom(self.committed)
        made.term, made.number = self.term, self.committed.number + 1
        del made.voters[:], made.previous_voters[:]
        made.voters.extend(voters)
        made.previous_voters.extend(self.committed.voters)
        return made

    def propose(self, now: float, entry: LogEntry) -> None:
        self.proposed, self.proposed_at = entry, now
        self.have = set()
        self.offer(entry, self.have)

    def offer(self, entry: LogEntry, have: set[str]) -> None:
        """To all disk_ids of the voters before and after it that don't have it yet."""
        voters = {s.disk: s for s in (*entry.previous_voters, *entry.voters)}
        for disk, voter in voters.items():
            if disk not in have:
                self.send(
                    voter,
                    ConsensusMessage(kind=Kind.APPEND, disk=self.me.disk, term=self.term, entry=entry, voter=self.me),
                )

    def on_append(self, now: float, m: ConsensusMessage) -> None:
        entry = m.entry
        last = self.last_accepted()
        promised = max(self.vote.term, last.term if last is not None else 0)
        known = self.vote.disk in ("", m.disk) or m.term > self.vote.term
        vowed = m.term < promised or not known
        if vowed or self.conflicts_with_founding(entry):
            self.answer(
                m,
                ConsensusMessage(
                    kind=Kind.APPEND_REPLY,
                    disk=self.me.disk,
                    term=m.term,
                    number=entry.number,
                    granted=False,
                    round=promised if vowed else 0,
                ),
            )
            return
        if last is not None and entry.term == last.term and entry.number < last.number:
            return  # late: its leader has committed it since, and what was accepted after it must not be overwritten
        if m.disk != self.me.disk:
            self.follow(now, m.disk, m.term)
        self.vote = Vote(m.term, m.disk)
        answer = ConsensusMessage(
            kind=Kind.APPEND_REPLY, disk=self.me.disk, term=m.term, number=entry.number, granted=True
        )
        voter = self.voter_of(m)
        self.persist(entry, [Send(voter, answer)] if voter is not None else [])

    def conflicts_with_founding(self, entry: LogEntry) -> bool:
        """Whether this would be a second first voters."""
        if entry.number != 1:
            return False
        mine = self.accepted or self.committed
        return mine.number > 1 or (mine.number == 1 and disk_ids(mine.voters) != disk_ids(entry.voters))

    def on_append_reply(self, now: float, m: ConsensusMessage) -> None:
        if not m.granted and m.round >= self.term and self.role is ReplicaRole.LEADER:
            self.become(ReplicaRole.FOLLOWER, now)
            if m.round == self.term and self.is_voter():
                # It courted under the same term and has vowed that to itself: it follows this one now, and would
                # refuse it for good. Only a term above can have both.
                self.start_election(now)
            return
        entry = self.proposed
        if self.role is not ReplicaRole.LEADER or entry is None or m.term != self.term or m.number != entry.number:
            return
        if not m.granted:
            return
        self.have.add(m.disk)
        first = entry.number == 1 and not self.committed.number and entry.term == 1
        before = entry.previous_voters if entry.number > self.committed.number else []
        views = [list(v) for v in (before, entry.voters) if v]
        losses = len(entry.voters) - 1 if first else self.losses
        if all(has_commit_quorum(v, self.have, losses) for v in views):
            self.proposed = None
            self.commit(now, entry)
            self.established_term = self.term
            self.calls.committed()
            self.answer_confirmed()
            self.heartbeat_at = -1e9  # the others receive of it at once
            if self.role is ReplicaRole.LEADER:
                self.tick(now)

    def take_committed(self, now: float, entry: LogEntry) -> None:
        """The leader says what is committed."""
        differs = entry.number == self.committed.number and digest(entry) != self.digest
        if entry.number > self.committed.number or differs:
            self.commit(now, entry, mends=differs)
            mine = self.last_accepted()
            if mine is None or mine.number < entry.number:
                self.persist(entry, [])
            elif differs and mine.number == entry.number:
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
            made.applied.append(AppliedCall(generation=call.generation, base=call.base, digest=call.digest))
            del made.applied[:-REMEMBERED]
            self.propose(now, made)
