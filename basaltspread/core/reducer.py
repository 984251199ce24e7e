"""The one reducer: every change of what the gateway knows of its requests happens in `reduce`.

It owns requests, attempts, what is held for a request at the engines, and the gateway's duties: one final
answer each, the attempt limit, deadlines, drains, and release. It asks for reads and writes as effects and is
told of their ends as inputs. It must never touch a socket, a clock, HTTP, JSON or asyncio, and it never
chooses an engine for a request: that is the module's part (rules.py), which it calls here and nowhere else.
"""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any, ClassVar
from zlib import crc32

from basaltspread import interface as api
from basaltspread.control import list_check
from basaltspread.control.picture import BadWord, Word
from basaltspread.core import invariants
from basaltspread.core.messages import (
    AbandonAttempt,
    Adopted,
    Answer,
    AskPlace,
    BansTold,
    Begun,
    BreakClient,
    ClientFloods,
    ClientLeft,
    CloseIdle,
    Count,
    DropPlace,
    Effect,
    Ended,
    EndStream,
    Exit,
    FetchWholeList,
    FirstEvent,
    HandedOn,
    HandOn,
    Input,
    KeepBans,
    Listed,
    ListTold,
    Operate,
    OperatorAnswer,
    Order,
    PassOn,
    PeerTold,
    Place,
    PlaceEnded,
    Probed,
    Recalled,
    ReleaseEnded,
    Say,
    SendRelease,
    Serving,
    Sharing,
    StartAttempt,
    StartProbe,
    StopAccepting,
    StopListening,
    Taken,
    TellPeers,
    Terminate,
    TurnedAway,
    Verdict,
    Violated,
    Wake,
    Woken,
    Written,
)
from basaltspread.core.state import Attempt, Release, Request, State
from basaltspread.core.toolcalls import ToolSteps
from basaltspread.endings import CLOSED_HERE, OUTCOMES, QUIET, SAYS_NOTHING, Ending
from basaltspread.interface import Outcome, Role, WorkerState

MS = 1000
ANSWER_EARLY = 15 * MS  # a deadline is met this much early: the loop may lag, and the answer takes a moment
DEADLINE_GUARD = 10 * MS  # past its deadline by this, a request that the module forgot is failed here
GIVE_UP_PAUSE = 10 * MS  # by then the engine has surely seen that an attempt was given up
RELEASE_STEP = 100 * MS  # a release not acknowledged by then is sent to one more engine
RELEASE_TRIES = 6  # so many as fast as they fail, and in that step; later ones ever more slowly
LONGEST_RELEASE_STEP = 1000 * MS
RELEASE_PATIENCE = 20  # times the limit of the rule: what is still unheard then is given up
LONGEST_GRACE = 3000 * MS  # after SIGTERM; less where every class has a shorter deadline
LEAST_DOOR = 550 * MS  # clients may still come for 400 ms after SIGTERM
MOVE_TIME = 1000 * MS  # the last of the grace: the door is shut, and streams still running go elsewhere
MOVE_STEP = 50 * MS
LAST_ANSWERS = 250 * MS  # past the grace: who has had nothing by then is told to ask elsewhere
LEFT_KEPT = 60_000 * MS  # for which an older list can't bring back an engine that was told to have left
ODD_WORDS_STEP = 1000 * MS  # between two log lines about peers' messages that can't be read; all are counted
ODD_LIST_STEP = 10_000 * MS  # the same about odd entries of the list, which may come with each list
ODD_SAID = 5  # odd entries that such a line names
MOST_BANS = 1024  # engines left out at once, listed or not
DRAIN_DOOR = 1000 * MS  # after an operator's drain, idle clients stay so long: a front learns of it by asking
DRAIN_STEP = 200 * MS  # between two looks for idle clients from then on
# What is told to the other gateways at once, as each would else spend a request on finding it.
WORDS = {Ending.REFUSED: Word.REFUSES, Ending.SERVER_ERROR: Word.FAILED}


def reduce(state: State, now: int, event: Input) -> list[Effect]:
    """One step: the state after this input, and what is to be done about it."""
    step = _Step(state, now)
    try:
        step.HANDLERS[type(event)](step, event)
        step.finish()
    except Exception:  # it costs the request that it concerns, and no other
        step.fault(event, traceback.format_exc())
    return step.effects


class _Step(ToolSteps):
    """One call of the reducer: the state, the time, and the effects gathered so far."""

    def __init__(self, state: State, now: int) -> None:
        self.state, self.now = state, now
        self.effects: list[Effect] = []
        self.told: deque[api.Event] = deque()  # what the module is to be told, in order
        self.touched: dict[str, None] = {}

    def do(self, effect: Effect) -> None:
        self.effects.append(effect)

    def count(self, name: str) -> None:
        self.do(Count(name))

    def finish(self) -> None:
        while self.told:
            self._ask_module(self.told.popleft())
        for name in self.touched:
            self._settle(name)
        state = self.state
        idle = not state.requests and not state.releases and not state.calls
        if not state.accepting and idle and not state.exited:
            state.exited = True
            for breach in invariants.of_exit(state):
                self._check(breach)
            self.do(Exit())

    def fault(self, event: Input, trace: str) -> None:
        self.count("core_faults")
        self.do(Say(f"core fault on {type(event).__name__}: {trace}"))
        request = self.state.requests.pop(getattr(event, "request", ""), None)
        if request is None:
            return
        if not request.ended:
            self._end(request, Verdict.FAILED)
            self.do(Answer(request.id, Verdict.FAILED) if request.stream is None else BreakClient(request.id))
        elif request.owed:
            self.do(Answer(request.id, Verdict.FAILED))
        for attempt in request.out():
            self.do(AbandonAttempt(request.id, attempt.number))
        self.orphan_calls(request)
        if request.may_hold or request.asking:
            self._release(request.id, request)

    def _ask_module(self, event: api.Event) -> None:
        try:
            actions = self.state.module.handle(self.now, [event])
        except Exception as error:  # a fault in one decision must not take the other requests with it
            self.count("module_faults")
            self.do(Say(f"module fault on {type(event).__name__}: {type(error).__name__}: {error}"))
            request = self.state.requests.get(getattr(event, "request", ""))
            if request is not None:
                self._answer(request, Verdict.FAILED)
                for attempt in request.out():  # told of each, so that the module's counts fall
                    self._close(request, attempt, Ending.GATEWAY_FAULT, abandon=True)
            return
        for action in actions:
            self.ACTIONS[type(action)](self, action)

    def _settle(self, name: str) -> None:
        """After all that an input led to: a request with nothing in flight that is over lets go and is
        dropped. Guards against what the module can't know of: a read that ended well just as its connection
        was closed or broke leaves a state behind."""
        request = self.state.requests.get(name)
        if request is None or not request.ended or request.out():
            return
        self.orphan_calls(request)
        if request.may_hold:
            self._release(name)
        if not (request.asking or request.owed):
            self._check(invariants.of_dropped(request))
            del self.state.requests[name]

    # --- requests ---------------------------------------------------------------------------------------

    def _find(self, name: str, number: int) -> tuple[Request, Attempt] | None:
        request = self.state.requests.get(name)
        if request is None or number >= len(request.attempts) or request.attempts[number].over:
            return None
        return request, request.attempts[number]

    def _unseen(self, request: Request) -> int:
        """How long yet an engine may not have seen that an attempt there was given up."""
        return request.gave_up_at + GIVE_UP_PAUSE - self.now

    def taken(self, event: Taken) -> None:
        a = event.arrival
        left = max(0, a.time_left - ANSWER_EARLY)
        a = api.Arrival(
            a.request, a.session, a.prefix, a.prefix_tokens, a.prompt_tokens, a.max_tokens, a.request_class,
            a.tenant, left, a.hint, a.is_retry, a.is_resumed,
        )  # fmt: skip
        cls = self.state.settings.classes[a.request_class]
        unsafe = cls.effect is api.Effect.UNSAFE
        request = Request(
            a.request, a.request_class, self.now + left, unsafe, a.is_resumed,
            tenant=a.tenant, prompt=a.prompt_tokens,
        )  # fmt: skip
        self.state.requests[request.id] = request
        self.touched[request.id] = None
        request.note(self.now, "taken")
        self.count("requests_taken")
        self.do(Wake(request.deadline + DEADLINE_GUARD, ("deadline", request.id)))
        self.told.append(a)
        picture = self.state.picture
        due = picture.due(self.now) if picture is not None else None
        if due is not None:
            self.probe(api.Probe(due))

    def client_left(self, event: ClientLeft) -> None:
        request = self.state.requests.get(event.request)
        if request is None or request.ended:
            return
        self.count("clients_gone")
        self._end(request, None)
        if request.stream is not None:
            self._close(request, request.stream, event.ending, abandon=True)
        else:
            self.told.append(api.ClientGone(request.id))
            for attempt in request.out():  # also where the settings allow no cancel
                if not attempt.begun:
                    self._close(request, attempt, Ending.CALLED_BACK_UNSENT, abandon=True)

    def violated(self, event: Violated) -> None:
        request = self.state.requests.get(event.request)
        self._check(invariants.Breach(invariants.Invariant(event.invariant), request))

    def client_floods(self, event: ClientFloods) -> None:
        request = self.state.requests.get(event.request)
        if request is not None and not request.ended and request.stream is None:
            self.count("clients_flooding")
            self._give_up(request)

    def turned_away(self, event: TurnedAway) -> None:
        self.state.replies[event.request_class, Verdict.REFUSED] += 1

    def serving(self, event: Serving) -> None:
        self.state.serving = True

    def _end(self, request: Request, verdict: Verdict | None) -> None:
        """The one place where a request ends for its client; with None, the client went away."""
        if verdict is not None and request.stream is None:
            self._check(invariants.of_answer(self.now, request))
        request.ended = True
        request.note(self.now, verdict.value if verdict is not None else "over without an answer")
        self.touched[request.id] = None
        if verdict is not None:
            self.state.replies[request.request_class, verdict] += 1

    def _answer(self, request: Request, verdict: Verdict, retry_after: int = 0) -> None:
        if request.ended or request.stream is not None:
            return
        self._end(request, verdict)
        self.count(f"answers_{verdict.value}")
        pause = self._unseen(request)
        safe = self.state.settings.classes[request.request_class].effect is api.Effect.SAFE
        if verdict is Verdict.REFUSED and not safe and pause > 0:
            # As for a next send: the refusal may reach the client before an engine in another zone has seen
            # that the attempt was given up, and what may still run must not be asked for again.
            request.owed = True
            self.do(Wake(self.now + pause, ("answer", request.id, retry_after)))
        else:
            self.do(Answer(request.id, verdict, retry_after))

    # --- attempts ---------------------------------------------------------------------------------------

    def send(self, action: api.Send) -> None:
        request = self.state.requests.get(action.request)
        listed = self.state.workers.get(action.worker)
        if request is None:
            return
        self.touched[request.id] = None
        role = self._role(listed)
        attempt = Attempt(len(request.attempts), action.worker, role is Role.READER, self.now)
        if listed is not None:
            attempt.zone, attempt.cell = listed.entry.zone, listed.entry.cell
        request.attempts.append(attempt)
        request.note(self.now, f"attempt {attempt.number} at {action.worker}")
        left = request.deadline - self.now
        limit = self.state.settings.limits.max_attempts
        if request.ended or request.stream is not None or left <= 0 or len(request.attempts) > limit > 0:
            self._close(request, attempt, Ending.NOT_SENT)
            return
        if listed is None or listed.entry.state is not WorkerState.UP:
            self._close(request, attempt, Ending.WITHDRAWN)
            return
        if self._starts(listed):
            self.count("sends_in_slow_start")
        left = min(left, action.timeout) if action.timeout > 0 else left
        self.do(Wake(self.now + left, ("attempt", request.id, attempt.number)))
        attempt.until = self.now + left
        pause = self._unseen(request)
        if (request.unsafe or not self.state.settings.limits.duplicates) and pause > 0:
            # Two connections keep no order between them: a close and the next send reach two engines in any
            # order, and what must not run twice would be out twice.
            self.do(Wake(self.now + pause, ("start", request.id, attempt.number)))
        else:
            self._start(request, attempt, listed)

    def _starts(self, listed: Listed) -> bool:
        """Whether this engine is in slow start, by the list and the settings."""
        started = listed.entry.started
        return started > 0 and self.now - started < self.state.settings.rules.warm_within

    def _start(self, request: Request, attempt: Attempt, listed: Listed) -> None:
        self.count("sends_read" if attempt.reading else "sends_write")
        left = attempt.until - self.now
        self.do(
            StartAttempt(request.id, attempt.number, attempt.worker, listed.address, attempt.reading, left)
        )

    def _role(self, listed: Listed | None) -> Role:
        kinds = self.state.settings.kinds
        if listed is None or listed.entry.kind >= len(kinds):
            return Role.MIXED
        return kinds[listed.entry.kind].role

    def cancel(self, action: api.Cancel) -> None:
        found = self._find(action.request, action.attempt)
        if found is not None and found[0].stream is not found[1]:
            # Guards against a connection that never came up being taken for an attempt that was out: the time
            # of what is held for the request would begin anew with each.
            ending = Ending.CANCELLED if found[1].begun else Ending.CALLED_BACK_UNSENT
            self._close(*found, ending, abandon=True)

    def begun(self, event: Begun) -> None:
        found = self._find(event.request, event.number)
        if found is not None:
            self._check(invariants.of_send(self.state, self.now, *found))
            found[1].begun = True
            found[0].note(self.now, f"attempt {event.number} begun")

    def _check(self, breach: invariants.Breach | None) -> None:
        """Count and log a violation, if there is one."""
        if breach is not None:
            self.count(f"invariant_{breach.invariant.value}")
            self.do(Say(str(breach)))

    def written(self, event: Written) -> None:
        found = self._find(event.request, event.number)
        if found is None:
            return
        request, attempt = found
        attempt.written = True
        self.state.dispatches += 1
        if attempt.reading:
            request.may_hold = True
            if request.place is not None:
                self._ask_place(request, attempt)

    def first_event(self, event: FirstEvent) -> None:
        found = self._find(event.request, event.number)
        if found is None or found[0].ended or found[0].stream is not None:
            return
        request, attempt = found
        request.stream = attempt
        request.may_hold = bool(
            request.asking
        )  # all else that is held goes by itself, but for what is asked for now
        self.touched[request.id] = None
        self._check(invariants.of_answer(self.now, request))
        request.note(self.now, f"stream of attempt {attempt.number}")
        self._noted(attempt.worker, True)
        self.count("streams_started")
        self.do(PassOn(request.id, attempt.number))
        for other in request.out():
            if other is not attempt:
                self._close(request, other, Ending.CANCELLED, abandon=True)
        elapsed = self.now - attempt.sent_at
        self.told.append(api.FirstToken(request.id, attempt.number, attempt.worker, elapsed))

    def ended(self, event: Ended) -> None:
        found = self._find(event.request, event.number)
        if found is not None:
            self._close(*found, event.ending, detail=event.detail, report=event.report)

    def _abandon(self, request: Request, attempt: Attempt) -> None:
        if attempt.reading and attempt.begun:
            request.may_hold = True
        attempt.over = True
        self.touched[request.id] = None
        self.do(AbandonAttempt(request.id, attempt.number))

    def _close(
        self,
        request: Request,
        attempt: Attempt,
        ending: Ending,
        detail: int = 0,
        report: dict[str, float] | None = None,
        abandon: bool = False,
    ) -> None:
        """The one way in which an attempt ends, whoever ended it."""
        if abandon:
            self._abandon(request, attempt)
        if attempt.begun and (abandon or ending in CLOSED_HERE):
            request.gave_up_at = self.now
        attempt.over, attempt.ending = True, ending
        self.touched[request.id] = None
        request.note(self.now, f"attempt {attempt.number} {ending.name.lower()}")
        outcome = OUTCOMES[ending]
        self.count(f"ended_{ending.name.lower()}")
        if ending not in QUIET:
            what = "read" if attempt.reading else "write"
            self.do(Say(f"attempt {request.id}/{attempt.number} {what} at {attempt.worker}: {ending.value}"))
        if ending in WORDS and self.state.picture is not None:
            self._tell(self.state.picture.fault(self.now, attempt.worker, WORDS[ending]))
        if ending not in SAYS_NOTHING:
            heard = outcome in (Outcome.READ, Outcome.SERVED, Outcome.FULL, Outcome.ERROR)
            self._noted(attempt.worker, heard)
        if attempt.reading and (ending is Ending.READ or attempt.written):
            request.may_hold = True
        if attempt.reading:
            if request.place is not None:
                request.place = None
            for worker in request.asking:
                self.do(DropPlace(request.id, worker))
        if request.stream is attempt and not request.ended and ending is Ending.HANDED_ON:
            self._end(request, None)  # its end is counted where it will be seen
            self.count("streams_handed_on")
        elif request.stream is attempt and not request.ended:
            self._end(request, Verdict.SERVED if ending is Ending.SERVED else Verdict.FAILED)
            if ending is Ending.SERVED:
                self.count("answers_served")
                self.do(EndStream(request.id))
            else:
                self.count("streams_moved" if ending is Ending.MOVED else "streams_broken")
                self.do(BreakClient(request.id))
        if ending in (Ending.STATE_GONE, Ending.REFUSED):
            detail = 1  # the engine itself has said so
        elapsed = self.now - attempt.sent_at
        self.told.append(
            api.AttemptEnded(
                request.id,
                attempt.number,
                attempt.worker,
                outcome,
                elapsed,
                request.ended,
                detail,
                report or {},
            )
        )

    def refuse(self, action: api.Refuse) -> None:
        request = self.state.requests.get(action.request)
        if request is not None:
            self._answer(request, Verdict.REFUSED, action.retry_after)

    def fail(self, action: api.Fail) -> None:
        request = self.state.requests.get(action.request)
        if request is not None:
            self._answer(request, Verdict.FAILED)

    def move(self, action: api.Move) -> None:
        """End a running stream; its client asks for the rest."""
        request = self.state.requests.get(action.request)
        if request is not None and request.stream is not None and not request.stream.over:
            self._close(request, request.stream, Ending.CANCELLED, abandon=True)

    # --- what is held at the engines ------------------------------------------------------------------

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
        request.may_hold = True
        request.asking.add(worker)
        self.count("places_asked")
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
            request.may_hold = True
            if not request.ended:
                self._release(request.id)
        read = request.attempts[event.number]
        if event.place is Place.UNKNOWN or read.over:
            return
        held = event.place is Place.HELD
        self.told.append(api.PlaceAnswer(request.id, event.number, event.worker, held))

    def release(self, action: api.Release) -> None:
        self._release(action.request)

    def _release(self, name: str, request: Request | None = None) -> None:
        request = request or self.state.requests.get(name)
        pause = 0
        if request is not None:
            request.may_hold, request.let_go = False, request.let_go | request.asking
            # A read that is given up may end well until its engine has seen it: what it leaves after the word
            # has gone round would be held for nobody.
            pause = self._unseen(request)
        until = self.now + RELEASE_PATIENCE * self.state.settings.rules.release_within
        duty = self.state.releases.setdefault(name, Release())
        duty.until, duty.tries, duty.tried = until, 0, []
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
        if len(duty.tried) == len(workers):
            duty.tried = []  # all again
        fit = [n for n in workers if n not in duty.tried and n not in duty.open]
        if fit:
            best = min(fit, key=lambda n: self._release_rank(name, duty, n))
            duty.tried.append(best)
            duty.open.add(best)
            self.do(SendRelease(name, best, workers[best].address))

    def _release_rank(self, name: str, duty: Release, worker: str) -> tuple[Any, ...]:
        """Which engine gets the word first. What fails at once is mostly one zone, or the way to it: so each
        next try goes to another. Within one the engine that was heard last, if it has not failed since, and
        else a different one for each request: one picked by name alone would get them from all gateways."""
        state, entry = self.state, self.state.workers[worker].entry
        tried = sum(state.workers[n].entry.zone == entry.zone for n in duty.tried)
        lot = crc32(f"{name} {worker}".encode())
        heard, near = state.heard.get(worker, 0), entry.zone == state.settings.zone
        return tried, entry.state is not WorkerState.UP, worker in state.unreached, not near, -heard, lot

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
            del self.state.releases[event.request]
        elif duty.tries < RELEASE_TRIES:
            self._try_release(event.request)
        else:  # the next is due by the clock
            self._give_up_release(event.request, duty)

    def _noted(self, worker: str, heard: bool) -> None:
        """What one exchange says of an engine and of the way to it."""
        state = self.state
        if heard:
            state.heard[worker] = self.now
            state.unreached.discard(worker)
        else:
            state.heard.pop(worker, None)
            if worker in state.listed:
                state.unreached.add(worker)

    # --- the fleet ------------------------------------------------------------------------------------

    def list_told(self, event: ListTold) -> None:
        self.count("lists_" + event.kind.value)
        state = self.state
        entries = self._believed(self._in_order(event), event.wall_shifts)
        if event.kind is not api.ListKind.CACHED:  # that one was kept, and may be of any time
            state.starts.list_ended(self.now)
        if event.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            state.listed.clear()
        for listed in entries:
            if listed.entry.state is WorkerState.REMOVED:
                state.listed.pop(listed.entry.name, None)
            else:
                state.listed[listed.entry.name] = listed
        state.version = max(state.version, event.version)
        state.heard = {name: at for name, at in state.heard.items() if name in state.listed}
        state.unreached &= state.listed.keys()
        state.returned = {name: at for name, at in state.returned.items() if name in state.listed}
        self._fleet_changed(event.kind, event.version, entries)

    def _in_order(self, event: ListTold) -> tuple[Listed, ...]:
        """The entries, less what is older than what was told before. Guards against a discovery that goes
        back, as one may to which a reload moves: an engine told to drain or to go would count as up again."""
        state, now = self.state, self.now
        gone: dict[str, Listed] = {}
        if event.kind is not api.ListKind.DELTA:  # who is not in a whole list has gone
            named = {w.entry.name for w in event.entries}
            gone = {n: w for n, w in state.listed.items() if n not in named}
        out, back = list[Listed](), 0
        for listed in event.entries:
            entry = listed.entry
            started, version, at = state.left.get(entry.name, (0, 0, -LEFT_KEPT))
            if entry.state is not WorkerState.UP:
                gone[entry.name] = state.listed.get(entry.name, listed)
            elif event.version < version and entry.started == started and now < at + LEFT_KEPT:
                listed, back = Listed(replace(entry, state=WorkerState.DRAINING), listed.address), back + 1
            out.append(listed)
        for name, known in gone.items():
            if name not in state.left or event.version >= state.left[name][1]:
                state.left[name] = (known.entry.started, event.version, now)
        state.left = {n: told for n, told in state.left.items() if now < told[2] + LEFT_KEPT}
        if back:
            self.count("lists_gone_back")
            self.do(Say(f"the list went back to version {event.version}; {back} engines still drain"))
        return tuple(out)

    def _believed(self, entries: Iterable[Listed], wall_shifts: tuple[int, ...]) -> tuple[Listed, ...]:
        """The entries, with what can't be true put right. Guards slow start against a list that would make
        an engine look warm, or larger than any."""
        state, out, odd = self.state, list[Listed](), list[str]()
        latest = self.now + max(wall_shifts)
        for listed in entries:
            known = state.listed.get(listed.entry.name)
            entry, wrong = list_check.checked(
                listed.entry, known.entry if known else None, latest, len(state.settings.kinds)
            )
            for oddity in wrong:
                self.count("list_oddity_" + oddity.name.lower())
                odd.append(f"{entry.name} {oddity.value}")
            if entry.state is not WorkerState.REMOVED:
                state.starts.listed(entry.name, entry.started, self.now, wall_shifts)
            out.append(Listed(entry, listed.address))
        said = state.odd_list_said_at
        if odd and (said is None or self.now >= said + ODD_LIST_STEP):
            state.odd_list_said_at = self.now
            self.do(Say(f"{len(odd)} odd entries in the list: " + "; ".join(odd[:ODD_SAID])))
        return tuple(out)

    def _treated(self, listed: Listed) -> Listed:
        """An engine that is left out counts as draining, and one let in again as started just then: it may
        have been restarted meanwhile, and discovery may tell of that late."""
        entry, state = listed.entry, self.state
        if entry.name in state.disabled and entry.state is WorkerState.UP:
            entry = replace(entry, state=WorkerState.DRAINING)
        started = max(state.starts.since(entry.name), state.returned.get(entry.name, 0))
        return Listed(replace(entry, started=started), listed.address)

    def _fleet_changed(self, kind: api.ListKind, version: int, changed: Iterable[Listed]) -> None:
        """The one path by which engines come and go, on discovery's word or an operator's."""
        state = self.state
        before = {n for n, w in state.workers.items() if w.entry.state is WorkerState.UP}
        state.workers = {name: self._treated(listed) for name, listed in state.listed.items()}
        stopped = before - {n for n, w in state.workers.items() if w.entry.state is WorkerState.UP}
        entries = tuple(self._treated(listed).entry for listed in changed)
        self.told.append(api.WorkerList(kind, version, entries))
        if state.picture is not None:
            state.picture.listed(w.entry for w in state.workers.values())
        if not stopped:
            return
        # What waits for a connection would go out whenever that comes up, long after the drain was told.
        for request in self.state.requests.values():
            for worker in request.asking & stopped:
                self.do(DropPlace(request.id, worker))
            for attempt in request.out():
                if attempt.worker in stopped and not attempt.begun:
                    self._close(request, attempt, Ending.WITHDRAWN, abandon=True)

    def probe(self, action: api.Probe) -> None:
        listed = self.state.workers.get(action.worker)
        if listed is not None:
            self.count("probes")
            self.do(StartProbe(action.worker, listed.address))

    def probed(self, event: Probed) -> None:
        outcome, refused = OUTCOMES[event.ending], event.ending is Ending.REFUSED
        self.told.append(api.ProbeEnded(event.worker, outcome, event.elapsed, event.report, int(refused)))
        picture = self.state.picture
        if picture is not None and event.ending is Ending.SERVED:
            self._tell(picture.report(self.now, event.worker, event.report))
        elif picture is not None and refused:
            self._tell(picture.fault(self.now, event.worker, Word.REFUSES))

    def long_read(self, action: api.LongRead) -> None:
        if self.state.picture is not None:
            self._tell(self.state.picture.reading(action.worker, action.time))

    def _tell(self, message: bytes | None) -> None:
        if message is not None:
            self.count("peers_told")
            self.do(TellPeers(message))

    def peer_told(self, event: PeerTold) -> None:
        """Another gateway's word on an engine: the module hears it as if this one had asked."""
        picture = self.state.picture
        if picture is None:
            return
        try:
            told = picture.read(event.payload)
        except BadWord as error:
            self.count("peers_unreadable")
            said = self.state.odd_words_said_at
            if said is None or self.now >= said + ODD_WORDS_STEP:  # a flood of them is not one of lines
                self.state.odd_words_said_at = self.now
                self.do(Say(f"a peer's message can't be read: {error}"))
            return
        heard = picture.take(self.now, told)
        self.count("peers_heard" if heard is not None else "peers_of_no_use")
        if heard is not None:
            self.told.append(heard)

    def fetch_list(self, action: api.FetchList) -> None:
        self.do(FetchWholeList())

    # --- operators --------------------------------------------------------------------------------------

    def operate(self, event: Operate) -> None:
        """Each call may come twice, and cross another or SIGTERM."""
        state = self.state
        known = event.engine in state.listed or event.engine in state.disabled
        match event.order:
            case Order.DISABLE | Order.ENABLE if not known:
                self.do(OperatorAnswer(event.call, False, "no such engine", unknown=True))
                return
            case Order.DISABLE if event.engine not in state.disabled:
                if len(state.disabled) >= MOST_BANS:
                    self.do(OperatorAnswer(event.call, False, f"{MOST_BANS} engines are left out already"))
                    return
                state.disabled.add(event.engine)
                state.returned.pop(event.engine, None)
                self._ban_changed(event.engine)
            case Order.ENABLE if event.engine in state.disabled:
                state.disabled.discard(event.engine)
                state.returned[event.engine] = self.now
                self._ban_changed(event.engine)
            case Order.DRAIN:
                if state.draining_since is None:
                    state.draining_since = self.now
                    self.do(Wake(self.now + DRAIN_DOOR, ("drain", self.now)))
            case Order.DRAIN_SERVER | Order.RESUME_SERVER:
                if state.tools is None or event.engine not in state.tools.stations:
                    self.do(OperatorAnswer(event.call, False, "no such tool server", unknown=True))
                    return
                on = event.order is Order.DRAIN_SERVER
                self.decided(state.tools.drain(self.now, event.engine, on))
            case Order.RESUME if state.stopping:
                self.do(OperatorAnswer(event.call, False, "this process has been told to stop"))
                return
            case Order.RESUME:
                state.draining_since = None
        self.count(f"operator_{event.order.value.replace(' ', '_')}")
        self.do(OperatorAnswer(event.call, True))

    def _ban_changed(self, engine: str) -> None:
        state = self.state
        self.do(KeepBans(engine, frozenset(state.disabled), dict(state.returned)))
        self._treat_anew({engine})

    def _treat_anew(self, names: set[str]) -> None:
        entries = [listed for name, listed in self.state.listed.items() if name in names]
        if entries:
            self._fleet_changed(api.ListKind.DELTA, self.state.version, entries)

    def bans_told(self, event: BansTold) -> None:
        state = self.state
        changed = state.disabled ^ event.disabled
        changed |= {n for n, at in event.returned.items() if at > state.returned.get(n, 0)}
        state.disabled = set(event.disabled)
        for name in changed - state.disabled:
            state.returned[name] = max(event.returned.get(name, 0), state.returned.get(name, 0))
        if changed:
            self.count("bans_told")
            self._treat_anew(changed)

    def sharing(self, event: Sharing) -> None:
        self.state.module.share_with(event.processes)

    def recalled(self, event: Recalled) -> None:
        try:
            tools = event.knowledge.pop("tools", None)
            if tools is not None and self.state.tools is not None:
                self.decided(self.state.tools.recall(self.now, tools))
            self._recall_starts(event.knowledge.pop("starts", {}))
            self.state.module.recall(self.now, event.knowledge)
            self.count("knowledge_recalled")
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            self.do(Say(f"what the other process knew can't be used: {error!r}"))

    def _recall_starts(self, ages: Mapping[str, tuple[int, int]]) -> None:
        """The other process has seen starts that this one knows by their stamps alone."""
        changed = set()
        for name, (stamp, age) in ages.items():
            if self.state.starts.recall(self.now, name, int(stamp), int(age)):
                changed.add(name)
        if changed:
            self._treat_anew(changed)
            while self.told:  # before the module hears what was known of these starts
                self._ask_module(self.told.popleft())

    # --- time and the end ------------------------------------------------------------------------------

    def woken(self, event: Woken) -> None:
        match event.token:
            case ("timer", int(number)):
                self.told.append(api.TimerFired(number))
            case ("attempt", str(name), int(number)):
                found = self._find(name, number)
                # An id may come again: what was set for its last use must not end this one.
                due = found is not None and self.now >= found[1].until
                if found is not None and due and found[0].stream is not found[1]:
                    self._close(*found, Ending.TIMED_OUT, abandon=True)
            case ("start", str(name), int(number)):
                found = self._find(name, number)
                listed = self.state.workers.get(found[1].worker) if found is not None else None
                if found is not None and listed is not None:
                    self._start(*found, listed)
            case ("deadline", str(name)):
                request = self.state.requests.get(name)
                if request is not None and request.waits() and self.now >= request.deadline:
                    self.count("deadline_backstops")
                    self.told.append(api.ClientGone(name))  # the module takes it as over
                    self._answer(request, Verdict.FAILED)
            case ("answer", str(name), int(retry_after)):
                request = self.state.requests.get(name)
                if request is not None and request.owed:
                    request.owed = False
                    self.touched[name] = None
                    self.do(Answer(name, Verdict.REFUSED, retry_after))
            case ("release", str(name), int(number)):
                duty = self.state.releases.get(name)
                if duty is not None and duty.tries == number:
                    self._try_release(name)
            case (str(name), *_) if name.startswith("tool_"):
                self.tool_woken(event.token)
            case ("last",):
                self._answer_the_rest()
            case ("hand",):
                self._hand_on_streams()
            case ("move",):
                self._move_streams()
            case ("drain", int(since)):
                if self.state.draining_since == since:
                    self.do(CloseIdle())
                    self.do(Wake(self.now + DRAIN_STEP, event.token))
            case ("door",):
                self.state.accepting = False
                self.do(StopAccepting())

    def set_timer(self, action: api.SetTimer) -> None:
        self.do(Wake(self.now + action.delay, ("timer", action.timer)))

    def say(self, action: api.Log) -> None:
        self.do(Say(action.text))

    def watch_list(self, action: api.WatchList) -> None:
        """Nothing to do: the front watches discovery from its start to its end."""

    def terminate(self, event: Terminate) -> None:
        if not self.state.stopping:
            self.state.stopping = True
            longest = max((c.deadline for c in self.state.settings.classes), default=0)
            self.state.stop_by = self.now + min(longest, LONGEST_GRACE)
            self.do(Wake(self.state.stop_by + LAST_ANSWERS, ("last",)))
            door = self.now + LEAST_DOOR
            if self.state.settings.resumable:  # else a stream begun now would only be cut off
                move = max(door, self.state.stop_by - MOVE_TIME)
                self.do(Wake(move, ("move",)))
                door = door if self.state.inherited else move
            if self.state.inherited:
                # Who comes now is better served by the process that follows, to the end.
                self.do(StopListening())
                self.do(CloseIdle())
                self._hand_on_streams()
            self.do(Wake(door, ("door",)))

    def _answer_the_rest(self) -> None:
        """The kill would find them unanswered, and what is held for them would stay at the engines."""
        for request in [request for request in self.state.requests.values() if request.waits()]:
            what = "the rest of a stream" if request.resumed else "a request"
            self.do(Say(f"{request.id}, {what}, is given up: this process has to end"))
            self._give_up(request)
        if self.state.requests:
            self.do(Wake(self.now + MOVE_STEP, ("last",)))

    def _give_up(self, request: Request) -> None:
        """Answer a request that has no stream yet. What can't have run, or may run twice, is refused: it can
        be asked for again at once."""
        ran = any(a.written and not a.reading for a in request.attempts)
        self.told.append(api.ClientGone(request.id))  # the module takes it as over
        # Given up first: what is still out may run yet, and of an order that may run nothing is refused.
        for attempt in request.out():
            self._close(request, attempt, Ending.CANCELLED, abandon=True)
        may_have_run = ran or request.resumed  # of what is resumed, a part was answered
        cls = self.state.settings.classes[request.request_class]
        everywhere = cls.effect is api.Effect.KEYED and cls.key_scope is api.KeyScope.ALL
        again = cls.effect is api.Effect.SAFE or everywhere or not may_have_run
        self._answer(request, Verdict.REFUSED if again else Verdict.FAILED)

    def _running(self) -> list[tuple[Request, Attempt]]:
        """The streams that may leave this process, oldest first; one with a tool call open stays."""
        free = (r for r in self.state.requests.values() if not (r.ended or r.open or r.bundles))
        running = [(request, request.stream) for request in free]
        return [(request, stream) for request, stream in running if stream is not None]

    def _hand_on_streams(self) -> None:
        """Tried again and again until each is between two chunks, and for those that begin yet."""
        for request, stream in self._running():
            listed = self.state.workers.get(stream.worker)
            address = listed.address if listed is not None else ""
            self.do(HandOn(
                request.id, stream.number, request.request_class, stream.worker, address,
                request.resumed, request.tenant, tuple(request.calls),
            ))  # fmt: skip
        if self.state.requests:
            self.do(Wake(self.now + MOVE_STEP, ("hand",)))

    def handed_on(self, event: HandedOn) -> None:
        found = self._find(event.request, event.number)
        if found is not None:
            self._close(*found, Ending.HANDED_ON)

    def adopted(self, event: Adopted) -> None:
        stream = Attempt(0, event.worker, False, self.now, begun=True, written=True)
        unsafe = self.state.settings.classes[event.request_class].effect is api.Effect.UNSAFE
        request = Request(
            event.request, event.request_class, self.now, unsafe, event.resumed, attempts=[stream],
            stream=stream, tenant=event.tenant, calls=dict.fromkeys(event.calls),
        )  # fmt: skip
        self.state.requests[request.id] = request
        self.count("streams_adopted")

    def _move_streams(self) -> None:
        """What still runs would be cut off by the kill, all at once. So it is ended from here, a few streams
        at a time and the newest first: they have the most before them, and the least that must be read
        again."""
        state, streams = self.state, self._running()[::-1]
        left = state.stop_by - self.now
        steps = max(1, left // MOVE_STEP)
        for request, stream in streams[: -(-len(streams) // steps)]:
            self._close(request, stream, Ending.MOVED, abandon=True)
        if state.requests:
            pause = max(MOVE_STEP, left // (len(streams) + 1))  # few: one at a time, evenly
            self.do(Wake(self.now + pause, ("move",)))

    HANDLERS: ClassVar[dict[type, Callable[[_Step, Any], None]]] = {
        Taken: taken, TurnedAway: turned_away, ClientLeft: client_left,
        ClientFloods: client_floods, Violated: violated, Serving: serving,
        Begun: begun, Written: written, FirstEvent: first_event,
        Ended: ended, PlaceEnded: place_ended, ReleaseEnded: release_ended, Probed: probed,
        PeerTold: peer_told,
        ListTold: list_told, **ToolSteps.TOOL_HANDLERS, Woken: woken, Operate: operate,
        BansTold: bans_told, Recalled: recalled, Sharing: sharing,
        HandedOn: handed_on, Adopted: adopted, Terminate: terminate,
    }  # fmt: skip
    ACTIONS: ClassVar[dict[type, Callable[[_Step, Any], None]]] = {
        api.Send: send, api.LongRead: long_read, api.HoldPlace: hold_place, api.Release: release,
        api.Cancel: cancel, api.Refuse: refuse, api.Fail: fail, api.Move: move, api.SetTimer: set_timer,
        api.Probe: probe, api.WatchList: watch_list, api.FetchList: fetch_list, api.Log: say,
    }  # fmt: skip
