"""Migrates files of older versions. Edits the text in place, so comments, order and spacing are kept.

Version 0, of the drafts, used the platform's names for durations, and mapped a method directly to the name of its
class.
"""

from __future__ import annotations

import difflib
import tomllib
from typing import NamedTuple

import tree_sitter
import tree_sitter_toml

from ..configuration.model import VERSION

Node = tree_sitter.Node
RENAMED_CLASS_KEYS = {"aim": "aim_ms", "deadline": "deadline_ms", "window": "window_ms"}
RENAMED_SERVICE_KEYS = {
    "attempts": "max_attempts",
    "connect_timeout": "connect_timeout_ms",
    "idle": "connection_idle_ms",
    "default": "default_class",
}


class MigrationError(Exception):
    """The file cannot be migrated. The message gives the reason and what to do."""


class Edit(NamedTuple):
    """A replacement of the bytes from ``begin`` to ``end`` by a text."""

    begin: int
    end: int
    text: str


def migrate(text: str) -> str:
    """Return the file in the current version; a file that is in the current version is returned unchanged.

    Raises:
        MigrationError: The file is not valid TOML, has an invalid version, or is newer than this tool.
    """
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise MigrationError(f"it is no TOML: {error}") from error
    version = values.get("version", 0)
    if type(version) is not int or version < 0:
        raise MigrationError("its version is no whole number: write the version that it was made for")
    if version > VERSION:
        raise MigrationError(f"it is of version {version}, made for a newer sidecar: use that one's tool")
    return text if version == VERSION else migrate_from_0(text, "version" in values)


def migrate_from_0(text: str, has_version: bool) -> str:
    """Migrate a file from version 0. ``has_version``: whether the file contains its version."""
    data = text.encode()
    root = tree_sitter.Parser(tree_sitter.Language(tree_sitter_toml.language())).parse(data).root_node
    edits: list[Edit] = []
    for node in root.named_children:
        if node.type == "pair":
            edits += pair_edits(node, ())
        elif node.type == "table":
            path = key_parts(node.named_children[0])
            for inner in node.named_children[1:]:
                if inner.type == "pair":
                    edits += pair_edits(inner, path)
    for edit in sorted(edits, reverse=True):
        data = data[: edit.begin] + edit.text.encode() + data[edit.end :]
    new = data.decode()
    return new if has_version else f"version = {VERSION}\n{new}"


def pair_edits(node: Node, table_path: tuple[str, ...]) -> list[Edit]:
    """Return the edits for a key and its value, including those inside inline tables."""
    key, value = [n for n in node.named_children if n.type != "comment"]
    path = (*table_path, *key_parts(key))
    edits: list[Edit] = []
    new_name = renamed_key(path)
    if new_name is not None:
        last = key.named_children[-1] if key.type == "dotted_key" else key
        edits.append(Edit(last.start_byte, last.end_byte, new_name))
    if path == ("version",):
        edits.append(Edit(value.start_byte, value.end_byte, str(VERSION)))
    elif len(path) == 4 and path[2] == "methods" and value.type == "string":
        edits.append(Edit(value.start_byte, value.end_byte, f"{{ class = {(value.text or b'').decode()} }}"))
    elif value.type == "inline_table":
        for inner in value.named_children:
            if inner.type == "pair":
                edits += pair_edits(inner, path)
    return edits


def renamed_key(path: tuple[str, ...]) -> str | None:
    """Return the current name of a key in a service or in one of its classes, or None if it is unchanged."""
    if path[:1] != ("services",):
        return None
    if len(path) == 3:
        return RENAMED_SERVICE_KEYS.get(path[2])
    return RENAMED_CLASS_KEYS.get(path[4]) if len(path) == 5 and path[2] == "classes" else None


def key_parts(node: Node) -> tuple[str, ...]:
    """Return the parts of a TOML key, unquoted."""
    if node.type == "dotted_key":
        return tuple(name for inner in node.named_children for name in key_parts(inner))
    text = (node.text or b"").decode()
    return (next(iter(tomllib.loads(f"{text} = 0"))),) if node.type == "quoted_key" else (text,)


def difference(before: str, after: str, file: str) -> str:
    """Return a unified diff."""
    lines = difflib.unified_diff(
        before.splitlines(keepends=True), after.splitlines(keepends=True), file, f"{file} (version {VERSION})"
    )
    return "".join(line if line.endswith("\n") else line + "\n" for line in lines)
