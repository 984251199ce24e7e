"""The steps of the reducer that release all that is held for a request: one engine has to hear it, and passes
it on to all others.

Engines are tried in waves that double, those first that answered last: with most engines hung, one that runs
has heard of it within a few steps, and on an ordinary day the first try is the only one.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from itertools import islice
from typing import Any, ClassVar
from zlib import crc32

from basaltspread import interface as api
from basaltspread.core.messages import Effect, ReleaseEnded, Say, SendRelease, Wake
from basaltspread.core.state import Release, Request, State
from basaltspread.endings import Ending
from basaltspread.interface import WorkerState
from basaltspread.structures.hashing import hashed

MS = 1000
RELEASE_STEP = 50 * MS  # a release that nobody has answered by then goes to more engines
MOST_AT_ONCE = 16  # engines of one wave; 31 have been tried after four steps
MOST_CALLS = 32  # open at once, of all releases, but for the first of each: where all engines are slow, more
# calls would make them slower
LATER_AT_ONCE = 2  # the same once the quick tries are over
RELEASES_LOOK_AT = 48  # engines among which a wave chooses
MOST_TRIED = 64  # engines that are passed by as tried, until all may be tried again
RELEASE_TRIES = 6  # waves as fast as they fail, and in that step; later ones ever more slowly
LONGEST_RELEASE_STEP = 1000 * MS
RELEASE_PATIENCE = 20  # times the limit of the rule: what is still unheard then is given up


class ReleaseSteps:
    """The part of a step that releases."""

    state: State
    now: int
    do: Callable[[Effect], None]
    count: Callable[[str], None]
    _unseen: Callable[[Request], int]
    _noted: Callable[[str, Ending], None]
    _note_late_questions: Callable[[Request], None]
    _check_held: Callable[[Request], None]

    def release(self, action: api.Release) -> None:
        self._release(action.request)

    def _release(self, name: str, request: Request | None = None) -> None:
        request = request or self.state.requests.get(name)
        pause = 0
        if request is not None:
            self._check_held(request)
            for entry in request.held.release():
                self.count(f"held_{entry.kind.value}_released")
            self._note_late_questions(request)
            # A read that is given up may end well until its engine has seen it: what it leaves after the
            # release has gone round would be held for nobody.
            pause = self._unseen(request)
            request.note(self.now, f"release, {max(0, pause) // MS} ms later")
        until = self.now + RELEASE_PATIENCE * self.state.settings.rules.release_within
        release = self.state.releases.setdefault(name, Release())
        release.until, release.tries, release.tried = until, 0, []
        release.began, release.overdue = self.now, False
        if request is not None:
            release.addresses = {a.worker: a.address for a in request.attempts if a.address}
        self.count("releases")
        if pause > 0:
            self.do(Wake(self.now + pause, ("release", name, 0)))
        else:
            self._try_release(name)

    def _try_release(self, name: str) -> None:
        """The next wave. Guards against a release that no engine ever heard: whoever is cut off from a part
        of the fleet reaches only the rest."""
        release = self.state.releases[name]
        if self._give_up_release(name, release):
            return
        step = RELEASE_STEP << max(0, min(release.tries - RELEASE_TRIES, 8))
        quick = release.tries < RELEASE_TRIES
        width = min(1 << release.tries, MOST_AT_ONCE) if quick else LATER_AT_ONCE
        width = max(min(width, self._room_for_calls()), 1 if release.tries == 0 else 0)
        self._note_overdue(name, release)
        release.tries += 1
        self.do(Wake(self.now + min(step, LONGEST_RELEASE_STEP), ("release", name, release.tries)))
        workers = self.state.workers
        release.tried = [n for n in release.tried if n in workers or n in release.addresses]
        if len(release.tried) >= min(len(workers), MOST_TRIED):
            release.tried = []  # all again
        if width == 0:
            self.count("release_waves_skipped")
            return
        candidates = self._release_candidates(name, release.tries)
        zones = Counter(workers[n].entry.zone for n in release.tried if n in workers)
        for _ in range(width):
            self._send_release(name, release, candidates, zones)

    def _note_overdue(self, name: str, release: Release) -> None:
        """Says once that a release has gone unheard for so long that the rule on held state is broken."""
        limit = self.state.settings.rules.release_within
        if release.overdue or limit <= 0 or self.now - release.began <= limit:
            return
        release.overdue = True
        self.count("releases_overdue")
        tries = f"{release.tries} tries and {(self.now - release.began) // MS} ms"
        self.do(Say(f"release of {name} unheard after {tries}"))

    def _send_release(self, name: str, release: Release, candidates: list[str], zones: Counter[int]) -> None:
        """To the best engine that has not been tried; `zones` counts those that were."""
        fit = [engine for engine in candidates if release.is_untried(engine)]
        if not fit:
            self._release_unlisted(name, release)
            return
        best = min(fit, key=lambda n: self._release_rank(name, zones, n))
        release.begin(best)
        zones[self.state.workers[best].entry.zone] += 1
        self._call_release(name, best)

    def _release_unlisted(self, name: str, release: Release) -> None:
        """To an engine that has the request and is not listed any more, once no listed one is left to try.
        Guards what is held against a list that is empty: the engines run on."""
        unlisted = [engine for engine in release.addresses if engine not in self.state.workers]
        fit = [engine for engine in unlisted if release.is_untried(engine)]
        if fit:
            release.begin(fit[0])
            self.count("releases_unlisted")
            self._send_release_to(name, fit[0], release.addresses[fit[0]])

    def _release_once(self, name: str) -> None:
        """One call for it, to the best engine, if there is room: the next comes soon in any case."""
        candidates = self._release_candidates(name, 0)
        if not candidates or self._room_for_calls() <= 0:
            self.count("release_waves_skipped")
            return
        zones = Counter[int]()
        self._call_release(name, min(candidates, key=lambda n: self._release_rank(name, zones, n)))

    def _call_release(self, name: str, engine: str) -> None:
        """To a listed engine."""
        self.state.contacts.began(engine, self.now)
        self._send_release_to(name, engine, self.state.workers[engine].address)

    def _send_release_to(self, name: str, engine: str, address: str) -> None:
        """Every release goes out here."""
        self.state.release_calls += 1
        self.count("release_calls")
        self.do(SendRelease(name, engine, address))

    def _room_for_calls(self) -> int:
        return MOST_CALLS - self.state.release_calls

    def _release_candidates(self, name: str, wave: int) -> list[str]:
        """Of a large fleet, the engines heard last and some at random, others for each wave."""
        state = self.state
        if len(state.workers) <= RELEASES_LOOK_AT:
            return list(state.workers)
        heard = islice(state.contacts.latest(), RELEASES_LOOK_AT // 2)
        drawn = state.engine_names.sample(hashed(f"{name} {wave}"), RELEASES_LOOK_AT // 2)
        return [engine for engine in dict.fromkeys([*heard, *drawn]) if engine in state.workers]

    def _release_rank(self, name: str, zones: Counter[int], worker: str) -> tuple[Any, ...]:
        """Which engine gets the release first: none that seems silent. What fails at once is mostly one zone,
        or the way to it: so each next one is in another. Within one the engine that was heard last, and else
        a different one for each request: one picked by name alone would get them from all gateways."""
        state, entry = self.state, self.state.workers[worker].entry
        draw = crc32(f"{name} {worker}".encode())
        heard, near = state.contacts.answered.get(worker, 0), entry.zone == state.settings.zone
        silent = state.contacts.seems_silent(worker, self.now)
        return silent, zones[entry.zone], entry.state is not WorkerState.UP, not near, -heard, draw

    def _give_up_release(self, name: str, release: Release) -> bool:
        """After long enough; a process that has to end does not wait past its own time for it."""
        until = min(release.until, self.state.stop_by) if self.state.stopping else release.until
        if release.tries < RELEASE_TRIES or self.now < until:
            return False
        if not release.open:
            self.count("releases_unheard")
            self.do(Say(f"release of {name} reached no engine in {release.tries} tries"))
            del self.state.releases[name]
        return True

    def release_ended(self, event: ReleaseEnded) -> None:
        self.state.release_calls -= 1
        if event.done:
            self.state.untaken.released_there(event.worker, event.request)
        self._noted(event.worker, event.ending)
        release = self.state.releases.get(event.request)
        if release is None:
            return
        release.open.discard(event.worker)
        if event.done:
            self._release_heard(event, release)
        elif release.tries >= RELEASE_TRIES:  # the next is due by the clock
            self._give_up_release(event.request, release)
        elif not release.open:
            self._try_release(event.request)

    def _release_heard(self, event: ReleaseEnded, release: Release) -> None:
        taken = self.now - release.began
        self.state.release_times.add(taken, release.tries)
        self.state.longest_release = max(self.state.longest_release, taken)
        if release.tries > 1 or self.state.traces:
            tries = f"{release.tries} tries and {taken // MS} ms"
            self.do(Say(f"release of {event.request} heard by {event.worker} after {tries}"))
        del self.state.releases[event.request]

    HANDLERS: ClassVar[dict[type, Callable[[Any, Any], None]]] = {ReleaseEnded: release_ended}
    ACTIONS: ClassVar[dict[type, Callable[[Any, Any], None]]] = {api.Release: release}
