"""What one engine can do and no more: a prefill engine's queue, and a decode engine's slots and memory.

State machines without I/O: the host says when something comes, asks when the next thing ends, and is told
what has ended. All times are in microseconds of the host's clock, all sizes in tokens. An engine that has
started lately does a part of what it does when warm, which the host gives as a function of the time.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum

from basaltspread.lab.overload import page_limit
from basaltspread.lab.prefix_cache import PrefixCache, Prompt

Warmth = Callable[[int], float]  # at a time, the part of a warm engine's capacity in (0, 1]


class Refusal(Enum):
    """Why an engine turns a request away."""

    QUEUE_FULL = "queue full"


@dataclass(frozen=True)
class Ended:
    """Something that an engine has finished."""

    key: str
    at: int
    kept: int = 0  # tokens of its prompt that did not have to be read


class ReadQueue:
    """A prefill engine: it reads one prompt at a time, in the order in which they came, and drops what was
    given up before its turn. What its cache keeps of a prompt is not read again. Each call costs O(1) for
    each prompt that ends or is dropped."""

    def __init__(
        self, tokens_per_us: float, warmth: Warmth, longest_queue: int, cache: PrefixCache | None = None
    ) -> None:
        self._speed, self._warmth, self._longest = tokens_per_us, warmth, longest_queue
        self._cache = cache or PrefixCache(0)
        self._waiting: OrderedDict[str, Prompt] = OrderedDict()
        self._reading: tuple[Ended, Prompt] | None = None
        self.busy_time = 0  # us for which it has been reading

    def slow_down(self, times: float) -> None:
        """From now on it reads so many times slower."""
        self._speed /= times

    def offer(self, now: int, key: str, tokens: int, prompt: Prompt | None = None) -> Refusal | None:
        """A prompt has arrived; why it is turned away, if it is. `prompt` says what it begins with."""
        if len(self._waiting) >= self._longest:
            return Refusal.QUEUE_FULL
        self._waiting[key] = prompt or Prompt(max(1, tokens))
        self._begin_next(now)
        return None

    def give_up(self, now: int, key: str) -> None:
        """Nobody waits for it any more. What is being read is read to its end."""
        self._waiting.pop(key, None)

    def next_end(self) -> int | None:
        return self._reading[0].at if self._reading is not None else None

    def ended(self, now: int) -> list[Ended]:
        """The prompts whose reading has ended by now, in order."""
        found = []
        while self._reading is not None and self._reading[0].at <= now:
            ended, prompt = self._reading
            found.append(ended)
            self._cache.keep(prompt)
            self._reading = None
            self._begin_next(ended.at)
        return found

    def _begin_next(self, now: int) -> None:
        if self._reading is None and self._waiting:
            key, prompt = self._waiting.popitem(last=False)
            kept = self._cache.kept(prompt)
            time = max(1, int((prompt.tokens - kept) / (self._speed * self._warmth(now))))
            self.busy_time += time
            self._reading = Ended(key, now + time, kept), prompt

    @property
    def waiting_tokens(self) -> int:
        """Of the prompts that wait: what is being read does not count."""
        return sum(prompt.tokens for prompt in self._waiting.values())

    def unread(self, prompt: Prompt) -> int:
        """Tokens of it that would have to be read now."""
        return prompt.tokens - self._cache.kept(prompt)

    def time_to_read(self, now: int, tokens: int) -> int:
        """From now to the end of so many unread tokens, if they came now."""
        left = self._reading[0].at - now if self._reading is not None else 0
        waiting = sum(self.unread(prompt) for prompt in self._waiting.values())
        return int(max(0, left) + (waiting + tokens) / (self._speed * self._warmth(now)))

    def keys(self) -> list[str]:
        """All that it has, the one that is being read first."""
        reading = [self._reading[0].key] if self._reading is not None else []
        return reading + list(self._waiting)


@dataclass
class _Stream:
    """One answer in a slot."""

    key: str
    prompt_tokens: int
    first_at: int | None  # us of the host's clock; None: the first token is out
    ends_at: float  # on the engine's clock of tokens written by each stream


@dataclass(frozen=True)
class _Queued:
    key: str
    prompt_tokens: int
    answer_tokens: int
    fetch_time: int


@dataclass(frozen=True)
class WriterSize:
    """What a decode engine can do when warm."""

    tokens_per_us: float  # of all its answers together
    stream_tokens_per_us: float  # of one answer, however few there are
    first_token_time: int  # us to fetch a state and write the first token
    slots: int
    queue: int
    memory_tokens: int


@dataclass
class WriteSlots:
    """A decode engine: all answers in its slots advance alike, each slower the more there are beyond what it
    can do; what finds no slot or memory waits in turn. A call costs O(log of its answers)."""

    size: WriterSize
    warmth: Warmth
    _running: dict[str, _Stream] = field(default_factory=dict)
    _waiting: deque[_Queued] = field(default_factory=deque)
    _firsts: list[tuple[int, str]] = field(default_factory=list)
    _ends: list[tuple[float, str]] = field(default_factory=list)
    _written: float = 0.0  # tokens that a stream which has always been there would have written
    _at: int = 0
    _memory_used: int = 0
    busy_time: float = 0.0  # us, each counted by the used part of what it can do

    def slow_down(self, times: float) -> None:
        """From now on it writes so many times slower; for the begin of a day."""
        size = self.size
        self.size = replace(
            size, tokens_per_us=size.tokens_per_us / times,
            stream_tokens_per_us=size.stream_tokens_per_us / times,
            first_token_time=int(size.first_token_time * times),
        )  # fmt: skip

    def offer(
        self, now: int, key: str, prompt_tokens: int, answer_tokens: int, fetch_time: int = 0
    ) -> Refusal | None:
        """A request has arrived whose state takes so many us to fetch; why it is turned away, if it is."""
        self._advance(now)
        if len(self._waiting) >= self.size.queue:
            return Refusal.QUEUE_FULL
        self._waiting.append(_Queued(key, prompt_tokens, answer_tokens, fetch_time))
        self._fill_slots(now)
        return None

    def give_up(self, now: int, key: str) -> None:
        """Nobody waits for it any more: its slot and its memory are free at once."""
        self._advance(now)
        self._waiting = deque(queued for queued in self._waiting if queued.key != key)
        self._leave(key)
        self._fill_slots(now)

    def next_end(self) -> int | None:
        """When the next first token or the next end of an answer is due, if nothing else comes."""
        self._forget_gone()
        times = []
        if self._firsts:
            times.append(self._firsts[0][0])
        if self._ends:
            left = max(0.0, self._ends[0][0] - self._written)
            times.append(self._at + int(left / self._pace(self._at)) + 1)
        return min(times, default=None)

    def first_tokens(self, now: int) -> list[Ended]:
        """The answers whose first token has come by now."""
        self._advance(now)
        found = []
        while self._firsts and self._firsts[0][0] <= now:
            at, key = heapq.heappop(self._firsts)
            stream = self._running.get(key)
            if stream is not None and stream.first_at == at:
                stream.first_at = None
                found.append(Ended(key, at))
        return found

    def ended(self, now: int) -> list[Ended]:
        """The answers that are whole by now; their first tokens have been asked for before."""
        self._advance(now)
        found = []
        while self._ends and self._ends[0][0] <= self._written:
            end, key = heapq.heappop(self._ends)
            stream = self._running.get(key)
            if stream is not None and stream.ends_at == end:
                self._leave(key)
                found.append(Ended(key, now))
        self._fill_slots(now)
        return found

    @property
    def memory_share(self) -> float:
        return min(1.0, self._memory_used / self.size.memory_tokens)

    @property
    def has_room(self) -> bool:
        """Whether a request would begin at once."""
        return len(self._running) < self.size.slots and not self._waiting and self.memory_share < 1.0

    def load(self, now: int) -> float:
        """Answers that it has, over those that it can write at full pace together."""
        at_full_pace = self.size.tokens_per_us / self.size.stream_tokens_per_us * self.warmth(now)
        return (len(self._running) + len(self._waiting)) / at_full_pace

    def keys(self) -> list[str]:
        return list(self._running) + [queued.key for queued in self._waiting]

    def _pace(self, now: int) -> float:
        """Tokens a microsecond of each stream."""
        warmth = self.warmth(now)
        shared = self.size.tokens_per_us / max(1, len(self._running))
        return warmth * min(self.size.stream_tokens_per_us, shared)

    def _advance(self, now: int) -> None:
        if now > self._at:
            pace, time = self._pace(self._at), now - self._at
            self._written += time * pace
            can = self.size.tokens_per_us * max(self.warmth(self._at), 1e-9)
            self.busy_time += time * min(1.0, len(self._running) * pace / can)
            self._at = now

    def _fill_slots(self, now: int) -> None:
        while self._waiting and len(self._running) < self.size.slots:
            queued = self._waiting[0]
            if self._running and self._memory_used + queued.prompt_tokens > self.size.memory_tokens:
                return
            self._waiting.popleft()
            slowed = self.size.stream_tokens_per_us / max(self._pace(now), 1e-12)
            first_at = now + queued.fetch_time + int(self.size.first_token_time * slowed)
            stream = _Stream(queued.key, queued.prompt_tokens, first_at, self._written + queued.answer_tokens)
            self._running[queued.key] = stream
            self._memory_used += queued.prompt_tokens
            heapq.heappush(self._firsts, (first_at, queued.key))
            heapq.heappush(self._ends, (stream.ends_at, queued.key))

    def _leave(self, key: str) -> None:
        stream = self._running.pop(key, None)
        if stream is not None:
            self._memory_used -= stream.prompt_tokens

    def _forget_gone(self) -> None:
        while self._firsts and self._stale_first(*self._firsts[0]):
            heapq.heappop(self._firsts)
        while self._ends and self._stale_end(*self._ends[0]):
            heapq.heappop(self._ends)

    def _stale_first(self, at: int, key: str) -> bool:
        stream = self._running.get(key)
        return stream is None or stream.first_at != at

    def _stale_end(self, end: float, key: str) -> bool:
        stream = self._running.get(key)
        return stream is None or stream.ends_at != end


@dataclass
class ColdBudget:
    """Whether an engine in slow start falls: with the first arrival that brings the work of one window over
    what the operators' page lets it survive. Amortized O(1) for each arrival."""

    window: int  # us
    allowed_at: Callable[[int], float]  # mean requests in a window that begins then
    _arrivals: deque[tuple[int, float]] = field(default_factory=deque)
    _work: float = 0.0

    def falls(self, now: int, work: float) -> bool:
        """So much work, in mean requests, arrives now."""
        self._arrivals.append((now, work))
        self._work += work
        while self._arrivals[0][0] <= now - self.window:
            self._work -= self._arrivals.popleft()[1]
        return self._work > page_limit(self.allowed_at(self._arrivals[0][0]))
