"""Soak of real processes: signals, restarts and changes of the configuration come in series and overlap.

Clients go on sending on their open connections until a process is gone. Checked are the invariants of request
execution, and that each sidecar which has been in touch uses the newest configuration. Run one from the repository with
``PYTHONPATH=.:tests python -m mesh.soak --seeds 1 --sidecars 6``. Times are in seconds.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import sys
from collections.abc import Awaitable, Callable

import uvloop

from mesh.cluster import config
from mesh.processes import SERVICE, Client, Process, ProcessMesh, RouteClass, audit, summarize
from zinclever.mesh.model.distribution_days import APPLY_BOUND, CONTACT_PERIOD

CONTROL_NODES = 3
ROUNDS = 4
TROUBLES_PER_ROUND = 3
GRACE = 6.0
PAUSE = 0.05  # of a client between two requests
CALL_TIMEOUT = 4.0
PROBE_ID = "probe"


class SoakMesh(ProcessMesh):
    """A mesh whose configurations each have a route of their own, by which their effect is seen."""

    def __init__(self, sidecars: int) -> None:
        super().__init__(sidecars=sidecars, control_nodes=CONTROL_NODES, grace=GRACE)
        self.generation = 0

    async def start(self) -> None:
        await super().start()
        for process in self.processes:
            process.settings["Bootstrap"] = False

    async def put_first_configuration(self) -> None:
        await self.change()

    # --- the operator ---

    async def change(self) -> None:
        """Replace the configuration by one that only has the route of its own generation, and wait for 200."""
        self.generation += 1
        text = config(SERVICE, generation=self.generation)
        text["Routes"]["marker"] = {**text["Routes"][f"{SERVICE}-safe"], "PathPrefix": f"/v{self.generation}/"}
        body = json.dumps(text).encode()
        number = 0
        while True:
            address = f"{self.control_ips[number % CONTROL_NODES]}:{self.port + 2}"
            number += 1
            try:
                async with asyncio.timeout(CALL_TIMEOUT):
                    status, _, _ = await self.call(
                        address, "POST", "/v1/config/replace", body, X_Base_Version=str(self.generation - 1)
                    )
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                status = 503
            if status == 200:
                return
            await asyncio.sleep(PAUSE)

    async def is_stale(self, index: int) -> bool:
        """Return whether a sidecar refuses the route that the newest configuration has."""
        address = f"{self.ips[index]}:{self.port + 2}"
        request_id = f"{PROBE_ID}-{next(self.ids)}"
        try:
            status, _, _ = await self.call(address, "GET", f"/v{self.generation}/x", X_Attempt_Id=request_id)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 404


class Soak:
    """One soak: rounds of overlapping changes and troubles, each followed by a check of all sidecars."""

    def __init__(self, seed: int, sidecars: int) -> None:
        self.rng = random.Random(seed)
        self.seed = seed
        self.mesh = SoakMesh(sidecars)
        self.violations: list[str] = []
        self.clients: list[Client] = []
        self.troubles: list[Callable[[], Awaitable[None]]] = [
            self.kill_core,
            self.kill_control_node,
            self.terminate_sidecar,
            self.kill_sidecars,
            self.stall_sidecar,
            self.reload_all,
            self.mesh.change,
        ]

    async def run(self) -> list[str]:
        """Run the soak, and return what was violated."""
        async with self.mesh:
            ended = asyncio.Event()
            self.clients = [Client(ip, self.mesh.port + 2, persistent=True) for ip in self.mesh.ips]
            load = [asyncio.ensure_future(self.send_requests(client, ended)) for client in self.clients]
            for number in range(ROUNDS):
                await self.play_round(number)
            ended.set()
            await asyncio.gather(*load)
            await asyncio.sleep(1.0)  # executions that end late are still recorded
            self.check_requests()
        return self.violations

    async def send_requests(self, client: Client, ended: asyncio.Event) -> None:
        while not ended.is_set():
            route_class = RouteClass.NON_IDEMPOTENT if len(client.requests) % 2 else RouteClass.IDEMPOTENT
            await client.send(route_class)
            await asyncio.sleep(PAUSE)
        client.close()

    async def play_round(self, number: int) -> None:
        """Change the configuration, start troubles at once or soon after it, and check all sidecars afterwards."""
        chosen = self.rng.sample(self.troubles, TROUBLES_PER_ROUND)
        await self.mesh.change()
        under_way = []
        for trouble in chosen:
            under_way.append(asyncio.ensure_future(trouble()))
            await asyncio.sleep(self.rng.choice((0.0, 0.01, 0.5, 2.0)))
        await asyncio.gather(*under_way)
        await self.mesh.change()
        await asyncio.sleep(max(APPLY_BOUND, CONTACT_PERIOD))
        names = ", ".join(trouble.__name__ for trouble in chosen)
        for index, ip in enumerate(self.mesh.ips):
            if await self.mesh.is_stale(index):
                log = self.mesh.sidecar_processes[index].log_tail()
                self.violations.append(f"seed {self.seed}, round {number} ({names}): {ip} is stale\n{log}")

    def check_requests(self) -> None:
        requests = [request for client in self.clients for request in client.requests]
        executions = [
            execution for execution in self.mesh.audited_executions() if not execution.id.startswith(PROBE_ID)
        ]
        print(f"seed {self.seed}: {summarize(requests, executions)}")
        self.violations += [f"seed {self.seed}: {violation}" for violation in audit(requests, executions)]

    # --- troubles; each ends when all that it stopped runs again ---

    async def restart(self, processes: list[Process], outage: float) -> None:
        for process in processes:
            process.kill()
        await asyncio.sleep(outage)
        for process in processes:
            if not process.is_running():
                process.start()

    async def kill_core(self) -> None:
        """Kill all control nodes, for longer than any fetch is held."""
        await self.restart(self.mesh.control_processes, self.rng.choice((0.3, 2.0, 6.0)))

    async def kill_control_node(self) -> None:
        await self.restart([self.rng.choice(self.mesh.control_processes)], self.rng.uniform(0.2, 3.0))

    async def kill_sidecars(self) -> None:
        """Kill more than half of the sidecars at once."""
        count = 1 + len(self.mesh.sidecar_processes) // 2
        await self.restart(self.rng.sample(self.mesh.sidecar_processes, count), self.rng.uniform(0.2, 2.0))

    async def terminate_sidecar(self) -> None:
        process = self.rng.choice(self.mesh.sidecar_processes)
        process.send_signal(signal.SIGTERM)
        for _ in range(round(GRACE / PAUSE)):
            if not process.is_running():
                break
            await asyncio.sleep(PAUSE)
        await self.restart([process], 0.2)

    async def stall_sidecar(self) -> None:
        process = self.rng.choice(self.mesh.sidecar_processes)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.5, 2.5))
        process.send_signal(signal.SIGCONT)

    async def reload_all(self) -> None:
        for _ in range(3):
            for process in self.mesh.processes:
                process.send_signal(signal.SIGHUP)
            await asyncio.sleep(PAUSE)


def main(arguments: list[str] | None = None) -> int:
    """Run soaks one after the other. Returns 1 if anything was violated."""
    parser = argparse.ArgumentParser(description="soak a mesh of real processes")
    parser.add_argument("--seeds", type=int, default=1, help="number of soaks (default: %(default)s)")
    parser.add_argument("--first", type=int, default=1, help="seed of the first soak (default: %(default)s)")
    parser.add_argument("--sidecars", type=int, default=6, help="sidecars of each (default: %(default)s)")
    options = parser.parse_args(arguments)
    violations: list[str] = []
    for seed in range(options.first, options.first + options.seeds):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            violations += runner.run(Soak(seed, options.sidecars).run())
    print(*violations, f"{options.seeds} soaks, {len(violations)} violations", sep="\n")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
