"""What the connections of one service's clients share: the ledger, the settings as names, room for bodies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from ..core.counts import ReplyCounts
from ..core.dispatcher import Dispatcher
from ..core.protocol import FinalAnswer, IncomingRequest
from .bodies import Body
from .connection import Headers
from .desk import RequestHandler
from .heads import HttpResponse, Rejected, Whole, cookie, number, request_head
from .wire import Payload

HEALTH = "/_health"


class Frontend(RequestHandler):
    """The ledger, the settings as names, who is connected and since when."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        super().__init__(dispatcher.descriptors)
        self.dispatcher = dispatcher
        self.configure()

    def configure(self) -> None:
        """Take the names, and the share of descriptors, from the ledger's settings."""
        settings = self.dispatcher.settings
        self.classes = {c.name: n for n, c in enumerate(settings.classes)}
        self.tenants = {t.name: n for n, t in enumerate(settings.tenants)}
        self.keyed = [c.repeat == "deduplicated" for c in settings.classes]
        self.waits = [c.deadline for c in settings.classes]
        self.divide()

    def take(self, told: IncomingRequest, answer: Callable[[FinalAnswer | HttpResponse], None]) -> None:
        self.dispatcher.take(told, answer)

    def on_client_disconnected(self, request_id: str) -> None:
        self.dispatcher.leave(request_id)

    def upload_finished(self, request_id: str) -> None:
        self.dispatcher.upload_finished(request_id)

    def replies(self, told: IncomingRequest) -> ReplyCounts:
        return self.dispatcher.counts.of(self.dispatcher.settings.classes[told.klass].name)

    def unread(self, sock: Any) -> bool:
        return self.dispatcher.host.unread(sock)

    def waited(self, transport: asyncio.BaseTransport, first: bool) -> float:
        return self.dispatcher.waited(transport, first)

    def answers_itself(self, whole: Whole) -> HttpResponse | None:
        if whole.method == "GET" and whole.target == HEALTH:
            return HttpResponse(200 if self.dispatcher.ready else 500)
        return None

    def passing(self, by: int) -> None:
        self.dispatcher.counts.concurrent += by

    def read(self, method: str, target: str, headers: Headers, body: bytes | Body, waited: float) -> IncomingRequest:
        """A request that has ``waited`` so many ms here, checked: guards against the balancer being fed what it can't
        answer rightly."""
        named: dict[bytes, bytes] = {}
        for name, value in headers:
            named.setdefault(name.lower(), value)  # without the blanks round it
        path = target.partition("?")[0]
        klass = self.classes.get(path.lstrip("/").partition("/")[0])
        if klass is None:
            raise Rejected(404)
        request_id = named.get(b"req-id", b"").decode("latin-1")
        if not request_id or request_id in self.dispatcher.requests:
            raise Rejected(400)
        if self.keyed[klass] and not named.get(b"idempotency-key"):
            raise Rejected(400)
        owner = named.get(b"req-owner", b"").decode("latin-1")
        if self.tenants and owner not in self.tenants:
            raise Rejected(400)
        return IncomingRequest(
            id=request_id,
            klass=klass,
            tenant=self.tenants.get(owner, 0),
            key=cookie(named.get(b"cookie", b""), b"key"),
            wait=max(0.0, min(1000.0 * number(named.get(b"req-deadline")), self.waits[klass]) - waited),
            work=number(named[b"req-cost"]) / 1000.0 if b"req-cost" in named else 0.0,  # from µs
            retry=named.get(b"req-retry") == b"1",
            payload=Payload(request_head(method, target, headers), body, method != "GET" or bool(body)),
            uploading=isinstance(body, Body),
        )
