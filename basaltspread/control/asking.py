"""How often, and how long at a time, a gateway asks discovery for news.

A call that is held until there is news keeps a place at discovery. That is the cheapest way for one gateway;
where discovery has room for fewer calls than there are gateways, those who hold one keep all the others out
for good, and never learn of it. So whoever is turned away says so to all, and for a while nobody holds.

It does no I/O and reads no clock. It must never decide what a list means.
"""

from __future__ import annotations

HOLD_MS = 5000  # of one call
BRIEF_MS = 1  # of one that takes what is there
CROWDED = 10_000_000  # us for which nobody holds a call after someone was turned away
POLL = 1.0  # s at most between two brief calls; half of it at least
RETRY_PAUSE = 0.05  # s before the first new try; well within the 200 ms that a watch may pause
LONGEST_PAUSE = 1.0  # s; many gateways share discovery, and it may be short of room for all of them


def retry_pause(failures: int, lot: float) -> float:
    """How long to leave discovery alone after so many failures in a row; `lot` in [0, 1) keeps gateways that
    failed together from coming back together."""
    return min(LONGEST_PAUSE, RETRY_PAUSE * 2.0 ** min(failures - 1, 16)) * (0.5 + 0.5 * lot)


class Asking:
    """One gateway's manner of asking. The next call's hold, and the pause before it."""

    def __init__(self) -> None:
        self.failures = 0
        self._asked = False  # the first answer is wanted at once, news or not
        self._crowded_until = 0

    def crowded(self, now: int) -> bool:
        """Discovery has no room for all, by an answer here or another gateway's word; whether that is new."""
        new = now >= self._crowded_until
        self._crowded_until = now + CROWDED
        return new

    def hold(self, now: int) -> int:
        """ms that the next call may wait for news."""
        return HOLD_MS if self._asked and now >= self._crowded_until else BRIEF_MS

    def answered(self, now: int, lot: float) -> float:
        """A call has brought its answer; seconds until the next."""
        self.failures = 0
        if not self._asked:
            self._asked = True
            return 0.0
        return POLL * (0.5 + 0.5 * lot) if now < self._crowded_until else 0.0

    def failed(self, lot: float) -> float:
        self.failures += 1
        return retry_pause(self.failures, lot)
