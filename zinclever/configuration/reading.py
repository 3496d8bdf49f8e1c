"""Files and texts: read within bounds, parsed strictly. The only I/O of this package."""

from __future__ import annotations

import contextlib
import json
import os
import re
import stat
from typing import Any

from .findings import Finding

MOST_FILE = 4 << 20  # bytes: a remembered list of some twenty thousand endpoints
BOM = b"\xef\xbb\xbf"
_PLACE = re.compile(r"\(at line (\d+), column (\d+)\)")
_END = "(at end of document)"
TRIES = 3  # readings of a file that changes meanwhile


class UnreadableFileError(Exception):
    """There is no text to judge: no file, no right to it, or no ordinary file."""


def read_file(path: str) -> bytes:
    """The bytes of an ordinary file, as they stood at one moment.

    Unreadable for a folder, a pipe, a loop of links, a file over the bound, or one that goes on changing while it
    is read. Whoever writes a file in service should replace it whole, by a rename.
    """
    for _ in range(TRIES):
        try:
            data = read_once(path)
        except OSError as wrong:
            raise UnreadableFileError(f"{path}: {wrong.strerror or wrong}") from wrong
        if data is not None:
            return data
    raise UnreadableFileError(f"{path}: it changes while it is read; replace it by a rename")


def read_once(path: str) -> bytes | None:
    """None if the file changed meanwhile. A pipe isn't waited for."""
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    with contextlib.closing(os.fdopen(descriptor, "rb")) as file:
        before = os.fstat(descriptor)
        if not stat.S_ISREG(before.st_mode):
            kind = "a folder" if stat.S_ISDIR(before.st_mode) else "no ordinary file"
            raise UnreadableFileError(f"{path}: it is {kind}")
        if before.st_size > MOST_FILE:
            raise UnreadableFileError(f"{path}: {before.st_size} bytes; a configuration has {MOST_FILE} at most")
        data = file.read(MOST_FILE + 1)
        after = os.fstat(descriptor)
    same = (before.st_size, before.st_mtime_ns) == (after.st_size, after.st_mtime_ns)
    return data if same and len(data) == after.st_size else None


def decode(data: bytes) -> tuple[str | None, list[Finding]]:
    """The text of a file."""
    if data.startswith(BOM):
        return None, [Finding("ZC104", (), "the file begins with a byte-order mark", "save it without one", at=(1, 1))]
    try:
        return data.decode(), []
    except UnicodeDecodeError as wrong:
        line = data[: wrong.start].count(b"\n") + 1
        column = wrong.start - (data.rfind(b"\n", 0, wrong.start) + 1) + 1
        return None, [Finding("ZC101", (), f"the byte 0x{data[wrong.start]:02x} is no UTF-8", at=(line, column))]


def parse_toml(data: bytes) -> tuple[dict[str, Any] | None, list[Finding]]:
    import tomllib  # here, since the platform's sidecar has no use for it

    text, found = decode(data)
    if text is None:
        return None, found
    try:
        return tomllib.loads(text), []
    except RecursionError:
        return None, [Finding("ZC102", (), "it is nested too deep", at=(1, 1))]
    except (tomllib.TOMLDecodeError, ValueError) as wrong:
        said = str(wrong)
        at = (text.count("\n") + 1, 1) if _END in said else (1, 1)
        if place := _PLACE.search(said):
            at = int(place[1]), int(place[2])
        reason = _PLACE.sub("", said).replace(_END, "at the end of the file").strip()
        return None, [Finding("ZC102", (), reason, at=at)]


class _Repeated(dict[str, Any]):
    """An object, and the names that came twice in it."""

    twice: tuple[str, ...] = ()


def _pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    made = _Repeated(pairs)
    if len(made) < len(pairs):
        names = [name for name, _ in pairs]
        made.twice = tuple(dict.fromkeys(n for n in names if names.count(n) > 1))
    return made


def parse_json(data: bytes) -> tuple[dict[str, Any] | None, list[Finding]]:
    text, found = decode(data)
    if text is None:
        return None, found
    try:
        value = json.loads(text, object_pairs_hook=_pairs)
    except json.JSONDecodeError as wrong:
        return None, [Finding("ZC102", (), wrong.msg, at=(wrong.lineno, wrong.colno))]
    except (ValueError, RecursionError) as wrong:
        return None, [Finding("ZC102", (), str(wrong) or "it is nested too deep", at=(1, 1))]
    if not isinstance(value, dict):
        return None, [Finding("ZC102", (), "the file holds no object", "write { ... }", at=(1, 1))]
    return value, list(_twice(value, ()))


def _twice(value: Any, path: tuple[str | int, ...]) -> list[Finding]:
    found: list[Finding] = []
    if isinstance(value, _Repeated):
        found += [Finding("ZC103", (*path, name), f"{name} comes twice", "keep one") for name in value.twice]
    if isinstance(value, dict | list):
        parts = value.items() if isinstance(value, dict) else enumerate(value)
        for name, inner in parts:
            found += _twice(inner, (*path, name))
    return found
