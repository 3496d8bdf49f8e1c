"""Where each key and value of a file stands. Loaded only where there is a finding to place."""

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
    """The places of one text that its reader has found valid."""

    def __init__(self, data: bytes, format: Format) -> None:
        language = tree_sitter_toml if format == "operator" else tree_sitter_json
        if format == "platform":
            # Python's reader takes these for numbers, the grammar doesn't.
            data = _CONSTANT.sub(lambda m: b"0" * len(m[0]), data)
        self.data = data
        self.places: dict[Path, Place] = {(): (1, 1)}
        self.last: dict[Path, Place] = {}
        """Of keys that come twice: the last of them."""
        root = tree_sitter.Parser(tree_sitter.Language(language.language())).parse(data).root_node
        if format == "operator":
            self.toml(root)
        else:
            for node in root.named_children:
                self.json(node, ())

    def place(self, finding: Finding) -> Place:
        """Line and column of a finding, from 1: of its key, or of the nearest thing that holds it."""
        if finding.at is not None:
            return finding.at
        if finding.code == "ZC103" and finding.path in self.last:
            return self.last[finding.path]
        return self.of(finding.path)

    def of(self, path: Path) -> Place:
        return next(self.places[path[:n]] for n in range(len(path), -1, -1) if path[:n] in self.places)

    def note(self, path: Path, node: Node) -> None:
        """Columns count characters, as editors do."""
        row, column = node.start_point
        line = self.data.split(b"\n", row + 1)[row] if node.start_byte < 1 << 16 else None
        told = len(line[:column].decode("utf-8", "replace")) if line is not None else column
        if path in self.places:
            self.last[path] = (row + 1, told + 1)
        self.places.setdefault(path, (row + 1, told + 1))

    # --- TOML ---

    def toml(self, root: Node) -> None:
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
        """A header's path, through the latest element of each array of tables on its way."""
        path: Path = ()
        for n, name in enumerate(names):
            path = (*path, name)
            if path in counts and n < len(names) - 1:
                path = (*path, counts[path] - 1)
        return path

    def names(self, node: Node) -> Iterator[str]:
        if node.type == "dotted_key":
            for inner in node.named_children:
                yield from self.names(inner)
        elif node.type == "quoted_key":
            text = node.text or b'""'
            yield next(iter(tomllib.loads(f"{text.decode()} = 0")))
        else:
            yield (node.text or b"").decode()

    def pair(self, node: Node, path: Path) -> None:
        key, *values = [n for n in node.named_children if n.type != "comment"]
        names = tuple(self.names(key))
        for n in range(1, len(names) + 1):
            self.note((*path, *names[:n]), key)
        for value in values:
            self.value(value, (*path, *names))

    def value(self, node: Node, path: Path) -> None:
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
