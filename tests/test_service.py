"""The sidecar in operation: malformed answers and load reports, and reloads of the configuration."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Iterable
from pathlib import Path

import pytest
from loopback import Message, Peer, Script, always, host, known, response, run_real, serving, sidecar, silence
from test_discovery import Script as Answers
from test_discovery import list_response, updates, watch
from test_program import config, connect, started
from test_sidecar import send_to

from zinclever import interface
from zinclever.core.protocol import FinalAnswer, IncomingRequest
from zinclever.http1 import connection as http
from zinclever.http1.wire import Payload

OK = response(200, b"page")


@pytest.mark.parametrize(
    "ahead",
    [
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\nContent-Length: 7\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n",
    ],
)
def test_interim_responses_are_skipped(ahead: bytes) -> None:
    """Guards against taking a 1xx answer, or its headers, for the final one."""

    async def test() -> None:
        async with serving(always(ahead + OK)) as (peer, at), sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            for n in range(2):
                received = await c.fetch(Req_Id=f"r{n}")
                assert (received.status, received.body) == (200, b"page") and "link" not in received.headers
            assert peer.connections == 1

    run_real(test)


@pytest.mark.parametrize("beyond", [response(503, b"other", Srv_Declined="1"), b"\x00noise", OK])
def test_bytes_after_an_answer_are_ignored(beyond: bytes) -> None:
    """Guards against using data that follows an answer, and against reusing such a connection."""

    async def test() -> None:
        async with serving(always(OK + beyond)) as (peer, at), sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            for n in range(2):
                received = await c.fetch(Req_Id=f"r{n}")
                assert (received.status, received.body) == (200, b"page")
            assert peer.connections == 2 and not s.wire.idle

    run_real(test)


@pytest.mark.parametrize(
    "malformed",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nxxxx",
        b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\npage",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\npage",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npage\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npage",
        b"HTTP/1.1 200 OK\r\n\r\npage",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npage\r\n",
        b"HTTP/1.1 200 OK\r\nX-Fill: " + b"x" * (http.MAX_RESPONSE_OVERHEAD + http.MAX_BUFFERED_BODY),
        b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 20000,
        b"HTTP/1.1 20",
        b"\x16\x03\x01 noise",
    ],
)
def test_malformed_answer_fails_early_and_the_next_attempt_serves(malformed: bytes) -> None:
    """Guards against serving an incomplete answer, and against waiting for its rest until the deadline.

    The connection stays open without further data.
    """

    async def test() -> None:
        async def script(message: Message, peer: Peer) -> bytes | None:
            peer.writers[-1].write(malformed)
            return await silence(message, peer)

        async with (
            serving(script) as (bad, a),
            serving(always(OK)) as (_, b),
            sidecar(send_to("bad", "good"), known(bad=a, good=b)) as s,
        ):
            c = await s.client()
            received = await c.fetch()
            assert (received.status, received.body) == (200, b"page")
            first, second = s.balancer.ends()
            assert (first.outcome, second.outcome) == ("reset", "served")
            assert first.elapsed < 4000.0, "not before its deadline"
            assert await bad.ended.get() == 0

    run_real(test)


@pytest.mark.parametrize(
    "report",
    [
        "{",
        "[1]",
        "null",
        '{"queue": "7"}',
        '{"queue": null}',
        '{"queue": true}',
        '{"queue": -1}',
        '{"queue": 1e308}',
        '{"queue": NaN}',
        '{"queue": ' + "9" * 400 + "}",
        "\x80",
    ],
)
def test_malformed_load_report_is_ignored(report: str) -> None:
    """Guards against an attempt that stays in flight forever because its load report is malformed."""

    async def test() -> None:
        load = b"Srv-Load: " + report.encode("latin-1")
        answer = b"HTTP/1.1 200 OK\r\n" + load + b"\r\nContent-Length: 2\r\n\r\nok"
        async with serving(always(answer)) as (_, at), sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            assert (await c.fetch()).status == 200
            (end,) = s.balancer.ends()
            assert end.outcome == "served" and not end.report and not s.sidecar.requests

    run_real(test)


def test_headers_named_by_connection_are_not_forwarded() -> None:
    """Guards against forwarding hop-by-hop headers, in both directions."""

    async def test() -> None:
        answer = response(200, b"ok", X_Hop="1", X_End="2", Connection="keep-alive, x-hop")
        async with serving(always(answer)) as (peer, at), sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            received = await c.fetch(Connection="X-Mine", X_Mine="1", X_Other="2")
            assert "x-hop" not in received.headers and received.headers["x-end"] == "2"
            sent = peer.requests[0][1].headers
            assert "x-mine" not in sent and sent["x-other"] == "2"

    run_real(test)


def test_new_discovery_address_requests_the_whole_list() -> None:
    """Guards against ignoring the new service's list for its lower version, and against late answers of the old one."""
    one = Answers(list_response(900, True, host("a", "127.0.0.1:1")))
    two = Answers(list_response(7, True, host("b", "127.0.0.1:2")), list_response(8, False, host("c", "127.0.0.1:3")))

    async def test() -> None:
        async with serving(one) as (old, at), serving(two) as (new, other), sidecar(watch, discovery=at) as s:
            await s.balancer.until(lambda: len(updates(s)) == 2)
            await old.arrived.get()
            await old.arrived.get()
            where, _, port = other.partition(":")
            s.discovery.change_address((where, int(port)))
            await s.balancer.until(lambda: len(updates(s)) == 4)
            assert [n.kind for n in updates(s)] == ["remembered", "whole", "whole", "changes"]
            assert set(s.wire.pools) == {"b", "c"}
            assert [m.start.split()[1] for _, m in new.requests][:2] == [
                "/catalog/members",
                "/catalog/members?index=7&wait=3000",
            ]
            assert await old.ended.get() == 0

    run_real(test)


def holding(release: asyncio.Event) -> Script:
    """Answers at once, except for the request ``held``, which waits for the event."""

    async def script(message: Message, peer: Peer) -> bytes | None:
        if message.headers["req-id"] == "held":
            await release.wait()
        return OK

    return script


def test_reload_changes_the_discovery_address(tmp_path: Path) -> None:
    """Guards against SIGHUP that ends the program or loses requests, and against applying a malformed file, or the
    discovery address of the environment, on a reload."""

    async def test() -> None:
        release = asyncio.Event()
        script = holding(release)
        async with serving(script) as (peer, at):
            one = Answers(list_response(900, True, host("e", at)))
            two = Answers(list_response(3, True, host("f", at)))
            async with serving(one) as (_, first), serving(two) as (second, other):
                env = config(tmp_path, known=known(e=at), discovery=first)
                env["LB_DISCOVERY"] = first
                async with started(env) as program:
                    client = await connect(env["LB_LISTEN"])
                    client.send(Req_Id="held")
                    await peer.arrived.get()
                    path = Path(env["LB_CONFIG"])
                    good = json.loads(path.read_text())
                    path.write_text("{")
                    program.send_signal(signal.SIGHUP)
                    other_client = await connect(env["LB_LISTEN"])
                    assert (await other_client.fetch("/read", Req_Id="r1")).status == 200
                    path.write_text(json.dumps(good | {"discovery": other}))
                    program.send_signal(signal.SIGHUP)
                    await second.arrived.get()
                    assert (await other_client.fetch("/read", Req_Id="r2")).status == 200
                    release.set()
                    assert (await client.answer()).body == b"page"
                    program.send_signal(signal.SIGTERM)
                    assert await program.wait() == 0

    run_real(test)


def test_reload_applies_new_settings(tmp_path: Path) -> None:
    """Guards against settings that need a restart, and against open requests that are handled by the new ones."""

    async def test() -> None:
        release = asyncio.Event()
        script = holding(release)
        async with serving(script) as (peer, at):
            env = config(tmp_path, known=known(e=at))
            async with started(env) as program:
                held, client = await connect(env["LB_LISTEN"]), await connect(env["LB_LISTEN"])
                assert (await client.fetch("/save")).status == 404
                held.send("/tip", method="POST", Req_Id="held")
                await peer.arrived.get()
                path = Path(env["LB_CONFIG"])
                new = json.loads(path.read_text())
                new["settings"]["classes"] = [
                    {"name": "save", "aim": 4000.0, "deadline": 6000.0, "repeat": "idempotent"}
                ]
                path.write_text(json.dumps(new))
                program.send_signal(signal.SIGHUP)
                status = 404
                while status == 404:  # until the signal has been handled
                    client = await connect(env["LB_LISTEN"])
                    status = (await client.fetch("/save", Req_Id="new")).status
                assert status == 200
                client = await connect(env["LB_LISTEN"])
                assert (await client.fetch("/tip", method="POST", Req_Id="gone")).status == 404
                release.set()
                assert (await held.answer()).body == b"page"

    run_real(test)


def test_attempt_end_reaches_the_balancer_if_the_answer_fails() -> None:
    """Guards against an attempt that stays in flight forever after an exception while its answer is written."""

    def react(event: interface.Event) -> Iterable[interface.Action]:
        if isinstance(event, interface.RequestArrived):
            yield interface.Send(event.request, "e", 0.0)

    async def test() -> None:
        async with serving(always(OK)) as (_, at), sidecar(react, known(e=at)) as s:

            def broken(answer: FinalAnswer) -> None:
                raise RuntimeError("no way to the client")

            head = b"GET /read HTTP/1.1\r\nReq-Id: r9\r\n"
            request = IncomingRequest("r9", 0, 0, "", 5000.0, 0.0, False, Payload(head, b""))
            s.sidecar.take(request, broken)
            await s.balancer.until(lambda: bool(s.balancer.ends()))
            assert s.balancer.ends()[0].complete
            await asyncio.sleep(0)
            assert not s.sidecar.requests

    run_real(test)
