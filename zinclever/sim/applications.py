"""The client applications: each sends requests to its own sidecar over persistent connections, and retries failures."""

from __future__ import annotations

import asyncio
import itertools
from bisect import bisect
from random import Random
from typing import TYPE_CHECKING, Any, cast

import httptools

from ..simnet.scheduler import NS
from ..standins.log import AbandonedRequest, Answered, Kind, SentRequest
from .model import RequestKind

if TYPE_CHECKING:
    from .scene import BaseWorld
    from .sidecars import Sidecar

MS = NS // 1000
ANSWER_GRACE = 0.1  # s past the client's timeout at which it gives up on the answer
BODY = b"x" * 64


class KeyPopularity:
    """Distribution of request keys: Zipf, plus an optional set of hot keys that take a share of all requests."""

    def __init__(self, count: int, exponent: float, seed: str) -> None:
        weights = [1.0 / (n + 1) ** exponent for n in range(count)]
        self.cumulative_weights = list(itertools.accumulate(weights))
        self.names = [f"{n:x}" for n in range(count)]
        Random(seed).shuffle(self.names)
        self.hot_names: list[str] = []
        self.hot_share = 0.0

    def draw(self, rng: Random) -> str:
        """Return a random key."""
        if self.hot_names and rng.random() < self.hot_share:
            return rng.choice(self.hot_names)
        return self.names[
            bisect(self.cumulative_weights, rng.random() * self.cumulative_weights[-1], 0, len(self.names) - 1)
        ]


class ClientRequest:
    """One request as the client sees it: the first try and its retries."""

    __slots__ = ("finished", "idempotency_key", "key", "kind", "number", "started_at", "try_count", "work")

    def __init__(
        self, number: int, kind: RequestKind, key: str, idempotency_key: str, work: float, started_at: int
    ) -> None:
        self.number = number
        self.kind, self.key, self.idempotency_key, self.work, self.started_at = (
            kind,
            key,
            idempotency_key,
            work,
            started_at,
        )
        self.try_count = 0
        self.finished = False


class Application:
    """The client process that runs next to one sidecar."""

    def __init__(self, world: BaseWorld, sidecar: Sidecar, weight: float) -> None:
        self.world, self.sidecar, self.weight = world, sidecar, weight
        self.name = sidecar.name
        self.rng = Random(f"{world.day.seed}/application/{self.name}")
        self.loop = world.process(sidecar.machine)
        self.idle: list[SidecarConnection] = []
        settings = world.day.applications
        self.honours_retry_after = self.rng.random() < settings.honour
        self.backoff = self.rng.uniform(*settings.backoff_ms)
        self.rate_version = 0
        """Incremented on each rate change; an arrival that was scheduled under an older version is ignored."""

    def rate(self) -> float:
        """Return the current rate of new requests per second, without retries."""
        return self.world.request_rate() * self.weight / self.world.total_weight

    def go(self) -> None:
        """Start sending requests; call again whenever the rate changes."""
        self.rate_version += 1
        self.schedule_arrival(self.rate_version)

    def stop_arrivals(self) -> None:
        """Send no new requests until :meth:`go` is called."""
        self.rate_version += 1

    def schedule_arrival(self, rate_version: int) -> None:
        """Schedule the next request of the Poisson process."""
        rate = self.rate()
        if rate > 0.0:
            self.world.scheduler.after(round(self.rng.expovariate(rate) * NS), self.on_arrival, rate_version)

    def on_arrival(self, rate_version: int) -> None:
        """Create a request and send its first try."""
        if rate_version != self.rate_version or self.world.over:
            return
        self.schedule_arrival(rate_version)
        world = self.world
        number = world.next_request_number()
        kind = world.draw_class(self.rng)
        request = ClientRequest(
            number,
            kind,
            world.keys.draw(self.rng),
            f"{self.rng.getrandbits(128):032x}",
            self.rng.expovariate(1.0) * kind.work_ms / 1000.0,
            world.now(),
        )
        if world.selected_requests and number not in world.selected_requests:
            return
        world.figures.on_request_started(request)
        self.send_try(request)

    # --- a single try ---

    def send_try(self, request: ClientRequest) -> None:
        """Send one try, on an idle connection if there is one."""
        request.try_count += 1
        name = f"{self.name}.{request.number}.{request.try_count}"
        if self.idle:
            connection = self.idle.pop()
            connection.reused = True
            connection.send(request, name)
        else:
            self.loop.create_task(self.connect_and_send(request, name))

    async def connect_and_send(self, request: ClientRequest, name: str, is_resend: bool = False) -> None:
        """Open a connection to the sidecar and send the request on it."""
        try:
            _, connection = await self.loop.create_connection(lambda: SidecarConnection(self), *self.sidecar.address)
        except OSError:
            self.on_sidecar_unreachable(request)
            return
        assert isinstance(connection, SidecarConnection)
        connection.send(request, name, is_resend)

    def on_sidecar_unreachable(self, request: ClientRequest) -> None:
        """The connection was refused, so nothing was executed: retry after the backoff."""
        self.world.counts.unreachable += 1
        self.retry(request, self.backoff)

    def retry(self, request: ClientRequest, delay: float) -> None:
        """Send another try after ``delay`` ms, if the retry limit allows it."""
        if self.world.closing or request.try_count > self.world.day.applications.retries:
            self.give_up(request)
        else:
            self.world.scheduler.after(round(delay * MS), self.send_try, request)

    def give_up(self, request: ClientRequest) -> None:
        """End the request as failed."""
        request.finished = True
        self.world.figures.on_request_finished(request, False)

    def on_answer(self, request: ClientRequest, status: int, retry_after_ms: float) -> None:
        """Finish the request, or retry it if the sidecar refused it with 503."""
        if status == 200:
            request.finished = True
            self.world.figures.on_request_finished(request, True)
        elif status == 503:
            self.retry(request, max(self.backoff, retry_after_ms) if self.honours_retry_after else self.backoff)
        else:
            self.on_failure(request)

    def on_failure(self, request: ClientRequest) -> None:
        """Handle a failure after which the request may have been executed: retry only if a repeat has no effect."""
        kind = request.kind
        if kind.repeat == "idempotent" or (kind.repeat == "deduplicated" and kind.group == "all"):
            self.retry(request, self.backoff)
        else:
            self.give_up(request)


class SidecarConnection(asyncio.Protocol):
    """A client's HTTP/1.1 connection to its sidecar, with at most one request in flight."""

    transport: asyncio.Transport

    def __init__(self, application: Application) -> None:
        self.application = application
        self.parser: Any = None
        self.request: ClientRequest | None = None
        self.name = ""
        self.reused = self.server_closes = self.is_resend = False
        self.sent_at = self.timeout_ms = 0.0
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, request: ClientRequest, name: str, is_resend: bool = False) -> None:
        """Send one try.

        Args:
            request: The request that the try belongs to.
            name: Identifier of the try.
            is_resend: The sidecar closed the previous connection before it read this try.
        """
        world, kind = self.application.world, request.kind
        if self.transport.is_closing():  # closed since it was taken from the idle list
            self.application.loop.create_task(self.application.connect_and_send(request, name))
            return
        self.request, self.name, self.is_resend = request, name, is_resend
        self.parser = httptools.HttpResponseParser(self)
        self.status, self.body, self.retry_after_ms, self.server_closes = 0, b"", 0.0, False
        timeout_ms = kind.deadline_ms * world.day.applications.try_share
        idempotent = kind.repeat == "idempotent"
        key_header = f"Idempotency-Key: {request.idempotency_key}\r\n" if kind.repeat == "deduplicated" else ""
        head = (
            f"{'GET' if idempotent else 'POST'} /{kind.name}/p HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {name}\r\n"
            f"Cookie: key={request.key}\r\nReq-Deadline: {timeout_ms / 1000.0:.3f}\r\n"
            f"Req-Cost: {request.work * 1e6:.0f}\r\n"
            f"{key_header}{'' if idempotent else f'Content-Length: {len(BODY)}' + chr(13) + chr(10)}\r\n"
        )
        self.timeout_ms = timeout_ms
        if not is_resend:
            self.sent_at = world.now_ms()
            world.log.sent_requests.append(
                SentRequest(
                    self.sent_at,
                    name,
                    kind.repeat,
                    timeout_ms,
                    request.idempotency_key,
                    "all" if kind.group == "all" else "zone",
                    kind.window_ms,
                )
            )
        self.timer = self.application.loop.call_later(timeout_ms / 1000.0 + ANSWER_GRACE, self.on_timeout)
        self.transport.write(head.encode() + (b"" if idempotent else BODY))

    def on_timeout(self) -> None:
        """Give up waiting for the answer.

        The auditor reports the missing answer as a breach, unless the sidecar process was paused.
        """
        self.timer = None
        if self.application.sidecar.paused_since(self.sent_at):
            self.application.world.log.abandoned_requests.append(
                AbandonedRequest(self.application.world.now_ms(), self.name)
            )
        request, self.request = self.request, None
        self.transport.abort()
        if request is not None:
            self.application.on_failure(request)

    def data_received(self, data: bytes) -> None:
        """Parse a part of an answer; data without a request in flight is an error."""
        if self.request is None:
            self.log_extra_answer()
            self.transport.abort()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Evaluate ``Retry-After`` and ``Connection``."""
        lower_name = name.lower()
        if lower_name == b"retry-after":
            self.retry_after_ms = 1000.0 * float(value)
        elif lower_name == b"connection" and value.lower() == b"close":
            self.server_closes = True

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Log the answer and pass its result to the application."""
        request, self.request = self.request, None
        if request is None:
            self.log_extra_answer()
            return
        if self.timer is not None:
            self.timer.cancel()
        status = self.parser.get_status_code()
        world = self.application.world
        if world.now_ms() > self.sent_at + self.timeout_ms and self.application.sidecar.paused_since(self.sent_at):
            world.log.abandoned_requests.append(
                AbandonedRequest(world.now_ms(), self.name)
            )  # the client had already given up
            self.application.on_failure(request)
            self.transport.abort()
            return
        outcome: Kind = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        world.log.answered.append(Answered(world.now_ms(), self.name, outcome, self.body.decode("latin-1")))
        world.counts.answers[outcome] += 1
        if self.server_closes:
            self.transport.close()
        else:
            self.application.idle.append(self)
        self.application.on_answer(request, status, self.retry_after_ms)

    def log_extra_answer(self) -> None:
        """Log data after the final answer as a second answer, which the auditor reports as a breach."""
        if self.name:
            self.application.world.log.answered.append(Answered(self.application.world.now_ms(), self.name, "served"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in flight, or send it again if the sidecar closed the idle connection before reading it."""
        application = self.application
        if self in application.idle:
            application.idle.remove(self)
        if self.timer is not None:
            self.timer.cancel()
        request, self.request = self.request, None
        self.parser = None
        if request is None:
            return
        world = application.world
        if application.sidecar.killed_since(self.sent_at):
            # A killed sidecar cannot answer; the client retries if a repeat has no effect.
            world.log.abandoned_requests.append(AbandonedRequest(world.now_ms(), self.name))
            application.on_failure(request)
        elif self.reused and exc is None and not self.is_resend:
            # The sidecar closed the idle connection while this request was on its way to it.
            application.loop.create_task(application.connect_and_send(request, self.name, is_resend=True))
        else:
            application.on_failure(request)
