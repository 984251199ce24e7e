"""What a router knows of its workers, and of the requests and attempts that are under way.

It owns the shape of this knowledge and how reports change it. It must never decide anything.
"""

from __future__ import annotations

from math import isfinite

from basaltspread import interface as api
from basaltspread.control.measured_hits import ReadPlace
from basaltspread.interface import Role
from basaltspread.structures.hashing import hashed

FULL_SLOTS = 8.0  # requests that a reader whose slots are all in use is taken to run at once


class Worker:
    """What this router knows of one worker."""

    def __init__(self, entry: api.WorkerEntry, role: Role, memory: int) -> None:
        self.name, self.hash, self.role, self.memory = entry.name, hashed(entry.name), role, memory
        self.started = 0  # clock time of its latest start; 0: long ago
        self.reads: dict[str, int] = {}  # own unfinished reads: request -> tokens to read
        self.writes: dict[str, int] = {}  # own unfinished answers: request -> prompt tokens
        self.update(entry)
        self.restarted(0)

    def update(self, entry: api.WorkerEntry) -> None:
        """A list may be older than another: a start never goes back."""
        self.entry, self.state, self.cell, self.zone = entry, entry.state, entry.cell, entry.zone
        self.started = max(self.started, entry.started)
        self.weight = entry.weight if isfinite(entry.weight) and entry.weight > 0 else 1.0

    def restarted(self, now: int) -> None:
        """A new process: nothing learnt of the old one holds."""
        self.report: dict[str, float] = {}
        self.others = 0.0  # requests there that are not this router's, as last reported
        self.sent: dict[str, int] = {}  # prompts that the last report can't hold yet: request -> tokens
        self.told_at, self.heard_at, self.rest_until, self.strikes, self.faults = now, now, 0, 0, 0.0
        self.full_until = self.gone_until = self.newest_answered = self.busy_until = 0
        self.served: dict[int, int] = {}  # tenant -> when last one of its requests was taken here
        self.turned: dict[int, tuple[int, int]] = {}  # tenant turned away -> left out until, times so far
        self.lag, self.lag_at = 0.0, now  # what reads here lately waited, beyond the reading itself
        self.figures_at: int | None = None  # when its load was last told or seen here
        self.void_before = now  # prefix entries older than this are not believed
        self.warming_since = min(self.started, now)  # a list may name a start that is yet to come

    def told(self, now: int, report: dict[str, float], size: float) -> None:
        self.told_at = now if report else self.told_at
        self.figures_at = now if report else self.figures_at
        if report and report != self.report:
            self.report = report
            self.sent.clear()
            busy = report.get("queue", 0.0) + FULL_SLOTS * report.get("utilisation", 0.0)
            waiting = report.get("prompt_k_waiting", 0.0) * 1000 / size if size else 0.0  # size: of a read
            running = max(report.get("inflight", busy), waiting)
            self.others = max(0.0, running - len(self.reads) - len(self.writes))


class Attempt:
    """One send of a request, under way."""

    def __init__(self, number: int, worker: Worker, reading: bool, sent_at: int, need: int):
        self.number, self.worker, self.reading, self.sent_at = number, worker, reading, sent_at
        self.need, self.cancelled = need, False
        self.source: Worker | None = None  # the reader whose state a write fetches
        self.place = ReadPlace()
        self.promised = self.tell_again_at = 0  # tokens there, by the table; of a long read


class Request:
    """One request from its arrival until nothing of it is under way and nothing is held for it."""

    def __init__(self, a: api.Arrival, cls: api.RequestClass, now: int, over_share: bool) -> None:
        self.a, self.id, self.cls, self.arrived, self.over_share = a, a.request, cls, now, over_share
        self.deadline = now + a.time_left
        self.aim = max(1, cls.aim + cls.aim_per_1000 * a.prompt_tokens // 1000)
        self.out: Attempt | None = None  # never two at once: second copies are not used
        self.sent, self.placed = 0, False  # placed: the writer asked said that it holds the place
        self.reader: Worker | None = None  # where the read state waits
        self.place: Worker | None = None  # writer asked to hold a place, and not known to have refused
        self.asked, self.failed = list[str](), list[str]()  # writers asked for a place; who failed it
        self.late = list[str]()  # workers that run, to which a connection for it did not come up in time
        self.holds = self.streaming = self.done = False  # holds: a state or a place may be held somewhere
        self.ran: Worker | None = None  # first worker at which it may have run, and when it was sent
        self.ran_at, self.idle_since = 0, now
