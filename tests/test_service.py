"""Days of service: answers that come spoilt, load reports that can't be read, a new configuration."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Iterable
from pathlib import Path

import pytest
from loopback import Message, Peer, Script, always, host, known, response, run_real, serving, sidecar, silence
from test_discovery import Script as Answers
from test_discovery import news, told, watch
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
def test_interim_answers_are_not_the_answer(ahead: bytes) -> None:
    """Guards against a 1xx answer that is taken for the final one, and its headers with it."""

    async def test() -> None:
        async with serving(always(ahead + OK)) as (peer, at), sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            for n in range(2):
                got = await c.ask(Req_Id=f"r{n}")
                assert (got.status, got.body) == (200, b"page") and "link" not in got.headers
            assert peer.connections == 1

    run_real(test)


@pytest.mark.parametrize("beyond", [response(503, b"other", Srv_Declined="1"), b"\x00noise", OK])
def test_bytes_beyond_an_answer_change_nothing(beyond: bytes) -> None:
    """Guards against the status or body of what follows a good answer, and against its connection's reuse."""

    async def test() -> None:
        async with serving(always(OK + beyond)) as (peer, at), sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            for n in range(2):
                got = await c.ask(Req_Id=f"r{n}")
                assert (got.status, got.body) == (200, b"page")
            assert peer.connections == 2 and not s.wire.idle

    run_real(test)


@pytest.mark.parametrize(
    "spoilt",
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
def test_spoilt_answer_fails_early_and_the_next_attempt_serves(spoilt: bytes) -> None:
    """Guards against serving what is no whole answer, and against waiting for the rest until the deadline:
    the connection stays open and says nothing more."""

    async def test() -> None:
        async def script(message: Message, peer: Peer) -> bytes | None:
            peer.writers[-1].write(spoilt)
            return await silence(message, peer)

        async with (
            serving(script) as (bad, a),
            serving(always(OK)) as (_, b),
            sidecar(send_to("bad", "good"), known(bad=a, good=b)) as s,
        ):
            c = await s.client()
            got = await c.ask()
            assert (got.status, got.body) == (200, b"page")
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
def test_report_that_means_nothing_is_none(report: str) -> None:
    """Guards against an attempt that stays in flight for ever because its report could not be read."""

    async def test() -> None:
        load = b"Srv-Load: " + report.encode("latin-1")
        answer = b"HTTP/1.1 200 OK\r\n" + load + b"\r\nContent-Length: 2\r\n\r\nok"
        async with serving(always(answer)) as (_, at), sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            assert (await c.ask()).status == 200
            (end,) = s.balancer.ends()
            assert end.outcome == "served" and not end.report and not s.sidecar.requests

    run_real(test)


def test_headers_that_connection_names_end_here() -> None:
    """Guards against passing on what was meant for one connection only, either way."""

    async def test() -> None:
        answer = response(200, b"ok", X_Hop="1", X_End="2", Connection="keep-alive, x-hop")
        async with serving(always(answer)) as (peer, at), sidecar(send_to("e"), known(e=at)) as s:
            c = await s.client()
            got = await c.ask(Connection="X-Mine", X_Mine="1", X_Other="2")
            assert "x-hop" not in got.headers and got.headers["x-end"] == "2"
            sent = peer.requests[0][1].headers
            assert "x-mine" not in sent and sent["x-other"] == "2"

    run_real(test)


def test_discovery_that_moves_is_asked_for_the_whole_list() -> None:
    """Guards against a new discovery's list that looks older than the old one's, and against late answers
    of the old one."""
    one = Answers(told(900, True, host("a", "127.0.0.1:1")))
    two = Answers(told(7, True, host("b", "127.0.0.1:2")), told(8, False, host("c", "127.0.0.1:3")))

    async def test() -> None:
        async with serving(one) as (old, at), serving(two) as (new, other), sidecar(watch, discovery=at) as s:
            await s.balancer.until(lambda: len(news(s)) == 2)
            await old.arrived.get()
            await old.arrived.get()
            where, _, port = other.partition(":")
            s.discovery.move((where, int(port)))
            await s.balancer.until(lambda: len(news(s)) == 4)
            assert [n.kind for n in news(s)] == ["remembered", "whole", "whole", "changes"]
            assert set(s.wire.pools) == {"b", "c"}
            assert [m.start.split()[1] for _, m in new.requests][:2] == [
                "/catalog/members",
                "/catalog/members?index=7&wait=3000",
            ]
            assert await old.ended.get() == 0

    run_real(test)


def holding(release: asyncio.Event) -> Script:
    """Answers at once, but for the request named ``held``, which waits to be released."""

    async def script(message: Message, peer: Peer) -> bytes | None:
        if message.headers["req-id"] == "held":
            await release.wait()
        return OK

    return script


def test_sighup_moves_discovery_and_keeps_serving(tmp_path: Path) -> None:
    """Guards against a program that ends on SIGHUP, that loses what it holds, that takes a broken file, or
    that sticks to the address in its environment."""

    async def test() -> None:
        release = asyncio.Event()
        script = holding(release)
        async with serving(script) as (peer, at):
            one = Answers(told(900, True, host("e", at)))
            two = Answers(told(3, True, host("f", at)))
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
                    asker = await connect(env["LB_LISTEN"])
                    assert (await asker.ask("/read", Req_Id="r1")).status == 200
                    path.write_text(json.dumps(good | {"discovery": other}))
                    program.send_signal(signal.SIGHUP)
                    await second.arrived.get()
                    assert (await asker.ask("/read", Req_Id="r2")).status == 200
                    release.set()
                    assert (await client.answer()).body == b"page"
                    program.send_signal(signal.SIGTERM)
                    assert await program.wait() == 0

    run_real(test)


def test_sighup_brings_new_settings(tmp_path: Path) -> None:
    """Guards against settings that wait for a restart, and against what is held being judged by new ones."""

    async def test() -> None:
        release = asyncio.Event()
        script = holding(release)
        async with serving(script) as (peer, at):
            env = config(tmp_path, known=known(e=at))
            async with started(env) as program:
                held, client = await connect(env["LB_LISTEN"]), await connect(env["LB_LISTEN"])
                assert (await client.ask("/save")).status == 404
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
                while status == 404:  # the signal may be on its way
                    client = await connect(env["LB_LISTEN"])
                    status = (await client.ask("/save", Req_Id="new")).status
                assert status == 200
                client = await connect(env["LB_LISTEN"])
                assert (await client.ask("/tip", method="POST", Req_Id="gone")).status == 404
                release.set()
                assert (await held.answer()).body == b"page"

    run_real(test)


def test_attempt_end_reaches_the_balancer_though_the_answer_fails() -> None:
    """Guards against an exception between an attempt's end and its event: it would be in flight for ever."""

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
