"""The decision module as it runs in service: compiled, where the build step has made that, else as it is written.

Both are the same text: :mod:`zinclever.compile` compiles a copy of ``policy.py`` that bears its checksum, and a copy of
another text is not used.
"""

from __future__ import annotations

import importlib
import zlib
from pathlib import Path
from typing import cast

from .interface import Settings
from .policy import Balancer

NAME = "_policy_native"
SOURCE = Path(__file__).with_name("policy.py")


def checksum(text: bytes) -> int:
    return zlib.crc32(text)


def find() -> type[Balancer]:
    """The class to make balancers of."""
    try:
        made = importlib.import_module(f"{__package__}.{NAME}")
        if checksum(SOURCE.read_bytes()) == made.SOURCE:
            return cast(type[Balancer], made.Balancer)
    except (ImportError, AttributeError, OSError):
        pass  # no compiler, or an older build: the text itself does the same
    return Balancer


_found = find()


def make_balancer(settings: Settings, seed: int) -> Balancer:
    return _found(settings, seed)
