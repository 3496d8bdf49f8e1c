"""A closing fault: one core machine loses its disk, the others lose power, and one unsynced write comes back torn."""

from __future__ import annotations

import asyncio
import shutil
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins_2 import BROKEN, HELD, NOT_RUN, Site, configuration, has_trouble, route, run_case  # noqa: E402

DARK_S = 1.2
READ_S = 21  # RecoveryS + twice ContactS
VERSION = 7


def tear_last_unsynced_write(site: Site, folder: Path) -> None:
    """Keep a part of the last write to the newest ``.dir`` file of a disk.

    The control node never syncs these files: ``OsFileSystem.sync`` syncs the ``.dat`` file and the folder. The content
    of a ``.dir`` file is one write of 120 bytes.
    """
    newest = max(folder.glob("vow-*.dir"))
    lines = newest.read_bytes().splitlines(keepends=True)
    newest.write_bytes(lines[0])
    size = len(b"".join(lines))
    site.record.add(
        f"{folder.name}/{newest.name}: torn, {len(lines[0])} of the {size} bytes of its unsynced write are present"
    )


async def play(site: Site) -> int:
    """Acknowledge a configuration, strike, and read it back."""
    site.add_control()
    routes = {"r-1": route("/a/", "huvo11a", is_idempotent=True)}
    if not await site.replace(configuration(5, routes, ["huvo11a"]), 0):
        return NOT_RUN
    routes["r-2"] = route("/b/", "huvo11a", is_idempotent=False)
    if not await site.replace(configuration(VERSION, routes, ["huvo11a"]), 5):
        return NOT_RUN
    await asyncio.sleep(1)
    await asyncio.gather(*(machine.stop() for machine in site.control))
    site.record.add("all core machines lose power")
    disks = [Path(machine.settings["StateDir"]) for machine in site.control]
    shutil.rmtree(disks[0])
    site.record.add(f"{disks[0].name}: lost")
    if has_trouble():
        tear_last_unsynced_write(site, disks[1])
    await asyncio.sleep(DARK_S)
    for machine in site.control:
        machine.start()
    found = await site.read(READ_S)
    site.record.add(f"read back: {found['Generation'] if found is not None else 'nothing'}, acknowledged: {VERSION}")
    return HELD if found is not None and found["Generation"] == VERSION else BROKEN


run_case(CASE, play)
