"""The view of a registry's instances, fed with news in every form and order."""

from __future__ import annotations

import unittest

from hypothesis import given, strategies

from basaltspread import interface as api
from basaltspread.control.registry_order import DOUBT_KEPT, InstanceId, InstanceNews, Stamps
from basaltspread.control.registry_view import RegistryView, hash_code

UP, DRAINING = api.WorkerState.UP, api.WorkerState.DRAINING
SECOND = 1_000_000  # us
UNSTAMPED = Stamps(0, 0)


def news(
    name: str,
    state: api.WorkerState = UP,
    deleted: bool = False,
    stamps: Stamps = UNSTAMPED,
    address: str = "",
) -> InstanceNews:
    entry = api.WorkerEntry(name, state, 0, 0, 1, 1.0, 0)
    return InstanceNews(
        InstanceId("ENGINES", name), state.name, deleted, stamps, entry, address or f"{name}:1"
    )


def state_of(view: RegistryView, name: str) -> api.WorkerState:
    engine = view.engines()[name].engine
    assert engine is not None
    return engine.state


def code(*instances: InstanceNews) -> str:
    return hash_code(one.status for one in instances)


class ChangesTest(unittest.TestCase):
    def view(self, *names: str) -> RegistryView:
        view = RegistryView()
        view.take_whole(0, [news(name) for name in names], 0)
        return view

    def states(self, view: RegistryView) -> dict[str, api.WorkerState]:
        return {name: state_of(view, name) for name in view.engines()}

    def test_changes_that_do_not_add_up_are_used_and_ask_for_more(self) -> None:
        """Guards a drain in changes against the wait for the whole list: review case 5."""
        view = self.view("w0", "w1")
        drain = news("w0", DRAINING)
        self.assertFalse(view.take_changes(0, [drain], code(drain, news("w1"), news("w2"))))
        self.assertEqual(self.states(view), {"w0": DRAINING, "w1": UP})
        self.assertTrue(view.take_changes(0, [news("w2")], code(drain, news("w1"), news("w2"))))

    def test_a_whole_list_does_not_undo_changes_told_since_it_was_asked_for(self) -> None:
        """Guards a drain, a new engine and a departure against a list that was long under way."""
        view = self.view("w0", "w1", "w2")
        asked_after = view.answers()
        view.take_changes(0, [news("w0", DRAINING), news("w3"), news("w2", deleted=True)], "")
        view.take_whole(0, [news("w0"), news("w1"), news("w2"), news("w4")], asked_after)
        self.assertEqual(self.states(view), {"w0": DRAINING, "w1": UP, "w3": UP, "w4": UP})

    def test_a_whole_list_counts_though_old_changes_are_repeated_meanwhile(self) -> None:
        """Guards the other way: a registry repeats its changes for minutes."""
        view = self.view("w1")
        changes = [news("w0"), news("w2", deleted=True)]
        view.take_changes(0, changes, "")
        asked_after = view.answers()
        view.take_changes(0, changes, "")
        view.take_whole(0, [news("w1"), news("w2")], asked_after)
        self.assertEqual(self.states(view), {"w1": UP, "w2": UP})


class OrderTest(unittest.TestCase):
    """Words of one engine, as a table: what each makes of it."""

    def told(self, *words: tuple[api.WorkerState | None, int, int], each: int = SECOND) -> list[str]:
        """After each whole list, with the engine as (state, dirty, updated) or not at all: its state."""
        view, seen, now = RegistryView(), list[str](), 0
        for state, dirty, updated in words:
            now += each
            listed = [] if state is None else [news("w0", state, stamps=Stamps(dirty, updated))]
            view.take_whole(now, [news("w1"), *listed], view.answers())
            seen.append(state_of(view, "w0").name.lower() if "w0" in view.engines() else "gone")
        return seen

    def test_an_older_copy_does_not_undo_a_drain(self) -> None:
        """Guards a drain against a replica of the registry that lags: review case 9."""
        old, drain = (UP, 10, 10), (DRAINING, 20, 20)
        self.assertEqual(self.told(old, drain, *[old] * 8, drain), ["up", *["draining"] * 10])
        override = (DRAINING, 10, 20)  # an operator's, which leaves the instance's own stamp alone
        self.assertEqual(self.told(old, override, *[old] * 8), ["up", *["draining"] * 9])
        self.assertEqual(self.told(old, (None, 0, 0), (UP, 5, 5), (UP, 5, 5)), ["up", *["gone"] * 3])

    def test_an_engine_that_is_back_serves(self) -> None:
        """Guards the other way: at once by newer stamps, else by the second answer, and never not at all."""
        up, drain, gone = (UP, 10, 10), (DRAINING, 20, 20), (None, 0, 0)
        newer, anew, clock_behind = (UP, 30, 30), (UP, 20, 30), (UP, 5, 30)
        override, lifted = (DRAINING, 10, 20), (UP, 10, 30)  # by an operator
        bare, bare_drain = (UP, 0, 0), (DRAINING, 0, 0)
        for words, seen in (
            ((up, drain, newer), ["up", "draining", "up"]),
            ((up, drain, anew), ["up", "draining", "up"]),
            ((up, drain, clock_behind, clock_behind), ["up", "draining", "draining", "up"]),
            ((up, gone, up, up), ["up", "gone", "gone", "up"]),
            ((up, gone, newer), ["up", "gone", "up"]),
            ((up, gone, (DRAINING, 5, 5), up, up), ["up", "gone", "draining", "draining", "up"]),
            ((bare, bare_drain, bare, bare), ["up", "draining", "draining", "up"]),
            ((bare, bare_drain, bare, bare_drain, bare), ["up", *["draining"] * 4]),
            ((up, (DRAINING, 10, 10), up, up), ["up", "draining", "draining", "up"]),
            (
                (up, (DRAINING, 10, 10), up, up, (DRAINING, 10, 10)),
                ["up", *["draining"] * 2, "up", "draining"],
            ),
            ((up, drain, newer, drain, newer), ["up", "draining", "up", "up", "up"]),
            ((up, override, lifted, override, lifted), ["up", "draining", "up", "up", "up"]),
            ((newer, up, (DRAINING, 20, 30), newer), ["up", "up", "up", "up"]),
        ):
            self.assertEqual(self.told(*words), seen, words)
        late = self.told(up, drain, *[up] * 4, each=DOUBT_KEPT // 3)
        self.assertEqual(late, ["up", *["draining"] * 3, "up", "up"])

    def test_a_second_answer_is_wanted_only_where_it_decides(self) -> None:
        """Guards engines against a whole pause of refusals after a list that was briefly empty, and the
        registry against being asked all the time while a replica lags."""
        view = RegistryView()
        up, older = news("w0", stamps=Stamps(10, 10)), news("w0", stamps=Stamps(5, 5))
        for listed, wanted in (([up], False), ([], False), ([older], False), ([up], True), ([up], False)):
            view.take_whole(0, listed, view.answers())
            self.assertIs(view.awaits_answer(), wanted)

    def test_a_drain_counts_though_its_replicas_clock_is_behind(self) -> None:
        """Word that takes work away is acted on when it comes; what was heard before it is no news."""
        ahead, drain = (UP, 10, 100), (DRAINING, 10, 50)
        self.assertEqual(self.told(ahead, drain, drain), ["up", "draining", "draining"])
        clock_set_back = (DRAINING, 5, 110)  # the instance's; its operator's word came later
        self.assertEqual(self.told(ahead, clock_set_back), ["up", "draining"])
        back, later = (UP, 10, 120), (DRAINING, 5, 130)
        self.assertEqual(self.told(ahead, drain, back, later), ["up", "draining", "up", "draining"])
        self.assertEqual(self.told(ahead, drain, back, clock_set_back), ["up", "draining", "up", "up"])
        self.assertEqual(self.told(ahead, drain, ahead, drain), ["up", *["draining"] * 3])

    @given(
        states=strategies.lists(strategies.sampled_from([UP, DRAINING]), min_size=1, max_size=6),
        order=strategies.lists(
            strategies.tuples(strategies.integers(0, 5), strategies.booleans()), max_size=24
        ),
    )
    def test_the_view_ends_the_same_in_whatever_order_the_news_come(
        self, states: list[api.WorkerState], order: list[tuple[int, bool]]
    ) -> None:
        """Doubled, late, cut short, as changes or in whole lists; the newest word heard decides meanwhile."""
        words = [news("w0", s, stamps=Stamps(10 * (i + 1), 10 * (i + 1))) for i, s in enumerate(states)]
        view, newest = RegistryView(), -1
        for now, (number, whole) in enumerate(order):
            word = words[number % len(words)]
            newest = max(newest, number % len(words))
            if whole:
                view.take_whole(now, [word], view.answers())
            else:
                view.take_changes(now, [word], "")
            self.assertEqual(state_of(view, "w0"), states[newest])
        for _ in range(2):
            view.take_whole(len(order), [words[-1]], view.answers())
        self.assertEqual(state_of(view, "w0"), states[-1])

    def test_an_engine_in_service_is_used_at_its_new_address(self) -> None:
        """Guards an engine that was started anew, its clock set back, against its old address."""
        view = RegistryView()
        for word, address in (
            (news("w0", stamps=Stamps(10, 10)), "w0:1"),
            (news("w0", stamps=Stamps(5, 5), address="old:1"), "w0:1"),
            (news("w0", stamps=Stamps(5, 20), address="new:1"), "new:1"),
        ):  # fmt: skip
            view.take_whole(0, [word], view.answers())
            self.assertEqual(view.engines()["w0"].address, address)
