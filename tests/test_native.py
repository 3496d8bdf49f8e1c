"""The compiled modules: the same decisions, or not used at all."""

from __future__ import annotations

import io
import os
import pickle
import shutil
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest
from helpers import KEYED, LIMITS, RULES, SAFE, UNSAFE

from zinclever import Balancer, compile, interface, native
from zinclever.interface import Settings
from zinclever.native import libraries
from zinclever.standins import Fault
from zinclever.standins.simulation import Simulation

EVENTS = 100_000
SHARES = {Fault.SILENCE: 0.05, Fault.BREAK_AT: 0.05, Fault.ERROR: 0.05, Fault.DECLINE: 0.05}


@pytest.fixture(scope="module")
def compiled(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """A folder of libraries made of the text as it stands."""
    if libraries(native.PACKAGE / native.FOLDER):
        return native.PACKAGE / native.FOLDER
    if shutil.which("gcc") is None and shutil.which("cc") is None:
        pytest.skip("no compiler here: everything runs as it is written")
    folder = tmp_path_factory.mktemp("made") / native.FOLDER
    assert compile.compile_to(folder) == ""
    return folder


def python(code: str, native_folder: Path | str, given: bytes = b"") -> bytes:
    """What a program in a process of its own writes."""
    env = os.environ | {"ZINCLEVER_NATIVE": str(native_folder), "PYTHONPATH": str(native.PACKAGE.parent)}
    return subprocess.run([sys.executable, "-c", code], input=given, env=env, capture_output=True, check=True).stdout


class Recording(Balancer):
    """Keeps every event and what was done on it."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.taken: list[tuple[float, interface.Event, list[interface.Action]]] = []

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        actions = super().handle(now, event)
        self.taken.append((now, event, list(actions)))
        return actions


def day(seed: int, size: int) -> tuple[Settings, list[tuple[float, interface.Event, list[interface.Action]]]]:
    rng = Random(seed)
    settings = Settings(
        classes=(SAFE, KEYED, UNSAFE),
        limits=LIMITS,
        rules=RULES,
        prices=interface.Prices(cross_zone=rng.choice([0.0, 0.2])),
        group_size=rng.choice([1, 4, 50]),
        tenants=(interface.Tenant(100.0), interface.Tenant(50.0)),
        warm_keys=rng.random() < 0.5,
    )
    listed = [
        interface.Listed(
            f"e{n}", size=rng.choice([1, 2.0]), zone=n % 2, cell=n % 3, started_at=rng.choice([0.0, 999_000.0])
        )
        for n in range(size)
    ]
    played = Simulation(settings, listed, SHARES, seed, Recording)
    played.run(2500, rng.choice([50.0, 400.0]))
    assert isinstance(played.balancer, Recording)
    return settings, played.balancer.taken


REPLAY = """
import pickle, sys
from zinclever import interface
from zinclever.policy import balancer as policy
assert policy.__file__.endswith(".so"), policy.__file__
for seed, settings, events in pickle.load(sys.stdin.buffer):
    balancer = policy.Balancer(eval(settings, vars(interface)), seed)
    sys.stdout.buffer.write(pickle.dumps([balancer.handle(now, event) for now, event in events]))
"""


def test_the_actions_are_the_same_on_100_000_events(compiled: Path) -> None:
    count = seed = 0
    days, expected = [], []
    while count < EVENTS:
        seed += 1
        settings, taken = day(seed, [3, 8, 60, 300][seed % 4])
        days.append((seed, repr(settings), [(now, event) for now, event, _ in taken]))
        expected.append([actions for _, _, actions in taken])
        count += len(taken)
    told = io.BytesIO(python(REPLAY, compiled, pickle.dumps(days)))
    for (number, _, events), actions in zip(days, expected, strict=True):
        for event, mine, theirs in zip(events, actions, pickle.load(told), strict=True):
            assert mine == theirs, (number, event)
    print(f"{count} events of {seed} days")


WHICH = "from zinclever.core import ledger; from zinclever.http1 import server; print(ledger.__file__, server.__file__)"


def test_it_is_used_only_if_it_is_of_the_same_text(compiled: Path, tmp_path: Path) -> None:
    """Guards against an older build that goes on deciding after the text has changed."""
    assert python(WHICH, compiled).count(b".so") == 2
    copy = tmp_path / "copy"
    shutil.copytree(compiled, copy)
    assert python(WHICH, copy).count(b".so") == 2
    (copy / native.STAMP).write_text("1")
    assert python(WHICH, copy).count(b".py") == 2
    assert python(WHICH, "text").count(b".py") == 2


@pytest.mark.parametrize("left", ["nothing", "spoilt", "one missing"])
def test_a_build_that_cannot_be_loaded_is_none(compiled: Path, tmp_path: Path, left: str) -> None:
    """Made for another interpreter, or half removed."""
    copy = tmp_path / "copy"
    if left != "nothing":
        shutil.copytree(compiled, copy)
        shared = next(p for p in copy.iterdir() if native.SHARED in p.name)
        if left == "spoilt":
            shared.write_bytes(b"no library")
        else:
            next(p for p in copy.iterdir() if "ledger" in p.name).unlink()
    assert python(WHICH, copy).count(b".py") == 2


def test_libraries_that_are_loaded_are_not_written_over(tmp_path: Path) -> None:
    """Guards against sidecars, and the build itself, that crash as what they have loaded changes under them."""
    folder, made = tmp_path / "native", tmp_path / "lib.so"
    made.write_bytes(b"old")
    compile.replace_directory({made: "lib.so"}, "1", folder)
    made.write_bytes(b"new")
    with (folder / "lib.so").open("rb") as loaded:
        compile.replace_directory({made: "lib.so"}, "2", folder)
        assert loaded.read() == b"old" and (folder / "lib.so").read_bytes() == b"new"
    assert sorted(p.name for p in tmp_path.iterdir()) == ["lib.so", "native"]
    assert (folder / native.STAMP).read_text() == "2"


def test_every_module_that_is_compiled_is_there() -> None:
    assert all(native.path_of(m).exists() for m in native.MODULES)


def test_a_build_that_fails_says_so_and_goes_on(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    def broken(*args: Any, **more: Any) -> Any:
        raise OSError("no mypyc here")

    run: Callable[..., Any] = broken
    monkeypatch.setattr(compile, "libraries", lambda folder: {})
    monkeypatch.setattr(compile.subprocess, "run", run)  # type: ignore[attr-defined]
    assert compile.main() == 0
    assert "the Python sources are used: no mypyc here" in capsys.readouterr().out
