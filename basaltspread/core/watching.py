"""The steps of the reducer that watch without acting: attempts that wait past the usual time for an answer.

They write to the log and to the counters, and must never change what becomes of a request.
"""

from __future__ import annotations

from collections.abc import Callable

from basaltspread.core.messages import Effect, SayUnanswered, Wake
from basaltspread.core.state import Attempt, Request, State
from basaltspread.structures.averages import Usual

UNUSUAL = 3.0  # times the mean time to an answer, after which a wait is worth a line
LEAST_SHARE = 0.5  # of the limit on held state: a wait that is shorter endangers nothing


class WatchSteps:
    """The part of a step that says what waits."""

    state: State
    now: int
    do: Callable[[Effect], None]
    count: Callable[[str], None]

    def _usual(self, reading: bool) -> Usual:
        return self.state.read_times if reading else self.state.first_event_times

    def _watch_attempt(self, request: Request, attempt: Attempt) -> None:
        """Its last byte is written. Costs a timer."""
        attempt.written_at = self.now
        least = int(LEAST_SHARE * self.state.settings.rules.release_within)
        patience = max(least, int(UNUSUAL * self._usual(attempt.reading).time))
        self.do(Wake(self.now + patience, ("unanswered", request.id, attempt.number)))

    def _note_answer(self, request: Request, attempt: Attempt) -> None:
        """Its engine has answered it."""
        self._usual(attempt.reading).add(self.now - attempt.sent_at, request.prompt)

    def _unanswered(self, request: Request, attempt: Attempt) -> None:
        """Says once of an attempt that is still out that it waits."""
        if request.stream is attempt:
            return
        heard = self.state.contacts.answered.get(attempt.worker)
        waited = self.now - attempt.written_at
        silent_for = None if heard is None else self.now - heard
        self.count("attempts_unanswered")
        request.note(self.now, f"attempt {attempt.number} unanswered")
        self.do(
            SayUnanswered(request.id, attempt.number, attempt.worker, attempt.reading, waited, silent_for)
        )
