"""A mesh whose roles are processes of the program, each with a settings file of its own; endpoints and clients are
stand-ins in the test's process. What they saw is all that :func:`audit` judges by."""

from __future__ import annotations

import asyncio
import ctypes
import enum
import itertools
import json
import os
import signal
import subprocess
import sys
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from mesh.cluster import App, Mesh, config, read_message

ROOT = Path(__file__).parents[2]
SERVICE = "s"
MAX_ATTEMPTS = 2  # of the routes of cluster.config
WORK_S = 0.01  # that an endpoint takes for a request
DEADLINE_S = 2.0  # of each request: longer than a link is trusted that is silent (1 s)
GIVES_UP_S = 2.2  # after which a client waits no longer
PAUSE_S = 0.02  # of a client that was not answered
GRACE_S = 3.2  # of a SIGTERM
READY_EACH_S = 1.0  # between two questions of the platform whether a sidecar is ready
MISSES = 2  # of them, after which clients are given no new work
WARM_UP_CLIENTS = 12
BEAT_EACH_S = 0.3
BEAT_WITHIN_S = 0.5
STARTED_WITHIN_S = 15.0
ENDED_WITHIN_S = 10.0
LOG_TAIL = 2000  # characters of a process's log that a failure shows

PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


def end_with_parent() -> None:
    """In the child: the kernel kills it when the test's process is gone, however that ended."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


# --- what was seen ---


class Kind(enum.Enum):
    IDEMPOTENT = "safe"
    NON_IDEMPOTENT = "unsafe"


class Outcome(enum.Enum):
    NOT_SENT = "not sent"
    """No connection was had: nothing can have run."""
    ANSWERED = "answered"
    REFUSED = "refused"
    """429 or 503: it did not run and never will."""
    UNKNOWN = "unknown"
    """502, 504, a closed connection, or silence: it may have run, or may run later."""
    WRONG = "wrong"
    """A status that no proper request of these routes gets."""


OUTCOMES = {200: Outcome.ANSWERED, 429: Outcome.REFUSED, 503: Outcome.REFUSED} | dict.fromkeys(
    (502, 504), Outcome.UNKNOWN
)


@dataclass(slots=True)
class Try:
    """One request, as its client saw it."""

    id: str
    kind: Kind
    outcome: Outcome = Outcome.NOT_SENT
    told_id: str = ""
    body: bytes = b""
    ended_at: float = 0.0

    @property
    def text(self) -> bytes:
        return b"body of " + self.id.encode()


@dataclass(frozen=True, slots=True)
class Run:
    """One request, as an endpoint began to work on it."""

    id: str
    path: str
    body: bytes
    endpoint: str
    at: float


def answer_to(body: bytes) -> bytes:
    return b"answer to " + body


class Rule(enum.Enum):
    TWICE = "a request ran more often than its route allows: once, or MaxAttempts times where it is idempotent"
    REFUSED = "a non-idempotent request ran although its client was told that it did not"
    MIXED = "an answer that is not the request's own"
    UNASKED = "a request ran that no client sent, or another than was sent"
    WRONG = "a status that no proper request gets"


@dataclass(frozen=True, slots=True)
class Breach:
    rule: Rule
    request: str


def audit(tries: Iterable[Try], runs: Iterable[Run]) -> list[Breach]:
    """What breaks a rule; an unknown outcome by itself breaks none."""
    found: list[Breach] = []
    by_id = {t.id: t for t in tries}
    ran: dict[str, list[Run]] = {}
    for run in runs:
        ran.setdefault(run.id, []).append(run)
        sent = by_id.get(run.id)
        if sent is None or run.body != sent.text or run.path != f"/{SERVICE}/{sent.kind.value}/":
            found.append(Breach(Rule.UNASKED, run.id))
    for sent in by_id.values():
        its = ran.get(sent.id, [])
        found += [Breach(rule, sent.id) for rule in broken_by(sent, its)]
    return found


def broken_by(sent: Try, runs: list[Run]) -> list[Rule]:
    most = MAX_ATTEMPTS if sent.kind is Kind.IDEMPOTENT else 1
    found: list[Rule] = []
    if len(runs) > most:
        found.append(Rule.TWICE)
    if runs and (sent.outcome is Outcome.NOT_SENT or refused_for_good(sent)):
        found.append(Rule.REFUSED)
    if sent.outcome is Outcome.ANSWERED and not (
        runs and sent.told_id == sent.id and sent.body == answer_to(sent.text)
    ):
        found.append(Rule.MIXED)
    if sent.outcome is Outcome.WRONG:
        found.append(Rule.WRONG)
    return found


def refused_for_good(sent: Try) -> bool:
    """An idempotent request whose first attempt may have run can be refused at its second: the rules allow it."""
    return sent.outcome is Outcome.REFUSED and sent.kind is Kind.NON_IDEMPOTENT


def counts(tries: Iterable[Try], runs: Iterable[Run]) -> str:
    """Tried, run, answered, refused, unknown, by kind."""
    tries = list(tries)
    ran = Counter(r.id for r in runs)
    lines: list[str] = []
    for kind in Kind:
        its = [t for t in tries if t.kind is kind]
        ended = Counter(t.outcome for t in its)
        told = ", ".join(f"{o.value} {ended[o]}" for o in Outcome)
        runs_of_kind = sum(ran[t.id] for t in its)
        distinct = sum(ran[t.id] > 0 for t in its)
        unknown_but_run = sum(ran[t.id] > 0 for t in its if t.outcome is Outcome.UNKNOWN)
        lines.append(
            f"{kind.name.lower()}: tried {len(its)}, run {distinct} ({runs_of_kind} runs), {told} "
            f"({unknown_but_run} of the unknown ran)"
        )
    return "; ".join(lines)


# --- stand-ins ---


class Endpoint(App):
    """Takes some time for each request, and remembers each as run from the moment that it has read it."""

    def __init__(self, address: str, service: str) -> None:
        super().__init__(address, service)
        self.runs: list[Run] = []

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                answer = await self.work(headers["x-attempt-id"], start.split()[1], body)
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.transport.abort()
        self.writers.discard(writer)

    async def work(self, request: str, path: str, body: bytes) -> bytes:
        self.begin(request, path, body)
        await asyncio.sleep(WORK_S)
        if self.hold is not None:
            await self.hold.wait()
        return self.answer(request, answer_to(body))

    def begin(self, request: str, path: str, body: bytes) -> None:
        self.runs.append(Run(request, path, body, self.id, asyncio.get_running_loop().time()))

    def answer(self, request: str, body: bytes, status: str = "200 OK", more: str = "") -> bytes:
        head = f"HTTP/1.1 {status}\r\nX-Attempt-Id: {request}\r\nX-Server-Seal: s\r\n{more}"
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Client:
    """One request after the other; keeps its connection, or opens one for each request."""

    _numbers = itertools.count(1)

    def __init__(self, host: str, port: int, keeps: bool) -> None:
        self.host, self.port, self.keeps = host, port, keeps
        self.number = next(self._numbers)
        self.tries: list[Try] = []
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def go_on(self, ended: asyncio.Event) -> None:
        while not ended.is_set():
            kind = Kind.NON_IDEMPOTENT if len(self.tries) % 2 else Kind.IDEMPOTENT
            told = await self.ask(kind)
            if told.outcome is not Outcome.ANSWERED:
                await asyncio.sleep(PAUSE_S)
        self.close()

    async def ask(self, kind: Kind) -> Try:
        sent = Try(f"c{self.number}-{len(self.tries)}", kind)
        self.tries.append(sent)
        try:
            async with asyncio.timeout(GIVES_UP_S):
                await self.exchange(sent)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
        sent.ended_at = asyncio.get_running_loop().time()
        if not self.keeps:
            self.close()
        return sent

    async def exchange(self, sent: Try) -> None:
        if self.reader is None or self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        sent.outcome = Outcome.UNKNOWN
        self.writer.write(
            f"POST /{SERVICE}/{sent.kind.value}/ HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {sent.id}\r\n"
            f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\nContent-Length: {len(sent.text)}\r\n\r\n".encode()
            + sent.text
        )
        start, headers, sent.body = await read_message(self.reader)
        sent.told_id = headers.get("x-attempt-id", "")
        sent.outcome = OUTCOMES.get(int(start.split()[1]), Outcome.WRONG)
        if headers.get("connection", "").lower() == "close":
            self.close()

    def close(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


# --- the processes ---


class Process:
    """One role of the program. Its output goes to a file: nobody has to read it for the process to go on."""

    def __init__(self, role: str, folder: Path, settings: dict[str, Any]) -> None:
        self.settings = settings
        self.boot = folder / f"{settings['NodeName']}.json"
        self.log = folder / f"{settings['NodeName']}.log"
        self.write()
        with self.log.open("wb") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "meshd.py", role],
                cwd=ROOT,
                env={**os.environ, "ZINCLEVER_BOOT": str(self.boot)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )

    def write(self) -> None:
        """Replaced at once: the process may read it at any time."""
        new = self.boot.with_suffix(".new")
        new.write_text(json.dumps(self.settings))
        new.replace(self.boot)

    def send(self, number: signal.Signals) -> None:
        self.popen.send_signal(number)

    def runs(self) -> bool:
        return self.popen.poll() is None

    def kill(self) -> None:
        self.popen.kill()
        self.popen.wait(ENDED_WITHIN_S)

    def tail(self) -> str:
        return self.log.read_text(errors="replace")[-LOG_TAIL:]


class ProcessMesh(Mesh):
    """One control process, and a sidecar process beside each endpoint; all endpoints serve :data:`SERVICE`. Clients ask
    the first sidecar, which is the caller; the second is the keeper that it sends to. Use as an asynchronous context.
    """

    def __init__(self, make: Callable[[str, str], Endpoint] = Endpoint) -> None:
        super().__init__([SERVICE] * 2)
        self.endpoints = [make(a.address, a.service) for a in self.stub_endpoints]
        self.stub_endpoints = [*self.endpoints]
        self.processes: list[Process] = []
        self.beats: asyncio.Task[None] | None = None
        self.warm_up: set[str] = set()
        """Requests sent until all endpoints are reached; not judged."""

    def settings(self, ip: str, **more: Any) -> dict[str, Any]:
        names = ("ControlPlane",) if ip == self.control_ip else ("Egress", "Readiness", "ControlPlane")
        return {
            "NodeName": ip,
            "Role": "control" if ip == self.control_ip else "sidecar",
            "Ip": ip,
            "Zone": "z",
            "Serves": [],
            "Bind": {n: f"{ip}:{self.port + 2 + k}" for k, n in enumerate(names)},
            "EphemeralPorts": [self.port, self.port + 1],
            "SeedNodes": [f"{self.control_ip}:{self.port + 2}"],
            "Bootstrap": True,
            "Limits": {"MaxFds": 1024},
            "FaultModel": {"HostLosses": 0},
            "Bounds": ["RetryRatio=0.2", "RetryWindowS=10", "RetrySlack=60", f"GraceS={GRACE_S}"],
            **more,
        }

    async def __aenter__(self) -> ProcessMesh:
        try:
            await self.start()
        except BaseException:
            for process in self.processes:
                print(process.log.name, process.tail(), file=sys.stderr)
            await self.__aexit__()
            raise
        return self

    async def start(self) -> None:
        folder = Path(self.folder.name)
        state = self.settings(self.control_ip, StateDir=str(folder / "disk"))
        self.processes.append(Process("control", folder, state))
        for ip, endpoint in zip(self.ips, self.endpoints, strict=True):
            await endpoint.start()
            told = self.settings(ip, AppAddr=endpoint.address, Target=endpoint.service)
            self.processes.append(Process("sidecar", folder, told))
        async with asyncio.timeout(STARTED_WITHIN_S):
            await again(lambda: self.put_until_clear(config(SERVICE), 0))
            self.beats = asyncio.ensure_future(self.go_on_beating())
            for ip in self.ips:
                await again(lambda ip=ip: self.see_ready(ip))  # type: ignore[misc]
            await self.reach_all()

    async def see_ready(self, ip: str) -> None:
        status, _, _ = await self.call(f"{ip}:{self.port + 3}", "GET", "/v1/ready")
        if status != 200:
            raise ConnectionError(status)

    async def reach_all(self) -> None:
        """The caller sends to each endpoint, as one is not enough for so many requests at once."""
        clients = [self.client(keeps=True) for _ in range(WARM_UP_CLIENTS)]
        while not all(e.runs for e in self.endpoints):
            await asyncio.gather(*(c.ask(Kind.IDEMPOTENT) for c in clients))
        for client in clients:
            client.close()
            self.warm_up.update(t.id for t in client.tries)

    async def until_not_ready(self, ip: str) -> None:
        """As the platform asks."""
        misses = 0
        while misses < MISSES:
            await asyncio.sleep(READY_EACH_S)
            try:
                await self.see_ready(ip)
                misses = 0
            except (OSError, asyncio.IncompleteReadError):
                misses += 1

    async def go_on_beating(self) -> None:
        while True:
            for n in range(len(self.endpoints)):
                try:
                    async with asyncio.timeout(BEAT_WITHIN_S):
                        await self.beat(n)
                except (OSError, TimeoutError, asyncio.IncompleteReadError):
                    continue  # its sidecar stands still or has ended
            await asyncio.sleep(BEAT_EACH_S)

    async def __aexit__(self, *error: object) -> None:
        try:
            for process in self.processes:
                process.kill()
        finally:
            if self.beats is not None:
                self.beats.cancel()
            for endpoint in self.endpoints:
                if endpoint.hold is not None:
                    endpoint.hold.set()
                if endpoint.writers:
                    await asyncio.sleep(WORK_S)
                if hasattr(endpoint, "server"):
                    await endpoint.stop()
            self.folder.cleanup()

    @property
    def caller(self) -> Process:
        return self.processes[1]

    @property
    def keeper(self) -> Process:
        return self.processes[2]

    def client(self, keeps: bool) -> Client:
        return Client(self.ips[0], self.port + 2, keeps)

    def all_runs(self) -> list[Run]:
        return [r for e in self.endpoints for r in e.runs if r.id not in self.warm_up]


async def again(call: Callable[[], Awaitable[None]]) -> None:
    """Until it goes well: a process that starts doesn't listen yet. The caller bounds the time."""
    while True:
        try:
            return await call()
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.05)
