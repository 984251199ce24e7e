"""What was written to engines and given up unanswered: an engine that hangs may take it as it wakes up.

It owns this bounded list. It does no I/O, and never decides what is done about it. An operation costs a
constant few steps, an entry some 200 bytes.
"""

from __future__ import annotations

from basaltspread.core.held_ledger import HeldKind

MOST_UNTAKEN = 512  # of all engines
RELEASES_OF_ONE = 12  # while its engine gives no sign


class UntakenSends:
    """By engine: for which requests it may yet hold something, and what; the oldest first."""

    def __init__(self) -> None:
        self._by_engine: dict[str, dict[tuple[str, HeldKind], None]] = {}
        self._releases_left: dict[tuple[str, str, HeldKind], int] = {}

    def __len__(self) -> int:
        return len(self._releases_left)

    def add(self, engine: str, request: str, kind: HeldKind) -> bool:
        """Whether there was room; the oldest goes if there was none."""
        self._by_engine.setdefault(engine, {})[request, kind] = None
        self._releases_left[engine, request, kind] = RELEASES_OF_ONE
        if len(self._releases_left) <= MOST_UNTAKEN:
            return True
        oldest = next(iter(self._releases_left))
        self._discard(*oldest)
        return False

    def release_again(self, engine: str, request: str, kind: HeldKind) -> int:
        """How many releases of it are left, this one among them; 0 once its engine has given a sign."""
        key = engine, request, kind
        left = self._releases_left.get(key, 0)
        if left > 0:
            self._releases_left[key] = left - 1
        return left

    def take(self, engine: str) -> list[tuple[str, HeldKind]]:
        """All that this engine may have taken, which is known no more afterwards."""
        found = list(self._by_engine.pop(engine, ()))
        for request, kind in found:
            del self._releases_left[engine, request, kind]
        return found

    def released_there(self, engine: str, request: str) -> None:
        """That engine itself has taken a release for this request."""
        for kind in HeldKind:
            self.settled(engine, request, kind)

    def settled(self, engine: str, request: str, kind: HeldKind) -> None:
        """What became of this one is known."""
        if (engine, request, kind) in self._releases_left:
            self._discard(engine, request, kind)

    def _discard(self, engine: str, request: str, kind: HeldKind) -> None:
        del self._releases_left[engine, request, kind]
        sends = self._by_engine[engine]
        del sends[request, kind]
        if not sends:
            del self._by_engine[engine]
