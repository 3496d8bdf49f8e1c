"""Records of a test run: client requests and answers, attempts at endpoints, and discovery announcements.

Timestamps are milliseconds of the machine's monotonic clock, so that several processes may share one time axis.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

Kind = Literal["served", "refused", "failed", "rejected"]
Effect = Literal["idempotent", "deduplicated", "at_most_once"]


class SentRequest(NamedTuple):
    """A client wrote the last byte of a request."""

    at: float
    request: str
    effect: Effect
    wait: float
    """How long the client waits for the answer, in ms."""
    key: str = ""
    group: Literal["all", "zone"] = "all"
    window: float = 0.0
    answered: bool = True
    """Whether the request must be answered; False for a notification."""


class Answered(NamedTuple):
    """A client read the last byte of a final answer."""

    at: float
    request: str
    kind: Kind
    execution_id: str = ""
    """Identifier of the execution that produced the answer; empty unless the request was served."""


class AbandonedRequest(NamedTuple):
    """A client closed its connection before the request was answered."""

    at: float
    request: str


class Received(NamedTuple):
    """An endpoint read a complete request."""

    first_byte_at: float
    """When it read the first byte."""
    at: float
    """When it read the last byte."""
    request: str
    endpoint: str
    zone: str
    executed: bool
    """Whether the endpoint executed it."""
    declined: bool
    """Whether the endpoint reports to the sender that it did not execute it."""
    execution_id: str = ""
    """Identifier of the execution, which the answer carries, so that an answer can be matched to its execution."""
    via: str = ""
    """Name of the sidecar that sent it, where there are several."""
    work: float = 1.0
    """Load of the request on the endpoint, in the unit of :attr:`Started.capacity`."""


class EndpointAnnouncement(NamedTuple):
    """Discovery wrote an endpoint's phase to a sidecar."""

    at: float
    endpoint: str
    phase: Literal["ready", "draining", "gone"]
    to: str = ""
    """Name of the sidecar, where there are several."""


class Started(NamedTuple):
    """An endpoint started cold."""

    at: float
    endpoint: str
    capacity: float
    """Requests per second once it is warm, or the unit of :attr:`Received.work` per second."""


def now() -> float:
    """Returns the machine's monotonic clock, in ms."""
    return time.monotonic_ns() / 1e6


@dataclass
class Log:
    """The records of one run, each kind in the order in which they were added."""

    clock: Callable[[], float] = now
    sent_requests: list[SentRequest] = field(default_factory=list)
    answered: list[Answered] = field(default_factory=list)
    abandoned_requests: list[AbandonedRequest] = field(default_factory=list)
    received: list[Received] = field(default_factory=list)
    announcements: list[EndpointAnnouncement] = field(default_factory=list)
    started: list[Started] = field(default_factory=list)

    def execution_count(self, request: str) -> int:
        """Returns how many times a request was executed."""
        return sum(r.executed for r in self.received if r.request == request)
