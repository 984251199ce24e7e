"""How many calls a server is given at once, learnt from what its answers take.

It owns one figure for a server. It must never count calls itself (the caller says how many are out), and it
never falls below one: a server that is given nothing can't show that it is well again.

The rule is a gradient: the latency of each call against the floor of its tool at this server says how much of
it was waiting. Little waiting, while the limit binds, raises the limit; much lowers it. Tools differ in what
they take, so that ratios are compared and not times. Before the first sign of waiting the limit doubles with
each round of answers (slow start), from a small figure: a server that has just come up is cold.

Some milliseconds of waiting are left out of account (`SLACK`): the gateway's own loop lags as much when it is
busy, and a limit that took that for the server's lag would make calls wait for nothing. For the same reason
latency alone never lowers the limit below where a cold server starts; only a server's own word does.
"""

from __future__ import annotations

from dataclasses import dataclass

COLD = 4.0  # calls at once for a server that is new, or comes back
LEAST = 1.0
WAITS_LITTLE, WAITS_MUCH = 1.3, 2.0  # times floor and slack: below, the limit rises; above, it falls
SMOOTH = 0.1  # weight of a new ratio
CUT = 0.7  # of the limit that is left after an overload
FLOOR_AGES = 1.0005  # per answer, by which a floor rises until one confirms it: doubled after some 1,400
SLACK = 20_000.0  # us of waiting that say nothing
TOOLS_KEPT = 256  # floors at once; past them, the oldest goes


@dataclass(slots=True)
class AdaptiveLimit:
    """The limit of one server; `most` bounds it. All calls cost O(1); memory is one float a tool, 256 at
    most. Times are microseconds."""

    most: int
    adaptive: bool = True
    limit: float = COLD
    starting: bool = True
    ratio: float = 1.0  # of recent answers to their floors, smoothed
    cut_at: int = 0
    floors: dict[str, float] | None = None

    def __post_init__(self) -> None:
        self.floors = {}
        self.limit = min(self.limit, float(self.most))

    def room(self, out: int) -> int:
        """How many more may be given beside `out`."""
        limit = self.limit if self.adaptive else float(self.most)
        return max(0, int(limit) - out)

    def answered(self, tool: str, took: int, out: int, now: int) -> None:
        """An answer came after `took`, while `out` calls were out, this one among them."""
        ratio = took / (self._floor(tool, float(took)) + SLACK)
        self.ratio += SMOOTH * (min(ratio, 10.0) - self.ratio)
        binds = 2 * out >= self.limit  # else the limit is not what holds it back, and not what overloads it
        if self.ratio > WAITS_MUCH:
            self.starting = False
            if binds and self.limit > COLD:
                self._cut(now, took, 0.9)
        elif self.ratio < WAITS_LITTLE and binds:
            self.limit += 1.0 if self.starting else 1.0 / self.limit
        elif self.ratio >= WAITS_LITTLE:
            self.starting = False
        self.limit = max(LEAST, min(float(self.most), self.limit))

    def overloaded(self, now: int) -> None:
        """It turned a call away or let one run out of time."""
        self.starting = False
        self._cut(now, 100_000, CUT)

    def cool(self) -> None:
        """It has been away: what it could do before says nothing of now."""
        self.limit, self.starting, self.ratio = min(COLD, float(self.most)), True, 1.0

    def _cut(self, now: int, pause: int, share: float) -> None:
        """Once a round at most: answers under way say nothing yet of the lower limit."""
        if now - self.cut_at >= pause:
            self.cut_at = now
            self.limit = max(LEAST, self.limit * share)

    def _floor(self, tool: str, took: float) -> float:
        assert self.floors is not None
        floor = self.floors.pop(tool, took)
        if len(self.floors) >= TOOLS_KEPT:
            del self.floors[next(iter(self.floors))]
        floor = min(took, floor * FLOOR_AGES) if took > floor else took
        self.floors[tool] = floor
        return floor
