"""Streaming of large responses and request bodies in every framing of HTTP/1.1, and the memory limit of bodies."""

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
from zinclever.http1.bodies import MemoryBudget, body_memory_limit

LARGE = 1_000_003  # bytes: too many to be buffered as a response, or to be accepted by the kernel at once
PAGE = bytes(range(256)) * (LARGE // 256 + 1)
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def endpoint(serve: Serve) -> AsyncIterator[str]:
    """Run a server whose connections ``serve`` handles; yield its address."""
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


async def read_head(reader: asyncio.StreamReader) -> bytes:
    """Read the head of a request."""
    return await reader.readuntil(b"\r\n\r\n")


async def read_chunked(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body. Raises IncompleteReadError if it ends before its last chunk."""
    parts: list[bytes] = []
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        parts.append(await reader.readexactly(size))
        assert await reader.readexactly(2) == b"\r\n"
    assert await reader.readexactly(2) == b"\r\n"
    return b"".join(parts)


def encode_chunked(body: bytes, size: int) -> bytes:
    """Encode a body in chunks of ``size`` bytes."""
    parts = [body[n : n + size] for n in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"


async def until_attempt_ended(s: Setup, outcome: str) -> None:
    """Wait for the end of an attempt; check its outcome."""
    await s.balancer.until(lambda: bool(s.balancer.ends()))
    assert s.balancer.ends()[0].outcome == outcome and s.balancer.ends()[0].complete


@pytest.mark.parametrize("form", ["length", "chunked", "end"])
def test_large_response_is_streamed_completely(form: str) -> None:
    """For each framing of a response; the connection is reused unless its end marks the end of the response."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_head(reader)
            if form == "length":
                writer.write(b"HTTP/1.1 200 OK\r\nCONTENT-LENGTH: %d \r\n\r\n" % LARGE + PAGE[:LARGE])
            elif form == "chunked":
                writer.write(
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked \r\n\r\n" + encode_chunked(PAGE[:LARGE], 7777)
                )
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
                    assert await read_chunked(c.reader) == PAGE[:LARGE]
            assert len(s.wire.idle) == (0 if form == "end" else 1) and s.wire.open == len(s.wire.idle)
            assert s.sidecar.counts.concurrent == 0 and s.sidecar.counts.of("read").served == 2
            assert [e.outcome for e in s.balancer.ends()] == ["served"] * 2

    run(test)


def test_small_response_without_a_length_ends_with_its_connection() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\npage")

    async def test() -> None:
        async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
            got = await (await s.client()).fetch()
            assert got.status == 200 and got.body == b"page" and got.headers["content-length"] == "4"

    run(test)


def test_first_bytes_are_streamed_before_the_rest_is_received() -> None:
    """Guards against a large response that is delayed until it is complete.

    The attempt ends with its first bytes, so that the balancer doesn't learn the duration of the transfer as a latency.
    """

    async def test() -> None:
        send_rest = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE + PAGE[:10])
            await send_rest.wait()
            writer.write(PAGE[10:LARGE])
            await writer.drain()

        async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            c.send()
            await c.reader.readuntil(b"\r\n\r\n")
            assert await c.reader.readexactly(10) == PAGE[:10]
            await until_attempt_ended(s, "served")
            assert s.sidecar.counts.concurrent == 1
            send_rest.set()
            assert await c.reader.readexactly(LARGE - 10) == PAGE[10:LARGE]

    run(test)


@pytest.mark.parametrize("form", ["length", "chunked"])
def test_client_can_detect_a_truncated_response(form: str) -> None:
    """Guards against a truncated response that looks complete, and against a second response behind it."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        if form == "length":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE + PAGE[: LARGE // 2])
        else:
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + encode_chunked(PAGE[:LARGE], 7777)[:-7]
            )
        await writer.drain()

    async def test() -> None:
        async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            c.send()
            await c.reader.readuntil(b"\r\n\r\n")
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await (c.reader.readexactly(LARGE) if form == "length" else read_chunked(c.reader))
            replies = s.sidecar.counts.of("read")
            assert (replies.served, replies.failed, s.sidecar.counts.concurrent) == (0, 1, 0)
            assert s.wire.open == 0

    run(test)


def set_stall_timeout(monkeypatch: pytest.MonkeyPatch, seconds: float) -> None:
    """Set the default of ``dial``: the constant itself is read only when that function is defined."""
    defaults = (connection.MAX_BUFFERED_BODY, False, connection.STALL_TIMEOUT)
    assert connection.dial.__defaults__ == defaults
    monkeypatch.setattr(connection.dial, "__defaults__", (*defaults[:2], seconds))


def test_stalled_server_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """A response that stalls is given up after the timeout, long before the deadline of its request."""
    set_stall_timeout(monkeypatch, 0.1)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n0")
        await asyncio.Event().wait()

    async def test() -> None:
        async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
            started_at = asyncio.get_running_loop().time()
            assert (await (await s.client()).fetch()).status != 200
            assert asyncio.get_running_loop().time() < started_at + connection.STALL_TIMEOUT

    run(test)


def test_stalled_server_ends_the_stream(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "STREAM_STALL_TIMEOUT", 0.1)
    set_stall_timeout(monkeypatch, 0.05)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
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


def test_response_in_small_parts_is_not_a_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against taking a slow server for a stalled one: the time between two reads counts, not the total time."""
    set_stall_timeout(monkeypatch, 0.2)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        for piece in (b"HTTP/1.1 200 OK\r\nContent-Le", b"ngth: 6\r\n\r\n", *(b"%d" % n for n in range(6))):
            writer.write(piece)
            await asyncio.sleep(0.06)

    async def test() -> None:
        async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
            assert (await (await s.client()).fetch()).body == b"012345"

    run(test)


def test_slow_client_slows_the_server_down() -> None:
    """Guards against buffering a response in memory: it is read no faster than the client reads it."""
    size = 24 << 20

    async def test() -> None:
        written = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal written
            await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            part = bytes(1 << 16)
            while written < size:
                writer.write(part)
                await writer.drain()
                written += len(part)

        async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            c.writer.transport.pause_reading()  # type: ignore[attr-defined]
            c.send()
            await until_attempt_ended(s, "served")
            (server_connection,) = (
                s.front.entered_at[clients.ConnectionState.WRITING]
                or s.front.entered_at[clients.ConnectionState.STREAMING]
            )
            while server_connection.state is not clients.ConnectionState.WRITING:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)
            assert server_connection.transport.get_write_buffer_size() < 1 << 20 and written < size // 2
            c.writer.transport.resume_reading()  # type: ignore[attr-defined]
            await c.reader.readuntil(b"\r\n\r\n")
            assert len(await c.reader.readexactly(size)) == size
            assert list(s.front.entered_at[clients.ConnectionState.IDLE]) == [server_connection]

    run(test)


def test_disconnected_client_ends_the_stream() -> None:
    async def test() -> None:
        connection_ended = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE + PAGE[:10])
            try:
                await reader.read(1)
            finally:
                connection_ended.set()

        async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            c.send()
            await c.reader.readuntil(b"\r\n\r\n")
            c.writer.transport.abort()
            await connection_ended.wait()
            assert s.wire.open == 0 and s.sidecar.counts.concurrent == 0

    run(test)


def test_request_pipelined_behind_a_stream_is_answered_after_it() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await read_head(reader)
            size = LARGE if b"r1" in head else 3
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + PAGE[:size])
            await writer.drain()

    async def test() -> None:
        async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            c.send(Req_Id="r1")
            c.send(Req_Id="r2")
            assert [len((await c.answer()).body) for _ in range(2)] == [LARGE, 3]

    run(test)


def test_response_of_three_gigabytes_is_rejected() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + PAGE)
        await asyncio.Event().wait()

    def react(event: interface.Event) -> Iterable[interface.Action]:
        if isinstance(event, interface.RequestArrived):
            yield interface.Send(event.request, "e", event.deadline)
        elif isinstance(event, interface.AttemptEnded):
            yield interface.Fail(event.request)

    async def test() -> None:
        async with endpoint(serve) as at, sidecar(react, known(e=at)) as s:
            assert (await (await s.client()).fetch()).status == 502
            assert s.balancer.ends()[0].outcome == "reset"

    run(test)


# --- request bodies ---


@asynccontextmanager
async def uploads(**options: int) -> AsyncIterator[tuple[Setup, list[Message]]]:
    """Run a sidecar whose bodies may use ``memory`` bytes, and an endpoint; yield the requests that it receives."""
    received: list[Message] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            received.append(message)
            writer.write(response(200, b"ok"))

    async with endpoint(serve) as at, sidecar(send_to("e"), known(e=at)) as s:
        s.front.room.limit = options.get("memory", bodies.DEFAULT_BODY_MEMORY)
        yield s, received


@pytest.mark.parametrize(
    "size",
    [
        0,
        1,
        connection.MAX_COPIED_BODY,
        connection.MAX_COPIED_BODY + 1,
        bodies.UNRESERVED_BODY_SIZE,
        bodies.UNRESERVED_BODY_SIZE + 1,
        LARGE,
    ],
)
@pytest.mark.parametrize("method", ["/read", "/tip"])
@pytest.mark.parametrize("chunked", [False, True])
def test_body_is_forwarded_unchanged(size: int, method: str, chunked: bool) -> None:
    """At each size from which it is handled differently. The last byte of an unsafe request is withheld briefly."""

    async def test() -> None:
        async with uploads() as (s, got):
            c = await s.client()
            if chunked:
                c.writer.write(
                    b"POST %b HTTP/1.1\r\nHost: x\r\nReq-Id: r \r\nReq-Deadline: \t9 \r\n"
                    b"Expect: 100-continue \r\nTransfer-Encoding: chunked \r\n\r\n" % method.encode()
                )
                assert (await c.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
                c.writer.write(encode_chunked(PAGE[:size], 4096))
            else:
                c.send(method, method="POST", body=PAGE[:size])
            assert (await c.answer()).status == 200
            assert got[0].body == PAGE[:size]
            assert s.front.room.used == 0 and s.wire.dispatches == 1

    run_real(test)


def test_bodies_wait_for_memory_in_order_of_arrival() -> None:
    """Guards against bodies that exceed the memory in total: later ones are not read until memory is available."""
    size = 300_000

    async def test() -> None:
        async with uploads(memory=2 * size + 1) as (s, got):
            clients: list[Client] = []
            for n in range(5):
                clients.append(await s.client())
                head = b"POST /tip HTTP/1.1\r\nHost: x\r\nReq-Id: r%d\r\nReq-Deadline: 9\r\nContent-Length: %d\r\n\r\n"
                clients[n].writer.write(head % (n, size) + PAGE[: size - 1])
            while len(s.front.room.waiting) < 3:
                await asyncio.sleep(0)
            assert s.front.room.used == 2 * size and not got
            for c in clients:
                c.writer.write(PAGE[size - 1 : size])
            for c in clients:
                assert (await c.answer()).status == 200
            assert [m.body for m in got] == [PAGE[:size]] * 5
            assert s.front.room.used == 0 and not s.front.room.waiting

    run(test)


def test_request_that_waits_too_long_for_memory_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nothing of it was forwarded: it is answered with 503 and Retry-After."""
    monkeypatch.setattr(clients, "MEMORY_TIMEOUT", 0.2)

    async def test() -> None:
        async with uploads(memory=100_000) as (s, got):
            first, second = await s.client(), await s.client()
            head = b"POST /tip HTTP/1.1\r\nHost: x\r\nReq-Id: %b\r\nReq-Deadline: 9\r\nContent-Length: 90000\r\n\r\n"
            first.writer.write(head % b"r1")
            while not s.front.room.used:
                await asyncio.sleep(0)
            second.writer.write(head % b"r2")
            refused = await second.answer()
            assert refused.status == 503 and float(refused.headers["retry-after"]) > 0
            first.writer.write(PAGE[:90000])
            assert (await first.answer()).status == 200 and len(got) == 1
            assert s.front.room.used == 0

    run(test)


@pytest.mark.parametrize("chunked", [False, True])
def test_memory_is_released_when_the_client_disconnects(chunked: bool) -> None:
    async def test() -> None:
        async with uploads(memory=1_000_000) as (s, _):
            c = await s.client()
            coding = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: 200000"
            c.writer.write(b"POST /tip HTTP/1.1\r\nHost: x\r\nReq-Id: r1\r\nReq-Deadline: 9\r\n%b\r\n\r\n" % coding)
            c.writer.write(b"30d40\r\n" * chunked + PAGE[:100_000])
            while not s.front.room.used:
                await asyncio.sleep(0)
            c.writer.transport.abort()
            while s.front.count():
                await asyncio.sleep(0)
            assert s.front.room.used == 0

    run(test)


def test_stalled_upload_times_out_and_slow_one_does_not(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (clients, server):
        monkeypatch.setattr(module, "READ_FOR", 0.3)
    monkeypatch.setattr(server, "MIN_UPLOAD_RATE", 1000)

    async def test() -> None:
        async with uploads() as (s, _):
            slow, stalled = await s.client(), await s.client()
            head = b"POST /tip HTTP/1.1\r\nHost: x\r\nReq-Id: %b\r\nReq-Deadline: 9\r\nContent-Length: 1500\r\n\r\n"
            slow.writer.write(head % b"r1")
            stalled.writer.write(head % b"r2" + PAGE[:100])
            for n in range(15):
                slow.writer.write(PAGE[100 * n : 100 * n + 100])
                await asyncio.sleep(0.06)
            assert (await slow.answer()).status == 200
            assert (await stalled.answer()).status == 408

    run(test)


@pytest.mark.parametrize("chunked", [False, True])
def test_too_large_body_is_rejected_immediately(chunked: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "MAX_REQUEST_BODY", 100_000)

    async def test() -> None:
        async with uploads() as (s, got):
            c = await s.client()
            coding = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: 100001"
            c.writer.write(b"POST /tip HTTP/1.1\r\nHost: x\r\nReq-Id: r1\r\nReq-Deadline: 9\r\n%b\r\n\r\n" % coding)
            if chunked:
                c.writer.write(b"186a1\r\n" + PAGE[:100_001])
            assert (await c.answer()).status == 413
            assert not got and s.front.room.used == 0

    run(test)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(["reserve", "release", "stop_waiting"]), st.integers(0, 5), st.integers(1, 60)),
        max_size=60,
    )
)
def test_memory_budget_is_never_exceeded_and_is_granted_in_order(steps: list[tuple[str, int, int]]) -> None:
    """Against a simple model: the used bytes stay within the limit, and owners are served in order of arrival."""
    budget, reserved, queue = MemoryBudget(100), {}, []  # type: ignore[var-annotated]
    for operation, owner, size in steps:
        if operation == "reserve" and owner not in reserved and owner not in dict(queue):
            if budget.reserve(owner, size):
                assert not queue
                reserved[owner] = size
            else:
                queue.append((owner, size))
        elif operation == "release" and owner in reserved:
            budget.release(reserved.pop(owner))
        elif operation == "stop_waiting" and owner in dict(queue):
            budget.stop_waiting(owner)
            queue = [entry for entry in queue if entry[0] != owner]
        for granted in budget.grant_waiting():
            assert granted == queue.pop(0)
            reserved[granted[0]] = granted[1]
        assert budget.used == sum(reserved.values()) <= 100
        assert not queue or budget.used + queue[0][1] > 100


def test_body_memory_is_derived_from_the_process_memory() -> None:
    assert body_memory_limit(None) == bodies.DEFAULT_BODY_MEMORY
    assert body_memory_limit(32 << 20) == bodies.MIN_BODY_MEMORY
    assert body_memory_limit(80 << 20) == int(0.4 * (50 << 20))


# --- bodies that are forwarded while they are received ---


class ReceivedBodies:
    """What a server has read of its requests' bodies."""

    def __init__(self) -> None:
        self.byte_count = 0
        self.complete_bodies: list[bytes] = []
        self.changed = asyncio.Event()

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition is met; it is checked whenever bytes are received."""
        while not condition():
            self.changed.clear()
            await self.changed.wait()


def body_reader(
    received: ReceivedBodies, response: bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", breaks_at: int = -1
) -> Serve:
    """Return a server that records the bodies it reads. It aborts its first connection after ``breaks_at`` bytes."""
    connections = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        is_breaking = breaks_at >= 0 and connections == 1
        while True:
            head = (await read_head(reader)).lower()
            parts: list[bytes] = []

            async def read_part(n: int, parts: list[bytes] = parts) -> None:
                data = await reader.read(n)
                if not data:
                    raise ConnectionError
                parts.append(data)
                received.byte_count += len(data)
                received.changed.set()

            if b"chunked" in head:
                while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                    end = sum(map(len, parts)) + size
                    while sum(map(len, parts)) < end:
                        await read_part(end - sum(map(len, parts)))
                    await reader.readexactly(2)
                await reader.readexactly(2)
            else:
                size = int(head.split(b"content-length:")[1].split()[0])
                while (remaining := size - sum(map(len, parts))) > 0:
                    if is_breaking and size - remaining > breaks_at:
                        writer.transport.abort()
                        return
                    await read_part(remaining)
            received.complete_bodies.append(b"".join(parts))
            received.changed.set()
            writer.write(response)

    return serve


def head_of(method: str, length: int | None, request_id: str = "r1") -> bytes:
    """Return the head of a request; its body is chunked if ``length`` is None."""
    coding = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    return (
        f"POST {method} HTTP/1.1\r\nHost: x\r\nReq-Id: {request_id}\r\nReq-Deadline: 9\r\n{coding}\r\n\r\n"
    ).encode()


@pytest.mark.parametrize("method", ["/read", "/tip"])
@pytest.mark.parametrize("chunked", [False, True])
def test_large_body_is_forwarded_while_it_is_received(method: str, chunked: bool) -> None:
    """The endpoint reads while the client still sends, and has a complete request only once the client has sent one.

    The deadline counts from then.
    """

    async def test() -> None:
        received = ReceivedBodies()
        async with endpoint(body_reader(received)) as at, sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            c.writer.write(head_of(method, None if chunked else LARGE))
            if chunked:
                c.writer.write(b"%x\r\n%b\r\n" % (LARGE - 1, PAGE[: LARGE - 1]))
            else:
                c.writer.write(PAGE[: LARGE - 1])
            await received.until(lambda: received.byte_count >= LARGE - 2)
            assert not received.complete_bodies and s.wire.dispatches == 0 and s.sidecar.counts.concurrent == 0
            assert s.sidecar.requests["r1"].guard is None
            assert not any(isinstance(e, interface.UploadEnded) for _, e in s.balancer.received_events)
            c.writer.write(b"1\r\n%b\r\n0\r\n\r\n" % PAGE[LARGE - 1 : LARGE] if chunked else PAGE[LARGE - 1 : LARGE])
            assert (await c.answer()).status == 200
            assert received.complete_bodies == [PAGE[:LARGE]] and s.wire.dispatches == 1 and s.front.room.used == 0
            c.send(method, method="POST", Req_Id="r2", body=b"x")
            assert (await c.answer()).status == 200  # both connections are reused
            (end,) = s.balancer.ends()[:1]
            ended_at = next(now for now, e in s.balancer.received_events if isinstance(e, interface.UploadEnded))
            answered_at = next(now for now, e in s.balancer.received_events if e is end)
            assert end.elapsed <= answered_at - ended_at + 1.0

    run(test)


@pytest.mark.parametrize("method", ["/read", "/tip", "/unlock"])
def test_upload_that_breaks_before_its_last_byte_is_retried(method: str) -> None:
    """An incomplete request can't have been executed, and its body is buffered for another attempt."""

    def react(event: interface.Event) -> Iterable[interface.Action]:
        if isinstance(event, interface.RequestArrived) or (
            isinstance(event, interface.AttemptEnded) and not event.complete
        ):
            yield interface.Send(event.request, "e", 1e18)

    async def test() -> None:
        received = ReceivedBodies()
        async with endpoint(body_reader(received, breaks_at=LARGE // 3)) as at, sidecar(react, known(e=at)) as s:
            c = await s.client()
            c.writer.write(head_of(method, LARGE).replace(b"Host", b"Idempotency-Key: k\r\nHost"))
            c.writer.write(PAGE[: LARGE // 2])
            await s.balancer.until(lambda: bool(s.balancer.ends()))
            assert s.balancer.ends()[0].outcome == "dropped"
            c.writer.write(PAGE[LARGE // 2 : LARGE])
            assert (await c.answer()).status == 200
            assert received.complete_bodies == [PAGE[:LARGE]] and s.wire.dispatches == 1

    run(test)


@pytest.mark.parametrize("end", ["disconnects", "stalls", "invalid_chunk"])
def test_incomplete_upload_is_never_executed(end: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an endpoint that takes an incomplete body for a complete one: the last byte is never sent."""
    for module in (clients, server):
        monkeypatch.setattr(module, "READ_FOR", 0.2)
    monkeypatch.setattr(server, "MIN_UPLOAD_RATE", 1 << 30)

    async def test() -> None:
        received = ReceivedBodies()
        async with endpoint(body_reader(received)) as at, sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            c.writer.write(head_of("/tip", None) + b"%x\r\n%b\r\n" % (LARGE, PAGE[:LARGE]))
            await received.until(lambda: received.byte_count >= LARGE - 1)
            if end == "disconnects":
                c.writer.transport.abort()
            else:
                c.writer.write(b"no chunk\r\n" * (end == "invalid_chunk"))
                assert (await c.answer()).status == (400 if end == "invalid_chunk" else 408)
            await s.balancer.until(lambda: bool(s.balancer.ends()))
            assert (
                s.balancer.ends()[0].outcome == "not_sent" and s.wire.dispatches == 0 and not received.complete_bodies
            )
            while s.front.count() or s.sidecar.requests or s.wire.open:
                c.writer.transport.abort()
                await asyncio.sleep(0.01)
            assert s.front.room.used == 0 and s.sidecar.counts.concurrent == 0

    run(test)


def test_refusal_is_sent_before_the_upload_ends() -> None:
    """Guards against delaying the response until the client has sent a body that nobody needs."""

    async def test() -> None:
        async with sidecar(
            lambda e: [interface.Refuse(e.request, 700.0)] if isinstance(e, interface.RequestArrived) else [],
            known(e="127.0.0.1:9"),
        ) as s:
            c = await s.client()
            c.writer.write(head_of("/tip", LARGE) + PAGE[:100_000])
            got = await c.answer()
            assert got.status == 503 and got.headers["connection"] == "close" and got.headers["retry-after"] == "0.700"
            assert s.front.room.used == 0 and s.sidecar.counts.of("tip").refused == 1

    run(test)


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(st.binary(min_size=1, max_size=9), min_size=1, max_size=9), st.integers(0, 9), st.integers(0, 9))
def test_each_consumer_receives_each_byte_once_and_the_last_byte_separately(
    parts: list[bytes], subscribed_at: int, unsubscribed_at: int
) -> None:
    class Consumer:
        def __init__(self) -> None:
            self.received, self.done = b"", False

        def on_data(self, data: bytes) -> None:
            assert not self.done
            self.received += data

        def on_last_byte(self, data: bytes) -> None:
            self.received, self.done = self.received + data, True
            assert len(data) == 1

    body, first, late = bodies.Body(None), Consumer(), Consumer()
    body.subscribe(first)
    for n, part in enumerate(parts):
        if n == subscribed_at:
            body.subscribe(late)
        if n == unsubscribed_at:
            body.unsubscribe(first)
        body.add(part)
        assert len(first.received) < sum(map(len, parts[: n + 1]))
    body.finish()
    content = b"".join(parts)
    assert body.content() == content == body.content()
    assert first.done is (unsubscribed_at >= len(parts)) and (not first.done or first.received == content)
    assert late.done is (subscribed_at < len(parts)) and (not late.done or late.received == content)


def body_holders() -> list[object]:
    """Return the existing objects that may refer to a body."""
    return [x for x in gc.get_objects() if isinstance(x, bodies.Body | dispatcher.Request | dispatcher.Attempt)]


@pytest.mark.parametrize("size", [100, LARGE])
def test_memory_of_a_request_is_freed_with_its_response(size: int) -> None:
    """Guards against reference cycles that keep bodies in memory until the garbage collector runs."""

    async def test() -> None:
        async with uploads() as (s, _):
            c = await s.client()
            gc.collect()
            gc.disable()
            try:
                others = {id(x) for x in body_holders()}
                for n in range(3):
                    c.send("/tip", method="POST", Req_Id=f"r{n}", body=PAGE[:size])
                    assert (await c.answer()).status == 200
                s.balancer.received_events.clear()
                assert {id(x) for x in body_holders()} <= others
            finally:
                gc.enable()

    run(test)
