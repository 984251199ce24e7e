"""One connection gets its part of each turn of the event loop, however much it has to be served."""

from __future__ import annotations

import asyncio
import socket
import unittest
from collections import Counter
from collections.abc import Coroutine
from types import SimpleNamespace
from typing import Any
from unittest import mock

import h11

from basaltspread.control.memory import MemoryLedger
from basaltspread.net.arrivals import Arrivals
from basaltspread.net.client_table import ClientTable
from basaltspread.net.clients import Client, ReceivedRequest
from basaltspread.net.links import Link
from basaltspread.net.memory_guard import MemoryGuard
from basaltspread.net.readers import connect
from basaltspread.net.turns import PARSED_AT_ONCE

REQUESTS, CHUNKS = 200, 3000
HEALTH = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
CHUNKED_HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Front:
    """As much of a front as a connection asks for."""

    def __init__(self) -> None:
        self.client_table, self.routed = ClientTable(), 0
        runtime: Any = SimpleNamespace(
            counters=Counter[str](), load=mock.MagicMock(), state=None, memory=MemoryLedger(1 << 24),
            count=lambda name: None, feed=lambda event: None,
        )  # fmt: skip
        self.runtime, self.memory = runtime, MemoryGuard(runtime, self.client_table)
        self.arrivals: Any = mock.MagicMock(Arrivals)  # nothing is shut meanwhile

    def note_refused_arrival(self, head: h11.Request | None) -> None:
        raise AssertionError(head)

    async def route(self, client: Client, received: ReceivedRequest) -> None:
        self.routed += 1
        client.answer(200, "")

    def note_bad_request(self, error: Exception) -> None:
        raise AssertionError(error)


async def turns_of_others(work: Coroutine[Any, Any, Any]) -> int:
    """How many turns another task gets until this work is done."""
    task, turns = asyncio.ensure_future(work), 0
    while not task.done():
        await asyncio.sleep(0)
        turns += 1
    await task
    return turns


class FloodTest(unittest.IsolatedAsyncioTestCase):
    async def connected(self, data: bytes) -> tuple[Any, asyncio.StreamWriter]:
        """The reading side of a connection on which all of this has come."""
        ours, theirs = socket.socketpair()
        self.addCleanup(theirs.close)
        reader, writer = await connect(sock=ours)
        theirs.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(theirs, data)
        theirs.shutdown(socket.SHUT_WR)
        return reader, writer

    async def served(self, data: bytes) -> tuple[Front, int]:
        front = Front()
        with mock.patch("basaltspread.core.leaving", return_value=False):
            client = Client(front, *await self.connected(data))
            return front, await turns_of_others(client.serve())

    async def test_requests_written_at_full_speed_on_one_connection_kept_all_others_waiting(self) -> None:
        front, turns = await self.served(HEALTH * REQUESTS)
        self.assertEqual(front.routed, REQUESTS)
        self.assertGreaterEqual(turns, REQUESTS)

    async def test_a_request_in_chunks_of_one_byte_kept_all_others_waiting(self) -> None:
        front, turns = await self.served(CHUNKED_HEAD + b"1\r\nx\r\n" * CHUNKS + b"0\r\n\r\n")
        self.assertEqual(front.routed, 1)
        self.assertGreaterEqual(turns, CHUNKS // PARSED_AT_ONCE)

    async def test_an_answer_in_chunks_of_one_byte_kept_all_others_waiting(self) -> None:
        reader, writer = await self.connected(ANSWER_HEAD + b"1\r\nx\r\n" * CHUNKS + b"0\r\n\r\n")
        link = Link("x:1", reader, writer, mock.MagicMock())
        await link.send("GET", "/", [], b"")

        async def read() -> None:
            while not isinstance(await link.event(), h11.EndOfMessage):
                pass

        self.assertGreaterEqual(await turns_of_others(read()), CHUNKS // PARSED_AT_ONCE)
        link.close()
