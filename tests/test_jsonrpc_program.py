"""JSON-RPC services of the sidecar process: signals, exit codes, and third-party client libraries."""

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
    """Run the program, from when it accepts connections."""
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


def test_calls_in_flight_are_answered_at_shutdown(tmp_path: Path) -> None:
    """After SIGTERM, pending calls are answered and new calls are refused; then the process exits."""

    async def test() -> None:
        log, address = Log(), closed_port()
        async with JsonRpcEndpoint(log, always(delay=1.2)) as e:
            env = write(tmp_path, operator(f'endpoints = ["{e.address}"]', listen=address))
            async with started(env, address) as program:
                c = await JsonRpcClient(log).connect(address)
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
                responses = await asyncio.gather(*calls)
                assert all("result" in r for r in responses[:3])
                await c.ended.wait()
                assert await program.wait() == 0
                assert not audit(log)

    run_real(test)


def test_sighup_reloads_methods_and_endpoints(tmp_path: Path) -> None:
    """An invalid file changes nothing. Calls in flight finish under the previous settings."""

    async def test() -> None:
        log, address = Log(), closed_port()
        async with JsonRpcEndpoint(log, always(delay=0.5)) as first, JsonRpcEndpoint(log) as second:
            text = operator(f'endpoints = ["{first.address}"]', listen=address)
            env = write(tmp_path, text)
            path = Path(env["ZINCLEVER_OPERATOR"])
            async with started(env, address) as program:
                assert program.stderr is not None
                c = await JsonRpcClient(log).connect(address)
                in_flight = c.call(TIP)
                await first.until_received(1)
                path.write_text(text.replace('"at_most_once"', '"at_most_onse"'))
                program.send_signal(signal.SIGHUP)
                line = (await program.stderr.readline()).decode()
                assert "classes.tip.repeat" in line and "not reloaded" in line
                path.write_text(text.replace(first.address, second.address).replace("page.get", "page.fetch"))
                program.send_signal(signal.SIGHUP)
                code = 0
                while code != -32601:  # the signal may not have been handled yet
                    reply = await c.call(READ)
                    code = reply.get("error", {}).get("code", 0)
                tip = await c.call(TIP)
                assert tip["result"]["made"].startswith(second.name)
                assert (await in_flight)["result"]["made"].startswith(first.name)
                assert [r.endpoint for r in log.received][-1] == second.name
                await c.close()

    run_real(test)


def test_http_and_json_rpc_services_in_one_process(tmp_path: Path) -> None:
    """The platform's HTTP service must work beside the services of the operator file."""

    async def test() -> None:
        log, address = Log(), closed_port()

        async def script(message: Any, peer: Any) -> bytes:
            return response(200, b"page")

        async with JsonRpcEndpoint(log) as e, serving(script) as (_, http):
            env = write(tmp_path, operator(f'endpoints = ["{e.address}"]', listen=address))
            env |= config(tmp_path, known=known(e=http))
            async with started(env, address) as program:
                client = await connect(env["LB_LISTEN"])
                assert (await client.fetch("/read")).body == b"page"
                c = await JsonRpcClient(log).connect(address)
                assert "result" in await c.call(READ)
                program.send_signal(signal.SIGTERM)
                assert await program.wait() == 0

    run_real(test)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("version = 2", "line 1: ZC120: version: "),
        ("version = 1\nx = 1", "line 2: ZC110: x: "),
        ("version = [", "line 1: ZC102: "),
    ],
)
def test_invalid_operator_file_is_reported_in_one_line(tmp_path: Path, text: str, expected: str) -> None:
    env = os.environ | config(tmp_path) | write(tmp_path, text)
    process = subprocess.run(COMMAND, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60)
    assert process.returncode == 2
    (line,) = process.stderr.splitlines()
    assert line.startswith("zinclever: ZINCLEVER_OPERATOR: ") and expected in line


def test_json_rpc_is_not_loaded_without_an_operator_file() -> None:
    """Guards against unused modules in the platform's sidecar, whose memory is limited."""
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
    process = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert process.stdout.strip() == "[]", process.stderr


def test_aiorpcx_client(tmp_path: Path) -> None:
    """A third-party client with ``lines`` framing: calls, batches, notifications and errors."""

    async def test() -> None:
        log, address = Log(), closed_port()
        async with JsonRpcEndpoint(log) as e:
            env = write(tmp_path, operator(f'endpoints = ["{e.address}"]', listen=address))
            async with started(env, address):
                host, _, port = address.partition(":")
                async with aiorpcx.connect_rs(host, int(port)) as session:
                    params = {"call": "x", "key": "k"}
                    result = await session.send_request("page.get", params)
                    assert result["method"] == "page.get"
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
                    results = await asyncio.gather(*tips)
                    assert len({r["made"] for r in results}) == 99

    run_real(test)


def test_lsp_client(tmp_path: Path) -> None:
    """A third-party client with ``headers`` framing."""

    async def test() -> None:
        log, address = Log(), closed_port()
        async with JsonRpcEndpoint(log, framing="headers") as e:
            env = write(tmp_path, operator(f'endpoints = ["{e.address}"]', framing="headers", listen=address))
            async with started(env, address):
                results = await asyncio.to_thread(call_with_lsp_client, address)
                assert [r["method"] for r in results] == ["page.get", "tip.send"]

    run_real(test)


def call_with_lsp_client(address: str) -> list[Any]:
    import socket
    import threading

    host, _, port = address.partition(":")
    with socket.create_connection((host, int(port))) as sock:
        stream = sock.makefile("rwb")
        writer, reader = JsonRpcStreamWriter(stream), JsonRpcStreamReader(stream)
        endpoint = LspEndpoint({}, writer.write)
        listener = threading.Thread(target=reader.listen, args=(endpoint.consume,), daemon=True)
        listener.start()
        results = [
            endpoint.request(method, {"call": method, "key": "k"}).result(20) for method in ("page.get", "tip.send")
        ]
        endpoint.shutdown()
        sock.shutdown(socket.SHUT_RDWR)
        listener.join()
    return results


def test_unsafe_call_to_a_silent_endpoint_fails_without_a_retry(tmp_path: Path) -> None:
    async def test() -> None:
        log, address = Log(), closed_port()
        async with JsonRpcEndpoint(log, always(Fault.SWALLOW)) as e:
            text = operator(f'endpoints = ["{e.address}"]', listen=address, deadline=400.0, aim=300.0)
            async with started(write(tmp_path, text), address):
                c = await JsonRpcClient(log).connect(address)
                reply = await c.call(TIP)
                assert reply["error"]["data"]["repeat"] == "may_have_run"
                assert len(log.received) == 1
                await c.close()

    run_real(test)
