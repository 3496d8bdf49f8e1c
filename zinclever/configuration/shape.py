"""Values held against the model: what each key may be by itself. No I/O, no order of keys assumed."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from typing import Any

from ..core.protocol import read_address
from .findings import Finding, Path
from .model import MOST_ENDPOINTS, UNREAD, Key, Kind

LARGEST = 2**63 - 1  # TOML and JSON readers elsewhere hold no larger integer
ALIKE = 0.75  # how alike a typo has to be to the key that it is taken for

Clean = dict[str, Any]


def shape(
    values: dict[str, Any], keys: Sequence[Key], path: Path = (), open: bool = False
) -> tuple[Clean, list[Finding]]:
    """The values with defaults filled in, and every finding. What is wrong or missing is None."""
    found: list[Finding] = []
    clean: Clean = {}
    star = keys[0] if keys and keys[0].name == "*" else None
    if star is not None:
        for name, value in values.items():
            if problem := unsuitable(name):
                found.append(Finding("ZC117", (*path, name), f"the name {problem}"))
            clean[name], more = one(value, star, (*path, name))
            found += more
        return clean, found
    known = {key.name: key for key in keys}
    meant: set[str] = set()
    for name in values:
        if name not in known:
            told, near = unknown(name, values, keys, path, open)
            found += told
            meant.add(near)
    for name, key in known.items():
        at = (*path, name)
        # The platform words an absent value as null.
        absent = name not in values or (open and values[name] is None and not key.required)
        if not absent:
            clean[name], more = one(values[name], key, at)
            found += more
        else:
            if key.required and name not in meant:  # else its typo is told, which is enough
                found.append(Finding("ZC111", at, f"{name} is missing; it takes {worded(key)}"))
            clean[name] = shape({}, key.inner, at)[0] if key.default == {} and key.inner else key.default
    return clean, found


def unknown(
    name: str, values: dict[str, Any], keys: Sequence[Key], path: Path, open: bool
) -> tuple[list[Finding], str]:
    """An unknown key: a typo of the nearest known one that is not there itself, a look-alike, or just unknown.

    With it the known key that must have been meant, if there is one.
    """
    # Loaded for a file that has something wrong: a running sidecar has no use for them.
    import difflib
    import unicodedata

    free = [key.name for key in keys if key.name not in values]
    folded = unicodedata.normalize("NFKD", name).encode("ascii", "ignore").decode()
    near = difflib.get_close_matches(name.lower().replace("-", "_"), [k.replace("-", "_") for k in free], 1, ALIKE)
    meant = next((k for k in free if near and k.replace("-", "_") == near[0]), "")
    if not name.isascii():
        close = meant or next(iter(difflib.get_close_matches(folded, free, 1, 0.6)), "")
        instead = f"write {close}, in plain letters" if close else ""
        return [Finding("ZC118", (*path, name), f"{name!r} holds {odd_letters(name)}", instead)], close
    if open and name in UNREAD:
        return [], ""
    if open and not meant:
        return [Finding("ZC119", (*path, name), f"{name} is not read")], ""
    nearest = meant or next(iter(difflib.get_close_matches(name, [k.name for k in keys], 1, 0.5)), "")
    instead = f"did you mean {nearest}?" if nearest else f"known here: {', '.join(k.name for k in keys)}"
    return [Finding("ZC110", (*path, name), f"{name} is not known here", instead)], meant


def odd_letters(name: str) -> str:
    import unicodedata

    return ", ".join(unicodedata.name(c, f"U+{ord(c):04X}") for c in name if not c.isascii())


def unsuitable(text: str) -> str:
    """Why a text can't be a name; empty where it can."""
    if not text.strip():
        return "is empty"
    return "holds control characters" if any(ord(c) < 32 or ord(c) == 127 for c in text) else ""


def one(value: Any, key: Key, path: Path) -> tuple[Any, list[Finding]]:
    """One value, cleaned."""
    if key.kind == "any":
        return value, []
    if key.kind == "table":
        if not isinstance(value, dict):
            return None, [wrong_kind(value, key, path)]
        return shape(value, key.inner, path, key.open) if key.inner else (value, [])
    if key.kind in ("tables", "endpoints"):
        return rows(value, key, path)
    if key.kind in ("texts", "wholes", "numbers"):
        return items(value, key, path)
    found = list(single(value, key, path))
    if found:
        return None, found
    return (float(value) if key.kind == "number" else value), []


def rows(value: Any, key: Key, path: Path) -> tuple[Any, list[Finding]]:
    """An array of tables; of endpoints each may be an address alone."""
    if not isinstance(value, list):
        return None, [wrong_kind(value, key, path)]
    if key.kind == "endpoints" and not 0 < len(value) <= MOST_ENDPOINTS:
        return None, [Finding("ZC114", path, f"{len(value)} endpoints; it takes 1 to {MOST_ENDPOINTS}")]
    cleaned, found = [], list[Finding]()
    for n, row in enumerate(value):
        if key.kind == "endpoints" and isinstance(row, str):
            inner, more = shape({"address": row}, key.inner, (*path, n))
            # The address stands there itself.
            more = [Finding(f.code, (*path, n), f.reason, f.instead) for f in more]
        elif isinstance(row, dict):
            inner, more = shape(row, key.inner, (*path, n), key.open)
        else:
            what = "an address or a table" if key.kind == "endpoints" else "a table"
            inner, more = {}, [Finding("ZC112", (*path, n), f"takes {what}, not {kind_of(row)}")]
        cleaned.append(inner)
        found += more
    return cleaned, found


def items(value: Any, key: Key, path: Path) -> tuple[Any, list[Finding]]:
    if not isinstance(value, list):
        return None, [wrong_kind(value, key, path)]
    kinds: dict[str, Kind] = {"texts": "text", "wholes": "whole", "numbers": "number"}
    least, most = (key.least, key.most) if key.kind == "numbers" else (-LARGEST, LARGEST)
    inner = Key(key.name, kinds[key.kind], key.doc, least=least, most=most)
    found: list[Finding] = []
    for n, item in enumerate(value):
        found += single(item, inner, (*path, n))
    return (None if found else tuple(value)), found


def single(value: Any, key: Key, path: Path) -> Iterator[Finding]:
    """What is wrong with a value that holds no others."""
    numeric = isinstance(value, int | float) and not isinstance(value, bool)
    if key.kind in ("number", "whole"):
        if not numeric or (key.kind == "whole" and isinstance(value, float) and math.isfinite(value)):
            yield wrong_kind(value, key, path)
        elif abs(value) > LARGEST if isinstance(value, int) else not math.isfinite(value):
            yield Finding("ZC113", path, f"{short(value)} is no number that sets a limit", worded(key))
        else:
            yield from bounds(value, key, path)
    elif key.kind == "flag":
        if not isinstance(value, bool):
            yield wrong_kind(value, key, path)
    elif not isinstance(value, str):
        yield wrong_kind(value, key, path)
    else:
        yield from text(value, key, path)


def bounds(value: float, key: Key, path: Path) -> Iterator[Finding]:
    low = key.least is not None and (value < key.least or (key.above and value <= key.least))
    minus_zero = isinstance(value, float) and value == 0.0 and math.copysign(1.0, value) < 0.0
    if low or minus_zero or (key.most is not None and value > key.most):
        yield Finding("ZC114", path, f"{short(value)} is out of bounds", worded(key))


def text(value: str, key: Key, path: Path) -> Iterator[Finding]:
    if key.kind == "choice":
        if value not in key.choices:
            import difflib

            near = difflib.get_close_matches(value.lower(), key.choices, 1, 0.5)
            instead = f"did you mean {near[0]!r}?" if near else worded(key)
            yield Finding("ZC115", path, f"{short(value)} is none of {', '.join(key.choices)}", instead)
    elif key.kind == "address":
        try:
            host, port = read_address(value)
        except ValueError:
            host, port = "", 0
        if not host or unsuitable(host) or " " in host or not 0 < port < 65536:
            yield Finding("ZC116", path, f"{short(value)} is no address", "write host:port, as in 127.0.0.1:7001")
    elif key.kind == "pointer":
        from ..jsonrpc.codec import parse_json_pointer

        try:
            parse_json_pointer(value)
        except ValueError:
            yield Finding("ZC117", path, f"{short(value)} is no JSON Pointer", "write a path such as /key")
    elif key.default != "" and (problem := unsuitable(value)):
        yield Finding("ZC117", path, f"the text {problem}")


def wrong_kind(value: Any, key: Key, path: Path) -> Finding:
    return Finding("ZC112", path, f"takes {worded(key)}, not {kind_of(value)}")


def kind_of(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f"the text {short(value)}"
    if isinstance(value, dict | list):
        return "a table" if isinstance(value, dict) else "an array"
    if value is None:
        return "null"
    return f"{short(value)}" if isinstance(value, int | float) else f"a date or time, {short(value)}"


def short(value: Any) -> str:
    told = repr(value) if isinstance(value, str) else f"{value}"
    return told if len(told) <= 40 else told[:37] + "..."


def worded(key: Key) -> str:
    """What a key takes, in words."""
    if key.kind == "choice":
        return "one of " + ", ".join(key.choices)
    words = {
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
    told = words[key.kind]
    if key.least is not None and key.most is not None and key.kind in ("number", "whole"):
        begin = "above" if key.above else "from"
        told += f" {begin} {key.least:g} to {key.most:g}"
    return told + (f" {key.unit}" if key.unit else "")
