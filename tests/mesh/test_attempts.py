"""A route's limit on attempts, under all orders of events.

The attempts and channels are the real ones; the event loop, the connections and the ingresses behind them are models
that advance one step at a time, in any order. The test counts what reached an endpoint, whatever the sender assumes.
"""

from __future__ import annotations

import asyncio
import unittest
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, cast
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from zinclever.mesh.attempt_outcome import AttemptOutcome
from zinclever.mesh.dataplane.attempt_count import AttemptCount
from zinclever.mesh.dataplane.forwarding import ForwardAttempt, Forwarder
from zinclever.mesh.dataplane.ingress import Ingress
from zinclever.mesh.dataplane.outbound_request import OutboundRequest
from zinclever.mesh.dataplane.retry_budget import RetryBudget
from zinclever.mesh.transport.channel import Channel
from zinclever.mesh.transport.framed_connection import FramedConnection
from zinclever.mesh.transport.mesh_pb2 import ForwardReply, ForwardRequest, Frame

LOCAL = ("127.0.0.1", 1)
REMOTE = (("127.0.0.2", 1), ("127.0.0.3", 1))
ENDPOINTS = {"here": LOCAL, "a": REMOTE[0], "b": REMOTE[0], "c": REMOTE[1], "nowhere": None}
BODIES = (b"", b"x" * 600, b"x" * 70_000)  # sent immediately; after a reservation; in chunks
PROTOCOL_VERSION = 3  # protocol version of the other sidecars
MAX_ATTEMPTS = 64  # the balancer stops earlier; without a limit, a refused attempt would start another forever
REACTIONS = ("", "cancel", "send")


class Handle:
    def cancel(self) -> None:
        """Do nothing: the model never runs timers or tasks."""


class ModelLoop:
    """An event loop whose callbacks run one at a time under control of the test, as does time."""

    def __init__(self) -> None:
        self.now = 0.0
        self.ready: deque[Callable[[], None]] = deque()

    def time(self) -> float:
        return self.now

    def call_soon(self, callback: Callable[..., None], *arguments: Any) -> None:
        self.ready.append(lambda: callback(*arguments))

    def call_later(self, delay: float, callback: Callable[..., None], *arguments: Any) -> Handle:
        return Handle()

    def create_task(self, coroutine: Coroutine[Any, Any, None]) -> Handle:
        coroutine.close()
        return Handle()


class ModelConnection:
    """A connection: the frames sent on it and the frames of the replies, in order."""

    def __init__(self, now: float) -> None:
        self.last_received_at = now
        self.lost = False
        self.sent_frames: deque[Frame] = deque()
        self.reply_frames: deque[Frame] = deque()

    def send(self, frame: Frame) -> None:
        if not self.lost:
            copy = Frame()
            copy.CopyFrom(frame)
            self.sent_frames.append(copy)


class ReceivedAttempt:
    """An attempt as seen by the ingress of its endpoint."""

    def __init__(self, on_reply: Callable[[ForwardReply], None], missing_bytes: int, awaits_reservation: bool) -> None:
        self.on_reply, self.missing_bytes, self.awaits_reservation = on_reply, missing_bytes, awaits_reservation
        self.is_started = self.is_ended = False

    def end(self, reply: ForwardReply) -> None:
        self.is_ended = True
        self.on_reply(reply)


class ModelIngress:
    """The ingress of the endpoint on the sender's own machine."""

    def __init__(self, received_attempts: list[ReceivedAttempt]) -> None:
        self.received_attempts = received_attempts

    def submit(self, forward: ForwardRequest, body: bytes, on_reply: Callable[[ForwardReply], None]) -> ReceivedAttempt:
        self.received_attempts.append(ReceivedAttempt(on_reply, 0, False))
        return self.received_attempts[-1]

    def cancel(self, received: ReceivedAttempt) -> bool:
        received.is_ended = True
        return received.is_started


class AttemptModel:
    """One request, the endpoints that it may be sent to, and the connections between."""

    def __init__(self, limit: int, body: bytes, protocol_version: int, reaction: str = "") -> None:
        self.reaction = reaction
        """What happens when an attempt ends: the others are cancelled, or another one is started."""
        self.loop = ModelLoop()
        self.received_attempts: list[ReceivedAttempt] = []
        self.connections: list[ModelConnection] = []
        self.streams: dict[tuple[ModelConnection, int], ReceivedAttempt] = {}
        self.attempts: list[ForwardAttempt] = []
        budget = RetryBudget(1.0, 10.0, 1000.0)
        with mock.patch.object(asyncio, "get_running_loop", return_value=self.loop):
            self.channels = {a: Channel(a, "me") for a in REMOTE}
            ingress = cast(Ingress, ModelIngress(self.received_attempts))
            self.forwarder = Forwarder(
                LOCAL, ingress, self.channels.__getitem__, budget, dict.fromkeys(REMOTE, protocol_version)
            )
        for endpoint, address in ENDPOINTS.items():
            if address is not None:
                self.forwarder.set_address(endpoint, address)
        self.request = OutboundRequest(
            service="s",
            id="id",
            head=b"GET / HTTP/1.1\r\n",
            body=body,
            has_body=bool(body),
            is_idempotent=True,
            priority=0,
            latency_target_at=1.0,
            attempt_count=AttemptCount(limit),
            received_at=0.0,
        )

    def reached_count(self) -> int:
        return sum(a.is_started for a in self.received_attempts)

    # --- one step each; ``n`` selects among the possibilities ---

    def start(self, n: int) -> None:
        endpoint = list(ENDPOINTS)[n % len(ENDPOINTS)]
        self.attempts.append(self.forwarder.start(endpoint, self.request, 1.0, self.on_ended, False))

    def on_ended(self, *args: Any, **kwargs: Any) -> None:
        if self.reaction == "cancel":
            for attempt in self.attempts:
                attempt.cancel(False)
        elif self.reaction == "send" and len(self.attempts) < MAX_ATTEMPTS:
            self.start(len(self.attempts))

    def cancel(self, n: int) -> None:
        if self.attempts:
            self.attempts[n % len(self.attempts)].cancel(n % 2 == 0)

    def run_callback(self, n: int) -> None:
        """Run the next callback of the loop."""
        if self.loop.ready:
            self.loop.ready.popleft()()

    def complete_dial(self, n: int) -> None:
        """Complete a dial, fail it, or leave it pending."""
        channel = self.channels[REMOTE[n % len(REMOTE)]]
        if channel.dial_task is None:
            return
        if n % 8 < 6:
            channel.dial_task = None
            self.connections.append(ModelConnection(self.loop.now))
            channel.on_connected(cast(FramedConnection, self.connections[-1]))
        elif n % 8 == 6:
            channel.dial_task = None
            channel.on_dial_failed()
        else:
            channel.fail_pending_calls()

    def deliver_frame(self, n: int) -> None:
        """Deliver a frame to the other end."""
        connections = [k for k in self.connections if k.sent_frames]
        if connections:
            connection = connections[n % len(connections)]
            self.receive_frame(connection, connection.sent_frames.popleft())

    def receive_frame(self, connection: ModelConnection, frame: Frame) -> None:
        key = connection, frame.stream
        frame_kind = frame.WhichOneof("what")
        if frame_kind == "forward_request":
            forward = frame.forward_request

            def on_reply(reply: ForwardReply) -> None:
                del self.streams[key]
                connection.reply_frames.append(Frame(stream=frame.stream, forward_reply=reply))

            self.streams[key] = ReceivedAttempt(on_reply, forward.length - len(forward.body), forward.reserve_first)
            self.received_attempts.append(self.streams[key])
        elif frame_kind == "body_chunk" and key in self.streams:
            self.streams[key].missing_bytes -= len(frame.body_chunk.data)
        elif frame_kind == "cancel" and key in self.streams:
            self.streams.pop(key).is_ended = True

    def open_attempts(self) -> list[ReceivedAttempt]:
        return [a for a in self.received_attempts if not a.is_ended]

    def decide(self, n: int) -> None:
        """Decide on an attempt at the ingress of its endpoint."""
        choice, n = n % 4, n // 4
        open_attempts = self.open_attempts()
        if not open_attempts:
            return
        received = open_attempts[n % len(open_attempts)]
        if received.is_started:
            reply = (
                ForwardReply(outcome=AttemptOutcome.EXECUTED, status=200, sent_to_endpoint=True),
                ForwardReply(
                    outcome=AttemptOutcome.NO_CAPACITY, status=503, sent_to_endpoint=True, reason="turned away"
                ),
                ForwardReply(outcome=AttemptOutcome.UNKNOWN, sent_to_endpoint=True),
                ForwardReply(outcome=AttemptOutcome.EXECUTED, status=500, sent_to_endpoint=True),
            )[choice]
            received.end(reply)
        elif choice == 0:
            received.end(ForwardReply(outcome=AttemptOutcome.NO_CAPACITY, reason="queue"))
        elif choice == 1:
            received.end(ForwardReply(outcome=AttemptOutcome.NOT_EXECUTED, reason="draining"))
        elif received.awaits_reservation:
            self.grant_reservation(received)
        elif received.missing_bytes <= 0:
            received.is_started = True

    def grant_reservation(self, received: ReceivedAttempt) -> None:
        received.awaits_reservation = False
        for (connection, stream), candidate in self.streams.items():
            if candidate is received:
                connection.reply_frames.append(Frame(stream=stream, reservation_granted=True))

    def receive_reply(self, n: int) -> None:
        """Deliver a reply frame to the sender."""
        channels = [
            k
            for k in self.channels.values()
            if k.connection is not None and cast(ModelConnection, k.connection).reply_frames
        ]
        if channels:
            channel = channels[n % len(channels)]
            assert channel.connection is not None
            channel.on_frame(channel.connection, cast(ModelConnection, channel.connection).reply_frames.popleft())

    def lose_connection(self, n: int) -> None:
        """Lose a connection at the sender. Frames in transit may still arrive."""
        channel = self.channels[REMOTE[n % len(REMOTE)]]
        connection = cast(ModelConnection, channel.connection)
        if connection is not None:
            connection.lost = True
            if n % 4 < 2:
                connection.sent_frames.clear()
            channel.on_closed(cast(FramedConnection, connection))

    def detect_loss(self, n: int) -> None:
        """Let the other end detect a lost connection."""
        for connection in [k for k in self.connections if k.lost and not k.sent_frames]:
            for key in [k for k in self.streams if k[0] is connection]:
                self.streams.pop(key).is_ended = True

    def advance_time(self, n: int) -> None:
        self.loop.now += 0.02

    WEIGHTS = (
        *(start, complete_dial, deliver_frame, decide, receive_reply) * 3,
        cancel,
        cancel,
        run_callback,
        run_callback,
        lose_connection,
        detect_loss,
        advance_time,
    )

    def start_all(self) -> None:
        """Start as many attempts as the sender allows, and complete all dials."""
        self.reaction = ""
        while self.loop.ready:
            self.run_callback(0)
        self.loop.now += 1.0
        for n in range(2 * len(ENDPOINTS)):
            self.start(n)
        for n in range(len(REMOTE)):
            self.complete_dial(n)
        while self.loop.ready:
            self.run_callback(0)

    def deliver_all(self) -> None:
        """Deliver all frames in transit, and start every attempt that may be started."""
        while any(k.sent_frames for k in self.connections):
            self.deliver_frame(0)
            for received in self.open_attempts():
                if received.awaits_reservation:
                    self.grant_reservation(received)
            while any(
                k.connection is not None and cast(ModelConnection, k.connection).reply_frames
                for k in self.channels.values()
            ):
                self.receive_reply(0)
        for received in self.open_attempts():
            if received.missing_bytes <= 0:
                received.is_started = True


ANY_STEPS = st.lists(st.tuples(st.sampled_from(AttemptModel.WEIGHTS), st.integers(0, 47)), min_size=4, max_size=50)


class AttemptLimit(unittest.TestCase):
    @settings(max_examples=1500, deadline=None, derandomize=True)
    @given(
        st.integers(1, 3),
        st.sampled_from(BODIES),
        st.sampled_from((1, PROTOCOL_VERSION)),
        st.sampled_from(REACTIONS),
        ANY_STEPS,
    )
    def test_no_order_of_events_reaches_more_endpoints_than_the_route_allows(
        self,
        limit: int,
        body: bytes,
        protocol_version: int,
        reaction: str,
        steps: list[tuple[Callable[[AttemptModel, int], None], int]],
    ) -> None:
        model = AttemptModel(limit, body, protocol_version, reaction)
        for step, n in steps:
            step(model, n)
            self.assertLessEqual(model.reached_count(), limit)
        model.start_all()
        model.deliver_all()
        self.assertLessEqual(model.reached_count(), limit)

    def test_unsent_attempt_frees_no_capacity_for_another(self) -> None:
        """With two attempts in flight, one that fails before it is sent must not permit a third."""
        model = AttemptModel(2, b"", PROTOCOL_VERSION)
        for endpoint in (1, 3):  # a and c
            model.start(endpoint)
        model.start(4)  # it has no address
        while model.loop.ready:
            model.run_callback(0)
        model.start(2)
        for address in range(2):
            model.complete_dial(address)
        model.deliver_all()
        self.assertEqual(model.reached_count(), 2)

    def test_attempt_awaiting_a_reservation_counts_until_cancelled(self) -> None:
        model = AttemptModel(1, BODIES[1], PROTOCOL_VERSION)
        model.start(1)
        model.complete_dial(0)
        model.deliver_frame(0)  # the hello frame
        model.deliver_frame(0)  # the request, which requires a reservation
        model.start(3)
        self.assertIsNone(model.attempts[1].channel)  # not sent
        model.grant_reservation(model.received_attempts[0])
        model.cancel(0)  # crosses the granted reservation
        model.start(3)
        self.assertIsNotNone(model.attempts[2].channel)
        while model.channels[REMOTE[0]].connection.reply_frames:  # type: ignore[union-attr]
            model.receive_reply(0)
        model.complete_dial(1)
        model.deliver_all()
        self.assertEqual([a.is_started for a in model.received_attempts], [False, True])

    def test_cancellation_during_connection_loss_releases_nothing(self) -> None:
        """An attempt that was sent still counts if it is cancelled before the connection loss is reported to it."""
        model = AttemptModel(2, b"", PROTOCOL_VERSION, "cancel")
        model.start(1)
        model.start(2)
        model.complete_dial(0)
        model.lose_connection(2)
        model.start(3)
        model.complete_dial(1)
        model.deliver_all()
        self.assertEqual(model.reached_count(), 2)


class Retries(unittest.TestCase):
    """Attempts beyond the first of each request count as retries, and so do the calls that a retry issues."""

    def retry_flags(self, model: AttemptModel) -> list[bool]:
        for n in range(len(REMOTE)):
            model.complete_dial(n)
        frames = [frame for connection in model.connections for frame in connection.sent_frames]
        return [frame.forward_request.retry for frame in frames if frame.WhichOneof("what") == "forward_request"]

    def test_additional_attempt_is_flagged_as_retry(self) -> None:
        model = AttemptModel(2, b"", PROTOCOL_VERSION)
        model.start(1)
        model.start(3)
        self.assertEqual(self.retry_flags(model), [False, True])
        self.assertEqual(model.forwarder.retry_budget.retries.total, 1)

    def test_call_issued_by_a_retry_counts_from_its_first_attempt(self) -> None:
        model = AttemptModel(2, b"", PROTOCOL_VERSION)
        model.request.issued_by_retry = True
        model.start(1)
        self.assertEqual(self.retry_flags(model), [True])
        self.assertEqual(model.forwarder.retry_budget.retries.total, 1)

    def test_cancelled_unsent_retry_does_not_count(self) -> None:
        model = AttemptModel(2, b"", PROTOCOL_VERSION)
        model.request.issued_by_retry = True
        model.start(1)
        model.attempts[0].cancel(False)
        self.assertEqual(model.forwarder.retry_budget.retries.total, 0)


class Release(unittest.TestCase):
    def test_release_takes_effect_once(self) -> None:
        count = AttemptCount(2)
        first, second = count.reserve(), count.reserve()
        assert first is not None and second is not None
        self.assertIsNone(count.reserve())
        count.release(first)
        count.release(first)
        self.assertEqual(count.reserved, 1)
        self.assertIsNotNone(count.reserve())
        self.assertIsNone(count.reserve())


if __name__ == "__main__":
    unittest.main()
