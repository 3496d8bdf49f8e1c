"""The configuration that is in force in one process. It only ever goes forward."""

from __future__ import annotations

import zlib
from collections.abc import Callable

from ..errors import MeshError
from .document import MAX_TEXT_BYTES, Configuration, parse

MAX_UNCOMPRESSED_BYTES = 4096  # bytes of a text up to which it is passed on as it is


class ActiveConfiguration:
    """Holds the newest configuration by its place in the one order of changes."""

    def __init__(self) -> None:
        self.index = 0
        self.generation = 0
        self.text = b""
        self.configuration: Configuration | None = None
        self.cached_compressed = b""
        """The text in force packed, once somebody has asked for it."""
        self.listeners: list[Callable[[Configuration], None]] = []

    def compressed(self) -> bytes:
        """The text in force, packed; nothing where that is not worth it. On a link of 2 Mbit/s 1 MB of text takes 4 s,
        and packed a tenth of that."""
        if len(self.text) <= MAX_UNCOMPRESSED_BYTES:
            return b""
        if not self.cached_compressed:
            self.cached_compressed = zlib.compress(self.text, 1)
        return self.cached_compressed

    def apply(self, number: int, generation: int, text: bytes) -> bool:
        """Put a configuration in force; False where this or a newer one is. The text is one that
        has been checked and settled; MeshError where it is none all the same."""
        if number < self.index or (number == self.index and text == self.text) or not text:
            return False
        if generation == self.generation and text == self.text and self.configuration is not None:
            self.index = number  # the same one again, after a change of view
            return False
        configuration = parse(text, is_checked=True)
        self.index, self.generation, self.text, self.configuration = number, generation, text, configuration
        self.cached_compressed = b""
        for listener in self.listeners:
            listener(configuration)
        return True


def decompress(packed: bytes) -> bytes:
    """A text that came packed; MeshError where it is none, or too long."""
    made = zlib.decompressobj()
    try:
        text = made.decompress(packed, MAX_TEXT_BYTES + 1)
    except zlib.error as wrong:
        raise MeshError("CONFIG_UNREADABLE", str(wrong)) from None
    if len(text) > MAX_TEXT_BYTES or not made.eof:
        raise MeshError("CONFIG_TOO_LARGE", f"more than {MAX_TEXT_BYTES} bytes, or cut short")
    return text
