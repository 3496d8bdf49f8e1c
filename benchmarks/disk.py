"""What the control state costs on a disk, by its size: a save, a start, bytes and syncs.

python -m benchmarks.disk 0.02 1 4 10
"""

from __future__ import annotations

import statistics
import sys
import tempfile
import time
from pathlib import Path

from zinclever.mesh.storage.generation_file import GenerationFile, OsFileSystem

SYNCS = (0.0005, 0.005)  # s that one takes
SAVES = 12


class Counted(OsFileSystem):
    """The operating system's files, with syncs that take their time."""

    def __init__(self, each: float) -> None:
        self.each, self.syncs, self.bytes = each, 0, 0

    def write(self, path: Path, values: dict[bytes, bytes]) -> None:
        super().write(path, values)
        self.bytes += sum(path.with_suffix(s).stat().st_size for s in (".dat", ".dir"))

    def sync(self, path: Path) -> None:
        super().sync(path)
        self.syncs += 2
        time.sleep(2 * self.each)

    def mark(self, path: Path) -> None:
        super().mark(path)
        self.syncs += 2
        time.sleep(2 * self.each)


def measure(size: float, each: float) -> str:
    text = b"x" * int(size * 1e6)
    with tempfile.TemporaryDirectory() as folder:
        files = Counted(each)
        store = GenerationFile(Path(folder), "comb", files)
        waits, whole = [], []
        for n in range(SAVES):
            began = time.perf_counter()
            store.save({b"change": b"%d" % n + text})
            waits.append(time.perf_counter() - began)
            store.mark()
            whole.append(time.perf_counter() - began)
        began = time.perf_counter()
        assert GenerationFile(Path(folder), "comb").load() is not None
        start = time.perf_counter() - began
        used = sum(p.stat().st_size for p in Path(folder).iterdir())
    waits.sort()
    return (
        f"{size:g} MB, {1000 * each:g} ms a sync: promised after ms p50 {1000 * statistics.median(waits):.1f}, "
        f"worst {1000 * waits[-1]:.1f}; changes a second {1 / statistics.mean(whole):.0f}; per change "
        f"{files.syncs / SAVES:.0f} syncs, {files.bytes / SAVES / 1e6:.2f} MB; on the disk {used / 1e6:.1f} MB; "
        f"read at a start in ms {1000 * start:.1f}"
    )


def main(sizes: list[float]) -> None:
    for size in sizes:
        for each in SYNCS:
            print(measure(size, each), flush=True)


if __name__ == "__main__":
    main([float(a) for a in sys.argv[1:]])
