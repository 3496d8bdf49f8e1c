"""Behaviour changes between two operator files that pass their check. Pure functions."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from ..configuration.findings import Path, dotted

Clean = dict[str, Any]
#: How freely requests of a class may be resent.
FREEDOM = {"at_most_once": 0, "deduplicated": 1, "idempotent": 2}
WIDTH = {None: 0, "cell": 0, "zone": 1, "all": 2}
WORDS = {
    "at_most_once": "is never sent twice",
    "deduplicated": "may be resent inside its group and window",
    "idempotent": "may be resent freely, and copied while it is out",
}


class Change(NamedTuple):
    """One change in behaviour."""

    risk: bool
    """Whether requests may now be resent that were not before, or have weaker protection."""
    key: str
    text: str


def compare(before: Clean, after: Clean) -> list[Change]:
    """Return all changes between two cleaned operator files, risks first."""
    found = list(_services(before["services"], after["services"]))
    found += _plain(("limits",), before["limits"], after["limits"], ())
    return sorted(found, key=lambda c: (not c.risk, c.key))


def _services(before: Clean, after: Clean) -> Iterator[Change]:
    for name in sorted(before.keys() | after.keys()):
        path: Path = ("services", name)
        if name not in after:
            yield Change(False, dotted(path), "the service is gone")
        elif name not in before:
            yield Change(False, dotted(path), f"a new service listens on {after[name]['listen']}")
        else:
            yield from _service(path, before[name], after[name])


def _service(path: Path, before: Clean, after: Clean) -> Iterator[Change]:
    yield from _classes(path, before["classes"], after["classes"])
    yield from _methods(path, before, after)
    new = sorted(set(after["never_ran_errors"]) - set(before["never_ran_errors"]))
    if new:
        yield Change(
            True, dotted((*path, "never_ran_errors")), f"calls of every class may now be resent after the errors {new}"
        )
    if after["expose"] and not before["expose"]:
        yield Change(True, dotted((*path, "expose")), "it may now be reached from elsewhere")
    handled = ("classes", "methods", "default_class", "expose")
    yield from _plain(path, before, after, handled)


def _classes(path: Path, before: Clean, after: Clean) -> Iterator[Change]:
    for name in sorted(before.keys() & after.keys()):
        old, new, at = before[name], after[name], (*path, "classes", name)
        freer = FREEDOM[new["repeat"]] > FREEDOM[old["repeat"]]
        if new["repeat"] != old["repeat"]:
            yield Change(
                freer, dotted((*at, "repeat")), f"a call that {WORDS[old['repeat']]} now {WORDS[new['repeat']]}"
            )
        elif new["repeat"] == "deduplicated":
            if WIDTH[new["group"]] != WIDTH[old["group"]]:
                yield Change(
                    WIDTH[new["group"]] > WIDTH[old["group"]],
                    dotted((*at, "group")),
                    f"repeats go to the same {old['group']} -> {new['group']}",
                )
            if new["window_ms"] != old["window_ms"]:
                yield Change(
                    new["window_ms"] > old["window_ms"],
                    dotted((*at, "window_ms")),
                    f"repeats are sent for {old['window_ms']:g} -> {new['window_ms']:g} ms",
                )
        yield from _plain(at, old, new, ("repeat", "group", "window_ms"))


def names(service: Clean) -> dict[str, str]:
    """Return the class of each method by all of its names, aliases included."""
    return {n: m["class"] for name, m in service["methods"].items() for n in (name, *m["aliases"])}


def _methods(path: Path, before: Clean, after: Clean) -> Iterator[Change]:
    old, new = names(before), names(after)
    for name in sorted(old.keys() | new.keys()):
        was, now = old.get(name, before["default_class"]), new.get(name, after["default_class"])
        at = dotted((*path, "methods", name))
        if was is None and now is not None:
            repeat = after["classes"][now]["repeat"]
            yield Change(FREEDOM[repeat] > 0, at, f"it was answered -32601; now it {WORDS[repeat]} ({now})")
        elif now is None:
            yield Change(False, at, "it is now answered -32601")
        elif was is not None:
            yield from _moved(at, before["classes"][was], after["classes"][now], was, now)
    if before["default_class"] != after["default_class"]:
        yield Change(
            False,
            dotted((*path, "default_class")),
            f"methods that are not listed: {before['default_class'] or 'answered -32601'} -> "
            f"{after['default_class'] or 'answered -32601'}",
        )


def _moved(at: str, old: Clean, new: Clean, was: str, now: str) -> Iterator[Change]:
    if was == now:
        return  # changes of the class itself are reported under its own keys
    freer = FREEDOM[new["repeat"]] > FREEDOM[old["repeat"]]
    yield Change(freer, at, f"class {was} -> {now}: it {WORDS[new['repeat']]}")


def _plain(path: Path, before: Clean, after: Clean, handled: tuple[str, ...]) -> Iterator[Change]:
    for name in sorted(before.keys() | after.keys()):
        if name not in handled and before.get(name) != after.get(name):
            yield Change(False, dotted((*path, name)), f"{_worded(before.get(name))} -> {_worded(after.get(name))}")


def _worded(value: Any) -> str:
    if isinstance(value, list) and value and isinstance(value[0], dict):
        return ", ".join(row["address"] for row in value)
    if isinstance(value, tuple):
        return str(list(value))
    return "nothing" if value is None else f"{value:g}" if isinstance(value, float) else str(value)
