"""The build step that compiles the decision module (mypyc); without a compiler everything runs as it is written.

    python -m zinclever.compile
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from .native import NAME, SOURCE, checksum

PATIENCE = 300.0  # s: it takes some fifteen


def compile_to(folder: Path) -> str:
    """Compile a copy of the module into a folder of a package; what went wrong, or an empty text."""
    with tempfile.TemporaryDirectory() as name:
        package = Path(name) / folder.name
        shutil.copytree(SOURCE.parent, package, ignore=shutil.ignore_patterns("__pycache__", "*.so"))
        text = SOURCE.read_bytes()
        copy = package / f"{NAME}.py"
        copy.write_bytes(text + b"\n\nSOURCE = %d\n" % checksum(text))
        command = [str(Path(sys.executable).with_name("mypyc")), str(copy.relative_to(name))]
        try:
            done = subprocess.run(command, cwd=name, capture_output=True, text=True, timeout=PATIENCE)
        except (OSError, subprocess.TimeoutExpired) as wrong:
            return str(wrong)
        made = list(package.glob(f"{NAME}*.so"))
        if done.returncode or not made:
            return (done.stdout + done.stderr)[-2000:] or "nothing was made"
        for file in made:
            put(file, folder)
    return ""


def put(file: Path, folder: Path) -> None:
    """Put a library in the place of another by a rename: a process that has the old one loaded, this one
    among them, keeps it. Written over in place it would crash them."""
    beside = folder / f"{file.name}.new"
    shutil.copy2(file, beside)
    os.replace(beside, folder / file.name)


def main() -> int:
    wrong = compile_to(SOURCE.parent)
    print(f"the decision module is not compiled, and runs as it is written: {wrong}" if wrong
          else "the decision module is compiled")
    return 0


if __name__ == "__main__":
    sys.exit(main())
