"""What members of the core say to each other and ask of what is round them; what they are doing."""

from __future__ import annotations

import enum
from typing import NamedTuple

from ..dance.hive_pb2 import Change, Comb, Seat


class Kind(enum.IntEnum):
    """Messages between members."""

    HELLO = 1
    COURT = 2
    PROMISE = 3
    PROPOSE = 4
    TAKEN = 5
    CONFIRM = 6
    CONFIRMED = 7
    RESIGN = 8


class Phase(enum.Enum):
    """What a member is doing."""

    WAITING = "has no view: founds one, or waits to be let in"
    FOLLOWS = "follows the one that acts"
    COURTS = "asks the others whether it may act"
    ACTS = "acts"


class Vow(NamedTuple):
    """The lowest epoch, and whose, that this member still takes part in."""

    epoch: int
    disk: str


class Say(NamedTuple):
    to: Seat
    message: Comb


class Save(NamedTuple):
    """Make durable: the vow, and the change if there is one. Answered by :meth:`Order.saved`, in the order of saves."""

    vow: Vow
    accepted: Change | None
    token: int


class Settle(NamedTuple):
    """A change is settled: the next one in the order."""

    change: Change


class Reply(NamedTuple):
    """The answer to a call: an HTTP status, and a text."""

    call: int
    status: int
    text: bytes


Act = Say | Save | Settle | Reply


class Proposal(NamedTuple):
    call: int
    at: float
    base: int
    generation: int
    text: bytes
    digest: bytes
