"""Kinds of messages between replicas, roles, the actions that a replica asks for, and the calls that it answers."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import NamedTuple

from ..transport.mesh_pb2 import ConsensusMessage, LogEntry, Voter
from .quorum import VoterChange


class MessageKind(enum.IntEnum):
    """Messages between replicas: ``kind`` of a :class:`ConsensusMessage`."""

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
    """What a replica is doing."""

    LEARNER = "has no vote: founds the cluster, or waits to become a voter"
    FOLLOWER = "follows the leader"
    CANDIDATE = "asks the others for their votes"
    LEADER = "proposes entries and answers calls"


class Vote(NamedTuple):
    """The lowest term that a replica still takes part in, and the candidate that it voted for in that term."""

    term: int
    candidate: str
    """Its disk; empty where the replica has not voted in that term."""


# --- actions: what a replica asks its surroundings for ---


class Send(NamedTuple):
    """Send a message to another replica, or to the replica itself."""

    to: Voter
    message: ConsensusMessage


class Persist(NamedTuple):
    """Make the vote durable, and the entry if there is one.

    Answered by :meth:`.replica_state.ReplicaState.on_persisted`, in the order in which this was asked for.
    """

    vote: Vote
    entry: LogEntry | None
    token: int


class Commit(NamedTuple):
    """An entry is committed: the next one in the log."""

    entry: LogEntry


class Reply(NamedTuple):
    """The answer to a call: an HTTP status, and a text."""

    call_id: int
    status: int
    text: bytes


@dataclass(frozen=True, slots=True)
class VotersChanged:
    """The leader has committed a change of the voters at this index. For the log."""

    index: int
    change: VoterChange


Action = Send | Persist | Commit | Reply | VotersChanged


# --- calls of operators ---


class ChangeCall(NamedTuple):
    """A checked configuration that is to replace the one of generation ``base``."""

    call_id: int
    received_at: float
    """In s."""
    base: int
    generation: int
    text: bytes
    digest: bytes


class ReadCall(NamedTuple):
    """A read of the configuration in force."""

    call_id: int
    received_at: float
    """In s."""


class UnconfirmedCall(NamedTuple):
    """A call that is answered once a majority has confirmed this round, or a later one."""

    call: ChangeCall | ReadCall
    round: int


class DirectAnswer(NamedTuple):
    """The answer to a change that needs no log entry: an HTTP status, and a text."""

    status: int
    text: bytes
