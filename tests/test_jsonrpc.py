"""JSON-RPC on loopback sockets: clients, batches, limits, and what the operator file decides."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from typing import Any

import pytest
from loopback import TEST_TIMEOUT, run_real
from rpc import READ, TIP, UNLOCK, Setup, operator, service

from zinclever import interface
from zinclever.jsonrpc import codec, front
from zinclever.standins import Fault, Log, Step, always, audit, in_turn
from zinclever.standins.clients import ClientRequestClass, JsonRpcClient
from zinclever.standins.discovery import Discovery
from zinclever.standins.jsonrpc_endpoint import JsonRpcEndpoint

ONE = b'{"jsonrpc":"2.0","method":"tip.send","id":1}'
CLASSES = {0: "read", 1: "unlock", 2: "tip"}


def by_class(**does: str) -> Any:
    """A balancer that refuses, fails or sends each class; what was sent and failed is failed."""

    def react(event: interface.Event) -> Iterable[interface.Action]:
        if isinstance(event, interface.RequestArrived):
            act = does.get(CLASSES[event.klass], "send")
            if act == "refuse":
                yield interface.Refuse(event.request, 250.0)
            elif act == "fail":
                yield interface.Fail(event.request)
            elif act == "send":
                yield interface.Send(event.request, first_of(react), 0.0)
        elif isinstance(event, interface.MembershipUpdate):
            react.listed = [e.endpoint for e in event.entries]  # type: ignore[attr-defined]
        elif isinstance(event, interface.AttemptEnded) and not event.complete:
            yield interface.Fail(event.request)

    return react


def first_of(react: Any) -> str:
    return str(react.listed[0])


async def answer(client: JsonRpcClient, text: bytes) -> Any:
    """The next thing that comes after a text that is no call of the client's."""
    count = len(client.stray)
    client.raw(text)
    async with asyncio.timeout(TEST_TIMEOUT):
        while len(client.stray) == count:
            await asyncio.sleep(0.001)
    return client.stray[-1]


def test_ids_come_back_as_they_were_written() -> None:
    async def test() -> None:
        async with service(always()) as s:
            c = await s.client()
            calls = [c.call(READ, id=token) for token in ("1", "1.0", '"1"', "1e0", '"\\u00e6"')]
            answers = await asyncio.gather(*calls)
            assert all("result" in a for a in answers) and not c.stray
            assert s.endpoints[0].connections == 1, "calls share a connection"
            assert not audit(s.log)

    run_real(test)


def test_batch_of_a_read_an_unlock_and_a_tip() -> None:
    """Guards against a batch that is judged as one: each call goes under its own class, and one array comes
    back with every id once."""

    async def test() -> None:
        async with service(always(), react=by_class(read="refuse", tip="fail")) as s:
            c = await s.client()
            calls = [c.prepare(k, id=token) for k, token in ((READ, "1"), (UNLOCK, '"u"'), (TIP, "2.50"))]
            note = json.dumps({"jsonrpc": "2.0", "method": "page.get", "params": {"call": "n", "key": "n"}})
            c.raw(b"[%b,%b]" % (b",".join(text for text, _ in calls), note.encode()))
            refused, served, failed = await asyncio.gather(*(future for _, future in calls))
            assert refused["error"]["code"] == codec.REFUSED
            assert refused["error"]["data"] == {"source": "zinclever", "repeat": "harmless", "retry_after_ms": 250}
            assert served["result"]["method"] == "unlock.buy"
            assert failed["error"]["code"] == codec.FAILED
            assert failed["error"]["data"] == {"source": "zinclever", "repeat": "may_have_run"}
            assert not c.stray

    run_real(test)


def test_responses_of_a_batch_come_in_one_array() -> None:
    async def test() -> None:
        async with service(always(delay=0.01)) as s:
            reader, writer = await asyncio.open_connection(*s.address.split(":"))
            texts = [
                b'{"jsonrpc":"2.0","method":"page.get","params":{"call":"%d"},"id":%d}' % (n, n) for n in range(50)
            ]
            writer.write(b"[%b]\n" % b",".join(texts))
            array = json.loads(await reader.readline())
            assert sorted(a["id"] for a in array) == list(range(50))
            writer.close()

    run_real(test)


def test_batch_of_notifications_gets_nothing() -> None:
    async def test() -> None:
        async with service(always()) as s:
            c = await s.client()
            note = b'{"jsonrpc":"2.0","method":"page.get","params":{"call":"%b","key":"k"}}'
            c.raw(b"[%b,%b]" % (note % b"a", note % b"b"))
            await s.endpoints[0].until_received(2)
            await c.call(READ)
            assert not c.stray
            assert not s.made.front.dispatcher.requests

    run_real(test)


def test_client_that_does_not_read_is_not_read() -> None:
    """... long before it is dropped: what it would be owed has a bound."""

    async def test() -> None:
        async with service(always()) as s:
            _, writer = await asyncio.open_connection(*s.address.split(":"), limit=1024)
            text = b'{"jsonrpc":"2.0","method":1,"id":"%b"}\n' % (b"x" * 60_000)
            while not any(c.paused for c in s.made.front.connections):
                writer.write(text)
                await asyncio.sleep(0)
            (connection,) = s.made.front.connections
            assert not connection.transport.is_reading()
            writer.transport.abort()

    run_real(test)


@pytest.mark.parametrize(
    ("text", "code"),
    [
        (b"[]", codec.INVALID_REQUEST),
        (b"[" + b",".join([ONE] * 10_000) + b"]", codec.INVALID_REQUEST),
        (b"{", codec.PARSE_ERROR),
        (b"[" * 100_000, codec.PARSE_ERROR),
        (b'{"jsonrpc":"2.0","method":"x","id":[]}', codec.INVALID_REQUEST),
    ],
)
def test_one_error_for_what_is_no_call(text: bytes, code: int) -> None:
    """Guards against 10,000 calls of one text, of which some have run when the sidecar gives up."""

    async def test() -> None:
        async with service(always()) as s:
            c = await s.client()
            told = await answer(c, text)
            assert told["id"] is None and told["error"]["code"] == code
            await c.call(READ)
            assert len(s.log.received) == 1

    run_real(test)


def test_batch_inside_a_batch() -> None:
    async def test() -> None:
        async with service(always()) as s:
            c = await s.client()
            told = await answer(c, b"[[],5]")
            assert [x["error"]["code"] for x in told] == [codec.INVALID_REQUEST] * 2

    run_real(test)


def test_methods_that_are_not_listed() -> None:
    async def test() -> None:
        async with service(always()) as s:
            c = await s.client()
            for method in (b"other", b"rpc.discover"):
                told = await answer(c, b'{"jsonrpc":"2.0","method":"%b","id":77777}' % method)
                assert told["error"]["code"] == codec.METHOD_NOT_FOUND and told["id"] == 77777
            told = await answer(c, b'{"jsonrpc":"2.0","method":"unlock.buy","params":{},"id":77777}')
            assert told["error"]["code"] == codec.INVALID_PARAMS
            assert not s.log.received

    run_real(test)


def test_default_class_takes_what_is_not_listed_but_no_reserved_methods() -> None:
    async def test() -> None:
        async with service(always(), more='default_class = "tip"') as s:
            c = await s.client()
            other = ClientRequestClass("tip", "anything", "at_most_once", 6000.0)
            assert "result" in await c.call(other)
            told = await answer(c, b'{"jsonrpc":"2.0","method":"rpc.x","id":77777}')
            assert told["error"]["code"] == codec.METHOD_NOT_FOUND

    run_real(test)


def test_same_id_twice_in_flight() -> None:
    """Guards against an error that the client takes for the response to the call that is out."""

    async def test() -> None:
        async with service(always(), react=by_class(tip="hold")) as s:
            c = await s.client()
            first = c.call(TIP, id="5")
            told = await answer(c, b'{"jsonrpc":"2.0","method":"page.get","params":{"call":"x"},"id":5}')
            assert told["id"] is None and told["error"]["code"] == codec.INVALID_REQUEST
            assert not first.done() and not s.log.received

    run_real(test)


def test_an_id_may_be_used_again_once_answered() -> None:
    async def test() -> None:
        async with service(always()) as s:
            c = await s.client()
            for _ in range(3):
                assert "result" in await c.call(READ, id="5")

    run_real(test)


def test_application_errors_go_through_and_internal_ones_are_told() -> None:
    """Guards against an answer that is taken for a fault, and a fault whose words are lost."""

    async def test() -> None:
        async with service(always(Fault.ERROR), react=by_class()) as s:
            c = await s.client()
            told = await c.call(TIP)
            assert s.outcomes() == ["error"]
            assert told["error"]["code"] == codec.FAILED
            assert told["error"]["data"]["upstream"]["message"] == "internal"
        async with service(always(Fault.ERROR), react=by_class(), more="failure_errors = []") as s:
            c = await s.client()
            told = await c.call(TIP)
            assert s.outcomes() == ["served"] and told["error"]["code"] == codec.INTERNAL_ERROR

    run_real(test)


def test_a_refusal_of_a_safe_call_tells_what_the_endpoint_said() -> None:
    async def test() -> None:
        async with service(always(Fault.ERROR), deadline=600.0, aim=500.0) as s:
            c = await s.client()
            told = await c.call(READ)
            assert told["error"]["code"] == codec.REFUSED
            assert told["error"]["data"]["upstream"]["message"] == "internal"

    run_real(test)


def test_declared_errors_prove_that_nothing_ran() -> None:
    """A tip that was declined goes to another endpoint; with no such code set the error is its answer."""

    async def test() -> None:
        async with service(*[in_turn(Step(Fault.DECLINE), Step())] * 2) as s:
            c = await s.client()
            told = await asyncio.gather(*(c.call(TIP) for _ in range(4)))
            assert all("result" in t for t in told)
            assert len(s.log.received) > 4 and not audit(s.log)

    run_real(test)


def test_a_class_that_ends_unanswered_is_told_in_its_time() -> None:
    async def test() -> None:
        async with service(always(Fault.SILENCE), deadline=300.0, aim=200.0) as s:
            c = await s.client()
            told = await c.call(TIP)
            assert told["error"]["code"] == codec.FAILED and len(s.log.received) == 1
            assert not s.made.dispatcher.requests

    run_real(test)


def test_client_that_leaves_with_calls_in_flight() -> None:
    """Guards against requests that stay for ever, and against a notification that is given up with them."""

    async def test() -> None:
        async with service(always(delay=0.05), react=by_class()) as s:
            c = await s.client()
            c.call(READ)
            c.call(TIP)
            name = c.notify(READ)
            await s.endpoints[0].until_received(3)
            await c.close()
            await s.balancer.until(lambda: len(s.balancer.ends()) == 3)
            closed = [e for _, e in s.balancer.received_events if isinstance(e, interface.RequestClosed)]
            assert len(closed) == 2
            assert s.log.ran(name) == 1 and not s.made.dispatcher.requests

    run_real(test)


def test_half_a_text_is_not_waited_for(monkeypatch: pytest.MonkeyPatch) -> None:
    """... while the calls before it are still answered."""
    monkeypatch.setattr(front, "READ_FOR", 0.05)

    async def test() -> None:
        async with service(always(delay=0.3)) as s:
            c = await s.client()
            call = c.call(TIP)
            c.writer.write(b'{"jsonrpc":')
            assert "result" in await call
            await c.ended.wait()
            assert [x["error"]["code"] for x in c.stray] == [codec.PARSE_ERROR]

    run_real(test)


def test_a_text_without_end_is_refused_whole() -> None:
    async def test() -> None:
        async with service(always()) as s:
            c = await s.client()
            c.writer.write(b'"' + b"x" * ((1 << 20) + 1))
            await c.ended.wait()
            assert [x["error"]["code"] for x in c.stray] == [codec.PARSE_ERROR]
            assert not s.log.received

    run_real(test)


def test_client_that_does_not_read_its_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory that a client fills: it is not read, and then dropped."""
    monkeypatch.setattr(front, "WRITE_FOR", 0.2)

    async def test() -> None:
        async with service(always()) as s:
            reader, writer = await asyncio.open_connection(*s.address.split(":"), limit=1024)
            assert reader
            fill = "x" * 60_000
            text = json.dumps({"jsonrpc": "2.0", "method": fill, "id": 1}).encode() + b"\n"
            with pytest.raises(ConnectionError):
                while True:  # errors as long as their texts would come back for ever
                    writer.write(text)
                    await writer.drain()
                    writer.write(b'{"jsonrpc":"2.0","method":1,"id":"%b"}\n' % fill.encode())
                    await writer.drain()
            assert not s.made.front.connections

    run_real(test)


def test_a_connection_has_so_many_calls_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a client that fills the ledger; what it sent beyond is taken up later."""
    monkeypatch.setattr(front, "MOST_OPEN", 10)

    async def test() -> None:
        release = asyncio.Event()

        def react(event: interface.Event) -> Iterable[interface.Action]:
            if isinstance(event, interface.RequestArrived) and release.is_set():
                yield interface.Refuse(event.request)

        async with service(always(), react=react) as s:
            c = await s.client()
            calls = [c.call(READ) for _ in range(3000)]
            await s.balancer.until(lambda: len(s.made.dispatcher.requests) == 10)
            for _ in range(20):
                await asyncio.sleep(0)
            assert len(s.made.dispatcher.requests) == 10
            release.set()
            for request in list(s.made.dispatcher.requests):
                s.made.dispatcher.fail(interface.Fail(request))
                s.made.dispatcher.feed(interface.RequestClosed(request))
            await asyncio.gather(*calls)
            assert not s.made.dispatcher.requests and not c.stray

    run_real(test)


def test_batch_whose_responses_are_too_large(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front, "MOST_GATHERED", 400)

    async def test() -> None:
        async with service(always()) as s:
            c = await s.client()
            calls = [c.prepare(READ) for _ in range(10)]
            c.raw(b"[%b]" % b",".join(text for text, _ in calls))
            told = await asyncio.gather(*(future for _, future in calls))
            served = ["result" in t for t in told]
            assert any(served) and not all(served)

    run_real(test)


def test_descriptors_are_shared_with_idle_clients() -> None:
    """Guards against clients that connect and say nothing taking every descriptor."""

    async def test() -> None:
        async with service(always(), sockets=60) as s:  # 20 to use, 30 for clients at the most
            clients = [await s.client() for _ in range(45)]
            await asyncio.gather(*(c.ended.wait() for c in clients[:15]))
            assert "result" in await clients[-1].call(READ)
            assert s.made.front.descriptors.open <= 20

    run_real(test)


def test_endpoints_of_discovery() -> None:
    """A JSON-RPC service whose endpoints the platform's discovery tells, one of which drains."""

    async def test() -> None:
        log = Log()
        async with (
            Discovery(log) as discovery,
            JsonRpcEndpoint(log) as one,
            JsonRpcEndpoint(log) as two,
        ):
            await discovery.set(one)
            await discovery.set(two)
            text = operator(f'discovery = "{discovery.address}"', more='zones = ["a", "b"]')
            async with service(text=text) as s:
                await discovery.wait_until_announced(two)
                c = await JsonRpcClient(log).connect(s.address)
                while not (one.requests() and two.requests()):
                    await asyncio.gather(*(c.call(READ) for _ in range(10)))
                await discovery.set(one, "draining")
                await discovery.wait_until_announced(one)
                while any(
                    e.phase == "ready"
                    for e in s.made.dispatcher.balancer.endpoint_list.endpoints.values()
                    if e.name == one.name
                ):
                    await asyncio.sleep(0.001)
                before = len(one.requests())
                await asyncio.gather(*(c.call(READ) for _ in range(20)))
                assert len(one.requests()) == before and not audit(log)
                await c.close()

    run_real(test)


async def warm(s: Setup, client: JsonRpcClient) -> None:
    """Ask until the balancer knows its window: no copies go out before."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while loop.time() < began + 1.1:
        await asyncio.gather(*(client.call(READ) for _ in range(4)))
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("klass", [READ, TIP, UNLOCK])
def test_copy_of_a_slow_read_and_none_of_a_tip(klass: ClientRequestClass) -> None:
    """A silent endpoint: a copy of the read goes to an unused one after the delay, and the loser's late
    answer is dropped; what is not safe to repeat gets none."""

    async def test() -> None:
        sent: list[str] = []

        def plan(call: str) -> Step:
            if not call.startswith("slow"):
                return Step()
            sent.append(call)
            return Step(delay=0.6 if len(sent) == 1 else 0.0)

        async with service(plan, plan, aim=1000.0, deadline=3000.0) as s:
            c = await s.client()
            await warm(s, c)
            assert "result" in await c.call(klass, name="slow")
            got = [r.endpoint for r in s.log.received if r.request == "slow"]
            if klass is READ:
                assert len(got) == len(set(got)) == 2
                while not s.made.wire.counts["late"]:
                    await asyncio.sleep(0.005)
            else:
                assert len(got) == 1
            assert set(s.made.wire.counts) <= {"late"}
            assert not audit(s.log)

    run_real(test)
