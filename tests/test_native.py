"""The compiled modules: they decide as the Python sources do, and outdated ones are not used."""

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
    """A directory of libraries built from the current sources."""
    if libraries(native.PACKAGE / native.FOLDER):
        return native.PACKAGE / native.FOLDER
    if shutil.which("gcc") is None and shutil.which("cc") is None:
        pytest.skip("no compiler: the Python sources are used")
    directory = tmp_path_factory.mktemp("made") / native.FOLDER
    assert compile.compile_to(directory) == ""
    return directory


def python(code: str, native_directory: Path | str, input_data: bytes = b"") -> bytes:
    """Runs a program in a separate process and returns its output."""
    env = os.environ | {"ZINCLEVER_NATIVE": str(native_directory), "PYTHONPATH": str(native.PACKAGE.parent)}
    return subprocess.run(
        [sys.executable, "-c", code], input=input_data, env=env, capture_output=True, check=True
    ).stdout


class Recording(Balancer):
    """Records every event and the resulting actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.recorded: list[tuple[float, interface.Event, list[interface.Action]]] = []

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        actions = super().handle(now, event)
        self.recorded.append((now, event, list(actions)))
        return actions


def day(seed: int, size: int) -> tuple[Settings, list[tuple[float, interface.Event, list[interface.Action]]]]:
    """Simulates random traffic and returns the settings and the recorded events."""
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
        interface.ListedEndpoint(
            f"e{n}", size=rng.choice([1, 2.0]), zone=n % 2, cell=n % 3, started_at=rng.choice([0.0, 999_000.0])
        )
        for n in range(size)
    ]
    simulation = Simulation(settings, listed, SHARES, seed, Recording)
    simulation.run(2500, rng.choice([50.0, 400.0]))
    assert isinstance(simulation.balancer, Recording)
    return settings, simulation.balancer.recorded


REPLAY = """
import pickle, sys
from zinclever import interface
from zinclever.policy import balancer as policy
assert policy.__file__.endswith(".so"), policy.__file__
for seed, settings, events in pickle.load(sys.stdin.buffer):
    balancer = policy.Balancer(eval(settings, vars(interface)), seed)
    sys.stdout.buffer.write(pickle.dumps([balancer.handle(now, event) for now, event in events]))
"""


def test_compiled_modules_decide_the_same_on_100_000_events(compiled: Path) -> None:
    count = seed = 0
    days, expected = [], []
    while count < EVENTS:
        seed += 1
        settings, recorded = day(seed, [3, 8, 60, 300][seed % 4])
        days.append((seed, repr(settings), [(now, event) for now, event, _ in recorded]))
        expected.append([actions for _, _, actions in recorded])
        count += len(recorded)
    output = io.BytesIO(python(REPLAY, compiled, pickle.dumps(days)))
    for (number, _, events), actions in zip(days, expected, strict=True):
        for event, python_actions, compiled_actions in zip(events, actions, pickle.load(output), strict=True):
            assert python_actions == compiled_actions, (number, event)
    print(f"{count} events of {seed} days")


PRINT_MODULE_FILES = (
    "from zinclever.core import dispatcher; from zinclever.http1 import server; "
    "print(dispatcher.__file__, server.__file__)"
)


def test_libraries_are_used_only_if_they_match_the_sources(compiled: Path, tmp_path: Path) -> None:
    """Guards against an outdated build that is still used after the sources have changed."""
    assert python(PRINT_MODULE_FILES, compiled).count(b".so") == 2
    copy = tmp_path / "copy"
    shutil.copytree(compiled, copy)
    assert python(PRINT_MODULE_FILES, copy).count(b".so") == 2
    (copy / native.STAMP).write_text("1")
    assert python(PRINT_MODULE_FILES, copy).count(b".py") == 2
    assert python(PRINT_MODULE_FILES, "text").count(b".py") == 2


@pytest.mark.parametrize("state", ["nothing", "corrupt", "one missing"])
def test_build_that_cannot_be_loaded_is_ignored(compiled: Path, tmp_path: Path, state: str) -> None:
    """Guards against a failing start with libraries of another interpreter, or with missing ones."""
    copy = tmp_path / "copy"
    if state != "nothing":
        shutil.copytree(compiled, copy)
        shared = next(p for p in copy.iterdir() if native.SHARED in p.name)
        if state == "corrupt":
            shared.write_bytes(b"no library")
        else:
            next(p for p in copy.iterdir() if "dispatcher" in p.name).unlink()
    assert python(PRINT_MODULE_FILES, copy).count(b".py") == 2


def test_loaded_libraries_are_not_overwritten(tmp_path: Path) -> None:
    """Guards against crashes of processes, the build among them, whose loaded libraries change on disk."""
    directory, built = tmp_path / "native", tmp_path / "lib.so"
    built.write_bytes(b"old")
    compile.replace_directory({built: "lib.so"}, "1", directory)
    built.write_bytes(b"new")
    with (directory / "lib.so").open("rb") as loaded:
        compile.replace_directory({built: "lib.so"}, "2", directory)
        assert loaded.read() == b"old" and (directory / "lib.so").read_bytes() == b"new"
    assert sorted(p.name for p in tmp_path.iterdir()) == ["lib.so", "native"]
    assert (directory / native.STAMP).read_text() == "2"


def test_all_compiled_modules_exist() -> None:
    assert all(native.path_of(m).exists() for m in native.MODULES)


def test_failed_build_is_reported_and_not_fatal(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    def failing_run(*args: Any, **more: Any) -> Any:
        raise OSError("no mypyc here")

    run: Callable[..., Any] = failing_run
    monkeypatch.setattr(compile, "libraries", lambda directory: {})
    monkeypatch.setattr(compile.subprocess, "run", run)  # type: ignore[attr-defined]
    assert compile.main() == 0
    assert "the Python sources are used: no mypyc here" in capsys.readouterr().out
