"""Searches for failing days on real processes and minimizes them.

Runs on real processes are not deterministic: a day that fails in one run may pass in the next.
"""

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
"""Kinds of days whose faults involve processes and the kernel."""


def play_one(day: Day, command: str = PROGRAM) -> DayResult:
    """Runs a day. Where it could not be run, the figures hold the reason as ``failed``."""
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        try:
            return DayResult(day, play(day, Path(folder), command))
        except RigError as error:
            return DayResult(day, {"failed": str(error), "breaches": [], "goal": 0.0})


def breaks(rule: str, times: int, command: str = PROGRAM) -> FailurePredicate:
    """Returns a predicate that runs a day ``times`` times and is true if a breach begins with ``rule`` in any run."""

    def fails(day: Day) -> bool:
        return any(b.startswith(rule) for _ in range(times) for b in play_one(day, command).figures["breaches"])

    return fails
