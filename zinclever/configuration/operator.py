"""Typed settings built from an operator file that passed its check."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from .. import interface
from ..core.protocol import Address, Entry, read_address
from ..jsonrpc.codec import parse_json_pointer
from ..jsonrpc.connection import ErrorCodeMapping
from ..jsonrpc.rules import Method, Rules

#: A table with defaults filled in, whose check found no error.
Clean = dict[str, Any]
#: Rules for services of the operator file, which has no keys for them.
DEFAULT_RULES = interface.Rules(drain_grace=1000.0, ask_within=10000.0, cold_share=0.2, cold_for=10000.0)
STREAMS_PER_CONNECTION = 64  # concurrent calls on a connection before another one is opened


@dataclass(frozen=True, slots=True)
class JsonRpcService:
    """Validated settings of one JSON-RPC service."""

    name: str
    listen: Address
    settings: interface.Settings
    zones: tuple[str, ...]
    endpoints: tuple[Entry, ...]
    """Empty if ``discovery`` is set."""
    discovery: Address | None
    rules: Rules
    error_codes: ErrorCodeMapping


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """Settings from the operator file."""

    services: Mapping[str, JsonRpcService]
    sockets: int
    shares: interface.Shares
    """Limits shared by all instances. They apply to the platform's service as well."""


def build(clean: Clean) -> OperatorConfig:
    """Build the settings from the values of a :class:`~zinclever.configuration.check.Report` without errors."""
    shares = interface.Shares(**clean["shares"])
    services = {name: build_service(name, values, shares) for name, values in clean["services"].items()}
    return OperatorConfig(services, clean["limits"]["sockets"], shares)


def build_service(name: str, values: Clean, shares: interface.Shares) -> JsonRpcService:
    """Build the settings of one service."""
    classes = tuple(build_request_class(n, c) for n, c in values["classes"].items())
    class_numbers = {c.name: n for n, c in enumerate(classes)}
    zones, entries = build_endpoints(values)
    default_class = values["default_class"]
    rules = Rules(
        values["framing"],
        build_methods(values, class_numbers),
        None if default_class is None else class_numbers[default_class],
        values["max_text_kb"] << 10,
        values["max_clients"],
    )
    discovery = read_address(values["discovery"]) if values["discovery"] is not None else None
    return JsonRpcService(
        name,
        read_address(values["listen"]),
        build_settings(values, classes, zones, shares),
        zones,
        entries,
        discovery,
        rules,
        ErrorCodeMapping(frozenset(values["never_ran_errors"]), frozenset(values["failure_errors"])),
    )


def build_request_class(name: str, values: Clean) -> interface.RequestClass:
    """Build a request class."""
    return interface.RequestClass(
        aim=values["aim_ms"],
        deadline=values["deadline_ms"],
        value=values["value"],
        repeat=values["repeat"],
        window=values["window_ms"] or 0.0,
        group=values["group"] or "all",
        name=name,
    )


def build_methods(values: Clean, class_numbers: Mapping[str, int]) -> dict[str, Method]:
    """Return the methods of a service by name; a method is listed under its own name and each of its aliases."""
    methods_by_name: dict[str, Method] = {}
    for name, method_values in values["methods"].items():
        method = Method(
            class_numbers[method_values["class"]],
            parse_json_pointer(method_values["key"]) if method_values["key"] is not None else (),
        )
        for any_name in (name, *method_values["aliases"]):
            methods_by_name[any_name] = method
    return methods_by_name


def build_endpoints(values: Clean) -> tuple[tuple[str, ...], tuple[Entry, ...]]:
    """Return the names of a service's zones, and its listed endpoints with their addresses."""
    rows = values["endpoints"] or ()
    zones = tuple(dict.fromkeys([values["zone"], *values["zones"], *(row["zone"] for row in rows)]))
    entries = []
    for row in rows:
        address = read_address(row["address"])
        listed = interface.ListedEndpoint(
            f"{address[0]}:{address[1]}", size=row["weight"], zone=zones.index(row["zone"]), cell=row["cell"]
        )
        entries.append((listed, address))
    return zones, tuple(entries)


def build_settings(
    values: Clean, classes: tuple[interface.RequestClass, ...], zones: tuple[str, ...], shares: interface.Shares
) -> interface.Settings:
    """Build the load balancer's settings for a service."""
    limits = interface.Limits(
        max_attempts=values["max_attempts"],
        cancel=True,
        second_copies=values["copies"],
        retry_after=values["max_retry_after_ms"] > 0.0,
        max_retry_after=values["max_retry_after_ms"],
        connect_timeout=values["connect_timeout_ms"],
        connection_idle=values["connection_idle_ms"],
        streams_per_connection=STREAMS_PER_CONNECTION,
    )
    return interface.Settings(
        classes=classes,
        limits=limits,
        rules=DEFAULT_RULES,
        group_size=values["instances"],
        me=values["number"],
        zone=zones.index(values["zone"]),
        discovery="on_request" if values["discovery"] is not None else "pushed",
        shares=shares,
    )
