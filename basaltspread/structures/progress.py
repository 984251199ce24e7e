"""Whether a peer that is in the middle of something moves: the one rule for slow peers.

It bounds progress, not time: whoever brings enough bytes in each window may take as long as it needs. Only
time in which this side waited for the peer counts, in s.
"""

from __future__ import annotations

LEAST_PROGRESS = 16  # bytes in a window


class Progress:
    """The progress of one peer. Each operation costs O(1)."""

    __slots__ = ("_came", "_least", "_waited")

    def __init__(self, least: int = LEAST_PROGRESS) -> None:
        self._waited, self._came, self._least = 0.0, 0, least

    def begins(self) -> None:
        """Something new is waited for."""
        self._waited, self._came = 0.0, 0

    def moved(self, size: int, waited: float) -> None:
        """So many bytes have come, after a wait of so many s."""
        self._waited += waited
        self._came += size
        if self._came >= self._least:
            self.begins()

    def time_left(self, window: float) -> float:
        """The s of waiting until it counts as stuck; 0 if it does already."""
        return max(0.0, window - self._waited)
