"""The steps of the reducer that keep the limit on what is held for requests at engines.

The clock of a request is that of its ledger. An attempt that is out stops it only while its engine shows that
it runs: a sign of life after the attempt was written covers the request for a lease, and near the lease's end
the engine of a read whose place is kept is asked for another. Unrenewed, all is released near the limit,
whatever is out. It never chooses whom a release goes to.
"""

from __future__ import annotations

from collections.abc import Callable

from basaltspread import interface as api
from basaltspread.core import invariants
from basaltspread.core.held_ledger import HeldEntry, HeldKind, Knowledge
from basaltspread.core.messages import Effect, Say, Wake
from basaltspread.core.state import Attempt, Request, State
from basaltspread.endings import ANSWERED, Ending

MS = 1000
# Share of the limit on held state after which it is released. The rest is for a process that stands still
# before it writes, and for engines that don't hear the release.
HELD_SHARE = 0.7
ASK_AHEAD = 150 * MS  # before a lease ends, the engine is asked for a sign of life
RENEW_AHEAD = 80 * MS  # before all is released, places are asked for again
SIGN_WAIT = 1000 * MS  # in which a question for a sign may be answered: no second one meanwhile
# An engine that answers others but not this read for so many times the usual time of its size has not got it:
# the connection may lead nowhere.
LEASE_TIMES = 2.0
LEAST_READS = 10  # answered, before the usual time is relied on
# The endings after which no state waits for the request that a write was to take.
STATE_TAKEN = frozenset((Ending.SERVED, Ending.STATE_GONE))


class HeldClockSteps:
    """The part of a step that releases in time what no engine shows to have taken."""

    state: State
    now: int
    tell: Callable[[api.Event], None]
    do: Callable[[Effect], None]
    count: Callable[[str], None]
    probe: Callable[[api.Probe], None]
    _check: Callable[[invariants.Breach | None], None]
    _close: Callable[..., None]
    _release: Callable[..., None]
    _call_release: Callable[[str, str], None]
    _note_late_questions: Callable[[Request], None]
    _ask_place_again: Callable[[Request, Attempt, HeldEntry], None]

    def _held_limit(self) -> int:
        """How long something is held, in us, before it is released; 0 where the settings set no limit."""
        return int(HELD_SHARE * self.state.settings.rules.release_within)

    def _end_entry(self, request: Request, entry: HeldEntry, reason: str) -> None:
        self.count(f"held_{entry.kind.value}_{reason}")
        request.held.end(entry)

    def _watch_held(self, request: Request) -> None:
        """Something may be held for it from now on, or for longer than before."""
        due = self._release_due(request)
        if due is not None:
            self._check_held_at(request, max(self.now, due - ASK_AHEAD))

    def _check_held_at(self, request: Request, when: int) -> None:
        if request.held_check_at is None or when < request.held_check_at:
            request.held_check_at = when
            self.do(Wake(when, ("held", request.id)))

    def _release_due(self, request: Request) -> int | None:
        """When all is released unless an engine gives a sign; None where nothing is held, or for ever."""
        since, limit = request.held.since(), self._held_limit()
        if since is None or limit <= 0 or request.stream is not None:
            return None
        return max(since + limit, self._covered_until(request))

    def _covered_until(self, request: Request) -> int:
        """Until when an attempt that is out is known to be at an engine that runs; 0 for none."""
        return max((self._lease_end(request, attempt) for attempt in request.out()), default=0)

    def _lease_end(self, request: Request, attempt: Attempt) -> int:
        if not attempt.written:
            return 0
        sign = self.state.contacts.answered_since(attempt.worker, attempt.written_at)
        if sign is None:
            return 0
        return min(sign + self._held_limit(), attempt.written_at + self._longest_lease(request, attempt))

    def _longest_lease(self, request: Request, attempt: Attempt) -> int:
        """For how long at the most signs of its engine on other exchanges speak for an attempt, in us. Within
        the limit itself they may: its slack is left for the release."""
        limit = self.state.settings.rules.release_within
        usual = self.state.read_times if attempt.reading else self.state.first_event_times
        if usual.count < LEAST_READS:
            return limit
        return max(limit, int(LEASE_TIMES * usual.of(request.prompt)))

    def _held_due(self, request: Request) -> None:
        if request.held_check_at is None or self.now < request.held_check_at:
            return  # an earlier look has been set since
        request.held_check_at = None
        due = self._release_due(request)
        if due is None:
            return
        if self.now >= due:
            self._release_at_limit(request)
        elif self.now >= due - RENEW_AHEAD:
            self._renew_places(request, due)
            self._check_held_at(request, due)
        elif self.now >= due - ASK_AHEAD:
            self._ask_signs(request)
            self._check_held_at(request, due - RENEW_AHEAD)
        else:
            self._check_held_at(request, due - ASK_AHEAD)

    def _ask_signs(self, request: Request) -> None:
        """A place that is kept is worth a question to the reader that is to fill it."""
        if not request.held.keeps_place():
            return
        for attempt in request.out():
            if attempt.reading and attempt.written:
                self._ask_sign(attempt.worker)

    def _renew_places(self, request: Request, due: int) -> None:
        """Ask again for the places of a read whose reader runs, where its signs will cover this read no
        longer: the rule counts from the last question, and a release would take what the read has made."""
        for attempt in request.out():
            covered_until = attempt.written_at + self._longest_lease(request, attempt)
            if attempt.reading and self._runs(attempt) and covered_until <= due:
                for entry in request.held.kept_places():
                    if self.now >= entry.since + self._held_limit() - RENEW_AHEAD:
                        self._ask_place_again(request, attempt, entry)

    def _runs(self, attempt: Attempt) -> bool:
        """Whether its engine has lately shown that it does, after the attempt was written."""
        sign = self.state.contacts.answered_since(attempt.worker, attempt.written_at)
        return attempt.written and sign is not None and self.now - sign <= self._held_limit()

    def _ask_sign(self, engine: str) -> None:
        """Any answer will do: of a release for a request that is long over, which a busy engine answers at
        once, or where none is over yet of a probe, which may wait its turn."""
        if engine not in self.state.workers or self._sign_awaited(engine):
            return
        self.state.signs_asked[engine] = self.now
        self.count("signs_of_life_asked")
        if self.state.last_dropped is not None:
            self._call_release(self.state.last_dropped, engine)
        elif self.state.settings.limits.probes:
            self.probe(api.Probe(engine))

    def _sign_awaited(self, engine: str) -> bool:
        """Whether it was asked lately: an answer under way is a sign for all that was written since."""
        asked_at = self.state.signs_asked.get(engine)
        if asked_at is None:
            return False
        unanswered = self.state.contacts.answered_since(engine, asked_at) is None
        return self.now < asked_at + (SIGN_WAIT if unanswered else ASK_AHEAD)

    def _release_at_limit(self, request: Request) -> None:
        """What did arrive keeps its state, as a release passes over what an attempt waits for; what arrives
        later finds none, and has not run."""
        out = request.out()
        held_for = (self.now - (request.held.since() or self.now)) // MS
        what = ", ".join(f"{e.kind.value} {e.knowledge.value} at {e.engine}" for e in request.held)
        waiting = ", ".join(f"attempt {a.number} at {a.worker}" for a in out) or "no attempt out"
        self.count("held_released_at_limit")
        self.do(Say(f"{request.id}: held state is released after {held_for} ms; {waiting}; {what}"))
        self.tell(api.StateReleased(request.id))
        for attempt in out:
            if not attempt.begun and not attempt.reading:  # it would only be told that there is no state
                self._close(request, attempt, Ending.CALLED_BACK_UNSENT, abandon=True)
        self._release(request.id)
        for attempt in out:
            if attempt.begun and not attempt.reading:
                request.held.left_to(attempt.number, attempt.worker, self.now)

    def _check_held(self, request: Request) -> None:
        """What is held for it is taken or released now: the rule must not have been broken."""
        due = self._release_due(request)
        since = due - self._held_limit() if due is not None else None
        self._check(invariants.of_held(self.now, request, since, self.state.settings.rules.release_within))

    def _held_after(self, request: Request, attempt: Attempt, ending: Ending) -> None:
        """An attempt has ended. A read that has begun may have left a state, even where its connection was
        closed or broke. The clock begins anew only if its engine has answered it: that it answers others
        shows that it runs, and not that it had this one."""
        ledger = request.held
        if ending is Ending.READ:
            ledger.add(HeldKind.STATE, attempt.worker, self.now, Knowledge.KEPT)
            self.state.releases.pop(request.id, None)  # one that is still tried would take the new state
        elif attempt.reading and attempt.begun:
            ledger.add(HeldKind.STATE, attempt.worker, self.now, Knowledge.POSSIBLE)
        elif not attempt.reading:
            if ending is Ending.STATE_GONE:
                ledger.states_gone()
            ledger.attempt_over(attempt.number, self.now, ending in STATE_TAKEN)
        if ending in ANSWERED and ledger.holds():
            ledger.outcome(self.now)
        self._watch_held(request)

    def _held_until_stream(self, request: Request) -> None:
        """Its stream begins: its engine frees all by itself, but for what is asked for now."""
        self._check_held(request)
        for entry in request.held.release():
            self.count(f"held_{entry.kind.value}_taken")
        self.state.last_dropped = request.id
        self._note_late_questions(request)


def any_held(request: Request) -> bool:
    """Whether something may be held for it that nobody has been told to release."""
    return request.held.holds() or any(a.reading and a.begun for a in request.out())
