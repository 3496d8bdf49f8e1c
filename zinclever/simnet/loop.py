"""An asyncio event loop in simulated time: one for each process, all on one scheduler.

The loop keeps the guarantees in asyncio's documentation: callbacks run one at a time, those of :meth:`~Loop.call_soon`
in the order of scheduling, and timers not before they are due. A callback takes no time unless a :class:`Cost` is set;
then the process is busy for that time, and events wait until it is over.
"""

from __future__ import annotations

import asyncio
import contextvars
import errno
import heapq
import logging
import math
import socket as socket_module
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from dataclasses import dataclass
from typing import Any, TypeVar, TypeVarTuple

from .network import Address, Machine
from .process import Descriptors
from .scheduler import NS, Event, Scheduler
from .server import Server
from .tcp import Listener, Socket, os_error
from .transport import Transport

log = logging.getLogger(__name__)

T = TypeVar("T")
Ts = TypeVarTuple("Ts")
READ_SIZE = 256 * 1024  # maximum bytes per read, as in asyncio


@dataclass(frozen=True, slots=True)
class Cost:
    """Processor time in s that a process's callbacks take."""

    callback: float = 0.0
    byte: float = 0.0
    """For each byte that a callback reads."""
    share: float = 1.0
    """Share of a core that the process has."""

    def nanoseconds(self, size: int) -> int:
        """Return the duration in ns of a callback that reads ``size`` bytes."""
        return round((self.callback + size * self.byte) / self.share * NS)


class NoMoreEvents(RuntimeError):
    """A future will never be done: the scheduler has no events left."""


def not_simulated(*args: Any, **kwargs: Any) -> Any:
    """Replacement for the methods of an event loop that are not simulated."""
    raise NotImplementedError("not simulated")


class Timer(asyncio.TimerHandle):
    """A timer that knows, like asyncio's own, whether it is still in the loop's heap."""

    _scheduled: bool


class Loop(asyncio.AbstractEventLoop):
    """The loop of one process. It runs within the scheduler's events, which :meth:`run_until_complete` drives."""

    def __init__(self, machine: Machine, cost: Cost | None = None, descriptors: int = 1 << 20) -> None:
        self.machine, self.network = machine, machine.network
        self.scheduler: Scheduler = machine.network.scheduler
        self.cost = cost or Cost()
        self.callback_cost = self.cost.nanoseconds(0)
        self.descriptors = Descriptors(machine, self, descriptors)
        self.ready: deque[asyncio.Handle] = deque()
        self.timers: list[tuple[int, int, Timer]] = []
        self.cancelled_timers = 0
        """Number of cancelled timers that are still in the heap."""
        self.serial = 0
        self.run_event: Event | None = None
        self.timer_event: Event | None = None
        """The event that fires the first timer."""
        self.busy_until = 0
        self.used = 0
        """Processor time used, in ns."""
        self.callbacks = 0
        self.readers: dict[int, asyncio.Handle] = {}
        self.writers: dict[int, asyncio.Handle] = {}
        self.signal_handlers: dict[int, asyncio.Handle] = {}
        self.exception_handler: Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object] | None = None
        self.task_factory: Any = None
        self.closed = self.dead = False
        self.frozen = False

    # --- time ---

    def local_now(self) -> int:
        """Return the process's own time in ns, which is ahead of the scheduler's while the process is busy."""
        return max(self.scheduler.now, self.busy_until)

    def time(self) -> float:
        """Return the process's own time in s."""
        return self.local_now() / NS

    def consume_cpu(self, seconds: float) -> None:
        """Let the running callback take ``seconds`` more of processor time."""
        span = round(seconds / self.cost.share * NS)
        self.busy_until = self.local_now() + span
        self.used += span

    # --- callbacks ---

    def call_soon(
        self, callback: Callable[[*Ts], object], *args: *Ts, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """Queue a callback."""
        handle = asyncio.Handle(callback, args, self, context)
        self.enqueue(handle)
        return handle

    call_soon_threadsafe = call_soon

    def call_later(
        self, delay: float, callback: Callable[[*Ts], object], *args: *Ts, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback after ``delay`` s."""
        # Rounded up, so that a callback that computes the remaining delay finds none left.
        return self.call_in(max(0, math.ceil(delay * NS)), callback, args, context)

    def call_at(
        self, when: float, callback: Callable[[*Ts], object], *args: *Ts, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback at an instant of :meth:`time`."""
        return self.call_in(max(0, math.ceil(when * NS) - self.local_now()), callback, args, context)

    def call_in(
        self, span: int, callback: Callable[..., object], args: tuple[Any, ...], context: contextvars.Context | None
    ) -> asyncio.TimerHandle:
        """Schedule a callback after ``span`` ns."""
        due = self.local_now() + span
        handle = Timer(due / NS, callback, args, self, context)
        self.serial += 1
        heapq.heappush(self.timers, (due, self.serial, handle))
        handle._scheduled = True
        self.schedule_timer_event()
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        if not (isinstance(handle, Timer) and handle._scheduled):
            return
        self.cancelled_timers += 1
        if self.cancelled_timers > 64 and 2 * self.cancelled_timers > len(self.timers):
            self.timers = [timer for timer in self.timers if not timer[2].cancelled()]
            heapq.heapify(self.timers)
            self.cancelled_timers = 0

    def schedule_timer_event(self) -> None:
        """Schedule the event that fires the first timer, unless one is scheduled that is early enough."""
        if self.timers and not self.dead:
            due = self.timers[0][0]
            if self.timer_event is None or self.timer_event.callback is None or due < self.timer_event.when:
                if self.timer_event is not None:
                    self.timer_event.call_off()
                self.timer_event = self.scheduler.at(due, self.fire_timers)

    def fire_timers(self) -> None:
        """Queue the callbacks of all timers that are due."""
        now = self.scheduler.now
        while self.timers and self.timers[0][0] <= now:
            handle = heapq.heappop(self.timers)[2]
            handle._scheduled = False
            if handle.cancelled():
                self.cancelled_timers -= 1
            else:
                self.enqueue(handle)
        self.schedule_timer_event()

    def enqueue(self, handle: asyncio.Handle) -> None:
        """Queue a callback."""
        if self.closed:
            raise RuntimeError("Event loop is closed")
        if self.dead:
            return
        self.ready.append(handle)
        if self.run_event is None and not self.frozen:
            self.run_event = self.scheduler.at(self.local_now(), self.run_ready)

    def run_ready(self) -> None:
        """Run queued callbacks, until the queue is empty or another event of the simulation is due first."""
        self.run_event = None
        ready, scheduler = self.ready, self.scheduler
        if self.dead or self.frozen:
            return
        events._set_running_loop(self)
        try:
            while ready:
                handle = ready.popleft()
                if handle.cancelled():
                    continue
                self.callbacks += 1
                handle._run()
                if self.dead:
                    return
                if self.callback_cost:
                    self.busy_until = self.local_now() + self.callback_cost
                    self.used += self.callback_cost
                # Yield after each callback to other events that are due at this instant.
                if ready and (following := scheduler.next_at()) is not None and following <= self.local_now():
                    break
        finally:
            events._set_running_loop(None)
        if ready:
            self.run_event = scheduler.at(self.local_now(), self.run_ready)

    def charge_read(self, size: int) -> None:
        """Add the cost of ``size`` bytes that the running callback has read."""
        if self.cost.byte:
            self.consume_cpu(size * self.cost.byte)

    def freeze(self) -> None:
        """Stop the process, as by SIGSTOP: no callback runs until :meth:`thaw`."""
        self.frozen = True

    def thaw(self) -> None:
        """Continue a stopped process."""
        self.frozen = False
        if self.ready and self.run_event is None:
            self.run_event = self.scheduler.at(self.local_now(), self.run_ready)

    def die(self) -> None:
        """End the process: no callback runs again, and the kernel resets its connections."""
        if self.dead:
            return
        self.dead = True
        for event in (self.run_event, self.timer_event):
            if event is not None:
                event.call_off()
        for resource in list(self.descriptors.open.values()):
            if isinstance(resource, Listener):
                self.stop_listening(resource)
        self.descriptors.die()
        self.ready.clear()
        self.timers.clear()
        self.readers.clear()
        self.writers.clear()
        self.signal_handlers.clear()

    def stop_listening(self, listener: Listener) -> None:
        """Stop accepting from a listener, and close it if no other process accepts from it."""
        listener.wakers = [wake for wake in listener.wakers if getattr(wake, "loop", None) is not self]
        if not listener.wakers:
            listener.close()

    # --- tasks and futures ---

    def create_future(self) -> asyncio.Future[Any]:
        """Return a new future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Coroutine[Any, Any, T] | Generator[Any, None, T],
        *,
        name: str | None = None,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[T]:
        """Return a new task of this loop."""
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def set_task_factory(self, factory: Any) -> None:
        """Not simulated."""
        raise NotImplementedError

    def get_task_factory(self) -> None:
        """Return None, the default factory."""
        return None

    def set_exception_handler(
        self, handler: Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object] | None
    ) -> None:
        """Set the handler of uncaught exceptions; None: the default one."""
        self.exception_handler = handler

    def get_exception_handler(self) -> Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object] | None:
        """Return the handler of uncaught exceptions, or None if it is the default one."""
        return self.exception_handler

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        """Log an uncaught exception."""
        error = context.get("exception")
        log.error("%s", context.get("message"), exc_info=error if error is not None else False)

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Pass an uncaught exception to the handler."""
        if self.dead:
            return  # the tasks of a killed process are destroyed while pending; that is no error
        if self.exception_handler is not None:
            self.exception_handler(self, context)
        else:
            self.default_exception_handler(context)

    def get_debug(self) -> bool:
        """Return False."""
        return False

    def set_debug(self, enabled: bool) -> None:
        """Do nothing: debug mode is not simulated."""

    # --- running and closing ---

    def run_until_complete(self, future: Any) -> Any:
        """Run the simulation until the future is done, and return its result.

        Raises:
            NoMoreEvents: no event is left that could complete the future.
        """
        task = asyncio.ensure_future(future, loop=self)
        scheduler = self.scheduler
        while not task.done():
            when = scheduler.next_at()
            if when is None:
                task.cancel()
                raise NoMoreEvents("no events are left, and the future is not done")
            scheduler.run_one(when)
        return task.result()

    def run_forever(self) -> None:
        """Not simulated."""
        raise NotImplementedError("the scheduler drives the loop")

    def stop(self) -> None:
        """Not simulated."""
        raise NotImplementedError("the scheduler drives the loop")

    def is_running(self) -> bool:
        """Return whether a callback of this loop is running."""
        return events._get_running_loop() is self

    def is_closed(self) -> bool:
        """Return whether the loop is closed or its process has ended."""
        return self.closed or self.dead

    def close(self) -> None:
        """End the process and refuse further callbacks."""
        self.die()
        self.closed = True

    async def shutdown_asyncgens(self) -> None:
        """Do nothing: asynchronous generators are not tracked."""

    async def shutdown_default_executor(self, timeout: float | None = None) -> None:
        """Do nothing: there is no executor."""

    # --- signals ---

    def add_signal_handler(self, sig: int, callback: Callable[[*Ts], object], *args: *Ts) -> None:
        """Call ``callback`` when the process gets a signal."""
        self.signal_handlers[sig] = asyncio.Handle(callback, args, self, None)

    def remove_signal_handler(self, sig: int) -> bool:
        """Undo :meth:`add_signal_handler`; return whether there was a handler."""
        return self.signal_handlers.pop(sig, None) is not None

    def signal(self, sig: int) -> bool:
        """Deliver a signal to the process; return False if it has no handler for it."""
        handle = self.signal_handlers.get(sig)
        if handle is None:
            return False
        self.enqueue(handle)
        return True

    # --- sockets ---

    def get_socket(self, fd: Any) -> Socket:
        """Return the socket of a descriptor, or of an object with ``fileno``. Raises OSError if there is none."""
        number = fd if isinstance(fd, int) else fd.fileno()
        resource = self.descriptors.open.get(number)
        if not isinstance(resource, Socket):
            raise os_error(errno.EBADF)
        return resource

    def add_reader(self, fd: Any, callback: Callable[[*Ts], Any], *args: *Ts) -> None:
        """Call ``callback`` in each iteration of the loop while the socket is readable."""
        socket = self.get_socket(fd)
        self.remove_reader(fd)
        self.readers[socket.fileno()] = asyncio.Handle(callback, args, self, None)
        socket.on_readable = lambda: self.schedule_if_ready(socket, self.readers, Socket.readable)
        socket.on_readable()

    def add_writer(self, fd: Any, callback: Callable[[*Ts], Any], *args: *Ts) -> None:
        """Call ``callback`` in each iteration of the loop while the socket is writable."""
        socket = self.get_socket(fd)
        self.remove_writer(fd)
        self.writers[socket.fileno()] = asyncio.Handle(callback, args, self, None)
        socket.on_writable = lambda: self.schedule_if_ready(socket, self.writers, Socket.writable)
        socket.on_writable()

    def schedule_if_ready(
        self, socket: Socket, handles: dict[int, asyncio.Handle], is_ready: Callable[[Socket], bool]
    ) -> None:
        """Schedule the callback of a socket if the socket is ready for it."""
        if not socket.closed and socket.fileno() in handles and is_ready(socket):
            self.call_soon(self.run_while_ready, socket, handles, is_ready, handles[socket.fileno()])

    def run_while_ready(
        self,
        socket: Socket,
        handles: dict[int, asyncio.Handle],
        is_ready: Callable[[Socket], bool],
        handle: asyncio.Handle,
    ) -> None:
        """Run the callback of a socket in each iteration while the socket is ready: selectors are level-triggered."""
        if socket.closed or handles.get(socket.fileno()) is not handle or not is_ready(socket):
            return
        handle._run()
        if not socket.closed and handles.get(socket.fileno()) is handle and is_ready(socket):
            self.call_soon(self.run_while_ready, socket, handles, is_ready, handle)

    def remove_reader(self, fd: Any) -> bool:
        """Undo :meth:`add_reader`; return whether there was a reader."""
        return self.readers.pop(fd if isinstance(fd, int) else fd.fileno(), None) is not None

    def remove_writer(self, fd: Any) -> bool:
        """Undo :meth:`add_writer`; return whether there was a writer."""
        return self.writers.pop(fd if isinstance(fd, int) else fd.fileno(), None) is not None

    async def sock_connect(self, sock: Any, address: Any) -> None:
        """Connect a socket, without a timeout.

        Raises:
            OSError: the connection is refused.
        """
        assert isinstance(sock, Socket)
        future = self.create_future()

        def on_connected() -> None:
            self.call_soon(complete, future)

        sock.on_connected = on_connected
        sock.connect((address[0], int(address[1])))
        try:
            await future
        finally:
            sock.on_connected = None
        if sock.error:
            sock.raise_error()

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str | None = None,
        port: int | None = None,
        *,
        sock: Any = None,
        **options: Any,
    ) -> tuple[Transport, asyncio.BaseProtocol]:
        """Connect like asyncio's loop, without name resolution and TLS."""
        reject_unsupported(options)
        if sock is None:
            sock = self.descriptors.socket()
            try:
                await self.sock_connect(sock, (host, port))
            except BaseException:
                sock.close()
                raise
        protocol = protocol_factory()
        waiter = self.create_future()
        transport = Transport(self, sock, protocol, waiter)
        await waiter
        return transport, protocol

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str | None = None,
        port: int | None = None,
        *,
        sock: Any = None,
        backlog: int = 100,
        start_serving: bool = True,
        **options: Any,
    ) -> Server:
        """Listen like asyncio's loop, without name resolution and TLS."""
        reject_unsupported(
            {name: value for name, value in options.items() if name not in ("reuse_address", "reuse_port")}
        )
        if sock is None:
            sock = self.listen(host, port or 0, backlog)
        server = Server(self, sock, protocol_factory)
        if start_serving:
            await server.start_serving()
        return server

    def listen(self, host: str | None, port: int, backlog: int) -> Listener:
        """Return a listener.

        Raises:
            OSError: EADDRNOTAVAIL, the address is another machine's; EADDRINUSE, the port is taken.
        """
        if host not in (self.machine.address, "0.0.0.0", "", None):
            raise os_error(errno.EADDRNOTAVAIL)
        return Listener(self.machine, port, backlog)

    connect_read_pipe: Any = not_simulated
    connect_write_pipe: Any = not_simulated
    connect_accepted_socket: Any = not_simulated
    create_datagram_endpoint: Any = not_simulated
    create_unix_connection: Any = not_simulated
    create_unix_server: Any = not_simulated
    getnameinfo: Any = not_simulated
    run_in_executor: Any = not_simulated
    sendfile: Any = not_simulated
    set_default_executor: Any = not_simulated
    sock_accept: Any = not_simulated
    sock_recv: Any = not_simulated
    sock_recv_into: Any = not_simulated
    sock_recvfrom: Any = not_simulated
    sock_recvfrom_into: Any = not_simulated
    sock_sendall: Any = not_simulated
    sock_sendfile: Any = not_simulated
    sock_sendto: Any = not_simulated
    start_tls: Any = not_simulated
    subprocess_exec: Any = not_simulated
    subprocess_shell: Any = not_simulated

    async def getaddrinfo(self, host: Any, port: Any, **options: Any) -> list[Any]:
        """Return the given host and port, without name resolution."""
        return [(socket_module.AF_INET, socket_module.SOCK_STREAM, socket_module.IPPROTO_TCP, "", (host, port))]


def complete(future: asyncio.Future[Any]) -> None:
    """Set the result None, unless the future is done."""
    if not future.done():
        future.set_result(None)


def reject_unsupported(options: dict[str, Any]) -> None:
    """Raise NotImplementedError that names the options that are set, rather than ignore them."""
    unsupported = [name for name, value in options.items() if value not in (None, False, 0)]
    if unsupported:
        raise NotImplementedError(f"not simulated: {', '.join(unsupported)}")


def address_of(text: str) -> Address:
    """Parse ``host:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)
