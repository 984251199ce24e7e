"""The client's one reducer: `(state, now, input) -> effects`.

It owns requests, their tries, what is known of each gateway, the budget for repeats and the pace of new
connections. It must never touch a socket, read a clock or draw a random number of its own (a seeded generator
is its argument), and it must never let an unsafe request be sent again once its last byte has gone out, but
after a refusal. Times are microseconds of a clock that never goes back; a wall clock plays no part.

The law of resends stands in one table (`LAW`): what a try's ending says, and what may follow it.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections import Counter, OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from basaltspread.control.budget import RetryBudget, pause

MS, SECOND = 1000, 1_000_000
SOON = 100 * MS  # that a better gateway is waited for
LEAST_USEFUL = 30 * MS  # a try with less time than this is not begun
MOST_SESSIONS = 4096  # whose gateway is remembered
ADVICE_LIMIT = 30.0  # s of Retry-After that are believed at the most
LATENCY_SMOOTH = 0.2
THROTTLE_MEMORY = 10 * SECOND  # after which what was taken and refused counts half
THROTTLE_FACTOR = 4.0  # sent over taken, beyond which requests are refused here


@dataclass(frozen=True, slots=True)
class Gateway:
    address: str  # host:port
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Policy:
    """What a partner may set; the defaults suit a service of a few gateways."""

    most_tries: int = 4  # of one request, in all
    retry_share: float = 0.2  # of the requests, that may be sent again
    retry_reserve: float = 10.0
    backoff: int = 100 * MS  # before a first repeat; doubled with each
    longest_backoff: int = 3 * SECOND
    spread: int = 4 * SECOND  # over which connections come back that were lost
    dial_gap: int = 5 * MS  # between two new connections to one gateway
    idle: int = 20 * SECOND  # for which a connection is kept; gateways close theirs after 30 s
    fresh: int = 1 * SECOND  # an unsafe request takes no connection that has rested longer
    keep: int = 8  # resting connections to one gateway
    rest: int = 500 * MS  # of a gateway that failed, first; doubled up to 10 s
    resume: bool = True  # ask for the rest of a stream that broke
    zone: str = ""  # of the client: its gateways go first
    subset: int = 0  # gateways used of all that are listed; 0: all


class How(Enum):
    """How a try ended, other than by an answer to its last chunk."""

    UNREACHABLE = "the connection did not come up"
    UNSENT = "the connection broke before the last byte was written"
    BROKE = "the connection broke before the answer"
    NOISE = "the answer was not HTTP"
    SILENT = "nothing came in time"
    REFUSED = "refused"
    REJECTED = "found wrong"
    FAILED = "failed"
    CUT = "the stream broke off"


class May(Enum):
    """What may follow a try that ended so."""

    ANY = "any request may be sent again: it has certainly not run"
    SAFE = "only a safe one may: it may have run, or may yet"
    REST = "the rest of the stream may be asked for"
    NONE = "nothing: it would end so again"


LAW: dict[How, May] = {
    How.UNREACHABLE: May.ANY,
    How.UNSENT: May.ANY,
    How.REFUSED: May.ANY,
    How.BROKE: May.SAFE,
    How.NOISE: May.SAFE,
    How.SILENT: May.SAFE,
    How.FAILED: May.SAFE,
    How.CUT: May.REST,
    How.REJECTED: May.NONE,
}


class End(Enum):
    """How a request ends, but for an answer: an error each (errors.py)."""

    REFUSED = "refused"
    REJECTED = "rejected"
    DEADLINE = "deadline"
    FAILED = "failed"
    UNKNOWN = "unknown"
    BROKEN = "broken"


# --- inputs ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Asked:
    request: int
    unsafe: bool
    worth: float  # beside others: the lesser are held back first
    session: str
    deadline: int  # by when its first token is wanted


@dataclass(frozen=True, slots=True)
class Written:
    """The last byte of a try has gone out."""

    request: int
    number: int


@dataclass(frozen=True, slots=True)
class FirstEvent:
    request: int
    number: int


@dataclass(frozen=True, slots=True)
class Ended:
    """The stream has come to its last chunk."""

    request: int
    number: int


@dataclass(frozen=True, slots=True)
class Broke:
    request: int
    number: int
    how: How
    status: int = 0
    retry_after: str = ""  # the header as it came


@dataclass(frozen=True, slots=True)
class Cancelled:
    request: int


@dataclass(frozen=True, slots=True)
class GatewaysTold:
    gateways: tuple[Gateway, ...]


@dataclass(frozen=True, slots=True)
class Kept:
    """A connection rests from now on."""

    gateway: str


@dataclass(frozen=True, slots=True)
class Lost:
    """A resting connection is gone; `asked` if it was closed from here."""

    gateway: str
    asked: bool


@dataclass(frozen=True, slots=True)
class Woken:
    token: tuple[Any, ...]


Input = Asked | Written | FirstEvent | Ended | Broke | Cancelled | GatewaysTold | Kept | Lost | Woken


# --- effects --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    request: int
    number: int
    gateway: str
    most_rested: int  # us that a kept connection may have rested to be used; 0: a new one
    time_left: int
    repeat: str  # the X-Repeat header; empty for none


@dataclass(frozen=True, slots=True)
class Abandon:
    """Close this try's connection."""

    request: int
    number: int


@dataclass(frozen=True, slots=True)
class Finish:
    """The request is over without (the rest of) its answer."""

    request: int
    end: End
    why: str
    retry_after: int = 0
    local: bool = False
    status: int = 0


@dataclass(frozen=True, slots=True)
class Done:
    """The answer is whole."""

    request: int


@dataclass(frozen=True, slots=True)
class WakeAt:
    at: int
    token: tuple[Any, ...]


Effect = Send | Abandon | Finish | Done | WakeAt


# --- state ----------------------------------------------------------------------------------------------


@dataclass(slots=True, eq=False)
class Known:
    """What is known of one gateway."""

    gateway: Gateway
    out: int = 0
    resting: int = 0  # kept connections
    latency: float = 50.0 * MS  # to a first token, smoothed
    hold_until: int = 0  # its own advice
    hold_width: int = 0  # over which those it refused come back
    rest_until: int = 0
    failures: int = 0  # in a row
    trial: bool = False  # it failed: one request at a time until one succeeds
    dial_at: int = 0  # no new connection before


@dataclass(slots=True)
class Request:
    ident: int
    unsafe: bool
    worth: float
    session: str
    deadline: int
    began: int
    tries: int = 0
    numbers: int = 0
    out: int | None = None  # the try that is out
    gateway: str = ""
    sent_at: int = 0
    written: bool = False
    streaming: bool = False
    waited: bool = False  # for a gateway's advice: what others are told meanwhile does not hold it up again
    rest: bool = False  # a part of the answer is there: only its rest is asked for
    failed_at: set[str] = field(default_factory=set)


class State:
    """All that one process knows; its requests share budget, holds and pace."""

    def __init__(self, policy: Policy, gateways: Sequence[Gateway], seed: int | str = 0) -> None:
        self.policy, self.lots, self.seed = policy, random.Random(f"{seed}"), f"{seed}"
        self.known: dict[str, Known] = {}
        self.gone: dict[str, Known] = {}  # not listed any more, with something still out there
        self.requests: dict[int, Request] = {}
        self.budget = RetryBudget(policy.retry_share, policy.retry_reserve)
        self.sessions: OrderedDict[str, str] = OrderedDict()
        self.asked = self.taken = 0.0  # lately, halved as time passes
        self.counted_at = 0
        self.most_worth = 0.0
        self.counters: Counter[str] = Counter()
        self.tell(gateways)

    def tell(self, gateways: Sequence[Gateway]) -> None:
        """A new list. What is known of a gateway that stays is kept; one that went gets nothing more."""
        chosen = subset(gateways, self.policy.subset, self.seed)
        before = {**self.gone, **self.known}
        self.known = {g.address: before.get(g.address) or Known(g) for g in chosen}
        self.gone = {a: k for a, k in before.items() if a not in self.known and k.out}
        for known, gateway in zip(self.known.values(), chosen, strict=True):
            known.gateway = gateway


def subset(gateways: Sequence[Gateway], most: int, seed: str) -> list[Gateway]:
    """The gateways that a client of this seed uses, by rendezvous hashing: each client another few, and a
    gateway that comes or goes changes the choice of few clients."""
    unique = list({g.address: g for g in gateways}.values())
    if not most or len(unique) <= most:
        return unique
    ranked = sorted(unique, key=lambda g: hashlib.blake2b(f"{seed}|{g.address}".encode()).digest())
    return ranked[:most]


def advice(text: str) -> float | None:
    """Seconds of a Retry-After header, whole or decimal; None for what is no advice. A huge one is cut."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not math.isfinite(seconds) or seconds < 0:
        return None
    return min(seconds, ADVICE_LIMIT)


def reduce(state: State, now: int, event: Input) -> list[Effect]:
    """One step."""
    step = _Step(state, now)
    match event:
        case Asked():
            step.asked(event)
        case Written(request, number):
            step.written(request, number)
        case FirstEvent(request, number):
            step.first_event(request, number)
        case Ended(request, number):
            step.ended(request, number)
        case Broke():
            step.broke(event)
        case Cancelled(request):
            step.cancelled(request)
        case GatewaysTold(gateways):
            state.tell(gateways)
        case Kept(gateway):
            if gateway in state.known:
                state.known[gateway].resting += 1
        case Lost(gateway, by_us):
            step.lost(gateway, by_us)
        case Woken(token):
            step.woken(token)
    return step.effects


class _Step:
    def __init__(self, state: State, now: int) -> None:
        self.state, self.now, self.effects = state, now, list[Effect]()

    # --- a request's way --------------------------------------------------------------------------------

    def asked(self, event: Asked) -> None:
        state = self.state
        q = Request(event.request, event.unsafe, event.worth, event.session, event.deadline, self.now)
        state.requests[q.ident] = q
        state.most_worth = max(state.most_worth, q.worth)
        self.effects.append(WakeAt(q.deadline, ("late", q.ident)))
        self._forget()
        if self._held_back(q):
            state.counters["held_back"] += 1
            self._finish(q, End.REFUSED, "held back here: the gateways take too little of what is asked",
                         self._spread(state.policy.longest_backoff), local=True)  # fmt: skip
            return
        state.budget.first(self.now)
        self._place(q)

    def _forget(self) -> None:
        state = self.state
        if self.now - state.counted_at >= THROTTLE_MEMORY:
            halvings = min(20, (self.now - state.counted_at) // THROTTLE_MEMORY)
            state.asked, state.taken = state.asked / 2**halvings, state.taken / 2**halvings
            state.counted_at = self.now

    def _held_back(self, q: Request) -> bool:
        """Whether it is not sent at all: where far more is asked than taken, and the least worth goes first.
        One in so many still goes, so that it is seen when the gateways take more again."""
        state = self.state
        excess = (state.asked - THROTTLE_FACTOR * state.taken) / (state.asked + 8)
        if excess <= 0 or state.lots.random() < 0.05:
            return False
        worth = q.worth / state.most_worth if state.most_worth > 0 else 1.0
        share = min(1.0, 2 * excess) if worth < 0.75 else max(0.0, 2 * excess - 1)
        return state.lots.random() < share

    def _place(self, q: Request) -> None:
        """Sends it now, or wakes when it may be sent."""
        if q.ident not in self.state.requests or q.out is not None:
            return
        found = self._choose(q)
        if found is None:
            self._finish(q, End.REFUSED, "no gateway is known", self.state.policy.rest, local=True)
            return
        known, at = found
        if at > self.now and at == known.hold_until:
            at += self._spread(known.hold_width)  # those that one advice holds do not come at one moment
            q.waited = True
        if at + LEAST_USEFUL >= q.deadline:
            self._give_up(q, at)
        elif at > self.now:
            self.effects.append(WakeAt(at, ("place", q.ident)))
        else:
            self._send(q, known)

    def _choose(self, q: Request) -> tuple[Known, int] | None:
        """The gateway, and when it may be sent there: the soonest, then one where it has not failed yet, the
        own zone, the session's, and the better of two by latency and load."""
        state, policy = self.state, self.state.policy
        ready = [(self._ready_at(known, q), known) for known in state.known.values()]
        if not ready:
            return None
        soon = max(self.now, min(at for at, _ in ready)) + SOON
        when = {known.gateway.address: max(at, self.now) for at, known in ready if at <= soon}
        fit = [known for at, known in ready if at <= soon]
        fit = [k for k in fit if k.gateway.address not in q.failed_at] or fit
        fit = [k for k in fit if not policy.zone or k.gateway.zone == policy.zone] or fit
        two = state.lots.sample(fit, min(2, len(fit)))
        best = min(two, key=lambda k: self._cost(k) + when[k.gateway.address] - self.now)
        home = state.known.get(state.sessions.get(q.session, "")) if q.session else None
        if home is not None and home.gateway.address in when and self._cost(home) <= 2 * self._cost(best):
            best = home
        return best, when[best.gateway.address]

    def _cost(self, known: Known) -> float:
        return known.latency * (known.out + 1)

    def _ready_at(self, known: Known, q: Request) -> int:
        at = known.rest_until if q.waited else max(known.hold_until, known.rest_until)
        if known.trial and known.out:
            at = max(at, self.now + self.state.policy.rest // 5)
        if q.unsafe and known.trial:  # an order is not the one to find out
            at = max(at, self.now + self.state.policy.rest // 2) if known.failures else at
        if not known.resting or q.unsafe:
            at = max(at, known.dial_at)
        return at

    def _send(self, q: Request, known: Known) -> None:
        """The one place from which a request goes out."""
        assert not (q.unsafe and q.written and not q.rest), "an unsafe request is sent again"
        state, policy = self.state, self.state.policy
        q.waited = False
        q.tries += 1
        q.numbers += 1
        q.out, q.gateway, q.sent_at = q.numbers, known.gateway.address, self.now
        known.out += 1
        rested = policy.fresh if q.unsafe else policy.idle
        if known.resting:
            known.resting -= 1
        else:
            known.dial_at = max(known.dial_at, self.now) + policy.dial_gap
        state.asked += 1
        state.counters["sends"] += 1
        repeat = "again" if q.rest else "1" if q.tries > 1 else ""
        if repeat:
            state.counters["repeats"] += 1
        left = max(0, q.deadline - self.now)
        self.effects.append(Send(q.ident, q.numbers, q.gateway, rested, left, repeat))
        if q.session:
            state.sessions[q.session] = q.gateway
            state.sessions.move_to_end(q.session)
            if len(state.sessions) > MOST_SESSIONS:
                state.sessions.popitem(last=False)

    def _find(self, request: int, number: int) -> Request | None:
        q = self.state.requests.get(request)
        return q if q is not None and q.out == number else None

    def written(self, request: int, number: int) -> None:
        q = self._find(request, number)
        if q is not None:
            q.written = True

    def first_event(self, request: int, number: int) -> None:
        q = self._find(request, number)
        if q is None or q.streaming:
            return
        q.streaming = True
        self.state.taken += 1
        known = self.state.known.get(q.gateway)
        if known is not None:
            known.latency += LATENCY_SMOOTH * (self.now - q.sent_at - known.latency)
            self._well(known)

    @staticmethod
    def _well(known: Known) -> None:
        known.failures, known.trial, known.rest_until = 0, False, 0

    def ended(self, request: int, number: int) -> None:
        q = self._find(request, number)
        if q is not None:
            self._leave(q)
            del self.state.requests[q.ident]
            self.effects.append(Done(q.ident))

    def cancelled(self, request: int) -> None:
        q = self.state.requests.pop(request, None)
        if q is not None and q.out is not None:
            number = q.out
            self._leave(q)
            self.effects.append(Abandon(request, number))

    def _leave(self, q: Request) -> Known | None:
        known = self.state.known.get(q.gateway) or self.state.gone.get(q.gateway)
        if known is not None:
            known.out -= 1
            if not known.out:
                self.state.gone.pop(q.gateway, None)
        q.out = None
        return known

    # --- how a try ends ---------------------------------------------------------------------------------

    def broke(self, event: Broke) -> None:
        q = self._find(event.request, event.number)
        if q is None:
            return
        how = event.how
        if how is How.BROKE and not q.written:
            how = How.UNSENT
        if q.streaming:
            how = How.CUT
        self.state.counters[f"ended_{how.name.lower()}"] += 1
        known = self._leave(q)
        q.streaming = False
        if known is not None:
            self._learn(known, how, event)
        may = LAW[how]
        if may is May.REST:
            q.rest = True  # what is asked for from now on is no repeat, whatever becomes of it
            q.deadline = max(q.deadline, self.now + (q.deadline - q.began))
            self.effects.append(WakeAt(q.deadline, ("late", q.ident)))
            if self.state.policy.resume:
                self._again(q, End.BROKEN, how, event)
            else:
                self._finish(q, End.BROKEN, how.value)
        elif may is May.NONE:
            end = End.BROKEN if q.rest else End.REJECTED
            self._finish(q, end, f"{how.value} ({event.status})", status=event.status)
        elif may is May.SAFE and q.unsafe and not q.rest:
            self._finish(q, End.UNKNOWN, f"{how.value}; it may have run", status=event.status)
        else:
            q.failed_at.add(q.gateway)
            if may is May.ANY:
                q.written = False  # of this try, nothing counts as having run
            end = End.BROKEN if q.rest else End.REFUSED if may is May.ANY else End.FAILED
            self._again(q, end, how, event)

    def _learn(self, known: Known, how: How, event: Broke) -> None:
        state, policy = self.state, self.state.policy
        if how in (How.REFUSED, How.REJECTED):
            self._well(known)
            if how is How.REFUSED:
                told = advice(event.retry_after) if event.retry_after else None
                if event.retry_after and told is None:
                    state.counters["advice_odd"] += 1
                if told:
                    known.hold_until = max(known.hold_until, self.now + int(told * SECOND))
                    known.hold_width = max(policy.backoff, int(told * SECOND / 2))
            else:
                state.taken += 1
            return
        if how is How.CUT or (how is How.BROKE and not known.failures):
            self._pace(known)
        known.failures += 1
        if known.failures >= 2 or how in (How.UNREACHABLE, How.SILENT):
            known.trial = True
            known.rest_until = self.now + pause(
                known.failures, 2 * policy.rest, 10 * SECOND, state.lots.random()
            )
        if how is How.UNREACHABLE:
            self._pace(known)

    def _pace(self, known: Known) -> None:
        """A connection was lost in use, and others with it, in this process and elsewhere: the next comes
        back somewhere in `spread`, each at a moment of its own."""
        known.dial_at = max(known.dial_at, self.now + self._spread(self.state.policy.spread))

    def _spread(self, width: int) -> int:
        return int(self.state.lots.random() * width)

    def lost(self, gateway: str, asked: bool) -> None:
        known = self.state.known.get(gateway)
        if known is not None:
            known.resting = max(0, known.resting - 1)
            if not asked:
                self.state.counters["kept_lost"] += 1
                if not known.out and not known.resting:
                    self._pace(known)

    def _again(self, q: Request, end: End, how: How, event: Broke) -> None:
        """Once more after a pause, if a try, the budget and the time are there."""
        state, policy = self.state, self.state.policy
        told = advice(event.retry_after) if event.retry_after else None
        if q.tries >= policy.most_tries or not state.budget.spend(self.now):
            state.counters["not_repeated"] += 1
            self._finish(q, end, f"{how.value}; not sent again", int((told or 0.0) * SECOND),
                         status=event.status)  # fmt: skip
            return
        wait = pause(q.tries, policy.backoff, policy.longest_backoff, state.lots.random())
        known = state.known.get(q.gateway)
        if how is How.REFUSED and told and known is not None:
            wait = max(wait, int(told * SECOND) + self._spread(known.hold_width))
            q.waited = len(state.known) == 1
        at = self.now + wait
        if at + LEAST_USEFUL >= q.deadline:
            self._finish(q, end, f"{how.value}; no time for another try", wait, status=event.status)
        else:
            self.effects.append(WakeAt(at, ("place", q.ident)))

    def _give_up(self, q: Request, at: int) -> None:
        """There is no time to send it where it may be sent. It is not out."""
        if q.rest:
            self._finish(q, End.BROKEN, "no gateway could be asked for the rest in time")
        elif q.written and q.unsafe:  # unreachable by the law; said as the worst all the same
            self._finish(q, End.UNKNOWN, "it may have run")
        elif q.written:
            self._finish(q, End.FAILED, "it failed, and no gateway may be asked again in time")
        else:
            why = "no gateway may be asked in time"
            self._finish(q, End.REFUSED, why, max(0, at - self.now), local=True)

    def woken(self, token: tuple[Any, ...]) -> None:
        q = self.state.requests.get(token[1])
        if q is None:
            return
        if token[0] == "place":
            self._place(q)
        elif token[0] == "late" and self.now >= q.deadline and not q.streaming:
            number, written = q.out, q.written
            known = self._leave(q) if number is not None else None
            if number is not None:
                self.effects.append(Abandon(q.ident, number))
            if known is not None and written:
                self._learn(known, How.SILENT, Broke(q.ident, number or 0, How.SILENT))
            if q.rest:
                self._finish(q, End.BROKEN, "the rest did not come in time")
            elif q.unsafe and written and number is not None:
                self._finish(q, End.UNKNOWN, "no answer in time; it may have run, or may yet")
            else:
                self._finish(q, End.DEADLINE, "no answer in time")

    def _finish(
        self, q: Request, end: End, why: str, retry_after: int = 0, local: bool = False, status: int = 0
    ) -> None:
        del self.state.requests[q.ident]
        self.state.counters[f"finished_{end.value}"] += 1
        self.effects.append(Finish(q.ident, end, why, retry_after, local, status))


def invariants(state: State) -> list[str]:
    """What must hold after every input; each breach in words."""
    breaches = []
    out = Counter(q.gateway for q in state.requests.values() if q.out is not None)
    for address, known in state.known.items():
        if known.out < out[address]:
            breaches.append(f"{address}: {known.out} counted, {out[address]} out")
        if known.resting < 0:
            breaches.append(f"{address}: {known.resting} rest")
    for q in state.requests.values():
        if q.tries > state.policy.most_tries:
            breaches.append(f"{q.ident}: {q.tries} tries")
        if q.unsafe and q.written and q.out is None and not q.rest:
            breaches.append(f"{q.ident}: unsafe, written, and waiting to be sent again")
    if len(state.sessions) > MOST_SESSIONS:
        breaches.append(f"{len(state.sessions)} sessions")
    return breaches
