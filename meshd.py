"""Entry point of the mesh: ``python3 meshd.py ROLE``."""

from __future__ import annotations

import os
import signal
import sys

# Selects the interpreted modules, before any of them is imported: the mesh subclasses classes of the standalone
# sidecar, which their compiled versions don't allow.
os.environ["ZINCLEVER_NATIVE"] = "text"


def run() -> int:
    """Run the command line, and return its exit code.

    SIGHUP is ignored until a role handles it: by default it ends a process, and importing the modules takes long.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from zinclever.mesh.cli import main

    return main()


if __name__ == "__main__":
    sys.exit(run())
