"""Hunting and cutting down on processes: what breaks in one run of a day may not in the next."""

from __future__ import annotations

import tempfile
from pathlib import Path

from ..sim.hunting import DayResult, FailurePredicate
from ..sim.model import Day
from .processes import PROGRAM
from .run import play
from .world import RigError

KINDS = (
    "killed",
    "rolling",
    "paused",
    "oneway",
    "slow",
    "flapping",
    "loops",
    "power",
    "cut",
    "vanish",
    "waves",
    "directory",
    "datacentre",
    "faults",
    "mixed",
)
"""Those whose troubles processes and kernels have a part in."""


def play_one(day: Day, command: str = PROGRAM) -> DayResult:
    """A day; what couldn't be played is told as ``failed``."""
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        try:
            return DayResult(day, play(day, Path(folder), command))
        except RigError as wrong:
            return DayResult(day, {"failed": str(wrong), "breaches": [], "goal": 0.0})


def breaks(rule: str, times: int, command: str = PROGRAM) -> FailurePredicate:
    """Whether a day has a breach whose text begins so, in one of so many runs."""

    def fails(day: Day) -> bool:
        return any(b.startswith(rule) for _ in range(times) for b in play_one(day, command).figures["breaches"])

    return fails
