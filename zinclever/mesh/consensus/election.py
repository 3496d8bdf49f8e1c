"""The part of a replica that elects a leader: who stands, who gets a vote, what a new leader goes on from. Pure."""

from __future__ import annotations

from ..transport.mesh_pb2 import ConsensusMessage, LogEntry
from .messages import MessageKind, ReplicaRole, Send, Vote
from .quorum import disk_ids, has_majority
from .replication import Replication
from .timing import ELECTION_STAGGER, ELECTION_TIMEOUT, LEADER_STICKINESS, STARTUP_GRACE


class Election(Replication):
    """Voters stand for election in their order, beginning after the leader that is gone."""

    # --- candidates ---

    def check_leader(self, now: float) -> None:
        """Stand for election once the leader is not heard any more; the next live voter in order goes first."""
        if not self.is_voter() or self.leaving:
            return
        voters = disk_ids(self.voters())
        if self.own_voter.disk not in voters:
            return
        if not has_majority(self.voters(), self.heard_within(ELECTION_TIMEOUT, now)):
            return  # one that hears no majority can't win, and would only raise the term
        delay = ELECTION_STAGGER * self.live_voters_before(voters, now)
        if now - self.leader_last_contact > ELECTION_TIMEOUT + delay and now - self.role_since > delay:
            self.start_election(now)

    def live_voters_before(self, voters: list[str], now: float) -> int:
        """How many live voters stand before this one, in order after the leader.

        The dead are passed over; right after its own start a replica knows of nobody that it is dead.
        """
        start = voters.index(self.leader) if self.leader in voters else -1
        count = 0
        for offset in range(1, len(voters) + 1):
            disk = voters[(start + offset) % len(voters)]
            if disk == self.own_voter.disk:
                break
            assumed = self.started_at + STARTUP_GRACE - ELECTION_TIMEOUT
            if now - self.last_contact.get(disk, assumed) < ELECTION_TIMEOUT:
                count += 1
        return count

    def start_election(self, now: float) -> None:
        """Ask for votes under a higher term, once this replica's own vote is durable."""
        self.change_role(ReplicaRole.CANDIDATE, now)
        self.term = self.vote.term + 1
        self.vote = Vote(self.term, self.own_voter.disk)
        own_reply = self.vote_reply(True, self.term)
        self.persist(None, [Send(self.own_voter, own_reply), *self.pending_vote_requests()])
        self.votes_requested_at = now

    def pending_vote_requests(self) -> list[Send]:
        """Requests to those that have not answered."""
        return [
            Send(voter, self.message_with_voter(MessageKind.VOTE_REQUEST, self.term))
            for voter in self.other_voters()
            if voter.disk not in self.votes
        ]

    def request_votes(self, now: float) -> None:
        """Ask again: a voter may have come up only now."""
        if self.own_voter.disk in self.votes:  # else its own vote is not durable yet
            self.votes_requested_at = now
            self.actions += self.pending_vote_requests()

    def on_vote_reply(self, now: float, m: ConsensusMessage) -> None:
        """Lead once a majority of the voters of the newest entry have given their votes."""
        if self.role is not ReplicaRole.CANDIDATE or m.term != self.term:
            return
        if not m.granted:
            if m.index > self.vote.term:
                self.vote = Vote(m.index, "")  # the next try is above it
            return
        self.votes[m.disk] = m
        committed = max([self.committed, *(v.committed for v in self.votes.values())], key=lambda entry: entry.index)
        newest = self.newest_of_votes(committed)
        if not self.has_won(newest, committed):
            return
        if committed.index > self.committed.index:
            self.commit(now, committed)
        if self.own_voter.disk not in disk_ids(newest.voters):
            self.change_role(ReplicaRole.FOLLOWER if self.is_voter() else ReplicaRole.LEARNER, now)
            self.yield_election(now)
            return
        self.change_role(ReplicaRole.LEADER, now)
        self.propose(now, self.under_own_term(newest))

    def newest_of_votes(self, committed: LogEntry) -> LogEntry:
        """The newest entry that a voter has accepted, or the committed one: what a new leader goes on from."""
        accepted = [vote.entry for vote in self.votes.values() if vote.HasField("entry")]
        newest = max(accepted, key=lambda entry: (entry.index, entry.term), default=committed)
        return committed if newest.index < committed.index else newest

    def has_won(self, newest: LogEntry, committed: LogEntry) -> bool:
        """Whether a majority of the voters have voted: of those before a newer entry than the committed one, too."""
        if newest.index > committed.index:
            voter_sets = [list(voters) for voters in (newest.previous_voters, newest.voters) if voters]
        else:
            voter_sets = [list(newest.voters)] if newest.voters else []
        return bool(voter_sets) and all(has_majority(voters, self.votes) for voters in voter_sets)

    def yield_election(self, now: float) -> None:
        """Let the others stand first.

        The entry to go on from has other voters: each of them stands before this replica does again, as its requests
        for votes would put theirs off.
        """
        self.leader = ""
        self.leader_last_contact = now + ELECTION_STAGGER * len(self.voters())

    # --- voters ---

    def on_vote_request(self, now: float, m: ConsensusMessage) -> None:
        """Vote for a candidate, once that is durable; not in a lower term, not twice, not while the leader is heard."""
        is_sticky = self.leader not in ("", m.disk) and now - self.leader_last_contact < LEADER_STICKINESS
        has_voted = m.term == self.vote.term and self.vote.candidate not in ("", m.disk)
        if is_sticky or m.term < self.vote.term or has_voted:
            self.respond(m, self.vote_reply(False, m.term))
            return
        if self.role in (ReplicaRole.LEADER, ReplicaRole.CANDIDATE):
            self.change_role(ReplicaRole.FOLLOWER, now)
        self.leader_last_contact = max(self.leader_last_contact, now - ELECTION_TIMEOUT / 2)
        self.vote = Vote(m.term, m.disk)
        voter = self.sender_of(m)
        self.persist(None, [Send(voter, self.vote_reply(True, m.term))] if voter is not None else [])

    def vote_reply(self, granted: bool, term: int) -> ConsensusMessage:
        """The answer to a request; its entries are put in by :meth:`on_persisted`, once the vote is durable."""
        reply = self.message(MessageKind.VOTE_REPLY, term)
        reply.granted = granted
        reply.index = self.vote.term
        return reply
