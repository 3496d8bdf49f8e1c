"""The configuration that is in force in one process. It only ever moves forward."""

from __future__ import annotations

import zlib
from collections.abc import Callable

from ..errors import MeshError
from .document import MAX_TEXT_BYTES, Configuration, parse

MAX_UNCOMPRESSED_BYTES = 4096  # up to which a text is passed on as it is
COMPRESSION_LEVEL = 1  # of zlib: the fastest


class ActiveConfiguration:
    """Holds the configuration with the highest index in the replicated log that is known here."""

    def __init__(self) -> None:
        self.index = 0
        """Of its log entry; 0 until one is in force."""
        self.generation = 0
        self.text = b""
        self.configuration: Configuration | None = None
        self.cached_compressed = b""
        """The text in force compressed, once somebody has asked for it."""
        self.listeners: list[Callable[[Configuration], None]] = []
        """Called with each configuration that comes into force."""

    def compressed(self) -> bytes:
        """The text in force, compressed; empty where that is not worth it.

        On a link of 2 Mbit/s 1 MB of text takes 4 s, and compressed a tenth of that.
        """
        if len(self.text) <= MAX_UNCOMPRESSED_BYTES:
            return b""
        if not self.cached_compressed:
            self.cached_compressed = zlib.compress(self.text, COMPRESSION_LEVEL)
        return self.cached_compressed

    def apply(self, index: int, generation: int, text: bytes) -> bool:
        """Put a committed configuration in force; False where this or a newer one is.

        MeshError where the text can't be parsed although it was validated before it was committed.
        """
        if index < self.index or (index == self.index and text == self.text) or not text:
            return False
        if generation == self.generation and text == self.text and self.configuration is not None:
            self.index = index  # the same one under a later entry, after a change of the voters
            return False
        configuration = parse(text, already_validated=True)
        self.index, self.generation, self.text, self.configuration = index, generation, text, configuration
        self.cached_compressed = b""
        for listener in self.listeners:
            listener(configuration)
        return True


def decompress(compressed: bytes) -> bytes:
    """A text that came compressed. MeshError where it is damaged or too long."""
    engine = zlib.decompressobj()
    try:
        text = engine.decompress(compressed, MAX_TEXT_BYTES + 1)
    except zlib.error as error:
        raise MeshError("CONFIG_UNREADABLE", str(error)) from None
    if len(text) > MAX_TEXT_BYTES or not engine.eof:
        raise MeshError("CONFIG_TOO_LARGE", f"more than {MAX_TEXT_BYTES} bytes, or cut short")
    return text
