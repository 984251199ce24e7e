"""Faults of this machine's own system calls: they say nothing of the other side, and cost no attempt."""

from __future__ import annotations

import asyncio
import errno
import os
import unittest
from collections import Counter
from typing import Any
from unittest import mock

from basaltspread.net.links import Descriptors, Pool

MOMENTARY = (
    errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN, errno.ENOBUFS, errno.ENFILE, errno.ENOMEM,
    errno.EAGAIN, errno.EINTR,
)  # fmt: skip
FAILURES = 8  # in a row; more than a request has attempts


class ConnectFaultTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_connect_that_fails_here_for_a_moment_is_tried_again_in_the_same_attempt(self) -> None:
        """Five attempts at healthy engines were spent in 30 ms, with 20 s left."""
        for code in MOMENTARY:
            descriptors, counters = Descriptors(100), Counter[str]()
            pool = Pool(descriptors, 0.25, 10.0, counters)
            made: list[Any] = [OSError(code, os.strerror(code))] * FAILURES
            made.append((mock.MagicMock(), mock.MagicMock()))
            with mock.patch("basaltspread.net.links.connect", mock.AsyncMock(side_effect=made)):
                await pool.acquire("127.0.0.1:1")
            self.assertEqual(descriptors.used, 1, errno.errorcode[code])
            self.assertEqual(counters["local_connect_faults"], FAILURES)

    async def test_a_wait_for_this_machine_can_be_called_off_and_leaves_nothing(self) -> None:
        descriptors = Descriptors(100)
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
