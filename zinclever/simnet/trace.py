"""A trace of the simulated network: a hash to compare two runs, and optionally a line for each event."""

from __future__ import annotations

import hashlib
from collections.abc import Callable


class Trace:
    """Records, in order, segments that arrive, resets, connection attempts, and events that the simulation adds."""

    __slots__ = ("count", "hash", "write")

    def __init__(self, write: Callable[[str], object] | None = None) -> None:
        """``write`` gets each line, without a line break."""
        self.hash = hashlib.blake2b(digest_size=16)
        self.count = 0
        self.write = write

    def add(self, at: int, description: str) -> None:
        """Record an event at an instant in ns."""
        line = f"{at} {description}"
        self.count += 1
        self.hash.update(line.encode() + b"\n")
        if self.write is not None:
            self.write(line)

    def digest(self) -> str:
        """Return a hash that is equal for equal traces, on any machine."""
        return self.hash.hexdigest()
