"""What clients sent and were answered, what endpoints were sent and ran, and what discovery told.

Instants are milliseconds of the machine's monotonic clock, so that several processes may share a log's axis.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

Kind = Literal["served", "refused", "failed", "rejected"]
Effect = Literal["idempotent", "deduplicated", "at_most_once"]


class Asked(NamedTuple):
    """A client has written a request's last byte."""

    at: float
    request: str
    effect: Effect
    wait: float
    """How long it waits, in ms."""
    key: str = ""
    group: Literal["all", "zone"] = "all"
    window: float = 0.0
    answered: bool = True
    """It is owed an answer; False for a notification."""


class Answered(NamedTuple):
    """A client has read a final answer's last byte."""

    at: float
    request: str
    kind: Kind
    made: str = ""
    """What tells the execution that made it, where it was served."""


class Left(NamedTuple):
    """A client has ended its connection with the request unanswered."""

    at: float
    request: str


class Received(NamedTuple):
    """An endpoint has read a whole request."""

    first: float
    """When it read the first byte ..."""
    at: float
    """... and the last."""
    request: str
    endpoint: str
    zone: str
    ran: bool
    """It was carried out."""
    proved: bool
    """The endpoint has told, or will tell, that it was not."""
    made: str = ""
    """What the answer bears, so that the client's can be told from all others."""
    via: str = ""
    """The sidecar that sent it, where there are several."""
    work: float = 1.0
    """What it asks of the endpoint, in the unit of :attr:`Started.capacity`."""


class Told(NamedTuple):
    """Discovery has written an endpoint's phase to the sidecar."""

    at: float
    endpoint: str
    phase: Literal["ready", "draining", "gone"]
    to: str = ""
    """Which sidecar, where there are several."""


class Started(NamedTuple):
    """An endpoint has started, cold."""

    at: float
    endpoint: str
    capacity: float
    """Requests a second when warm, or whatever :attr:`Received.work` counts."""


def now() -> float:
    return time.monotonic_ns() / 1e6


@dataclass
class Log:
    """Everything that happened in one run, each kind in the order of its entries."""

    clock: Callable[[], float] = now
    asked: list[Asked] = field(default_factory=list)
    answered: list[Answered] = field(default_factory=list)
    left: list[Left] = field(default_factory=list)
    received: list[Received] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    started: list[Started] = field(default_factory=list)

    def ran(self, request: str) -> int:
        """How often a request was carried out."""
        return sum(r.ran for r in self.received if r.request == request)
