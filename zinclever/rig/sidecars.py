"""Sidecars as processes of the program, each with an address, a directory and a log of its own."""

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

KEPT = ("PATH", "LANG", "LC_ALL", "HOME", "ZINCLEVER_NATIVE")  # of the rig's environment, that its processes get


class RealSidecar(Sidecar):
    """A process, its directory and what was done to it."""

    world: World
    loop: Program | None
    crosses = 250.0
    """ms from SIGKILL until its application has read of it, on a machine with more processes than cores."""

    def __init__(self, world: World, machine: Machine, number: int, folder: Path) -> None:
        super().__init__(world, machine, number)
        self.folder = folder
        folder.mkdir(parents=True)
        self.loop = None
        self.peak_descriptors = 0
        self.stopped = False
        """It is expected to end."""

    @property
    def log(self) -> Path:
        return self.folder / "log"

    def start(self) -> None:
        if self.loop is not None:
            return
        self.start_count += 1
        self.log_known_servers()
        self.write(f"{self.world.day.seed}/{self.name}/{self.start_count}")
        environ = {name: os.environ[name] for name in KEPT if name in os.environ}
        environ |= {"LB_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder), "LB_NAME": self.name}
        gate: Gate | None = self.world.gate
        made: list[Program] = []
        made.append(Program(environ, self.log, gate, lambda code: self.ended(made[0], code), self.world.command))
        self.loop, self.stopped = made[0], False

    def write(self, seed: str) -> None:
        path = self.folder / "config.json"
        new = path.with_suffix(".new")
        new.write_bytes(self.configuration(self.world.seed_from_text(seed)))
        new.rename(path)

    def discovery(self) -> str:
        host, port = self.world.network.link(self.machine, self.world.listing.machine, 8500).address
        return f"{host}:{port}"

    def ended(self, program: Program, code: int) -> None:
        if self.loop is program:
            self.loop = None
        killed = code == -signal.SIGKILL and program.killed
        unheard = code == -signal.SIGTERM and self.stopped  # in mid-start, before there is anything to end in order
        if code != 0 and not killed and not unheard:
            self.world.counts.crashes.append(f"{self.name}: ended with {code}: {program.tail()}")
        elif code == 0 and not self.stopped:
            self.world.counts.crashes.append(f"{self.name}: ended by itself")

    # --- what is done to it ---

    def kill(self) -> None:
        if self.loop is not None:
            self.killed_at = self.world.now_ms()
            self.loop.kill()
            self.loop = None

    def terminate(self) -> None:
        if self.loop is not None:
            self.stopped = True
            self.loop.signal(signal.SIGTERM)

    def reload(self, **more: object) -> None:
        if self.loop is not None:
            self.write(f"{self.name}/reload")
            self.loop.signal(signal.SIGHUP)

    def pause(self) -> None:
        if self.loop is not None:
            self.paused_at = self.world.now_ms()
            self.loop.signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.resumed_at = self.world.now_ms()
        if self.loop is not None:
            self.loop.signal(signal.SIGCONT)

    def descriptors(self) -> int:
        if self.loop is not None:
            self.peak_descriptors = max(self.peak_descriptors, self.loop.descriptors())
        return self.peak_descriptors
