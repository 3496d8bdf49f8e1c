"""Transport of a replica's messages over channels, and of the configuration texts that are transferred separately."""

from __future__ import annotations

import logging

from ..consensus.messages import Send
from ..consensus.replica import Replica
from ..consensus.text_exchange import TextExchange
from ..transport.mesh_pb2 import ConsensusMessage, Frame, LogEntry, Voter
from .node import Node

log = logging.getLogger(__name__)


class ReplicaTransport:
    """Owns the text exchange; the channels belong to the node."""

    def __init__(self, node: Node, own_voter: Voter, stored: LogEntry | None) -> None:
        """Create a transport. ``stored``: the entry on disk, so that a restarted replica fetches only differences."""
        self.node = node
        self.texts = TextExchange(own_voter)
        if stored is not None and stored.text:
            self.texts.store.add(stored.text)

    def send(self, send: Send) -> None:
        """Send a message of the replica."""
        for outgoing in self.texts.outgoing(self.node.loop.time(), send):
            self.send_frame(outgoing)

    def receive(self, message: ConsensusMessage) -> list[ConsensusMessage]:
        """Process a received message, and return the messages for the replica that are now complete."""
        complete_messages = self.texts.incoming(self.node.loop.time(), message)
        self.flush()
        return complete_messages

    def tick(self) -> None:
        """Repeat unanswered requests for texts."""
        self.texts.tick(self.node.loop.time())
        self.flush()

    def flush(self) -> None:
        """Send the messages that the text exchange has queued."""
        outbox, self.texts.outbox = self.texts.outbox, []
        for send in outbox:
            self.send_frame(send)

    def send_frame(self, send: Send) -> None:
        """Send a message on the channel to its recipient; it may be lost."""
        self.node.channel_to((send.to.ip, send.to.port)).send_one_way(Frame(consensus=send.message))


def log_role(replica: Replica) -> None:
    """Log a change of the replica's role."""
    log.info(
        "replica role changed",
        extra={
            "code": "REPLICA_ROLE",
            "role": replica.role.name,
            "term": replica.vote.term,
            "number": replica.committed.index,
        },
    )
