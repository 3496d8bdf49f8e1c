"""A process that stood still: when it is noticed, what is asked for its age, and what comes first then."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import deque

import pytest
from loopback import always as always_answer
from loopback import known, response, run_real, serving, sidecar
from rpc import service

from zinclever import interface
from zinclever.core.stall_detector import QUIET, STALL_THRESHOLD_MS, WATCHED, StallDetector, news_first
from zinclever.http1.connection import dial
from zinclever.standins import always
from zinclever.system import System


def test_noticed_once_until_what_was_kept_back_goes_on() -> None:
    s = StallDetector(10.0)
    assert not s.has(STALL_THRESHOLD_MS - 1.0)
    assert s.has(STALL_THRESHOLD_MS) and not s.has(10 * STALL_THRESHOLD_MS)
    s.held = False
    assert s.has(STALL_THRESHOLD_MS)


@pytest.mark.parametrize("gap", [QUIET / 2, 2 * QUIET])
def test_what_is_read_after_a_pause_may_have_waited(gap: float) -> None:
    s = StallDetector(10.0)
    s.ran(10.0 + gap)
    s.ran(10.0 + gap)  # others of the same turn of the loop
    assert s.may_have() is (gap > QUIET)
    s.ran(10.001 + gap)
    assert not s.may_have()


def test_for_a_while_all_that_is_read_is_asked_for_its_age() -> None:
    """Connections that stood in the listener's queue come one after another."""
    s = StallDetector(10.0)
    s.ran(15.0)
    assert s.has(5000.0)
    s.held = False
    for n in range(1, 1000):
        s.ran(15.0 + n * WATCHED / 1000)
        assert s.may_have()
    s.ran(15.0 + WATCHED)
    assert not s.may_have()


def test_what_was_told_comes_before_what_was_kept_back() -> None:
    news = interface.MembershipUpdate("changes", [])
    fired, closed = interface.TimerFired("t"), interface.RequestClosed("r")
    assert news_first([("b", fired), ("b", news), ("a", closed)], interface.MembershipUpdate) == deque(
        [("b", news), ("b", fired), ("a", closed)]
    )


def test_the_kernel_tells_how_long_bytes_have_waited() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()) as client:
        client.sendall(b"x")
        there, _ = server.accept()
        with there:
            before = time.monotonic()
            while System().ms_since_received(there) < 20.0:
                time.sleep(0.005)
            assert time.monotonic() - before < 10.0
    with socket.socketpair()[0] as other:
        assert System().ms_since_received(other) == 0.0


def test_a_request_that_waited_longer_than_its_client_is_refused_unsent() -> None:
    """The loop is kept busy, as a process that is stopped is: the request lies in the kernel all the while."""

    async def test() -> None:
        async with sidecar(lambda event: (), known(e="127.0.0.1:9")) as s:
            client = await s.client()
            assert (await client.ask("/_health", Req_Deadline="")).status == 200
            client.send("/read/x", Req_Id="late", Req_Deadline="0.2")
            time.sleep(0.4)
            await s.balancer.until(
                lambda: any(isinstance(e, interface.RequestArrived) for _, e in s.balancer.received_events)
            )
            at, arrived = next((t, e) for t, e in s.balancer.received_events if isinstance(e, interface.RequestArrived))
            assert arrived.deadline <= at

    run_real(test)


def test_the_last_byte_of_what_may_not_be_repeated_waits_for_what_the_kernel_holds() -> None:
    """Its timer of 2 ms is the first to fire after a standstill, before anybody has read that the client has gone."""

    async def test() -> None:
        async with serving(always_answer(response())) as (peer, at):
            where, _, port = at.partition(":")
            over, loop = asyncio.Event(), asyncio.get_running_loop()
            made = await dial(System(), (where, int(port)), 5.0, lambda c: None, lambda c: over.set())

            def client_left() -> None:
                assert made.has_unsent_bytes(), "the last byte has gone out"
                made.abort()

            made.request(b"GET / HTTP/1.1\r\n\r\n", lambda result: None, hold=0.002)
            loop.call_later(0.002, client_left)  # due with the last byte, and after it
            time.sleep(4 * STALL_THRESHOLD_MS / 1000.0)
            await over.wait()
            await peer.ended.get()
            assert peer.requests == []

    run_real(test)


def test_news_that_came_meanwhile_is_told_first() -> None:
    async def test() -> None:
        async with sidecar(lambda event: (), known(e="127.0.0.1:9")) as s:
            s.balancer.received_events.clear()
            s.sidecar.notice(STALL_THRESHOLD_MS)
            s.sidecar.feed(interface.TimerFired("t"))
            s.sidecar.feed(interface.MembershipUpdate("changes", []))
            assert s.balancer.received_events == []
            await s.balancer.until(lambda: len(s.balancer.received_events) == 2)
            assert [type(e) for _, e in s.balancer.received_events] == [
                interface.MembershipUpdate,
                interface.TimerFired,
            ]

    run_real(test)


def test_a_call_counts_its_time_from_when_it_came() -> None:
    async def test() -> None:
        async with service(always(), react=lambda event: (), deadline=2000.0) as s:
            where, _, port = s.address.partition(":")
            with socket.create_connection((where, int(port))) as client:
                client.sendall(b'{"jsonrpc":"2.0","method":"page.get","params":{},"id":1}\n')
                time.sleep(0.3)
                await s.balancer.until(
                    lambda: any(isinstance(e, interface.RequestArrived) for _, e in s.balancer.received_events)
                )
            at, arrived = next((t, e) for t, e in s.balancer.received_events if isinstance(e, interface.RequestArrived))
            assert arrived.deadline - at < 2000.0 - 290.0

    run_real(test)
