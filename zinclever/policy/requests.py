"""Requests and their attempts, request classes and tenants."""

from __future__ import annotations

from collections import deque

from .. import interface
from ..fleet.decaying_mean import DECAY_TIME, NEVER, DecayingMean
from .endpoints import Endpoint
from .partition import ZonePartition

HEDGE_DELAY_SHARE = 0.36  # of the class's target: most requests are answered by then, and a hedge can still be in time
UNLOADED_LATENCY_SHARE = 0.4  # of the target: presumed latency of an unloaded fleet until it is measured


class Attempt:
    """An attempt of a request at an endpoint. Instants in ms."""

    __slots__ = (
        "endpoint",
        "is_given_up",
        "is_in_flight",
        "is_long_overdue",
        "is_open",
        "is_stalled",
        "overdue_at",
        "partition",
        "sent_at",
    )

    def __init__(self, endpoint: Endpoint, partition: ZonePartition, sent_at: float, overdue_at: float) -> None:
        self.endpoint, self.partition, self.sent_at, self.is_open = endpoint, partition, sent_at, True
        self.overdue_at = overdue_at
        self.is_in_flight = False  # counted as in flight, which it is not while its body is being received
        self.is_long_overdue = False  # unanswered for so long that it counts as lost
        self.is_stalled = False  # counted among the partition's stalled attempts
        self.is_given_up = False  # cancelled so that the request can be sent elsewhere


class Request:
    """A request that has no final answer yet, or that has open attempts."""

    __slots__ = (
        "attempts",
        "deadline",
        "first_possible_run",
        "id",
        "is_closed",
        "is_held",
        "is_streaming",
        "is_uploading",
        "key",
        "klass",
        "open_attempts",
        "target_at",
        "tenant",
        "value_rank",
        "work",
    )

    def __init__(self, event: interface.RequestArrived, klass: ClassState, tenant: TenantState, now: float) -> None:
        self.id, self.klass, self.tenant, self.key = event.request, klass, tenant, event.key
        self.work, self.is_uploading = event.work, event.uploading
        self.deadline = self.target_at = NEVER
        if not event.uploading:
            self.start(now, event.deadline)
        self.attempts: list[Attempt] = []
        self.open_attempts = 0
        self.first_possible_run: Attempt | None = None  # the first attempt that may have run
        self.is_closed = self.is_streaming = self.is_held = False
        self.value_rank = 1.0  # rank of its value in this balancer's demand: 0 is lowest

    def start(self, now: float, deadline: float) -> None:
        """Start the request's time: set its deadline and the instant by which an answer has value."""
        self.deadline = deadline
        aim = now + self.klass.settings.aim + self.klass.settings.aim_stretch * self.work
        self.target_at = min(aim, deadline) if self.klass.settings.late_worth == 0 else deadline


class ClassState:
    """A request class: its settings, its mean latency over the fleet and its scheduled hedges."""

    __slots__ = (
        "demand",
        "hedge_delay",
        "idempotent",
        "latency",
        "mean_latency",
        "occupancy",
        "pending_hedges",
        "settings",
        "unloaded_latency",
    )

    def __init__(self, settings: interface.RequestClass) -> None:
        self.settings = settings
        self.idempotent = settings.repeat == "idempotent"
        self.hedge_delay = HEDGE_DELAY_SHARE * settings.aim
        self.mean_latency = UNLOADED_LATENCY_SHARE * settings.aim
        self.unloaded_latency = self.mean_latency  # time in flight for each answer while there is no queueing
        self.latency, self.occupancy = DecayingMean(2 * DECAY_TIME), DecayingMean(2 * DECAY_TIME)
        self.demand = DecayingMean(2 * DECAY_TIME)  # weighted by time in flight
        self.pending_hedges: deque[tuple[float, Request]] = deque()


class TenantState:
    """A tenant: its quota, its recent usage and its held requests, in one queue for each class."""

    __slots__ = ("queues", "quota", "usage")

    def __init__(self, quota: float, classes: int) -> None:
        self.quota, self.usage = max(quota, 1e-9), DecayingMean(DECAY_TIME)
        self.queues: list[deque[Request]] = [deque() for _ in range(classes)]
