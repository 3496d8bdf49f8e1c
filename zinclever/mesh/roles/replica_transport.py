"""The messages of a replica on channels to the others, and the texts that travel beside them."""

from __future__ import annotations

import logging

from ..consensus.messages import Send
from ..consensus.replica import Replica
from ..consensus.text_exchange import TextExchange
from ..transport.mesh_pb2 import ConsensusMessage, Frame, LogEntry, Voter
from .node import Node

log = logging.getLogger(__name__)


class ReplicaTransport:
    """Owns the exchange of texts; the channels are the node's."""

    def __init__(self, node: Node, own_voter: Voter, stored: LogEntry | None) -> None:
        """``stored``: the entry on the disk, so that after a restart only what has changed since is fetched."""
        self.node = node
        self.texts = TextExchange(own_voter)
        if stored is not None and stored.text:
            self.texts.store.add(stored.text)

    def send(self, send: Send) -> None:
        """Send a message of the replica."""
        for outgoing in self.texts.outgoing(self.node.loop.time(), send):
            self.send_frame(outgoing)

    def receive(self, message: ConsensusMessage) -> list[ConsensusMessage]:
        """The messages for the replica that are whole with this one."""
        whole = self.texts.incoming(self.node.loop.time(), message)
        self.flush()
        return whole

    def tick(self) -> None:
        """Repeat requests for texts that had no answer."""
        self.texts.tick(self.node.loop.time())
        self.flush()

    def flush(self) -> None:
        """Send what the exchange of texts wants sent."""
        outbox, self.texts.outbox = self.texts.outbox, []
        for send in outbox:
            self.send_frame(send)

    def send_frame(self, send: Send) -> None:
        """Send a message on its channel; it may be lost."""
        self.node.channel_to((send.to.ip, send.to.port)).send_one_way(Frame(consensus=send.message))


def log_role(replica: Replica) -> None:
    """One line for each change of a replica's role."""
    log.info(
        "role of the replica",
        extra={
            "code": "REPLICA_ROLE",
            "role": replica.role.name,
            "term": replica.vote.term,
            "number": replica.committed.index,
        },
    )
