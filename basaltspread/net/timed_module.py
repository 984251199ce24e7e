"""The decision module with a watch on what each call costs.

It changes nothing that the module is told or says.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from basaltspread import interface as api
from basaltspread.control.loop_load import LoopLoad
from basaltspread.core import Module


class TimedModule:
    """Measures by the clock of the wall, not of the processor: a process that is held up while it decides is
    as late as one that decides slowly."""

    def __init__(
        self, module: Module, load: LoopLoad, now: Callable[[], int], engines: Callable[[], int]
    ) -> None:
        self._module, self._load, self._now, self._engines = module, load, now, engines

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        began = self._now()
        try:
            return self._module.handle(now, events)
        finally:
            took = self._now() - began
            if any(isinstance(event, api.WorkerList) for event in events):
                self._load.listed(took)
            else:
                self._load.decided(took, self._engines())

    def resting(self, now: int) -> set[str]:
        return self._module.resting(now)

    def slow_start_figures(self, now: int) -> api.SlowStartFigures:
        return self._module.slow_start_figures(now)

    def share_with(self, processes: int) -> None:
        self._module.share_with(processes)

    def knowledge(self, now: int) -> dict[str, Any]:
        return self._module.knowledge(now)

    def recall(self, now: int, told: dict[str, Any]) -> None:
        self._module.recall(now, told)
