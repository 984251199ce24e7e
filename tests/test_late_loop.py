"""A gateway whose loop is late keeps its promise: each request has its final answer in time, and nothing
begins after its request's end. In virtual time, with the real runtime, reducer and decision module."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import Any

from basaltspread import core
from basaltspread import interface as api
from basaltspread.core import Ending
from basaltspread.net.runtime import Runtime
from basaltspread.rules import Router
from tests.helpers import FLEET, MS, SECOND, settings
from tests.virtual_loop import VirtualLoop, run

READ_TIME, FIRST_TIME, STREAM_TIME = 0.03, 0.05, 0.4  # s
LATE = 500 * MS


class SlowModule(Router):
    """The decision module, each call of which takes so much of the loop's time."""

    def __init__(self, used: api.Settings, loop: VirtualLoop, cost: float) -> None:
        super().__init__(used, 1)
        self._loop, self._cost = loop, cost

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        self._loop.passed += self._cost
        return super().handle(now, events)


@dataclass
class Client:
    """One request as its client sees it; times in us."""

    deadline: int
    answer: str = ""
    answered_at: int = 0
    streams: bool = False


class Gateway:
    """A runtime between clients and engines that are played here."""

    def __init__(self, loop: VirtualLoop, cost: float, effect: api.Effect) -> None:
        self.loop = loop
        base = settings(effect)
        aim = replace(base.classes[0], aim=SECOND)
        used = replace(base, classes=(aim,))
        state = core.State(used, SlowModule(used, loop, cost))
        self.runtime = Runtime(state, 1024, 192, 0.25, 10.0)
        self.runtime.clock.now = loop.now_us  # type: ignore[method-assign]
        self.runtime.wheel._now = loop.now_us
        self.clients: dict[str, Client] = {}
        self.begun_late: list[str] = []
        self._open: set[tuple[str, int]] = set()
        self.runtime.carry.update({
            core.StartAttempt: self._start, core.AbandonAttempt: self._abandon,
            core.Answer: lambda e: self._answered(e.request, e.verdict.value),
            core.EndStream: lambda e: self._answered(e.request, "served"),
            core.BreakClient: lambda e: self._answered(e.request, "broken"),
            core.AskPlace: self._place, core.SendRelease: self._release,
        })  # fmt: skip
        for kind in (core.PassOn, core.DropPlace, core.SayUnanswered):
            self.runtime.carry[kind] = lambda e: None
        listed = tuple(core.Listed(entry, f"{entry.name}:1") for entry in FLEET)
        self.runtime.feed(core.ListTold(api.ListKind.FULL, 1, listed))
        self.runtime.feed(core.Serving())

    def take(self, name: str, sent_at: int, time_left: int) -> None:
        """A request that its client sent at that time, and that this gateway reads now."""
        self.clients[name] = Client(sent_at + time_left)
        time_left = max(0, sent_at + time_left - self.loop.now_us())
        self.runtime.feed(core.Taken(api.Arrival(
            name, f"s{name}", "p", 256, 512, 100, 0, 0, time_left, 0, False, False,
        )))  # fmt: skip

    def _answered(self, name: str, answer: str) -> None:
        client = self.clients[name]
        assert not client.answer, f"{name} was answered twice"
        client.answer, client.answered_at = answer, self.loop.now_us()

    def _start(self, effect: core.StartAttempt) -> None:
        """Over a connection that is there in the next turn of the loop."""
        key = (effect.request, effect.number)
        self._open.add(key)
        self.loop.call_soon(self._begin, effect)

    def _begin(self, effect: core.StartAttempt) -> None:
        key = (effect.request, effect.number)
        if key not in self._open:
            return
        if self.clients[effect.request].answer:
            self.begun_late.append(effect.request)
        if self.runtime.send_denial(*key, client_gone=False) is not None:
            self._end(key, Ending.NOT_SENT)
            return
        self.runtime.feed(core.Begun(*key))
        self.runtime.feed(core.Written(*key))
        if effect.reading:
            self.loop.call_later(READ_TIME, self._end, key, Ending.READ)
        else:
            self.loop.call_later(FIRST_TIME, self._first, key)

    def _first(self, key: tuple[str, int]) -> None:
        if key in self._open:
            self.clients[key[0]].streams = True
            self.runtime.feed(core.FirstEvent(*key))
            self.loop.call_later(STREAM_TIME, self._end, key, Ending.SERVED)

    def _end(self, key: tuple[str, int], ending: Ending) -> None:
        if key in self._open:
            self._open.discard(key)
            self.runtime.feed(core.Ended(*key, ending))

    def _abandon(self, effect: core.AbandonAttempt) -> None:
        self._open.discard((effect.request, effect.number))

    def _place(self, effect: core.AskPlace) -> None:
        held = core.PlaceEnded(effect.request, effect.number, effect.worker, core.Place.HELD)
        self.loop.call_later(0.005, self.runtime.feed, held)

    def _release(self, effect: core.SendRelease) -> None:
        ended = core.ReleaseEnded(effect.request, effect.worker, True, Ending.SERVED)
        self.loop.call_later(0.005, self.runtime.feed, ended)


def day(cost: float, effect: api.Effect, rate: float, seconds: float, time_left: int) -> Gateway:
    """Requests at an even rate; returns once all that was sent is long past its time."""
    loop = VirtualLoop()
    gateways = list[Gateway]()

    async def play() -> None:
        gateway = Gateway(loop, cost, effect)
        gateways.append(gateway)
        began = loop.time()
        for number in range(int(rate * seconds)):
            sent_at = began + number / rate
            await asyncio.sleep(max(0.0, sent_at - loop.time()))
            gateway.take(f"q{number}", round(sent_at * SECOND), time_left)
        await asyncio.sleep(time_left / SECOND + 10)

    run(loop, play())
    return gateways[0]


def late(gateway: Gateway) -> list[Any]:
    """Requests without a final answer in time, or the beginning of their stream."""
    return [
        (name, client.answer, (client.answered_at - client.deadline) / MS)
        for name, client in gateway.clients.items()
        if not client.streams and not (client.answer and client.answered_at <= client.deadline + LATE)
    ]


def test_decisions_that_take_50_ms_leave_no_request_without_an_answer() -> None:
    for effect in api.Effect:
        for time_left in (SECOND, 4 * SECOND):
            gateway = day(0.05, effect, rate=40.0, seconds=8.0, time_left=time_left)
            assert late(gateway) == [], (effect, time_left)
            assert gateway.begun_late == []
            assert gateway.runtime.state.requests == {}  # nothing is left over either
            assert not gateway.runtime.counters["module_faults"]
