"""The steps of the reducer that note what exchanges show of their engines, and what follows of it.

They never ask an engine for a sign of life.
"""

from __future__ import annotations

from collections.abc import Callable

from basaltspread.core.messages import Effect
from basaltspread.core.state import State
from basaltspread.endings import OUTCOMES, UNREACHED, Ending
from basaltspread.interface import Outcome

# Outcomes that only a process that runs can bring.
SHOWS_LIFE = frozenset((Outcome.READ, Outcome.SERVED, Outcome.FULL, Outcome.ERROR))


class ContactSteps:
    """The part of a step that knows which engines run."""

    state: State
    now: int
    do: Callable[[Effect], None]
    count: Callable[[str], None]

    def _noted(self, engine: str, ending: Ending) -> None:
        """How an exchange with it ended. An ending that this side chose says nothing of the engine."""
        if ending is Ending.GATEWAY_FAULT:
            return
        if OUTCOMES[ending] in SHOWS_LIFE:
            self._heard(engine)
        elif ending in UNREACHED and engine in self.state.listed:
            self.state.contacts.lost(engine)

    def _heard(self, engine: str) -> None:
        """Its process has said something just now."""
        self.state.contacts.heard(engine, self.now)
