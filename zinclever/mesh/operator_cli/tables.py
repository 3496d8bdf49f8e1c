"""Output of commands as text tables or as JSON."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Sequence

import orjson


def table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Format rows as a text table whose columns are as wide as their longest cell."""
    cells = [list(headings), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headings))]
    lines = ("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)) for row in cells)
    return "\n".join(line.rstrip() for line in lines)


def show(answer: object, json: bool, headings: Sequence[str] = (), rows: Iterable[Sequence[object]] = ()) -> None:
    """Print an answer as JSON or as a table of the given rows."""
    if json:
        print_json(answer)
    else:
        print(table(headings, rows))


def print_json(answer: object) -> None:
    """Print an answer as indented JSON with sorted keys."""
    sys.stdout.write(orjson.dumps(answer, option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS).decode() + "\n")
