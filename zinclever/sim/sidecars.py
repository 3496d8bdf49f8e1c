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
CROSSES = 1.0  # ms that a reset takes to the application beside


class Sidecar:
    """One name and address; processes come and go."""

    loop: object | None
    """What is its process, as long as there is one."""
    crosses = CROSSES

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

    def reload(self, **more: object) -> None:
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
            world.log.told += [Told(world.now_ms(), name, "ready", self.name) for name in world.listing.listed()]

    def configuration(self, seed: int, **more: object) -> bytes:
        world = self.world
        known = world.listing.whole() if world.day.sidecar.known else {"hosts": []}
        known["hosts"] = [world.localize_entry(line, self.name) for line in known["hosts"]]
        told: Mapping[str, object] = {
            "name": self.name,
            "listen": f"{self.machine.address}:{PORT}",
            "discovery": self.discovery(),
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": world.day.sidecar.memory_mb, "sockets": world.day.sidecar.sockets},
            "known": known if known["hosts"] else {},
            "settings": world.settings(self),
        }
        return orjson.dumps({**told, **more})

    def discovery(self) -> str:
        """Where it finds discovery."""
        return f"{self.world.listing.machine.address}:8500"

    def killed_since(self, at: float) -> bool:
        """Whether its process was killed at or after an instant, in ms, or just before: the reset is then on its way,
        and nobody has taken what crosses it."""
        return self.killed_at >= at - self.crosses

    def paused_since(self, at: float) -> bool:
        """Whether it stood still at an instant, in ms, or later."""
        return self.paused_at >= 0.0 and (self.resumed_at < self.paused_at or self.resumed_at >= at)


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
        self.used = 0
        """ns of its core, of processes that have ended."""

    def start(self) -> None:
        if self.loop is not None:
            return
        world = self.world
        self.start_count += 1
        told = world.day.sidecar
        cost = Cost(told.callback_us / 1e6, told.byte_ns / 1e9, told.core_share)
        loop = Loop(self.machine, cost, told.sockets)
        seed = f"{world.day.seed}/{self.name}/{self.start_count}"
        self.log_known_servers()
        self.disk.files[CONFIG] = self.configuration(world.seed_from_text(seed))
        host = SimulatedHost(loop, world.seed_from_text(seed + "/host"), {"LB_CONFIG": CONFIG}, self.disk)
        self.loop, self.host = loop, host
        self.task = loop.create_task(self.run(host))
        self.task.add_done_callback(lambda task: self.ended(loop, task))

    async def run(self, host: SimulatedHost) -> None:
        """What ``python -m zinclever`` does."""
        config, operator = read(host.environ, host.read_file)
        await serve(config, operator, host)

    def ended(self, loop: Loop, task: asyncio.Task[None]) -> None:
        """The process has ended by itself: in order, or because it failed."""
        if task.cancelled() or task.exception() is not None:
            said = task.exception() if not task.cancelled() else "cancelled"
            self.world.counts.crashes.append(f"{self.name}: {said}")
        self.bury(loop)

    def bury(self, loop: Loop) -> None:
        self.peak_descriptors = max(self.peak_descriptors, loop.descriptors.most)
        self.callbacks += loop.callbacks
        self.used += loop.used
        loop.die()
        if self.loop is loop:
            self.loop = self.task = None

    def descriptors(self) -> int:
        return max(self.peak_descriptors, self.loop.descriptors.most if self.loop is not None else 0)

    # --- what is done to it ---

    def kill(self) -> None:
        self.killed_at = self.world.now_ms()
        if self.loop is not None:
            self.bury(self.loop)

    def terminate(self) -> None:
        if self.loop is not None:
            self.loop.signal(signal.SIGTERM)

    def reload(self, **more: object) -> None:
        if self.loop is not None:
            self.disk.files[CONFIG] = self.configuration(self.world.seed_from_text(f"{self.name}/reload"), **more)
            self.loop.signal(signal.SIGHUP)

    def pause(self) -> None:
        if self.loop is not None:
            self.paused_at = self.world.now_ms()
            self.loop.freeze()

    def resume(self) -> None:
        self.resumed_at = self.world.now_ms()
        if self.loop is not None:
            self.loop.thaw()
