"""The part of a replica that elects a leader: who stands, who gets a vote, what the leader goes on from. Pure."""

from __future__ import annotations

from ..transport.mesh_pb2 import ConsensusMessage, LogEntry
from .messages import Kind, ReplicaRole, Send, Vote
from .quorum import disk_ids, has_majority
from .replication import Replication
from .timing import ELECTION_STAGGER, ELECTION_TIMEOUT, LEADER_STICKINESS, STARTUP_GRACE


class Elections(Replication):
    """Members stand for election in the order of the voters, beginning after the leader that is gone."""

    def check_leader(self, now: float) -> None:
        """Stand for election once the leader is not heard any more; the next live voter in order goes first."""
        if not self.is_voter() or self.leaving:
            return
        voters = disk_ids(self.voters())
        live = {d for d, at in self.heard_at.items() if now - at < ELECTION_TIMEOUT} | {self.me.disk}
        if self.me.disk not in voters or not has_majority(self.voters(), live):
            return  # one that hears no majority can't win, and would only raise the term
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
        """Ask for votes under a higher term."""
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
        """Ask again: a member may have come up only now."""
        if self.me.disk in self.votes:  # else its own vote is not on disk yet
            self.votes_requested_at = now
            self.out += self.pending_vote_requests()

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
            kind=Kind.VOTE_REPLY, disk=self.me.disk, term=term, granted=granted, index=self.vote.term
        )

    def on_vote_reply(self, now: float, m: ConsensusMessage) -> None:
        if self.role is not ReplicaRole.CANDIDATE or m.term != self.term:
            return
        if not m.granted:
            if m.index > self.vote.term:
                self.vote = Vote(m.index, "")  # the next try is above it
            return
        self.votes[m.disk] = m
        committed = max([self.committed, *(p.committed for p in self.votes.values())], key=lambda c: c.index)
        taken = [p.entry for p in self.votes.values() if p.HasField("entry")]
        best = max(taken, key=lambda c: (c.index, c.term), default=committed)
        if best.index < committed.index:
            best = committed
        if best.index > committed.index:
            views = [list(v) for v in (best.previous_voters, best.voters) if v]
        else:
            views = [list(best.voters)] if best.voters else []
        if not views or not all(has_majority(v, self.votes) for v in views):
            return
        if committed.index > self.committed.index:
            self.commit(now, committed)
        if self.me.disk not in disk_ids(best.voters):
            self.become(ReplicaRole.FOLLOWER if self.is_voter() else ReplicaRole.LEARNER, now)
            self.let_others_stand(now)
            return
        self.become(ReplicaRole.LEADER, now)
        again = LogEntry()
        again.CopyFrom(best)
        again.term = self.term
        self.propose(now, again)

    def let_others_stand(self, now: float) -> None:
        """The entry to go on from has other voters: each of them stands before this one does again, as its requests
        for votes would put theirs off."""
        self.leader = ""
        self.leader_heard_at = now + ELECTION_STAGGER * len(self.voters())
