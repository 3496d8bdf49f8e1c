"""Entry point of the mesh: ``python3 meshd.py ROLE``."""

from __future__ import annotations

import os
import sys

# Selects the interpreted modules, before any of them is imported: the mesh subclasses classes of the standalone
# sidecar, which their compiled versions don't allow.
os.environ["ZINCLEVER_NATIVE"] = "text"

from zinclever.mesh.cli import main

if __name__ == "__main__":
    sys.exit(main())
