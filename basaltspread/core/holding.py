"""The steps of the reducer that concern what is held for requests at engines: places that are asked for, and
the release of all that is held, which is tried until an engine has heard it.

It never decides that something is held or let go: that is the module's part, or follows from a request's end.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice
from typing import Any, ClassVar
from zlib import crc32

from basaltspread import interface as api
from basaltspread.core import invariants
from basaltspread.core.messages import (
    AskPlace,
    Effect,
    Listed,
    Place,
    PlaceEnded,
    ReleaseEnded,
    Say,
    SendRelease,
    Wake,
)
from basaltspread.core.state import Attempt, Release, Request, State
from basaltspread.endings import ANSWERED, SAYS_NOTHING, Ending
from basaltspread.interface import WorkerState
from basaltspread.structures.hashing import hashed

MS = 1000
HELD_SHARE = (
    0.7  # of the limit on held state, after which it is let go: the rest is for a process that is held
)
# up before it writes, and for a first engine that does not hear the release
RELEASE_STEP = 100 * MS  # a release not acknowledged by then is sent to one more engine
RELEASES_LOOK_AT = 48  # engines among which a try chooses
MOST_TRIED = 32  # engines that are passed by as tried, until all may be tried again
RELEASE_TRIES = 6  # so many as fast as they fail, and in that step; later ones ever more slowly
LONGEST_RELEASE_STEP = 1000 * MS
# The endings after which no state waits for the request that a write was to take.
STATE_TAKEN = frozenset((Ending.SERVED, Ending.STATE_GONE))
RELEASE_PATIENCE = 20  # times the limit of the rule: what is still unheard then is given up


class HoldingSteps:
    """The part of a step that asks for places and lets go."""

    state: State
    now: int
    touched: dict[str, None]
    tell: Callable[[api.Event], None]
    do: Callable[[Effect], None]
    count: Callable[[str], None]
    _starts: Callable[[Listed], bool]
    _unseen: Callable[[Request], int]
    _check: Callable[[invariants.Breach | None], None]
    _close: Callable[..., None]

    def _hold(self, request: Request) -> None:
        """Something may be held for it from now on, or still: the last outcome or question is of now."""
        request.may_hold, request.held_since = True, self.now
        if self.state.settings.rules.release_within > 0:
            self.do(Wake(self.now + self._held_limit(), ("held", request.id)))

    def _held_limit(self) -> int:
        return int(HELD_SHARE * self.state.settings.rules.release_within)

    def _held_due(self, request: Request) -> None:
        """The clock of what is held runs until an engine shows that it has the call. That the system took a
        write shows nothing: the engine may hang, or its connection lead nowhere. So near the limit all is let
        go, whatever is out. An attempt that did arrive keeps its state (a release passes over what an attempt
        waits for); one that arrives later finds none, and has not run."""
        if request.held_since is None or self.now < request.held_since + self._held_limit():
            return
        out = request.out()
        if any(attempt.acknowledged for attempt in out):
            return
        held_for = (self.now - request.held_since) // MS
        waiting = ", ".join(f"attempt {a.number} at {a.worker}" for a in out) or "no attempt out"
        self.count("held_let_go_at_limit")
        self.do(Say(f"{request.id}: what is held is let go after {held_for} ms; {waiting}"))
        self.tell(api.StateLetGo(request.id))
        for attempt in out:
            if attempt.begun:
                attempt.outlived_release = True
            elif not attempt.reading:  # it would only be told that there is no state
                self._close(request, attempt, Ending.CALLED_BACK_UNSENT, abandon=True)
        self._release(request.id)

    def _nothing_held(self, request: Request) -> None:
        """Nothing is held for it any more, or a release is on its way."""
        self._check(invariants.of_held(self.now, request, self.state.settings.rules.release_within))
        request.may_hold, request.held_since = False, None

    def _hold_after(self, request: Request, attempt: Attempt, ending: Ending) -> None:
        """An attempt has ended. A read that was written may have left a state, even where its connection was
        closed or broke. A write that its engine answered had arrived, and the clock begins anew; of any other
        it can't be told whether it had."""
        if attempt.reading:
            if ending is Ending.READ or attempt.written:
                self._hold(request)
            if ending is Ending.READ:  # a new state: an earlier release that is still tried would take it
                self.state.releases.pop(request.id, None)
        elif attempt.outlived_release and ending not in STATE_TAKEN:
            self._hold(request)  # had it arrived, its engine has kept the state for it, and does so no more
        elif request.may_hold and ending in ANSWERED:
            self._hold(request)

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
        if worker in request.asking:
            return
        self._hold(request)
        request.asking.add(worker)
        self.count("places_asked")
        request.note(self.now, f"asks {worker} for a place")
        if self._starts(listed):
            self.count("places_in_slow_start")
        self.do(AskPlace(request.id, read.number, worker, listed.address))

    def place_ended(self, event: PlaceEnded) -> None:
        self.count("places_" + event.place.name.lower())
        request = self.state.requests.get(event.request)
        if request is None or event.worker not in request.asking:
            return
        overtaken = event.worker in request.let_go
        request.asking.discard(event.worker)
        request.let_go.discard(event.worker)
        self.touched[request.id] = None
        if event.place is not Place.NOT_HELD and (request.ended or request.stream is not None or overtaken):
            # The question may have overtaken nothing: what it left is let go, whatever was before.
            self._hold(request)
            if not request.ended:
                self._release(request.id)
        read = request.attempts[event.number]
        if event.place is Place.UNKNOWN or read.over:
            return
        held = event.place is Place.HELD
        if held:  # it says so only while the read is out
            read.acknowledged = True
        elif not request.asking:
            request.held_since = None  # a read that is out holds nothing yet
        request.note(self.now, f"place at {event.worker} {event.place.name.lower()}")
        self.tell(api.PlaceAnswer(request.id, event.number, event.worker, held))

    def release(self, action: api.Release) -> None:
        self._release(action.request)

    def _release(self, name: str, request: Request | None = None) -> None:
        request = request or self.state.requests.get(name)
        pause = 0
        if request is not None:
            request.let_go = request.let_go | request.asking
            self._nothing_held(request)
            # A read that is given up may end well until its engine has seen it: what it leaves after the word
            # has gone round would be held for nobody.
            pause = self._unseen(request)
        until = self.now + RELEASE_PATIENCE * self.state.settings.rules.release_within
        duty = self.state.releases.setdefault(name, Release())
        duty.until, duty.tries, duty.tried = until, 0, []
        duty.began = self.now
        if request is not None:
            request.note(self.now, f"release, {pause // MS} ms later")
        self.count("releases")
        if pause > 0:
            self.do(Wake(self.now + pause, ("release", name, 0)))
        else:
            self._try_release(name)

    def _try_release(self, name: str) -> None:
        """One more engine gets the word, and every engine passes it on. Guards against a word that no engine
        ever heard: whoever is cut off from a part of the fleet reaches only the rest."""
        duty = self.state.releases[name]
        if self._give_up_release(name, duty):
            return
        step = RELEASE_STEP << max(0, min(duty.tries - RELEASE_TRIES, 8))
        duty.tries += 1
        self.do(Wake(self.now + min(step, LONGEST_RELEASE_STEP), ("release", name, duty.tries)))
        workers = self.state.workers
        duty.tried = [n for n in duty.tried if n in workers]
        if len(duty.tried) >= min(len(workers), MOST_TRIED):
            duty.tried = []  # all again
        known = self._release_candidates(name, duty)
        fit = [n for n in known if n not in duty.tried and n not in duty.open]
        if fit:
            best = min(fit, key=lambda n: self._release_rank(name, duty, n))
            duty.tried.append(best)
            duty.open.add(best)
            self._await_answer(best)
            self.do(SendRelease(name, best, workers[best].address))

    def _release_candidates(self, name: str, duty: Release) -> list[str]:
        """Of a large fleet, the engines heard last and some at random, others for each try."""
        state = self.state
        if len(state.workers) <= RELEASES_LOOK_AT:
            return list(state.workers)
        heard = islice(reversed(state.heard), RELEASES_LOOK_AT // 2)
        drawn = state.engine_names.sample(hashed(f"{name} {duty.tries}"), RELEASES_LOOK_AT // 2)
        return [engine for engine in dict.fromkeys([*heard, *drawn]) if engine in state.workers]

    def _release_rank(self, name: str, duty: Release, worker: str) -> tuple[Any, ...]:
        """Which engine gets the word first. What fails at once is mostly one zone, or the way to it: so each
        next try goes to another. Within one the engine that was heard last, if it has not failed since, and
        else a different one for each request: one picked by name alone would get them from all gateways."""
        state, entry = self.state, self.state.workers[worker].entry
        tried = sum(state.workers[n].entry.zone == entry.zone for n in duty.tried)
        lot = crc32(f"{name} {worker}".encode())
        heard, near = state.heard.get(worker, 0), entry.zone == state.settings.zone
        silent = worker in state.unreached or self._seems_silent(worker)
        return tried, entry.state is not WorkerState.UP, silent, not near, -heard, lot

    def _await_answer(self, worker: str) -> None:
        """An exchange with this engine has begun."""
        self.state.awaited_since.setdefault(worker, self.now)

    def _seems_silent(self, worker: str) -> bool:
        """Whether an exchange with it has waited for long, and nothing at all was heard since it began."""
        since = self.state.awaited_since.get(worker)
        return since is not None and self.now - since > RELEASE_STEP

    def _give_up_release(self, name: str, duty: Release) -> bool:
        """After long enough; a process that has to end does not wait past its own time for it."""
        until = min(duty.until, self.state.stop_by) if self.state.stopping else duty.until
        if duty.tries < RELEASE_TRIES or self.now < until:
            return False
        if not duty.open:
            self.count("releases_unheard")
            self.do(Say(f"release of {name} reached no engine in {duty.tries} tries"))
            del self.state.releases[name]
        return True

    def release_ended(self, event: ReleaseEnded) -> None:
        if event.ending not in SAYS_NOTHING:
            self._noted(event.worker, event.done)
        duty = self.state.releases.get(event.request)
        if duty is None:
            return
        duty.open.discard(event.worker)
        if event.done:
            taken = self.now - duty.began
            self.state.release_times.add(taken, duty.tries)
            self.state.longest_release = max(self.state.longest_release, taken)
            if duty.tries > 1 or self.state.traces:
                tries = f"{duty.tries} tries and {taken // MS} ms"
                self.do(Say(f"release of {event.request} heard by {event.worker} after {tries}"))
            del self.state.releases[event.request]
        elif duty.tries < RELEASE_TRIES:
            self._try_release(event.request)
        else:  # the next is due by the clock
            self._give_up_release(event.request, duty)

    def _noted(self, worker: str, heard: bool) -> None:
        """What one exchange says of an engine and of the way to it."""
        state = self.state
        state.awaited_since.pop(worker, None)
        if heard:
            state.heard.pop(worker, None)
            state.heard[worker] = self.now
            state.unreached.discard(worker)
        else:
            state.heard.pop(worker, None)
            if worker in state.listed:
                state.unreached.add(worker)

    HANDLERS: ClassVar[dict[type, Callable[[Any, Any], None]]] = {
        PlaceEnded: place_ended,
        ReleaseEnded: release_ended,
    }
    ACTIONS: ClassVar[dict[type, Callable[[Any, Any], None]]] = {
        api.HoldPlace: hold_place,
        api.Release: release,
    }
