"""A day as a TOML file: written whole, and read back with every fault told by key, line and reason.

The keys are made from :mod:`~zinclever.sim.model`, and held against it by the code that checks configurations.
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
FRACTION_SUFFIXES = (
    "share",
    "skew",
    "jitter",
    "honour",
    "saving",
    "rate",
)  # ends of the names of what lies between 0 and 1
NOT_FRACTIONS = ("rate",)  # but for the rate of a whole day


class DayError(Exception):
    """The file holds no day: one line for each thing that is wrong."""


# --- the model as keys ---


def table_keys(kind: type) -> tuple[Key, ...]:
    """The keys of a table that holds such an object."""
    hints = typing.get_type_hints(kind)
    return tuple(key_for_field(field, hints[field.name], kind) for field in dataclasses.fields(kind))


def key_for_field(field: dataclasses.Field[Any], hint: Any, owner: type) -> Key:
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


def build(kind: type, clean: dict[str, Any]) -> Any:
    """The object of a table that has passed."""
    hints = typing.get_type_hints(kind)
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
    return kind(**arguments)


# --- what the parts of a day must be to one another ---


def check_relations(day: Day) -> Iterator[Finding]:
    def finding(path: Path, reason: str) -> Finding:
        return Finding("ZC114", path, reason)

    if not day.sidecars or not day.endpoints or not 0.0 < day.seconds <= 36_000.0:
        yield finding(("seconds",), "a day takes a sidecar, an endpoint and 36,000 s at most")
    if not day.classes or sum(k.share for k in day.classes) <= 0.0:
        yield finding(("classes",), "a day takes requests of a class at least, with a share")
    if len({k.name for k in day.classes}) < len(day.classes):
        yield finding(("classes",), "two classes have one name")
    if not day.zones.names:
        yield finding(("zones", "names"), "a day takes a zone")
    kinds = day.servers.kinds
    if not kinds or sum(k.share for k in kinds) <= 0.0:
        yield finding(("servers", "kinds"), "a day takes servers of a kind at least, with a share")
    for number, kind in enumerate(kinds):
        if len(kind.speed) != 2 or not 0.0 < kind.speed[0] <= kind.speed[1]:
            yield finding(("servers", "kinds", number, "speed"), "a speed is a range above 0: [least, most]")
        if not kind.cold_share or not kind.slots:
            yield finding(("servers", "kinds", number), "a server has a slot, and some speed when it starts")
    for number, trouble in enumerate(day.troubles):
        at: Path = ("troubles", number)
        if trouble.kind not in FAULT_KINDS:
            yield finding((*at, "kind"), f"{trouble.kind!r} is no trouble; known: {', '.join(sorted(FAULT_KINDS))}")
        elif trouble.at_s > day.seconds:
            yield finding((*at, "at_s"), f"it begins after the day of {day.seconds:g} s")
        elif trouble.zone and trouble.zone not in day.zones.names:
            yield finding((*at, "zone"), f"{trouble.zone!r} is no zone of this day")


def read(data: bytes) -> Day:
    """The day that a file holds. DayError where it holds none, with every reason."""
    values, found = parse_toml(data)
    if values is None:
        raise DayError("\n".join(f"line {f.at[0] if f.at else 1}: {f.reason}" for f in found))
    version = values.pop("version", VERSION)
    if version != VERSION:
        raise DayError(f"version: this program reads {VERSION}, not {version!r}")
    clean, found = shape(values, table_keys(Day))
    day = build(Day, clean) if not found else None
    if day is not None:
        found = list(check_relations(day))
    if day is None or found:
        positions = Positions(data, "operator")
        messages = [f"{f.key}: {f.reason}{f'; {f.instead}' if f.instead else ''}" for f in found]
        raise DayError(
            "\n".join(f"line {positions.place(f)[0]}: {text}" for f, text in zip(found, messages, strict=True))
        )
    return day  # type: ignore[no-any-return]


def write(day: Day) -> bytes:
    """A file that :func:`read` makes the same day of."""
    return tomli_w.dumps({"version": VERSION, **to_plain(day)}).encode()


def to_plain(value: Any) -> Any:
    if dataclasses.is_dataclass(value):
        return {f.name: to_plain(getattr(value, f.name)) for f in dataclasses.fields(value)}
    return [to_plain(v) for v in value] if isinstance(value, tuple) else value
