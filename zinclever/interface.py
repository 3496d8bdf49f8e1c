"""Types exchanged with the balancer: its settings, the events it receives and the actions it returns.

All times are in milliseconds. An instant (``now``, ``deadline``, ``expires_at``, ``started_at``) is a reading of the
caller's clock, which may start at any value and never goes backwards; every other time is a duration. Identifiers of
requests and endpoints are opaque strings.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

Repeat = Literal["idempotent", "deduplicated", "at_most_once"]
Outcome = Literal[
    "served", "error", "full", "timeout", "connect_failed", "dropped", "reset", "cancelled", "not_sent", "barred"
]
ListKind = Literal["changes", "whole", "remembered", "refused"]
Phase = Literal["ready", "draining", "gone"]

#: Outcomes that prove that the endpoint never executed the attempt. ``dropped``: an open connection ended before the
#: request was written in full. ``barred``: this sidecar's share of the connections or handshakes is used up.
NEVER_RAN = frozenset({"full", "connect_failed", "dropped", "not_sent", "barred"})


# --- settings ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its latency target, its deadline and its retry semantics."""

    aim: float
    """Latency target: an answer within it earns the full value of the request."""
    deadline: float
    """Time after which the client gives up."""
    value: float = 1.0
    """Value of an answer within the target, relative to other classes."""
    repeat: Repeat = "at_most_once"
    """Effect of a repeated execution: none (``idempotent``), none within ``group`` and ``window`` (``deduplicated``),
    or the request takes effect again (``at_most_once``)."""
    group: Literal["all", "zone", "cell"] = "all"
    """For deduplicated classes: which endpoints share their record of keys, so that each of them discards a repeat."""
    window: float = 0.0
    """For deduplicated classes: time for which endpoints remember a key, from the first send that may have run."""
    streamed: bool = False
    """The response is a stream."""
    late_worth: float = 0.0
    """Fraction of the value that an answer between target and deadline earns."""
    aim_stretch: float = 0.0
    """The target is extended by this multiple of the request's own work."""
    name: str = ""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its quota, which covers all balancers together."""

    quota_per_s: float
    portion: float = 0.0
    name: str = ""


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits."""

    max_attempts: int = 1
    """Attempts for each request, including the first."""
    cancel: bool = False
    """Attempts may be cancelled."""
    second_copies: bool = False
    """A request may have two attempts in flight (hedging)."""
    probes: bool = False
    """Health probes may be sent."""
    peers: bool = False
    """Balancers may exchange messages."""
    retry_after: bool = False
    """Refusals may carry a retry delay."""
    max_retry_after: float = 0.0
    """Longest retry delay that clients observe."""
    connect_timeout: float = 1000.0
    """Time after which a connect has failed."""
    connection_idle: float = 60000.0
    """Time after which endpoints close an idle connection."""
    streams_per_connection: int = 1
    """Requests that a connection carries at once."""


@dataclass(frozen=True, slots=True)
class Prices:
    """Penalties, each multiplied by the share or rate that it names."""

    waste: float = 0.0
    late_fail: float = 0.0
    cross_zone: float = 0.0
    probe: float = 0.0
    peer: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    """Limits set by the protocol between clients, balancers, endpoints and discovery."""

    answer_slack: float = 0.0
    """Time after the deadline for which a final answer still counts."""
    ask_within: float = 10000.0
    """Without a subscription, the endpoint list must be fetched at least this often."""
    drain_grace: float = 0.0
    """Time after which a draining endpoint must receive no more requests."""
    cold_share: float = 1.0
    """Minimum share of its capacity that an endpoint has when it starts (slow start)."""
    cold_for: float = 0.0
    """Time after its start by which an endpoint has its full capacity."""
    overload_factor: float = 3.0
    overload_for: float = 2000.0
    """A load above ``overload_factor`` times its capacity for this long makes a cold endpoint fail."""


@dataclass(frozen=True, slots=True)
class Shares:
    """Limits on what all balancers may use together; each of them takes its share. 0 means unlimited."""

    subset: int = 0
    """Minimum number of endpoints of the home zone that each balancer knows; 0: it knows all."""
    connections: float = 0.0
    """Open connections to each endpoint."""
    handshakes_per_s: float = 0.0
    """New connections to each endpoint."""
    list_calls_per_s: float = 0.0
    """Calls of discovery."""
    busy: int = 1
    """Balancers that may be far busier than the rest at the same time. A quarter of the connections is set aside for
    them."""
    retry_ratio: float = 0.0
    """Retries for each request, averaged over some seconds."""
    copy_ratio: float = 0.0
    """Hedges for each request, averaged over some seconds."""
    floor_per_s: float = 0.0
    """Retries to each endpoint that are allowed whatever the ratios; the same number of hedges is allowed too."""


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything that a balancer is configured with at its start.

    Raises:
        ValueError: a value is out of range; the message starts with the path of the setting.
    """

    classes: Sequence[RequestClass]
    tenants: Sequence[Tenant] = ()
    limits: Limits = field(default_factory=Limits)
    prices: Prices = field(default_factory=Prices)
    rules: Rules = field(default_factory=Rules)
    group_size: int = 1
    """Number of balancers that share the fleet."""
    me: int = 0
    """Number of this balancer within the group, from 0."""
    zone: int = 0
    """This balancer's own zone."""
    discovery: Literal["pushed", "on_request"] = "pushed"
    reports: Literal["piggyback", "pull", "silent"] = "silent"
    value_by: Literal["request", "work"] = "request"
    """Whether the value of a class counts for each request or for each unit of its work."""
    over_share_worth: float = 1.0
    """Factor on the value of requests beyond their tenant's fair share."""
    report_fields: Sequence[str] = ()
    """Names of the values in a load report."""
    warm_keys: bool = False
    """An endpoint that served a key recently serves it with less work."""
    sizes_told: bool = True
    """List entries state the capacity of an endpoint relative to the others (:attr:`ListedEndpoint.size`)."""
    tick: float = 1.0
    """Minimum time between two batches of events."""
    shares: Shares = field(default_factory=Shares)

    def __post_init__(self) -> None:
        def require(valid: bool, path: str, problem: str) -> None:
            if not valid:
                raise ValueError(f"{path}: {problem}")

        require(len(self.classes) > 0, "classes", "at least one is needed")
        for i, c in enumerate(self.classes):
            prefix = f"classes[{i}]"
            require(0 < c.aim < float("inf"), f"{prefix}.aim", "must be above 0")
            require(0 < c.deadline < float("inf"), f"{prefix}.deadline", "must be above 0")
            require(c.value >= 0, f"{prefix}.value", "must not be negative")
            require(c.window >= 0, f"{prefix}.window", "must not be negative")
            require(0 <= c.late_worth <= 1, f"{prefix}.late_worth", "must be between 0 and 1")
            require(
                c.repeat in ("idempotent", "deduplicated", "at_most_once"),
                f"{prefix}.repeat",
                "must be 'idempotent', 'deduplicated' or 'at_most_once'",
            )
            require(c.group in ("all", "zone", "cell"), f"{prefix}.group", "must be 'all', 'zone' or 'cell'")
        for i, t in enumerate(self.tenants):
            require(t.quota_per_s >= 0, f"tenants[{i}].quota_per_s", "must not be negative")
        require(self.prices.cross_zone >= 0, "prices.cross_zone", "must not be negative")
        r = self.rules
        require(self.limits.max_attempts >= 1, "limits.max_attempts", "must be at least 1")
        require(0 < r.cold_share <= 1, "rules.cold_share", "must be above 0 and at most 1")
        require(r.cold_for >= 0, "rules.cold_for", "must not be negative")
        require(r.overload_factor > 0, "rules.overload_factor", "must be above 0")
        require(r.overload_for > 0, "rules.overload_for", "must be above 0")
        require(r.ask_within > 0, "rules.ask_within", "must be above 0")
        require(self.group_size >= 1, "group_size", "must be at least 1")
        require(self.discovery in ("pushed", "on_request"), "discovery", "must be 'pushed' or 'on_request'")
        require(self.value_by in ("request", "work"), "value_by", "must be 'request' or 'work'")
        require(0 <= self.over_share_worth <= 1, "over_share_worth", "must be between 0 and 1")


# --- events -----------------------------------------------------------------------------------------------


class ListedEndpoint(NamedTuple):
    """An endpoint as discovery lists it."""

    endpoint: str
    phase: Phase = "ready"
    size: float = 1.0
    """Capacity relative to other endpoints."""
    zone: int = 0
    cell: int = 0
    """Group of endpoints that share the memory of keys."""
    started_at: float = 0.0
    """Instant of its latest start; 0: long ago."""


class MembershipUpdate(NamedTuple):
    """An update of the endpoint list.

    ``kind`` is ``whole`` (the full list), ``changes`` (changed entries only), ``remembered`` (the list that a previous
    process stored) or ``refused`` (the call to discovery failed).
    """

    kind: ListKind
    entries: Sequence[ListedEndpoint] = ()
    total: int = 0
    """Total number of endpoints if the balancer is given only a subset; 0: it is given all of them."""


class RequestArrived(NamedTuple):
    """A request of a client. It gets exactly one final answer before ``deadline``."""

    request: str
    klass: int
    deadline: float
    tenant: int = 0
    key: str = ""
    work: float = 0.0
    """Expected work, as time on a standard core; 0: unknown."""
    client_retry: bool = False
    """The client marked the request as a retry."""
    uploading: bool = False
    """The body is still being received, and the request's time starts with :class:`UploadEnded`. The body is forwarded
    to an attempt as it arrives, and buffered for further ones. The request can't be executed before the body ends."""


class UploadEnded(NamedTuple):
    """The body of an ``uploading`` request is complete: from now on it is treated as any other request."""

    request: str
    deadline: float


class RequestClosed(NamedTuple):
    """The client has disconnected; the request gets no answer."""

    request: str


class StreamStarted(NamedTuple):
    """The response of a streamed class has begun. From here on the balancer neither cancels nor retries it."""

    request: str
    attempt: int
    endpoint: str
    elapsed: float


class AttemptEnded(NamedTuple):
    """The end of an attempt. Each :class:`Send` is followed by exactly one."""

    request: str
    attempt: int
    endpoint: str
    outcome: Outcome
    elapsed: float
    complete: bool
    """The request is finished, by this outcome or an earlier one."""
    report: Mapping[str, float] = {}
    """The endpoint's load report if it sent one; delayed and noisy. Its names are ``Settings.report_fields``."""


class TimerFired(NamedTuple):
    """A timer set by :class:`SetTimer` has expired."""

    token: str


class PeerMessage(NamedTuple):
    """A message from another balancer of the group."""

    sender: int
    payload: bytes


class ProbeEnded(NamedTuple):
    """The result of one :class:`Probe`."""

    endpoint: str
    outcome: Outcome
    elapsed: float
    report: Mapping[str, float] = {}


Event = (
    MembershipUpdate
    | RequestArrived
    | UploadEnded
    | RequestClosed
    | StreamStarted
    | AttemptEnded
    | TimerFired
    | PeerMessage
    | ProbeEnded
)


# --- actions ----------------------------------------------------------------------------------------------


class Send(NamedTuple):
    """Start an attempt. The attempts of a request are numbered 0, 1, 2, ... in the order of their sends."""

    request: str
    endpoint: str
    expires_at: float
    """Instant at which the attempt is given up."""


class Cancel(NamedTuple):
    """Stop waiting for an attempt."""

    request: str
    attempt: int


class Refuse(NamedTuple):
    """Final answer: a retry is harmless, as nothing was executed or a repeated execution has no effect.

    A ``retry_after`` of 0 gives no retry delay.
    """

    request: str
    retry_after: float = 0.0


class Fail(NamedTuple):
    """Final answer: the request failed and may have been executed."""

    request: str


class SetTimer(NamedTuple):
    """Deliver :class:`TimerFired` with ``token`` at instant ``at``."""

    at: float
    token: str


class FetchMembership(NamedTuple):
    """Fetch the full endpoint list from discovery once."""


class WatchMembership(NamedTuple):
    """Subscribe to changes of the endpoint list, or end the subscription."""

    subscribe: bool


class Probe(NamedTuple):
    """Probe the health of an endpoint."""

    endpoint: str


class SendToPeers(NamedTuple):
    """Send a message to one balancer of the group, or to all if ``peer`` is None."""

    peer: int | None
    payload: bytes


class CloseIdle(NamedTuple):
    """Close the idle connections to an endpoint."""

    endpoint: str


class LogMessage(NamedTuple):
    """Write a line to the operators' log."""

    text: str


Action = (
    Send
    | Cancel
    | Refuse
    | Fail
    | SetTimer
    | FetchMembership
    | WatchMembership
    | Probe
    | SendToPeers
    | CloseIdle
    | LogMessage
)
