"""One run of a day, from a program that has no loop yet."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import uvloop

from ..sim.model import Day
from .processes import PROGRAM
from .world import World


def play(day: Day, folder: Path, command: str = PROGRAM) -> dict[str, Any]:
    """Play a day; its figures. RigError where it could not be played. ``folder``: for the machines' directories."""

    async def run() -> dict[str, Any]:
        return await World(day, folder, command).play()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())
