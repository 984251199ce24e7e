"""Checks what discovery says of an engine against what can be true.

It owns which entries are odd, and what is believed in their place. It must never drop an engine for it: a
wrong weight or start makes an engine no worse.
"""

from __future__ import annotations

from dataclasses import replace
from enum import Enum
from math import isfinite

from basaltspread.interface import WorkerEntry, WorkerState

CLOCKS_DIFFER = 1_000_000  # us by which a start may seem to lie ahead


class Oddity(Enum):
    """What is wrong with an entry; the value is how operators read it."""

    START_AHEAD = "starts in the future"
    START_WENT_BACK = "has an earlier start than was told before"
    BAD_WEIGHT = "has a weight that is no positive number"
    UNKNOWN_KIND = "is of a kind that the settings don't name"


def checked(
    entry: WorkerEntry, known: WorkerEntry | None, latest: int, kinds: int
) -> tuple[WorkerEntry, tuple[Oddity, ...]]:
    """The entry as it is believed, and what was odd of it. `known` is what was believed before, `latest` the
    latest time that a wall clock may read now, `kinds` how many the settings name. An odd start is kept: it
    tells this start from the next one. When it was is asked elsewhere (engine_starts.py)."""
    odd: list[Oddity] = []
    if entry.state is WorkerState.REMOVED:
        return entry, ()
    if known is not None and entry.started < known.started:
        odd.append(Oddity.START_WENT_BACK)
    elif entry.started > latest + CLOCKS_DIFFER:
        odd.append(Oddity.START_AHEAD)
    if not (isfinite(entry.weight) and entry.weight > 0):
        odd.append(Oddity.BAD_WEIGHT)
        entry = replace(entry, weight=1.0)
    if not 0 <= entry.kind < kinds:
        odd.append(Oddity.UNKNOWN_KIND)
    return entry, tuple(odd)
