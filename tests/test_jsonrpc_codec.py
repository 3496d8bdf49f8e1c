"""JSON-RPC texts: what is a call, what isn't, and that they go on byte for byte."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from zinclever.jsonrpc import codec
from zinclever.jsonrpc.codec import Batch, Call, Invalid, Noise, ParseError
from zinclever.jsonrpc.framing import Framer, Framing, FramingError, frame, spoil


def call(text: bytes) -> Call:
    told = codec.read_request(text, 10)
    assert isinstance(told, Call), told
    return told


def code(text: bytes) -> int:
    told = codec.read_request(text, 10)
    assert isinstance(told, Invalid), told
    return told.code


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
    """Guards against a response that its client can't match: ``1``, ``1.0`` and ``"1"`` are three ids."""
    told = call(b'{"jsonrpc" : "2.0", "id": ' + id + b' , "method":"m"}')
    assert told.id == id
    assert told.head + b"7" + told.tail == b'{"jsonrpc" : "2.0", "id": 7 , "method":"m"}'


def test_ids_that_are_the_same() -> None:
    ids = [
        call(b'{"jsonrpc":"2.0","method":"m","id":%b}' % x).identity
        for x in (b"1", b"1.0", b'"1"', b"null", b'"\\u0031"')
    ]
    assert ids[2] == ids[4] and len(set(ids)) == 4


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
def test_what_is_no_call(text: bytes, expected: int) -> None:
    """Guards against a text that the sidecar and the endpoint behind it read differently."""
    assert code(text) == expected


def test_the_error_bears_the_id_where_it_can_be_told() -> None:
    told = codec.read_request(b'{"jsonrpc":"2.0","method":1,"id":"x"}', 10)
    assert isinstance(told, Invalid) and told.id == b'"x"'


def test_numbers_of_any_length_go_on_as_written() -> None:
    """Guards against an amount that is rounded on its way."""
    long = b"1" * 400
    told = call(b'{"jsonrpc":"2.0","method":"m","params":[%b,1e999,0.10],"id":%b}' % (long, long))
    assert told.id == long and b"[%b,1e999,0.10]" % long in told.head


def test_batches_are_read_one_by_one() -> None:
    text = b'[ {"jsonrpc":"2.0","method":"a","id":1} , 5, [ ], {"jsonrpc":"2.0","method":"b"} ]'
    told = codec.read_request(text, 10)
    assert isinstance(told, Batch)
    a, five, inner, b = told.calls
    assert isinstance(a, Call) and a.method == "a" and a.id == b"1"
    assert isinstance(five, Invalid) and isinstance(inner, Invalid)
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
def test_keys_are_found(pointer: str, params: Any, found: str | None) -> None:
    assert codec.point(params, codec.parse_json_pointer(pointer)) == found


@pytest.mark.parametrize("pointer", ["", "key", "/a~2", "/a~"])
def test_what_is_no_pointer(pointer: str) -> None:
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
def test_what_is_no_response(text: bytes) -> None:
    with pytest.raises(Noise):
        codec.read_response(text)


@pytest.mark.parametrize(
    ("id", "own"),
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
def test_whose_response_it_is(id: bytes, own: int | None) -> None:
    text = b'{"jsonrpc":"2.0","id":%b,"result":1}' % id
    if id == b"07":
        with pytest.raises(Noise):
            codec.read_response(text)
        return
    told = codec.read_response(text)
    assert told.id == own and told.null == (id == b"null") and told.head + id + told.tail == text


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)


@given(st.dictionaries(st.text(), JSON, min_size=1, max_size=5), st.sampled_from([None, 1]), st.booleans())
@settings(derandomize=True, max_examples=300)
def test_members_stand_where_they_are_said_to(value: dict[str, Any], indent: int | None, plain: bool) -> None:
    """Against an oracle that reads each value by itself."""
    text = json.dumps(value, indent=indent, ensure_ascii=plain).encode("utf-8", "surrogatepass")
    try:
        codec.load(text)
    except ParseError:
        return
    spans = codec.members(text)
    assert {name: json.loads(text[a:b]) for name, (a, b) in spans.items()} == value


@given(st.lists(JSON, max_size=6), st.sampled_from([None, 1]))
@settings(derandomize=True, max_examples=300)
def test_elements_stand_where_they_are_said_to(value: list[Any], indent: int | None) -> None:
    text = json.dumps(value, indent=indent).encode()
    try:
        codec.load(text)
    except ParseError:
        return
    assert [json.loads(text[a:b]) for a, b in codec.elements(text)] == value


@given(st.sampled_from(["lines", "headers"]), st.lists(JSON, max_size=6), st.data())
@settings(derandomize=True, max_examples=200)
def test_texts_come_whole_however_cut(framing: Framing, values: list[Any], data: st.DataObject) -> None:
    stream = b"".join(frame(framing, json.dumps(v).encode()) for v in values)
    framer, texts, at = Framer(framing, 1 << 16), [], 0
    while at < len(stream):
        step = data.draw(st.integers(1, max(1, len(stream) - at)))
        texts += framer.feed(stream[at : at + step])
        at += step
    assert [json.loads(t) for t in texts] == values and not framer.partial()


@given(st.sampled_from(["lines", "headers"]), st.integers(1, 60))
@settings(derandomize=True, max_examples=100)
def test_a_text_cut_short_is_no_text_and_the_next_is_read(framing: Framing, at: int) -> None:
    """Guards against a cancelled call that runs after all, and against neighbours that are read wrongly."""
    text = b'{"jsonrpc":"2.0","method":"tip.send","params":{"a":1},"id":7}'
    whole = frame(framing, text)
    at = min(at, len(whole) - 2)
    framer = Framer(framing, 1 << 16)
    came = framer.feed(whole[:at] + spoil(framing, whole, at) + frame(framing, b'{"next":1}'))
    assert came[-1] == b'{"next":1}' and len(came) == 2
    for one in came[:-1]:
        with pytest.raises(ParseError):
            codec.load(one)


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
def test_what_cannot_be_cut_into_texts(framing: Framing, data: bytes) -> None:
    """Guards against a peer that makes the sidecar hold what it never ends."""
    framer = Framer(framing, 100)
    with pytest.raises(FramingError):
        for n in range(0, len(data), 50):
            framer.feed(data[n : n + 50])


def test_texts_before_the_one_that_is_too_long_are_not_lost() -> None:
    with pytest.raises(FramingError) as caught:
        Framer("lines", 10).feed(b"1\n2\n" + b"x" * 11)
    assert caught.value.before == [b"1", b"2"]
