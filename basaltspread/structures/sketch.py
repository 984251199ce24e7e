"""A sketch of a distribution that forgets: counts in buckets whose bounds grow by an eighth.

It owns counts and nothing else. It must never keep the values themselves, nor grow with their number.
"""

from __future__ import annotations

RATIO = 1.125  # a quantile is at most this much too high, and never too low
LEAST = 64  # values below it count as it
BUCKETS = 8 * 26  # eight for each doubling: the last begins near 4 thousand million


class Sketch:
    """Quantiles of the last few hundred values, for positive numbers of any one unit.

    `add` costs O(1): a bucket is told by a number's four leading bits. `quantile` costs O(buckets) at most
    once in `FRESH` adds. Memory is a list of 208 floats (some 7 kB with its figures), whatever comes. Once
    the weight passes twice `memory`, all counts are halved, so that a value counts half after that many more.
    """

    FRESH = 32

    __slots__ = ("_cache", "_counts", "_memory", "_since", "weight")

    def __init__(self, memory: int = 512) -> None:
        self._counts = [0.0] * BUCKETS
        self._memory = memory
        self.weight = 0.0
        self._cache: dict[float, float] = {}
        self._since = 0

    def add(self, value: float) -> None:
        whole = max(int(value), LEAST)
        size = whole.bit_length()
        at = (size - 7) * 8 + (whole >> (size - 4) & 7)
        self._counts[at if at < BUCKETS else BUCKETS - 1] += 1.0
        self.weight += 1.0
        self._since += 1
        if self._since >= self.FRESH or self.weight <= self.FRESH:
            self._cache.clear()
            self._since = 0
        if self.weight >= 2 * self._memory:
            self._counts = [count / 2 for count in self._counts]
            self.weight /= 2

    def quantile(self, share: float) -> float:
        """A bound that `share` of the values do not exceed, at most RATIO times the least such; 0 of
        nothing."""
        if not self.weight:
            return 0.0
        found = self._cache.get(share)
        if found is None:
            found = self._cache[share] = self._look_up(share)
        return found

    def _look_up(self, share: float) -> float:
        wanted, seen = share * self.weight - 1e-9, 0.0
        for at, count in enumerate(self._counts):
            seen += count
            if count and seen >= wanted:
                return _end(at)
        return _end(BUCKETS - 1)


def _end(at: int) -> float:
    """Where a bucket ends."""
    return float(9 + at % 8 << at // 8 + 3)
