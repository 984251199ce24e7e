"""The steps of the reducer that note what exchanges show of their engines, and what follows of it.

A sign of life releases what its engine may have taken since it was given up. It never asks an engine for one.
"""

from __future__ import annotations

from collections.abc import Callable

from basaltspread.core.held_ledger import HeldKind, Knowledge
from basaltspread.core.messages import Effect, Wake
from basaltspread.core.state import Request, State
from basaltspread.core.untaken_sends import RELEASES_OF_ONE
from basaltspread.endings import OUTCOMES, UNREACHED, Ending
from basaltspread.interface import Outcome

# Outcomes that only a process that runs can bring.
SHOWS_LIFE = frozenset((Outcome.READ, Outcome.SERVED, Outcome.FULL, Outcome.ERROR))


class ContactSteps:
    """The part of a step that knows which engines run."""

    state: State
    now: int
    touched: dict[str, None]
    do: Callable[[Effect], None]
    count: Callable[[str], None]
    _release: Callable[..., None]
    _release_once: Callable[[str], None]
    _call_release: Callable[[str, str], None]
    _watch_held: Callable[[Request], None]
    _held_limit: Callable[[], int]

    def _noted(self, engine: str, ending: Ending) -> None:
        """How an exchange with it ended. An ending that this side chose says nothing of the engine."""
        if ending is Ending.GATEWAY_FAULT:
            return
        if OUTCOMES[ending] in SHOWS_LIFE:
            self._heard(engine)
        elif ending in UNREACHED and engine in self.state.listed:
            self.state.contacts.lost(engine)
        elif ending not in UNREACHED:
            self.state.contacts.ended_here(engine, self.now)

    def _heard(self, engine: str) -> None:
        """Its process has said something just now."""
        if engine in self.state.listed:  # all else is forgotten with its place in the list
            self.state.contacts.heard(engine, self.now)
        for request, kind in self.state.untaken.take(engine):
            self._taken_since(engine, request, kind)

    def _may_be_taken(self, engine: str, request: str, kind: HeldKind) -> None:
        """A send that was written there has been given up without an answer."""
        if not self.state.untaken.add(engine, request, kind):
            self.count("untaken_dropped")
        self._release_again(engine, request, kind)

    def _release_again(self, engine: str, request: str, kind: HeldKind) -> None:
        """Once more, as the limit on held state nears again."""
        limit = self._held_limit()
        if limit > 0:
            self.do(Wake(self.now + limit, ("untaken", engine, request, kind)))

    def _untaken_due(self, engine: str, name: str, kind: HeldKind) -> None:
        """An engine that is cut off may work on what was given up, and then hold it, without a sign of life
        here: all engines pass a release on to it. While the request waits, that could take a newer state."""
        left = self.state.untaken.release_again(engine, name, kind)
        if left == 0 or self.state.exited:
            return
        request = self.state.requests.get(name)
        if request is None or not request.waits():
            self.count("untaken_released")
            if left == RELEASES_OF_ONE and kind is HeldKind.STATE and engine in self.state.workers:
                self._call_release(name, engine)  # its answer is the sign that is missing
            self._release_once(name)
        if left > 1:
            self._release_again(engine, name, kind)

    def _taken_since(self, engine: str, name: str, kind: HeldKind) -> None:
        """This engine may have woken up and taken what was given up. While the request goes on, a release at
        once could take a newer state of it: its clock says when that is due."""
        request = self.state.requests.get(name)
        self.count("untaken_released")
        if request is None or not request.waits():
            self._release(name)
        elif request.held.question(engine) is None:
            request.held.add(kind, engine, self.now, Knowledge.POSSIBLE)
            self._watch_held(request)
            self.touched[name] = None
