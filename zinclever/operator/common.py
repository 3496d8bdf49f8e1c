"""What services of every protocol have: classes, endpoints, limits."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Literal, cast

from .. import interface as i
from ..core.protocol import Address, Entry, read_address
from .reader import Table

MOST_SPAN = 3_600_000.0  # ms: no request is waited for, and no key remembered, for more than an hour
MOST_ENDPOINTS = 10_000
MOST_CLASSES = 100
#: Of the four rules, where no platform tells them.
RULES = i.Rules(drain_grace=1000.0, ask_within=10000.0, cold_share=0.2, cold_for=10000.0)


@dataclass(frozen=True, slots=True)
class Common:
    """A service as its balancer and its source of endpoints see it."""

    settings: i.Settings
    zones: tuple[str, ...]
    endpoints: tuple[Entry, ...]
    """Empty where ``discovery`` is asked."""
    discovery: Address | None


def address(table: Table, key: str, text: str) -> Address:
    """An address that connections can be made to."""
    found = table.checked(key, text, read_address)
    if not 0 < found[1] < 65536:
        raise table.wrong(key, f"not a port: {found[1]}")
    return found


def read_classes(table: Table) -> tuple[i.RequestClass, ...]:
    classes = [read_class(name, one) for name, one in table.table("classes").tables()]
    if not 0 < len(classes) <= MOST_CLASSES:
        raise table.wrong("classes", f"takes 1 to {MOST_CLASSES} classes, not {len(classes)}")
    return tuple(classes)


def read_class(name: str, table: Table) -> i.RequestClass:
    repeat = table.one_of("repeat", ("idempotent", "deduplicated", "at_most_once"))
    keyed = repeat == "deduplicated"
    deadline = table.number("deadline_ms", 1.0, MOST_SPAN)
    aim = table.number("aim_ms", 1.0, MOST_SPAN)
    if aim > deadline:
        raise table.wrong("aim_ms", f"{aim:g} lies beyond deadline_ms, {deadline:g}")
    for key in ("window_ms", "group"):
        if table.has(key) and not keyed:
            raise table.wrong(key, f"is for deduplicated classes; this one is {repeat}")
    window = table.number("window_ms", 1.0, MOST_SPAN) if keyed else 0.0
    group = table.one_of("group", ("all", "zone", "cell")) if keyed else "all"
    value = table.number("value", 0.0, 1e6, 1.0)
    table.done()
    return i.RequestClass(
        aim=aim, deadline=deadline, value=value, window=window, name=name,
        repeat=cast(Any, repeat), group=cast(Literal["all", "zone", "cell"], group),
    )


def read_common(table: Table, classes: Sequence[i.RequestClass]) -> Common:
    """Everything but what the protocol says of itself."""
    if table.has("endpoints") == table.has("discovery"):
        raise table.wrong("endpoints", "takes either endpoints or discovery")
    zone = table.text("zone", "")
    discovery = address(table, "discovery", table.text("discovery")) if table.has("discovery") else None
    listed = read_endpoints(table) if discovery is None else []
    zones = list(dict.fromkeys([zone, *(z for z, _ in listed)]))
    if discovery is not None:
        zones = [str(z) for z in table.take("zones", "an array of texts", list, [])] or [zone]
        if zone and zone not in zones:
            raise table.wrong("zone", f"is none of zones: {zone!r}")
    entries = tuple(
        (listed._replace(zone=zones.index(where)), to)
        for where, (listed, to) in listed
    )
    limits = i.Limits(
        max_attempts=table.whole("max_attempts", 1, 16, 3),
        cancel=True,
        second_copies=True,
        retry_after=True,
        max_retry_after=table.number("max_retry_after_ms", 0.0, MOST_SPAN, 1000.0),
        connect_timeout=table.number("connect_timeout_ms", 1.0, RULES.drain_grace, 250.0),
        connection_idle=table.number("connection_idle_ms", 100.0, MOST_SPAN, 15000.0),
        streams_per_connection=64,
    )
    settings = i.Settings(
        classes=tuple(classes), limits=limits, rules=RULES,
        group_size=table.whole("instances", 1, 1_000_000, 1),
        zone=zones.index(zone) if zone in zones else 0,
        discovery="pushed" if discovery is None else "on_request",
    )
    return Common(settings, tuple(zones), entries, discovery)


def read_endpoints(table: Table) -> list[tuple[str, Entry]]:
    """The endpoints that are listed, each with its zone; those without one share a zone of their own."""
    told: list[Any] = table.take("endpoints", "an array", list)
    if not 0 < len(told) <= MOST_ENDPOINTS:
        raise table.wrong("endpoints", f"takes 1 to {MOST_ENDPOINTS} endpoints, not {len(told)}")
    found: dict[Address, tuple[str, Entry]] = {}
    for n, one in enumerate(told):
        if not isinstance(one, str | dict):
            raise table.wrong("endpoints", f"number {n + 1} is neither an address nor a table")
        values = {"address": one} if isinstance(one, str) else one
        inner = Table(values, (*table.path, "endpoints"), table.lines)
        to = address(inner, "address", inner.text("address"))
        if to in found:
            raise table.wrong("endpoints", f"{to[0]}:{to[1]} comes twice")
        zone = inner.text("zone", "")
        listed = i.Listed(
            f"{to[0]}:{to[1]}", size=inner.number("weight", 0.001, 1000.0, 1.0),
            cell=inner.whole("cell", 0, 1 << 31, 0),
        )
        inner.done()
        found[to] = zone, (listed, to)
    return list(found.values())
