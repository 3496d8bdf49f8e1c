"""The admin server for operators: HTTP/1.1 with one call per connection.

It runs on the event loop that serves requests: a call takes some microseconds, and needs no locks to read the state.
"""

from __future__ import annotations

import asyncio
import http
from collections.abc import Callable, Mapping
from typing import NamedTuple, cast

import httptools

from ..core.protocol import Address

MAX_CALLERS = 16  # connections at once; the oldest one is closed for a new one, as callers may stay idle
MAX_CALL_SIZE = 8 * 1024  # bytes of a call, whose body is ignored
READ_TIMEOUT = 2.0  # s in which a call has to be complete
WRITE_TIMEOUT = 2.0  # s in which a caller has to read its answer
BACKLOG = 64


class Page(NamedTuple):
    """The answer to a call."""

    status: int
    body: bytes = b""


#: The function that answers ``GET``, by path.
Pages = Mapping[str, Callable[[], Page]]


class Admin:
    """The admin server. Owns its listener and its callers from :meth:`listen` to :meth:`close`."""

    def __init__(self, pages: Pages) -> None:
        self.pages = pages
        self.callers: dict[Caller, None] = {}
        """Open connections, oldest first."""
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Starts to answer calls. Raises OSError if the address can't be bound."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Caller(self), *address, backlog=BACKLOG)

    def add(self, caller: Caller) -> None:
        """Adds a new connection; closes the oldest one if there are too many."""
        self.callers[caller] = None
        if len(self.callers) > MAX_CALLERS:
            next(iter(self.callers)).drop()

    def remove(self, caller: Caller) -> None:
        """Removes a connection that has ended."""
        self.callers.pop(caller, None)

    def page(self, method: str, target: str) -> Page:
        """Returns the answer to a call."""
        handler = self.pages.get(target.partition("?")[0])
        if handler is None:
            return Page(404)
        if method != "GET":
            return Page(405)
        return handler()

    def close(self) -> None:
        """Closes the listener and all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for caller in list(self.callers):
            caller.drop()


class Caller(asyncio.Protocol):
    """One connection, which carries one call and its answer."""

    transport: asyncio.Transport

    def __init__(self, admin: Admin) -> None:
        self.admin = admin
        self.url = b""
        self.size = 0
        self.answered = False
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.timer = asyncio.get_running_loop().call_later(READ_TIMEOUT, self.drop)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`asyncio.Protocol`."""
        self.transport = cast(asyncio.Transport, transport)
        self.admin.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """See :class:`asyncio.Protocol`."""
        self.timer.cancel()
        self.parser = None  # breaks the reference cycle
        self.admin.remove(self)

    def data_received(self, data: bytes) -> None:
        """See :class:`asyncio.Protocol`."""
        self.size += len(data)
        if self.answered or self.parser is None:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(Page(400))
        if self.size > MAX_CALL_SIZE:
            self.answer(Page(431))

    def on_url(self, url: bytes) -> None:
        """Parser callback: a part of the request target."""
        self.url += url

    def on_message_complete(self) -> None:
        """Parser callback: the call is complete."""
        assert self.parser is not None
        method = self.parser.get_method().decode("latin-1")
        self.answer(self.admin.page(method, self.url.decode("latin-1")))

    def answer(self, page: Page) -> None:
        """Sends the answer, once.

        Data after the call is read and dropped, so that closing doesn't reset the connection.
        """
        if self.answered:
            return
        self.answered = True
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"
            % (page.status, http.HTTPStatus(page.status).phrase.encode(), len(page.body), page.body)
        )
        self.transport.write_eof()
        self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(WRITE_TIMEOUT, self.drop)

    def eof_received(self) -> bool:
        """See :class:`asyncio.Protocol`."""
        return False  # the transport closes once its buffer is sent

    def drop(self) -> None:
        """Closes the connection at once."""
        self.timer.cancel()
        self.transport.abort()
