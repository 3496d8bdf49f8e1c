"""The links of a replica to the other members: its messages on them, and the texts that travel beside those."""

from __future__ import annotations

import logging

from ..consensus.messages import Send
from ..consensus.replica import Replica
from ..consensus.text_exchange import TextExchange
from ..transport.mesh_pb2 import ConsensusMessage, Frame, LogEntry, Voter
from .node import Node

log = logging.getLogger(__name__)


class ReplicaTransport:
    """Owns the exchange of texts; the links are the node's."""

    def __init__(self, node: Node, me: Voter, kept: LogEntry | None) -> None:
        self.node, self.texts = node, TextExchange(me)
        if kept is not None and kept.text:
            self.texts.store.add(kept.text)  # after a restart only what has changed since is fetched

    def send(self, send: Send) -> None:
        """A message of the replica to another member."""
        for ready in self.texts.outgoing(self.node.loop.time(), send):
            self.send_frame(ready)

    def receive(self, message: ConsensusMessage) -> list[ConsensusMessage]:
        """What has come whole with this message, for the replica."""
        whole = self.texts.incoming(self.node.loop.time(), message)
        self.flush()
        return whole

    def tick(self) -> None:
        self.texts.tick(self.node.loop.time())
        self.flush()

    def flush(self) -> None:
        sends, self.texts.outbox = self.texts.outbox, []
        for send in sends:
            self.send_frame(send)

    def send_frame(self, send: Send) -> None:
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
