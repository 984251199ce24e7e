"""The framing of a body that is sent in chunks (RFC 9112, section 7.1): where a chunk begins and how large it
says it is.

It reads framing alone, as bytes come, and changes none. What it can't read it leaves to the HTTP parser.
"""

from __future__ import annotations

LINE_LIMIT = 256  # bytes of a size line with its extensions
_LINE_END = b"\r\n"


class ChunkFraming:
    """Follows one body from its first byte on. Costs O(1) for each chunk and O(1) for each piece; holds less
    than LINE_LIMIT bytes and one size line."""

    __slots__ = ("_left", "_line", "_most", "_over", "payload", "too_large")

    def __init__(self, most: int) -> None:
        """A chunk that declares more than `most` bytes is too large; nothing behind it is followed."""
        self.payload = 0  # bytes that the chunks before the present one, and this one, have declared
        self.too_large = False  # one is, which does not count in `payload`
        self._most = most
        self._left = 0  # bytes to come of the chunk that has begun, its line end among them
        self._line = b""  # what has come of the next size line
        self._over = False  # the last chunk has begun, or the framing can't be read

    def feed(self, data: bytes) -> None:
        at, size = 0, len(data)
        while at < size and not self._over:
            if self._left:
                taken = min(self._left, size - at)
                self._left -= taken
                at += taken
                continue
            end = data.find(b"\n", at)
            self._line += data[at : end + 1 if end >= 0 else size]
            if len(self._line) > LINE_LIMIT:
                self._over = True
            if end < 0 or self._over:
                return
            at = end + 1
            self._begin_chunk()

    def _begin_chunk(self) -> None:
        line, self._line = self._line, b""
        try:
            declared = int(line.split(b";")[0].strip(), 16)
        except ValueError:
            self._over = True
            return
        self.too_large = declared > self._most
        self._over = declared <= 0 or self.too_large
        if not self._over:
            self.payload += declared
            self._left = declared + len(_LINE_END)

    @property
    def inside(self) -> bool:
        """Whether something has begun that has not ended: a chunk, its size line, or the end of the body."""
        return bool(self._left or self._line or self._over)
