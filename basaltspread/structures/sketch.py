"""A sketch of a distribution that forgets: counts in buckets whose bounds grow by a fixed ratio.

It owns counts and nothing else. It must never keep the values themselves, nor grow with their number.
"""

from __future__ import annotations

import math

RATIO = 1.1  # between two bounds: a quantile is at most this much too high, and never too low
LEAST = 100.0  # values up to this share one bucket
BUCKETS = 160  # the last one ends at LEAST * RATIO ** 159, some 380 million


class Sketch:
    """Quantiles of the last few hundred values, for positive numbers of any one unit.

    `add` costs O(1), `quantile` O(buckets) at most once in each `FRESH` adds; memory is a list of 160 floats
    (about 5 kB with its figures), whatever comes. Once the weight passes `memory`, all counts are halved, so
    that a value counts half after that many more. Against a sorted list of the last 512 values (see
    benchmarks/toolcalls.py) an add is several times cheaper and the error is bounded by RATIO.
    """

    FRESH = 8

    __slots__ = ("_cache", "_counts", "_memory", "_since", "weight")

    def __init__(self, memory: int = 512) -> None:
        self._counts = [0.0] * BUCKETS
        self._memory = memory
        self.weight = 0.0
        self._cache: dict[float, float] = {}
        self._since = 0

    def add(self, value: float) -> None:
        at = 0
        if value > LEAST:
            at = min(BUCKETS - 1, math.ceil(math.log(value / LEAST) / math.log(RATIO)))
        self._counts[at] += 1.0
        self.weight += 1.0
        self._since += 1
        if self._since >= self.FRESH or self.weight <= self.FRESH:
            self._cache.clear()
            self._since = 0
        if self.weight >= 2 * self._memory:
            self._counts = [count / 2 for count in self._counts]
            self.weight /= 2

    def quantile(self, share: float) -> float:
        """The least bound that `share` of the values do not exceed; 0 of nothing."""
        if not self.weight:
            return 0.0
        found = self._cache.get(share)
        if found is None:
            found = self._cache[share] = self._look_up(share)
        return found

    def _look_up(self, share: float) -> float:
        wanted, seen = share * self.weight, 0.0
        for at, count in enumerate(self._counts):
            seen += count
            if count and seen >= wanted - 1e-9:
                return float(LEAST * RATIO**at)
        return float(LEAST * RATIO ** (BUCKETS - 1))
