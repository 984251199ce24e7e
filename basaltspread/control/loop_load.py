"""How far the event loop is behind, and what a decision costs: the measurements that admission goes by.

It holds figures alone, and must never read a clock: times are arguments, in microseconds of the monotonic
clock. Each operation costs O(1); memory is one number for each power of two of engines.
"""

from __future__ import annotations

from math import exp2

LAG_HALF_LIFE = 100_000  # us in which an old lag counts half: a loop that stays late shows it with each turn
LEARN = 0.1  # weight of a new sample in a running mean


class LoopLoad:
    """The lag is the largest one seen lately: one late turn delays everything that is due in it."""

    def __init__(self) -> None:
        self.most_lag = 0  # us, since the start
        self.decision_time = 0.0  # us, EWMA
        self.most_decision_time = 0  # us
        self.accept_wait = 0.0  # us that a connection has waited in the accept queue, EWMA
        self.most_accept_wait = 0  # us
        self._lag, self._lag_at = 0.0, 0
        self._decision_time_by_size: dict[int, float] = {}

    def late(self, now: int, lag: int) -> None:
        """Something was carried out `lag` us after it was due."""
        self._lag, self._lag_at = max(float(lag), self.lag(now)), now
        self.most_lag = max(self.most_lag, lag)

    def lag(self, now: int) -> float:
        """The largest lag of late in us, fading."""
        return self._lag * exp2((self._lag_at - now) / LAG_HALF_LIFE)

    def listed(self, took: int) -> None:
        """The decision module has taken in a list, maybe a whole one: no figure for what comes next."""
        self.most_decision_time = max(self.most_decision_time, took)

    def decided(self, took: int, engines: int) -> None:
        """The decision module has handled one other event in `took` us, with so many engines listed."""
        self.most_decision_time = max(self.most_decision_time, took)
        self.decision_time += LEARN * (took - self.decision_time)
        size = 1 << max(0, engines - 1).bit_length()
        known = self._decision_time_by_size.get(size, float(took))
        self._decision_time_by_size[size] = known + LEARN * (took - known)

    def accepted(self, waited: int) -> None:
        """A connection was accepted that had waited for so long."""
        self.most_accept_wait = max(self.most_accept_wait, waited)
        self.accept_wait += LEARN * (waited - self.accept_wait)

    def figures(self, now: int) -> dict[str, int]:
        """All of it by name, in us; `decision_us_up_to_N` is the mean with at most N engines listed."""
        by_size = {f"decision_us_up_to_{n}": round(t) for n, t in self._decision_time_by_size.items()}
        return {
            "loop_lag_us": round(self.lag(now)),
            "most_loop_lag_us": self.most_lag,
            "decision_us": round(self.decision_time),
            "most_decision_us": self.most_decision_time,
            "accept_wait_us": round(self.accept_wait),
            "most_accept_wait_us": self.most_accept_wait,
            **by_size,
        }
