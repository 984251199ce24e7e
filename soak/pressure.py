"""Clients that cost a gateway memory or time: they write slowly, stop half-way, send heads of very many
fields, read long answers slowly, or send small requests at full speed.

`python -m soak.pressure ADDRESS KIND CLIENTS SECONDS` runs them as a process of their own, so that what they
cost is not taken from the client whose answers are timed. They must never know what a gateway thinks.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import socket
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from enum import Enum

READ_SIZE = 65536
BODY_LIMIT = 256 * 1024
STOPPED_AT = 250 * 1024  # bytes of a body that is never finished
PIECE = 60 * 1024  # bytes that such a client writes at once
FIELDS = 4400  # of a head: 31 KB of them
SMALL_RECEIVE_BUFFER = 4096  # bytes that the system keeps for a client that reads slowly
SLOW_READ, SLOW_READ_PAUSE = 512, 0.1  # bytes, s
SLOW_WRITE, SLOW_WRITE_PAUSE = 400, 0.1  # bytes, s
ANSWER_PATIENCE = 8.0  # s
CONNECT_PATIENCE = 2.0  # s
HONEST_PAUSE = 0.1  # s between two requests of an honest client
BACK_AFTER = 0.05  # s after which a client that was closed comes again
FLOOD_BATCH = 200  # requests written at once


class PressureKind(Enum):
    """What a client does to a gateway."""

    HONEST = "honest"  # asks, and takes its answer; what it saw is printed
    STOPPED_BODY = "stopped_body"
    MANY_FIELDS = "many_fields"
    SLOW_READER = "slow_reader"
    SLOW_WRITER = "slow_writer"
    ONE_BYTE = "one_byte"
    HEALTH_FLOOD = "health_flood"
    CHUNK_FLOOD = "chunk_flood"  # a body in chunks of one byte
    GARBAGE_FLOOD = "garbage_flood"
    ID_FLOOD = "id_flood"  # whole requests, each under a new id, none waited for
    PIPELINE_THEN_CLOSE = "pipeline_then_close"


Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]
_numbers = itertools.count()


def request_head(request: str, length: int | None, left_ms: int = 3000, extra: str = "") -> bytes:
    """The head of a whole request; a body of unknown length is sent in chunks."""
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    return (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {request}\r\n"
        f"X-Service-Class: ask\r\nX-Account: acme\r\nX-Session-Key: s{request}\r\n{extra}"
        f"X-Time-Left-Ms: {left_ms}\r\nX-Facts: prompt_len=500,max_out=50\r\n{framing}\r\n\r\n"
    ).encode()


def new_id(kind: PressureKind) -> str:
    return f"{kind.value}-{os.getpid()}-{next(_numbers)}"


def asked_for(events: int, size: int, pad: int = 0) -> bytes:
    """A body that tells the stand-in writers how long an answer to give."""
    return json.dumps({"events": events, "size": size, "pad": "p" * pad}).encode()


class PressureClients:
    """`count` clients of one kind, each of which comes again as it is closed, until `until`."""

    def __init__(self, address: str, kind: PressureKind, count: int, until: float) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._kind, self._count, self._until = kind, count, until
        self.sent = 0
        self.answers: list[tuple[int, float]] = []  # status, or 0 for none, and s
        self._behave: dict[PressureKind, Callable[[Stream], Awaitable[None]]] = {
            PressureKind.HONEST: self._honest, PressureKind.STOPPED_BODY: self._stopped_body,
            PressureKind.MANY_FIELDS: self._many_fields, PressureKind.SLOW_READER: self._slow_reader,
            PressureKind.SLOW_WRITER: self._slow_writer, PressureKind.ONE_BYTE: self._one_byte,
            PressureKind.HEALTH_FLOOD: self._health_flood, PressureKind.CHUNK_FLOOD: self._chunk_flood,
            PressureKind.GARBAGE_FLOOD: self._garbage_flood, PressureKind.ID_FLOOD: self._id_flood,
            PressureKind.PIPELINE_THEN_CLOSE: self._pipeline_then_close,
        }  # fmt: skip

    async def run(self) -> None:
        await asyncio.gather(*(self._client() for _ in range(self._count)))

    def _left(self) -> float:
        return self._until - time.monotonic()

    async def _client(self) -> None:
        while self._left() > 0:
            began = time.monotonic()
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(self._left() + ANSWER_PATIENCE), self._connected() as stream:
                    await self._behave[self._kind](stream)
                    continue
            if self._kind is PressureKind.HONEST:
                self.answers.append((0, time.monotonic() - began))
            await asyncio.sleep(BACK_AFTER)

    @contextlib.asynccontextmanager
    async def _connected(self) -> AsyncIterator[Stream]:
        raw = socket.socket()
        raw.setblocking(False)
        if self._kind is PressureKind.SLOW_READER:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        try:
            async with asyncio.timeout(CONNECT_PATIENCE):
                await asyncio.get_running_loop().sock_connect(raw, (self._host, self._port))
        except BaseException:
            raw.close()
            raise
        limit = SMALL_RECEIVE_BUFFER if self._kind is PressureKind.SLOW_READER else READ_SIZE
        reader, writer = await asyncio.open_connection(sock=raw, limit=limit)
        try:
            yield reader, writer
        finally:
            writer.transport.abort()

    async def _until_closed(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, self._left())):
                while await reader.read(READ_SIZE):
                    pass

    async def _honest(self, stream: Stream) -> None:
        reader, writer = stream
        began, body = time.monotonic(), asked_for(3, 100, pad=8000)
        writer.write(request_head(new_id(self._kind), len(body)) + body)
        async with asyncio.timeout(ANSWER_PATIENCE):
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ")[1])
            if status == 200:
                await reader.readuntil(b"0\r\n\r\n")
        self.answers.append((status, time.monotonic() - began))
        await asyncio.sleep(HONEST_PAUSE)

    async def _stopped_body(self, stream: Stream) -> None:
        reader, writer = stream
        writer.write(request_head(new_id(self._kind), BODY_LIMIT))
        for at in range(0, STOPPED_AT, PIECE):
            writer.write(b"p" * min(PIECE, STOPPED_AT - at))
            await writer.drain()
        await self._until_closed(reader)

    async def _many_fields(self, stream: Stream) -> None:
        reader, writer = stream
        fields = "".join(f"a{n % 1000}:\r\n" for n in range(FIELDS))
        writer.write(request_head(new_id(self._kind), BODY_LIMIT, extra=fields))
        await self._until_closed(reader)

    async def _slow_reader(self, stream: Stream) -> None:
        reader, writer = stream
        body = asked_for(40, 60_000)
        writer.write(request_head(new_id(self._kind), len(body)) + body)
        while self._left() > 0 and await reader.read(SLOW_READ):
            await asyncio.sleep(SLOW_READ_PAUSE)

    async def _slow_writer(self, stream: Stream) -> None:
        reader, writer = stream
        body = asked_for(3, 100, pad=BODY_LIMIT - 1000)
        writer.write(request_head(new_id(self._kind), len(body)))
        for at in range(0, len(body), SLOW_WRITE):
            writer.write(body[at : at + SLOW_WRITE])
            await asyncio.sleep(SLOW_WRITE_PAUSE)
            if self._left() < 0 or reader.at_eof():
                return

    async def _one_byte(self, stream: Stream) -> None:
        stream[1].write(b"P")
        await self._until_closed(stream[0])

    async def _flood(self, stream: Stream, batch: Callable[[], bytes]) -> None:
        """Writes at full speed; what is answered is read and dropped."""
        reader, writer = stream
        dropped = asyncio.create_task(self._until_closed(reader))
        try:
            while self._left() > 0 and not dropped.done():
                writer.write(batch())
                self.sent += FLOOD_BATCH
                await writer.drain()
        finally:
            dropped.cancel()

    async def _health_flood(self, stream: Stream) -> None:
        await self._flood(stream, lambda: b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n" * FLOOD_BATCH)

    async def _chunk_flood(self, stream: Stream) -> None:
        stream[1].write(request_head(new_id(self._kind), None))
        await self._flood(stream, lambda: b"1\r\np\r\n" * FLOOD_BATCH)

    async def _garbage_flood(self, stream: Stream) -> None:
        await self._flood(stream, lambda: b"\x00garbage\r\n\r\n" * FLOOD_BATCH)

    async def _id_flood(self, stream: Stream) -> None:
        def batch() -> bytes:
            return b"".join(request_head(new_id(self._kind), 2) + b"{}" for _ in range(FLOOD_BATCH))

        await self._flood(stream, batch)

    async def _pipeline_then_close(self, stream: Stream) -> None:
        body = asked_for(3, 100, pad=2000)
        for _ in range(20):
            stream[1].write(request_head(new_id(self._kind), len(body)) + body)
        await stream[1].drain()
        await asyncio.sleep(BACK_AFTER)


async def run_clients(address: str, kind: PressureKind, count: int, seconds: float) -> PressureClients:
    """All of one kind, to their end."""
    clients = PressureClients(address, kind, count, time.monotonic() + seconds)
    await clients.run()
    return clients


def main() -> None:
    address, kind, count, seconds = sys.argv[1:]
    clients = asyncio.run(run_clients(address, PressureKind(kind), int(count), float(seconds)))
    print(json.dumps({"sent": clients.sent, "answers": clients.answers}))


if __name__ == "__main__":
    main()
