"""Leader election: candidacy, votes, and the entry that a new leader continues from. No I/O."""

from __future__ import annotations

from ..transport.mesh_pb2 import ConsensusMessage, LogEntry
from .messages import MessageKind, ReplicaRole, Send, Vote
from .quorum import disk_ids, has_majority
from .replication import Replication
from .timing import ELECTION_STAGGER, ELECTION_TIMEOUT, LEADER_STICKINESS, STARTUP_GRACE


class Election(Replication):
    """The part of a replica that takes part in elections.

    Voters become candidates one after another, in the order of the voter set beginning after the failed leader.
    """

    # --- candidates ---

    def check_leader(self, now: float) -> None:
        """Start an election after the election timeout, delayed by this voter's position in election order."""
        if not self.is_voter() or self.leaving:
            return
        voters = disk_ids(self.voters())
        if self.own_voter.disk not in voters:
            return
        if not has_majority(self.voters(), self.recently_active(ELECTION_TIMEOUT, now)):
            return  # without contact to a majority it can't win, and would only raise the term
        delay = ELECTION_STAGGER * self.live_voters_before(voters, now)
        if now - self.leader_last_contact > ELECTION_TIMEOUT + delay and now - self.role_since > delay:
            self.start_election(now)

    def live_voters_before(self, voters: list[str], now: float) -> int:
        """The number of reachable voters between the leader and this voter in election order.

        During :data:`.timing.STARTUP_GRACE` after its start, a replica presumes all voters reachable.
        """
        start = voters.index(self.leader) if self.leader in voters else -1
        count = 0
        for offset in range(1, len(voters) + 1):
            disk = voters[(start + offset) % len(voters)]
            if disk == self.own_voter.disk:
                break
            presumed_contact = self.started_at + STARTUP_GRACE - ELECTION_TIMEOUT
            if now - self.last_contact.get(disk, presumed_contact) < ELECTION_TIMEOUT:
                count += 1
        return count

    def start_election(self, now: float) -> None:
        """Become a candidate in a higher term; votes are requested once the vote for itself is durable."""
        self.change_role(ReplicaRole.CANDIDATE, now)
        self.term = self.vote.term + 1
        self.vote = Vote(self.term, self.own_voter.disk)
        own_reply = self.vote_reply(True, self.term)
        self.persist(None, [Send(self.own_voter, own_reply), *self.pending_vote_requests()])
        self.votes_requested_at = now

    def pending_vote_requests(self) -> list[Send]:
        """Vote requests to the voters that have not granted their vote."""
        return [
            Send(voter, self.message_with_voter(MessageKind.VOTE_REQUEST, self.term))
            for voter in self.other_voters()
            if voter.disk not in self.votes
        ]

    def request_votes(self, now: float) -> None:
        """Repeat the vote requests, as messages may be lost and voters may have started in the meantime."""
        if self.own_voter.disk in self.votes:  # otherwise its own vote is not durable yet
            self.votes_requested_at = now
            self.actions += self.pending_vote_requests()

    def on_vote_reply(self, now: float, message: ConsensusMessage) -> None:
        """Count a vote, and become the leader once the required majorities have granted theirs."""
        if self.role is not ReplicaRole.CANDIDATE or message.term != self.term:
            return
        if not message.granted:
            if message.index > self.vote.term:
                self.vote = Vote(message.index, "")  # the next election uses a higher term
            return
        self.votes[message.disk] = message
        committed = max([self.committed, *(v.committed for v in self.votes.values())], key=lambda entry: entry.index)
        newest = self.newest_entry_in_votes(committed)
        if not self.has_won(newest, committed):
            return
        if committed.index > self.committed.index:
            self.commit(now, committed)
        if self.own_voter.disk not in disk_ids(newest.voters):
            self.change_role(ReplicaRole.FOLLOWER if self.is_voter() else ReplicaRole.LEARNER, now)
            self.defer_to_other_candidates(now)
            return
        self.change_role(ReplicaRole.LEADER, now)
        self.propose(now, self.in_own_term(newest))

    def newest_entry_in_votes(self, committed: LogEntry) -> LogEntry:
        """The entry that a new leader proposes again: the newest that a voter has accepted, or the committed one."""
        accepted = [vote.entry for vote in self.votes.values() if vote.HasField("entry")]
        newest = max(accepted, key=lambda entry: (entry.index, entry.term), default=committed)
        return committed if newest.index < committed.index else newest

    def has_won(self, newest: LogEntry, committed: LogEntry) -> bool:
        """Whether a majority of the voters has granted its votes.

        If an entry newer than the committed one changes the voter set, a majority of the previous set is needed too.
        """
        if newest.index > committed.index:
            voter_sets = [list(voters) for voters in (newest.previous_voters, newest.voters) if voters]
        else:
            voter_sets = [list(newest.voters)] if newest.voters else []
        return bool(voter_sets) and all(has_majority(voters, self.votes) for voters in voter_sets)

    def defer_to_other_candidates(self, now: float) -> None:
        """Let the other voters become candidates before this replica does again.

        This replica is not a voter in the entry to continue from, and its vote requests would delay those that are.
        """
        self.leader = ""
        self.leader_last_contact = now + ELECTION_STAGGER * len(self.voters())

    # --- voters ---

    def on_vote_request(self, now: float, message: ConsensusMessage) -> None:
        """Grant a vote once it is durable.

        It is denied in a lower term, after a vote for another candidate in this term, and while the leader is alive.
        """
        is_sticky = self.leader not in ("", message.disk) and now - self.leader_last_contact < LEADER_STICKINESS
        has_voted = message.term == self.vote.term and self.vote.candidate not in ("", message.disk)
        if is_sticky or message.term < self.vote.term or has_voted:
            self.respond(message, self.vote_reply(False, message.term))
            return
        if self.role in (ReplicaRole.LEADER, ReplicaRole.CANDIDATE):
            self.change_role(ReplicaRole.FOLLOWER, now)
        self.leader_last_contact = max(self.leader_last_contact, now - ELECTION_TIMEOUT / 2)
        self.vote = Vote(message.term, message.disk)
        voter = self.sender_of(message)
        self.persist(None, [Send(voter, self.vote_reply(True, message.term))] if voter is not None else [])

    def vote_reply(self, granted: bool, term: int) -> ConsensusMessage:
        """A reply to a vote request; :meth:`on_persisted` adds the entries once the vote is durable."""
        reply = self.message(MessageKind.VOTE_REPLY, term)
        reply.granted = granted
        reply.index = self.vote.term
        return reply
