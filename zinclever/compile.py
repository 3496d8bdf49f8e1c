"""Build step that compiles the hot modules with mypyc; without a compiler the Python sources are used.

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

COMPILE_TIMEOUT = 420.0  # s; a build takes some fifty seconds on one core


def compile_to(directory: Path) -> str:
    """Builds the libraries into a directory; returns an error message, empty on success."""
    with tempfile.TemporaryDirectory() as name:
        root = Path(name)
        shutil.copytree(PACKAGE, root / PACKAGE.name, ignore=shutil.ignore_patterns("__pycache__", "*.so", FOLDER))
        source_checksum = checksum()
        sources = [str(path_of(m).relative_to(PACKAGE.parent)) for m in MODULES]
        command = [str(Path(sys.executable).with_name("mypyc")), *sources]
        try:
            result = subprocess.run(command, cwd=root, capture_output=True, text=True, timeout=COMPILE_TIMEOUT)
        except (OSError, subprocess.TimeoutExpired) as error:
            return str(error)
        shared = list(root.glob(f"*{SUFFIX}"))
        modules = {root / s.removesuffix(".py"): m for s, m in zip(sources, MODULES, strict=True)}
        files = {Path(f"{path}{SUFFIX}"): f"{module}{SUFFIX}" for path, module in modules.items()}
        if result.returncode or not shared or not all(f.exists() for f in files):
            return (result.stdout + result.stderr)[-2000:] or "mypyc produced no libraries"
        replace_directory({**files, **{f: f.name for f in shared}}, source_checksum, directory)
    return ""


def replace_directory(files: dict[Path, str], source_checksum: str, directory: Path) -> None:
    """Replaces a directory by renames.

    Processes that have the old libraries loaded, such as this one, keep them; overwriting files in place would crash
    these processes.
    """
    new, old = directory.with_name(f"{directory.name}.new"), directory.with_name(f"{directory.name}.old")
    for leftover in (new, old):
        shutil.rmtree(leftover, ignore_errors=True)
    new.mkdir(parents=True)
    for file, name in files.items():
        shutil.copy2(file, new / name)
    (new / STAMP).write_text(source_checksum)
    if directory.exists():
        os.rename(directory, old)
    os.rename(new, directory)
    shutil.rmtree(old, ignore_errors=True)


def main() -> int:
    """Compiles the modules, unless the libraries are up to date; always returns 0."""
    if set(MODULES) <= libraries(PACKAGE / FOLDER).keys():
        print("libraries are up to date")
        return 0
    error = compile_to(PACKAGE / FOLDER)
    success = f"{len(MODULES)} modules are compiled"
    print(f"not compiled, the Python sources are used: {error}" if error else success)
    return 0


if __name__ == "__main__":
    sys.exit(main())
