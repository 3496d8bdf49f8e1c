"""The tests: those of the sidecar in service by pytest, those of the mesh by nose2. Ends with 0 where all pass."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def main() -> int:
    mesh = [sys.executable, "-m", "nose2", "-s", "tests/hive", "-t", "tests"]
    failed = [c for c in (mesh, [sys.executable, "-m", "pytest"]) if subprocess.run(c, cwd=ROOT).returncode]
    for command in failed:
        print("failed:", *command, file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
