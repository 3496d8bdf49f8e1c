"""Channels: the calling side towards a peer, with calls multiplexed on one connection that is dialled when needed."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass

from ...core.protocol import Address
from .dialing import race_dials
from .framed_connection import FramedConnection
from .mesh_pb2 import Frame

log = logging.getLogger(__name__)

CALL_SILENCE_TIMEOUT = 1.0  # s without a byte, while a call is open, after which a connection counts as lost
LIVENESS_CHECK_INTERVAL = 0.1  # s between two checks of a connection with open calls
TIMER_GRANULARITY = 0.001  # s by which the event loop may run a timer early: it counts whole milliseconds
UNRESPONSIVE_AFTER = 0.15  # s beyond two round trips, of silence or of dialling, after which a peer is avoided
STALL_THRESHOLD = 0.1  # s by which a check is late when this process stood still, and not the peer
KEEP_ALIVE_INTERVAL = 0.5  # s without a byte from the peer after which a channel that is kept alive pings ...
KEEP_ALIVE_TIMEOUT = 2.0  # s ... and after which its connection is lost, unless the unsent bytes still get fewer
MAX_PENDING_ONE_WAY = 64  # one-way frames that wait for a connection; further ones are dropped

OnAnswer = Callable[[Frame | None], None]
"""Called with each frame that answers a call, and with None once if the connection is lost before the last of them."""
OnSent = Callable[[], None]


@dataclass(frozen=True, slots=True)
class PendingFrame:
    """A frame that waits for its connection."""

    frame: Frame
    on_answer: OnAnswer | None = None
    """Of a frame that opens a call."""
    on_sent: OnSent | None = None


class Channel:
    """The calling side towards one address. Owns its connection.

    A call is identified by its stream; its answers come until :meth:`finish_call` is called for it.
    """

    def __init__(self, address: Address, sender_name: str) -> None:
        self.address = address
        self.sender_name = sender_name
        self.loop = asyncio.get_running_loop()
        self.connection: FramedConnection | None = None
        self.open_calls: dict[int, OnAnswer] = {}
        self.pending: list[PendingFrame] = []
        self.last_stream = 0
        self.dial_task: asyncio.Task[None] | None = None
        self.check_timer: asyncio.TimerHandle | None = None
        self.check_due_at = 0.0
        self.dial_started_at = -math.inf
        self.shortest_round_trip = 0.0
        """In s, over all connections of this channel; 0 until one was measured."""
        self.keep_alive_checked_at = 0.0
        self.unsent_bytes = 0
        """In the transport's buffer when :meth:`keep_alive` last looked."""

    # --- calls ---

    def call(self, frame: Frame, on_answer: OnAnswer, on_sent: OnSent | None = None) -> int:
        """Open a call; the number of its stream.

        ``on_sent`` is called just before the frame is written: until then it can't have arrived. ``on_answer`` is never
        called from within this method.
        """
        self.last_stream += 1
        frame.stream = self.last_stream
        if self.connection is not None:
            self.start_call(self.connection, frame, on_answer, on_sent)
        else:
            self.pending.append(PendingFrame(frame, on_answer, on_sent))
            self.begin_dial()
        return self.last_stream

    def start_call(
        self, connection: FramedConnection, frame: Frame, on_answer: OnAnswer, on_sent: OnSent | None
    ) -> None:
        """Write the frame that opens a call, and watch the connection while it is open."""
        if not self.open_calls:
            connection.last_received_at = self.loop.time()
        self.open_calls[frame.stream] = on_answer
        if on_sent is not None:
            on_sent()
        connection.send(frame)
        if self.check_timer is None:
            self.schedule_check()

    def send_on_call(self, frame: Frame) -> None:
        """Send a further frame of a call that has been written; dropped without a connection."""
        if self.connection is not None:
            self.connection.send(frame)

    def send_after_call(self, frame: Frame) -> None:
        """Send a further frame of a call that may still wait for the connection."""
        if self.connection is not None:
            self.connection.send(frame)
        elif self.pending:
            self.pending.append(PendingFrame(frame))

    def finish_call(self, stream: int) -> bool:
        """Stop handing out answers of a call; whether it was open on a connection."""
        if self.open_calls.pop(stream, None) is not None:
            return True
        self.pending = [pending for pending in self.pending if pending.frame.stream != stream]
        return False

    def send_one_way(self, frame: Frame) -> None:
        """Send a frame that has no answer. It may be lost, also where too many wait for the connection."""
        if self.connection is not None:
            self.connection.send(frame)
        elif len(self.pending) < MAX_PENDING_ONE_WAY:
            self.pending.append(PendingFrame(frame))
            self.begin_dial()

    # --- liveness ---

    def is_unresponsive(self) -> bool:
        """Whether nothing has come for longer than an answer takes: new calls are better made elsewhere."""
        now = self.loop.time()
        allowance = UNRESPONSIVE_AFTER + 2 * self.shortest_round_trip
        if self.connection is None:
            return self.dial_task is not None and now - self.dial_started_at >= allowance - TIMER_GRANULARITY
        silence = now - self.connection.last_received_at
        return bool(self.open_calls) and silence > LIVENESS_CHECK_INTERVAL + allowance

    def schedule_check(self) -> None:
        """Run :meth:`check_liveness` after its interval."""
        self.check_due_at = self.loop.time() + LIVENESS_CHECK_INTERVAL
        self.check_timer = self.loop.call_later(LIVENESS_CHECK_INTERVAL, self.check_liveness)

    def check_liveness(self) -> None:
        """Ping a silent connection with open calls, and abort it after :data:`CALL_SILENCE_TIMEOUT`."""
        self.check_timer = None
        connection = self.connection
        if connection is None or not self.open_calls:
            return
        now = self.loop.time()
        if now - self.check_due_at > STALL_THRESHOLD:  # what the peer sent meanwhile has not been read yet
            connection.last_received_at = max(connection.last_received_at, now - LIVENESS_CHECK_INTERVAL)
        if math.isfinite(connection.shortest_round_trip):
            self.record_round_trip(connection.shortest_round_trip)
        silence = now - connection.last_received_at
        if silence > CALL_SILENCE_TIMEOUT:
            self.abort_silent(connection)
            return
        if silence >= LIVENESS_CHECK_INTERVAL:
            connection.ping()
        self.schedule_check()

    def keep_alive(self) -> None:
        """Check a channel on which frames are only sent one way, as :meth:`check_liveness` doesn't.

        To be called at least every :data:`KEEP_ALIVE_INTERVAL`. Bytes that a network cut held up may stay unsent long
        after it: a connection from which nothing comes back is aborted, and the next frame dials anew.
        """
        now, connection = self.loop.time(), self.connection
        if connection is None or connection.transport is None:
            return
        unsent = connection.transport.get_write_buffer_size()
        if now - self.keep_alive_checked_at > KEEP_ALIVE_INTERVAL or unsent < self.unsent_bytes:
            connection.last_received_at = now  # this process stood still, or the peer takes what it is sent
        self.keep_alive_checked_at, self.unsent_bytes = now, unsent
        silence = now - connection.last_received_at
        if silence > KEEP_ALIVE_TIMEOUT:
            self.abort_silent(connection)
        elif silence > KEEP_ALIVE_INTERVAL and now - connection.pinged_at > KEEP_ALIVE_INTERVAL:
            connection.ping()

    def abort_silent(self, connection: FramedConnection) -> None:
        """Give up a connection whose peer says nothing."""
        log.warning("link fell silent", extra={"code": "LINK_SILENT", "peer": self.address[0]})
        connection.abort()

    def record_round_trip(self, seconds: float) -> None:
        """Keep the shortest round trip that was measured."""
        self.shortest_round_trip = min(self.shortest_round_trip or math.inf, seconds)

    # --- the connection ---

    def begin_dial(self) -> None:
        """Dial, unless that is under way. Its time counts from here on, not from when the task first runs."""
        if self.dial_task is None:
            self.dial_started_at = self.loop.time()
            self.dial_task = self.loop.create_task(self.dial())

    async def dial(self) -> None:
        """Establish the connection. Calls that wait are failed early, so that they may be made elsewhere."""
        patience = self.loop.call_later(UNRESPONSIVE_AFTER + 2 * self.shortest_round_trip, self.fail_pending_calls)
        try:
            connection = await race_dials(self.loop, self.address, self.make_connection)
        except OSError:
            self.dial_task = None
            self.on_dial_failed()
            return
        finally:
            patience.cancel()
        self.record_round_trip(self.loop.time() - self.dial_started_at)
        self.dial_task = None
        if connection.closed:
            self.on_dial_failed()
        else:
            self.on_connected(connection)

    def make_connection(self) -> FramedConnection:
        """The protocol of a dialled connection."""
        return FramedConnection(self.on_frame, self.on_closed)

    def on_connected(self, connection: FramedConnection) -> None:
        """Write what waits for the connection."""
        self.connection = connection
        connection.send(Frame(hello=self.sender_name))
        pending, self.pending = self.pending, []
        for entry in pending:
            if entry.on_answer is None:
                connection.send(entry.frame)
            else:
                self.start_call(connection, entry.frame, entry.on_answer, entry.on_sent)

    def on_dial_failed(self) -> None:
        """Fail the calls that wait, and drop one-way frames: nothing of them was sent."""
        pending, self.pending = self.pending, []
        for entry in pending:
            if entry.on_answer is not None:
                entry.on_answer(None)

    def fail_pending_calls(self) -> None:
        """Fail the calls that wait while dialling hangs; one-way frames go on waiting."""
        calls = [entry.on_answer for entry in self.pending if entry.on_answer is not None]
        self.pending = [entry for entry in self.pending if entry.on_answer is None and not entry.frame.stream]
        for on_answer in calls:
            on_answer(None)

    def on_frame(self, connection: FramedConnection, frame: Frame) -> None:
        """Hand an answer to its call. Frames of an earlier connection are ignored: its calls have been failed."""
        on_answer = self.open_calls.get(frame.stream)
        if on_answer is not None and connection is self.connection:
            on_answer(frame)

    def on_closed(self, connection: FramedConnection) -> None:
        """Fail the open calls."""
        if connection is self.connection:
            self.connection = None
            calls, self.open_calls = self.open_calls, {}
            for on_answer in calls.values():
                on_answer(None)

    def close(self) -> None:
        """End the channel; open calls are failed."""
        if self.dial_task is not None:
            self.dial_task.cancel()
        if self.check_timer is not None:
            self.check_timer.cancel()
        if self.connection is not None:
            self.connection.abort()


class ChannelPool:
    """The channels of a process, one for each address."""

    def __init__(self, sender_name: str) -> None:
        self.sender_name = sender_name
        self.channels: dict[Address, Channel] = {}

    def to(self, address: Address) -> Channel:
        """The channel to an address, made when it is first asked for."""
        channel = self.channels.get(address)
        if channel is None:
            channel = self.channels[address] = Channel(address, self.sender_name)
        return channel

    def retire(self, address: Address) -> None:
        """Close an idle channel to a peer that has left.

        Open calls go on: whoever left ends them, and a silent connection is noticed by itself; the news that a peer is
        gone is no reason to give up what it works on.
        """
        channel = self.channels.get(address)
        if channel is not None and not channel.open_calls and not channel.pending:
            del self.channels[address]
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        for channel in self.channels.values():
            channel.close()
        self.channels.clear()
