"""JSON-RPC in the program as it is started: signals, exit codes, and client libraries written elsewhere."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiorpcx
import pytest
from loopback import closed_port, known, response, run_real, serving
from pylsp_jsonrpc.endpoint import Endpoint as LspEndpoint
from pylsp_jsonrpc.streams import JsonRpcStreamReader, JsonRpcStreamWriter
from rpc import READ, TIP, operator
from test_program import COMMAND, ROOT, config, connect

from zinclever.standins import Fault, Log, always, audit
from zinclever.standins.clients import REFUSED, JsonRpcClient
from zinclever.standins.jsonrpc_endpoint import JsonRpcEndpoint


def write(tmp_path: Path, text: str) -> dict[str, str]:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    return {"ZINCLEVER_OPERATOR": str(path)}


@contextlib.asynccontextmanager
async def started(env: dict[str, str], address: str) -> AsyncIterator[asyncio.subprocess.Process]:
    """The program, once it listens."""
    base = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "ZINCLEVER_"))}
    program = await asyncio.create_subprocess_exec(*COMMAND, cwd=ROOT, env=base | env, stderr=asyncio.subprocess.PIPE)
    try:
        while True:
            try:
                (await connect(address)).writer.close()
                break
            except OSError:
                assert program.returncode is None, "the program has ended"
                await asyncio.sleep(0.02)
        yield program
    finally:
        if program.returncode is None:
            program.kill()
            await program.wait()


def test_every_call_in_flight_is_answered_at_the_end(tmp_path: Path) -> None:
    """SIGTERM: what is out is answered; what comes late is refused, which is harmless; then it ends."""

    async def test() -> None:
        log, at = Log(), closed_port()
        async with JsonRpcEndpoint(log, always(delay=1.2)) as e:
            env = write(tmp_path, operator(f'endpoints = ["{e.address}"]', listen=at))
            async with started(env, at) as program:
                c = await JsonRpcClient(log).connect(at)
                calls = [c.call(k) for k in (READ, TIP, TIP)]
                await e.until_received(3)
                program.send_signal(signal.SIGTERM)
                late: Any = {}
                while "error" not in late and not c.ended.is_set():
                    pending = c.call(TIP)
                    done, _ = await asyncio.wait({pending}, timeout=0.05)
                    late = pending.result() if done and not pending.exception() else {}
                    calls.append(pending)
                assert late["error"]["code"] == REFUSED and late["error"]["data"]["retry_after_ms"] > 0
                told = await asyncio.gather(*calls)
                assert all("result" in t for t in told[:3])
                await c.ended.wait()
                assert await program.wait() == 0
                assert not audit(log)

    run_real(test)


def test_sighup_brings_new_methods_and_endpoints(tmp_path: Path) -> None:
    """A bad file changes nothing; what is in flight is finished under what it came with."""

    async def test() -> None:
        log, at = Log(), closed_port()
        async with JsonRpcEndpoint(log, always(delay=0.5)) as one, JsonRpcEndpoint(log) as two:
            text = operator(f'endpoints = ["{one.address}"]', listen=at)
            env = write(tmp_path, text)
            path = Path(env["ZINCLEVER_OPERATOR"])
            async with started(env, at) as program:
                assert program.stderr is not None
                c = await JsonRpcClient(log).connect(at)
                held = c.call(TIP)
                await one.until_received(1)
                path.write_text(text.replace('"at_most_once"', '"at_most_onse"'))
                program.send_signal(signal.SIGHUP)
                line = (await program.stderr.readline()).decode()
                assert "classes.tip.repeat" in line and "not reloaded" in line
                path.write_text(text.replace(one.address, two.address).replace("page.get", "page.fetch"))
                program.send_signal(signal.SIGHUP)
                code = 0
                while code != -32601:  # the signal may be on its way
                    told = await c.call(READ)
                    code = told.get("error", {}).get("code", 0)
                tip = await c.call(TIP)
                assert tip["result"]["made"].startswith(two.name)
                assert (await held)["result"]["made"].startswith(one.name)
                assert [r.endpoint for r in log.received][-1] == two.name
                await c.close()

    run_real(test)


def test_both_services_in_one_process(tmp_path: Path) -> None:
    """The platform's service goes on beside those of the operator file."""

    async def test() -> None:
        log, at = Log(), closed_port()

        async def script(message: Any, peer: Any) -> bytes:
            return response(200, b"page")

        async with JsonRpcEndpoint(log) as e, serving(script) as (_, http):
            env = write(tmp_path, operator(f'endpoints = ["{e.address}"]', listen=at))
            env |= config(tmp_path, known=known(e=http))
            async with started(env, at) as program:
                client = await connect(env["LB_LISTEN"])
                assert (await client.ask("/read")).body == b"page"
                c = await JsonRpcClient(log).connect(at)
                assert "result" in await c.call(READ)
                program.send_signal(signal.SIGTERM)
                assert await program.wait() == 0

    run_real(test)


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("version = 2", "line 1: ZC120: version: "),
        ("version = 1\nx = 1", "line 2: ZC110: x: "),
        ("version = [", "line 1: ZC102: "),
    ],
)
def test_a_bad_operator_file_is_one_clear_line(tmp_path: Path, text: str, said: str) -> None:
    env = os.environ | config(tmp_path) | write(tmp_path, text)
    ended = subprocess.run(COMMAND, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60)
    assert ended.returncode == 2
    (line,) = ended.stderr.splitlines()
    assert line.startswith("zinclever: ZINCLEVER_OPERATOR: ") and said in line


def test_nothing_of_it_is_loaded_without_an_operator_file() -> None:
    """Guards against the platform's sidecar, which lives in little memory."""
    names = (
        "zinclever.jsonrpc",
        "zinclever.configuration.operator",
        "zinclever.configtool",
        "click",
        "tree_sitter",
        "tomllib",
    )
    program = f"import sys, zinclever.__main__; print([n for n in {names} if n in sys.modules])"
    command = [sys.executable, "-c", program]
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert ended.stdout.strip() == "[]", ended.stderr


def test_aiorpcx_works_through_it_unchanged(tmp_path: Path) -> None:
    """A client library written elsewhere, lines: calls, batches, notifications, errors."""

    async def test() -> None:
        log, at = Log(), closed_port()
        async with JsonRpcEndpoint(log) as e:
            env = write(tmp_path, operator(f'endpoints = ["{e.address}"]', listen=at))
            async with started(env, at):
                host, _, port = at.partition(":")
                async with aiorpcx.connect_rs(host, int(port)) as session:
                    params = {"call": "x", "key": "k"}
                    told = await session.send_request("page.get", params)
                    assert told["method"] == "page.get"
                    await session.send_notification("tip.send", params)
                    await e.until_received(2)
                    with pytest.raises(aiorpcx.RPCError) as caught:
                        await session.send_request("nothing")
                    assert caught.value.code == -32601
                    async with session.send_batch() as batch:
                        batch.add_request("page.get", params)
                        batch.add_request("nothing")
                        batch.add_notification("page.get", params)
                        batch.add_request("unlock.buy", params)
                    first, second, third = batch.results
                    assert first["method"] == "page.get" and third["method"] == "unlock.buy"
                    assert isinstance(second, aiorpcx.RPCError)
                    tips = [session.send_request("tip.send", params) for _ in range(99)]
                    told = await asyncio.gather(*tips)
                    assert len({t["made"] for t in told}) == 99

    run_real(test)


def test_an_lsp_client_works_through_it_unchanged(tmp_path: Path) -> None:
    """Another one, with Content-Length headers before each text."""

    async def test() -> None:
        log, at = Log(), closed_port()
        async with JsonRpcEndpoint(log, framing="headers") as e:
            env = write(tmp_path, operator(f'endpoints = ["{e.address}"]', framing="headers", listen=at))
            async with started(env, at):
                told = await asyncio.to_thread(ask_as_lsp, at)
                assert [t["method"] for t in told] == ["page.get", "tip.send"]

    run_real(test)


def ask_as_lsp(address: str) -> list[Any]:
    import socket
    import threading

    host, _, port = address.partition(":")
    with socket.create_connection((host, int(port))) as sock:
        stream = sock.makefile("rwb")
        writer, reader = JsonRpcStreamWriter(stream), JsonRpcStreamReader(stream)
        endpoint = LspEndpoint({}, writer.write)
        listener = threading.Thread(target=reader.listen, args=(endpoint.consume,), daemon=True)
        listener.start()
        told = [
            endpoint.request(method, {"call": method, "key": "k"}).result(20) for method in ("page.get", "tip.send")
        ]
        endpoint.shutdown()
        sock.shutdown(socket.SHUT_RDWR)
        listener.join()
    return told


def test_a_silent_endpoint_costs_a_tip_one_failure(tmp_path: Path) -> None:
    async def test() -> None:
        log, at = Log(), closed_port()
        async with JsonRpcEndpoint(log, always(Fault.SWALLOW)) as e:
            text = operator(f'endpoints = ["{e.address}"]', listen=at, deadline=400.0, aim=300.0)
            async with started(write(tmp_path, text), at):
                c = await JsonRpcClient(log).connect(at)
                told = await c.call(TIP)
                assert told["error"]["data"]["repeat"] == "may_have_run"
                assert len(log.received) == 1
                await c.close()

    run_real(test)
