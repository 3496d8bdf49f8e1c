"""Message kinds, replica roles, the actions that a replica emits, and the client calls that it answers."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import NamedTuple

from ..transport.mesh_pb2 import ConsensusMessage, LogEntry, Voter
from .quorum import VoterChange


class MessageKind(enum.IntEnum):
    """Values of :attr:`ConsensusMessage.kind`."""

    HEARTBEAT = 1
    VOTE_REQUEST = 2
    VOTE_REPLY = 3
    APPEND = 4
    APPEND_REPLY = 5
    CONFIRM_LEADERSHIP = 6
    LEADERSHIP_CONFIRMED = 7
    TRANSFER_LEADERSHIP = 8
    LEAVE = 10
    LEAVE_REPLY = 11
    BLOCK_REQUEST = 20
    BLOCK_REPLY = 21


class ReplicaRole(enum.Enum):
    """Role of a replica in the protocol."""

    LEARNER = "has no vote: bootstraps the cluster or waits to become a voter"
    FOLLOWER = "accepts entries from the leader"
    CANDIDATE = "requests votes"
    LEADER = "proposes entries and answers client calls"


class Vote(NamedTuple):
    """The current term of a replica, below which it rejects messages, and its vote in that term."""

    term: int
    candidate: str
    """Disk ID of the candidate that got the vote; empty if the replica has not voted in this term."""


# --- actions: side effects that the caller of the replica carries out ---


class Send(NamedTuple):
    """Send a message to another replica, or back to this one."""

    to: Voter
    message: ConsensusMessage


class Persist(NamedTuple):
    """Write the vote, and the entry if there is one, to stable storage.

    The caller reports each result to :meth:`.replica_state.ReplicaState.on_persisted`, in the order of the actions.
    """

    vote: Vote
    entry: LogEntry | None
    token: int


class Commit(NamedTuple):
    """Apply an entry that is committed now."""

    entry: LogEntry


class Reply(NamedTuple):
    """Answer a client call with an HTTP status and a body."""

    call_id: int
    status: int
    text: bytes


@dataclass(frozen=True, slots=True)
class VotersChanged:
    """Log that this leader has committed a change of the voter set, at log index ``index``."""

    index: int
    change: VoterChange


Action = Send | Persist | Commit | Reply | VotersChanged


# --- client calls ---


class ChangeCall(NamedTuple):
    """A call to replace the configuration of generation ``base`` by a validated one."""

    call_id: int
    received_at: float
    """In seconds."""
    base: int
    generation: int
    text: bytes
    digest: bytes


class ReadCall(NamedTuple):
    """A call to read the current configuration."""

    call_id: int
    received_at: float
    """In seconds."""


class UnconfirmedCall(NamedTuple):
    """A call that is answered once a majority has confirmed the leadership in this round or a later one."""

    call: ChangeCall | ReadCall
    round: int


class DirectAnswer(NamedTuple):
    """The answer, an HTTP status and a body, to a change call that needs no log entry."""

    status: int
    text: bytes
