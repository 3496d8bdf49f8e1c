"""Checks of complete configuration files. The config tool, startup and SIGHUP reloads use the same ones. No I/O."""

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
    """The result of checking one file."""

    format: Format
    values: dict[str, Any] | None
    """The parsed values, without defaults. None if the file is not valid TOML or JSON."""
    clean: dict[str, Any]
    """The values with defaults filled in, and None in place of each invalid one. Empty if nothing was checked."""
    findings: list[Finding]

    @property
    def errors(self) -> list[Finding]:
        """The findings of severity ``error``, without the warnings."""
        return errors(self.findings)


def guess_format(data: bytes) -> Format:
    """Return the format that a file appears to have: the platform file is a JSON object."""
    return "platform" if data.lstrip(b"\xef\xbb\xbf \t\r\n").startswith(b"{") else "operator"


def check(data: bytes, format: Format, other_listeners: dict[Address, str] | None = None) -> Report:
    """Check a file of the given format. ``other_listeners`` is passed on to :func:`check_operator`."""
    return check_platform(data) if format == "platform" else check_operator(data, other_listeners)


def check_operator(data: bytes, other_listeners: dict[Address, str] | None = None) -> Report:
    """Check the operator file.

    Args:
        data: Content of the file.
        other_listeners: Addresses that services of other files listen on, with the names that findings use for them.
    """
    values, findings = parse_toml(data)
    if values is None:
        return Report("operator", None, {}, findings)
    if version := check_version(values):
        # Keys differ between versions, so checking them against this version would only produce misleading findings.
        return Report("operator", values, {}, [version])
    clean, findings = shape(values, model.OPERATOR_KEYS)
    for name, service in (clean.get("services") or {}).items():
        raw_service = values["services"][name]
        if (
            isinstance(raw_service, dict)
            and service is not None
            and not raw_service.keys() & {"endpoints", "discovery"}
        ):
            findings.append(
                Finding(
                    "ZC228",
                    ("services", name),
                    "neither endpoints nor discovery is told",
                    'write endpoints = ["127.0.0.1:9001"]',
                )
            )
    findings += relations.check_operator_file(clean, other_listeners)
    return Report("operator", values, clean, findings)


def check_version(values: dict[str, Any]) -> Finding | None:
    """Return a finding if the file is written for a newer or older version than this sidecar reads, else None."""
    version = values.get("version")
    if type(version) is not int:
        return None  # missing or of the wrong type: shape() reports it
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
    """Check the platform's configuration file."""
    values, findings = parse_json(data)
    if values is None:
        return Report("platform", None, {}, findings)
    clean, shape_findings = shape(values, model.PLATFORM_KEYS, allow_unknown=True)
    findings += shape_findings
    findings += relations.check_platform_file(clean)
    return Report("platform", values, clean, findings)
