"""Stand-ins for engines that can do so much and no more: the laboratory's queue and slots, in real time.

They take their sizes from the request's facts, as the protocol's page tells them.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

from basaltspread.lab.conversations import MEAN_UNREAD_PART
from basaltspread.lab.prefix_cache import PrefixCache, Prompt
from basaltspread.lab.queues import ReadQueue, WriterSize, WriteSlots
from soak.engines import Engine, Fleet, Head, Role, reply
from soak.observations import HeldKind, Work

SECOND = 1_000_000
MEAN_PROMPT, MEAN_ANSWER = 2400, 200  # tokens
STREAM_TIME, FIRST_TIME = SECOND * 2 // 5, 40_000  # us of one mean answer alone
CACHE_TIME = 10 * SECOND  # of reading at full speed that fills an engine's cache
SLOTS = 2.0  # times the answers that a decode engine can write at full pace
READ_QUEUE_TIME, WRITE_QUEUE_TIME = 3 * SECOND, SECOND // 2  # us that a full queue of mean requests takes
LEAST_QUEUE = 4
REPORT_EVERY, REPORT_DELAY = 0.8, 0.3  # s


def clock() -> int:
    """Microseconds of the runner's monotonic clock."""
    return time.monotonic_ns() // 1000


@dataclass
class Figures:
    """What was done, for the judge."""

    turned_away: int = 0
    reads: int = 0
    read_tokens: int = 0
    kept_tokens: int = 0  # of prompts that did not have to be read
    cold_reads: int = 0
    cold_writes: int = 0
    arrivals: list[tuple[int, float]] = field(default_factory=list)  # us, and mean requests, while cold


class QueueingEngine(Engine):
    """One engine without a proxy."""

    def __init__(
        self, fleet: Fleet, name: str, role: Role, zone: str, seed: int, host: str, capacity: float,
        cold_start: float, warm_within: float,
    ) -> None:  # fmt: skip
        """`capacity` is in mean requests a second when warm; `warm_within` s after a start it is that."""
        super().__init__(fleet, name, role, zone, seed, host, direct=True)
        self._capacity, self._cold_start, self._warm_within = capacity, cold_start, warm_within
        self.figures, self.started_at = Figures(), 0
        self._done: dict[str, asyncio.Future[None]] = {}
        self._kept: dict[str, int] = {}  # tokens of a prompt whose reading has ended
        self._report = ""
        self._changed = asyncio.Event()
        self._beside: set[asyncio.Task[None]] = set()
        self._begin_work()

    def _begin_work(self) -> None:
        per_us = self._capacity / SECOND
        if self.role is Role.READER:
            longest = max(LEAST_QUEUE, int(READ_QUEUE_TIME * per_us))
            speed = per_us * MEAN_PROMPT * MEAN_UNREAD_PART
            cache = PrefixCache(int(CACHE_TIME * speed))
            self._work_left: ReadQueue | WriteSlots = ReadQueue(speed, self.warmth, longest, cache)
            return
        slots = max(LEAST_QUEUE, int(SLOTS * per_us * STREAM_TIME))
        queue = max(LEAST_QUEUE, int(WRITE_QUEUE_TIME * per_us))
        size = WriterSize(
            per_us * MEAN_ANSWER, MEAN_ANSWER / STREAM_TIME, FIRST_TIME, slots, queue, slots * MEAN_PROMPT
        )
        self._work_left = WriteSlots(size, self.warmth)

    def warmth(self, now: int) -> float:
        """The part of its capacity that it has at this time."""
        if not self.started_at:
            return 1.0
        grown = min(1.0, (now - self.started_at) / (self._warm_within * SECOND))
        return self._cold_start + (1 - self._cold_start) * grown

    async def start(self) -> None:
        await super().start()
        for task in (self._run(), self._renew_report()):
            running = asyncio.create_task(task)
            self._beside.add(running)
            running.add_done_callback(self._beside.discard)

    def die(self) -> None:
        for task in list(self._beside):
            task.cancel()
        super().die()

    def restart_cold(self) -> None:
        """Its process has ended, and another begins: nothing is left of its work."""
        self.started_at, self._done = clock(), {}
        self._begin_work()

    async def _run(self) -> None:
        """Tells whoever waits as work ends."""
        while True:
            due = self._work_left.next_end()
            self._changed.clear()
            wait = None if due is None else max(0, due - clock()) / SECOND
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait()
            except TimeoutError:
                pass
            now, work = clock(), self._work_left
            if isinstance(work, WriteSlots):
                self._wake([f"{ended.key} first" for ended in work.first_tokens(now)])
            over = work.ended(now)
            self._kept.update((ended.key, ended.kept) for ended in over if ended.key in self._done)
            self._wake([ended.key for ended in over])

    def _wake(self, keys: list[str]) -> None:
        for key in keys:
            if (done := self._done.pop(key, None)) is not None and not done.done():
                done.set_result(None)

    def _wait_for(self, key: str) -> asyncio.Future[None]:
        self._done[key] = asyncio.get_running_loop().create_future()
        self._changed.set()
        return self._done[key]

    async def _renew_report(self) -> None:
        """What it tells is true, and late."""
        while True:
            work, report = self._work_left, ""
            if isinstance(work, ReadQueue):
                report = f"x0=0,x1={work.waiting_tokens / 1000:.2f}"
            else:
                report = f"x0={work.memory_share:.3f},x1=0"
            await asyncio.sleep(REPORT_DELAY)
            self._report = "TEXT " + report
            await asyncio.sleep(self._lot.uniform(0.5, 1.0) * REPORT_EVERY)

    def probe_report(self) -> str:
        return self._report

    def _size(self, head: Head) -> tuple[int, int]:
        """Tokens of the prompt and of the answer."""
        facts = self._facts(head)
        return int(facts.get("prompt_len", MEAN_PROMPT)), int(facts.get("max_out", MEAN_ANSWER))

    @staticmethod
    def _facts(head: Head) -> dict[str, str]:
        return dict(fact.partition("=")[::2] for fact in head.fields.get("x-facts", "").split(","))

    def _prompt(self, head: Head) -> Prompt:
        """The prompt, and what it begins with."""
        facts = self._facts(head)
        return Prompt(
            int(facts.get("prompt_len", MEAN_PROMPT)), facts.get("prefix", ""),
            int(facts.get("prefix_len", 0)), head.fields.get("x-session-key", ""),
        )  # fmt: skip

    def _note_arrival(self, work: float) -> None:
        if self.started_at and clock() - self.started_at < self._warm_within * SECOND:
            self.figures.arrivals.append((clock(), work))

    async def _read(self, head: Head, writer: asyncio.StreamWriter) -> None:
        prompt = self._prompt(head)
        self._note_arrival(prompt.tokens / MEAN_PROMPT)
        key = f"{head.request} {clock()}"
        assert isinstance(self._work_left, ReadQueue)
        if self._work_left.offer(clock(), key, prompt.tokens, prompt) is not None:
            self.figures.turned_away += 1
            reply(writer, 503, extra="X-Unprocessed: 1\r\n")
            return
        try:
            await self._wait_for(key)
        except asyncio.CancelledError:
            self._work_left.give_up(clock(), key)
            raise
        if not self._gateway_waits(head.request, writer):
            raise ConnectionResetError
        kept = self._kept.pop(key, 0)
        self.figures.reads += 1
        self.figures.read_tokens += prompt.tokens
        self.figures.kept_tokens += kept
        self.figures.cold_reads += self.started_at > 0
        self.fleet.hold(self, head.request, HeldKind.STATE)
        reply(writer, 202, b'{"cached_tokens":%d}' % kept)

    async def _write(self, work: Work, head: Head, writer: asyncio.StreamWriter) -> None:
        prompt, answer = self._size(head)
        self._note_arrival((prompt / MEAN_PROMPT + answer / MEAN_ANSWER) / 2)
        key, slots = f"{work.request} {clock()}", self._work_left
        assert isinstance(slots, WriteSlots)
        if slots.offer(clock(), key, prompt, answer) is not None:
            self.figures.turned_away += 1
            work.refused = True
            reply(writer, 503, extra="X-Unprocessed: 1\r\n")
            return
        self.fleet.waiting[work.request] += 1
        whole = self._wait_for(key)
        try:
            await self._wait_for(f"{key} first")
            self.fleet.taken(work.request)
        except asyncio.CancelledError:
            slots.give_up(clock(), key)
            raise
        finally:
            self.fleet.waiting[work.request] -= 1
        self.figures.cold_writes += self.started_at > 0
        await self._stream(work, writer, whole)
