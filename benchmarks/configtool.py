"""The configuration tool over 1,000 files of 200 lines in one call: time and peak memory.

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
    text = render(
        App(
            "x",
            endpoints=tuple(Endpoint(f"127.0.0.1:{9000 + n}") for n in range(20)),
            reads=("page.get",),
            unlocks=(("unlock.buy", "/key"),),
            tips=("tip.send",),
        )
    )
    more = LINES - text.count("\n")
    text += "".join(f'"method.{n}" = {{ class = "read" }}\n' for n in range(more))
    broken = text.replace("aim_ms = 1000", "aim_sm = 1000", 1)
    with tempfile.TemporaryDirectory() as folder:
        for kind, content in (("good", text), ("broken", broken)):
            paths = []
            for n in range(FILES):
                path = Path(folder) / f"{kind}{n}.toml"
                path.write_text(content)
                paths.append(str(path))
            began = time.perf_counter()
            told = subprocess.run(
                [sys.executable, "-m", "zinclever", "config", "check", *paths], capture_output=True, text=True
            )
            took = time.perf_counter() - began
            peak = resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss / 1024.0
            print(
                f"{FILES} {kind} files of {content.count(chr(10))} lines: {took:.2f} s, peak {peak:.0f} MB, "
                f"exit code {told.returncode}, {told.stdout.count('error')} errors told"
            )


if __name__ == "__main__":
    main()
