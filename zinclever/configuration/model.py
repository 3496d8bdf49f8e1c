"""The model of both files: every key with its type, unit, default, bounds, and the version that introduced it.

The checks, the typed settings, ``config explain``, the JSON Schema and the reference on the operators' page all derive
from these tables.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Literal

Kind = Literal[
    "text",
    "number",
    "whole",
    "flag",
    "choice",
    "address",
    "pointer",
    "texts",
    "wholes",
    "numbers",
    "table",
    "tables",
    "endpoints",
    "any",
]
VERSION = 1
MAX_DURATION = 3_600_000.0  # ms: an hour, the upper bound of timeouts, deadlines and deduplication windows
MAX_ENDPOINTS = 10_000
MAX_METHODS = 10_000


@dataclass(frozen=True, slots=True)
class Key:
    """One key of a table in a configuration file."""

    name: str
    """``*`` stands for any name; the value is then a table with the keys in ``inner``."""
    kind: Kind
    doc: str
    """Description for operators: part of written files, the schema and the reference."""
    unit: str = ""
    default: Any = None
    """Value if the key is left out; None if there is no default."""
    required: bool = False
    least: float | None = None
    most: float | None = None
    choices: tuple[str, ...] = ()
    since: int = 1
    """File version that introduced the key."""
    inner: tuple[Key, ...] = ()
    """Keys of the table, or of each table in the array."""
    allow_unknown: bool = False
    """Whether unknown keys in the table are accepted, except for likely typos."""
    exclusive_least: bool = False
    """Whether ``least`` is an exclusive bound."""


REPEAT_CHOICES = ("idempotent", "deduplicated", "at_most_once")
GROUP_CHOICES = ("all", "zone", "cell")


def duration_key(
    name: str,
    doc: str,
    default: float | None = None,
    required: bool = False,
    least: float = 1.0,
    most: float = MAX_DURATION,
) -> Key:
    """Return a key of the operator file that holds a duration in milliseconds."""
    return Key(name, "number", doc, "ms", default, required, least, most)


ENDPOINT_KEYS = (
    Key("address", "address", "Where it listens.", required=True),
    Key("zone", "text", "Where it stands. Endpoints without one share one.", default=""),
    Key("weight", "number", "Its size beside the others.", default=1.0, least=0.001, most=1000.0),
    Key(
        "cell",
        "whole",
        "The group of endpoints that it shares its memory of keys with.",
        default=0,
        least=0,
        most=2**31,
    ),
)
CLASS_KEYS = (
    Key(
        "repeat",
        "choice",
        "What a repeat does: idempotent: nothing; deduplicated: nothing inside the group and "
        "window; at_most_once: it takes effect again, so that it is never sent twice.",
        required=True,
        choices=REPEAT_CHOICES,
    ),
    duration_key("aim_ms", "An answer within it is in time.", required=True),
    duration_key("deadline_ms", "The client hears by then, whatever happens.", required=True),
    Key("value", "number", "What an answer in time is worth beside other classes.", default=1.0, least=0.0, most=1e6),
    duration_key(
        "window_ms", "Deduplicated classes: how long endpoints remember a key, from the first send that may have run."
    ),
    Key(
        "group",
        "choice",
        "Deduplicated classes: the endpoints that discard each other's repeats.",
        choices=GROUP_CHOICES,
    ),
)
METHOD_KEYS = (
    Key("class", "text", "The class of its calls.", required=True),
    Key("key", "pointer", "Deduplicated classes: a JSON Pointer into params to what tells repeats apart."),
    Key("aliases", "texts", "Other names that endpoints take for the same method.", default=()),
)
SERVICE_KEYS = (
    Key("protocol", "choice", "What clients and endpoints speak.", required=True, choices=("jsonrpc",)),
    Key("listen", "address", "Where its clients connect.", required=True),
    Key("expose", "flag", "It may listen elsewhere than on 127.0.0.0/8.", default=False),
    Key("endpoints", "endpoints", "Addresses, or tables of address, zone, weight and cell.", inner=ENDPOINT_KEYS),
    Key("discovery", "address", "In place of endpoints: a service of the platform's discovery protocol."),
    Key("zones", "texts", "With discovery: the names of its zones.", default=()),
    Key("zone", "text", "The sidecar's own zone.", default=""),
    Key(
        "framing",
        "choice",
        "lines: one JSON text a line; headers: Content-Length headers before each text.",
        default="lines",
        choices=("lines", "headers"),
    ),
    Key("default_class", "text", "Class of methods that are not listed. Left out: they are answered -32601."),
    Key("never_ran_errors", "wholes", "Error codes by which endpoints tell that a call never ran.", default=()),
    Key(
        "failure_errors",
        "wholes",
        "Error codes that are faults of the endpoint; all others are answers.",
        default=(-32603,),
    ),
    Key("max_attempts", "whole", "Attempts for each call, the first one among them.", default=3, least=1, most=16),
    Key("copies", "flag", "A slow safe call gets a copy at another endpoint after the delay.", default=True),
    Key(
        "max_retry_after_ms",
        "number",
        "The longest advice in a refusal; 0: none.",
        "ms",
        1000.0,
        least=0.0,
        most=MAX_DURATION,
    ),
    duration_key(
        "connect_timeout_ms", "How long to wait for a connection; under the grace for drains.", 250.0, most=1000.0
    ),
    duration_key(
        "connection_idle_ms", "When endpoints close an idle connection; it is closed before.", 15000.0, least=100.0
    ),
    Key("max_clients", "whole", "Connections of clients at once.", default=128, least=1, most=65536),
    Key(
        "max_text_kb",
        "whole",
        "The longest text of a client, a whole batch among them.",
        "KiB",
        1024,
        least=1,
        most=65536,
    ),
    Key("instances", "whole", "How many sidecars share these endpoints.", default=1, least=1, most=1_000_000),
    Key("number", "whole", "This sidecar's own number among them, from 0.", default=0, least=0, most=999_999),
    Key(
        "classes",
        "table",
        "What may be done with requests, by name.",
        required=True,
        inner=(Key("*", "table", "A class.", inner=CLASS_KEYS),),
    ),
    Key(
        "methods",
        "table",
        "The class of each method.",
        default={},
        inner=(Key("*", "table", "A method.", inner=METHOD_KEYS),),
    ),
)
LIMIT_KEYS = (
    Key(
        "sockets",
        "whole",
        "Descriptors that the process may hold. With LB_CONFIG its own figure holds.",
        default=1024,
        least=64,
        most=2**20,
    ),
    Key(
        "memory_mb",
        "whole",
        "Memory that the process may use: checked against what clients may fill.",
        "MB",
        least=24,
        most=2**20,
    ),
)
SHARE_KEYS = (
    Key(
        "subset",
        "whole",
        "Endpoints of its own zone that each instance knows at least, where it needn't know all; 0: it knows all.",
        default=0,
        least=0,
        most=MAX_ENDPOINTS,
    ),
    Key(
        "connections",
        "number",
        "Open at once to each endpoint, of all instances together; 0: not bounded.",
        default=0.0,
        least=0.0,
        most=1e6,
    ),
    Key(
        "handshakes_per_s",
        "number",
        "New connections to each endpoint, of all instances together; 0: not bounded.",
        "1/s",
        0.0,
        least=0.0,
        most=1e6,
    ),
    Key(
        "list_calls_per_s",
        "number",
        "Calls of discovery, of all instances together; 0: not bounded.",
        "1/s",
        0.0,
        least=0.0,
        most=1e6,
    ),
    Key(
        "busy",
        "whole",
        "Instances that may be far busier than the rest at once: a quarter of the connections is theirs.",
        default=1,
        least=1,
        most=1_000_000,
    ),
    Key(
        "retry_ratio",
        "number",
        "Retries for each request, over ten seconds; 0: not bounded.",
        default=0.0,
        least=0.0,
        most=16.0,
    ),
    Key(
        "copy_ratio",
        "number",
        "Copies for each request, over ten seconds; 0: as the balancer's own bound.",
        default=0.0,
        least=0.0,
        most=16.0,
    ),
    Key(
        "floor_per_s",
        "number",
        "Retries, and as many copies, to each endpoint of all instances together that go out whatever the ratios.",
        "1/s",
        0.0,
        least=0.0,
        most=1e6,
    ),
)
OPERATOR_KEYS = (
    Key("version", "whole", "Of the file's form.", required=True),
    Key("limits", "table", "What the process may use.", default={}, inner=LIMIT_KEYS),
    Key(
        "shares",
        "table",
        "What all instances together may use, of which each takes its part. It holds for the "
        "platform's service and for those of this file.",
        default={},
        inner=SHARE_KEYS,
    ),
    Key(
        "services",
        "table",
        "Services beside the platform's, by name.",
        default={},
        inner=(Key("*", "table", "A service.", inner=SERVICE_KEYS),),
    ),
)


# --- the platform's configuration, with the platform's key names ---


def platform_duration_key(
    name: str,
    doc: str,
    default: float | None = None,
    required: bool = False,
    least: float = 0.0,
    exclusive_least: bool = False,
) -> Key:
    """Return a key of the platform file that holds a duration in ms. ``exclusive_least`` excludes ``least`` itself."""
    return Key(name, "number", doc, "ms", default, required, least, 1e9, exclusive_least=exclusive_least)


def fraction_key(name: str, doc: str, default: float = 0.0) -> Key:
    """Return a key of the platform file that holds a fraction between 0 and 1."""
    return Key(name, "number", doc, "", default, least=0.0, most=1.0)


def price_key(name: str, doc: str) -> Key:
    """Return a key of the platform file that holds a price in points."""
    return Key(name, "number", doc, "points", 0.0, least=0.0, most=1e9)


PLATFORM_CLASS_KEYS = (
    Key("name", "text", "The first part of a request's path.", required=True),
    platform_duration_key("aim", "An answer within it earns the full worth.", required=True, exclusive_least=True),
    platform_duration_key("deadline", "How long a client waits in all.", required=True, exclusive_least=True),
    Key("repeat", "choice", "What a repeat does.", default="at_most_once", choices=REPEAT_CHOICES),
    Key("group", "choice", "The endpoints that discard each other's repeats.", default="all", choices=GROUP_CHOICES),
    platform_duration_key("window", "How long they do, from the first send that may have run.", 0.0),
    Key("value", "number", "What an answer in time is worth.", default=1.0, least=0.0, most=1e9),
    fraction_key("late-worth", "Part of the worth between aim and deadline."),
    Key(
        "aim-stretch",
        "number",
        "The aim grows by this multiple of the request's work.",
        default=0.0,
        least=0.0,
        most=1e6,
    ),
    Key("streamed", "flag", "The answer comes as a stream.", default=False),
)
PLATFORM_LIMIT_KEYS = (
    Key("attempts-cap", "whole", "Attempts for each request.", default=1, least=1, most=1000),
    Key("cancel", "flag", "Attempts may be cancelled.", default=False),
    Key("second-copies", "flag", "A request may have two attempts out.", default=False),
    Key("probes", "flag", "Probes are allowed.", default=False),
    Key("peers", "flag", "Messages between sidecars are allowed.", default=False),
    Key("retry-after", "flag", "Refusals may carry advice.", default=False),
    platform_duration_key("max-retry-after", "The longest advice that clients heed.", 0.0),
    platform_duration_key("dial-timeout", "How long to wait for a connection.", 1000.0, exclusive_least=True),
    platform_duration_key("conn-idle", "When endpoints close an idle connection.", 60000.0, exclusive_least=True),
    Key("multiplex", "whole", "Requests that a connection carries at once.", default=1, least=1, most=1_000_000),
)
PLATFORM_RULE_KEYS = (
    platform_duration_key("answer-slack", "A final answer still counts so long after the deadline.", 0.0),
    platform_duration_key("ask-within", "The list has to be asked for this often.", 10000.0, exclusive_least=True),
    platform_duration_key("stop-sending-within", "The grace for drains.", 0.0),
    Key(
        "cold-share",
        "number",
        "An endpoint starts with this share of its capacity.",
        default=1.0,
        least=0.0,
        most=1.0,
        exclusive_least=True,
    ),
    platform_duration_key("cold", "And has all of it after this.", 0.0),
    Key(
        "overload-factor",
        "number",
        "This multiple of its capacity ...",
        default=3.0,
        least=0.0,
        most=1e6,
        exclusive_least=True,
    ),
    platform_duration_key("fall", "... for so long pushes a cold endpoint over.", 2000.0, exclusive_least=True),
)
PLATFORM_PRICE_KEYS = tuple(
    price_key(name, doc)
    for name, doc in (
        ("waste", "Work that served no answer."),
        ("late-fail", "Worth that ended unserved after its aim."),
        ("cross-zone", "Attempts that cross zones."),
        ("probe", "Probes."),
        ("peer", "Peer bytes."),
        ("connection", "Open connections."),
        ("handshake", "Handshakes."),
    )
)
TENANT_KEYS = (
    Key("name", "text", "The tenant's name.", required=True),
    Key("quota-per-s", "number", "What it may use of the service.", "1/s", required=True, least=0.0, most=1e12),
    fraction_key("portion", "Its part of the whole."),
)
PLATFORM_SETTING_KEYS = (
    Key("classes", "tables", "Classes of request.", required=True, inner=PLATFORM_CLASS_KEYS, allow_unknown=True),
    Key("limits", "table", "What the deployment permits.", default={}, inner=PLATFORM_LIMIT_KEYS, allow_unknown=True),
    Key("prices", "table", "Points taken off.", default={}, inner=PLATFORM_PRICE_KEYS, allow_unknown=True),
    Key("rules", "table", "Figures of the four rules.", default={}, inner=PLATFORM_RULE_KEYS, allow_unknown=True),
    Key("realms", "tables", "Tenants.", default=(), inner=TENANT_KEYS, allow_unknown=True),
    Key("group-size", "whole", "Sidecars of this tier.", default=1, least=1, most=10_000_000),
    Key("me", "whole", "This one's number among them.", default=0, least=0, most=10_000_000),
    Key("zone", "whole", "The number of its zone.", default=0, least=0, most=1_000_000),
    Key("zones", "texts", "The names of zones.", default=()),
    Key("registry-mode", "choice", "How the list is kept up with.", default="pushed", choices=("pushed", "on_request")),
    Key("value-by", "choice", "What a class's value is counted for.", default="request", choices=("request", "work")),
    fraction_key("over-share-worth", "Worth of a request beyond its tenant's share.", 1.0),
    platform_duration_key("granularity", "Least time between two batches of events.", 1.0),
    Key("report", "any", "Load reports."),
    Key("family-info", "any", "Facts of this kind of service."),
    Key("weights", "any", "How sizes are told."),
)
#: Keys of the platform file that this sidecar ignores without a finding.
IGNORED_PLATFORM_KEYS = frozenset(
    {
        "clients",
        "family",
        "goal",
        "kinds",
        "stage",
        "tiers",
        "cores",
        "cpu-us-per-request",
        "cpu-us-per-s",
        "max-open",
        "moves",
        "origin",
        "registry-mode",
        "name",
        "peer_listen",
        "peers",
        "peers_all",
        "passes-deadline",
        "seq",
        "whole",
        "front",
        "chain",
    }
)
PLATFORM_KEYS = (
    Key("listen", "address", "Where the application connects; LB_LISTEN comes first.", required=True),
    Key("discovery", "address", "Discovery; LB_DISCOVERY comes first at the start.", required=True),
    Key("admin_addr", "address", "Where operators call; LB_ADMIN_ADDR comes first."),
    Key("seed", "text", "For random numbers, hexadecimal.", default="0"),
    Key(
        "limits",
        "table",
        "What the process may use.",
        default={},
        allow_unknown=True,
        inner=(
            Key("sockets", "whole", "Descriptors it may hold.", default=1024, least=41, most=2**20),
            Key("memory_mb", "number", "Memory it may use.", "MB", least=1.0, most=2.0**20),
        ),
    ),
    Key("known", "any", "The list of endpoints as last held."),
    Key(
        "settings", "table", "The platform's settings.", required=True, inner=PLATFORM_SETTING_KEYS, allow_unknown=True
    ),
)
