"""What a world is made of, and what goes wrong in it: plain data, in the units of its file."""

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
    """Of all requests."""
    work_ms: float
    """Mean work, on a processor of speed 1."""
    io_ms: float
    """Mean time that a server waits on others for it."""
    aim_ms: float
    deadline_ms: float
    worth: float
    repeat: Repeat
    window_ms: float = 0.0
    group: Literal["all", "zone", "cell"] = "all"


@dataclass(frozen=True, slots=True)
class ServerKind:
    """A model of machine: each server's figures are drawn from the ranges."""

    name: str
    share: float
    speed: Range
    slots: int = 12
    """Requests in work at most."""
    queue: int = 18
    """Requests that wait at most; beyond, they are turned away unseen."""
    cold_share: float = 0.2
    cold_s: float = 20.0


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """What all page servers have in common."""

    kinds: tuple[ServerKind, ...]
    connections: int = 700
    """That one holds at most."""
    handshake_ms: float = 1.5
    """Work that a new connection costs."""
    handshake_trips: int = 2
    """Round trips until it can be used."""
    idle_s: float = 5.0
    """After which it closes an idle connection."""
    error_rate: float = 0.0005
    key_saving: float = 0.45
    """Of the work, where the server met the key lately."""
    key_s: float = 6.0
    keys_kept: int = 256
    report_ms: float = 800.0
    """How often its load report is made anew."""
    report_delay_ms: float = 200.0
    cell: int = 6
    """Servers of one zone that share a cell."""


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """The clients."""

    retries: int = 3
    backoff_ms: Range = (40.0, 320.0)
    honour: float = 0.2
    """Of them, that wait as long as a refusal advises."""
    try_share: float = 0.5
    """Of its deadline that a client waits for one try."""
    keys: int = 2000
    zipf: float = 1.0
    busy: float = 4.0
    """How unevenly the sidecars are used: the busiest twentieth have so many times the mean."""


@dataclass(frozen=True, slots=True)
class DiscoverySettings:
    """Discovery."""

    notice_s: Range = (1.0, 4.0)
    """Until it knows that a server drains or is gone."""
    silent_notice_s: float = 8.0
    """Until it knows that a machine has vanished."""
    add_s: Range = (0.3, 2.0)
    period_ms: float = 700.0
    """Changes are told in steps of so long."""
    lines_per_s: float = 400.0
    call_lines: float = 30.0
    """What a call costs, in lines."""
    timeout_ms: float = 1000.0


@dataclass(frozen=True, slots=True)
class RuleLimits:
    """The figures of the four rules."""

    drain_grace_ms: float = 1000.0
    fall_multiple: float = 4.0
    fall_ms: float = 2000.0
    ask_within_ms: float = 10000.0


@dataclass(frozen=True, slots=True)
class SidecarSettings:
    """What each sidecar has, and costs."""

    sockets: int = 256
    memory_mb: int = 64
    core_share: float = 0.25
    callback_us: float = 0.0
    """Of a core for each callback; 0: takes no time."""
    byte_ns: float = 0.0
    known: bool = True
    """It starts with the list as it was last held."""
    told_group: int = 0
    """How many sidecars each is told that there are; 0: as many as there are."""


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """The data centres."""

    names: tuple[str, ...] = ("rvk", "kef")
    same_ms: float = 0.2
    cross_ms: float = 4.0
    jitter: float = 0.25
    skew: float = 0.8
    """Of the requests, that come in the first half of the zones where the servers are spread evenly: 0.5 is even."""


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """Something that goes wrong, or is done, from an instant on."""

    kind: str
    at_s: float
    for_s: float = 0.0
    share: float = 0.0
    """Of those that it may befall; its meaning is the kind's."""
    zone: str = ""
    count: int = 0
    factor: float = 0.0


@dataclass(frozen=True, slots=True)
class Day:
    """One day: a world, its load, its troubles and the seed that all draws come from."""

    kind: str
    seed: int
    seconds: float
    sidecars: int
    endpoints: int
    rate: float
    """First tries a second, of all applications."""
    classes: tuple[RequestKind, ...]
    servers: ServerSettings
    applications: ClientSettings = field(default_factory=ClientSettings)
    listing: DiscoverySettings = field(default_factory=DiscoverySettings)
    rules: RuleLimits = field(default_factory=RuleLimits)
    sidecar: SidecarSettings = field(default_factory=SidecarSettings)
    zones: ZoneSettings = field(default_factory=ZoneSettings)
    troubles: tuple[FaultEvent, ...] = ()
    only: tuple[int, ...] = ()
    """Which first tries are made, by their numbers in the order in which they are drawn; none named: all."""


READER_REQUESTS = (
    RequestKind("read", 0.42, 47.0, 120.0, 1200.0, 6000.0, 2.0, "idempotent"),
    RequestKind("unlock", 0.40, 70.0, 115.0, 1000.0, 2500.0, 10.0, "deduplicated", 12000.0, "zone"),
    RequestKind("tip", 0.18, 70.0, 120.0, 800.0, 4000.0, 8.0, "at_most_once"),
)
"""The reader app's requests, as the brief words them."""

PAGE_SERVERS = ServerSettings(
    (
        ServerKind("large", 0.34, (1.4, 1.8), 14, 16, 0.2, 17.0),
        ServerKind("medium", 0.20, (0.85, 1.1), 13, 20, 0.22, 19.0),
        ServerKind("small", 0.46, (0.51, 0.69), 12, 20, 0.25, 18.0),
    )
)
"""Its page servers."""
