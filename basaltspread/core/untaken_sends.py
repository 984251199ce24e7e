"""What was written to engines and given up unanswered: an engine that hangs may take it as it wakes up.

It owns this bounded list. It does no I/O, and never decides what is done about it. An operation costs a
constant few steps, an entry some 200 bytes.
"""

from __future__ import annotations

from basaltspread.core.held_ledger import HeldKind

MOST_UNTAKEN = 512  # of all engines


class UntakenSends:
    """By engine: for which requests it may yet hold something, and what; the oldest first."""

    def __init__(self) -> None:
        self._by_engine: dict[str, dict[tuple[str, HeldKind], None]] = {}
        self._order: dict[tuple[str, str, HeldKind], None] = {}

    def __len__(self) -> int:
        return len(self._order)

    def add(self, engine: str, request: str, kind: HeldKind) -> bool:
        """Whether there was room; the oldest goes if there was none."""
        self._by_engine.setdefault(engine, {})[request, kind] = None
        self._order[engine, request, kind] = None
        if len(self._order) <= MOST_UNTAKEN:
            return True
        oldest = next(iter(self._order))
        del self._order[oldest]
        self._discard(*oldest)
        return False

    def take(self, engine: str) -> list[tuple[str, HeldKind]]:
        """All that this engine may have taken, which is known no more afterwards."""
        found = list(self._by_engine.pop(engine, ()))
        for request, kind in found:
            del self._order[engine, request, kind]
        return found

    def _discard(self, engine: str, request: str, kind: HeldKind) -> None:
        sends = self._by_engine[engine]
        del sends[request, kind]
        if not sends:
            del self._by_engine[engine]
