"""The program as started in production: configuration, health, signals and exit codes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import tomllib
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from loopback import Client, Message, Peer, always, closed_port, known, read_message, response, run_real, serving

ROOT = Path(__file__).parent.parent
COMMAND = [sys.executable, "-m", "zinclever"]
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "read", "aim": 4000.0, "deadline": 6000.0, "repeat": "idempotent"},
        {"name": "tip", "aim": 4000.0, "deadline": 6000.0, "repeat": "at_most_once"},
    ],
    "limits": {"attempts-cap": 3, "cancel": True, "second-copies": True, "dial-timeout": 250.0},
    "registry-mode": "on_request",
    "zones": ["a", "b"],
}


def config(tmp_path: Path, **more: Any) -> dict[str, str]:
    """Writes a configuration file and returns the environment of a sidecar that uses it."""
    content = {
        "listen": closed_port(),
        "discovery": closed_port(),
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 256},
        "settings": SETTINGS,
    }
    path = tmp_path / "config.json"
    path.write_text(json.dumps(content | more))
    return {"LB_CONFIG": str(path), "LB_LISTEN": str(content["listen"])}


async def connect(address: str) -> Client:
    host, _, port = address.partition(":")
    return Client(*await asyncio.open_connection(host, int(port)))


@contextlib.asynccontextmanager
async def started(env: dict[str, str], command: str = "") -> AsyncIterator[asyncio.subprocess.Process]:
    """Starts the program, or a shell command, and waits until it is healthy."""
    argv = ["/bin/sh", "-c", command] if command else COMMAND
    program = await asyncio.create_subprocess_exec(*argv, cwd=ROOT, env=os.environ | env)
    try:
        while True:
            try:
                client = await connect(env["LB_LISTEN"])
            except OSError:
                assert program.returncode is None, "the program has ended"
                await asyncio.sleep(0.02)
                continue
            healthy = (await client.fetch("/_health")).status == 200
            client.writer.close()
            if healthy:  # not before it has an endpoint list
                break
            await asyncio.sleep(0.02)
        yield program
    finally:
        if program.returncode is None:
            program.kill()
            await program.wait()


def test_sigterm_drains_open_requests_and_connections(tmp_path: Path) -> None:
    """Guards against requests lost at a planned restart, whether open, on idle connections, or of new clients."""

    async def test() -> None:
        release = asyncio.Event()

        async def script(message: Message, peer: Peer) -> bytes | None:
            if message.headers["req-id"] == "held":
                await release.wait()
            return response(200, b"page")

        async with serving(script) as (peer, at):
            env = config(tmp_path, known=known(e=at))
            async with started(env) as program:
                held, kept = await connect(env["LB_LISTEN"]), await connect(env["LB_LISTEN"])
                assert (await kept.fetch(Req_Id="first")).body == b"page"
                held.send("/tip", method="POST", Req_Id="held")
                while peer.requests[-1][1].headers["req-id"] != "held":
                    await peer.arrived.get()
                program.send_signal(signal.SIGTERM)
                late = await connect(env["LB_LISTEN"])
                received = await late.fetch(Req_Id="late")
                while received.headers.get("connection") != "close":  # until the signal has been handled
                    received = await late.fetch(Req_Id="late")
                    assert received.status == 200
                assert await read_message(late.reader) is None
                last = await kept.fetch(Req_Id="kept")
                assert last.status == 200 and last.headers["connection"] == "close"
                release.set()
                final = await held.answer()
                assert final.status == 200 and final.headers["connection"] == "close"
                assert await program.wait() == 0

    run_real(test)


@pytest.mark.parametrize(
    "broken",
    [{"settings": {}}, {"settings": SETTINGS | {"classes": [{"aim": 1.0}]}}, {"listen": "nowhere"}, None],
)
def test_invalid_configuration_is_reported_in_one_line(tmp_path: Path, broken: dict[str, Any] | None) -> None:
    """Guards against starting with a partial configuration, and against a traceback."""
    variables = {"LB_CONFIG": ""} if broken is None else config(tmp_path, **broken) | {"LB_LISTEN": ""}
    env = os.environ | variables
    ended = subprocess.run(COMMAND, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60)
    assert ended.returncode != 0
    (line,) = ended.stderr.splitlines()
    assert line.startswith("zinclever: ") and "LB_CONFIG" in line
    if broken == {"listen": "nowhere"}:
        assert "listen: 'nowhere' is no address" in line


def test_reload_during_start_does_not_end_the_program(tmp_path: Path) -> None:
    """Guards against SIGHUP ending a process that has not installed its handler yet."""

    async def test() -> None:
        async with serving(always(response(200, b"page"))) as (_, at):
            env = config(tmp_path, known=known(e=at))
            env["LB_LISTEN"] = json.loads(Path(env["LB_CONFIG"]).read_text())["listen"]
            deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
            command = deploy["run"].replace(".venv/bin/python", sys.executable)
            program = await asyncio.create_subprocess_exec("/bin/sh", "-c", command, cwd=ROOT, env=os.environ | env)
            while not Path(f"/proc/{program.pid}/exe").resolve().name.startswith("python"):
                await asyncio.sleep(0.001)
            while True:  # throughout its start
                program.send_signal(signal.SIGHUP)
                try:
                    client = await connect(env["LB_LISTEN"])
                    break
                except OSError:
                    assert program.returncode is None, "the reload has ended it"
                    await asyncio.sleep(0.002)
            assert (await client.fetch(Req_Id="r")).status == 200
            program.terminate()
            client.writer.close()
            assert await program.wait() == 0

    run_real(test)


def test_reload_signal_is_delivered_once_a_handler_is_installed() -> None:
    code = """
import os, signal
from zinclever.system import System
System().block_reload_signal()
os.kill(os.getpid(), signal.SIGHUP)
signal.signal(signal.SIGHUP, lambda *about: print("told"))
print("handled")
System().unblock_reload_signal()
"""
    ended = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert ended.stdout.split() == ["handled", "told"]


def test_address_in_use_is_reported_in_one_line(tmp_path: Path) -> None:
    async def test() -> None:
        async with serving(lambda message, peer: asyncio.sleep(0, None)) as (_, at):
            env = config(tmp_path) | {"LB_LISTEN": at}
            program = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=os.environ | env, stderr=asyncio.subprocess.PIPE
            )
            _, output = await program.communicate()
            assert program.returncode == 1 and output.decode().count("\n") == 1

    run_real(test)
