"""Where one JSON text ends and the next begins in a stream of bytes. No I/O.

``lines``: one text a line, ended by LF (a CR before it is white space to JSON). ``headers``: each text after
a ``Content-Length`` header and an empty line, as the Language Server Protocol's base protocol words it.
"""

from __future__ import annotations

import re
from typing import Literal

Framing = Literal["lines", "headers"]
MOST_HEADERS = 4096  # bytes of headers before a text: a few short ones are all that is ever sent
_LENGTH = re.compile(rb"content-length[ \t]*:[ \t]*([0-9]{1,12})[ \t]*", re.IGNORECASE)
_END = b"\r\n\r\n"


class FramingError(ValueError):
    """What came can't be cut into texts; nothing behind it can be trusted."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.before: list[bytes] = []
        """The texts that were whole before it, in the same piece."""


def frame(framing: Framing, text: bytes) -> bytes:
    """A text as it goes out. For ``lines`` it must hold no LF."""
    return text + b"\n" if framing == "lines" else b"Content-Length: %d\r\n\r\n%b" % (len(text), text)


def spoil(framing: Framing, framed: bytes, sent: int) -> bytes:
    """What ends a framed text of which only ``sent`` bytes have gone, so that no peer can take it for whole
    and the next one is read rightly."""
    if framing == "lines":
        return b"\n"
    head = framed[sent : framed.index(_END) + len(_END)]
    return head + b" " * (len(framed) - sent - len(head))


class Framer:
    """Feed it bytes as they come; it gives whole texts and never holds more than ``most`` bytes of one."""

    __slots__ = ("buffer", "framing", "length", "looked", "most")

    def __init__(self, framing: Framing, most: int) -> None:
        self.framing, self.most = framing, most
        self.buffer = bytearray()
        self.looked = 0
        """Bytes of the buffer that hold no end, as was seen before."""
        self.length = -1
        """Of the text whose headers have come; below 0: none."""

    def partial(self) -> bool:
        """Whether a text has begun and is not whole."""
        return bool(self.buffer) or self.length >= 0

    def feed(self, data: bytes) -> list[bytes]:
        """The texts that are whole now. FramingError where one is too long or has no length."""
        self.buffer += data
        texts: list[bytes] = []
        try:
            while (text := self.next()) is not None:
                texts.append(text)
        except FramingError as wrong:
            wrong.before = texts
            raise
        return texts

    def next(self) -> bytes | None:
        return self.line() if self.framing == "lines" else self.headed()

    def line(self) -> bytes | None:
        while True:
            end = self.buffer.find(b"\n", self.looked)
            if (end if end >= 0 else len(self.buffer)) > self.most:
                raise FramingError(f"a text of more than {self.most} bytes")
            if end < 0:
                self.looked = len(self.buffer)
                return None
            text = bytes(self.buffer[:end])
            del self.buffer[: end + 1]
            self.looked = 0
            if text.strip():  # an empty line is no text
                return text

    def headed(self) -> bytes | None:
        if self.length < 0:
            end = self.buffer.find(_END, max(0, self.looked - len(_END)))
            if (end if end >= 0 else len(self.buffer)) > MOST_HEADERS:
                raise FramingError(f"headers of more than {MOST_HEADERS} bytes")
            if end < 0:
                self.looked = len(self.buffer)
                return None
            self.length = self.read_length(bytes(self.buffer[:end]))
            del self.buffer[: end + len(_END)]
        if len(self.buffer) < self.length:
            return None
        text = bytes(self.buffer[: self.length])
        del self.buffer[: self.length]
        self.length, self.looked = -1, 0
        return text

    def read_length(self, head: bytes) -> int:
        lengths = [m for line in head.split(b"\r\n") if (m := _LENGTH.fullmatch(line))]
        if len(lengths) != 1:
            raise FramingError("not one Content-Length header before a text")
        length = int(lengths[0][1])
        if length > self.most:
            raise FramingError(f"a text of more than {self.most} bytes")
        return length
