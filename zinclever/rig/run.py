"""Runs one day in a new event loop."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import uvloop

from ..sim.model import Day
from .processes import PROGRAM
from .world import World


def play(day: Day, folder: Path, command: str = PROGRAM) -> dict[str, Any]:
    """Runs a day and returns its figures.

    Args:
        day: The day.
        folder: Where the directories of the machines are made.
        command: Shell command of each sidecar.

    Raises:
        RigError: The day could not be run, or the run is invalid.
    """

    async def run() -> dict[str, Any]:
        return await World(day, folder, command).play()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())
