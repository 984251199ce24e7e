"""Types that pass between a router and its host: settings, events in, actions out.

Times are integer microseconds. Nothing here decides anything.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import field
from enum import Enum

from basaltspread.records import record

READING = "reading_s"  # in a report: seconds for which one long read keeps a reader busy
FEW_ROUTERS = 4  # up to so many, a router's own counts and waits tell more than reports and pools do


class Role(Enum):
    """What a kind of worker does: read prompts (prefill), write answers (decode), or both."""

    READER = "reader"
    WRITER = "writer"
    MIXED = "mixed"


class Effect(Enum):
    """Whether a request of a class may run more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class KeyScope(Enum):
    """The group of workers that discards repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class WorkerState(Enum):
    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class ListKind(Enum):
    """How a worker list is to be taken: changes only, complete, complete but old, or failed."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Outcome(Enum):
    """How one attempt ended."""

    SERVED = "served"
    READ = "read"  # the prompt is read and its state waits at the reader
    ERROR = "error"
    FULL = "full"  # turned away; with detail 1: no state was there to fetch
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


class RefusalReason(Enum):
    """Why a router gives a request up. The names are those of counters and log lines."""

    READERS_BUSY = "readers_busy"  # the read would wait longer than its aim allows
    WRITERS_BUSY = "writers_busy"  # the same, for what the writers let wait
    FLEET_BUSY = "fleet_busy"  # the same, by what first tokens of all requests take (few routers)
    NO_WORKER = "no_worker"  # none may be sent it, for as long as it could wait
    ATTEMPTS_SPENT = "attempts_spent"
    TIME_SHORT = "time_short"  # another attempt could not end before the deadline
    UNREAD_LATE = "unread_late"  # its aim is past, and no reader has read it
    HELD_LONG = "held_long"  # what is held for it can't wait for another attempt
    MAY_HAVE_RUN = "may_have_run"  # and must not run twice
    DEADLINE = "deadline"


@record
class Candidates:
    """How many workers a decision looked at, by what it knew of them."""

    warm: int = 0
    cold: int = 0  # in slow start
    cold_admitted: int = 0  # of these, that had an allowance for the request
    left_out: int = 0  # failed, full, or out of reach


@record
class Grounds:
    """What a refusal rests on. Times in us."""

    reason: RefusalReason
    expected_wait: int = 0
    allowed_wait: int = 0
    attempts: int = 0
    candidates: Candidates = field(default_factory=Candidates)

    def __str__(self) -> str:
        looked = self.candidates
        return (
            f"{self.reason.value}, expected wait {self.expected_wait // 1000} ms of"
            f" {self.allowed_wait // 1000} ms allowed, {self.attempts} attempts, {looked.warm} warm"
            f" and {looked.cold} cold workers of which {looked.cold_admitted} admitted it,"
            f" {looked.left_out} left out"
        )


class ChoiceReason(Enum):
    """Why a worker was chosen for an attempt. The names are those of counters and log lines."""

    AFFINITY = "affinity"  # it keeps, or should keep, a part of the prompt
    LEAST_LOADED = "least_loaded"  # by the figures that are known
    DRAWN = "drawn"  # at random, weighed by its expected load
    SLOW_START = "slow_start"  # a unit of its slow start was to be used
    PLACE = "place"  # it was asked to hold a place for the request


@record
class ChoiceGrounds:
    """What the choice of a worker rests on. Times in us."""

    reason: ChoiceReason
    expected_wait: int = 0
    figures_age: int | None = None  # of what was last told or seen of its load; None: nothing was
    candidates: Candidates = field(default_factory=Candidates)

    def __str__(self) -> str:
        looked = self.candidates
        age = "no figures" if self.figures_age is None else f"figures {self.figures_age // 1000} ms old"
        return (
            f"{self.reason.value}, expected wait {self.expected_wait // 1000} ms, {age}, {looked.warm} warm"
            f" and {looked.cold} cold workers, {looked.left_out} left out"
        )


@record
class SlowStartFigures:
    """What operators are shown of workers in slow start. Work is in mean requests since the process began."""

    cold: int  # workers in slow start now
    spent: float  # work sent to them
    expired: float  # work that was allowed to them and not sent in time
    learning: bool  # whether too little is known to tell a request's size or a worker's capacity


@record
class RequestClass:
    name: str
    effect: Effect
    key_scope: KeyScope
    key_window: int  # how long repeats of a keyed request are discarded
    aim: int  # first token wanted within this
    aim_per_1000: int  # added to the aim for each 1,000 prompt tokens
    deadline: int
    token_aim: int  # wanted time between two tokens
    worth: float
    late_worth: float
    streaming: bool


@record
class Tenant:
    name: str
    quota_per_s: float  # requests a second within its share, all routers together; 0: no figure
    share: float


@record
class WorkerKind:
    name: str
    role: Role
    memory_tokens: int  # 0: not told


@record
class Limits:
    max_attempts: int
    cancel: bool
    probes: bool
    duplicates: bool  # two attempts of a request may be out at once
    retry_after: bool
    max_retry_after: int
    connect_timeout: int
    peers: bool = False  # routers may send each other messages


@record
class RuleFigures:
    answer_slack: int
    drain_grace: int
    cold_multiple: float
    cold_window: int
    cold_start_share: float
    warm_within: int
    release_within: int
    list_age: int  # where the list must be asked for: told-or-not is judged after this


@record
class Settings:
    router: int
    routers: int
    zone: int
    zones: tuple[str, ...]
    kinds: tuple[WorkerKind, ...]
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    over_share_worth: float
    limits: Limits
    rules: RuleFigures
    places_ahead: bool  # a place may be held at a writer while the read runs
    resumable: bool  # a broken stream may go on elsewhere
    writers_read: bool  # a writer reads a prompt itself when no state waits
    list_must_be_asked: bool
    weights_mean_size: bool  # worker weights compare sizes (else they say nothing stable)
    report_fields: tuple[str, ...]
    tick: int
    probe_price: float = 0.0  # of one for each request
    peer_price: float = 0.0  # of 256 bytes delivered for each request

    @property
    def many(self) -> bool:
        """Whether one router's own counts and waits tell less than what the others see."""
        return self.routers > FEW_ROUTERS


@record
class WorkerEntry:
    name: str
    state: WorkerState
    cell: int
    zone: int
    kind: int
    weight: float
    started: int  # clock time of its latest start; 0: long past


@record
class WorkerList:
    kind: ListKind
    version: int
    entries: tuple[WorkerEntry, ...]


@record
class Arrival:
    request: str
    session: str
    prefix: str  # id of the shared beginning; empty: none
    prefix_tokens: int
    prompt_tokens: int
    max_tokens: int
    request_class: int
    tenant: int
    time_left: int
    hint: int  # rough time that the answer takes to write; 0: not told
    is_retry: bool
    is_resumed: bool


@record
class FirstToken:
    request: str
    attempt: int
    worker: str
    elapsed: int


@record
class PlaceAnswer:
    request: str
    attempt: int
    worker: str
    held: bool


@record
class AttemptEnded:
    request: str
    attempt: int
    worker: str
    outcome: Outcome
    elapsed: int
    request_ended: bool
    # Read and served: prompt tokens found kept. Full: 1 if no state was there. Could not connect: 1 if the
    # worker itself refused, so that no process is there.
    detail: int
    report: Mapping[str, float] = field(default_factory=dict)


@record
class ClientGone:
    request: str


@record
class StateReleased:
    """All that is held for a request is released, as no engine has shown in time that it takes it. An attempt
    that is out stays out: it may have arrived."""

    request: str


@record
class TimerFired:
    timer: int


@record
class ProbeEnded:
    """What a call for a worker's health and load told: this router's own, or one that another tells of."""

    worker: str
    outcome: Outcome
    elapsed: int
    report: Mapping[str, float] = field(default_factory=dict)
    detail: int = 0  # could not connect: 1 if the worker itself refused


@record
class PeerEstimates:
    """What a router knows of the fleet, for the other routers; as an event, what one of them knows. 0 stands
    for what it does not know."""

    token_time: float  # us that a warm reader takes for a token
    prompt_tokens: float  # of a typical prompt
    writer_rate: float  # mean requests a us that a warm writer of weight 1 completes, for all routers
    mixed_rate: float  # the same of a mixed worker
    demand: float  # prompt tokens a us that the router's own clients ask for
    read_part: float  # of a prompt, that readers have to read: the rest is kept from others


@record
class PeerMessage:
    sender: int
    payload: bytes


Event = (
    WorkerList
    | Arrival
    | FirstToken
    | PlaceAnswer
    | AttemptEnded
    | ClientGone
    | StateReleased
    | TimerFired
    | ProbeEnded
    | PeerEstimates
    | PeerMessage
)


@record
class Send:
    request: str
    worker: str
    timeout: int  # 0: until the client gives up
    grounds: ChoiceGrounds | None = None


@record
class LongRead:
    """For the other routers: one read keeps this reader busy for so long from now on."""

    worker: str
    time: int


@record
class HoldPlace:
    request: str
    worker: str


@record
class Release:
    request: str


@record
class Cancel:
    request: str
    attempt: int


@record
class Refuse:
    request: str
    retry_after: int
    grounds: Grounds | None = None


@record
class Fail:
    request: str
    grounds: Grounds | None = None


@record
class Move:
    request: str


@record
class SetTimer:
    delay: int
    timer: int


@record
class Probe:
    worker: str


@record
class WatchList:
    on: bool


@record
class FetchList:
    pass


@record
class Log:
    text: str


Action = (
    Send
    | LongRead
    | PeerEstimates
    | HoldPlace
    | Release
    | Cancel
    | Refuse
    | Fail
    | Move
    | SetTimer
    | Probe
    | WatchList
    | FetchList
    | Log
)
