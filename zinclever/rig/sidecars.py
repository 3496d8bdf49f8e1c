"""Sidecars as real processes, each with its own address, directory and log."""

from __future__ import annotations

import os
import signal
from pathlib import Path
from typing import TYPE_CHECKING

from ..sim.sidecars import Sidecar
from ..simnet.network import Machine
from .processes import Gate, Program

if TYPE_CHECKING:
    from .world import World

INHERITED_VARIABLES = ("PATH", "LANG", "LC_ALL", "HOME", "ZINCLEVER_NATIVE")  # passed on to the processes


class RealSidecar(Sidecar):
    """A sidecar process, its directory and the faults applied to it."""

    world: World
    loop: Program | None
    reset_delay_ms = 250.0
    """ms from SIGKILL until its application notices the end, on a machine with more processes than cores."""

    def __init__(self, world: World, machine: Machine, number: int, folder: Path) -> None:
        super().__init__(world, machine, number)
        self.folder = folder
        folder.mkdir(parents=True)
        self.loop = None
        self.peak_descriptors = 0
        self.stopped = False
        """Whether the process was told to stop, so that its end is expected."""

    @property
    def log(self) -> Path:
        """The log file of the process."""
        return self.folder / "log"

    def start(self) -> None:
        """Writes the configuration and starts the process, unless it is running."""
        if self.loop is not None:
            return
        self.start_count += 1
        self.log_known_servers()
        self.write(f"{self.world.day.seed}/{self.name}/{self.start_count}")
        environ = {name: os.environ[name] for name in INHERITED_VARIABLES if name in os.environ}
        environ |= {"LB_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder), "LB_NAME": self.name}
        gate: Gate | None = self.world.gate
        started: list[Program] = []
        started.append(Program(environ, self.log, gate, lambda code: self.ended(started[0], code), self.world.command))
        self.loop, self.stopped = started[0], False

    def write(self, seed: str) -> None:
        """Replaces the configuration file atomically."""
        path = self.folder / "config.json"
        new = path.with_suffix(".new")
        new.write_bytes(self.configuration(self.world.seed_from_text(seed)))
        new.rename(path)

    def discovery(self) -> str:
        """Returns the address of discovery as this sidecar reaches it."""
        host, port = self.world.network.link(self.machine, self.world.listing.machine, 8500).address
        return f"{host}:{port}"

    def ended(self, program: Program, code: int) -> None:
        """Records an unexpected end of the process as a crash."""
        if self.loop is program:
            self.loop = None
        killed = code == -signal.SIGKILL and program.killed
        # The default action of SIGTERM ends a program that has not installed its handler yet.
        ended_by_default_action = code == -signal.SIGTERM and self.stopped
        if code != 0 and not killed and not ended_by_default_action:
            self.world.counts.crashes.append(f"{self.name}: ended with {code}: {program.tail()}")
        elif code == 0 and not self.stopped:
            self.world.counts.crashes.append(f"{self.name}: ended by itself")

    # --- faults and signals ---

    def kill(self) -> None:
        """Kills the process."""
        if self.loop is not None:
            self.killed_at = self.world.now_ms()
            self.loop.kill()
            self.loop = None

    def terminate(self) -> None:
        """Asks the process to stop."""
        if self.loop is not None:
            self.stopped = True
            self.loop.signal(signal.SIGTERM)

    def reload(self, **more: object) -> None:
        """Writes the configuration again and makes the process read it."""
        if self.loop is not None:
            self.write(f"{self.name}/reload")
            self.loop.signal(signal.SIGHUP)

    def pause(self) -> None:
        """Stops the process with SIGSTOP."""
        if self.loop is not None:
            self.paused_at = self.world.now_ms()
            self.loop.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continues the process."""
        self.resumed_at = self.world.now_ms()
        if self.loop is not None:
            self.loop.signal(signal.SIGCONT)

    def descriptors(self) -> int:
        """Returns the largest number of open descriptors seen so far."""
        if self.loop is not None:
            self.peak_descriptors = max(self.peak_descriptors, self.loop.descriptors())
        return self.peak_descriptors
