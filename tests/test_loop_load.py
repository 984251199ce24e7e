"""The measurements that admission goes by, and what says of an attempt that it waits."""

from __future__ import annotations

import time
from unittest import mock

from basaltspread import core
from basaltspread import interface as api
from basaltspread.control.loop_load import LAG_HALF_LIFE, LoopLoad
from basaltspread.core import Ending, invariants
from basaltspread.net.log_limit import LineLimit
from basaltspread.net.timed_module import TimedModule
from tests.core_drive import ARRIVAL, CoreDrive, send
from tests.helpers import MS, SECOND
from tests.standins import SETTINGS, Asked, FleetTest, answer_plainly, reading, writing


def test_a_lag_fades_and_a_smaller_one_does_not_hide_it() -> None:
    load = LoopLoad()
    load.late(SECOND, 80 * MS)
    load.late(SECOND + LAG_HALF_LIFE, 10 * MS)
    assert load.lag(SECOND + LAG_HALF_LIFE) == 40 * MS
    load.late(SECOND + LAG_HALF_LIFE, 60 * MS)
    assert load.lag(SECOND + 2 * LAG_HALF_LIFE) == 30 * MS
    assert load.figures(SECOND + LAG_HALF_LIFE)["most_loop_lag_us"] == 80 * MS


def test_decision_times_are_kept_by_the_number_of_engines() -> None:
    load = LoopLoad()
    for took, engines in ((100, 12), (100, 16), (900, 17), (5000, 3200)):
        load.decided(took, engines)
    figures = load.figures(SECOND)
    sizes = {name: figure for name, figure in figures.items() if name.startswith("decision_us_up_to")}
    assert sizes == {"decision_us_up_to_16": 100, "decision_us_up_to_32": 900, "decision_us_up_to_4096": 5000}
    assert figures["most_decision_us"] == 5000


def test_accept_waits() -> None:
    load = LoopLoad()
    load.accepted(0)
    load.accepted(200 * MS)
    figures = load.figures(SECOND)
    assert (figures["accept_wait_us"], figures["most_accept_wait_us"]) == (20 * MS, 200 * MS)


def test_the_decision_module_is_timed_also_where_it_fails() -> None:
    clock, load = iter((1_000, 4_000, 5_000, 15_000, 20_000, 70_000)), LoopLoad()
    module = mock.Mock()
    module.handle.side_effect = ([], ValueError, [])
    timed = TimedModule(module, load, lambda: next(clock), lambda: 12)
    assert timed.handle(0, []) == []
    try:
        timed.handle(0, [])
    except ValueError:
        assert load.most_decision_time == 10_000
    assert load.figures(0)["decision_us_up_to_16"] == 3_700
    timed.handle(0, [api.WorkerList(api.ListKind.FULL, 1, ())])  # a whole list says nothing of requests
    assert load.figures(0)["decision_us_up_to_16"] == 3_700
    assert load.most_decision_time == 50_000


def test_lines_of_one_second_are_limited() -> None:
    limit = LineLimit(2)
    with mock.patch.object(time, "monotonic", side_effect=(7.1, 7.2, 7.9, 8.0)):
        assert [limit.due() for _ in range(4)] == [True, True, False, True]


class UnansweredTest(CoreDrive):
    def wake(self, kind: str) -> core.Woken:
        (found,) = [wake for wake in self.wakes if wake.token[0] == kind]
        self.now = found.at
        return core.Woken(found.token)

    def said(self) -> list[core.SayUnanswered]:
        due = self.wake("unanswered")
        effects = core.reduce(self.state, self.now, due)
        return [effect for effect in effects if isinstance(effect, core.SayUnanswered)]

    def test_an_attempt_that_waits_past_the_usual_time_is_said_once(self) -> None:
        self.begin(Arrival=send("r1"))
        for event in (core.Taken(ARRIVAL), core.Begun("q", 0), core.Written("q", 0)):
            self.feed(event)
        (line,) = self.said()
        self.assertEqual((line.worker, line.reading, line.silent_for), ("r1", True, None))
        self.assertEqual(line.waited, 250 * MS)  # half of what is allowed for held state

    def test_a_usual_time_that_is_long_is_waited_for(self) -> None:
        self.begin(Arrival=send("r1"))
        self.state.read_times.add(400 * MS, 1)
        for event in (core.Taken(ARRIVAL), core.Begun("q", 0), core.Written("q", 0)):
            self.feed(event)
        (line,) = self.said()
        self.assertEqual(line.waited, 1200 * MS)

    def test_an_answered_attempt_is_not_said(self) -> None:
        self.begin(Arrival=send("r1"))
        for event in (core.Taken(ARRIVAL), core.Begun("q", 0), core.Written("q", 0)):
            self.feed(event)
        due = self.wake("unanswered")
        self.feed(core.Ended("q", 0, Ending.READ))
        effects = core.reduce(self.state, self.now, due)
        self.assertFalse([effect for effect in effects if isinstance(effect, core.SayUnanswered)])

    def test_the_age_of_what_is_held(self) -> None:
        self.begin(Arrival=send("r1"))
        for event in (core.Taken(ARRIVAL), core.Begun("q", 0), core.Written("q", 0)):
            self.feed(event)
        self.assertEqual(core.oldest_held(self.state, self.now), 0)  # a read that is out holds nothing
        self.feed(core.Ended("q", 0, Ending.READ))
        self.assertEqual(core.oldest_held(self.state, self.now + 70 * MS), 70 * MS)
        self.feed(core.ClientLeft("q"))
        self.assertEqual(core.oldest_held(self.state, self.now), 0)

    def test_what_is_held_too_long_is_an_invariant(self) -> None:
        request = core.Request("q", 0, SECOND)
        limit = 500 * MS
        self.assertIsNone(invariants.of_held(limit + invariants.HELD_SLACK, request, 0, limit))
        breach = invariants.of_held(limit + invariants.HELD_SLACK + 1, request, 0, limit)
        assert breach is not None
        self.assertIs(breach.invariant, invariants.Invariant.HELD_TOO_LONG)
        self.assertIsNone(invariants.of_held(60 * SECOND, request, 0, 0))  # settings that name no limit


class FiguresTest(FleetTest):
    async def test_a_real_gateway_says_what_waits_and_shows_its_load(self) -> None:
        async def silent(asked: Asked) -> None:
            if len([a for a in writer.seen if a.method == "POST" and "completions" in a.target]) == 1:
                await answer_plainly(asked)

        writer = await self.standin(writing(silent))
        # Without places each write finds the connection of the one before at rest.
        specifics = {**SETTINGS["specifics"], "early_pairing": False}
        more = {"management": "127.0.0.1:0", "settings": {**SETTINGS, "specifics": specifics}}
        gateway = await self.fleet(r1=await self.standin(reading()), w1=writer, more=more)
        client = await self.client(gateway)
        await client.ask("a0")
        client.send("a1", cls="order")
        line = await gateway.until("a1/1 write at w1 unanswered")
        self.assertRegex(
            line, r"kept connection, (\d+) bytes written, \1 acknowledged; engine silent for \d+"
        )
        counters = await gateway.counters()
        self.assertGreaterEqual(counters["attempts_unanswered"], 1)
        self.assertGreater(counters["decision_us"], 0)
        _, shown = await gateway.operate("GET", "/-/metrics")
        for name in ("oldest_held_us", "held_entries", "late_questions", "untaken_sends", "release_us",
                     "release_waves", "most_release_us", "loop_lag_us", "decision_us", "accept_wait_us",
                     "decision_us_up_to_2"):  # fmt: skip
            self.assertIn(name, shown)
