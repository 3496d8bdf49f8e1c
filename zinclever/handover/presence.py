"""How many processes of one sidecar are alive: each holds a lock on a file of its own in a folder that they share.

The kernel gives a lock back when its process ends, however it ends, so that nothing has to be cleaned up in time and no
process has to be trusted to say goodbye.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import os
from collections.abc import Callable
from pathlib import Path

from ..core import host
from ..core.protocol import Address

LOOK = 0.1  # s between two looks: a newcomer waits for several before it takes clients
NOTICED = 0.35  # s after which those that were there have seen a newcomer


class Presence:
    """This process among those that share a folder and an address. Owns its file until :meth:`leave`."""

    def __init__(self, folder: Path, address: Address) -> None:
        self.folder, self.stem = folder, f"zinclever-{address[0]}-{address[1]}."
        self.path = folder / f"{self.stem}{os.getpid()}"
        self.descriptor: int | None = None

    def enter(self) -> None:
        """Be seen by the others. OSError where the folder can't be written.

        The file is locked before it has its name: one that others could open between its making and its lock would be
        taken for what a dead process left, and removed.
        """
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW
        unnamed = self.folder / f".{self.path.name}"
        made = os.open(unnamed, flags, 0o600)
        try:
            fcntl.flock(made, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.rename(unnamed, self.path)
        except OSError:
            os.close(made)
            raise
        if self.descriptor is not None:
            os.close(self.descriptor)
        self.descriptor = made

    def others(self) -> int:
        """The other processes that are alive; what a dead one left is removed.

        Where this one's own file has been removed, by who cleans such folders, it is made again.
        """
        names = {entry.name for entry in os.scandir(self.folder) if entry.name.startswith(self.stem)}
        if self.descriptor is not None and self.path.name not in names:
            self.enter()
        names.discard(self.path.name)
        return sum(self.alive(str(self.folder / name)) for name in names)

    def alive(self, path: str) -> bool:
        try:
            descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC | os.O_NOFOLLOW)
        except OSError:
            return False  # it has left in between
        try:
            fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(descriptor)
        with contextlib.suppress(OSError):
            os.unlink(path)
        return False

    def leave(self) -> None:
        if self.descriptor is not None:
            with contextlib.suppress(OSError):
                os.unlink(self.path)
            os.close(self.descriptor)
            self.descriptor = None


class Overlap:
    """Looks time and again who else is there, and tells of each change."""

    def __init__(self, presence: host.Presence, on_change: Callable[[int], None]) -> None:
        self.presence, self.on_change = presence, on_change
        self.others = 0
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """OSError where the folder can't be written."""
        self.presence.enter()
        self.look()

    def look(self) -> None:
        self.timer = self.loop.call_later(LOOK, self.look)
        try:
            others = self.presence.others()
        except OSError:
            return  # the folder has gone: what was seen last holds
        if others != self.others:
            self.others = others
            self.on_change(others)

    def end(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.presence.leave()
