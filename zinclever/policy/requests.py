"""Requests and their attempts; their classes and tenants."""

from __future__ import annotations

from collections import deque

from .. import interface as i
from ..fleet.smooth import MEMORY, NEVER, Smooth
from .endpoints import Endpoint
from .sides import Side

COPY_DELAY = 0.36  # share of a class's aim: late enough that most are answered, early enough to win in time
BASE_SHARE = 0.4  # share of the aim: an uncrowded fleet answers within it, or the aim would be out of reach


class Attempt:
    __slots__ = ("begun", "endpoint", "given_up", "live", "long", "overdue_at", "passed", "sent_at", "side")

    def __init__(self, endpoint: Endpoint, side: Side, sent_at: float, overdue_at: float) -> None:
        self.endpoint, self.side, self.sent_at, self.live = endpoint, side, sent_at, True
        self.overdue_at = overdue_at
        self.begun = False  # counted in flight: not while its body is still coming in
        self.long = False  # out for so long that it counts as swallowed
        self.passed = False  # counted among the side's overdue ones
        self.given_up = False  # cancelled so that the request may go elsewhere


class Request:
    """A request that is owed an answer, or whose attempts are still out."""

    __slots__ = (
        "aim_at",
        "attempts",
        "begun",
        "bound",
        "closed",
        "deadline",
        "held",
        "id",
        "key",
        "klass",
        "live",
        "place",
        "tenant",
        "uploading",
        "work",
    )

    def __init__(self, told: i.RequestArrived, klass: Klass, tenant: Share, now: float) -> None:
        self.id, self.klass, self.tenant, self.key = told.request, klass, tenant, told.key
        self.work, self.uploading = told.work, told.uploading
        self.deadline = self.aim_at = NEVER
        if not told.uploading:
            self.start(now, told.deadline)
        self.attempts: list[Attempt] = []
        self.live = 0
        self.bound: Attempt | None = None  # the first attempt that may have run
        self.closed = self.begun = self.held = False
        self.place = 1.0  # where its worth ranks in this balancer's demand: 0 for the least

    def start(self, now: float, deadline: float) -> None:
        """Its time begins."""
        self.deadline = deadline
        aim = now + self.klass.told.aim + self.klass.told.aim_stretch * self.work
        self.aim_at = min(aim, deadline) if self.klass.told.late_worth == 0 else deadline


class Klass:
    """A class of requests: its settings, its mean latency over the fleet, its copies to come."""

    __slots__ = ("copies", "delay", "demand", "idempotent", "latency", "low", "mean", "occupied", "told")

    def __init__(self, told: i.RequestClass) -> None:
        self.told = told
        self.idempotent = told.repeat == "idempotent"
        self.delay = COPY_DELAY * told.aim
        self.mean = BASE_SHARE * told.aim
        self.low = self.mean  # time that attempts are out for an answer while the fleet is uncrowded
        self.latency, self.occupied = Smooth(2 * MEMORY), Smooth(2 * MEMORY)
        self.demand = Smooth(2 * MEMORY)  # by time in flight
        self.copies: deque[tuple[float, Request]] = deque()


class Share:
    """A tenant: its quota, what it was served of late, its requests that wait, a queue for each class."""

    __slots__ = ("queues", "quota", "used")

    def __init__(self, quota: float, classes: int) -> None:
        self.quota, self.used = max(quota, 1e-9), Smooth(MEMORY)
        self.queues: list[deque[Request]] = [deque() for _ in range(classes)]
