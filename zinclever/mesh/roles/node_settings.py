"""The settings file that a process reads at its start, and its validation."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import orjson
from schema import And, Optional, Or, Schema, SchemaError

from ...core.protocol import Address, read_address
from ..consensus.quorum import FaultModel
from ..errors import MeshError

SETTINGS_VARIABLE = "ZINCLEVER_BOOT"

DEFAULT_HEARTBEAT_INTERVAL = 1.5  # s
DEFAULT_MAX_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 256


def is_address(value: object) -> bool:
    """Return whether a value is a string of the form host:port."""
    if not isinstance(value, str):
        return False
    try:
        read_address(value)
    except ValueError:
        return False
    return True


ADDRESS: Any = And(is_address, error="must be host:port")
PORT: Any = And(int, lambda port: 0 < port < 65536, error="must be a port")
NAME: Any = And(str, len, error="must be a non-empty string")
POSITIVE: Any = And(Or(int, float), lambda value: value > 0, error="must be a number above 0")

SETTINGS_SCHEMA = Schema(
    {
        "NodeName": NAME,
        "Role": NAME,
        "Ip": NAME,
        "Zone": str,
        "Serves": [str],
        "Bind": {Optional(str): ADDRESS},
        "EphemeralPorts": And(
            [PORT], lambda ports: len(ports) == 2 and ports[0] < ports[1], error="must be two ports in ascending order"
        ),
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
    """The settings of a process."""

    name: str
    """Name of the machine."""
    ip: str
    zone: str
    zones: tuple[str, ...]
    """All zones of the deployment, sorted."""
    bind: Mapping[str, Address]
    """By purpose: the address to listen on."""
    ephemeral_ports: tuple[int, int]
    seeds: tuple[Address, ...]
    bootstrap: bool
    """Whether this is the first start of the deployment."""
    state_directory: str | None
    """Directory for persistent state; None if the machine has no disk."""
    heartbeat_interval: float
    """Time in s between two heartbeats of an endpoint."""
    fault_model: FaultModel
    regions: Mapping[str, str]
    """By zone: its region."""
    max_descriptors: int
    memory_mb: int
    link_mbps: float
    """Bandwidth of this machine's link in Mbit/s; 0 if not configured."""
    bounds: Mapping[str, float]
    """Limits of the deployment by name; durations in s."""
    application_address: Address | None
    """Address of the endpoint beside a sidecar, if configured."""
    service: str
    """Service of that endpoint; empty if not configured."""


def parse(text: bytes) -> NodeSettings:
    """Parse and validate settings. Raises MeshError with the path of the invalid field."""
    try:
        document: Any = orjson.loads(text)
        SETTINGS_SCHEMA.validate(document)
    except orjson.JSONDecodeError as error:
        raise MeshError("BOOT_UNREADABLE", str(error)) from None
    except SchemaError as error:
        raise MeshError("BOOT_INVALID", " ".join(str(error.code).split()), "boot") from None
    limits = document.get("Limits") or {}
    fault_model = document.get("FaultModel") or {}
    regions = dict(document.get("Zones") or {document["Zone"]: document.get("Region", "")})
    return NodeSettings(
        name=document["NodeName"],
        ip=document["Ip"],
        zone=document["Zone"],
        zones=tuple(sorted(regions)),
        bind={purpose: read_address(address) for purpose, address in document["Bind"].items()},
        ephemeral_ports=tuple(document["EphemeralPorts"]),
        seeds=tuple(read_address(seed) for seed in document["SeedNodes"]),
        bootstrap=bool(document.get("Bootstrap")),
        state_directory=document.get("StateDir"),
        heartbeat_interval=float(document.get("HeartbeatS", DEFAULT_HEARTBEAT_INTERVAL)),
        fault_model=FaultModel(
            hosts=int(fault_model.get("HostLosses", 1)),
            zones=int(fault_model.get("Zones", 0)),
            regions=int(fault_model.get("RegionLosses", 0)),
        ),
        regions=regions,
        max_descriptors=int(limits.get("MaxFds", DEFAULT_MAX_DESCRIPTORS)),
        memory_mb=int(limits.get("MemoryMb", DEFAULT_MEMORY_MB)),
        link_mbps=float(limits.get("LinkMbps") or 0.0),
        bounds=parse_bounds(document.get("Bounds") or []),
        application_address=read_address(document["AppAddr"]) if document.get("AppAddr") else None,
        service=document.get("Target") or "",
    )


def parse_bounds(texts: Iterable[str]) -> dict[str, float]:
    """Parse bounds of the form ``name=value``, one or several to a string; a value may be ``true`` or ``false``."""
    bounds: dict[str, float] = {}
    for text in (part for line in texts for part in line.split(",")):
        name, _, value = text.strip().partition("=")
        try:
            bounds[name] = float({"true": "1", "false": "0"}.get(value.lower(), value))
        except ValueError:
            raise MeshError("BOOT_INVALID", f"is not a number: {value!r}", f"Bounds.{name}") from None
    return bounds
