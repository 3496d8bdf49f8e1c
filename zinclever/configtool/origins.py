"""The effective settings of a file, each with the origin of its value."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from ..configuration.check import Report
from ..configuration.findings import Path, dotted
from ..configuration.positions import Positions

VARIABLES: dict[Path, str] = {("listen",): "LB_LISTEN", ("discovery",): "LB_DISCOVERY"}


def show(file: str, data: bytes, report: Report, env: Mapping[str, str]) -> str:
    """Return one line for each setting, with its key, value and origin."""
    positions = Positions(data, report.format)
    rows = []
    for path, value in leaves(report.clean, ()):
        variable = VARIABLES.get(path, "") if report.format == "platform" else ""
        if variable and env.get(variable):
            rows.append((dotted(path), repr(env[variable]), f"environment {variable}"))
        elif path in positions.first_positions:
            rows.append((dotted(path), format_value(value), f"{file}:{positions.first_positions[path][0]}"))
        elif value is not None:
            rows.append((dotted(path), format_value(value), "default"))
    width = max((len(key) for key, _, _ in rows), default=0)
    return "".join(f"{key:{width}} = {value}  # {origin}\n" for key, value, origin in rows)


def leaves(value: Any, path: Path) -> Iterator[tuple[Path, Any]]:
    """Yield each value that contains no others, with its path."""
    if isinstance(value, dict) and value:
        for name, inner in value.items():
            yield from leaves(inner, (*path, name))
    elif isinstance(value, list) and value:
        for n, inner in enumerate(value):
            yield from leaves(inner, (*path, n))
    else:
        yield path, value


def format_value(value: Any) -> str:
    """Format a value for display."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, tuple):
        return "[" + ", ".join(map(format_value, value)) + "]"
    return f"{value:g}" if isinstance(value, float) else repr(value)
