"""What goes into the balancer and what comes out: settings, events, actions.

Every time is in milliseconds. An instant (``now``, ``deadline``, ``expires_at``, ``started_at``) is read
off the clock of the caller, which may begin anywhere and only moves forward; everything else is a span.
Identifiers of requests and endpoints are opaque texts.
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

#: Outcomes that prove the attempt never ran. ``dropped``: an open connection ended before all was written.
#: ``barred``: this sidecar's own part of the connections or handshakes is used up.
NEVER_RAN = frozenset({"full", "connect_failed", "dropped", "not_sent", "barred"})


# --- settings ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests and what may be done with it."""

    aim: float
    """Answered within this, a request earns its full worth."""
    deadline: float
    """How long a client waits in all."""
    value: float = 1.0
    repeat: Repeat = "at_most_once"
    group: Literal["all", "zone", "cell"] = "all"
    """Deduplicated classes: the endpoints that discard a repeat."""
    window: float = 0.0
    """Deduplicated classes: how long they remember, from the first send that may have run."""
    streamed: bool = False
    late_worth: float = 0.0
    """Fraction of the worth earned between aim and deadline."""
    aim_stretch: float = 0.0
    """The aim grows by this multiple of the request's own work."""
    name: str = ""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and what it may use of the service, summed over all balancers."""

    quota_per_s: float
    portion: float = 0.0
    name: str = ""


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits."""

    max_attempts: int = 1
    cancel: bool = False
    second_copies: bool = False
    """A request may have two attempts in flight."""
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0
    connect_timeout: float = 1000.0
    connection_idle: float = 60000.0
    streams_per_connection: int = 1


@dataclass(frozen=True, slots=True)
class Prices:
    """Points taken off the result, each times its share or rate."""

    waste: float = 0.0
    late_fail: float = 0.0
    cross_zone: float = 0.0
    probe: float = 0.0
    peer: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    """Figures of the four rules."""

    answer_slack: float = 0.0
    """A final answer still counts this long after the deadline."""
    ask_within: float = 10000.0
    """Without a subscription, the list has to be asked for this often."""
    drain_grace: float = 0.0
    """Sends to a draining endpoint must have stopped by then."""
    cold_share: float = 1.0
    """An endpoint starts with this share of its capacity, at least."""
    cold_for: float = 0.0
    """And has all of it after this, at the latest."""
    overload_factor: float = 3.0
    overload_for: float = 2000.0
    """More than that multiple of its capacity for this long pushes a cold endpoint over."""


@dataclass(frozen=True, slots=True)
class Shares:
    """What all balancers together may use, of which each takes its part. Zero: not bounded."""

    subset: int = 0
    """Endpoints of the home zone that each balancer knows at least; 0: it knows all."""
    connections: float = 0.0
    """Open at once to each endpoint, of all balancers."""
    handshakes_per_s: float = 0.0
    """To each endpoint, of all balancers."""
    list_calls_per_s: float = 0.0
    """To discovery, of all balancers."""
    busy: int = 1
    """Balancers that may be far busier than the rest at once; half of the connections is theirs."""
    retry_ratio: float = 0.0
    """Retries for each request, over some seconds."""
    copy_ratio: float = 0.0
    """Copies for each request, over some seconds."""
    floor_per_s: float = 0.0
    """Retries, and copies, to each endpoint of all balancers that are free whatever the ratios."""


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything a balancer is told at its start."""

    classes: Sequence[RequestClass]
    tenants: Sequence[Tenant] = ()
    limits: Limits = field(default_factory=Limits)
    prices: Prices = field(default_factory=Prices)
    rules: Rules = field(default_factory=Rules)
    group_size: int = 1
    """How many balancers share the fleet."""
    me: int = 0
    zone: int = 0
    discovery: Literal["pushed", "on_request"] = "pushed"
    reports: Literal["piggyback", "pull", "silent"] = "silent"
    value_by: Literal["request", "work"] = "request"
    """What a class's value is counted for: a request, or a unit of its work."""
    over_share_worth: float = 1.0
    """Worth of a request beyond its tenant's share, as a fraction."""
    report_fields: Sequence[str] = ()
    """The values that load reports hold."""
    warm_keys: bool = False
    """An endpoint that served a key lately serves it at less work."""
    sizes_told: bool = True
    """List entries carry a size that compares endpoints."""
    tick: float = 1.0
    """Least time between two batches of events."""
    shares: Shares = field(default_factory=Shares)

    def __post_init__(self) -> None:
        def need(good: bool, name: str, what: str) -> None:
            if not good:
                raise ValueError(f"{name}: {what}")

        need(len(self.classes) > 0, "classes", "at least one is needed")
        for i, c in enumerate(self.classes):
            at = f"classes[{i}]"
            need(0 < c.aim < float("inf"), f"{at}.aim", "must be above 0")
            need(0 < c.deadline < float("inf"), f"{at}.deadline", "must be above 0")
            need(c.value >= 0, f"{at}.value", "must not be negative")
            need(c.window >= 0, f"{at}.window", "must not be negative")
            need(0 <= c.late_worth <= 1, f"{at}.late_worth", "must lie between 0 and 1")
            need(c.repeat in ("idempotent", "deduplicated", "at_most_once"), f"{at}.repeat", "unknown kind")
            need(c.group in ("all", "zone", "cell"), f"{at}.group", "unknown kind")
        for i, t in enumerate(self.tenants):
            need(t.quota_per_s >= 0, f"tenants[{i}].quota_per_s", "must not be negative")
        need(self.prices.cross_zone >= 0, "prices.cross_zone", "must not be negative")
        r = self.rules
        need(self.limits.max_attempts >= 1, "limits.max_attempts", "must be at least 1")
        need(0 < r.cold_share <= 1, "rules.cold_share", "must lie above 0 and at most at 1")
        need(r.cold_for >= 0, "rules.cold_for", "must not be negative")
        need(r.overload_factor > 0, "rules.overload_factor", "must be above 0")
        need(r.overload_for > 0, "rules.overload_for", "must be above 0")
        need(r.ask_within > 0, "rules.ask_within", "must be above 0")
        need(self.group_size >= 1, "group_size", "must be at least 1")
        need(self.discovery in ("pushed", "on_request"), "discovery", "unknown kind")
        need(self.value_by in ("request", "work"), "value_by", "must be 'request' or 'work'")
        need(0 <= self.over_share_worth <= 1, "over_share_worth", "must lie between 0 and 1")


# --- events -----------------------------------------------------------------------------------------------


class ListedEndpoint(NamedTuple):
    """One endpoint as discovery lists it."""

    endpoint: str
    phase: Phase = "ready"
    size: float = 1.0
    zone: int = 0
    cell: int = 0
    started_at: float = 0.0
    """Instant of its latest start; 0: long past."""


class MembershipUpdate(NamedTuple):
    """Discovery's news. ``remembered``: the list of an earlier life; ``refused``: a call failed."""

    kind: ListKind
    entries: Sequence[ListedEndpoint] = ()
    of: int = 0
    """Endpoints in all, where the balancer is told a subset of them only; 0: it is told all."""


class RequestArrived(NamedTuple):
    """A client's request, to be given exactly one final answer before ``deadline``."""

    request: str
    klass: int
    deadline: float
    tenant: int = 0
    key: str = ""
    work: float = 0.0
    """Expected work, as time on a standard core; 0: not told."""
    client_retry: bool = False
    uploading: bool = False
    """Its body is still coming in: its time begins with :class:`UploadEnded`. An attempt gets the body as it comes and
    can't run before its end; the whole body is kept for another one."""


class UploadEnded(NamedTuple):
    """The body of a request that was ``uploading`` is whole: from now on it is as any other."""

    request: str
    deadline: float


class RequestClosed(NamedTuple):
    """The client has left; nothing more is owed."""

    request: str


class StreamStarted(NamedTuple):
    """The answer of a streamed class has begun; the client owns the attempt from here."""

    request: str
    attempt: int
    endpoint: str
    elapsed: float


class AttemptEnded(NamedTuple):
    """How an attempt ended; each send gets exactly one."""

    request: str
    attempt: int
    endpoint: str
    outcome: Outcome
    elapsed: float
    complete: bool
    """The request is finished, by this outcome or before it."""
    report: Mapping[str, float] = {}
    """The endpoint's load report, if one came along: late and noisy; names: ``Settings.report_fields``."""


class TimerFired(NamedTuple):
    """A timer set by :class:`SetTimer` has come due."""

    token: str


class PeerMessage(NamedTuple):
    """Bytes from another balancer of the group."""

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
    """Start an attempt. Those of a request are numbered 0, 1, 2 ... in the order of their sends."""

    request: str
    endpoint: str
    expires_at: float


class Cancel(NamedTuple):
    """Stop waiting for one attempt."""

    request: str
    attempt: int


class Refuse(NamedTuple):
    """Final answer: nothing was done, a repeat is harmless. ``retry_after``: 0 gives no advice."""

    request: str
    retry_after: float = 0.0


class Fail(NamedTuple):
    """Final answer: failed, and it may have run."""

    request: str


class SetTimer(NamedTuple):
    at: float
    token: str


class FetchMembership(NamedTuple):
    """Ask discovery for the whole list, once."""


class WatchMembership(NamedTuple):
    """Subscribe to discovery's changes, or leave."""

    subscribe: bool


class Probe(NamedTuple):
    endpoint: str


class TellPeers(NamedTuple):
    """Send bytes to one balancer of the group, or to all (``peer`` is None)."""

    peer: int | None
    payload: bytes


class CloseIdle(NamedTuple):
    """Close the idle connections to an endpoint."""

    endpoint: str


class LogMessage(NamedTuple):
    """A line for the operators' log."""

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
    | TellPeers
    | CloseIdle
    | LogMessage
)
