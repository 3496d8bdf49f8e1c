"""Test clients that log the requests they send and the answers they get."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
from dataclasses import dataclass
from typing import Any, Literal, Self

from .jsonrpc_endpoint import read, write
from .log import AbandonedRequest, Answered, Effect, Kind, Log, SentRequest

REFUSED, FAILED = -32050, -32051


@dataclass(frozen=True, slots=True)
class ClientRequestClass:
    """A request class from the clients' point of view."""

    name: str
    method: str
    """JSON-RPC method of this class."""
    effect: Effect
    wait: float
    """How long a client waits for the answer, in ms."""
    window: float = 0.0
    group: Literal["all", "zone"] = "all"


class JsonRpcClient:
    """Sends concurrent calls over one connection; ``params.call`` is the name of a call in the log."""

    _names = itertools.count(1)

    def __init__(self, log: Log, framing: str = "lines") -> None:
        self.log, self.framing = log, framing
        self.waiting: dict[str, tuple[str, asyncio.Future[Any]]] = {}
        """Names and pending responses of the calls in flight, by the JSON token of their id."""
        self.stray: list[Any] = []
        """Messages that contain a response to no call of this client."""
        self.ended = asyncio.Event()

    async def connect(self, address: str) -> Self:
        """Connects to ``address`` (host:port) and starts to read responses."""
        host, _, port = address.partition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 23)
        self.task = asyncio.ensure_future(self.listen())
        return self

    async def close(self) -> None:
        """Closes the connection and logs the calls in flight as abandoned."""
        for name, _ in self.waiting.values():
            self.log.abandoned_requests.append(AbandonedRequest(self.log.clock(), name))
        self.waiting.clear()
        self.writer.transport.abort()
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def call(
        self, klass: ClientRequestClass, key: str = "", id: str | None = None, name: str = ""
    ) -> asyncio.Future[Any]:
        """Sends one call; the future returns the response object."""
        text, future = self.prepare(klass, key, id, name)
        self.writer.write(write(self.framing, text))
        return future

    def prepare(
        self, klass: ClientRequestClass, key: str = "", id: str | None = None, name: str = ""
    ) -> tuple[bytes, asyncio.Future[Any]]:
        """Encodes a call and logs it as sent, without writing it; ``id``: a JSON token.

        Returns:
            The encoded call, and the future of its response.
        """
        number = next(self._names)
        name = name or f"c{number}"
        token = id if id is not None else str(number)
        params = {"call": name, "key": key or name}
        text = f'{{"jsonrpc":"2.0","method":"{klass.method}","params":{json.dumps(params)},"id":{token}}}'
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.waiting[token] = name, future
        self.log.sent_requests.append(
            SentRequest(self.log.clock(), name, klass.effect, klass.wait, key or name, klass.group, klass.window)
        )
        return text.encode(), future

    def notify(self, klass: ClientRequestClass) -> str:
        """Sends a notification and returns its name in the log."""
        name = f"n{next(self._names)}"
        params = json.dumps({"call": name, "key": name})
        text = f'{{"jsonrpc":"2.0","method":"{klass.method}","params":{params}}}'
        self.log.sent_requests.append(
            SentRequest(
                self.log.clock(), name, klass.effect, klass.wait, name, klass.group, klass.window, answered=False
            )
        )
        self.writer.write(write(self.framing, text.encode()))
        return name

    def raw(self, text: bytes) -> None:
        """Sends one message without logging it."""
        self.writer.write(write(self.framing, text))

    async def listen(self) -> None:
        """Reads responses until the connection ends; then fails the calls in flight."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while text := await read(self.framing, self.reader):
                message = json.loads(text, parse_float=lambda token: {"token": token})
                for response in message if isinstance(message, list) else [message]:
                    self.handle_response(response, message)
        self.ended.set()
        for _, future in self.waiting.values():
            if not future.done():
                future.set_exception(ConnectionResetError("connection closed with unanswered calls"))
                future.exception()

    def handle_response(self, response: Any, message: Any) -> None:
        """Logs a response and completes its call; ``message``: what it came in, a batch or the response itself."""
        id = response["id"]
        token = id["token"] if isinstance(id, dict) else json.dumps(id)
        if token not in self.waiting:
            self.stray.append(message)
            return
        name, future = self.waiting.pop(token)
        kind, execution_id = read_kind(response)
        self.log.answered.append(Answered(self.log.clock(), name, kind, execution_id))
        if not future.done():
            future.set_result(response)


def read_kind(response: Any) -> tuple[Kind, str]:
    """Returns the kind of a response, and the identifier of its execution, empty unless it was served."""
    if "result" in response:
        return "served", response["result"]["made"]
    code = response["error"]["code"]
    if code == REFUSED:
        return "refused", ""
    return ("failed" if code == FAILED else "rejected"), ""


class HttpClient:
    """Sends one request at a time over one connection."""

    _names = itertools.count(1)

    def __init__(self, log: Log, address: str) -> None:
        self.log, self.address = log, address
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(self, klass: ClientRequestClass, key: str = "") -> Kind:
        """Sends one request and waits for its answer.

        A request that fails on a reused connection is sent again, since the server may have closed the idle connection.
        """
        name = f"h{next(self._names)}"
        self.log.sent_requests.append(
            SentRequest(self.log.clock(), name, klass.effect, klass.wait, key or name, klass.group, klass.window)
        )
        reused = self.streams is not None
        answer = await self.exchange(klass, name, key or name)
        if answer is None and reused:
            answer = await self.exchange(klass, name, key or name)
        if answer is None:
            return "failed"
        status, body = answer
        kind: Kind = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        self.log.answered.append(Answered(self.log.clock(), name, kind, body))
        return kind

    async def exchange(self, klass: ClientRequestClass, name: str, key: str) -> tuple[int, str] | None:
        """Sends a request; returns the status and the body, or None if the connection ended without an answer."""
        if self.streams is None:
            host, _, port = self.address.partition(":")
            self.streams = await asyncio.open_connection(host, int(port))
        reader, writer = self.streams
        method = "GET" if klass.effect == "idempotent" else "POST"
        key_header = f"Idempotency-Key: {key}\r\n" if klass.effect == "deduplicated" else ""
        length = "" if method == "GET" else "Content-Length: 0\r\n"
        writer.write(
            f"{method} /{klass.name}/x HTTP/1.1\r\nHost: x\r\nReq-Id: {name}\r\n"
            f"Req-Deadline: {klass.wait / 1000.0:.3f}\r\n{key_header}{length}\r\n".encode()
        )
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            size = int(head.split("content-length:")[1].split("\r\n")[0])
            body = (await reader.readexactly(size)).decode()
        except (ConnectionError, asyncio.IncompleteReadError):
            self.close()
            return None
        if "connection: close" in head:
            self.close()
        return int(head.split()[1]), body

    def close(self) -> None:
        """Closes the connection, if there is one."""
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None
