"""Typed settings from the platform's configuration file, which ``LB_CONFIG`` points to, and the environment."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ..core.protocol import Address, read_address
from ..interface import Settings
from ..settings import read_settings

INHERITED_VARIABLE = "LB_INHERITED_FD"
BYTES_PER_MB = 1 << 20


@dataclass(frozen=True, slots=True)
class Config:
    """Settings of the process from the platform's configuration and the environment."""

    listen: Address
    admin: Address | None
    """Address of the admin server; None if it is disabled."""
    inherited: int | None
    """Descriptor of a listening socket that the platform keeps open across restarts, if any."""
    discovery: Address
    seed: int
    sockets: int
    memory: float | None
    """Memory limit of the process in bytes; None if not set."""
    known: dict[str, Any]
    """The last known endpoint list, as the file contains it."""
    settings: Settings
    zones: list[str]


def parse_descriptor(text: str | None) -> int | None:
    """Parse the number of an inherited descriptor. Return None if the text is empty or None.

    Raises:
        ValueError: The text is not a decimal number.
    """
    if not text:
        return None
    if not text.isdecimal():
        raise ValueError(f"{INHERITED_VARIABLE}: not the number of a descriptor: {text!r}")
    return int(text)


def build(values: dict[str, Any], clean: dict[str, Any], env: Mapping[str, str]) -> Config:
    """Build the settings. Addresses in the environment take precedence over those in the file.

    Args:
        values: The parsed file; its check found no error.
        clean: The same values with defaults filled in.
        env: Environment variables.

    Raises:
        ValueError: The environment is invalid, or the settings are invalid in a way that the checks don't cover.
    """
    admin = env.get("LB_ADMIN_ADDR") or clean["admin_addr"]
    return Config(
        listen=read_address(env.get("LB_LISTEN") or clean["listen"]),
        admin=read_address(admin) if admin else None,
        inherited=parse_descriptor(env.get(INHERITED_VARIABLE)),
        discovery=read_address(env.get("LB_DISCOVERY") or clean["discovery"]),
        seed=int(clean["seed"], 16),
        sockets=clean["limits"]["sockets"],
        memory=clean["limits"]["memory_mb"] * BYTES_PER_MB if clean["limits"]["memory_mb"] else None,
        known=values.get("known") or {},
        settings=read_settings(values["settings"]),
        zones=list(clean["settings"]["zones"]),
    )
