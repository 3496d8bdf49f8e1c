"""JSON-RPC 2.0 texts, read and written. No I/O.

Texts go on byte for byte but for their ``id``: what a client wrote (member order, white space, numbers of any
length) is what an endpoint reads, and the other way round. See https://www.jsonrpc.org/specification.
"""

from __future__ import annotations

import json
import re
from typing import Any, NamedTuple, NoReturn

import orjson

PARSE_ERROR = -32700
INVALID_REQUEST = -32600
METHOD_NOT_FOUND = -32601
INVALID_PARAMS = -32602
INTERNAL_ERROR = -32603
REFUSED = -32050
"""Of the sidecar's own: refused, and a repeat is harmless."""
FAILED = -32051
"""Of the sidecar's own: the call failed, and it may have run."""

NULL = b"null"
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:]')
_BRACKET = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]')
_OWN_ID = re.compile(rb"0|[1-9][0-9]{0,17}")
_SPACE = b" \t\r\n"


class ParseError(ValueError):
    """No JSON text, or one that peers could read in more than one way."""


class Noise(ValueError):
    """What an endpoint sent is no response object: the connection can't be trusted any further."""


class Call(NamedTuple):
    """A request object."""

    id: bytes | None
    """As written; None: a notification."""
    identity: bytes | str | None
    """What makes two ids the same: a string's value, else the token as written."""
    method: str
    params: Any
    head: bytes
    """The text before its id ..."""
    tail: bytes
    """... and after it."""


class Invalid(NamedTuple):
    """What is no call, and the error that it is owed."""

    id: bytes
    code: int
    message: str


class Batch(NamedTuple):
    calls: list[Call | Invalid]


class Response(NamedTuple):
    """A response object, without its id."""

    id: int | None
    """One of the sidecar's own; None: some other token, or null."""
    null: bool
    head: bytes
    tail: bytes
    error: bytes = b""
    """The error object as written, if it is one."""
    code: int = 0


# --- JSON ---


def load(text: bytes) -> Any:
    """The value of a JSON text. ParseError for what RFC 8259 doesn't allow, lone surrogates among it.

    Numbers beyond a double's range are allowed and come as text: they are passed on as written.
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as wrong:
        if "infinity" not in str(wrong):
            raise ParseError(str(wrong)) from wrong
    try:
        value = json.loads(text.decode(), parse_int=str, parse_float=str, parse_constant=_no_constant)
        json.dumps(value, ensure_ascii=False).encode()  # raises for lone surrogates
    except (ValueError, RecursionError) as wrong:
        raise ParseError(str(wrong)) from wrong
    return value


def _no_constant(name: str) -> NoReturn:
    raise ParseError(f"{name} is no JSON number")


Span = tuple[int, int]


def members(text: bytes) -> dict[str, Span]:
    """Where the value of each member of an object stands in its text, which is known to be valid.

    ParseError for a name that comes twice: peers differ in which one counts.
    """
    spans: dict[str, Span] = {}
    name, begin = "", -1
    at = text.index(b"{") + 1
    while True:
        token = _TOKEN.search(text, at)
        if token is None:  # the text is valid: not reached
            raise ParseError("an object without end")
        at = token.end()
        mark = text[token.start()]
        if mark in b"{[":
            at = _skip(text, at)
        elif mark in b"},":
            if begin >= 0:
                spans[name] = _trim(text, begin, token.start())
                begin = -1
            if mark in b"}":
                return spans
        elif mark in b":":
            begin = at
        elif begin < 0:
            name = orjson.loads(token[0])
            if name in spans:
                raise ParseError(f"the member {name[:40]!r} comes twice")


def elements(text: bytes) -> list[Span]:
    """Where the elements of an array stand in its text, which is known to be valid."""
    spans: list[Span] = []
    at = begin = text.index(b"[") + 1
    while True:
        token = _TOKEN.search(text, at)
        if token is None:
            raise ParseError("an array without end")
        at = token.end()
        mark = text[token.start()]
        if mark in b"{[":
            at = _skip(text, at)
        elif mark in b"],":
            span = _trim(text, begin, token.start())
            if span[1] > span[0]:
                spans.append(span)
            begin = at
            if mark in b"]":
                return spans


def _skip(text: bytes, at: int) -> int:
    """The end of the array or object whose first bracket stands right before ``at``."""
    depth = 1
    for token in _BRACKET.finditer(text, at):
        mark = text[token.start()]
        if mark in b"{[":
            depth += 1
        elif mark in b"]}":
            depth -= 1
            if not depth:
                return token.end()
    raise ParseError("brackets that don't match")


def _trim(text: bytes, begin: int, end: int) -> Span:
    while begin < end and text[begin] in _SPACE:
        begin += 1
    while end > begin and text[end - 1] in _SPACE:
        end -= 1
    return begin, end


# --- what clients send ---


def read_request(text: bytes, most: int) -> Call | Invalid | Batch:
    """A client's text; ``most``: calls that a batch may hold."""
    try:
        value = load(text)
    except ParseError as wrong:
        return Invalid(NULL, PARSE_ERROR, f"Parse error: {wrong}")
    if isinstance(value, dict):
        return _read_call(text, value)
    if not isinstance(value, list):
        return Invalid(NULL, INVALID_REQUEST, "Invalid Request: neither an object nor an array")
    if not value:
        return Invalid(NULL, INVALID_REQUEST, "Invalid Request: an empty batch")
    if len(value) > most:
        return Invalid(NULL, INVALID_REQUEST, f"Invalid Request: a batch of more than {most} calls; none ran")
    spans = elements(text)
    return Batch(
        [
            _read_call(text[a:b], v)
            if isinstance(v, dict)
            else Invalid(NULL, INVALID_REQUEST, "Invalid Request: not an object")
            for (a, b), v in zip(spans, value, strict=True)
        ]
    )


def _read_call(text: bytes, value: dict[str, Any]) -> Call | Invalid:
    try:
        spans = members(text)
    except ParseError as wrong:
        return Invalid(NULL, INVALID_REQUEST, f"Invalid Request: {wrong}")
    written: bytes | None = None
    identity: bytes | str | None = None
    if "id" in spans:
        begin, end = spans["id"]
        written = text[begin:end]
        if written[0] in b"{[tf":
            return Invalid(NULL, INVALID_REQUEST, "Invalid Request: id must be a string, a number or null")
        identity = value["id"] if written[0] in b'"' else written
        head, tail = text[:begin], text[end:]
    else:
        # The sidecar asks for an answer, to know how it went.
        first = text.index(b"{") + 1
        head, tail = text[:first] + b'"id":', b"," + text[first:]
    answer_to = NULL if written is None else written
    if "jsonrpc" not in spans or value["jsonrpc"] != "2.0":
        return Invalid(answer_to, INVALID_REQUEST, 'Invalid Request: jsonrpc must be "2.0"')
    if "method" not in spans or text[spans["method"][0]] not in b'"':
        return Invalid(answer_to, INVALID_REQUEST, "Invalid Request: method must be a string")
    if "params" in spans and text[spans["params"][0]] not in b"{[":
        return Invalid(answer_to, INVALID_REQUEST, "Invalid Request: params must be an array or an object")
    return Call(written, identity, value["method"], value.get("params"), head, tail)


def point(params: Any, pointer: tuple[str, ...]) -> str | None:
    """The text or number that a JSON Pointer (RFC 6901, in its parts) finds in params; None: nothing."""
    for part in pointer:
        if isinstance(params, dict) and part in params:
            params = params[part]
        elif isinstance(params, list) and part.isdecimal() and int(part) < len(params):
            params = params[int(part)]
        else:
            return None
    if isinstance(params, str):
        return params or None
    return str(params) if isinstance(params, int | float) and not isinstance(params, bool) else None


def parse_json_pointer(text: str) -> tuple[str, ...]:
    """The parts of a JSON Pointer (RFC 6901). ValueError where it is none."""
    if not text.startswith("/") or re.search(r"~(?![01])", text):
        raise ValueError(f"not a JSON Pointer: {text!r}")
    return tuple(part.replace("~1", "/").replace("~0", "~") for part in text[1:].split("/"))


# --- what endpoints send ---


def read_response(text: bytes) -> Response:
    """An endpoint's text. Noise where it is no response object, or could be read in two ways."""
    try:
        value = load(text)
        if not isinstance(value, dict):
            raise Noise("not an object")
        spans = members(text)
    except ParseError as wrong:
        raise Noise(str(wrong)) from wrong
    if value.get("jsonrpc") != "2.0" or "id" not in spans or ("result" in spans) == ("error" in spans):
        raise Noise("not a response object")
    begin, end = spans["id"]
    token = text[begin:end]
    own = int(token) if _OWN_ID.fullmatch(token) else None
    response = Response(own, token == NULL, text[:begin], text[end:])
    if "error" not in spans:
        return response
    error = value["error"]
    code = error.get("code") if isinstance(error, dict) else None
    if type(code) is not int or not isinstance(error.get("message"), str):
        raise Noise("an error without code or message")
    a, b = spans["error"]
    return response._replace(error=text[a:b], code=code)


# --- what clients get ---


def write_error(id: bytes, code: int, message: str, data: bytes = b"") -> bytes:
    """An error response; ``data``: a JSON text."""
    more = b',"data":' + data if data else b""
    return b'{"jsonrpc":"2.0","id":%b,"error":{"code":%d,"message":%b%b}}' % (id, code, orjson.dumps(message), more)


def write_refused(id: bytes, retry_after: float, upstream: bytes = b"") -> bytes:
    """A refusal: a repeat is harmless, after so many ms (0: no advice). ``upstream``: as for a failure."""
    advice = b',"retry_after_ms":%d' % round(retry_after) if retry_after > 0.0 else b""
    said = b',"upstream":' + upstream if upstream else b""
    return write_error(
        id,
        REFUSED,
        "refused: a repeat is harmless",
        b'{"source":"zinclever","repeat":"harmless"%b%b}' % (advice, said),
    )


def write_failed(id: bytes, upstream: bytes = b"") -> bytes:
    """A failure; ``upstream``: the error object that an endpoint worded, if any."""
    said = b',"upstream":' + upstream if upstream else b""
    return write_error(
        id, FAILED, "failed: it may have run", b'{"source":"zinclever","repeat":"may_have_run"%b}' % said
    )
