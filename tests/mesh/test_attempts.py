"""A route's bound on attempts, over all orders of what may happen to them.

The hops and lines are the real ones; the loop, the links and what stands behind them are models that do one step at a
time, in any order. What counts is what reached an endpoint there, never what the sender believes.
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

HERE = ("127.0.0.1", 1)
THERE = (("127.0.0.2", 1), ("127.0.0.3", 1))
ENDPOINTS = {"here": HERE, "a": THERE[0], "b": THERE[0], "c": THERE[1], "nowhere": None}
BODIES = (b"", b"x" * 600, b"x" * 70_000)  # sent at once; after a knock; in pieces
SPEAKS = 3  # version of the wire
MOST_HOPS = 64  # the policy gives up after fewer; without a bound a refusal at the sender brings another for ever
REACTIONS = ("", "cancel", "send")


class Handle:
    def cancel(self) -> None:
        """Models run nothing by themselves."""


class ModelLoop:
    """Callbacks run one at a time, when the test says so; time passes likewise."""

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


class ModelLink:
    """What the sender put on it, and what the other end answered, in order."""

    def __init__(self, now: float) -> None:
        self.last_received_at = now
        self.lost = False
        self.out: deque[Frame] = deque()
        self.back: deque[Frame] = deque()

    def send(self, frame: Frame) -> None:
        if not self.lost:
            copy = Frame()
            copy.CopyFrom(frame)
            self.out.append(copy)


class Arrival:
    """An attempt as whoever keeps its endpoint sees it."""

    def __init__(self, answer: Callable[[ForwardReply], None], wanted: int, knocks: bool) -> None:
        self.answer, self.wanted, self.knocked = answer, wanted, knocks
        self.begun = self.over = False

    def end(self, made: ForwardReply) -> None:
        self.over = True
        self.answer(made)


class ModelKeeper:
    """Of the endpoint on the sender's own machine."""

    def __init__(self, arrivals: list[Arrival]) -> None:
        self.arrivals = arrivals

    def submit(self, load: ForwardRequest, body: bytes, answer: Callable[[ForwardReply], None]) -> Arrival:
        self.arrivals.append(Arrival(answer, 0, False))
        return self.arrivals[-1]

    def cancel(self, arrival: Arrival) -> bool:
        arrival.over = True
        return arrival.begun


class World:
    """One request, the endpoints that it may be sent to, and the links between."""

    def __init__(self, limit: int, body: bytes, speaks: int, reaction: str = "") -> None:
        self.reaction = reaction
        """What the end of an attempt brings at once: the others are cancelled, or one more is sent."""
        self.loop = ModelLoop()
        self.arrivals: list[Arrival] = []
        self.links: list[ModelLink] = []
        self.streams: dict[tuple[ModelLink, int], Arrival] = {}
        self.hops: list[ForwardAttempt] = []
        budget = RetryBudget(1.0, 10.0, 1000.0)
        with mock.patch.object(asyncio, "get_running_loop", return_value=self.loop):
            self.lines = {a: Channel(a, "me") for a in THERE}
            keeper = cast(Ingress, ModelKeeper(self.arrivals))
            self.wire = Forwarder(HERE, keeper, self.lines.__getitem__, budget, dict.fromkeys(THERE, speaks))
        for endpoint, address in ENDPOINTS.items():
            if address is not None:
                self.wire.set_address(endpoint, address)
        self.order = OutboundRequest(
            service="s",
            id="id",
            head=b"GET / HTTP/1.1\r\n",
            body=body,
            has_body=bool(body),
            safe=True,
            priority=0,
            latency_target_at=1.0,
            attempt_count=AttemptCount(limit),
            received_at=0.0,
        )

    def reached(self) -> int:
        return sum(a.begun for a in self.arrivals)

    # --- one step each; ``n`` chooses among what there is ---

    def start(self, n: int) -> None:
        endpoint = list(ENDPOINTS)[n % len(ENDPOINTS)]
        self.hops.append(self.wire.start(endpoint, self.order, 1.0, self.ended, False))

    def ended(self, *told: Any, **more: Any) -> None:
        if self.reaction == "cancel":
            for hop in self.hops:
                hop.cancel(False)
        elif self.reaction == "send" and len(self.hops) < MOST_HOPS:
            self.start(len(self.hops))

    def cancel(self, n: int) -> None:
        if self.hops:
            self.hops[n % len(self.hops)].cancel(n % 2 == 0)

    def turn(self, n: int) -> None:
        """The loop runs what is due."""
        if self.loop.ready:
            self.loop.ready.popleft()()

    def dialled(self, n: int) -> None:
        """A link comes up, or doesn't, or hangs."""
        line = self.lines[THERE[n % len(THERE)]]
        if line.dial_task is None:
            return
        if n % 8 < 6:
            line.dial_task = None
            self.links.append(ModelLink(self.loop.now))
            line.on_connected(cast(FramedConnection, self.links[-1]))
        elif n % 8 == 6:
            line.dial_task = None
            line.on_dial_failed()
        else:
            line.fail_pending_calls()

    def deliver(self, n: int) -> None:
        """The other end reads a frame."""
        links = [k for k in self.links if k.out]
        if links:
            link = links[n % len(links)]
            self.take(link, link.out.popleft())

    def take(self, link: ModelLink, frame: Frame) -> None:
        key = link, frame.stream
        what = frame.WhichOneof("what")
        if what == "forward_request":
            load = frame.forward_request

            def answer(made: ForwardReply) -> None:
                del self.streams[key]
                link.back.append(Frame(stream=frame.stream, forward_reply=made))

            self.streams[key] = Arrival(answer, load.length - len(load.body), load.reserve_first)
            self.arrivals.append(self.streams[key])
        elif what == "body_chunk" and key in self.streams:
            self.streams[key].wanted -= len(frame.body_chunk.data)
        elif what == "cancel" and key in self.streams:
            self.streams.pop(key).over = True

    def waiting(self) -> list[Arrival]:
        return [a for a in self.arrivals if not a.over]

    def keep(self, n: int) -> None:
        """Whoever keeps the endpoint of an attempt decides on it."""
        choice, n = n % 4, n // 4
        waiting = self.waiting()
        if not waiting:
            return
        arrival = waiting[n % len(waiting)]
        if arrival.begun:
            made = (
                ForwardReply(outcome=AttemptOutcome.EXECUTED, status=200, sent_to_endpoint=True),
                ForwardReply(
                    outcome=AttemptOutcome.NO_CAPACITY, status=503, sent_to_endpoint=True, reason="turned away"
                ),
                ForwardReply(outcome=AttemptOutcome.UNKNOWN, sent_to_endpoint=True),
                ForwardReply(outcome=AttemptOutcome.EXECUTED, status=500, sent_to_endpoint=True),
            )[choice]
            arrival.end(made)
        elif choice == 0:
            arrival.end(ForwardReply(outcome=AttemptOutcome.NO_CAPACITY, reason="queue"))
        elif choice == 1:
            arrival.end(ForwardReply(outcome=AttemptOutcome.NOT_EXECUTED, reason="draining"))
        elif arrival.knocked:
            self.let_come(arrival)
        elif arrival.wanted <= 0:
            arrival.begun = True

    def let_come(self, arrival: Arrival) -> None:
        arrival.knocked = False
        for (link, stream), known in self.streams.items():
            if known is arrival:
                link.back.append(Frame(stream=stream, reservation_granted=True))

    def answered(self, n: int) -> None:
        """The sender reads a frame."""
        lines = [k for k in self.lines.values() if k.connection is not None and cast(ModelLink, k.connection).back]
        if lines:
            line = lines[n % len(lines)]
            assert line.connection is not None
            line.on_frame(line.connection, cast(ModelLink, line.connection).back.popleft())

    def lose(self, n: int) -> None:
        """The sender loses a link. What is on its way may arrive all the same."""
        line = self.lines[THERE[n % len(THERE)]]
        link = cast(ModelLink, line.connection)
        if link is not None:
            link.lost = True
            if n % 4 < 2:
                link.out.clear()
            line.on_closed(cast(FramedConnection, link))

    def closed(self, n: int) -> None:
        """The other end learns of a loss."""
        for link in [k for k in self.links if k.lost and not k.out]:
            for key in [k for k in self.streams if k[0] is link]:
                self.streams.pop(key).over = True

    def wait(self, n: int) -> None:
        self.loop.now += 0.02

    WEIGHTS = (*(start, dialled, deliver, keep, answered) * 3, cancel, cancel, turn, turn, lose, closed, wait)

    def send_all(self) -> None:
        """The sender tries what it can for as many attempts as it may, and the links come up."""
        self.reaction = ""
        while self.loop.ready:
            self.turn(0)
        self.loop.now += 1.0
        for n in range(2 * len(ENDPOINTS)):
            self.start(n)
        for n in range(len(THERE)):
            self.dialled(n)
        while self.loop.ready:
            self.turn(0)

    def all_arrives(self) -> None:
        """What is under way arrives, and whatever may begin does."""
        while any(k.out for k in self.links):
            self.deliver(0)
            for arrival in self.waiting():
                if arrival.knocked:
                    self.let_come(arrival)
            while any(k.connection is not None and cast(ModelLink, k.connection).back for k in self.lines.values()):
                self.answered(0)
        for arrival in self.waiting():
            if arrival.wanted <= 0:
                arrival.begun = True


ANY_STEPS = st.lists(st.tuples(st.sampled_from(World.WEIGHTS), st.integers(0, 47)), min_size=4, max_size=50)


class Bound(unittest.TestCase):
    @settings(max_examples=1500, deadline=None, derandomize=True)
    @given(
        st.integers(1, 3), st.sampled_from(BODIES), st.sampled_from((1, SPEAKS)), st.sampled_from(REACTIONS), ANY_STEPS
    )
    def test_no_order_of_events_reaches_more_endpoints_than_the_route_allows(
        self,
        limit: int,
        body: bytes,
        speaks: int,
        reaction: str,
        steps: list[tuple[Callable[[World, int], None], int]],
    ) -> None:
        world = World(limit, body, speaks, reaction)
        for step, n in steps:
            step(world, n)
            self.assertLessEqual(world.reached(), limit)
        world.send_all()
        world.all_arrives()
        self.assertLessEqual(world.reached(), limit)

    def test_what_was_never_sent_is_not_taken_back(self) -> None:
        """Two are out; one that ends at the sender itself makes no room for a third."""
        world = World(2, b"", SPEAKS)
        for endpoint in (1, 3):  # a and c
            world.start(endpoint)
        world.start(4)  # it has no place
        while world.loop.ready:
            world.turn(0)
        world.start(2)
        for address in range(2):
            world.dialled(address)
        world.all_arrives()
        self.assertEqual(world.reached(), 2)

    def test_one_that_waits_for_room_counts_until_it_is_cancelled(self) -> None:
        world = World(1, BODIES[1], SPEAKS)
        world.start(1)
        world.dialled(0)
        world.deliver(0)  # hello
        world.deliver(0)  # it knocks
        world.start(3)
        self.assertIsNone(world.hops[1].channel)  # not sent
        world.let_come(world.arrivals[0])
        world.cancel(0)  # crosses the word that it may come
        world.start(3)
        self.assertIsNotNone(world.hops[2].channel)
        while world.lines[THERE[0]].connection.back:  # type: ignore[union-attr]
            world.answered(0)
        world.dialled(1)
        world.all_arrives()
        self.assertEqual([a.begun for a in world.arrivals], [False, True])

    def test_a_cancel_while_its_link_is_being_lost_takes_nothing_back(self) -> None:
        """The end of one attempt cancels the other before that has heard of the loss: it was sent all the same."""
        world = World(2, b"", SPEAKS, "cancel")
        world.start(1)
        world.start(2)
        world.dialled(0)
        world.lose(2)
        world.start(3)
        world.dialled(1)
        world.all_arrives()
        self.assertEqual(world.reached(), 2)


class Repeats(unittest.TestCase):
    """Arrivals beyond the first of each request count, and so does whatever a repeat's run calls."""

    def loads(self, world: World) -> list[bool]:
        for n in range(len(THERE)):
            world.dialled(n)
        frames = [frame for link in world.links for frame in link.out]
        return [frame.forward_request.retry for frame in frames if frame.WhichOneof("what") == "forward_request"]

    def test_a_further_attempt_says_that_it_is_one(self) -> None:
        world = World(2, b"", SPEAKS)
        world.start(1)
        world.start(3)
        self.assertEqual(self.loads(world), [False, True])
        self.assertEqual(world.wire.retry_budget.retries.total, 1)

    def test_a_call_of_a_repeat_counts_from_its_first_attempt(self) -> None:
        world = World(2, b"", SPEAKS)
        world.order.is_retry = True
        world.start(1)
        self.assertEqual(self.loads(world), [True])
        self.assertEqual(world.wire.retry_budget.retries.total, 1)

    def test_one_that_reached_nobody_does_not_count(self) -> None:
        world = World(2, b"", SPEAKS)
        world.order.is_retry = True
        world.start(1)
        world.hops[0].cancel(False)
        self.assertEqual(world.wire.retry_budget.retries.total, 0)


class Count(unittest.TestCase):
    def test_taken_back_once(self) -> None:
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
