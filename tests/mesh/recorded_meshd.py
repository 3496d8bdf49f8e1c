"""Runs a control node and keeps a copy of what is durable on its disk, so that a test can simulate a power failure."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
sys.path[:1] = [str(ROOT), str(ROOT / "tests")]

import meshd  # noqa: E402
from mesh.recorded_disk import DurableCopy, RecordedDisk  # noqa: E402


def run() -> int:
    """Run the program with the arguments of this one, and return its exit code."""
    settings = json.loads(Path(os.environ["ZINCLEVER_BOOT"]).read_bytes())
    durable_copy = DurableCopy(Path(settings["StateDir"]))
    durable_copy.copy.mkdir(exist_ok=True)
    with RecordedDisk(durable_copy.folder, durable_copy).recording():
        return meshd.run()


if __name__ == "__main__":
    sys.exit(run())
