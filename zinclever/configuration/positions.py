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

Position = tuple[int, int]
_NON_FINITE_NUMBER = re.compile(rb"(?<=[\s:,\[])-?(?:NaN|Infinity)(?=[\s,\]}])")
Node = tree_sitter.Node


class Positions:
    """Positions of the keys and array elements of a file that parses without errors."""

    def __init__(self, data: bytes, format: Format) -> None:
        language = tree_sitter_toml if format == "operator" else tree_sitter_json
        if format == "platform":
            # Python's JSON parser accepts NaN and Infinity, the grammar doesn't. Zeros keep every offset.
            data = _NON_FINITE_NUMBER.sub(lambda m: b"0" * len(m[0]), data)
        self.data = data
        self.first_positions: dict[Path, Position] = {(): (1, 1)}
        self.last_positions: dict[Path, Position] = {}
        """The last position of each key that occurs more than once."""
        root = tree_sitter.Parser(tree_sitter.Language(language.language())).parse(data).root_node
        if format == "operator":
            self.visit_toml(root)
        else:
            for node in root.named_children:
                self.visit_json(node, ())

    def place(self, finding: Finding) -> Position:
        """Return the line and column of a finding, both from 1.

        This is the position of its key, or of the nearest enclosing key if that one is absent.
        """
        if finding.at is not None:
            return finding.at
        if finding.code == "ZC103" and finding.path in self.last_positions:
            return self.last_positions[finding.path]
        return self.position_of(finding.path)

    def position_of(self, path: Path) -> Position:
        """Return the position of a path, or of its nearest enclosing path that the file contains."""
        return next(
            self.first_positions[path[:n]] for n in range(len(path), -1, -1) if path[:n] in self.first_positions
        )

    def record(self, path: Path, node: Node) -> None:
        """Record the position of a path.

        Columns count characters, as editors do. Past the first 64 KiB they count bytes, since finding the start of the
        line costs time proportional to the offset.
        """
        row, column = node.start_point
        line = self.data.split(b"\n", row + 1)[row] if node.start_byte < 1 << 16 else None
        character = len(line[:column].decode("utf-8", "replace")) if line is not None else column
        if path in self.first_positions:
            self.last_positions[path] = (row + 1, character + 1)
        self.first_positions.setdefault(path, (row + 1, character + 1))

    # --- TOML ---

    def visit_toml(self, root: Node) -> None:
        """Record all positions of a TOML document."""
        counts: dict[Path, int] = {}
        for node in root.named_children:
            if node.type == "pair":
                self.visit_pair(node, ())
            elif node.type in ("table", "table_array_element"):
                header = node.named_children[0]
                path = self.resolve_header(tuple(self.key_parts(header)), counts)
                for n in range(1, len(path)):
                    self.record(path[:n], header)
                if node.type == "table_array_element":
                    number = counts.get(path, 0)
                    counts[path] = number + 1
                    self.record(path, header)
                    path = (*path, number)
                self.record(path, header)
                for inner in node.named_children[1:]:
                    if inner.type == "pair":
                        self.visit_pair(inner, path)

    def resolve_header(self, parts: Path, counts: dict[Path, int]) -> Path:
        """Return a table header's path, with the index of the latest element for each array of tables in it."""
        path: Path = ()
        for n, name in enumerate(parts):
            path = (*path, name)
            if path in counts and n < len(parts) - 1:
                path = (*path, counts[path] - 1)
        return path

    def key_parts(self, node: Node) -> Iterator[str]:
        """Yield the parts of a TOML key, unquoted."""
        if node.type == "dotted_key":
            for inner in node.named_children:
                yield from self.key_parts(inner)
        elif node.type == "quoted_key":
            text = node.text or b'""'
            yield next(iter(tomllib.loads(f"{text.decode()} = 0")))
        else:
            yield (node.text or b"").decode()

    def visit_pair(self, node: Node, path: Path) -> None:
        """Record the positions of a TOML key and of its value."""
        key, *values = [n for n in node.named_children if n.type != "comment"]
        parts = tuple(self.key_parts(key))
        for n in range(1, len(parts) + 1):
            self.record((*path, *parts[:n]), key)
        for value in values:
            self.visit_value(value, (*path, *parts))

    def visit_value(self, node: Node, path: Path) -> None:
        """Record the positions inside an inline table or an array."""
        if node.type == "inline_table":
            for inner in node.named_children:
                if inner.type == "pair":
                    self.visit_pair(inner, path)
        elif node.type == "array":
            for n, inner in enumerate(x for x in node.named_children if x.type != "comment"):
                self.record((*path, n), inner)
                self.visit_value(inner, (*path, n))

    # --- JSON ---

    def visit_json(self, node: Node, path: Path) -> None:
        """Record the positions inside a JSON value."""
        if node.type == "object":
            for pair in node.named_children:
                if pair.type == "pair":
                    key, value = pair.named_children[0], pair.named_children[-1]
                    key_path = (*path, orjson.loads(key.text or b'""'))
                    self.record(key_path, key)
                    self.visit_json(value, key_path)
        elif node.type == "array":
            for n, inner in enumerate(node.named_children):
                self.record((*path, n), inner)
                self.visit_json(inner, (*path, n))
