"""Which reader gets a prompt: gap test, capped prefix match, hashed home, else fewest running.

The order is the design's. Around it stand waits (a match must not wait longer than it saves), zones (in calm
the own comes first) and slow start. Where many routers choose, what each knows is old: reader_draw.py.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import sqrt

from basaltspread import interface as api
from basaltspread.control.load_view import Request, Worker
from basaltspread.interface import Role
from basaltspread.policy.candidates import conversation_key, text_key
from basaltspread.policy.reader_draw import LAG_SLACK, ChosenReader, ReaderDraw, TextHomes, text_tokens
from basaltspread.structures.hashing import hashed, rank

GAP = 16  # requests between the busiest and the idlest reader, fleet-wide, that ends prefix matching
LOAD_FACTOR = 2.0  # deviations over the mean that a reader with a match may be busy
HOME_SPREAD = 3.0  # homes of a text for each reader that its requests alone would keep busy
SPARE = 1.0  # requests that never make a difference between readers: counts are small whole numbers
AFFINITY = 3.0  # times the reading saved that a match may wait: a text read twice also costs memory
AFFINITY_AIM = 0.25  # share of its aim that a request may wait for that beyond the plain saving
COLD_LATER = 0.5  # share of its aim by which a read may end later at a reader in slow start
NEAR_CALM = 0.25  # expected wait, over the tightest aim, up to which the own zone's readers come first
Figures = dict[str, float]  # by worker name


class BusyCap:
    """The design's cap on how busy a reader with a match may be: the mean of the other readers and so many of
    their deviations (of n none is over sqrt(n-1) from the mean, itself left in). Made once for a pool; each
    question costs O(1)."""

    def __init__(self, counts: Sequence[float], told: Sequence[float]) -> None:
        """`counts` are requests by reader, weighed by the age of reports, `told` the same as last told."""
        self._count = len(counts)
        self._counts_sum, self._told_sum = sum(counts), sum(told)
        self._mean_told = self._told_sum / max(1, self._count)
        # Squares of distances from the mean: large sums of squares would lose the small differences.
        self._squares = sum((figure - self._mean_told) ** 2 for figure in told)

    def allows(self, count: float, told: float) -> bool:
        """Whether one of the readers, with these figures, is under the cap that the others set."""
        others = self._count - 1
        if others < 1:
            return True
        mean = (self._counts_sum - count) / others
        away = told - self._mean_told
        moved = -away / others  # how far the mean of the others lies from that of all
        variance = max(0.0, (self._squares - away * away) / others - moved * moved)
        return count <= mean + LOAD_FACTOR * sqrt(variance) + SPARE


class Pool:
    """The readers among which one is chosen, with what is believed of each; costs O(their number)."""

    def __init__(self, workers: list[Worker], counts: Figures, waits: Figures) -> None:
        self.workers, self.counts, self.waits = workers, counts, waits
        self._told = {w.name: len(w.reads) for w in workers}
        self._cap = BusyCap(list(counts.values()), [float(count) for count in self._told.values()])

    def not_hot(self, worker: Worker) -> bool:
        return self._cap.allows(self.counts[worker.name], self._told[worker.name])

    def mean_count(self) -> float:
        return sum(self.counts.values()) / len(self.counts)

    def gap(self) -> float:
        return max(self.counts.values()) - min(self.counts.values())


class ReaderChoice(ReaderDraw):
    """The choice of a reader."""

    def _reader_pool(self, request: Request) -> tuple[list[Worker], TextHomes]:
        """The readers that may get this prompt, and which of them are its text's homes."""
        few_calm = not self.many and self._expected_wait() <= NEAR_CALM * self.tightest
        self.calm = few_calm or bool(self._lags())  # of many, a full zone shows in readers' waits
        if self.candidates.few(Role.READER):
            pool = self._pool(request, self.candidates.readers(request, ()))
            if self.many:
                return pool, self._text_homes(request, pool)
            return pool, TextHomes(self._home_readers(request, pool), False)
        among = self.candidates.homes_among(self.calm)
        homes = self._homes_wanted(request, among) if self.many else self._homes(request.a.prefix, among)
        arc = self.candidates.arc(request, self.calm, homes)
        pool = self._pool(request, self.candidates.readers(request, arc))
        available = {worker.name for worker in pool}
        return pool, TextHomes([w for w in arc if w.name in available][:homes], homes >= among)

    def _choose_reader(self, request: Request, workers: list[Worker], homes: TextHomes) -> ChosenReader:
        """The design's order: gap test, then capped match or home, else fewest running; and what it holds."""
        if self.many:
            return self._draw_or_cold(request, workers, homes)
        arrival, wait = request.a, self._pool_wait(Role.READER)
        waits = {w.name: self._wait_at(w, wait) for w in workers}
        pool = Pool(workers, self._counts(workers), waits)
        held = self.held.tokens_by_worker(arrival, workers, self.now)
        shared = text_tokens(request)
        believed = dict(held)
        for home in homes.workers:
            believed[home.name] = max(held[home.name], shared)
        gap = GAP / max(1, self.s.routers)
        self.chosen_for = api.ChoiceReason.AFFINITY
        chosen = self._match_or_home(request, homes.workers, believed, pool) if pool.gap() <= gap else None
        if chosen is None:
            self.chosen_for = api.ChoiceReason.LEAST_LOADED
            chosen = self._fewest_running(request, pool)
        return ChosenReader(chosen, held[chosen.name])

    def _draw_or_cold(self, request: Request, workers: list[Worker], homes: TextHomes) -> ChosenReader:
        """Many routers: by chance, or where a unit of slow start was dealt."""
        chosen = self._draw_reader(request, workers, homes)
        wait = self._wait_at(chosen.worker, self._pool_wait(Role.READER))
        otherwise = wait + (request.a.prompt_tokens - chosen.kept) * self.token_time
        soon = self._soon_when_cold(request, workers, otherwise)
        if soon is None:
            return chosen
        self.chosen_for = api.ChoiceReason.SLOW_START
        return ChosenReader(soon, 0)

    def _soon_when_cold(self, request: Request, pool: list[Worker], otherwise: float) -> Worker | None:
        """Many routers: a reader in slow start that ends the whole read little later than `otherwise`. Few
        requests come where an allowance is, and it can't be kept for one that suits the reader better."""
        cold = [w for w in pool if self.slow_start.is_cold(self.now, w)]
        alone = request.a.prompt_tokens * self.token_time
        times = {w: self._wait_at(w, 0.0) + alone / self.slow_start.warmth(self.now, w) for w in cold}
        best = min(times, key=lambda w: times[w], default=None)
        soon = otherwise + COLD_LATER * request.aim
        return best if best is not None and times[best] < soon else None

    def _counts(self, pool: list[Worker]) -> Figures:
        """Own unfinished reads."""
        return {w.name: float(len(w.reads)) for w in pool}

    def _home_readers(self, request: Request, pool: list[Worker]) -> list[Worker]:
        """Readers that all routers agree on for this text, by what it needs of them."""
        if not pool:
            return []
        key = text_key(request)
        count = self._homes(request.a.prefix, len(pool))
        ranked = {w.name: (self._far(w), -rank(key, w.hash)) for w in pool}
        if count == 1:
            return [min(pool, key=lambda w: ranked[w.name])]
        return sorted(pool, key=lambda w: ranked[w.name])[:count]

    def _match_or_home(
        self, request: Request, homes: Sequence[Worker], held: dict[str, int], pool: Pool
    ) -> Worker | None:
        """The first by tokens believed held that is under the cap and not slower than they save."""
        busy = pool.mean_count()
        patient = min(pool.waits.values()) + self._pool_wait(Role.READER)
        at_home = {w.name for w in homes}
        key = hashed(conversation_key(request))
        matches = [w for w in pool.workers if held[w.name] or w.name in at_home]
        order = {
            w.name: (
                -held[w.name],
                pool.counts[w.name] > busy,
                w.name not in at_home,
                -rank(key, w.hash),
            )
            for w in matches
        }
        for worker in sorted(matches, key=lambda w: order[w.name]):
            patience = patient + self._saves(request, held[worker.name])
            if pool.not_hot(worker) and pool.waits[worker.name] <= patience:
                return worker
        return None

    def _fewest_running(self, request: Request, pool: Pool) -> Worker:
        """Fewest running; equals by the text's rank: what spills gathers at the same next home."""
        most, key = min(pool.counts.values()), text_key(request)
        equal = [w for w in pool.workers if pool.counts[w.name] <= most and pool.not_hot(w)]
        calm = min(pool.waits[w.name] for w in equal) + LAG_SLACK
        calmest = [w for w in equal if pool.waits[w.name] <= calm]
        return max(calmest, key=lambda w: (not self._far(w), rank(key, w.hash)))

    def _homes(self, prefix: str, readers: int) -> int:
        """Readers over which a text is spread: more for one that would fill its home. A session has one."""
        if not prefix:
            return 1
        share = self.asked.add(prefix, self.now)
        homes, wanted = 1, share * readers * HOME_SPREAD
        while homes < wanted:
            homes *= 2  # in powers, so that routers that count a little differently mostly agree
        return min(homes, readers)

    def _saves(self, request: Request, tokens: int) -> float:
        saved = tokens * self.token_time + LAG_SLACK
        return max(saved, min(AFFINITY * saved, AFFINITY_AIM * request.aim))
