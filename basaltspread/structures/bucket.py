"""A bucket that fills with time, from which one is taken at a time.

It owns the arithmetic alone, and must never read a clock: the time is an argument, in microseconds.
"""

from __future__ import annotations


class Bucket:
    """Full at the start. Both figures and `take` cost O(1)."""

    __slots__ = ("_at", "level", "most", "rate")

    def __init__(self, rate: float, most: float) -> None:
        """`rate` a microsecond, `most` in it at once."""
        self.rate, self.most, self.level, self._at = rate, most, most, 0

    def take(self, now: int) -> bool:
        """Whether one was there to be taken; a part of one stays."""
        passed = now - self._at if self._at else 0
        self.level, self._at = min(self.most, self.level + self.rate * passed), now
        if self.level < 1:
            return False
        self.level -= 1
        return True
