"""Checks of single values against the model, independent of other keys. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from typing import Any

from ..core.protocol import read_address
from .findings import Finding, Path
from .model import IGNORED_PLATFORM_KEYS, MAX_ENDPOINTS, Key, Kind

MAX_INTEGER = 2**63 - 1  # largest integer that other TOML and JSON parsers support
MIN_SIMILARITY = 0.75  # minimum similarity ratio (difflib) between a typo and the key it is taken for

#: A table with defaults filled in, and None in place of each invalid value.
Clean = dict[str, Any]


def shape(
    values: dict[str, Any], keys: Sequence[Key], path: Path = (), allow_unknown: bool = False
) -> tuple[Clean, list[Finding]]:
    """Check a table against its keys.

    Args:
        values: The parsed table.
        keys: The keys that the table may have.
        path: Path of the table in the file.
        allow_unknown: Whether unknown keys are ignored or reported as warnings; likely typos remain errors.

    Returns:
        The values with defaults filled in, and all findings. An invalid value, or an absent one without a default, is
        None.
    """
    findings: list[Finding] = []
    clean: Clean = {}
    wildcard = keys[0] if keys and keys[0].name == "*" else None
    if wildcard is not None:
        for name, value in values.items():
            if problem := invalid_reason(name):
                findings.append(Finding("ZC117", (*path, name), f"the name {problem}"))
            clean[name], value_findings = check_value(value, wildcard, (*path, name))
            findings += value_findings
        return clean, findings
    known = {key.name: key for key in keys}
    misspelled: set[str] = set()
    for name in values:
        if name not in known:
            unknown_findings, meant_key = check_unknown_key(name, values, keys, path, allow_unknown)
            findings += unknown_findings
            misspelled.add(meant_key)
    for name, key in known.items():
        key_path = (*path, name)
        # The platform writes null for an absent value.
        absent = name not in values or (allow_unknown and values[name] is None and not key.required)
        if not absent:
            clean[name], value_findings = check_value(values[name], key, key_path)
            findings += value_findings
        else:
            if key.required and name not in misspelled:  # otherwise the finding for the misspelled key is enough
                findings.append(Finding("ZC111", key_path, f"{name} is missing; it takes {describe_accepted(key)}"))
            clean[name] = shape({}, key.inner, key_path)[0] if key.default == {} and key.inner else key.default
    return clean, findings


def check_unknown_key(
    name: str, values: dict[str, Any], keys: Sequence[Key], path: Path, allow_unknown: bool
) -> tuple[list[Finding], str]:
    """Report an unknown key: a typo of a known key that is absent, a key with look-alike letters, or simply unknown.

    Returns:
        The findings, and the known key that was probably meant, or "".
    """
    # Imported only for a file with an unknown key, to save memory in a running sidecar.
    import difflib
    import unicodedata

    absent_keys = [key.name for key in keys if key.name not in values]
    ascii_name = unicodedata.normalize("NFKD", name).encode("ascii", "ignore").decode()
    matches = difflib.get_close_matches(
        name.lower().replace("-", "_"), [k.replace("-", "_") for k in absent_keys], 1, MIN_SIMILARITY
    )
    meant = next((k for k in absent_keys if matches and k.replace("-", "_") == matches[0]), "")
    if not name.isascii():
        closest = meant or next(iter(difflib.get_close_matches(ascii_name, absent_keys, 1, 0.6)), "")
        instead = f"write {closest}, in plain letters" if closest else ""
        return [Finding("ZC118", (*path, name), f"{name!r} holds {describe_non_ascii(name)}", instead)], closest
    if allow_unknown and name in IGNORED_PLATFORM_KEYS:
        return [], ""
    if allow_unknown and not meant:
        return [Finding("ZC119", (*path, name), f"{name} is not read")], ""
    nearest = meant or next(iter(difflib.get_close_matches(name, [k.name for k in keys], 1, 0.5)), "")
    instead = f"did you mean {nearest}?" if nearest else f"known here: {', '.join(k.name for k in keys)}"
    return [Finding("ZC110", (*path, name), f"{name} is not known here", instead)], meant


def describe_non_ascii(name: str) -> str:
    """Return the Unicode names of the non-ASCII characters in a key."""
    import unicodedata

    return ", ".join(unicodedata.name(c, f"U+{ord(c):04X}") for c in name if not c.isascii())


def invalid_reason(text: str) -> str:
    """Return why a text is not a valid name, or "" if it is."""
    if not text.strip():
        return "is empty"
    return "holds control characters" if any(ord(c) < 32 or ord(c) == 127 for c in text) else ""


def check_value(value: Any, key: Key, path: Path) -> tuple[Any, list[Finding]]:
    """Check a value of any kind. Return its cleaned form, or None if it is invalid, and the findings."""
    if key.kind == "any":
        return value, []
    if key.kind == "table":
        if not isinstance(value, dict):
            return None, [wrong_kind(value, key, path)]
        return shape(value, key.inner, path, key.allow_unknown) if key.inner else (value, [])
    if key.kind in ("tables", "endpoints"):
        return check_tables(value, key, path)
    if key.kind in ("texts", "wholes", "numbers"):
        return check_items(value, key, path)
    findings = list(check_scalar(value, key, path))
    if findings:
        return None, findings
    return (float(value) if key.kind == "number" else value), []


def check_tables(value: Any, key: Key, path: Path) -> tuple[Any, list[Finding]]:
    """Check an array of tables. In an array of endpoints, an element may also be a plain address."""
    if not isinstance(value, list):
        return None, [wrong_kind(value, key, path)]
    if key.kind == "endpoints" and not 0 < len(value) <= MAX_ENDPOINTS:
        return None, [Finding("ZC114", path, f"{len(value)} endpoints; it takes 1 to {MAX_ENDPOINTS}")]
    clean_rows, findings = [], list[Finding]()
    for n, row in enumerate(value):
        if key.kind == "endpoints" and isinstance(row, str):
            row_values, row_findings = shape({"address": row}, key.inner, (*path, n))
            # A plain address has no key of its own: findings point to the array element.
            row_findings = [Finding(f.code, (*path, n), f.reason, f.instead) for f in row_findings]
        elif isinstance(row, dict):
            row_values, row_findings = shape(row, key.inner, (*path, n), key.allow_unknown)
        else:
            expected = "an address or a table" if key.kind == "endpoints" else "a table"
            row_values, row_findings = (
                {},
                [Finding("ZC112", (*path, n), f"takes {expected}, not {describe_value(row)}")],
            )
        clean_rows.append(row_values)
        findings += row_findings
    return clean_rows, findings


def check_items(value: Any, key: Key, path: Path) -> tuple[Any, list[Finding]]:
    """Check an array of texts or numbers. Return it as a tuple, or None if an element is invalid."""
    if not isinstance(value, list):
        return None, [wrong_kind(value, key, path)]
    item_kinds: dict[str, Kind] = {"texts": "text", "wholes": "whole", "numbers": "number"}
    least, most = (key.least, key.most) if key.kind == "numbers" else (-MAX_INTEGER, MAX_INTEGER)
    item_key = Key(key.name, item_kinds[key.kind], key.doc, least=least, most=most)
    findings: list[Finding] = []
    for n, item in enumerate(value):
        findings += check_scalar(item, item_key, (*path, n))
    return (None if findings else tuple(value)), findings


def check_scalar(value: Any, key: Key, path: Path) -> Iterator[Finding]:
    """Check a value that is neither an array nor a table."""
    numeric = isinstance(value, int | float) and not isinstance(value, bool)
    if key.kind in ("number", "whole"):
        if not numeric or (key.kind == "whole" and isinstance(value, float) and math.isfinite(value)):
            yield wrong_kind(value, key, path)
        elif abs(value) > MAX_INTEGER if isinstance(value, int) else not math.isfinite(value):
            yield Finding("ZC113", path, f"{shorten(value)} is no number that sets a limit", describe_accepted(key))
        else:
            yield from check_bounds(value, key, path)
    elif key.kind == "flag":
        if not isinstance(value, bool):
            yield wrong_kind(value, key, path)
    elif not isinstance(value, str):
        yield wrong_kind(value, key, path)
    else:
        yield from check_text(value, key, path)


def check_bounds(value: float, key: Key, path: Path) -> Iterator[Finding]:
    """Check a number against its bounds. Negative zero is out of bounds."""
    too_low = key.least is not None and (value < key.least or (key.exclusive_least and value <= key.least))
    minus_zero = isinstance(value, float) and value == 0.0 and math.copysign(1.0, value) < 0.0
    if too_low or minus_zero or (key.most is not None and value > key.most):
        yield Finding("ZC114", path, f"{shorten(value)} is out of bounds", describe_accepted(key))


def check_text(value: str, key: Key, path: Path) -> Iterator[Finding]:
    """Check a text: a choice, an address, a JSON Pointer or plain text."""
    if key.kind == "choice":
        if value not in key.choices:
            import difflib

            matches = difflib.get_close_matches(value.lower(), key.choices, 1, 0.5)
            instead = f"did you mean {matches[0]!r}?" if matches else describe_accepted(key)
            yield Finding("ZC115", path, f"{shorten(value)} is none of {', '.join(key.choices)}", instead)
    elif key.kind == "address":
        try:
            host, port = read_address(value)
        except ValueError:
            host, port = "", 0
        if not host or invalid_reason(host) or " " in host or not 0 < port < 65536:
            yield Finding("ZC116", path, f"{shorten(value)} is no address", "write host:port, as in 127.0.0.1:7001")
    elif key.kind == "pointer":
        from ..jsonrpc.codec import parse_json_pointer

        try:
            parse_json_pointer(value)
        except ValueError:
            yield Finding("ZC117", path, f"{shorten(value)} is no JSON Pointer", "write a path such as /key")
    elif key.default != "" and (problem := invalid_reason(value)):
        yield Finding("ZC117", path, f"the text {problem}")


def wrong_kind(value: Any, key: Key, path: Path) -> Finding:
    """Return the finding for a value of the wrong type."""
    return Finding("ZC112", path, f"takes {describe_accepted(key)}, not {describe_value(value)}")


def describe_value(value: Any) -> str:
    """Describe the type of a value for messages."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f"the text {shorten(value)}"
    if isinstance(value, dict | list):
        return "a table" if isinstance(value, dict) else "an array"
    if value is None:
        return "null"
    return f"{shorten(value)}" if isinstance(value, int | float) else f"a date or time, {shorten(value)}"


def shorten(value: Any) -> str:
    """Format a value for messages, with at most 40 characters."""
    text = repr(value) if isinstance(value, str) else f"{value}"
    return text if len(text) <= 40 else text[:37] + "..."


def describe_accepted(key: Key) -> str:
    """Describe the values that a key accepts."""
    if key.kind == "choice":
        return "one of " + ", ".join(key.choices)
    kind_descriptions = {
        "text": "a text",
        "number": "a number",
        "whole": "a whole number",
        "flag": "true or false",
        "address": "an address",
        "pointer": "a JSON Pointer",
        "texts": "an array of texts",
        "wholes": "an array of whole numbers",
        "numbers": "an array of numbers",
        "table": "a table",
        "tables": "an array of tables",
        "endpoints": "an array of endpoints",
        "any": "anything",
    }
    description = kind_descriptions[key.kind]
    if key.least is not None and key.most is not None and key.kind in ("number", "whole"):
        from_word = "above" if key.exclusive_least else "from"
        description += f" {from_word} {key.least:g} to {key.most:g}"
    return description + (f" {key.unit}" if key.unit else "")
