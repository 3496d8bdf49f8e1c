"""The process that the deploy file starts: single, dynamically linked, and without resources that the platform denies.

System calls themselves could only be observed by tracing or a filter. These tests check what they leave behind: child
processes, io_uring instances, bound Unix sockets, another executable. splice and sendfile leave nothing and are not
covered.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import socket
import sys
import tomllib
from pathlib import Path

import pytest
from loopback import always, known, response, run_real, serving
from test_program import ROOT, config, connect, started

DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
SOCKETS = 256
THREADS = 8  # the event loop and its worker threads for files and name resolution
RINGS = 1  # the event loop library always tries to create one at its start, and works without it


def command() -> str:
    """Returns the deploy file's ``run`` command with the interpreter of these tests."""
    run_command: str = DEPLOY["run"]
    assert run_command.count(".venv/bin/python") == 1
    return run_command.replace(".venv/bin/python", sys.executable)


def interpreter(program: Path) -> str:
    """Returns the dynamic loader of an ELF file; empty if it is linked statically."""
    data = program.read_bytes()
    match = re.search(rb"/lib[^\x00]{0,40}/ld-[^\x00]{1,40}\.so[^\x00]{0,8}", data)
    return match.group().decode() if match and data.startswith(b"\x7fELF") else ""


def descriptors(process: Path) -> list[str]:
    """Returns the targets of a process's open descriptors."""
    targets = []
    for fd in (process / "fd").iterdir():
        with contextlib.suppress(FileNotFoundError):  # closed meanwhile
            targets.append(os.readlink(fd))
    return targets


def bound_unix_sockets(process: Path) -> list[str]:
    """Returns the names of a process's bound Unix sockets, which others could connect to."""
    own = {target[len("socket:[") : -1] for target in descriptors(process) if target.startswith("socket:[")}
    rows = [row.split() for row in (process / "net" / "unix").read_text().splitlines()[1:]]
    return [row[7] for row in rows if row[6] in own and len(row) > 7]


def children(process: Path) -> str:
    """Returns the process ids of a process's children."""
    return " ".join((task / "children").read_text() for task in (process / "task").iterdir()).strip()


def check_process(pid: int) -> None:
    """Checks the executable, children, threads and descriptors of a process."""
    process = Path(f"/proc/{pid}")
    assert (process / "exe").resolve() == Path(sys.executable).resolve(), "the shell is still there"
    assert not children(process)
    assert len(list((process / "task").iterdir())) <= THREADS
    open_targets = descriptors(process)
    assert len(open_targets) <= SOCKETS
    assert sum("io_uring" in target for target in open_targets) <= RINGS, open_targets
    assert not bound_unix_sockets(process)


def test_run_command_starts_a_single_process_without_denied_resources(tmp_path: Path) -> None:
    """Checked before the first request and after some, with a reachable server and unreachable discovery."""

    async def test() -> None:
        async with serving(always(response(200, b"page"))) as (_, at):
            env = config(tmp_path, known=known(e=at))
            async with started(env, command()) as program:
                check_process(program.pid)
                client = await connect(env["LB_LISTEN"])
                for n in range(5):
                    assert (await client.fetch(Req_Id=f"r{n}")).status == 200
                check_process(program.pid)
                program.terminate()
                client.writer.close()
                assert await program.wait() == 0

    run_real(test)


def test_the_interpreter_is_linked_dynamically() -> None:
    assert interpreter(Path(sys.executable).resolve())


def test_checks_detect_denied_resources(tmp_path: Path) -> None:
    """Guards against checks that miss a child process, a bound Unix socket or a statically linked program."""
    with socket.socket(socket.AF_UNIX) as bound:
        bound.bind(str(tmp_path / "here"))
        bound.listen()
        assert bound_unix_sockets(Path("/proc/self")) == [str(tmp_path / "here")]
    (tmp_path / "static").write_bytes(b"\x7fELF" + bytes(64))
    assert not interpreter(tmp_path / "static")

    async def test() -> None:
        sleeper = await asyncio.create_subprocess_exec("sleep", "60")
        try:
            assert str(sleeper.pid) in children(Path("/proc/self")).split()
            with pytest.raises(AssertionError, match="shell"):
                check_process(sleeper.pid)
        finally:
            sleeper.kill()
            await sleeper.wait()

    run_real(test)


def test_files_in_the_deploy_file_exist() -> None:
    missing = [name for name in DEPLOY["policy"] + DEPLOY["node"] if not (ROOT / name).exists()]
    assert not missing


def test_deploy_file_lists_the_whole_policy_package() -> None:
    package = {str(path.relative_to(ROOT)) for path in (ROOT / "zinclever" / "policy").glob("*.py")}
    assert sorted(DEPLOY["policy"]) == sorted(package)
