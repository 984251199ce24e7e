"""The reading side of a connection: how much is taken of it at once, and how long it is waited for.

Whoever reads decides on the size of a piece; what is not read stays in the system's buffer, whose window then
holds the peer back.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

READ_SIZE = 65536  # bytes of one piece, at the most
UNREAD_LIMIT = 4096  # bytes that may wait here unread before reading pauses, twice over
ONE_PIECE = 1  # the same where reading pauses after each piece
PieceSize = Callable[[], int]
_scratch = memoryview(bytearray(READ_SIZE))  # one for all: what is read into it is copied out at once


def largest_piece() -> int:
    return READ_SIZE


class Silence(TimeoutError):
    """Nothing came in time. Not a plain TimeoutError, as ETIMEDOUT is, by which a connection breaks."""


class TimedReader(asyncio.StreamReader):
    """Counts what comes in, so that bytes that nobody asked for are noticed, and bounds the waits for it by
    one alarm: that is put off, not set anew, by each piece that comes. A stream of many pieces would else
    spend more on the loop's timers than on passing its pieces on."""

    heard = 0
    ended = False  # its close or break has come, whatever of what came before is still unread
    on_bytes: Callable[[int], None] | None = None  # told how many bytes come, as they do
    _bell: asyncio.Future[None] | None = None  # rings as something comes, ends or is late
    _alarm: asyncio.TimerHandle | None = None
    _by = 0.0

    def feed_data(self, data: Any) -> None:
        self.heard += len(data)
        if self.on_bytes is not None:
            self.on_bytes(len(data))
        super().feed_data(data)
        self._ring()

    def feed_eof(self) -> None:
        self.ended = True
        super().feed_eof()
        self._ring()

    def set_exception(self, exc: Exception) -> None:
        self.ended = True
        super().set_exception(exc)
        self._ring()

    def _ring(self) -> None:
        if self._bell is not None and not self._bell.done():
            self._bell.set_result(None)

    def _late(self, loop: asyncio.AbstractEventLoop) -> None:
        self._alarm = None
        if self._bell is None or self._bell.done():
            return
        if loop.time() < self._by:
            self._alarm = loop.call_at(self._by, self._late, loop)
        else:
            self._ring()

    async def piece(self, taken: int, patience: float | None) -> bytes:
        """What comes next, within so many seconds; `taken` bytes have been read before. Raises Silence, or
        as the connection broke; nothing at its end."""
        if self._nothing(taken):
            loop = asyncio.get_running_loop()
            bell = self._bell = loop.create_future()
            if patience is not None:
                self._by = loop.time() + patience
                if self._alarm is not None and self._alarm.when() > self._by:
                    self.rest()
                if self._alarm is None:
                    self._alarm = loop.call_at(self._by, self._late, loop)
            else:
                self.rest()
            try:
                await bell
            finally:
                self._bell = None
            if self._nothing(taken):
                raise Silence
        return await self.read(READ_SIZE)

    def _nothing(self, taken: int) -> bool:
        return self.heard == taken and not self.at_eof() and self.exception() is None

    def rest(self) -> None:
        """Nothing is waited for: no alarm stays behind."""
        if self._alarm is not None:
            self._alarm.cancel()
            self._alarm = None


class PieceProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Feeds a reader with pieces of a bounded size: asyncio's own reads 256 KiB at a time."""

    def __init__(
        self,
        reader: TimedReader,
        piece: PieceSize,
        loop: asyncio.AbstractEventLoop,
        connected: Any = None,
    ) -> None:
        super().__init__(reader, connected, loop=loop)
        self._feeds, self._piece = reader, piece

    def get_buffer(self, sizehint: int) -> memoryview:
        return _scratch[: min(READ_SIZE, self._piece())]

    def buffer_updated(self, nbytes: int) -> None:
        self._feeds.feed_data(_scratch[:nbytes])


async def connect(piece: PieceSize = largest_piece, **where: Any) -> tuple[TimedReader, asyncio.StreamWriter]:
    """asyncio.open_connection with that reader."""
    loop = asyncio.get_running_loop()
    reader = TimedReader(limit=UNREAD_LIMIT, loop=loop)
    protocol = PieceProtocol(reader, piece, loop)
    transport, _ = await loop.create_connection(lambda: protocol, **where)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
