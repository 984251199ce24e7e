"""The guards of acts that can not be taken back, on both sides of each line, and what counts violations."""

from __future__ import annotations

import asyncio
import time
import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

from basaltspread import core
from basaltspread import interface as api
from basaltspread.core import Ending
from basaltspread.net.clients import Exchange
from basaltspread.net.platform import Front
from basaltspread.net.runtime import Runtime
from tests.helpers import FLEET, MS, SECOND, settings
from tests.test_core import ARRIVAL, Script

WINDOW = 2 * SECOND


def keyed(scope: api.KeyScope = api.KeyScope.ALL) -> api.Settings:
    base = settings(api.Effect.KEYED, scope)
    return replace(base, classes=(replace(base.classes[0], key_window=WINDOW),))


class SilentLink:
    """A connection to an engine that takes a request and says nothing."""

    reused = False

    def __init__(self) -> None:
        self.sent = False

    async def send(self, *_: Any) -> None:
        self.sent = True

    async def event(self) -> None:
        await asyncio.Event().wait()

    def close(self) -> None:
        """Nothing is open."""


class WriteGuardTest(unittest.IsolatedAsyncioTestCase):
    """A front with a real runtime, whose connections come up when the test says so."""

    async def begin(self, used: api.Settings) -> None:
        def again(event: api.AttemptEnded) -> list[api.Action]:
            return [] if event.attempt else [api.Send("q", "w2", 0)]

        script = Script(Arrival=lambda e: [api.Send("q", "w1", 0)], AttemptEnded=again)
        self.passed, self._monotonic = 0.0, time.monotonic
        self.runtime = Runtime(core.State(used, script), 1024, 192, 0.25, 10.0)
        self.front = Front(self.runtime, mock.MagicMock(settings=used))
        self.links, self.up = list[Any](), asyncio.Event()

        async def acquire(address: str) -> Any:
            if self.links:
                await self.up.wait()
            self.links.append(SilentLink())
            return self.links[-1]

        self.runtime.pool.acquire = acquire  # type: ignore
        listed = tuple(core.Listed(e, f"{e.name}:1") for e in FLEET)
        self.runtime.feed(core.ListTold(api.ListKind.FULL, 1, listed))
        self.client = mock.MagicMock()
        self.client.has_left.return_value = False
        request = mock.MagicMock(headers=[], method=b"POST", target=b"/")
        self.front._exchanges["q"] = Exchange(self.client, request, b"")
        self.runtime.feed(core.Taken(replace(ARRIVAL, time_left=60 * SECOND)))
        await self.turns()
        self.runtime.feed(core.Ended("q", 0, Ending.RESET))  # it may have run
        await self.turns()

    async def turns(self) -> None:
        for _ in range(10):
            await asyncio.sleep(0)

    async def second_sent_after(self, passed: int) -> bool:
        """Whether the repeat goes out when its connection comes up so long after the first."""
        with mock.patch("time.monotonic", lambda: self._monotonic() + passed / SECOND):
            self.up.set()
            await self.turns()
        return any(link.sent for link in self.links[1:])

    async def test_a_repeat_whose_connection_comes_up_as_its_window_ends_is_not_sent(self) -> None:
        """The engines discard repeats for so long; the module had looked before the connection was made."""
        for passed, sent in ((0, True), (WINDOW - SECOND, True), (WINDOW - 100 * MS, False), (WINDOW, False)):
            await self.begin(keyed())
            self.assertIs(await self.second_sent_after(passed), sent, passed)

    async def test_nothing_is_sent_for_a_client_whose_close_the_system_knows(self) -> None:
        await self.begin(settings())
        self.client.has_left.return_value = True
        self.assertFalse(await self.second_sent_after(0))
