"""Takeover between two processes: the inherited listening socket and the limits that both share meanwhile."""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from loopback import Message, Peer, closed_port, known, response, run_real, serving
from test_program import COMMAND, ROOT, config, connect

from zinclever.handover.listener import inherited
from zinclever.handover.presence import Presence, PresenceMonitor
from zinclever.system import System

HOLD = """
import sys
from pathlib import Path
from zinclever.handover.presence import Presence
Presence(Path(sys.argv[1]), ("127.0.0.1", 1)).enter()
print("there", flush=True)
sys.stdin.read()
"""


def start_other(directory: Path) -> subprocess.Popen[bytes]:
    """Starts another process that has registered."""
    process = subprocess.Popen(
        [sys.executable, "-c", HOLD, str(directory)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
    )
    assert process.stdout is not None and process.stdout.readline() == b"there\n"
    return process


def test_killed_process_is_not_counted(tmp_path: Path) -> None:
    """Guards against limits reserved for a killed process, and against touching the files of other sidecars."""
    me = Presence(tmp_path, ("127.0.0.1", 1))
    me.enter()
    (tmp_path / "zinclever-127.0.0.1-1.999999").touch()  # of a dead process
    (tmp_path / "zinclever-127.0.0.1-12.5").touch()
    assert me.others() == 0
    other = start_other(tmp_path)
    assert me.others() == 1
    other.kill()
    other.communicate()
    assert me.others() == 0
    me.leave()
    assert sorted(p.name for p in tmp_path.iterdir()) == ["zinclever-127.0.0.1-12.5"]


def test_new_process_is_counted_while_it_registers(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a race: a file that is opened before it is locked is taken for a dead process's and removed."""
    me, newcomer = Presence(tmp_path, ("127.0.0.1", 1)), Presence(tmp_path, ("127.0.0.1", 1))
    newcomer.path = newcomer.path.with_name(f"{newcomer.stem}1")  # as another process would name it
    me.enter()
    lock = fcntl.flock
    counts: list[int] = []

    def counting_flock(descriptor: int, operation: int) -> None:
        if operation & fcntl.LOCK_EX:
            counts.append(me.others())
        lock(descriptor, operation)

    monkeypatch.setattr(fcntl, "flock", counting_flock)
    newcomer.enter()
    assert counts == [0] and me.others() == newcomer.others() == 1
    monkeypatch.undo()
    for path in tmp_path.iterdir():  # as a cleanup of temporary files does
        path.unlink()
    assert me.others() == 0 and newcomer.others() == 1 and me.others() == 1


def test_monitor_reports_changes(tmp_path: Path) -> None:
    async def test() -> None:
        reported: asyncio.Queue[int] = asyncio.Queue()
        monitor = PresenceMonitor(Presence(tmp_path, ("127.0.0.1", 1)), reported.put_nowait)
        monitor.start()
        other = start_other(tmp_path)
        assert await reported.get() == 1
        other.terminate()
        assert await reported.get() == 0
        other.communicate()
        monitor.stop()

    run_real(test)


def test_descriptor_that_is_not_a_listener_is_rejected() -> None:
    """Guards against serving on another kind of descriptor, and against closing it."""
    with socket.socket() as unbound:
        with pytest.raises(OSError, match="doesn't listen"):
            inherited(unbound.fileno())
        unbound.getsockname()
    read, write = os.pipe()
    with pytest.raises(OSError, match="is no socket"):
        inherited(read)
    os.close(read)
    os.close(write)


async def start(env: dict[str, str], listener: socket.socket, tmp: Path, admin: str) -> asyncio.subprocess.Process:
    """Starts the program on a socket of the test and waits until its status page reports that it is ready."""
    more = {"LB_INHERITED_FD": str(listener.fileno()), "LB_ADMIN_ADDR": admin, "TMPDIR": str(tmp)}
    program = await asyncio.create_subprocess_exec(
        *COMMAND, cwd=ROOT, env=os.environ | env | more, pass_fds=[listener.fileno()]
    )
    while True:
        assert program.returncode is None, "the program has ended"
        try:
            if (await (await connect(admin)).fetch("/status")).status == 200:
                return program
        except OSError:
            pass
        await asyncio.sleep(0.02)


async def metrics(admin: str) -> dict[str, int]:
    text = (await (await connect(admin)).fetch("/status/metrics")).body.decode()
    return {name: int(value.partition("|")[0]) for name, value in (x.split(":") for x in text.splitlines())}


def test_takeover_under_load(tmp_path: Path) -> None:
    """Guards against refused or reset connections, lost requests and repeated ones while a process takes over."""

    async def test() -> None:
        release = asyncio.Event()

        async def script(message: Message, peer: Peer) -> bytes | None:
            if message.headers["req-id"] == "held":
                await release.wait()
            return response(200, b"page")

        listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        host, port = listener.getsockname()
        at = f"{host}:{port}"
        stop = asyncio.Event()
        request_count = 0

        async def send_requests(task: int) -> None:
            nonlocal request_count
            client = None
            while not stop.is_set():
                client = client or await connect(at)
                request_count += 1
                received = await client.fetch("/tip", method="POST", Req_Id=f"{task}-{request_count}")
                assert received.status == 200 and received.body == b"page"
                if received.headers.get("connection") == "close":
                    client = None

        async with serving(script) as (peer, endpoint):
            env = config(tmp_path, listen=at, known=known(e=endpoint))
            old_admin, new_admin = closed_port(), closed_port()
            old = await start(env, listener, tmp_path, old_admin)
            held = await connect(at)
            held.send("/tip", method="POST", Req_Id="held")
            while not peer.requests:
                await peer.arrived.get()
            load = [asyncio.create_task(send_requests(n)) for n in range(6)]
            new = await start(env, listener, tmp_path, new_admin)
            before = (await metrics(old_admin))["lb.dispatches"]
            old.send_signal(signal.SIGTERM)
            while (await metrics(new_admin))["lb.replies.tip.success"] < 50:
                await asyncio.sleep(0.02)
            release.set()
            assert (await held.answer()).status == 200
            assert await old.wait() == 0
            stop.set()
            await asyncio.gather(*load)
            counted = await metrics(new_admin)
            assert before >= 1 and counted["lb.targets"] == 1 and counted["lb.concurrent"] == 0
            executed_ids = [m.headers["req-id"] for _, m in peer.requests]
            assert len(executed_ids) == len(set(executed_ids)) == request_count + 1
            new.terminate()
            assert await new.wait() == 0
        listener.close()

    run_real(test)


def test_limits_are_divided_between_two_processes(tmp_path: Path) -> None:
    """Guards against two processes that together exceed the sidecar's limits."""
    from zinclever.assembly import Platform
    from zinclever.configuration.load import read
    from zinclever.core.descriptors import DESCRIPTOR_RESERVE, Descriptors

    async def test() -> None:
        loaded, _ = read(config(tmp_path, limits={"sockets": 256}))
        assert loaded is not None
        platform = Platform(loaded, Descriptors(loaded.sockets), System())
        platform.share_limits(1)
        assert platform.descriptors.max_connections == 128 - DESCRIPTOR_RESERVE and platform.front.most == 64
        platform.reconfigure(await changed(tmp_path))
        assert (
            platform.descriptors.max_connections == 150 - DESCRIPTOR_RESERVE
        )  # a reload divides the new limit as well
        platform.share_limits(0)
        assert platform.descriptors.max_connections == 300 - DESCRIPTOR_RESERVE

    async def changed(tmp_path: Path) -> Any:
        loaded, _ = read(config(tmp_path, limits={"sockets": 300}))
        return loaded

    run_real(test)


@pytest.mark.parametrize(("fd", "message"), [("many", "LB_INHERITED_FD"), ("250", "inherited descriptor 250")])
def test_unusable_descriptor_is_reported_in_one_line(tmp_path: Path, fd: str, message: str) -> None:
    env = os.environ | config(tmp_path) | {"LB_INHERITED_FD": fd, "TMPDIR": str(tmp_path)}
    ended = subprocess.run(COMMAND, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60)
    (line,) = ended.stderr.splitlines()
    assert ended.returncode in (1, 2) and message in line


def test_admin_address_from_file_and_environment(tmp_path: Path) -> None:
    from zinclever.configuration.load import ConfigError, read

    env = config(tmp_path, admin_addr="127.0.0.1:15000")
    loaded, _ = read(env)
    assert loaded is not None and loaded.admin == ("127.0.0.1", 15000) and loaded.inherited is None
    loaded, _ = read(env | {"LB_ADMIN_ADDR": "127.0.0.1:15001", "LB_INHERITED_FD": "4"})
    assert loaded is not None and loaded.admin == ("127.0.0.1", 15001) and loaded.inherited == 4
    with pytest.raises(ConfigError, match="admin_addr"):
        read(config(tmp_path, admin_addr="nowhere"))
    assert json.loads(Path(env["LB_CONFIG"]).read_text())["admin_addr"] == "nowhere"
