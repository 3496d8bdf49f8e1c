"""Attempts, their outcomes and final answers, over HTTP connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable
from dataclasses import replace

import pytest
from helpers import LIMITS
from loopback import (
    Message,
    Peer,
    Reaction,
    always,
    closed_port,
    host_here,
    known,
    response,
    run,
    run_real,
    serving,
    sidecar,
    silence,
)

from zinclever import interface
from zinclever.core.descriptors import DESCRIPTOR_RESERVE
from zinclever.http1.wire import Payload


def send_to(*endpoints: str, expires: float = 0.0) -> Reaction:
    """Sends each request to the endpoints in turn, to the next one after a failure, and fails it after the last."""

    def react(event: interface.Event) -> Iterable[interface.Action]:
        if isinstance(event, interface.RequestArrived):
            yield interface.Send(event.request, endpoints[0], expires and event.deadline - 9000.0 + expires)
        elif isinstance(event, interface.AttemptEnded) and not event.complete:
            if event.attempt + 1 < len(endpoints):
                yield interface.Send(event.request, endpoints[event.attempt + 1], 0.0)
            else:
                yield interface.Fail(event.request)

    return react


def test_request_and_answer_pass_unchanged() -> None:
    """Guards against altering a request or an answer."""

    async def test() -> None:
        answer = response(200, b"\x00page", Content_Type="image/png", Srv_Load='{"queue":3}')
        async with serving(always(answer)) as (peer, at), sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            received = await c.fetch(
                "/unlock/7?a=b%20c",
                method="POST",
                body=b"\x01\x02",
                Idempotency_Key="k",
                Cookie="a=1; key=77",
                Req_Cost="1500",
                Req_Retry="1",
            )
            assert (received.status, received.body) == (200, b"\x00page")
            assert received.headers["content-type"] == "image/png" and "srv-load" not in received.headers
            sent = peer.requests[0][1]
            assert sent.start == "POST /unlock/7?a=b%20c HTTP/1.1" and sent.body == b"\x01\x02"
            assert sent.headers["req-id"] == "r1" and sent.headers["idempotency-key"] == "k"
            assert 8.0 < float(sent.headers["req-deadline"]) < 9.0
            _, arrival = s.balancer.received_events[1]
            assert isinstance(arrival, interface.RequestArrived)
            assert (arrival.klass, arrival.key, arrival.work, arrival.client_retry) == (1, "77", 1.5, True)
            (end,) = s.balancer.ends()
            assert end.complete and end.outcome == "served" and end.report == {"queue": 3.0}
            assert not s.sidecar.requests

    run(test)


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (response(503, Srv_Declined="1"), "full"),
        (response(504, Srv_Declined="1"), "full"),
        (response(503), "error"),
        (response(503, Srv_Declined="0"), "error"),
        (response(500, Srv_Declined="1"), "error"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", None),
        (b"no HTTP at all\r\n\r\n", "reset"),
        (None, "reset"),
    ],
)
def test_outcome_of_an_answer(answer: bytes | None, outcome: str | None) -> None:
    """Guards against reporting as never run what may have run, and against serving an incomplete answer."""

    async def script(message: Message, peer: Peer) -> bytes | None:
        if outcome is None and answer is not None:
            peer.writers[-1].write(answer)
            return None
        return answer

    async def test() -> None:
        async with serving(script) as (_, at), sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            assert (await c.fetch()).status == 502
            assert [e.outcome for e in s.balancer.ends()] == [outcome or "reset"]

    run(test)


def test_refused_connection_is_retried_at_the_next_endpoint() -> None:
    async def test() -> None:
        async with (
            serving(always(response())) as (_, at),
            sidecar(send_to("down", "up"), known(down=closed_port(), up=at)) as s,
        ):
            c = await s.client()
            assert (await c.fetch()).status == 200
            assert [e.outcome for e in s.balancer.ends()] == ["connect_failed", "served"]
            assert [e.complete for e in s.balancer.ends()] == [False, True]

    run(test)


def test_timeout_closes_the_connection_and_reports_the_elapsed_time() -> None:
    """Guards against endpoints that keep working on abandoned requests, and against wrong latency statistics."""

    async def test() -> None:
        async with serving(silence) as (peer, at), sidecar(send_to("e", expires=300.0), known(e=at)) as s:
            c = await s.client()
            assert (await c.fetch()).status == 502
            (end,) = s.balancer.ends()
            assert end.outcome == "timeout" and end.elapsed >= 250.0
            assert await peer.ended.get() == 0

    run(test)


def test_cancelled_attempts_are_reported_once() -> None:
    """Guards against a cancelled attempt that is reported never or twice, or that runs on."""

    def react(event: interface.Event) -> Iterable[interface.Action]:
        if isinstance(event, interface.RequestArrived):
            yield interface.Send(event.request, "slow", 0.0)
            yield interface.Send(event.request, "fast", 0.0)
        elif isinstance(event, interface.AttemptEnded) and event.outcome == "served":
            yield interface.Cancel(event.request, 0)
            yield interface.Cancel(event.request, 0)
            yield interface.Cancel(event.request, 1)
            yield interface.Send(event.request, "fast", 0.0)

    async def test() -> None:
        async with serving(silence) as (slow, a):

            async def after_slow(message: Message, peer: Peer) -> bytes | None:
                await slow.arrived.get()
                return response()

            async with serving(after_slow) as (fast, b), sidecar(react, known(slow=a, fast=b)) as s:
                c = await s.client()
                assert (await c.fetch()).status == 200
                assert await slow.ended.get() == 0
                await s.balancer.until(lambda: len(s.balancer.ends()) >= 3)
                assert [(e.attempt, e.outcome, e.complete) for e in s.balancer.ends()] == [
                    (1, "served", True),
                    (0, "cancelled", True),
                    (2, "not_sent", True),
                ]
                assert len(fast.requests) == 1 and not s.sidecar.requests

    run(test)


def test_attempts_are_limited() -> None:
    async def test() -> None:
        many = ["e"] * (LIMITS.max_attempts + 1)
        async with serving(always(response(500))) as (peer, at), sidecar(send_to(*many), known(e=at)) as s:
            c = await s.client()
            assert (await c.fetch()).status == 502
            assert [e.outcome for e in s.balancer.ends()] == ["error"] * LIMITS.max_attempts + ["not_sent"]
            assert len(peer.requests) == LIMITS.max_attempts

    run(test)


def test_refusal_with_retry_after_and_failure() -> None:
    def react(event: interface.Event) -> Iterable[interface.Action]:
        if isinstance(event, interface.RequestArrived):
            yield interface.Refuse(event.request, 1500.0) if event.klass == 0 else interface.Fail(event.request)

    async def test() -> None:
        async with sidecar(react, known(e=closed_port())) as s:
            c = await s.client()
            refused = await c.fetch()
            assert refused.status == 503 and float(refused.headers["retry-after"]) == 1.5
            failed = await c.fetch("/tip", method="POST", Req_Id="r2")
            assert failed.status == 502 and "retry-after" not in failed.headers

    run(test)


@pytest.mark.parametrize(
    ("target", "endpoint", "status"),
    [
        ("/tip", "", 503),  # nothing was sent
        ("/tip", "hung", 502),  # it may have run
        ("/read", "hung", 503),  # a repeat is harmless whatever ran
    ],
)
def test_guard_answers_before_the_deadline(target: str, endpoint: str, status: int) -> None:
    """Guards against a request that the balancer never answers, and against refusing what may have run."""

    def react(event: interface.Event) -> Iterable[interface.Action]:
        if isinstance(event, interface.RequestArrived) and endpoint:
            yield interface.Send(event.request, endpoint, 0.0)

    async def test() -> None:
        async with serving(silence) as (_, at), sidecar(react, known(hung=at)) as s:
            c = await s.client()
            started_at = asyncio.get_running_loop().time()
            method = "POST" if target == "/tip" else "GET"
            received = await c.fetch(target, method=method, Req_Deadline="1.0")
            assert received.status == status and asyncio.get_running_loop().time() - started_at > 0.8
            closed = [t for t, e in s.balancer.received_events if isinstance(e, interface.RequestClosed)]
            deadlines = [e.deadline for _, e in s.balancer.received_events if isinstance(e, interface.RequestArrived)]
            assert len(closed) == 1 and not s.sidecar.requests
            assert deadlines[0] - s.balancer.received_events[1][0] < 1000.0

    run(test)


def test_exception_in_the_balancer_is_answered() -> None:
    """Guards against an exception that leaves the client waiting until its deadline."""

    def react(event: interface.Event) -> Iterable[interface.Action]:
        if isinstance(event, interface.RequestArrived):
            raise ZeroDivisionError
        return ()

    async def test() -> None:
        async with sidecar(react, known(e=closed_port())) as s:
            c = await s.client()
            assert (await c.fetch("/tip", method="POST")).status == 503
            assert not s.sidecar.requests

    run(test)


def test_client_disconnect_cancels_the_attempt() -> None:
    def react(event: interface.Event) -> Iterable[interface.Action]:
        if isinstance(event, interface.RequestArrived):
            yield interface.Send(event.request, "e", 0.0)
        elif isinstance(event, interface.RequestClosed):
            yield interface.Cancel(event.request, 0)

    async def test() -> None:
        async with serving(silence) as (peer, at), sidecar(react, known(e=at)) as s:
            c = await s.client()
            c.send()
            await peer.arrived.get()
            c.writer.close()
            assert await peer.ended.get() == 0
            await s.balancer.until(lambda: bool(s.balancer.ends()))
            (end,) = s.balancer.ends()
            assert end.outcome == "cancelled" and end.complete and not s.sidecar.requests

    run(test)


def test_nothing_is_sent_after_the_answer() -> None:
    """Guards against sending an attempt that is still dialling when its request is answered."""

    def react(event: interface.Event) -> Iterable[interface.Action]:
        if isinstance(event, interface.RequestArrived):
            yield interface.Send(event.request, "e", 0.0)
            yield interface.Refuse(event.request)

    async def test() -> None:
        async with serving(always(response())) as (peer, at), sidecar(react, known(e=at)) as s:
            c = await s.client()
            assert (await c.fetch()).status == 503
            await s.balancer.until(lambda: bool(s.balancer.ends()))
            assert [e.outcome for e in s.balancer.ends()] == ["not_sent"]
            s.balancer.react = send_to("e")
            assert (await c.fetch(Req_Id="r2")).status == 200
            assert [m.headers["req-id"] for _, m in peer.requests] == ["r2"]

    run(test)


def test_timers_fire_when_due() -> None:
    """Guards against a timer that fires early, which a balancer would set over and over."""
    due: list[float] = []

    def react(event: interface.Event) -> Iterable[interface.Action]:
        if isinstance(event, interface.RequestArrived):
            due.append(event.deadline - 9000.0 + 50.0)
            yield interface.SetTimer(due[0], "x")
        elif isinstance(event, interface.TimerFired):
            assert event.token == "x"
            yield interface.Refuse("r1")

    async def test() -> None:
        async with sidecar(react, known(e=closed_port())) as s:
            c = await s.client()
            assert (await c.fetch()).status == 503
            fired = [t for t, e in s.balancer.received_events if isinstance(e, interface.TimerFired)]
            assert len(fired) == 1 and fired[0] >= due[0]
            assert abs(fired[0] - host_here().time_ns() / 1e6) < 10_000.0, "the clock reads Unix time"

    run(test)


def test_connections_are_reused_newest_first() -> None:
    """Guards against a handshake for each request, and against two requests at once on one connection."""

    async def test() -> None:
        both = asyncio.Event()

        async def script(message: Message, peer: Peer) -> bytes | None:
            if len(peer.requests) < 2:
                await both.wait()
            both.set()
            return response()

        async with serving(script) as (peer, at), sidecar(send_to("e"), known(e=at)) as s:
            a, b = await s.client(), await s.client()
            a.send(Req_Id="r1")
            await peer.arrived.get()
            b.send(Req_Id="r2")
            assert {(await a.answer()).status, (await b.answer()).status} == {200}
            assert [n for n, _ in peer.requests] == [0, 1]
            newest = next(iter(s.wire.pools["e"].idle[-1:]))
            port = newest.sock.getsockname()[1]
            assert (await a.fetch(Req_Id="r3")).status == 200
            used = peer.requests[-1][0]
            assert peer.writers[used].get_extra_info("peername")[1] == port and peer.connections == 2

    run(test)


@pytest.mark.parametrize("stray", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"])
def test_stale_connection_is_not_reused(stray: bytes) -> None:
    """Guards against reusing a connection that its endpoint has closed, or that has unread data of an earlier answer.

    The loop has not read either yet when the next request is sent.
    """

    async def test() -> None:
        async with serving(always(response())) as (peer, at), sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            assert (await c.fetch()).status == 200
            (connection,) = s.wire.idle
            assert connection.reusable()
            other = peer.writers[0].get_extra_info("socket")
            raw = socket.fromfd(other.fileno(), socket.AF_INET, socket.SOCK_STREAM)
            if stray:
                raw.send(stray)
            else:
                raw.shutdown(socket.SHUT_WR)
            raw.close()
            assert not connection.reusable()
            s.wire.start("e", Payload(b"", b""), 1.0, lambda *args: None, False)
            assert connection not in s.wire.idle

    run_real(test)


def test_idle_connection_is_closed_before_its_endpoint_does() -> None:
    async def test() -> None:
        limits = replace(LIMITS, connection_idle=400.0)
        async with (
            serving(always(response())) as (peer, at),
            sidecar(send_to("e"), known(e=at), limits=limits) as s,
        ):
            c = await s.client()
            assert (await c.fetch()).status == 200
            assert 0.2 < s.wire.idle_timeout < 0.4
            assert await peer.ended.get() == 0
            assert not s.wire.idle and not s.wire.pools["e"].idle

    run(test)


def test_descriptors_are_limited() -> None:
    """Guards against running out of descriptors: idle connections are closed first, then attempts fail."""

    async def test() -> None:
        async with (
            serving(always(response())) as (a, at_a),
            serving(silence) as (b, at_b),
            sidecar(send_to("a"), known(a=at_a, b=at_b), sockets=DESCRIPTOR_RESERVE + 4) as s,
        ):
            one, two = await s.client(), await s.client()
            assert (await one.fetch()).status == 200
            s.balancer.react = send_to("b")
            one.send(Req_Id="r2")
            await b.arrived.get()
            assert s.sidecar.descriptors.open == 2
            two.send(Req_Id="r3")
            assert await a.ended.get() == 0  # the idle connection is evicted
            await b.arrived.get()
            three = await s.client()
            assert (await three.fetch(Req_Id="r4")).status == 502
            assert s.balancer.ends()[-1].outcome == "connect_failed"
            assert len(b.requests) == 2

    run(test)


def test_connection_with_connection_close_is_not_reused() -> None:
    """Guards against a request on a connection that the endpoint is about to close."""

    async def test() -> None:
        answer = response(200, b"last", Connection="close")
        async with serving(always(answer)) as (peer, at), sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            assert (await c.fetch()).body == b"last"
            assert not s.wire.idle
            assert (await c.fetch(Req_Id="r2")).body == b"last"
            assert peer.connections == 2

    run(test)
