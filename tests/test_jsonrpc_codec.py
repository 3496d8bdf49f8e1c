"""JSON-RPC codec and framing: validation of requests and responses, and forwarding byte for byte."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from zinclever.jsonrpc import codec
from zinclever.jsonrpc.codec import Batch, Call, InvalidResponse, ParseError, RejectedCall
from zinclever.jsonrpc.framing import Framer, Framing, FramingError, frame, terminate_partial_frame


def read_call(text: bytes) -> Call:
    call = codec.read_request(text, 10)
    assert isinstance(call, Call), call
    return call


def read_error_code(text: bytes) -> int:
    rejected = codec.read_request(text, 10)
    assert isinstance(rejected, RejectedCall), rejected
    return rejected.code


@pytest.mark.parametrize(
    "id",
    [
        b"1",
        b"1.0",
        b'"1"',
        b"null",
        b"-0",
        b"1e2",
        b'"\\u0031"',
        b"9" * 400,
        b"-1.5E+300",
        b'""',
    ],
)
def test_ids_are_kept_as_written(id: bytes) -> None:
    """Guards against a response that its client can't match: ``1``, ``1.0`` and ``"1"`` are different ids."""
    call = read_call(b'{"jsonrpc" : "2.0", "id": ' + id + b' , "method":"m"}')
    assert call.id == id
    assert call.head + b"7" + call.tail == b'{"jsonrpc" : "2.0", "id": 7 , "method":"m"}'


def test_equal_strings_have_the_same_identity() -> None:
    identities = [
        read_call(b'{"jsonrpc":"2.0","method":"m","id":%b}' % id).identity
        for id in (b"1", b"1.0", b'"1"', b"null", b'"\\u0031"')
    ]
    assert identities[2] == identities[4] and len(set(identities)) == 4


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b"foo", codec.PARSE_ERROR),
        (b'{"jsonrpc":"2.0","method":"m","id":1', codec.PARSE_ERROR),
        (b'{"jsonrpc":"2.0","method":"m","params":[NaN],"id":1}', codec.PARSE_ERROR),
        (b'{"jsonrpc":"2.0","method":"m","params":[Infinity],"id":1}', codec.PARSE_ERROR),
        (b'{"jsonrpc":"2.0","method":"\\ud800","id":1}', codec.PARSE_ERROR),
        (b'{"jsonrpc":"2.0","method":"m","params":["\\ud800",1e999],"id":1}', codec.PARSE_ERROR),
        (b'{"jsonrpc":"2.0","method":"m","params":[1e999,NaN],"id":1}', codec.PARSE_ERROR),
        (b'{"jsonrpc":"2.0","method":"\xff","id":1}', codec.PARSE_ERROR),
        (b'\xef\xbb\xbf{"jsonrpc":"2.0","method":"m","id":1}', codec.PARSE_ERROR),
        (b"[" * 100_000 + b"]" * 100_000, codec.PARSE_ERROR),
        (b'{"a":' * 100_000, codec.PARSE_ERROR),
        (b"1e999" + b"[" * 100_000, codec.PARSE_ERROR),
        (b"[1e999," + b"[" * 100_000 + b"]" * 100_000 + b"]", codec.PARSE_ERROR),
        (b"[]", codec.INVALID_REQUEST),
        (b"1", codec.INVALID_REQUEST),
        (b"[1,1,1,1,1,1,1,1,1,1,1]", codec.INVALID_REQUEST),
        (b"{}", codec.INVALID_REQUEST),
        (b'{"jsonrpc":"1.0","method":"m","id":1}', codec.INVALID_REQUEST),
        (b'{"jsonrpc":2.0,"method":"m","id":1}', codec.INVALID_REQUEST),
        (b'{"jsonrpc":"2.0","method":1,"id":1}', codec.INVALID_REQUEST),
        (b'{"jsonrpc":"2.0","method":1e999,"id":1}', codec.INVALID_REQUEST),
        (b'{"jsonrpc":"2.0","method":"m","params":1,"id":1}', codec.INVALID_REQUEST),
        (b'{"jsonrpc":"2.0","method":"m","params":null,"id":1}', codec.INVALID_REQUEST),
        (b'{"jsonrpc":"2.0","method":"m","id":true}', codec.INVALID_REQUEST),
        (b'{"jsonrpc":"2.0","method":"m","id":[1]}', codec.INVALID_REQUEST),
        (b'{"jsonrpc":"2.0","method":"m","id":{}}', codec.INVALID_REQUEST),
        (b'{"jsonrpc":"2.0","method":"read","method":"tip","id":1}', codec.INVALID_REQUEST),
        (b'{"jsonrpc":"2.0","method":"read","\\u006dethod":"tip","id":1}', codec.INVALID_REQUEST),
        (b'{"jsonrpc":"2.0","method":"m","id":1,"id":2}', codec.INVALID_REQUEST),
    ],
)
def test_invalid_requests_are_rejected(text: bytes, expected: int) -> None:
    """Guards against a text that the sidecar and the endpoint interpret differently."""
    assert read_error_code(text) == expected


def test_error_has_the_id_of_the_request_if_it_can_be_read() -> None:
    rejected = codec.read_request(b'{"jsonrpc":"2.0","method":1,"id":"x"}', 10)
    assert isinstance(rejected, RejectedCall) and rejected.id == b'"x"'


def test_numbers_of_any_length_are_forwarded_as_written() -> None:
    """Guards against rounding an amount."""
    long = b"1" * 400
    call = read_call(b'{"jsonrpc":"2.0","method":"m","params":[%b,1e999,0.10],"id":%b}' % (long, long))
    assert call.id == long and b"[%b,1e999,0.10]" % long in call.head


def test_elements_of_a_batch_are_validated_separately() -> None:
    text = b'[ {"jsonrpc":"2.0","method":"a","id":1} , 5, [ ], {"jsonrpc":"2.0","method":"b"} ]'
    batch = codec.read_request(text, 10)
    assert isinstance(batch, Batch)
    a, five, inner, b = batch.calls
    assert isinstance(a, Call) and a.method == "a" and a.id == b"1"
    assert isinstance(five, RejectedCall) and isinstance(inner, RejectedCall)
    assert isinstance(b, Call) and b.id is None
    assert json.loads(b.head + b"9" + b.tail) == {"jsonrpc": "2.0", "method": "b", "id": 9}


@pytest.mark.parametrize(
    ("pointer", "params", "found"),
    [
        ("/key", {"key": "k"}, "k"),
        ("/key", {"key": 7}, "7"),
        ("/key", {"key": True}, None),
        ("/key", {"key": ""}, None),
        ("/key", {}, None),
        ("/key", None, None),
        ("/0", ["k"], "k"),
        ("/1", ["k"], None),
        ("/a~1b/~0c", {"a/b": {"~c": "k"}}, "k"),
        ("/key", {"key": ["k"]}, None),
    ],
)
def test_pointer_is_resolved(pointer: str, params: Any, found: str | None) -> None:
    assert codec.resolve_pointer(params, codec.parse_json_pointer(pointer)) == found


@pytest.mark.parametrize("pointer", ["", "key", "/a~2", "/a~"])
def test_invalid_pointers_are_rejected(pointer: str) -> None:
    with pytest.raises(ValueError, match="not a JSON Pointer"):
        codec.parse_json_pointer(pointer)


@pytest.mark.parametrize(
    "text",
    [
        b"{",
        b"[]",
        b"1",
        b"{}",
        b'{"jsonrpc":"2.0","id":1}',
        b'{"id":1,"result":1}',
        b'{"jsonrpc":"2.0","id":1,"result":1,"error":{"code":1,"message":""}}',
        b'{"jsonrpc":"2.0","id":1,"result":1,"result":2}',
        b'{"jsonrpc":"2.0","result":1}',
        b'{"jsonrpc":"2.0","id":1,"error":1}',
        b'{"jsonrpc":"2.0","id":1,"error":{"code":"1","message":""}}',
        b'{"jsonrpc":"2.0","id":1,"error":{"code":true,"message":""}}',
        b'[{"jsonrpc":"2.0","id":1,"result":1}]',
        b'{"jsonrpc":"2.0","id":1,"result":NaN}',
    ],
)
def test_invalid_responses_are_rejected(text: bytes) -> None:
    with pytest.raises(InvalidResponse):
        codec.read_response(text)


@pytest.mark.parametrize(
    ("id", "expected"),
    [
        (b"7", 7),
        (b"0", 0),
        (b"07", None),
        (b"7.0", None),
        (b'"7"', None),
        (b"-7", None),
        (b"null", None),
        (b"9" * 30, None),
    ],
)
def test_only_ids_as_assigned_by_the_sidecar_are_recognized(id: bytes, expected: int | None) -> None:
    text = b'{"jsonrpc":"2.0","id":%b,"result":1}' % id
    if id == b"07":
        with pytest.raises(InvalidResponse):
            codec.read_response(text)
        return
    response = codec.read_response(text)
    assert response.id == expected and response.null == (id == b"null") and response.head + id + response.tail == text


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)


@given(st.dictionaries(st.text(), JSON, min_size=1, max_size=5), st.sampled_from([None, 1]), st.booleans())
@settings(derandomize=True, max_examples=300)
def test_members_are_located(value: dict[str, Any], indent: int | None, ensure_ascii: bool) -> None:
    """Each located value must parse to the member's value."""
    text = json.dumps(value, indent=indent, ensure_ascii=ensure_ascii).encode("utf-8", "surrogatepass")
    try:
        codec.parse_json(text)
    except ParseError:
        return
    spans = codec.locate_members(text)
    assert {name: json.loads(text[a:b]) for name, (a, b) in spans.items()} == value


@given(st.lists(JSON, max_size=6), st.sampled_from([None, 1]))
@settings(derandomize=True, max_examples=300)
def test_elements_are_located(value: list[Any], indent: int | None) -> None:
    text = json.dumps(value, indent=indent).encode()
    try:
        codec.parse_json(text)
    except ParseError:
        return
    assert [json.loads(text[a:b]) for a, b in codec.locate_elements(text)] == value


@given(st.sampled_from(["lines", "headers"]), st.lists(JSON, max_size=6), st.data())
@settings(derandomize=True, max_examples=200)
def test_stream_is_divided_into_texts_whatever_the_chunk_sizes(
    framing: Framing, values: list[Any], data: st.DataObject
) -> None:
    stream = b"".join(frame(framing, json.dumps(v).encode()) for v in values)
    framer, texts, position = Framer(framing, 1 << 16), [], 0
    while position < len(stream):
        size = data.draw(st.integers(1, max(1, len(stream) - position)))
        texts += framer.feed(stream[position : position + size])
        position += size
    assert [json.loads(t) for t in texts] == values and not framer.has_partial_text()


@given(st.sampled_from(["lines", "headers"]), st.integers(1, 60))
@settings(derandomize=True, max_examples=100)
def test_partial_frame_is_invalid_and_the_next_frame_is_read(framing: Framing, sent: int) -> None:
    """Guards against a cancelled call that still runs, and against misreading the frames after it."""
    text = b'{"jsonrpc":"2.0","method":"tip.send","params":{"a":1},"id":7}'
    framed = frame(framing, text)
    sent = min(sent, len(framed) - 2)
    framer = Framer(framing, 1 << 16)
    received = framer.feed(
        framed[:sent] + terminate_partial_frame(framing, framed, sent) + frame(framing, b'{"next":1}')
    )
    assert received[-1] == b'{"next":1}' and len(received) == 2
    for invalid in received[:-1]:
        with pytest.raises(ParseError):
            codec.parse_json(invalid)


@pytest.mark.parametrize(
    ("framing", "data"),
    [
        ("lines", b"x" * 101),
        ("lines", b"x" * 101 + b"\n"),
        ("headers", b"Content-Length: 101\r\n\r\n"),
        ("headers", b"x" * 5000),
        ("headers", b"A: b\r\n\r\n"),
        ("headers", b"Content-Length: -1\r\n\r\n"),
        ("headers", b"Content-Length: 1\r\nContent-Length: 1\r\n\r\n"),
        ("headers", b"Content-Length: 1e1\r\n\r\n"),
    ],
)
def test_invalid_framing_is_rejected(framing: Framing, data: bytes) -> None:
    """Guards against a peer that makes the sidecar buffer without limit."""
    framer = Framer(framing, 100)
    with pytest.raises(FramingError):
        for n in range(0, len(data), 50):
            framer.feed(data[n : n + 50])


def test_texts_before_a_framing_error_are_not_lost() -> None:
    with pytest.raises(FramingError) as caught:
        Framer("lines", 10).feed(b"1\n2\n" + b"x" * 11)
    assert caught.value.complete_texts == [b"1", b"2"]
