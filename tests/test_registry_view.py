"""The view of a registry's instances, fed with news in every form and order."""

from __future__ import annotations

import unittest

from basaltspread import interface as api
from basaltspread.control.registry_view import InstanceId, InstanceNews, RegistryView, hash_code
from basaltspread.core.messages import Listed

UP, DRAINING = api.WorkerState.UP, api.WorkerState.DRAINING


def news(name: str, state: api.WorkerState = UP, deleted: bool = False) -> InstanceNews:
    entry = api.WorkerEntry(name, state, 0, 0, 1, 1.0, 0)
    return InstanceNews(InstanceId("ENGINES", name), state.name, deleted, Listed(entry, f"{name}:1"))


def code(*instances: InstanceNews) -> str:
    return hash_code(one.status for one in instances)


class ChangesTest(unittest.TestCase):
    def view(self, *names: str) -> RegistryView:
        view = RegistryView()
        view.take_whole([news(name) for name in names], 0)
        return view

    def states(self, view: RegistryView) -> dict[str, api.WorkerState]:
        return {name: listed.entry.state for name, listed in view.engines().items()}

    def test_changes_that_do_not_add_up_are_used_and_ask_for_more(self) -> None:
        """Guards a drain in changes against the wait for the whole list: review case 5."""
        view = self.view("w0", "w1")
        drain = news("w0", DRAINING)
        self.assertFalse(view.take_changes([drain], code(drain, news("w1"), news("w2"))))
        self.assertEqual(self.states(view), {"w0": DRAINING, "w1": UP})
        self.assertTrue(view.take_changes([news("w2")], code(drain, news("w1"), news("w2"))))

    def test_a_whole_list_does_not_undo_changes_told_since_it_was_asked_for(self) -> None:
        """Guards a drain, a new engine and a departure against a list that was long under way."""
        view = self.view("w0", "w1", "w2")
        asked_after = view.answers()
        view.take_changes([news("w0", DRAINING), news("w3"), news("w2", deleted=True)], "")
        view.take_whole([news("w0"), news("w1"), news("w2"), news("w4")], asked_after)
        self.assertEqual(self.states(view), {"w0": DRAINING, "w1": UP, "w3": UP, "w4": UP})

    def test_a_whole_list_counts_though_old_changes_are_repeated_meanwhile(self) -> None:
        """Guards the other way: a registry repeats its changes for minutes."""
        view = self.view("w1")
        changes = [news("w0"), news("w2", deleted=True)]
        view.take_changes(changes, "")
        asked_after = view.answers()
        view.take_changes(changes, "")
        view.take_whole([news("w1"), news("w2")], asked_after)
        self.assertEqual(self.states(view), {"w1": UP, "w2": UP})
