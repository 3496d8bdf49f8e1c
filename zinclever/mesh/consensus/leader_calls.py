"""Reads on the leader, and the confirmation of its leadership by the other voters. No I/O."""

from __future__ import annotations

from ..transport.mesh_pb2 import ConsensusMessage
from .messages import MessageKind, ReplicaRole, Reply
from .replica_state import ReplicaState

NOT_LEADER = b"does not lead"


class LeaderCalls(ReplicaState):
    """The part of a replica that confirms leadership and answers the calls that depend on it."""

    def is_established(self) -> bool:
        """Whether this replica leads and has committed an entry in its own term.

        Until then, a change that the previous leader has acknowledged may be accepted here but not committed.
        """
        return self.role is ReplicaRole.LEADER and self.established_term == self.term

    def read(self, now: float, call_id: int) -> None:
        """Answer a call with the current configuration; with 503 if this replica is not the leader."""
        if self.role is not ReplicaRole.LEADER:
            self.actions.append(Reply(call_id, 503, NOT_LEADER))
            return
        self.calls.read(now, call_id)
        self.request_confirmations(now)
        self.answer_confirmed()

    def request_confirmations(self, now: float) -> None:
        """Request the newest round that a call waits for from the voters that have not confirmed it.

        Requests are repeated every :data:`.leadership_confirmations.CONFIRM_RESEND_INTERVAL`, since messages may be
        lost.
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

    def on_confirm_leadership(self, message: ConsensusMessage) -> None:
        """Confirm the leadership of the sender unless this replica is a candidate or has seen a higher term."""
        confirmation = self.message(MessageKind.LEADERSHIP_CONFIRMED, message.term)
        confirmation.round = message.round
        confirmation.granted = message.term >= self.vote.term and self.role is not ReplicaRole.CANDIDATE
        self.respond(message, confirmation)

    def on_leadership_confirmed(self, message: ConsensusMessage) -> None:
        """Record a voter's confirmation of a round."""
        if self.role is ReplicaRole.LEADER and message.term == self.term and message.granted:
            self.calls.confirmations.record(message.disk, message.round)
            self.answer_confirmed()

    def answer_confirmed(self) -> None:
        """Answer the calls whose round is confirmed, once this leader is established in its term."""
        if self.is_established():
            own_disks = {self.own_voter.disk} if self.vote.term <= self.term else set()
            self.calls.answer_confirmed(self.committed, own_disks)
