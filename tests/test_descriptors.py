"""The budget of descriptors, and what the gateway does for itself while clients hold all that is common."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from basaltspread.control.descriptor_budget import (
    RESERVED,
    RESERVES,
    DescriptorBudget,
    DescriptorUse,
    HeldDescriptor,
)
from basaltspread.endings import Ending
from basaltspread.net.clients import REST_PATIENCE
from basaltspread.net.links import Pool
from basaltspread.net.toolcalls import Relay
from tests.standins import SETTINGS, Asked, FleetTest, Gateway, LoopbackTest, reading, writing

USES = list(DescriptorUse)
STEPS = st.lists(st.tuples(st.integers(0, 3), st.sampled_from(USES), st.integers(0, 30)), max_size=200)
COMMON = 10  # descriptors
# No engine is asked to hold a place: one that answers late is released, out of the releases' own reserve.
NO_PLACES = {**SETTINGS, "specifics": {**SETTINGS["specifics"], "early_pairing": False}}
EVENT = b"data: 1\n\n"
UNCHANGED = b'{"generation":41,"reset":false,"instances":[]}'


@given(STEPS)
def test_no_use_can_take_anothers_reserve_and_all_keep_to_the_limit(
    steps: list[tuple[int, DescriptorUse, int]],
) -> None:
    budget, held = DescriptorBudget(RESERVED + COMMON), list[HeldDescriptor]()
    for step, use, number in steps:
        if step == 0 and held:
            held.pop(number % len(held)).free()
        elif step == 1 and held:
            other = held.pop(number % len(held))
            other.free()
            other.free()  # said twice
        else:
            own, full = budget.by_use[use], budget.is_full()
            granted = budget.take(use)
            assert (granted is None) == (full and own >= RESERVES.get(use, 0))
            if granted is not None:
                held.append(granted)
        assert not list(budget.breaches())
        assert budget.used == len(held) <= COMMON + sum(RESERVES.values())
        assert budget.by_use == {use: sum(h.use is use for h in held) for use in USES}


def test_a_connection_that_is_kept_counts_for_what_it_serves() -> None:
    """A release's connection that a request took over held a place of the releases' reserve."""
    budget = DescriptorBudget(RESERVED + COMMON)
    held = budget.take(DescriptorUse.RELEASE)
    assert held is not None
    held.use_for(DescriptorUse.ENGINE)
    assert (budget.by_use[DescriptorUse.RELEASE], budget.by_use[DescriptorUse.ENGINE]) == (0, 1)
    held.free()
    held.use_for(DescriptorUse.RELEASE)
    assert budget.used == 0 and not list(budget.breaches())


class FullTest(FleetTest):
    """A gateway whose common descriptors are all held, by streams and idle clients."""

    async def full(self) -> Gateway:
        self.streams = list[Asked]()

        async def wait_in_stream(asked: Asked) -> None:
            asked.begin()
            asked.chunk(EVENT)
            self.streams.append(asked)
            await asyncio.Event().wait()

        gateway = await self.fleet(
            sockets=RESERVED + COMMON,
            r1=await self.standin(reading()),
            w1=await self.standin(writing(wait_in_stream)),
            w2=await self.standin(writing(wait_in_stream)),
        )
        (await self.discovery.until("GET")).reset()
        self.discovery.close_door()
        self.news.put_nowait(b"")  # for the call that was reset
        await gateway.until_true(lambda counters: counters["descriptors_registry"] == 0)
        for number in range(4):
            streaming = await self.client(gateway)
            streaming.send(f"q{number}")
            self.assertEqual((await streaming.head()).status_code, 200)
        for _ in range(2):
            resting = await self.client(gateway)
            resting.raw(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            self.assertEqual((await resting.answer_to_raw())[0], 200)
        await gateway.until_true(lambda counters: counters["now_descriptors"] >= COMMON)
        return gateway

    async def test_drains_are_learnt_though_clients_hold_all_descriptors_and_a_watch_is_reset(self) -> None:
        """Attempts took each descriptor that came free, discovery got none for seconds, and engines that
        drain got new work."""
        gateway = await self.full()
        await self.discovery.open_door()
        self.tell(42, "w1", "draining")
        self.tell(43, "w2", "draining")
        await self.discovery.until("GET", target="/registry/instances?from=43&")
        counters = await gateway.counters()
        self.assertEqual(counters["lists_delta"], 2)
        self.assertEqual(counters.get("discovery_failures_no_descriptor", 0), 0)

    async def test_a_request_is_served_though_idle_clients_hold_the_last_descriptors(self) -> None:
        """It was refused as fast as it came, for as long as others' idle connections were open."""
        gateway = await self.full()
        client = await self.client(gateway)
        async with asyncio.timeout(REST_PATIENCE / 2):  # by then no client rests too long
            for number in itertools.count():
                client.send(f"late{number}")
                head = await client.head()
                if head.status_code == 200:
                    break
                await client.rest(head)
                for stream in self.streams:
                    stream.chunk(EVENT)  # none of them ends meanwhile

    async def test_clients_that_come_while_links_are_kept_keep_to_the_common_descriptors(self) -> None:
        """Clients kept to a count of their own alone: with the links to engines, the limit was passed."""
        go_on = asyncio.Event()

        async def wait_and_finish(asked: Asked) -> None:
            asked.begin()
            asked.chunk(b"data: 1\n\n")
            await go_on.wait()
            asked.finish()

        gateway = await self.fleet(
            sockets=RESERVED + COMMON,
            more={"settings": NO_PLACES},
            r1=await self.standin(reading()),
            w1=await self.standin(writing(wait_and_finish)),
        )
        for number in range(4):
            client = await self.client(gateway)  # none is idle while links are opened: it would make room
            client.send(f"q{number}")
            self.assertEqual((await client.event()).status_code, 200)
        go_on.set()
        await gateway.until_counter("ended_served", 4)
        for _ in range(2):
            await self.client(gateway)
        await gateway.until_counter("clients_accepted", 6)
        counters = await gateway.counters()
        self.assertEqual((counters["descriptors_client"], counters["most_descriptors"]), (6, COMMON))

    async def test_a_reset_of_the_watch_does_not_make_each_call_of_it_need_a_new_connection(self) -> None:
        """Discovery was distrusted for 30 s, and counted among the three addresses past which no kept
        connection to any engine is used."""
        gateway = await self.fleet(r1=await self.standin(reading()))
        self.news.put_nowait(UNCHANGED)
        (await self.discovery.until("GET", 2)).reset()
        self.news.put_nowait(UNCHANGED)  # for the call that was reset
        for _ in range(3):
            self.news.put_nowait(UNCHANGED)
        await self.discovery.until("GET", 6)
        counters = await gateway.stop()
        self.assertEqual(counters["discovery_failures_reset"], 1)
        self.assertEqual((counters["links_opened"], counters.get("links_stale", 0)), (2, 0))


class ToolReplyTest(LoopbackTest):
    async def test_a_reply_that_an_engine_waits_for_is_posted_though_all_descriptors_are_held(self) -> None:
        """Three tries failed within milliseconds, and the stream was cut after its order had been placed."""

        async def accept(asked: Asked) -> None:
            asked.reply(202)

        engine, budget = await self.standin(accept), DescriptorBudget(RESERVED + COMMON)
        while not budget.is_full():
            budget.take(DescriptorUse.CLIENT)
        runtime = mock.MagicMock(pool=Pool(budget, 5.0, 10.0, Counter()))
        relay = Relay(runtime, mock.MagicMock())
        self.assertIs(await relay._post(engine.address, "q1", b"{}"), Ending.SERVED)
        self.assertEqual(budget.used, COMMON)
        # Progress is not owed, and takes nothing of what replies may need.
        progress = mock.MagicMock(request="q1", address=engine.address)
        relay._calls["q1", progress.call] = mock.MagicMock(note={})
        await relay._tell_progress(progress, relay._calls["q1", progress.call])
        runtime.count.assert_called_once_with("tool_progress_lost")
