"""A process that takes over from another: the socket that both accept from, and what they share meanwhile."""

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


def holder(folder: Path) -> subprocess.Popen[bytes]:
    """Another process that is there."""
    made = subprocess.Popen(
        [sys.executable, "-c", HOLD, str(folder)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
    )
    assert made.stdout is not None and made.stdout.readline() == b"there\n"
    return made


def test_a_killed_process_is_not_there(tmp_path: Path) -> None:
    """Guards against half of the descriptors lying idle for a process that was killed, and against other sidecars,
    or files that are none of ours, in a shared folder."""
    me = Presence(tmp_path, ("127.0.0.1", 1))
    me.enter()
    (tmp_path / "zinclever-127.0.0.1-1.999999").touch()  # left behind
    (tmp_path / "zinclever-127.0.0.1-12.5").touch()
    assert me.others() == 0
    other = holder(tmp_path)
    assert me.others() == 1
    other.kill()
    other.communicate()
    assert me.others() == 0
    me.leave()
    assert sorted(p.name for p in tmp_path.iterdir()) == ["zinclever-127.0.0.1-12.5"]


def test_a_newcomer_is_counted_whenever_others_look(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a newcomer whose file is opened between its making and its lock, and removed as a dead one's."""
    me, newcomer = Presence(tmp_path, ("127.0.0.1", 1)), Presence(tmp_path, ("127.0.0.1", 1))
    newcomer.path = newcomer.path.with_name(f"{newcomer.stem}1")  # as another process would name it
    me.enter()
    lock = fcntl.flock
    looks: list[int] = []

    def looked_at(descriptor: int, operation: int) -> None:
        if operation & fcntl.LOCK_EX:
            looks.append(me.others())
        lock(descriptor, operation)

    monkeypatch.setattr(fcntl, "flock", looked_at)
    newcomer.enter()
    assert looks == [0] and me.others() == newcomer.others() == 1
    monkeypatch.undo()
    for path in tmp_path.iterdir():  # a cleaner of such folders
        path.unlink()
    assert me.others() == 0 and newcomer.others() == 1 and me.others() == 1


def test_changes_are_told(tmp_path: Path) -> None:
    async def test() -> None:
        told: asyncio.Queue[int] = asyncio.Queue()
        monitor = PresenceMonitor(Presence(tmp_path, ("127.0.0.1", 1)), told.put_nowait)
        monitor.start()
        other = holder(tmp_path)
        assert await told.get() == 1
        other.terminate()
        assert await told.get() == 0
        other.communicate()
        monitor.stop()

    run_real(test)


def test_what_is_no_listener_is_refused() -> None:
    """Guards against serving from a descriptor that is something else, and against closing it."""
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
    """The program over a socket that the test keeps, once operators hear that it takes clients."""
    more = {"LB_INHERITED_FD": str(listener.fileno()), "LB_ADMIN_ADDR": admin, "TMPDIR": str(tmp)}
    program = await asyncio.create_subprocess_exec(
        *COMMAND, cwd=ROOT, env=os.environ | env | more, pass_fds=[listener.fileno()]
    )
    while True:
        assert program.returncode is None, "the program has ended"
        try:
            if (await (await connect(admin)).ask("/status")).status == 200:
                return program
        except OSError:
            pass
        await asyncio.sleep(0.02)


async def figures(admin: str) -> dict[str, int]:
    told = (await (await connect(admin)).ask("/status/metrics")).body.decode()
    return {name: int(value.partition("|")[0]) for name, value in (x.split(":") for x in told.splitlines())}


def test_a_process_takes_over_under_load(tmp_path: Path) -> None:
    """No client meets a refused or reset connection while one process takes over from another; what the old one holds
    is finished, and each request runs once."""

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
        asked = 0

        async def ask_on(own: int) -> None:
            nonlocal asked
            client = None
            while not stop.is_set():
                client = client or await connect(at)
                asked += 1
                got = await client.ask("/tip", method="POST", Req_Id=f"{own}-{asked}")
                assert got.status == 200 and got.body == b"page"
                if got.headers.get("connection") == "close":
                    client = None

        async with serving(script) as (peer, endpoint):
            env = config(tmp_path, listen=at, known=known(e=endpoint))
            old_admin, new_admin = closed_port(), closed_port()
            old = await start(env, listener, tmp_path, old_admin)
            held = await connect(at)
            held.send("/tip", method="POST", Req_Id="held")
            while not peer.requests:
                await peer.arrived.get()
            load = [asyncio.create_task(ask_on(n)) for n in range(6)]
            new = await start(env, listener, tmp_path, new_admin)
            before = (await figures(old_admin))["lb.dispatches"]
            old.send_signal(signal.SIGTERM)
            while (await figures(new_admin))["lb.replies.tip.success"] < 50:
                await asyncio.sleep(0.02)
            release.set()
            assert (await held.answer()).status == 200
            assert await old.wait() == 0
            stop.set()
            await asyncio.gather(*load)
            counted = await figures(new_admin)
            assert before >= 1 and counted["lb.targets"] == 1 and counted["lb.concurrent"] == 0
            ran = [m.headers["req-id"] for _, m in peer.requests]
            assert len(ran) == len(set(ran)) == asked + 1
            new.terminate()
            assert await new.wait() == 0
        listener.close()

    run_real(test)


def test_descriptors_are_divided_while_two_are_there(tmp_path: Path) -> None:
    """Guards against two processes that hold more together than the one sidecar may."""
    from zinclever.assembly import Platform
    from zinclever.configuration.load import read
    from zinclever.core.descriptors import RESERVED, Descriptors

    async def test() -> None:
        told, _ = read(config(tmp_path, limits={"sockets": 256}))
        assert told is not None
        platform = Platform(told, Descriptors(told.sockets), System())
        platform.share_limits(1)
        assert platform.descriptors.max_connections == 128 - RESERVED and platform.front.most == 64
        platform.adopt(await changed(tmp_path))
        assert platform.descriptors.max_connections == 150 - RESERVED  # a reload meanwhile divides what it brings
        platform.share_limits(0)
        assert platform.descriptors.max_connections == 300 - RESERVED

    async def changed(tmp_path: Path) -> Any:
        told, _ = read(config(tmp_path, limits={"sockets": 300}))
        return told

    run_real(test)


@pytest.mark.parametrize(("fd", "said"), [("many", "LB_INHERITED_FD"), ("250", "inherited descriptor 250")])
def test_a_wrong_descriptor_is_told_in_one_line(tmp_path: Path, fd: str, said: str) -> None:
    env = os.environ | config(tmp_path) | {"LB_INHERITED_FD": fd, "TMPDIR": str(tmp_path)}
    ended = subprocess.run(COMMAND, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60)
    (line,) = ended.stderr.splitlines()
    assert ended.returncode in (1, 2) and said in line


def test_the_address_of_operators_may_stand_in_the_file(tmp_path: Path) -> None:
    from zinclever.configuration.load import ConfigError, read

    env = config(tmp_path, admin_addr="127.0.0.1:15000")
    told, _ = read(env)
    assert told is not None and told.admin == ("127.0.0.1", 15000) and told.inherited is None
    told, _ = read(env | {"LB_ADMIN_ADDR": "127.0.0.1:15001", "LB_INHERITED_FD": "4"})
    assert told is not None and told.admin == ("127.0.0.1", 15001) and told.inherited == 4
    with pytest.raises(ConfigError, match="admin_addr"):
        read(config(tmp_path, admin_addr="nowhere"))
    assert json.loads(Path(env["LB_CONFIG"]).read_text())["admin_addr"] == "nowhere"
