"""Reads configuration files of bounded size and parses them strictly. The only I/O of this package."""

from __future__ import annotations

import contextlib
import json
import os
import re
import stat
from typing import Any

from .findings import Finding

MAX_FILE_SIZE = 4 << 20  # bytes: enough for a known list of some twenty thousand endpoints
BOM = b"\xef\xbb\xbf"
_POSITION = re.compile(r"\(at line (\d+), column (\d+)\)")
_AT_END = "(at end of document)"
MAX_READ_ATTEMPTS = 3  # for a file that changes during the read


class UnreadableFileError(Exception):
    """The file is missing, inaccessible, too large, not a regular file, or changes while it is read."""


def read_file(path: str) -> bytes:
    """Return the content of a regular file as a consistent snapshot.

    Programs that update a file in use should replace it by a rename.

    Raises:
        UnreadableFileError: The path is missing, a directory, a pipe or a loop of symbolic links, or the file is too
            large or keeps changing while it is read.
    """
    for _ in range(MAX_READ_ATTEMPTS):
        try:
            data = read_snapshot(path)
        except OSError as error:
            raise UnreadableFileError(f"{path}: {error.strerror or error}") from error
        if data is not None:
            return data
    raise UnreadableFileError(f"{path}: it changes while it is read; replace it by a rename")


def read_snapshot(path: str) -> bytes | None:
    """Return the content of a file, or None if it changed during the read. Never blocks on a pipe."""
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    with contextlib.closing(os.fdopen(descriptor, "rb")) as file:
        before = os.fstat(descriptor)
        if not stat.S_ISREG(before.st_mode):
            kind = "a folder" if stat.S_ISDIR(before.st_mode) else "no ordinary file"
            raise UnreadableFileError(f"{path}: it is {kind}")
        if before.st_size > MAX_FILE_SIZE:
            raise UnreadableFileError(f"{path}: {before.st_size} bytes; a configuration has {MAX_FILE_SIZE} at most")
        data = file.read(MAX_FILE_SIZE + 1)
        after = os.fstat(descriptor)
    unchanged = (before.st_size, before.st_mtime_ns) == (after.st_size, after.st_mtime_ns)
    return data if unchanged and len(data) == after.st_size else None


def decode(data: bytes) -> tuple[str | None, list[Finding]]:
    """Decode a file as UTF-8 without a byte-order mark. Return None and a finding on failure."""
    if data.startswith(BOM):
        return None, [Finding("ZC104", (), "the file begins with a byte-order mark", "save it without one", at=(1, 1))]
    try:
        return data.decode(), []
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        column = error.start - (data.rfind(b"\n", 0, error.start) + 1) + 1
        return None, [Finding("ZC101", (), f"the byte 0x{data[error.start]:02x} is no UTF-8", at=(line, column))]


def parse_toml(data: bytes) -> tuple[dict[str, Any] | None, list[Finding]]:
    """Parse a TOML file. Return None and a finding on failure."""
    import tomllib  # imported here to save memory in sidecars without an operator file

    text, findings = decode(data)
    if text is None:
        return None, findings
    try:
        return tomllib.loads(text), []
    except RecursionError:
        return None, [Finding("ZC102", (), "it is nested too deep", at=(1, 1))]
    except (tomllib.TOMLDecodeError, ValueError) as error:
        message = str(error)
        position = (text.count("\n") + 1, 1) if _AT_END in message else (1, 1)
        if match := _POSITION.search(message):
            position = int(match[1]), int(match[2])
        reason = _POSITION.sub("", message).replace(_AT_END, "at the end of the file").strip()
        return None, [Finding("ZC102", (), reason, at=position)]


class _ObjectWithDuplicates(dict[str, Any]):
    """A JSON object that remembers which of its keys occur more than once."""

    duplicates: tuple[str, ...] = ()


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Build an object from its pairs, for ``json.loads``."""
    result = _ObjectWithDuplicates(pairs)
    if len(result) < len(pairs):
        names = [name for name, _ in pairs]
        result.duplicates = tuple(dict.fromkeys(n for n in names if names.count(n) > 1))
    return result


def parse_json(data: bytes) -> tuple[dict[str, Any] | None, list[Finding]]:
    """Parse a JSON object and report its duplicate keys. Return None and a finding on failure."""
    text, findings = decode(data)
    if text is None:
        return None, findings
    try:
        value = json.loads(text, object_pairs_hook=_build_object)
    except json.JSONDecodeError as error:
        return None, [Finding("ZC102", (), error.msg, at=(error.lineno, error.colno))]
    except (ValueError, RecursionError) as error:
        return None, [Finding("ZC102", (), str(error) or "it is nested too deep", at=(1, 1))]
    if not isinstance(value, dict):
        return None, [Finding("ZC102", (), "the file holds no object", "write { ... }", at=(1, 1))]
    return value, list(_duplicate_findings(value, ()))


def _duplicate_findings(value: Any, path: tuple[str | int, ...]) -> list[Finding]:
    """Return a finding for each duplicate key in a value."""
    findings: list[Finding] = []
    if isinstance(value, _ObjectWithDuplicates):
        findings += [Finding("ZC103", (*path, name), f"{name} comes twice", "keep one") for name in value.duplicates]
    if isinstance(value, dict | list):
        children = value.items() if isinstance(value, dict) else enumerate(value)
        for name, inner in children:
            findings += _duplicate_findings(inner, (*path, name))
    return findings
