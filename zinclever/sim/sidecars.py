"""Sidecars of the fleet: instances of the unmodified program, each in its own process on its own machine."""

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
from ..standins.log import EndpointAnnouncement

if TYPE_CHECKING:
    from .scene import BaseWorld

PORT = 8080
CONFIG = "/config.json"
RESET_DELAY_MS = 1.0  # time that a TCP reset takes to reach the local application


class Sidecar:
    """A sidecar with a fixed name and address; its process may end and be started again."""

    loop: object | None
    """The running process, or None."""
    reset_delay_ms = RESET_DELAY_MS
    """Time in ms from the kill of the process until its application has read the reset."""

    def __init__(self, world: BaseWorld, machine: Machine, number: int) -> None:
        self.world, self.machine, self.number = world, machine, number
        self.name = machine.name
        self.address = machine.address, PORT
        self.start_count = 0
        self.killed_at = self.paused_at = self.resumed_at = -1.0

    def start(self) -> None:
        """Start a process, unless one is running: two faults may affect the same sidecar."""
        raise NotImplementedError

    def kill(self) -> None:
        """End the process at once, as SIGKILL does."""
        raise NotImplementedError

    def terminate(self) -> None:
        """Ask the process to shut down, as SIGTERM does."""
        raise NotImplementedError

    def reload(self, **overrides: object) -> None:
        """Rewrite the configuration file and signal the process to reload it.

        Args:
            overrides: Keys of the configuration to replace.
        """
        raise NotImplementedError

    def pause(self) -> None:
        """Stop the process, as SIGSTOP does, until :meth:`resume`."""
        raise NotImplementedError

    def resume(self) -> None:
        """Continue a paused process."""
        raise NotImplementedError

    def descriptors(self) -> int:
        """Return the highest number of descriptors that were open at once in any process of this sidecar."""
        raise NotImplementedError

    def restart(self, old: object | None) -> None:
        """Finish a planned restart: kill ``old`` if it has not shut down by now, which counts as a crash."""
        if self.loop is not None and self.loop is old:
            self.world.counts.crashes.append(f"{self.name}: had not shut down when it was to be restarted")
            self.kill()
        self.start()

    def log_known_servers(self) -> None:
        """Log the servers in a new process's configuration as announced to it.

        For the auditor this ends an earlier drain of a server that has come back since.
        """
        world = self.world
        if world.day.sidecar.known:
            world.log.announcements += [
                EndpointAnnouncement(world.now_ms(), name, "ready", self.name) for name in world.listing.ready_names()
            ]

    def configuration(self, seed: int, **overrides: object) -> bytes:
        """Return the sidecar's configuration file as JSON."""
        world = self.world
        known_servers = world.listing.snapshot() if world.day.sidecar.known else {"hosts": []}
        known_servers["hosts"] = [world.localize_entry(entry, self.name) for entry in known_servers["hosts"]]
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
        """Return the address of discovery as host:port."""
        return f"{self.world.listing.machine.address}:8500"

    def killed_since(self, instant: float) -> bool:
        """Return whether the process was killed at or after an instant in ms, or just before it.

        A kill counts as just before if its reset had not reached the application yet: a request that was sent at the
        instant was then never received.
        """
        return self.killed_at >= instant - self.reset_delay_ms

    def paused_since(self, instant: float) -> bool:
        """Return whether the process was paused at an instant in ms, or later."""
        return self.paused_at >= 0.0 and (self.resumed_at < self.paused_at or self.resumed_at >= instant)


class SimulatedSidecar(Sidecar):
    """A sidecar whose process runs in simulated time."""

    def __init__(self, world: BaseWorld, machine: Machine, number: int) -> None:
        super().__init__(world, machine, number)
        self.disk = Disk()
        self.loop: Loop | None = None
        self.task: asyncio.Task[None] | None = None
        self.host: SimulatedHost | None = None
        self.peak_descriptors = 0
        self.callbacks = 0
        self.cpu_used_ns = 0
        """CPU time of the processes that have ended."""

    def start(self) -> None:
        """Start a process with a new configuration file and seed."""
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
        """Run the program as ``python -m zinclever`` does."""
        config, operator = read(host.environ, host.read_file)
        await serve(config, operator, host)

    def on_exit(self, loop: Loop, task: asyncio.Task[None]) -> None:
        """Handle the end of the process: a clean shutdown, or a crash, which is recorded."""
        if task.cancelled() or task.exception() is not None:
            reason = task.exception() if not task.cancelled() else "cancelled"
            self.world.counts.crashes.append(f"{self.name}: {reason}")
        self.record_exit(loop)

    def record_exit(self, loop: Loop) -> None:
        """Add the counters of an ended process to the sidecar's and release its event loop."""
        self.peak_descriptors = max(self.peak_descriptors, loop.descriptors.most)
        self.callbacks += loop.callbacks
        self.cpu_used_ns += loop.used
        loop.die()
        if self.loop is loop:
            self.loop = self.task = None

    def descriptors(self) -> int:
        """Return the highest number of descriptors that were open at once."""
        return max(self.peak_descriptors, self.loop.descriptors.most if self.loop is not None else 0)

    # --- faults and operations ---

    def kill(self) -> None:
        """Kill the process."""
        self.killed_at = self.world.now_ms()
        if self.loop is not None:
            self.record_exit(self.loop)

    def terminate(self) -> None:
        """Send SIGTERM."""
        if self.loop is not None:
            self.loop.signal(signal.SIGTERM)

    def reload(self, **overrides: object) -> None:
        """Rewrite the configuration file and send SIGHUP."""
        if self.loop is not None:
            self.disk.files[CONFIG] = self.configuration(self.world.seed_from_text(f"{self.name}/reload"), **overrides)
            self.loop.signal(signal.SIGHUP)

    def pause(self) -> None:
        """Freeze the process's event loop."""
        if self.loop is not None:
            self.paused_at = self.world.now_ms()
            self.loop.freeze()

    def resume(self) -> None:
        """Resume the process's event loop."""
        self.resumed_at = self.world.now_ms()
        if self.loop is not None:
            self.loop.thaw()
