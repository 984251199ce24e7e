"""Many gateways, each the real reducer with the real module, among engines that die, drain, start cold and
fall silent; in virtual time, deterministic from a seed.

It owns the world and states the five rules from the engines' and clients' side (`breaches`). It must never
look into a gateway to judge it: only what reached an engine or a client counts.
"""

from __future__ import annotations

import heapq
import json
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from basaltspread import core
from basaltspread import interface as api
from basaltspread.control import picture
from basaltspread.core import Ending, Place
from basaltspread.rules import Router
from soak.overload_judge import EngineArrival, Window, windows, worst_breach
from tests.helpers import MS, SECOND, settings

SLACK = 50 * MS  # on every time limit
HELD_SLACK = 300 * MS  # and on what is held
CONNECT = 250 * MS
CUT_LOOK = 20 * MS  # between two looks whether a cut is over
PROBE_WAIT, RELEASE_WAIT = SECOND, SECOND // 2  # for an answer
FIRST_TIME, STREAM_TIME = 40 * MS, 400 * MS
FULL = 20  # requests lately at an engine that fill its memory
PROMPT_TOKENS = (800, 4000)  # of one request, uniform
ANSWER_TOKENS = (50, 350)
MEAN_PROMPT, MEAN_ANSWER = sum(PROMPT_TOKENS) / 2, sum(ANSWER_TOKENS) / 2
READER, WRITER = 0, 1  # kinds of engine
OVERLAP_NOTICED = 50 * MS  # until a process knows that another of its gateway runs
OVERLAP = 2 * SECOND  # for which the old process of a gateway runs beside the new one
CLIENT_TRIES = 3
CLIENT_BACKOFF = (50 * MS, 500 * MS)


@dataclass
class HeldThings:
    """What engines hold for one request: by engine, since when."""

    states: dict[str, int] = field(default_factory=dict)
    places: dict[str, int] = field(default_factory=dict)
    fetching: int | None = None  # the write that has arrived, and fetches the state

    def since(self) -> list[int]:
        return [*self.states.values(), *self.places.values()]

    def release(self) -> None:
        """All goes that no write waits for."""
        self.places.clear()
        if self.fetching is None:
            self.states.clear()

    def lost_with(self, engine: str) -> None:
        self.states.pop(engine, None)
        self.places.pop(engine, None)


@dataclass
class Unread:
    """What the system of a frozen engine has taken: read as it thaws, or lost as its process ends."""

    read: Callable[[], None]
    lost: Callable[[], None]


@dataclass
class Engine:
    entry: api.WorkerEntry
    alive: bool = True
    silent: bool = False
    sick: bool = False  # answers every request with an error
    hung: bool = False  # takes work in and answers nothing until it goes on
    frozen: bool = False  # its process stands still: its system takes what comes, up to the thaw
    loses: float = 0.0  # share of what is written to it that goes to connections that lead nowhere
    unread: list[Unread] = field(default_factory=list)  # what came meanwhile
    postponed: list[Callable[[], None]] = field(default_factory=list)  # answers due while it hung
    arrivals: list[EngineArrival] = field(default_factory=list)

    @property
    def sends(self) -> list[int]:
        return [arrival.at for arrival in self.arrivals]


@dataclass
class Gateway:
    number: int
    zone: int
    state: core.State | None = None  # None: it is dead
    life: int = 0
    told: dict[str, int] = field(default_factory=dict)  # engine -> when it was told that it drains or is gone
    known: dict[str, core.Listed] = field(default_factory=dict)
    traffic: float = 1.0  # of clients' requests, against the other gateways
    leaving: bool = False  # the old one of two processes: it gets no more requests


@dataclass
class Ask:
    """One request, as its client and the engines see it."""

    gateway: Gateway
    life: int
    unsafe: bool
    deadline: int
    came_at: int = 0
    prompt_tokens: int = 0
    answer_tokens: int = 0
    tries: int = 1
    session: str = ""
    prefix: str = ""
    answer: str = ""
    streams: bool = False
    out: set[int] = field(default_factory=set)
    arrived: set[int] = field(default_factory=set)  # of these, whose last byte reached an engine
    idle_since: int = 0
    may_have_run: bool = False
    workers: dict[int, str] = field(default_factory=dict)  # by attempt
    close_known: set[int] = field(default_factory=set)  # attempts whose engine's system knows of their close


class World:
    def __init__(
        self, seed: int, gateways: int, readers: int, writers: int, rate: float, zones: int = 3,
        talk: bool = True, memory: bool = False, load: float = 0.4,
        count_sends: bool = True,
    ) -> None:  # fmt: skip
        self.rng, self.now, self.rate = random.Random(seed), 1000 * SECOND, rate
        self.began, self.order = self.now, 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        names = tuple("abcdef"[:zones])
        fields = ("memory_share", "prompt_k_waiting") if memory else ("prompt_k_waiting",)
        base = settings(routers=gateways, zones=names, fields=fields, weights_mean_size=True)
        safe = replace(base.classes[0], deadline=6 * SECOND, aim=1200 * MS)
        order = replace(safe, name="order", effect=api.Effect.UNSAFE, deadline=8 * SECOND)
        rules = replace(base.rules, drain_grace=250 * MS, cold_start_share=0.26, warm_within=14 * SECOND)
        limits = replace(base.limits, probes=True, peers=talk)
        self.settings = replace(base, classes=(safe, order), rules=rules, limits=limits)
        self.costs: Counter[str] = Counter()  # over the whole fleet
        self.engines: dict[str, Engine] = {}
        for i in range(readers + writers):
            # Names tell the zone, as many platforms' do: whoever goes by names alone stays in one zone.
            self.add_engine(f"{names[i % zones]}{i}", kind=int(i >= readers), zone=i % zones, started=0)
        # Mean requests a second that a warm engine can do; `load` is the used part of what all can.
        self.capacity = [rate / load / readers, rate / load / writers]
        self.swollen = 0.0  # share of prompts that are eight times as long
        self.late_connects = 0.0  # share of connections that take up to a second to come up
        self.places_refused, self.places_lost = 0.2, 0.0
        self.clients_repeat = False
        self.clients_leave = 0.0  # share of clients that go before they have an answer
        self.keeps_connections = (
            False  # a silent engine's machine takes what is written, its process does not
        )
        self.frozen_accepts = 0.5  # share of connections to a frozen engine that are open or come up
        self.questions = set[tuple[str, str]]()  # for places, whose answers are waited for
        self.late_lists = dict[int, int]()  # gateway -> how much later than others it hears of changes
        self.first_tokens: list[int] = []  # from a request's arrival
        self.count_sends = count_sends
        self.held = defaultdict[str, HeldThings](HeldThings)  # by request
        self.asks: dict[str, Ask] = {}
        self.cut: set[int] = set()  # zones that only hear themselves
        self.breaches: list[str] = []
        self.gateways = [Gateway(i, i % zones) for i in range(gateways)]
        for g in self.gateways:
            g.known = {n: core.Listed(e.entry, n) for n, e in self.engines.items()}
            self.start(g)

    # --- time -------------------------------------------------------------------------------------------

    def at(self, when: int, call: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.events, (max(when, self.now), self.order, call))

    def after(self, wait: int, call: Callable[[], None]) -> None:
        self.at(self.now + wait, call)

    def run(self, seconds: float) -> World:
        end = self.began + int(seconds * SECOND)
        self.at(self.now, lambda: self._arrive(end))
        self.at(self.now, lambda: self._audit(end + 12 * SECOND))
        while self.events and self.events[0][0] <= end + 12 * SECOND:
            self.now, _, call = heapq.heappop(self.events)
            call()
        for name, q in self.asks.items():
            if self._lives(q) and not q.answer and not q.streams:
                self.breach("lost", name)
        self._audit_cold()
        return self

    def choose_gateway(self, live: list[Gateway]) -> Gateway:
        if all(g.traffic == 1.0 for g in live):
            return self.rng.choice(live)
        return self.rng.choices(live, [g.traffic for g in live])[0]

    def breach(self, rule: str, about: str) -> None:
        self.breaches.append(f"{rule}: {about} at {(self.now - self.began) / SECOND:.3f} s")

    def share(self, answer: str) -> float:
        return sum(q.answer == answer for q in self.asks.values()) / len(self.asks)

    # --- gateways ---------------------------------------------------------------------------------------

    def start(self, g: Gateway) -> None:
        """From nothing but the last list that it had."""
        own = replace(self.settings, router=g.number, zone=g.zone)
        g.state, g.life = core.State(own, Router(own, self.rng.getrandbits(60))), g.life + 1
        g.state.picture = picture.Picture(own) if picture.talks(own) else None
        g.told = {n: self.now for n, w in g.known.items() if w.entry.state is not api.WorkerState.UP}
        self.feed(g, core.ListTold(api.ListKind.CACHED, 1, tuple(g.known.values())))
        self.feed(g, core.Serving())

    def kill(self, g: Gateway, back_after: int) -> None:
        g.state = None
        self.after(back_after, lambda: self.start(g))

    def hand_over(self, g: Gateway) -> None:
        """A second process of this gateway starts beside the first, learns from it and takes its clients."""
        if g.state is None or g.leaving:
            return
        new = Gateway(g.number, g.zone, known=dict(g.known), traffic=g.traffic)
        knowledge = json.loads(json.dumps(core.knowledge(g.state, self.now)))
        g.leaving = True
        self.gateways.append(new)
        self.start(new)
        self.feed(new, core.Sharing(2))
        self.feed(new, core.Recalled(knowledge))
        self.after(OVERLAP_NOTICED, lambda: self.feed(g, core.Sharing(2)))
        self.after(OVERLAP, lambda: self._left(g, new))

    def _left(self, old: Gateway, new: Gateway) -> None:
        old.state = None
        self.gateways.remove(old)
        self.feed(new, core.Sharing(1))

    def feed(self, g: Gateway, event: core.Input) -> None:
        if g.state is not None:
            for effect in core.reduce(g.state, self.now, event):
                self._carry(g, effect)

    def later(self, g: Gateway, wait: int, event: core.Input) -> None:
        """Not for a later life of this gateway."""
        life = g.life
        self.after(wait, lambda: self.feed(g, event) if g.life == life else None)

    def tell(self, engines: list[str], least: int, most: int) -> None:
        """Each gateway hears of these at a time of its own."""
        for number in sorted({g.number for g in self.gateways}):
            self.after(
                self.rng.randrange(least, most) + self.late_lists.get(number, 0),
                lambda number=number: self._tell_processes(number, engines),  # type: ignore[misc]
            )

    def _tell_processes(self, number: int, engines: list[str]) -> None:
        for g in [g for g in self.gateways if g.number == number]:
            self._told(g, engines)

    def _told(self, g: Gateway, engines: list[str]) -> None:
        entries = []
        for name in engines:
            engine = self.engines[name]
            entry = engine.entry if engine.alive else replace(engine.entry, state=api.WorkerState.REMOVED)
            g.known[name] = core.Listed(entry, name)
            entries.append(g.known[name])
            if entry.state is not api.WorkerState.UP:
                g.told.setdefault(name, self.now)
            else:
                g.told.pop(name, None)
        self.feed(g, core.ListTold(api.ListKind.DELTA, 2, tuple(entries)))

    # --- engines ----------------------------------------------------------------------------------------

    def add_engine(self, name: str, kind: int, zone: int, started: int) -> None:
        entry = api.WorkerEntry(name, api.WorkerState.UP, zone, zone, kind, 1.0, started)
        self.engines[name] = Engine(entry)

    def replace_engine(self, name: str) -> list[str]:
        """Its machine goes, and a cold one comes for it."""
        old = self.engines[name].entry
        self.die(name)
        self.add_engine(name + "+", old.kind, old.zone, self.now)
        return [name, name + "+"]

    def die(self, name: str) -> None:
        engine = self.engines[name]
        engine.alive = False
        for unread in engine.unread:
            unread.lost()
        engine.unread, engine.postponed = [], []
        for held in self.held.values():
            held.lost_with(name)

    def come_back_cold(self, name: str) -> None:
        """A new process on the same machine, under the same name."""
        engine = self.engines[name]
        engine.alive, engine.silent, engine.hung, engine.frozen = True, False, False, False
        engine.entry = replace(engine.entry, started=self.now)

    def hang(self, name: str, time: int) -> None:
        """It takes work in, answers nothing, and answers all at once in the end."""
        self.engines[name].hung = True
        self.after(time, lambda: self._go_on(self.engines[name]))

    def freeze(self, name: str) -> None:
        """Its process stands still, its machine does not."""
        self.engines[name].frozen = True

    def thaw(self, name: str) -> None:
        """It goes on: with what it had begun, then with all that came meanwhile, closed or not."""
        engine = self.engines[name]
        engine.frozen = False
        self._go_on(engine)
        unread, engine.unread = engine.unread, []
        for one in unread:
            one.read()

    def _go_on(self, engine: Engine) -> None:
        engine.hung = False
        postponed, engine.postponed = engine.postponed, []
        for answer in postponed:
            answer()

    def _answer(self, engine: Engine, answer: Callable[[], None]) -> None:
        if engine.hung or engine.frozen:
            engine.postponed.append(answer)
        else:
            answer()

    def drain(self, name: str) -> None:
        engine = self.engines[name]
        engine.entry = replace(engine.entry, state=api.WorkerState.DRAINING)

    def reaches(self, g: Gateway, name: str) -> bool:
        engine = self.engines.get(name)
        if engine is None:
            return False
        apart = g.zone != engine.entry.zone and bool({g.zone, engine.entry.zone} & self.cut)
        return not (engine.silent or apart)

    # --- what gateways do -------------------------------------------------------------------------------

    def _carry(self, g: Gateway, effect: Any) -> None:
        match effect:
            case core.Wake():
                self.later(g, effect.at - self.now, core.Woken(effect.token))
            case core.StartAttempt():
                self.asks[effect.request].out.add(effect.number)
                self.asks[effect.request].workers[effect.number] = effect.worker
                self._connect(g, effect)
            case core.AbandonAttempt():
                q = self.asks[effect.request]
                if self.reaches(g, q.workers.get(effect.number, "")):
                    q.close_known.add(effect.number)
                self._closed(effect.request, effect.number)
            case core.AskPlace():
                self.after(1 * MS, lambda: self._place(g, effect))
            case core.AbandonPlace():
                self._place_over(g, effect.request, effect.worker, 0, Place.UNANSWERED)
            case core.SendRelease():
                self._release(g, effect)
            case core.StartProbe():
                self.after(1 * MS, lambda: self._probe(g, effect.worker))
            case core.TellPeers():
                self.costs["bytes told"] += len(effect.payload) * (len(self.gateways) - 1)
                for other in self.gateways:
                    if other is not g:
                        self.later(other, self.rng.randrange(1, 39) * MS, core.PeerTold(effect.payload))
            case core.Answer():
                self._answered(effect.request, effect.verdict.value)
            case core.EndStream():
                self._answered(effect.request, "served")
            case core.BreakClient():
                self._answered(effect.request, "broken")

    def _closed(self, request: str, number: int) -> None:
        q = self.asks[request]
        q.out.discard(number)
        if self.held[request].fetching == number:
            self.held[request].fetching = None
        if number in q.arrived:  # while connections don't come up, the time for what is held runs on
            q.arrived.discard(number)
            q.idle_since = self.now

    def _end(self, g: Gateway, effect: core.StartAttempt, ending: Ending) -> None:
        if g.state is not None and effect.number in self.asks[effect.request].out:
            self._closed(effect.request, effect.number)
            self.feed(g, core.Ended(effect.request, effect.number, ending))

    def _end_later(self, g: Gateway, effect: core.StartAttempt, wait: int, ending: Ending) -> None:
        life = g.life
        self.after(wait, lambda: self._end(g, effect, ending) if g.life == life else None)

    def _open(self, g: Gateway, effect: core.StartAttempt, life: int) -> bool:
        return g.life == life and g.state is not None and effect.number in self.asks[effect.request].out

    def _connect(self, g: Gateway, effect: core.StartAttempt) -> None:
        life = g.life

        def came_up() -> None:
            if not self._open(g, effect, life):
                return
            engine = self.engines[effect.worker]
            if not self.reaches(g, effect.worker) and self.keeps_connections:
                self._written_only(g, effect)
            elif not self.reaches(g, effect.worker):
                self._end_later(g, effect, CONNECT, Ending.CONNECT_TIMED_OUT)
            elif not engine.alive:
                self.costs["refused"] += 1
                self._end(g, effect, Ending.REFUSED)
            elif engine.loses and self.rng.random() < engine.loses:
                self._written_only(g, effect)
            elif engine.frozen and self.rng.random() < self.frozen_accepts:
                self._written_only(g, effect)
                engine.unread.append(Unread(
                    lambda: self._arrived(g, effect, engine, life) if self._open(g, effect, life) else None,
                    lambda: self._end(g, effect, Ending.RESET),
                ))  # fmt: skip
            elif engine.frozen:
                self._end_later(g, effect, CONNECT, Ending.CONNECT_TIMED_OUT)
            else:
                self._sent(g, effect, engine, life)

        late = self.rng.random() < self.late_connects
        time = self.rng.randrange(SECOND) if late else 1 * MS
        if time >= CONNECT:
            self._end_later(g, effect, CONNECT, Ending.CONNECT_TIMED_OUT)
        else:
            self.after(time, came_up)

    def _written_only(self, g: Gateway, effect: core.StartAttempt) -> None:
        """On a connection that was open: the system takes the bytes, and the engine never does."""
        self.feed(g, core.Begun(effect.request, effect.number))
        self.feed(g, core.Written(effect.request, effect.number))

    def _probe(self, g: Gateway, name: str) -> None:
        engine = self.engines[name]
        self.costs["probes"] += 1
        if engine.frozen:
            late = core.Probed(name, Ending.TIMED_OUT, PROBE_WAIT)
            self._wait_for(g, engine, PROBE_WAIT, late, lambda waits: self._probe(g, name) if waits else None)
        elif not self.reaches(g, name) or engine.hung:
            self.later(g, CONNECT, core.Probed(name, Ending.CONNECT_TIMED_OUT, CONNECT))
        elif not engine.alive:
            self.later(g, 1 * MS, core.Probed(name, Ending.REFUSED, 1 * MS))
        else:
            report = {"prompt_k_waiting": 0.0}
            if "memory_share" in self.settings.report_fields:  # an engine that has just come back is empty
                lately = sum(s > self.now - STREAM_TIME for s in self.engines[name].sends)
                report["memory_share"] = min(1.0, lately / FULL)
            self.later(g, 2 * MS, core.Probed(name, Ending.SERVED, 2 * MS, report))

    def _sent(self, g: Gateway, effect: core.StartAttempt, engine: Engine, life: int) -> None:
        rid = effect.request
        told = g.told.get(effect.worker)
        if told is not None and self.now > told + self.settings.rules.drain_grace + SLACK:
            self.breach("drain", f"{rid} to {effect.worker}")
        self.feed(g, core.Begun(rid, effect.number))
        self.feed(g, core.Written(rid, effect.number))
        if self._open(g, effect, life):
            self._arrived(g, effect, engine, life)

    def _arrived(self, g: Gateway, effect: core.StartAttempt, engine: Engine, life: int) -> None:
        """An engine that runs has its last byte."""
        rid, q = effect.request, self.asks[effect.request]
        engine.arrivals.append(self._arrival(g, effect, engine))
        q.arrived.add(effect.number)
        self.costs["attempts"] += 1
        if not effect.reading:
            self.costs["writes"] += 1
            self.costs["writes_with_place"] += effect.worker in self.held[rid].places
            self.costs["writes_without_state"] += not self.held[rid].states
            self.held[rid].places.clear()  # taken here, or given up by a write elsewhere
            if q.unsafe and q.may_have_run:
                self.breach("unsafe twice", rid)
            q.may_have_run = True
        if engine.sick:
            self.costs["errors"] += 1
            self._end_later(g, effect, 2 * MS, Ending.SERVER_ERROR)
        elif effect.reading:
            self.after(self._reading_time(engine, q), lambda: self._answer(
                engine, lambda: self._read(g, effect, engine, life)
            ))  # fmt: skip
        elif not self.held[rid].states:
            q.may_have_run = False
            self._end_later(g, effect, 1 * MS, Ending.STATE_GONE)
        else:
            self.held[rid].fetching = effect.number
            time = self._slow(engine, FIRST_TIME)
            self.after(time, lambda: self._answer(engine, lambda: self._first(g, effect, engine, life)))

    def _arrival(self, g: Gateway, effect: core.StartAttempt, engine: Engine) -> EngineArrival:
        q, known = self.asks[effect.request], g.known.get(effect.worker)
        told = known is not None and known.entry.started == engine.entry.started
        return EngineArrival(self.now, self.work(q, effect.reading), told, effect.request, g.number)

    @staticmethod
    def work(q: Ask, reading: bool) -> float:
        """In requests of mean work, as the clients' ordinary requests are: a reader reads the prompt, a
        writer takes it in and writes the answer."""
        prompt, answer = q.prompt_tokens / MEAN_PROMPT, q.answer_tokens / MEAN_ANSWER
        return prompt if reading else (prompt + answer) / 2

    def _reading_time(self, engine: Engine, q: Ask) -> int:
        """Of a prompt alone at this engine: the mean one takes as long as its capacity says."""
        mean = SECOND / self.capacity[READER] / self.warmth(engine, self.now)
        return int(mean * q.prompt_tokens / MEAN_PROMPT * self.rng.uniform(0.9, 1.4))

    def _slow(self, engine: Engine, time: int) -> int:
        return int(time * self.rng.uniform(0.7, 1.6) / self.warmth(engine, self.now))

    def warmth(self, engine: Engine, when: int) -> float:
        rules, started = self.settings.rules, engine.entry.started
        if not started:
            return 1.0
        grown = min(1.0, (when - started) / rules.warm_within)
        return rules.cold_start_share + (1 - rules.cold_start_share) * grown

    def _read(self, g: Gateway, effect: core.StartAttempt, engine: Engine, life: int) -> None:
        """The state stays, unless the engine knows that its reader has gone."""
        if not engine.alive:
            if self.reaches(g, effect.worker) and self._open(g, effect, life):
                self._end(g, effect, Ending.RESET)
            return
        heard = self.reaches(g, effect.worker)
        known = effect.number in self.asks[effect.request].close_known
        if (heard or known) and not self._open(g, effect, life):
            return
        self.held[effect.request].states[effect.worker] = self.now
        if heard:
            self._end(g, effect, Ending.READ)

    def _first(self, g: Gateway, effect: core.StartAttempt, engine: Engine, life: int) -> None:
        if not self._open(g, effect, life):
            return
        if not engine.alive:
            self._end(g, effect, Ending.RESET)
        elif self.reaches(g, effect.worker):
            self.asks[effect.request].streams = True
            self.first_tokens.append(self.now - self.asks[effect.request].came_at)
            self.held.pop(effect.request, None)
            self.feed(g, core.FirstEvent(effect.request, effect.number))
            time = int(STREAM_TIME * self.asks[effect.request].answer_tokens / MEAN_ANSWER)
            self._end_later(g, effect, time, Ending.SERVED)

    def _place(self, g: Gateway, effect: core.AskPlace) -> None:
        """A writer that runs takes the question; a frozen one as it thaws, whoever waits for its answer."""
        engine, key = self.engines[effect.worker], (effect.request, effect.worker)
        if not engine.alive or not self.reaches(g, effect.worker):
            self.questions.add(key)
            self._place_over(g, *key, effect.number, Place.NOT_ASKED, CONNECT)
            return
        self.questions.add(key)
        if engine.frozen:
            engine.unread.append(Unread(
                lambda: self._take_place(g, effect, engine),
                lambda: self._place_over(g, *key, effect.number, Place.UNANSWERED),
            ))  # fmt: skip
        else:
            self._take_place(g, effect, engine)

    def _take_place(self, g: Gateway, effect: core.AskPlace, engine: Engine) -> None:
        said, q = Place.HELD, self.asks[effect.request]
        if self.rng.random() < self.places_refused:
            said = Place.NOT_HELD
        else:
            self.held[effect.request].places = {effect.worker: self.now}  # a new one replaces it
            q.idle_since = self.now
        if said is Place.HELD and self.rng.random() < self.places_lost:
            said = Place.UNKNOWN  # its answer does not tell, the place is held
        self._answer_place(g, effect, said)

    def _answer_place(self, g: Gateway, effect: core.AskPlace, said: Place) -> None:
        """Behind a cut the answer waits until that is over."""
        if self.reaches(g, effect.worker):
            self._place_over(g, effect.request, effect.worker, effect.number, said, 1 * MS)
        elif self.engines[effect.worker].alive:
            self.after(CUT_LOOK, lambda: self._answer_place(g, effect, said))
        else:
            self._place_over(g, effect.request, effect.worker, effect.number, Place.UNANSWERED)

    def _place_over(
        self, g: Gateway, request: str, worker: str, number: int, said: Place, wait: int = 0
    ) -> None:
        if (request, worker) in self.questions:
            self.questions.discard((request, worker))
            self.later(g, wait, core.PlaceEnded(request, number, worker, said))

    def _wait_for(
        self, g: Gateway, engine: Engine, wait: int, late: core.Input, read: Callable[[bool], None]
    ) -> None:
        """A small call to a frozen engine: it is read as that thaws, whether anybody waits for it or not."""
        life, until = g.life, self.now + wait

        def waits() -> bool:
            return self.now < until and g.life == life

        def give_up() -> None:
            if pending in engine.unread and g.life == life:
                self.feed(g, late)

        pending = Unread(lambda: read(waits()), lambda: self.feed(g, late) if waits() else None)
        engine.unread.append(pending)
        self.after(wait, give_up)

    def _release(self, g: Gateway, effect: core.SendRelease, heard: bool = True) -> None:
        """`heard`: the gateway waits for its answer."""
        engine, there = self.engines[effect.worker], self.reaches(g, effect.worker)
        if there and engine.alive and engine.frozen:
            late = core.ReleaseEnded(effect.request, effect.worker, Ending.TIMED_OUT)
            self._wait_for(g, engine, RELEASE_WAIT, late, lambda waits: self._release(g, effect, waits))
            return
        done = there and engine.alive
        if done:
            self.after(1 * MS, lambda: self.held[effect.request].release())
        ending = Ending.SERVED if done else Ending.CONNECT_TIMED_OUT
        self.costs["releases"] += 1
        if heard:
            ended = core.ReleaseEnded(effect.request, effect.worker, ending)
            self.later(g, 2 * MS if there else CONNECT, ended)

    # --- clients and the audit --------------------------------------------------------------------------

    def _arrive(self, end: int) -> None:
        if self.now >= end:
            return
        live = [g for g in self.gateways if g.state is not None and not g.leaving]
        if live:
            unsafe = self.rng.random() < 0.3
            session, prefix = f"s{self.rng.randrange(400)}", f"p{self.rng.randrange(12)}"
            tokens = self.rng.randrange(*PROMPT_TOKENS) * (8 if self.rng.random() < self.swollen else 1)
            answer = self.rng.randrange(*ANSWER_TOKENS)
            time = (8 if unsafe else 6) * SECOND
            q = Ask(live[0], 0, unsafe, time, prompt_tokens=tokens, answer_tokens=answer)
            self._ask(q, session, prefix, live)
        self.after(int(self.rng.expovariate(self.rate) * SECOND), lambda: self._arrive(end))

    def _ask(self, q: Ask, session: str, prefix: str, live: list[Gateway]) -> None:
        """`q.deadline` is the time that the client has left."""
        g, time_left = self.choose_gateway(live), q.deadline
        name = f"q{len(self.asks)}"
        q.gateway, q.life, q.came_at, q.deadline = g, g.life, self.now, self.now + time_left
        q.session, q.prefix = session, prefix
        self.asks[name] = q
        if self.clients_leave and self.rng.random() < self.clients_leave:
            self.after(self.rng.randrange(SECOND), lambda: self._leave(name))
        self.feed(g, core.Taken(api.Arrival(
            name, session, prefix, 700, q.prompt_tokens, 400, int(q.unsafe), 0, time_left, 0,
            q.tries > 1, False,
        )))  # fmt: skip

    def _leave(self, name: str) -> None:
        q = self.asks[name]
        if self._lives(q) and not q.answer and not q.streams:
            q.answer = "left"
            self.feed(q.gateway, core.ClientLeft(name))

    def _come_again(self, q: Ask) -> None:
        """Clients repeat what was refused at once, at whichever gateway they reach."""
        time_left = q.deadline - self.now
        live = [g for g in self.gateways if g.state is not None and not g.leaving]
        if time_left > SECOND and live:
            again = replace(
                q,
                deadline=time_left,
                tries=q.tries + 1,
                answer="",
                out=set(),
                arrived=set(),
                workers={},
                close_known=set(),
            )
            self._ask(again, q.session, q.prefix, live)

    def _lives(self, q: Ask) -> bool:
        return q.gateway.state is not None and q.gateway.life == q.life

    def _answered(self, name: str, answer: str) -> None:
        q = self.asks[name]
        if q.answer:
            self.breach("answered twice", name)
        if not q.streams and self.now > q.deadline + self.settings.rules.answer_slack + SLACK:
            self.breach("late", name)
        if answer == "refused" and q.unsafe and q.may_have_run:
            self.breach("refused what may have run", name)
        q.answer = answer
        if self.clients_repeat and answer == "refused" and q.tries < CLIENT_TRIES:
            self.after(self.rng.randrange(*CLIENT_BACKOFF), lambda: self._come_again(q))

    def _audit(self, end: int) -> None:
        limit = self.settings.rules.release_within + SLACK + HELD_SLACK
        for name, held in list(self.held.items()):
            q = self.asks[name]
            if not self._lives(q) or not held.since():
                del self.held[name]
            elif not q.arrived and self.now - max(q.idle_since, min(held.since())) > limit:
                self.breach("pinned", name)
                del self.held[name]
        if self.now < end:
            self.after(20 * MS, lambda: self._audit(end))

    def allowed(self, engine: Engine, when: int) -> float:
        """Mean requests in one window that the settings allow this engine at that time."""
        rules = self.settings.rules
        could = self.capacity[engine.entry.kind] * self.warmth(engine, when)
        return rules.cold_multiple * could * rules.cold_window / SECOND

    def cold_arrivals(self, engine: Engine) -> list[EngineArrival]:
        """What arrived there since its latest start, as long as it was cold."""
        started = engine.entry.started
        until = started + self.settings.rules.warm_within
        return [a for a in engine.arrivals if started and started <= a.at < until]

    def cold_use(self) -> list[float]:
        """Of each engine in slow start, the share of its limit that its fullest window used."""
        found = []
        for engine in self.engines.values():
            at_engine = windows(
                self.cold_arrivals(engine),
                lambda when, engine=engine: self.allowed(engine, when),  # type: ignore[misc]
                self.settings.rules.cold_window,
            )
            if at_engine:
                found.append(max(window.fills for window in at_engine))
        return found

    def overload(self, engine: Engine) -> Window | None:
        """The fullest window in which this engine was overloaded while it was cold, if it was."""
        length = self.settings.rules.cold_window
        return worst_breach(self.cold_arrivals(engine), lambda when: self.allowed(engine, when), length)

    def _audit_cold(self) -> None:
        for name, engine in self.engines.items():
            breach = self.overload(engine)
            if breach is not None:
                began = (breach.start - engine.entry.started) / SECOND
                got = f"{breach.work:.1f} of {breach.limit:.1f} in a window"
                self.breach("pushed over", f"{name} got {got}, {began:.3f} s after its start")
            if self.count_sends:
                self._audit_cold_count(name, engine)

    def _audit_cold_count(self, name: str, engine: Engine) -> None:
        """Besides, on the days that have been held to it: no more sends than the multiple and two."""
        cold = [arrival.at for arrival in self.cold_arrivals(engine)]
        for i, first in enumerate(cold):
            sent = sum(at < first + self.settings.rules.cold_window for at in cold[i:])
            allowed = self.allowed(engine, first)
            if sent > allowed + 2:
                self.breach("pushed over", f"{name} got {sent} in a window, {allowed:.1f} allowed")
                break
