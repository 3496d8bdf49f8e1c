"""A day on real processes: the scene's servers, applications and discovery in the rig, sidecars beside it, relays
between."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from ..sim.figures import summary
from ..sim.model import Day
from ..sim.scene import CLIENT_RETRY_PERIOD, AddressPlan, BaseWorld, seed_from_text
from ..simnet.network import Machine
from ..simnet.network import Path as Way
from ..simnet.scheduler import NS
from .clock import RealClock
from .network import RealNetwork
from .processes import PROGRAM, Gate
from .scope import Scope
from .sidecars import RealSidecar

COMES_UP = 60.0  # s within which all sidecars are healthy, from when they are let go: far more than any takes
SAYS = 2.0  # s in which who is healthy says so
LOOK = 0.02  # s between two looks at whether one is healthy
BASES = range(16, 250)  # second parts of addresses that a run may have for itself
MOST_SERVERS = 16_000  # addresses for them: each that starts anew has one
LOCK_PORT = 10_009  # on the last address of a run's part: held for as long as it lasts
LATE = 250.0  # ms that a machine with more processes than cores may be late; a breach by design is off by far more


class RigError(Exception):
    """The run could not be made, or proves nothing: the reason, in a few lines."""


def claim() -> tuple[str, socket.socket]:
    """A part of 127.0.0.0/8 that no other run has, and what holds it."""
    start = os.getpid()
    for n in range(len(BASES)):
        first = f"127.{BASES[(start + n) % len(BASES)]}"
        held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            held.bind((f"{first}.255.254", LOCK_PORT))
        except OSError:
            held.close()
            continue
        return first, held
    raise RigError("every part of the loopback network is taken by another run")


class World(BaseWorld):
    """One run. Nothing of it is left when :meth:`play` returns, whatever happened."""

    network: RealNetwork
    sidecars: Sequence[RealSidecar]

    def __init__(self, day: Day, folder: Path, command: str = PROGRAM) -> None:
        """``folder``: for the directories of machines. RigError where the run can't be had."""
        self.folder, self.command = folder, command
        self.gate: Gate | None = Gate()
        self.loop = asyncio.get_running_loop()
        first, self.held = claim()
        clock = RealClock()
        self.clock = clock
        path = Way(day.zones.same_ms / 1000.0, day.zones.jitter)
        super().__init__(
            day,
            clock,
            RealNetwork(seed_from_text(f"{day.seed}/network"), path),
            AddressPlan(f"{first}.0.1", f"{first}.64.1", f"{first}.128.1", MOST_SERVERS),
        )
        self.log.clock = self.now_ms
        self.callers = {s.name: s.machine for s in self.sidecars}
        self.ready_s = 0.0
        """s that it took all sidecars to be healthy."""

    def unix_ms(self) -> float:
        return time.time() * 1000.0

    def process(self, machine: Machine) -> Scope:
        return Scope(machine)

    def new_sidecar(self, machine: Machine, number: int) -> RealSidecar:
        return RealSidecar(self, machine, number, self.folder / machine.name)

    def localize_entry(self, line: dict[str, Any], caller: str) -> dict[str, Any]:
        source = self.callers[caller]
        host, _, port = line["dial"].partition(":")
        at = self.network.link(source, self.network.machines[host], int(port)).address
        return {**line, "dial": f"{at[0]}:{at[1]}"}

    # --- the day ---

    async def play(self) -> dict[str, Any]:
        """The whole day; its figures. RigError where it could not be played."""
        try:
            await self.begin()
            await self.through()
            found = summary(self, self.judge())
            used = resource.getrusage(resource.RUSAGE_SELF)
            found |= {
                "ready_s": round(self.ready_s, 2),
                "rig_cpu_s": round(used.ru_utime + used.ru_stime, 2),
                "sidecars_cpu_s": round(self.sidecars_cpu(), 2),
            }
        finally:
            await self.end()
        if not self.log.answered:
            raise RigError("nothing was answered: the run proves nothing")
        if self.clock.failures:
            raise RigError("the rig failed: " + "; ".join(self.clock.failures[:3]))
        return found

    async def begin(self) -> None:
        """Servers, discovery and all sidecars are up; the sidecars were held, and let go together."""
        await self.listing.listen()
        await asyncio.sleep(0)
        for sidecar in self.sidecars:
            sidecar.start()
        began = self.loop.time()
        assert self.gate is not None
        self.gate.open()
        self.gate = None
        await asyncio.gather(*(self.until_healthy(sidecar, began + COMES_UP) for sidecar in self.sidecars))
        self.ready_s = self.loop.time() - began

    async def until_healthy(self, sidecar: RealSidecar, until: float) -> None:
        while not await healthy(sidecar.address):
            if self.counts.crashes:
                raise RigError(self.counts.crashes[0])
            if self.loop.time() > until:
                tail = sidecar.loop.tail() if sidecar.loop is not None else ""
                raise RigError(f"{sidecar.name} did not come up within {COMES_UP:.0f} s; the end of its log:\n{tail}")
            await asyncio.sleep(LOOK)

    async def through(self) -> None:
        """From the day's start until its last answers."""
        self.start = self.now()
        for application in self.applications:
            application.go()
        self.figures.sample()
        self.troubles.plan(self.start)
        end = self.start + round(self.day.seconds * NS)
        await self.until(end)
        self.over = True
        longest = max(kind.deadline_ms for kind in self.day.classes) / 1000.0
        await self.until(end + round(CLIENT_RETRY_PERIOD * NS))
        self.closing = True
        await self.until(end + round((CLIENT_RETRY_PERIOD + longest) * NS), self.quiet)

    async def until(self, when: int, over: Callable[[], bool] | None = None) -> None:
        """Let time pass to an instant, or until nothing is left to wait for."""
        while (left := when - self.now()) > 0 and not (over is not None and over()):
            await asyncio.sleep(min(left / NS, 0.1))

    def quiet(self) -> bool:
        """Nobody waits for an answer any more."""
        return len(self.log.asked) <= len({a.request for a in self.log.answered}) + len(self.log.left)

    def slack(self) -> float:
        return LATE

    def sidecars_cpu(self) -> float:
        """s of the processes that are there."""
        ticks = os.sysconf("SC_CLK_TCK")
        total = 0.0
        for sidecar in self.sidecars:
            if sidecar.loop is not None and sidecar.loop.alive:
                fields = Path(f"/proc/{sidecar.loop.pid}/stat").read_text().rpartition(")")[2].split()
                total += (int(fields[11]) + int(fields[12])) / ticks
        return total

    async def end(self) -> None:
        """Every process and relay ends."""
        if self.gate is not None:
            self.gate.open()
            self.gate = None
        programs = [s.loop for s in self.sidecars if s.loop is not None]
        for sidecar in self.sidecars:
            sidecar.kill()
        for scope in (
            self.listing.loop,
            *(s.loop for s in self.servers.values()),
            *(a.loop for a in self.applications),
        ):
            scope.die()
        self.network.close()
        while any(program.alive for program in programs):
            await asyncio.sleep(LOOK)
        self.held.close()


async def healthy(address: tuple[str, int]) -> bool:
    """Whether a sidecar takes requests."""
    try:
        async with asyncio.timeout(SAYS):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return (await reader.readline()).startswith(b"HTTP/1.1 200")
            finally:
                writer.transport.abort()
    except OSError:  # a time-out among them
        return False
