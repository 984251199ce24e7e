"""A small fleet and a host stand-in that drives a Router through event sequences."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import replace
from typing import Any

from basaltspread import interface as api
from basaltspread.lab.settings import MS as MS
from basaltspread.lab.settings import SECOND as SECOND
from basaltspread.lab.settings import settings as settings
from basaltspread.rules import Router


def entry(
    name: str,
    kind: int,
    cell: int = 0,
    zone: int = 0,
    state: api.WorkerState = api.WorkerState.UP,
    started: int = 0,
) -> api.WorkerEntry:
    return api.WorkerEntry(name, state, cell, zone, kind, 1.0, started)


FLEET = (
    entry("r1", 0), entry("r2", 0, 1), entry("r3", 0, 2, 1),
    entry("w1", 1), entry("w2", 1, 1), entry("w3", 1, 2, 1),
)  # fmt: skip


class Clocked:
    """Of a state machine: its time, and what it was asked to wake up for, in order."""

    now: int
    wakes: list[tuple[int, tuple[Any, ...]]]

    def woken(self, token: tuple[Any, ...]) -> None:
        raise NotImplementedError

    def let_pass(self, time: int) -> None:
        until = self.now + time
        while due := sorted((w for w in self.wakes if w[0] <= until), key=lambda w: w[0]):
            self.wakes.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.woken(due[0][1])
        self.now = until


class Drive:
    """Feeds one Router and checks, on every action, the rules a host can see."""

    def __init__(self, s: api.Settings | None = None, fleet: tuple[api.WorkerEntry, ...] = FLEET) -> None:
        self.s = s or settings()
        self.router = Router(self.s, 7)
        self.now = 100 * SECOND
        self.out: dict[str, tuple[int, str]] = {}
        self.count: dict[str, int] = defaultdict(int)
        self.holding: set[str] = set()
        self.answered: dict[str, api.Action] = {}
        self.actions: list[api.Action] = []
        self.log: list[api.Action] = []
        self.listed(*fleet, kind=api.ListKind.CACHED)

    def feed(self, *events: api.Event, after: int = 0) -> list[api.Action]:
        self.now += after
        self.actions = self.router.handle(self.now, list(events))
        for action in self.actions:
            self._take(action)
        self.log += self.actions
        return self.actions

    def _take(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            assert action.request not in self.answered, "sent after the final answer"
            assert action.request not in self.out, "two attempts out at once"
            self.out[action.request] = (self.count[action.request], action.worker)
            self.count[action.request] += 1
            assert self.count[action.request] <= self.s.limits.max_attempts
        elif isinstance(action, (api.Refuse, api.Fail)):
            assert action.request not in self.answered, "two final answers"
            self.answered[action.request] = action
        elif isinstance(action, api.HoldPlace):
            assert action.request in self.out, "a place asked for without a read"
            self.holding.add(action.request)
        elif isinstance(action, api.Release):
            self.holding.discard(action.request)

    def listed(self, *entries: api.WorkerEntry, kind: api.ListKind = api.ListKind.DELTA) -> list[api.Action]:
        return self.feed(api.WorkerList(kind, 1, entries))

    def arrive(
        self,
        name: str,
        session: str = "",
        prefix: str = "",
        prompt: int = 2000,
        shared: int = 1600,
        left: int = 5 * SECOND,
        tenant: int = 0,
        retry: bool = False,
        after: int = 0,
    ) -> list[api.Action]:
        return self.feed(
            api.Arrival(name, session, prefix, shared, prompt, 200, 0, tenant, left, 0, retry, False),
            after=after,
        )

    def end(
        self,
        name: str,
        outcome: api.Outcome,
        detail: int = 0,
        after: int = 20 * MS,
        report: dict[str, float] | None = None,
    ) -> list[api.Action]:
        number, worker = self.out.pop(name)
        if outcome is api.Outcome.READ:
            self.holding.add(name)
        done = outcome is api.Outcome.SERVED or name in self.answered
        return self.feed(
            api.AttemptEnded(name, number, worker, outcome, after, done, detail, report or {}), after=after
        )

    def first(self, name: str, after: int = 20 * MS) -> list[api.Action]:
        self.holding.discard(name)
        number, worker = self.out[name]
        return self.feed(api.FirstToken(name, number, worker, after), after=after)

    def serve(self, name: str, detail: int = 0, after: int = 20 * MS) -> None:
        self.end(name, api.Outcome.READ, detail, after)
        self.first(name, after)
        self.end(name, api.Outcome.SERVED, after=after)

    def warm(self, requests: int = 30, prompt: int = 2000) -> None:
        """Let the router learn usual times from plain traffic."""
        for i in range(requests):
            self.arrive(f"warm{i}", session=f"ws{i}", prefix=f"wp{i}", prompt=prompt, after=50 * MS)
            self.serve(f"warm{i}")

    def sent_to(self, name: str) -> str:
        return self.out[name][1]


def random_day(seed: int, s: api.Settings, steps: int = 600) -> Drive:
    """A seeded random sequence of arrivals, outcomes, notes, timers, list changes and departures."""
    rng = random.Random(seed)
    d = Drive(s)
    fresh = 0
    timers: list[tuple[int, int]] = []
    streaming: set[str] = set()
    deadlines: dict[str, int] = {}
    for _ in range(steps):
        d.now += rng.randrange(1, 40) * MS
        due = [t for t in timers if t[0] <= d.now]
        timers = [t for t in timers if t[0] > d.now]
        for _, cookie in due:
            d.feed(api.TimerFired(cookie))
            timers += [(d.now + a.delay, a.timer) for a in d.actions if isinstance(a, api.SetTimer)]
        late = [n for n in d.out if d.now >= deadlines[n] and n not in streaming]
        choice = rng.random()
        if late:
            d.end(late[0], api.Outcome.TIMEOUT, after=0)
        elif choice < 0.4:
            fresh += 1
            name = f"q{fresh}"
            left = rng.choice([300, 2500, 5000]) * MS
            deadlines[name] = d.now + left
            session, prefix = f"s{rng.randrange(20)}", f"p{rng.randrange(5)}"
            d.arrive(name, session, prefix, rng.randrange(100, 9000), 1500, left)
        elif choice < 0.45:
            worker = rng.choice(FLEET)
            state = rng.choice(list(api.WorkerState))
            d.listed(replace(worker, state=state, started=rng.choice([0, d.now])))
        elif choice < 0.5 and d.out:
            name = rng.choice(sorted(d.out))
            if name not in d.answered:
                d.answered[name] = api.Fail(name)
                d.feed(api.ClientGone(name))
        elif choice < 0.55 and d.out:
            name = rng.choice(sorted(d.out))
            d.feed(api.PlaceAnswer(name, d.out[name][0], "", rng.random() < 0.5))
        elif d.out:
            name = rng.choice(sorted(d.out))
            reading = d.out[name][1].startswith("r")
            if name in streaming:
                d.end(name, api.Outcome.SERVED, after=0)
            elif rng.random() < 0.3:
                bad = [api.Outcome.ERROR, api.Outcome.FULL, api.Outcome.RESET, api.Outcome.CONNECT_FAILED]
                d.end(name, rng.choice(bad), detail=0 if reading else rng.randrange(2), after=0)
            elif reading:
                d.end(name, api.Outcome.READ, after=0, report={"memory_share": rng.random()})
            elif name not in d.answered:
                streaming.add(name)
                d.first(name, after=0)
            else:
                d.end(name, api.Outcome.CANCELLED, after=0)
        timers += [(d.now + a.delay, a.timer) for a in d.actions if isinstance(a, api.SetTimer)]
    for name in sorted(d.out):
        d.end(name, api.Outcome.SERVED if name in streaming else api.Outcome.TIMEOUT, after=0)
    for _ in range(40):  # let what waits run out
        for cookie in [c for _, c in timers] or [1]:
            d.feed(api.TimerFired(cookie), after=25 * MS)
        for name in sorted(d.out):
            d.end(name, api.Outcome.TIMEOUT, after=0)
    return d
