"""What members of the core send to each other and ask of what is round them; what they are doing."""

from __future__ import annotations

import enum
from typing import NamedTuple

from ..transport.mesh_pb2 import ConsensusMessage, LogEntry, Voter
from .quorum import VoterChange


class Kind(enum.IntEnum):
    """Messages between members."""

    HEARTBEAT = 1
    VOTE_REQUEST = 2
    VOTE_REPLY = 3
    APPEND = 4
    APPEND_REPLY = 5
    CONFIRM_LEADERSHIP = 6
    LEADERSHIP_CONFIRMED = 7
    HAND_OVER = 8
    LEAVE = 10
    LEAVE_REPLY = 11
    TEXT_WANTED = 20
    TEXT_BLOCKS = 21


class ReplicaRole(enum.Enum):
    """What a member is doing."""

    LEARNER = "has no vote: founds the cluster, or waits to be let in"
    FOLLOWER = "follows the leader"
    CANDIDATE = "asks the others for their votes"
    LEADER = "proposes entries and answers calls"


class Vote(NamedTuple):
    """The lowest term, and whose, that this member still takes part in."""

    term: int
    disk: str


class Send(NamedTuple):
    to: Voter
    message: ConsensusMessage


class Persist(NamedTuple):
    """Make durable: the vote, and the entry if there is one. Answered by :meth:`Replica.persisted`, in the order of
    saves."""

    vote: Vote
    accepted: LogEntry | None
    token: int


class Commit(NamedTuple):
    """An entry is committed: the next one in the log."""

    entry: LogEntry


class Reply(NamedTuple):
    """The answer to a call: an HTTP status, and a text."""

    call: int
    status: int
    text: bytes


class VotersChanged(NamedTuple):
    """The leader has committed a change of the voters under this number."""

    number: int
    change: VoterChange


Action = Send | Persist | Commit | Reply | VotersChanged


class Proposal(NamedTuple):
    """A change that an operator asks for: a checked configuration on top of version ``base``. ``at``: when the call
    came, in s."""

    call: int
    at: float
    base: int
    generation: int
    text: bytes
    digest: bytes


class Judgement(NamedTuple):
    """The answer to a change that needs no entry: an HTTP status, and a text."""

    status: int
    text: bytes


class Read(NamedTuple):
    """An operator asks for the configuration in force. ``at``: when the call came, in s."""

    call: int
    at: float


class Unconfirmed(NamedTuple):
    """A call that is answered once a majority has confirmed this round, or a later one."""

    call: Proposal | Read
    round: int
