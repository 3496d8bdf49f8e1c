"""Typed access to a TOML file whose errors name the key and the line."""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Callable, Iterable, Iterator
from typing import Any, TypeVar

T = TypeVar("T")
Path = tuple[str, ...]
_HEADER = re.compile(r"\s*\[\[?\s*(?P<path>[^\[\]]+?)\s*\]\]?\s*(#.*)?$")
_ONE = r"""(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')"""
_KEY = re.compile(rf"\s*(?P<path>{_ONE}(?:\s*\.\s*{_ONE})*)\s*=")
_PART = re.compile(_ONE)


class OperatorError(Exception):
    """An operator file that can't be used: one line that names the key, its line and the reason."""


def locate(text: str) -> dict[Path, int]:
    """The line on which each table and each key at the start of a line stands, counted from 1."""
    lines: dict[Path, int] = {}
    table: Path = ()
    for number, line in enumerate(text.splitlines(), 1):
        if header := _HEADER.match(line):
            table = _parts(header["path"])
            lines.setdefault(table, number)
        elif key := _KEY.match(line):
            lines.setdefault(table + _parts(key["path"]), number)
    return lines


def _parts(path: str) -> Path:
    return tuple(part.strip("\"'") for part in _PART.findall(path))


class Table:
    """A table of the file. Each key is taken once; :meth:`done` refuses those that nobody took."""

    def __init__(self, values: dict[str, Any], path: Path, lines: dict[Path, int]) -> None:
        self.values, self.path, self.lines = values, path, lines
        self.taken: set[str] = set()

    def wrong(self, key: str, reason: str) -> OperatorError:
        """The error that a key of this table is at fault for."""
        path = (*self.path, key) if key else self.path
        line = next((self.lines[path[:n]] for n in range(len(path), 0, -1) if path[:n] in self.lines), 1)
        return OperatorError(f"line {line}: {'.'.join(path)}: {reason}")

    def has(self, key: str) -> bool:
        return key in self.values

    def take(self, key: str, what: str, kind: type[T] | tuple[type[T], ...], default: T | None = None) -> T:
        """The value of a key; ``what`` words its type. Without a default it has to be there."""
        self.taken.add(key)
        if key not in self.values:
            if default is None:
                raise self.wrong(key, f"is missing; it takes {what}")
            return default
        value = self.values[key]
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            raise self.wrong(key, f"takes {what}, not {_worded(value)}")
        return value

    def text(self, key: str, default: str | None = None) -> str:
        value = self.take(key, "a text", str, default)
        if not value and key in self.values:
            raise self.wrong(key, "must not be empty")
        return value

    def one_of(self, key: str, choices: Iterable[str], default: str | None = None) -> str:
        value, known = self.text(key, default), list(choices)
        if value not in known:
            raise self.wrong(key, f"takes one of {', '.join(map(repr, known))}, not {value!r}")
        return value

    def number(self, key: str, least: float, most: float, default: float | None = None) -> float:
        value = float(self.take(key, "a number", (int, float), default))
        if not math.isfinite(value) or not least <= value <= most:
            raise self.wrong(key, f"must lie between {least:g} and {most:g}, not {value:g}")
        return value

    def whole(self, key: str, least: int, most: int, default: int | None = None) -> int:
        value = self.take(key, "a whole number", int, default)
        if not least <= value <= most:
            raise self.wrong(key, f"must lie between {least} and {most}, not {value}")
        return value

    def wholes(self, key: str) -> list[int]:
        """An array of whole numbers; empty where it is left out."""
        value = self.take(key, "an array of whole numbers", list, [])
        if any(type(x) is not int for x in value):
            raise self.wrong(key, "takes an array of whole numbers")
        return value

    def checked(self, key: str, text: str, read: Callable[[str], T]) -> T:
        """What a function makes of a text that this key holds."""
        try:
            return read(text)
        except ValueError as wrong:
            raise self.wrong(key, str(wrong)) from wrong

    def table(self, key: str) -> Table:
        value: dict[str, Any] = self.take(key, "a table", dict, {})
        return Table(value, (*self.path, key), self.lines)

    def tables(self) -> Iterator[tuple[str, Table]]:
        """Every key of this table, each a table itself."""
        for key in self.values:
            yield key, self.table(key)

    def done(self) -> None:
        for key in self.values:
            if key not in self.taken:
                raise self.wrong(key, "is not known here")


def _worded(value: Any) -> str:
    names = {bool: "true or false", str: "a text", dict: "a table", list: "an array"}
    return names.get(type(value), repr(value))


def parse(data: bytes) -> Table:
    """A file's whole text. OperatorError where it is no TOML."""
    try:
        text = data.decode()
        values = tomllib.loads(text)
    except UnicodeDecodeError as wrong:
        line = data[: wrong.start].count(b"\n") + 1
        raise OperatorError(f"line {line}: not UTF-8") from wrong
    except (tomllib.TOMLDecodeError, RecursionError) as wrong:
        raise OperatorError(f"not TOML: {wrong}") from wrong
    return Table(values, (), locate(text))
