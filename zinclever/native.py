"""Loads the modules on the request path from compiled libraries, if these match the sources.

:mod:`zinclever.compile` writes the libraries and a checksum of their sources to a directory. The import hook in this
module loads them under the modules' own names; if the sources have changed since, they are imported as Python.
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
    "zinclever.fleet.decaying_mean",
    "zinclever.fleet.expiring_set",
    "zinclever.fleet.zone_reachability",
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
    "zinclever.http1.request_handler",
    "zinclever.http1.frontend",
)
VARIABLE = "ZINCLEVER_NATIVE"
"""Environment variable: another directory for the libraries, or ``text`` to import the Python sources."""
TEXT = "text"
FOLDER, STAMP = "_native", "checksum"
SUFFIX = EXTENSION_SUFFIXES[0]
SHARED = "__mypyc"  # suffix of the library that holds the code of all modules


def path_of(module: str) -> Path:
    """Returns the path of a module's source."""
    return PACKAGE.joinpath(*module.split(".")[1:]).with_suffix(".py")


def checksum() -> str:
    """Returns the checksum of the sources of all compiled modules."""
    total = 0
    for module in MODULES:
        total = zlib.crc32(path_of(module).read_bytes(), total)
    return str(total)


def library_directory() -> Path | None:
    """Returns the directory of the libraries; None if the Python sources are to be used."""
    value = os.environ.get(VARIABLE)
    if value == TEXT:
        return None
    return Path(value) if value else PACKAGE / FOLDER


def libraries(directory: Path) -> Mapping[str, Path]:
    """Returns the libraries by module; empty if there are none or if they don't match the sources."""
    try:
        if (directory / STAMP).read_text() != checksum():
            return {}
    except OSError:
        return {}
    return {p.name.removesuffix(SUFFIX): p for p in directory.iterdir() if p.name.endswith(SUFFIX)}


class Finder(MetaPathFinder):
    """Import hook that finds compiled modules before their sources."""

    def __init__(self, files: Mapping[str, Path]) -> None:
        self.files = files

    def find_spec(self, name: str, path: Sequence[str] | None, target: ModuleType | None = None) -> ModuleSpec | None:
        """See :class:`importlib.abc.MetaPathFinder`."""
        file = self.files.get(name)
        return spec_from_file_location(name, file) if file is not None else None


def install() -> bool:
    """Installs the import hook; returns whether compiled modules are used.

    Must be called before the first of these modules is imported.
    """
    directory = library_directory()
    files = libraries(directory) if directory is not None else {}
    shared = next((name for name in files if name.endswith(SHARED)), None)
    if shared is None or not set(MODULES) <= files.keys():
        return False
    finder = Finder(files)
    sys.meta_path.insert(0, finder)
    try:
        importlib.import_module(shared)
    except ImportError:  # built for another interpreter, or incomplete
        sys.meta_path.remove(finder)
        return False
    return True
