"""What the virtual fleet consists of: engines, gateways, requests, and what engines hold for a request.

It owns the shape of these alone; times are in microseconds. It must never decide anything.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from basaltspread import core
from basaltspread import interface as api
from basaltspread.lab.overload import EngineArrival
from basaltspread.lab.queues import ColdBudget, ReadQueue, WriteSlots

READER, WRITER = 0, 1  # kinds of engine
PROMPT_TOKENS = (800, 4000)  # of one request, uniform
ANSWER_TOKENS = (50, 350)
MEAN_PROMPT, MEAN_ANSWER = sum(PROMPT_TOKENS) / 2, sum(ANSWER_TOKENS) / 2


@dataclass
class HeldThings:
    """What engines hold for one request: by engine, since when."""

    states: dict[str, int] = field(default_factory=dict)
    places: dict[str, int] = field(default_factory=dict)
    fetching: int | None = None  # the write that has arrived, and fetches the state
    reading: set[int] = field(default_factory=set)  # reads that have arrived and have not ended
    emptied: set[int] = field(default_factory=set)  # of these, whose state went with the place it flowed to

    def since(self) -> list[int]:
        return [*self.states.values(), *self.places.values()]

    def is_over(self) -> bool:
        """Whether nothing is held, and no read that is out will leave anything."""
        return not (self.states or self.places or self.reading)

    def release(self) -> None:
        """All goes that no write waits for. What a read that is out has made flows to the place that is kept,
        and goes with it."""
        if self.places:
            self.emptied |= self.reading
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


@dataclass(frozen=True)
class Job:
    """An attempt that an engine works on."""

    gateway: Gateway
    effect: core.StartAttempt
    life: int  # of the gateway's process that sent it


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
    work: ReadQueue | WriteSlots | None = None  # what it has to do; None: each request is served as if alone
    budget: ColdBudget | None = None  # that it falls over, while it is cold
    jobs: dict[str, Job] = field(default_factory=dict)  # by the key that its queue knows
    wake_at: int | None = None  # when its next work ends, as far as that has been scheduled
    report: dict[str, float] = field(default_factory=dict)  # as it tells: true, and late

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
    prefix_tokens: int = 700
    answer: str = ""
    streams: bool = False
    out: set[int] = field(default_factory=set)
    arrived: set[int] = field(default_factory=set)  # of these, whose last byte reached an engine
    idle_since: int = 0
    may_have_run: bool = False
    workers: dict[int, str] = field(default_factory=dict)  # by attempt
    origin: str = ""  # the first try of the same request
    wanted_at: int = 0  # when the first try came
    tenant: int = 0
    first_token_at: int | None = None
    close_known: set[int] = field(default_factory=set)  # attempts whose engine's system knows of their close
