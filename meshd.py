"""Entry point of the mesh: ``python3 meshd.py ROLE``."""

from __future__ import annotations

import os
import signal
import sys
from types import FrameType

# Selects the interpreted modules, before any of them is imported: the mesh subclasses classes of the standalone
# sidecar, which their compiled versions don't allow.
os.environ["ZINCLEVER_NATIVE"] = "text"


def exit_before_start(number: int, frame: FrameType | None) -> None:
    """Exit with code 0: nothing has been started that would have to be shut down."""
    sys.exit(0)


def run() -> int:
    """Run the command line, and return its exit code.

    Importing the modules takes long. Until a role handles the signals, SIGTERM ends the process in order, and SIGHUP,
    whose default action would end it too, is ignored.
    """
    signal.signal(signal.SIGTERM, exit_before_start)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from zinclever.mesh.cli import main

    return main()


if __name__ == "__main__":
    sys.exit(run())
