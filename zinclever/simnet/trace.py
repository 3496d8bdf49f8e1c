"""What went over the network, as a hash that tells two runs apart, and as lines for who wants to read it."""

from __future__ import annotations

import hashlib
from collections.abc import Callable


class Trace:
    """Every segment that arrived, every end of a connection and whatever the world adds, in order."""

    __slots__ = ("count", "hash", "write")

    def __init__(self, write: Callable[[str], object] | None = None) -> None:
        """``write`` gets each line, without its end."""
        self.hash = hashlib.blake2b(digest_size=16)
        self.count = 0
        self.write = write

    def add(self, at: int, what: str) -> None:
        """``at``: ns"""
        line = f"{at} {what}"
        self.count += 1
        self.hash.update(line.encode() + b"\n")
        if self.write is not None:
            self.write(line)

    def digest(self) -> str:
        """Equal for equal traces, on any machine."""
        return self.hash.hexdigest()
