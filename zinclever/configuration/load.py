"""Reads and checks the configuration files that environment variables point to."""

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

PLATFORM_VARIABLE, OPERATOR_VARIABLE = "LB_CONFIG", "ZINCLEVER_OPERATOR"

#: Returns the content of the file at a path, or raises UnreadableFileError.
FileReader = Callable[[str], bytes]


class ConfigError(Exception):
    """The configuration is missing or invalid. The message is a single line."""


def read(env: Mapping[str, str], file_reader: FileReader = read_file) -> tuple[Config | None, OperatorConfig | None]:
    """Read and check both files. The platform file is optional if there is an operator file.

    Raises:
        ConfigError: A file is missing or invalid. The message names the file, the key, its line and the reason.
    """
    operator_path = env.get(OPERATOR_VARIABLE)
    config = read_platform(env, file_reader) if env.get(PLATFORM_VARIABLE) or not operator_path else None
    if not operator_path:
        return config, None
    # Imported only when needed, to save memory in sidecars that have just a platform file.
    from . import operator

    data = read_bytes(OPERATOR_VARIABLE, operator_path, file_reader)
    report = check_operator(data, {config.listen: f"{PLATFORM_VARIABLE}: listen"} if config is not None else None)
    raise_on_errors(OPERATOR_VARIABLE, operator_path, data, report)
    operator_config = operator.build(report.clean)
    if config is not None:
        config = replace(config, settings=replace(config.settings, shares=operator_config.shares))
    return config, operator_config


def read_platform(env: Mapping[str, str], file_reader: FileReader) -> Config:
    """Read the platform file. Addresses from the environment take precedence over those in the file."""
    path = env.get(PLATFORM_VARIABLE)
    if not path:
        raise ConfigError(f"{PLATFORM_VARIABLE} is not set: it names the configuration file")
    data = read_bytes(PLATFORM_VARIABLE, path, file_reader)
    report = check_platform(data)
    # An address that is set in the environment may be absent or invalid in the file.
    from_environment: dict[Path, str | None] = {
        ("listen",): env.get("LB_LISTEN"),
        ("discovery",): env.get("LB_DISCOVERY"),
    }
    remaining = [f for f in report.findings if not (f.code in ("ZC111", "ZC116") and from_environment.get(f.path))]
    report = Report(report.format, report.values, report.clean, remaining)
    raise_on_errors(PLATFORM_VARIABLE, path, data, report)
    assert report.values is not None
    try:
        return build(report.values, report.clean, env)
    except (LookupError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{PLATFORM_VARIABLE}: {path}: {error}") from error


def read_bytes(variable: str, path: str, file_reader: FileReader) -> bytes:
    """Return a file's content, or raise ConfigError with the name of the variable that points to it."""
    try:
        return file_reader(path)
    except UnreadableFileError as error:
        raise ConfigError(f"{variable}: {error}") from error


def raise_on_errors(variable: str, path: str, data: bytes, report: Report) -> None:
    """Raise ConfigError if the report contains errors.

    The message describes the first error in the order of the file and counts the others.
    """
    errors = report.errors
    if not errors:
        return
    # Imported only on failure: locating a finding takes a parser that a running sidecar never needs.
    from .positions import Positions

    positions = Positions(data, report.format) if report.values is not None else None
    placed = sorted((positions.place(f) if positions else f.at or (1, 1), n) for n, f in enumerate(errors))
    (line, _), first = placed[0]
    more = f" (and {len(errors) - 1} more: zinclever config check {path})" if len(errors) > 1 else ""
    raise ConfigError(f"{variable}: {path}: line {line}: {format_finding(errors[first])}{more}")


def format_finding(finding: Finding) -> str:
    """Format a finding without its position, on one line."""
    key = f"{finding.key}: " if finding.path else ""
    instead = f"; {finding.instead}" if finding.instead else ""
    return f"{finding.code}: {key}{finding.reason}{instead}".replace("\n", " ")
