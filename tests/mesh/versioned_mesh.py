"""Test harness: a mesh of processes whose configurations can be told apart by requests.

Each configuration has a marker route of its own, which later configurations keep. A sidecar that refuses the marker of
a version with 404 uses an older version. Times are in seconds on the clock of the event loop.
"""

from __future__ import annotations

import asyncio
import enum
import json
import time
from collections.abc import Sequence
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from typing import Any
from urllib.parse import urlsplit

from mesh.cluster import config
from mesh.observations import SERVICE
from mesh.processes import Process, ProcessMesh

KEPT_MARKERS = 20  # versions whose marker routes a configuration has
IDLE_ROUTES = 400  # of a large configuration; its text exceeds 64 KiB, so that the leader itself answers the operator
CHANGE_TIMEOUT = 1.0  # of one call of the operator
CHANGE_TIMEOUT_PER_ROUTE = 0.003  # in addition
CHANGE_RETRY_DELAY = 0.05
MAX_REDIRECTIONS = 2
RESTART_DELAY = 0.3  # of a process that was killed during the first start
PROBE_TIMEOUT = 2.5
PROBE_DEADLINE_MS = 2000
READ_TIMEOUT = 1.5
PROBE_ID_PREFIX = "probe"
NO_ANSWER = 0  # stands for the status of a call without a complete answer


class ConfigurationRefusedError(Exception):
    """A valid configuration on top of the newest acknowledged version was refused."""


class VersionSeen(enum.Enum):
    """What the answer to a probe says about the version that a sidecar uses."""

    CURRENT = "uses the version, or a later one"
    OLDER = "uses an older version"
    UNKNOWN = "did not say"


@dataclass(frozen=True, slots=True)
class Probe:
    """A request on the marker route of a version, sent to a sidecar."""

    sidecar: int
    generation: int
    sent_at: float
    ended_at: float
    status: int
    explanation: str = ""
    """What the sidecar recorded of a request that failed."""

    @property
    def seen(self) -> VersionSeen:
        if self.status == 404:
            return VersionSeen.OLDER
        return VersionSeen.CURRENT if self.status == 200 else VersionSeen.UNKNOWN


@dataclass(frozen=True, slots=True)
class ControlNodeKill:
    """A control node that is killed ``delay`` s after the mesh starts."""

    index: int
    delay: float


class VersionedMesh(ProcessMesh):
    """A mesh of processes, and the operator that changes its configuration. Its core can lose power."""

    control_program = "tests/mesh/recorded_meshd.py"

    def __init__(self, sidecars: int, control_nodes: int = 3, grace: float = 6.0, idle_routes: int = 0) -> None:
        super().__init__(sidecars=sidecars, control_nodes=control_nodes, grace=grace)
        self.idle_routes = idle_routes
        self.killed_at_start: ControlNodeKill | None = None
        """If set, a control node is killed while the whole mesh starts for the first time."""
        self.acknowledged = 0
        """The newest acknowledged version."""

    async def start(self) -> None:
        kill = asyncio.ensure_future(self.kill_at_start(self.killed_at_start))
        await super().start()
        await kill
        for process in self.processes:
            process.settings["Bootstrap"] = False  # from their next start on

    async def kill_at_start(self, kill: ControlNodeKill | None) -> None:
        """Kill a control node, and start it again as one that is not told to bootstrap."""
        if kill is not None:
            await asyncio.sleep(kill.delay)
            process = self.control_processes[kill.index]
            process.kill()
            process.settings["Bootstrap"] = False
            await asyncio.sleep(RESTART_DELAY)
            process.start()

    async def put_first_configuration(self) -> None:
        await self.change()

    @property
    def change_timeout(self) -> float:
        return CHANGE_TIMEOUT + CHANGE_TIMEOUT_PER_ROUTE * self.idle_routes

    def control_address(self, index: int) -> str:
        return f"{self.control_ips[index % len(self.control_ips)]}:{self.port + 2}"

    def configuration(self, generation: int) -> dict[str, Any]:
        configuration = config(SERVICE, generation=generation)
        routes = configuration["Routes"]
        template = routes[f"{SERVICE}-safe"]
        for number in range(max(1, generation - KEPT_MARKERS + 1), generation + 1):
            routes[f"marker-{number}"] = {**template, "PathPrefix": f"/v{number}/"}
        for number in range(self.idle_routes):
            routes[f"idle-{number}"] = {**template, "PathPrefix": f"/idle-{number}/"}
        return configuration

    # --- the operator ---

    async def change(self) -> int:
        """Change the configuration, and return its version once it is acknowledged."""
        return await self.change_and_kill([])

    async def change_and_kill(self, victims: Sequence[Process], delay: float = 0.0) -> int:
        """Change the configuration, and kill processes ``delay`` s after the acknowledgement. Returns the version."""
        generation = self.acknowledged + 1
        body = json.dumps(self.configuration(generation)).encode()
        attempt = generation  # each change begins at another control node
        while True:
            address = self.control_address(attempt)
            status = await asyncio.to_thread(
                replace_and_kill, address, generation - 1, body, self.change_timeout, victims, delay
            )
            if status == 200:
                self.acknowledged = generation
                return generation
            if status in (400, 412):
                raise ConfigurationRefusedError(f"version {generation} was refused with {status}")
            attempt += 1
            await asyncio.sleep(CHANGE_RETRY_DELAY)

    async def read_version(self, control_node: int) -> int:
        """Return the version that a control node answers to a read; 0 if it doesn't answer one."""
        try:
            async with asyncio.timeout(READ_TIMEOUT):
                status, headers, text = await self.call(self.control_address(control_node), "GET", "/v1/config/read")
                for _ in range(MAX_REDIRECTIONS):
                    if status == 307:
                        address = urlsplit(headers["location"]).netloc
                        status, headers, text = await self.call(address, "GET", "/v1/config/read")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0
        return int(json.loads(text)["Generation"]) if status == 200 else 0

    # --- probes ---

    async def probe(self, sidecar: int, generation: int) -> Probe:
        """Send a request on the marker route of a version to a sidecar."""
        loop = asyncio.get_running_loop()
        address = f"{self.ips[sidecar]}:{self.port + 2}"
        request = f"{PROBE_ID_PREFIX}-{next(self.ids)}"
        sent_at = loop.time()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT):
                status, _, _ = await self.call(
                    address,
                    "GET",
                    f"/v{generation}/x",
                    X_Attempt_Id=request,
                    X_Deadline_Ms=str(PROBE_DEADLINE_MS),
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = NO_ANSWER
        ended_at = loop.time()
        explanation = await self.explain(request) if status == 503 else ""
        return Probe(sidecar, generation, sent_at, ended_at, status, explanation)

    async def explain(self, request: str) -> str:
        """Return what the sidecars have recorded of a failed request; empty if that can't be had."""
        try:
            async with asyncio.timeout(READ_TIMEOUT):
                _, _, text = await self.call(self.control_address(0), "GET", f"/v1/mesh/requests/{request}")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return ""
        return text.decode()


def replace_and_kill(
    address: str, base: int, body: bytes, timeout: float, victims: Sequence[Process], delay: float
) -> int:
    """Send a configuration to a control node, and kill processes once it is acknowledged.

    The calls block, as an event loop would react too late. Returns the status, :data:`NO_ANSWER` without one.
    """
    headers = {"X-Base-Version": str(base), "Content-Type": "application/json"}
    for _ in range(1 + MAX_REDIRECTIONS):
        connection = HTTPConnection(address, timeout=timeout)
        try:
            connection.request("POST", "/v1/config/replace", body, headers)
            response = connection.getresponse()
            if response.status == 200:
                time.sleep(delay)
                for victim in victims:
                    victim.popen.kill()
            if response.status != 307:
                return response.status
            address = urlsplit(response.headers["Location"]).netloc
        except (OSError, HTTPException):
            return NO_ANSWER
        finally:
            connection.close()
    return NO_ANSWER
