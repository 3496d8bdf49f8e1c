"""Lost requests: connections that break early, and endpoints that never answer some requests."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Callable
from dataclasses import replace

import pytest
from helpers import KEYED, LIMITS, RULES, SAFE, UNSAFE, BalancerHarness, fleet, settings
from loopback import CLASSES, Message, Peer, Reaction, always, host_here, known, response, run, serving, sidecar
from test_sidecar import send_to

from zinclever import Balancer, Settings, interface
from zinclever.core.dispatcher import make_clock
from zinclever.http1 import wire

RESETS = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: closing resets the connection


@pytest.fixture(autouse=True)
def long_hold(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keeps the hold timer from firing: each test ends before."""
    monkeypatch.setattr(wire, "HOLD", 15.0)


class Listener:
    """A server that records the data of each connection: the first read, or two reads up to its end."""

    def __init__(self, resets: bool) -> None:
        self.resets = resets
        self.received: asyncio.Queue[bytes] = asyncio.Queue()

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.received.put_nowait(await reader.read(65536))
        if self.resets:
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETS)
        else:
            self.received.put_nowait(await reader.read())
        writer.transport.abort()


@contextlib.asynccontextmanager
async def listening(resets: bool) -> AsyncIterator[tuple[Listener, str]]:
    listener = Listener(resets)
    server = await asyncio.start_server(listener.on_connection, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield listener, f"{host}:{port}"
    finally:
        server.close()


def test_reset_before_the_last_byte_proves_that_an_unsafe_request_never_ran() -> None:
    """Guards against failing requests that may be repeated: many resets follow the first bytes of a request."""

    async def test() -> None:
        async with (
            listening(resets=True) as (bad, at_bad),
            serving(always(response())) as (good, at_good),
            sidecar(send_to("bad", "bad"), known(bad=at_bad, good=at_good)) as s,
        ):
            client = await s.client()
            received = await client.fetch("/tip/1", method="POST", body=b"0123456789")
            assert received.status == 502 and not good.requests
            assert [e.outcome for e in s.balancer.ends()] == ["dropped", "dropped"]
            assert {e.outcome for e in s.balancer.ends()} <= interface.NEVER_RAN
            assert (await bad.received.get()).endswith(b"\r\n\r\n012345678")

    run(test)


def test_repeatable_requests_are_sent_without_delay() -> None:
    """Guards against a useless delay of requests that may be repeated."""

    async def test() -> None:
        async with serving(always(response())) as (peer, at), sidecar(send_to("e"), known(e=at)) as s:
            client = await s.client()
            assert (await client.fetch("/read/1")).status == 200
            received = await client.fetch("/unlock/1", method="POST", body=b"x", Idempotency_Key="k", Req_Id="r2")
            assert received.status == 200 and len(peer.requests) == 2

    run(test)


def test_withheld_last_byte_is_not_sent_after_the_request_has_ended() -> None:
    """Guards against a request that runs after its final answer, and against reporting that it may have run."""

    async def test() -> None:
        async with (
            listening(resets=False) as (listener, at),
            sidecar(send_to("e"), known(e=at)) as s,
        ):
            client = await s.client()
            client.send("/tip/1", method="POST", body=b"0123456789")
            assert (await listener.received.get()).endswith(b"\r\n\r\n012345678")
            client.writer.transport.abort()
            assert await listener.received.get() == b""
            assert [e.outcome for e in s.balancer.ends()] == ["not_sent"]

    run(test)


def never_answering(lost: set[str]) -> Callable[[Message, Peer], asyncio.Future[bytes | None]]:
    """Answers all requests except the first attempt of each named one."""

    async def script(message: Message, peer: Peer) -> bytes | None:
        if message.headers["req-id"] in lost:
            lost.remove(message.headers["req-id"])
            await asyncio.Event().wait()
        return response()

    return lambda message, peer: asyncio.ensure_future(script(message, peer))


def test_unanswered_keyed_requests_are_served_by_other_endpoints_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against endpoints that answer answeredly but lose some requests."""
    monkeypatch.setattr(wire, "HOLD", 0.001)
    aim = 2.0

    async def test() -> None:
        lost = {f"unlock{n}" for n in range(12)}
        classes = [replace(c, aim=aim * 1000.0, deadline=8000.0) for c in CLASSES]
        balancer, clock = Balancer(Settings(classes=classes, limits=LIMITS, rules=RULES), 1), make_clock(host_here())
        async with contextlib.AsyncExitStack() as stack:
            servers = [await stack.enter_async_context(serving(never_answering(lost))) for _ in range(3)]
            hosts = known(**{f"e{n}": at for n, (_, at) in enumerate(servers)})
            react: Reaction = lambda event: balancer.handle(clock(), event)  # noqa: E731
            s = await stack.enter_async_context(sidecar(react, hosts))

            async def post(kind: str, name: str) -> int:
                client = await s.client()
                key = {"Idempotency_Key": name} if kind == "unlock" else {}
                return (await client.fetch(f"/{kind}/x", method="POST", Req_Id=name, **key)).status

            for n in range(10):
                assert await post("tip", f"early{n}") == await post("unlock", f"first{n}") == 200
            tips: list[asyncio.Task[int]] = []
            next_burst = 0.0
            while not balancer.stalled_attempts.is_stalling(clock(), balancer.classes[1]):
                if clock() >= next_burst:  # on a slow machine the evidence decays: send more of them
                    next_burst = clock() + 3000.0
                    names = [f"tip{len(tips) + n}" for n in range(12)]
                    lost.update(names)
                    tips += [asyncio.create_task(post("tip", name)) for name in names]
                await asyncio.sleep(0.05)
            async with asyncio.timeout(aim):
                names = [f"unlock{n}" for n in range(12)]
                assert await asyncio.gather(*(post("unlock", name) for name in names)) == [200] * 12
            for t in tips:
                t.cancel()
            await asyncio.gather(*tips, return_exceptions=True)

    run(test)


def unanswered(n: int, request_class: interface.RequestClass = SAFE, work: float = 0.0) -> BalancerHarness:
    """A sidecar with ``n`` unanswered requests of a class, after as many unsafe ones and ordinary traffic."""
    s = BalancerHarness(settings(request_class, UNSAFE), fleet(4))
    s.serve(40, latency=20.0, gap=30.0)
    for _ in range(20):
        answered = s.submit(1)
        s.wait(20.0)
        s.end(answered)
    for klass in (1, 0):
        for _ in range(n):
            s.submit(klass, work=work if klass == 0 else 0.0)
        s.wait(1.2 * SAFE.aim if klass else 0.6 * request_class.aim)
    return s


def test_overdue_attempts_free_their_window_slots() -> None:
    """Guards against a concurrency window full of attempts that are never answered."""
    s = unanswered(60)
    assert s.b.endpoint_list.near.stalled > 0 and s.b.endpoint_list.near.inflight > s.b.endpoint_list.near.window.size


def test_single_overdue_attempt_is_not_cancelled() -> None:
    """Guards against restarting slow requests where none are lost."""
    s = unanswered(1, KEYED)
    assert not s.actions_of(interface.Cancel) and s.b.endpoint_list.near.stalled == 0


def test_no_overdue_attempt_is_replaced_under_load_too_late_or_against_the_repeat_rules() -> None:
    assert unanswered(12, KEYED).actions_of(interface.Cancel)
    assert not unanswered(12, KEYED, work=60.0).actions_of(interface.Cancel)
    for request_class in (replace(KEYED, aim=60.0), replace(KEYED, window=1.0), replace(KEYED, repeat="at_most_once")):
        assert not unanswered(12, request_class).actions_of(interface.Cancel)


def test_abandoned_attempt_ends_like_a_timeout() -> None:
    """Guards against ending a request because the balancer cancelled one of its attempts."""
    s = unanswered(12, KEYED)
    cancelled = s.actions_of(interface.Cancel)[0]
    before = len(s.sends(cancelled.request))
    s.end(cancelled.request, cancelled.attempt, "cancelled", complete=False)
    assert len(s.sends(cancelled.request)) == before + 1 and not s.final_answers(cancelled.request)
