"""Stalls of the process: their detection, the age of received data, and the order of events afterwards."""

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
from zinclever.core.stall_detector import IDLE_THRESHOLD, RECHECK_TIME, STALL_THRESHOLD_MS, StallDetector, move_to_front
from zinclever.http1.connection import dial
from zinclever.standins import always
from zinclever.system import System


def test_stall_is_detected_once_until_sending_resumes() -> None:
    s = StallDetector(10.0)
    assert not s.detect(STALL_THRESHOLD_MS - 1.0)
    assert s.detect(STALL_THRESHOLD_MS) and not s.detect(10 * STALL_THRESHOLD_MS)
    s.holding = False
    assert s.detect(STALL_THRESHOLD_MS)


@pytest.mark.parametrize("idle_time", [IDLE_THRESHOLD / 2, 2 * IDLE_THRESHOLD])
def test_data_read_after_an_idle_time_may_have_waited(idle_time: float) -> None:
    s = StallDetector(10.0)
    s.record_activity(10.0 + idle_time)
    s.record_activity(10.0 + idle_time)  # another callback in the same iteration of the loop
    assert s.may_have_stalled() is (idle_time > IDLE_THRESHOLD)
    s.record_activity(10.001 + idle_time)
    assert not s.may_have_stalled()


def test_age_of_data_is_checked_for_a_while_after_a_stall() -> None:
    """Connections that waited in the listener's queue are accepted one after another."""
    s = StallDetector(10.0)
    s.record_activity(15.0)
    assert s.detect(5000.0)
    s.holding = False
    for n in range(1, 1000):
        s.record_activity(15.0 + n * RECHECK_TIME / 1000)
        assert s.may_have_stalled()
    s.record_activity(15.0 + RECHECK_TIME)
    assert not s.may_have_stalled()


def test_list_updates_move_ahead_of_held_events() -> None:
    update = interface.MembershipUpdate("changes", [])
    fired, closed = interface.TimerFired("t"), interface.RequestClosed("r")
    assert move_to_front([("b", fired), ("b", update), ("a", closed)], interface.MembershipUpdate) == deque(
        [("b", update), ("b", fired), ("a", closed)]
    )


def test_kernel_reports_the_age_of_received_data() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()) as client:
        client.sendall(b"x")
        accepted, _ = server.accept()
        with accepted:
            before = time.monotonic()
            while System().ms_since_received(accepted) < 20.0:
                time.sleep(0.005)
            assert time.monotonic() - before < 10.0
    with socket.socketpair()[0] as other:
        assert System().ms_since_received(other) == 0.0


def test_request_that_waited_past_its_deadline_has_expired_on_arrival() -> None:
    """Guards against serving a request whose client has given up: it lay in the kernel while the loop was blocked."""

    async def test() -> None:
        async with sidecar(lambda event: (), known(e="127.0.0.1:9")) as s:
            client = await s.client()
            assert (await client.fetch("/_health", Req_Deadline="")).status == 200
            client.send("/read/x", Req_Id="late", Req_Deadline="0.2")
            time.sleep(0.4)
            await s.balancer.until(
                lambda: any(isinstance(e, interface.RequestArrived) for _, e in s.balancer.received_events)
            )
            at, arrived = next((t, e) for t, e in s.balancer.received_events if isinstance(e, interface.RequestArrived))
            assert arrived.deadline <= at

    run_real(test)


def test_last_byte_of_an_unsafe_request_waits_until_the_kernel_buffers_are_read() -> None:
    """Guards against sending it after a stall although the client is gone: its 2 ms timer fires before that is read."""

    async def test() -> None:
        async with serving(always_answer(response())) as (peer, at):
            where, _, port = at.partition(":")
            closed, loop = asyncio.Event(), asyncio.get_running_loop()
            connection = await dial(System(), (where, int(port)), 5.0, lambda c: None, lambda c: closed.set())

            def on_client_left() -> None:
                assert connection.has_unsent_bytes(), "the last byte was sent"
                connection.abort()

            connection.request(b"GET / HTTP/1.1\r\n\r\n", lambda result: None, hold=0.002)
            loop.call_later(0.002, on_client_left)  # due together with the last byte, but runs after it
            time.sleep(4 * STALL_THRESHOLD_MS / 1000.0)
            await closed.wait()
            await peer.ended.get()
            assert peer.requests == []

    run_real(test)


def test_list_update_received_during_a_stall_is_processed_first() -> None:
    async def test() -> None:
        async with sidecar(lambda event: (), known(e="127.0.0.1:9")) as s:
            s.balancer.received_events.clear()
            s.sidecar.check_delay(STALL_THRESHOLD_MS)
            s.sidecar.feed(interface.TimerFired("t"))
            s.sidecar.feed(interface.MembershipUpdate("changes", []))
            assert s.balancer.received_events == []
            await s.balancer.until(lambda: len(s.balancer.received_events) == 2)
            assert [type(e) for _, e in s.balancer.received_events] == [
                interface.MembershipUpdate,
                interface.TimerFired,
            ]

    run_real(test)


def test_time_in_the_kernel_counts_against_the_deadline() -> None:
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
