"""The compiled decision module: the same decisions, or not used at all."""

from __future__ import annotations

import importlib
import shutil
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest
from helpers import KEYED, LIMITS, RULES, SAFE, UNSAFE

from standins import Fault
from standins.simulation import Simulation
from zinclever import Balancer, compile, native
from zinclever import interface as i
from zinclever.interface import Settings

EVENTS = 100_000
SHARES = {Fault.SILENCE: 0.05, Fault.BREAK_AT: 0.05, Fault.ERROR: 0.05, Fault.DECLINE: 0.05}


@pytest.fixture(scope="module")
def compiled(tmp_path_factory: pytest.TempPathFactory) -> Any:
    """The compiled class, made anew from the text as it stands."""
    if shutil.which("gcc") is None and shutil.which("cc") is None:
        pytest.skip("no compiler here: everything runs as it is written")
    folder = tmp_path_factory.mktemp("made") / "zinclever"
    folder.mkdir()
    assert compile.compile_to(folder) == ""
    package = importlib.import_module("zinclever")
    package.__path__.append(str(folder))
    yield importlib.import_module("zinclever._policy_native")
    package.__path__.remove(str(folder))
    for name in [n for n in sys.modules if "_policy_native" in n]:
        del sys.modules[name]


class Recording(Balancer):
    """Keeps every event and what was done on it."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.taken: list[tuple[float, i.Event, list[i.Action]]] = []

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        actions = super().handle(now, event)
        self.taken.append((now, event, list(actions)))
        return actions


def day(seed: int, size: int) -> tuple[Settings, list[tuple[float, i.Event, list[i.Action]]]]:
    rng = Random(seed)
    settings = Settings(
        classes=(SAFE, KEYED, UNSAFE), limits=LIMITS, rules=RULES, prices=i.Prices(cross_zone=rng.choice([0.0, 0.2])),
        group_size=rng.choice([1, 4, 50]), tenants=(i.Tenant(100.0), i.Tenant(50.0)), warm_keys=rng.random() < 0.5,
    )
    listed = [
        i.Listed(f"e{n}", size=rng.choice([1, 2.0]), zone=n % 2, cell=n % 3,
                 started_at=rng.choice([0.0, 999_000.0]))
        for n in range(size)
    ]
    played = Simulation(settings, listed, SHARES, seed, Recording)
    played.run(2500, rng.choice([50.0, 400.0]))
    assert isinstance(played.balancer, Recording)
    return settings, played.balancer.taken


def test_the_actions_are_the_same_on_100_000_events(compiled: Any) -> None:
    count = seed = 0
    while count < EVENTS:
        seed += 1
        settings, taken = day(seed, [3, 8, 60][seed % 3])
        other = compiled.Balancer(settings, seed)
        for now, event, actions in taken:
            assert other.handle(now, event) == actions, (seed, event)
        count += len(taken)
    print(f"{count} events of {seed} days")


def test_it_is_used_only_if_it_is_of_the_same_text(compiled: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an older build that goes on deciding after the text has changed."""
    assert native.find() is compiled.Balancer
    monkeypatch.setattr(native, "checksum", lambda text: 1)
    assert native.find() is Balancer


def test_a_library_that_is_loaded_is_not_written_over(tmp_path: Path) -> None:
    """Guards against sidecars, and the build itself, that crash as what they have loaded changes under them."""
    old, new = tmp_path / "lib.so", tmp_path / "made" / "lib.so"
    new.parent.mkdir()
    old.write_bytes(b"old")
    new.write_bytes(b"new")
    with old.open("rb") as loaded:
        compile.put(new, tmp_path)
        assert loaded.read() == b"old" and old.read_bytes() == b"new"
    assert sorted(p.name for p in tmp_path.iterdir()) == ["lib.so", "made"]


def test_without_a_build_the_text_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    def missing(name: str) -> Any:
        raise ImportError(name)

    monkeypatch.setattr(importlib, "import_module", missing)
    assert native.find() is Balancer


def test_a_build_that_fails_says_so_and_goes_on(monkeypatch: pytest.MonkeyPatch, tmp_path: Path,
                                                capsys: pytest.CaptureFixture[str]) -> None:
    def broken(*args: Any, **more: Any) -> Any:
        raise OSError("no mypyc here")

    run: Callable[..., Any] = broken
    monkeypatch.setattr(compile.subprocess, "run", run)  # type: ignore[attr-defined]
    assert compile.main() == 0
    assert "runs as it is written: no mypyc here" in capsys.readouterr().out
