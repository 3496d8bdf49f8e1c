"""What the application may send, and what it is answered when it is no proper request."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterable

import pytest
from helpers import RULES
from loopback import always, closed_port, known, read_message, response, run, run_real, serving, sidecar
from test_sidecar import send_to

from zinclever import interface
from zinclever.core.descriptors import DESCRIPTOR_RESERVE
from zinclever.http1 import clients, server
from zinclever.http1 import connection as http


def refuse_all(event: interface.Event) -> Iterable[interface.Action]:
    if isinstance(event, interface.RequestArrived):
        yield interface.Refuse(event.request)


GOOD = b"GET /read HTTP/1.1\r\nHost: x\r\nReq-Id: r1\r\nReq-Deadline: 5\r\n\r\n"


def head(start: str, *headers: str) -> bytes:
    return "\r\n".join([start, "Host: x", *headers, "", ""]).encode()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (head("GET /unheard-of HTTP/1.1", "Req-Id: r", "Req-Deadline: 5"), 404),
        (head("GET /read HTTP/1.1", "Req-Deadline: 5"), 400),
        (head("GET /read HTTP/1.1", "Req-Id: r"), 400),
        (head("GET /read HTTP/1.1", "Req-Id: r", "Req-Deadline: soon"), 400),
        (head("GET /read HTTP/1.1", "Req-Id: r", "Req-Deadline: nan"), 400),
        (head("GET /read HTTP/1.1", "Req-Id: r", "Req-Deadline: -1"), 400),
        (head("POST /unlock HTTP/1.1", "Req-Id: r", "Req-Deadline: 5", "Content-Length: 0"), 400),
        (head("POST /tip HTTP/1.1", "Req-Id: r", "Req-Deadline: 5", f"Content-Length: {server.MOST_UPLOAD + 1}"), 413),
        (head("GET /read HTTP/1.1", "Req-Id: r", "Req-Deadline: 5", "X-Fill: " + "x" * 40000), 431),
        (b"what is this\r\n\r\n", 400),
        (GOOD.replace(b"Host: x\r\n", b""), 400),
        (GOOD.replace(b"Host: x\r\n", b"Host: x\r\nhost: x\r\n"), 400),
        (GOOD.replace(b"1.1", b"1.0").replace(b"Host: x\r\n", b"Host: x\r\nHost: y\r\n"), 400),
        (head("GET /read HTTP/1.1", "Req-Id: r", "Req-Deadline: 5", "Content-Length: x"), 400),
    ],
)
def test_improper_requests(data: bytes, status: int) -> None:
    """Guards against feeding the balancer what it can't answer, and against a refusal, which promises
    something, in place of a plain error."""

    async def test() -> None:
        async with sidecar(refuse_all, known(e=closed_port())) as s:
            c = await s.client()
            c.writer.write(data)
            got = await c.answer()
            assert got.status == status and got.headers["connection"] == "close"
            assert await read_message(c.reader) is None
            assert not any(isinstance(e, interface.RequestArrived) for _, e in s.balancer.received_events)

    run(test)


@pytest.mark.parametrize("at_once", [True, False])
def test_pipelined_requests_are_served_in_order(at_once: bool) -> None:
    """Guards against losing a request for what came before or behind it, and against mixing their answers."""

    async def test() -> None:
        asked = asyncio.Event()

        def react(event: interface.Event) -> Iterable[interface.Action]:
            if isinstance(event, interface.RequestArrived):
                asked.set()
                if event.request != "r1":
                    yield interface.Refuse(event.request, 1000.0 * int(event.request[1:]))
            elif isinstance(event, interface.TimerFired):
                yield interface.Refuse("r1", 1000.0)

        async with sidecar(react, known(e=closed_port())) as s:
            c = await s.client()
            behind = b"".join(GOOD.replace(b"r1", b"r%d" % n) for n in range(2, 6)) + b"no request\r\n\r\n"
            c.writer.write(GOOD + behind if at_once else GOOD)
            await asked.wait()
            if not at_once:
                c.writer.write(behind)
            other = await s.client()
            assert (await other.ask("/_health")).status == 200  # what was sent before has been read
            assert len([e for _, e in s.balancer.received_events if isinstance(e, interface.RequestArrived)]) == 1
            s.sidecar.feed(interface.TimerFired("x"))
            for n in range(1, 6):
                got = await c.answer()
                assert got.status == 503 and float(got.headers["retry-after"]) == n
            last = await c.answer()
            assert last.status == 400 and last.headers["connection"] == "close"

    run(test)


def test_pipelined_requests_are_few() -> None:
    """Guards against a client that sends hundreds at once: what is held for it is bounded."""

    async def test() -> None:
        async with sidecar(lambda event: (), known(e=closed_port())) as s:
            c = await s.client()
            c.writer.write(b"".join(GOOD.replace(b"r1", b"r%d" % n) for n in range(1, 300)))
            await s.balancer.until(lambda: len(s.balancer.received_events) == 2)
            (one,) = s.front.since[clients.State.BUSY]
            assert len(one.queue) == server.PIPELINED and one.rejected == 400

    run(test)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"", 0),
        (b"GET /read HT", 408),
        (b"GET /read HTTP/1.1\r\nHost: x\r\nReq-Id", 408),
        (head("POST /tip HTTP/1.1", "Req-Id: r", "Req-Deadline: 5", "Content-Length: 9") + b"abc", 408),
    ],
)
def test_slow_request_ends(data: bytes, status: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against connections that are held for ever by who never sends a whole request; a kept
    connection of a client that has been served is no such."""
    for module in (clients, server):
        monkeypatch.setattr(module, "READ_FOR", 0.3)

    async def test() -> None:
        async with sidecar(refuse_all, known(e=closed_port())) as s:
            kept, slow = await s.client(), await s.client()
            assert (await kept.ask()).status == 503
            slow.writer.write(data)
            if status:
                assert (await slow.answer()).status == status
            assert await read_message(slow.reader) is None
            assert (await kept.ask(Req_Id="r2")).status == 503

    run(test)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /read HTTP/1.1\r\nX-Fill: " + b"x" * 2 * http.MOST_HEAD, 431),
        (b"GET /" + b"x" * 2 * http.MOST_HEAD, 431),
        (head("POST /tip HTTP/1.1", "Req-Id: r", "Req-Deadline: 5", "Content-Length: 60000000"), 413),
        (head("POST /tip HTTP/1.1", "Transfer-Encoding: chunked") + b"1;" + b"x" * 2 * server.MOST_CHUNKED, 413),
        (head("POST /tip HTTP/1.1", "Content-Length: 5", "Transfer-Encoding: chunked") + b"0\r\n\r\n", 400),
        (head("POST /tip HTTP/1.1", "Content-Length: 5", "Content-Length: 5") + b"abcde", 400),
        (head("POST /tip HTTP/1.1", "Content-Length: +5") + b"abcde", 400),
        (b"GET /read HTTP/1.1\nReq-Id: r\nReq-Deadline: 5\n\n", 400),
        (head("GET /read HTTP/1.1", "Req-Id: r", "Req-Deadline: 5", "X: y", " folded"), 400),
        (head("GET /read HTTP/2.0", "Req-Id: r", "Req-Deadline: 5"), 505),
        (head("GET /read HTTP/1.1", "Req-Id: r", "Req-Deadline: 1_0"), 400),
    ],
)
def test_what_cannot_be_framed_is_rejected_before_its_end(data: bytes, status: int) -> None:
    """Guards against holding, or passing on, a request whose end is in doubt or far away."""

    async def test() -> None:
        async with sidecar(refuse_all, known(e=closed_port())) as s:
            c = await s.client()
            c.writer.write(data)
            assert (await c.answer()).status == status
            assert not any(isinstance(e, interface.RequestArrived) for _, e in s.balancer.received_events)

    run(test)


def test_idle_connections_end_longest_idle_first(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against connections kept for good by several that ask once; a request that has come in
    meanwhile, unread, keeps its connection."""
    monkeypatch.setattr(clients, "IDLE_AT_LEAST", 0.0)
    monkeypatch.setattr(clients, "SWEEP", 1000.0)

    async def test() -> None:
        async with sidecar(refuse_all, known(e=closed_port()), sockets=clients.EASY * 2) as s:
            several = [await s.client() for _ in range(4)]
            for n in (2, 1, 0, 3):
                assert (await several[n].ask(Req_Id=f"r{n}")).status == 503
            raw = several[1].writer.get_extra_info("socket")
            raw = socket.fromfd(raw.fileno(), socket.AF_INET, socket.SOCK_STREAM)
            raw.send(GOOD)
            raw.close()
            s.front.sweep()  # down to two: the longest idle one, then the one after the one that asks
            assert (await several[1].answer()).status == 503
            assert await read_message(several[2].reader) is None
            assert await read_message(several[0].reader) is None
            assert (await several[3].ask(Req_Id="r9")).status == 503

    run_real(test)


def test_connections_used_once_end_with_their_answer_where_many_are_idle() -> None:
    """Guards against clients that ask once and keep their connection, so many that others find none; who
    comes back on one keeps it."""

    async def test() -> None:
        async with sidecar(refuse_all, known(e=closed_port()), sockets=clients.BRIEF * 8) as s:
            proven = await s.client()
            for n in range(2):
                assert "connection" not in (await proven.ask(Req_Id=f"p{n}")).headers
            once = [await s.client() for _ in range(10)]
            ends = [(await c.ask(Req_Id=f"r{n}")).headers.get("connection") for n, c in enumerate(once)]
            assert ends == [None] * 7 + ["close"] * 3
            assert "connection" not in (await proven.ask(Req_Id="p2")).headers

    run(test)


def test_silent_clients_by_hundreds_leave_room() -> None:
    """Guards against running out of descriptors: who connects and says nothing is closed first."""

    async def test() -> None:
        async with sidecar(refuse_all, known(e=closed_port()), sockets=128) as s:
            first = await s.client()
            assert (await first.ask(Req_Id="r0")).status == 503
            for n in range(6):
                silent = [await s.client() for _ in range(50)]
                assert s.front.count() <= 64 + 50
                usual = await s.client()
                assert (await usual.ask(Req_Id=f"u{n}")).status == 503
                assert silent
                await asyncio.sleep(2 * clients.FRESH)
            assert (await first.ask(Req_Id="r1")).status == 503
            assert s.front.count() <= 64

    run(test)


def test_client_that_does_not_read_is_not_buffered_for(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against answers that pile up for a client that sends on and never reads."""
    monkeypatch.setattr(clients, "WRITE_FOR", 0.5)
    page = b"x" * http.MAX_BUFFERED_BODY

    async def test() -> None:
        async with serving(always(response(200, page))) as (_, at), sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            many = b"".join(GOOD.replace(b"r1", b"r%d" % n) for n in range(server.PIPELINED))
            with contextlib.suppress(ConnectionError):
                for n in range(100):
                    c.writer.write(many.replace(b"Req-Id: r", b"Req-Id: %d-" % n))
                    await c.writer.drain()
                    await asyncio.sleep(0.02)
                    if not s.front.count():
                        break
                    (one,) = (c for state in s.front.since.values() for c in state)
                    if not one.ending:
                        assert one.transport.get_write_buffer_size() <= 2 * len(page) + 4096
            while s.front.count():
                await asyncio.sleep(0.02)

    run(test)


def test_id_that_is_in_use_is_not_taken_twice() -> None:
    """Guards against two clients' requests in one place of the ledger."""

    async def test() -> None:
        async with sidecar(lambda event: (), known(e=closed_port())) as s:
            one, two = await s.client(), await s.client()
            one.send(Req_Id="same")
            await s.balancer.until(lambda: len(s.balancer.received_events) == 2)
            assert (await two.ask(Req_Id="same")).status == 400
            assert len(s.sidecar.requests) == 1

    run(test)


def test_request_in_pieces_and_kept_connection() -> None:
    async def test() -> None:
        async with sidecar(refuse_all, known(e=closed_port())) as s:
            c = await s.client()
            for n in range(len(GOOD)):
                c.writer.write(GOOD[n : n + 1])
                await c.writer.drain()
                await asyncio.sleep(0)
            assert (await c.answer()).status == 503
            assert (await c.ask(Req_Id="r2")).status == 503
            assert s.front.count() == 1

    run(test)


def test_health_waits_for_a_list() -> None:
    """Guards against clients that are sent to a sidecar with nowhere to go."""

    async def test() -> None:
        async with sidecar(refuse_all) as s:
            c = await s.client()
            assert (await c.ask("/_health")).status == 500
            s.discovery.apply_update("whole", known(e=closed_port())["hosts"])
            assert (await c.ask("/_health")).status == 200
            assert not s.sidecar.requests

    run(test)


def test_tenants_are_told_by_name() -> None:
    async def test() -> None:
        tenants = (interface.Tenant(5.0, name="acme"), interface.Tenant(5.0, name="umbra"))
        async with sidecar(refuse_all, known(e=closed_port()), tenants=tenants, rules=RULES) as s:
            c = await s.client()
            assert (await c.ask(Req_Owner="umbra")).status == 503
            assert [e.tenant for _, e in s.balancer.received_events if isinstance(e, interface.RequestArrived)] == [1]
            assert (await c.ask(Req_Owner="nobody")).status == 400

    run(test)


def test_idle_client_makes_room_for_a_new_one() -> None:
    """Guards against running out of descriptors on connections that clients keep; one in use stays."""

    async def test() -> None:
        def react(event: interface.Event) -> Iterable[interface.Action]:
            if isinstance(event, interface.TimerFired):
                yield interface.Refuse("busy")

        async with sidecar(react, known(e=closed_port()), sockets=DESCRIPTOR_RESERVE + 3) as s:
            busy, idle = await s.client(), await s.client()
            busy.send(Req_Id="busy")
            await s.balancer.until(lambda: len(s.balancer.received_events) == 2)
            assert (await idle.ask("/_health")).status == 200
            new = await s.client()
            assert (await new.ask("/_health")).status == 200
            assert await read_message(idle.reader) is None
            s.sidecar.feed(interface.TimerFired("x"))
            assert (await busy.answer()).status == 503

    run(test)


def test_client_that_asks_before_its_body_is_told_to_go_on() -> None:
    """Guards against a client that waits to be told, and a deadline that passes meanwhile."""

    async def test() -> None:
        async with sidecar(refuse_all, known(e=closed_port())) as s:
            c = await s.client()
            c.writer.write(
                head("POST /tip HTTP/1.1", "Req-Id: r", "Req-Deadline: 5", "Content-Length: 2", "Expect: 100-continue")
            )
            assert (await c.answer()).status == 100
            c.writer.write(b"ab")
            assert (await c.answer()).status == 503

    run(test)


def test_who_writes_slowly_is_missed_more_than_who_stopped(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against cutting off ordinary clients, as the oldest, for hundreds that never send a whole request."""
    monkeypatch.setattr(clients, "STALE", 0.2)
    monkeypatch.setattr(clients, "FRESH", 0.01)

    async def test() -> None:
        async with sidecar(refuse_all, known(e=closed_port()), sockets=128) as s:
            slow = await s.client()
            stopped = [await s.client() for _ in range(s.front.most - 1)]
            for c in stopped:
                c.writer.write(GOOD[:20])
            for n in range(20):  # far longer than STALE
                slow.writer.write(GOOD[n : n + 1])
                await asyncio.sleep(0.03)
            others = [await s.client() for _ in range(s.front.most // 2)]
            slow.writer.write(GOOD[20:])
            assert (await slow.answer()).status == 503
            assert others and s.front.count() <= s.front.most

    run(test)
