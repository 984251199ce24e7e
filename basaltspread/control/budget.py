"""How much may be sent again, over the whole gateway: a share of the first tries, whatever fails.

It owns the count. It must never be passed by: a repeated attempt or a second copy that did not ask here first
is a fault, as it is what turns a server that falters into one that is down.
"""

from __future__ import annotations

TRICKLE = 0.2  # tries a second that are earned by time alone, so that a quiet gateway can repeat a call


class RetryBudget:
    """A bucket of tries: each first try puts `share` of one in, each further try takes one out.

    It holds `reserve` at most, so that in any stretch of time in which F first tries are made, at most
    `share * F + reserve + TRICKLE * seconds` are repeated. Both calls cost O(1).
    """

    __slots__ = ("_at", "denied", "reserve", "share", "spent", "tokens")

    def __init__(self, share: float, reserve: float) -> None:
        self.share, self.reserve = share, reserve
        self.tokens = reserve
        self._at = 0
        self.spent = self.denied = 0

    def first(self, now: int) -> None:
        """A first try is made. `now` in microseconds."""
        self._pass(now)
        self.tokens = min(self.reserve, self.tokens + self.share)

    def spend(self, now: int) -> bool:
        """Whether one more may be sent again; if so, it counts as sent."""
        self._pass(now)
        if self.tokens < 1:
            self.denied += 1
            return False
        self.tokens -= 1
        self.spent += 1
        return True

    def reconfigure(self, share: float, reserve: float) -> None:
        """What was earned is kept, up to the new reserve."""
        self.share, self.reserve = share, reserve
        self.tokens = min(self.tokens, reserve)

    def _pass(self, now: int) -> None:
        if self._at:
            self.tokens = min(self.reserve, self.tokens + max(0, now - self._at) / 1e6 * TRICKLE)
        self._at = max(now, self._at)


def pause(tries: int, base: int, longest: int, lot: float) -> int:
    """How long to wait before the next try after so many, in the unit of `base`: doubled each time, drawn
    over its upper half by `lot` in [0, 1), so that those that failed together do not come back together."""
    return int(min(longest, base * 2 ** min(tries - 1, 16)) * (0.5 + 0.5 * lot))
