"""What a JSON-RPC service says of itself."""

from __future__ import annotations

from dataclasses import dataclass
from typing import cast

from .. import interface as i
from ..core.protocol import Address
from ..jsonrpc.codec import INTERNAL_ERROR, read_pointer
from ..jsonrpc.connection import Proofs
from ..jsonrpc.framing import Framing
from ..jsonrpc.rules import Method, Rules
from .common import Common, address, read_classes, read_common
from .reader import Table

MOST_METHODS = 10_000


@dataclass(frozen=True, slots=True)
class JsonRpcService:
    """One service, whole and checked."""

    name: str
    listen: Address
    common: Common
    rules: Rules
    proofs: Proofs


def read_jsonrpc(name: str, table: Table) -> JsonRpcService:
    classes = read_classes(table)
    numbers = {c.name: n for n, c in enumerate(classes)}
    default: int | None = None
    if table.has("default_class"):
        default = numbers[table.one_of("default_class", numbers)]
        if classes[default].repeat != "at_most_once":
            raise table.wrong("default_class", "takes a class of repeat = \"at_most_once\": methods that are "
                              "not listed might do something twice")
    framing = cast(Framing, table.one_of("framing", ("lines", "headers"), "lines"))
    never_ran = frozenset(table.wholes("never_ran_errors"))
    failed = frozenset(table.wholes("failure_errors")) if table.has("failure_errors") else DEFAULT_FAILURES
    if both := never_ran & failed:
        raise table.wrong("never_ran_errors", f"{min(both)} is among failure_errors too")
    methods = table.table("methods")
    if len(methods.values) > MOST_METHODS:
        raise table.wrong("methods", f"takes {MOST_METHODS} methods at most")
    rules = Rules(framing, {m: read_method(t, numbers, classes) for m, t in methods.tables()}, default)
    if not rules.methods and default is None:
        raise table.wrong("methods", "no method is listed, and there is no default_class")
    listen = address(table, "listen", table.text("listen"))
    return JsonRpcService(name, listen, read_common(table, classes), rules, Proofs(never_ran, failed))


DEFAULT_FAILURES = frozenset({INTERNAL_ERROR})


def read_method(table: Table, numbers: dict[str, int], classes: tuple[i.RequestClass, ...]) -> Method:
    klass = numbers[table.one_of("class", numbers)]
    keyed = classes[klass].repeat == "deduplicated"
    if table.has("key") != keyed:
        raise table.wrong("key", "is missing; a deduplicated call is told by it" if keyed
                          else "is for methods of a deduplicated class")
    key = table.checked("key", table.text("key"), read_pointer) if keyed else ()
    table.done()
    return Method(klass, key)
