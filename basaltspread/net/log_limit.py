"""Log lines that come a bounded number of times a second; what they are about is counted each time."""

from __future__ import annotations

import time


class LineLimit:
    """Says whether a line may be written now: the first `most` of each second of the monotonic clock."""

    def __init__(self, most: int = 1) -> None:
        self._most = most
        self._second = -1
        self._written = 0

    def due(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._written = second, 0
        self._written += 1
        return self._written <= self._most
