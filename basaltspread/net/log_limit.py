"""Log lines that come once a second at most; what they are about is counted each time."""

from __future__ import annotations

import time


class OnceASecond:
    """Says whether a line may be written now."""

    def __init__(self) -> None:
        self._second = -1

    def due(self) -> bool:
        """True for the first call in each second of the monotonic clock."""
        second = int(time.monotonic())
        if second == self._second:
            return False
        self._second = second
        return True
