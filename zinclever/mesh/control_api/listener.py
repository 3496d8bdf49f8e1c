"""The listener of a role's own calls: a call goes to the handler that the router finds, and its answer is JSON."""

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
from ...http1.desk import Desk
from ...http1.heads import Answer, Rejected
from ..errors import MeshError
from .router import Router

log = logging.getLogger(__name__)


class Call(NamedTuple):
    """A call as it came."""

    path_parameters: list[str]
    headers: Mapping[str, str]
    """By lower-case name; of a repeated one the first."""
    body: bytes

    def json(self) -> Any:
        """The parsed body. MeshError where it is not JSON."""
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError as error:
            raise MeshError("CALL_UNREADABLE", str(error)) from None


Handler = Callable[[Call], Answer | Awaitable[Answer]]


def json_answer(status: int, content: object = None) -> Answer:
    """An answer in JSON; an empty object without ``content``."""
    return Answer(status, b"Content-Type: application/json\r\n", orjson.dumps({} if content is None else content))


def error_answer(status: int, error: MeshError) -> Answer:
    """An error as callers are told of it."""
    return json_answer(status, {"Error": {"Code": error.code, "Field": error.field, "Text": error.text}})


class ControlApi(Desk):
    """Takes the calls of one listener."""

    def __init__(self, descriptors: Descriptors, host: Host, router: Router[Handler]) -> None:
        super().__init__(descriptors)
        self.host, self.router = host, router
        self.whole_only = True
        self.last_number = 0
        self.tasks: dict[str, asyncio.Task[None]] = {}
        """The calls whose answers are awaited, by number."""
        self.counted = ReplyCounts()

    def read(self, method: str, target: str, headers: Headers, body: bytes | Body, waited: float) -> IncomingRequest:
        """Find the handler of a call. Rejected with 404 or 405 where there is none."""
        match = self.router.find(method, target)
        if match.handler is None:
            raise Rejected(405 if match.is_known_path else 404)
        assert isinstance(body, bytes)  # the listener takes whole bodies only
        by_name: dict[str, str] = {}
        for name, value in headers:
            by_name.setdefault(name.decode("latin-1").lower(), value.decode("latin-1"))
        self.last_number += 1
        call = Call(match.path_parameters, by_name, body)
        return IncomingRequest(str(self.last_number), 0, 0, "", 0.0, 0.0, False, (match.handler, call))

    def take(self, told: IncomingRequest, answer: Callable[[FinalAnswer | Answer], None]) -> None:
        """Handle a call, now or in a task."""
        handler, call = told.payload
        try:
            result = handler(call)
        except Exception as error:
            answer(failure_answer(error))
            return
        if isinstance(result, Answer):
            answer(result)
        else:
            self.tasks[told.id] = asyncio.ensure_future(self.answer_later(told.id, result, answer))

    async def answer_later(
        self, number: str, result: Awaitable[Answer], answer: Callable[[FinalAnswer | Answer], None]
    ) -> None:
        """Answer a call once its handler has."""
        try:
            answer(await result)
        except Exception as error:
            answer(failure_answer(error))
        finally:
            self.tasks.pop(number, None)

    def abandon(self, request_id: str) -> None:
        """The caller has gone: what the call does is still done."""

    def replies(self, told: IncomingRequest) -> ReplyCounts:
        """The counts of answers."""
        return self.counted

    def unread(self, sock: Any) -> bool:
        """Whether the kernel holds bytes of a connection that have not been read."""
        return self.host.unread(sock)


def failure_answer(error: Exception) -> Answer:
    """400 for what was wrong with a call, 500 for a fault of this program, which is logged."""
    if isinstance(error, MeshError):
        return error_answer(400, error)
    log.error("a call failed", exc_info=error, extra={"code": "CALL_FAILED"})
    return json_answer(500)
