"""Server-sent events, as the HTML standard words them (section 9.2): where an event ends and what it says.

It owns the cutting of a byte stream into events, in time linear in its bytes however they come in pieces. It
must never change a byte of them, and it knows nothing of what events mean.

A line ends with CR LF, LF or CR, and an event with an empty line: so each event ends with one of the pairs
LF LF, LF CR and CR CR, or such a pair and the LF of its CR LF. Where that last LF comes in a later piece, it
counts as an empty line of the next event, which means nothing.
"""

from __future__ import annotations

import re

EVENT_LIMIT = 256 * 1024  # bytes of one event that are kept while its end is awaited
END = re.compile(rb"\n\n|\n\r\n?|\r\r\n?")
LINE_END = re.compile(rb"\r\n|\n|\r")
BOM = b"\xef\xbb\xbf"
TAIL_SIZE = 1024  # bytes at the end of a stream that say whether it is whole
# The event `[DONE]` and its empty line; comments and empty lines may follow, the last one cut off or not.
_FINAL_EVENT = re.compile(
    rb"(?:\A|[\r\n])data:[ \t]*\[DONE\][ \t]*(?:\r\n|[\r\n])"
    rb"(?:(?!data)[^\r\n]+(?:\r\n|[\r\n]))*"
    rb"[\r\n](?:[\r\n]|:[^\r\n]*(?:[\r\n]|\Z))*\Z"
)
ENDS = (b"\n\n", b"\n\r", b"\r\r")


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
        end = max(held.rfind(pair, begin) for pair in ENDS)
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
    def held(self) -> int:
        """The bytes that are kept until their event has ended."""
        return len(self._held)

    @property
    def between(self) -> bool:
        """Whether the stream stands between two events."""
        return not self._held


def tail_of(tail: bytes, data: bytes) -> bytes:
    """The last TAIL_SIZE bytes of a stream, as `data` follows what ended with `tail`. Costs O(TAIL_SIZE)."""
    return (tail + data)[-TAIL_SIZE:]


def ends_whole(tail: bytes) -> bool:
    """Whether a stream that ends with these bytes has come to the event that its protocol names as the last.
    Its framing has to have come to its end as well: a last chunk alone is no end of an answer."""
    return _FINAL_EVENT.search(tail) is not None


def each(whole: bytes) -> list[bytes]:
    """The single events of a piece that ends with the end of an event."""
    found, start = [], 0
    for end in END.finditer(whole):
        found.append(whole[start : end.end()])
        start = end.end()
    return found
