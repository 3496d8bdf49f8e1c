"""The platform's configuration as typed settings: the file that ``LB_CONFIG`` names, and the environment."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ..core.protocol import Address, read_address
from ..interface import Settings
from ..settings import read_settings

INHERITED = "LB_INHERITED_FD"
MEGABYTE = 1 << 20


@dataclass(frozen=True, slots=True)
class Config:
    """What the program is told at its start."""

    listen: Address
    admin: Address | None
    """Where operators call, if anywhere."""
    inherited: int | None
    """The descriptor of a socket that listens already, kept by the platform."""
    discovery: Address
    seed: int
    sockets: int
    memory: float | None
    """Bytes that the process may use; None: not told."""
    known: dict[str, Any]
    settings: Settings
    zones: list[str]


def descriptor(text: str | None) -> int | None:
    """The number of a descriptor that was handed over. ValueError where it is none."""
    if not text:
        return None
    if not text.isdecimal():
        raise ValueError(f"{INHERITED}: not the number of a descriptor: {text!r}")
    return int(text)


def build(values: dict[str, Any], clean: dict[str, Any], env: Mapping[str, str]) -> Config:
    """From values whose check found no error; addresses in the environment come first.

    ValueError for what is wrong in the environment, or in what only the settings themselves can tell.
    """
    admin = env.get("LB_ADMIN_ADDR") or clean["admin_addr"]
    return Config(
        listen=read_address(env.get("LB_LISTEN") or clean["listen"]),
        admin=read_address(admin) if admin else None,
        inherited=descriptor(env.get(INHERITED)),
        discovery=read_address(env.get("LB_DISCOVERY") or clean["discovery"]),
        seed=int(clean["seed"], 16),
        sockets=clean["limits"]["sockets"],
        memory=clean["limits"]["memory_mb"] * MEGABYTE if clean["limits"]["memory_mb"] else None,
        known=values.get("known") or {},
        settings=read_settings(values["settings"]),
        zones=list(clean["settings"]["zones"]),
    )
