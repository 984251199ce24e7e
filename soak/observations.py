"""What a soak saw, as plain values: the judge reads nothing else.

All times are seconds of the runner's monotonic clock. It owns these shapes and must never judge.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any


class HeldKind(Enum):
    """What an engine holds for a request."""

    STATE = "state"  # of a prompt that was read
    PLACE = "place"  # at a writer, for an answer


class ClientKind(Enum):
    """How a client behaves."""

    PLAIN = "plain"
    LEAVES = "leaves"  # closes before its answer
    STOPS_HALFWAY = "stops_halfway"  # in the middle of a request, and stays
    FLOODS = "floods"  # sends megabytes behind its request, and closes
    WRITES_SLOWLY = "writes_slowly"


@dataclass
class ClientRequest:
    """One request of a client, and what became of it."""

    id: str
    gateway: int
    kind: ClientKind
    service_class: str
    time_left: float  # s, as its head says
    new_connection: bool
    began_at: float  # its first byte was written
    sent_at: float | None = None  # its last
    answered_at: float | None = None  # the first byte of the answer's head was read
    status: int = 0
    body: bytes = b""
    whole: bool = False  # the answer came to its end in order
    left_at: float | None = None  # the client closed
    ended_at: float | None = None  # the gateway closed, or the connection broke
    before_answer: bool = False  # that was before any byte of an answer


@dataclass
class Sent:
    """What a gateway sent to an engine, as it came to the way there."""

    gateway: int
    engine: str
    call: str  # read, write, place, release, probe
    request: str
    first_byte_at: float
    time_left_ms: int | None = None


@dataclass
class Work:
    """What an engine did with a request whose last byte had reached it."""

    engine: str
    call: str
    request: str
    gateway: int
    at: float
    work: float  # in requests of mean work
    refused: bool = False  # turned away, unprocessed
    ended_at: float | None = None
    body: bytes = b""  # of a stream that was written to its end
    whole: bool = False
    reset: bool = False  # by the engine


@dataclass
class Held:
    """A state or a place that an engine holds for a request."""

    engine: str
    request: str
    kind: HeldKind
    since: float
    until: float | None = None  # released, taken by a writer, replaced, or lost with the engine


@dataclass
class Told:
    """Discovery wrote this entry to a gateway."""

    gateway: int
    engine: str
    lifecycle: str
    started_ms: int
    at: float


@dataclass
class Span:
    """A trouble, or the life of a process."""

    name: str
    target: str
    start: float
    end: float
    detail: str = ""


@dataclass
class GatewayEnd:
    """One process of a gateway, from its start to its end."""

    gateway: int
    started_at: float
    ready_at: float | None = None
    inherits: bool = False  # its socket outlives it: what comes there waits for the next process
    told_to_end_at: float | None = None
    killed_at: float | None = None
    ended_at: float | None = None
    exit_code: int | None = None
    counters: dict[str, int] = field(default_factory=dict)
    lines: int = 0
    memory_mb: int = 0  # its limit
    peak_kb: int = 0  # the system's high-water mark of its resident size
    suspicious: list[str] = field(default_factory=list)  # log lines of faults and violations


@dataclass
class Observations:
    """All of one soak."""

    seed: int
    began_at: float = 0.0
    ended_at: float = 0.0
    slack: float = 0.0  # s by which this runner itself was held up at most
    rules: dict[str, float] = field(default_factory=dict)
    zones: dict[str, str] = field(default_factory=dict)  # by engine
    requests: list[ClientRequest] = field(default_factory=list)
    sent: list[Sent] = field(default_factory=list)
    work: list[Work] = field(default_factory=list)
    held: list[Held] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    engine_changes: list[Told] = field(default_factory=list)  # as discovery had them; gateway -1
    troubles: list[Span] = field(default_factory=list)
    processes: list[GatewayEnd] = field(default_factory=list)
    bans: list[tuple[int, str, float]] = field(default_factory=list)  # orders that were answered 200
    bans_kept: dict[int, list[str]] = field(default_factory=dict)  # in each gateway's folder at the end
    load: list[float] = field(default_factory=list)  # of the machine, at the start and the end

    def write(self, path: Path) -> None:
        """As JSON, for a look by hand."""

        def plain(value: Any) -> Any:
            if isinstance(value, bytes):
                return value.decode("latin-1")
            return value.value

        path.write_text(json.dumps(asdict(self), default=plain))
