"""The steps of the reducer that ask writers to keep a place for a request that is being read.

A question that has been sent may be taken long after it was given up, as its engine wakes up. So its exchange
stays open to its answer, and what could not be waited for is released again as its engine gives a sign of
life. It never chooses a writer: that is the module's part.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, ClassVar

from basaltspread import interface as api
from basaltspread.core.held_ledger import HeldEntry, HeldKind, Knowledge
from basaltspread.core.messages import AbandonPlace, AskPlace, Effect, Listed, Place, PlaceEnded, Say
from basaltspread.core.state import Attempt, Request, State
from basaltspread.interface import WorkerState

MS = 1000
MOST_LATE_QUESTIONS = 64  # open though all has been released; each holds a connection
# Answers that only a process that runs can give.
SHOWS_LIFE = frozenset((Place.HELD, Place.NOT_HELD, Place.UNKNOWN))
MAY_BE_HELD = frozenset((Place.HELD, Place.UNKNOWN, Place.UNANSWERED))


class PlaceSteps:
    """The part of a step that asks for places and hears of them."""

    state: State
    now: int
    touched: dict[str, None]
    tell: Callable[[api.Event], None]
    do: Callable[[Effect], None]
    count: Callable[[str], None]
    _starts: Callable[[Listed], bool]
    _release: Callable[..., None]
    _watch_held: Callable[[Request], None]
    _end_entry: Callable[[Request, HeldEntry, str], None]
    _heard: Callable[[str], None]
    _may_be_taken: Callable[[str, str, HeldKind], None]

    def hold_place(self, action: api.HoldPlace) -> None:
        request = self.state.requests.get(action.request)
        reads = [a for a in request.out() if a.reading] if request is not None else []
        if request is None or not reads:
            return
        request.place = action.worker
        if reads[-1].written:
            self._ask_place(request, reads[-1])

    def _ask_place(self, request: Request, read: Attempt) -> None:
        worker, request.place = request.place, None
        listed = self.state.workers.get(worker or "")
        if worker is None or listed is None or listed.entry.state is not WorkerState.UP:
            return
        if request.held.question(worker) is not None:
            return
        request.held.add(HeldKind.PLACE, worker, self.now, Knowledge.ASKED)
        self._watch_held(request)
        self.count("places_asked")
        if self._starts(listed):
            self.count("places_in_slow_start")
        self._send_question(request, read, listed)

    def _ask_place_again(self, request: Request, read: Attempt, entry: HeldEntry) -> None:
        """For a place that is kept: the rule counts from the last question that its writer has answered."""
        listed = self.state.workers.get(entry.engine)
        if listed is None or listed.entry.state is not WorkerState.UP:
            return
        entry.knowledge, entry.renewed_at = Knowledge.ASKED, self.now
        self.count("places_renewed")
        self._send_question(request, read, listed)

    def _send_question(self, request: Request, read: Attempt, writer: Listed) -> None:
        name = writer.entry.name
        self.state.contacts.began(name, self.now)
        request.note(self.now, f"asks {name} for a place")
        self.do(AskPlace(request.id, read.number, name, writer.address))

    def place_ended(self, event: PlaceEnded) -> None:
        self.count("places_" + event.place.name.lower())
        self.state.late_questions.pop((event.request, event.worker), None)
        self.state.untaken.settled(event.worker, event.request, HeldKind.PLACE)
        if event.place in SHOWS_LIFE:
            self._heard(event.worker)
        request = self.state.requests.get(event.request)
        entry = request.held.question(event.worker) if request is not None else None
        if request is None or entry is None:
            return
        self.touched[request.id] = None
        late = entry.released
        if event.place is Place.UNANSWERED:
            self._may_be_taken(event.worker, request.id, HeldKind.PLACE)
        if event.place not in MAY_BE_HELD and entry.renewed_at is None:
            self._end_entry(request, entry, "refused" if event.place is Place.NOT_HELD else "not_asked")
        else:
            self._place_possible(request, entry, event.place)  # one that was kept may still be
        if not late:
            self._tell_place(request, event)

    def _place_possible(self, request: Request, entry: HeldEntry, said: Place) -> None:
        """Its engine has taken the question, or may have."""
        entry.knowledge = Knowledge.KEPT if said is Place.HELD else Knowledge.POSSIBLE
        if said is Place.HELD and entry.renewed_at is not None:
            entry.since = entry.renewed_at
        entry.renewed_at = None
        waits, late, newer = request.waits(), entry.released, request.held.holds()
        if late:  # it may have been taken after the release had gone round
            self.do(Say(f"place of {request.id} at {entry.engine}: {said.value}, after its release"))
            self.count("places_taken_late")
        if late or not waits:
            entry.released, entry.since = False, self.now
        if not waits or (late and not newer):
            self._release_late(request)
        else:  # a release at once could take what the request holds by now: its clock says when it is due
            self._watch_held(request)

    def _release_late(self, request: Request) -> None:
        if not request.ended:  # else its end releases all
            self._release(request.id)

    def _tell_place(self, request: Request, event: PlaceEnded) -> None:
        read = request.attempts[event.number]
        if event.place in (Place.UNKNOWN, Place.UNANSWERED) or read.over:
            return
        held = event.place is Place.HELD
        request.note(self.now, f"place at {event.worker} {event.place.name.lower()}")
        self.tell(api.PlaceAnswer(request.id, event.number, event.worker, held))

    def _note_late_questions(self, request: Request) -> None:
        """All has been released: questions without an answer are heard out, as many as there is room for.
        Their answers may be cut off from here, so that all is released again meanwhile."""
        late = self.state.late_questions
        for engine in request.held.questions():
            if (request.id, engine) not in late:
                late[request.id, engine] = None
                self._may_be_taken(engine, request.id, HeldKind.PLACE)
        while len(late) > MOST_LATE_QUESTIONS:
            name, engine = next(iter(late))
            del late[name, engine]
            self.count("late_questions_dropped")
            self.do(AbandonPlace(name, engine))

    def _drop_late_questions(self) -> None:
        """This process has to end."""
        for name, engine in self.state.late_questions:
            self.do(AbandonPlace(name, engine))
        self.state.late_questions.clear()

    HANDLERS: ClassVar[dict[type, Callable[[Any, Any], None]]] = {PlaceEnded: place_ended}
    ACTIONS: ClassVar[dict[type, Callable[[Any, Any], None]]] = {api.HoldPlace: hold_place}
