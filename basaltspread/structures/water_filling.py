"""How to share out what is yet to come among parties that are loaded differently, so that all end up equal.

Load interpretation (Dahlin, "Interpreting stale load information"): where many act on the same old figures,
the least loaded may not get everything, as all would send there. Each gets, by chance, the part that lifts
all to one level. With nothing known, or much to come, the parts go to the capacities alone; with nothing yet
to come, all goes to the least loaded. It owns the arithmetic alone.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import inf


def fill_shares(loads: Sequence[float], capacities: Sequence[float], coming: float) -> list[float]:
    """The part of what is `coming` that each gets; they add up to 1. Loads are by unit of capacity, `coming`
    is a load times a capacity; `inf` where it is not known. Costs O(n log n)."""
    if coming == inf:
        total = sum(capacities)
        return [capacity / total for capacity in capacities]
    level = _level(loads, capacities, coming)
    gets = [capacity * max(0.0, level - load) for load, capacity in zip(loads, capacities, strict=True)]
    total = sum(gets)
    if total <= 0:  # nothing is to come: the least loaded, alike
        least = min(loads)
        gets = [capacity * (load <= least) for load, capacity in zip(loads, capacities, strict=True)]
        total = sum(gets)
    return [part / total for part in gets]


def _level(loads: Sequence[float], capacities: Sequence[float], coming: float) -> float:
    """To which all that are below it are lifted."""
    order = sorted(range(len(loads)), key=lambda i: loads[i])
    filled = held = 0.0  # capacity below the level, and what it holds already
    level = loads[order[0]]
    for i in order:
        if filled * loads[i] - held >= coming:
            break
        filled += capacities[i]
        held += capacities[i] * loads[i]
        level = (coming + held) / filled
    return level


def drawn(shares: Sequence[float], point: float) -> int:
    """The index that `point`, evenly in [0, 1), falls to."""
    for i, share in enumerate(shares):
        point -= share
        if point < 0:
            return i
    return max(range(len(shares)), key=lambda i: shares[i])
