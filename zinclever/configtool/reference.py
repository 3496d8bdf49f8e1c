"""Texts generated from the model: explanations, the JSON Schema, and the reference on the operators' page."""

from __future__ import annotations

import difflib
from collections.abc import Iterator
from typing import Any, NamedTuple

from ..configuration.findings import CODES
from ..configuration.model import OPERATOR_KEYS, PLATFORM_KEYS, Key
from ..configuration.shape import describe_accepted

FILES: dict[str, tuple[Key, ...]] = {"operator": OPERATOR_KEYS, "platform": PLATFORM_KEYS}


class Entry(NamedTuple):
    """A key with its full path in one of the files. ``*`` stands for any name, ``[]`` for any array element."""

    file: str
    path: str
    key: Key


def entries() -> Iterator[Entry]:
    """Yield every key of both files."""
    for file, keys in FILES.items():
        yield from _walk_keys(file, keys, "")


def _walk_keys(file: str, keys: tuple[Key, ...], before: str) -> Iterator[Entry]:
    for key in keys:
        path = f"{before}{key.name}"
        yield Entry(file, path, key)
        yield from _walk_keys(file, key.inner, path + ("[]." if key.kind in ("tables", "endpoints") else "."))


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


def explain(query: str) -> str | None:
    """Return the explanation of a finding code or key, or None if there is no such code or key."""
    if (code := CODES.get(query.upper())) is not None:
        return f"{query.upper()}: {code.title} ({code.severity})\n\n{code.explanation}\n"
    matches = [e for e in entries() if e.path == query or e.path.endswith("." + query)]
    return "\n".join(_format_entry(e) for e in matches) if matches else None


def _format_entry(entry: Entry) -> str:
    key = entry.key
    return (
        f"{entry.path} ({entry.file} file)\n\n{key.doc}\n\n  takes    {describe_accepted(key)}\n"
        f"  default  {default_of(key)}\n  since    version {key.since}\n"
    )


def nearest(query: str) -> list[str]:
    """Return up to three codes and keys that resemble a text."""
    names = [*CODES, *{e.key.name for e in entries()}]
    return difflib.get_close_matches(query, names, 3, 0.5)


# --- JSON Schema (draft 2020-12) ---


def schema(file: str) -> dict[str, Any]:
    """Return a JSON Schema for editors. It covers each key by itself, not relations between keys."""
    table = _table_schema(FILES[file], file == "platform")
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", "title": f"zinclever {file} file"} | table


def _table_schema(keys: tuple[Key, ...], allow_unknown: bool) -> dict[str, Any]:
    if keys and keys[0].name == "*":
        return {"type": "object", "additionalProperties": _value_schema(keys[0])}
    result: dict[str, Any] = {"type": "object", "properties": {k.name: _value_schema(k) for k in keys}}
    if required := [k.name for k in keys if k.required]:
        result["required"] = required
    return result if allow_unknown else result | {"additionalProperties": False}


def _value_schema(key: Key) -> dict[str, Any]:
    schema_by_kind: dict[str, dict[str, Any]] = {
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
    result: dict[str, Any]
    if key.kind == "table":
        result = _table_schema(key.inner, key.allow_unknown) if key.inner else {"type": "object"}
    elif key.kind == "tables":
        result = {"type": "array", "items": _table_schema(key.inner, key.allow_unknown)}
    elif key.kind == "endpoints":
        address: dict[str, Any] = {"type": "string", "pattern": "^[^ ]+:[0-9]{1,5}$"}
        result = {
            "type": "array",
            "minItems": 1,
            "items": {"anyOf": [address, _table_schema(key.inner, key.allow_unknown)]},
        }
    else:
        result = dict(schema_by_kind[key.kind])
    if key.kind in ("number", "whole"):
        if key.least is not None:
            result["exclusiveMinimum" if key.exclusive_least else "minimum"] = key.least
        if key.most is not None:
            result["maximum"] = key.most
    if key.default is not None and not isinstance(key.default, dict):
        result["default"] = list(key.default) if isinstance(key.default, tuple) else key.default
    return result | {"description": key.doc + (f" ({key.unit})" if key.unit else "")}


# --- the operators' page ---


def reference() -> str:
    """Return Markdown tables of all keys and finding codes."""
    lines: list[str] = []
    for file in FILES:
        lines += [f"### Keys of the {file} file", ""]
        lines += ["| key | takes | default | meaning |", "| --- | --- | --- | --- |"]
        lines += [
            f"| `{e.path}` | {describe_accepted(e.key)} | {default_of(e.key)} | {e.key.doc} |"
            for e in entries()
            if e.file == file
        ]
        lines.append("")
    lines += ["### Findings", "", "| code | severity | what | why |", "| --- | --- | --- | --- |"]
    lines += [f"| {code} | {c.severity} | {c.title} | {c.explanation} |" for code, c in CODES.items()]
    return "\n".join(lines) + "\n"
