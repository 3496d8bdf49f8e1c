"""Soak of real processes: signals, restarts and changes of the configuration come in series and overlap.

Clients go on sending on their open connections until a process is gone, and every sidecar is probed all the while.
Checked are the invariants of request execution, that sidecars in touch use the newest acknowledged version and answer,
that none goes back to an earlier version, that requests survive planned work, and what is read back at the end. Run it
from the repository with ``PYTHONPATH=.:tests python -m mesh.soak --seeds 1 --sidecars 6``. Times are in seconds.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import shutil
import sys
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

from mesh import work
from mesh.machines import Contact, Machine
from mesh.observations import RouteClass, audit, summarize
from mesh.processes import Client, kill_all
from mesh.soak_checks import CutOffCheck, LossCheck, VersionCheck
from mesh.versioned_mesh import PROBE_ID_PREFIX, ConfigurationRefusedError, ControlNodeKill, VersionedMesh
from zinclever.mesh.model.distribution_days import APPLY_BOUND, CONTACT_PERIOD

CONTROL_NODES = 3
GRACE = 6.0
ONLY_PLANNED_SHARE = 0.4  # of the soaks
KILLED_AT_START_SHARE = 0.3  # of the soaks
ROUNDS = 2  # of overlapping troubles, each followed by a calm
TROUBLED_PERIOD = 15.0  # in which troubles begin
ROUND_TIMEOUT = 120.0  # far more than a round takes
CALM_PERIOD = 2.0  # after the time from which all sidecars have to use the newest version
MAX_CONCURRENT = 6  # troubles under way
GAPS = (0.0, 0.01, 0.1, 0.5, 1.5)  # between the beginnings of two troubles
OUTAGES = (0.3, 2.0, 5.0, 6.0, 8.0)  # of the core
KILL_DELAYS = (0.0, 0.001, 0.004, 0.02)  # from an acknowledgement to the loss of the core
CLIENT_PAUSE = 0.05  # of a client between two requests
MAX_CLIENTS = 12
ACKNOWLEDGEMENT_BOUND = 4.0  # AckS of the rules
PROBE_INTERVAL = 0.25
MAX_PROBE_RATE = 40.0  # probes/s of all sidecars together
READ_PERIOD = 3.0  # in which the configuration can be read back at the end
SETTLE_PERIOD = 1.0  # after the load, in which late executions are still recorded

Trouble = Callable[[random.Random], Coroutine[Any, Any, None]]


@dataclass(frozen=True)
class Kind:
    """A kind of trouble, and how often it is chosen."""

    trouble: Trouble
    weight: int


class Soak:
    """One soak: rounds of overlapping troubles, each followed by a calm in which every sidecar has to be up to date."""

    def __init__(self, seed: int, sidecars: int, keep: Path | None = None, rounds: int = ROUNDS) -> None:
        self.rng = random.Random(seed)
        self.seed = seed
        self.keep, self.rounds = keep, rounds
        self.mesh = VersionedMesh(sidecars, CONTROL_NODES, GRACE, idle_routes=self.rng.choice((0, 400)))
        if self.rng.random() < KILLED_AT_START_SHARE:
            self.mesh.killed_at_start = ControlNodeKill(self.rng.randrange(CONTROL_NODES), self.rng.uniform(0.01, 0.6))
        self.only_planned = self.rng.random() < ONLY_PLANNED_SHARE
        self.controls: list[Machine] = []
        self.sidecars: list[Machine] = []
        self.contact = Contact([], [])
        self.versions = VersionCheck(lambda sidecar, since: self.contact.in_touch(sidecar, since))
        self.violations: list[str] = []
        self.begun: Counter[str] = Counter()
        self.operator = asyncio.Lock()
        self.clients: list[Client] = []

    async def run(self) -> list[str]:
        """Run the soak, and return what was violated."""
        async with self.mesh:
            self.set_up_machines()
            ended = asyncio.Event()
            ips = self.mesh.ips[:MAX_CLIENTS]
            self.clients = [Client(ip, self.mesh.port + 2, persistent=True) for ip in ips]
            tasks = [asyncio.ensure_future(self.send_requests(n, ended)) for n in range(len(self.clients))]
            tasks += [asyncio.ensure_future(self.send_probes(index, ended)) for index in range(len(self.sidecars))]
            try:
                async with asyncio.timeout(self.rounds * ROUND_TIMEOUT):
                    for _ in range(self.rounds):
                        await self.play_round()
                    await self.check_read_back()
            except ConfigurationRefusedError as error:
                self.violations.append(str(error))
            except TimeoutError:
                self.violations.append(f"the soak did not end; version {self.mesh.acknowledged} was acknowledged")
            ended.set()
            await asyncio.gather(*tasks)
            await asyncio.sleep(SETTLE_PERIOD)
            self.check_requests()
            self.collect()
        return self.violations

    def set_up_machines(self) -> None:
        port = self.mesh.port + 2
        self.controls = [Machine(p, p.settings["Ip"], port) for p in self.mesh.control_processes]
        self.sidecars = [Machine(p, p.settings["Ip"], port) for p in self.mesh.sidecar_processes]
        if self.mesh.killed_at_start is not None:
            self.begun["kill_at_start"] += 1
            self.controls[self.mesh.killed_at_start.index].disturb()
        self.contact = Contact(self.controls, self.sidecars)
        self.versions.on_acknowledged(self.mesh.acknowledged, asyncio.get_running_loop().time())

    async def play_round(self) -> None:
        """Start troubles that overlap, and then wait until every sidecar has to use the newest version."""
        loop = asyncio.get_running_loop()
        kinds = self.kinds()
        under_way: set[asyncio.Task[None]] = set()
        end = loop.time() + TROUBLED_PERIOD
        while loop.time() < end:
            (kind,) = self.rng.choices(kinds, [kind.weight for kind in kinds])
            rng = random.Random(self.rng.random())  # of its own, as the order of concurrent draws is not repeatable
            if len(under_way) < MAX_CONCURRENT:
                self.begun[kind.trouble.__name__] += 1
                task = loop.create_task(kind.trouble(rng))
                under_way.add(task)
                task.add_done_callback(under_way.discard)
            await asyncio.sleep(self.rng.choice(GAPS))
        await asyncio.gather(*under_way)
        closing = self.rng.choice(self.closing_troubles())
        self.begun[f"closing {closing.__name__}"] += 1
        await closing(random.Random(self.rng.random()))
        await self.check_sidecars(max(APPLY_BOUND, CONTACT_PERIOD), CALM_PERIOD)

    async def check_sidecars(self, delay: float, period: float) -> None:
        """Wait until all sidecars are in touch; then each has to be seen with the newest version."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(delay)
        since, newest = loop.time(), self.mesh.acknowledged
        await asyncio.sleep(period)
        for index in range(len(self.sidecars)):
            probe = await self.mesh.probe(index, newest)
            if self.versions.on_probe(probe) and newest not in self.versions.seen_at[index]:
                in_touch = self.contact.in_touch(index, since)
                self.violations.append(f"sidecar {index} was not seen with version {newest} (in touch: {in_touch})")

    # --- requests ---

    async def send_requests(self, number: int, ended: asyncio.Event) -> None:
        client, rng = self.clients[number], random.Random(f"{self.seed} {number}")
        while not ended.is_set():
            route_class = RouteClass.NON_IDEMPOTENT if len(client.requests) % 2 else RouteClass.IDEMPOTENT
            await client.send(route_class, work.draw(rng))
            await asyncio.sleep(CLIENT_PAUSE)
        client.close()

    async def send_probes(self, index: int, ended: asyncio.Event) -> None:
        interval = max(PROBE_INTERVAL, len(self.sidecars) / MAX_PROBE_RATE)
        running = self.sidecars[index].process.popen
        while not ended.is_set():
            probe = await self.mesh.probe(index, self.mesh.acknowledged)
            if self.sidecars[index].process.popen is running:
                self.versions.on_probe(probe)
            else:  # a new process may have been asked, or none
                running = self.sidecars[index].process.popen
                self.versions.on_started(index)
            await asyncio.sleep(interval)

    def check_requests(self) -> None:
        requests = [request for client in self.clients for request in client.requests]
        executions = [e for e in self.mesh.audited_executions() if not e.id.startswith(PROBE_ID_PREFIX)]
        print(f"seed {self.seed}: {summarize(requests, executions)}")
        self.violations += [str(violation) for violation in audit(requests, executions)]
        unplanned = [at for machine in (*self.controls, *self.sidecars) for at in machine.unplanned]
        self.violations += LossCheck(unplanned).violations(requests, executions)
        check = CutOffCheck(unplanned, GRACE)
        for client, sidecar in zip(self.clients, self.sidecars, strict=False):
            self.violations += check.violations(client.requests, executions, sidecar.terminated)

    async def check_read_back(self) -> None:
        """Read the configuration back: every answer has to be the newest version, and one has to come."""
        loop = asyncio.get_running_loop()
        end, was_read = loop.time() + READ_PERIOD, False
        while loop.time() < end:
            for number in range(CONTROL_NODES):
                version = await self.mesh.read_version(number)
                was_read = was_read or version == self.mesh.acknowledged
                if version not in (0, self.mesh.acknowledged):
                    self.violations.append(f"version {version} was read back instead of {self.mesh.acknowledged}")
            if was_read:
                return
        self.violations.append(f"version {self.mesh.acknowledged} can't be read back")

    def collect(self) -> None:
        """Add the violations of all checks, and keep the logs if there are any."""
        problems = [problem for machine in (*self.controls, *self.sidecars) for problem in machine.problems]
        found = [*self.violations, *self.versions.violations, *problems]
        plan = ", ".join(f"{name} {count}" for name, count in sorted(self.begun.items()))
        print(f"seed {self.seed}: {self.mesh.acknowledged} versions; {plan}; {len(found)} violations")
        self.violations = [f"seed {self.seed}: {violation}" for violation in found]
        print(*self.violations, sep="\n", flush=True)
        if found and self.keep is not None:
            shutil.copytree(self.mesh.folder.name, self.keep / f"seed-{self.seed}", dirs_exist_ok=True)

    # --- troubles; each ends when all that it stopped runs again ---

    def kinds(self) -> list[Kind]:
        planned = [
            Kind(self.change, 4),
            Kind(self.change_in_series, 2),
            Kind(self.reload_all, 2),
            Kind(self.terminate_sidecar, 2),
        ]
        if self.only_planned:
            return planned
        return [
            *planned,
            Kind(self.terminate_control_node, 1),
            Kind(self.change_and_lose_core, 2),
            Kind(self.lose_core, 1),
            Kind(self.change_and_lose_power, 2),
            Kind(self.lose_power_of_control_node, 1),
            Kind(self.kill_control_node, 2),
            Kind(self.kill_sidecars, 1),
            Kind(self.freeze_sidecar, 2),
            Kind(self.freeze_control_node, 1),
        ]

    def closing_troubles(self) -> list[Trouble]:
        """Return what may end the troubles of a round: no other change or trouble comes before the check."""
        if self.only_planned:
            return [self.change, self.terminate_sidecar]
        return [
            self.change_and_lose_core,
            self.change_and_lose_power,
            self.change_and_lose_disk,
            self.change_and_kill_sidecars,
            self.change,
        ]

    async def change(self, rng: random.Random) -> None:
        loop = asyncio.get_running_loop()
        async with self.operator:
            sent_at = loop.time()
            version = await self.mesh.change()
            elapsed = loop.time() - sent_at
            self.versions.on_acknowledged(version, loop.time())
        if elapsed > ACKNOWLEDGEMENT_BOUND + self.mesh.change_timeout and self.contact.is_settled(sent_at):
            self.violations.append(f"version {version} was acknowledged after {elapsed:.1f} s, with a settled core")

    async def change_in_series(self, rng: random.Random) -> None:
        for _ in range(rng.randint(3, 8)):
            await self.change(rng)

    async def change_and_lose_core(self, rng: random.Random) -> None:
        """Kill all control nodes within milliseconds of an acknowledgement."""
        async with self.operator:
            version = await self.mesh.change_and_kill(self.mesh.control_processes, rng.choice(KILL_DELAYS))
            self.versions.on_acknowledged(version, asyncio.get_running_loop().time())
            await self.restart(self.controls, rng.choice(OUTAGES))

    async def change_and_lose_power(self, rng: random.Random) -> None:
        """Let all control nodes lose power within milliseconds of an acknowledgement, with their unsynced writes."""
        await self.change_and_lose_disks(rng, lost_disks=0)

    async def change_and_lose_disk(self, rng: random.Random) -> None:
        """As :meth:`change_and_lose_power`, and one of the disks is lost."""
        await self.change_and_lose_disks(rng, lost_disks=1)

    async def change_and_lose_disks(self, rng: random.Random, lost_disks: int) -> None:
        async with self.operator:
            version = await self.mesh.change_and_kill(self.mesh.control_processes, rng.choice(KILL_DELAYS))
            self.versions.on_acknowledged(version, asyncio.get_running_loop().time())
            lost = rng.sample(self.controls, lost_disks)
            await self.restart(self.controls, rng.choice(OUTAGES), lambda machine: lose_power(machine, rng, lost))

    async def lose_power_of_control_node(self, rng: random.Random) -> None:
        machine = rng.choice(self.controls)
        await self.restart([machine], rng.uniform(0.2, 5.0), lambda machine: lose_power(machine, rng, []))

    async def change_and_kill_sidecars(self, rng: random.Random) -> None:
        """Kill most sidecars within milliseconds of an acknowledgement."""
        async with self.operator:
            victims = rng.sample(self.sidecars, max(1, 2 * len(self.sidecars) // 3))
            version = await self.mesh.change_and_kill([m.process for m in victims], rng.choice(KILL_DELAYS))
            self.versions.on_acknowledged(version, asyncio.get_running_loop().time())
            await self.restart(victims, rng.choice(OUTAGES))

    async def lose_core(self, rng: random.Random) -> None:
        await self.restart(self.controls, rng.choice(OUTAGES))

    async def kill_control_node(self, rng: random.Random) -> None:
        await self.restart([rng.choice(self.controls)], rng.uniform(0.2, 5.0))

    async def kill_sidecars(self, rng: random.Random) -> None:
        """Kill up to two thirds of the sidecars at once."""
        count = rng.randint(1, max(1, 2 * len(self.sidecars) // 3))
        await self.restart(rng.sample(self.sidecars, count), rng.uniform(0.2, 3.0))

    async def restart(
        self, machines: list[Machine], outage: float, on_killed: Callable[[Machine], None] = lambda machine: None
    ) -> None:
        """Kill machines and start them after an outage. ``on_killed`` is called before any of them may start."""
        kill_all([machine.process for machine in machines])
        for machine in machines:
            machine.on_killed()
            on_killed(machine)
        await asyncio.sleep(outage)
        await asyncio.gather(*(machine.start() for machine in machines))

    async def terminate_sidecar(self, rng: random.Random) -> None:
        await self.terminate(rng.choice(self.sidecars), rng)

    async def terminate_control_node(self, rng: random.Random) -> None:
        await self.terminate(rng.choice(self.controls), rng)

    async def terminate(self, machine: Machine, rng: random.Random) -> None:
        await machine.terminate(GRACE)
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        await machine.start()

    async def freeze_sidecar(self, rng: random.Random) -> None:
        await self.freeze(rng.choice(self.sidecars), rng)

    async def freeze_control_node(self, rng: random.Random) -> None:
        await self.freeze(rng.choice(self.controls), rng)

    async def freeze(self, machine: Machine, rng: random.Random) -> None:
        machine.freeze()
        await asyncio.sleep(rng.uniform(0.2, 4.0))
        machine.thaw()

    async def reload_all(self, rng: random.Random) -> None:
        """Send SIGHUP to all processes several times, whatever they are doing."""
        for _ in range(rng.randint(1, 5)):
            for machine in (*self.controls, *self.sidecars):
                machine.reload()
            await asyncio.sleep(rng.uniform(0.0, 0.1))


def lose_power(machine: Machine, rng: random.Random, lost: list[Machine]) -> None:
    """Leave on a disk what a power failure leaves; nothing on those that are lost."""
    if machine in lost:
        machine.disk.lose_disk()
    else:
        machine.disk.lose_power(rng)


def run_soak(make_soak: Callable[[], Soak]) -> list[str]:
    """Run a soak on an event loop of its own, and return its violations."""

    async def run() -> list[str]:
        return await make_soak().run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())


def main(arguments: list[str] | None = None) -> int:
    """Run soaks one after the other. Returns 1 if anything was violated."""
    parser = argparse.ArgumentParser(description="soak a mesh of real processes")
    parser.add_argument("--seeds", type=int, default=1, help="number of soaks (default: %(default)s)")
    parser.add_argument("--first", type=int, default=1, help="seed of the first soak (default: %(default)s)")
    parser.add_argument("--sidecars", type=int, default=6, help="sidecars of each (default: %(default)s)")
    parser.add_argument("--keep", type=Path, help="folder for the logs of soaks with violations")
    options = parser.parse_args(arguments)
    violations: list[str] = []
    for seed in range(options.first, options.first + options.seeds):
        violations += run_soak(lambda seed=seed: Soak(seed, options.sidecars, options.keep))  # type: ignore[misc]
    print(f"{options.seeds} soaks, {len(violations)} violations")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
