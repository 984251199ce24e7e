"""The virtual fleet's clock, its queue of events, and everything that its parts share.

Virtual time, deterministic from a seed. Times are in microseconds.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import replace

from basaltspread import core
from basaltspread import interface as api
from basaltspread.lab.conversations import MEAN_UNREAD_PART, TEXTS
from basaltspread.lab.entities import (
    MEAN_ANSWER,
    MEAN_PROMPT,
    READER,
    WRITER,
    Ask,
    Engine,
    Gateway,
    HeldThings,
)
from basaltspread.lab.prefix_cache import PrefixCache
from basaltspread.lab.queues import ColdBudget, ReadQueue, WriterSize, WriteSlots
from basaltspread.lab.settings import MS, SECOND, settings

SLACK = 50 * MS  # that the page gives every time limit
FIRST_TIME, STREAM_TIME = 40 * MS, 400 * MS
LEAST_QUEUE, LEAST_SLOTS = 4, 4
READ_QUEUE_TIME, WRITE_QUEUE_TIME = 3 * SECOND, SECOND // 2  # that a full queue of mean requests takes
CACHE_TIME = 10 * SECOND  # of reading at full speed that fills an engine's cache
CELLS_OF_A_ZONE = 2
NEAR_TOKENS_PER_US = 0.3  # of a state, from a reader to a writer of its cell
OTHER_CELL, OTHER_ZONE = 3.0, 6.0  # times as long elsewhere
PROBE_PRICE, PEER_PRICE = 0.003, 0.0025  # of the operators' site file
SLOTS = 2.0  # times the answers that a decode engine can write at full pace


class FleetState:
    """What is true of the fleet at this instant, and what is yet to happen."""

    def __init__(
        self, seed: int, gateways: int, readers: int, writers: int, rate: float, zones: int = 3,
        talk: bool = True, memory: bool = False, load: float = 0.4,
        count_sends: bool = True, queues: bool = False, caches: bool = False, priced: bool = False,
    ) -> None:  # fmt: skip
        """With `queues` engines can do so much and no more; else each request is served as if it were alone.
        `rate` is of clients' requests a second, `load` the used part of what all engines can do.
        With `caches` prefill engines keep what they read, clients hold conversations, and a state takes time
        to fetch; `priced`: probes and peers' messages cost what the operators' site file says."""
        self.rng, self.now, self.rate = random.Random(seed), 1000 * SECOND, rate
        # With queues, what clients ask and which engines fail is the same whatever gateways do.
        self.clients = random.Random(f"{seed} clients") if queues else self.rng
        self.noise = random.Random(f"{seed} network") if queues else self.rng
        self.queues = queues
        self.began, self.order = self.now, 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        names = tuple("abcdef"[:zones])
        fields = ("memory_share", "prompt_k_waiting") if memory else ("prompt_k_waiting",)
        base = settings(routers=gateways, zones=names, fields=fields, weights_mean_size=True)
        safe = replace(base.classes[0], deadline=6 * SECOND, aim=1200 * MS)
        order = replace(safe, name="order", effect=api.Effect.UNSAFE, deadline=8 * SECOND)
        rules = replace(base.rules, drain_grace=250 * MS, cold_start_share=0.26, warm_within=14 * SECOND)
        limits = replace(base.limits, probes=True, peers=talk)
        self.caches = caches
        self.texts = TEXTS  # that conversations may begin with
        if priced:
            base = replace(base, probe_price=PROBE_PRICE, peer_price=PEER_PRICE)
        if queues:
            safe = replace(safe, aim_per_1000=40 * MS, worth=2.0, late_worth=0.3)
            order = replace(order, aim=2000 * MS, aim_per_1000=40 * MS, worth=5.0, late_worth=0.2)
        self.settings = replace(base, classes=(safe, order), rules=rules, limits=limits)
        self.tenant_traffic: list[float] = []  # of each tenant, against the others
        self.costs: Counter[str] = Counter()  # over the whole fleet
        self.emptied_at: list[int] = []  # when reads ended whose state a release had taken meanwhile
        self.engines: dict[str, Engine] = {}
        # Mean requests a second that a warm engine can do; `load` is the used part of what all can.
        self.capacity = [rate / load / readers, rate / load / writers]
        if queues:
            reader = replace(base.kinds[0], memory_tokens=self._cache_tokens(self.capacity[READER]))
            written = self._writer_size(self.capacity[WRITER])
            writer = replace(base.kinds[1], memory_tokens=written.memory_tokens)
            self.settings = replace(self.settings, kinds=(reader, writer))
        self.cells = zones * (CELLS_OF_A_ZONE if caches else 1)
        for i in range(readers + writers):
            # Names tell the zone, as many platforms' do: whoever goes by names alone stays in one zone.
            self.add_engine(
                f"{names[i % zones]}{i}",
                kind=int(i >= readers),
                zone=i % zones,
                started=0,
                cell=i % self.cells,
            )
        self.swollen = 0.0  # share of prompts that are eight times as long
        self.late_connects = 0.0  # share of connections that take up to a second to come up
        self.places_refused, self.places_lost = 0.2, 0.0
        self.deep_probes = False  # probes wait and are served like a request
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

    def at(self, when: int, call: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.events, (max(when, self.now), self.order, call))

    def after(self, wait: int, call: Callable[[], None]) -> None:
        self.at(self.now + wait, call)

    def live_gateways(self) -> list[Gateway]:
        """Those that get clients' requests now."""
        return [g for g in self.gateways if g.state is not None and not g.leaving]

    def choose_gateway(self, live: list[Gateway]) -> Gateway:
        if all(g.traffic == 1.0 for g in live):
            return self.noise.choice(live)
        return self.noise.choices(live, [g.traffic for g in live])[0]

    def breach(self, rule: str, about: str) -> None:
        self.breaches.append(f"{rule}: {about} at {(self.now - self.began) / SECOND:.3f} s")

    def share(self, answer: str) -> float:
        return sum(q.answer == answer for q in self.asks.values()) / len(self.asks)

    def reaches(self, g: Gateway, name: str) -> bool:
        engine = self.engines.get(name)
        if engine is None:
            return False
        apart = g.zone != engine.entry.zone and bool({g.zone, engine.entry.zone} & self.cut)
        return not (engine.silent or apart)

    def feed(self, g: Gateway, event: core.Input) -> None:
        """The gateway is told of this, and what it does about it is carried out."""
        raise NotImplementedError

    def later(self, g: Gateway, wait: int, event: core.Input) -> None:
        """Not for a later life of this gateway."""
        life = g.life
        self.after(wait, lambda: self.feed(g, event) if g.life == life else None)

    def add_engine(self, name: str, kind: int, zone: int, started: int, cell: int | None = None) -> None:
        cell = zone if cell is None else cell
        entry = api.WorkerEntry(name, api.WorkerState.UP, cell, zone, kind, 1.0, started)
        self.engines[name] = Engine(entry)
        self.equip(self.engines[name])

    def equip(self, engine: Engine) -> None:
        """A process of this engine starts: its queue, its slots and its memory are empty."""
        if not self.queues:
            return
        capacity = self.capacity[engine.entry.kind] / SECOND  # mean requests a microsecond

        def warmth(now: int) -> float:
            return self.warmth(engine, now)

        if engine.entry.kind == READER:
            longest = max(LEAST_QUEUE, int(READ_QUEUE_TIME * capacity))
            cache = PrefixCache(self._cache_tokens(capacity * SECOND)) if self.caches else None
            engine.work = ReadQueue(self._read_speed(capacity), warmth, longest, cache)
        else:
            engine.work = WriteSlots(self._writer_size(capacity * SECOND), warmth)
        engine.jobs, engine.wake_at, engine.report = {}, None, {}
        if engine.entry.started:
            rules = self.settings.rules
            engine.budget = ColdBudget(rules.cold_window, lambda now: self.allowed(engine, now))

    def _read_speed(self, capacity: float) -> float:
        """Tokens a microsecond of a reader that does so many mean requests in it."""
        return capacity * MEAN_PROMPT * (MEAN_UNREAD_PART if self.caches else 1.0)

    def _cache_tokens(self, capacity: float) -> int:
        """That a reader keeps, which does so many mean requests a second."""
        return int(CACHE_TIME * self._read_speed(capacity / SECOND))

    @staticmethod
    def _writer_size(capacity: float) -> WriterSize:
        """Of a writer that does so many mean requests a second."""
        per_us = capacity / SECOND
        at_full_pace = per_us * STREAM_TIME  # answers that it can write at once, none slower for others
        slots = max(LEAST_SLOTS, int(SLOTS * at_full_pace))
        return WriterSize(
            per_us * MEAN_ANSWER, MEAN_ANSWER / STREAM_TIME, FIRST_TIME, slots,
            max(LEAST_QUEUE, int(WRITE_QUEUE_TIME * per_us)), int(slots * MEAN_PROMPT),
        )  # fmt: skip

    def warmth(self, engine: Engine, when: int) -> float:
        """The part of a warm engine's capacity that it has at this time."""
        rules, started = self.settings.rules, engine.entry.started
        if not started:
            return 1.0
        grown = min(1.0, (when - started) / rules.warm_within)
        return rules.cold_start_share + (1 - rules.cold_start_share) * grown

    def allowed(self, engine: Engine, when: int) -> float:
        """Mean requests in one window that the settings allow this engine at that time."""
        rules = self.settings.rules
        could = self.capacity[engine.entry.kind] * self.warmth(engine, when)
        return rules.cold_multiple * could * rules.cold_window / SECOND
