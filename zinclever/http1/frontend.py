"""The request handler of one service: maps requests to the classes and tenants of the settings."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from ..core.counts import ReplyCounts
from ..core.dispatcher import Dispatcher
from ..core.protocol import FinalAnswer, IncomingRequest
from .bodies import Body
from .connection import Headers
from .heads import CompleteRequest, HttpResponse, Rejected, find_cookie, parse_positive_number, render_request_head
from .request_handler import RequestHandler
from .wire import Payload

HEALTH_PATH = "/_health"


class Frontend(RequestHandler):
    """Passes valid requests to a dispatcher, and answers health checks."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        super().__init__(dispatcher.descriptors)
        self.dispatcher = dispatcher
        self.configure()

    def configure(self) -> None:
        """Take the names of classes and tenants, and the limits on connections, from the dispatcher's settings."""
        settings = self.dispatcher.settings
        self.classes = {c.name: n for n, c in enumerate(settings.classes)}
        self.tenants = {t.name: n for n, t in enumerate(settings.tenants)}
        self.needs_key = [c.repeat == "deduplicated" for c in settings.classes]
        self.deadlines = [c.deadline for c in settings.classes]
        self.compute_limits()

    def take(self, request: IncomingRequest, on_answer: Callable[[FinalAnswer | HttpResponse], None]) -> None:
        """Pass a request to the dispatcher."""
        self.dispatcher.take(request, on_answer)

    def on_client_disconnected(self, request_id: str) -> None:
        """Let the dispatcher stop processing a request whose client has disconnected."""
        self.dispatcher.leave(request_id)

    def upload_finished(self, request_id: str) -> None:
        """Let the dispatcher start the deadline of a request whose body is complete."""
        self.dispatcher.upload_finished(request_id)

    def replies(self, request: IncomingRequest) -> ReplyCounts:
        """Return the counters of the request's class."""
        return self.dispatcher.counts.of(self.dispatcher.settings.classes[request.klass].name)

    def unread(self, sock: Any) -> bool:
        """Return whether the kernel holds unread bytes of a connection, or its end."""
        return self.dispatcher.host.unread(sock)

    def receive_delay(self, transport: asyncio.BaseTransport, is_first: bool) -> float:
        """Return how many ms the bytes being read from a connection waited for this process; 0 if not measured."""
        return self.dispatcher.waited(transport, is_first)

    def local_response(self, request: CompleteRequest) -> HttpResponse | None:
        """Answer a health check: 200 once the dispatcher is ready, else 500."""
        if request.method == "GET" and request.target == HEALTH_PATH:
            return HttpResponse(200 if self.dispatcher.ready else 500)
        return None

    def add_streaming(self, change: int) -> None:
        """Count a response that is being streamed as a concurrent request."""
        self.dispatcher.counts.concurrent += change

    def read(self, method: str, target: str, headers: Headers, body: bytes | Body, waited_ms: float) -> IncomingRequest:
        """Validate a request that arrived ``waited_ms`` ms ago.

        Guards against passing requests to the balancer that it can't handle correctly.

        Raises:
            Rejected: With 404 for an unknown class, 400 for a missing or invalid header or an id that is in use.
        """
        values: dict[bytes, bytes] = {}
        for name, value in headers:
            values.setdefault(name.lower(), value)  # surrounding whitespace is already removed
        path = target.partition("?")[0]
        klass = self.classes.get(path.lstrip("/").partition("/")[0])
        if klass is None:
            raise Rejected(404)
        request_id = values.get(b"req-id", b"").decode("latin-1")
        if not request_id or request_id in self.dispatcher.requests:
            raise Rejected(400)
        if self.needs_key[klass] and not values.get(b"idempotency-key"):
            raise Rejected(400)
        owner = values.get(b"req-owner", b"").decode("latin-1")
        if self.tenants and owner not in self.tenants:
            raise Rejected(400)
        return IncomingRequest(
            id=request_id,
            klass=klass,
            tenant=self.tenants.get(owner, 0),
            key=find_cookie(values.get(b"cookie", b""), b"key"),
            wait=max(
                0.0,
                min(1000.0 * parse_positive_number(values.get(b"req-deadline")), self.deadlines[klass]) - waited_ms,
            ),
            work=parse_positive_number(values[b"req-cost"]) / 1000.0 if b"req-cost" in values else 0.0,  # from µs
            retry=values.get(b"req-retry") == b"1",
            payload=Payload(render_request_head(method, target, headers), body, method != "GET" or bool(body)),
            uploading=isinstance(body, Body),
        )
