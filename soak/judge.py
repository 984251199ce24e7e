"""Judges a soak by what clients, engines and discovery saw, with their own clocks, never by a gateway's word.

Each rule is a function from the observations to its violations. What a rule allows for is the page's slack,
and how far the runner itself was held up.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from basaltspread.lab.overload import TOLD_SHARE, page_limit
from soak.observations import (
    ClientKind,
    ClientRequest,
    GatewayEnd,
    Held,
    HeldKind,
    Observations,
    Work,
)
from soak.schedule import TroubleKind

BASE_SLACK = 0.05  # s that the page gives every time limit
LATE = 0.5  # s past a client's time by which its answer is lost
GONE = 0.1  # s after a client's close in which an attempt may still begin
TIME_LEFT_SLACK = 0.15  # s that an engine may be told too much
HELD_SLACK = 0.3  # s
BAD_CLIENT_ANSWER = 3.0  # s
TOLD_AT_LATEST = 6.0  # s
READY_WITHIN = 10.0  # s
MOST_LINES = 4000  # of one process's log
CROSSING = 0.1  # s: a close that comes so soon after a request on a used connection may have crossed it
READS_PER_S = 100.0  # that a warm reader of this soak can do
FAULT_COUNTERS = ("task_faults", "core_faults", "module_faults", "effect_faults", "attempt_faults")
# Rules whose verdict does not hang on how busy the machine is.
TIMELESS = frozenset((
    "stream_altered", "stream_cut", "run_twice", "crashed", "ban_lost", "log_flood", "over_memory",
    *FAULT_COUNTERS,
))  # fmt: skip
NETWORK_CUT = (TroubleKind.CUT.value, TroubleKind.ROLE_SILENT.value)
SLOWED = (TroubleKind.HELD_UP.value, TroubleKind.THROTTLED.value)
READ_TIME = 0.1  # s that a read takes at the most
GRACE = 3.7  # s from SIGTERM to the earliest SIGKILL
LOCAL = (TroubleKind.CONNECT_FAILS.value, TroubleKind.SOCKET_FAILS.value)


@dataclass(frozen=True)
class Violation:
    """One broken term."""

    rule: str
    where: str  # a request's id, an engine or a gateway
    at: float
    text: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.where} at {self.at:.3f}: {self.text}"


class Case:
    """The observations, and what the rules look up in them."""

    def __init__(self, seen: Observations) -> None:
        self.seen = seen
        self.slack = BASE_SLACK + seen.slack
        self.requests = {request.id: request for request in seen.requests}
        self.work = defaultdict[str, list[Work]](list)
        for work in seen.work:
            self.work[work.request].append(work)
        self.lives = defaultdict[int, list[GatewayEnd]](list)
        for life in seen.processes:
            self.lives[life.gateway].append(life)

    def killed(self, gateway: int, start: float, end: float) -> bool:
        """Whether a process of this gateway was killed within these times without having been told to end
        before: one that was has to answer all that it takes until the kill that may follow."""
        ends = [life.killed_at for life in self.lives[gateway] if not _in_order(life)]
        return any(at is not None and start - 0.1 <= at <= end + 0.1 for at in ends)

    def had_ended(self, gateway: int, since: float, by: float) -> bool:
        """Whether a process of this gateway ended after a request came, and before this."""
        ends = [life.ended_at for life in self.lives[gateway] if life.ended_at is not None]
        return any(since <= at <= by for at in ends)

    def was_down(self, gateway: int, start: float, end: float) -> bool:
        """Whether nobody was there for a while within these times, after a kill and before the next process
        served, or where a process that leaves its socket to the next was told to end before that has begun:
        what waits at an inherited socket then can't be answered."""
        lives = self.lives[gateway]
        for life, after in zip(lives, [*lives[1:], None], strict=True):
            back_at = after.ready_at if after is not None else None
            left = [life.killed_at, life.told_to_end_at if life.inherits else None]
            left_at = min((at for at in left if at is not None), default=None)
            if left_at is not None and left_at <= end and (back_at is None or back_at >= start):
                return True
        return False

    def troubled(self, kinds: tuple[str, ...], target: str, start: float, end: float) -> bool:
        """Whether one of these troubles was with this target within these times."""
        return any(
            span.name in kinds and span.target == target and span.start <= end and start <= span.end + 0.1
            for span in self.seen.troubles
        )


def _in_order(life: GatewayEnd) -> bool:
    """Whether its kill, if there was one, came as its time to end was over."""
    if life.killed_at is None or life.told_to_end_at is None:
        return False
    return life.killed_at >= life.told_to_end_at + GRACE - CROSSING


def end_of(request: ClientRequest) -> float | None:
    """When its client had its answer, had left, or found the connection closed."""
    times = [t for t in (request.answered_at, request.left_at, request.ended_at) if t is not None]
    return min(times, default=None)


def answers(case: Case) -> Iterator[Violation]:
    """Each whole request gets one final answer in time."""
    for request in case.seen.requests:
        if request.sent_at is None or request.kind is ClientKind.STOPS_HALFWAY or request.left_at is not None:
            continue
        by = request.began_at + request.time_left + LATE + case.slack
        target = f"n{request.gateway}"
        if request.answered_at is not None:
            down = case.was_down(request.gateway, request.began_at, request.answered_at)
            if request.answered_at > by and not down:
                late = request.answered_at - by
                yield Violation(
                    "answered_late", request.id, request.answered_at, f"{late:.3f} s past its time"
                )
            continue
        end = request.ended_at
        if end is None:
            if case.seen.ended_at > by and not case.killed(request.gateway, request.began_at, by):
                yield Violation("unanswered", request.id, by, "no answer, no close")
            continue
        crossed = not request.new_connection and end - request.sent_at <= CROSSING + case.slack
        broken = case.troubled((TroubleKind.RECEIVE_FAILS.value,), target, request.began_at, end)
        if not crossed and not broken and not case.killed(request.gateway, request.began_at, end):
            which = "new" if request.new_connection else "used"
            after = end - request.sent_at
            yield Violation(
                "closed_unanswered", request.id, end, f"{which} connection, {after:.3f} s after it"
            )


def streams(case: Case) -> Iterator[Violation]:
    """A served stream is one engine's, whole; one that its engine finished is passed on to its end."""
    for request in case.seen.requests:
        if request.status != 200 or request.left_at is not None:
            continue
        bodies = [work.body for work in case.work[request.id] if work.whole]
        if request.whole and request.body not in bodies:
            yield Violation("stream_altered", request.id, request.answered_at or 0.0, "no engine sent this")
        end = request.ended_at
        # What the client got names its engine: a whole stream of another, given up before, is not its own.
        finished = any(body.startswith(request.body) for body in bodies)
        if request.whole or end is None or not finished:
            continue
        engines = [work.engine for work in case.work[request.id]]
        network = (TroubleKind.RESET.value, TroubleKind.CUT.value, TroubleKind.COLD_RESTART.value,
                   TroubleKind.DRAIN.value, TroubleKind.ROLE_SILENT.value,
                   TroubleKind.MANY_HANG.value)  # fmt: skip
        excused = any(case.troubled(network, engine, request.began_at, end) for engine in engines)
        own = (TroubleKind.RECEIVE_FAILS.value,)
        excused = excused or case.troubled(own, f"n{request.gateway}", request.began_at, end)
        if not excused and not case.killed(request.gateway, request.began_at, end):
            yield Violation("stream_cut", request.id, end, "its engine had sent it to its end")


def runs(case: Case) -> Iterator[Violation]:
    """Nothing runs twice that must not; a keyed request only where and while its repeats are discarded."""
    window = 2.0
    for name, works in case.work.items():
        request = case.requests.get(name)
        ran = sorted((w for w in works if w.call == "write" and not w.refused), key=lambda w: w.at)
        if request is None or len(ran) < 2:
            continue
        where = ", ".join(f"{work.engine} {work.at - ran[0].at:.3f} s" for work in ran)
        zones = {case.seen.zones[work.engine] for work in ran}
        late = ran[-1].at - ran[0].at > window + case.slack
        if request.service_class == "order" or (
            request.service_class == "draft" and (len(zones) > 1 or late)
        ):
            yield Violation("run_twice", name, ran[-1].at, f"{request.service_class}: {where}")


def drains(case: Case) -> Iterator[Violation]:
    """Nothing new to an engine once its drain has long been told."""
    told = defaultdict[tuple[int, str], list[tuple[float, str]]](list)
    for entry in sorted(case.seen.told, key=lambda entry: entry.at):
        told[entry.gateway, entry.engine].append((entry.at, entry.lifecycle))
    grace = case.seen.rules["drain"] + case.slack
    for sent in case.seen.sent:
        if sent.call not in ("read", "write", "place"):
            continue
        lately = [entry for entry in told[sent.gateway, sent.engine] if entry[0] <= sent.first_byte_at]
        if lately and lately[-1][1] != "up" and sent.first_byte_at > _since(lately) + grace:
            after = sent.first_byte_at - _since(lately)
            text = f"{sent.call} for {sent.request} {after:.3f} s after n{sent.gateway} was told"
            yield Violation("sent_to_draining", sent.engine, sent.first_byte_at, text)


def _since(told: list[tuple[float, str]]) -> float:
    """When it was first told of the drain that holds."""
    at = told[-1][0]
    for when, lifecycle in reversed(told):
        if lifecycle == "up":
            break
        at = when
    return at


def times_left(case: Case) -> Iterator[Violation]:
    """An engine is told no more than what the client has left."""
    for sent in case.seen.sent:
        request = case.requests.get(sent.request)
        if request is None or sent.time_left_ms is None:
            continue
        left = request.began_at + request.time_left - sent.first_byte_at
        if sent.time_left_ms / 1000 > left + TIME_LEFT_SLACK + case.slack:
            more = sent.time_left_ms / 1000 - left
            yield Violation("time_left", sent.request, sent.first_byte_at, f"told {more:.3f} s too much")


def gone_clients(case: Case) -> Iterator[Violation]:
    """No attempt begins for a client that has gone."""
    for sent in case.seen.sent:
        request = case.requests.get(sent.request)
        if request is None or request.left_at is None or sent.call not in ("read", "write"):
            continue
        after = sent.first_byte_at - request.left_at
        if after > GONE + case.slack:
            text = f"{sent.call} at {sent.engine} {after:.3f} s after the close ({request.kind.value})"
            yield Violation("sent_for_gone_client", sent.request, sent.first_byte_at, text)


def held_states(case: Case) -> Iterator[Violation]:
    """Nothing is held past its time while nothing of the request is at an engine that had it."""
    most = case.seen.rules["release"] + HELD_SLACK + case.slack
    for held in case.seen.held:
        request = case.requests.get(held.request)
        until = held.until if held.until is not None else case.seen.ended_at
        if request is None or until - held.since <= most:
            continue
        idle = _idle_time(held.since, until, case.work[held.request])
        if idle > most and not _held_excused(case, held, request, until):
            text = f"{held.kind.value}, {idle:.3f} s for nothing that was out"
            yield Violation("held_too_long", f"{held.request}@{held.engine}", until, text)


def _held_excused(case: Case, held: Held, request: ClientRequest, until: float) -> bool:
    """Each by the sentence that grants it."""
    gateway = request.gateway
    # "What a stopped instance left is freed some seconds later": after a kill, and what an engine takes that
    # wakes up after its process has ended.
    if case.killed(gateway, held.since, until) or case.had_ended(gateway, request.began_at, held.since):
        return True
    # "Counted from the last outcome": behind a cut, the outcome of a read that ended well has not come yet.
    if held.kind is HeldKind.STATE and case.troubled(NETWORK_CUT, held.engine, held.since - READ_TIME, until):
        return True
    # "A gateway that is held up for up to 0.15 s": these stand still for more, or can't open a connection.
    return case.troubled((*LOCAL, *SLOWED), f"n{gateway}", held.since, until)


def _idle_time(start: float, end: float, works: list[Work]) -> float:
    """The longest time between these in which no read or write of the request was at an engine."""
    busy = sorted((work.at, work.ended_at if work.ended_at is not None else end) for work in works)
    idle, at = 0.0, start
    for begins, ends in busy:
        if begins >= end:
            break
        idle = max(idle, begins - at)
        at = max(at, min(ends, end))
    return max(idle, end - at)


def cold_engines(case: Case) -> Iterator[Violation]:
    """No engine in slow start gets more than the page's budget from gateways that were told of its start."""
    rules = case.seen.rules
    starts = [c for c in case.seen.engine_changes if c.lifecycle == "up" and c.started_ms > 0]
    by_engine = defaultdict[str, list[Work]](list)
    for work in case.seen.work:
        by_engine[work.engine].append(work)
    seconds = max(1.0, case.seen.ended_at - case.seen.began_at)
    writes = sum(work.call == "write" for work in case.seen.work)
    writers = len({work.engine for work in case.seen.work if work.call == "write"}) or 1
    for start in starts:
        told = {
            entry.gateway: entry.at
            for entry in reversed(case.seen.told)
            if entry.engine == start.engine and entry.started_ms == start.started_ms
        }
        warm_at = start.at + rules["warm"]
        arrived = [w for w in by_engine[start.engine] if start.at <= w.at < warm_at]
        reads = any(w.call == "read" for w in arrived)
        rate = READS_PER_S if reads else writes / writers / seconds
        for opening in arrived:
            share = rules["start"] + (1 - rules["start"]) * (opening.at - start.at) / rules["warm"]
            allowed = rules["multiple"] * share * rate * rules["window"]
            window = [w for w in arrived if opening.at <= w.at < opening.at + rules["window"]]
            knew = sum(told.get(w.gateway, w.at + 1) <= w.at for w in window)
            if len(window) > page_limit(allowed) and knew > TOLD_SHARE * len(window):
                text = f"{len(window)} in a window, {page_limit(allowed):.1f} allowed"
                yield Violation("cold_engine_overloaded", start.engine, opening.at, text)
                break


def bad_clients(case: Case) -> Iterator[Violation]:
    """A client that stops in the middle of a request and stays gets its error or the close."""
    for request in case.seen.requests:
        if request.kind is not ClientKind.STOPS_HALFWAY:
            continue
        end = end_of(request)
        waited = (end if end is not None else case.seen.ended_at) - request.began_at
        by = request.began_at + waited
        nobody_there = case.killed(request.gateway, request.began_at, by) or case.was_down(
            request.gateway, request.began_at, by
        )
        if waited > BAD_CLIENT_ANSWER + case.slack and not nobody_there:
            yield Violation("half_request_kept", request.id, request.began_at, f"for {waited:.3f} s")


def processes(case: Case) -> Iterator[Violation]:
    """No gateway crashes, hangs at its start, fills its log or counts a fault or a violation."""
    for life in case.seen.processes:
        name = f"n{life.gateway}"
        asked = life.told_to_end_at is not None or life.killed_at is not None
        if life.ended_at is not None and not asked:
            yield Violation("crashed", name, life.ended_at, f"exit {life.exit_code}: {life.suspicious[:3]}")
        elif life.killed_at is None and life.exit_code not in (0, None):
            yield Violation("crashed", name, life.ended_at or 0.0, f"exit {life.exit_code}")
        if life.ready_at is None or life.ready_at - life.started_at > READY_WITHIN + case.slack:
            if life.killed_at is None:
                yield Violation("not_ready", name, life.started_at, "not ready in time")
        if life.peak_kb > life.memory_mb * 1024:
            text = f"{life.peak_kb} KB of {life.memory_mb} MB"
            yield Violation("over_memory", name, life.ended_at or 0.0, text)
        if life.lines > MOST_LINES:
            yield Violation("log_flood", name, life.started_at, f"{life.lines} lines")
        for counter, count in life.counters.items():
            if count and (counter in FAULT_COUNTERS or counter.startswith("invariant_")):
                text = f"{counter}={count}: {life.suspicious[:2]}"
                yield Violation(counter, name, life.ended_at or 0.0, text)


def bans(case: Case) -> Iterator[Violation]:
    """What operators ordered and was answered 200 is on disk at the end."""
    for gateway, engine, at in case.seen.bans:
        if engine not in case.seen.bans_kept.get(gateway, []):
            yield Violation("ban_lost", f"n{gateway}", at, f"{engine} is not in the file")


RULES: tuple[Callable[[Case], Iterator[Violation]], ...] = (
    answers, streams, runs, drains, times_left, gone_clients, held_states, cold_engines, bad_clients,
    processes, bans,
)  # fmt: skip


def judge(seen: Observations) -> list[Violation]:
    """Every violation, in the order of their times."""
    case = Case(seen)
    return sorted((violation for rule in RULES for violation in rule(case)), key=lambda v: v.at)


def by_rule(violations: list[Violation]) -> Counter[str]:
    return Counter(violation.rule for violation in violations)
