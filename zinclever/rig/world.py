"""A day on real processes.

Servers, applications and discovery run in the rig's process, sidecars in processes of their own, with relays between.
"""

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
from ..simnet.network import Path as NetworkPath
from ..simnet.scheduler import NS
from .clock import RealClock
from .network import RealNetwork
from .processes import PROGRAM, Gate
from .scope import Scope
from .sidecars import RealSidecar

STARTUP_TIMEOUT = 60.0  # s until all sidecars must be healthy, from the opening of the gate
HEALTH_TIMEOUT = 2.0  # s for one health check
POLL_PERIOD = 0.02  # s between two health checks, and between two checks whether the processes have ended
BASES = range(16, 250)  # second octets of the address blocks 127.x.0.0/16 that a run may claim
MAX_SERVERS = 16_000  # addresses for servers: every restarted server gets a new one
LOCK_PORT = 10_009  # bound on the last address of a block while a run uses it
AUDIT_SLACK = 250.0  # ms; tolerates the scheduling delay where there are more processes than cores


class RigError(Exception):
    """The run could not be carried out, or it is invalid. The message gives the reason in a few lines."""


def claim() -> tuple[str, socket.socket]:
    """Claims a block of 127.0.0.0/8 that no other run uses.

    Returns:
        The first two octets of the block, and the socket that holds the claim.

    Raises:
        RigError: All blocks are in use.
    """
    start = os.getpid()
    for n in range(len(BASES)):
        block = f"127.{BASES[(start + n) % len(BASES)]}"
        lock_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            lock_socket.bind((f"{block}.255.254", LOCK_PORT))
        except OSError:
            lock_socket.close()
            continue
        return block, lock_socket
    raise RigError("every block of the loopback network is taken by another run")


class World(BaseWorld):
    """One run. When :meth:`play` returns or raises, all its processes, sockets and relays have ended."""

    network: RealNetwork
    sidecars: Sequence[RealSidecar]

    def __init__(self, day: Day, folder: Path, command: str = PROGRAM) -> None:
        """Makes the machines of the day; no process is started yet.

        Args:
            day: The day.
            folder: Where the directories of the machines are made.
            command: Shell command of each sidecar.

        Raises:
            RigError: No block of loopback addresses is free.
        """
        self.folder, self.command = folder, command
        self.gate: Gate | None = Gate()
        self.loop = asyncio.get_running_loop()
        block, self.lock_socket = claim()
        clock = RealClock()
        self.clock = clock
        path = NetworkPath(day.zones.same_ms / 1000.0, day.zones.jitter)
        super().__init__(
            day,
            clock,
            RealNetwork(seed_from_text(f"{day.seed}/network"), path),
            AddressPlan(f"{block}.0.1", f"{block}.64.1", f"{block}.128.1", MAX_SERVERS),
        )
        self.log.clock = self.now_ms
        self.callers = {s.name: s.machine for s in self.sidecars}
        self.ready_s = 0.0
        """s until all sidecars were healthy."""

    def unix_ms(self) -> float:
        """Returns the wall clock, in ms."""
        return time.time() * 1000.0

    def process(self, machine: Machine) -> Scope:
        """Makes the process of a server, an application or discovery."""
        return Scope(machine)

    def new_sidecar(self, machine: Machine, number: int) -> RealSidecar:
        """Makes a sidecar, which is not started yet."""
        return RealSidecar(self, machine, number, self.folder / machine.name)

    def localize_entry(self, line: dict[str, Any], caller: str) -> dict[str, Any]:
        """Returns a list entry with the address of the relay from the caller to the server."""
        source = self.callers[caller]
        host, _, port = line["dial"].partition(":")
        relay_address = self.network.link(source, self.network.machines[host], int(port)).address
        return {**line, "dial": f"{relay_address[0]}:{relay_address[1]}"}

    # --- the day ---

    async def play(self) -> dict[str, Any]:
        """Runs the day and returns its figures. Raises RigError if it could not be run or the run is invalid."""
        try:
            await self.begin()
            await self.run_day()
            figures = summary(self, self.find_breaches())
            usage = resource.getrusage(resource.RUSAGE_SELF)
            figures |= {
                "ready_s": round(self.ready_s, 2),
                "rig_cpu_s": round(usage.ru_utime + usage.ru_stime, 2),
                "sidecars_cpu_s": round(self.sidecars_cpu(), 2),
            }
        finally:
            await self.end()
        if not self.log.answered:
            raise RigError("no request was answered: the run proves nothing")
        if self.clock.failures:
            raise RigError("the rig failed: " + "; ".join(self.clock.failures[:3]))
        return figures

    async def begin(self) -> None:
        """Starts discovery and all sidecars, which leave the gate together, and waits until they are healthy."""
        await self.listing.listen()
        await asyncio.sleep(0)
        for sidecar in self.sidecars:
            sidecar.start()
        released_at = self.loop.time()
        assert self.gate is not None
        self.gate.open()
        self.gate = None
        await asyncio.gather(*(self.until_healthy(sidecar, released_at + STARTUP_TIMEOUT) for sidecar in self.sidecars))
        self.ready_s = self.loop.time() - released_at

    async def until_healthy(self, sidecar: RealSidecar, until: float) -> None:
        """Waits until a sidecar is healthy. Raises RigError if a sidecar crashes or the time is up."""
        while not await healthy(sidecar.address):
            if self.counts.crashes:
                raise RigError(self.counts.crashes[0])
            if self.loop.time() > until:
                tail = sidecar.loop.tail() if sidecar.loop is not None else ""
                raise RigError(
                    f"{sidecar.name} was not healthy within {STARTUP_TIMEOUT:.0f} s; the end of its log:\n{tail}"
                )
            await asyncio.sleep(POLL_PERIOD)

    async def run_day(self) -> None:
        """Runs the day from its start until the last answers."""
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
        """Waits until an instant, or until ``over`` returns true."""
        while (remaining := when - self.now()) > 0 and not (over is not None and over()):
            await asyncio.sleep(min(remaining / NS, 0.1))

    def quiet(self) -> bool:
        """Returns whether no client waits for an answer."""
        return len(self.log.sent_requests) <= len({a.request for a in self.log.answered}) + len(
            self.log.abandoned_requests
        )

    def slack(self) -> float:
        """Returns the tolerance of the auditor, in ms."""
        return AUDIT_SLACK

    def sidecars_cpu(self) -> float:
        """Returns the CPU time of the running sidecar processes, in s."""
        ticks = os.sysconf("SC_CLK_TCK")
        total = 0.0
        for sidecar in self.sidecars:
            if sidecar.loop is not None and sidecar.loop.alive:
                fields = Path(f"/proc/{sidecar.loop.pid}/stat").read_text().rpartition(")")[2].split()
                total += (int(fields[11]) + int(fields[12])) / ticks
        return total

    async def end(self) -> None:
        """Ends all processes and relays and releases the address block."""
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
            await asyncio.sleep(POLL_PERIOD)
        self.lock_socket.close()


async def healthy(address: tuple[str, int]) -> bool:
    """Returns whether a sidecar passes its health check."""
    try:
        async with asyncio.timeout(HEALTH_TIMEOUT):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return (await reader.readline()).startswith(b"HTTP/1.1 200")
            finally:
                writer.transport.abort()
    except OSError:  # includes TimeoutError
        return False
