"""Server-sent events, as the HTML standard words them (section 9.2): where an event ends and what it says.

It owns the cutting of a byte stream into events, in time linear in its bytes however they come in pieces. It
must never change a byte of what it passes on, and it knows nothing of what events mean.

A line ends with CR LF, LF or CR, and an event with an empty line: so each event ends with one of the pairs
LF LF, LF CR and CR CR, or such a pair and the LF of its CR LF. Where that last LF comes in a later piece, it
is passed on as an empty line of the next event, which means nothing.
"""

from __future__ import annotations

import re
from collections.abc import Callable

EVENT_LIMIT = 256 * 1024  # bytes of one event that are kept while its end is awaited
END = re.compile(rb"\n\n|\n\r\n?|\r\r\n?")
LINE_END = re.compile(rb"\r\n|\n|\r")
BOM = b"\xef\xbb\xbf"
_ENDS = (b"\n\n", b"\n\r", b"\r\r")
# The name of a JSON member, any letter of which may be an escape; and the first line of an array.
_NAME = re.compile(
    b'"' + b"".join(rb"(?:%c|\\u00%02x|\\u00%02X)" % (c, c, c) for c in b"jsonrpc") + b'"',
)
_ODD = re.compile(rb"\ndata(?!: \{)")
_ARRAY = re.compile(rb"data:[ \t]*\[(?!DONE\])|data(?::[ \t]*)?[\r\n]")


class TooLong(Exception):
    """An event did not end within EVENT_LIMIT."""


def data_of(raw: bytes) -> str | None:
    """The data of one event, as a reader of events sees it; None if it has none. What is no UTF-8 becomes
    U+FFFD, as the standard has it."""
    lines = []
    for line in LINE_END.split(raw.removeprefix(BOM)):
        name, _, value = line.partition(b":")
        if name == b"data":
            lines.append(value.removeprefix(b" "))
    return b"\n".join(lines).decode("utf-8", "replace") if lines else None


def may_hold_message(piece: bytes) -> bool:
    """Whether whole events may hold a JSON-RPC message. Never says no wrongly; costs one or two passes of the
    C library over the bytes where the answer is no."""
    if (b'nrpc"' in piece or (b"\\" in piece and b"\\u00" in piece)) and _NAME.search(piece) is not None:
        return True
    # Nearly all data are objects, written after one space: where every line of data is, no array is.
    if b"\r" not in piece and piece[:7] in (b"data: {", b"event: ") and _ODD.search(piece) is None:
        return False
    return _ARRAY.search(piece) is not None


class Events:
    """Takes a stream apart: `feed` returns the bytes of the events that have ended, as one piece. Costs O(1)
    for each byte; holds less than EVENT_LIMIT and one piece."""

    __slots__ = ("_held", "_limit", "_open")

    def __init__(self, limit: int = EVENT_LIMIT) -> None:
        self._held = bytearray()
        self._limit = limit
        self._open = False  # whether the last byte held may begin the end of an event

    def feed(self, data: bytes) -> bytes:
        """Raises TooLong."""
        held = self._held
        if not held and data[-2:] == b"\n\n":  # the usual case: nothing has to be kept
            return data
        if not self._open and b"\n" not in data and b"\r" not in data:
            held += data
            if len(held) > self._limit:
                raise TooLong
            return b""
        begin = max(0, len(held) - 1)
        held += data
        end = max(held.rfind(pair, begin) for pair in _ENDS)
        if end < 0:
            self._open = held.endswith((b"\n", b"\r"))
            if len(held) > self._limit:
                raise TooLong
            return b""
        end += 2
        if held[end - 1 : end + 1] == b"\r\n":
            end += 1
        whole = bytes(held[:end])
        del held[:end]
        self._open = held.endswith((b"\n", b"\r"))
        if len(held) > self._limit:
            raise TooLong
        return whole

    def rest(self) -> bytes:
        """What has not ended, given out."""
        rest = bytes(self._held)
        self._held.clear()
        return rest

    @property
    def between(self) -> bool:
        """Whether the stream stands between two events."""
        return not self._held


def each(whole: bytes) -> list[bytes]:
    """The single events of a piece that ends with the end of an event."""
    found, start = [], 0
    for end in END.finditer(whole):
        found.append(whole[start : end.end()])
        start = end.end()
    return found


def _suspects(whole: bytes) -> list[int]:
    """Where something stands in a piece that may belong to a message."""
    found = [match.start() for match in _ARRAY.finditer(whole)]
    if b"jsonrpc" in whole or b"\\u00" in whole:
        found += [match.start() for match in _NAME.finditer(whole)]
    return sorted(found)


def _begin(whole: bytes, at: int, least: int) -> int:
    """Where the event that holds this position begins."""
    begin = max(whole.rfind(pair, least, at) for pair in _ENDS)
    if begin < 0:
        return least
    begin += 2
    return begin + 1 if whole[begin - 1 : begin + 1] == b"\r\n" else begin


class Splitter:
    """Keeps some events of a stream back: `take` is shown each that may hold a JSON-RPC message, and says
    whether it keeps it. All others are passed on, byte for byte; in the usual case a whole piece at once, and
    else what lies between two of those shown. Costs O(1) for each byte."""

    __slots__ = ("_events", "_half_end", "_take")

    def __init__(self, take: Callable[[bytes], bool]) -> None:
        self._take, self._events = take, Events()
        self._half_end = False  # what was kept back last ended with CR: an LF that follows belongs to it

    def feed(self, data: bytes) -> bytes:
        """What of the stream may be passed on now. Raises TooLong."""
        if self._half_end and data:
            data, self._half_end = data.removeprefix(b"\n"), False
        whole = self._events.feed(data)
        if not whole or not may_hold_message(whole):
            return whole
        passed, done = [], 0  # up to where the piece has been dealt with
        for at in _suspects(whole):
            if at < done:
                continue
            begin = _begin(whole, at, done)
            ends = END.search(whole, at)
            end = ends.end() if ends is not None else len(whole)
            if self._take(whole[begin:end]):
                passed.append(whole[done:begin])
                done = end
                self._half_end = end == len(whole) and whole.endswith(b"\r")
            else:
                passed.append(whole[done:end])
                done = end
        passed.append(whole[done:])
        return b"".join(passed)

    def rest(self) -> bytes:
        """What was left without an end of event when the stream ended; a reader of events drops it."""
        return self._events.rest()

    @property
    def between(self) -> bool:
        return self._events.between
