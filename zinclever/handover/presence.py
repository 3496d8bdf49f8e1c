"""Counts the live processes of one sidecar: each holds a lock on its own file in a shared directory.

The kernel releases a lock when its process ends, for whatever reason, so that no process has to deregister itself.
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

POLL_INTERVAL = 0.1  # s; a new process waits for several polls before it accepts clients
DETECTION_TIME = 0.35  # s after which the running processes have detected a new one


class Presence:
    """Registration of this process among those that share a directory and an address.

    Owns its file until :meth:`leave`.
    """

    def __init__(self, directory: Path, address: Address) -> None:
        self.directory, self.stem = directory, f"zinclever-{address[0]}-{address[1]}."
        self.path = directory / f"{self.stem}{os.getpid()}"
        self.descriptor: int | None = None

    def enter(self) -> None:
        """Registers this process. Raises OSError if the directory can't be written.

        The file is locked before it gets its final name: otherwise another process could open it before it is locked,
        take it for that of a dead process, and remove it.
        """
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW
        temporary = self.directory / f".{self.path.name}"
        descriptor = os.open(temporary, flags, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.rename(temporary, self.path)
        except OSError:
            os.close(descriptor)
            raise
        if self.descriptor is not None:
            os.close(self.descriptor)
        self.descriptor = descriptor

    def others(self) -> int:
        """Returns the number of other live processes; removes the files of dead ones.

        If this process's own file was removed, as by a cleanup of temporary files, it is created again.
        """
        names = {entry.name for entry in os.scandir(self.directory) if entry.name.startswith(self.stem)}
        if self.descriptor is not None and self.path.name not in names:
            self.enter()
        names.discard(self.path.name)
        return sum(self.alive(str(self.directory / name)) for name in names)

    def alive(self, path: str) -> bool:
        """Returns whether the process that created a file is alive; removes the file if it isn't."""
        try:
            descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC | os.O_NOFOLLOW)
        except OSError:
            return False  # removed in the meantime
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
        """Removes the registration."""
        if self.descriptor is not None:
            with contextlib.suppress(OSError):
                os.unlink(self.path)
            os.close(self.descriptor)
            self.descriptor = None


class PresenceMonitor:
    """Polls the number of other live processes and reports each change."""

    def __init__(self, presence: host.Presence, on_change: Callable[[int], None]) -> None:
        self.presence, self.on_change = presence, on_change
        self.others = 0
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Registers this process and starts to poll. Raises OSError if the directory can't be written."""
        self.presence.enter()
        self.poll()

    def poll(self) -> None:
        """Counts the other processes and schedules the next poll."""
        self.timer = self.loop.call_later(POLL_INTERVAL, self.poll)
        try:
            others = self.presence.others()
        except OSError:
            return  # the directory was removed: keep the last result
        if others != self.others:
            self.others = others
            self.on_change(others)

    def stop(self) -> None:
        """Stops polling and removes the registration."""
        if self.timer is not None:
            self.timer.cancel()
        self.presence.leave()
