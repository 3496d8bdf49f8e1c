"""The modules that every request passes through, as they run in service: compiled, where the build step has made that
of this very text, else as they are written.

:mod:`zinclever.compile` leaves libraries and the checksum of the text that they were made of in a folder. Here the
import system is told to take them for these modules, under their own names, unless the text has changed since.
"""

from __future__ import annotations

import importlib
import os
import sys
import zlib
from collections.abc import Mapping, Sequence
from importlib.abc import MetaPathFinder
from importlib.machinery import EXTENSION_SUFFIXES, ModuleSpec
from importlib.util import spec_from_file_location
from pathlib import Path
from types import ModuleType

PACKAGE = Path(__file__).parent
MODULES = (
    "zinclever.interface",
    "zinclever.fleet.limits",
    "zinclever.fleet.smooth",
    "zinclever.fleet.timed",
    "zinclever.fleet.returns",
    "zinclever.fleet.window",
    "zinclever.fleet.ring",
    "zinclever.policy.endpoints",
    "zinclever.policy.partition",
    "zinclever.policy.requests",
    "zinclever.policy.endpoint_list",
    "zinclever.policy.slow_start",
    "zinclever.policy.zone_crossing",
    "zinclever.policy.admission",
    "zinclever.policy.selection",
    "zinclever.policy.learning",
    "zinclever.policy.stalled_attempts",
    "zinclever.policy.balancer",
    "zinclever.core.protocol",
    "zinclever.core.counts",
    "zinclever.core.descriptors",
    "zinclever.core.pools",
    "zinclever.core.dispatcher",
    "zinclever.http1.bodies",
    "zinclever.http1.connection",
    "zinclever.http1.wire",
    "zinclever.http1.heads",
    "zinclever.http1.clients",
    "zinclever.http1.server",
    "zinclever.http1.desk",
    "zinclever.http1.front",
)
VARIABLE = "ZINCLEVER_NATIVE"
"""Names another folder, or is ``text``: everything runs as it is written."""
TEXT = "text"
FOLDER, STAMP = "_native", "checksum"
SUFFIX = EXTENSION_SUFFIXES[0]
SHARED = "__mypyc"  # ends the name of the library that holds the code of all


def path_of(module: str) -> Path:
    """A module's text."""
    return PACKAGE.joinpath(*module.split(".")[1:]).with_suffix(".py")


def checksum() -> str:
    """Of the texts that are compiled."""
    total = 0
    for module in MODULES:
        total = zlib.crc32(path_of(module).read_bytes(), total)
    return str(total)


def folder() -> Path | None:
    """Where the libraries are looked for."""
    named = os.environ.get(VARIABLE)
    if named == TEXT:
        return None
    return Path(named) if named else PACKAGE / FOLDER


def libraries(where: Path) -> Mapping[str, Path]:
    """By module: empty where there are none, or of another text."""
    try:
        if (where / STAMP).read_text() != checksum():
            return {}
    except OSError:
        return {}
    return {p.name.removesuffix(SUFFIX): p for p in where.iterdir() if p.name.endswith(SUFFIX)}


class Finder(MetaPathFinder):
    """Finds the compiled modules before their texts are."""

    def __init__(self, files: Mapping[str, Path]) -> None:
        self.files = files

    def find_spec(self, name: str, path: Sequence[str] | None, target: ModuleType | None = None) -> ModuleSpec | None:
        file = self.files.get(name)
        return spec_from_file_location(name, file) if file is not None else None


def install() -> bool:
    """Take the compiled modules from now on; whether there are any. Called before one of them is imported."""
    where = folder()
    files = libraries(where) if where is not None else {}
    shared = next((name for name in files if name.endswith(SHARED)), None)
    if shared is None or not set(MODULES) <= files.keys():
        return False
    finder = Finder(files)
    sys.meta_path.insert(0, finder)
    try:
        importlib.import_module(shared)
    except ImportError:  # made for another interpreter, or half removed
        sys.meta_path.remove(finder)
        return False
    return True
