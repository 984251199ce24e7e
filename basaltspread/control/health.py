"""Whether a server is used: well, resting after failures, on trial, or draining.

It owns one server's state and the times of its next trial. It must never send a real call as the trial: a
ping tells as much and costs no order. A drain is a word from outside and goes before all that is seen here.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FAILURES_IN_A_ROW = 5
SHARE_WINDOW = 20.0  # recent calls, smoothed
SHARE_FAILED = 0.5  # of them, at which it rests though some succeed
LEAST_SEEN = 10  # calls, before a share says anything
REST = 500_000  # us, first; doubled with each trial that fails
LONGEST_REST = 10_000_000


class Condition(Enum):
    WELL = "well"
    RESTING = "resting"
    ON_TRIAL = "on trial"


@dataclass(slots=True)
class Health:
    """All calls cost O(1). Times are microseconds; `lot` in [0, 1) is the caller's random number."""

    condition: Condition = Condition.WELL
    draining: bool = False
    in_a_row: int = 0
    failed: float = 0.0  # share of recent calls, smoothed
    seen: int = 0
    rests: int = 0  # in a row, without a success between them
    until: int = 0

    def usable(self) -> bool:
        return self.condition is Condition.WELL and not self.draining

    def succeeded(self) -> None:
        self.in_a_row = self.rests = 0
        self._note(0.0)

    def failed_once(self, now: int, lot: float) -> bool:
        """A call failed; whether the server rests from now on."""
        self.in_a_row += 1
        self._note(1.0)
        share = self.seen >= LEAST_SEEN and self.failed > SHARE_FAILED
        if self.condition is Condition.WELL and (self.in_a_row >= FAILURES_IN_A_ROW or share):
            self._rest(now, lot)
            return True
        return False

    def due(self, now: int) -> bool:
        """Whether its trial begins now; if so, it has begun."""
        if self.condition is Condition.RESTING and now >= self.until:
            self.condition = Condition.ON_TRIAL
            return True
        return False

    def tried(self, ok: bool, now: int, lot: float) -> bool:
        """The trial has ended; whether the server is used again."""
        if self.condition is not Condition.ON_TRIAL:
            return False
        if not ok:
            self._rest(now, lot)
            return False
        self.condition = Condition.WELL
        self.in_a_row, self.seen, self.failed = FAILURES_IN_A_ROW - 2, 0, 0.0  # two failures end it again
        return True

    def _rest(self, now: int, lot: float) -> None:
        self.condition = Condition.RESTING
        rest = min(LONGEST_REST, REST * 2 ** min(self.rests, 10))
        self.until = now + int(rest * (0.75 + 0.5 * lot))
        self.rests += 1

    def _note(self, failed: float) -> None:
        self.seen += 1
        self.failed += (failed - self.failed) / min(self.seen, SHARE_WINDOW)
