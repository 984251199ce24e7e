"""The fleet's shared picture: which engines this gateway asks for their load and when, what it tells the
other gateways of them, and what it takes from their word.

A gateway among many sees each engine so rarely that what it learns alone comes too late: a report is old
before it is used, and every gateway finds each dead or failing engine by itself, one spoilt request after the
other. Here each engine is asked by a few gateways, and what one of them learns goes to all in one datagram.

It owns the words on that wire and the turns. It does no I/O, reads no clock, and must never decide what an
engine gets: that is the module's, which is told the same as if this gateway had asked.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from enum import IntEnum
from hashlib import blake2b
from math import exp2, log2

from basaltspread import interface as api
from basaltspread.interface import Outcome, WorkerState
from basaltspread.records import record
from basaltspread.structures.hashing import hashed, rank

ASKERS = 8  # gateways that ask one engine: some are left if most die, and an engine holds few connections
LEAST_AGE = 500_000  # us; engines renew their reports about as often, so a younger one tells nothing new
GONE_AGE = 4_000_000  # us in which one that refuses connections is not asked again
FAULT_AGE = 1_000_000  # us in which the same fault is not told again, whoever told it
ID_BYTES = 3  # of an engine's name in a message: every byte is paid for once for each gateway
MOST_BYTES = 256  # of a datagram
MOST_OUTDATED = 4  # times the engines asked from here that turns may be queued
ESTIMATES = 6  # figures of a message on the whole fleet
PROMPT_UNIT = 100.0  # tokens in which a prompt's size is told
DEMAND_UNIT = 1000.0  # tokens a second in which demand is told
SECOND = 1_000_000  # us
SCALE = 16  # steps for each doubling of a figure: about 4%


class Word(IntEnum):
    """What a message says of the engine that it names; the first byte."""

    REPORT = 1
    REFUSES = 2  # it refuses connections: no process is there
    FAILED = 3  # it answered with an error
    ESTIMATES = 6  # of no engine: what the sender knows of the whole fleet
    READING = 5  # one long read keeps it busy: what waits behind that stands in no report


ENGINE_WORDS = frozenset(Word) - {Word.ESTIMATES}
FAULTS = {Word.REFUSES: Outcome.CONNECT_FAILED, Word.FAILED: Outcome.ERROR}


class BadWord(ValueError):
    """A message that is none, or of another form."""


@record
class Told:
    """What a peer says of one engine, by the short name."""

    word: Word
    engine: bytes
    report: dict[str, float]


def short(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=ID_BYTES).digest()


def packed(figure: float) -> int:
    """A figure of a report in one byte, fine near 0: shares of one and counts up to some thousands."""
    return min(255, round(SCALE * log2(1 + SCALE * max(0.0, figure))))


def unpacked(byte: int) -> float:
    return (exp2(byte / SCALE) - 1) / SCALE


def talks(settings: api.Settings) -> bool:
    """Whether to tell faults and long reads, which are rare: where one gateway of many sees too little."""
    return settings.many and settings.limits.peers


def asks(settings: api.Settings) -> bool:
    """Whether to probe for all as well: where the platform allows it, and telling all what a probe brought
    costs no more than the probe did. It grows with the number of gateways."""
    allowed = settings.limits.probes and bool(settings.report_fields)
    word = (1 + ID_BYTES + len(settings.report_fields)) * (settings.routers - 1) / MOST_BYTES
    return talks(settings) and allowed and word * settings.peer_price <= settings.probe_price


class Picture:
    """One gateway's part in it. An entry takes some 400 bytes; a change of the list and a turn cost O(log n)
    of this gateway's own engines."""

    def __init__(self, settings: api.Settings) -> None:
        self._fields, self._router = settings.report_fields, settings.router
        self._routers, self._asks = settings.routers, asks(settings)
        # By name, the engines that are up and that this gateway asks, with their rank among equally old ones:
        # each gateway has an order of its own, else all that ask an engine would turn to it at once.
        self._mine: dict[str, int] = {}
        self._turns: list[tuple[int, int, str]] = []  # a heap of (age class, rank, name)
        self._names: dict[bytes, set[str]] = {}  # short -> names; two engines with one short name have none
        self._up: dict[str, bytes] = {}  # name -> short
        self._told_at: dict[str, int] = {}  # when a report of it was last told to all
        self._known_at: dict[str, int] = {}  # when it was last told of, or is not to be asked before
        self._fault_at: dict[str, dict[Word, int]] = {}

    def listed(self, entries: Iterable[api.WorkerEntry]) -> None:
        """The engines of the list as it is now."""
        up = {entry.name: entry for entry in entries if entry.state is WorkerState.UP}
        for name in [name for name in self._up if name not in up]:
            self._gone(name)
        for entry in up.values():
            self.changed(entry)

    def changed(self, entry: api.WorkerEntry) -> None:
        """One entry of the list as it is now."""
        name = entry.name
        if entry.state is not WorkerState.UP:
            self._gone(name)
        elif name not in self._up:
            self._up[name] = short(name)
            self._names.setdefault(self._up[name], set()).add(name)
            if self._asks and self._router in self.askers(name):
                self._mine[name] = rank(self._router, hashed(name))
                self._queue(name)

    def _gone(self, name: str) -> None:
        shortened = self._up.pop(name, None)
        if shortened is None:
            return
        self._names[shortened].discard(name)
        if not self._names[shortened]:
            del self._names[shortened]
        for known in (self._mine, self._told_at, self._known_at, self._fault_at):
            known.pop(name, None)

    def _queue(self, name: str) -> None:
        """Its turn comes by when it was last told of."""
        heapq.heappush(self._turns, self._turn(name))
        if len(self._turns) > MOST_OUTDATED * (1 + len(self._mine)):
            self._turns = [self._turn(mine) for mine in self._mine]
            heapq.heapify(self._turns)

    def _turn(self, name: str) -> tuple[int, int, str]:
        return self._known_at.get(name, 0) // LEAST_AGE, self._mine[name], name

    def _known(self, name: str, at: int) -> None:
        same = at // LEAST_AGE == self._known_at.get(name, 0) // LEAST_AGE
        self._known_at[name] = at
        if name in self._mine and not same:
            self._queue(name)

    def askers(self, name: str) -> set[int]:
        """The gateways that ask this engine, as all of them see it. In a ring from a point of its own, each
        step a fixed part of the ring: a few multiplications, whatever the number of gateways."""
        start = hashed(name)
        few = min(ASKERS, self._routers)
        return {(start + i * self._routers // few) % self._routers for i in range(few)}

    def due(self, now: int) -> str | None:
        """The engine to ask now, if one is due: of its own the one that was not told of for longest. Asked
        for once with each request taken, so that the asking costs in proportion to the traffic."""
        while self._turns:
            name = self._turns[0][2]
            if name not in self._mine or self._turns[0] != self._turn(name):
                heapq.heappop(self._turns)
                continue
            if now - self._known_at.get(name, 0) < LEAST_AGE:
                return None
            self._known(name, now)  # asked: its answer is under way
            return name
        return None

    def report(self, now: int, name: str, report: dict[str, float]) -> bytes | None:
        """The message to all others on a report that this gateway was given."""
        fresh = now - self._told_at.get(name, -LEAST_AGE) < LEAST_AGE  # from another gateway
        self._known(name, now)
        if fresh or not self._asks or not any(field in report for field in self._fields):
            return None
        self._told_at[name] = now
        figures = bytes(packed(report.get(field, 0.0)) for field in self._fields)
        return bytes((Word.REPORT,)) + short(name) + figures

    def reading(self, name: str, time: int) -> bytes:
        """The message on a long read of this gateway's (us): reports tell of what waits there and not of what
        is read, so that the reader looks idle for seconds to all others."""
        return bytes((Word.READING,)) + short(name) + bytes((packed(time / 1e6),))

    def estimates(self, known: api.PeerEstimates) -> bytes:
        """The message on what this gateway knows of the whole fleet."""
        figures = (
            known.token_time, known.prompt_tokens / PROMPT_UNIT, known.writer_rate * SECOND,
            known.mixed_rate * SECOND, known.demand * SECOND / DEMAND_UNIT, known.read_part,
        )  # fmt: skip
        return bytes((Word.ESTIMATES, *map(packed, figures)))

    @staticmethod
    def is_of_fleet(message: bytes) -> bool:
        """Whether it is on the whole fleet, and not on one engine."""
        return message[:1] == bytes((Word.ESTIMATES,))

    def fault(self, now: int, name: str, word: Word) -> bytes | None:
        """The message on a fault that this gateway met; none where all were just told."""
        if not self._fault(now, name, word):
            return None
        return bytes((word,)) + short(name)

    def _fault(self, now: int, name: str, word: Word) -> bool:
        if now - self._fault_at.get(name, {}).get(word, -FAULT_AGE) < FAULT_AGE:
            return False
        self._fault_at.setdefault(name, {})[word] = now
        if word is Word.REFUSES:
            self._known(name, now + GONE_AGE - LEAST_AGE)
        return True

    def read(self, message: bytes) -> Told:
        """What a peer says of an engine. Raises BadWord."""
        if not 1 + ID_BYTES <= len(message) <= MOST_BYTES or message[0] not in ENGINE_WORDS:
            raise BadWord(f"{len(message)} bytes, beginning {message[:1]!r}")
        word, figures = Word(message[0]), message[1 + ID_BYTES :]
        fields = {Word.REPORT: self._fields, Word.READING: (api.READING,)}.get(word, ())
        if len(figures) != len(fields):
            raise BadWord(f"{len(figures)} figures with {word.name}")
        report = {field: unpacked(b) for field, b in zip(fields, figures, strict=True)}
        return Told(word, message[1 : 1 + ID_BYTES], report)

    @staticmethod
    def read_estimates(message: bytes) -> api.PeerEstimates:
        """What a peer knows of the whole fleet. Raises BadWord."""
        if len(message) != 1 + ESTIMATES:
            raise BadWord(f"{len(message) - 1} figures with {Word.ESTIMATES.name}")
        token_time, prompt, writers, mixed, demand, part = map(unpacked, message[1:])
        return api.PeerEstimates(
            token_time, prompt * PROMPT_UNIT, writers / SECOND, mixed / SECOND,
            demand * DEMAND_UNIT / SECOND, part,
        )  # fmt: skip

    def take(self, now: int, told: Told) -> api.ProbeEnded | None:
        """What a peer's word means to the module; nothing for an engine that is not on this list."""
        names = self._names.get(told.engine, ())
        if len(names) != 1:
            return None
        (name,) = names
        if told.word is Word.REPORT:
            self._told_at[name] = now
            self._known(name, max(now, self._known_at.get(name, 0)))
        if told.report:
            return api.ProbeEnded(name, Outcome.SERVED, 0, told.report)
        if not self._fault(now, name, told.word):
            return None
        return api.ProbeEnded(name, FAULTS[told.word], 0, detail=int(told.word is Word.REFUSES))
