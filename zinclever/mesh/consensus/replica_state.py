"""What a member of the core is: its voter and disk, the voters that it knows, what it is doing. The protocol is in
:mod:`.replica`. Pure."""

from __future__ import annotations

from ..transport.mesh_pb2 import ConsensusMessage, LogEntry, Voter
from .catch_up import CatchUpWatch
from .client_calls import ClientCalls
from .messages import Action, Commit, Kind, Persist, ReplicaRole, Reply, Send, Vote
from .quorum import digest, disk_ids
from .voter_changes import VoterChanges


class ReplicaState:
    """The state of a member, and the one place for each kind of change of it. What it wants done is left in ``out``."""

    def __init__(
        self,
        me: Voter,
        founders: list[tuple[str, int]],
        bootstrap: bool,
        losses: int,
        now: float,
        vote: Vote | None = None,
        accepted: LogEntry | None = None,
    ) -> None:
        self.me, self.founders, self.bootstrap, self.losses = me, sorted(founders), bootstrap, losses
        self.vote = vote or Vote(0, "")
        self.accepted, self.committed = accepted, LogEntry()
        self.out: list[Action] = []
        self.role = ReplicaRole.LEARNER
        self.began = self.votes_requested_at = self.ticked_at = now
        self.leader = ""  # disk of the leader, as far as is known
        self.leader_heard_at = -1e9
        self.heard_at: dict[str, float] = {}
        self.told: dict[str, tuple[int, int]] = {}  # committed number of each member and its digest, as it told
        self.digest = 0  # of what is committed here
        self.voter_changes = VoterChanges(now)
        self.leaving = False
        """This member is about to end: it takes no more part in elections."""
        self.let_go = False
        """The leader has said that nothing depends on this member any more."""
        self.heartbeats: dict[tuple[str, int], ConsensusMessage] = {}  # the latest of each address
        self.known: list[tuple[str, int]] = []  # where members may be, besides the founders
        self.behind = CatchUpWatch()
        self.token = 0
        self.after: dict[int, list[Send]] = {}  # what is said once a persist is done
        self.persisting: dict[int, Persist] = {}
        self.heartbeat_at = -1e9
        self.role_since = now
        self.term = 0  # that this member leads or stands for
        self.established_term = 0  # the newest under which this member, as leader, has committed an entry
        self.votes: dict[str, ConsensusMessage] = {}
        self.proposed: LogEntry | None = None
        self.proposed_at = 0.0
        self.have: set[str] = set()  # disk_ids that have what is proposed
        self.calls = ClientCalls(self.reply)
        if self.is_voter():
            self.become(ReplicaRole.FOLLOWER, now)

    def become(self, role: ReplicaRole, now: float) -> None:
        """The one place where the role changes."""
        if role is not ReplicaRole.LEADER and self.role is ReplicaRole.LEADER:
            self.calls.drop()
        if role is not ReplicaRole.CANDIDATE:
            self.votes.clear()
        if role in (ReplicaRole.FOLLOWER, ReplicaRole.LEARNER):
            self.proposed = None
        if role is ReplicaRole.LEADER:
            self.leader, self.leader_heard_at = self.me.disk, now
            self.voter_changes.begin()
        elif self.leader == self.me.disk:
            self.leader = ""
        self.role, self.role_since = role, now

    def voters(self) -> list[Voter]:
        """The newest voters that this member knows of: committed, or at least accepted."""
        if self.committed.voters:
            return list(self.committed.voters)
        return list(self.accepted.voters) if self.accepted is not None else []

    def is_voter(self) -> bool:
        known = [*self.committed.voters, *(self.accepted.voters if self.accepted is not None else [])]
        return self.me.disk in disk_ids(known)

    def others(self) -> list[Voter]:
        voters = {s.disk: s for s in self.committed.voters}
        for entry in (self.accepted, self.proposed):
            if entry is not None and entry.index > self.committed.index:
                voters.update((s.disk, s) for s in (*entry.previous_voters, *entry.voters))
        voters.pop(self.me.disk, None)
        return list(voters.values())

    def commit(self, now: float, entry: LogEntry, mends: bool = False) -> None:
        """The next entry in the log is in force here; ``mends``: the same one, as the others have it."""
        if entry.index < self.committed.index or (entry.index == self.committed.index and not mends):
            return
        self.committed = LogEntry()
        self.committed.CopyFrom(entry)
        self.digest = digest(entry)
        self.voter_changes.admitted(entry.voters)
        self.out.append(Commit(entry))
        is_voter = self.me.disk in disk_ids(entry.voters)
        if self.role is ReplicaRole.LEARNER and is_voter:
            self.become(ReplicaRole.FOLLOWER, now)
        elif self.role is not ReplicaRole.LEARNER and not is_voter:
            self.become(ReplicaRole.LEARNER, now)

    def persist(self, accepted: LogEntry | None, after: list[Send]) -> None:
        self.token += 1
        act = Persist(self.vote, accepted, self.token)
        self.after[self.token], self.persisting[self.token] = after, act
        self.out.append(act)

    def last_accepted(self) -> LogEntry | None:
        """The entry that is on the disk once the saves under way are done."""
        pending = [act.accepted for act in self.persisting.values() if act.accepted is not None]
        return pending[-1] if pending else self.accepted

    def persisted(self, now: float, token: int, good: bool) -> None:
        """A persist is done, or has failed: then nothing is promised."""
        act, after = self.persisting.pop(token), self.after.pop(token)
        if good and act.accepted is not None:
            self.accepted = act.accepted
        if good and self.role is ReplicaRole.LEARNER and self.is_voter():
            self.become(ReplicaRole.FOLLOWER, now)
        for send in after:
            m = send.message
            if not good:
                if m.kind == Kind.VOTE_REQUEST or not m.granted:
                    continue
                m.granted = False
            if m.kind == Kind.VOTE_REPLY and m.granted:
                if self.accepted is not None:
                    m.entry.CopyFrom(self.accepted)
                m.committed.CopyFrom(self.committed)
            if m.kind in (Kind.APPEND_REPLY, Kind.VOTE_REPLY) and m.term < self.vote.term:
                m.granted = False
            self.send(send.to, m)

    def voter_of(self, m: ConsensusMessage) -> Voter | None:
        """Where to answer a message."""
        if m.disk == self.me.disk:
            return self.me
        if m.HasField("voter"):
            return m.voter
        for s in (*self.committed.voters, *(self.accepted.voters if self.accepted is not None else [])):
            if s.disk == m.disk:
                return s
        told = next((h.voter for h in self.heartbeats.values() if h.disk == m.disk), None)
        return told

    def answer(self, m: ConsensusMessage, made: ConsensusMessage) -> None:
        voter = self.voter_of(m)
        if voter is not None:
            self.send(voter, made)

    def send(self, to: Voter, m: ConsensusMessage) -> None:
        self.out.append(Send(to, m))

    def reply(self, call: int, status: int, text: bytes) -> None:
        self.out.append(Reply(call, status, text))
