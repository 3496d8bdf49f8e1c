"""Both files, checked whole: the one judge that the tool, the start and SIGHUP ask. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Literal

from ..core.protocol import Address
from . import model, relations
from .findings import Finding, errors
from .reading import parse_json, parse_toml
from .shape import shape

Format = Literal["operator", "platform"]


@dataclass(frozen=True, slots=True)
class Report:
    """What came of a check."""

    format: Format
    values: dict[str, Any] | None
    """As the file holds them; None where it is no TOML or JSON."""
    clean: dict[str, Any]
    """With defaults filled in; None where a value is wrong."""
    findings: list[Finding]

    @property
    def errors(self) -> list[Finding]:
        return errors(self.findings)


def guess_format(data: bytes) -> Format:
    """Which of the two files this is meant to be: the platform's is a JSON object."""
    return "platform" if data.lstrip(b"\xef\xbb\xbf \t\r\n").startswith(b"{") else "operator"


def check(data: bytes, format: Format, elsewhere: dict[Address, str] | None = None) -> Report:
    return check_platform(data) if format == "platform" else check_operator(data, elsewhere)


def check_operator(data: bytes, elsewhere: dict[Address, str] | None = None) -> Report:
    """The operator file. ``elsewhere``: what other files listen on, and the names to tell it by."""
    values, found = parse_toml(data)
    if values is None:
        return Report("operator", None, {}, found)
    if version := judge_version(values):
        # Keys of another version would only add findings that mean nothing.
        return Report("operator", values, {}, [version])
    clean, found = shape(values, model.OPERATOR)
    for name, service in (clean.get("services") or {}).items():
        told = values["services"][name]
        if isinstance(told, dict) and service is not None and not told.keys() & {"endpoints", "discovery"}:
            found.append(
                Finding(
                    "ZC228",
                    ("services", name),
                    "neither endpoints nor discovery is told",
                    'write endpoints = ["127.0.0.1:9001"]',
                )
            )
    found += relations.operator(clean, elsewhere)
    return Report("operator", values, clean, found)


def judge_version(values: dict[str, Any]) -> Finding | None:
    version = values.get("version")
    if type(version) is not int:
        return None  # missing, or of the wrong kind: told by its shape
    if version > model.VERSION:
        return Finding(
            "ZC120",
            ("version",),
            f"the file is of version {version}; this sidecar reads {model.VERSION}",
            "use a sidecar that reads it",
        )
    if version < model.VERSION:
        return Finding(
            "ZC121",
            ("version",),
            f"the file is of version {version}; this sidecar reads {model.VERSION}",
            "run: zinclever config migrate FILE",
        )
    return None


def check_platform(data: bytes) -> Report:
    """The platform's configuration."""
    values, found = parse_json(data)
    if values is None:
        return Report("platform", None, {}, found)
    clean, more = shape(values, model.PLATFORM, open=True)
    found += more
    found += relations.platform(clean)
    return Report("platform", values, clean, found)
