"""Stand-ins for clients: most are plain, some leave, stop half-way, flood or write slowly.

They write down what they saw and when. They must never know what a gateway thinks.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from soak.observations import ClientKind, ClientRequest, Observations

READ_SIZE = 65536
ANSWER_PATIENCE = 9.0  # s after which a client that waits gives up for good
RETRY_PAUSE = (0.05, 0.4)  # s before a client asks again
REST = (0.0, 0.6)  # s between two requests on a connection
FLOOD = 3 * 1024 * 1024  # bytes
FLOOD_STAYS = 0.05  # s
LEAVES_AFTER = (0.0, 0.4)  # s
TIME_LEFT = (1.0, 3.0)  # s
SLOW_WRITE = (0.3, 1.5)  # s from a request's first byte to its last
STAYS_HALFWAY = 4.0  # s
CLASSES = ("ask", "order", "draft")
USUAL: dict[ClientKind, float] = {
    ClientKind.PLAIN: 0.86, ClientKind.LEAVES: 0.06, ClientKind.STOPS_HALFWAY: 0.02, ClientKind.FLOODS: 0.01,
    ClientKind.WRITES_SLOWLY: 0.05,
}  # fmt: skip
IN_TROUBLE = 0.6  # share of the requests of one kind while a trouble asks for it


@dataclass
class Connection:
    """A connection to a gateway, and whether it has carried a request before."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used: bool = False

    def close(self) -> None:
        self.writer.transport.abort()


class Clients:
    """The clients of one gateway: `workers` of them, one after the other on their own connections."""

    def __init__(self, seen: Observations, gateway: int, address: Callable[[], str], seed: int) -> None:
        self._seen, self._gateway, self._address = seen, gateway, address
        self._lot = random.Random(f"{seed} clients {gateway}")
        self._number = 0
        self.trouble: ClientKind | None = None
        self.stopped = False

    async def work(self) -> None:
        """One worker, until it is told to stop."""
        connection: Connection | None = None
        while not self.stopped:
            await asyncio.sleep(self._lot.uniform(*REST))
            if connection is None:
                connection = await self._connect()
                if connection is None:
                    await asyncio.sleep(self._lot.uniform(*RETRY_PAUSE))
                    continue
            keep = await self._ask(connection)
            if not keep:
                connection.close()
                connection = None
        if connection is not None:
            connection.close()

    async def _connect(self) -> Connection | None:
        host, _, port = self._address().rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                return Connection(*await asyncio.open_connection(host, int(port)))
        except (OSError, TimeoutError):
            return None

    def _kind(self) -> ClientKind:
        if self.trouble is not None and self._lot.random() < IN_TROUBLE:
            return self.trouble
        return self._lot.choices(list(USUAL), list(USUAL.values()))[0]

    async def _ask(self, connection: Connection) -> bool:
        """One request; whether its connection can carry another."""
        self._number += 1
        left = self._lot.uniform(*TIME_LEFT)
        asked = ClientRequest(
            f"g{self._gateway}-{self._number}", self._gateway, self._kind(), self._lot.choice(CLASSES),
            left, not connection.used, time.monotonic(),
        )  # fmt: skip
        self._seen.requests.append(asked)
        connection.used = True
        try:
            return await self._play(asked, connection)
        except (OSError, asyncio.IncompleteReadError):
            self._ended(asked)
            return False

    def _ended(self, asked: ClientRequest) -> None:
        asked.ended_at = time.monotonic()
        asked.before_answer = asked.answered_at is None

    async def _play(self, asked: ClientRequest, connection: Connection) -> bool:
        whole = self._bytes(asked)
        writer = connection.writer
        if asked.kind is ClientKind.STOPS_HALFWAY:
            writer.write(whole[: self._lot.randint(1, len(whole) - 1)])
            return await self._stay(asked, connection)
        if asked.kind is ClientKind.WRITES_SLOWLY:
            at = self._lot.randint(1, len(whole) - 1)
            writer.write(whole[:at])
            await asyncio.sleep(self._lot.uniform(*SLOW_WRITE))
            whole = whole[at:]
        writer.write(whole)
        await writer.drain()
        asked.sent_at = time.monotonic()
        if asked.kind is ClientKind.LEAVES:
            return await self._leave(asked, connection, self._lot.uniform(*LEAVES_AFTER))
        if asked.kind is ClientKind.FLOODS:
            writer.write(b"x" * FLOOD)
            return await self._leave(asked, connection, FLOOD_STAYS)
        return await self._answer(asked, connection.reader, ANSWER_PATIENCE)

    async def _leave(self, asked: ClientRequest, connection: Connection, after: float) -> bool:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(after):
                return await self._answer(asked, connection.reader, ANSWER_PATIENCE)
        asked.left_at = time.monotonic()
        connection.writer.transport.abort()
        return False

    async def _stay(self, asked: ClientRequest, connection: Connection) -> bool:
        """Half a request is out: until its error or the close comes."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STAYS_HALFWAY):
                await self._answer(asked, connection.reader, STAYS_HALFWAY)
        if asked.answered_at is None and asked.ended_at is None:
            asked.left_at = time.monotonic()
        return False

    def _bytes(self, asked: ClientRequest) -> bytes:
        body = b'{"model":"chat","stream":true,"pad":"' + b"p" * self._lot.randint(0, 2000) + b'"}'
        session = self._lot.randint(0, 20)
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {asked.id}\r\n"
            f"X-Service-Class: {asked.service_class}\r\nX-Account: acme\r\nX-Session-Key: s{session}\r\n"
            f"X-Time-Left-Ms: {int(asked.time_left * 1000)}\r\n"
            f"X-Facts: prefix=p{session},prompt_len=512,prefix_len=256\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    async def _answer(self, asked: ClientRequest, reader: asyncio.StreamReader, patience: float) -> bool:
        """Read the answer; whether the connection may be used again."""
        try:
            async with asyncio.timeout(patience):
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                asked.answered_at = time.monotonic()
                asked.status = int(head.split(" ")[1])
                if "transfer-encoding: chunked" in head:
                    await self._chunks(asked, reader)
                else:
                    length = int(head.partition("content-length: ")[2].split("\r\n")[0])
                    asked.body = await reader.readexactly(length)
                asked.whole = True
        except TimeoutError:
            return False
        return "connection: close" not in head

    @staticmethod
    async def _chunks(asked: ClientRequest, reader: asyncio.StreamReader) -> None:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            asked.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
