"""What exchanges have shown of each engine: when it last answered, since when it owes an answer, and whether
the last exchange failed.

It owns these facts, each about one engine. It must never hold a fact about a request. Every operation costs a
constant few steps; an engine costs three dictionary entries at the most, some 300 bytes.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

SILENT_AFTER = 100_000  # us without an answer after which an engine is passed by where another will do


@dataclass(slots=True, eq=False, repr=False)
class EngineContacts:
    """All engines' contacts; times are in us of this process's clock."""

    answered: dict[str, int] = field(default_factory=dict)  # when each last said anything; the latest last
    waiting_since: dict[str, int] = field(default_factory=dict)  # first exchange since it last answered
    failed: set[str] = field(default_factory=set)  # engines that could not be reached when last tried

    def began(self, engine: str, now: int) -> None:
        """An exchange with it has begun."""
        self.waiting_since.setdefault(engine, now)

    def heard(self, engine: str, now: int) -> None:
        """Its process has said something."""
        self.waiting_since.pop(engine, None)
        self.answered.pop(engine, None)
        self.answered[engine] = now
        self.failed.discard(engine)

    def ended_here(self, engine: str, now: int) -> None:
        """This side has ended an exchange; before an answer was overdue that shows nothing."""
        if now - self.waiting_since.get(engine, 0) <= SILENT_AFTER:
            self.waiting_since.pop(engine, None)

    def lost(self, engine: str) -> None:
        """An exchange showed that it can't be reached, or that it is silent."""
        self.answered.pop(engine, None)
        self.failed.add(engine)

    def forget(self, engine: str) -> None:
        """It is not listed any more."""
        self.answered.pop(engine, None)
        self.waiting_since.pop(engine, None)
        self.failed.discard(engine)

    def answered_since(self, engine: str, when: int) -> int | None:
        """When it last answered, if that was after this time."""
        at = self.answered.get(engine)
        return at if at is not None and at > when else None

    def seems_silent(self, engine: str, now: int) -> bool:
        """Whether it could not be reached, or has owed an answer for long."""
        since = self.waiting_since.get(engine)
        return engine in self.failed or (since is not None and now - since > SILENT_AFTER)

    def latest(self) -> Iterator[str]:
        """Engines by their last answer, the latest first."""
        return reversed(self.answered)
