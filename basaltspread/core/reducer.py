"""The one reducer: every change of what the gateway knows of its requests happens in `reduce`.

It owns requests, attempts, what is held for a request at the engines, and the gateway's duties: one final
answer each, the attempt limit, deadlines, drains, and release. It asks for reads and writes as effects and is
told of their ends as inputs. It must never touch a socket, a clock, HTTP, JSON or asyncio, and it never
chooses an engine for a request: that is the module's part (rules.py), which it calls here and nowhere else.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any, ClassVar

from basaltspread import interface as api
from basaltspread.control import load_shedding
from basaltspread.control.picture import Word
from basaltspread.core import guards, invariants
from basaltspread.core.contacting import ContactSteps
from basaltspread.core.engine_contacts import SILENT_AFTER
from basaltspread.core.fleet import FleetSteps
from basaltspread.core.held_clock import HeldClockSteps, any_held
from basaltspread.core.held_ledger import HeldKind
from basaltspread.core.messages import (
    AbandonAttempt,
    Answer,
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
    FirstEvent,
    Input,
    Listed,
    PassOn,
    Say,
    Serving,
    StartAttempt,
    StopAccepting,
    Taken,
    TurnedAway,
    Verdict,
    Violated,
    Wake,
    Woken,
    Written,
)
from basaltspread.core.places import PlaceSteps
from basaltspread.core.releases import ReleaseSteps
from basaltspread.core.shutdown import ShutdownSteps
from basaltspread.core.state import Attempt, Request, State, figures_age_name
from basaltspread.core.toolcalls import ToolSteps
from basaltspread.core.watching import WatchSteps
from basaltspread.endings import CLOSED_HERE, OUTCOMES, QUIET, Ending
from basaltspread.interface import Role, WorkerState

MS = 1000
ANSWER_EARLY = 15 * MS  # a deadline is met this much early: the loop may lag, and the answer takes a moment
DEADLINE_GUARD = 10 * MS  # past its deadline by this, a request that the module forgot is failed here
GIVE_UP_PAUSE = 10 * MS  # by then the engine has surely seen that an attempt was given up
TIMER_SPACING = 8  # decisions between two of the module's timers at the least: each costs one
GROUNDS_STEP = 1000 * MS  # between two log lines on refusals, or choices, for one reason; all are counted
DRAIN_STEP = 200 * MS  # between two looks for idle clients from then on
# What is told to the other gateways at once, as each would else spend a request on finding it.
WORDS = {Ending.REFUSED: Word.REFUSES, Ending.SERVER_ERROR: Word.FAILED}


def react(state: State, now: int, event: Input) -> list[Effect]:
    """The state after this input, and what is to be done about it at once. What the module is to be told of
    it waits in `state.undecided`: answers, closes and releases go out first, however long decisions take."""
    step = _Step(state, now)
    try:
        step.HANDLERS[type(event)](step, event)
        step.settle()
    except Exception:  # it costs the request that it concerns, and no other
        step.fault(event, traceback.format_exc())
    return step.effects


def decide(state: State, now: int) -> list[Effect]:
    """Tells the module the next thing that waits, and says what is to be done about its decision."""
    step = _Step(state, now)
    event = state.undecided.take()
    try:
        step.ask_module(event)
        step.settle()
    except Exception:
        step.fault(event, traceback.format_exc())
    return step.effects


def reduce(state: State, now: int, event: Input) -> list[Effect]:
    """The same with all decisions that follow, for a host that is never late."""
    effects = react(state, now, event)
    while state.undecided:
        effects += decide(state, now)
    return effects


def _waits_for_questions_alone(request: Request) -> bool:
    """Whether all that is left of it are questions for places, which have been released."""
    over = request.ended and not request.owed and not request.out()
    return over and not request.held.holds()


class _Step(
    ToolSteps, HeldClockSteps, PlaceSteps, ReleaseSteps, ContactSteps, FleetSteps, ShutdownSteps, WatchSteps
):
    """One call of the reducer: the state, the time, and the effects gathered so far."""

    def __init__(self, state: State, now: int) -> None:
        self.state, self.now = state, now
        self.effects: list[Effect] = []
        self.touched: dict[str, None] = {}

    def do(self, effect: Effect) -> None:
        self.effects.append(effect)

    def count(self, name: str) -> None:
        self.do(Count(name))

    def tell(self, event: api.Event) -> None:
        """The module is to be told of this."""
        self.state.undecided.add(event)

    def decide_all(self) -> None:
        while self.state.undecided:
            self.ask_module(self.state.undecided.take())

    def settle(self) -> None:
        for name in self.touched:
            self._settle(name)
        state = self.state
        if not state.accepting and not state.exited and self._nothing_is_owed():
            state.exited = True
            for breach in invariants.of_exit(state):
                self._check(breach)
            self.do(Exit())

    def _nothing_is_owed(self) -> bool:
        """Whether this process may end. It waits for no engine that may yet take a question: who comes to a
        socket that is inherited is served by the process that follows."""
        state = self.state
        if state.releases or state.calls or state.undecided:
            return False
        if state.arriving and guards.may_finish_arrival(state, self.now) is None:
            return False
        return all(_waits_for_questions_alone(request) for request in state.requests.values())

    def fault(self, event: Input | api.Event, trace: str) -> None:
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
        if any_held(request):
            self._release(request.id, request)

    def ask_module(self, event: api.Event) -> None:
        request = self.state.requests.get(getattr(event, "request", ""))
        if request is not None:
            self.touched[request.id] = None
        if isinstance(event, api.Arrival) and (request is None or request.ended):
            return  # it was over before it could be decided
        try:
            actions = self.state.module.handle(self.now, [event])
        except Exception as error:  # a fault in one decision must not take the other requests with it
            self.count("module_faults")
            self.do(Say(f"module fault on {type(event).__name__}: {type(error).__name__}: {error}"))
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
        if request is None or not request.ended or request.out() or self.state.undecided.holds(name):
            return
        self.orphan_calls(request)
        if request.held.holds():
            self._release(name)
        if not (request.held.questions() or request.owed):
            self._check(invariants.of_dropped(request))
            if self.state.traces:
                self.do(Say(f"trace of {name}: {request.changes()}"))
            del self.state.requests[name]
            self.state.last_dropped = name

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
        if self._sheds(a):
            return
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
        self.tell(a)
        if self.state.stopping:
            self.look_at_streams_again()
        picture = self.state.picture
        due = picture.due(self.now) if picture is not None else None
        if due is not None:
            self.probe(api.Probe(due))

    def _sheds(self, arrival: api.Arrival) -> bool:
        """Whether it is refused here and now: its time is over, or the loop is too late for it."""
        state = self.state
        if arrival.time_left <= 0:
            reason, retry_after = "refused_past_time", 0
        else:
            refused = load_shedding.refusal(
                state.settings, state.load, self.now, len(state.undecided), arrival
            )
            if refused is None:
                return False
            reason, retry_after = "refused_for_lag", refused
        self.count(reason)
        state.replies[arrival.request_class, Verdict.REFUSED] += 1
        self.do(Answer(arrival.request, Verdict.REFUSED, retry_after))
        return True

    def client_left(self, event: ClientLeft) -> None:
        request = self.state.requests.get(event.request)
        if request is None or request.ended:
            return
        self.count("clients_gone")
        self._end(request, None)
        if request.stream is not None:
            self._close(request, request.stream, event.ending, abandon=True)
        else:
            self.tell(api.ClientGone(request.id))
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
        self._note_choice(attempt, request, action.grounds)
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

    def _note_choice(self, attempt: Attempt, request: Request, grounds: api.ChoiceGrounds | None) -> None:
        """Count why the module chose this engine and how old its figures were, and log one of a second for
        each reason."""
        if grounds is None:
            return
        choices = self.state.choices
        age = figures_age_name(grounds.figures_age)
        choices.reasons[grounds.reason] += 1
        choices.ages[age] += 1
        self.count(f"chosen_{grounds.reason.value}")
        self.count(f"chosen_figures_{age}")
        said_at = choices.said_at.get(grounds.reason)
        if said_at is None or self.now >= said_at + GROUNDS_STEP:
            choices.said_at[grounds.reason] = self.now
            self.do(Say(f"attempt {request.id}/{attempt.number} goes to {attempt.worker}: {grounds}"))

    def _starts(self, listed: Listed) -> bool:
        """Whether this engine is in slow start, by the list and the settings."""
        started = listed.entry.started
        return started > 0 and self.now - started < self.state.settings.rules.warm_within

    def _start(self, request: Request, attempt: Attempt, listed: Listed) -> None:
        self.count("sends_read" if attempt.reading else "sends_write")
        left = attempt.until - self.now
        attempt.address = listed.address
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
            self.state.contacts.began(found[1].worker, self.now)
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
        self._watch_attempt(request, attempt)
        if attempt.reading and request.place is not None:
            self._ask_place(request, attempt)

    def first_event(self, event: FirstEvent) -> None:
        found = self._find(event.request, event.number)
        if found is None or found[0].ended or found[0].stream is not None:
            return
        request, attempt = found
        self._held_until_stream(request)
        request.stream = attempt
        self.touched[request.id] = None
        self._check(invariants.of_answer(self.now, request))
        request.note(self.now, f"stream of attempt {attempt.number}")
        if self.state.traces:
            self.do(Say(f"trace of {request.id}: so far {request.changes()}"))
        self._heard(attempt.worker)
        self._note_answer(request, attempt)
        self.count("streams_started")
        self.do(PassOn(request.id, attempt.number))
        for other in request.out():
            if other is not attempt:
                self._close(request, other, Ending.CANCELLED, abandon=True)
        elapsed = self.now - attempt.sent_at
        self.tell(api.FirstToken(request.id, attempt.number, attempt.worker, elapsed))

    def ended(self, event: Ended) -> None:
        found = self._find(event.request, event.number)
        if found is not None:
            self._close(*found, event.ending, detail=event.detail, report=event.report)

    def _abandon(self, request: Request, attempt: Attempt) -> None:
        attempt.over = True
        self.touched[request.id] = None
        self.do(AbandonAttempt(request.id, attempt.number))

    def _note_given_up(self, request: Request, attempt: Attempt) -> None:
        """Its engine may notice that late: a release could pass over what a write there still waits for, and
        a read could still leave a state. While the request goes on that counts only if the engine has given
        no sign lately although it had the time: a release more could hit what the request has by then."""
        if not attempt.written:
            return
        since = max(attempt.written_at, self.now - SILENT_AFTER)
        had_time = self.now - attempt.written_at > SILENT_AFTER
        silent = had_time and self.state.contacts.answered_since(attempt.worker, since) is None
        if request.ended or (attempt.reading and silent):
            self._may_be_taken(attempt.worker, request.id, HeldKind.STATE)

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
            self._note_given_up(request, attempt)
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
        self._noted(attempt.worker, ending)
        if ending is Ending.READ:
            self._note_answer(request, attempt)
        self._held_after(request, attempt, ending)
        if attempt.reading:
            request.place = None
            for worker in request.held.questions():
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
        self.tell(
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
            self._note_grounds(request, action.grounds)
            self._answer(request, Verdict.REFUSED, action.retry_after)

    def fail(self, action: api.Fail) -> None:
        request = self.state.requests.get(action.request)
        if request is not None:
            self._note_grounds(request, action.grounds)
            self._answer(request, Verdict.FAILED)

    def _note_grounds(self, request: Request, grounds: api.Grounds | None) -> None:
        """Count why the module gives a request up, and log one of a second for each reason."""
        if grounds is None or not request.waits():
            return
        refusals = self.state.refusals
        refusals.counts[grounds.reason] += 1
        self.count(f"given_up_{grounds.reason.value}")
        said_at = refusals.said_at.get(grounds.reason)
        if said_at is None or self.now >= said_at + GROUNDS_STEP:
            refusals.said_at[grounds.reason] = self.now
            self.do(Say(f"{request.id} is given up: {grounds}"))

    def move(self, action: api.Move) -> None:
        """End a running stream; its client asks for the rest."""
        request = self.state.requests.get(action.request)
        if request is not None and request.stream is not None and not request.stream.over:
            self._close(request, request.stream, Ending.CANCELLED, abandon=True)

    # --- time and the end ------------------------------------------------------------------------------

    def woken(self, event: Woken) -> None:
        match event.token:
            case ("timer", int(number)):
                self.tell(api.TimerFired(number))
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
            case ("held", str(name)):
                request = self.state.requests.get(name)
                if request is not None:
                    self._held_due(request)
            case ("untaken", str(engine), str(name), HeldKind() as kind):
                self._untaken_due(engine, name, kind)
            case ("unanswered", str(name), int(number)):
                found = self._find(name, number)
                if found is not None:
                    self._unanswered(*found)
            case ("deadline", str(name)):
                request = self.state.requests.get(name)
                if request is not None and request.waits() and self.now >= request.deadline:
                    self.count("deadline_backstops")
                    self._give_up(request)
            case ("answer", str(name), int(retry_after)):
                request = self.state.requests.get(name)
                if request is not None and request.owed:
                    request.owed = False
                    self.touched[name] = None
                    self.do(Answer(name, Verdict.REFUSED, retry_after))
            case ("release", str(name), int(number)):
                release = self.state.releases.get(name)
                if release is not None and release.tries == number:
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
        delay = max(action.delay, int(TIMER_SPACING * self.state.load.decision_time))
        self.do(Wake(self.now + delay, ("timer", action.timer)))

    def say(self, action: api.Log) -> None:
        self.do(Say(action.text))

    def watch_list(self, action: api.WatchList) -> None:
        """Nothing to do: the front watches discovery from its start to its end."""

    HANDLERS: ClassVar[dict[type, Callable[[Any, Any], None]]] = {
        Taken: taken, TurnedAway: turned_away, ClientLeft: client_left, ClientFloods: client_floods,
        Violated: violated, Serving: serving, Begun: begun, Written: written, FirstEvent: first_event,
        Ended: ended, Woken: woken,
        **ShutdownSteps.HANDLERS, **PlaceSteps.HANDLERS, **ReleaseSteps.HANDLERS, **FleetSteps.HANDLERS,
        **ToolSteps.TOOL_HANDLERS,
    }  # fmt: skip
    ACTIONS: ClassVar[dict[type, Callable[[Any, Any], None]]] = {
        api.Send: send, api.Cancel: cancel, api.Refuse: refuse, api.Fail: fail, api.Move: move,
        api.SetTimer: set_timer, api.WatchList: watch_list, api.Log: say,
        **PlaceSteps.ACTIONS, **ReleaseSteps.ACTIONS, **FleetSteps.ACTIONS,
    }  # fmt: skip
