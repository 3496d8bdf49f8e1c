"""The program of the mesh: ``python3 -m zinclever.hive ROLE``."""

from __future__ import annotations

import sys

from .cli import main

if __name__ == "__main__":
    sys.exit(main())
