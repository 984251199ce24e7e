"""The choice of a reader where many routers choose: by chance, weighed by expected load.

What one router of many knows of a reader is old, and all the others know the same. So a reader is drawn, by
what is known and by how much will be sent before the next news (water_filling). Affinity stays where it pays:
a reader that keeps more of the prompt is taken unless it is known to be slower than the drawn one by more
than news can tell. Which reader that is spreads by conversation, so that agreeing on it crowds nobody.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import inf

from basaltspread import interface as api
from basaltspread.control.load_view import Request, Worker
from basaltspread.control.measured_hits import ReadPlace
from basaltspread.interface import Role
from basaltspread.policy.candidates import Candidates, conversation_key
from basaltspread.policy.health import Health
from basaltspread.policy.waits import REPORT_AGE, Waits
from basaltspread.records import record
from basaltspread.structures.hashing import hashed, point, rank
from basaltspread.structures.water_filling import drawn, fill_shares

EXPLORED = 0.25  # share of conversations that go home whether it pays or not
KEPT_PART = 0.5  # of a reader's memory that keeps what may be asked for again
LAG_SLACK = 30_000.0  # us that a reader which keeps more may always be slower
NEAR_BUSY = 0.5  # part of what readers can do that is asked, up to which the own zone's come first
NEAR_SLACK = 60_000.0  # us by which, waiting longer, the own zone is left by all its routers


@record
class TextHomes:
    """The readers that a prompt's shared text is meant for."""

    workers: Sequence[Worker]
    everywhere: bool  # all readers are, as these would not forget it

    def without(self, worker: Worker) -> TextHomes:
        """These, less one."""
        return TextHomes([home for home in self.workers if home is not worker], self.everywhere)


@record
class ChosenReader:
    """A reader, what it is believed to keep of the prompt, and why it may."""

    worker: Worker
    kept: int  # tokens
    place: ReadPlace = ReadPlace()

    def unread(self, request: Request) -> int:
        """Tokens that it would have to read."""
        return max(1, request.a.prompt_tokens - self.kept)


class ReaderDraw(Health, Waits):
    """One router of many: its choice of a reader. Costs O(n log n) in the readers that are looked at."""

    candidates: Candidates

    def _draw_reader(self, request: Request, pool: Sequence[Worker], homes: TextHomes) -> ChosenReader:
        usual = self._pool_wait(Role.READER)
        waits = {worker.name: self._wait_at(worker, usual) for worker in pool}
        coming = self._coming_reads(pool)
        pool = self._near_readers(request, pool, waits)
        reader = self._drawn_reader(request, pool, waits, coming)
        home = self._conversation_home(request, homes)
        kept = self._kept(request, pool, home, homes.everywhere)
        self.chosen_for = api.ChoiceReason.DRAWN
        keepers = [worker for worker in pool if worker is home or kept[worker.name] > kept[reader.name]]
        # Figures can't tell readers apart by less than what all will send them before the next.
        unheard = 0.0 if self._lately(reader) else usual
        latest = self._read_ends(request, reader, waits, kept) + coming + unheard + LAG_SLACK
        for keeper in sorted(keepers, key=lambda worker: -kept[worker.name]):
            if keeper is not reader and self._read_ends(request, keeper, waits, kept) <= latest:
                self.chosen_for, reader = api.ChoiceReason.AFFINITY, keeper
                break
        return ChosenReader(reader, kept[reader.name], ReadPlace(reader is home, homes.everywhere))

    def _read_ends(
        self, request: Request, worker: Worker, waits: dict[str, float], kept: dict[str, int]
    ) -> float:
        """After how many us its read would end there."""
        unread = request.a.prompt_tokens - kept[worker.name]
        return waits[worker.name] + unread * self.token_time / self.slow_start.warmth(self.now, worker)

    def _near_readers(
        self, request: Request, pool: Sequence[Worker], waits: dict[str, float]
    ) -> Sequence[Worker]:
        """The own zone's, as far as these let wait no longer than others and could read twice their part of
        what is asked: to which zone traffic shifts shows too late. All, where nobody tells of waits."""
        near = [worker for worker in pool if worker.zone == self.s.zone]
        busy = self._readers_busy(pool)
        if not self.calm or not near or busy is None or busy > NEAR_BUSY:
            return pool
        longer = _mean([waits[worker.name] for worker in near]) - _mean(list(waits.values()))
        stays = 1.0 - longer / NEAR_SLACK
        return near if point(f"zone {conversation_key(request)}") < stays else pool

    def _drawn_reader(
        self, request: Request, pool: Sequence[Worker], waits: dict[str, float], coming: float
    ) -> Worker:
        """The better of two by own sends, which no other router knows."""
        capacities = [self.index.weight(w) * self.slow_start.warmth(self.now, w) for w in pool]
        shares = fill_shares([waits[w.name] for w in pool], capacities, coming * sum(capacities))
        key = f"reader {request.id} {request.sent} {len(pool)}"
        pair = [pool[drawn(shares, point(f"{key} {chance}"))] for chance in range(2)]
        return min(pair, key=lambda worker: len(worker.reads))

    def _coming_reads(self, pool: Sequence[Worker]) -> float:
        """What all routers will send a reader, in us of reading, before they know how it fares: no more than
        it can read by then; inf: not known."""
        age, busy = self._news_age(pool), self._readers_busy(pool)
        return inf if age is None or busy is None else min(1.0, busy) * age

    def _readers_busy(self, pool: Sequence[Worker]) -> float | None:
        """The part of what readers can do that is asked of them, as peers tell, else as this router sees."""
        demand, largest = self.estimates.demand(self.now), self.index.largest_weight(Role.READER)
        if self.token_time <= 0 or largest <= 0:
            return None
        if demand is not None:
            readers = max(1.0, self.index.warm_weight(self.now, Role.READER) / largest)
            return demand * self.token_time / readers
        seen = self._unseen(list(pool)) / REPORT_AGE
        return seen * self.read_time.size * self.token_time if seen > 0 else None

    def _kept(
        self, request: Request, pool: Sequence[Worker], home: Worker | None, everywhere: bool
    ) -> dict[str, int]:
        """By reader, the tokens of this prompt that need not be read there, by what was told of others."""
        prompt, text = request.a.prompt_tokens, text_tokens(request)
        elsewhere = self.hits.kept(ReadPlace(False, everywhere), prompt, text)
        kept = dict.fromkeys((worker.name for worker in pool), elsewhere)
        if home is not None:
            kept[home.name] = max(elsewhere, self.hits.kept(ReadPlace(True, everywhere), prompt, text))
        for worker, tokens in self.held.conversation_holders(request.a, pool, self.now):
            kept[worker.name] = max(kept[worker.name], int(self.hits.promised * tokens))
        return kept

    def _conversation_home(self, request: Request, homes: TextHomes) -> Worker | None:
        """Where its conversation goes as long as that pays: all routers rank alike."""
        key = conversation_key(request)
        pays = self.hits.pays(homes.everywhere, request.a.prompt_tokens, text_tokens(request))
        if not pays and point(f"explore {key}") >= EXPLORED:
            return None
        hash_of_key = hashed(key)
        return max(homes.workers, key=lambda worker: rank(hash_of_key, worker.hash), default=None)

    def _text_homes(self, request: Request, pool: Sequence[Worker]) -> TextHomes:
        """Of a pool of all readers, those that its shared text is spread over."""
        text = request.a.prefix
        if not text:
            return TextHomes(pool, True)
        count = self._homes_wanted(request, len(pool))
        if count >= len(pool):
            return TextHomes(pool, True)
        key = hashed(text)
        ranked = sorted(pool, key=lambda worker: (self._far(worker), -rank(key, worker.hash)))
        return TextHomes(ranked[:count], False)

    def _far(self, worker: Worker) -> bool:
        return self.calm and worker.zone != self.s.zone  # in a jam a zone's own are not enough

    def _homes_wanted(self, request: Request, readers: int) -> int:
        """So many that each is asked for the text again before as many other prompts as it remembers. A text
        that is hardly known is taken for as frequent as the others that came."""
        share = max(self.asked.add(request.a.prefix, self.now), self.asked.typical())
        memory = max((kind.memory_tokens for kind in self.s.kinds if kind.role is Role.READER), default=0)
        if not memory:
            return readers
        remembered = KEPT_PART * memory / max(1, request.a.prompt_tokens)
        return min(readers, max(1, round(share * remembered * readers)))


def text_tokens(request: Request) -> int:
    """Of the shared text at the beginning of its prompt."""
    return min(request.a.prefix_tokens, request.a.prompt_tokens) if request.a.prefix else 0


def _mean(figures: Sequence[float]) -> float:
    return sum(figures) / len(figures)
