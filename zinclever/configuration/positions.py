"""Positions of keys and values in a configuration file. Imported only when a finding has to be located."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator

import orjson
import tree_sitter
import tree_sitter_json
import tree_sitter_toml

from .check import Format
from .findings import Finding, Path

Place = tuple[int, int]
_CONSTANT = re.compile(rb"(?<=[\s:,\[])-?(?:NaN|Infinity)(?=[\s,\]}])")
Node = tree_sitter.Node


class Positions:
    """Positions of the keys and array elements of a file that parses without errors."""

    def __init__(self, data: bytes, format: Format) -> None:
        language = tree_sitter_toml if format == "operator" else tree_sitter_json
        if format == "platform":
            # Python's JSON parser accepts NaN and Infinity, the grammar doesn't. Zeros keep every offset.
            data = _CONSTANT.sub(lambda m: b"0" * len(m[0]), data)
        self.data = data
        self.places: dict[Path, Place] = {(): (1, 1)}
        self.last: dict[Path, Place] = {}
        """The last position of each key that occurs more than once."""
        root = tree_sitter.Parser(tree_sitter.Language(language.language())).parse(data).root_node
        if format == "operator":
            self.toml(root)
        else:
            for node in root.named_children:
                self.json(node, ())

    def place(self, finding: Finding) -> Place:
        """Return the line and column of a finding, both from 1.

        This is the position of its key, or of the nearest enclosing key if that one is absent.
        """
        if finding.at is not None:
            return finding.at
        if finding.code == "ZC103" and finding.path in self.last:
            return self.last[finding.path]
        return self.of(finding.path)

    def of(self, path: Path) -> Place:
        """Return the position of a path, or of its nearest enclosing path that the file contains."""
        return next(self.places[path[:n]] for n in range(len(path), -1, -1) if path[:n] in self.places)

    def note(self, path: Path, node: Node) -> None:
        """Record the position of a path.

        Columns count characters, as editors do. Past the first 64 KiB they count bytes, since finding the start of the
        line costs time proportional to the offset.
        """
        row, column = node.start_point
        line = self.data.split(b"\n", row + 1)[row] if node.start_byte < 1 << 16 else None
        told = len(line[:column].decode("utf-8", "replace")) if line is not None else column
        if path in self.places:
            self.last[path] = (row + 1, told + 1)
        self.places.setdefault(path, (row + 1, told + 1))

    # --- TOML ---

    def toml(self, root: Node) -> None:
        """Record all positions of a TOML document."""
        counts: dict[Path, int] = {}
        for node in root.named_children:
            if node.type == "pair":
                self.pair(node, ())
            elif node.type in ("table", "table_array_element"):
                head = node.named_children[0]
                path = self.resolve(tuple(self.names(head)), counts)
                for n in range(1, len(path)):
                    self.note(path[:n], head)
                if node.type == "table_array_element":
                    number = counts.get(path, 0)
                    counts[path] = number + 1
                    self.note(path, head)
                    path = (*path, number)
                self.note(path, head)
                for inner in node.named_children[1:]:
                    if inner.type == "pair":
                        self.pair(inner, path)

    def resolve(self, names: Path, counts: dict[Path, int]) -> Path:
        """Return a table header's path, with the index of the latest element for each array of tables in it."""
        path: Path = ()
        for n, name in enumerate(names):
            path = (*path, name)
            if path in counts and n < len(names) - 1:
                path = (*path, counts[path] - 1)
        return path

    def names(self, node: Node) -> Iterator[str]:
        """Yield the parts of a TOML key, unquoted."""
        if node.type == "dotted_key":
            for inner in node.named_children:
                yield from self.names(inner)
        elif node.type == "quoted_key":
            text = node.text or b'""'
            yield next(iter(tomllib.loads(f"{text.decode()} = 0")))
        else:
            yield (node.text or b"").decode()

    def pair(self, node: Node, path: Path) -> None:
        """Record the positions of a TOML key and of its value."""
        key, *values = [n for n in node.named_children if n.type != "comment"]
        names = tuple(self.names(key))
        for n in range(1, len(names) + 1):
            self.note((*path, *names[:n]), key)
        for value in values:
            self.value(value, (*path, *names))

    def value(self, node: Node, path: Path) -> None:
        """Record the positions inside an inline table or an array."""
        if node.type == "inline_table":
            for inner in node.named_children:
                if inner.type == "pair":
                    self.pair(inner, path)
        elif node.type == "array":
            for n, inner in enumerate(x for x in node.named_children if x.type != "comment"):
                self.note((*path, n), inner)
                self.value(inner, (*path, n))

    # --- JSON ---

    def json(self, node: Node, path: Path) -> None:
        """Record the positions inside a JSON value."""
        if node.type == "object":
            for pair in node.named_children:
                if pair.type == "pair":
                    key, value = pair.named_children[0], pair.named_children[-1]
                    at = (*path, orjson.loads(key.text or b'""'))
                    self.note(at, key)
                    self.json(value, at)
        elif node.type == "array":
            for n, inner in enumerate(node.named_children):
                self.note((*path, n), inner)
                self.json(inner, (*path, n))
