"""The steps of the reducer that bring a process to its end: SIGTERM, the last answers, and streams that go on
in the process that follows, or move to other gateways.

They never answer a request that still has its time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, ClassVar

from basaltspread import interface as api
from basaltspread.core.messages import (
    Adopted,
    Arriving,
    CloseIdle,
    Effect,
    HandedOn,
    HandOn,
    Say,
    StopListening,
    Terminate,
    Verdict,
    Wake,
)
from basaltspread.core.state import Attempt, Request, State
from basaltspread.endings import NEVER_RAN, Ending

MS = 1000
LONGEST_GRACE = 3000 * MS  # after SIGTERM; less where every class has a shorter deadline
LEAST_DOOR = 550 * MS  # clients may still come for 400 ms after SIGTERM
MOVE_TIME = 1000 * MS  # the last of the grace: the door is shut, and streams still running go elsewhere
MOVE_STEP = 50 * MS
LAST_ANSWERS = 250 * MS  # past the grace: who has had nothing by then is told to ask elsewhere


class ShutdownSteps:
    """The part of a step by which a process ends in order."""

    state: State
    now: int
    tell: Callable[[api.Event], None]
    do: Callable[[Effect], None]
    count: Callable[[str], None]
    _find: Callable[[str, int], tuple[Request, Attempt] | None]
    _close: Callable[..., None]
    _answer: Callable[..., None]
    _drop_late_questions: Callable[[], None]

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

    def arriving(self, event: Arriving) -> None:
        self.state.arriving = event.number

    def look_at_streams_again(self) -> None:
        """Something has begun while the process stops. Guards against a stream that begins after the last
        look at streams to hand on, or to move: it would be cut off at the exit or by the kill."""
        state = self.state
        for look, due in (("hand", state.inherited), ("move", state.moving)):
            if due and look not in state.looks:
                self._look_at(look, MOVE_STEP)

    def _look_at(self, look: str, pause: int) -> None:
        """The next look of this kind, as long as there is a request that it may concern."""
        if not self.state.requests:
            self.state.looks.discard(look)
            return
        self.state.looks.add(look)
        self.do(Wake(self.now + pause, (look,)))

    def _answer_the_rest(self) -> None:
        """The kill would find them unanswered, and what is held for them would stay at the engines."""
        for request in [request for request in self.state.requests.values() if request.waits()]:
            what = "the rest of a stream" if request.resumed else "a request"
            self.do(Say(f"{request.id}, {what}, is given up: this process has to end"))
            self._give_up(request)
        self._drop_late_questions()
        if self.state.requests:
            self.do(Wake(self.now + MOVE_STEP, ("last",)))

    def _give_up(self, request: Request) -> None:
        """Answer a request that has no stream yet. What can't have run, or may run twice, is refused: it can
        be asked for again at once."""
        self.tell(api.ClientGone(request.id))  # the module takes it as over
        # Given up first: what is still out may run yet, and of an order that may run nothing is refused.
        for attempt in request.out():
            self._close(request, attempt, Ending.CANCELLED, abandon=True)
        ran = any(a.written and not a.reading and a.ending not in NEVER_RAN for a in request.attempts)
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
            self.do(HandOn(
                request.id, stream.number, request.request_class, stream.worker, stream.address,
                request.resumed, request.tenant, tuple(request.calls),
            ))  # fmt: skip
        self._look_at("hand", MOVE_STEP)

    def handed_on(self, event: HandedOn) -> None:
        found = self._find(event.request, event.number)
        if found is not None:
            self._close(*found, Ending.HANDED_ON)

    def adopted(self, event: Adopted) -> None:
        stream = Attempt(0, event.worker, False, self.now, begun=True, written=True, address=event.address)
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
        state.moving = True
        left = state.stop_by - self.now
        steps = max(1, left // MOVE_STEP)
        for request, stream in streams[: -(-len(streams) // steps)]:
            self._close(request, stream, Ending.MOVED, abandon=True)
        self._look_at("move", max(MOVE_STEP, left // (len(streams) + 1)))  # few: one at a time, evenly

    HANDLERS: ClassVar[dict[type, Callable[[Any, Any], None]]] = {
        HandedOn: handed_on, Adopted: adopted, Terminate: terminate, Arriving: arriving,
    }  # fmt: skip
