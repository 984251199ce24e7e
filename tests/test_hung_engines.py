"""What is held for requests while engines hang: their systems take bytes, and their processes do nothing."""

from __future__ import annotations

import asyncio
import functools
import random
from dataclasses import replace

from basaltspread import core
from basaltspread import interface as api
from basaltspread.core import Ending, Place
from basaltspread.core.held_ledger import HeldKind
from basaltspread.lab.world import World
from tests.core_drive import ARRIVAL, CoreDrive
from tests.helpers import FLEET, MS, SECOND, settings
from tests.standins import Asked, FleetTest, Handler, Standin, answer_plainly, reading, writing

LIMIT = 500 * MS  # of the rule on held state, in the tests' settings
RULE = LIMIT + 300 * MS  # with its slack


class HungEngineTest(FleetTest):
    """The real program between stand-ins of which one stops to do anything once it has done one request."""

    async def hung(self, handler: Handler) -> Standin:
        async def answer(asked: Asked) -> None:
            before = engine.seen[: engine.seen.index(asked)]
            if any(a.target.startswith("/v1") for a in before):
                await asyncio.Event().wait()
            await handler(asked)

        engine = await self.standin(answer)
        return engine

    async def test_a_place_kept_for_a_read_at_a_hung_reader_is_released_while_the_read_is_out(self) -> None:
        for service_class in ("ask", "order"):
            reader, writer = await self.hung(reading()), await self.standin(writing(answer_plainly))
            gateway = await self.fleet(r1=reader, w1=writer)
            client = await self.client(gateway)
            await client.ask("a0")
            client.send("a1", cls=service_class)
            read = await reader.until("POST", 2, "/v1")
            ended = asyncio.ensure_future(read.closed())
            released = asyncio.ensure_future(writer.until("DELETE", target="/state/a1"))
            await asyncio.wait({ended, released}, return_when=asyncio.FIRST_COMPLETED)
            self.assertTrue(released.done(), f"{service_class}: the read was given up before the release")
            self.assertEqual(writer.count("POST", "/state/a1"), 1)
            for task in (ended, released):
                task.cancel()
            await gateway.kill()

    async def test_a_place_that_a_writer_keeps_as_it_wakes_up_is_released_again(self) -> None:
        """It takes the question after its request has ended, and the release has been heard."""
        awake = asyncio.Event()

        async def late(asked: Asked) -> None:
            if asked.method == "POST" and asked.target == "/state/a1":
                await awake.wait()
            await writing(answer_plainly)(asked)

        reader, writer = await self.hung(reading()), await self.standin(late)
        gateway = await self.fleet(r1=reader, w1=writer)
        client = await self.client(gateway)
        client.send("a0")
        await reader.until("POST", 1, "/v1")
        await client.answer()
        client.send("a1")
        await writer.until("POST", 2, "/state")
        client.close()
        await writer.until("DELETE", target="/state/a1")
        await gateway.until_true(lambda c: c["now_releases"] == 0 and self.given_up(c))
        releases = writer.count("DELETE", "/state/a1")
        awake.set()
        await writer.until("DELETE", releases + 1, target="/state/a1")
        await gateway.kill()

    @staticmethod
    def given_up(counters: dict[str, int]) -> bool:
        """All is over but for the question: its answer is still heard, or it was given up."""
        return counters["now_requests"] == 0 or counters.get("now_late_questions", 0) > 0


class PlaceBehindReadTest(CoreDrive):
    """The clock of a place while its read is out, with a scripted module."""

    def ask(self, *writers: str, probes: bool = True, release_within: int = LIMIT) -> None:
        """A read is out at r1, and these writers are asked, one as the other has answered."""
        self.writers = list(writers)

        def next_writer(event: object) -> list[api.Action]:
            return [api.HoldPlace("q", self.writers.pop(0))] if self.writers else []

        self.begin(
            Arrival=lambda e: [api.Send("q", "r1", 0), *next_writer(e)],
            PlaceAnswer=lambda e: [] if e.held else next_writer(e),
            ClientGone=lambda e: [api.Cancel(e.request, 0)],
        )
        plain = settings()
        rules = replace(plain.rules, release_within=release_within)
        self.state.settings = replace(plain, rules=rules, limits=replace(plain.limits, probes=probes))
        self.checks = list[core.Wake]()
        for event in (core.Taken(ARRIVAL), core.Begun("q", 0), core.Written("q", 0)):
            self.seen(event)
        self.asked_at = self.now

    def seen(self, event: core.Input, after: int = 0) -> list[core.Effect]:
        effects = self.feed(event, after)
        self.checks += [wake for wake in self.wakes if wake.token[0] == "held"]
        return effects

    def until(self, when: int) -> list[core.Effect]:
        """The effects of the looks at the clock up to this time after the question."""
        effects = list[core.Effect]()
        while due := [wake for wake in self.checks if wake.at <= self.asked_at + when]:
            wake = min(due, key=lambda wake: wake.at)
            self.checks.remove(wake)
            self.now = max(self.now, wake.at)
            effects += self.seen(core.Woken(wake.token))
        self.now = self.asked_at + when
        return effects

    def releases(self, effects: list[core.Effect]) -> list[str]:
        return [e.worker for e in effects if isinstance(e, core.SendRelease) and e.request == "q"]

    def test_a_place_kept_is_no_sign_of_the_reader(self) -> None:
        self.ask("w1")
        self.seen(core.PlaceEnded("q", 0, "w1", Place.HELD), after=2 * MS)
        self.assertEqual(len(self.releases(self.until(LIMIT))), 1)
        self.assertFalse(self.state.requests["q"].attempts[0].over)
        self.assertIn(api.StateReleased("q"), self.module.told)

    def test_the_reader_is_asked_for_a_sign_before_its_place_is_released(self) -> None:
        self.ask("w1")
        self.seen(core.PlaceEnded("q", 0, "w1", Place.HELD), after=2 * MS)
        asked = [e for e in self.until(LIMIT // 2) if isinstance(e, core.StartProbe)]
        self.assertEqual([e.worker for e in asked], ["r1"])

    def test_where_no_probes_are_allowed_a_release_that_is_over_asks_for_the_sign(self) -> None:
        self.ask("w1", probes=False)
        self.state.last_dropped = "p"
        self.seen(core.PlaceEnded("q", 0, "w1", Place.HELD), after=2 * MS)
        asked = [e for e in self.until(LIMIT // 2) if isinstance(e, core.SendRelease)]
        self.assertEqual([(e.request, e.worker) for e in asked], [("p", "r1")])

    def test_a_busy_reader_was_asked_by_a_probe_that_waits_its_turn(self) -> None:
        """A release for a request that is over is answered at once, also where probes are allowed."""
        self.ask("w1")
        self.state.last_dropped = "p"
        self.seen(core.PlaceEnded("q", 0, "w1", Place.HELD), after=2 * MS)
        effects = self.until(LIMIT // 2)
        asked = [(e.request, e.worker) for e in effects if isinstance(e, core.SendRelease)]
        self.assertEqual(asked, [("p", "r1")])
        self.assertFalse([e for e in effects if isinstance(e, core.StartProbe)])

    def test_a_release_took_what_a_slow_read_had_made_though_its_reader_ran(self) -> None:
        """The place is asked for again in its place: the rule counts from the last question."""
        self.ask("w1")
        self.seen(core.PlaceEnded("q", 0, "w1", Place.HELD), after=2 * MS)
        released, asked = list[str](), 0
        for sign_at in range(20 * MS, 3 * SECOND, 20 * MS):
            effects = self.until(sign_at)
            released += self.releases(effects)
            for question in [e for e in effects if isinstance(e, core.AskPlace)]:
                asked += 1
                self.seen(core.PlaceEnded("q", 0, question.worker, Place.HELD))
            self.seen(core.Probed("r1", Ending.SERVED, 2 * MS))
        self.assertEqual(released, [])
        self.assertLessEqual(asked, 3 * SECOND // (LIMIT // 2))

    def test_a_reader_that_does_not_answer_is_asked_once_a_second(self) -> None:
        self.ask("w1")
        self.reads_take(SECOND)
        asked = 0
        for round_number in range(3):
            at = round_number * 600 * MS
            self.until(at)
            self.seen(core.PlaceEnded("q", 0, "w1", Place.HELD))
            asked += sum(isinstance(e, core.StartProbe) for e in self.until(at + 590 * MS))
            self.ask_another("w1", at + 595 * MS)
        self.assertEqual(asked, 2)

    def test_a_reader_that_runs_keeps_the_place_of_a_long_read_until_it_is_silent(self) -> None:
        self.ask("w1")
        self.reads_take(500 * MS)
        self.seen(core.PlaceEnded("q", 0, "w1", Place.HELD), after=2 * MS)
        for sign_at in (220 * MS, 460 * MS):
            self.assertEqual(self.releases(self.until(sign_at)), [])
            self.seen(core.Probed("r1", Ending.SERVED, 2 * MS))
        self.assertEqual(self.releases(self.until(460 * MS + LIMIT // 2)), [])
        self.assertEqual(len(self.releases(self.until(460 * MS + LIMIT))), 1)

    def test_a_question_without_an_answer_is_released_at_seven_tenths_of_any_limit(self) -> None:
        for limit in (500 * MS, 300 * MS, 2 * SECOND):
            self.ask("w1", release_within=limit)
            self.assertEqual(self.releases(self.until(limit * 7 // 10 - 1)), [], limit)
            self.assertEqual(len(self.releases(self.until(limit * 7 // 10))), 1, limit)
        self.ask("w1", release_within=0)
        self.assertEqual(self.releases(self.until(20 * SECOND)), [])

    def test_what_a_reader_said_before_the_read_is_no_sign_of_it(self) -> None:
        self.ask("w1")
        self.state.contacts.heard("r1", self.now - 1)
        self.seen(core.PlaceEnded("q", 0, "w1", Place.HELD), after=2 * MS)
        self.assertEqual(len(self.releases(self.until(LIMIT))), 1)

    def test_a_read_that_a_running_reader_has_not_got_covers_nothing_for_long(self) -> None:
        """Its connection leads nowhere, and the reader answers all others."""
        self.ask("w1")
        self.reads_take(30 * MS)
        self.seen(core.PlaceEnded("q", 0, "w1", Place.HELD), after=2 * MS)
        released = list[str]()
        for sign_at in range(20 * MS, RULE, 20 * MS):
            released += self.releases(self.until(sign_at))
            self.seen(core.Probed("r1", Ending.SERVED, 2 * MS))
        self.assertEqual(len(released), 1)

    def reads_take(self, time: int) -> None:
        """As has been learnt of prompts of this size."""
        for _ in range(20):
            self.state.read_times.add(time, ARRIVAL.prompt_tokens)

    def test_a_writer_that_refuses_says_nothing_of_the_place_that_another_keeps(self) -> None:
        self.ask("w1")
        self.seen(core.PlaceEnded("q", 0, "w1", Place.HELD), after=2 * MS)
        self.ask_another("w2", at=100 * MS)
        self.seen(core.PlaceEnded("q", 0, "w2", Place.NOT_HELD), after=2 * MS)
        self.assertEqual(len(self.releases(self.until(LIMIT))), 1)

    def test_a_question_that_nobody_has_heard_begins_no_clock_anew(self) -> None:
        self.ask("w1")
        self.seen(core.PlaceEnded("q", 0, "w1", Place.UNKNOWN), after=2 * MS)
        for at, writer in ((100 * MS, "w2"), (200 * MS, "w3"), (300 * MS, "w2")):
            self.ask_another(writer, at)
        self.assertEqual(len(self.releases(self.until(LIMIT))), 1)

    def ask_another(self, writer: str, at: int) -> None:
        """The module asks one more writer, so long after the first question."""
        self.until(at)
        self.module.answers["TimerFired"] = lambda e: [api.HoldPlace("q", writer)]
        self.seen(core.Woken(("timer", 1)))

    def test_a_place_taken_after_the_release_is_released_at_once(self) -> None:
        self.ask("w1")
        self.assertEqual(len(self.releases(self.until(LIMIT))), 1)
        (release,) = self.state.releases["q"].open
        self.feed(core.ReleaseEnded("q", release, Ending.SERVED))
        effects = self.feed(core.PlaceEnded("q", 0, "w1", Place.HELD), after=600 * MS)
        self.assertEqual(len(self.releases(effects)), 1)
        self.assertNotIn("PlaceAnswer", [type(event).__name__ for event in self.module.told])

    def test_a_place_taken_late_does_not_take_the_next_state_with_it(self) -> None:
        self.ask("w1")
        self.until(LIMIT)
        (release,) = self.state.releases["q"].open
        self.feed(core.ReleaseEnded("q", release, Ending.SERVED))
        self.seen(core.Ended("q", 0, Ending.READ), after=100 * MS)
        read_at = self.now - self.asked_at
        effects = self.seen(core.PlaceEnded("q", 0, "w1", Place.HELD), after=10 * MS)
        self.assertEqual(self.releases(effects + self.until(read_at + LIMIT // 2)), [])
        self.assertEqual(len(self.releases(self.until(read_at + LIMIT))), 1)

    def test_a_question_given_up_is_released_at_its_engines_first_sign_of_life(self) -> None:
        self.ask("w1")
        self.until(LIMIT)
        (release,) = self.state.releases["q"].open
        self.feed(core.ReleaseEnded("q", release, Ending.SERVED))
        self.feed(core.PlaceEnded("q", 0, "w1", Place.UNANSWERED), after=600 * MS)
        self.feed(core.ClientLeft("q"))
        self.feed(core.Woken(("release", "q", 0)), after=core.GIVE_UP_PAUSE)
        for engine in list(self.state.releases["q"].open):
            self.feed(core.ReleaseEnded("q", engine, Ending.SERVED))
        self.assertEqual((self.state.requests, self.state.releases), ({}, {}))
        effects = self.feed(core.Probed("w1", Ending.SERVED, 2 * MS), after=SECOND)
        self.assertEqual(self.releases(effects), ["w1"])
        self.assertEqual(len(self.state.untaken), 1)  # the read at r1, which has given no sign

    def test_what_is_taken_late_for_a_request_that_goes_on_waits_for_its_clock(self) -> None:
        """A release at once could take the state that it has by now."""
        self.ask("w1")
        self.until(LIMIT)
        (release,) = self.state.releases["q"].open
        self.feed(core.ReleaseEnded("q", release, Ending.SERVED))
        self.feed(core.PlaceEnded("q", 0, "w1", Place.UNANSWERED))
        effects = self.seen(core.Probed("w1", Ending.SERVED, 2 * MS))
        self.assertEqual(self.releases(effects), [])
        self.assertEqual(self.state.requests["q"].held.since(), self.now)

    def over_with_a_question(self) -> None:
        """The request is over, and w1 has not answered whether it keeps a place."""
        self.ask("w1")
        self.feed(core.ClientLeft("q"), after=10 * MS)
        self.again = self.place_wakes()
        for wake in [wake for wake in self.wakes if wake.token[0] == "release"]:
            self.now = wake.at
            (release,) = self.releases(self.feed(core.Woken(wake.token)))
            self.again += self.place_wakes()
        self.feed(core.ReleaseEnded("q", release, Ending.SERVED))

    def test_a_question_whose_answer_is_cut_off_is_released_again_until_it_comes(self) -> None:
        """Its engine may have taken it behind the cut."""
        self.over_with_a_question()
        for _ in range(3):
            (wake,) = self.again
            at, self.now = self.now, wake.at
            (release,) = self.releases(self.feed(core.Woken(wake.token)))
            self.again = self.place_wakes()
            self.feed(core.ReleaseEnded("q", release, Ending.SERVED))
            self.assertLess(self.now - at, LIMIT)
        self.feed(core.PlaceEnded("q", 0, "w1", Place.NOT_HELD))
        self.assertEqual((self.state.requests, len(self.state.untaken)), ({}, 1))  # the read at r1

    def place_wakes(self) -> list[core.Wake]:
        """When the question that may be taken is released again."""
        return [w for w in self.wakes if w.token[0] == "untaken" and w.token[3] is HeldKind.PLACE]

    def test_an_engine_that_wakes_up_before_it_answers_the_question_gets_a_release(self) -> None:
        self.over_with_a_question()
        self.assertEqual(len(self.releases(self.feed(core.Probed("w1", Ending.SERVED, 2 * MS)))), 1)

    def test_questions_that_are_heard_out_are_bounded(self) -> None:
        self.begin(
            Arrival=lambda e: [api.Send(e.request, "r1", 0), api.HoldPlace(e.request, "w1")],
            ClientGone=lambda e: [api.Cancel(e.request, 0)],
        )
        dropped = list[core.AbandonPlace]()
        for number in range(100):
            name = f"q{number}"
            for event in (core.Taken(replace(ARRIVAL, request=name)), core.Begun(name, 0)):
                self.feed(event)
            self.feed(core.Written(name, 0))
            effects = self.feed(core.ClientLeft(name)) + self.feed(
                core.Woken(("release", name, 0)), after=core.GIVE_UP_PAUSE
            )
            dropped += [e for e in effects if isinstance(e, core.AbandonPlace)]
        self.assertEqual(len(self.state.late_questions), 64)
        self.assertEqual([e.request for e in dropped], [f"q{number}" for number in range(36)])

    def test_a_process_that_has_to_end_hears_no_question_out(self) -> None:
        self.over_with_a_question()
        self.assertEqual(list(self.state.requests), ["q"])
        self.feed(core.Terminate())
        (door,) = [wake for wake in self.wakes if wake.token == ("door",)]
        self.now = door.at
        self.assertIn("Exit", self.kinds(core.Woken(door.token)))


class GivenUpSendTest(CoreDrive):
    """What was written and given up without a sign of its engine."""

    def given_up(self, after: int) -> None:
        """A read at r1, whose client leaves so long after it was written; its release has been heard."""
        self.begin(Arrival=lambda e: [api.Send("q", "r1", 0)], ClientGone=lambda e: [api.Cancel("q", 0)])
        for event in (core.Taken(ARRIVAL), core.Begun("q", 0), core.Written("q", 0)):
            self.feed(event)
        self.feed(core.ClientLeft("q"), after=after)
        self.again = [wake for wake in self.wakes if wake.token[0] == "untaken"]
        (release,) = self.woken("release")
        assert isinstance(release, core.SendRelease)
        self.feed(core.ReleaseEnded("q", release.worker, Ending.SERVED))
        self.assertEqual((self.state.requests, self.state.releases), ({}, {}))

    def released_again(self) -> list[str]:
        """To which engines, as the next is due; the first of them is heard by those that aren't r1."""
        (wake,) = self.again
        self.now = wake.at
        effects = self.feed(core.Woken(wake.token))
        self.again = [wake for wake in self.wakes if wake.token[0] == "untaken"]
        sent = [effect.worker for effect in effects if isinstance(effect, core.SendRelease)]
        for engine in sent:
            if engine != "r1":
                self.feed(core.ReleaseEnded("q", engine, Ending.SERVED))
        return sent

    def test_a_read_given_up_behind_a_cut_is_released_until_its_engine_gives_a_sign(self) -> None:
        self.given_up(after=200 * MS)
        self.assertEqual(self.released_again()[0], "r1")
        for _ in range(3):
            at = self.now
            self.assertEqual(len(self.released_again()), 1)
            self.assertLess(self.now - at, LIMIT)
        effects = self.feed(core.Probed("r1", Ending.SERVED, 2 * MS))
        self.assertEqual([type(effect) for effect in effects], [core.SendRelease])
        self.assertEqual(len(self.state.untaken), 0)
        self.assertEqual(self.released_again(), [])

    def test_releases_of_what_was_given_up_are_bounded(self) -> None:
        self.given_up(after=200 * MS)
        sent = 0
        while self.again:
            sent += len(self.released_again())
        self.assertEqual(sent, 13)

    def test_an_engine_that_has_the_release_itself_gets_no_other(self) -> None:
        self.given_up(after=200 * MS)
        self.released_again()
        self.assertEqual(self.feed(core.ReleaseEnded("q", "r1", Ending.SERVED)), [])
        self.assertEqual(len(self.state.untaken), 0)

    def test_what_an_engine_notices_late_to_be_given_up_is_released_once_more(self) -> None:
        """A release passes over the state that a write waits for, and the write was given up just before."""
        self.begin(Arrival=lambda e: [api.Send("q", "w1", 0)], ClientGone=lambda e: [api.Cancel("q", 0)])
        for event in (core.Taken(ARRIVAL), core.Begun("q", 0), core.Written("q", 0)):
            self.feed(event)
        self.feed(core.ClientLeft("q"), after=5 * MS)
        self.again = [wake for wake in self.wakes if wake.token[0] == "untaken"]
        self.assertEqual(len(self.again), 1)
        self.assertEqual(self.released_again()[0], "w1")
        self.feed(core.ReleaseEnded("q", "w1", Ending.SERVED))
        self.assertEqual(len(self.state.untaken), 0)

    def test_a_read_called_back_while_its_request_goes_on_is_released_early_for_a_silent_reader_alone(
        self,
    ) -> None:
        for sign, listed in ((True, 0), (False, 1)):
            self.begin(Arrival=lambda e: [api.Send("q", "r1", 0)], TimerFired=lambda e: [api.Cancel("q", 0)])
            for event in (core.Taken(ARRIVAL), core.Begun("q", 0), core.Written("q", 0)):
                self.feed(event)
            self.now += 200 * MS
            if sign:
                self.feed(core.Probed("r1", Ending.SERVED, 2 * MS))
            self.feed(core.Woken(("timer", 1)))
            self.assertEqual(len(self.state.untaken), listed)

    def test_a_process_that_ends_does_not_stay_for_what_may_yet_be_taken(self) -> None:
        self.given_up(after=200 * MS)
        self.feed(core.Terminate())
        (door,) = [wake for wake in self.wakes if wake.token == ("door",)]
        self.now = door.at
        self.assertIn("Exit", self.kinds(core.Woken(door.token)))


class ContactsTest(CoreDrive):
    """What an exchange shows of its engine, and what it does not."""

    def test_an_attempt_that_this_side_ends_says_nothing_of_its_engine(self) -> None:
        for begun in (False, True):
            self.begin(Arrival=lambda e: [api.Send("q", "r1", 0)])
            self.state.contacts.heard("r1", self.now)
            heard_at = self.now
            self.feed(core.Taken(ARRIVAL))
            if begun:
                self.feed(core.Begun("q", 0))
                self.feed(core.Written("q", 0))
            self.feed(core.ClientLeft("q"), after=10 * MS)
            self.assertEqual(self.state.contacts.answered, {"r1": heard_at})
            self.assertFalse(self.state.contacts.seems_silent("r1", self.now))

    def test_a_writers_answer_about_a_place_is_a_sign_of_it(self) -> None:
        for said, sign in ((Place.HELD, True), (Place.NOT_HELD, True), (Place.UNKNOWN, True),
                           (Place.UNANSWERED, False), (Place.NOT_ASKED, False)):  # fmt: skip
            self.begin(Arrival=lambda e: [api.Send("q", "r1", 0), api.HoldPlace("q", "w1")])
            for event in (core.Taken(ARRIVAL), core.Begun("q", 0), core.Written("q", 0)):
                self.feed(event)
            self.feed(core.PlaceEnded("q", 0, "w1", said), after=10 * MS)
            self.assertEqual("w1" in self.state.contacts.answered, sign, said)


def release_time(engines: int, hung: float, seed: int) -> int:
    """us until an engine that runs has a release, with so many engines of which a share hang."""
    drive, names = CoreDrive(), [f"e{n}" for n in range(engines)]
    drive.begin(Arrival=lambda e: [api.Release(e.request), api.Refuse(e.request, 0)])
    listed = tuple(
        core.Listed(replace(FLEET[0], name=f"e{n}", zone=n % 3, cell=n % 3), f"e{n}:1")
        for n in range(engines)
    )
    drive.feed(core.ListTold(api.ListKind.FULL, 2, listed))
    draw = random.Random(seed)
    runs = set(draw.sample(names, round((1 - hung) * engines)))
    for name in draw.sample(names, min(engines, 40)):
        drive.state.contacts.heard(name, drive.now)  # all of them before they hung
    drive.now += SECOND
    began, effects = drive.now, drive.feed(core.Taken(ARRIVAL))
    while not any(isinstance(e, core.SendRelease) and e.worker in runs for e in effects):
        effects = drive.woken("release")
    return drive.now - began


def test_a_release_reaches_an_engine_that_runs_in_time_with_three_quarters_hung() -> None:
    for engines in (12, 200, 3200):
        times = [release_time(engines, 0.75, seed) for seed in range(100)]
        assert max(times) <= 200 * MS, engines


def test_releases_that_nobody_answers_do_not_add_up_to_a_storm() -> None:
    """Where all engines are slow, each release that goes to many makes them slower."""
    drive, count = CoreDrive(), 200
    drive.begin(Arrival=lambda e: [api.Release(e.request), api.Refuse(e.request, 0)])
    listed = tuple(core.Listed(replace(FLEET[0], name=f"e{n}"), f"e{n}:1") for n in range(100))
    drive.feed(core.ListTold(api.ListKind.FULL, 2, listed))
    wakes, sent = list[core.Wake](), list[core.Effect]()
    for number in range(count):
        sent += drive.feed(core.Taken(replace(ARRIVAL, request=f"q{number}")))
        wakes += [wake for wake in drive.wakes if wake.token[0] == "release"]
    while wakes and wakes[0].at < drive.now + SECOND // 2:
        wake = wakes.pop(0)
        drive.now = max(drive.now, wake.at)
        sent += drive.feed(core.Woken(wake.token))
        wakes += [wake for wake in drive.wakes if wake.token[0] == "release"]
    calls = [effect for effect in sent if isinstance(effect, core.SendRelease)]
    assert len({call.request for call in calls}) == count  # each has its first
    assert drive.state.release_calls == len(calls) <= count + 32


def test_a_release_on_a_calm_day_is_one_call() -> None:
    assert release_time(200, 0.0, 1) == 0


def test_engines_that_hang_and_wake_up_leave_nothing_held() -> None:
    """Many gateways in virtual time; connections that are open, and some that don't come up."""
    for seed, readers, writers, accepts in (
        (1, 0.7, 0.0, 1.0), (2, 0.0, 0.8, 1.0), (3, 0.0, 0.8, 0.5), (1, 0.75, 0.75, 1.0),
        (2, 0.75, 0.75, 0.5),
    ):  # fmt: skip
        world = World(seed, gateways=6, readers=6, writers=10, rate=40.0)
        world.frozen_accepts = accepts
        of_role = [[n for n, e in world.engines.items() if e.entry.kind == kind] for kind in (0, 1)]
        hung = [name for names, share in zip(of_role, (readers, writers), strict=True)
                for name in names[: round(share * len(names))]]  # fmt: skip
        for at, act in ((2 * SECOND, world.freeze), (6 * SECOND, world.thaw)):
            for name in hung:
                world.after(at, functools.partial(act, name))
        world.run(9)
        assert world.breaches == [], (seed, readers, writers, accepts)
