"""Checks of settings against each other: each may be valid by itself, but not in combination. Pure functions.

They take cleaned values from :func:`~zinclever.configuration.shape.shape`. None marks a value that is absent or has a
finding already.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from ..core.descriptors import DESCRIPTOR_RESERVE
from ..core.protocol import Address, read_address
from ..fleet.subset import MIN_INSTANCES_PER_SERVER
from .findings import Finding, Path

Clean = dict[str, Any]
WINDOW_MARGIN = 500.0  # ms that a window must exceed deadline plus connect timeout: queueing, and clock differences
SIDECAR_FAILURE, INTERNAL_ERROR = -32051, -32603  # JSON-RPC error codes after which a call may have run
IDLE_MB = 30  # memory of an idle sidecar with a JSON-RPC service, rounded up
RESERVED_METHOD_PREFIX = "rpc."
WILDCARD_HOSTS = ("0.0.0.0", "")


def check_operator_file(clean: Clean, other_listeners: dict[Address, str] | None = None) -> Iterator[Finding]:
    """Check the operator file.

    Args:
        clean: The cleaned values of the file.
        other_listeners: Addresses that services of other files listen on, with the names that findings use for them.
    """
    services = {n: s for n, s in (clean.get("services") or {}).items() if s is not None}
    for name, service in services.items():
        path: Path = ("services", name)
        yield from check_classes(service, path)
        yield from check_methods(service, path)
        yield from check_endpoints(service, path)
        yield from check_error_codes(service, path)
        yield from check_attempts(service, path)
        yield from check_instances(service, path, clean.get("shares") or {})
    yield from check_floor(clean.get("shares") or {})
    yield from check_addresses(services, other_listeners or {})
    yield from check_limits(clean, services)


def valid_classes(service: Clean) -> dict[str, Clean]:
    """Return a service's classes by name, without those that are invalid."""
    return {n: c for n, c in (service["classes"] or {}).items() if c is not None}


def check_classes(service: Clean, path: Path) -> Iterator[Finding]:
    """Check deadlines, and the settings for deduplication, of the classes of a service."""
    if service["classes"] == {}:
        yield Finding("ZC111", (*path, "classes"), "no class is defined", "define at least one")
    for name, klass in valid_classes(service).items():
        class_path: Path = (*path, "classes", name)
        aim, deadline, window = klass["aim_ms"], klass["deadline_ms"], klass["window_ms"]
        if aim and deadline and aim > deadline:
            yield Finding(
                "ZC201",
                (*class_path, "aim_ms"),
                f"aim_ms {aim:g} lies beyond deadline_ms {deadline:g}",
                f"write {deadline:g} or less",
                ((*class_path, "deadline_ms"),),
            )
        if klass["repeat"] is None:
            continue
        if klass["repeat"] != "deduplicated":
            for key in ("window_ms", "group"):
                if klass[key] is not None:
                    yield Finding(
                        "ZC202",
                        (*class_path, key),
                        f"{key} is for deduplicated classes; this one is {klass['repeat']}",
                        f"leave {key} out",
                        ((*class_path, "repeat"),),
                    )
            continue
        if window is None:
            yield Finding(
                "ZC203",
                (*class_path, "window_ms"),
                "a deduplicated class needs window_ms",
                "write how long endpoints remember a key",
                ((*class_path, "repeat"),),
            )
        connect_timeout = service["connect_timeout_ms"]
        if window and deadline and connect_timeout and window < deadline + connect_timeout + WINDOW_MARGIN:
            min_window = deadline + connect_timeout + WINDOW_MARGIN
            yield Finding(
                "ZC204",
                (*class_path, "window_ms"),
                f"a repeat may still be sent {deadline:g} ms after the first; with {connect_timeout:g} ms to "
                f"connect and {WINDOW_MARGIN:g} ms of margin the window would have to be {min_window:g}",
                f"write a deadline_ms of {max(0.0, window - connect_timeout - WINDOW_MARGIN):g} or less",
                ((*class_path, "deadline_ms"), (*path, "connect_timeout_ms")),
            )


def check_methods(service: Clean, path: Path) -> Iterator[Finding]:
    """Check the methods of a service, their aliases, and the default class."""
    defined_classes = valid_classes(service)
    default_class = service["default_class"]
    if default_class is not None:
        yield from check_class_defined(default_class, defined_classes, (*path, "default_class"), path)
        repeat = (defined_classes.get(default_class) or {}).get("repeat")
        if repeat not in (None, "at_most_once"):
            yield Finding(
                "ZC205",
                (*path, "default_class"),
                f"{default_class} is {repeat}",
                'name a class of repeat = "at_most_once"',
                ((*path, "classes", default_class, "repeat"),),
            )
    valid_methods = {n: m for n, m in (service["methods"] or {}).items() if m is not None}
    if service["methods"] == {} and default_class is None:
        yield Finding("ZC229", (*path, "methods"), "no method is listed, and there is no default_class")
    names: dict[str, tuple[Path, str | None]] = {}
    for name, method in valid_methods.items():
        key_path: Path = (*path, "methods", name)
        klass = method["class"]
        if klass is not None:
            yield from check_class_defined(klass, defined_classes, (*key_path, "class"), path)
            yield from check_method_key(method, defined_classes.get(klass), klass, key_path, path)
        if (
            name.startswith(RESERVED_METHOD_PREFIX)
            and (defined_classes.get(klass or "") or {}).get("repeat") != "at_most_once"
        ):
            yield Finding("ZC232", key_path, f"{name} is reserved by the specification", "", ((*key_path, "class"),))
        names[name] = key_path, klass
    for name, method in valid_methods.items():
        for n, alias in enumerate(method["aliases"] or ()):
            key_path = (*path, "methods", name, "aliases", n)
            if alias in names:
                first_path, klass = names[alias]
                yield Finding(
                    "ZC206",
                    key_path,
                    f"{alias!r} is of class {method['class']} here and of {klass} there",
                    "list the name once",
                    (first_path,),
                )
            else:
                names[alias] = key_path, method["class"]
    yield from check_name_case(names)


def check_name_case(names: dict[str, tuple[Path, str | None]]) -> Iterator[Finding]:
    """Report method names that differ in case only but belong to different classes."""
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


def check_class_defined(name: str, defined_classes: dict[str, Clean], key_path: Path, path: Path) -> Iterator[Finding]:
    """Report a class that is not defined."""
    if name not in defined_classes:
        yield Finding(
            "ZC115",
            key_path,
            f"no class {name!r} is defined",
            f"one of {', '.join(defined_classes)}" if defined_classes else "",
            ((*path, "classes"),),
        )


def check_method_key(method: Clean, klass: Clean | None, name: str, method_path: Path, path: Path) -> Iterator[Finding]:
    """Check that a method has a key if, and only if, its class is deduplicated."""
    if klass is None or klass["repeat"] is None:
        return
    is_deduplicated = klass["repeat"] == "deduplicated"
    related: tuple[Path, ...] = ((*path, "classes", name, "repeat"),)
    if is_deduplicated and method["key"] is None:
        yield Finding(
            "ZC111",
            (*method_path, "key"),
            "key is missing; repeats of a deduplicated call are told by it",
            'write key = "/..."',
            related,
        )
    if not is_deduplicated and method["key"] is not None:
        yield Finding(
            "ZC202",
            (*method_path, "key"),
            f"key is for methods of a deduplicated class; {name} is {klass['repeat']}",
            "leave key out",
            related,
        )


def check_endpoints(service: Clean, path: Path) -> Iterator[Finding]:
    """Check the endpoints of a service, its zone, and the deduplication groups of its endpoints."""
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
    for name, klass in valid_classes(service).items():
        group = klass["group"]
        if klass["repeat"] != "deduplicated" or group not in ("zone", "cell"):
            continue
        without_group = [n for n, row in rows if not row.get(group)]
        if len(without_group) > 1:
            yield Finding(
                "ZC208",
                (*path, "classes", name, "group"),
                f"{len(without_group)} endpoints tell no {group}, and would be taken for one",
                f"give each endpoint its {group}",
                ((*path, "endpoints", without_group[1]),),
            )
    zones = {row.get("zone") for _, row in rows} | set(service["zones"] or ())
    if service["zone"] and service["zone"] not in zones and (rows or service["zones"]):
        yield Finding("ZC230", (*path, "zone"), f"no endpoint is in {service['zone']!r}")


def check_error_codes(service: Clean, path: Path) -> Iterator[Finding]:
    """Check the error codes with which endpoints report that a call did not run."""
    for n, code in enumerate(service["never_ran_errors"] or ()):
        code_path: Path = (*path, "never_ran_errors", n)
        if code in (INTERNAL_ERROR, SIDECAR_FAILURE):
            yield Finding("ZC209", code_path, f"{code} says that the call may have run", "leave it out")
        elif code in (service["failure_errors"] or ()):
            index = service["failure_errors"].index(code)
            yield Finding(
                "ZC210",
                code_path,
                f"{code} is among failure_errors too",
                "leave it out of one of them",
                ((*path, "failure_errors", index),),
            )


def check_attempts(service: Clean, path: Path) -> Iterator[Finding]:
    """Check that retries and copies can take place within the limits and deadlines."""
    idempotent = [n for n, c in valid_classes(service).items() if c["repeat"] == "idempotent"]
    if idempotent and service["max_attempts"] == 1:
        yield Finding(
            "ZC220",
            (*path, "max_attempts"),
            f"{idempotent[0]} may be repeated, but has one attempt",
            "write 2 or more",
            ((*path, "classes", idempotent[0], "repeat"),),
        )
    elif idempotent and service["copies"] is False:
        yield Finding(
            "ZC220",
            (*path, "copies"),
            f"{idempotent[0]} may be repeated, but its delay never fires",
            "leave copies out",
            ((*path, "classes", idempotent[0], "repeat"),),
        )
    connect_timeout = service["connect_timeout_ms"]
    for name, klass in valid_classes(service).items():
        deadline = klass["deadline_ms"]
        if connect_timeout and deadline and connect_timeout >= deadline:
            yield Finding(
                "ZC221",
                (*path, "connect_timeout_ms"),
                f"{connect_timeout:g} is not under the deadline_ms of {name}, {deadline:g}",
                f"write less than {deadline:g}",
                ((*path, "classes", name, "deadline_ms"),),
            )


def check_instances(service: Clean, path: Path, shares: Clean) -> Iterator[Finding]:
    """Check a service's instance number, and the shared connection limit against the number of instances."""
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
    limit, subset, endpoint_count = (
        shares.get("connections"),
        shares.get("subset"),
        len(service["endpoints"] or ()),
    )
    if limit and endpoint_count:
        per_endpoint = count * min(
            1.0, max(subset or endpoint_count, MIN_INSTANCES_PER_SERVER * endpoint_count / count) / endpoint_count
        )
        if per_endpoint > limit:
            yield Finding(
                "ZC234",
                ("shares", "connections"),
                f"each endpoint of {path[-1]} is known to {per_endpoint:.0f} instances, and may have {limit:g}",
                "write a smaller subset, or more connections",
                ((*path, "instances"),),
            )


def check_floor(shares: Clean) -> Iterator[Finding]:
    """Report a floor for retries and copies if no ratio limits them."""
    if shares.get("floor_per_s") and not shares.get("retry_ratio") and not shares.get("copy_ratio"):
        yield Finding(
            "ZC235",
            ("shares", "floor_per_s"),
            "neither retry_ratio nor copy_ratio is set",
            "set one of them, or leave floor_per_s out",
        )


def addresses_collide(first: Address, second: Address) -> bool:
    """Return whether two listen addresses collide: same port, and the same host or a wildcard host."""
    return first[1] == second[1] and (
        first[0] == second[0] or first[0] in WILDCARD_HOSTS or second[0] in WILDCARD_HOSTS
    )


def is_loopback(address: Address) -> bool:
    """Return whether an address is on the loopback interface."""
    return address[0].startswith("127.") or address[0] == "localhost"


def check_addresses(services: dict[str, Clean], other_listeners: dict[Address, str]) -> Iterator[Finding]:
    """Check listen addresses for collisions and exposure, and endpoints that are the sidecar itself."""
    listeners: list[tuple[Address, Path, str]] = [(a, (), owner) for a, owner in other_listeners.items()]
    for name, service in services.items():
        key_path: Path = ("services", name, "listen")
        if service["listen"] is None:
            continue
        address = read_address(service["listen"])
        for listener, listener_path, owner in listeners:
            if addresses_collide(address, listener):
                yield Finding(
                    "ZC224",
                    key_path,
                    f"{owner} listens there",
                    "take another port",
                    (listener_path,) if listener_path else (),
                )
        listeners.append((address, key_path, f"services.{name}"))
        if not is_loopback(address) and not service["expose"]:
            yield Finding(
                "ZC225",
                key_path,
                f"{service['listen']} can be reached from elsewhere",
                "listen on 127.0.0.1, or write expose = true",
            )
    for name, service in services.items():
        targets: list[tuple[Path, str]] = [
            (("services", name, "endpoints", n), row["address"])
            for n, row in enumerate(service["endpoints"] or ())
            if row.get("address")
        ]
        if service["discovery"]:
            targets.append((("services", name, "discovery"), service["discovery"]))
        for key_path, target in targets:
            address = read_address(target)
            for listener, listener_path, owner in listeners:
                wildcard_covers = listener[0] in WILDCARD_HOSTS and is_loopback(address)
                if address[1] == listener[1] and (address[0] == listener[0] or wildcard_covers):
                    yield Finding(
                        "ZC226",
                        key_path,
                        f"{target} is where {owner} listens",
                        "name the endpoint's own address",
                        (listener_path,) if listener_path else (),
                    )


def check_limits(clean: Clean, services: dict[str, Clean]) -> Iterator[Finding]:
    """Check the descriptor and memory limits against what all services together may use."""
    limits = clean.get("limits") or {}
    client_count = sum(s["max_clients"] or 0 for s in services.values())
    endpoint_count = sum(len(s["endpoints"] or ()) for s in services.values())
    sockets = limits.get("sockets")
    if sockets and services and sockets - DESCRIPTOR_RESERVE - client_count < endpoint_count:
        service_name = next(iter(services))
        yield Finding(
            "ZC222",
            ("limits", "sockets"),
            f"{sockets} less {DESCRIPTOR_RESERVE} in reserve and {client_count} clients leave "
            f"{max(0, sockets - DESCRIPTOR_RESERVE - client_count)} for {endpoint_count} endpoints",
            f"write {endpoint_count + client_count + DESCRIPTOR_RESERVE} or more, or fewer max_clients",
            (("services", service_name, "max_clients"),),
        )
    memory = limits.get("memory_mb")
    client_mb = sum((s["max_clients"] or 0) * (s["max_text_kb"] or 0) for s in services.values()) / 1024.0
    if memory and services and IDLE_MB + client_mb > memory:
        service_name = max(
            services, key=lambda n: (services[n]["max_clients"] or 0) * (services[n]["max_text_kb"] or 0)
        )
        yield Finding(
            "ZC223",
            ("limits", "memory_mb"),
            f"clients times texts may hold {client_mb:.0f} MB beside {IDLE_MB}, and there are {memory}",
            "lower max_clients or max_text_kb",
            (("services", service_name, "max_clients"), ("services", service_name, "max_text_kb")),
        )


def check_platform_file(clean: Clean) -> Iterator[Finding]:
    """Check the platform's configuration."""
    settings = clean.get("settings") or {}
    classes_path: Path = ("settings", "classes")
    if settings.get("classes") == []:
        yield Finding("ZC111", classes_path, "no class is defined", "define at least one")
    names: dict[str, int] = {}
    for n, klass in enumerate(settings.get("classes") or ()):
        if not klass:
            continue
        class_path: Path = (*classes_path, n)
        first = names.setdefault(klass["name"], n) if klass["name"] else n
        if first != n:
            yield Finding(
                "ZC231", (*class_path, "name"), f"{klass['name']!r} comes twice", "", ((*classes_path, first, "name"),)
            )
        aim, deadline = klass["aim"], klass["deadline"]
        if aim and deadline and aim > deadline:
            yield Finding(
                "ZC201",
                (*class_path, "aim"),
                f"aim {aim:g} lies beyond deadline {deadline:g}",
                f"write {deadline:g} or less",
                ((*class_path, "deadline"),),
            )
        if klass["repeat"] == "deduplicated" and not klass["window"] and klass["window"] is not None:
            yield Finding(
                "ZC203",
                (*class_path, "window"),
                "a deduplicated class needs a window above 0",
                "write how long endpoints remember a key",
                ((*class_path, "repeat"),),
            )
    tenants: dict[str, int] = {}
    for n, tenant in enumerate(settings.get("realms") or ()):
        name = tenant.get("name")
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
    listen, discovery = clean.get("listen"), clean.get("discovery")
    if listen and discovery and read_address(listen) == read_address(discovery):
        yield Finding("ZC226", ("discovery",), "it is where the sidecar listens", "", (("listen",),))
    if clean.get("seed") is not None:
        try:
            int(clean["seed"], 16)
        except ValueError:
            yield Finding("ZC117", ("seed",), f"{clean['seed'][:40]!r} is no hexadecimal number")
