"""Heads of HTTP requests and responses: checks on received ones, and the text of those that are sent."""

from __future__ import annotations

import http
import math
import re
from typing import NamedTuple

from .connection import NON_FORWARDED_HEADERS, Headers, end_to_end

REASON_PHRASES = {s.value: s.phrase.encode() for s in http.HTTPStatus}
NON_FORWARDED_REQUEST_HEADERS = NON_FORWARDED_HEADERS | {b"req-deadline"}  # each attempt has its own Req-Deadline
NUMBER = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,12})?")


class HttpResponse(NamedTuple):
    """A response to a client."""

    status: int
    headers: bytes = b""
    body: bytes = b""


class Rejected(Exception):
    """An invalid request: the sidecar itself answers it with ``status``, and the balancer never receives it."""

    def __init__(self, status: int) -> None:
        self.status = status


def parse_positive_number(text: bytes | None) -> float:
    """Return a header value as a finite number above 0. Raises Rejected with 400 if it is missing or invalid."""
    value = float(text) if text and NUMBER.fullmatch(text) else math.nan
    if not value > 0.0:
        raise Rejected(400)
    return value


def find_cookie(text: bytes, name: bytes) -> str:
    """Return the value of a cookie in a Cookie header; empty if there is none."""
    for part in text.split(b";"):
        key, _, value = part.strip().partition(b"=")
        if key == name:
            return value.decode("latin-1")
    return ""


class CompleteRequest(NamedTuple):
    """A request that was received completely, and is not validated yet."""

    method: str
    target: str
    headers: Headers
    body: bytes
    reserved_memory: int
    """Bytes that are reserved for the body."""
    keep_alive: bool
    version: str
    completed_at: float
    """Time of arrival on the loop's clock, from which the client's deadline counts."""


def render_response(response: HttpResponse, keep_alive: bool) -> bytes:
    """Return a complete response."""
    return (
        render_response_head(response.status, response.headers, len(response.body), False, keep_alive) + response.body
    )


def render_response_head(status: int, headers: bytes, length: int | None, chunked: bool, keep_alive: bool) -> bytes:
    """Return the head of a response. ``length`` is that of the body in bytes, None if unknown."""
    framing = b"Transfer-Encoding: chunked\r\n" if chunked else b""
    if length is not None:
        framing = b"Content-Length: %d\r\n" % length
    return b"HTTP/1.1 %d %b\r\n%b%b%b\r\n" % (
        status,
        REASON_PHRASES.get(status, b""),
        headers,
        framing,
        b"" if keep_alive else b"Connection: close\r\n",
    )


def render_request_head(method: str, target: str, headers: Headers) -> bytes:
    """Return the head that all attempts share. Each attempt appends its deadline and the body's framing."""
    return b"%b %b HTTP/1.1\r\n%b" % (
        method.encode(),
        target.encode("latin-1"),
        end_to_end(headers, NON_FORWARDED_REQUEST_HEADERS),
    )
