"""Findings in the formats text, JSON, GitHub annotations and SARIF 2.1.0 (OASIS)."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

import orjson

from .. import __version__
from ..configuration.check import Report
from ..configuration.findings import CODES, Finding, dotted
from ..configuration.positions import Positions


class Placed(NamedTuple):
    """A finding with its file and position, and the positions and keys that it conflicts with."""

    file: str
    line: int
    column: int
    finding: Finding
    related: tuple[tuple[int, int, str], ...]


def place(file: str, data: bytes, report: Report) -> list[Placed]:
    """Return all findings of a file with their positions, in the order of the file."""
    positions = Positions(data, report.format) if report.values is not None else None
    placed = []
    for finding in report.findings:
        line, column = positions.place(finding) if positions else finding.at or (1, 1)
        related = tuple((*positions.position_of(path), dotted(path)) for path in finding.related) if positions else ()
        placed.append(Placed(file, line, column, finding, related))
    return sorted(placed, key=lambda p: (p.line, p.column, p.finding.code))


def as_text(placed: Sequence[Placed]) -> str:
    """Format findings as text, for people."""
    lines = []
    for p in placed:
        f = p.finding
        key = f"{f.key}: " if f.path else ""
        lines.append(f"{p.file}:{p.line}:{p.column}: {f.severity} {f.code}: {key}{f.reason}")
        lines += [f"    against line {line}: {key}" for line, _, key in p.related]
        if f.instead:
            lines.append(f"    {f.instead}")
    return "".join(f"{line}\n" for line in lines)


def as_json(placed: Sequence[Placed]) -> str:
    """Format findings as a JSON array."""
    items = [
        {
            "file": p.file,
            "line": p.line,
            "column": p.column,
            "code": p.finding.code,
            "severity": p.finding.severity,
            "key": p.finding.key,
            "reason": p.finding.reason,
            "instead": p.finding.instead,
            "related": [{"line": line, "column": column, "key": key} for line, column, key in p.related],
        }
        for p in placed
    ]
    return orjson.dumps(items, option=orjson.OPT_INDENT_2).decode() + "\n"


def as_github(placed: Sequence[Placed]) -> str:
    """Format findings as GitHub workflow commands, one for each finding."""

    def escaped(text: str) -> str:
        return text.replace("%", "%25").replace("\r", "%0D").replace("\n", "%0A")

    def in_property(text: str) -> str:
        return escaped(text).replace(":", "%3A").replace(",", "%2C")

    return "".join(
        f"::{p.finding.severity} file={in_property(p.file)},line={p.line},col={p.column},"
        f"title={p.finding.code}::{escaped(f'{p.finding.key}: {p.finding.reason}; {p.finding.instead}')}\n"
        for p in placed
    )


def as_sarif(placed: Sequence[Placed]) -> str:
    """Format findings as a SARIF log."""
    codes = sorted({p.finding.code for p in placed})
    rules = [
        {
            "id": code,
            "shortDescription": {"text": CODES[code].title},
            "fullDescription": {"text": CODES[code].explanation},
        }
        for code in codes
    ]
    results = [
        {
            "ruleId": p.finding.code,
            "ruleIndex": codes.index(p.finding.code),
            "level": p.finding.severity,
            "message": {"text": f"{p.finding.key}: {p.finding.reason}. {p.finding.instead}".strip()},
            "locations": [location(p.file, p.line, p.column)],
            "relatedLocations": [
                location(p.file, line, column) | {"message": {"text": key}} for line, column, key in p.related
            ],
        }
        for p in placed
    ]
    driver = {"name": "zinclever", "version": __version__, "rules": rules}
    log = {
        "version": "2.1.0",
        "$schema": "https://json.schemastore.org/sarif-2.1.0.json",
        "runs": [{"tool": {"driver": driver}, "results": results}],
    }
    return orjson.dumps(log, option=orjson.OPT_INDENT_2).decode() + "\n"


def location(file: str, line: int, column: int) -> dict[str, Any]:
    """Return a SARIF location."""
    return {
        "physicalLocation": {
            "artifactLocation": {"uri": file},
            "region": {"startLine": line, "startColumn": column},
        }
    }


FORMATS = {"text": as_text, "json": as_json, "github": as_github, "sarif": as_sarif}
