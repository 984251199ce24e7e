"""When engines started, by this process's own clock.

Discovery stamps a start with the wall clock, which may be stepped while this process runs. A stamp tells one
start from another, and is compared with other stamps alone. How long ago a start was is taken from what the
wall clock has read here, before and after its steps, and from what was seen: an engine that was listed with
another stamp has started since. Where two readings are possible the later start counts: slow start errs on
that side.

It does no I/O and reads no clock. It must never decide what a start means.
"""

from __future__ import annotations

from collections.abc import Iterable

from basaltspread.control.list_check import CLOCKS_DIFFER

STAMPS_KEPT = 4  # of one engine
FORGOTTEN_AFTER = 600_000_000  # us after an engine was listed last


class _Engine:
    """What was told of one engine: the stamps of its starts, and when these were by this process's clock."""

    __slots__ = ("latest", "starts")

    def __init__(self) -> None:
        self.starts: dict[int, int] = {}
        self.latest = 0  # us of this process's clock; 0: long ago


def age_by_stamp(stamp: int, now: int, wall_shifts: Iterable[int]) -> int | None:
    """How long ago a start with this stamp was, in us, by any reading of the wall clock: `wall_shifts` are
    how far it was ahead of this process's clock. The least of those that are possible; None if it lies ahead
    by all."""
    ages = [now + shift - stamp for shift in wall_shifts]
    return min((max(0, age) for age in ages if age >= -CLOCKS_DIFFER), default=None)


class EngineStarts:
    """The starts of one gateway's engines. An entry takes some 300 bytes; a call costs a few steps for each
    engine that it names."""

    def __init__(self) -> None:
        self._engines: dict[str, _Engine] = {}
        self._unlisted: dict[str, int] = {}  # engines that have left the list, and when: the oldest first
        self._listed_at: int | None = None  # when the list was told last, if it ever was

    def since(self, name: str) -> int:
        """When the engine's latest start was, in us of this process's clock; 0: long ago."""
        engine = self._engines.get(name)
        return engine.latest if engine is not None else 0

    def listed(self, name: str, stamp: int, now: int, wall_shifts: Iterable[int]) -> None:
        """A list names this engine with this stamp."""
        engine = self._engines.get(name)
        not_before = self._listed_at if engine is not None else None
        if engine is None:
            engine = self._engines[name] = _Engine()
        self._unlisted.pop(name, None)
        if stamp <= 0 or stamp in engine.starts:
            return
        start = now - (age_by_stamp(stamp, now, wall_shifts) or 0)
        if not_before is not None:  # it was listed with another start then
            start = max(start, not_before)
        engine.starts[stamp] = start
        engine.latest = max(engine.latest, start)
        while len(engine.starts) > STAMPS_KEPT:
            del engine.starts[next(iter(engine.starts))]

    def list_ended(self, now: int) -> None:
        """All entries of a list have been told."""
        self._listed_at = now

    def unlisted(self, now: int, names: Iterable[str]) -> None:
        """These engines are not listed any more. Costs a step for each, and for each that is forgotten."""
        for name in names:
            if name in self._engines:
                self._unlisted.pop(name, None)
                self._unlisted[name] = now
        while self._unlisted and now - next(iter(self._unlisted.values())) > FORGOTTEN_AFTER:
            name = next(iter(self._unlisted))
            del self._unlisted[name]
            self._engines.pop(name, None)

    def ages(self, now: int, names: Iterable[str]) -> dict[str, tuple[int, int]]:
        """By engine, the stamp of its latest start and how long ago that was, in us: for another process."""
        out = {}
        for name in names:
            engine = self._engines.get(name)
            if engine is not None and engine.starts:
                stamp, start = max(engine.starts.items(), key=lambda item: item[1])
                out[name] = (stamp, now - start)
        return out

    def recall(self, now: int, name: str, stamp: int, age: int) -> bool:
        """Another process saw this start so long ago: whether that changes what is believed here."""
        engine = self._engines.get(name)
        if engine is None or engine.starts.get(stamp) is None:
            return False
        start = now - max(0, age)
        if start <= engine.starts[stamp]:
            return False
        engine.starts[stamp] = start
        engine.latest = max(engine.latest, start)
        return True
