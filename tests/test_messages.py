"""What an engine's stream holds, as bytes: events however they are cut, and messages read strictly."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from basaltspread.endings import ToolFault
from basaltspread.net import jsonrpc, sse

LINE_ENDS = st.sampled_from([b"\n", b"\r\n", b"\r"])
CALL = {"jsonrpc": "2.0", "id": 1, "method": "tools/call", "params": {"name": "x"}}
SETTINGS = hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
NAMES = [b'"jsonrpc"', b'"json\\u0072pc"', b'"\\u006a\\u0073\\u006F\\u006e\\u0072\\u0070\\u0063"']
JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-jsonrpc.EXACT, jsonrpc.EXACT)
    | st.floats(allow_nan=False, allow_infinity=False) | st.text(st.characters(exclude_categories=["Cs"])),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(
        st.text(st.characters(exclude_categories=["Cs"])), inner, max_size=4
    ),
    max_leaves=20,
)  # fmt: skip


@st.composite
def streams(draw: st.DrawFn) -> tuple[bytes, list[bytes], list[bytes]]:
    """A stream, its events that hold messages, and what is left without them."""
    stream = b""
    kept: list[bytes] = []
    passed: list[bytes] = []
    for _ in range(draw(st.integers(1, 6))):
        end = draw(LINE_ENDS)
        kinds = ["plain", "comment", "done", "call", "escaped", "batch", "lines", "quoted"]
        kind = draw(st.sampled_from(kinds))
        call = json.dumps(CALL).encode()
        data = {
            "plain": b'data: {"choices":[]}', "comment": b": jsonrpc", "done": b"data: [DONE]",
            "call": b"data:" + call,
            "escaped": b"data: " + call.replace(NAMES[0], draw(st.sampled_from(NAMES))),
            "batch": b"data: [" + call + b"]", "lines": b"data:" + end + b"data: [" + end + b"data: 1]",
            "quoted": b'data: {"a":"\\"jsonrpc\\""}',
        }[kind]  # fmt: skip
        raw = data + end + end
        (kept if kind in ("call", "escaped", "batch", "lines") else passed).append(raw)
        stream += raw
    return stream, kept, passed


@SETTINGS
@given(streams(), st.data())
def test_a_stream_is_split_alike_however_it_is_cut(
    drawn: tuple[bytes, list[bytes], list[bytes]], data: st.DataObject
) -> None:
    stream, kept, passed = drawn
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=12)))
    took: list[bytes] = []

    def take(raw: bytes) -> bool:
        value = jsonrpc.load(sse.data_of(raw) or "null") if sse.data_of(raw) != "[DONE]" else None
        if jsonrpc.is_message(value):
            took.append(raw)
            return True
        return False

    splitter = sse.Splitter(take)
    parts = [splitter.feed(stream[a:b]) for a, b in zip([0, *cuts], [*cuts, len(stream)], strict=True)]
    assert b"".join(parts) + splitter.rest() == b"".join(passed)
    # An LF that came after its CR was seen as the end may be missing from an event, and means nothing.
    assert [raw.rstrip(b"\r\n") for raw in took] == [raw.rstrip(b"\r\n") for raw in kept]


def test_an_event_without_end_is_not_kept_for_ever() -> None:
    for size in (1000, sse.EVENT_LIMIT + 1):
        events = sse.Events()
        with pytest.raises(sse.TooLong):
            for _ in range(sse.EVENT_LIMIT // size + 2):
                events.feed(b"x" * size)


@pytest.mark.parametrize(
    ("raw", "data"),
    [
        (b"data: a\n\n", "a"), (b"data:a\r\ndata: b\r\n\r\n", "a\nb"), (b": comment\n\n", None),
        (b"event: x\ndata: \n\n", ""), (b"data: \xff\n\n", "\ufffd"), (b"data\n\n", ""),
        (b"\xef\xbb\xbfdata: a\n\n", "a"), (b" data: a\n\n", None), (b"data:  a\r\r", " a"),
    ],
)  # fmt: skip
def test_the_data_of_an_event(raw: bytes, data: str | None) -> None:
    assert sse.data_of(raw) == data


@SETTINGS
@given(JSON)
def test_what_is_read_and_written_anew_is_the_same(value: Any) -> None:
    text = jsonrpc.encode(value).decode()
    again = jsonrpc.load(text)
    assert jsonrpc.flaw(again) == "" and jsonrpc.encode(again).decode() == text
    assert json.loads(text) == value


@SETTINGS
@given(st.text(max_size=200) | st.binary(max_size=200).map(lambda b: b.decode("latin-1")))
def test_any_text_is_read_or_refused(text: str) -> None:
    try:
        value = jsonrpc.load(text)
    except ValueError:
        return
    if jsonrpc.is_message(value):
        assert jsonrpc.read(value).messages


@SETTINGS
@given(JSON, st.sampled_from(["jsonrpc", "id", "method", "params", "result", "error"]))
def test_any_value_in_a_members_place_is_answered_or_dropped(value: Any, member: str) -> None:
    """Whatever stands there: a request keeps an id that can be answered, or nothing has one."""
    for message in (CALL, {"jsonrpc": "2.0", "id": 1, "result": {}}):
        loaded = jsonrpc.load(jsonrpc.encode({**message, member: value}).decode())
        (found,) = jsonrpc.read(loaded).messages
        if isinstance(found, jsonrpc.Request):
            assert jsonrpc.ident_of(found.ident) == found.ident
            assert found.fault is not None or isinstance(found.method, str)
        if isinstance(found, jsonrpc.Response) and found.fault is None:
            assert len({"result", "error"} & found.message.keys()) == 1


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ('{"jsonrpc":"2.0","id":1,"id":2,"method":"ping"}', jsonrpc.Broken),
        ('{"jsonrpc":"2.0","id":1,"method":"ping","method":"ping"}', ToolFault.INVALID),
        ('{"jsonrpc":"2.0","id":1,"method":"ping","params":{"a":{"b":1,"b":1}}}', ToolFault.INVALID),
        ('{"jsonrpc":"2.0","id":1,"method":"ping","params":{"a":1,"\\u0061":1}}', ToolFault.INVALID),
        ('{"jsonrpc":"2.0","id":1,"method":"ping","params":{"a":9007199254740992}}', ToolFault.INVALID),
        ('{"jsonrpc":"2.0","id":1,"method":"ping","params":{"a":-1e999}}', ToolFault.INVALID),
        ('{"jsonrpc":"2.0","id":1,"method":"ping","params":{"a":NaN}}', ToolFault.INVALID),
        ('{"jsonrpc":"2.0","id":1,"method":"ping","params":["\\udead"]}', ToolFault.INVALID),
        ('{"jsonrpc":"2.0","id":1,"method":"ping","params":' + "[" * 65 + "]" * 65 + "}", ToolFault.INVALID),
        ('{"jsonrpc":"2.0","id":1,"method":"ping","params":1}', ToolFault.PARAMS),
        ('{"jsonrpc":"2.0","id":1,"method":"ping"}', None),
        ('{"jsonrpc":"2.0","id":9007199254740991.0,"method":"ping","params":["\\ud83d\\ude00"]}', None),
    ],
)
def test_what_two_readers_may_read_differently(text: str, fault: Any) -> None:
    (found,) = jsonrpc.read(jsonrpc.load(text)).messages
    if fault is jsonrpc.Broken:
        assert isinstance(found, jsonrpc.Broken)
    else:
        assert isinstance(found, jsonrpc.Request) and found.fault is fault
