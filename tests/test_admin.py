"""The admin server: metrics, and malformed calls."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Iterable

import pytest
from loopback import Client, closed_port, known, read_message, response, run_real, serving, sidecar
from test_sidecar import send_to

from zinclever import interface
from zinclever.admin import server
from zinclever.admin.figures import Gauges, count_disabled, render
from zinclever.admin.server import Admin, Page
from zinclever.core.counts import Counts
from zinclever.policy import Balancer

LINE = re.compile(r"lb(\.[A-Za-z0-9_-]+)+:[0-9]+\|[cg]")


async def start_admin() -> tuple[Admin, tuple[str, int]]:
    admin = Admin({"/status": lambda: Page(200), "/status/metrics": lambda: Page(200, b"lb.x:1|c\n")})
    await admin.listen(("127.0.0.1", 0))
    assert admin.server is not None
    return admin, admin.server.sockets[0].getsockname()


def test_metrics_include_classes_without_requests() -> None:
    """Guards against metrics that are missing until the first request, and against unescaped names."""
    counts = Counts()
    counts.of("read").served += 812
    lines = render(counts, {"read": 0, "a.b|c:d": 1}, Gauges(7, 14, 3, 1)).decode().splitlines()
    assert "lb.replies.read.success:812|c" in lines and "lb.replies.read.overload:0|c" in lines
    assert "lb.replies.a_b_c_d.error:0|c" in lines
    assert lines[-4:] == ["lb.dispatches:7|c", "lb.concurrent:14|g", "lb.targets:3|g", "lb.targets_disabled:1|g"]
    assert all(LINE.fullmatch(line) for line in lines)


def test_draining_and_down_endpoints_count_as_disabled() -> None:
    balancer = Balancer(interface.Settings(classes=[interface.RequestClass(aim=100.0, deadline=500.0)]), 1)
    balancer.handle(
        0.0,
        interface.MembershipUpdate(
            "whole",
            [interface.ListedEndpoint("a"), interface.ListedEndpoint("b", "draining"), interface.ListedEndpoint("c")],
        ),
    )
    assert count_disabled(balancer, 1.0) == 1
    balancer.endpoint_list.endpoints["a"].down_until = 50.0
    assert count_disabled(balancer, 49.0) == 2
    assert count_disabled(balancer, 51.0) == 1


def test_each_outcome_is_counted_once() -> None:
    """Guards against counting open requests, and attempts whose last byte was not written."""

    def react(event: interface.Event) -> Iterable[interface.Action]:
        if isinstance(event, interface.RequestArrived):
            if event.request == "r2":
                yield interface.Refuse("r2")
            elif event.request != "r4":
                yield interface.Send(event.request, "e" if event.request == "r1" else "gone", event.deadline)
        elif isinstance(event, interface.AttemptEnded) and event.outcome == "connect_failed":
            yield interface.Fail(event.request)

    async def test() -> None:
        async def page(message: object, peer: object) -> bytes:
            return response(200, b"page")

        async with serving(page) as (_, at), sidecar(react, known(e=at, gone=closed_port())) as s:
            c = await s.client()
            for n, status in ((1, 200), (2, 503), (3, 502)):
                assert (await c.fetch(Req_Id=f"r{n}")).status == status
            counts = s.sidecar.counts
            replies = counts.of("read")
            assert (replies.served, replies.refused, replies.failed, s.wire.dispatches) == (1, 1, 1, 1)
            assert counts.concurrent == 0
            c.send(Req_Id="r4")
            await s.balancer.until(
                lambda: any(getattr(e, "request", "") == "r4" for _, e in s.balancer.received_events)
            )
            assert counts.concurrent == 1
            c.writer.transport.abort()
            await s.balancer.until(
                lambda: any(isinstance(e, interface.RequestClosed) for _, e in s.balancer.received_events)
            )
            assert counts.concurrent == 0
            assert (replies.served, replies.refused, replies.failed) == (1, 1, 1)

    run_real(test)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n", 200),
        (b"GET /status?x=1 HTTP/1.1\r\nHost: x\r\n\r\n", 200),
        (b"GET /status/metrics HTTP/1.1\r\nHost: x\r\n\r\nand more that nobody asked for", 200),
        (b"GET /elsewhere HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"POST /status HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405),
        (b"what is this\r\n\r\n", 400),
        (b"GET /status HTTP/1.1\r\nX: " + b"x" * 9000, 431),
    ],
)
def test_each_call_is_answered_and_its_connection_closed(data: bytes, status: int) -> None:
    async def test() -> None:
        admin, address = await start_admin()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(data)
        answer = await read_message(reader)
        assert answer is not None and answer.status == status and answer.headers["connection"] == "close"
        assert await reader.read() == b""
        writer.close()
        admin.close()

    run_real(test)


def test_silent_callers_do_not_block_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against idle callers, or callers that send half a call, that use up all connections."""
    monkeypatch.setattr(server, "READ_TIMEOUT", 0.2)

    async def test() -> None:
        admin, address = await start_admin()
        silent = [await asyncio.open_connection(*address) for _ in range(3 * server.MAX_CALLERS)]
        for _, writer in silent[::2]:
            writer.write(b"GET /sta")
        client = Client(*await asyncio.open_connection(*address))
        assert (await client.fetch("/status")).status == 200
        assert len(admin.callers) <= server.MAX_CALLERS
        for reader, _ in silent:
            try:
                assert await reader.read() == b""
            except ConnectionError:
                continue
        while admin.callers:
            await asyncio.sleep(0)
        admin.close()

    run_real(test)


def test_failed_connection_attempt_is_not_a_dispatch() -> None:
    """Guards against counting attempts that were never sent."""

    async def test() -> None:
        async with sidecar(send_to("gone"), known(gone=closed_port())) as s:
            c = await s.client()
            c.send()
            await s.balancer.until(lambda: bool(s.balancer.ends()))
            assert s.wire.dispatches == 0

    run_real(test)
