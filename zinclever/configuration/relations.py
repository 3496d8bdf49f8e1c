"""What settings say to one another: each valid by itself, and together what can't be meant. Pure functions.

They take cleaned values (:func:`~zinclever.configuration.shape.shape`): what is None was wrong by itself and is
told already.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from ..core.descriptors import DESCRIPTOR_RESERVE
from ..core.protocol import Address, read_address
from ..fleet.subset import MIN_INSTANCES_PER_SERVER
from .findings import Finding, Path

Clean = dict[str, Any]
MARGIN = 500.0  # ms by which a window has to outlive a repeat's last send: queues, and clocks of two machines
OWN_FAILURE, INTERNAL = -32051, -32603
IDLE_MB = 30  # what a sidecar with a JSON-RPC service holds when idle, rounded up
RESERVED_METHODS = "rpc."
ANY_HOST = ("0.0.0.0", "")


def operator(clean: Clean, elsewhere: dict[Address, str] | None = None) -> Iterator[Finding]:
    """The operator file. ``elsewhere``: what other files listen on, and the name to tell it by."""
    services = {n: s for n, s in (clean.get("services") or {}).items() if s is not None}
    for name, service in services.items():
        path: Path = ("services", name)
        yield from classes(service, path)
        yield from methods(service, path)
        yield from endpoints(service, path)
        yield from error_codes(service, path)
        yield from attempts(service, path)
        yield from instances(service, path, clean.get("shares") or {})
    yield from floor(clean.get("shares") or {})
    yield from addresses(services, elsewhere or {})
    yield from sizes(clean, services)


def known_classes(service: Clean) -> dict[str, Clean]:
    return {n: c for n, c in (service["classes"] or {}).items() if c is not None}


def classes(service: Clean, path: Path) -> Iterator[Finding]:
    if service["classes"] == {}:
        yield Finding("ZC111", (*path, "classes"), "no class is defined", "define at least one")
    for name, klass in known_classes(service).items():
        at: Path = (*path, "classes", name)
        aim, deadline, window = klass["aim_ms"], klass["deadline_ms"], klass["window_ms"]
        if aim and deadline and aim > deadline:
            yield Finding(
                "ZC201",
                (*at, "aim_ms"),
                f"aim_ms {aim:g} lies beyond deadline_ms {deadline:g}",
                f"write {deadline:g} or less",
                ((*at, "deadline_ms"),),
            )
        if klass["repeat"] is None:
            continue
        if klass["repeat"] != "deduplicated":
            for key in ("window_ms", "group"):
                if klass[key] is not None:
                    yield Finding(
                        "ZC202",
                        (*at, key),
                        f"{key} is for deduplicated classes; this one is {klass['repeat']}",
                        f"leave {key} out",
                        ((*at, "repeat"),),
                    )
            continue
        if window is None:
            yield Finding(
                "ZC203",
                (*at, "window_ms"),
                "a deduplicated class needs window_ms",
                "write how long endpoints remember a key",
                ((*at, "repeat"),),
            )
        connect = service["connect_timeout_ms"]
        if window and deadline and connect and window < deadline + connect + MARGIN:
            least = deadline + connect + MARGIN
            yield Finding(
                "ZC204",
                (*at, "window_ms"),
                f"a repeat may still be sent {deadline:g} ms after the first; with {connect:g} ms to "
                f"connect and {MARGIN:g} ms of margin the window would have to be {least:g}",
                f"write a deadline_ms of {max(0.0, window - connect - MARGIN):g} or less",
                ((*at, "deadline_ms"), (*path, "connect_timeout_ms")),
            )


def methods(service: Clean, path: Path) -> Iterator[Finding]:
    defined = known_classes(service)
    default = service["default_class"]
    if default is not None:
        yield from class_of(default, defined, (*path, "default_class"), path)
        repeat = (defined.get(default) or {}).get("repeat")
        if repeat not in (None, "at_most_once"):
            yield Finding(
                "ZC205",
                (*path, "default_class"),
                f"{default} is {repeat}",
                'name a class of repeat = "at_most_once"',
                ((*path, "classes", default, "repeat"),),
            )
    listed = {n: m for n, m in (service["methods"] or {}).items() if m is not None}
    if service["methods"] == {} and default is None:
        yield Finding("ZC229", (*path, "methods"), "no method is listed, and there is no default_class")
    names: dict[str, tuple[Path, str | None]] = {}
    for name, method in listed.items():
        at: Path = (*path, "methods", name)
        klass = method["class"]
        if klass is not None:
            yield from class_of(klass, defined, (*at, "class"), path)
            yield from key_of(method, defined.get(klass), klass, at, path)
        if name.startswith(RESERVED_METHODS) and (defined.get(klass or "") or {}).get("repeat") != "at_most_once":
            yield Finding("ZC232", at, f"{name} is reserved by the specification", "", ((*at, "class"),))
        names[name] = at, klass
    for name, method in listed.items():
        for n, alias in enumerate(method["aliases"] or ()):
            at = (*path, "methods", name, "aliases", n)
            if alias in names:
                first, klass = names[alias]
                yield Finding(
                    "ZC206",
                    at,
                    f"{alias!r} is of class {method['class']} here and of {klass} there",
                    "list the name once",
                    (first,),
                )
            else:
                names[alias] = at, method["class"]
    yield from cases(names)


def cases(names: dict[str, tuple[Path, str | None]]) -> Iterator[Finding]:
    folded: dict[str, str] = {}
    for name in names:
        other = folded.setdefault(name.casefold(), name)
        if other != name and names[other][1] != names[name][1]:
            yield Finding(
                "ZC207",
                names[name][0],
                f"{name!r} and {other!r} differ in case only, under {names[name][1]} and {names[other][1]}",
                "",
                (names[other][0],),
            )


def class_of(name: str, defined: dict[str, Clean], at: Path, path: Path) -> Iterator[Finding]:
    if name not in defined:
        yield Finding(
            "ZC115",
            at,
            f"no class {name!r} is defined",
            f"one of {', '.join(defined)}" if defined else "",
            ((*path, "classes"),),
        )


def key_of(method: Clean, klass: Clean | None, name: str, at: Path, path: Path) -> Iterator[Finding]:
    if klass is None or klass["repeat"] is None:
        return
    keyed = klass["repeat"] == "deduplicated"
    told: tuple[Path, ...] = ((*path, "classes", name, "repeat"),)
    if keyed and method["key"] is None:
        yield Finding(
            "ZC111",
            (*at, "key"),
            "key is missing; repeats of a deduplicated call are told by it",
            'write key = "/..."',
            told,
        )
    if not keyed and method["key"] is not None:
        yield Finding(
            "ZC202",
            (*at, "key"),
            f"key is for methods of a deduplicated class; {name} is {klass['repeat']}",
            "leave key out",
            told,
        )


def endpoints(service: Clean, path: Path) -> Iterator[Finding]:
    listed, discovery = service["endpoints"], service["discovery"]
    if listed is not None and discovery is not None:
        yield Finding(
            "ZC228", (*path, "discovery"), "endpoints are listed too", "leave one of them out", ((*path, "endpoints"),)
        )
    rows = [(n, e) for n, e in enumerate(listed or ()) if e.get("address")]
    seen: dict[Address, int] = {}
    for n, row in rows:
        first = seen.setdefault(read_address(row["address"]), n)
        if first != n:
            yield Finding(
                "ZC227",
                (*path, "endpoints", n),
                f"{row['address']} is listed before",
                "leave it out",
                ((*path, "endpoints", first),),
            )
    for name, klass in known_classes(service).items():
        group = klass["group"]
        if klass["repeat"] != "deduplicated" or group not in ("zone", "cell"):
            continue
        untold = [n for n, row in rows if not row.get(group)]
        if len(untold) > 1:
            yield Finding(
                "ZC208",
                (*path, "classes", name, "group"),
                f"{len(untold)} endpoints tell no {group}, and would be taken for one",
                f"give each endpoint its {group}",
                ((*path, "endpoints", untold[1]),),
            )
    zones = {row.get("zone") for _, row in rows} | set(service["zones"] or ())
    if service["zone"] and service["zone"] not in zones and (rows or service["zones"]):
        yield Finding("ZC230", (*path, "zone"), f"no endpoint is in {service['zone']!r}")


def error_codes(service: Clean, path: Path) -> Iterator[Finding]:
    for n, code in enumerate(service["never_ran_errors"] or ()):
        at: Path = (*path, "never_ran_errors", n)
        if code in (INTERNAL, OWN_FAILURE):
            yield Finding("ZC209", at, f"{code} says that the call may have run", "leave it out")
        elif code in (service["failure_errors"] or ()):
            where = service["failure_errors"].index(code)
            yield Finding(
                "ZC210",
                at,
                f"{code} is among failure_errors too",
                "leave it out of one of them",
                ((*path, "failure_errors", where),),
            )


def attempts(service: Clean, path: Path) -> Iterator[Finding]:
    safe = [n for n, c in known_classes(service).items() if c["repeat"] == "idempotent"]
    if safe and service["max_attempts"] == 1:
        yield Finding(
            "ZC220",
            (*path, "max_attempts"),
            f"{safe[0]} may be repeated, but has one attempt",
            "write 2 or more",
            ((*path, "classes", safe[0], "repeat"),),
        )
    elif safe and service["copies"] is False:
        yield Finding(
            "ZC220",
            (*path, "copies"),
            f"{safe[0]} may be repeated, but its delay never fires",
            "leave copies out",
            ((*path, "classes", safe[0], "repeat"),),
        )
    connect = service["connect_timeout_ms"]
    for name, klass in known_classes(service).items():
        deadline = klass["deadline_ms"]
        if connect and deadline and connect >= deadline:
            yield Finding(
                "ZC221",
                (*path, "connect_timeout_ms"),
                f"{connect:g} is not under the deadline_ms of {name}, {deadline:g}",
                f"write less than {deadline:g}",
                ((*path, "classes", name, "deadline_ms"),),
            )


def instances(service: Clean, path: Path, shares: Clean) -> Iterator[Finding]:
    """What a service says of its many instances."""
    count, number = service["instances"], service["number"]
    if count is None or number is None:
        return
    if number >= count:
        yield Finding(
            "ZC233",
            (*path, "number"),
            f"{number} is none of 0 to {count - 1}",
            f"write a number under {count}, or raise instances",
            ((*path, "instances"),),
        )
    cap, least, listed = shares.get("connections"), shares.get("subset"), len(service["endpoints"] or ())
    if cap and listed:
        known = count * min(1.0, max(least or listed, MIN_INSTANCES_PER_SERVER * listed / count) / listed)
        if known > cap:
            yield Finding(
                "ZC234",
                ("shares", "connections"),
                f"each endpoint of {path[-1]} is known to {known:.0f} instances, and may have {cap:g}",
                "write a smaller subset, or more connections",
                ((*path, "instances"),),
            )


def floor(shares: Clean) -> Iterator[Finding]:
    if shares.get("floor_per_s") and not shares.get("retry_ratio") and not shares.get("copy_ratio"):
        yield Finding(
            "ZC235",
            ("shares", "floor_per_s"),
            "neither retry_ratio nor copy_ratio is set",
            "set one of them, or leave floor_per_s out",
        )


def meets(one: Address, other: Address) -> bool:
    """Whether listening at one takes up the other, or reaches it."""
    return one[1] == other[1] and (one[0] == other[0] or one[0] in ANY_HOST or other[0] in ANY_HOST)


def local(address: Address) -> bool:
    return address[0].startswith("127.") or address[0] == "localhost"


def addresses(services: dict[str, Clean], elsewhere: dict[Address, str]) -> Iterator[Finding]:
    """Who listens where, and whether somebody's endpoint is the sidecar itself."""
    taken: list[tuple[Address, Path, str]] = [(a, (), told) for a, told in elsewhere.items()]
    for name, service in services.items():
        at: Path = ("services", name, "listen")
        if service["listen"] is None:
            continue
        address = read_address(service["listen"])
        for other, where, told in taken:
            if meets(address, other):
                yield Finding("ZC224", at, f"{told} listens there", "take another port", (where,) if where else ())
        taken.append((address, at, f"services.{name}"))
        if not local(address) and not service["expose"]:
            yield Finding(
                "ZC225",
                at,
                f"{service['listen']} can be reached from elsewhere",
                "listen on 127.0.0.1, or write expose = true",
            )
    for name, service in services.items():
        told_at: list[tuple[Path, str]] = [
            (("services", name, "endpoints", n), row["address"])
            for n, row in enumerate(service["endpoints"] or ())
            if row.get("address")
        ]
        if service["discovery"]:
            told_at.append((("services", name, "discovery"), service["discovery"]))
        for at, text in told_at:
            address = read_address(text)
            for other, where, told in taken:
                here = other[0] in ANY_HOST and local(address)
                if address[1] == other[1] and (address[0] == other[0] or here):
                    yield Finding(
                        "ZC226",
                        at,
                        f"{text} is where {told} listens",
                        "name the endpoint's own address",
                        (where,) if where else (),
                    )


def sizes(clean: Clean, services: dict[str, Clean]) -> Iterator[Finding]:
    """Descriptors and memory, over all services."""
    limits = clean.get("limits") or {}
    clients = sum(s["max_clients"] or 0 for s in services.values())
    targets = sum(len(s["endpoints"] or ()) for s in services.values())
    sockets = limits.get("sockets")
    if sockets and services and sockets - DESCRIPTOR_RESERVE - clients < targets:
        first = next(iter(services))
        yield Finding(
            "ZC222",
            ("limits", "sockets"),
            f"{sockets} less {DESCRIPTOR_RESERVE} in reserve and {clients} clients leave "
            f"{max(0, sockets - DESCRIPTOR_RESERVE - clients)} for {targets} endpoints",
            f"write {targets + clients + DESCRIPTOR_RESERVE} or more, or fewer max_clients",
            (("services", first, "max_clients"),),
        )
    memory = limits.get("memory_mb")
    held = sum((s["max_clients"] or 0) * (s["max_text_kb"] or 0) for s in services.values()) / 1024.0
    if memory and services and IDLE_MB + held > memory:
        first = max(services, key=lambda n: (services[n]["max_clients"] or 0) * (services[n]["max_text_kb"] or 0))
        yield Finding(
            "ZC223",
            ("limits", "memory_mb"),
            f"clients times texts may hold {held:.0f} MB beside {IDLE_MB}, and there are {memory}",
            "lower max_clients or max_text_kb",
            (("services", first, "max_clients"), ("services", first, "max_text_kb")),
        )


def platform(clean: Clean) -> Iterator[Finding]:
    """The platform's configuration."""
    settings = clean.get("settings") or {}
    base: Path = ("settings", "classes")
    if settings.get("classes") == []:
        yield Finding("ZC111", base, "no class is defined", "define at least one")
    names: dict[str, int] = {}
    for n, klass in enumerate(settings.get("classes") or ()):
        if not klass:
            continue
        at: Path = (*base, n)
        first = names.setdefault(klass["name"], n) if klass["name"] else n
        if first != n:
            yield Finding("ZC231", (*at, "name"), f"{klass['name']!r} comes twice", "", ((*base, first, "name"),))
        aim, deadline = klass["aim"], klass["deadline"]
        if aim and deadline and aim > deadline:
            yield Finding(
                "ZC201",
                (*at, "aim"),
                f"aim {aim:g} lies beyond deadline {deadline:g}",
                f"write {deadline:g} or less",
                ((*at, "deadline"),),
            )
        if klass["repeat"] == "deduplicated" and not klass["window"] and klass["window"] is not None:
            yield Finding(
                "ZC203",
                (*at, "window"),
                "a deduplicated class needs a window above 0",
                "write how long endpoints remember a key",
                ((*at, "repeat"),),
            )
    tenants: dict[str, int] = {}
    for n, realm in enumerate(settings.get("realms") or ()):
        name = realm.get("name")
        if name and tenants.setdefault(name, n) != n:
            yield Finding(
                "ZC231",
                ("settings", "realms", n, "name"),
                f"{name!r} comes twice",
                "",
                (("settings", "realms", tenants[name], "name"),),
            )
    zones = settings.get("zones") or ()
    if zones and settings.get("zone") is not None and settings["zone"] >= len(zones):
        yield Finding(
            "ZC230",
            ("settings", "zone"),
            f"there are {len(zones)} zones, and it is number {settings['zone']}",
            "count from 0",
            (("settings", "zones"),),
        )
    here, asked = clean.get("listen"), clean.get("discovery")
    if here and asked and read_address(here) == read_address(asked):
        yield Finding("ZC226", ("discovery",), "it is where the sidecar listens", "", (("listen",),))
    if clean.get("seed") is not None:
        try:
            int(clean["seed"], 16)
        except ValueError:
            yield Finding("ZC117", ("seed",), f"{clean['seed'][:40]!r} is no hexadecimal number")
