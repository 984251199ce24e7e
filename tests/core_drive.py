"""The reducer with a scripted module, driven by inputs and its own wakes."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from typing import Any

from basaltspread import core
from basaltspread import interface as api
from tests.helpers import FLEET, SECOND, settings

ARRIVAL = api.Arrival("q", "s", "p", 100, 200, 50, 0, 0, SECOND, 0, False, False)


class Script:
    """A module that answers each kind of event with the actions written for it."""

    def __init__(self, **answers: Callable[[Any], list[api.Action]]) -> None:
        self.answers, self.told, self.processes = answers, list[api.Event](), 1

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        self.told += events
        return [a for e in events for a in self.answers.get(type(e).__name__, lambda _: [])(e)]

    def resting(self, now: int) -> set[str]:
        return {"r3", "unlisted"}

    def slow_start_figures(self, now: int) -> api.SlowStartFigures:
        return api.SlowStartFigures(0, 0.0, 0.0, False)

    def share_with(self, processes: int) -> None:
        self.processes = processes

    def knowledge(self, now: int) -> dict[str, Any]:
        return {}

    def recall(self, now: int, told: dict[str, Any]) -> None:
        raise KeyError("rates")


def send(worker: str, timeout: int = 0) -> Callable[[Any], list[api.Action]]:
    return lambda e: [api.Send(e.request, worker, timeout)]


class CoreDrive(unittest.TestCase):
    """A test that feeds the reducer and looks at its effects."""

    def begin(self, **answers: Callable[[Any], list[api.Action]]) -> None:
        self.module, self.now = Script(**answers), 100 * SECOND
        self.all_wakes = list[core.Wake]()
        self.state = core.State(settings(), self.module)
        listed = tuple(core.Listed(e, f"{e.name}:1") for e in FLEET)
        self.feed(core.ListTold(api.ListKind.CACHED, 1, listed))

    def feed(self, event: core.Input, after: int = 0) -> list[core.Effect]:
        """The effects of one input, less timers and counters."""
        self.now += after
        effects = core.reduce(self.state, self.now, event)
        self.wakes = [e for e in effects if isinstance(e, core.Wake)]
        self.all_wakes += self.wakes
        return [e for e in effects if not isinstance(e, (core.Wake, core.Count, core.Say))]

    def kinds(self, event: core.Input, after: int = 0) -> list[str]:
        return [type(e).__name__ for e in self.feed(event, after)]

    def drained(self, name: str) -> core.ListTold:
        entry = next(e for e in FLEET if e.name == name)
        gone = api.WorkerEntry(name, api.WorkerState.DRAINING, entry.cell, entry.zone, entry.kind, 1.0, 0)
        return core.ListTold(api.ListKind.DELTA, 2, (core.Listed(gone, f"{name}:1"),))

    def wakes_of(self, kind: str) -> list[core.Wake]:
        """The wakes of this kind that are not due yet."""
        return [wake for wake in self.all_wakes if wake.token[0] == kind and wake.at >= self.now]

    def woken(self, kind: str) -> list[core.Effect]:
        """The effects of the one wake of this kind that the last input asked for, at its time."""
        (due,) = [wake for wake in self.wakes if wake.token[0] == kind]
        self.now = due.at
        return self.feed(core.Woken(due.token))
