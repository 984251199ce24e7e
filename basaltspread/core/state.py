"""What the gateway knows: its requests, their attempts and tool calls, the fleet, and its own place in life.

It owns the shape of that knowledge and what can be read off it. It must never change it: that is the
reducer's alone (reducer.py, toolcalls.py).
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

from basaltspread import interface as api
from basaltspread.control.engine_starts import EngineStarts
from basaltspread.control.loop_load import LoopLoad
from basaltspread.core.engine_contacts import EngineContacts
from basaltspread.core.held_ledger import HeldLedger
from basaltspread.core.messages import Departure, Listed, Verdict
from basaltspread.core.module_queue import ModuleQueue
from basaltspread.core.untaken_sends import UntakenSends
from basaltspread.endings import Ending, ToolFault
from basaltspread.interface import WorkerState
from basaltspread.records import record
from basaltspread.structures.averages import Usual
from basaltspread.structures.indexed_set import IndexedSet

if TYPE_CHECKING:
    from basaltspread.control.dispatch import Dispatcher
    from basaltspread.control.picture import Picture


CHANGES_KEPT = 16  # of a request's state changes


class Module(Protocol):
    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]: ...

    def resting(self, now: int) -> set[str]: ...

    def slow_start_figures(self, now: int) -> api.SlowStartFigures: ...

    def share_with(self, processes: int) -> None: ...

    def knowledge(self, now: int) -> dict[str, Any]: ...

    def recall(self, now: int, told: dict[str, Any]) -> None: ...


@dataclass(slots=True, eq=False, repr=False)
class Attempt:
    number: int
    worker: str
    reading: bool
    sent_at: int
    until: int = 0
    begun: bool = False
    written: bool = False
    written_at: int = 0
    over: bool = False
    ending: Ending | None = None  # once it is over
    zone: int = -1  # of its worker, as it was listed then
    cell: int = -1
    address: str = ""  # at which it was dialled; what the list says later does not move it


@dataclass(slots=True, eq=False, repr=False)
class Request:
    id: str
    request_class: int
    deadline: int
    unsafe: bool = False
    resumed: bool = False
    gave_up_at: int = -(10**9)  # when an attempt was last closed from this side
    attempts: list[Attempt] = field(default_factory=list)
    stream: Attempt | None = None
    ended: bool = False  # the client has had its final answer, or has gone
    owed: bool = False  # it has ended, and its answer goes out once what was given up is surely seen to be
    place: str | None = None  # a writer to be asked once the read's last byte is out
    held: HeldLedger = field(default_factory=HeldLedger)  # what engines may hold for it
    held_check_at: int | None = None  # when the clock of that is looked at next

    tenant: int = 0
    prompt: int = 0  # tokens
    calls: dict[str, None] = field(default_factory=dict)  # ids of all tool calls of its streams
    open: set[str] = field(default_factory=set)  # of them, those whose reply the engine waits for
    bundles: set[int] = field(default_factory=set)  # events that have not been answered
    replied_at: int = 0  # when the engine last got a reply that it waited for
    errors: int = 0  # messages that could only be answered without an id

    history: list[tuple[int, str]] = field(default_factory=list)  # its last state changes, and when

    def note(self, now: int, change: str) -> None:
        """Keep a state change, for the log line of a violation."""
        if len(self.history) >= CHANGES_KEPT:
            del self.history[0]
        self.history.append((now, change))

    def changes(self) -> str:
        """Its last state changes, in ms from the first of them."""
        first = self.history[0][0] if self.history else 0
        return ", ".join(f"{(at - first) / 1000:.0f} ms {change}" for at, change in self.history)

    def waits(self) -> bool:
        """Whether its client has neither a final answer nor the beginning of a stream."""
        return not self.ended and self.stream is None

    def out(self) -> list[Attempt]:
        return [a for a in self.attempts if not a.over]


@dataclass(slots=True, eq=False, repr=False)
class Release:
    tried: list[str] = field(default_factory=list)  # engines, since all were tried last
    open: set[str] = field(default_factory=set)
    tries: int = 0
    until: int = 0
    began: int = 0
    overdue: bool = False  # that it has gone unheard for long has been said
    addresses: dict[str, str] = field(default_factory=dict)  # where its request's engines were dialled

    def is_untried(self, engine: str) -> bool:
        """Whether no call has gone there since all were tried last, and none is open."""
        return engine not in self.tried and engine not in self.open

    def begin(self, engine: str) -> None:
        """A call goes out there."""
        self.tried.append(engine)
        self.open.add(engine)


@dataclass(slots=True, eq=False, repr=False)
class Refusals:
    """Requests that the module gave up, by reason, and when a log line last said so."""

    counts: Counter[api.RefusalReason] = field(default_factory=Counter)
    said_at: dict[api.RefusalReason, int] = field(default_factory=dict)


@dataclass(slots=True, eq=False, repr=False)
class Choices:
    """Engines that the module chose, by reason and by age of the figures, and when a line last said so."""

    reasons: Counter[api.ChoiceReason] = field(default_factory=Counter)
    ages: Counter[str] = field(default_factory=Counter)  # by the names of `figures_age_name`
    said_at: dict[api.ChoiceReason, int] = field(default_factory=dict)


FIGURES_AGES = {"500ms": 500_000, "1s": 1_000_000, "2s": 2_000_000, "4s": 4_000_000}  # us
FIGURES_OLDER, FIGURES_NONE = "older", "none"


def figures_age_name(age: int | None) -> str:
    """The class that an age in us is counted in."""
    if age is None:
        return FIGURES_NONE
    return next((name for name, most in FIGURES_AGES.items() if age <= most), FIGURES_OLDER)


@dataclass(slots=True, eq=False, repr=False)
class ToolCall:
    """A call, from its event to the last that is heard of it."""

    attempt: Attempt
    bundle: int
    unsafe: bool
    fault: ToolFault | None = None
    settled: bool = False  # its one reply is known: the tool server's, or a fault
    orphan: bool = False  # nobody waits for the reply any more
    told: int = 0  # times that the engine was told of progress
    told_at: int = 0
    telling: bool = False


@dataclass(slots=True, eq=False, repr=False)
class Bundle:
    """The calls of one event, which get one message in return."""

    attempt: Attempt
    calls: dict[str, None]  # whose replies it will hold, in the order of the event
    waiting: set[str]
    errors: int
    deadline: int  # the latest of its calls'
    returns: int = 0  # times that it was written to the engine
    return_by: int = 0  # when the engine has to have taken it, once it was written first


@dataclass(slots=True, eq=False, repr=False)
class State:
    settings: api.Settings
    module: Module
    listed: dict[str, Listed] = field(default_factory=dict)  # as discovery tells it
    starts: EngineStarts = field(default_factory=EngineStarts)
    version: int = 0
    departures: dict[str, Departure] = field(default_factory=dict)  # of lately, by engine
    disabled: set[str] = field(default_factory=set)  # engines that operators left out, listed or not
    returned: dict[str, int] = field(default_factory=dict)  # when one was let in again
    workers: dict[str, Listed] = field(default_factory=dict)  # as it is treated: the list, less the bans
    engine_names: IndexedSet[str] = field(default_factory=IndexedSet)  # those of `workers`
    contacts: EngineContacts = field(default_factory=EngineContacts)
    signs_asked: dict[str, int] = field(default_factory=dict)  # when an engine was asked whether it runs
    late_questions: dict[tuple[str, str], None] = field(default_factory=dict)  # for places: request, engine
    untaken: UntakenSends = field(default_factory=UntakenSends)
    last_dropped: str | None = None  # the last request for which nothing is held any more
    read_times: Usual = field(default_factory=Usual)  # from a read's sending to its answer
    first_event_times: Usual = field(default_factory=Usual)  # the same of a write, to its first event
    requests: dict[str, Request] = field(default_factory=dict)
    undecided: ModuleQueue = field(default_factory=ModuleQueue)  # what the module has still to be told
    load: LoopLoad = field(default_factory=LoopLoad)  # measured by the host
    releases: dict[str, Release] = field(default_factory=dict)
    release_calls: int = 0  # open ones
    release_times: Usual = field(default_factory=Usual)  # from a release's first try to its first answer
    longest_release: int = 0  # us, of those
    picture: Picture | None = None  # only where many gateways tell each other of the engines
    odd_words_said_at: int | None = None  # when the log last told of a message that can't be read
    odd_list_said_at: int | None = None  # the same of odd entries in discovery's list
    tools: Dispatcher | None = None  # only where a configuration has tool servers
    calls: dict[tuple[str, str], ToolCall] = field(default_factory=dict)  # open ones
    bundles: dict[tuple[str, int], Bundle] = field(default_factory=dict)  # unanswered ones
    refusals: Refusals = field(default_factory=Refusals)
    choices: Choices = field(default_factory=Choices)
    replies: Counter[tuple[int, Verdict]] = field(default_factory=Counter)  # by class, since the start
    dispatches: int = 0  # attempts written whole
    processes: int = 1  # of this gateway that run: a successor, or the one that is replaced, beside this one
    inherited: bool = False  # the clients' socket is the platform's, and outlives this process
    serving: bool = False
    draining_since: int | None = None  # an operator sends the clients away
    stopping: bool = False
    stop_by: int = 0
    accepting: bool = True
    # Requests that clients have begun to write and that are not taken; known while it stops.
    arriving: int = 0
    # Timers of its end that are set: at streams to hand on or move.
    looks: set[str] = field(default_factory=set)
    moving: bool = False  # streams that still run are ended here, for their clients to go on elsewhere
    exited: bool = False
    traces: bool = False  # each request's state changes and each release are logged


@record
class HeldFigures:
    """What operators are shown of what engines may hold for requests."""

    oldest: int  # us: the longest for which something has been held that no engine has shown to take
    entries: int  # states and places
    late_questions: int  # for places, heard out after all was released
    untaken_sends: int  # given up, and not known not to be taken yet
    release_time: int  # us from a release's first try to its first answer, running mean
    release_waves: int  # that it takes, running mean
    longest_release: int  # us


@record
class Figures:
    """What operators are shown."""

    replies: dict[str, dict[Verdict, int]]  # by class name; every class from the start
    dispatches: int
    concurrent: int  # requests taken and not ended
    targets: int  # engines in the list
    targets_disabled: int  # those of them that are avoided now
    held: HeldFigures
    refusals: dict[str, int]  # requests that the module gave up, by reason; every reason from the start
    choices: dict[str, int]  # engines that it chose, the same
    figures_ages: dict[str, int]  # the same by the age of what was known of them
    slow_start: api.SlowStartFigures


def figures(state: State, now: int) -> Figures:
    avoided = state.module.resting(now) | state.disabled
    return Figures(
        {c.name: {v: state.replies[i, v] for v in Verdict} for i, c in enumerate(state.settings.classes)},
        state.dispatches,
        sum(not q.ended for q in state.requests.values()),
        len(state.workers),
        len(avoided.intersection(state.workers)),
        held_figures(state, now),
        {reason.value: state.refusals.counts[reason] for reason in api.RefusalReason},
        {reason.value: state.choices.reasons[reason] for reason in api.ChoiceReason},
        {name: state.choices.ages[name] for name in (*FIGURES_AGES, FIGURES_OLDER, FIGURES_NONE)},
        state.module.slow_start_figures(now),
    )


def held_figures(state: State, now: int) -> HeldFigures:
    """Costs a look at each request."""
    return HeldFigures(
        oldest_held(state, now),
        sum(len(request.held) for request in state.requests.values()),
        len(state.late_questions),
        len(state.untaken),
        round(state.release_times.time),
        round(state.release_times.size),
        state.longest_release,
    )


def is_up(state: State, engine: str) -> bool:
    """Whether this engine may be sent something new, as it is treated now."""
    listed = state.workers.get(engine)
    return listed is not None and listed.entry.state is WorkerState.UP


def oldest_held(state: State, now: int) -> int:
    """Age of the oldest clock of held state that runs, in us; 0 for none. Costs a look at each request."""
    starts = (request.held.since() for request in state.requests.values())
    return max((now - since for since in starts if since is not None), default=0)


def silent_since(state: State, request: str) -> int | None:
    """From when on an engine's silence counts, at the earliest; None while it waits for a tool's reply. A
    pause for a tool is no silence, and ends when the reply has been taken."""
    q = state.requests.get(request)
    if q is None:
        return 0
    return None if q.open or q.bundles else q.replied_at


def ready(state: State) -> bool:
    """Whether this process is one for new clients."""
    return state.serving and not state.stopping and state.draining_since is None


def door_open(state: State) -> bool:
    """Whether the clients' address is one for new clients. What came to an inherited socket and is not
    accepted here goes to the process that follows."""
    return state.serving and state.draining_since is None and (state.inherited or not state.stopping)


def leaving(state: State) -> bool:
    """Whether clients are told to go elsewhere with each answer. Without a successor they keep what they have
    until the door is shut: elsewhere may be nobody yet, if gateways are restarted one after the other."""
    stopping = state.stopping and (state.inherited or not state.accepting)
    return stopping or state.draining_since is not None


def knowledge(state: State, now: int) -> dict[str, Any]:
    """What has been learnt here, for the process that takes over: spans, as its clock may be another."""
    learnt = {**state.module.knowledge(now), "starts": state.starts.ages(now, state.listed)}
    return learnt if state.tools is None else {**learnt, "tools": state.tools.knowledge()}
