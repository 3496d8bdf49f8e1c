"""The definition of a simulated day as plain data: the fleet, its load and the injected faults.

Field names are the keys of day files, and a suffix gives the unit: ``_s``, ``_ms``, ``_us`` or ``_ns``.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

Repeat = Literal["idempotent", "deduplicated", "at_most_once"]
Range = tuple[float, float]


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A class of requests."""

    name: str
    share: float
    """Fraction of all requests."""
    work_ms: float
    """Mean processing time on a processor of speed 1."""
    io_ms: float
    """Mean time that a server waits for its own dependencies before it processes the request."""
    aim_ms: float
    """Latency within which an answer counts as in time."""
    deadline_ms: float
    """Longest time that the client waits for an answer."""
    worth: float
    """Value of an answer in time, per unit of work, relative to other classes."""
    repeat: Repeat
    """What happens if a request is executed twice."""
    window_ms: float = 0.0
    """How long servers remember the idempotency keys of a deduplicated class."""
    group: Literal["all", "zone", "cell"] = "all"
    """The servers that discard each other's duplicates, for a deduplicated class."""


@dataclass(frozen=True, slots=True)
class ServerKind:
    """A hardware model of servers."""

    name: str
    share: float
    """Fraction of the servers, relative to the other kinds."""
    speed: Range
    """Range from which each server's processor speed is drawn."""
    slots: int = 12
    """Maximum number of requests that are processed concurrently."""
    queue: int = 18
    """Maximum number of queued requests; further ones are rejected with 503, unexecuted."""
    cold_share: float = 0.2
    """Fraction of its speed that a cold server has when it starts."""
    cold_s: float = 20.0
    """Time until a cold server reaches its full speed."""


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """Settings that all servers have in common."""

    kinds: tuple[ServerKind, ...]
    connections: int = 700
    """Maximum number of open connections of a server."""
    handshake_ms: float = 1.5
    """Processing time of a new connection."""
    handshake_trips: int = 2
    """Round trips until a new connection can be used."""
    idle_s: float = 5.0
    """Time after which a server closes an idle connection."""
    error_rate: float = 0.0005
    """Fraction of requests that are answered with 500."""
    key_saving: float = 0.45
    """Fraction of the work that is saved if the key is in the server's cache."""
    key_s: float = 6.0
    """Time for which a key stays in the cache."""
    keys_kept: int = 256
    """Size of the cache."""
    report_ms: float = 800.0
    """Interval at which a server's load report is updated."""
    report_delay_ms: float = 200.0
    """Age of a load report when it is first sent."""
    cell: int = 6
    """Number of servers of one zone that share a cell."""


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Settings of the client applications."""

    retries: int = 3
    """Maximum number of retries of a request."""
    backoff_ms: Range = (40.0, 320.0)
    """Range from which each client's retry backoff is drawn."""
    honour: float = 0.2
    """Fraction of the clients that respect ``Retry-After``."""
    try_share: float = 0.5
    """Timeout of a single try, as a fraction of the request's deadline."""
    keys: int = 2000
    """Number of distinct request keys."""
    zipf: float = 1.0
    """Exponent of the Zipf distribution of the keys."""
    busy: float = 4.0
    """Load of each twentieth sidecar, relative to the mean of the others."""


@dataclass(frozen=True, slots=True)
class DiscoverySettings:
    """Settings of service discovery."""

    notice_s: Range = (1.0, 4.0)
    """Time until it learns that a server is draining or gone."""
    silent_notice_s: float = 8.0
    """Time until it learns that a machine has vanished."""
    add_s: Range = (0.3, 2.0)
    """Time until it learns of a new server."""
    period_ms: float = 700.0
    """Interval at which changes are published."""
    lines_per_s: float = 400.0
    """Entries that it can send per second, to all callers together."""
    call_lines: float = 30.0
    """Fixed cost of a call, in entries."""
    timeout_ms: float = 1000.0
    """A call that would have to wait longer in the queue fails after this time."""


@dataclass(frozen=True, slots=True)
class RuleLimits:
    """Limits of the rules that the auditor checks."""

    drain_grace_ms: float = 1000.0
    """Time after the notice of a drain within which sidecars have to stop sending requests to the server."""
    fall_multiple: float = 4.0
    """Received work, as a multiple of its present capacity, that overloads a cold server ..."""
    fall_ms: float = 2000.0
    """... over this time."""
    ask_within_ms: float = 10000.0
    """Interval within which a sidecar has to query discovery."""


@dataclass(frozen=True, slots=True)
class SidecarSettings:
    """Resources and CPU costs of each sidecar."""

    sockets: int = 256
    """Limit of open descriptors."""
    memory_mb: int = 64
    core_share: float = 0.25
    """Fraction of a CPU core that the process may use."""
    callback_us: float = 0.0
    """CPU time of one event loop callback; 0 means that callbacks take no time."""
    byte_ns: float = 0.0
    """CPU time for each byte of network traffic."""
    known: bool = True
    """A sidecar starts with the present server list in its configuration."""
    told_group: int = 0
    """Number of sidecars in each sidecar's settings; 0 means the actual number."""


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """Settings of the zones and the network between them."""

    names: tuple[str, ...] = ("rvk", "kef")
    same_ms: float = 0.2
    """One-way latency within a zone."""
    cross_ms: float = 4.0
    """One-way latency between zones."""
    jitter: float = 0.25
    """Variation of the latency, as a fraction of it."""
    skew: float = 0.8
    """Probability that a sidecar is in the first half of the zones; servers are spread evenly."""


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """A fault to inject, or an operation such as a restart or a change of the fleet's size.

    Each kind is a method of :class:`~zinclever.sim.troubles.FaultInjector`, which defines the meaning of the fields.
    """

    kind: str
    at_s: float
    """Start, from the beginning of the day."""
    for_s: float = 0.0
    """How long it lasts."""
    share: float = 0.0
    """Fraction of the servers, sidecars or requests that are affected."""
    zone: str = ""
    """The affected zone; all zones if empty."""
    count: int = 0
    factor: float = 0.0


@dataclass(frozen=True, slots=True)
class Day:
    """One simulated day: the fleet, its load, the injected faults and the seed of all random numbers."""

    kind: str
    seed: int
    seconds: float
    sidecars: int
    endpoints: int
    rate: float
    """Requests per second of all clients, without retries."""
    classes: tuple[RequestKind, ...]
    servers: ServerSettings
    applications: ClientSettings = field(default_factory=ClientSettings)
    listing: DiscoverySettings = field(default_factory=DiscoverySettings)
    rules: RuleLimits = field(default_factory=RuleLimits)
    sidecar: SidecarSettings = field(default_factory=SidecarSettings)
    zones: ZoneSettings = field(default_factory=ZoneSettings)
    troubles: tuple[FaultEvent, ...] = ()
    only: tuple[int, ...] = ()
    """Numbers of the requests that are sent, in the order in which they are drawn; all if empty."""


READER_REQUESTS = (
    RequestKind("read", 0.42, 47.0, 120.0, 1200.0, 6000.0, 2.0, "idempotent"),
    RequestKind("unlock", 0.40, 70.0, 115.0, 1000.0, 2500.0, 10.0, "deduplicated", 12000.0, "zone"),
    RequestKind("tip", 0.18, 70.0, 120.0, 800.0, 4000.0, 8.0, "at_most_once"),
)
"""Request classes of the modelled reader application."""

UPSTREAM_SERVERS = ServerSettings(
    (
        ServerKind("large", 0.34, (1.4, 1.8), 14, 16, 0.2, 17.0),
        ServerKind("medium", 0.20, (0.85, 1.1), 13, 20, 0.22, 19.0),
        ServerKind("small", 0.46, (0.51, 0.69), 12, 20, 0.25, 18.0),
    )
)
"""Servers of the modelled reader application."""
