"""A gateway whose loop is late keeps its promise: each request has its final answer in time, and nothing
begins after its request's end. In virtual time, with the real runtime, reducer and decision module."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import Any

import pytest

from basaltspread import core
from basaltspread import interface as api
from basaltspread.control import load_shedding
from basaltspread.control.loop_load import LoopLoad
from basaltspread.core import Ending
from basaltspread.core.module_queue import ModuleQueue
from basaltspread.net.runtime import Runtime
from basaltspread.rules import Router
from tests.core_drive import ARRIVAL
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

    def __init__(self, loop: VirtualLoop, cost: float, effect: api.Effect, input_cost: float) -> None:
        self.loop, self._input_cost = loop, input_cost
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
        self.feed(core.ListTold(api.ListKind.FULL, 1, listed))
        self.feed(core.Serving())

    def feed(self, event: core.Input) -> None:
        self.loop.passed += self._input_cost
        self.runtime.feed(event)

    def take(self, name: str, sent_at: int, time_left: int) -> None:
        """A request that its client sent at that time, and that this gateway reads now."""
        self.clients[name] = Client(sent_at + time_left)
        time_left = max(0, sent_at + time_left - self.loop.now_us())
        self.feed(core.Taken(api.Arrival(
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
        self.feed(core.Begun(*key))
        self.feed(core.Written(*key))
        if effect.reading:
            self.loop.call_later(READ_TIME, self._end, key, Ending.READ)
        else:
            self.loop.call_later(FIRST_TIME, self._first, key)

    def _first(self, key: tuple[str, int]) -> None:
        if key in self._open:
            self.clients[key[0]].streams = True
            self.feed(core.FirstEvent(*key))
            self.loop.call_later(STREAM_TIME, self._end, key, Ending.SERVED)

    def _end(self, key: tuple[str, int], ending: Ending) -> None:
        if key in self._open:
            self._open.discard(key)
            self.feed(core.Ended(*key, ending))

    def _abandon(self, effect: core.AbandonAttempt) -> None:
        self._open.discard((effect.request, effect.number))

    def _place(self, effect: core.AskPlace) -> None:
        held = core.PlaceEnded(effect.request, effect.number, effect.worker, core.Place.HELD)
        self.loop.call_later(0.005, self.feed, held)

    def _release(self, effect: core.SendRelease) -> None:
        ended = core.ReleaseEnded(effect.request, effect.worker, Ending.SERVED)
        self.loop.call_later(0.005, self.feed, ended)


def day(
    cost: float, effect: api.Effect, rate: float, seconds: float, time_left: int, input_cost: float = 0.0
) -> Gateway:
    """Requests at an even rate; returns once all that was sent is long past its time. `cost` is that of a
    decision, `input_cost` of everything else that happens, in s."""
    loop = VirtualLoop()
    gateways = list[Gateway]()

    async def play() -> None:
        gateway = Gateway(loop, cost, effect, input_cost)
        gateways.append(gateway)
        began = loop.time()
        for number in range(int(rate * seconds)):
            sent_at = began + number / rate
            if sent_at > loop.time():  # all that has come by now is read in one turn
                await asyncio.sleep(sent_at - loop.time())
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


def test_a_process_held_to_a_fraction_of_a_core_leaves_no_request_without_an_answer() -> None:
    """Everything is slow, not only what is decided."""
    for time_left in (SECOND, 4 * SECOND):
        gateway = day(0.02, api.Effect.UNSAFE, 40.0, 8.0, time_left, input_cost=0.004)
        assert late(gateway) == [], time_left
        assert gateway.begun_late == []
        assert gateway.runtime.state.requests == {}


def test_a_gateway_that_is_not_late_sheds_nothing() -> None:
    gateway = day(0.001, api.Effect.SAFE, 40.0, 4.0, 4 * SECOND)
    assert {client.answer for client in gateway.clients.values()} == {"served"}
    assert not gateway.runtime.counters["refused_for_lag"]


def test_what_is_refused_for_lag_is_refused_at_once() -> None:
    """A client that is told so at its deadline could have asked elsewhere long before."""
    gateway = day(0.05, api.Effect.SAFE, 40.0, 8.0, 4 * SECOND)
    refused = [client for client in gateway.clients.values() if client.answer == "refused"]
    early = [client for client in refused if client.answered_at < client.deadline - 3 * SECOND]
    assert gateway.runtime.counters["refused_for_lag"] == len(early) == len(refused)


def test_answers_go_out_before_anything_is_decided() -> None:
    """Ten deadlines that are due at once, beside decisions of 0.2 s: no answer waits for more than one."""
    loop = VirtualLoop()
    gateways = list[Gateway]()

    async def play() -> None:
        gateway = Gateway(loop, 0.2, api.Effect.SAFE, 0.0)
        gateways.append(gateway)
        gateway.runtime.state.module.handle = undecided  # type: ignore[method-assign]
        sent_at = loop.now_us()
        for number in range(10):
            gateway.take(f"q{number}", sent_at, 3 * SECOND)
        await asyncio.sleep(8.0)

    def undecided(now: int, events: list[api.Event]) -> list[api.Action]:
        loop.passed += 0.2
        return []

    run(loop, play())
    answered = [client.answered_at for client in gateways[0].clients.values()]
    deadline = gateways[0].clients["q0"].deadline
    assert len(answered) == 10 and answered == [answered[0]] * 10
    assert answered[0] < deadline + 250 * MS


def test_the_module_hears_outcomes_before_arrivals_and_each_in_order() -> None:
    queue = ModuleQueue()
    gone = [api.ClientGone(name) for name in ("a", "b")]
    arrivals = [replace(ARRIVAL, request=name) for name in ("c", "d")]
    for event in (arrivals[0], gone[0], arrivals[1], gone[1]):
        queue.add(event)
    assert queue.holds("d") and not queue.holds("e")
    assert [queue.take() for _ in range(4)] == [*gone, *arrivals]
    assert not queue.holds("d") and not queue


@pytest.mark.parametrize(("late_by", "undecided", "taken"), [
    (0, 0, True), (249 * MS, 0, True), (251 * MS, 0, False), (0, 24, True), (0, 26, False),
    (150 * MS, 9, True), (150 * MS, 11, False),
])  # fmt: skip
def test_who_is_refused_for_lag(late_by: int, undecided: int, taken: bool) -> None:
    load = LoopLoad()
    load.decision_time = 10 * MS
    load.late(SECOND, late_by)
    used = settings()
    used = replace(used, classes=(replace(used.classes[0], aim=SECOND),))
    for time_left in (SECOND, 4 * SECOND, 40 * SECOND):
        arrival = replace(ARRIVAL, time_left=time_left)
        found = load_shedding.refusal(used, load, SECOND, undecided, arrival)
        assert (found is None) is taken, time_left


def test_clients_refused_for_lag_are_told_to_come_back_at_different_times() -> None:
    load = LoopLoad()
    load.late(SECOND, SECOND)
    used = settings()
    told = [
        load_shedding.refusal(used, load, SECOND, 0, replace(ARRIVAL, request=f"q{number}"))
        for number in range(100)
    ]
    waits = [wait for wait in told if wait is not None]
    most = used.limits.max_retry_after
    assert len(waits) == 100 and len(set(waits)) > 90
    assert min(waits) >= most / 2 and max(waits) <= most
    silent = replace(used, limits=replace(used.limits, retry_after=False))
    assert load_shedding.refusal(silent, load, SECOND, 0, ARRIVAL) == 0
