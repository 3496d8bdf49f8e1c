"""Heads of requests and answers as text: what is checked before a request is taken, and how an answer is worded."""

from __future__ import annotations

import http
import math
import re
from typing import NamedTuple

from .connection import NON_FORWARDED_HEADERS, Headers, end_to_end

REASONS = {s.value: s.phrase.encode() for s in http.HTTPStatus}
TO_ENDPOINTS = NON_FORWARDED_HEADERS | {b"req-deadline"}  # what is not passed on as it came
NUMBER = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,12})?")


class HttpResponse(NamedTuple):
    """What the application gets."""

    status: int
    headers: bytes = b""
    body: bytes = b""


class Rejected(Exception):
    """A request that is answered by the server itself and never reaches the balancer."""

    def __init__(self, status: int) -> None:
        self.status = status


def number(text: bytes | None) -> float:
    """A finite number above 0, or a rejection."""
    value = float(text) if text and NUMBER.fullmatch(text) else math.nan
    if not value > 0.0:
        raise Rejected(400)
    return value


def cookie(text: bytes, name: bytes) -> str:
    for part in text.split(b";"):
        key, _, value = part.strip().partition(b"=")
        if key == name:
            return value.decode("latin-1")
    return ""


class Whole(NamedTuple):
    """A request that has come in whole, not checked yet."""

    method: str
    target: str
    headers: Headers
    body: bytes
    room: int
    """Taken for the body."""
    keep: bool
    version: str
    at: float
    """When it was whole, on the loop's clock: its client's deadline counts from then."""


def render(answer: HttpResponse, keep: bool) -> bytes:
    return render_head(answer.status, answer.headers, len(answer.body), False, keep) + answer.body


def render_head(status: int, headers: bytes, length: int | None, chunked: bool, keep: bool) -> bytes:
    framing = b"Transfer-Encoding: chunked\r\n" if chunked else b""
    if length is not None:
        framing = b"Content-Length: %d\r\n" % length
    return b"HTTP/1.1 %d %b\r\n%b%b%b\r\n" % (
        status,
        REASONS.get(status, b""),
        headers,
        framing,
        b"" if keep else b"Connection: close\r\n",
    )


def request_head(method: str, target: str, headers: Headers) -> bytes:
    """The head that goes to every endpoint, but for its last headers, which its attempt words."""
    return b"%b %b HTTP/1.1\r\n%b" % (method.encode(), target.encode("latin-1"), end_to_end(headers, TO_ENDPOINTS))
