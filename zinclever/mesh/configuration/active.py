"""The configuration that is in force in one process. It only ever goes forward."""

from __future__ import annotations

import zlib
from collections.abc import Callable

from ..errors import MeshError
from .document import MOST_TEXT, Configuration, read

SMALL = 4096  # bytes of a text up to which it is passed on as it is


class ActiveConfiguration:
    """Holds the newest configuration by its place in the one order of changes."""

    def __init__(self) -> None:
        self.number = 0
        self.generation = 0
        self.text = b""
        self.configuration: Configuration | None = None
        self.packed = b""
        """The text in force packed, once somebody has asked for it."""
        self.listeners: list[Callable[[Configuration], None]] = []

    def pack(self) -> bytes:
        """The text in force, packed; nothing where that is not worth it. On a link of 2 Mbit/s 1 MB of text takes 4 s,
        and packed a tenth of that."""
        if len(self.text) <= SMALL:
            return b""
        if not self.packed:
            self.packed = zlib.compress(self.text, 1)
        return self.packed

    def take(self, number: int, generation: int, text: bytes) -> bool:
        """Put a configuration in force; False where this or a newer one is. The text is one that
        has been checked and settled; MeshError where it is none all the same."""
        if number < self.number or (number == self.number and text == self.text) or not text:
            return False
        if generation == self.generation and text == self.text and self.configuration is not None:
            self.number = number  # the same one again, after a change of view
            return False
        configuration = read(text, checked=True)
        self.number, self.generation, self.text, self.configuration = number, generation, text, configuration
        self.packed = b""
        for listener in self.listeners:
            listener(configuration)
        return True


def unpack(packed: bytes) -> bytes:
    """A text that came packed; MeshError where it is none, or too long."""
    made = zlib.decompressobj()
    try:
        text = made.decompress(packed, MOST_TEXT + 1)
    except zlib.error as wrong:
        raise MeshError("CONFIG_UNREADABLE", str(wrong)) from None
    if len(text) > MOST_TEXT or not made.eof:
        raise MeshError("CONFIG_TOO_LARGE", f"more than {MOST_TEXT} bytes, or cut short")
    return text
