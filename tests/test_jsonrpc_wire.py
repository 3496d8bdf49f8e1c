"""What endpoints may send, how far calls got when connections break, and what their neighbours feel."""

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


def to_hand(event: interface.Event) -> Iterable[interface.Action]:
    """Everything goes to the endpoint that is written by hand, once; a failure is final."""
    if isinstance(event, interface.RequestArrived):
        yield interface.Send(event.request, listed[-1], 0.0)
    elif isinstance(event, interface.MembershipUpdate):
        listed[:] = [e.endpoint for e in event.entries] or listed
    elif isinstance(event, interface.AttemptEnded) and not event.complete:
        yield interface.Refuse(event.request) if event.outcome in interface.NEVER_RAN else interface.Fail(event.request)


listed: list[str] = []


async def until(met: Any) -> None:
    async with asyncio.timeout(TEST_TIMEOUT):
        while not met():
            await asyncio.sleep(0.001)


async def two_out(s: Setup) -> tuple[Any, Any, int, int, asyncio.StreamWriter]:
    """A tip and a read that are out on one connection: their futures and ids, and the way back."""
    c = await s.client()
    tip, read = c.call(TIP, name="tip"), c.call(READ, name="read")
    a, writer = await s.manual.next("tip")
    b, other = await s.manual.next("read")
    assert other is writer
    return tip, read, a, b, writer


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
def test_a_response_for_nobody_leaves_the_calls_that_are_out(stray: bytes, kind: str) -> None:
    async def test() -> None:
        async with service(react=to_hand, by_hand=True) as s:
            tip, read, a, b, writer = await two_out(s)
            writer.write(stray)
            await until(lambda: s.made.wire.counts[kind] == 1)
            assert not s.outcomes()
            writer.write(result(b) + result(a))
            assert "result" in await tip and "result" in await read
            # With id null it can't be told which text the endpoint could not read: nothing new goes there.
            again = s.clients[0].call(READ, name="again")
            id, other = await s.manual.next("again")
            assert (other is writer) == (kind != "null")
            other.write(result(id))
            assert "result" in await again

    run_real(test)


def test_an_id_that_is_answered_twice() -> None:
    async def test() -> None:
        async with service(react=to_hand, by_hand=True) as s:
            tip, read, a, b, writer = await two_out(s)
            writer.write(result(b) + result(b))
            assert "result" in await read
            await until(lambda: s.made.wire.counts["repeated"] == 1)
            assert not tip.done()
            writer.write(result(a))
            assert "result" in await tip and s.outcomes() == ["served", "served"]

    run_real(test)


def test_an_answer_to_a_call_that_was_cancelled() -> None:
    """It is expected: dropped, counted, and its neighbour is answered as if nothing had been."""

    async def test() -> None:
        async with service(react=to_hand, by_hand=True) as s:
            tip, read, a, b, writer = await two_out(s)
            request = next(iter(s.made.dispatcher.requests))
            s.made.dispatcher.finish(request, codec_failed())
            s.made.dispatcher.cancel(interface.Cancel(request, 0))
            assert "error" in await tip
            writer.write(result(a) + result(b))
            assert "result" in await read
            assert dict(s.made.wire.counts) == {"late": 1}
            assert s.outcomes() == ["cancelled", "served"] and not s.made.dispatcher.requests

    run_real(test)


def codec_failed() -> Any:
    from zinclever.core.protocol import Failed

    return Failed()


SPOILT = {
    "array": b'[{"jsonrpc":"2.0","id":1,"result":1}]\n',
    "noise": b"\x16\x03\x01\n",
    "half": b'{"jsonrpc":"2.0","id":1,',
    "nothing": b"",
    "cut in a number": b'{"jsonrpc":"2.0","id":1',
    "both": b'{"jsonrpc":"2.0","id":1,"result":1,"error":{"code":1,"message":""}}\n',
    "twice a result": b'{"jsonrpc":"2.0","id":1,"result":1,"result":2}\n',
}


@pytest.mark.parametrize("name", SPOILT)
def test_what_is_no_response_ends_the_connection(name: str) -> None:
    """All that was out may have run: the tip fails and is never sent again."""

    async def test() -> None:
        async with service(by_hand=True, deadline=2000.0, aim=1000.0) as s:
            tip, read, _, _, writer = await two_out(s)
            writer.write(SPOILT[name])
            if name in ("half", "nothing", "cut in a number"):
                writer.close()
            told = await tip
            assert told["error"]["code"] == codec.FAILED
            if not read.done():  # it may be asked again, as it is safe to
                id, other = await s.manual.next("read")
                assert other is not writer
                other.write(result(id))
            await read
            assert s.manual.requests().count("tip") == 1
            assert s.made.wire.counts["noise"] == (0 if name in ("half", "nothing", "cut in a number") else 1)

    run_real(test)


def test_a_response_of_60_mb() -> None:
    """Guards against memory that an endpoint fills."""

    async def test() -> None:
        async with service(react=to_hand, by_hand=True) as s:
            tip, read, a, _, writer = await two_out(s)
            writer.write(b'{"jsonrpc":"2.0","id":%d,"result":"' % a)
            piece = b"x" * (1 << 16)
            with pytest.raises(ConnectionError):
                for _ in range(60 << 4):
                    writer.write(piece)
                    await writer.drain()
            await tip
            await read
            assert s.outcomes() == ["reset", "reset"] and s.made.wire.counts["noise"] == 1

    run_real(test)


def test_a_good_answer_followed_by_noise() -> None:
    """The answer counts; the neighbour may have run."""

    async def test() -> None:
        async with service(react=to_hand, by_hand=True) as s:
            tip, read, a, _, writer = await two_out(s)
            writer.write(result(a) + b"noise\n")
            assert "result" in await tip
            assert (await read)["error"]["code"] == codec.FAILED
            assert s.outcomes() == ["served", "reset"]

    run_real(test)


class Watch:
    """The owner of a connection under test."""

    def __init__(self) -> None:
        self.told: list[str] = []

    def idle(self, connection: ClientConnection) -> None:
        self.told.append("idle")

    def retired(self, connection: ClientConnection) -> None:
        self.told.append("retired")

    def lost(self, connection: ClientConnection) -> None:
        self.told.append("lost")


class Pipe:
    """A connection whose other end a test reads, with little room on the way."""

    async def open(self) -> Pipe:
        self.loop = asyncio.get_running_loop()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        self.watch = Watch()
        error_codes = ErrorCodeMapping(frozenset(), frozenset())
        self.connection = await dial(
            SYSTEM, listener.getsockname(), 5.0, "lines", error_codes.outcome, self.watch, Counter()
        )
        self.other, _ = await self.loop.sock_accept(listener)
        listener.close()
        self.ends: dict[str, str] = {}
        return self

    def call(self, name: str, size: int = 0) -> Exchange:
        def ended(outcome: interface.Outcome, reply: Any = None, report: Any = None) -> None:
            self.ends[name] = outcome

        tail = b',"jsonrpc":"2.0","method":"%b","params":["%b"]}' % (name.encode(), b"x" * size)
        exchange = Exchange(Payload(b'{"id":', tail), ended)
        exchange.run(self.connection)
        return exchange

    async def read_lines(self, count: int) -> list[bytes]:
        came, ends = bytearray(), 0
        while ends < count:
            piece = await self.loop.sock_recv(self.other, 1 << 20)
            ends += piece.count(b"\n")
            came += piece
        return bytes(came).split(b"\n")[:count]


HUGE = 8 << 20  # more than the kernel holds on the way


def test_only_what_has_not_begun_to_go_out_is_proved_not_to_have_run() -> None:
    """A connection breaks with calls written, half written and unwritten."""

    async def test() -> None:
        p = await Pipe().open()
        written = p.call("written")
        await p.read_lines(1)
        half, unwritten = p.call("half", HUGE), p.call("unwritten")
        await p.loop.sock_recv(p.other, 100)
        assert (written.begun(), half.begun(), unwritten.begun()) == (True, True, False)
        p.other.close()
        await until(lambda: len(p.ends) == 3)
        assert p.ends == {"written": "reset", "half": "reset", "unwritten": "dropped"}
        assert p.watch.told == ["lost"]

    run_real(test)


def test_a_half_written_call_is_cut_short_when_it_is_cancelled() -> None:
    """It can't run after its client's final answer, and its neighbours are read as before."""

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
        assert not p.ends and after.begun()
        error = b'{"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":""}}\n'
        await p.loop.sock_sendall(p.other, error + result(3) + result(1))
        await until(lambda: len(p.ends) == 2)
        assert p.ends == {"after": "served", "first": "served"}
        assert not p.connection.counts and not p.connection.retired, "that error was to be expected"
        p.other.close()

    run_real(test)


def test_turning_back_leaves_what_has_begun() -> None:
    """An endpoint drains: what waits behind a half-written call never goes out."""

    async def test() -> None:
        p = await Pipe().open()
        p.call("half", HUGE)
        p.call("waits")
        await p.loop.sock_recv(p.other, 10)
        p.connection.drop_unsent()
        assert p.ends == {"waits": "dropped"}
        p.connection.finish()
        lines = await p.read_lines(1)
        assert len(lines[0]) > HUGE - 100
        await p.loop.sock_sendall(p.other, result(1))
        await until(lambda: len(p.ends) == 2)
        assert p.ends["half"] == "served" and p.watch.told == ["retired", "lost"]
        p.other.close()

    run_real(test)


def test_a_call_that_is_cancelled_before_it_goes_out_never_does() -> None:
    async def test() -> None:
        p = await Pipe().open()
        p.call("first")
        p.call("a").cancel(False)
        p.call("b")
        assert [json.loads(line)["method"] for line in await p.read_lines(2)] == ["first", "b"]
        p.other.close()
        await until(lambda: len(p.ends) == 2)
        assert p.ends == {"first": "reset", "b": "reset"}

    run_real(test)


def test_silence_retires_a_connection_and_a_word_keeps_it() -> None:
    """Guards against a connection that swallows all that is put on it, call after call."""

    async def test() -> None:
        for heard in (False, True):
            p = await Pipe().open()
            first, second = p.call("a"), p.call("b")
            await p.read_lines(2)
            if heard:
                await asyncio.sleep(0.005)
                await p.loop.sock_sendall(p.other, result(2))
                await until(lambda: "b" in p.ends)  # noqa: B023
            first.cancel(True)
            assert p.connection.retired != heard
            second.cancel(True)
            assert p.connection.lost != heard
            p.other.close()

    run_real(test)


def test_calls_without_answers_don_t_pile_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "MOST_ABANDONED", 5)

    async def test() -> None:
        p = await Pipe().open()
        calls = [p.call(str(n)) for n in range(6)]
        await p.read_lines(6)
        for call in calls[:5]:
            call.cancel(False)
        assert p.connection.retired and not p.connection.lost
        await p.loop.sock_sendall(p.other, result(6))
        await until(lambda: p.connection.lost)
        assert p.ends == {"5": "served"}
        p.other.close()

    run_real(test)


def test_stale_connections_cost_no_call() -> None:
    """The endpoint ends an idle connection: the next call goes by a new one."""

    async def test() -> None:
        async with service(by_hand=True) as s:
            c = await s.client()
            for n in range(5):
                call = c.call(TIP, name=f"t{n}")
                id, writer = await s.manual.next(f"t{n}")
                writer.write(result(id))
                assert "result" in await call
                # At once, so that the loop has not heard of it when the next call comes.
                with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as twin:
                    twin.shutdown(socket.SHUT_RDWR)
            assert s.manual.connections == 5

    run_real(test)


def test_idle_connections_are_closed_before_the_endpoint_would() -> None:
    async def test() -> None:
        async with service(always(), more="connection_idle_ms = 100") as s:
            c = await s.client()
            await c.call(READ)
            await until(lambda: not s.made.wire.pool_by_connection)
            assert s.made.front.descriptors.open == 0
            assert "result" in await c.call(READ) and s.endpoints[0].connections == 2

    run_real(test)


def test_many_calls_open_few_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shared, "EASY", 8)

    async def test() -> None:
        async with service(always(delay=0.05), react=to_hand) as s:
            c = await s.client()
            for _ in range(40):
                c.call(READ)
                await asyncio.sleep(0.001)
            await until(lambda: len(s.outcomes()) == 40)
            assert set(s.outcomes()) == {"served"}
            assert 1 < s.endpoints[0].connections <= shared.MOST_CONNECTIONS

    run_real(test)


def test_a_drain_turns_back_what_waits_for_room() -> None:
    """Calls wait behind others that an endpoint doesn't read: told to drain, it never gets them."""

    async def test() -> None:
        async with service(react=to_hand, by_hand=True) as s:
            reader, writer = await asyncio.open_connection(*s.address.split(":"))
            gate = asyncio.Event()
            s.manual.gate = gate
            fill = "x" * 900_000
            for n in range(20):
                params = {"call": f"t{n}", "fill": fill}
                text = json.dumps({"jsonrpc": "2.0", "method": "tip.send", "params": params, "id": n})
                writer.write(text.encode() + b"\n")
            await until(lambda: len(s.made.dispatcher.requests) == 20)
            (connection,) = s.made.wire.pool_by_connection
            await until(lambda: connection.blocked)
            entries = s.made.spec.endpoints
            s.made.dispatcher.on_list("changes", [(e._replace(phase="draining"), at) for e, at in entries])
            turned = s.outcomes().count("dropped")
            assert turned > 2 and set(s.outcomes()) == {"dropped"}
            gate.set()
            for _ in range(20 - turned):
                told, way = await s.manual.came.get()
                way.write(result(told["id"]))
            answers = [json.loads(await reader.readline()) for _ in range(20)]
            assert sum("result" in a for a in answers) == 20 - turned
            assert len(s.log.received) == 20 - turned and s.manual.came.empty()
            writer.close()

    run_real(test)


def test_an_end_is_seen_before_the_loop_hears_of_it() -> None:
    """Guards against a call that is put on a connection whose endpoint has gone."""

    async def test() -> None:
        p = await Pipe().open()
        assert p.connection.sound()
        p.other.close()
        assert not p.connection.sound()

    run_real(test)


def test_stray_bytes_make_an_idle_connection_unsound() -> None:
    async def test() -> None:
        p = await Pipe().open()
        p.other.send(b"{")
        assert not p.connection.sound()
        p.other.close()

    run_real(test)


def test_calls_beyond_what_a_connection_holds_wait_for_another(monkeypatch: pytest.MonkeyPatch) -> None:
    """... and beyond what all hold, they end as never run."""
    monkeypatch.setattr(shared, "MOST_PENDING", 5)
    monkeypatch.setattr(shared, "MOST_CONNECTIONS", 2)

    async def test() -> None:
        async with service(always(Fault.SWALLOW), react=to_hand) as s:
            c = await s.client()
            for n in range(12):
                c.call(READ)
                await until(lambda: len(s.log.received) + len(s.outcomes()) == n + 1)  # noqa: B023
            assert s.outcomes() == ["connect_failed"] * 2 and s.endpoints[0].connections == 2

    run_real(test)


def test_refused_connections_never_ran() -> None:
    async def test() -> None:
        async with service(always(), react=to_hand) as s:
            s.endpoints[0].server.close()
            c = await s.client()
            told = await asyncio.gather(*(c.call(TIP) for _ in range(3)))
            assert {t["error"]["code"] for t in told} == {codec.REFUSED}
            assert s.outcomes() == ["connect_failed"] * 3 and s.made.front.descriptors.open == 0

    run_real(test)


def test_endpoint_that_leaves_finishes_what_is_out() -> None:
    """... and gets nothing new: its connection ends with the last answer."""

    async def test() -> None:
        async with service(react=to_hand, by_hand=True) as s:
            tip, read, a, b, writer = await two_out(s)
            s.made.dispatcher.on_list(
                "changes",
                [(interface.ListedEndpoint(e.endpoint, "gone"), ("127.0.0.1", 1)) for e, _ in s.made.spec.endpoints],
            )
            late = s.clients[0].call(READ)
            assert (await late)["error"]["code"] == codec.REFUSED
            writer.write(result(a) + result(b))
            assert "result" in await tip and "result" in await read
            await until(lambda: not s.made.wire.pool_by_connection)

    run_real(test)


def test_a_batch_on_an_endpoint_that_breaks_sends_no_tip_twice() -> None:
    """The four rules over a connection that many calls share, and that breaks again and again."""

    async def test() -> None:
        plans = [always(Fault.BREAK_AT, at_byte=5), always(), always(Fault.BEYOND)]
        async with service(*plans, deadline=3000.0) as s:
            c = await s.client()
            calls = [c.call(k) for _ in range(40) for k in (READ, TIP)]
            await asyncio.gather(*calls)
            tips = [a.request for a in s.log.asked if a.effect == "at_most_once"]
            assert all(s.log.ran(t) <= 1 for t in tips)
            assert not audit(s.log)

    run_real(test)
