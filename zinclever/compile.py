"""The build step that compiles the hot modules (mypyc); without a compiler everything runs as it is written.

python -m zinclever.compile
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from .native import FOLDER, MODULES, PACKAGE, STAMP, SUFFIX, checksum, libraries, path_of

PATIENCE = 420.0  # s: it takes some fifty on one core


def compile_to(folder: Path) -> str:
    """Make the folder anew; what went wrong, or an empty text."""
    with tempfile.TemporaryDirectory() as name:
        root = Path(name)
        shutil.copytree(PACKAGE, root / PACKAGE.name, ignore=shutil.ignore_patterns("__pycache__", "*.so", FOLDER))
        made_of = checksum()
        texts = [str(path_of(m).relative_to(PACKAGE.parent)) for m in MODULES]
        command = [str(Path(sys.executable).with_name("mypyc")), *texts]
        try:
            done = subprocess.run(command, cwd=root, capture_output=True, text=True, timeout=PATIENCE)
        except (OSError, subprocess.TimeoutExpired) as wrong:
            return str(wrong)
        shared = list(root.glob(f"*{SUFFIX}"))
        made = {root / t.removesuffix(".py"): m for t, m in zip(texts, MODULES, strict=True)}
        files = {Path(f"{at}{SUFFIX}"): f"{module}{SUFFIX}" for at, module in made.items()}
        if done.returncode or not shared or not all(f.exists() for f in files):
            return (done.stdout + done.stderr)[-2000:] or "nothing was made"
        put({**files, **{f: f.name for f in shared}}, made_of, folder)
    return ""


def put(files: dict[Path, str], made_of: str, folder: Path) -> None:
    """Put a folder in the place of another by renames: a process that has the old libraries loaded, this one among
    them, keeps them. Written over in place they would crash it."""
    new, old = folder.with_name(f"{folder.name}.new"), folder.with_name(f"{folder.name}.old")
    for left in (new, old):
        shutil.rmtree(left, ignore_errors=True)
    new.mkdir(parents=True)
    for file, name in files.items():
        shutil.copy2(file, new / name)
    (new / STAMP).write_text(made_of)
    if folder.exists():
        os.rename(folder, old)
    os.rename(new, folder)
    shutil.rmtree(old, ignore_errors=True)


def main() -> int:
    if set(MODULES) <= libraries(PACKAGE / FOLDER).keys():
        print("compiled already, of this very text")
        return 0
    wrong = compile_to(PACKAGE / FOLDER)
    done = f"{len(MODULES)} modules are compiled"
    print(f"nothing is compiled, and all runs as it is written: {wrong}" if wrong else done)
    return 0


if __name__ == "__main__":
    sys.exit(main())
