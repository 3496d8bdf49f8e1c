"""Runs the tests: those of the sidecar with pytest, those of the mesh with nose2. Exits with 0 if all pass.

``python tests/run.py`` runs all of them; ``python tests/run.py nose2`` those of the mesh; ``python tests/run.py pytest
[FILE ...]`` those of the sidecar, or only the named files. Only the tests listed in KNOWN-RED.txt, in the working
directory, may fail; see ``known_red``.
"""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest
from known_red import KnownRedError, Nose2KnownRed, PytestKnownRed, Verdict, load, of_nose2, of_pytest
from nose2.main import PluggableTestProgram

ROOT = Path(__file__).parent.parent
MESH_TESTS = ["-s", "tests/mesh", "-t", "tests"]


def run_pytest(files: list[str]) -> int:
    """Runs the named files, or all pytest tests if none are named."""
    verdict = Verdict(of_pytest(load(Path.cwd())), complete=not files)
    return int(pytest.main(files, plugins=[PytestKnownRed(verdict)]))


def run_nose2() -> int:
    """Runs all nose2 tests."""
    hooks = Nose2KnownRed(Verdict(of_nose2(load(Path.cwd())), complete=True))
    registered = [(name, hooks) for name in hooks.HOOKS]
    program = PluggableTestProgram(module=None, argv=["nose2", *MESH_TESTS], exit=False, extraHooks=registered)
    return 0 if program.result.wasSuccessful() else 1


def run_all() -> int:
    """Runs both parts, each in its own process, also if the first one fails."""
    load(ROOT)  # fails here once if the list is malformed
    program = [sys.executable, "tests/run.py"]
    from_sources = {**os.environ, "ZINCLEVER_NATIVE": "text", "PYTHONPATH": os.fspath(ROOT)}  # as in meshd.py
    runs = (([*program, "nose2"], from_sources), ([*program, "pytest"], dict(os.environ)))
    failed = [c for c, env in runs if subprocess.run(c, cwd=ROOT, env=env).returncode]
    for command in failed:
        print("failed:", *command, file=sys.stderr)
    return 1 if failed else 0


def main(arguments: list[str]) -> int:
    try:
        match arguments:
            case []:
                return run_all()
            case ["nose2"]:
                return run_nose2()
            case ["pytest", *files]:
                return run_pytest(files)
            case _:
                print(__doc__, file=sys.stderr)
                return 2
    except KnownRedError as malformed:
        print(f"KNOWN-RED.txt: {malformed}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
