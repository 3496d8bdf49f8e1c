"""The settings file that a process is told of at its start, checked."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson
from schema import And, Optional, Or, Schema, SchemaError

from ...core.protocol import Address, read_address
from ..consensus.quorum import FaultModel
from ..errors import MeshError

SETTINGS_VARIABLE = "ZINCLEVER_BOOT"


def is_address(text: object) -> bool:
    if not isinstance(text, str):
        return False
    try:
        read_address(text)
    except ValueError:
        return False
    return True


ADDRESS: Any = And(is_address, error="must be host:port")
PORT: Any = And(int, lambda p: 0 < p < 65536, error="must be a port")
NAME: Any = And(str, len, error="must be a text that is not empty")
POSITIVE: Any = And(Or(int, float), lambda v: v > 0, error="must be a number above 0")

SETTINGS_SCHEMA = Schema(
    {
        "NodeName": NAME,
        "Role": NAME,
        "Ip": NAME,
        "Zone": str,
        "Serves": [str],
        "Bind": {Optional(str): ADDRESS},
        "EphemeralPorts": And([PORT], lambda p: len(p) == 2 and p[0] < p[1], error="must be two ports, rising"),
        "SeedNodes": [ADDRESS],
        Optional("MachineClass"): str,
        Optional("Region"): str,
        Optional("Zones"): dict,
        Optional("Bootstrap"): bool,
        Optional("Counted"): bool,
        Optional("StateDir"): Or(None, NAME),
        Optional("HeartbeatS"): POSITIVE,
        Optional("Bounds"): [str],
        Optional("Limits"): dict,
        Optional("FaultModel"): dict,
        Optional("AppAddr"): Or(None, ADDRESS),
        Optional("Target"): Or(None, str),
    },
    ignore_extra_keys=True,
)


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What this process is told."""

    name: str
    ip: str
    zone: str
    zones: tuple[str, ...]
    bind: Mapping[str, Address]
    ephemeral_ports: tuple[int, int]
    seeds: tuple[Address, ...]
    bootstrap: bool
    state_folder: str | None
    """The folder of its disk."""
    heartbeat_interval: float
    """s between two beats of an endpoint."""
    fault_model: FaultModel
    regions: Mapping[str, str]
    """By zone."""
    max_descriptors: int
    memory_mb: int
    """MB."""
    link_mbps: float
    """Mbit/s of this machine's link; 0 where nothing is said of it."""
    bounds: Mapping[str, float]
    application_address: Address | None
    service: str


def parse(text: bytes) -> NodeSettings:
    """The settings from their text; MeshError with the path of what is wrong."""
    try:
        told: Any = orjson.loads(text)
        SETTINGS_SCHEMA.validate(told)
    except orjson.JSONDecodeError as wrong:
        raise MeshError("BOOT_UNREADABLE", str(wrong)) from None
    except SchemaError as wrong:
        raise MeshError("BOOT_INVALID", " ".join(str(wrong.code).split()), "boot") from None
    limits, fault = told.get("Limits") or {}, told.get("FaultModel") or {}
    return NodeSettings(
        told["NodeName"],
        told["Ip"],
        told["Zone"],
        tuple(sorted(told.get("Zones") or {told["Zone"]: ""})),
        {k: read_address(v) for k, v in told["Bind"].items()},
        tuple(told["EphemeralPorts"]),
        tuple(read_address(s) for s in told["SeedNodes"]),
        bool(told.get("Bootstrap")),
        told.get("StateDir"),
        float(told.get("HeartbeatS", 1.5)),
        FaultModel(int(fault.get("HostLosses", 1)), int(fault.get("Zones", 0)), int(fault.get("RegionLosses", 0))),
        dict(told.get("Zones") or {told["Zone"]: told.get("Region", "")}),
        int(limits.get("MaxFds", 1024)),
        int(limits.get("MemoryMb", 256)),
        float(limits.get("LinkMbps") or 0.0),
        parse_bounds(told.get("Bounds") or []),
        read_address(told["AppAddr"]) if told.get("AppAddr") else None,
        told.get("Target") or "",
    )


def parse_bounds(texts: list[str]) -> dict[str, float]:
    """``name=value`` texts, or several on one line; a value may be ``true`` or ``false``."""
    found: dict[str, float] = {}
    for text in (part for line in texts for part in line.split(",")):
        name, _, value = text.strip().partition("=")
        try:
            found[name] = float({"true": "1", "false": "0"}.get(value.lower(), value))
        except ValueError:
            raise MeshError("BOOT_INVALID", f"is no number: {value!r}", f"Bounds.{name}") from None
    return found
