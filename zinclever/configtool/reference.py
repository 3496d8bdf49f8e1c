"""Texts generated from the model: explanations, the JSON Schema, and the reference on the operators' page."""

from __future__ import annotations

import difflib
from collections.abc import Iterator
from typing import Any, NamedTuple

from ..configuration.findings import CODES
from ..configuration.model import OPERATOR, PLATFORM, Key
from ..configuration.shape import worded

FILES: dict[str, tuple[Key, ...]] = {"operator": OPERATOR, "platform": PLATFORM}


class Entry(NamedTuple):
    """A key with its full path in one of the files. ``*`` stands for any name, ``[]`` for any array element."""

    file: str
    path: str
    key: Key


def entries() -> Iterator[Entry]:
    """Yield every key of both files."""
    for file, keys in FILES.items():
        yield from _walk(file, keys, "")


def _walk(file: str, keys: tuple[Key, ...], before: str) -> Iterator[Entry]:
    for key in keys:
        path = f"{before}{key.name}"
        yield Entry(file, path, key)
        yield from _walk(file, key.inner, path + ("[]." if key.kind in ("tables", "endpoints") else "."))


def default_of(key: Key) -> str:
    """Describe a key's default."""
    if key.required:
        return "required"
    if key.default is None or key.default in ((), {}, ""):
        return "none"
    if isinstance(key.default, tuple):
        return "[" + ", ".join(map(str, key.default)) + "]"
    return (
        str(key.default).lower()
        if isinstance(key.default, bool)
        else f"{key.default:g}"
        if isinstance(key.default, int | float)
        else str(key.default)
    )


def explain(asked: str) -> str | None:
    """Return the explanation of a finding code or key, or None if there is no such code or key."""
    if (code := CODES.get(asked.upper())) is not None:
        return f"{asked.upper()}: {code.title} ({code.severity})\n\n{code.explanation}\n"
    found = [e for e in entries() if e.path == asked or e.path.endswith("." + asked)]
    return "\n".join(_explained(e) for e in found) if found else None


def _explained(entry: Entry) -> str:
    key = entry.key
    return (
        f"{entry.path} ({entry.file} file)\n\n{key.doc}\n\n  takes    {worded(key)}\n"
        f"  default  {default_of(key)}\n  since    version {key.since}\n"
    )


def nearest(asked: str) -> list[str]:
    """Return up to three codes and keys that resemble a text."""
    names = [*CODES, *{e.key.name for e in entries()}]
    return difflib.get_close_matches(asked, names, 3, 0.5)


# --- JSON Schema (draft 2020-12) ---


def schema(file: str) -> dict[str, Any]:
    """Return a JSON Schema for editors. It covers each key by itself, not relations between keys."""
    told = _table(FILES[file], file == "platform")
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", "title": f"zinclever {file} file"} | told


def _table(keys: tuple[Key, ...], open: bool) -> dict[str, Any]:
    if keys and keys[0].name == "*":
        return {"type": "object", "additionalProperties": _value(keys[0])}
    told: dict[str, Any] = {"type": "object", "properties": {k.name: _value(k) for k in keys}}
    if required := [k.name for k in keys if k.required]:
        told["required"] = required
    return told if open else told | {"additionalProperties": False}


def _value(key: Key) -> dict[str, Any]:
    simple: dict[str, dict[str, Any]] = {
        "text": {"type": "string"},
        "flag": {"type": "boolean"},
        "number": {"type": "number"},
        "whole": {"type": "integer"},
        "choice": {"enum": list(key.choices)},
        "address": {"type": "string", "pattern": "^[^ ]+:[0-9]{1,5}$"},
        "pointer": {"type": "string", "pattern": "^/"},
        "texts": {"type": "array", "items": {"type": "string"}},
        "wholes": {"type": "array", "items": {"type": "integer"}},
        "any": {},
    }
    told: dict[str, Any]
    if key.kind == "table":
        told = _table(key.inner, key.open) if key.inner else {"type": "object"}
    elif key.kind == "tables":
        told = {"type": "array", "items": _table(key.inner, key.open)}
    elif key.kind == "endpoints":
        address: dict[str, Any] = {"type": "string", "pattern": "^[^ ]+:[0-9]{1,5}$"}
        told = {"type": "array", "minItems": 1, "items": {"anyOf": [address, _table(key.inner, key.open)]}}
    else:
        told = dict(simple[key.kind])
    if key.kind in ("number", "whole"):
        if key.least is not None:
            told["exclusiveMinimum" if key.above else "minimum"] = key.least
        if key.most is not None:
            told["maximum"] = key.most
    if key.default is not None and not isinstance(key.default, dict):
        told["default"] = list(key.default) if isinstance(key.default, tuple) else key.default
    return told | {"description": key.doc + (f" ({key.unit})" if key.unit else "")}


# --- the operators' page ---


def reference() -> str:
    """Return Markdown tables of all keys and finding codes."""
    lines: list[str] = []
    for file in FILES:
        lines += [f"### Keys of the {file} file", ""]
        lines += ["| key | takes | default | meaning |", "| --- | --- | --- | --- |"]
        lines += [
            f"| `{e.path}` | {worded(e.key)} | {default_of(e.key)} | {e.key.doc} |" for e in entries() if e.file == file
        ]
        lines.append("")
    lines += ["### Findings", "", "| code | severity | what | why |", "| --- | --- | --- | --- |"]
    lines += [f"| {code} | {c.severity} | {c.title} | {c.explanation} |" for code, c in CODES.items()]
    return "\n".join(lines) + "\n"
