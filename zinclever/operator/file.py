"""The operator file as a whole: its version and its services."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from ..core.protocol import Address
from .jsonrpc import JsonRpcService, read_jsonrpc
from .reader import OperatorError, Table, parse

VERSION = 1
MOST_FILE = 1 << 20  # bytes: some ten thousand methods
PROTOCOLS = {"jsonrpc": read_jsonrpc}


@dataclass(frozen=True, slots=True)
class Operator:
    """What the operator file tells."""

    services: Mapping[str, JsonRpcService]


def read_operator(path: str) -> Operator:
    """The file at that path. OperatorError where it can't be read or used."""
    try:
        with Path(path).open("rb") as file:
            data = file.read(MOST_FILE + 1)
        if len(data) > MOST_FILE:
            raise OperatorError(f"more than {MOST_FILE} bytes")
        return read_services(parse(data))
    except OSError as wrong:
        raise OperatorError(str(wrong)) from wrong
    except OperatorError as wrong:
        raise OperatorError(f"{path}: {wrong}") from wrong


def read_services(top: Table) -> Operator:
    version = top.whole("version", 1, 1 << 31)
    if version != VERSION:
        raise top.wrong("version", f"this sidecar reads version {VERSION}, not {version}")
    services: dict[str, JsonRpcService] = {}
    listening: dict[Address, str] = {}
    for name, table in top.table("services").tables():
        service = PROTOCOLS[table.one_of("protocol", PROTOCOLS)](name, table)
        table.done()
        if service.listen in listening:
            raise table.wrong("listen", f"services.{listening[service.listen]} listens there")
        listening[service.listen] = name
        services[name] = service
    top.done()
    return Operator(services)
