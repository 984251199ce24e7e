"""How long requests wait: at one worker, at a role's workers, and for a first token in all.

With many routers one alone sees little, so that reports, its own samples and the fading of both are weighed
here. All times are in microseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp2

from basaltspread.control.load_view import Attempt, Worker
from basaltspread.interface import Role
from basaltspread.policy.candidates import LOOKED_AT
from basaltspread.policy.health import MOST_RESTING
from basaltspread.policy.router_state import SECOND, TAUGHT, RouterState

LAG_MEMORY = 1 * SECOND  # half-life of what is known of a reader's queue, or as long as the queue itself
REPORT_AGE = 1 * SECOND  # that a report has mostly reached before the next: as old as engines keep them
REPORT_DELAY = SECOND // 2  # by which a report is old as it is told
LATELY_FACTOR = 4.0  # times the latest first-token times that a wait is never thought to exceed
USUAL_GAPS = 2.0  # mean gaps between first tokens that are no sign of a jam
FREE_OPEN = 4  # requests without a first token up to which their number says nothing
UNREAD_PART = 0.5  # of an unread end's wait, for its pool: in plain overload many end so, others do not wait


class Waits(RouterState):
    """Estimates of waits. Each costs O(1), and what looks at readers a bounded number of them."""

    def _wait_at(self, worker: Worker, pool: float) -> float:
        """How long a read sent there now would wait: as lately seen, fading to its pool's, or for own."""
        # Rarely heard: as long as it is deep.
        memory = max(LAG_MEMORY, worker.lag) if self.many else LAG_MEMORY
        warmth = self.slow_start.warmth(self.now, worker)
        if warmth < 1.0 and self.many:  # its allowances keep its queue short, whatever waits elsewhere
            pool = 0.0
        lately = pool + (worker.lag - pool) * exp2((worker.lag_at - self.now) / memory)
        own = sum(worker.reads.values()) * self.token_time / warmth
        return max(lately, own, worker.busy_until - self.now)

    def _lags(self) -> list[float]:
        """Many routers: what warm readers let wait that were told of lately; none where these are too few. Of
        a large fleet an even sample, another one each time: its mean is that of all within a few percent."""
        if not self.many:
            return []
        readers = self.index.group(Role.READER).sample(self.now, LOOKED_AT)
        readers = [w for w in readers if not self.slow_start.is_cold(self.now, w)]
        lags = [w.lag for w in readers if self._lately(w)]
        return lags if len(lags) > MOST_RESTING * len(readers) else []

    def _pool_wait(self, role: Role) -> float:
        """What a pool lets wait: the mean of what was told of its readers lately, else as this router saw."""
        if role is Role.READER and (lags := self._lags()):
            return sum(lags) / len(lags)
        return self.stage_wait[role].median(self.now) if self.many else 0.0

    def _news_age(self, workers: Sequence[Worker]) -> float | None:
        """How old what is known of these workers is in the mean, in us; None: nothing is known of any."""
        ages = [self.now - worker.figures_at for worker in workers if worker.figures_at is not None]
        return REPORT_DELAY + sum(ages) / len(ages) if ages else None

    def _lately(self, worker: Worker) -> bool:
        return bool(worker.report) and self.now - worker.lag_at < 2 * REPORT_AGE

    def _expected_wait(self) -> float:
        """Time to a first token to expect now: requests without one over the rate of them (Little's law)."""
        rate = max(r.young(self.now) for r in self.first_rates)  # the short one follows a burst at once
        if self.first_time.count < TAUGHT:
            return 0.0
        if len(self.unanswered) < FREE_OPEN:  # too few to tell: what the pools lately let wait
            return sum(self._pool_wait(role) for role in Role)
        silence = self.now - self.first_at - USUAL_GAPS / max(rate, 1e-9)  # few requests, few first tokens
        return min(len(self.unanswered) / max(rate, 1e-9), LATELY_FACTOR * max(self.latency, silence))

    def _unseen(self, pool: list[Worker]) -> float:
        """Requests that all routers send one of these before its next report: by so many it may differ."""
        if not self.many:
            return 0.0
        listed = len(self.index.group(pool[0].role))
        sent = self.first_rates[1].young(self.now) * REPORT_AGE * self.s.routers
        return sent / (len(pool) if listed <= LOOKED_AT else listed)

    def _unread(self, attempt: Attempt, waited: float) -> None:
        """Many routers: what ended unread had waited this long. A jam is not judged by its survivors."""
        if self.many and attempt.reading:
            worker = attempt.worker
            worker.lag, worker.lag_at = max(worker.lag, waited), self.now
            self.stage_wait[worker.role].add(self.now, UNREAD_PART * waited)
