"""The operators' address: HTTP/1.1, one call on a connection.

It runs on the loop of the requests: a call costs some microseconds, and what it tells needs no locks.
"""

from __future__ import annotations

import asyncio
import http
from collections.abc import Callable, Mapping
from typing import NamedTuple, cast

import httptools

from ..core.protocol import Address

MOST_CALLERS = 16  # at once: some say nothing and stay; the one that has been silent for longest makes room
MOST_CALL = 8 * 1024  # bytes of a call: it has no body that is of use
READ_FOR = 2.0  # s in which a call has to be whole
WRITE_FOR = 2.0  # s in which a caller has to take its answer
BACKLOG = 64


class Page(NamedTuple):
    """What a call is answered."""

    status: int
    body: bytes = b""


#: What answers ``GET`` on a path.
Pages = Mapping[str, Callable[[], Page]]


class Admin:
    """Owns its listener and its callers from :meth:`listen` to :meth:`close`."""

    def __init__(self, pages: Pages) -> None:
        self.pages = pages
        self.callers: dict[Caller, None] = {}
        """Those connected, longest first."""
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Begin to answer calls. OSError where the address can't be had."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Caller(self), *address, backlog=BACKLOG)

    def joined(self, caller: Caller) -> None:
        self.callers[caller] = None
        if len(self.callers) > MOST_CALLERS:
            next(iter(self.callers)).drop()

    def left(self, caller: Caller) -> None:
        self.callers.pop(caller, None)

    def page(self, method: str, target: str) -> Page:
        made = self.pages.get(target.partition("?")[0])
        if made is None:
            return Page(404)
        if method != "GET":
            return Page(405)
        return made()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        for caller in list(self.callers):
            caller.drop()


class Caller(asyncio.Protocol):
    """One connection: one call, its answer, and the end."""

    transport: asyncio.Transport

    def __init__(self, admin: Admin) -> None:
        self.admin = admin
        self.url = b""
        self.size = 0
        self.answered = False
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.timer = asyncio.get_running_loop().call_later(READ_FOR, self.drop)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.admin.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.timer.cancel()
        self.parser = None  # which refers back
        self.admin.left(self)

    def data_received(self, data: bytes) -> None:
        self.size += len(data)
        if self.answered or self.parser is None:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(Page(400))
        if self.size > MOST_CALL:
            self.answer(Page(431))

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        assert self.parser is not None
        method = self.parser.get_method().decode("latin-1")
        self.answer(self.admin.page(method, self.url.decode("latin-1")))

    def answer(self, page: Page) -> None:
        """The one answer; what comes behind the call is dropped, so that the end is no reset."""
        if self.answered:
            return
        self.answered = True
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"
            % (page.status, http.HTTPStatus(page.status).phrase.encode(), len(page.body), page.body)
        )
        self.transport.write_eof()
        self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(WRITE_FOR, self.drop)

    def eof_received(self) -> bool:
        return False  # the transport ends once what is written has gone out

    def drop(self) -> None:
        self.timer.cancel()
        self.transport.abort()
