"""The guards of the acts that can't be taken back: sending, repeating, closing, and beginning to serve.

Each takes the facts as they are in the turn of the loop in which the act follows, and returns why it must not
be done, or None. Whoever does such an act asks its guard first; the reducer counts an act that went round it
(invariants.py). They hold no state and do no I/O.
"""

from __future__ import annotations

from enum import Enum

from basaltspread import interface as api
from basaltspread.core.shutdown import MOVE_TIME
from basaltspread.core.state import Attempt, Request, State, is_up
from basaltspread.endings import NEVER_RAN, Ending
from basaltspread.interface import WorkerState
from basaltspread.records import record
from basaltspread.structures.id_table import Claim

HELD_UP = 150_000  # us for which a process may stand still between a look at its clock and a write


class Denial(Enum):
    """Why an act must not be done; the value stands in counters and log lines."""

    REQUEST_OVER = "request_over"
    STREAM_BEGUN = "stream_begun"
    CLIENT_GONE = "client_gone"
    DEADLINE_PAST = "deadline_past"
    ATTEMPTS_SPENT = "attempts_spent"
    ENGINE_NOT_UP = "engine_not_up"
    COPY_OUT = "copy_out"
    MAY_HAVE_RUN = "may_have_run"
    WINDOW_PAST = "window_past"
    OTHER_GROUP = "other_group"
    UNANSWERED = "unanswered"
    LIST_NOT_AWAITED = "list_not_awaited"
    BANS_NOT_READ = "bans_not_read"
    ID_KNOWN = "id_known"
    IDS_FULL = "ids_full"
    PROCESS_ENDS = "process_ends"


# How an attempt ends that its guard withheld.
DENIED_ENDINGS: dict[Denial, Ending] = {
    Denial.ENGINE_NOT_UP: Ending.WITHDRAWN,
    Denial.CLIENT_GONE: Ending.CALLED_BACK_UNSENT,
}  # all others: NOT_SENT


def may_send(state: State, now: int, request: Request, attempt: Attempt, client_gone: bool) -> Denial | None:
    """Before the first byte of an attempt. `client_gone`: its close is known to the system."""
    if client_gone:
        return Denial.CLIENT_GONE
    if request.ended or attempt.over:
        return Denial.REQUEST_OVER
    if request.stream is not None:
        return Denial.STREAM_BEGUN
    if now >= request.deadline:
        return Denial.DEADLINE_PAST
    if 0 < state.settings.limits.max_attempts <= attempt.number:
        return Denial.ATTEMPTS_SPENT
    listed = state.workers.get(attempt.worker)
    if listed is None or listed.entry.state is not WorkerState.UP:
        return Denial.ENGINE_NOT_UP
    return may_repeat(state, now, request, attempt, listed.entry)


def may_ask_place(state: State, request: Request | None, worker: str) -> Denial | None:
    """Before a writer is asked to hold a place."""
    if request is None or request.ended:
        return Denial.REQUEST_OVER
    if request.stream is not None:
        return Denial.STREAM_BEGUN
    return None if is_up(state, worker) else Denial.ENGINE_NOT_UP


def may_repeat(
    state: State, now: int, request: Request, attempt: Attempt, engine: api.WorkerEntry
) -> Denial | None:
    """Before an attempt at a request of which earlier ones may be out, or may have run. A repeat that the
    engines discard has to arrive within their window, though this process is held up before it writes."""
    earlier = [other for other in request.attempts if other is not attempt and other.begun]
    if any(not other.over for other in earlier) and not state.settings.limits.duplicates:
        return Denial.COPY_OUT
    ran = [other for other in earlier if not other.reading and other.ending not in NEVER_RAN]
    cls = state.settings.classes[request.request_class]
    if attempt.reading or not ran or cls.effect is api.Effect.SAFE:
        return None
    if cls.effect is api.Effect.UNSAFE:
        return Denial.MAY_HAVE_RUN
    if now + HELD_UP >= min(other.sent_at for other in ran) + cls.key_window:
        return Denial.WINDOW_PAST
    same = {
        api.KeyScope.ALL: True,
        api.KeyScope.ZONE: all(other.zone == engine.zone for other in ran),
        api.KeyScope.CELL: all(other.cell == engine.cell for other in ran),
    }
    return None if same[cls.key_scope] else Denial.OTHER_GROUP


def may_begin(claim: Claim) -> Denial | None:
    """Before anything is begun for a client's request: each has an id of its own, and engines take one that
    comes again for the first. Where no more can be remembered, the new is refused, not the old forgotten."""
    return {Claim.NEW: None, Claim.KNOWN: Denial.ID_KNOWN, Claim.FULL: Denial.IDS_FULL}[claim]


def may_finish_arrival(state: State, now: int) -> Denial | None:
    """Before more is read of a request that was not whole yet. A process that shuts its door takes it only
    where a successor can go on with its stream, and while there is time left to hand that on."""
    if state.accepting:
        return None
    has_successor = state.inherited and state.processes > 1
    if has_successor and not state.exited and now < state.stop_by - MOVE_TIME:
        return None
    return Denial.PROCESS_ENDS


def may_close(owed: bool, client_gone: bool, broken: bool) -> Denial | None:
    """Before a client's connection is closed: `owed`, a request that was read on it has no final answer;
    `broken`, its stream has to end without the last chunk."""
    return Denial.UNANSWERED if owed and not client_gone and not broken else None


@record
class StartFacts:
    """What a process has done before it lets clients come."""

    list_awaited: bool  # discovery has answered, or had its time to
    bans_read: bool  # operators' orders of an earlier process were looked for


def may_serve(facts: StartFacts) -> Denial | None:
    """Before the door is opened."""
    if not facts.bans_read:
        return Denial.BANS_NOT_READ
    return None if facts.list_awaited else Denial.LIST_NOT_AWAITED
