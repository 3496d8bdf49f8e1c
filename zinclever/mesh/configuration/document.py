"""A configuration of the operators: parsed, validated, and made into what requests are looked up in.

A text of JSON with ``Generation``, ``Routes`` and ``Services`` (tables by name) and ``Limits``. Fields that are not
known here are ignored. Errors are :class:`..errors.MeshError` with the path of the field.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import orjson
from schema import And, Optional, Or, Schema, SchemaError

from ..errors import MeshError

MAX_TEXT_BYTES = 16 << 20
MAX_INTEGER = 2**53

IDEMPOTENT, NON_IDEMPOTENT = "idempotent", "non_idempotent"

DEFAULT_MAX_HEADER_BYTES = 32768
DEFAULT_MAX_BODY_BYTES = 40 << 20
DEFAULT_HEADER_TIMEOUT = 3  # s
DEFAULT_IDLE_TIMEOUT = 15  # s
DEFAULT_HEALTH_PATH = "/health"
DEFAULT_MAX_CONNECTIONS = 100


def number_schema(minimum: float, maximum: float, is_exclusive: bool = False) -> Any:
    """A finite JSON number within bounds, without ``minimum`` itself if ``is_exclusive``; booleans are none."""

    def is_within(value: object) -> bool:
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
            return False
        return (minimum < value if is_exclusive else minimum <= value) and value <= maximum

    return And(is_within, error=f"must be a number {'above' if is_exclusive else 'from'} {minimum:g} to {maximum:g}")


NON_EMPTY_TEXT: Any = And(str, len, error="must be a text that is not empty")
PATH_PREFIX: Any = And(
    str, lambda path: path.startswith("/") and path.endswith("/"), error="must start and end with a slash"
)
WHOLE_NUMBER: Any = And(
    number_schema(0, MAX_INTEGER), lambda value: value == int(value), error="must be a whole number"
)

ROUTE = Schema(
    {
        "Authority": NON_EMPTY_TEXT,
        "PathPrefix": PATH_PREFIX,
        "RouteClass": Or(IDEMPOTENT, NON_IDEMPOTENT, error="must be 'idempotent' or 'non_idempotent'"),
        "DeadlineS": number_schema(0, 86400, is_exclusive=True),
        Optional("TargetLatencyS"): number_schema(0, 86400),
        Optional("Priority"): number_schema(-1e6, 1e6),
        Optional("MaxAttempts"): And(WHOLE_NUMBER, lambda value: value >= 1, error="must be a whole number from 1"),
        Optional("Target"): NON_EMPTY_TEXT,
        Optional("WeightedTargets"): And(
            [Schema({"Target": NON_EMPTY_TEXT, "Weight": number_schema(0, 1e9)}, ignore_extra_keys=True)],
            lambda parts: sum(part["Weight"] for part in parts) > 0,
            error="must hold a target with a weight above 0",
        ),
    },
    ignore_extra_keys=True,
)
SERVICE = Schema(
    {Optional("HealthPath"): str, Optional("MaxConns"): And(WHOLE_NUMBER, lambda value: value >= 1)},
    ignore_extra_keys=True,
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
    """In lower case."""
    prefix: str
    is_idempotent: bool
    """Its requests may run more than once."""
    deadline: float
    """s that a request is held at the longest."""
    latency_target: float
    """s within which an answer earns its full worth."""
    priority: float
    """0 is the highest rank."""
    max_attempts: int
    """Endpoints that one request may be sent to."""
    targets: tuple[tuple[str, float], ...]
    """Services and their weights; the weights add up to 1."""


@dataclass(frozen=True, slots=True)
class Service:
    """One service as it is in force."""

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
    max_header_bytes: float = float(DEFAULT_MAX_HEADER_BYTES)
    max_body_bytes: float = float(DEFAULT_MAX_BODY_BYTES)
    header_timeout: float = float(DEFAULT_HEADER_TIMEOUT)
    """s within which the head of a request is whole."""
    idle_timeout: float = float(DEFAULT_IDLE_TIMEOUT)
    """s after which an idle connection of a client is closed."""

    def find_route(self, host: str, path: str) -> Route | None:
        """The route of a request: of its host's the one whose prefix begins the path and is longest."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def parse(text: bytes, already_validated: bool = False) -> Configuration:
    """A configuration from its text. MeshError with the path of the field that is wrong.

    ``already_validated``: its fields were validated before it was committed, and aren't again: 2,000 routes take a second to
    validate and 10 ms to parse.
    """
    if len(text) > MAX_TEXT_BYTES:
        raise MeshError("CONFIG_TOO_LARGE", f"more than {MAX_TEXT_BYTES} bytes")
    try:
        document = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise MeshError("CONFIG_UNREADABLE", str(error)) from None
    if not isinstance(document, dict):
        raise MeshError("CONFIG_INVALID", "must be a table")
    if not already_validated:
        validate(WHOLE_NUMBER, document.get("Generation"), "Generation")
    raw_routes, raw_services = require_table(document, "Routes"), require_table(document, "Services")
    limits = document.get("Limits", {})
    if not already_validated:
        validate_fields(raw_routes, raw_services, limits)
    services = {name: parse_service(name, raw) for name, raw in raw_services.items()}
    routes = {name: parse_route(name, raw, services) for name, raw in raw_routes.items()}
    return Configuration(
        generation=int(document["Generation"]),
        routes=routes,
        services=services,
        routes_by_host=index_by_host(routes),
        max_header_bytes=float(limits.get("MaxHeaderBytes", DEFAULT_MAX_HEADER_BYTES)),
        max_body_bytes=float(limits.get("MaxBodyBytes", DEFAULT_MAX_BODY_BYTES)),
        header_timeout=float(limits.get("HeaderTimeoutS", DEFAULT_HEADER_TIMEOUT)),
        idle_timeout=float(limits.get("IdleTimeoutS", DEFAULT_IDLE_TIMEOUT)),
    )


def require_table(document: Mapping[str, Any], field: str) -> dict[str, Any]:
    """A table of the document. MeshError where it is missing or something else."""
    table = document.get(field)
    if not isinstance(table, dict):
        raise MeshError("CONFIG_INVALID", "must be a table by name", field)
    return table


def index_by_host(routes: Mapping[str, Route]) -> dict[str, list[Route]]:
    """The routes of each host, the longest prefix first. MeshError where two have the same host and prefix."""
    by_host: dict[str, list[Route]] = {}
    by_place: dict[tuple[str, str], str] = {}
    for route in routes.values():
        place = (route.host, route.prefix)
        if place in by_place:
            path = f"Routes.{route.name}.PathPrefix"
            raise MeshError("CONFIG_INVALID", f"the same place as {by_place[place]}", path)
        by_place[place] = route.name
        by_host.setdefault(route.host, []).append(route)
    for listed in by_host.values():
        listed.sort(key=lambda route: -len(route.prefix))
    return by_host


def validate(schema: Any, value: object, path: str) -> None:
    """MeshError with the path where a value doesn't fit a schema."""
    try:
        (schema if isinstance(schema, Schema) else Schema(schema)).validate(value)
    except SchemaError as error:
        descriptions = [str(text) for text in error.autos if text]
        key = next((text.partition("Key '")[2].partition("'")[0] for text in descriptions if "Key '" in text), "")
        messages = [str(text) for text in error.errors if text] or descriptions
        full_path = f"{path}.{key}" if key else path
        raise MeshError("CONFIG_INVALID", messages[-1] if messages else "is not valid", full_path) from None


def validate_fields(routes: Mapping[str, Any], services: Mapping[str, Any], limits: object) -> None:
    """MeshError where a field is not as it should be."""
    validate(LIMITS, limits, "Limits")
    for name, raw in services.items():
        validate(SERVICE, raw, f"Services.{name}")
    for name, raw in routes.items():
        validate(ROUTE, raw, f"Routes.{name}")


def parse_service(name: str, raw: Mapping[str, Any]) -> Service:
    """One service from its validated fields."""
    return Service(
        name=name,
        health_path=raw.get("HealthPath", DEFAULT_HEALTH_PATH),
        max_connections=int(raw.get("MaxConns", DEFAULT_MAX_CONNECTIONS)),
    )


def parse_route(name: str, raw: Mapping[str, Any], services: Mapping[str, Service]) -> Route:
    """One route from its validated fields. MeshError where it names no service, or an unknown one."""
    path = f"Routes.{name}"
    weighted = raw.get("WeightedTargets")
    if weighted is None and "Target" not in raw:
        raise MeshError("CONFIG_INVALID", "names no target", path)
    weights = [(part["Target"], float(part["Weight"])) for part in weighted] if weighted else [(raw["Target"], 1.0)]
    for target, _ in weights:
        if target not in services:
            raise MeshError("CONFIG_INVALID", f"names the unknown service {target!r}", f"{path}.Target")
    total = sum(weight for _, weight in weights)
    deadline = float(raw["DeadlineS"])
    return Route(
        name=name,
        host=raw["Authority"].lower(),
        prefix=raw["PathPrefix"],
        is_idempotent=raw["RouteClass"] == IDEMPOTENT,
        deadline=deadline,
        latency_target=float(raw.get("TargetLatencyS", 0.0)) or deadline,
        priority=float(raw.get("Priority", 0)),
        max_attempts=int(raw.get("MaxAttempts", 1)),
        targets=tuple((target, weight / total) for target, weight in weights if weight > 0),
    )
