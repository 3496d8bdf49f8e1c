"""Framing of JSON texts in a byte stream. No I/O.

``lines``: one text per line, terminated by LF; JSON parsers treat a CR before it as white space. ``headers``: each
text follows a ``Content-Length`` header and an empty line, as in the base protocol of the Language Server Protocol.
"""

from __future__ import annotations

import re
from typing import Literal

Framing = Literal["lines", "headers"]
MAX_HEADER_BYTES = 4096  # bytes of the headers of one text: ordinary peers send a few short ones
_LENGTH = re.compile(rb"content-length[ \t]*:[ \t]*([0-9]{1,12})[ \t]*", re.IGNORECASE)
_HEADER_END = b"\r\n\r\n"


class FramingError(ValueError):
    """The stream can't be divided into texts. Nothing after this point can be trusted."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.complete_texts: list[bytes] = []
        """The complete texts that preceded the error in the same chunk of data."""


def frame(framing: Framing, text: bytes) -> bytes:
    """Add the framing to a text. With ``lines``, the text must not contain LF."""
    return text + b"\n" if framing == "lines" else b"Content-Length: %d\r\n\r\n%b" % (len(text), text)


def terminate_partial_frame(framing: Framing, framed: bytes, sent: int) -> bytes:
    """Return the bytes that complete a frame of which only ``sent`` bytes were written, without completing its text.

    The peer reads a text that is not valid JSON, and reads the following frame correctly.
    """
    if framing == "lines":
        return b"\n"
    head = framed[sent : framed.index(_HEADER_END) + len(_HEADER_END)]
    return head + b" " * (len(framed) - sent - len(head))


class Framer:
    """Divides a byte stream into texts, and rejects a text of more than ``max_text_bytes``."""

    __slots__ = ("body_length", "buffer", "framing", "max_text_bytes", "scanned")

    def __init__(self, framing: Framing, max_text_bytes: int) -> None:
        self.framing, self.max_text_bytes = framing, max_text_bytes
        self.buffer = bytearray()
        self.scanned = 0
        """Number of leading bytes of the buffer that are known to hold no terminator."""
        self.body_length = -1
        """Length of the text whose headers were read; negative if no headers were read."""

    def has_partial_text(self) -> bool:
        """Return whether part of a text was received."""
        return bool(self.buffer) or self.body_length >= 0

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the texts that are now complete.

        Raises:
            FramingError: A text or its headers are too long, or there isn't exactly one valid ``Content-Length``.
        """
        self.buffer += data
        texts: list[bytes] = []
        try:
            while (text := self.next_text()) is not None:
                texts.append(text)
        except FramingError as error:
            error.complete_texts = texts
            raise
        return texts

    def next_text(self) -> bytes | None:
        """Remove the next complete text from the buffer, or return None if there is none."""
        return self.next_line() if self.framing == "lines" else self.next_body()

    def next_line(self) -> bytes | None:
        """Remove the next line that is not blank; None if it is incomplete."""
        while True:
            end = self.buffer.find(b"\n", self.scanned)
            if (end if end >= 0 else len(self.buffer)) > self.max_text_bytes:
                raise FramingError(f"a text of more than {self.max_text_bytes} bytes")
            if end < 0:
                self.scanned = len(self.buffer)
                return None
            text = bytes(self.buffer[:end])
            del self.buffer[: end + 1]
            self.scanned = 0
            if text.strip():  # blank lines are ignored
                return text

    def next_body(self) -> bytes | None:
        """Remove the next headers and the text after them; None if they are incomplete."""
        if self.body_length < 0:
            end = self.buffer.find(_HEADER_END, max(0, self.scanned - len(_HEADER_END)))
            if (end if end >= 0 else len(self.buffer)) > MAX_HEADER_BYTES:
                raise FramingError(f"headers of more than {MAX_HEADER_BYTES} bytes")
            if end < 0:
                self.scanned = len(self.buffer)
                return None
            self.body_length = self.parse_length(bytes(self.buffer[:end]))
            del self.buffer[: end + len(_HEADER_END)]
        if len(self.buffer) < self.body_length:
            return None
        text = bytes(self.buffer[: self.body_length])
        del self.buffer[: self.body_length]
        self.body_length, self.scanned = -1, 0
        return text

    def parse_length(self, head: bytes) -> int:
        """Return the value of the ``Content-Length`` header, which must occur exactly once."""
        lengths = [m for line in head.split(b"\r\n") if (m := _LENGTH.fullmatch(line))]
        if len(lengths) != 1:
            raise FramingError("not one Content-Length header before a text")
        length = int(lengths[0][1])
        if length > self.max_text_bytes:
            raise FramingError(f"a text of more than {self.max_text_bytes} bytes")
        return length
