"""What may be held for one request at engines: one entry for each state and place, and what is known of it.

It owns the entries and the clock that the rule on held state counts by. Only evidence about an entry changes
that entry. It does no I/O, and never decides that something is released: it is told.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum


class HeldKind(Enum):
    """What an engine can hold for a request."""

    STATE = "state"  # what a reader has read, until a writer fetches it
    PLACE = "place"  # a slot and memory at a writer


class Knowledge(Enum):
    """What is known of an entry."""

    ASKED = "asked"  # the question for a place is out, and its answer has not come
    POSSIBLE = "possible"  # nothing shows that it is not held
    KEPT = "kept"  # its engine has said so


@dataclass(slots=True, eq=False)
class HeldEntry:
    """One thing that may be held; `since` is in us of this process's clock. Some 120 bytes."""

    kind: HeldKind
    engine: str
    since: int
    knowledge: Knowledge
    released: bool = False  # a release has gone round; its engine may yet take the question
    renewed_at: int | None = None  # when it was asked for again, until that is answered
    waits_for: int | None = None  # the attempt that a release left it to, as long as that is out


@dataclass(slots=True, eq=False)
class HeldLedger:
    """The entries of one request: a handful, so that each operation looks at all of them."""

    _entries: dict[tuple[HeldKind, str], HeldEntry] = field(default_factory=dict)
    confirmed_at: int = 0  # the last outcome of an attempt that a running engine had

    def __iter__(self) -> Iterator[HeldEntry]:
        return iter(self._entries.values())

    def __len__(self) -> int:
        return len(self._entries)

    def holds(self) -> bool:
        """Whether something may be held that nobody has been told to release."""
        return any(not entry.released for entry in self)

    def keeps_place(self) -> bool:
        """Whether an engine has said that it keeps a place."""
        return bool(self.kept_places())

    def kept_places(self) -> list[HeldEntry]:
        """The places that engines have said that they keep."""
        return [
            entry
            for entry in self
            if entry.kind is HeldKind.PLACE and entry.knowledge is Knowledge.KEPT and not entry.released
        ]

    def since(self) -> int | None:
        """From when on the rule counts: the oldest entry that no attempt was left, or the last outcome, if
        that is later; None where nothing may be held."""
        times = [entry.since for entry in self if not entry.released and entry.waits_for is None]
        return max(min(times), self.confirmed_at) if times else None

    def question(self, engine: str) -> HeldEntry | None:
        """The question for a place there that has not been answered."""
        entry = self._entries.get((HeldKind.PLACE, engine))
        return entry if entry is not None and entry.knowledge is Knowledge.ASKED else None

    def questions(self) -> list[str]:
        """Engines that have not answered a question for a place."""
        return [entry.engine for entry in self if entry.knowledge is Knowledge.ASKED]

    def add(self, kind: HeldKind, engine: str, since: int, knowledge: Knowledge) -> HeldEntry:
        """One more; where one was known, the older time holds until it has ended."""
        known = self._entries.get((kind, engine))
        if known is not None and not known.released and kind is HeldKind.PLACE:
            since = min(since, known.since)
        entry = self._entries[kind, engine] = HeldEntry(kind, engine, since, knowledge)
        return entry

    def end(self, entry: HeldEntry) -> None:
        """Its engine holds nothing any more, or never has."""
        self._entries.pop((entry.kind, entry.engine), None)

    def states_gone(self) -> None:
        """A writer has found none of the states that readers kept."""
        for entry in [e for e in self if e.kind is HeldKind.STATE and e.knowledge is Knowledge.KEPT]:
            self.end(entry)

    def outcome(self, now: int) -> None:
        """An attempt that a running engine had has ended."""
        self.confirmed_at = now

    def release(self) -> list[HeldEntry]:
        """All is released. What may yet be taken stays as that; returns the entries that have ended."""
        ended = [entry for entry in self if entry.knowledge is not Knowledge.ASKED]
        for entry in ended:
            self.end(entry)
        for entry in self:
            entry.released = True
        return ended

    def left_to(self, attempt: int, engine: str, now: int) -> None:
        """A release passes over the state that this attempt waits for, if it has arrived."""
        entry = self.add(HeldKind.STATE, engine, now, Knowledge.POSSIBLE)
        entry.waits_for = attempt

    def attempt_over(self, attempt: int, now: int, taken: bool) -> None:
        """What was left to it is taken, or held for nobody from now on."""
        for entry in [entry for entry in self if entry.waits_for == attempt]:
            if taken:
                self.end(entry)
            else:
                entry.waits_for, entry.since = None, now
