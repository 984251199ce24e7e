"""The runtime's own clockwork: how often it troubles the loop, and what ends a wait."""

from __future__ import annotations

import asyncio
import errno
import os
from collections import Counter
from typing import Any
from unittest import mock

import pytest

from basaltspread.control.descriptor_budget import DescriptorBudget
from basaltspread.endings import Ending
from basaltspread.net.links import Link, LinkError, Pool
from basaltspread.net.readers import TimedReader
from basaltspread.net.runtime import TimerWheel


class Loop:
    """Stands for the event loop: a time that is set by hand, and the timers that were asked for."""

    def __init__(self) -> None:
        self.now = 1_000_000  # us
        self.timers: list[tuple[float, Any]] = []

    def call_later(self, pause: float, call: Any) -> mock.Mock:
        self.timers.append((self.now + pause * 1_000_000, call))
        return mock.Mock()

    def wake(self) -> None:
        """At the last timer that was asked for, as earlier ones have been called off."""
        at, call = self.timers[-1]
        self.now = max(self.now, round(at))
        call()


def test_the_wheel_wakes_only_for_what_is_due() -> None:
    loop, fired = Loop(), list[tuple[Any, ...]]()
    wheel = TimerWheel(
        lambda tokens: fired.extend((loop.now, *token) for token in tokens), lambda: loop.now, lambda *_: None
    )
    with mock.patch("asyncio.get_running_loop", return_value=loop):
        wheel.set(loop.now + 60_000_000, ("far",))
        wheel.set(loop.now + 1_000, ("near",))
        wheel.set(loop.now + 3_000, ("of the same tick",))
        wheel.set(loop.now - 5_000, ("past",))
        assert len(loop.timers) == 2  # the far one, then the near one; the others are in its tick
        loop.wake()
        assert fired == [(1_005_000, "near"), (1_005_000, "of the same tick"), (1_005_000, "past")]
        loop.wake()
        assert fired[3:] == [(61_000_000, "far")]
        assert len(loop.timers) == 3  # 60 s have passed, and a ring of ticks would have turned 12,000 times


def test_a_timer_set_by_one_that_fires_is_kept() -> None:
    loop, fired = Loop(), list[str]()

    def again(tokens: list[tuple[Any, ...]]) -> None:
        ((left,),) = tokens
        fired.append(f"{loop.now // 1000}")
        if left:
            wheel.set(loop.now + 20_000, (left - 1,))

    wheel = TimerWheel(again, lambda: loop.now, lambda *_: None)
    with mock.patch("asyncio.get_running_loop", return_value=loop):
        wheel.set(loop.now + 20_000, (2,))
        for _ in range(3):
            loop.wake()
    assert fired == ["1020", "1040", "1060"]


def test_a_stream_of_many_pieces_sets_one_alarm() -> None:
    async def run() -> int:
        loop, ear, taken = asyncio.get_running_loop(), TimedReader(), 0
        with mock.patch.object(loop, "call_at", wraps=loop.call_at) as alarms:
            for _ in range(100):
                loop.call_soon(ear.feed_data, b"piece")
                taken += len(await ear.piece(taken, 5.0))
            ear.rest()
            return taken if alarms.call_count == 1 else -alarms.call_count

    assert asyncio.run(run()) == 500


def test_a_silence_ends_a_wait_and_what_is_there_does_not_wait() -> None:
    async def run() -> None:
        ear = TimedReader()
        with pytest.raises(TimeoutError):
            await ear.piece(0, 0.0)
        ear.feed_data(b"late")
        assert await ear.piece(0, 0.0) == b"late"
        with pytest.raises(TimeoutError):  # a later alarm that is set already doesn't put an earlier end off
            waiting = asyncio.ensure_future(ear.piece(4, 600.0))
            await asyncio.sleep(0)
            waiting.cancel()
            await asyncio.wait({waiting})
            await ear.piece(4, 0.0)
        asyncio.get_running_loop().call_soon(ear.feed_eof)
        assert await ear.piece(4, None) == b""

    asyncio.run(run())


def test_a_break_ends_a_wait() -> None:
    async def run() -> None:
        ear = TimedReader()
        asyncio.get_running_loop().call_soon(ear.set_exception, ConnectionResetError())
        with pytest.raises(ConnectionResetError):
            await ear.piece(0, 600.0)
        ear.rest()

    asyncio.run(run())


@pytest.mark.parametrize("code", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET])
def test_a_broken_connection_is_no_silence_whatever_the_error(code: int) -> None:
    """Python takes ETIMEDOUT for a TimeoutError: the stream was asked again without a pause while it waited
    for a tool, and the whole gateway stood still."""

    async def run() -> Ending:
        ear, writer = TimedReader(), mock.MagicMock()
        writer.transport.is_closing.return_value = False
        writer.transport.get_write_buffer_size.return_value = 0
        link = Link("127.0.0.1:1", ear, writer, mock.MagicMock())
        await link.send("GET", "/", [], b"")
        ear.set_exception(OSError(code, os.strerror(code)))
        with pytest.raises(LinkError) as caught:
            await link.event(4.0)
        return caught.value.ending

    assert asyncio.run(run()) is Ending.RESET


@pytest.mark.parametrize(
    ("error", "ending"),
    [
        (ConnectionRefusedError(111, "Connect call failed"), Ending.REFUSED),
        (ConnectionResetError(104, "Connect call failed"), Ending.BROKE_UNSENT),
        (OSError(99, "Cannot assign requested address"), Ending.LOCAL_FAULT),
        (TimeoutError(), Ending.CONNECT_TIMED_OUT),
    ],
)
def test_only_a_refused_connection_says_that_no_process_is_there(error: Exception, ending: Ending) -> None:
    # Engines reset 56 new connections in a play; each was told to all gateways as an engine gone, and eight
    # of 14 readers were left out at any time.
    descriptors = DescriptorBudget(100)
    pool = Pool(descriptors, 0.25, 10.0, Counter())

    async def acquire() -> None:
        with mock.patch("basaltspread.net.links.connect", mock.AsyncMock(side_effect=error)):
            await pool.acquire("127.0.0.1:1")

    with pytest.raises(LinkError) as caught:
        asyncio.run(acquire())
    assert caught.value.ending is ending and descriptors.used == 0
