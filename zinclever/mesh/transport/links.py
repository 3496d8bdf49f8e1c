"""Links: frames over TCP between two processes of the mesh. A frame is its length in four bytes, then protobuf."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections.abc import Callable
from typing import cast

from google.protobuf.message import DecodeError

from ...core.protocol import Address
from .mesh_pb2 import Frame

log = logging.getLogger(__name__)

MAX_FRAME_BYTES = 24 << 20  # bytes: a configuration of a few MB twice in one change
DIAL_TIMEOUT = 0.6  # s in which a link comes up: loopback-like nets take ms, a machine without power never answers
DIAL_RETRY_DELAYS = (
    0.1,
    0.2,
)  # s after which one more dial joins those that hang: a machine that is up again answers it
TCP_USER_TIMEOUT_MS = 1500  # ms for which what was sent may lie unacknowledged: after a cut TCP tries ever more seldom
CALL_SILENCE_TIMEOUT = 1.0  # s without a byte, while something is asked, after which a link counts as lost
LIVENESS_CHECK_INTERVAL = 0.1  # s between two looks at links on which something is asked
TIMER_GRANULARITY = 0.001  # s by which the loop may run a timer early: it counts whole milliseconds
UNRESPONSIVE_AFTER = 0.15  # s beyond two round trips, of silence or of dialling, after which nothing new is asked there
STALL_THRESHOLD = 0.1  # s that a look comes late by, from which on this process stood still, and not the other end
KEEP_ALIVE_INTERVAL = 0.5  # s without a byte from the other end after which a line that is kept alive asks for one ...
KEEP_ALIVE_TIMEOUT = 2.0  # s ... and after which its link counts as lost, unless what is to be sent still gets less
LENGTH_PREFIX_BYTES = 4

OnFrame = Callable[["FramedConnection", Frame], None]
OnClosed = Callable[["FramedConnection"], None]


class FramedConnection(asyncio.Protocol):
    """One end of a link. What comes is handed on frame by frame; a text that is none ends it."""

    def __init__(self, on_frame: OnFrame, on_closed: OnClosed) -> None:
        self.on_frame, self.on_closed = on_frame, on_closed
        self.loop = asyncio.get_running_loop()
        self.buffer = bytearray()
        self.last_received_at = self.loop.time()
        self.closed = False
        self.pinged_at = 0.0
        self.shortest_round_trip = math.inf
        """The shortest round trip that was seen, in s."""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        self.last_received_at = self.loop.time()
        buffer = self.buffer
        buffer += data
        at = 0
        while len(buffer) - at >= LENGTH_PREFIX_BYTES:
            size = int.from_bytes(buffer[at : at + LENGTH_PREFIX_BYTES], "big")
            if size > MAX_FRAME_BYTES:
                log.warning("frame too long", extra={"code": "LINK_FRAME", "bytes": size})
                self.abort()
                return
            if len(buffer) - at - LENGTH_PREFIX_BYTES < size:
                break
            text = bytes(buffer[at + LENGTH_PREFIX_BYTES : at + LENGTH_PREFIX_BYTES + size])
            at += LENGTH_PREFIX_BYTES + size
            try:
                frame = Frame.FromString(text)
            except DecodeError:
                log.warning("no frame of the mesh", extra={"code": "LINK_FOREIGN"})
                self.abort()
                return
            what = frame.WhichOneof("what")
            if what == "ping":
                self.send(Frame(pong=frame.ping))
            elif what == "pong":
                self.shortest_round_trip = min(self.shortest_round_trip, self.last_received_at - self.pinged_at)
            else:
                self.on_frame(self, frame)
            if self.closed:
                return
        if at:
            del buffer[:at]

    def ping(self) -> None:
        self.pinged_at = self.loop.time()
        self.send(Frame(ping=1))

    def send(self, frame: Frame) -> None:
        """Hand a frame to the kernel or, as far as it has no room, to the transport."""
        if self.transport is not None and not self.closed:
            text = frame.SerializeToString()
            self.transport.write(len(text).to_bytes(LENGTH_PREFIX_BYTES, "big") + text)

    def abort(self) -> None:
        """Close at once; the owner is told as of any other loss."""
        if self.transport is not None:
            self.transport.abort()
        self.notify_closed()

    def connection_lost(self, exc: Exception | None) -> None:
        self.notify_closed()

    def notify_closed(self) -> None:
        if not self.closed:
            self.closed = True
            self.buffer.clear()
            self.on_closed(self)


#: Told of each frame that answers a call, and with None once if the link is lost before the last of them.
OnAnswer = Callable[[Frame | None], None]


class Channel:
    """The calling end towards one address: a link that is dialled when something is asked, and the calls on it.

    Owns its link. A call is told apart by its stream; its answers come until :meth:`finish_call` is called for it.
    """

    def __init__(self, address: Address, sender_name: str) -> None:
        self.address, self.sender_name = address, sender_name
        self.loop = asyncio.get_running_loop()
        self.connection: FramedConnection | None = None
        self.open_calls: dict[int, OnAnswer] = {}
        self.pending: list[tuple[Frame, OnAnswer, Callable[[], None] | None]] = []
        self.last_stream = 0
        self.dial_task: asyncio.Task[None] | None = None
        self.check_timer: asyncio.TimerHandle | None = None
        self.check_due_at = 0.0
        self.dial_started_at = -math.inf
        self.shortest_round_trip = 0.0
        """The shortest round trip that was seen here, in s."""
        self.keep_alive_checked_at = 0.0
        """When :meth:`keep_alive` last looked."""
        self.unsent_bytes = 0
        """Bytes that the kernel had no room for, then."""

    def call(self, frame: Frame, answer: OnAnswer, sent: Callable[[], None] | None = None) -> int:
        """Ask something; the number of its stream. ``sent``: called just before the frame goes out on a link: until
        then it can't have arrived. ``answer`` is never called from within."""
        self.last_stream += 1
        frame.stream = self.last_stream
        if self.connection is not None:
            self.start_call(frame, answer, sent)
        else:
            self.pending.append((frame, answer, sent))
            self.begin_dial()
        return self.last_stream

    def start_call(self, frame: Frame, answer: OnAnswer, sent: Callable[[], None] | None) -> None:
        assert self.connection is not None
        if not self.open_calls:
            self.connection.last_received_at = self.loop.time()
        self.open_calls[frame.stream] = answer
        if sent is not None:
            sent()
        self.connection.send(frame)
        if self.check_timer is None:
            self.schedule_check()

    def schedule_check(self) -> None:
        self.check_due_at = self.loop.time() + LIVENESS_CHECK_INTERVAL
        self.check_timer = self.loop.call_later(LIVENESS_CHECK_INTERVAL, self.check_liveness)

    def is_unresponsive(self) -> bool:
        """Nothing has come for longer than anything takes: what is new is better asked elsewhere."""
        now = self.loop.time()
        if self.connection is None:
            return (
                self.dial_task is not None
                and now - self.dial_started_at >= UNRESPONSIVE_AFTER + 2 * self.shortest_round_trip - TIMER_GRANULARITY
            )
        return (
            bool(self.open_calls)
            and now - self.connection.last_received_at
            > LIVENESS_CHECK_INTERVAL + UNRESPONSIVE_AFTER + 2 * self.shortest_round_trip
        )

    def send_one_way(self, frame: Frame) -> None:
        """Say something that has no answer; lost where there is no link and it isn't one that is being dialled."""
        if self.connection is not None:
            self.connection.send(frame)
        elif len(self.pending) < 64:
            self.pending.append((frame, ignore_answer, None))
            self.begin_dial()

    def keep_alive(self) -> None:
        """Watch a channel on which frames are only sent one way, as :meth:`check_liveness` doesn't; to be called each
        turn. Bytes that a cut held up may stay so long after it: a connection from which nothing comes back is aborted,
        and the next frame dials anew."""
        now, link = self.loop.time(), self.connection
        if link is None or link.transport is None:
            return
        unsent = link.transport.get_write_buffer_size()
        if now - self.keep_alive_checked_at > KEEP_ALIVE_INTERVAL or unsent < self.unsent_bytes:
            link.last_received_at = now  # this process stood still, or the other end takes what it is sent
        self.keep_alive_checked_at, self.unsent_bytes = now, unsent
        silent = now - link.last_received_at
        if silent > KEEP_ALIVE_TIMEOUT:
            log.warning("link fell silent", extra={"code": "LINK_SILENT", "peer": self.address[0]})
            link.abort()
        elif silent > KEEP_ALIVE_INTERVAL and now - link.pinged_at > KEEP_ALIVE_INTERVAL:
            link.ping()

    def send_on_call(self, frame: Frame) -> None:
        """A further frame of a call that is out."""
        if self.connection is not None:
            self.connection.send(frame)

    def send_after_call(self, frame: Frame) -> None:
        """A further frame of a call that may still wait for its link."""
        if self.connection is not None:
            self.connection.send(frame)
        elif self.pending:
            self.pending.append((frame, ignore_answer, None))

    def finish_call(self, stream: int) -> bool:
        """A call needs no more answers; whether it was out on a link."""
        if self.open_calls.pop(stream, None) is not None:
            return True
        self.pending = [w for w in self.pending if w[0].stream != stream]
        return False

    def check_liveness(self) -> None:
        """Whether the other end still says something while it is asked."""
        self.check_timer = None
        link = self.connection
        if link is None or not self.open_calls:
            return
        now = self.loop.time()
        if now - self.check_due_at > STALL_THRESHOLD:  # what has come meanwhile is not read yet
            link.last_received_at = max(link.last_received_at, now - LIVENESS_CHECK_INTERVAL)
        self.shortest_round_trip = (
            min(self.shortest_round_trip or math.inf, link.shortest_round_trip)
            if math.isfinite(link.shortest_round_trip)
            else self.shortest_round_trip
        )
        silent = now - link.last_received_at
        if silent > CALL_SILENCE_TIMEOUT:
            log.warning("link fell silent", extra={"code": "LINK_SILENT", "peer": self.address[0]})
            link.abort()
            return
        if silent >= LIVENESS_CHECK_INTERVAL:
            link.ping()
        self.schedule_check()

    def begin_dial(self) -> None:
        """Dial, unless that goes on already. Its time counts from here on, not from when the task first runs."""
        if self.dial_task is None:
            self.dial_started_at = self.loop.time()
            self.dial_task = self.loop.create_task(self.dial_and_report())

    async def dial_and_report(self) -> None:
        impatient = self.loop.call_later(UNRESPONSIVE_AFTER + 2 * self.shortest_round_trip, self.fail_pending_calls)
        try:
            link = await self.race_dials()
        except OSError:
            self.dial_task = None
            self.on_dial_failed()
            return
        finally:
            impatient.cancel()
        self.shortest_round_trip = min(self.shortest_round_trip or math.inf, self.loop.time() - self.dial_started_at)
        self.dial_task = None
        if link.closed:
            self.on_dial_failed()
        else:
            self.on_connected(link)

    def on_connected(self, link: FramedConnection) -> None:
        """A link stands: what waits for it goes out."""
        self.connection = link
        link.send(Frame(hello=self.sender_name))
        waiting, self.pending = self.pending, []
        for frame, answer, sent in waiting:
            if answer is ignore_answer:
                link.send(frame)
            else:
                self.start_call(frame, answer, sent)

    def on_dial_failed(self) -> None:
        """No link came up: what waits for it has gone nowhere."""
        waiting, self.pending = self.pending, []
        for _, answer, _ in waiting:
            answer(None)

    def fail_pending_calls(self) -> None:
        """A dial hangs: what waits for an answer isn't sent from here, and may be asked elsewhere."""
        calls = [w for w in self.pending if w[1] is not ignore_answer]
        self.pending = [w for w in self.pending if w[1] is ignore_answer and not w[0].stream]
        for _, answer, _ in calls:
            answer(None)

    async def race_dials(self) -> FramedConnection:
        """Dial, and again while that hangs: the first link that comes up. OSError where none does in time."""
        dials: set[asyncio.Task[FramedConnection]] = set()
        began = self.loop.time()
        try:
            for wait in (*DIAL_RETRY_DELAYS, DIAL_TIMEOUT):
                dials.add(self.loop.create_task(self.dial_once()))
                left = min(wait, began + DIAL_TIMEOUT - self.loop.time())
                over, _ = await asyncio.wait(dials, timeout=left, return_when=asyncio.FIRST_COMPLETED)
                if over:
                    first = over.pop()
                    dials.discard(first)
                    return first.result()
            raise TimeoutError(f"{self.address} doesn't answer")
        finally:
            for dial in dials:
                dial.cancel()
                dial.add_done_callback(abort_late_connection)

    async def dial_once(self) -> FramedConnection:
        _, link = await self.loop.create_connection(
            lambda: FramedConnection(self.on_frame, self.on_closed), *self.address
        )
        return link

    def on_frame(self, link: FramedConnection, frame: Frame) -> None:
        """From a link that was given up nothing counts: its calls have been told that it is lost."""
        answer = self.open_calls.get(frame.stream)
        if answer is not None and link is self.connection:
            answer(frame)

    def on_closed(self, link: FramedConnection) -> None:
        if link is self.connection:
            self.connection = None
            calls, self.open_calls = self.open_calls, {}
            for answer in calls.values():
                answer(None)

    def close(self) -> None:
        """At the end: what is out is told as lost."""
        if self.dial_task is not None:
            self.dial_task.cancel()
        if self.check_timer is not None:
            self.check_timer.cancel()
        if self.connection is not None:
            self.connection.abort()


def abort_late_connection(dial: asyncio.Task[FramedConnection]) -> None:
    """A dial that came too late, or not at all."""
    if not dial.cancelled() and dial.exception() is None:
        dial.result().abort()


def ignore_answer(frame: Frame | None) -> None:
    """Takes the answer to what was merely told."""


class ChannelPool:
    """The lines of a process, by address."""

    def __init__(self, sender_name: str) -> None:
        self.sender_name = sender_name
        self.channels: dict[Address, Channel] = {}

    def to(self, address: Address) -> Channel:
        line = self.channels.get(address)
        if line is None:
            line = self.channels[address] = Channel(address, self.sender_name)
        return line

    def retire(self, address: Address) -> None:
        """Nobody is to be asked there any more. What is out goes on: whoever left ends it, and a silent link is noticed
        by itself; news that somebody is gone is no reason to give up what runs there."""
        line = self.channels.get(address)
        if line is not None and not line.open_calls and not line.pending:
            del self.channels[address]
            line.close()

    def close(self) -> None:
        for line in self.channels.values():
            line.close()
        self.channels.clear()
