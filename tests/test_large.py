"""Bodies and answers that are too large for the memory at hand, and every form that HTTP/1.1 has for them."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback import Client, Message, Setup, known, read_message, response, run, run_real, sidecar
from test_sidecar import send_to

from zinclever import interface
from zinclever.core import dispatcher
from zinclever.http1 import bodies, clients, connection, server
from zinclever.http1.bodies import Room, body_memory_limit

LARGE = 1_000_003  # bytes: beyond what is held, and beyond what the kernel takes at once
PAGE = bytes(range(256)) * (LARGE // 256 + 1)
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def endpoint(serve: Serve) -> AsyncIterator[str]:
    """A server that writes as the test says, and its address."""
    tasks: set[asyncio.Task[None]] = set()

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            await serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()
        for task in tasks:
            task.cancel()


async def request(reader: asyncio.StreamReader) -> bytes:
    return await reader.readuntil(b"\r\n\r\n")


async def dechunk(reader: asyncio.StreamReader) -> bytes:
    """A chunked body; IncompleteReadError where it ends before its last chunk."""
    parts: list[bytes] = []
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        parts.append(await reader.readexactly(size))
        assert await reader.readexactly(2) == b"\r\n"
    assert await reader.readexactly(2) == b"\r\n"
    return b"".join(parts)


def chunks(body: bytes, size: int) -> bytes:
    pieces = [body[n : n + size] for n in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\n\r\n"


async def ended(s: Setup, outcome: str) -> None:
    await s.balancer.until(lambda: bool(s.balancer.ends()))
    assert s.balancer.ends()[0].outcome == outcome and s.balancer.ends()[0].complete


@pytest.mark.parametrize("form", ["length", "chunked", "end"])
def test_a_large_answer_is_passed_on_whole(form: str) -> None:
    """Each form in which a server may word an answer's length; the connection is kept where it can be."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await request(reader)
            if form == "length":
                writer.write(b"HTTP/1.1 200 OK\r\nCONTENT-LENGTH: %d \r\n\r\n" % LARGE + PAGE[:LARGE])
            elif form == "chunked":
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked \r\n\r\n" + chunks(PAGE[:LARGE], 7777))
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + PAGE[:LARGE])
                await writer.drain()
                return
            await writer.drain()

    async def test() -> None:
        async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            for n in range(2):
                c.send(Req_Id=f"r{n}")
                if form == "length":
                    got = await c.answer()
                    assert got.status == 200 and got.body == PAGE[:LARGE]
                else:
                    head = await c.reader.readuntil(b"\r\n\r\n")
                    assert b"transfer-encoding: chunked" in head.lower() and b"content-length" not in head.lower()
                    assert await dechunk(c.reader) == PAGE[:LARGE]
            assert len(s.wire.idle) == (0 if form == "end" else 1) and s.wire.open == len(s.wire.idle)
            assert s.sidecar.counts.concurrent == 0 and s.sidecar.counts.of("read").served == 2
            assert [e.outcome for e in s.balancer.ends()] == ["served"] * 2

    run(test)


def test_a_small_answer_without_a_length_ends_with_its_connection() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\npage")

    async def test() -> None:
        async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
            got = await (await s.client()).ask()
            assert got.status == 200 and got.body == b"page" and got.headers["content-length"] == "4"

    run(test)


def test_the_first_bytes_don_t_wait_for_the_rest() -> None:
    """Guards against an answer that comes to its client only once it is whole; and the module hears of the first
    bytes, not of how long the transfer took."""

    async def test() -> None:
        go_on = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE + PAGE[:10])
            await go_on.wait()
            writer.write(PAGE[10:LARGE])
            await writer.drain()

        async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            c.send()
            await c.reader.readuntil(b"\r\n\r\n")
            assert await c.reader.readexactly(10) == PAGE[:10]
            await ended(s, "served")
            assert s.sidecar.counts.concurrent == 1
            go_on.set()
            assert await c.reader.readexactly(LARGE - 10) == PAGE[10:LARGE]

    run(test)


@pytest.mark.parametrize("form", ["length", "chunked"])
def test_what_breaks_off_can_be_told(form: str) -> None:
    """Guards against half an answer that looks whole, and against a second answer behind it."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await request(reader)
        if form == "length":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE + PAGE[: LARGE // 2])
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(PAGE[:LARGE], 7777)[:-7])
        await writer.drain()

    async def test() -> None:
        async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            c.send()
            await c.reader.readuntil(b"\r\n\r\n")
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await (c.reader.readexactly(LARGE) if form == "length" else dechunk(c.reader))
            replies = s.sidecar.counts.of("read")
            assert (replies.served, replies.failed, s.sidecar.counts.concurrent) == (0, 1, 0)
            assert s.wire.open == 0

    run(test)


def test_a_server_that_falls_silent_ends_the_transfer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "TRANSFER_STALL", 0.1)
    monkeypatch.setattr(connection, "STALL", 0.05)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE + PAGE[:10])
        await asyncio.Event().wait()

    async def test() -> None:
        async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            c.send()
            await c.reader.readuntil(b"\r\n\r\n")
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await c.reader.readexactly(LARGE)
            assert s.wire.open == 0

    run(test)


def test_an_answer_in_pieces_is_not_spoilt(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against taking a slow server for one that stopped: it is silence that counts, not the whole time."""
    monkeypatch.setattr(connection, "STALL", 0.2)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await request(reader)
        for piece in (b"HTTP/1.1 200 OK\r\nContent-Le", b"ngth: 6\r\n\r\n", *(b"%d" % n for n in range(6))):
            writer.write(piece)
            await asyncio.sleep(0.06)

    async def test() -> None:
        async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
            assert (await (await s.client()).ask()).body == b"012345"

    run(test)


def test_a_client_that_reads_slowly_holds_its_server_up() -> None:
    """Guards against an answer that piles up in memory: the server is read no faster than the client reads."""
    size = 24 << 20

    async def test() -> None:
        written = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal written
            await request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            piece = bytes(1 << 16)
            while written < size:
                writer.write(piece)
                await writer.drain()
                written += len(piece)

        async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            c.writer.transport.pause_reading()  # type: ignore[attr-defined]
            c.send()
            await ended(s, "served")
            (one,) = s.front.since[clients.State.WRITING] or s.front.since[clients.State.PASSING]
            while one.state is not clients.State.WRITING:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)
            assert one.transport.get_write_buffer_size() < 1 << 20 and written < size // 2
            c.writer.transport.resume_reading()  # type: ignore[attr-defined]
            await c.reader.readuntil(b"\r\n\r\n")
            assert len(await c.reader.readexactly(size)) == size
            assert list(s.front.since[clients.State.IDLE]) == [one]

    run(test)


def test_a_client_that_leaves_ends_the_transfer() -> None:
    async def test() -> None:
        gone = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE + PAGE[:10])
            try:
                await reader.read(1)
            finally:
                gone.set()

        async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            c.send()
            await c.reader.readuntil(b"\r\n\r\n")
            c.writer.transport.abort()
            await gone.wait()
            assert s.wire.open == 0 and s.sidecar.counts.concurrent == 0

    run(test)


def test_what_comes_behind_a_transfer_is_answered_behind_it() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            asked = await request(reader)
            size = LARGE if b"r1" in asked else 3
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + PAGE[:size])
            await writer.drain()

    async def test() -> None:
        async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            c.send(Req_Id="r1")
            c.send(Req_Id="r2")
            assert [len((await c.answer()).body) for _ in range(2)] == [LARGE, 3]

    run(test)


def test_an_answer_of_three_gigabytes_is_spoilt() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + PAGE)
        await asyncio.Event().wait()

    def react(event: interface.Event) -> Iterable[interface.Action]:
        if isinstance(event, interface.RequestArrived):
            yield interface.Send(event.request, "e", event.deadline)
        elif isinstance(event, interface.AttemptEnded):
            yield interface.Fail(event.request)

    async def test() -> None:
        async with endpoint(serve) as at, sidecar(react, known(e=at)) as s:
            assert (await (await s.client()).ask()).status == 502
            assert s.balancer.ends()[0].outcome == "reset"

    run(test)


# --- bodies of requests ---


@asynccontextmanager
async def uploads(**more: int) -> AsyncIterator[tuple[Setup, list[Message]]]:
    got: list[Message] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            got.append(message)
            writer.write(response(200, b"ok"))

    async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
        s.front.room.limit = more.get("room", bodies.ROOM_UNTOLD)
        yield s, got


@pytest.mark.parametrize(
    "size", [0, 1, connection.SMALL_BODY, connection.SMALL_BODY + 1, bodies.HELD_FREELY, bodies.HELD_FREELY + 1, LARGE]
)
@pytest.mark.parametrize("method", ["/read", "/tip"])
@pytest.mark.parametrize("chunked", [False, True])
def test_a_body_goes_on_unchanged(size: int, method: str, chunked: bool) -> None:
    """At each size where it is treated otherwise; the last byte of what may not be repeated follows the rest."""

    async def test() -> None:
        async with uploads() as (s, got):
            c = await s.client()
            if chunked:
                c.writer.write(
                    b"POST %b HTTP/1.1\r\nHost: x\r\nReq-Id: r \r\nReq-Deadline: \t9 \r\n"
                    b"Expect: 100-continue \r\nTransfer-Encoding: chunked \r\n\r\n" % method.encode()
                )
                assert (await c.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
                c.writer.write(chunks(PAGE[:size], 4096))
            else:
                c.send(method, method="POST", body=PAGE[:size])
            assert (await c.answer()).status == 200
            assert got[0].body == PAGE[:size]
            assert s.front.room.taken == 0 and s.wire.dispatches == 1

    run_real(test)


def test_bodies_wait_for_room_in_turn() -> None:
    """Guards against bodies that add up to more than the memory: those that come later are not read on."""
    size = 300_000

    async def test() -> None:
        async with uploads(room=2 * size + 1) as (s, got):
            clients: list[Client] = []
            for n in range(5):
                clients.append(await s.client())
                head = b"POST /tip HTTP/1.1\r\nHost: x\r\nReq-Id: r%d\r\nReq-Deadline: 9\r\nContent-Length: %d\r\n\r\n"
                clients[n].writer.write(head % (n, size) + PAGE[: size - 1])
            while len(s.front.room.waiting) < 3:
                await asyncio.sleep(0)
            assert s.front.room.taken == 2 * size and not got
            for c in clients:
                c.writer.write(PAGE[size - 1 : size])
            for c in clients:
                assert (await c.answer()).status == 200
            assert [m.body for m in got] == [PAGE[:size]] * 5
            assert s.front.room.taken == 0 and not s.front.room.waiting

    run(test)


def test_who_finds_no_room_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nothing of it has gone out: a repeat is harmless, and the client is told when."""
    monkeypatch.setattr(clients, "ROOM_FOR", 0.2)

    async def test() -> None:
        async with uploads(room=100_000) as (s, got):
            first, second = await s.client(), await s.client()
            head = b"POST /tip HTTP/1.1\r\nHost: x\r\nReq-Id: %b\r\nReq-Deadline: 9\r\nContent-Length: 90000\r\n\r\n"
            first.writer.write(head % b"r1")
            while not s.front.room.taken:
                await asyncio.sleep(0)
            second.writer.write(head % b"r2")
            refused = await second.answer()
            assert refused.status == 503 and float(refused.headers["retry-after"]) > 0
            first.writer.write(PAGE[:90000])
            assert (await first.answer()).status == 200 and len(got) == 1
            assert s.front.room.taken == 0

    run(test)


@pytest.mark.parametrize("chunked", [False, True])
def test_room_is_given_back_when_the_client_leaves(chunked: bool) -> None:
    async def test() -> None:
        async with uploads(room=1_000_000) as (s, _):
            c = await s.client()
            coding = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: 200000"
            c.writer.write(b"POST /tip HTTP/1.1\r\nHost: x\r\nReq-Id: r1\r\nReq-Deadline: 9\r\n%b\r\n\r\n" % coding)
            c.writer.write(b"30d40\r\n" * chunked + PAGE[:100_000])
            while not s.front.room.taken:
                await asyncio.sleep(0)
            c.writer.transport.abort()
            while s.front.count():
                await asyncio.sleep(0)
            assert s.front.room.taken == 0

    run(test)


def test_a_slow_body_is_waited_for_and_a_stopped_one_isn_t(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (clients, server):
        monkeypatch.setattr(module, "READ_FOR", 0.3)
    monkeypatch.setattr(server, "SLOWEST", 1000)

    async def test() -> None:
        async with uploads() as (s, _):
            slow, stopped = await s.client(), await s.client()
            head = b"POST /tip HTTP/1.1\r\nHost: x\r\nReq-Id: %b\r\nReq-Deadline: 9\r\nContent-Length: 1500\r\n\r\n"
            slow.writer.write(head % b"r1")
            stopped.writer.write(head % b"r2" + PAGE[:100])
            for n in range(15):
                slow.writer.write(PAGE[100 * n : 100 * n + 100])
                await asyncio.sleep(0.06)
            assert (await slow.answer()).status == 200
            assert (await stopped.answer()).status == 408

    run(test)


@pytest.mark.parametrize("chunked", [False, True])
def test_too_large_a_body_is_told_at_once(chunked: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "MOST_UPLOAD", 100_000)

    async def test() -> None:
        async with uploads() as (s, got):
            c = await s.client()
            coding = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: 100001"
            c.writer.write(b"POST /tip HTTP/1.1\r\nHost: x\r\nReq-Id: r1\r\nReq-Deadline: 9\r\n%b\r\n\r\n" % coding)
            if chunked:
                c.writer.write(b"186a1\r\n" + PAGE[:100_001])
            assert (await c.answer()).status == 413
            assert not got and s.front.room.taken == 0

    run(test)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(["take", "give", "leave"]), st.integers(0, 5), st.integers(1, 60)), max_size=60)
)
def test_room_is_never_overdrawn_and_is_served_in_turn(steps: list[tuple[str, int, int]]) -> None:
    """Against a naive list: what is taken stays within the limit, and nobody is served before who came first."""
    room, held, line = Room(100), {}, []  # type: ignore[var-annotated]
    for what, who, need in steps:
        if what == "take" and who not in held and who not in dict(line):
            if room.take(who, need):
                assert not line
                held[who] = need
            else:
                line.append((who, need))
        elif what == "give" and who in held:
            room.give(held.pop(who))
        elif what == "leave" and who in dict(line):
            room.leave(who)
            line = [x for x in line if x[0] != who]
        for served in room.granted():
            assert served == line.pop(0)
            held[served[0]] = served[1]
        assert room.taken == sum(held.values()) <= 100
        assert not line or room.taken + line[0][1] > 100


def test_room_follows_the_memory() -> None:
    assert body_memory_limit(None) == bodies.ROOM_UNTOLD
    assert body_memory_limit(32 << 20) == bodies.LEAST_ROOM
    assert body_memory_limit(80 << 20) == int(0.4 * (50 << 20))


# --- bodies that go out as they come ---


class Got:
    """What a server has read of its requests."""

    def __init__(self) -> None:
        self.read = 0
        self.whole: list[bytes] = []
        self.changed = asyncio.Event()

    async def until(self, met: Callable[[], bool]) -> None:
        while not met():
            self.changed.clear()
            await self.changed.wait()


def reading(got: Got, answer: bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", breaks_at: int = -1) -> Serve:
    """A server that counts what it reads, and breaks its first connection after so many bytes."""
    connections = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        breaks = breaks_at >= 0 and connections == 1
        while True:
            head = (await request(reader)).lower()
            parts: list[bytes] = []

            async def piece(n: int, parts: list[bytes] = parts) -> None:
                data = await reader.read(n)
                if not data:
                    raise ConnectionError
                parts.append(data)
                got.read += len(data)
                got.changed.set()

            if b"chunked" in head:
                while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                    end = sum(map(len, parts)) + size
                    while sum(map(len, parts)) < end:
                        await piece(end - sum(map(len, parts)))
                    await reader.readexactly(2)
                await reader.readexactly(2)
            else:
                size = int(head.split(b"content-length:")[1].split()[0])
                while (left := size - sum(map(len, parts))) > 0:
                    if breaks and size - left > breaks_at:
                        writer.transport.abort()
                        return
                    await piece(left)
            got.whole.append(b"".join(parts))
            got.changed.set()
            writer.write(answer)

    return serve


def head_of(method: str, length: int | None, request_id: str = "r1") -> bytes:
    coding = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    return (
        f"POST {method} HTTP/1.1\r\nHost: x\r\nReq-Id: {request_id}\r\nReq-Deadline: 9\r\n{coding}\r\n\r\n"
    ).encode()


@pytest.mark.parametrize("method", ["/read", "/tip"])
@pytest.mark.parametrize("chunked", [False, True])
def test_a_large_body_goes_out_as_it_comes(method: str, chunked: bool) -> None:
    """The endpoint reads while the client still sends, and has a whole request only once the client has sent one; the
    request's time begins then."""

    async def test() -> None:
        got = Got()
        async with endpoint(reading(got)) as at, sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            c.writer.write(head_of(method, None if chunked else LARGE))
            if chunked:
                c.writer.write(b"%x\r\n%b\r\n" % (LARGE - 1, PAGE[: LARGE - 1]))
            else:
                c.writer.write(PAGE[: LARGE - 1])
            await got.until(lambda: got.read >= LARGE - 2)
            assert not got.whole and s.wire.dispatches == 0 and s.sidecar.counts.concurrent == 0
            assert s.sidecar.requests["r1"].guard is None
            assert not any(isinstance(e, interface.UploadEnded) for _, e in s.balancer.received_events)
            c.writer.write(b"1\r\n%b\r\n0\r\n\r\n" % PAGE[LARGE - 1 : LARGE] if chunked else PAGE[LARGE - 1 : LARGE])
            assert (await c.answer()).status == 200
            assert got.whole == [PAGE[:LARGE]] and s.wire.dispatches == 1 and s.front.room.taken == 0
            c.send(method, method="POST", Req_Id="r2", body=b"x")
            assert (await c.answer()).status == 200  # both connections are kept
            (end,) = s.balancer.ends()[:1]
            ended_at = next(now for now, e in s.balancer.received_events if isinstance(e, interface.UploadEnded))
            answered_at = next(now for now, e in s.balancer.received_events if e is end)
            assert end.elapsed <= answered_at - ended_at + 1.0

    run(test)


@pytest.mark.parametrize("method", ["/read", "/tip", "/unlock"])
def test_what_breaks_before_the_last_byte_goes_again(method: str) -> None:
    """Half of a body has gone out: it can't have run, and the whole one is kept for another attempt."""

    def react(event: interface.Event) -> Iterable[interface.Action]:
        if isinstance(event, interface.RequestArrived) or (
            isinstance(event, interface.AttemptEnded) and not event.complete
        ):
            yield interface.Send(event.request, "e", 1e18)

    async def test() -> None:
        got = Got()
        async with endpoint(reading(got, breaks_at=LARGE // 3)) as at, sidecar(react, known(e=at)) as s:
            c = await s.client()
            c.writer.write(head_of(method, LARGE).replace(b"Host", b"Idempotency-Key: k\r\nHost"))
            c.writer.write(PAGE[: LARGE // 2])
            await s.balancer.until(lambda: bool(s.balancer.ends()))
            assert s.balancer.ends()[0].outcome == "dropped"
            c.writer.write(PAGE[LARGE // 2 : LARGE])
            assert (await c.answer()).status == 200
            assert got.whole == [PAGE[:LARGE]] and s.wire.dispatches == 1

    run(test)


@pytest.mark.parametrize("end", ["leaves", "stops", "spoils"])
def test_a_client_that_doesn_t_end_its_body_runs_nothing(end: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an endpoint that takes half a body for a whole one: its connection ends before the last byte."""
    for module in (clients, server):
        monkeypatch.setattr(module, "READ_FOR", 0.2)
    monkeypatch.setattr(server, "SLOWEST", 1 << 30)

    async def test() -> None:
        got = Got()
        async with endpoint(reading(got)) as at, sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            c.writer.write(head_of("/tip", None) + b"%x\r\n%b\r\n" % (LARGE, PAGE[:LARGE]))
            await got.until(lambda: got.read >= LARGE - 1)
            if end == "leaves":
                c.writer.transport.abort()
            else:
                c.writer.write(b"no chunk\r\n" * (end == "spoils"))
                assert (await c.answer()).status == (400 if end == "spoils" else 408)
            await s.balancer.until(lambda: bool(s.balancer.ends()))
            assert s.balancer.ends()[0].outcome == "not_sent" and s.wire.dispatches == 0 and not got.whole
            while s.front.count() or s.sidecar.requests or s.wire.open:
                c.writer.transport.abort()
                await asyncio.sleep(0.01)
            assert s.front.room.taken == 0 and s.sidecar.counts.concurrent == 0

    run(test)


def test_a_refusal_cuts_the_upload_short() -> None:
    """An answer is not held back until the client has sent what is of no use."""

    async def test() -> None:
        async with sidecar(
            lambda e: [interface.Refuse(e.request, 700.0)] if isinstance(e, interface.RequestArrived) else [],
            known(e="127.0.0.1:9"),
        ) as s:
            c = await s.client()
            c.writer.write(head_of("/tip", LARGE) + PAGE[:100_000])
            got = await c.answer()
            assert got.status == 503 and got.headers["connection"] == "close" and got.headers["retry-after"] == "0.700"
            assert s.front.room.taken == 0 and s.sidecar.counts.of("tip").refused == 1

    run(test)


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(st.binary(min_size=1, max_size=9), min_size=1, max_size=9), st.integers(0, 9), st.integers(0, 9))
def test_every_taker_gets_each_byte_once_and_the_last_one_last(pieces: list[bytes], joins: int, leaves: int) -> None:
    class Taker:
        def __init__(self) -> None:
            self.got, self.done = b"", False

        def more(self, data: bytes) -> None:
            assert not self.done
            self.got += data

        def last(self, data: bytes) -> None:
            self.got, self.done = self.got + data, True
            assert len(data) == 1

    body, first, late = bodies.Body(None), Taker(), Taker()
    body.follow(first)
    for n, piece in enumerate(pieces):
        if n == joins:
            body.follow(late)
        if n == leaves:
            body.leave(first)
        body.add(piece)
        assert len(first.got) < sum(map(len, pieces[: n + 1]))
    body.finish()
    whole = b"".join(pieces)
    assert body.bytes() == whole == body.bytes()
    assert first.done is (leaves >= len(pieces)) and (not first.done or first.got == whole)
    assert late.done is (joins < len(pieces)) and (not late.done or late.got == whole)


def held() -> list[object]:
    return [x for x in gc.get_objects() if isinstance(x, bodies.Body | dispatcher.Request | dispatcher.Attempt)]


@pytest.mark.parametrize("size", [100, LARGE])
def test_what_was_held_for_a_request_goes_with_its_answer(size: int) -> None:
    """Guards against bodies that wait for the collector of cycles: on a day of large ones they filled the memory."""

    async def test() -> None:
        async with uploads() as (s, _):
            c = await s.client()
            gc.collect()
            gc.disable()
            try:
                others = {id(x) for x in held()}
                for n in range(3):
                    c.send("/tip", method="POST", Req_Id=f"r{n}", body=PAGE[:size])
                    assert (await c.answer()).status == 200
                s.balancer.received_events.clear()
                assert {id(x) for x in held()} <= others
            finally:
                gc.enable()

    run(test)
