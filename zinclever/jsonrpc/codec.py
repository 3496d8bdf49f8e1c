"""Parsing and serialization of JSON-RPC 2.0 messages. No I/O.

Requests and responses are forwarded byte for byte except for their ``id``: member order, white space and numbers of
any length reach the other side as they were written. See https://www.jsonrpc.org/specification.
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
"""Error code of the sidecar: the call was refused, and repeating it is harmless."""
FAILED = -32051
"""Error code of the sidecar: the call failed and may have run."""

NULL = b"null"
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:]')
_BRACKET = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]')
_SIDECAR_ID = re.compile(rb"0|[1-9][0-9]{0,17}")
_WHITESPACE = b" \t\r\n"


class ParseError(ValueError):
    """The text is not valid JSON, or parsers could interpret it in different ways."""


class InvalidResponse(ValueError):
    """An endpoint sent something other than a response object: its connection can't be trusted any further."""


class Call(NamedTuple):
    """A valid request object."""

    id: bytes | None
    """The JSON token of the id as the client wrote it; None for a notification."""
    identity: bytes | str | None
    """Equal for two ids that are the same: the value of a string, otherwise the token as written."""
    method: str
    params: Any
    head: bytes
    """The request's text before the value of ``id``."""
    tail: bytes
    """The request's text after the value of ``id``."""


class RejectedCall(NamedTuple):
    """A request that is answered with an error instead of being forwarded."""

    id: bytes
    code: int
    message: str


class Batch(NamedTuple):
    """The requests of a batch, in order."""

    calls: list[Call | RejectedCall]


class Response(NamedTuple):
    """A valid response object."""

    id: int | None
    """The id if it has the form of those that the sidecar assigns; None for any other token, including null."""
    null: bool
    """Whether the id is null."""
    head: bytes
    """The response's text before the value of ``id``."""
    tail: bytes
    """The response's text after the value of ``id``."""
    error: bytes = b""
    """The error object as written; empty if the response holds a result."""
    code: int = 0
    """The code of the error object."""


# --- JSON ---


def parse_json(text: bytes) -> Any:
    """Parse a JSON text.

    If any number lies beyond the range of a double, all numbers are returned as strings: such texts are valid and are
    forwarded as written.

    Raises:
        ParseError: The text is not valid under RFC 8259, or it holds lone surrogates.
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as exc:
        if "infinity" not in str(exc):
            raise ParseError(str(exc)) from exc
    try:
        value = json.loads(text.decode(), parse_int=str, parse_float=str, parse_constant=_reject_constant)
        json.dumps(value, ensure_ascii=False).encode()  # raises for lone surrogates
    except (ValueError, RecursionError) as exc:
        raise ParseError(str(exc)) from exc
    return value


def _reject_constant(name: str) -> NoReturn:
    raise ParseError(f"{name} is no JSON number")


Span = tuple[int, int]
"""Start and end offsets of a value in a text."""


def locate_members(text: bytes) -> dict[str, Span]:
    """Locate the value of each member in the text of an object. The text must be valid JSON.

    Raises:
        ParseError: A name occurs twice: parsers differ in which of the two values they use.
    """
    spans: dict[str, Span] = {}
    name, begin = "", -1
    position = text.index(b"{") + 1
    while True:
        token = _TOKEN.search(text, position)
        if token is None:  # unreachable for valid JSON
            raise ParseError("an object without end")
        position = token.end()
        char = text[token.start()]
        if char in b"{[":
            position = _skip_nested(text, position)
        elif char in b"},":
            if begin >= 0:
                spans[name] = _trim_whitespace(text, begin, token.start())
                begin = -1
            if char in b"}":
                return spans
        elif char in b":":
            begin = position
        elif begin < 0:
            name = orjson.loads(token[0])
            if name in spans:
                raise ParseError(f"the member {name[:40]!r} comes twice")


def locate_elements(text: bytes) -> list[Span]:
    """Locate the elements in the text of an array. The text must be valid JSON."""
    spans: list[Span] = []
    position = begin = text.index(b"[") + 1
    while True:
        token = _TOKEN.search(text, position)
        if token is None:
            raise ParseError("an array without end")
        position = token.end()
        char = text[token.start()]
        if char in b"{[":
            position = _skip_nested(text, position)
        elif char in b"],":
            span = _trim_whitespace(text, begin, token.start())
            if span[1] > span[0]:
                spans.append(span)
            begin = position
            if char in b"]":
                return spans


def _skip_nested(text: bytes, position: int) -> int:
    """Return the end of the array or object whose opening bracket is right before ``position``."""
    depth = 1
    for token in _BRACKET.finditer(text, position):
        char = text[token.start()]
        if char in b"{[":
            depth += 1
        elif char in b"]}":
            depth -= 1
            if not depth:
                return token.end()
    raise ParseError("brackets that don't match")


def _trim_whitespace(text: bytes, begin: int, end: int) -> Span:
    while begin < end and text[begin] in _WHITESPACE:
        begin += 1
    while end > begin and text[end - 1] in _WHITESPACE:
        end -= 1
    return begin, end


# --- requests from clients ---


def read_request(text: bytes, max_calls: int) -> Call | RejectedCall | Batch:
    """Parse a text from a client. A batch of more than ``max_calls`` calls gets a single error."""
    try:
        value = parse_json(text)
    except ParseError as exc:
        return RejectedCall(NULL, PARSE_ERROR, f"Parse error: {exc}")
    if isinstance(value, dict):
        return _read_call(text, value)
    if not isinstance(value, list):
        return RejectedCall(NULL, INVALID_REQUEST, "Invalid Request: neither an object nor an array")
    if not value:
        return RejectedCall(NULL, INVALID_REQUEST, "Invalid Request: an empty batch")
    if len(value) > max_calls:
        return RejectedCall(NULL, INVALID_REQUEST, f"Invalid Request: a batch of more than {max_calls} calls; none ran")
    spans = locate_elements(text)
    return Batch(
        [
            _read_call(text[begin:end], item)
            if isinstance(item, dict)
            else RejectedCall(NULL, INVALID_REQUEST, "Invalid Request: not an object")
            for (begin, end), item in zip(spans, value, strict=True)
        ]
    )


def _read_call(text: bytes, value: dict[str, Any]) -> Call | RejectedCall:
    try:
        spans = locate_members(text)
    except ParseError as exc:
        return RejectedCall(NULL, INVALID_REQUEST, f"Invalid Request: {exc}")
    id_token: bytes | None = None
    identity: bytes | str | None = None
    if "id" in spans:
        begin, end = spans["id"]
        id_token = text[begin:end]
        if id_token[0] in b"{[tf":
            return RejectedCall(NULL, INVALID_REQUEST, "Invalid Request: id must be a string, a number or null")
        identity = value["id"] if id_token[0] in b'"' else id_token
        head, tail = text[:begin], text[end:]
    else:
        # A notification is forwarded as a call with an id, so that the sidecar learns its outcome.
        body_start = text.index(b"{") + 1
        head, tail = text[:body_start] + b'"id":', b"," + text[body_start:]
    reply_id = NULL if id_token is None else id_token
    if "jsonrpc" not in spans or value["jsonrpc"] != "2.0":
        return RejectedCall(reply_id, INVALID_REQUEST, 'Invalid Request: jsonrpc must be "2.0"')
    if "method" not in spans or text[spans["method"][0]] not in b'"':
        return RejectedCall(reply_id, INVALID_REQUEST, "Invalid Request: method must be a string")
    if "params" in spans and text[spans["params"][0]] not in b"{[":
        return RejectedCall(reply_id, INVALID_REQUEST, "Invalid Request: params must be an array or an object")
    return Call(id_token, identity, value["method"], value.get("params"), head, tail)


def resolve_pointer(params: Any, pointer: tuple[str, ...]) -> str | None:
    """Return the string or number that a JSON Pointer refers to, as a string.

    ``pointer`` holds the reference tokens (RFC 6901). Returns None if there is no such value, or if it is an empty
    string or of another type.
    """
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
    """Split a JSON Pointer (RFC 6901) into its reference tokens. Raises ValueError if it is invalid."""
    if not text.startswith("/") or re.search(r"~(?![01])", text):
        raise ValueError(f"not a JSON Pointer: {text!r}")
    return tuple(part.replace("~1", "/").replace("~0", "~") for part in text[1:].split("/"))


# --- responses from endpoints ---


def read_response(text: bytes) -> Response:
    """Parse a text from an endpoint.

    Raises:
        InvalidResponse: The text is not a response object, or parsers could interpret it in different ways.
    """
    try:
        value = parse_json(text)
        if not isinstance(value, dict):
            raise InvalidResponse("not an object")
        spans = locate_members(text)
    except ParseError as exc:
        raise InvalidResponse(str(exc)) from exc
    if value.get("jsonrpc") != "2.0" or "id" not in spans or ("result" in spans) == ("error" in spans):
        raise InvalidResponse("not a response object")
    begin, end = spans["id"]
    token = text[begin:end]
    call_id = int(token) if _SIDECAR_ID.fullmatch(token) else None
    response = Response(call_id, token == NULL, text[:begin], text[end:])
    if "error" not in spans:
        return response
    error = value["error"]
    code = error.get("code") if isinstance(error, dict) else None
    if type(code) is not int or not isinstance(error.get("message"), str):
        raise InvalidResponse("the error object lacks an integer code or a string message")
    error_begin, error_end = spans["error"]
    return response._replace(error=text[error_begin:error_end], code=code)


# --- errors for clients ---


def write_error(id: bytes, code: int, message: str, data: bytes = b"") -> bytes:
    """Serialize an error response. ``data`` is a JSON text, or empty to leave the member out."""
    data_member = b',"data":' + data if data else b""
    return b'{"jsonrpc":"2.0","id":%b,"error":{"code":%d,"message":%b%b}}' % (
        id,
        code,
        orjson.dumps(message),
        data_member,
    )


def write_refused(id: bytes, retry_after: float, upstream: bytes = b"") -> bytes:
    """Serialize the error for a call that can be repeated without harm.

    ``retry_after`` is the advised delay in ms before a repeat; 0 gives no advice. ``upstream`` is as for
    :func:`write_failed`.
    """
    retry_after_member = b',"retry_after_ms":%d' % round(retry_after) if retry_after > 0.0 else b""
    upstream_member = b',"upstream":' + upstream if upstream else b""
    return write_error(
        id,
        REFUSED,
        "refused: a repeat is harmless",
        b'{"source":"zinclever","repeat":"harmless"%b%b}' % (retry_after_member, upstream_member),
    )


def write_failed(id: bytes, upstream: bytes = b"") -> bytes:
    """Serialize the error for a call that may have run.

    ``upstream`` is the text of the error object that an endpoint returned, or empty if there is none.
    """
    upstream_member = b',"upstream":' + upstream if upstream else b""
    return write_error(
        id, FAILED, "failed: it may have run", b'{"source":"zinclever","repeat":"may_have_run"%b}' % upstream_member
    )
