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
from basaltspread.core import Ending, guards, invariants
from basaltspread.core.guards import Denial, StartFacts
from basaltspread.core.held_ledger import HeldKind, Knowledge
from basaltspread.net.clients import Exchange
from basaltspread.net.platform import Front
from basaltspread.net.runtime import Runtime
from tests.core_drive import ARRIVAL, Script
from tests.helpers import FLEET, MS, SECOND, settings

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
        self.front = Front(self.runtime, mock.MagicMock(settings=used, memory_mb=64, scratch=None))
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
        self.front._exchanges["q"] = Exchange(self.client, request, ())
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


class InvariantTest(unittest.TestCase):
    """Each is broken on purpose, past its guard, and counted with the id and its last state changes."""

    def begin(self, used: api.Settings | None = None, worker: str = "w1") -> None:
        self.used, self.now = used or settings(), 100 * SECOND
        script = Script(
            Arrival=lambda e: [api.Send("q", worker, 0)],
            AttemptEnded=lambda e: [] if e.attempt else [api.Send("q", "w3", 0)],
        )
        self.state = core.State(self.used, script)
        self.listed(*FLEET)
        self.feed(core.Taken(ARRIVAL))

    def listed(self, *entries: api.WorkerEntry) -> None:
        told = tuple(core.Listed(e, f"{e.name}:1") for e in entries)
        self.feed(core.ListTold(api.ListKind.FULL, 1, told))

    def feed(self, event: core.Input) -> list[core.Effect]:
        effects = core.reduce(self.state, self.now, event)
        self.counted = {e.name for e in effects if isinstance(e, core.Count) and "invariant" in e.name}
        self.said = [e.text for e in effects if isinstance(e, core.Say) and "invariant" in e.text]
        return effects

    def broken(self, event: core.Input, name: str) -> None:
        self.feed(event)
        self.assertEqual(self.counted, {f"invariant_{name}"})
        self.assertTrue(all(line.startswith("q: ") and "0 ms taken" in line for line in self.said), self.said)
        self.assertEqual(len(self.said), 1)

    def test_sends_that_go_round_their_guard(self) -> None:
        self.begin()
        self.state.requests["q"].ended = True
        self.broken(core.Begun("q", 0), "sent_after_end")
        self.begin()
        self.now += ARRIVAL.time_left
        self.broken(core.Begun("q", 0), "sent_past_deadline")
        self.begin()
        del self.state.workers["w1"]
        self.broken(core.Begun("q", 0), "sent_to_unavailable")
        self.begin()
        self.state.requests["q"].attempts[0].number = self.used.limits.max_attempts
        self.broken(core.Begun("q", 0), "too_many_attempts")

    def test_repeats_that_go_round_their_guard(self) -> None:
        for used, passed, name in (
            (settings(api.Effect.UNSAFE), 0, "unsafe_repeat"),
            (keyed(), WINDOW, "unsafe_repeat"),
            (keyed(api.KeyScope.ZONE), 0, "unsafe_repeat"),
            (keyed(api.KeyScope.CELL), 0, "unsafe_repeat"),
            (settings(api.Effect.SAFE), 0, ""), (keyed(), 0, ""),
        ):  # fmt: skip
            self.begin(used)
            self.state.requests["q"].deadline += 10 * SECOND
            self.feed(core.Begun("q", 0))
            self.feed(core.Written("q", 0))
            self.feed(core.Ended("q", 0, Ending.RESET))  # the next goes to another zone and cell
            self.now += passed
            if name:
                self.broken(core.Begun("q", 1), name)
            else:
                self.feed(core.Begun("q", 1))
                self.assertEqual(self.counted, set())

    def test_a_second_copy(self) -> None:
        self.begin()
        self.feed(core.Begun("q", 0))
        self.state.requests["q"].attempts.append(core.Attempt(1, "w2", False, self.now))
        self.broken(core.Begun("q", 1), "copy_out")

    def test_answers_that_come_twice_or_late(self) -> None:
        self.begin()
        self.feed(core.Begun("q", 0))
        self.now += ARRIVAL.time_left + 600 * MS
        self.broken(core.FirstEvent("q", 0), "answered_late")
        self.begin()
        request = self.state.requests["q"]
        self.assertIsNone(invariants.of_answer(self.now, request))
        request.ended = True
        breach = invariants.of_answer(self.now, request)
        assert breach is not None
        self.assertIs(breach.invariant, invariants.Invariant.ANSWERED_TWICE)

    def test_what_is_owed_as_a_request_is_forgotten_or_the_process_ends(self) -> None:
        self.begin()
        request = self.state.requests["q"]
        self.assertEqual(list(invariants.of_state(self.state, self.now)), [])
        late = request.deadline + 600 * MS
        (breach,) = invariants.of_state(self.state, late)
        self.assertIs(breach.invariant, invariants.Invariant.UNANSWERED)
        (breach,) = invariants.of_exit(self.state)
        self.assertIs(breach.invariant, invariants.Invariant.EXITED_OWING)
        self.assertIsNone(invariants.of_dropped(request))
        request.held.add(HeldKind.STATE, "r1", self.now, Knowledge.KEPT)
        breach_of_drop = invariants.of_dropped(request)
        assert breach_of_drop is not None
        self.assertIs(breach_of_drop.invariant, invariants.Invariant.NOT_RELEASED)

    def test_what_a_front_saw_of_closing_and_starting(self) -> None:
        self.begin()
        self.broken(core.Violated("closed_unanswered", "q"), "closed_unanswered")
        self.feed(core.Violated("served_too_early"))
        self.assertEqual(self.counted, {"invariant_served_too_early"})
        for owed, gone, is_broken, denial in (
            (True, False, False, Denial.UNANSWERED), (True, True, False, None), (True, False, True, None),
            (False, False, False, None),
        ):  # fmt: skip
            self.assertIs(guards.may_close(owed, gone, is_broken), denial)
        self.assertIsNone(guards.may_serve(StartFacts(list_awaited=True, bans_read=True)))
        self.assertIs(guards.may_serve(StartFacts(False, True)), Denial.LIST_NOT_AWAITED)
        self.assertIs(guards.may_serve(StartFacts(True, False)), Denial.BANS_NOT_READ)
