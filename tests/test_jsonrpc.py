"""JSON-RPC over loopback sockets: clients, batches, limits, and settings of the operator file."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from typing import Any

import pytest
from loopback import TEST_TIMEOUT, run_real
from rpc import READ, TIP, UNLOCK, Setup, operator, service

from zinclever import interface
from zinclever.jsonrpc import codec, frontend
from zinclever.standins import Fault, Log, Step, always, audit, in_turn
from zinclever.standins.clients import ClientRequestClass, JsonRpcClient
from zinclever.standins.discovery import Discovery
from zinclever.standins.jsonrpc_endpoint import JsonRpcEndpoint

ONE_CALL = b'{"jsonrpc":"2.0","method":"tip.send","id":1}'
CLASSES = {0: "read", 1: "unlock", 2: "tip"}


def by_class(**actions: str) -> Any:
    """Return the script of a balancer that refuses, fails, holds or sends the requests of each class.

    A request whose attempt fails is failed.
    """

    def react(event: interface.Event) -> Iterable[interface.Action]:
        if isinstance(event, interface.RequestArrived):
            action = actions.get(CLASSES[event.klass], "send")
            if action == "refuse":
                yield interface.Refuse(event.request, 250.0)
            elif action == "fail":
                yield interface.Fail(event.request)
            elif action == "send":
                yield interface.Send(event.request, first_endpoint(react), 0.0)
        elif isinstance(event, interface.MembershipUpdate):
            react.listed = [e.endpoint for e in event.entries]  # type: ignore[attr-defined]
        elif isinstance(event, interface.AttemptEnded) and not event.complete:
            yield interface.Fail(event.request)

    return react


def first_endpoint(react: Any) -> str:
    return str(react.listed[0])


async def send_raw(client: JsonRpcClient, text: bytes) -> Any:
    """Send a text and return the next message that matches no call of the client."""
    count = len(client.stray)
    client.raw(text)
    async with asyncio.timeout(TEST_TIMEOUT):
        while len(client.stray) == count:
            await asyncio.sleep(0.001)
    return client.stray[-1]


def test_ids_are_returned_as_written() -> None:
    async def test() -> None:
        async with service(always()) as s:
            c = await s.client()
            calls = [c.call(READ, id=token) for token in ("1", "1.0", '"1"', "1e0", '"\\u00e6"')]
            answers = await asyncio.gather(*calls)
            assert all("result" in a for a in answers) and not c.stray
            assert s.endpoints[0].connections == 1, "calls share a connection"
            assert not audit(s.log)

    run_real(test)


def test_calls_of_a_batch_are_handled_by_their_own_classes() -> None:
    """Guards against treating a batch as one request. The response array must hold every id once."""

    async def test() -> None:
        async with service(always(), react=by_class(read="refuse", tip="fail")) as s:
            c = await s.client()
            calls = [c.prepare(k, id=token) for k, token in ((READ, "1"), (UNLOCK, '"u"'), (TIP, "2.50"))]
            notification = json.dumps({"jsonrpc": "2.0", "method": "page.get", "params": {"call": "n", "key": "n"}})
            c.raw(b"[%b,%b]" % (b",".join(text for text, _ in calls), notification.encode()))
            refused, served, failed = await asyncio.gather(*(future for _, future in calls))
            assert refused["error"]["code"] == codec.REFUSED
            assert refused["error"]["data"] == {"source": "zinclever", "repeat": "harmless", "retry_after_ms": 250}
            assert served["result"]["method"] == "unlock.buy"
            assert failed["error"]["code"] == codec.FAILED
            assert failed["error"]["data"] == {"source": "zinclever", "repeat": "may_have_run"}
            assert not c.stray

    run_real(test)


def test_responses_to_a_batch_are_sent_as_one_array() -> None:
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


def test_batch_of_notifications_gets_no_response() -> None:
    async def test() -> None:
        async with service(always()) as s:
            c = await s.client()
            notification = b'{"jsonrpc":"2.0","method":"page.get","params":{"call":"%b","key":"k"}}'
            c.raw(b"[%b,%b]" % (notification % b"a", notification % b"b"))
            await s.endpoints[0].until_received(2)
            await c.call(READ)
            assert not c.stray
            assert not s.service.front.dispatcher.requests

    run_real(test)


def test_reading_pauses_while_a_client_does_not_read() -> None:
    """Guards against unbounded memory for the responses to such a client, before it is disconnected."""

    async def test() -> None:
        async with service(always()) as s:
            _, writer = await asyncio.open_connection(*s.address.split(":"), limit=1024)
            text = b'{"jsonrpc":"2.0","method":1,"id":"%b"}\n' % (b"x" * 60_000)
            while not any(c.write_paused for c in s.service.front.connections):
                writer.write(text)
                await asyncio.sleep(0)
            (connection,) = s.service.front.connections
            assert not connection.transport.is_reading()
            writer.transport.abort()

    run_real(test)


@pytest.mark.parametrize(
    ("text", "code"),
    [
        (b"[]", codec.INVALID_REQUEST),
        (b"[" + b",".join([ONE_CALL] * 10_000) + b"]", codec.INVALID_REQUEST),
        (b"{", codec.PARSE_ERROR),
        (b"[" * 100_000, codec.PARSE_ERROR),
        (b'{"jsonrpc":"2.0","method":"x","id":[]}', codec.INVALID_REQUEST),
    ],
)
def test_invalid_requests_get_one_error(text: bytes, code: int) -> None:
    """Guards against running some calls of a batch that is rejected for its size."""

    async def test() -> None:
        async with service(always()) as s:
            c = await s.client()
            response = await send_raw(c, text)
            assert response["id"] is None and response["error"]["code"] == code
            await c.call(READ)
            assert len(s.log.received) == 1

    run_real(test)


def test_batch_inside_a_batch_is_rejected() -> None:
    async def test() -> None:
        async with service(always()) as s:
            c = await s.client()
            responses = await send_raw(c, b"[[],5]")
            assert [r["error"]["code"] for r in responses] == [codec.INVALID_REQUEST] * 2

    run_real(test)


def test_methods_that_are_not_listed_are_rejected() -> None:
    async def test() -> None:
        async with service(always()) as s:
            c = await s.client()
            for method in (b"other", b"rpc.discover"):
                response = await send_raw(c, b'{"jsonrpc":"2.0","method":"%b","id":77777}' % method)
                assert response["error"]["code"] == codec.METHOD_NOT_FOUND and response["id"] == 77777
            response = await send_raw(c, b'{"jsonrpc":"2.0","method":"unlock.buy","params":{},"id":77777}')
            assert response["error"]["code"] == codec.INVALID_PARAMS
            assert not s.log.received

    run_real(test)


def test_default_class_applies_to_unlisted_methods_except_reserved_ones() -> None:
    async def test() -> None:
        async with service(always(), more='default_class = "tip"') as s:
            c = await s.client()
            other = ClientRequestClass("tip", "anything", "at_most_once", 6000.0)
            assert "result" in await c.call(other)
            response = await send_raw(c, b'{"jsonrpc":"2.0","method":"rpc.x","id":77777}')
            assert response["error"]["code"] == codec.METHOD_NOT_FOUND

    run_real(test)


def test_duplicate_id_of_a_pending_call_is_rejected() -> None:
    """Guards against an error that the client takes for the response to the pending call."""

    async def test() -> None:
        async with service(always(), react=by_class(tip="hold")) as s:
            c = await s.client()
            first = c.call(TIP, id="5")
            response = await send_raw(c, b'{"jsonrpc":"2.0","method":"page.get","params":{"call":"x"},"id":5}')
            assert response["id"] is None and response["error"]["code"] == codec.INVALID_REQUEST
            assert not first.done() and not s.log.received

    run_real(test)


def test_id_can_be_reused_after_the_response() -> None:
    async def test() -> None:
        async with service(always()) as s:
            c = await s.client()
            for _ in range(3):
                assert "result" in await c.call(READ, id="5")

    run_real(test)


def test_failure_errors_are_wrapped_and_other_errors_are_forwarded() -> None:
    """Guards against treating an application error as a fault, and against losing the message of a fault."""

    async def test() -> None:
        async with service(always(Fault.ERROR), react=by_class()) as s:
            c = await s.client()
            response = await c.call(TIP)
            assert s.outcomes() == ["error"]
            assert response["error"]["code"] == codec.FAILED
            assert response["error"]["data"]["upstream"]["message"] == "internal"
        async with service(always(Fault.ERROR), react=by_class(), more="failure_errors = []") as s:
            c = await s.client()
            response = await c.call(TIP)
            assert s.outcomes() == ["served"] and response["error"]["code"] == codec.INTERNAL_ERROR

    run_real(test)


def test_refusal_of_a_safe_call_includes_the_error_of_the_endpoint() -> None:
    async def test() -> None:
        async with service(always(Fault.ERROR), deadline=600.0, aim=500.0) as s:
            c = await s.client()
            response = await c.call(READ)
            assert response["error"]["code"] == codec.REFUSED
            assert response["error"]["data"]["upstream"]["message"] == "internal"

    run_real(test)


def test_never_ran_errors_allow_a_retry_of_unsafe_calls() -> None:
    """A call of an at-most-once class that an endpoint declined is sent to another endpoint."""

    async def test() -> None:
        async with service(*[in_turn(Step(Fault.DECLINE), Step())] * 2) as s:
            c = await s.client()
            responses = await asyncio.gather(*(c.call(TIP) for _ in range(4)))
            assert all("result" in r for r in responses)
            assert len(s.log.received) > 4 and not audit(s.log)

    run_real(test)


def test_call_without_a_response_fails_at_its_deadline() -> None:
    async def test() -> None:
        async with service(always(Fault.SILENCE), deadline=300.0, aim=200.0) as s:
            c = await s.client()
            response = await c.call(TIP)
            assert response["error"]["code"] == codec.FAILED and len(s.log.received) == 1
            assert not s.service.dispatcher.requests

    run_real(test)


def test_client_disconnects_with_calls_in_flight() -> None:
    """Guards against leaking the requests, and against abandoning the notifications with them."""

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
            assert s.log.execution_count(name) == 1 and not s.service.dispatcher.requests

    run_real(test)


def test_incomplete_text_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """The calls before it must still be answered."""
    monkeypatch.setattr(frontend, "READ_TIMEOUT", 0.05)

    async def test() -> None:
        async with service(always(delay=0.3)) as s:
            c = await s.client()
            call = c.call(TIP)
            c.writer.write(b'{"jsonrpc":')
            assert "result" in await call
            await c.ended.wait()
            assert [x["error"]["code"] for x in c.stray] == [codec.PARSE_ERROR]

    run_real(test)


def test_oversized_text_is_rejected() -> None:
    async def test() -> None:
        async with service(always()) as s:
            c = await s.client()
            c.writer.write(b'"' + b"x" * ((1 << 20) + 1))
            await c.ended.wait()
            assert [x["error"]["code"] for x in c.stray] == [codec.PARSE_ERROR]
            assert not s.log.received

    run_real(test)


def test_client_that_does_not_read_its_responses_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a client that fills the memory with unread responses."""
    monkeypatch.setattr(frontend, "WRITE_TIMEOUT", 0.2)

    async def test() -> None:
        async with service(always()) as s:
            reader, writer = await asyncio.open_connection(*s.address.split(":"), limit=1024)
            assert reader
            fill = "x" * 60_000
            text = json.dumps({"jsonrpc": "2.0", "method": fill, "id": 1}).encode() + b"\n"
            with pytest.raises(ConnectionError):
                while True:  # each text causes an error response
                    writer.write(text)
                    await writer.drain()
                    writer.write(b'{"jsonrpc":"2.0","method":1,"id":"%b"}\n' % fill.encode())
                    await writer.drain()
            assert not s.service.front.connections

    run_real(test)


def test_pending_calls_per_connection_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a client that fills the dispatcher. Further calls must be processed later."""
    monkeypatch.setattr(frontend, "MAX_PENDING_CALLS", 10)

    async def test() -> None:
        release = asyncio.Event()

        def react(event: interface.Event) -> Iterable[interface.Action]:
            if isinstance(event, interface.RequestArrived) and release.is_set():
                yield interface.Refuse(event.request)

        async with service(always(), react=react) as s:
            c = await s.client()
            calls = [c.call(READ) for _ in range(3000)]
            await s.balancer.until(lambda: len(s.service.dispatcher.requests) == 10)
            for _ in range(20):
                await asyncio.sleep(0)
            assert len(s.service.dispatcher.requests) == 10
            release.set()
            for request in list(s.service.dispatcher.requests):
                s.service.dispatcher.fail(interface.Fail(request))
                s.service.dispatcher.feed(interface.RequestClosed(request))
            await asyncio.gather(*calls)
            assert not s.service.dispatcher.requests and not c.stray

    run_real(test)


def test_calls_fail_when_the_responses_of_their_batch_are_too_large(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend, "MAX_BATCH_RESPONSE_BYTES", 400)

    async def test() -> None:
        async with service(always()) as s:
            c = await s.client()
            calls = [c.prepare(READ) for _ in range(10)]
            c.raw(b"[%b]" % b",".join(text for text, _ in calls))
            responses = await asyncio.gather(*(future for _, future in calls))
            served = ["result" in r for r in responses]
            assert any(served) and not all(served)

    run_real(test)


def test_idle_clients_are_closed_when_descriptors_run_out() -> None:
    """Guards against idle clients that use up all file descriptors."""

    async def test() -> None:
        async with service(always(), sockets=60) as s:  # 20 usable, at most 30 for clients
            clients = [await s.client() for _ in range(45)]
            await asyncio.gather(*(c.ended.wait() for c in clients[:15]))
            assert "result" in await clients[-1].call(READ)
            assert s.service.front.descriptors.open <= 20

    run_real(test)


def test_endpoints_from_discovery() -> None:
    """The endpoints are listed by the platform's discovery service, and one of them drains."""

    async def test() -> None:
        log = Log()
        async with (
            Discovery(log) as discovery,
            JsonRpcEndpoint(log) as first,
            JsonRpcEndpoint(log) as second,
        ):
            await discovery.set(first)
            await discovery.set(second)
            text = operator(f'discovery = "{discovery.address}"', more='zones = ["a", "b"]')
            async with service(text=text) as s:
                await discovery.wait_until_announced(second)
                c = await JsonRpcClient(log).connect(s.address)
                while not (first.requests() and second.requests()):
                    await asyncio.gather(*(c.call(READ) for _ in range(10)))
                await discovery.set(first, "draining")
                await discovery.wait_until_announced(first)
                while any(
                    e.phase == "ready"
                    for e in s.service.dispatcher.balancer.endpoint_list.endpoints.values()
                    if e.name == first.name
                ):
                    await asyncio.sleep(0.001)
                received_before = len(first.requests())
                await asyncio.gather(*(c.call(READ) for _ in range(20)))
                assert len(first.requests()) == received_before and not audit(log)
                await c.close()

    run_real(test)


async def warm_up(s: Setup, client: JsonRpcClient) -> None:
    """Send calls until the balancer has seen a full measurement window: no copies are sent before."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while loop.time() < started_at + 1.1:
        await asyncio.gather(*(client.call(READ) for _ in range(4)))
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("klass", [READ, TIP, UNLOCK])
def test_only_a_safe_slow_call_is_hedged(klass: ClientRequestClass) -> None:
    """A slow read is copied to an unused endpoint after the hedge delay, and the late response is discarded.

    Calls that are not safe to repeat are not copied.
    """

    async def test() -> None:
        sent: list[str] = []

        def plan(call: str) -> Step:
            if not call.startswith("slow"):
                return Step()
            sent.append(call)
            return Step(delay=0.6 if len(sent) == 1 else 0.0)

        async with service(plan, plan, aim=1000.0, deadline=3000.0) as s:
            c = await s.client()
            await warm_up(s, c)
            assert "result" in await c.call(klass, name="slow")
            used = [r.endpoint for r in s.log.received if r.request == "slow"]
            if klass is READ:
                assert len(used) == len(set(used)) == 2
                while not s.service.wire.counts["late"]:
                    await asyncio.sleep(0.005)
            else:
                assert len(used) == 1
            assert set(s.service.wire.counts) <= {"late"}
            assert not audit(s.log)

    run_real(test)
