"""Behaviour changes between two operator files that pass their check. Pure functions."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from ..configuration.findings import Path, dotted

#: A table with defaults filled in, whose check found no error.
Clean = dict[str, Any]
#: How freely requests of a class may be resent.
REPEAT_FREEDOM = {"at_most_once": 0, "deduplicated": 1, "idempotent": 2}
#: How many endpoints a deduplication group covers, as an order.
GROUP_WIDTH = {None: 0, "cell": 0, "zone": 1, "all": 2}
#: Completes the sentence "a call that ...".
REPEAT_DESCRIPTIONS = {
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
    found_changes = list(_compare_services(before["services"], after["services"]))
    found_changes += _compare_values(("limits",), before["limits"], after["limits"], ())
    return sorted(found_changes, key=lambda c: (not c.risk, c.key))


def _compare_services(before: Clean, after: Clean) -> Iterator[Change]:
    for name in sorted(before.keys() | after.keys()):
        path: Path = ("services", name)
        if name not in after:
            yield Change(False, dotted(path), "the service is gone")
        elif name not in before:
            yield Change(False, dotted(path), f"a new service listens on {after[name]['listen']}")
        else:
            yield from _compare_service(path, before[name], after[name])


def _compare_service(path: Path, before: Clean, after: Clean) -> Iterator[Change]:
    yield from _compare_classes(path, before["classes"], after["classes"])
    yield from _compare_methods(path, before, after)
    new = sorted(set(after["never_ran_errors"]) - set(before["never_ran_errors"]))
    if new:
        yield Change(
            True, dotted((*path, "never_ran_errors")), f"calls of every class may now be resent after the errors {new}"
        )
    if after["expose"] and not before["expose"]:
        yield Change(True, dotted((*path, "expose")), "it may now be reached from elsewhere")
    handled = ("classes", "methods", "default_class", "expose")
    yield from _compare_values(path, before, after, handled)


def _compare_classes(path: Path, before: Clean, after: Clean) -> Iterator[Change]:
    for name in sorted(before.keys() & after.keys()):
        old, new, class_path = before[name], after[name], (*path, "classes", name)
        is_freer = REPEAT_FREEDOM[new["repeat"]] > REPEAT_FREEDOM[old["repeat"]]
        if new["repeat"] != old["repeat"]:
            yield Change(
                is_freer,
                dotted((*class_path, "repeat")),
                f"a call that {REPEAT_DESCRIPTIONS[old['repeat']]} now {REPEAT_DESCRIPTIONS[new['repeat']]}",
            )
        elif new["repeat"] == "deduplicated":
            if GROUP_WIDTH[new["group"]] != GROUP_WIDTH[old["group"]]:
                yield Change(
                    GROUP_WIDTH[new["group"]] > GROUP_WIDTH[old["group"]],
                    dotted((*class_path, "group")),
                    f"repeats go to the same {old['group']} -> {new['group']}",
                )
            if new["window_ms"] != old["window_ms"]:
                yield Change(
                    new["window_ms"] > old["window_ms"],
                    dotted((*class_path, "window_ms")),
                    f"repeats are sent for {old['window_ms']:g} -> {new['window_ms']:g} ms",
                )
        yield from _compare_values(class_path, old, new, ("repeat", "group", "window_ms"))


def class_by_name(service: Clean) -> dict[str, str]:
    """Return the class of each method by all of its names, aliases included."""
    return {n: m["class"] for name, m in service["methods"].items() for n in (name, *m["aliases"])}


def _compare_methods(path: Path, before: Clean, after: Clean) -> Iterator[Change]:
    old, new = class_by_name(before), class_by_name(after)
    for name in sorted(old.keys() | new.keys()):
        old_class, new_class = old.get(name, before["default_class"]), new.get(name, after["default_class"])
        key = dotted((*path, "methods", name))
        if old_class is None and new_class is not None:
            repeat = after["classes"][new_class]["repeat"]
            yield Change(
                REPEAT_FREEDOM[repeat] > 0,
                key,
                f"it was answered -32601; now it {REPEAT_DESCRIPTIONS[repeat]} ({new_class})",
            )
        elif new_class is None:
            yield Change(False, key, "it is now answered -32601")
        elif old_class is not None:
            yield from _compare_method_class(
                key, before["classes"][old_class], after["classes"][new_class], old_class, new_class
            )
    if before["default_class"] != after["default_class"]:
        yield Change(
            False,
            dotted((*path, "default_class")),
            f"methods that are not listed: {before['default_class'] or 'answered -32601'} -> "
            f"{after['default_class'] or 'answered -32601'}",
        )


def _compare_method_class(key: str, old: Clean, new: Clean, old_class: str, new_class: str) -> Iterator[Change]:
    if old_class == new_class:
        return  # changes of the class itself are reported under its own keys
    is_freer = REPEAT_FREEDOM[new["repeat"]] > REPEAT_FREEDOM[old["repeat"]]
    yield Change(is_freer, key, f"class {old_class} -> {new_class}: it {REPEAT_DESCRIPTIONS[new['repeat']]}")


def _compare_values(path: Path, before: Clean, after: Clean, handled: tuple[str, ...]) -> Iterator[Change]:
    for name in sorted(before.keys() | after.keys()):
        if name not in handled and before.get(name) != after.get(name):
            yield Change(
                False, dotted((*path, name)), f"{_format_value(before.get(name))} -> {_format_value(after.get(name))}"
            )


def _format_value(value: Any) -> str:
    if isinstance(value, list) and value and isinstance(value[0], dict):
        return ", ".join(row["address"] for row in value)
    if isinstance(value, tuple):
        return str(list(value))
    return "nothing" if value is None else f"{value:g}" if isinstance(value, float) else str(value)
