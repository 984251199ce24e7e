"""A router's allowance at one role's workers in slow start: units of work that it is dealt as time passes,
each for one worker, and that it loses if it does not spend them in time.

It owns the arithmetic alone, in mean requests and microseconds. It must never decide how much is allowed.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import floor

from basaltspread.records import record

GOLDEN_RATIO = 0.6180339887498949  # its multiples divide [0, 1) ever more evenly
SILVER_RATIO = 0.4142135623730950  # likewise, and independent of the others
LEAST_PART = 1e-6
MUCH_LARGER = 2.0  # units
MOST_UNITS = 64  # that are kept: a router of few may be dealt many at once


@record
class Pace:
    """How units are dealt."""

    rate: float  # a microsecond, to this router
    lifetime: int  # us for which a unit can be spent


@dataclass(slots=True, eq=False)
class Unit:
    """A unit of work that was dealt."""

    at: int  # when, in us
    place: float  # in [0, 1), on a scale on which each worker has its part
    largest: float  # mean requests that may be sent for it: so much, or more, of one unit in so many
    worker: str | None = None  # whose part that is; None as long as nobody has asked


class Allowance:
    """Of many routers that are dealt units at the same pace, one comes after the other (systematic sampling),
    and each next unit is for a worker far from the last one's on the common scale. So all together are dealt
    what the pace says, to within a unit, and so is each worker, to within a few. A call costs O(units)."""

    __slots__ = ("_at", "_dealt", "_earned", "_number", "_routers", "_row", "pace", "units")

    def __init__(self, now: int, router: int, routers: int, age: int, pace: Pace) -> None:
        """`router` is its number among `routers`. All count from one instant, `age` us before now; what was
        dealt before now is gone."""
        self._at, self._number, self._routers, self.pace = now, router, max(1, routers), pace
        self._earned = age * pace.rate
        self._dealt = floor(self._earned + self._offset)
        self._row = self._dealt + 1  # the next unit's place in this router's row
        self.units: list[Unit] = []

    def deal(self, now: int, pace: Pace) -> float:
        """Time has passed; `pace` holds from now on. How many units have expired meanwhile."""
        rate = self.pace.rate
        self._earned += max(0, now - self._at) * rate
        left = self._earned + self._offset - self._dealt
        self._dealt += max(0, floor(left))
        for behind in range(min(floor(left), MOST_UNITS) - 1, -1, -1):
            at = now - int((left % 1.0 + behind) / rate) if rate > 0 else now
            in_row = self._row * self._routers - self._number
            self._row += 1
            largest = 1.0 / max(in_row * SILVER_RATIO % 1.0, LEAST_PART)
            self.units.append(Unit(at, in_row * GOLDEN_RATIO % 1.0, largest))
        kept = [unit for unit in self.units if now - unit.at < pace.lifetime]
        expired = len(self.units) - len(kept)
        self.units, self._at, self.pace = kept, max(now, self._at), pace
        return expired

    @property
    def at(self) -> int:
        """Until when units have been dealt, in us."""
        return self._at

    @property
    def _offset(self) -> float:
        return self._number / self._routers

    def spend(self, unit: Unit, work: float) -> None:
        """A request of this size is sent for a unit. After a small one the next comes sooner, after one much
        larger than a unit later: of those somewhat larger, fewer units allow one."""
        self.units.remove(unit)
        self._earned += max(0.0, 1.0 - work) - max(0.0, work - MUCH_LARGER)
