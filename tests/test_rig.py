"""The rig: scenarios on real sidecar processes, the relays between them, and the command line.

Each scenario is drawn from its seed, and the tests wait for events instead of fixed times.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from loopback import run_real

from zinclever.rig import world
from zinclever.rig.links import Direction, Link
from zinclever.rig.processes import ROOT, Gate, Program
from zinclever.rig.run import play
from zinclever.rig.world import RigError
from zinclever.sim.days import draw
from zinclever.sim.model import Day, FaultEvent

BROKEN_PROGRAM = f"exec {sys.executable} tests/broken.py"
SIZE: Any = {"sidecars": 3, "endpoints": 4, "seconds": 5.0}


def draw_day(kind: str, seed: int, *troubles: FaultEvent) -> Day:
    drawn = draw(kind, seed, **SIZE)
    return replace(drawn, troubles=troubles) if troubles else drawn


# --- days ---


@pytest.mark.parametrize(("kind", "seed"), [("killed", 1), ("oneway", 2), ("flapping", 3)])
def test_process_and_network_faults_violate_no_rule(tmp_path: Path, kind: str, seed: int) -> None:
    figures = play(draw_day(kind, seed), tmp_path)
    assert figures["breaches"] == [], figures
    assert figures["served"] > 0.5 * figures["requests"] > 20, figures


def test_paused_sidecars_send_no_abandoned_requests(tmp_path: Path) -> None:
    """Guards against resending abandoned requests after all sidecars were paused for longer than most clients wait.

    This covers requests on idle connections, on new ones, and partly received ones.
    """
    drawn = replace(
        draw("calm", 3, **SIZE | {"seconds": 7.0}),
        troubles=(FaultEvent("pause", 1.5, 2.2, 1.0), FaultEvent("shrink", 1.6, 0.2, 0.5)),
    )
    figures = play(drawn, tmp_path)
    assert figures["breaches"] == [], figures
    logs = [(tmp_path / f"n{n}" / "log").read_text() for n in range(3)]
    assert all("stood still for" in log for log in logs), logs


@pytest.mark.parametrize(
    ("breach", "trouble", "rule"),
    [
        ("resends", FaultEvent("faults", 0.5, 4.0, 0.9), "rule 2"),
        ("drains_ignored", FaultEvent("shrink", 0.2, 0.1, 0.5), "rule 3"),
        ("answers_twice", FaultEvent("spike", 0.5, 1.0, factor=1.2), "rule 1"),
    ],
)
def test_deliberate_violation_is_reported(tmp_path: Path, breach: str, trouble: FaultEvent, rule: str) -> None:
    figures = play(replace(draw_day("calm", 4, trouble), seconds=8.0), tmp_path, f"{BROKEN_PROGRAM} {breach}")
    assert any(breach_text.startswith(rule) for breach_text in figures["breaches"]), figures


def test_failed_start_reports_the_sidecar_and_the_end_of_its_log(tmp_path: Path) -> None:
    with pytest.raises(RigError, match=r"n\d: ended with 3: no luck today"):
        play(draw_day("calm", 1), tmp_path, f"{BROKEN_PROGRAM} dies")


def test_run_without_answers_is_invalid(tmp_path: Path) -> None:
    with pytest.raises(RigError, match="proves nothing"):
        play(replace(draw_day("calm", 1), rate=1e-6, seconds=1.0, sidecars=1), tmp_path)


def test_address_in_use_is_reported(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(world, "BASES", range(251, 252))
    with socket.socket() as taken:
        taken.bind(("127.251.0.1", 8080))
        with pytest.raises(RigError, match=r"n0: ended with 1: .*127\.251\.0\.1"):
            play(draw_day("calm", 1), tmp_path)
    with socket.socket() as taken:
        taken.bind(("127.251.255.254", world.LOCK_PORT))
        with pytest.raises(RigError, match="taken by another run"):
            play(draw_day("calm", 1), tmp_path / "another")


def child_pids(parent: int) -> list[int]:
    pids = []
    for task in Path(f"/proc/{parent}/task").iterdir():
        with suppress(FileNotFoundError):
            pids += [int(pid) for pid in (task / "children").read_text().split()]
    return pids


def test_killed_rig_leaves_no_processes(tmp_path: Path) -> None:
    """Killing the rig ends all its processes, and only those."""
    with (
        subprocess.Popen(["sleep", "60"]) as other,
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "zinclever",
                "rig",
                "run",
                "calm",
                "--sidecars",
                "3",
                "--into",
                str(tmp_path / "rig"),
            ],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
        ) as rig,
    ):
        while len(started := child_pids(rig.pid)) < 3:
            assert rig.poll() is None
            time.sleep(0.02)
        watched = [os.pidfd_open(pid) for pid in started]
        rig.kill()
        for pidfd in watched:
            with open(pidfd) as fd:
                asyncio.run(until_readable(fd.fileno()))
        assert other.poll() is None
        other.kill()


async def until_readable(fd: int) -> None:
    readable = asyncio.Event()
    asyncio.get_running_loop().add_reader(fd, readable.set)
    async with asyncio.timeout(20.0):
        await readable.wait()
    asyncio.get_running_loop().remove_reader(fd)


def test_processes_wait_until_the_gate_opens(tmp_path: Path) -> None:
    async def test() -> None:
        gate, exit_codes = Gate(), asyncio.Queue[int]()
        programs = [
            Program({"PATH": os.environ["PATH"]}, tmp_path / "log", gate, exit_codes.put_nowait, "echo here; exit 7")
            for _ in range(3)
        ]
        programs[0].signal(signal.SIGKILL)
        assert await exit_codes.get() == -signal.SIGKILL
        assert (tmp_path / "log").read_text() == ""
        gate.open()
        assert [await exit_codes.get(), await exit_codes.get()] == [7, 7]
        assert programs[1].tail() == "here\nhere" and not programs[1].alive
        programs[1].signal(signal.SIGKILL)  # has no effect, also on a process that reuses the pid

    run_real(test)


# --- links ---


class LinkedPeer:
    """A link to a peer that puts what it receives into a queue."""

    def __init__(self, link: Link, received: asyncio.Queue[tuple[bytes, asyncio.StreamWriter]]) -> None:
        self.link, self.received = link, received

    async def dial(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.link.address)


@asynccontextmanager
async def open_link(latency: float = 0.0) -> AsyncIterator[LinkedPeer]:
    received = asyncio.Queue[tuple[bytes, asyncio.StreamWriter]]()

    async def record_data(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(1 << 16):
                received.put_nowait((data, writer))
        received.put_nowait((b"", writer))

    server = await asyncio.start_server(record_data, "127.0.0.1", 0)
    link = Link(
        "127.0.0.2", server.sockets[0].getsockname(), Direction(latency, 0.0, "a"), Direction(latency, 0.0, "b")
    )
    try:
        yield LinkedPeer(link, received)
    finally:
        link.close()
        server.close()


def run_with_link(test: Callable[[LinkedPeer], Awaitable[None]]) -> None:
    async def run() -> None:
        async with open_link() as pair:
            await test(pair)

    run_real(run)


def test_link_keeps_the_source_address_and_passes_on_the_end_of_a_stream() -> None:
    async def test(pair: LinkedPeer) -> None:
        reader, writer = await pair.dial()
        writer.write(b"hello")
        data, other = await pair.received.get()
        assert data == b"hello" and other.get_extra_info("peername")[0] == "127.0.0.2"
        other.write(b"you too")
        assert await reader.readexactly(7) == b"you too"
        writer.write_eof()
        assert (await pair.received.get())[0] == b""
        other.write(b"bye")
        other.close()
        assert await reader.read() == b"bye"

    run_with_link(test)


def test_reset_is_passed_on() -> None:
    async def test(pair: LinkedPeer) -> None:
        reader, writer = await pair.dial()
        writer.write(b"hello")
        await pair.received.get()
        pair.link.reset()
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)

    run_with_link(test)


def test_blocked_link_buffers_data_and_refuses_connections() -> None:
    async def test(pair: LinkedPeer) -> None:
        reader, writer = await pair.dial()
        writer.write(b"1")
        _, other = await pair.received.get()
        pair.link.set_open(False, False)
        for _ in range(100):
            writer.write(b"x" * 1000)
            other.write(b"y")
            await asyncio.sleep(0)
        assert pair.received.empty()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):  # the kernel drops the SYN; otherwise it would connect at once
                await pair.dial()
        pair.link.set_open(True, True)
        got = b""
        while len(got) < 100_000:
            got += (await pair.received.get())[0]
        assert got == b"x" * 100_000 and await reader.readexactly(100) == b"y" * 100
        await pair.dial()

    run_with_link(test)


def test_blocked_direction_does_not_block_the_other() -> None:
    async def test(pair: LinkedPeer) -> None:
        reader, writer = await pair.dial()
        writer.write(b"1")
        _, other = await pair.received.get()
        pair.link.set_open(False, True)
        writer.write(b"2")
        other.write(b"heard")
        assert await reader.readexactly(5) == b"heard"
        assert pair.received.empty()
        pair.link.set_open(True, True)
        assert (await pair.received.get())[0] == b"2"

    run_with_link(test)


def test_link_applies_latency_and_rate_limit() -> None:
    async def test(pair: LinkedPeer) -> None:
        pair.link.forward.latency, pair.link.forward.rate = 0.05, 1e6
        _, writer = await pair.dial()
        loop = asyncio.get_running_loop()
        began, got = loop.time(), 0
        writer.write(b"x" * 100_000)
        while got < 100_000:
            got += len((await pair.received.get())[0])
        assert (
            loop.time() - began >= 0.14
        )  # the latency and 0.1 s for the rate, less 0.01 s since timers may fire early

    run_with_link(test)


# --- the command line ---


def test_hunt_runs_days_and_prints_their_number(tmp_path: Path) -> None:
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "zinclever",
            "rig",
            "hunt",
            "--kind",
            "calm",
            "--budget",
            "1",
            "--jobs",
            "1",
            "--sidecars",
            "2",
            "--endpoints",
            "2",
            "--seconds",
            "2",
            "--into",
            str(tmp_path),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert completed.returncode == 0 and "1 runs, 0 with a breach, 0 that prove nothing" in completed.stdout, completed


def test_invalid_day_file_is_reported_by_line(tmp_path: Path) -> None:
    (tmp_path / "day.toml").write_text("kind = 3\n")
    completed = subprocess.run(
        [sys.executable, "-m", "zinclever", "rig", "run", str(tmp_path / "day.toml")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 2 and "line 1" in completed.stderr, completed
