"""Which share of all events each key has had lately.

It owns the counts alone. It must never read a clock: the time is an argument, in microseconds.
"""

from __future__ import annotations

from collections import OrderedDict

from basaltspread.structures.averages import Rate

AGAIN_WEIGHT = 0.3  # of one event
FIRST_AGAIN = 0.3  # as long as no event has come
LN_2 = 0.693  # what one event adds to a rate, times its half-life


class KeyShares:
    """Counts fade with a half-life. `add` costs O(1), and a step for each key that is forgotten: one that has
    not come for a half-life. A key takes some 200 bytes."""

    def __init__(self, half_life: int, prior: int) -> None:
        """`prior` events count beside those seen before a share is believed."""
        self._half_life, self._prior = half_life, prior
        self._rates: OrderedDict[str, Rate] = OrderedDict()
        self._all = Rate(half_life)
        self._again = FIRST_AGAIN  # EWMA of events whose key had come before

    def typical(self) -> float:
        """The share of a key of which hardly anything is known: what comes again, over the keys that came. So
        0 where each comes once, and an even part where all have come (Good and Turing)."""
        return self._again / max(1, len(self._rates))

    def add(self, key: str, now: int) -> float:
        """Count one event; the key's share of all, this event of its own left out."""
        self._again += AGAIN_WEIGHT * ((key in self._rates) - self._again)
        self._rates.setdefault(key, Rate(self._half_life)).add(now, 1.0)
        self._rates.move_to_end(key)
        self._all.add(now, 1.0)
        while now - self._rates[next(iter(self._rates))].when > self._half_life:
            self._rates.popitem(last=False)
        one = LN_2 / self._half_life
        return (self._rates[key].value - one) / (self._all.value + self._prior * one)
