"""Connections to endpoints: invalid responses, broken connections, cancellation, and effects on concurrent calls."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections import Counter
from collections.abc import Iterable
from typing import Any

import pytest
from loopback import SYSTEM, TEST_TIMEOUT, run_real
from rpc import READ, TIP, Setup, result, service

from zinclever import interface
from zinclever.core import shared
from zinclever.jsonrpc import codec, connection
from zinclever.jsonrpc.connection import ClientConnection, ErrorCodeMapping, Exchange, Payload, dial
from zinclever.standins import Fault, always, audit


def send_to_manual(event: interface.Event) -> Iterable[interface.Action]:
    """Script of a balancer that sends each request to the manual endpoint, without retries."""
    if isinstance(event, interface.RequestArrived):
        yield interface.Send(event.request, listed[-1], 0.0)
    elif isinstance(event, interface.MembershipUpdate):
        listed[:] = [e.endpoint for e in event.entries] or listed
    elif isinstance(event, interface.AttemptEnded) and not event.complete:
        yield interface.Refuse(event.request) if event.outcome in interface.NEVER_RAN else interface.Fail(event.request)


listed: list[str] = []


async def until(condition: Any) -> None:
    async with asyncio.timeout(TEST_TIMEOUT):
        while not condition():
            await asyncio.sleep(0.001)


async def start_tip_and_read(s: Setup) -> tuple[Any, Any, int, int, asyncio.StreamWriter]:
    """Send a tip and a read over one connection.

    Returns their futures, their ids and the writer for their responses.
    """
    c = await s.client()
    tip, read = c.call(TIP, name="tip"), c.call(READ, name="read")
    tip_id, writer = await s.manual.next("tip")
    read_id, other = await s.manual.next("read")
    assert other is writer
    return tip, read, tip_id, read_id, writer


@pytest.mark.parametrize(
    ("stray", "kind"),
    [
        (result(999), "unknown"),
        (b'{"jsonrpc":"2.0","id":"1","result":1}\n', "unknown"),
        (b'{"jsonrpc":"2.0","id":1.0,"result":1}\n', "unknown"),
        (b'{"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"?"}}\n', "null"),
        (b'{"jsonrpc":"2.0","id":null,"result":1}\n', "null"),
    ],
)
def test_unmatched_response_does_not_affect_pending_calls(stray: bytes, kind: str) -> None:
    async def test() -> None:
        async with service(react=send_to_manual, manual_endpoint=True) as s:
            tip, read, tip_id, read_id, writer = await start_tip_and_read(s)
            writer.write(stray)
            await until(lambda: s.service.wire.counts[kind] == 1)
            assert not s.outcomes()
            writer.write(result(read_id) + result(tip_id))
            assert "result" in await tip and "result" in await read
            # The text that an error with id null refers to is unknown: the connection is not used for new calls.
            later = s.clients[0].call(READ, name="again")
            id, other = await s.manual.next("again")
            assert (other is writer) == (kind != "null")
            other.write(result(id))
            assert "result" in await later

    run_real(test)


def test_repeated_response_is_ignored() -> None:
    async def test() -> None:
        async with service(react=send_to_manual, manual_endpoint=True) as s:
            tip, read, tip_id, read_id, writer = await start_tip_and_read(s)
            writer.write(result(read_id) + result(read_id))
            assert "result" in await read
            await until(lambda: s.service.wire.counts["repeated"] == 1)
            assert not tip.done()
            writer.write(result(tip_id))
            assert "result" in await tip and s.outcomes() == ["served", "served"]

    run_real(test)


def test_response_to_a_cancelled_call_is_discarded() -> None:
    """It is counted, and other calls on the connection are not affected."""

    async def test() -> None:
        async with service(react=send_to_manual, manual_endpoint=True) as s:
            tip, read, tip_id, read_id, writer = await start_tip_and_read(s)
            request = next(iter(s.service.dispatcher.requests))
            s.service.dispatcher.finish(request, failed_answer())
            s.service.dispatcher.cancel(interface.Cancel(request, 0))
            assert "error" in await tip
            writer.write(result(tip_id) + result(read_id))
            assert "result" in await read
            assert dict(s.service.wire.counts) == {"late": 1}
            assert s.outcomes() == ["cancelled", "served"] and not s.service.dispatcher.requests

    run_real(test)


def failed_answer() -> Any:
    from zinclever.core.protocol import Failed

    return Failed()


INVALID_DATA = {
    "array": b'[{"jsonrpc":"2.0","id":1,"result":1}]\n',
    "noise": b"\x16\x03\x01\n",
    "half": b'{"jsonrpc":"2.0","id":1,',
    "nothing": b"",
    "cut in a number": b'{"jsonrpc":"2.0","id":1',
    "both": b'{"jsonrpc":"2.0","id":1,"result":1,"error":{"code":1,"message":""}}\n',
    "twice a result": b'{"jsonrpc":"2.0","id":1,"result":1,"result":2}\n',
}


@pytest.mark.parametrize("name", INVALID_DATA)
def test_invalid_data_closes_the_connection(name: str) -> None:
    """All pending calls may have run: the tip fails and must not be sent again."""

    async def test() -> None:
        async with service(manual_endpoint=True, deadline=2000.0, aim=1000.0) as s:
            tip, read, _, _, writer = await start_tip_and_read(s)
            writer.write(INVALID_DATA[name])
            if name in ("half", "nothing", "cut in a number"):
                writer.close()
            response = await tip
            assert response["error"]["code"] == codec.FAILED
            if not read.done():  # it may be repeated, as it is safe
                id, other = await s.manual.next("read")
                assert other is not writer
                other.write(result(id))
            await read
            assert s.manual.requests().count("tip") == 1
            assert s.service.wire.counts["noise"] == (0 if name in ("half", "nothing", "cut in a number") else 1)

    run_real(test)


def test_oversized_response_closes_the_connection() -> None:
    """Guards against an endpoint that fills the memory."""

    async def test() -> None:
        async with service(react=send_to_manual, manual_endpoint=True) as s:
            tip, read, tip_id, _, writer = await start_tip_and_read(s)
            writer.write(b'{"jsonrpc":"2.0","id":%d,"result":"' % tip_id)
            chunk = b"x" * (1 << 16)
            with pytest.raises(ConnectionError):
                for _ in range(60 << 4):
                    writer.write(chunk)
                    await writer.drain()
            await tip
            await read
            assert s.outcomes() == ["reset", "reset"] and s.service.wire.counts["noise"] == 1

    run_real(test)


def test_valid_response_before_invalid_data_counts() -> None:
    """The other pending call may have run and fails."""

    async def test() -> None:
        async with service(react=send_to_manual, manual_endpoint=True) as s:
            tip, read, tip_id, _, writer = await start_tip_and_read(s)
            writer.write(result(tip_id) + b"noise\n")
            assert "result" in await tip
            assert (await read)["error"]["code"] == codec.FAILED
            assert s.outcomes() == ["served", "reset"]

    run_real(test)


class RecordingWatcher:
    """Records the notifications of a connection."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def idle(self, connection: ClientConnection) -> None:
        self.events.append("idle")

    def retired(self, connection: ClientConnection) -> None:
        self.events.append("retired")

    def lost(self, connection: ClientConnection) -> None:
        self.events.append("lost")


class Pipe:
    """A connection whose other end is read by the test, with a small receive buffer."""

    async def open(self) -> Pipe:
        self.loop = asyncio.get_running_loop()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        self.watcher = RecordingWatcher()
        error_codes = ErrorCodeMapping(frozenset(), frozenset())
        self.connection = await dial(
            SYSTEM, listener.getsockname(), 5.0, "lines", error_codes.classify, self.watcher, Counter()
        )
        self.other, _ = await self.loop.sock_accept(listener)
        listener.close()
        self.outcomes: dict[str, str] = {}
        return self

    def call(self, name: str, size: int = 0) -> Exchange:
        def on_ended(outcome: interface.Outcome, reply: Any = None, report: Any = None) -> None:
            self.outcomes[name] = outcome

        tail = b',"jsonrpc":"2.0","method":"%b","params":["%b"]}' % (name.encode(), b"x" * size)
        exchange = Exchange(Payload(b'{"id":', tail), on_ended)
        exchange.run(self.connection)
        return exchange

    async def read_lines(self, count: int) -> list[bytes]:
        received, line_count = bytearray(), 0
        while line_count < count:
            chunk = await self.loop.sock_recv(self.other, 1 << 20)
            line_count += chunk.count(b"\n")
            received += chunk
        return bytes(received).split(b"\n")[:count]


HUGE = 8 << 20  # more than the kernel's buffers hold


def test_only_calls_without_a_written_byte_are_dropped_when_the_connection_breaks() -> None:
    """Guards against repeating calls that were written completely or partly."""

    async def test() -> None:
        p = await Pipe().open()
        written = p.call("written")
        await p.read_lines(1)
        half, unwritten = p.call("half", HUGE), p.call("unwritten")
        await p.loop.sock_recv(p.other, 100)
        assert (written.begun(), half.begun(), unwritten.begun()) == (True, True, False)
        p.other.close()
        await until(lambda: len(p.outcomes) == 3)
        assert p.outcomes == {"written": "reset", "half": "reset", "unwritten": "dropped"}
        assert p.watcher.events == ["lost"]

    run_real(test)


def test_partly_written_call_is_truncated_when_it_is_cancelled() -> None:
    """Guards against a call that runs after its client got the final answer; other calls must not be affected."""

    async def test() -> None:
        p = await Pipe().open()
        p.call("first")
        half, after = p.call("half", HUGE), p.call("after")
        unwritten = p.call("unwritten")
        await p.loop.sock_recv(p.other, 10)
        half.cancel(False)
        unwritten.cancel(False)
        lines = await p.read_lines(3)
        with pytest.raises(ValueError):
            json.loads(lines[1])
        assert len(lines[1]) < HUGE and json.loads(lines[2])["method"] == "after"
        assert not p.outcomes and after.begun()
        error = b'{"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":""}}\n'
        await p.loop.sock_sendall(p.other, error + result(3) + result(1))
        await until(lambda: len(p.outcomes) == 2)
        assert p.outcomes == {"after": "served", "first": "served"}
        assert not p.connection.counts and not p.connection.is_retired, (
            "an error with id null is expected after a truncated call"
        )
        p.other.close()

    run_real(test)


def test_drop_unsent_does_not_affect_a_partly_written_call() -> None:
    """When an endpoint drains, calls queued behind a partly written one must not be sent."""

    async def test() -> None:
        p = await Pipe().open()
        p.call("half", HUGE)
        p.call("waits")
        await p.loop.sock_recv(p.other, 10)
        p.connection.drop_unsent()
        assert p.outcomes == {"waits": "dropped"}
        p.connection.finish()
        lines = await p.read_lines(1)
        assert len(lines[0]) > HUGE - 100
        await p.loop.sock_sendall(p.other, result(1))
        await until(lambda: len(p.outcomes) == 2)
        assert p.outcomes["half"] == "served" and p.watcher.events == ["retired", "lost"]
        p.other.close()

    run_real(test)


def test_call_that_is_cancelled_before_it_is_written_is_not_sent() -> None:
    async def test() -> None:
        p = await Pipe().open()
        p.call("first")
        p.call("a").cancel(False)
        p.call("b")
        assert [json.loads(line)["method"] for line in await p.read_lines(2)] == ["first", "b"]
        p.other.close()
        await until(lambda: len(p.outcomes) == 2)
        assert p.outcomes == {"first": "reset", "b": "reset"}

    run_real(test)


def test_connection_without_any_response_is_retired_after_a_timeout() -> None:
    """Guards against sending further calls over a dead connection."""

    async def test() -> None:
        for has_response in (False, True):
            p = await Pipe().open()
            first, second = p.call("a"), p.call("b")
            await p.read_lines(2)
            if has_response:
                await asyncio.sleep(0.005)
                await p.loop.sock_sendall(p.other, result(2))
                await until(lambda: "b" in p.outcomes)  # noqa: B023
            first.cancel(True)
            assert p.connection.is_retired != has_response
            second.cancel(True)
            assert p.connection.is_closed != has_response
            p.other.close()

    run_real(test)


def test_connection_is_retired_after_too_many_abandoned_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "MAX_ABANDONED_CALLS", 5)

    async def test() -> None:
        p = await Pipe().open()
        calls = [p.call(str(n)) for n in range(6)]
        await p.read_lines(6)
        for call in calls[:5]:
            call.cancel(False)
        assert p.connection.is_retired and not p.connection.is_closed
        await p.loop.sock_sendall(p.other, result(6))
        await until(lambda: p.connection.is_closed)
        assert p.outcomes == {"5": "served"}
        p.other.close()

    run_real(test)


def test_closed_idle_connection_is_replaced() -> None:
    """The endpoint closes an idle connection: the next call must use a new one."""

    async def test() -> None:
        async with service(manual_endpoint=True) as s:
            c = await s.client()
            for n in range(5):
                call = c.call(TIP, name=f"t{n}")
                id, writer = await s.manual.next(f"t{n}")
                writer.write(result(id))
                assert "result" in await call
                # Shut down at once, so that the event loop has not noticed it before the next call.
                with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as duplicate:
                    duplicate.shutdown(socket.SHUT_RDWR)
            assert s.manual.connections == 5

    run_real(test)


def test_idle_connections_are_closed_before_the_endpoint_closes_them() -> None:
    async def test() -> None:
        async with service(always(), more="connection_idle_ms = 100") as s:
            c = await s.client()
            await c.call(READ)
            await until(lambda: not s.service.wire.pool_by_connection)
            assert s.service.front.descriptors.open == 0
            assert "result" in await c.call(READ) and s.endpoints[0].connections == 2

    run_real(test)


def test_number_of_connections_to_an_endpoint_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shared, "EASY", 8)

    async def test() -> None:
        async with service(always(delay=0.05), react=send_to_manual) as s:
            c = await s.client()
            for _ in range(40):
                c.call(READ)
                await asyncio.sleep(0.001)
            await until(lambda: len(s.outcomes()) == 40)
            assert set(s.outcomes()) == {"served"}
            assert 1 < s.endpoints[0].connections <= shared.MOST_CONNECTIONS

    run_real(test)


def test_drain_drops_calls_that_wait_for_the_socket() -> None:
    """Calls are queued because the endpoint doesn't read; after it begins to drain, they must not be sent."""

    async def test() -> None:
        async with service(react=send_to_manual, manual_endpoint=True) as s:
            reader, writer = await asyncio.open_connection(*s.address.split(":"))
            gate = asyncio.Event()
            s.manual.gate = gate
            fill = "x" * 900_000
            for n in range(20):
                params = {"call": f"t{n}", "fill": fill}
                text = json.dumps({"jsonrpc": "2.0", "method": "tip.send", "params": params, "id": n})
                writer.write(text.encode() + b"\n")
            await until(lambda: len(s.service.dispatcher.requests) == 20)
            (connection,) = s.service.wire.pool_by_connection
            await until(lambda: connection.awaits_writable)
            entries = s.service.spec.endpoints
            s.service.dispatcher.on_list("changes", [(e._replace(phase="draining"), at) for e, at in entries])
            dropped = s.outcomes().count("dropped")
            assert dropped > 2 and set(s.outcomes()) == {"dropped"}
            gate.set()
            for _ in range(20 - dropped):
                request, response_writer = await s.manual.calls.get()
                response_writer.write(result(request["id"]))
            answers = [json.loads(await reader.readline()) for _ in range(20)]
            assert sum("result" in a for a in answers) == 20 - dropped
            assert len(s.log.received) == 20 - dropped and s.manual.calls.empty()
            writer.close()

    run_real(test)


def test_closed_connection_is_detected_before_the_event_loop_notices() -> None:
    """Guards against sending a call over a connection that the endpoint has closed."""

    async def test() -> None:
        p = await Pipe().open()
        assert p.connection.sound()
        p.other.close()
        assert not p.connection.sound()

    run_real(test)


def test_unexpected_data_makes_an_idle_connection_unusable() -> None:
    async def test() -> None:
        p = await Pipe().open()
        p.other.send(b"{")
        assert not p.connection.sound()
        p.other.close()

    run_real(test)


def test_calls_beyond_the_limit_per_connection_use_another_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Calls beyond the limits of all connections must end as never run."""
    monkeypatch.setattr(shared, "MOST_PENDING", 5)
    monkeypatch.setattr(shared, "MOST_CONNECTIONS", 2)

    async def test() -> None:
        async with service(always(Fault.SWALLOW), react=send_to_manual) as s:
            c = await s.client()
            for n in range(12):
                c.call(READ)
                await until(lambda: len(s.log.received) + len(s.outcomes()) == n + 1)  # noqa: B023
            assert s.outcomes() == ["connect_failed"] * 2 and s.endpoints[0].connections == 2

    run_real(test)


def test_calls_are_refused_if_the_endpoint_refuses_connections() -> None:
    async def test() -> None:
        async with service(always(), react=send_to_manual) as s:
            s.endpoints[0].server.close()
            c = await s.client()
            responses = await asyncio.gather(*(c.call(TIP) for _ in range(3)))
            assert {r["error"]["code"] for r in responses} == {codec.REFUSED}
            assert s.outcomes() == ["connect_failed"] * 3 and s.service.front.descriptors.open == 0

    run_real(test)


def test_removed_endpoint_finishes_pending_calls() -> None:
    """It gets no new calls, and its connection is closed after the last response."""

    async def test() -> None:
        async with service(react=send_to_manual, manual_endpoint=True) as s:
            tip, read, tip_id, read_id, writer = await start_tip_and_read(s)
            s.service.dispatcher.on_list(
                "changes",
                [(interface.ListedEndpoint(e.endpoint, "gone"), ("127.0.0.1", 1)) for e, _ in s.service.spec.endpoints],
            )
            new_call = s.clients[0].call(READ)
            assert (await new_call)["error"]["code"] == codec.REFUSED
            writer.write(result(tip_id) + result(read_id))
            assert "result" in await tip and "result" in await read
            await until(lambda: not s.service.wire.pool_by_connection)

    run_real(test)


def test_unsafe_calls_are_not_repeated_when_shared_connections_break() -> None:
    """The audit must pass although connections that carry many calls break repeatedly."""

    async def test() -> None:
        plans = [always(Fault.BREAK_AT, at_byte=5), always(), always(Fault.BEYOND)]
        async with service(*plans, deadline=3000.0) as s:
            c = await s.client()
            calls = [c.call(k) for _ in range(40) for k in (READ, TIP)]
            await asyncio.gather(*calls)
            tips = [a.request for a in s.log.sent_requests if a.effect == "at_most_once"]
            assert all(s.log.execution_count(t) <= 1 for t in tips)
            assert not audit(s.log)

    run_real(test)
