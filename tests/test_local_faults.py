"""Faults of this machine's own system calls: they say nothing of the other side, and cost no attempt."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
import unittest
from collections import Counter
from typing import Any
from unittest import mock

from basaltspread.control.descriptor_budget import DescriptorBudget
from basaltspread.net.links import Pool
from basaltspread.net.listener import LONGEST_ACCEPT_PAUSE, open_listener

MOMENTARY = (
    errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN, errno.ENOBUFS, errno.ENFILE, errno.ENOMEM,
    errno.EAGAIN, errno.EINTR,
)  # fmt: skip
ACCEPT_FAULTS = (
    errno.ECONNABORTED, errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPERM,
    errno.ENETDOWN, errno.EPROTO, errno.EHOSTUNREACH,
)  # fmt: skip
WAITING = 3  # connections at the door
FAILURES = 8  # in a row; more than a request has attempts


class ConnectFaultTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_connect_that_fails_here_for_a_moment_is_tried_again_in_the_same_attempt(self) -> None:
        """Five attempts at healthy engines were spent in 30 ms, with 20 s left."""
        for code in MOMENTARY:
            descriptors, counters = DescriptorBudget(100), Counter[str]()
            pool = Pool(descriptors, 0.25, 10.0, counters)
            made: list[Any] = [OSError(code, os.strerror(code))] * FAILURES
            made.append((mock.MagicMock(), mock.MagicMock()))
            with mock.patch("basaltspread.net.links.connect", mock.AsyncMock(side_effect=made)):
                await pool.acquire("127.0.0.1:1")
            self.assertEqual(descriptors.used, 1, errno.errorcode[code])
            self.assertEqual(counters["local_connect_faults"], FAILURES)

    async def test_a_wait_for_this_machine_can_be_called_off_and_leaves_nothing(self) -> None:
        descriptors = DescriptorBudget(100)
        pool = Pool(descriptors, 0.25, 10.0, Counter())
        error = OSError(errno.ENETUNREACH, "unreachable")
        with mock.patch("basaltspread.net.links.connect", mock.AsyncMock(side_effect=error)):
            waiting = asyncio.ensure_future(pool.acquire("127.0.0.1:1"))
            for _ in range(20):
                await asyncio.sleep(0)
            self.assertFalse(waiting.done())
            waiting.cancel()
            await asyncio.wait({waiting})
        self.assertEqual(descriptors.used, 0)


class AcceptFaultTest(unittest.IsolatedAsyncioTestCase):
    async def accepted_after(self, *codes: int, ends: bool = False) -> tuple[int, list[str]]:
        """How many of three waiting connections are accepted when accept fails so first; the log's lines.
        With `ends`, the door is closed while accept fails."""
        accepted = 0
        all_in = asyncio.Event()

        async def accept(_: Any, writer: asyncio.StreamWriter) -> None:
            nonlocal accepted
            accepted += 1
            writer.close()
            if accepted == WAITING:
                all_in.set()

        faults, real = list(codes), socket.socket.accept

        def failing(listener: socket.socket) -> Any:
            if faults:
                raise OSError(code := faults.pop(0), os.strerror(code))
            return real(listener)

        loop = asyncio.get_running_loop()
        problems = list[str]()
        loop.set_exception_handler(lambda _, context: problems.append(str(context["message"])))
        with mock.patch.object(socket.socket, "accept", failing):
            with mock.patch.object(loop, "call_later", wraps=loop.call_later) as later:
                counters = Counter[str]()
                door = await open_listener("listen", "127.0.0.1:0", accept, 16, 4, counters=counters)
                host, _, port = door.address.rpartition(":")
                clients = [await asyncio.open_connection(host, int(port)) for _ in range(WAITING)]
                if ends:
                    while len(faults) == len(codes):
                        await asyncio.sleep(0)
                    door.close()
                async with asyncio.timeout(30):
                    await all_in.wait()
        for _, writer in clients:
            writer.close()
        door.close()
        self.assertEqual(counters["accept_faults"], len(codes))
        pauses = [call.args[0] for call in later.call_args_list]
        self.assertLessEqual(max(pauses, default=0.0), LONGEST_ACCEPT_PAUSE)
        return accepted, problems

    async def test_the_door_opens_again_at_once_after_a_fault_of_this_machine(self) -> None:
        """asyncio shut it for a whole second, or wrote a line for each turn of the loop."""
        for code in ACCEPT_FAULTS:
            accepted, problems = await self.accepted_after(*[code] * 6)
            self.assertEqual((accepted, problems), (WAITING, []), errno.errorcode[code])

    async def test_what_waits_at_a_door_that_shuts_is_still_accepted(self) -> None:
        """Closed unread, it was reset: a SIGTERM that crossed a fault cost the requests that lay there."""
        for code in (errno.ENFILE, errno.ECONNABORTED):
            accepted, _ = await self.accepted_after(*[code] * 6, ends=True)
            self.assertEqual(accepted, WAITING, errno.errorcode[code])


class ListenFaultTest(unittest.IsolatedAsyncioTestCase):
    """A process that starts while this machine is short of something for a moment."""

    async def opened(self, *codes: int) -> int:
        """How many tries it took; raises what open_listener does."""
        real = socket.create_server
        made: list[Any] = [OSError(code, os.strerror(code)) for code in codes]

        def create(*where: Any, **more: Any) -> socket.socket:
            if made:
                raise made.pop(0)
            return real(*where, **more)

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.close()

        with mock.patch("socket.create_server", side_effect=create) as tries:
            door = await open_listener("listen", "127.0.0.1:0", accept, 16, 4)
            door.close()
        return tries.call_count

    async def test_a_socket_that_can_not_be_made_for_a_moment_is_tried_again(self) -> None:
        for code in (errno.ENOBUFS, errno.ENOMEM, errno.ENFILE, errno.EINTR):
            self.assertEqual(await self.opened(code, code), 3, errno.errorcode[code])

    async def test_an_address_that_can_not_be_had_is_said_at_once(self) -> None:
        for code in (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES):
            with self.assertRaises(OSError) as caught:
                await self.opened(code)
            self.assertEqual(caught.exception.errno, code)
