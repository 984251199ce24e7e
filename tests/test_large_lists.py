"""Lists of engines as large as the largest fleet's, from discovery and from Eureka."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections import Counter
from typing import Any
from unittest import mock

from basaltspread.adapter import settings_from
from basaltspread.control.asking import ENTRY_SIZE, LIST_LIMIT, LONGEST_PAUSE, MOST_ENGINES, TURN
from basaltspread.control.descriptor_budget import DescriptorBudget
from basaltspread.control.routes import single
from basaltspread.endings import Ending
from basaltspread.net.discovery_watch import DiscoveryWatch
from basaltspread.net.links import BODY_LIMIT, PART_WINDOW, LinkError, Pool
from basaltspread.net.mcp import REPLY_LIMIT, Listing, Sessions
from basaltspread.net.readers import TimedReader
from tests.standins import SETTINGS, Asked, FleetTest, LoopbackTest, answer_plainly, reading, writing
from tests.virtual_loop import VirtualLoop, run

INDENT = 4  # spaces; lists may come indented


def padded(engines: list[dict[str, Any]], version: int, count: int = MOST_ENGINES) -> bytes:
    """A whole list of so many engines: these, and others that drain."""
    others = [
        {**engines[0], "instanceId": f"other-{number:08d}", "lifecycle": "draining"}
        for number in range(count - len(engines))
    ]
    whole = {"generation": version, "reset": True, "instances": [*engines, *others]}
    return json.dumps(whole, indent=INDENT).encode()


class MovedDiscoveryTest(FleetTest):
    async def test_the_whole_list_of_the_largest_fleet_is_taken_in_after_discovery_has_moved(self) -> None:
        """It was dropped at 256 KiB and asked for anew six times a second; drains were learnt no more."""
        one, two = [await self.standin(writing(answer_plainly)) for _ in range(2)]
        gateway = await self.fleet(r1=await self.standin(reading()), w1=one, w2=two)
        engines = [self.entries["r1"], self.entries["w2"], {**self.entries["w1"], "lifecycle": "draining"}]
        whole = padded(engines, 3)
        self.assertGreater(len(whole), 2 * BODY_LIMIT)

        async def tell_once(asked: Asked) -> None:
            if "from=" not in asked.target:
                asked.reply(200, whole)

        place = await self.standin(tell_once)
        await gateway.reload({"discovery": place.address}, "reloaded")
        await place.until("GET", 2)
        targets = [asked.target.partition("&")[0] for asked in place.seen]
        self.assertEqual(targets, ["/registry/instances", "/registry/instances?from=3"])
        client = await self.client(gateway)
        for number in range(8):
            self.assertEqual((await client.ask(f"q{number}"))[0], 200)
        self.assertEqual((one.count("POST", "/v1"), two.count("POST", "/v1")), (0, 8))
        counters = await gateway.stop()
        self.assertEqual(counters.get("discovery_failures", 0), 0)
        self.assertEqual(counters["now_engines"], MOST_ENGINES)

    async def test_a_list_past_the_limit_is_named_so(self) -> None:
        """It was logged as an answer that is not HTTP."""
        gateway = await self.fleet(
            r1=await self.standin(reading()), w1=await self.standin(writing(answer_plainly))
        )
        self.news.put_nowait(b" " * (LIST_LIMIT + 1))
        await gateway.until("discovery: an answer over the limit for its kind")
        client = await self.client(gateway)
        self.assertEqual((await client.ask("q1"))[0], 200)
        self.assertEqual((await gateway.stop())["discovery_failures_too_large"], 1)


class PoolTest(LoopbackTest):
    async def call(self, limit: int, *chunks: int) -> int:
        """The size of an answer that comes in these chunks; raises LinkError."""

        async def answer(asked: Asked) -> None:
            asked.begin()
            for size in chunks:
                asked.chunk(b" " * size)
            asked.end()

        server = await self.standin(answer)
        pool = Pool(DescriptorBudget(100), 5.0, 10.0, Counter())
        try:
            return len((await pool.call(server.address, "GET", "/", wait=30.0, limit=limit)).body)
        finally:
            pool.drop(server.address)

    async def test_a_list_in_one_chunk_is_taken_in_up_to_its_own_limit(self) -> None:
        """A registry's whole list in one chunk was dropped at 256 KiB, whatever the limit said."""
        self.assertEqual(await self.call(LIST_LIMIT, LIST_LIMIT), LIST_LIMIT)
        with self.assertRaises(LinkError):
            await self.call(LIST_LIMIT, LIST_LIMIT + 1)
        with self.assertRaises(LinkError):
            await self.call(BODY_LIMIT, BODY_LIMIT + 1)

    async def test_a_body_past_its_limit_has_an_ending_of_its_own(self) -> None:
        with self.assertRaises(LinkError) as caught:
            await self.call(100, 60, 60)
        self.assertIs(caught.exception.ending, Ending.TOO_LARGE)


class ToolListTest(LoopbackTest):
    async def test_a_page_of_a_thousand_tools_is_taken_in_up_to_what_an_answer_may_hold(self) -> None:
        """Over 256 KiB it was dropped, at each tools/list anew, and its tools were in no list."""
        about = "x" * 400
        tools = [{"name": f"tool-{number}", "description": about} for number in range(1000)]

        async def listed(asked: Asked) -> None:
            result = json.loads(asked.body) | {"result": {"tools": tools}}
            del result["method"], result["params"]
            asked.reply(200, json.dumps(result).encode(), Content_Type="application/json")

        server = await self.standin(listed)
        runtime = mock.MagicMock(pool=Pool(DescriptorBudget(100), 5.0, 10.0, Counter()))
        listing = Listing(runtime, Sessions(runtime), single(server.address))
        self.assertEqual(len(await listing.merged()), len(tools))
        tools *= 3
        self.assertGreater(len(json.dumps(tools)), REPLY_LIMIT)
        listing.changed(single(server.address).servers["default"])
        with self.assertRaises(LinkError):
            await listing.merged()
        runtime.pool.drop(server.address)


class RetryTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_list_past_the_limit_is_not_asked_for_at_the_pace_of_a_drain(self) -> None:
        """Megabytes were read and dropped five times a second, though no such call can be of use."""
        runtime, slept = mock.MagicMock(), list[float]()
        runtime.pool.call = mock.AsyncMock(side_effect=LinkError(Ending.TOO_LARGE))
        config = mock.MagicMock(settings=settings_from(SETTINGS))
        self.assertFalse(config.settings.list_must_be_asked)

        async def sleep(seconds: float) -> None:
            slept.append(seconds)
            if len(slept) == 9:
                raise asyncio.CancelledError

        with (
            mock.patch("basaltspread.net.discovery_watch.asyncio.sleep", sleep),
            mock.patch("basaltspread.net.discovery_watch.random.random", lambda: 1.0),
            self.assertRaises(asyncio.CancelledError),
        ):
            await DiscoveryWatch(runtime, config)._watch("127.0.0.1:1", 41)
        self.assertEqual(max(slept), LONGEST_PAUSE)


def fetched(gap: float, head_after: float = 0.1) -> Ending | None:
    """How a fetch of a whole list ends whose pieces come so many s apart, in virtual time; None if it is
    taken in."""
    body = padded([{"instanceId": "w1", "hostPort": "127.0.0.1:9", "lifecycle": "up"}], 3, 100)
    pieces = [body[at : at + len(body) // 20] for at in range(0, len(body), len(body) // 20)]
    runtime, ended = mock.MagicMock(), list[Ending]()
    runtime.pool = Pool(DescriptorBudget(100), 1.0, 10.0, Counter())
    runtime.clock.wall_shifts.return_value = (0,)

    async def fetch() -> None:
        loop, ear, writer = asyncio.get_running_loop(), TimedReader(), mock.MagicMock()
        writer.transport.is_closing.return_value = False
        writer.transport.get_write_buffer_size.return_value = 0
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        for number, piece in enumerate([head, *pieces]):
            loop.call_later(head_after + number * gap, ear.feed_data, piece)
        config = mock.MagicMock(settings=settings_from(SETTINGS))
        with mock.patch("basaltspread.net.links.connect", mock.AsyncMock(return_value=(ear, writer))):
            try:
                assert await DiscoveryWatch(runtime, config)._fetch("127.0.0.1:1", None) == 3
            except LinkError as error:
                ended.append(error.ending)

    run(VirtualLoop(), fetch())
    return ended[0] if ended else None


def test_a_whole_list_that_arrives_slowly_is_not_dropped_while_it_moves() -> None:
    """It was dropped 2.5 s after it was asked for, however much had come, and asked for anew for ever."""
    assert fetched(gap=0.01) is None
    assert fetched(gap=0.5) is None  # ten seconds in all
    assert fetched(gap=2 * PART_WINDOW) is Ending.STALLED
    assert fetched(gap=0.01, head_after=TURN + 0.1) is Ending.TIMED_OUT


def test_the_limit_on_lists_holds_an_indented_list_of_the_largest_fleet() -> None:
    entry = {
        "instanceId": "s" * 64, "hostPort": "255.255.255.255:65535", "zone": "z" * 63,
        "machineType": "m" * 63,
        "cell": 2**31, "lifecycle": "draining", "weight": 1 / 3, "startedAtMs": 2**43,
    }  # fmt: skip
    assert len(padded([entry], 2**63)) <= LIST_LIMIT == MOST_ENGINES * ENTRY_SIZE
