"""Time and peak memory of the configuration tool for 1,000 files of 200 lines in one call.

python -m benchmarks.configtool
"""

from __future__ import annotations

import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from zinclever.configtool.writing import App, Endpoint, render

FILES, LINES = 1000, 200


def main() -> None:
    """Checks valid files, then files with a misspelt key."""
    text = render(
        App(
            "x",
            endpoints=tuple(Endpoint(f"127.0.0.1:{9000 + n}") for n in range(20)),
            reads=("page.get",),
            unlocks=(("unlock.buy", "/key"),),
            tips=("tip.send",),
        )
    )
    missing_lines = LINES - text.count("\n")
    text += "".join(f'"method.{n}" = {{ class = "read" }}\n' for n in range(missing_lines))
    broken = text.replace("aim_ms = 1000", "aim_sm = 1000", 1)
    with tempfile.TemporaryDirectory() as folder:
        for kind, content in (("good", text), ("broken", broken)):
            paths = []
            for n in range(FILES):
                path = Path(folder) / f"{kind}{n}.toml"
                path.write_text(content)
                paths.append(str(path))
            started = time.perf_counter()
            completed = subprocess.run(
                [sys.executable, "-m", "zinclever", "config", "check", *paths], capture_output=True, text=True
            )
            elapsed = time.perf_counter() - started
            peak = resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss / 1024.0
            print(
                f"{FILES} {kind} files of {content.count(chr(10))} lines: {elapsed:.2f} s, peak {peak:.0f} MB, "
                f"exit code {completed.returncode}, {completed.stdout.count('error')} errors reported"
            )


if __name__ == "__main__":
    main()
