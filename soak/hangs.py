"""Draws which engines stand still together and how they come back, from one trouble of a schedule.

It must never do I/O.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from soak.schedule import Trouble

SHARES = (0.25, 0.5, 0.75)  # of the engines of a role


class Wakes(Enum):
    """How engines come back that stood still."""

    TOGETHER = "together"
    ONE_BY_ONE = "one by one"
    AFTER_RESETS = "after all their connections were reset"
    AS_NEW_START = "as new processes"


@dataclass(frozen=True)
class Hang:
    """Which engines stand still, and how they come back."""

    roles: tuple[str, ...]  # machine types
    zones: tuple[str, ...]
    share: float
    wakes: Wakes


def draw_hang(trouble: Trouble, zones: Sequence[str]) -> Hang:
    """The same trouble always gives the same."""
    draw = random.Random(trouble.figure)
    roles = draw.choice((("prefill",), ("decode",), ("prefill", "decode")))
    where = draw.choice((tuple(zones[:1]), tuple(zones), tuple(zones)))
    return Hang(roles, where, draw.choice(SHARES), draw.choice(list(Wakes)))
