"""Which events of an engine's stream may hold a JSON-RPC message, and the taking apart of both kinds.

It owns the look at bytes that are passed on, which has to be cheap: nearly all events are none of ours. It
must never miss one that is, nor change a byte of those that are not.
"""

from __future__ import annotations

import re
from collections.abc import Callable

from basaltspread.structures.events import END, ENDS, EVENT_LIMIT, Events, TooLong, data_of, each

__all__ = ["END", "EVENT_LIMIT", "Events", "Splitter", "TooLong", "data_of", "each", "may_hold_message"]
# The name of a JSON member, any letter of which may be an escape; and the first line of an array.
_NAME = re.compile(
    b'"' + b"".join(rb"(?:%c|\\u00%02x|\\u00%02X)" % (c, c, c) for c in b"jsonrpc") + b'"',
)
_ODD = re.compile(rb"\ndata(?!: \{)")
_ARRAY = re.compile(rb"data:[ \t]*\[(?!DONE\])|data(?::[ \t]*)?[\r\n]")


def may_hold_message(piece: bytes) -> bool:
    """Whether whole events may hold a JSON-RPC message. Never says no wrongly; costs one or two passes of the
    C library over the bytes where the answer is no."""
    if (b'nrpc"' in piece or (b"\\" in piece and b"\\u00" in piece)) and _NAME.search(piece) is not None:
        return True
    # Nearly all data are objects, written after one space: where every line of data is, no array is.
    if b"\r" not in piece and piece[:7] in (b"data: {", b"event: ") and _ODD.search(piece) is None:
        return False
    return _ARRAY.search(piece) is not None


def _suspects(whole: bytes) -> list[int]:
    """Where something stands in a piece that may belong to a message."""
    found = [match.start() for match in _ARRAY.finditer(whole)]
    if b"jsonrpc" in whole or b"\\u00" in whole:
        found += [match.start() for match in _NAME.finditer(whole)]
    return sorted(found)


def _begin(whole: bytes, at: int, least: int) -> int:
    """Where the event that holds this position begins."""
    begin = max(whole.rfind(pair, least, at) for pair in ENDS)
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

    @property
    def held(self) -> int:
        """The bytes that are kept until their event has ended."""
        return self._events.held
