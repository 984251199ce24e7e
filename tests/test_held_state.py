"""What is held for a request at engines is taken or let go in time, whatever becomes of what was written."""

from __future__ import annotations

import asyncio

from basaltspread import core
from basaltspread import interface as api
from basaltspread.core import Ending, Place
from tests.core_drive import ARRIVAL, CoreDrive, send
from tests.helpers import MS, settings
from tests.standins import Asked, FleetTest, Standin, answer_plainly, reading, writing


class SilentWriterTest(FleetTest):
    """A writer whose machine takes bytes on connections that are open, and whose process does nothing."""

    async def silent_writer(self) -> Standin:
        """It answers until it has carried one stream, and nothing at all from then on."""

        async def answer(asked: Asked) -> None:
            if any(a.target.startswith("/v1") for a in writer.seen[: writer.seen.index(asked)]):
                await asyncio.Event().wait()
            if asked.target.startswith("/state"):
                asked.reply(409 if asked.method == "POST" else 204)
            else:
                await answer_plainly(asked)

        writer = await self.standin(answer)
        return writer

    async def test_the_state_behind_a_write_that_is_not_answered_is_let_go(self) -> None:
        """The release comes while the write is still out, and for a class whose requests may not run twice
        the write stays out: what is let go has nothing to do with what may be repeated."""
        for service_class in ("ask", "order"):
            reader = await self.standin(reading())
            writer = await self.silent_writer()
            gateway = await self.fleet(r1=reader, w1=writer)
            client = await self.client(gateway)
            await client.ask("a0")
            client.send("a1", cls=service_class)
            write = await writer.until("POST", 2, "/v1")
            ended = asyncio.ensure_future(write.closed())
            released = asyncio.ensure_future(reader.until("DELETE", target="/state/a1"))
            await asyncio.wait({ended, released}, return_when=asyncio.FIRST_COMPLETED)
            self.assertTrue(released.done(), f"{service_class}: the write was given up before the release")
            self.assertFalse(ended.done(), service_class)
            ended.cancel()
            await gateway.kill()

    async def test_a_request_whose_state_was_let_go_is_served_by_another_writer(self) -> None:
        reader = await self.standin(reading())
        silent, well = await self.silent_writer(), await self.standin(writing(answer_plainly))
        gateway = await self.fleet(r1=reader, w1=silent)
        client = await self.client(gateway)
        await client.ask("a0")
        client.send("a1")
        await reader.until("DELETE", target="/state/a1")
        self.entries["w2"] = {**self.entries["w1"], "instanceId": "w2", "hostPort": well.address}
        self.tell(42, "w2", "up")
        status, _, _, whole = await client.answer()
        self.assertEqual((status, whole), (200, True))
        await gateway.stop()


LIMIT = 500 * MS  # of the rule, in the tests' settings


class HeldClockTest(CoreDrive):
    """The one clock of what is held for a request, with a scripted module."""

    def read(self, effect: api.Effect = api.Effect.SAFE, then: str = "w1") -> None:
        """A request whose read has just ended, and which is sent to a writer."""

        def go_on(event: api.AttemptEnded) -> list[api.Action]:
            return [api.Send("q", then, 0)] if event.outcome is api.Outcome.READ else []

        self.begin(Arrival=send("r1"), AttemptEnded=go_on)
        self.state.settings = settings(effect)
        for event in (core.Taken(ARRIVAL), core.Begun("q", 0), core.Written("q", 0)):
            self.feed(event)
        effects = self.kinds(core.Ended("q", 0, Ending.READ))
        self.assertEqual(effects, ["StartAttempt"])
        self.read_at, self.due = self.now, self.held_wakes()

    def held_wakes(self) -> list[core.Wake]:
        return [wake for wake in self.wakes if wake.token[0] == "held"]

    def written(self, number: int = 1) -> None:
        self.feed(core.Begun("q", number))
        self.feed(core.Written("q", number))

    def at_limit(self) -> list[core.Effect]:
        """The effects of the looks at the clock, up to the last of them."""
        effects = list[core.Effect]()
        while self.due:
            (due,) = self.due
            self.now = due.at
            effects += self.feed(core.Woken(due.token))
            self.due = self.held_wakes()
        return effects

    def test_it_is_let_go_while_the_write_stays_out_whatever_its_effect(self) -> None:
        for effect in api.Effect:
            self.read(effect)
            self.written()
            effects = self.at_limit()
            self.assertLess(self.now - self.read_at, LIMIT - 100 * MS)
            self.assertEqual([type(e) for e in effects], [core.SendRelease], effect)
            self.assertIn(api.StateReleased("q"), self.module.told)
            self.assertIsNone(self.state.requests["q"].held.since())

    def test_engines_that_do_not_hear_the_release_are_passed_by_in_time(self) -> None:
        self.read()
        self.written()
        (first,) = self.at_limit()
        workers = [first, *self.woken("release")]
        self.assertEqual({type(effect) for effect in workers}, {core.SendRelease})
        self.assertEqual(len({e.worker for e in workers if isinstance(e, core.SendRelease)}), 3)
        self.assertLess(self.now - self.read_at, LIMIT)

    def test_an_engine_that_answered_in_time_keeps_what_it_took(self) -> None:
        self.read()
        self.written()
        self.feed(core.FirstEvent("q", 1))
        self.assertEqual(self.at_limit(), [])

    def test_an_answer_that_is_no_end_begins_the_clock_anew(self) -> None:
        self.read()
        self.written()
        self.feed(core.Ended("q", 1, Ending.TURNED_AWAY), after=190 * MS)
        effects = self.at_limit()
        self.assertEqual([type(e) for e in effects], [core.SendRelease])
        self.assertEqual(self.now - self.read_at, 190 * MS + int(0.7 * LIMIT))

    def test_a_connection_that_broke_does_not(self) -> None:
        for ending in (Ending.RESET, Ending.CONNECT_TIMED_OUT, Ending.BROKE_UNSENT, Ending.REFUSED):
            self.read()
            self.written()
            self.feed(core.Ended("q", 1, ending), after=200 * MS)
            self.assertEqual(self.state.requests["q"].held.since(), self.read_at, ending)
            self.assertEqual([type(e) for e in self.at_limit()], [core.SendRelease], ending)

    def test_a_write_that_waits_for_its_connection_is_not_begun_any_more(self) -> None:
        self.read()
        effects = self.at_limit()
        self.assertIn(core.AbandonAttempt("q", 1), effects)
        ended = [event for event in self.module.told if isinstance(event, api.AttemptEnded)]
        self.assertIs(ended[-1].outcome, api.Outcome.NOT_SENT)
        self.assertIsInstance(self.module.told[-2], api.StateReleased)  # first, so that it is not sent again

    def test_what_a_late_arrival_kept_is_let_go_as_its_attempt_ends(self) -> None:
        """The release passed over the state that the attempt waited for."""
        for ending, again in ((Ending.TIMED_OUT, True), (Ending.RESET, True), (Ending.STATE_GONE, False)):
            self.read(api.Effect.UNSAFE)
            self.written()
            (release,) = self.at_limit()
            assert isinstance(release, core.SendRelease)
            self.feed(core.ReleaseEnded("q", release.worker, Ending.SERVED))
            self.assertEqual(self.state.releases, {})
            self.feed(core.Ended("q", 1, ending), after=50 * MS)
            held = self.state.requests["q"].held.since()
            self.assertEqual(held is not None, again, ending)

    def test_a_late_arrival_that_finds_no_state_has_not_run_and_may_go_on(self) -> None:
        self.read(api.Effect.UNSAFE)
        self.written()
        self.at_limit()
        self.feed(core.Ended("q", 1, Ending.STATE_GONE), after=50 * MS)
        told = self.module.told[-1]
        assert isinstance(told, api.AttemptEnded)
        self.assertEqual((told.outcome, told.detail), (api.Outcome.FULL, 1))

    def ask_place(self, said: Place | None) -> None:
        """A read is out and a writer is asked for a place; what it says, if anything."""
        self.begin(Arrival=lambda e: [api.Send("q", "r1", 0), api.HoldPlace("q", "w1")])
        for event in (core.Taken(ARRIVAL), core.Begun("q", 0)):
            self.feed(event)
        self.feed(core.Written("q", 0))
        self.due = self.held_wakes()
        if said is not None:
            self.feed(core.PlaceEnded("q", 0, "w1", said), after=10 * MS)

    def test_a_place_that_was_asked_behind_a_read_that_may_not_have_arrived_is_let_go(self) -> None:
        """A reader that hangs on an open connection is not out; a place may be held for nothing."""
        for said in (None, Place.UNKNOWN):
            self.ask_place(said)
            self.assertEqual([type(e) for e in self.at_limit()], [core.SendRelease], said)

    def test_a_state_that_a_writer_did_not_find_was_released_beside_the_next_read(self) -> None:
        """Nothing is held any more, and nothing is due."""
        self.read()
        self.written()
        self.feed(core.Ended("q", 1, Ending.STATE_GONE))
        self.assertFalse(self.state.requests["q"].held.holds())

    def test_a_place_that_was_refused_holds_nothing(self) -> None:
        self.ask_place(Place.NOT_HELD)
        self.assertEqual(self.at_limit(), [])

    def test_a_release_that_is_still_tried_does_not_take_the_next_state(self) -> None:
        self.ask_place(Place.UNKNOWN)
        self.at_limit()
        self.assertIn("q", self.state.releases)
        self.feed(core.Ended("q", 0, Ending.READ))
        self.assertNotIn("q", self.state.releases)
        self.assertEqual(self.state.requests["q"].held.since(), self.now)
