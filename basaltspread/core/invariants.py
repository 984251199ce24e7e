"""What must hold of every request, whoever decided: checked as the gateway runs, and by its tests.

A violation is counted as `invariant_NAME`, and logged with the request's id and its last state changes; the
gateway goes on. It holds no state and does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

from basaltspread.core import guards
from basaltspread.core.guards import Denial
from basaltspread.core.state import Attempt, Request, State
from basaltspread.records import record

LATE = 500_000  # us past a client's time by which its answer is lost
HELD_SLACK = 300_000  # us that what is held has more than the settings say
ENDED_KEPT = 60_000_000  # us after which nothing of a request that has ended may still be here


class Invariant(Enum):
    """The name of each, as it is counted."""

    SENT_AFTER_END = "sent_after_end"
    SENT_FOR_GONE_CLIENT = "sent_for_gone_client"
    SENT_PAST_DEADLINE = "sent_past_deadline"
    SENT_TO_UNAVAILABLE = "sent_to_unavailable"
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    COPY_OUT = "copy_out"
    UNSAFE_REPEAT = "unsafe_repeat"
    ANSWERED_TWICE = "answered_twice"
    ANSWERED_LATE = "answered_late"
    CLOSED_UNANSWERED = "closed_unanswered"
    UNANSWERED = "unanswered"
    EXITED_OWING = "exited_owing"
    NOT_RELEASED = "not_released"
    HELD_TOO_LONG = "held_too_long"
    SERVED_TOO_EARLY = "served_too_early"


# A send that its guard would have withheld breaks this.
BROKEN_BY_SEND: dict[Denial, Invariant] = {
    Denial.REQUEST_OVER: Invariant.SENT_AFTER_END,
    Denial.STREAM_BEGUN: Invariant.SENT_AFTER_END,
    Denial.CLIENT_GONE: Invariant.SENT_FOR_GONE_CLIENT,
    Denial.DEADLINE_PAST: Invariant.SENT_PAST_DEADLINE,
    Denial.ATTEMPTS_SPENT: Invariant.TOO_MANY_ATTEMPTS,
    Denial.ENGINE_NOT_UP: Invariant.SENT_TO_UNAVAILABLE,
    Denial.COPY_OUT: Invariant.COPY_OUT,
    Denial.MAY_HAVE_RUN: Invariant.UNSAFE_REPEAT,
    Denial.WINDOW_PAST: Invariant.UNSAFE_REPEAT,
    Denial.OTHER_GROUP: Invariant.UNSAFE_REPEAT,
}


@record
class Breach:
    """One violation, of a request or (with none) of the process."""

    invariant: Invariant
    request: Request | None = None

    def __str__(self) -> str:
        if self.request is None:
            return f"invariant broken: {self.invariant.value}"
        return f"{self.request.id}: invariant broken: {self.invariant.value}; {self.request.changes()}"


def of_send(state: State, now: int, request: Request, attempt: Attempt) -> Breach | None:
    """The first byte of an attempt goes out now."""
    denial = guards.may_send(state, now, request, attempt, client_gone=False)
    return Breach(BROKEN_BY_SEND[denial], request) if denial is not None else None


def of_answer(now: int, request: Request) -> Breach | None:
    """A request gets its final answer, or the first event of its stream, now."""
    if request.ended:
        return Breach(Invariant.ANSWERED_TWICE, request)
    return Breach(Invariant.ANSWERED_LATE, request) if now > request.deadline + LATE else None


def of_held(now: int, request: Request, since: int | None, release_within: int) -> Breach | None:
    """What is held for a request is taken or released now; its time counts from `since` (None: nothing is
    held), and `release_within` us are allowed, 0: no limit."""
    if since is None or release_within <= 0 or now <= since + release_within + HELD_SLACK:
        return None
    return Breach(Invariant.HELD_TOO_LONG, request)


def of_dropped(request: Request) -> Breach | None:
    """Nothing of a request is known any more."""
    return Breach(Invariant.NOT_RELEASED, request) if request.held.holds() else None


def of_exit(state: State) -> Iterator[Breach]:
    """The process ends."""
    for request in state.requests.values():
        if not request.ended:
            yield Breach(Invariant.EXITED_OWING, request)


def of_state(state: State, now: int) -> Iterator[Breach]:
    """All that is known now; costs a look at each request."""
    for request in state.requests.values():
        late = now > request.deadline + LATE
        if late and not request.ended and request.stream is None:
            yield Breach(Invariant.UNANSWERED, request)
        forgotten = request.ended and now > request.deadline + ENDED_KEPT
        if forgotten and request.held.holds() and not request.out():
            yield Breach(Invariant.NOT_RELEASED, request)
