"""An asyncio event loop on simulated time: one for each process, all on one scheduler.

It keeps the contracts that the documentation of asyncio states: callbacks run one at a time, those of
:meth:`~Loop.call_soon` in their order, timers no sooner than they are due. A callback takes no time unless a cost is
stated; while it does, the process is busy, and what comes meanwhile waits.
"""

from __future__ import annotations

import asyncio
import contextvars
import errno
import heapq
import logging
import math
import socket as names
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from dataclasses import dataclass
from typing import Any, TypeVar, TypeVarTuple

from .network import Address, Machine
from .process import Descriptors
from .scheduler import NS, Event, Scheduler
from .server import Server
from .tcp import Listener, Socket, wrong
from .transport import Transport

log = logging.getLogger(__name__)

T = TypeVar("T")
Ts = TypeVarTuple("Ts")
READ = 256 * 1024  # bytes read at a time, as asyncio's own loop does


@dataclass(frozen=True, slots=True)
class Cost:
    """What a process' callbacks take of its core, in s."""

    callback: float = 0.0
    byte: float = 0.0
    """For each byte that is read."""
    share: float = 1.0
    """Of a core."""

    def of(self, size: int) -> int:
        """ns for a callback that has read so many bytes."""
        return round((self.callback + size * self.byte) / self.share * NS)


class Stalled(RuntimeError):
    """Whoever waits waits for ever: nothing is left that could happen."""


def not_simulated(*given: Any, **more: Any) -> Any:
    """What no process of a simulated machine has."""
    raise NotImplementedError("not simulated")


class Timer(asyncio.TimerHandle):
    """Knows whether its loop still has it in its list, as asyncio's own do."""

    _scheduled: bool


class Loop(asyncio.AbstractEventLoop):
    """The loop of one process. It runs as the scheduler lets events happen; :meth:`run_until_complete` drives that."""

    def __init__(self, machine: Machine, cost: Cost | None = None, descriptors: int = 1 << 20) -> None:
        self.machine, self.network = machine, machine.network
        self.scheduler: Scheduler = machine.network.scheduler
        self.cost = cost or Cost()
        self.callback_cost = self.cost.of(0)
        self.descriptors = Descriptors(machine, self, descriptors)
        self.ready: deque[asyncio.Handle] = deque()
        self.timers: list[tuple[int, int, Timer]] = []
        self.cancelled = 0
        """Timers that are called off and still in the list."""
        self.serial = 0
        self.turn: Event | None = None
        self.alarm: Event | None = None
        """When the first timer is due."""
        self.busy_until = 0
        self.used = 0
        """ns of its core."""
        self.callbacks = 0
        self.readers: dict[int, asyncio.Handle] = {}
        self.writers: dict[int, asyncio.Handle] = {}
        self.signals: dict[int, asyncio.Handle] = {}
        self.on_exception: Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object] | None = None
        self.task_factory: Any = None
        self.closed = self.dead = False
        self.frozen = False

    # --- time ---

    def local(self) -> int:
        """ns: this process' now, later than the scheduler's while it is busy."""
        return max(self.scheduler.now, self.busy_until)

    def time(self) -> float:
        return self.local() / NS

    def spend(self, seconds: float) -> None:
        """The callback that runs takes so much of a core more."""
        span = round(seconds / self.cost.share * NS)
        self.busy_until = self.local() + span
        self.used += span

    # --- callbacks ---

    def call_soon(
        self, callback: Callable[[*Ts], object], *args: *Ts, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        self.put(handle)
        return handle

    call_soon_threadsafe = call_soon

    def call_later(
        self, delay: float, callback: Callable[[*Ts], object], *args: *Ts, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        # Rounded up: a callback that asks for the rest of a span must find it over when it is called.
        return self.call_in(max(0, math.ceil(delay * NS)), callback, args, context)

    def call_at(
        self, when: float, callback: Callable[[*Ts], object], *args: *Ts, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        return self.call_in(max(0, math.ceil(when * NS) - self.local()), callback, args, context)

    def call_in(
        self, span: int, callback: Callable[..., object], args: tuple[Any, ...], context: contextvars.Context | None
    ) -> asyncio.TimerHandle:
        due = self.local() + span
        handle = Timer(due / NS, callback, args, self, context)
        self.serial += 1
        heapq.heappush(self.timers, (due, self.serial, handle))
        handle._scheduled = True
        self.set_alarm()
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        if not (isinstance(handle, Timer) and handle._scheduled):
            return
        self.cancelled += 1
        if self.cancelled > 64 and 2 * self.cancelled > len(self.timers):
            self.timers = [timer for timer in self.timers if not timer[2].cancelled()]
            heapq.heapify(self.timers)
            self.cancelled = 0

    def set_alarm(self) -> None:
        if self.timers and not self.dead:
            due = self.timers[0][0]
            if self.alarm is None or self.alarm.act is None or due < self.alarm.when:
                if self.alarm is not None:
                    self.alarm.call_off()
                self.alarm = self.scheduler.at(due, self.ring)

    def ring(self) -> None:
        """The first timer is due."""
        now = self.scheduler.now
        while self.timers and self.timers[0][0] <= now:
            handle = heapq.heappop(self.timers)[2]
            handle._scheduled = False
            if handle.cancelled():
                self.cancelled -= 1
            else:
                self.put(handle)
        self.set_alarm()

    def put(self, handle: asyncio.Handle) -> None:
        """Run it in its turn."""
        if self.closed:
            raise RuntimeError("Event loop is closed")
        if self.dead:
            return
        self.ready.append(handle)
        if self.turn is None and not self.frozen:
            self.turn = self.scheduler.at(self.local(), self.go)

    def go(self) -> None:
        """Run what is ready, until something else happens before this process is through with it."""
        self.turn = None
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
                    self.busy_until = self.local() + self.callback_cost
                    self.used += self.callback_cost
                # One callback each, so that whatever else is due at this instant may come between.
                if ready and (following := scheduler.next_at()) is not None and following <= self.local():
                    break
        finally:
            events._set_running_loop(None)
        if ready:
            self.turn = scheduler.at(self.local(), self.go)

    def charge(self, size: int) -> None:
        """The callback that runs has read so many bytes."""
        if self.cost.byte:
            self.spend(size * self.cost.byte)

    def freeze(self) -> None:
        """The process is stopped: nothing of it runs until :meth:`thaw`."""
        self.frozen = True

    def thaw(self) -> None:
        self.frozen = False
        if self.ready and self.turn is None:
            self.turn = self.scheduler.at(self.local(), self.go)

    def die(self) -> None:
        """The process is no more: nothing of it runs again, and the kernel resets its connections."""
        if self.dead:
            return
        self.dead = True
        for event in (self.turn, self.alarm):
            if event is not None:
                event.call_off()
        for what in list(self.descriptors.open.values()):
            if isinstance(what, Listener):
                self.stop_listening(what)
        self.descriptors.die()
        self.ready.clear()
        self.timers.clear()
        self.readers.clear()
        self.writers.clear()
        self.signals.clear()

    def stop_listening(self, listener: Listener) -> None:
        """This process accepts no more; the last one that did closes the socket."""
        listener.wakers = [wake for wake in listener.wakers if getattr(wake, "loop", None) is not self]
        if not listener.wakers:
            listener.close()

    # --- tasks and futures ---

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Coroutine[Any, Any, T] | Generator[Any, None, T],
        *,
        name: str | None = None,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[T]:
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def set_task_factory(self, factory: Any) -> None:
        raise NotImplementedError

    def get_task_factory(self) -> None:
        return None

    def set_exception_handler(
        self, handler: Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object] | None
    ) -> None:
        self.on_exception = handler

    def get_exception_handler(self) -> Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object] | None:
        return self.on_exception

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        wrong = context.get("exception")
        log.error("%s", context.get("message"), exc_info=wrong if wrong is not None else False)

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        if self.dead:
            return  # of a process that was killed, every task is left in the middle
        if self.on_exception is not None:
            self.on_exception(self, context)
        else:
            self.default_exception_handler(context)

    def get_debug(self) -> bool:
        return False

    def set_debug(self, enabled: bool) -> None:
        """There is nothing to watch: no callback takes time of its own."""

    # --- life ---

    def run_until_complete(self, future: Any) -> Any:
        """Let the world go on until the future is done. Stalled where nothing is left that could happen."""
        task = asyncio.ensure_future(future, loop=self)
        scheduler = self.scheduler
        while not task.done():
            when = scheduler.next_at()
            if when is None:
                task.cancel()
                raise Stalled("nothing is left that could happen, and the future is not done")
            scheduler.run_one(when)
        return task.result()

    def run_forever(self) -> None:
        raise NotImplementedError("the scheduler runs the world")

    def stop(self) -> None:
        raise NotImplementedError("the scheduler runs the world")

    def is_running(self) -> bool:
        return events._get_running_loop() is self

    def is_closed(self) -> bool:
        return self.closed or self.dead

    def close(self) -> None:
        self.die()
        self.closed = True

    async def shutdown_asyncgens(self) -> None:
        """None is kept track of."""

    async def shutdown_default_executor(self, timeout: float | None = None) -> None:
        """There is none."""

    # --- signals ---

    def add_signal_handler(self, sig: int, callback: Callable[[*Ts], object], *args: *Ts) -> None:
        self.signals[sig] = asyncio.Handle(callback, args, self, None)

    def remove_signal_handler(self, sig: int) -> bool:
        return self.signals.pop(sig, None) is not None

    def signal(self, sig: int) -> bool:
        """The process gets a signal; False where it has no handler for it."""
        handle = self.signals.get(sig)
        if handle is None:
            return False
        self.put(handle)
        return True

    # --- sockets ---

    def socket_of(self, fd: Any) -> Socket:
        number = fd if isinstance(fd, int) else fd.fileno()
        what = self.descriptors.open.get(number)
        if not isinstance(what, Socket):
            raise wrong(errno.EBADF)
        return what

    def add_reader(self, fd: Any, callback: Callable[[*Ts], Any], *args: *Ts) -> None:
        """``callback`` runs once a turn for as long as a read would return at once."""
        socket = self.socket_of(fd)
        self.remove_reader(fd)
        self.readers[socket.fileno()] = asyncio.Handle(callback, args, self, None)
        socket.on_readable = lambda: self.wake(socket, self.readers, Socket.readable)
        socket.on_readable()

    def add_writer(self, fd: Any, callback: Callable[[*Ts], Any], *args: *Ts) -> None:
        socket = self.socket_of(fd)
        self.remove_writer(fd)
        self.writers[socket.fileno()] = asyncio.Handle(callback, args, self, None)
        socket.on_writable = lambda: self.wake(socket, self.writers, Socket.writable)
        socket.on_writable()

    def wake(self, socket: Socket, handles: dict[int, asyncio.Handle], able: Callable[[Socket], bool]) -> None:
        if not socket.closed and socket.fileno() in handles and able(socket):
            self.call_soon(self.level, socket, handles, able, handles[socket.fileno()])

    def level(
        self, socket: Socket, handles: dict[int, asyncio.Handle], able: Callable[[Socket], bool], handle: asyncio.Handle
    ) -> None:
        """What a selector tells is a state, not an event: told again until it has changed."""
        if socket.closed or handles.get(socket.fileno()) is not handle or not able(socket):
            return
        handle._run()
        if not socket.closed and handles.get(socket.fileno()) is handle and able(socket):
            self.call_soon(self.level, socket, handles, able, handle)

    def remove_reader(self, fd: Any) -> bool:
        return self.readers.pop(fd if isinstance(fd, int) else fd.fileno(), None) is not None

    def remove_writer(self, fd: Any) -> bool:
        return self.writers.pop(fd if isinstance(fd, int) else fd.fileno(), None) is not None

    async def sock_connect(self, sock: Any, address: Any) -> None:
        """OSError where the machine refuses; a machine that says nothing is waited for without end."""
        assert isinstance(sock, Socket)
        future = self.create_future()

        def told() -> None:
            self.call_soon(settle, future)

        sock.on_connected = told
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
        **more: Any,
    ) -> tuple[Transport, asyncio.BaseProtocol]:
        """As asyncio's, without names to resolve and without TLS."""
        refuse_more(more)
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
        **more: Any,
    ) -> Server:
        refuse_more({name: value for name, value in more.items() if name not in ("reuse_address", "reuse_port")})
        if sock is None:
            sock = self.listen(host, port or 0, backlog)
        server = Server(self, sock, protocol_factory)
        if start_serving:
            await server.start_serving()
        return server

    def listen(self, host: str | None, port: int, backlog: int) -> Listener:
        """OSError where the address can't be had."""
        if host not in (self.machine.address, "0.0.0.0", "", None):
            raise wrong(errno.EADDRNOTAVAIL)
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

    async def getaddrinfo(self, host: Any, port: Any, **more: Any) -> list[Any]:
        return [(names.AF_INET, names.SOCK_STREAM, names.IPPROTO_TCP, "", (host, port))]


def settle(future: asyncio.Future[Any]) -> None:
    if not future.done():
        future.set_result(None)


def refuse_more(more: dict[str, Any]) -> None:
    """Names what a simulated loop can't do, rather than leave it out."""
    asked = [name for name, value in more.items() if value not in (None, False, 0)]
    if asked:
        raise NotImplementedError(f"not simulated: {', '.join(asked)}")


def address_of(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)
