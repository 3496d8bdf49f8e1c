"""The operator file as typed settings, for a file that its check has passed."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from .. import interface
from ..core.protocol import Address, Entry, read_address
from ..jsonrpc.codec import parse_json_pointer
from ..jsonrpc.connection import ErrorCodeMapping
from ..jsonrpc.rules import Method, Rules

Clean = dict[str, Any]
#: Of the four rules, where no platform tells them.
RULES = interface.Rules(drain_grace=1000.0, ask_within=10000.0, cold_share=0.2, cold_for=10000.0)
STREAMS = 64  # calls that a connection carries before another one is opened


@dataclass(frozen=True, slots=True)
class JsonRpcService:
    """One service, whole and checked."""

    name: str
    listen: Address
    settings: interface.Settings
    zones: tuple[str, ...]
    endpoints: tuple[Entry, ...]
    """Empty where ``discovery`` is asked."""
    discovery: Address | None
    rules: Rules
    error_codes: ErrorCodeMapping


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """What the operator file tells."""

    services: Mapping[str, JsonRpcService]
    sockets: int
    shares: interface.Shares
    """For the platform's service, too."""


def build(clean: Clean) -> OperatorConfig:
    """From cleaned values without an error."""
    shares = interface.Shares(**clean["shares"])
    services = {name: service(name, told, shares) for name, told in clean["services"].items()}
    return OperatorConfig(services, clean["limits"]["sockets"], shares)


def service(name: str, told: Clean, shares: interface.Shares) -> JsonRpcService:
    classes = tuple(request_class(n, c) for n, c in told["classes"].items())
    numbers = {c.name: n for n, c in enumerate(classes)}
    zones, entries = endpoints(told)
    default = told["default_class"]
    rules = Rules(
        told["framing"],
        methods(told, numbers),
        None if default is None else numbers[default],
        told["max_text_kb"] << 10,
        told["max_clients"],
    )
    discovery = read_address(told["discovery"]) if told["discovery"] is not None else None
    return JsonRpcService(
        name,
        read_address(told["listen"]),
        settings(told, classes, zones, shares),
        zones,
        entries,
        discovery,
        rules,
        ErrorCodeMapping(frozenset(told["never_ran_errors"]), frozenset(told["failure_errors"])),
    )


def request_class(name: str, told: Clean) -> interface.RequestClass:
    return interface.RequestClass(
        aim=told["aim_ms"],
        deadline=told["deadline_ms"],
        value=told["value"],
        repeat=told["repeat"],
        window=told["window_ms"] or 0.0,
        group=told["group"] or "all",
        name=name,
    )


def methods(told: Clean, numbers: Mapping[str, int]) -> dict[str, Method]:
    """By each name that a method goes by."""
    found: dict[str, Method] = {}
    for name, one in told["methods"].items():
        method = Method(numbers[one["class"]], parse_json_pointer(one["key"]) if one["key"] is not None else ())
        for known in (name, *one["aliases"]):
            found[known] = method
    return found


def endpoints(told: Clean) -> tuple[tuple[str, ...], tuple[Entry, ...]]:
    """The names of the zones, and the endpoints that are listed."""
    rows = told["endpoints"] or ()
    zones = tuple(dict.fromkeys([told["zone"], *told["zones"], *(row["zone"] for row in rows)]))
    entries = []
    for row in rows:
        to = read_address(row["address"])
        listed = interface.ListedEndpoint(
            f"{to[0]}:{to[1]}", size=row["weight"], zone=zones.index(row["zone"]), cell=row["cell"]
        )
        entries.append((listed, to))
    return zones, tuple(entries)


def settings(
    told: Clean, classes: tuple[interface.RequestClass, ...], zones: tuple[str, ...], shares: interface.Shares
) -> interface.Settings:
    limits = interface.Limits(
        max_attempts=told["max_attempts"],
        cancel=True,
        second_copies=told["copies"],
        retry_after=told["max_retry_after_ms"] > 0.0,
        max_retry_after=told["max_retry_after_ms"],
        connect_timeout=told["connect_timeout_ms"],
        connection_idle=told["connection_idle_ms"],
        streams_per_connection=STREAMS,
    )
    return interface.Settings(
        classes=classes,
        limits=limits,
        rules=RULES,
        group_size=told["instances"],
        me=told["number"],
        zone=zones.index(told["zone"]),
        discovery="on_request" if told["discovery"] is not None else "pushed",
        shares=shares,
    )
