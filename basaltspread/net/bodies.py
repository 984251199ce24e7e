"""A request's body as it arrives, in pieces of one size: no large block is ever copied or grown."""

from __future__ import annotations

PIECE_SIZE = 32 * 1024 - 64  # bytes: whole pages with its header


class Body:
    """Appending costs O(1) for each byte; the last piece alone is copied, once, as it is full."""

    __slots__ = ("_last", "_whole", "size")

    def __init__(self) -> None:
        self.size = 0
        self._whole: list[bytes] = []
        self._last = bytearray()

    def append(self, data: bytes | bytearray) -> None:
        self.size += len(data)
        self._last += data
        while len(self._last) >= PIECE_SIZE:
            self._whole.append(bytes(self._last[:PIECE_SIZE]))
            del self._last[:PIECE_SIZE]

    def pieces(self) -> tuple[bytes, ...]:
        """All of it; nothing may be appended any more."""
        if self._last:
            self._whole.append(bytes(self._last))
            self._last = bytearray()
        return tuple(self._whole)
