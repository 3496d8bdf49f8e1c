"""Parsing and validation of operator configurations, and the route lookup on the parsed configuration.

A configuration is a JSON document with ``Generation``, ``Routes`` and ``Services`` (objects keyed by name) and
``Limits``. Unknown fields are ignored. Errors are :class:`..errors.MeshError` with the path of the field.
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
HIGHEST_PRIORITY = 0.0

IDEMPOTENT, NON_IDEMPOTENT = "idempotent", "non_idempotent"

DEFAULT_MAX_HEADER_BYTES = 32768
DEFAULT_MAX_BODY_BYTES = 40 << 20
DEFAULT_HEADER_TIMEOUT = 3  # s
DEFAULT_IDLE_TIMEOUT = 15  # s
DEFAULT_HEALTH_PATH = "/health"
DEFAULT_MAX_CONNECTIONS = 100


def number_schema(minimum: float, maximum: float, is_exclusive: bool = False) -> Any:
    """Return a schema for a finite JSON number within bounds, excluding ``minimum`` if ``is_exclusive``.

    Booleans are rejected.
    """

    def is_within(value: object) -> bool:
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
            return False
        return (minimum < value if is_exclusive else minimum <= value) and value <= maximum

    return And(is_within, error=f"must be a number {'above' if is_exclusive else 'from'} {minimum:g} to {maximum:g}")


NON_EMPTY_STRING: Any = And(str, len, error="must be a non-empty string")
PATH_PREFIX: Any = And(
    str, lambda path: path.startswith("/") and path.endswith("/"), error="must start and end with a slash"
)
WHOLE_NUMBER: Any = And(
    number_schema(0, MAX_INTEGER), lambda value: value == int(value), error="must be a whole number"
)

ROUTE_SCHEMA = Schema(
    {
        "Authority": NON_EMPTY_STRING,
        "PathPrefix": PATH_PREFIX,
        "RouteClass": Or(IDEMPOTENT, NON_IDEMPOTENT, error="must be 'idempotent' or 'non_idempotent'"),
        "DeadlineS": number_schema(0, 86400, is_exclusive=True),
        Optional("TargetLatencyS"): number_schema(0, 86400),
        Optional("Priority"): number_schema(-1e6, 1e6),
        Optional("MaxAttempts"): And(
            WHOLE_NUMBER, lambda value: value >= 1, error="must be a whole number of at least 1"
        ),
        Optional("Target"): NON_EMPTY_STRING,
        Optional("WeightedTargets"): And(
            [Schema({"Target": NON_EMPTY_STRING, "Weight": number_schema(0, 1e9)}, ignore_extra_keys=True)],
            lambda parts: sum(part["Weight"] for part in parts) > 0,
            error="must contain a target with a weight above 0",
        ),
    },
    ignore_extra_keys=True,
)
SERVICE_SCHEMA = Schema(
    {Optional("HealthPath"): str, Optional("MaxConns"): And(WHOLE_NUMBER, lambda value: value >= 1)},
    ignore_extra_keys=True,
)
LIMITS_SCHEMA = Schema(
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
    """A route of an active configuration."""

    name: str
    host: str
    """The authority in lower case, with its port if it has one."""
    prefix: str
    is_idempotent: bool
    """Whether its requests are idempotent and may be executed more than once."""
    deadline: float
    """Maximum duration of a request in seconds."""
    latency_target: float
    """Seconds within which a response has its full value."""
    priority: float
    """From 0, the highest priority; a lower value of the configuration counts as 0."""
    max_attempts: int
    """Maximum number of endpoints that one request is sent to."""
    targets: tuple[tuple[str, float], ...]
    """Services and their weights; the weights add up to 1."""


@dataclass(frozen=True, slots=True)
class Service:
    """A service of an active configuration."""

    name: str
    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class Configuration:
    """A parsed configuration."""

    generation: int
    routes: dict[str, Route]
    services: dict[str, Service]
    routes_by_host: dict[str, list[Route]] = field(default_factory=dict)
    """The routes of each authority (in lower case), longest prefix first."""
    max_header_bytes: float = float(DEFAULT_MAX_HEADER_BYTES)
    max_body_bytes: float = float(DEFAULT_MAX_BODY_BYTES)
    header_timeout: float = float(DEFAULT_HEADER_TIMEOUT)
    """Seconds within which the head of a request has to be received."""
    idle_timeout: float = float(DEFAULT_IDLE_TIMEOUT)
    """Seconds after which an idle client connection is closed."""

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path, or None.

        Args:
            host: The ``Host`` header in lower case. Routes whose authority has its port take precedence over those
                whose authority has none.
            path: The path of the request, without its query.
        """
        for authority in dict.fromkeys((host, host.partition(":")[0])):
            for route in self.routes_by_host.get(authority, ()):
                if path.startswith(route.prefix):
                    return route
        return None


def parse(text: bytes, already_validated: bool = False) -> Configuration:
    """Parse and validate a configuration.

    Args:
        text: JSON document in UTF-8.
        already_validated: Skips the validation of fields, which was done before the configuration was committed. 2,000
            routes take a second to validate and 10 ms to parse.

    Raises:
        MeshError: The text is invalid; the error has the path of the field.
    """
    if len(text) > MAX_TEXT_BYTES:
        raise MeshError("CONFIG_TOO_LARGE", f"more than {MAX_TEXT_BYTES} bytes")
    try:
        document = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise MeshError("CONFIG_UNREADABLE", str(error)) from None
    if not isinstance(document, dict):
        raise MeshError("CONFIG_INVALID", "must be a JSON object")
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
    """Return an object of the document.

    Raises:
        MeshError: The field is missing or is not an object.
    """
    table = document.get(field)
    if not isinstance(table, dict):
        raise MeshError("CONFIG_INVALID", "must be an object keyed by name", field)
    return table


def index_by_host(routes: Mapping[str, Route]) -> dict[str, list[Route]]:
    """Return the routes of each host, longest prefix first.

    Raises:
        MeshError: Two routes have the same host and prefix.
    """
    by_host: dict[str, list[Route]] = {}
    name_by_match: dict[tuple[str, str], str] = {}
    for route in routes.values():
        match = (route.host, route.prefix)
        if match in name_by_match:
            path = f"Routes.{route.name}.PathPrefix"
            raise MeshError("CONFIG_INVALID", f"same authority and prefix as route {name_by_match[match]}", path)
        name_by_match[match] = route.name
        by_host.setdefault(route.host, []).append(route)
    for host_routes in by_host.values():
        host_routes.sort(key=lambda route: -len(route.prefix))
    return by_host


def validate(schema: Any, value: object, path: str) -> None:
    """Validate a value against a schema.

    Raises:
        MeshError: The value does not match; the error has the path of the field.
    """
    try:
        (schema if isinstance(schema, Schema) else Schema(schema)).validate(value)
    except SchemaError as error:
        descriptions = [str(text) for text in error.autos if text]
        key = next((text.partition("Key '")[2].partition("'")[0] for text in descriptions if "Key '" in text), "")
        messages = [str(text) for text in error.errors if text] or descriptions
        full_path = f"{path}.{key}" if key else path
        raise MeshError("CONFIG_INVALID", messages[-1] if messages else "is not valid", full_path) from None


def validate_fields(routes: Mapping[str, Any], services: Mapping[str, Any], limits: object) -> None:
    """Validate the fields of all routes, all services and the limits.

    Raises:
        MeshError: A field is invalid.
    """
    validate(LIMITS_SCHEMA, limits, "Limits")
    for name, raw in services.items():
        validate(SERVICE_SCHEMA, raw, f"Services.{name}")
    for name, raw in routes.items():
        validate(ROUTE_SCHEMA, raw, f"Routes.{name}")


def parse_service(name: str, raw: Mapping[str, Any]) -> Service:
    """Build a service from its validated fields."""
    return Service(
        name=name,
        health_path=raw.get("HealthPath", DEFAULT_HEALTH_PATH),
        max_connections=int(raw.get("MaxConns", DEFAULT_MAX_CONNECTIONS)),
    )


def parse_route(name: str, raw: Mapping[str, Any], services: Mapping[str, Service]) -> Route:
    """Build a route from its validated fields.

    Raises:
        MeshError: The route has no target, or a target is not a configured service.
    """
    path = f"Routes.{name}"
    weighted = raw.get("WeightedTargets")
    if weighted is None and "Target" not in raw:
        raise MeshError("CONFIG_INVALID", "has no Target or WeightedTargets", path)
    weights = [(part["Target"], float(part["Weight"])) for part in weighted] if weighted else [(raw["Target"], 1.0)]
    for target, _ in weights:
        if target not in services:
            raise MeshError("CONFIG_INVALID", f"unknown service {target!r}", f"{path}.Target")
    total = sum(weight for _, weight in weights)
    deadline = float(raw["DeadlineS"])
    return Route(
        name=name,
        host=raw["Authority"].lower(),
        prefix=raw["PathPrefix"],
        is_idempotent=raw["RouteClass"] == IDEMPOTENT,
        deadline=deadline,
        latency_target=float(raw.get("TargetLatencyS", 0.0)) or deadline,
        priority=max(HIGHEST_PRIORITY, float(raw.get("Priority", HIGHEST_PRIORITY))),
        max_attempts=int(raw.get("MaxAttempts", 1)),
        targets=tuple((target, weight / total) for target, weight in weights if weight > 0),
    )
