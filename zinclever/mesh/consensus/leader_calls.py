"""The part of a replica that answers operators' calls at the leader, and confirms another's leadership. Pure."""

from __future__ import annotations

from ..transport.mesh_pb2 import ConsensusMessage
from .messages import MessageKind, ReplicaRole, Reply
from .replica_state import ReplicaState

NOT_LEADER = b"does not lead"


class LeaderCalls(ReplicaState):
    """Reads, and the rounds of confirmations that reads and refusals wait for."""

    def is_established(self) -> bool:
        """Whether this replica leads and has committed an entry under its own term.

        Before that, what the previous leader has acknowledged may be accepted here, but not committed yet.
        """
        return self.role is ReplicaRole.LEADER and self.established_term == self.term

    def read(self, now: float, call_id: int) -> None:
        """Read the newest configuration. Without the lead the answer is 503."""
        if self.role is not ReplicaRole.LEADER:
            self.actions.append(Reply(call_id, 503, NOT_LEADER))
            return
        self.calls.read(now, call_id)
        self.request_confirmations(now)
        self.answer_confirmed()

    def request_confirmations(self, now: float) -> None:
        """Ask the voters that have not confirmed the newest round that a call waits for.

        A new round is requested at once, and again after a while, as requests and confirmations may be lost.
        """
        confirmations = self.calls.confirmations
        wanted = self.calls.unconfirmed_round()
        if not confirmations.is_due(wanted, now):
            return
        confirmations.on_requested(wanted, now)
        for voter in self.other_voters():
            if not confirmations.has_confirmed(voter.disk, wanted):
                request = self.message_with_voter(MessageKind.CONFIRM_LEADERSHIP, self.term)
                request.round = wanted
                self.send(voter, request)

    def on_confirm_leadership(self, m: ConsensusMessage) -> None:
        """The leader of a term asks whether this replica has promised itself to a higher one."""
        confirmation = self.message(MessageKind.LEADERSHIP_CONFIRMED, m.term)
        confirmation.round = m.round
        confirmation.granted = m.term >= self.vote.term and self.role is not ReplicaRole.CANDIDATE
        self.respond(m, confirmation)

    def on_leadership_confirmed(self, m: ConsensusMessage) -> None:
        """A voter confirms a round."""
        if self.role is ReplicaRole.LEADER and m.term == self.term and m.granted:
            self.calls.confirmations.record(m.disk, m.round)
            self.answer_confirmed()

    def answer_confirmed(self) -> None:
        """Answer what a majority has confirmed, once this leader knows what is committed."""
        if self.is_established():
            own = {self.own_voter.disk} if self.vote.term <= self.term else set()
            self.calls.answer_confirmed(self.committed, own)
