"""Signals to a process of the mesh: SIGTERM and SIGINT stop it, SIGHUP makes it check its settings file."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from types import FrameType
from typing import Self

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ProcessSignals:
    """Handles the signals of a process until it exits. Use as a context manager, inside the event loop.

    The handlers belong to the process. Those that an event loop owns are replaced by the default actions when the loop
    is closed, so that a signal during the rest of the exit would end the process with an exit code other than 0.
    """

    def __init__(self, on_stop: Callable[[], object], on_reload: Callable[[], object]) -> None:
        """Call ``on_stop`` or ``on_reload`` in the running event loop for each signal."""
        self.loop = asyncio.get_running_loop()
        self.callbacks: dict[int, Callable[[], object]] = {
            **dict.fromkeys(STOP_SIGNALS, on_stop),
            signal.SIGHUP: on_reload,
        }

    def __enter__(self) -> Self:
        for number in self.callbacks:
            signal.signal(number, self.on_signal)
        return self

    def __exit__(self, *error: object) -> None:
        """Ignore the signals from now on: the process is about to exit."""
        for number in self.callbacks:
            signal.signal(number, signal.SIG_IGN)

    def on_signal(self, number: int, frame: FrameType | None) -> None:
        """Run the callback of a signal in the event loop."""
        self.loop.call_soon_threadsafe(self.callbacks[number])
