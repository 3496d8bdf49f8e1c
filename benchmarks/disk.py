"""What it costs to store the control state on disk, by its size: saving, loading, bytes and syncs.

python -m benchmarks.disk 0.02 1 4 10
"""

from __future__ import annotations

import statistics
import sys
import tempfile
import time
from pathlib import Path

from zinclever.mesh.storage.generation_file import GenerationFile, OsFileSystem

SYNC_TIMES = (0.0005, 0.005)  # s for one sync
SAVES = 12


class CountingFileSystem(OsFileSystem):
    """The operating system's files, with a fixed sync time; counts syncs and bytes written."""

    def __init__(self, sync_time: float) -> None:
        self.sync_time, self.syncs, self.bytes = sync_time, 0, 0

    def write(self, path: Path, values: dict[bytes, bytes]) -> None:
        """Writes a file and counts its bytes."""
        super().write(path, values)
        self.bytes += sum(path.with_suffix(s).stat().st_size for s in (".dat", ".dir"))

    def sync(self, path: Path) -> None:
        """Syncs a file and its directory."""
        super().sync(path)
        self.syncs += 2
        time.sleep(2 * self.sync_time)

    def mark(self, path: Path) -> None:
        """Marks a file as complete and syncs."""
        super().mark(path)
        self.syncs += 2
        time.sleep(2 * self.sync_time)


def measure(size: float, sync_time: float) -> str:
    """Measures saves and a load of a state of ``size`` MB with syncs of ``sync_time`` s."""
    text = b"x" * int(size * 1e6)
    with tempfile.TemporaryDirectory() as folder:
        files = CountingFileSystem(sync_time)
        store = GenerationFile(Path(folder), "comb", files)
        save_times, cycle_times = [], []
        for n in range(SAVES):
            started = time.perf_counter()
            store.save({b"change": b"%d" % n + text})
            save_times.append(time.perf_counter() - started)
            store.mark()
            cycle_times.append(time.perf_counter() - started)
        started = time.perf_counter()
        assert GenerationFile(Path(folder), "comb").load() is not None
        load_time = time.perf_counter() - started
        disk_usage = sum(p.stat().st_size for p in Path(folder).iterdir())
    save_times.sort()
    return (
        f"{size:g} MB, {1000 * sync_time:g} ms a sync: "
        f"acknowledged after ms p50 {1000 * statistics.median(save_times):.1f}, "
        f"worst {1000 * save_times[-1]:.1f}; changes a second {1 / statistics.mean(cycle_times):.0f}; per change "
        f"{files.syncs / SAVES:.0f} syncs, {files.bytes / SAVES / 1e6:.2f} MB; on the disk {disk_usage / 1e6:.1f} MB; "
        f"read at a start in ms {1000 * load_time:.1f}"
    )


def main(sizes: list[float]) -> None:
    """Prints the results for the given sizes in MB."""
    for size in sizes:
        for sync_time in SYNC_TIMES:
            print(measure(size, sync_time), flush=True)


if __name__ == "__main__":
    main([float(a) for a in sys.argv[1:]])
