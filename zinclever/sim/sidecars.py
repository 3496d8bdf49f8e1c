"""Sidecars: the unchanged program, each in a process of its own on a simulated machine."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Mapping
from typing import TYPE_CHECKING

import orjson

from ..configuration.load import read
from ..program import serve
from ..simnet.host import Disk, SimulatedHost
from ..simnet.loop import Cost, Loop
from ..simnet.network import Machine
from ..standins.log import Told

if TYPE_CHECKING:
    from .scene import BaseWorld

PORT = 8080
CONFIG = "/config.json"
RESET_DELAY_MS = 1.0  # ms that a reset takes to the application beside


class Sidecar:
    """One name and address; processes come and go."""

    loop: object | None
    """What is its process, as long as there is one."""
    crosses = RESET_DELAY_MS

    def __init__(self, world: BaseWorld, machine: Machine, number: int) -> None:
        self.world, self.machine, self.number = world, machine, number
        self.name = machine.name
        self.address = machine.address, PORT
        self.start_count = 0
        self.killed_at = self.paused_at = self.resumed_at = -1.0

    def start(self) -> None:
        """A new process, unless one is there: two troubles may befall one sidecar."""
        raise NotImplementedError

    def kill(self) -> None:
        """Without warning."""
        raise NotImplementedError

    def terminate(self) -> None:
        """The platform asks it to end."""
        raise NotImplementedError

    def reload(self, **overrides: object) -> None:
        """Its file is written anew, and it is told."""
        raise NotImplementedError

    def pause(self) -> None:
        """Nothing of it runs until :meth:`resume`; it won't know that time has passed."""
        raise NotImplementedError

    def resume(self) -> None:
        raise NotImplementedError

    def descriptors(self) -> int:
        """The most that were ever open at once in one process."""
        raise NotImplementedError

    def restart(self, old: object | None) -> None:
        """A planned restart is over: what the old process still held is lost with it."""
        if self.loop is not None and self.loop is old:
            self.world.counts.crashes.append(f"{self.name}: still there when it was to be restarted")
            self.kill()
        self.start()

    def log_known_servers(self) -> None:
        """What a new process remembers has been told, too: a server may have come back since the last heard of it."""
        world = self.world
        if world.day.sidecar.known:
            world.log.told += [Told(world.now_ms(), name, "ready", self.name) for name in world.listing.ready_names()]

    def configuration(self, seed: int, **overrides: object) -> bytes:
        world = self.world
        known_servers = world.listing.snapshot() if world.day.sidecar.known else {"hosts": []}
        known_servers["hosts"] = [world.localize_entry(line, self.name) for line in known_servers["hosts"]]
        config: Mapping[str, object] = {
            "name": self.name,
            "listen": f"{self.machine.address}:{PORT}",
            "discovery": self.discovery(),
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": world.day.sidecar.memory_mb, "sockets": world.day.sidecar.sockets},
            "known": known_servers if known_servers["hosts"] else {},
            "settings": world.settings(self),
        }
        return orjson.dumps({**config, **overrides})

    def discovery(self) -> str:
        """Where it finds discovery."""
        return f"{self.world.listing.machine.address}:8500"

    def killed_since(self, instant: float) -> bool:
        """Whether its process was killed at or after an instant, in ms, or just before: the reset is then on its way,
        and nobody has taken what crosses it."""
        return self.killed_at >= instant - self.crosses

    def paused_since(self, instant: float) -> bool:
        """Whether it stood still at an instant, in ms, or later."""
        return self.paused_at >= 0.0 and (self.resumed_at < self.paused_at or self.resumed_at >= instant)


class SimulatedSidecar(Sidecar):
    """A process in simulated time."""

    def __init__(self, world: BaseWorld, machine: Machine, number: int) -> None:
        super().__init__(world, machine, number)
        self.disk = Disk()
        self.loop: Loop | None = None
        self.task: asyncio.Task[None] | None = None
        self.host: SimulatedHost | None = None
        self.peak_descriptors = 0
        self.callbacks = 0
        self.cpu_used_ns = 0
        """ns of its core, of processes that have ended."""

    def start(self) -> None:
        if self.loop is not None:
            return
        world = self.world
        self.start_count += 1
        settings = world.day.sidecar
        cost = Cost(settings.callback_us / 1e6, settings.byte_ns / 1e9, settings.core_share)
        loop = Loop(self.machine, cost, settings.sockets)
        seed = f"{world.day.seed}/{self.name}/{self.start_count}"
        self.log_known_servers()
        self.disk.files[CONFIG] = self.configuration(world.seed_from_text(seed))
        host = SimulatedHost(loop, world.seed_from_text(seed + "/host"), {"LB_CONFIG": CONFIG}, self.disk)
        self.loop, self.host = loop, host
        self.task = loop.create_task(self.run(host))
        self.task.add_done_callback(lambda task: self.on_exit(loop, task))

    async def run(self, host: SimulatedHost) -> None:
        """What ``python -m zinclever`` does."""
        config, operator = read(host.environ, host.read_file)
        await serve(config, operator, host)

    def on_exit(self, loop: Loop, task: asyncio.Task[None]) -> None:
        """The process has ended by itself: in order, or because it failed."""
        if task.cancelled() or task.exception() is not None:
            reason = task.exception() if not task.cancelled() else "cancelled"
            self.world.counts.crashes.append(f"{self.name}: {reason}")
        self.record_exit(loop)

    def record_exit(self, loop: Loop) -> None:
        self.peak_descriptors = max(self.peak_descriptors, loop.descriptors.most)
        self.callbacks += loop.callbacks
        self.cpu_used_ns += loop.used
        loop.die()
        if self.loop is loop:
            self.loop = self.task = None

    def descriptors(self) -> int:
        return max(self.peak_descriptors, self.loop.descriptors.most if self.loop is not None else 0)

    # --- what is done to it ---

    def kill(self) -> None:
        self.killed_at = self.world.now_ms()
        if self.loop is not None:
            self.record_exit(self.loop)

    def terminate(self) -> None:
        if self.loop is not None:
            self.loop.signal(signal.SIGTERM)

    def reload(self, **overrides: object) -> None:
        if self.loop is not None:
            self.disk.files[CONFIG] = self.configuration(self.world.seed_from_text(f"{self.name}/reload"), **overrides)
            self.loop.signal(signal.SIGHUP)

    def pause(self) -> None:
        if self.loop is not None:
            self.paused_at = self.world.now_ms()
            self.loop.freeze()

    def resume(self) -> None:
        self.resumed_at = self.world.now_ms()
        if self.loop is not None:
            self.loop.thaw()
