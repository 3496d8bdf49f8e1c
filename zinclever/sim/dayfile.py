"""Reads and writes a day as a TOML file; errors are reported with key, line and reason.

The schema is derived from :mod:`~zinclever.sim.model` and checked by the same code as the program's configuration.
"""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Iterator
from typing import Any, Literal, get_args, get_origin

import tomli_w

from ..configuration.findings import Finding, Path
from ..configuration.model import Key
from ..configuration.positions import Positions
from ..configuration.reading import parse_toml
from ..configuration.shape import shape
from .model import Day
from .troubles import FAULT_KINDS

VERSION = 1
MAX_VALUE = 1e9
FRACTION_SUFFIXES = ("share", "skew", "jitter", "honour", "saving", "rate")
"""Last words of the names of fields whose values lie between 0 and 1."""
NOT_FRACTIONS = ("rate",)
"""Fields of ``Day`` that are exempt from that rule: its rate is in requests per second."""


class DayError(Exception):
    """The file does not describe a valid day. The message has one line per error."""


# --- the schema ---


def table_keys(cls: type) -> tuple[Key, ...]:
    """Return the schema of the table for a dataclass of the model."""
    hints = typing.get_type_hints(cls)
    return tuple(key_for_field(field, hints[field.name], cls) for field in dataclasses.fields(cls))


def key_for_field(field: dataclasses.Field[Any], hint: Any, owner: type) -> Key:
    """Return the schema entry for one dataclass field, from its type, name and default."""
    name = field.name
    default: Any = field.default if field.default is not dataclasses.MISSING else None
    required = default is None and field.default_factory is dataclasses.MISSING
    if dataclasses.is_dataclass(hint):
        return Key(name, "table", "", default=None if required else {}, required=required, inner=table_keys(hint))  # type: ignore[arg-type]
    if get_origin(hint) is Literal:
        return Key(name, "choice", "", default=default, required=required, choices=get_args(hint))
    if get_origin(hint) is tuple:
        inner = get_args(hint)[0]
        if dataclasses.is_dataclass(inner):
            return Key(name, "tables", "", default=default, required=required, inner=table_keys(inner))  # type: ignore[arg-type]
        kinds: dict[type, Literal["texts", "wholes", "numbers"]] = {str: "texts", int: "wholes", float: "numbers"}
        return Key(name, kinds[inner], "", default=default, required=required, least=0.0, most=MAX_VALUE)
    if hint is str:
        return Key(name, "text", "", default=default, required=required)
    if hint is bool:
        return Key(name, "flag", "", default=default, required=required)
    is_fraction = name.rpartition("_")[2] in FRACTION_SUFFIXES and not (owner is Day and name in NOT_FRACTIONS)
    is_integer = hint is int
    return Key(
        name,
        "whole" if is_integer else "number",
        "",
        default=default,
        required=required,
        least=0.0,
        most=float(2**63 - 1) if name == "seed" else 1.0 if is_fraction else MAX_VALUE,
    )


def build(cls: type, clean: dict[str, Any]) -> Any:
    """Construct a model object from a table that matches the schema."""
    hints = typing.get_type_hints(cls)
    arguments: dict[str, Any] = {}
    for name, value in clean.items():
        hint = hints[name]
        if dataclasses.is_dataclass(hint):
            arguments[name] = build(hint, value)  # type: ignore[arg-type]
        elif get_origin(hint) is tuple and dataclasses.is_dataclass(get_args(hint)[0]):
            arguments[name] = tuple(v if not isinstance(v, dict) else build(get_args(hint)[0], v) for v in value)
        elif get_origin(hint) is tuple:
            arguments[name] = tuple(float(v) if get_args(hint)[0] is float else v for v in value)
        else:
            arguments[name] = float(value) if hint is float else value
    return cls(**arguments)


# --- constraints between fields ---


def check_relations(day: Day) -> Iterator[Finding]:
    """Yield each violated constraint between the fields of a day."""

    def finding(path: Path, reason: str) -> Finding:
        return Finding("ZC114", path, reason)

    if not day.sidecars or not day.endpoints or not 0.0 < day.seconds <= 36_000.0:
        yield finding(("seconds",), "a day needs at least one sidecar and one endpoint, and lasts at most 36,000 s")
    if not day.classes or sum(k.share for k in day.classes) <= 0.0:
        yield finding(("classes",), "a day needs at least one request class with a share above 0")
    if len({k.name for k in day.classes}) < len(day.classes):
        yield finding(("classes",), "two classes have the same name")
    if not day.zones.names:
        yield finding(("zones", "names"), "a day needs at least one zone")
    kinds = day.servers.kinds
    if not kinds or sum(k.share for k in kinds) <= 0.0:
        yield finding(("servers", "kinds"), "a day needs at least one kind of server with a share above 0")
    for number, kind in enumerate(kinds):
        if len(kind.speed) != 2 or not 0.0 < kind.speed[0] <= kind.speed[1]:
            yield finding(
                ("servers", "kinds", number, "speed"), "a speed is a range of positive numbers: [least, most]"
            )
        if not kind.cold_share or not kind.slots:
            yield finding(("servers", "kinds", number), "a server needs at least one slot and a cold_share above 0")
    for number, event in enumerate(day.troubles):
        location: Path = ("troubles", number)
        if event.kind not in FAULT_KINDS:
            yield finding(
                (*location, "kind"),
                f"{event.kind!r} is not a kind of fault; known kinds: {', '.join(sorted(FAULT_KINDS))}",
            )
        elif event.at_s > day.seconds:
            yield finding(
                (*location, "at_s"), f"the fault begins after the end of the day, which lasts {day.seconds:g} s"
            )
        elif event.zone and event.zone not in day.zones.names:
            yield finding((*location, "zone"), f"{event.zone!r} is not a zone of this day")


def read(data: bytes) -> Day:
    """Parse a day file.

    Raises:
        DayError: The file is invalid; the message lists all errors.
    """
    values, findings = parse_toml(data)
    if values is None:
        raise DayError("\n".join(f"line {f.at[0] if f.at else 1}: {f.reason}" for f in findings))
    version = values.pop("version", VERSION)
    if version != VERSION:
        raise DayError(f"version: this program reads {VERSION}, not {version!r}")
    clean, findings = shape(values, table_keys(Day))
    day = build(Day, clean) if not findings else None
    if day is not None:
        findings = list(check_relations(day))
    if day is None or findings:
        positions = Positions(data, "operator")
        messages = [f"{f.key}: {f.reason}{f'; {f.instead}' if f.instead else ''}" for f in findings]
        raise DayError(
            "\n".join(f"line {positions.place(f)[0]}: {text}" for f, text in zip(findings, messages, strict=True))
        )
    return day  # type: ignore[no-any-return]


def write(day: Day) -> bytes:
    """Return the day as TOML; :func:`read` restores an equal day from it."""
    return tomli_w.dumps({"version": VERSION, **to_plain(day)}).encode()


def to_plain(value: Any) -> Any:
    """Convert dataclasses to dictionaries and tuples to lists, recursively."""
    if dataclasses.is_dataclass(value):
        return {f.name: to_plain(getattr(value, f.name)) for f in dataclasses.fields(value)}
    return [to_plain(v) for v in value] if isinstance(value, tuple) else value
