"""The desk of a role's own calls: a request goes to the handler that the tree finds, and its answer is JSON."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

import orjson

from ...core.counts import Replies
from ...core.descriptors import Descriptors
from ...core.host import Host
from ...core.protocol import Final, Incoming
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
        """The body read as JSON; MeshError where it is none."""
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError as wrong:
            raise MeshError("CALL_UNREADABLE", str(wrong)) from None


Handler = Callable[[Call], Answer | Awaitable[Answer]]


def json_answer(status: int, told: object = None, headers: bytes = b"") -> Answer:
    """An answer in JSON."""
    return Answer(status, b"Content-Type: application/json\r\n" + headers, orjson.dumps({} if told is None else told))


def error_answer(status: int, wrong: MeshError) -> Answer:
    """An error as it is told to callers."""
    return json_answer(status, {"Error": {"Code": wrong.code, "Field": wrong.field, "Text": wrong.text}})


class ControlApi(Desk):
    """Takes the calls of one listener."""

    def __init__(self, descriptors: Descriptors, host: Host, router: Router[Handler]) -> None:
        super().__init__(descriptors)
        self.host, self.router = host, router
        self.whole_only = True
        self.last_number = 0
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.counted = Replies()

    def read(self, method: str, target: str, headers: Headers, body: bytes | Body, waited: float) -> Incoming:
        handler, captured, known = self.router.find(method, target)
        if handler is None:
            raise Rejected(405 if known else 404)
        assert isinstance(body, bytes)
        named: dict[str, str] = {}
        for name, value in headers:
            named.setdefault(name.decode("latin-1").lower(), value.decode("latin-1"))
        self.last_number += 1
        call = Call(captured, named, body)
        return Incoming(str(self.last_number), 0, 0, "", 0.0, 0.0, False, (handler, call))

    def take(self, told: Incoming, answer: Callable[[Final | Answer], None]) -> None:
        handler, call = told.payload
        try:
            made = handler(call)
        except MeshError as wrong:
            answer(error_answer(400, wrong))
            return
        except Exception:
            log.exception("a call failed", extra={"code": "CALL_FAILED"})
            answer(json_answer(500))
            return
        if isinstance(made, Answer):
            answer(made)
        else:
            self.tasks[told.id] = asyncio.ensure_future(self.answer_later(told.id, made, answer))

    async def answer_later(
        self, number: str, made: Awaitable[Answer], answer: Callable[[Final | Answer], None]
    ) -> None:
        try:
            answer(await made)
        except MeshError as wrong:
            answer(error_answer(400, wrong))
        except Exception:
            log.exception("a call failed", extra={"code": "CALL_FAILED"})
            answer(json_answer(500))
        finally:
            self.tasks.pop(number, None)

    def abandon(self, request_id: str) -> None:
        """Its caller has gone: what the call does is still done."""

    def replies(self, told: Incoming) -> Replies:
        return self.counted

    def unread(self, sock: Any) -> bool:
        return self.host.unread(sock)
