"""The program of the mesh: ``python3 meshd.py ROLE``."""

from __future__ import annotations

import os
import sys

# The sidecar's modules run as they are written here: the mesh has classes of its own made from theirs, which those that
# are compiled for the sidecar in service don't allow. Said before any of them is imported.
os.environ["ZINCLEVER_NATIVE"] = "text"

from zinclever.mesh.cli import main

if __name__ == "__main__":
    sys.exit(main())
