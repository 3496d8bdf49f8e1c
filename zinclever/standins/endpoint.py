"""Base class of the test endpoints: the listener, the log and cold starts, independent of the protocol."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import Self

from .faults import UNDONE, Fault, Plan, Step, always
from .log import Log, Received, Started

_serial = itertools.count(1)


class Endpoint:
    """A server on its own port, used as an asynchronous context manager; leaving it closes all its connections."""

    def __init__(self, log: Log, plan: Plan | None = None, zone: str = "a", name: str = "") -> None:
        self.log, self.plan, self.zone = log, plan or always(), zone
        self.given_name = name
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.connections = 0
        """Number of connections accepted so far."""
        self.arrived = asyncio.Condition()
        """Notified whenever a request arrives."""

    async def __aenter__(self) -> Self:
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0, limit=1 << 21)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *error: object) -> None:
        self.server.close()
        for task in self.tasks:
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    @property
    def address(self) -> str:
        """The address it listens on, as host:port."""
        return f"127.0.0.1:{self.port}"

    @property
    def name(self) -> str:
        """The name under which discovery lists it."""
        return self.given_name or self.address

    def start_cold(self, capacity: float) -> None:
        """Logs a cold start at the present time; ``capacity``: requests per second once the endpoint is warm."""
        self.log.started.append(Started(self.log.clock(), self.name, capacity))

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one accepted connection and closes it in the end."""
        self.connections += 1
        self.writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                await self.serve_connection(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads and answers requests until the client closes the connection."""
        raise NotImplementedError

    def receive(self, request: str, first: float) -> tuple[Step, str]:
        """Logs a request that has arrived.

        Returns:
            The step with which to handle it, and the identifier of its execution, empty where it is not executed.
        """
        step = self.plan(request)
        executed = step.fault not in UNDONE
        execution_id = f"{self.name}#{next(_serial)}" if executed else ""
        self.log.received.append(
            Received(
                first,
                self.log.clock(),
                request,
                self.name,
                self.zone,
                executed,
                step.fault is Fault.DECLINE,
                execution_id,
            )
        )
        self.spawn(self.notify())
        return step, execution_id

    async def notify(self) -> None:
        """Wakes up the tasks that wait for requests to arrive."""
        async with self.arrived:
            self.arrived.notify_all()

    async def until_received(self, count: int) -> None:
        """Waits until ``count`` requests have arrived."""
        async with self.arrived:
            await self.arrived.wait_for(lambda: len(self.requests()) >= count)

    def requests(self) -> list[str]:
        """Returns the names of the requests that have arrived, in order."""
        return [r.request for r in self.log.received if r.endpoint == self.name]

    def spawn(self, work: object) -> None:
        """Runs a coroutine in the background until it or the endpoint ends."""
        assert asyncio.iscoroutine(work)
        task: asyncio.Task[None] = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
