"""A stream transport over a simulated socket, by the contract of :class:`asyncio.Transport`."""

from __future__ import annotations

import asyncio
import socket as names
from typing import TYPE_CHECKING, Any, cast

from .tcp import Socket

if TYPE_CHECKING:
    from .loop import Loop

HIGH = 64 * 1024  # bytes in the buffer beyond which the protocol is told to pause, as asyncio has it
READ = 256 * 1024  # bytes read at a time


class Transport(asyncio.Transport):
    """Owns its socket from the making to the round of the loop after :meth:`connection_lost` has been called."""

    __slots__ = (
        "buffer",
        "buffered",
        "closing",
        "eof",
        "high",
        "loop",
        "low",
        "paused",
        "protocol",
        "reading",
        "scheduled",
        "sock",
    )

    def __init__(
        self, loop: Loop, sock: Socket, protocol: asyncio.BaseProtocol, waiter: asyncio.Future[None] | None = None
    ) -> None:
        super().__init__()
        self.loop, self.sock = loop, sock
        self.protocol = cast(asyncio.Protocol, protocol)
        self.buffer: list[bytes] = []
        self.buffered = 0
        self.high, self.low = HIGH, HIGH // 4
        self.paused = self.closing = self.eof = False
        """``paused``: the protocol has been told to stop writing."""
        self.reading = True
        self.scheduled = False
        """A read is on its way through the loop."""
        loop.call_soon(self.begin, waiter)

    def begin(self, waiter: asyncio.Future[None] | None) -> None:
        self.protocol.connection_made(self)
        if not self.sock.closed:
            self.sock.on_readable, self.sock.on_writable = self.on_readable, self.on_writable
            self.on_readable()
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    # --- reading ---

    def on_readable(self) -> None:
        if not self.scheduled and self.reading and not self.closing and self.sock.readable():
            self.scheduled = True
            self.loop.call_soon(self.read)

    def read(self) -> None:
        self.scheduled = False
        if self.closing or not self.reading:
            return
        try:
            data = self.sock.recv(READ)
        except BlockingIOError:
            return
        except OSError as wrong:
            self.end(wrong)
            return
        if data:
            self.loop.charge(len(data))
            self.protocol.data_received(data)
            self.on_readable()
        else:
            self.sock.on_readable = None
            self.reading = False
            if not self.protocol.eof_received():
                self.close()

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        if not self.closing and not self.reading and self.sock.on_readable is not None:
            self.reading = True
            self.on_readable()

    def is_reading(self) -> bool:
        return self.reading and not self.closing

    # --- writing ---

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self.eof:
            raise RuntimeError("Cannot call write() after write_eof()")
        if not data or self.closing:
            return
        if not self.buffer:
            data = memoryview(data)[self.send(data) :]
            if not data or self.closing:
                return
        self.buffer.append(bytes(data))
        self.buffered += len(data)
        self.on_writable()
        if self.buffered > self.high and not self.paused:
            self.paused = True
            self.protocol.pause_writing()

    def send(self, data: bytes | bytearray | memoryview) -> int:
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as wrong:
            self.end(wrong)
            return 0

    def on_writable(self) -> None:
        if self.buffer and self.sock.writable():
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        while self.buffer:
            part = self.buffer[0]
            sent = self.send(part)
            if not self.buffer:
                return
            self.buffered -= sent
            if not sent:
                break
            if sent < len(part):
                self.buffer[0] = part[sent:]
            else:
                del self.buffer[0]
        if self.paused and self.buffered <= self.low:
            self.paused = False
            self.protocol.resume_writing()
        if not self.buffer:
            if self.closing:
                self.loop.call_soon(self.lose, None)
            elif self.eof:
                self.sock.shutdown(names.SHUT_WR)

    def writelines(self, list_of_data: Any) -> None:
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        if self.closing or self.eof:
            return
        self.eof = True
        if not self.buffer and self.sock.open and self.sock.known:
            self.sock.shutdown(names.SHUT_WR)

    def can_write_eof(self) -> bool:
        return True

    def get_write_buffer_size(self) -> int:
        return self.buffered

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self.low, self.high

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        if high is None:
            high = HIGH if low is None else 4 * low
        self.low, self.high = high // 4 if low is None else low, high
        if not self.high >= self.low >= 0:
            raise ValueError(f"high ({self.high}) must be >= low ({self.low}) must be >= 0")

    # --- the end ---

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        """What is written goes out first."""
        if self.closing:
            return
        self.closing = True
        self.sock.on_readable = None
        if not self.buffer:
            self.loop.call_soon(self.lose, None)

    def abort(self) -> None:
        self.end(None)

    def end(self, wrong: OSError | None) -> None:
        """At once: what is not written never is."""
        if self.closing and not self.buffer:
            return  # it is on its way
        self.closing = True
        self.buffer.clear()
        self.buffered = 0
        self.sock.on_readable = self.sock.on_writable = None
        self.loop.call_soon(self.lose, wrong)

    def lose(self, wrong: OSError | None) -> None:
        try:
            self.protocol.connection_lost(wrong)
        finally:
            self.sock.close()

    # --- the rest ---

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "socket":
            return self.sock
        if name == "sockname":
            return self.sock.local
        if name == "peername":
            return self.sock.remote
        return default

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = cast(asyncio.Protocol, protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self.protocol
