"""The listener of a node's HTTP API: passes each call to the handler that the router finds; answers are JSON."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

import orjson

from ...core.counts import ReplyCounts
from ...core.descriptors import Descriptors
from ...core.host import Host
from ...core.protocol import FinalAnswer, IncomingRequest
from ...http1.bodies import Body
from ...http1.connection import Headers
from ...http1.heads import HttpResponse, Rejected
from ...http1.request_handler import RequestHandler
from ..errors import MeshError
from .router import Router

log = logging.getLogger(__name__)

COMPLETION_POLL_INTERVAL = 0.01  # s between two checks at the exit whether the open calls are completed


class Call(NamedTuple):
    """An HTTP call."""

    path_parameters: list[str]
    headers: Mapping[str, str]
    """By lower-case name; for a repeated header the first value."""
    body: bytes

    def json(self) -> Any:
        """Parse the body as JSON. Raises MeshError if it is invalid."""
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError as error:
            raise MeshError("CALL_UNREADABLE", str(error)) from None


Handler = Callable[[Call], HttpResponse | Awaitable[HttpResponse]]


def json_answer(status: int, content: object = None) -> HttpResponse:
    """Return a JSON answer; its body is an empty object if ``content`` is None."""
    return HttpResponse(status, b"Content-Type: application/json\r\n", orjson.dumps({} if content is None else content))


def error_answer(status: int, error: MeshError) -> HttpResponse:
    """Return an answer that describes an error."""
    return json_answer(status, {"Error": {"Code": error.code, "Field": error.field, "Text": error.text}})


class ControlApi(RequestHandler):
    """Serves the calls of one listener."""

    def __init__(self, descriptors: Descriptors, host: Host, router: Router[Handler]) -> None:
        super().__init__(descriptors)
        self.host, self.router = host, router
        self.requires_complete_body = True
        self.last_number = 0
        self.tasks: dict[str, asyncio.Task[None]] = {}
        """By call number: the calls whose handlers are still running."""
        self.reply_counts = ReplyCounts()
        self.is_refusing = False
        """This process is about to exit: new calls are answered with 503, so that callers go on to another process."""

    def read(self, method: str, target: str, headers: Headers, body: bytes | Body, waited: float) -> IncomingRequest:
        """Find the handler of a call. Raises Rejected with 404 or 405 if there is none."""
        match = self.router.find(method, target)
        if match.handler is None:
            raise Rejected(405 if match.is_known_path else 404)
        assert isinstance(body, bytes)  # as `requires_complete_body` is set
        headers_by_name: dict[str, str] = {}
        for name, value in headers:
            headers_by_name.setdefault(name.decode("latin-1").lower(), value.decode("latin-1"))
        self.last_number += 1
        call = Call(match.path_parameters, headers_by_name, body)
        return IncomingRequest(str(self.last_number), 0, 0, "", 0.0, 0.0, False, (match.handler, call))

    def take(self, incoming: IncomingRequest, on_answer: Callable[[FinalAnswer | HttpResponse], None]) -> None:
        """Handle a call, immediately or in a task."""
        handler, call = incoming.payload
        if self.is_refusing:
            on_answer(shutdown_answer())
            return
        try:
            result = handler(call)
        except Exception as error:
            on_answer(failure_answer(error))
            return
        if isinstance(result, HttpResponse):
            on_answer(result)
        else:
            self.tasks[incoming.id] = asyncio.ensure_future(self.answer_later(incoming.id, result, on_answer))

    async def answer_later(
        self, call_number: str, result: Awaitable[HttpResponse], on_answer: Callable[[FinalAnswer | HttpResponse], None]
    ) -> None:
        """Answer a call once its handler has completed."""
        try:
            on_answer(await result)
        except asyncio.CancelledError:  # by complete_calls
            on_answer(shutdown_answer())
        except Exception as error:
            on_answer(failure_answer(error))
        finally:
            self.tasks.pop(call_number, None)

    async def complete_calls(self, deadline: float) -> None:
        """Refuse new calls, and complete the open ones until the instant ``deadline``; then answer them with 503."""
        self.is_refusing = True
        while self.tasks and self.loop.time() < deadline:
            await asyncio.sleep(COMPLETION_POLL_INTERVAL)
        open_calls = list(self.tasks.values())
        for task in open_calls:
            task.cancel()
        await asyncio.gather(*open_calls, return_exceptions=True)

    async def refuse_last_calls(self, timeout: float) -> None:
        """Wait up to ``timeout`` s until the connected callers have sent their last call and read its refusal."""
        deadline = self.loop.time() + timeout
        while self.count() and self.loop.time() < deadline:
            await asyncio.sleep(COMPLETION_POLL_INTERVAL)

    def on_client_disconnected(self, request_id: str) -> None:
        """Do nothing when the caller has disconnected: the call is still completed."""

    def replies(self, incoming: IncomingRequest) -> ReplyCounts:
        """Return the counters of final answers."""
        return self.reply_counts

    def unread(self, sock: Any) -> bool:
        """Return whether the kernel holds unread bytes of a connection."""
        return self.host.unread(sock)


def shutdown_answer() -> HttpResponse:
    """Return 503, which leaves the outcome of the call open: this process exits."""
    return error_answer(503, MeshError("SHUTTING_DOWN", "this process exits"))


def failure_answer(error: Exception) -> HttpResponse:
    """Return 400 for an invalid call; other exceptions are internal errors, logged and answered with 500."""
    if isinstance(error, MeshError):
        return error_answer(400, error)
    log.error("call failed", exc_info=error, extra={"code": "CALL_FAILED"})
    return json_answer(500)
