"""The platform's configuration: the file that ``LB_CONFIG`` names, and the environment."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from .core.protocol import Address, read_address
from .interface import Settings
from .settings import read_settings


class ConfigError(Exception):
    """The program can't start with what it was told."""


@dataclass(frozen=True, slots=True)
class Config:
    """What the program is told at its start."""

    listen: Address
    discovery: Address
    seed: int
    sockets: int
    known: dict[str, Any]
    settings: Settings
    zones: list[str]


def read_config(env: Mapping[str, str]) -> Config:
    """The configuration file that ``LB_CONFIG`` names; the addresses in the environment come first."""
    path = env.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set: it names the configuration file")
    try:
        told = orjson.loads(Path(path).read_bytes())
    except OSError as wrong:
        raise ConfigError(f"LB_CONFIG: {wrong}") from wrong
    except orjson.JSONDecodeError as wrong:
        raise ConfigError(f"LB_CONFIG: {path} is not JSON: {wrong}") from wrong
    try:
        settings = read_settings(told["settings"])
        if len({c.name for c in settings.classes} - {""}) < len(settings.classes):
            raise ValueError("settings.classes: each needs a name of its own")
        return Config(
            listen=read_address(env.get("LB_LISTEN") or told["listen"]),
            discovery=read_address(env.get("LB_DISCOVERY") or told["discovery"]),
            seed=int(str(told.get("seed") or "0"), 16),
            sockets=int((told.get("limits") or {}).get("sockets") or 1024),
            known=told.get("known") or {},
            settings=settings,
            zones=list(told["settings"].get("zones") or ()),
        )
    except KeyError as wrong:
        raise ConfigError(f"LB_CONFIG: {path}: no {wrong}") from wrong
    except (LookupError, TypeError, ValueError, AttributeError) as wrong:
        raise ConfigError(f"LB_CONFIG: {path}: {wrong}") from wrong
