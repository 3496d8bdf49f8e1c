"""A configuration of the operators: read, checked, and made into what requests are looked up in.

A text of JSON with ``Generation``, ``Routes`` and ``Services`` (tables by name) and ``Limits``. Fields that nobody here
knows pass.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

import orjson
from schema import And, Optional, Or, Schema, SchemaError

from ..errors import MeshError

MAX_TEXT_BYTES = 16 << 20  # bytes of a configuration
MAX_INTEGER = 2**53

IDEMPOTENT, NON_IDEMPOTENT = "idempotent", "non_idempotent"


def number_schema(least: float, most: float, above: bool = False) -> Any:
    """A finite JSON number within bounds; booleans are none."""

    def check(value: object) -> bool:
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
            return False
        return (least < value if above else least <= value) and value <= most

    return And(check, error=f"must be a number {'above' if above else 'from'} {least:g} to {most:g}")


NON_EMPTY_TEXT: Any = And(str, len, error="must be a text that is not empty")
PATH_PREFIX: Any = And(str, lambda p: p.startswith("/") and p.endswith("/"), error="must start and end with a slash")
WHOLE_NUMBER: Any = And(number_schema(0, MAX_INTEGER), lambda v: v == int(v), error="must be a whole number")

ROUTE = Schema(
    {
        "Authority": NON_EMPTY_TEXT,
        "PathPrefix": PATH_PREFIX,
        "RouteClass": Or(IDEMPOTENT, NON_IDEMPOTENT, error="must be 'idempotent' or 'non_idempotent'"),
        "DeadlineS": number_schema(0, 86400, above=True),
        Optional("TargetLatencyS"): number_schema(0, 86400),
        Optional("Priority"): number_schema(-1e6, 1e6),
        Optional("MaxAttempts"): And(WHOLE_NUMBER, lambda v: v >= 1, error="must be a whole number from 1"),
        Optional("Target"): NON_EMPTY_TEXT,
        Optional("WeightedTargets"): And(
            [Schema({"Target": NON_EMPTY_TEXT, "Weight": number_schema(0, 1e9)}, ignore_extra_keys=True)],
            lambda ws: sum(w["Weight"] for w in ws) > 0,
            error="must hold a target with a weight above 0",
        ),
    },
    ignore_extra_keys=True,
)
SERVICE = Schema(
    {Optional("HealthPath"): str, Optional("MaxConns"): And(WHOLE_NUMBER, lambda v: v >= 1)}, ignore_extra_keys=True
)
LIMITS = Schema(
    {
        Optional("MaxHeaderBytes"): number_schema(1, 2**40),
        Optional("MaxBodyBytes"): number_schema(0, 2**50),
        Optional("HeaderTimeoutS"): number_schema(0, 1e6),
        Optional("IdleTimeoutS"): number_schema(0, 1e6),
    },
    ignore_extra_keys=True,
)


@dataclass(frozen=True, slots=True)
class Route:
    """One route as it is in force."""

    name: str
    host: str
    prefix: str
    safe: bool
    """Its requests may run more than once."""
    deadline: float
    """s that a request is held at the longest."""
    latency_target: float
    """s within which an answer earns its full worth."""
    priority: float
    """0 is the highest rank."""
    max_attempts: int
    targets: tuple[tuple[str, float], ...]
    """Services and their weights; the weights add up to 1."""


@dataclass(frozen=True, slots=True)
class Service:
    name: str
    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class Configuration:
    """A whole configuration."""

    generation: int
    routes: dict[str, Route]
    services: dict[str, Service]
    routes_by_host: dict[str, list[Route]] = field(default_factory=dict)
    """By host in lower case: its routes, the longest prefix first."""
    max_header_bytes: float = 32768.0
    max_body_bytes: float = float(40 << 20)
    header_timeout: float = 3.0
    idle_timeout: float = 15.0

    def find_route(self, host: str, path: str) -> Route | None:
        """The route of a request: of its host's the one whose prefix begins the path and is longest."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def parse(text: bytes, is_checked: bool = False) -> Configuration:
    """A configuration from its text; MeshError with the path of the field where it is none. ``checked``: that was done
    before it was settled, and isn't done field by field again: 2,000 routes take a second to check, 10 ms to read."""
    if len(text) > MAX_TEXT_BYTES:
        raise MeshError("CONFIG_TOO_LARGE", f"more than {MAX_TEXT_BYTES} bytes")
    try:
        told = orjson.loads(text)
    except orjson.JSONDecodeError as wrong:
        raise MeshError("CONFIG_UNREADABLE", str(wrong)) from None
    if not isinstance(told, dict):
        raise MeshError("CONFIG_INVALID", "must be a table")
    if not is_checked:
        validate(WHOLE_NUMBER, told.get("Generation"), "Generation")
    routes, services = told.get("Routes"), told.get("Services")
    if not isinstance(routes, dict):
        raise MeshError("CONFIG_INVALID", "must be a table by name", "Routes")
    if not isinstance(services, dict):
        raise MeshError("CONFIG_INVALID", "must be a table by name", "Services")
    limits = told.get("Limits", {})
    if not is_checked:
        validate_fields(routes, services, limits)
    made = {n: parse_service(n, s) for n, s in services.items()}
    found = {n: parse_route(n, r, made) for n, r in routes.items()}
    hosts: dict[str, list[Route]] = {}
    places: dict[tuple[str, str], str] = {}
    for route in found.values():
        place = (route.host, route.prefix)
        if place in places:
            raise MeshError("CONFIG_INVALID", f"the same place as {places[place]}", f"Routes.{route.name}.PathPrefix")
        places[place] = route.name
        hosts.setdefault(route.host, []).append(route)
    for listed in hosts.values():
        listed.sort(key=lambda r: -len(r.prefix))
    return Configuration(
        int(told["Generation"]),
        found,
        made,
        hosts,
        *(
            float(limits.get(k, d))
            for k, d in (
                ("MaxHeaderBytes", 32768),
                ("MaxBodyBytes", 40 << 20),
                ("HeaderTimeoutS", 3),
                ("IdleTimeoutS", 15),
            )
        ),
    )


def validate(schema: Any, value: object, path: str) -> None:
    """Raise where a value doesn't fit, with its path."""
    try:
        (schema if isinstance(schema, Schema) else Schema(schema)).validate(value)
    except SchemaError as wrong:
        autos = [str(a) for a in wrong.autos if a]
        key = next((a.partition("Key '")[2].partition("'")[0] for a in autos if "Key '" in a), "")
        said = [str(e) for e in wrong.errors if e] or autos
        at = f"{path}.{key}" if key else path
        raise MeshError("CONFIG_INVALID", said[-1] if said else "is not valid", at) from None


def validate_fields(routes: dict[str, Any], services: dict[str, Any], limits: object) -> None:
    """Raise where a field is not as it should be."""
    validate(LIMITS, limits, "Limits")
    for name, told in services.items():
        validate(SERVICE, told, f"Services.{name}")
    for name, told in routes.items():
        validate(ROUTE, told, f"Routes.{name}")


def parse_service(name: str, told: dict[str, Any]) -> Service:
    return Service(name, told.get("HealthPath", "/health"), int(told.get("MaxConns", 100)))


def parse_route(name: str, told: dict[str, Any], services: dict[str, Service]) -> Route:
    path = f"Routes.{name}"
    weighted = told.get("WeightedTargets")
    if weighted is None and "Target" not in told:
        raise MeshError("CONFIG_INVALID", "names no target", path)
    pairs = [(w["Target"], float(w["Weight"])) for w in weighted] if weighted else [(told["Target"], 1.0)]
    for target, _ in pairs:
        if target not in services:
            raise MeshError("CONFIG_INVALID", f"names the unknown service {target!r}", f"{path}.Target")
    whole = sum(w for _, w in pairs)
    deadline = float(told["DeadlineS"])
    return Route(
        name,
        told["Authority"].lower(),
        told["PathPrefix"],
        told["RouteClass"] == IDEMPOTENT,
        deadline,
        float(told.get("TargetLatencyS", 0.0)) or deadline,
        float(told.get("Priority", 0)),
        int(told.get("MaxAttempts", 1)),
        tuple((t, w / whole) for t, w in pairs if w > 0),
    )
