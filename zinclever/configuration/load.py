"""The files that the environment names, read and checked for the program."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING

from .check import Report, check_operator, check_platform
from .findings import Finding, Path
from .platform import Config, build
from .reading import UnreadableFileError, read_file

if TYPE_CHECKING:
    from .operator import OperatorConfig

PLATFORM, OPERATOR = "LB_CONFIG", "ZINCLEVER_OPERATOR"

#: Gives the bytes of the file with that path, or raises Unreadable.
Files = Callable[[str], bytes]


class ConfigError(Exception):
    """The program can't start, or go on, with what it was told: one line."""


def read(env: Mapping[str, str], files: Files = read_file) -> tuple[Config | None, OperatorConfig | None]:
    """Both files. The platform's may be left out where there is an operator file.

    ConfigError names the file, the key, its line and the reason.
    """
    operator_path = env.get(OPERATOR)
    config = read_platform(env, files) if env.get(PLATFORM) or not operator_path else None
    if not operator_path:
        return config, None
    # Loaded where it is needed: the platform's sidecar lives in little memory.
    from . import operator

    data = read_bytes(OPERATOR, operator_path, files)
    report = check_operator(data, {config.listen: f"{PLATFORM}: listen"} if config is not None else None)
    refuse_errors(OPERATOR, operator_path, data, report)
    told = operator.build(report.clean)
    if config is not None:
        config = replace(config, settings=replace(config.settings, shares=told.shares))
    return config, told


def read_platform(env: Mapping[str, str], files: Files) -> Config:
    path = env.get(PLATFORM)
    if not path:
        raise ConfigError(f"{PLATFORM} is not set: it names the configuration file")
    data = read_bytes(PLATFORM, path, files)
    report = check_platform(data)
    # An address that the environment gives need not stand in the file.
    named: dict[Path, str | None] = {("listen",): env.get("LB_LISTEN"), ("discovery",): env.get("LB_DISCOVERY")}
    kept = [f for f in report.findings if not (f.code in ("ZC111", "ZC116") and named.get(f.path))]
    report = Report(report.format, report.values, report.clean, kept)
    refuse_errors(PLATFORM, path, data, report)
    assert report.values is not None
    try:
        return build(report.values, report.clean, env)
    except (LookupError, TypeError, ValueError, AttributeError) as wrong:
        raise ConfigError(f"{PLATFORM}: {path}: {wrong}") from wrong


def read_bytes(variable: str, path: str, files: Files) -> bytes:
    try:
        return files(path)
    except UnreadableFileError as wrong:
        raise ConfigError(f"{variable}: {wrong}") from wrong


def refuse_errors(variable: str, path: str, data: bytes, report: Report) -> None:
    """One line for the first error, in the order of the file, and how many more there are."""
    found = report.errors
    if not found:
        return
    # Loaded only on the way out: placing a finding takes a parser that a running sidecar never needs.
    from .positions import Positions

    positions = Positions(data, report.format) if report.values is not None else None
    placed = sorted((positions.place(f) if positions else f.at or (1, 1), n) for n, f in enumerate(found))
    (line, _), first = placed[0]
    more = f" (and {len(found) - 1} more: zinclever config check {path})" if len(found) > 1 else ""
    raise ConfigError(f"{variable}: {path}: line {line}: {told(found[first])}{more}")


def told(finding: Finding) -> str:
    """A finding without its place, on one line."""
    key = f"{finding.key}: " if finding.path else ""
    instead = f"; {finding.instead}" if finding.instead else ""
    return f"{finding.code}: {key}{finding.reason}{instead}".replace("\n", " ")
