"""The part of a replica that answers operators' calls at the leader, and confirms another's leadership. Pure."""

from __future__ import annotations

from ..transport.mesh_pb2 import ConsensusMessage
from .messages import Kind, ReplicaRole, Reply
from .replica_state import ReplicaState


class LeaderCalls(ReplicaState):
    """Reads, and the rounds of confirmations that reads and refusals wait for."""

    def is_established(self) -> bool:
        """Whether this member leads and has committed an entry under its own term: before that, what the leader before
        it has acknowledged may be accepted here, but not committed yet."""
        return self.role is ReplicaRole.LEADER and self.established_term == self.term

    def get(self, now: float, call: int) -> None:
        """Read the newest configuration."""
        if self.role is not ReplicaRole.LEADER:
            self.out.append(Reply(call, 503, b"does not lead"))
            return
        self.calls.read(now, call)
        self.ask_for_confirmation(now)
        self.answer_confirmed()

    def ask_for_confirmation(self, now: float) -> None:
        """Ask the voters that have not confirmed the newest round that a call waits for: at once where it is new, and
        again after a while, as questions and confirmations may be lost."""
        confirmations = self.calls.confirmations
        wanted = self.calls.unconfirmed_round()
        if not confirmations.is_due(wanted, now):
            return
        confirmations.asked(wanted, now)
        for voter in self.others():
            if not confirmations.has_confirmed(voter.disk, wanted):
                question = ConsensusMessage(
                    kind=Kind.CONFIRM_LEADERSHIP, disk=self.me.disk, term=self.term, round=wanted, voter=self.me
                )
                self.send(voter, question)

    def on_confirm_leadership(self, m: ConsensusMessage) -> None:
        """The leader of a term asks whether this member has promised itself to a higher one."""
        granted = m.term >= self.vote.term and self.role is not ReplicaRole.CANDIDATE
        confirmation = ConsensusMessage(
            kind=Kind.LEADERSHIP_CONFIRMED, disk=self.me.disk, term=m.term, round=m.round, granted=granted
        )
        self.answer(m, confirmation)

    def on_leadership_confirmed(self, m: ConsensusMessage) -> None:
        if self.role is ReplicaRole.LEADER and m.term == self.term and m.granted:
            self.calls.confirmations.record(m.disk, m.round)
            self.answer_confirmed()

    def answer_confirmed(self) -> None:
        """Answer what a majority has confirmed, once this leader knows what is committed."""
        if self.is_established():
            own = {self.me.disk} if self.vote.term <= self.term else set()
            self.calls.answer_confirmed(self.committed, own)
