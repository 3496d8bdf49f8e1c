"""Client side of the links between processes: multiplexes calls to a peer over one connection, dialed on demand."""

from __future__ import annotations

import asyncio
import enum
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass

from ...core.protocol import Address
from .dialing import race_dials
from .framed_connection import FramedConnection
from .mesh_pb2 import Frame

log = logging.getLogger(__name__)

CALL_SILENCE_TIMEOUT = 1.0  # s without received bytes after which a connection with open calls is aborted
LIVENESS_CHECK_INTERVAL = 0.1  # s between two checks of a connection with open calls
TIMER_GRANULARITY = 0.001  # s by which the event loop may run a timer early, as it rounds to milliseconds
UNRESPONSIVE_AFTER = 0.15  # s in addition to two round trips, of silence or of dialing, after which a peer is avoided
STALL_THRESHOLD = 0.1  # s of delay of a check beyond which this process counts as stalled, rather than the peer
KEEP_ALIVE_INTERVAL = 0.5  # s without received bytes after which a kept-alive channel sends a ping
KEEP_ALIVE_TIMEOUT = 2.0  # s of silence after which a kept-alive connection is aborted if its send buffer doesn't drain
MAX_PENDING_ONE_WAY = 64  # one-way frames that wait for a connection; further ones are dropped

OnAnswer = Callable[[Frame | None], None]
"""Called with each frame that answers a call, and with None if the connection is lost before the last answer."""
OnSent = Callable[[], None]
"""Called just before the first frame of a call is written."""


class LinkState(enum.StrEnum):
    """The state of the connection of a channel, as it is logged."""

    CLOSED = "closed"
    DIALING = "dialing"
    LIVE = "live"
    SILENT = "silent"
    """Calls are open, and nothing has been received for longer than a round trip."""


@dataclass(frozen=True, slots=True)
class PendingFrame:
    """A frame that waits for the connection to be established."""

    frame: Frame
    on_answer: OnAnswer | None = None
    """Set for a frame that opens a call."""
    on_sent: OnSent | None = None


class Channel:
    """Sends calls and one-way frames to one address. Owns the connection.

    A call is identified by its stream number. Its answers are delivered until :meth:`finish_call` is called for it.
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
        """Shortest round trip in seconds over all connections of this channel; 0 until one has been measured."""
        self.keep_alive_checked_at = 0.0
        self.unsent_bytes = 0
        """Size of the transport's write buffer at the last call of :meth:`keep_alive`."""

    # --- calls ---

    def call(self, frame: Frame, on_answer: OnAnswer, on_sent: OnSent | None = None) -> int:
        """Open a call, and dial first if there is no connection.

        Args:
            frame: First frame of the call; its stream number is set.
            on_answer: Called with each answer. Never called from within this method.
            on_sent: Called just before the frame is written. Until then the peer cannot have received it.

        Returns:
            The stream number of the call.
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
        """Write the frame that opens a call, and check the liveness of the connection while calls are open."""
        if not self.open_calls:
            connection.last_received_at = self.loop.time()
        self.open_calls[frame.stream] = on_answer
        if on_sent is not None:
            on_sent()
        connection.send(frame)
        if self.check_timer is None:
            self.schedule_check()

    def send_on_call(self, frame: Frame) -> None:
        """Send a further frame of a call whose first frame was written; dropped if there is no connection."""
        if self.connection is not None:
            self.connection.send(frame)

    def send_after_call(self, frame: Frame) -> None:
        """Send a further frame of a call whose first frame may still wait for the connection."""
        if self.connection is not None:
            self.connection.send(frame)
        elif self.pending:
            self.pending.append(PendingFrame(frame))

    def finish_call(self, stream: int) -> bool:
        """Stop delivering answers of a call.

        Returns:
            Whether the call was open on a connection, as opposed to waiting for one.
        """
        if self.open_calls.pop(stream, None) is not None:
            return True
        self.pending = [pending for pending in self.pending if pending.frame.stream != stream]
        return False

    def send_one_way(self, frame: Frame) -> None:
        """Send a frame that has no answer. It may be lost; it is dropped if too many frames wait for the connection."""
        if self.connection is not None:
            self.connection.send(frame)
        elif len(self.pending) < MAX_PENDING_ONE_WAY:
            self.pending.append(PendingFrame(frame))
            self.begin_dial()

    # --- liveness ---

    def is_unresponsive(self) -> bool:
        """Return whether the peer has been silent for so long that new calls should be sent to another peer."""
        now = self.loop.time()
        allowance = UNRESPONSIVE_AFTER + 2 * self.shortest_round_trip
        if self.connection is None:
            return self.dial_task is not None and now - self.dial_started_at >= allowance - TIMER_GRANULARITY
        silence = now - self.connection.last_received_at
        return bool(self.open_calls) and silence > LIVENESS_CHECK_INTERVAL + allowance

    def link_state(self) -> LinkState:
        """Return the state of the connection."""
        if self.connection is None:
            return LinkState.CLOSED if self.dial_task is None else LinkState.DIALING
        return LinkState.SILENT if self.is_unresponsive() else LinkState.LIVE

    def schedule_check(self) -> None:
        """Schedule :meth:`check_liveness` after :data:`LIVENESS_CHECK_INTERVAL`."""
        self.check_due_at = self.loop.time() + LIVENESS_CHECK_INTERVAL
        self.check_timer = self.loop.call_later(LIVENESS_CHECK_INTERVAL, self.check_liveness)

    def check_liveness(self) -> None:
        """Ping a silent connection with open calls, or abort it after :data:`CALL_SILENCE_TIMEOUT`."""
        self.check_timer = None
        connection = self.connection
        if connection is None or not self.open_calls:
            return
        now = self.loop.time()
        if now - self.check_due_at > STALL_THRESHOLD:  # stalled: bytes received meanwhile have not been read yet
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
        """Check the liveness of a channel with one-way traffic, which :meth:`check_liveness` does not cover.

        The caller has to call it at least every :data:`KEEP_ALIVE_INTERVAL`. Bytes that were queued during a network
        partition may stay unsent long after the partition has healed. A silent connection is therefore aborted, and the
        next frame dials again.
        """
        now, connection = self.loop.time(), self.connection
        if connection is None or connection.transport is None:
            return
        unsent = connection.unwritten_bytes()
        if now - self.keep_alive_checked_at > KEEP_ALIVE_INTERVAL or unsent < self.unsent_bytes:
            connection.last_received_at = now  # this process was stalled, or the peer still acknowledges bytes
        self.keep_alive_checked_at, self.unsent_bytes = now, unsent
        silence = now - connection.last_received_at
        if silence > KEEP_ALIVE_TIMEOUT:
            self.abort_silent(connection)
        elif silence > KEEP_ALIVE_INTERVAL and now - connection.pinged_at > KEEP_ALIVE_INTERVAL:
            connection.ping()

    def abort_silent(self, connection: FramedConnection) -> None:
        """Abort a connection whose peer has been silent for too long."""
        log.warning("connection aborted: peer is silent", extra={"code": "LINK_SILENT", "peer": self.address[0]})
        connection.abort()

    def record_round_trip(self, seconds: float) -> None:
        """Update the shortest measured round trip."""
        self.shortest_round_trip = min(self.shortest_round_trip or math.inf, seconds)

    # --- the connection ---

    def begin_dial(self) -> None:
        """Start dialing unless a dial is in progress. Its time counts from this call, not from the task's start."""
        if self.dial_task is None:
            self.dial_started_at = self.loop.time()
            self.dial_task = self.loop.create_task(self.dial())

    async def dial(self) -> None:
        """Establish the connection. If this takes long, waiting calls fail early, so that other peers can be tried."""
        early_failure = self.loop.call_later(UNRESPONSIVE_AFTER + 2 * self.shortest_round_trip, self.fail_pending_calls)
        try:
            connection = await race_dials(self.loop, self.address, self.make_connection)
        except OSError:
            self.dial_task = None
            self.on_dial_failed()
            return
        finally:
            early_failure.cancel()
        self.record_round_trip(self.loop.time() - self.dial_started_at)
        self.dial_task = None
        if connection.closed:
            self.on_dial_failed()
        else:
            self.on_connected(connection)

    def make_connection(self) -> FramedConnection:
        """Create the protocol object of a dialed connection."""
        return FramedConnection(self.on_frame, self.on_closed)

    def on_connected(self, connection: FramedConnection) -> None:
        """Send the frames that wait for the connection."""
        self.connection = connection
        connection.send(Frame(hello=self.sender_name))
        pending, self.pending = self.pending, []
        for entry in pending:
            if entry.on_answer is None:
                connection.send(entry.frame)
            else:
                self.start_call(connection, entry.frame, entry.on_answer, entry.on_sent)

    def on_dial_failed(self) -> None:
        """Fail the waiting calls and drop one-way frames; none of them has been sent."""
        pending, self.pending = self.pending, []
        for entry in pending:
            if entry.on_answer is not None:
                entry.on_answer(None)

    def fail_pending_calls(self) -> None:
        """Fail the waiting calls while a dial attempt hangs; one-way frames continue to wait."""
        calls = [entry.on_answer for entry in self.pending if entry.on_answer is not None]
        self.pending = [entry for entry in self.pending if entry.on_answer is None and not entry.frame.stream]
        for on_answer in calls:
            on_answer(None)

    def on_frame(self, connection: FramedConnection, frame: Frame) -> None:
        """Deliver an answer to its call. Frames of an earlier connection are ignored, as its calls have failed."""
        on_answer = self.open_calls.get(frame.stream)
        if on_answer is not None and connection is self.connection:
            on_answer(frame)

    def on_closed(self, connection: FramedConnection) -> None:
        """Fail the open calls of a closed connection."""
        if connection is self.connection:
            self.connection = None
            calls, self.open_calls = self.open_calls, {}
            for on_answer in calls.values():
                on_answer(None)

    def close(self) -> None:
        """Close the channel and fail its open calls."""
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
        """Return the channel to an address, which is created on first use."""
        channel = self.channels.get(address)
        if channel is None:
            channel = self.channels[address] = Channel(address, self.sender_name)
        return channel

    def is_unresponsive(self, address: Address) -> bool:
        """Return whether there is a channel to an address whose peer has been silent for too long."""
        channel = self.channels.get(address)
        return channel is not None and channel.is_unresponsive()

    def retire(self, address: Address) -> None:
        """Close an idle channel to a peer that has left the mesh.

        A channel with open calls is kept: the leaving peer still completes them, and if it doesn't, the liveness check
        aborts the connection.
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
