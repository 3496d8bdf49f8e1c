"""Several processes of the program with faults between them. Each day is drawn from its seed; waits are for events."""

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

BROKEN = f"exec {sys.executable} tests/broken.py"
SIZE: Any = {"sidecars": 3, "endpoints": 4, "seconds": 5.0}


def day(kind: str, seed: int, *troubles: FaultEvent) -> Day:
    drawn = draw(kind, seed, **SIZE)
    return replace(drawn, troubles=troubles) if troubles else drawn


# --- days ---


@pytest.mark.parametrize(("kind", "seed"), [("killed", 1), ("oneway", 2), ("flapping", 3)])
def test_no_rule_is_broken_by_processes_that_fail(tmp_path: Path, kind: str, seed: int) -> None:
    found = play(day(kind, seed), tmp_path)
    assert found["breaches"] == [], found
    assert found["served"] > 0.5 * found["requests"] > 20, found


def test_who_stood_still_sends_nothing_that_was_given_up(tmp_path: Path) -> None:
    """All of them, for longer than most clients wait: requests on kept connections, on new ones, and half sent."""
    drawn = replace(
        draw("calm", 3, **SIZE | {"seconds": 7.0}),
        troubles=(FaultEvent("pause", 1.5, 2.2, 1.0), FaultEvent("shrink", 1.6, 0.2, 0.5)),
    )
    found = play(drawn, tmp_path)
    assert found["breaches"] == [], found
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
def test_a_breach_put_in_on_purpose_is_found(tmp_path: Path, breach: str, trouble: FaultEvent, rule: str) -> None:
    found = play(replace(day("calm", 4, trouble), seconds=8.0), tmp_path, f"{BROKEN} {breach}")
    assert any(told.startswith(rule) for told in found["breaches"]), found


def test_a_process_that_does_not_come_up_is_named_with_the_end_of_its_log(tmp_path: Path) -> None:
    with pytest.raises(RigError, match=r"n\d: ended with 3: no luck today"):
        play(day("calm", 1), tmp_path, f"{BROKEN} dies")


def test_a_run_in_which_nothing_was_answered_proves_nothing(tmp_path: Path) -> None:
    with pytest.raises(RigError, match="proves nothing"):
        play(replace(day("calm", 1), rate=1e-6, seconds=1.0, sidecars=1), tmp_path)


def test_an_address_that_is_taken_is_told(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(world, "BASES", range(251, 252))
    with socket.socket() as taken:
        taken.bind(("127.251.0.1", 8080))
        with pytest.raises(RigError, match=r"n0: ended with 1: .*127\.251\.0\.1"):
            play(day("calm", 1), tmp_path)
    with socket.socket() as taken:
        taken.bind(("127.251.255.254", world.LOCK_PORT))
        with pytest.raises(RigError, match="taken by another run"):
            play(day("calm", 1), tmp_path / "another")


def children(of: int) -> list[int]:
    found = []
    for task in Path(f"/proc/{of}/task").iterdir():
        with suppress(FileNotFoundError):
            found += [int(pid) for pid in (task / "children").read_text().split()]
    return found


def test_a_rig_that_is_killed_leaves_nothing_behind(tmp_path: Path) -> None:
    """None of its processes, and what it didn't start goes on."""
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
        while len(started := children(rig.pid)) < 3:
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
    over = asyncio.Event()
    asyncio.get_running_loop().add_reader(fd, over.set)
    async with asyncio.timeout(20.0):
        await over.wait()
    asyncio.get_running_loop().remove_reader(fd)


def test_processes_are_held_until_all_are_let_go(tmp_path: Path) -> None:
    async def test() -> None:
        gate, ends = Gate(), asyncio.Queue[int]()
        made = [
            Program({"PATH": os.environ["PATH"]}, tmp_path / "log", gate, ends.put_nowait, "echo here; exit 7")
            for _ in range(3)
        ]
        made[0].signal(signal.SIGKILL)
        assert await ends.get() == -signal.SIGKILL
        assert (tmp_path / "log").read_text() == ""
        gate.open()
        assert [await ends.get(), await ends.get()] == [7, 7]
        assert made[1].tail() == "here\nhere" and not made[1].alive
        made[1].signal(signal.SIGKILL)  # nobody else gets it

    run_real(test)


# --- links ---


class Pair:
    """A link between a dialler and a peer that notes what it hears."""

    def __init__(self, link: Link, heard: asyncio.Queue[tuple[bytes, asyncio.StreamWriter]]) -> None:
        self.link, self.heard = link, heard

    async def dial(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.link.address)


@asynccontextmanager
async def linked(latency: float = 0.0) -> AsyncIterator[Pair]:
    heard = asyncio.Queue[tuple[bytes, asyncio.StreamWriter]]()

    async def listen(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(1 << 16):
                heard.put_nowait((data, writer))
        heard.put_nowait((b"", writer))

    server = await asyncio.start_server(listen, "127.0.0.1", 0)
    link = Link(
        "127.0.0.2", server.sockets[0].getsockname(), Direction(latency, 0.0, "a"), Direction(latency, 0.0, "b")
    )
    try:
        yield Pair(link, heard)
    finally:
        link.close()
        server.close()


def on_a_link(test: Callable[[Pair], Awaitable[None]]) -> None:
    async def run() -> None:
        async with linked() as pair:
            await test(pair)

    run_real(run)


def test_a_link_tells_both_sides_who_is_there_and_passes_ends_on() -> None:
    async def test(pair: Pair) -> None:
        reader, writer = await pair.dial()
        writer.write(b"hello")
        data, other = await pair.heard.get()
        assert data == b"hello" and other.get_extra_info("peername")[0] == "127.0.0.2"
        other.write(b"you too")
        assert await reader.readexactly(7) == b"you too"
        writer.write_eof()
        assert (await pair.heard.get())[0] == b""
        other.write(b"bye")
        other.close()
        assert await reader.read() == b"bye"

    on_a_link(test)


def test_a_reset_is_passed_on_as_one() -> None:
    async def test(pair: Pair) -> None:
        reader, writer = await pair.dial()
        writer.write(b"hello")
        await pair.heard.get()
        pair.link.reset()
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)

    on_a_link(test)


def test_what_is_cut_is_held_and_comes_in_one_burst() -> None:
    async def test(pair: Pair) -> None:
        reader, writer = await pair.dial()
        writer.write(b"1")
        _, other = await pair.heard.get()
        pair.link.set_open(False, False)
        for _ in range(100):
            writer.write(b"x" * 1000)
            other.write(b"y")
            await asyncio.sleep(0)
        assert pair.heard.empty()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):  # the kernel drops what knocks: it would be let in at once
                await pair.dial()
        pair.link.set_open(True, True)
        got = b""
        while len(got) < 100_000:
            got += (await pair.heard.get())[0]
        assert got == b"x" * 100_000 and await reader.readexactly(100) == b"y" * 100
        await pair.dial()

    on_a_link(test)


def test_a_cut_of_one_direction_lets_the_other_pass() -> None:
    async def test(pair: Pair) -> None:
        reader, writer = await pair.dial()
        writer.write(b"1")
        _, other = await pair.heard.get()
        pair.link.set_open(False, True)
        writer.write(b"2")
        other.write(b"heard")
        assert await reader.readexactly(5) == b"heard"
        assert pair.heard.empty()
        pair.link.set_open(True, True)
        assert (await pair.heard.get())[0] == b"2"

    on_a_link(test)


def test_a_link_takes_its_time_and_its_rate() -> None:
    async def test(pair: Pair) -> None:
        pair.link.forward.latency, pair.link.forward.rate = 0.05, 1e6
        _, writer = await pair.dial()
        loop = asyncio.get_running_loop()
        began, got = loop.time(), 0
        writer.write(b"x" * 100_000)
        while got < 100_000:
            got += len((await pair.heard.get())[0])
        assert loop.time() - began >= 0.14  # the latency and a tenth of a second, as loops may call a little early

    on_a_link(test)


# --- the command line ---


def test_a_hunt_plays_days_and_tells_how_many(tmp_path: Path) -> None:
    told = subprocess.run(
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
    assert told.returncode == 0 and "1 runs, 0 with a breach, 0 that prove nothing" in told.stdout, told


def test_a_file_that_holds_no_day_is_told_line_by_line(tmp_path: Path) -> None:
    (tmp_path / "day.toml").write_text("kind = 3\n")
    told = subprocess.run(
        [sys.executable, "-m", "zinclever", "rig", "run", str(tmp_path / "day.toml")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert told.returncode == 2 and "line 1" in told.stderr, told
