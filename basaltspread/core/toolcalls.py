"""The reducer's part for tool calls: what becomes of each call of a stream, and the one reply that it gets.

It owns calls (from their event to the last that is heard of them) and bundles (the calls of one event, which
get one message in return). Where a call goes, when, and whether it goes again is decided by the dispatcher
(control/dispatch.py), whose decisions become effects here. It must never touch a socket, a clock or JSON, and
it must never let an id get a second reply, nor an unsafe call be made for a request that somebody may send
again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, ClassVar

from basaltspread import interface as api
from basaltspread.control.decisions import Decision, Note, Settle, Start, Stop, Tell, Trial, WakeAt
from basaltspread.core.messages import (
    AbandonTool,
    AnswerLocally,
    CallTool,
    Effect,
    ForgetBundle,
    ForgetCall,
    ProgressEnded,
    ReplyEnded,
    ReturnProgress,
    ReturnReply,
    RoutesTold,
    Say,
    ServerDrains,
    ServerTried,
    TellCancelled,
    ToolBegun,
    ToolCalled,
    ToolCancelled,
    ToolEnded,
    ToolProgressed,
    TryServer,
    Wake,
    Wanted,
)
from basaltspread.core.state import Attempt, Bundle, Request, State, ToolCall
from basaltspread.endings import NEVER_RAN, Ending, ToolFault

MS = 1000
LEAST_REPLY_TIME = 2000 * MS  # that an engine has to take a reply, however late that came
REPLY_PAUSE = 20 * MS  # before a reply that certainly never arrived is written again; doubles with each try
LONGEST_REPLY_PAUSE = 500 * MS
MOST_CALLS = 16  # open tool calls of one request
MOST_IDS = 4096  # tool calls of one request in all: each id is remembered, as it may come again
MOST_ERRORS = 64  # messages without a usable id that are answered in one request
MOST_PROGRESS = 100  # times that an engine is told of one call's progress
PROGRESS_STEP = 100 * MS  # between two of them
LISTING = 10_000 * MS  # that the gateway's own answer may take


class ToolSteps:
    """The steps of the reducer that concern tool calls. None walks the calls of other requests."""

    state: State
    now: int
    do: Callable[[Effect], None]
    count: Callable[[str], None]
    _find: Callable[[str, int], tuple[Request, Attempt] | None]
    _close: Callable[..., None]

    # --- from the engine --------------------------------------------------------------------------------

    def tool_called(self, event: ToolCalled) -> None:
        """The calls of one event of the stream that the client gets. The fate of each is one reply, whatever
        happens; an unsafe one is written at most once, and only where neither a client nor a gateway sends
        the request again."""
        found = self._find(event.request, event.number)
        if found is None or found[0].stream is not found[1]:
            self.count("tool_calls_strayed")
            return
        request, attempt = found
        fresh: dict[str, Wanted] = {}
        for wanted in event.calls:
            self.count("tool_calls")
            # Answering would give this id a second reply; the first, or the one to come, is its only one.
            if wanted.call in request.calls:
                self.count("tool_calls_repeated")
            else:
                request.calls[wanted.call] = None
                fresh[wanted.call] = wanted
        request.errors += event.errors
        if request.errors > MOST_ERRORS or len(request.calls) > MOST_IDS:
            self.count("tool_streams_babbling")
            self.do(Say(f"the stream of {request.id} carries too many tool messages; it is ended"))
            self._close(request, attempt, Ending.MALFORMED, abandon=True)
            return
        if not fresh and not event.errors:
            return
        deadline = self.now + max((wanted.time_left for wanted in fresh.values()), default=0)
        bundle = Bundle(attempt, dict.fromkeys(fresh), set(fresh), event.errors, deadline)
        self.state.bundles[request.id, event.bundle] = bundle
        request.bundles.add(event.bundle)
        for wanted in fresh.values():
            self._open(request, attempt, event.bundle, wanted)
        if not fresh:
            self._return(request.id, event.bundle, bundle)

    def _open(self, request: Request, attempt: Attempt, bundle: int, wanted: Wanted) -> None:
        key = (request.id, wanted.call)
        unsafe = wanted.effect is not api.Effect.SAFE and not wanted.local
        call = ToolCall(attempt, bundle, unsafe)
        crowded = len(request.open) >= MOST_CALLS
        self.state.calls[key] = call
        request.open.add(wanted.call)
        fault = wanted.fault
        if fault is None and crowded:
            fault = ToolFault.TOO_MANY
        if fault is None and unsafe and (not request.unsafe or request.resumed):
            # After a crash a safe request is sent again by its client, and a resumed one has had a stream
            # that may have made this very call.
            fault = ToolFault.NOT_PERMITTED
        if fault is not None or wanted.answered:
            self._settle_call(key, call, fault)
        elif wanted.local:
            self.do(Wake(self.now + LISTING, ("tool_local", *key)))
            self.do(AnswerLocally(*key, LISTING))
        else:
            assert self.state.tools is not None
            deadline = self.now + wanted.time_left
            self.decided(
                self.state.tools.submit(self.now, key, wanted.tool, request.tenant, unsafe, deadline)
            )

    def tool_cancelled(self, event: ToolCancelled) -> None:
        """A cancel may cross the reply: what is on its way then is not called back."""
        key = (event.request, event.call)
        call = self.state.calls.get(key)
        if call is None or call.orphan or call.attempt.number != event.number:
            self.count("tool_cancels_strayed")
            return
        if call.settled:
            self.count("tool_cancels_late")
            return
        self.count("tool_cancels")
        self._let_go(key, call)
        bundle = self.state.bundles.get((event.request, call.bundle))
        if bundle is not None:
            del bundle.calls[event.call]
            self._is_settled(event.request, call.bundle, bundle, event.call)

    def _let_go(self, key: tuple[str, str], call: ToolCall) -> None:
        """Nobody waits for its reply. A safe call is called off; an unsafe one that has begun is heard out,
        as its reply, however late, tells the operator what was done."""
        request = self.state.requests.get(key[0])
        if request is not None:
            request.open.discard(key[1])
        tools = self.state.tools
        if tools is not None and not call.settled:
            self.decided(tools.call_off(self.now, key))
            job = tools.jobs.get(key)
            if job is not None:
                call.orphan = True
                for attempt in job.out.values():
                    self.do(TellCancelled(*key, attempt.station.spec))
                return
        self._forget_call(key)

    def orphan_calls(self, request: Request) -> None:
        """The stream is over."""
        for ident in [i for i in request.calls if i in request.open]:
            key = (request.id, ident)
            self._let_go(key, self.state.calls[key])
        for number in sorted(request.bundles):
            del self.state.bundles[request.id, number]
            self.do(ForgetBundle(request.id, number))
        request.bundles.clear()

    # --- from the tool servers --------------------------------------------------------------------------

    def tool_begun(self, event: ToolBegun) -> None:
        if self.state.tools is not None:
            self.decided(self.state.tools.begun(self.now, (event.request, event.call), event.number))

    def tool_progressed(self, event: ToolProgressed) -> None:
        key = (event.request, event.call)
        if self.state.tools is not None:
            self.state.tools.heard(self.now, key, event.number)
        call = self.state.calls.get(key)
        if call is None or not event.shown or call.settled or call.orphan:
            return
        if call.telling or call.told >= MOST_PROGRESS or self.now < call.told_at + PROGRESS_STEP:
            self.count("tool_progress_dropped")
            return
        call.telling = True
        call.told += 1
        call.told_at = self.now
        self.count("tool_progress")
        self.do(ReturnProgress(*key, call.attempt.worker, call.attempt.address))

    def progress_ended(self, event: ProgressEnded) -> None:
        call = self.state.calls.get((event.request, event.call))
        if call is not None:
            call.telling = False

    def tool_ended(self, event: ToolEnded) -> None:
        key = (event.request, event.call)
        call = self.state.calls.get(key)
        if call is None or self.state.tools is None:
            return
        if event.number:
            self.count(f"tools_{event.ending.name.lower()}")
            self.decided(self.state.tools.ended(self.now, key, event.number, event.ending))
        elif not call.settled:
            self._settle_call(key, call, None if event.ending is Ending.SERVED else ToolFault.SERVER_FAULT)

    def server_tried(self, event: ServerTried) -> None:
        if self.state.tools is not None:
            self.decided(self.state.tools.tried(self.now, event.server, event.ok))

    def server_drains(self, event: ServerDrains) -> None:
        if self.state.tools is not None:
            self.count("tool_drains_told")
            self.decided(self.state.tools.drain(self.now, event.server, event.on))

    def routes_told(self, event: RoutesTold) -> None:
        if self.state.tools is not None:
            self.decided(self.state.tools.reroute(self.now, event.table))

    def tool_woken(self, token: tuple[Any, ...]) -> None:
        if token[0] == "tool_local":
            call = self.state.calls.get((token[1], token[2]))
            if call is not None and not call.settled:
                self._settle_call((token[1], token[2]), call, ToolFault.DEADLINE)
        elif token[0] == "tool_reply":
            bundle = self.state.bundles.get((token[1], token[2]))
            if bundle is not None and bundle.returns == token[3]:
                self._return(token[1], token[2], bundle)
        elif self.state.tools is not None:
            self.decided(self.state.tools.woken(self.now, token))

    def decided(self, decisions: Iterable[Decision]) -> None:
        """What the dispatcher has decided, as effects."""
        for decision in decisions:
            match decision:
                case Start(key, number, server, once, left):
                    self.do(CallTool(key[0], key[1], number, server, once, left))
                case Stop(key, number, server, tell):
                    self.do(AbandonTool(key[0], key[1], number, server, tell))
                case Settle(key, fault):
                    self._job_settled(key, fault)
                case WakeAt(at, token):
                    self.do(Wake(at, token))
                case Trial(server):
                    self.do(TryServer(server))
                case Note(counter):
                    self.count(counter)
                case Tell(text):
                    self.do(Say(text))

    def _job_settled(self, key: tuple[str, str], fault: ToolFault | None) -> None:
        call = self.state.calls.get(key)
        if call is None:
            return
        if not call.orphan:
            self._settle_call(key, call, fault)
            return
        if fault is None:
            self.count("tool_replies_dropped")
        elif fault is ToolFault.OUTCOME_UNKNOWN:
            self.count("tool_outcomes_unknown")
            self.do(Say(f"tool call {key[1]} of {key[0]}: outcome unknown, and nobody waits for it"))
        self._forget_call(key)

    # --- back to the engine -----------------------------------------------------------------------------

    def _settle_call(self, key: tuple[str, str], call: ToolCall, fault: ToolFault | None) -> None:
        """The one place where a call gets its reply."""
        call.settled, call.fault = True, fault
        self.count("tool_replies" if fault is None else f"tool_faults_{fault.name.lower()}")
        bundle = self.state.bundles.get((key[0], call.bundle))
        if bundle is not None:
            self._is_settled(key[0], call.bundle, bundle, key[1])

    def _is_settled(self, name: str, number: int, bundle: Bundle, ident: str) -> None:
        bundle.waiting.discard(ident)
        if bundle.waiting:
            return
        if bundle.calls or bundle.errors:
            self._return(name, number, bundle)
        else:  # all were cancelled: a message without content would be none
            self._forget_bundle(name, number, bundle)

    def _return(self, name: str, number: int, bundle: Bundle) -> None:
        """To the engine that holds the stream, where it was dialled: it has this request already, so no drain
        forbids it, whatever the list says of it by now."""
        if not bundle.returns:
            bundle.return_by = max(bundle.deadline, self.now + LEAST_REPLY_TIME)
        bundle.returns += 1
        replies = tuple((ident, self.state.calls[name, ident].fault) for ident in bundle.calls)
        worker, address = bundle.attempt.worker, bundle.attempt.address
        self.do(ReturnReply(name, number, worker, address, replies, bundle.return_by - self.now))

    def reply_ended(self, event: ReplyEnded) -> None:
        bundle = self.state.bundles.get((event.request, event.bundle))
        if bundle is None:
            return
        pause = min(REPLY_PAUSE << min(bundle.returns - 1, 8), LONGEST_REPLY_PAUSE)
        if event.ending in NEVER_RAN and self.now + pause < bundle.return_by:
            self.count("tool_replies_retried")
            self.do(Wake(self.now + pause, ("tool_reply", event.request, event.bundle, bundle.returns)))
            return
        served = event.ending is Ending.SERVED
        if not served:
            self._say_reply_lost(event, bundle)
        for _ in range(len(bundle.calls) or 1):
            self.count("tool_replies_returned" if served else "tool_replies_lost")
        self._forget_bundle(event.request, event.bundle, bundle)
        found = self._find(event.request, bundle.attempt.number)
        if not served and found is not None:  # the engine would wait for ever: the stream ends as if broken
            self._close(*found, event.ending, abandon=True)

    def _say_reply_lost(self, event: ReplyEnded, bundle: Bundle) -> None:
        where = f"{bundle.attempt.worker} at {bundle.attempt.address}"
        tries = f"{bundle.returns} tries, the last: {event.ending.value}"
        self.do(Say(f"tool reply of {event.request} to {where} is lost after {tries}"))

    def _forget_bundle(self, name: str, number: int, bundle: Bundle) -> None:
        for ident in bundle.calls:
            self._forget_call((name, ident))
        del self.state.bundles[name, number]
        self.do(ForgetBundle(name, number))
        request = self.state.requests.get(name)
        if request is not None:
            request.bundles.discard(number)
            request.replied_at = self.now

    def _forget_call(self, key: tuple[str, str]) -> None:
        del self.state.calls[key]
        self.do(ForgetCall(*key))
        request = self.state.requests.get(key[0])
        if request is not None:
            request.open.discard(key[1])

    TOOL_HANDLERS: ClassVar[dict[type, Callable[..., None]]] = {
        ToolCalled: tool_called, ToolCancelled: tool_cancelled, ToolBegun: tool_begun,
        ToolProgressed: tool_progressed, ToolEnded: tool_ended, ProgressEnded: progress_ended,
        ReplyEnded: reply_ended, ServerTried: server_tried, ServerDrains: server_drains,
        RoutesTold: routes_told,
    }  # fmt: skip


def invariants(state: State) -> list[str]:
    """What must hold after every input; each breach in words."""
    breaches = []
    jobs = state.tools.jobs if state.tools is not None else {}
    for key, call in state.calls.items():
        request = state.requests.get(key[0])
        if call.orphan != (key in jobs and (request is None or key[1] not in request.open)):
            breaches.append(f"{key}: orphan {call.orphan}, a job {key in jobs}")
        if not call.orphan and (request is None or key[1] not in request.open):
            breaches.append(f"{key}: no request has it open")
        if call.settled and key in jobs:
            breaches.append(f"{key}: settled, and still a job")
        if not call.orphan and (key[0], call.bundle) not in state.bundles:
            breaches.append(f"{key}: nothing will return its reply")
    for key in jobs:
        if key not in state.calls:
            breaches.append(f"{key}: a job without a call")
    for (name, number), bundle in state.bundles.items():
        if name not in state.requests or number not in state.requests[name].bundles:
            breaches.append(f"{name}: bundle {number} is nobody's")
        for ident in bundle.calls:
            if (name, ident) not in state.calls:
                breaches.append(f"{name}: bundle {number} waits for {ident}, which is no call")
            elif state.calls[name, ident].settled == (ident in bundle.waiting):
                breaches.append(f"{name}: {ident} settled and waited for, or neither")
    return breaches
