"""How often, and how long at a time, a gateway asks discovery for news.

A call that is held until there is news keeps a place at discovery, also when its caller has gone. That is the
cheapest way for one gateway; where discovery has room for fewer calls than there are gateways, those who hold
one keep all the others out for good, and never learn of it. So with many gateways calls are held for a short
time, nobody holds one while it starts, as all may be starting, and whoever is turned away says so to all:
then for a while nobody holds.

It does no I/O and reads no clock. It must never decide what a list means.
"""

from __future__ import annotations

HOLD_MS = 5000  # of one call
SHORT_HOLD_MS = 2000  # of one of many gateways: so long it may keep others out before it hears of them
BRIEF_MS = 1  # of one that takes what is there
STARTING = 10_000_000  # us after a start for which one of many gateways holds no call
CROWDED = 60_000_000  # us for which nobody holds a call after someone was turned away
POLL = 1.0  # s at most between two brief calls; half of it at least
SHARE = 0.025  # s of that for each gateway, so that the calls of all together stay bounded
RETRY_PAUSE = 0.05  # s before the first new try; well within the 200 ms that a watch may pause
LONGEST_PAUSE = 1.0  # s; many gateways share discovery, and it may be short of room for all of them


def retry_pause(failures: int, lot: float, longest: float = LONGEST_PAUSE) -> float:
    """How long to leave discovery alone after so many failures in a row; `lot` in [0, 1) keeps gateways that
    failed together from coming back together."""
    return min(longest, RETRY_PAUSE * 2.0 ** min(failures - 1, 16)) * (0.5 + 0.5 * lot)


class Asking:
    """One gateway's manner of asking: the next call's hold, and the pause before it."""

    def __init__(self, gateways: int = 1, many: bool = False) -> None:
        self.failures = 0
        self._many, self._longest = many, max(POLL, SHARE * gateways)
        self._asked = False  # the first answer is wanted at once, news or not
        self._brief_until = -1  # not started
        self._told_until = 0

    def crowded(self, now: int) -> bool:
        """Discovery has no room for all, by an answer or another gateway's word; whether that is news."""
        if not self._many:
            return False
        new = now >= self._told_until
        self._told_until = now + CROWDED
        self._brief_until = max(self._brief_until, self._told_until)
        return new

    def brief(self, now: int) -> bool:
        """Whether calls are not to be held now."""
        return self._many and now < self._brief_until

    def hold(self, now: int) -> int:
        """ms that the next call may wait for news."""
        if self._brief_until < 0:
            self._brief_until = now + STARTING
        if not self._asked or self.brief(now):
            return BRIEF_MS
        return SHORT_HOLD_MS if self._many else HOLD_MS

    def answered(self, now: int, lot: float) -> float:
        """A call has brought its answer; seconds until the next."""
        self.failures = 0
        if not self._asked:
            self._asked = True
            if not self._many:
                return 0.0
        return self._longest * (0.5 + 0.5 * lot) if self.brief(now) else 0.0

    def failed(self, lot: float) -> float:
        self.failures += 1
        return retry_pause(self.failures, lot, self._longest)
