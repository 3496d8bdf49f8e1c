"""Tables for people, JSON for programs."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Sequence
from typing import Any

import orjson


def table(heads: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Columns as wide as their longest endpoint_info."""
    endpoint_infos = [[str(h) for h in heads], *([str(c) for c in row] for row in rows)]
    widths = [max(len(row[n]) for row in endpoint_infos) for n in range(len(heads))]
    return "\n".join("  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip() for row in endpoint_infos)


def show(told: Any, json: bool, heads: Sequence[str] = (), rows: Iterable[Sequence[Any]] = ()) -> None:
    """Print an answer the way it was asked for."""
    if json:
        sys.stdout.write(orjson.dumps(told, option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS).decode() + "\n")
    else:
        print(table(heads, rows))
