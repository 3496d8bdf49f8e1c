"""The tests: those of the sidecar in service by pytest, those of the mesh by nose2. Ends with 0 where all pass."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def main() -> int:
    mesh = [sys.executable, "-m", "nose2", "-s", "tests/mesh", "-t", "tests"]
    as_written = {**os.environ, "ZINCLEVER_NATIVE": "text", "PYTHONPATH": os.fspath(ROOT)}  # as meshd.py has it
    runs = ((mesh, as_written), ([sys.executable, "-m", "pytest"], dict(os.environ)))
    failed = [c for c, env in runs if subprocess.run(c, cwd=ROOT, env=env).returncode]
    for command in failed:
        print("failed:", *command, file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
