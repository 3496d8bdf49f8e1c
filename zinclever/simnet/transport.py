"""A stream transport over a simulated socket, with the interface of :class:`asyncio.Transport`."""

from __future__ import annotations

import asyncio
import socket as socket_module
from typing import TYPE_CHECKING, Any, cast

from .tcp import Socket

if TYPE_CHECKING:
    from .loop import Loop

HIGH_WATER = 64 * 1024  # bytes in the buffer above which the protocol is paused, as in asyncio
READ_SIZE = 256 * 1024  # maximum bytes per read


class Transport(asyncio.Transport):
    """Owns its socket, and closes it after the protocol's ``connection_lost`` has been called."""

    __slots__ = (
        "buffer",
        "buffered_size",
        "closing",
        "eof",
        "high_water",
        "loop",
        "low_water",
        "paused",
        "protocol",
        "read_scheduled",
        "reading",
        "sock",
    )

    def __init__(
        self, loop: Loop, sock: Socket, protocol: asyncio.BaseProtocol, waiter: asyncio.Future[None] | None = None
    ) -> None:
        super().__init__()
        self.loop, self.sock = loop, sock
        self.protocol = cast(asyncio.Protocol, protocol)
        self.buffer: list[bytes] = []
        self.buffered_size = 0
        self.high_water, self.low_water = HIGH_WATER, HIGH_WATER // 4
        self.paused = self.closing = self.eof = False
        """``paused``: the protocol was asked to stop writing. ``eof``: :meth:`write_eof` was called."""
        self.reading = True
        self.read_scheduled = False
        """Whether :meth:`read` is queued on the loop."""
        loop.call_soon(self.start, waiter)

    def start(self, waiter: asyncio.Future[None] | None) -> None:
        """Hand the transport to the protocol, begin to read, and complete ``waiter``."""
        self.protocol.connection_made(self)
        if not self.sock.closed:
            self.sock.on_readable, self.sock.on_writable = self.on_readable, self.on_writable
            self.on_readable()
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    # --- reading ---

    def on_readable(self) -> None:
        """Schedule a read if there is something to read."""
        if not self.read_scheduled and self.reading and not self.closing and self.sock.readable():
            self.read_scheduled = True
            self.loop.call_soon(self.read)

    def read(self) -> None:
        """Pass received data, or the end of the stream, to the protocol."""
        self.read_scheduled = False
        if self.closing or not self.reading:
            return
        try:
            data = self.sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError as error:
            self.close_now(error)
            return
        if data:
            self.loop.charge_read(len(data))
            self.protocol.data_received(data)
            self.on_readable()
        else:
            self.sock.on_readable = None
            self.reading = False
            if not self.protocol.eof_received():
                self.close()

    def pause_reading(self) -> None:
        """Read nothing until :meth:`resume_reading`."""
        self.reading = False

    def resume_reading(self) -> None:
        """Read again after :meth:`pause_reading`."""
        if not self.closing and not self.reading and self.sock.on_readable is not None:
            self.reading = True
            self.on_readable()

    def is_reading(self) -> bool:
        """Return whether received data is passed to the protocol."""
        return self.reading and not self.closing

    # --- writing ---

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send data, and buffer the bytes that the socket doesn't accept."""
        if self.eof:
            raise RuntimeError("Cannot call write() after write_eof()")
        if not data or self.closing:
            return
        if not self.buffer:
            data = memoryview(data)[self.try_send(data) :]
            if not data or self.closing:
                return
        self.buffer.append(bytes(data))
        self.buffered_size += len(data)
        self.on_writable()
        if self.buffered_size > self.high_water and not self.paused:
            self.paused = True
            self.protocol.pause_writing()

    def try_send(self, data: bytes | bytearray | memoryview) -> int:
        """Return how many bytes the socket has taken; on an error, close the transport and return 0."""
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            self.close_now(error)
            return 0

    def on_writable(self) -> None:
        """Schedule a flush if the socket takes more of the buffer."""
        if self.buffer and self.sock.writable():
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        """Send from the buffer; when it is empty, close or shut down if that was requested."""
        while self.buffer:
            part = self.buffer[0]
            sent = self.try_send(part)
            if not self.buffer:
                return
            self.buffered_size -= sent
            if not sent:
                break
            if sent < len(part):
                self.buffer[0] = part[sent:]
            else:
                del self.buffer[0]
        if self.paused and self.buffered_size <= self.low_water:
            self.paused = False
            self.protocol.resume_writing()
        if not self.buffer:
            if self.closing:
                self.loop.call_soon(self.finish_close, None)
            elif self.eof:
                self.sock.shutdown(socket_module.SHUT_WR)

    def writelines(self, list_of_data: Any) -> None:
        """Write several pieces of data as one."""
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        """End the direction to the peer once the buffer is sent."""
        if self.closing or self.eof:
            return
        self.eof = True
        if not self.buffer and self.sock.open and self.sock.tracked:
            self.sock.shutdown(socket_module.SHUT_WR)

    def can_write_eof(self) -> bool:
        """Return True: TCP can end one direction."""
        return True

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes in the buffer."""
        return self.buffered_size

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return the low and the high water mark in bytes."""
        return self.low_water, self.high_water

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the water marks in bytes, with asyncio's defaults. Raises ValueError if ``low`` exceeds ``high``."""
        if high is None:
            high = HIGH_WATER if low is None else 4 * low
        self.low_water, self.high_water = high // 4 if low is None else low, high
        if not self.high_water >= self.low_water >= 0:
            raise ValueError(f"high ({self.high_water}) must be >= low ({self.low_water}) must be >= 0")

    # --- closing ---

    def is_closing(self) -> bool:
        """Return whether the transport is closing or closed."""
        return self.closing

    def close(self) -> None:
        """Send what is buffered, then close."""
        if self.closing:
            return
        self.closing = True
        self.sock.on_readable = None
        if not self.buffer:
            self.loop.call_soon(self.finish_close, None)

    def abort(self) -> None:
        """Close at once and discard what is buffered."""
        self.close_now(None)

    def close_now(self, error: OSError | None) -> None:
        """Discard what is buffered, and close in the next iteration of the loop."""
        if self.closing and not self.buffer:
            return  # finish_close is already scheduled
        self.closing = True
        self.buffer.clear()
        self.buffered_size = 0
        self.sock.on_readable = self.sock.on_writable = None
        self.loop.call_soon(self.finish_close, error)

    def finish_close(self, error: OSError | None) -> None:
        """Call the protocol's ``connection_lost``, and close the socket."""
        try:
            self.protocol.connection_lost(error)
        finally:
            self.sock.close()

    # --- properties ---

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return ``socket``, ``sockname`` or ``peername``, and ``default`` for other names."""
        if name == "socket":
            return self.sock
        if name == "sockname":
            return self.sock.local_address
        if name == "peername":
            return self.sock.remote_address
        return default

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Replace the protocol."""
        self.protocol = cast(asyncio.Protocol, protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol."""
        return self.protocol
