"""Test harness: a mesh whose roles run as separate processes, with endpoints and clients in the test's process."""

from __future__ import annotations

import asyncio
import ctypes
import itertools
import json
import os
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, Self

from mesh import work
from mesh.cluster import Mesh, config, read_message
from mesh.early_endpoint import ReceivedRequest, Way, WorkingEndpoint
from mesh.observations import (
    OUTCOMES,
    SERVICE,
    ClientRequest,
    Execution,
    Outcome,
    RouteClass,
    fingerprint,
    request_name,
    response_body_for,
)
from mesh.work import ORDINARY, Work

ROOT = Path(__file__).parents[2]
PROGRAM = "meshd.py"
DEADLINE_S = work.DEFAULT_DEADLINE  # of each request that asks for nothing else
CLIENT_TIMEOUT_SLACK_S = 0.2  # after its deadline, for which a client waits
CLIENT_TIMEOUT_S = DEADLINE_S + CLIENT_TIMEOUT_SLACK_S
RETRY_DELAY_S = 0.02  # of a client after a request that was not answered
GRACE_S = 3.2  # shutdown grace period after SIGTERM
READINESS_PROBE_INTERVAL_S = 1.0  # between two readiness probes of the platform
FAILURE_THRESHOLD = 2  # failed readiness probes after which clients receive no new work
WARM_UP_CLIENTS = 12
HEARTBEAT_INTERVAL_S = 0.3
HEARTBEAT_TIMEOUT_S = 0.5
MAX_HEARTBEAT_RATE = 100.0  # heartbeats/s of all endpoints together
MAX_WARMED_UP = 20  # endpoints that the first sidecar has used before a test begins
START_TIMEOUT_S = 15.0  # of a mesh of up to 15 processes
START_TIMEOUT_PER_PROCESS_S = 1.0  # of a larger mesh
KILL_TIMEOUT_S = 10.0
LOG_TAIL_LENGTH = 2000  # characters of a process's log that are shown on failure

PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


def kill_with_parent() -> None:
    """Run in the child process: have the kernel kill it when the test's process ends for whatever reason."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


# --- endpoints and clients ---


class RecordingEndpoint(WorkingEndpoint):
    """Works on each request as its header asks, and records its execution when it begins."""

    def __init__(self, address: str, service: str) -> None:
        super().__init__(address, service)
        self.executions: list[Execution] = []

    def way_of(self, headers: dict[str, str]) -> Way:
        return work.parse(headers.get(work.WORK_HEADER.lower(), "")).way

    async def work(self, request: ReceivedRequest) -> bytes:
        return await self.handle(request)

    async def handle(self, request: ReceivedRequest) -> bytes:
        self.record_execution(request)
        await asyncio.sleep(work.parse(request.headers.get(work.WORK_HEADER.lower(), "")).service_time)
        if self.response_gate is not None:
            await self.response_gate.wait()
        body = request_name(request.id) if request.missing_bytes else request.body
        return self.response(request.id, response_body_for(body))

    def record_execution(self, request: ReceivedRequest) -> None:
        self.executions.append(
            Execution(
                request.id,
                request.path,
                fingerprint(request.body),
                self.id,
                asyncio.get_running_loop().time(),
                len(request.body) if request.missing_bytes else None,
            )
        )

    def response(self, request: str, body: bytes, status: str = "200 OK", extra_headers: str = "") -> bytes:
        head = f"HTTP/1.1 {status}\r\nX-Attempt-Id: {request}\r\nX-Server-Seal: s\r\n{extra_headers}"
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Client:
    """Sends one request at a time, on a persistent connection or on a new connection for each request."""

    _numbers = itertools.count(1)

    def __init__(self, host: str, port: int, persistent: bool) -> None:
        self.host, self.port, self.persistent = host, port, persistent
        self.number = next(self._numbers)
        self.requests: list[ClientRequest] = []
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send_until(self, load_ended: asyncio.Event) -> None:
        while not load_ended.is_set():
            route_class = RouteClass.NON_IDEMPOTENT if len(self.requests) % 2 else RouteClass.IDEMPOTENT
            request = await self.send(route_class)
            if request.outcome is not Outcome.ANSWERED:
                await asyncio.sleep(RETRY_DELAY_S)
        self.close()

    async def send(self, route_class: RouteClass, work: Work = ORDINARY) -> ClientRequest:
        request = ClientRequest(f"c{self.number}-{len(self.requests)}", route_class, work=work)
        self.requests.append(request)
        try:
            async with asyncio.timeout(request.work.deadline + CLIENT_TIMEOUT_SLACK_S):
                await self.exchange(request)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
        request.ended_at = asyncio.get_running_loop().time()
        if not self.persistent:
            self.close()
        return request

    async def exchange(self, request: ClientRequest) -> None:
        if self.reader is None or self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        request.outcome = Outcome.UNKNOWN
        body = request.request_body
        self.writer.write(
            f"POST /{SERVICE}/{request.route_class.value}/ HTTP/1.1\r\n"
            f"Host: a.example\r\nX-Attempt-Id: {request.id}\r\n"
            f"X-Deadline-Ms: {int(1000 * request.work.deadline)}\r\n{request.work.header()}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        request.sent_at = asyncio.get_running_loop().time()
        start, headers, request.response_body = await read_message(self.reader)
        request.has_response = True
        request.response_id = headers.get("x-attempt-id", "")
        request.outcome = OUTCOMES.get(int(start.split()[1]), Outcome.UNEXPECTED_STATUS)
        if headers.get("connection", "").lower() == "close":
            self.close()

    def close(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


# --- processes ---


class Process:
    """A process that runs one role. Its output goes to a file, so that it never blocks on a full pipe."""

    def __init__(self, role: str, folder: Path, settings: dict[str, Any], program: str = PROGRAM) -> None:
        self.role, self.settings, self.program = role, settings, program
        self.settings_path = folder / f"{settings['NodeName']}.json"
        self.log_path = folder / f"{settings['NodeName']}.log"
        self.start()

    def start(self) -> None:
        """Start the process, for the first time or again."""
        self.write_settings()
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, self.program, self.role],
                cwd=ROOT,
                env={**os.environ, "ZINCLEVER_BOOT": str(self.settings_path)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=kill_with_parent,
            )

    def write_settings(self) -> None:
        """Replace the settings file atomically, as the process may read it at any time."""
        temporary = self.settings_path.with_suffix(".new")
        temporary.write_text(json.dumps(self.settings))
        temporary.replace(self.settings_path)

    def send_signal(self, signal_number: signal.Signals) -> None:
        self.popen.send_signal(signal_number)

    def is_running(self) -> bool:
        return self.popen.poll() is None

    def kill(self) -> None:
        kill_all([self])

    def log_tail(self) -> str:
        return self.log_path.read_text(errors="replace")[-LOG_TAIL_LENGTH:]


def ignores_hangup(pid: int) -> bool:
    """Return whether a process ignores SIGHUP or has a handler for it."""
    status = dict(line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines())
    return bool((int(status["SigIgn"], 16) | int(status["SigCgt"], 16)) >> (signal.SIGHUP - 1) & 1)


def kill_all(processes: Sequence[Process]) -> None:
    """Kill processes within a fraction of a millisecond of each other, and wait until they have ended."""
    for process in processes:
        process.popen.kill()
    for process in processes:
        process.popen.wait(KILL_TIMEOUT_S)


class ProcessMesh(Mesh):
    """Control processes, endpoints of :data:`SERVICE`, and a sidecar process for each of them.

    Clients send their requests to the first sidecar, which serves them locally or forwards them to another one. Use as
    an asynchronous context manager.
    """

    control_program = PROGRAM

    def __init__(
        self,
        make_endpoint: Callable[[str, str], RecordingEndpoint] = RecordingEndpoint,
        sidecars: int = 2,
        control_nodes: int = 1,
        grace: float = GRACE_S,
    ) -> None:
        super().__init__([SERVICE] * sidecars)
        network = self.control_ip.rpartition(".")[0]
        self.control_ips = [f"{network}.{number}" for number in range(1, control_nodes + 1)]
        self.grace = grace
        self.endpoints = [make_endpoint(app.address, app.service) for app in self.stub_endpoints]
        self.stub_endpoints = [*self.endpoints]
        self.processes: list[Process] = []
        self.heartbeat_task: asyncio.Task[None] | None = None
        self.warm_up_ids: set[str] = set()
        """Ids of the requests that were sent during the warm-up; they are not audited."""

    def settings(self, ip: str, **overrides: Any) -> dict[str, Any]:
        is_control_node = ip in self.control_ips
        names = ("ControlPlane",) if is_control_node else ("Egress", "Readiness", "ControlPlane")
        return {
            "NodeName": ip,
            "Role": "control" if is_control_node else "sidecar",
            "Ip": ip,
            "Zone": "z",
            "Serves": [],
            "Bind": {name: f"{ip}:{self.port + 2 + offset}" for offset, name in enumerate(names)},
            "EphemeralPorts": [self.port, self.port + 1],
            "SeedNodes": [f"{control_ip}:{self.port + 2}" for control_ip in self.control_ips],
            "Bootstrap": True,
            "Limits": {"MaxFds": 1024},
            "FaultModel": {"HostLosses": (len(self.control_ips) - 1) // 2},
            "Bounds": ["RetryRatio=0.2", "RetryWindowS=10", "RetrySlack=60", f"GraceS={self.grace}"],
            **overrides,
        }

    async def __aenter__(self) -> Self:
        try:
            await self.start()
        except BaseException:
            for process in self.processes:
                print(process.log_path.name, process.log_tail(), file=sys.stderr)
            await self.__aexit__()
            raise
        return self

    async def start(self) -> None:
        folder = Path(self.folder.name)
        for ip in self.control_ips:
            control_settings = self.settings(ip, StateDir=str(folder / f"disk-{ip}"))
            self.processes.append(Process("control", folder, control_settings, self.control_program))
        for ip, endpoint in zip(self.ips, self.endpoints, strict=True):
            await endpoint.start()
            sidecar_settings = self.settings(ip, AppAddr=endpoint.address, Target=endpoint.service)
            self.processes.append(Process("sidecar", folder, sidecar_settings))
        async with asyncio.timeout(max(START_TIMEOUT_S, START_TIMEOUT_PER_PROCESS_S * len(self.processes))):
            await self.put_first_configuration()
            self.heartbeat_task = asyncio.ensure_future(self.send_heartbeats())
            for ip in self.ips:
                await retry_until_success(lambda ip=ip: self.check_ready(ip))  # type: ignore[misc]
            await self.warm_up_endpoints()

    async def put_first_configuration(self) -> None:
        """Send a configuration until it is acknowledged."""
        await retry_until_success(lambda: self.put_until_definite(config(SERVICE), 0))

    async def check_ready(self, ip: str) -> None:
        status, _, _ = await self.call(f"{ip}:{self.port + 3}", "GET", "/v1/ready")
        if status != 200:
            raise ConnectionError(status)

    async def warm_up_endpoints(self) -> None:
        """Send concurrent requests until the first sidecar has forwarded some to each endpoint, if these are few."""
        if len(self.endpoints) > MAX_WARMED_UP:
            return
        clients = [self.client(persistent=True) for _ in range(WARM_UP_CLIENTS)]
        while not all(endpoint.executions for endpoint in self.endpoints):
            await asyncio.gather(*(c.send(RouteClass.IDEMPOTENT) for c in clients))
        for client in clients:
            client.close()
            self.warm_up_ids.update(request.id for request in client.requests)

    async def wait_until_not_ready(self, ip: str) -> None:
        """Wait until :data:`FAILURE_THRESHOLD` readiness probes in a row have failed."""
        failures = 0
        while failures < FAILURE_THRESHOLD:
            await asyncio.sleep(READINESS_PROBE_INTERVAL_S)
            try:
                await self.check_ready(ip)
                failures = 0
            except (OSError, asyncio.IncompleteReadError):
                failures += 1

    async def send_heartbeats(self) -> None:
        """Send the heartbeats of all endpoints, each independently of the others."""
        async with asyncio.TaskGroup() as group:
            for index in range(len(self.endpoints)):
                group.create_task(self.send_heartbeats_of(index))

    async def send_heartbeats_of(self, index: int) -> None:
        while True:
            try:
                async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                    await self.send_heartbeat(index)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass  # the sidecar is stopped or has exited
            await asyncio.sleep(max(HEARTBEAT_INTERVAL_S, len(self.endpoints) / MAX_HEARTBEAT_RATE))

    async def __aexit__(self, *error: object) -> None:
        try:
            kill_all(self.processes)
        finally:
            if self.heartbeat_task is not None:
                self.heartbeat_task.cancel()
            for endpoint in self.endpoints:
                if endpoint.response_gate is not None:
                    endpoint.response_gate.set()
                if endpoint.writers:
                    await asyncio.sleep(work.DEFAULT_SERVICE_TIME)
                if hasattr(endpoint, "server"):
                    await endpoint.stop()
            self.folder.cleanup()

    @property
    def control_processes(self) -> list[Process]:
        return self.processes[: len(self.control_ips)]

    @property
    def sidecar_processes(self) -> list[Process]:
        return self.processes[len(self.control_ips) :]

    @property
    def egress_sidecar(self) -> Process:
        return self.sidecar_processes[0]

    @property
    def ingress_sidecar(self) -> Process:
        return self.sidecar_processes[1]

    def client(self, persistent: bool) -> Client:
        return Client(self.ips[0], self.port + 2, persistent)

    def audited_executions(self) -> list[Execution]:
        return [
            execution
            for endpoint in self.endpoints
            for execution in endpoint.executions
            if execution.id not in self.warm_up_ids
        ]


async def retry_until_success(call: Callable[[], Awaitable[None]]) -> None:
    """Repeat a call until it succeeds, as a starting process does not listen yet. The caller sets a timeout."""
    while True:
        try:
            return await call()
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.05)
