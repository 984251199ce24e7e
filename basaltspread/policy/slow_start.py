"""Slow start: how much this router may send to workers that have started lately.

Such a worker fails when all routers together send it over N + 2 * sqrt(N) + 2 mean requests in a window; N is
the settings' multiple of what it can do by then. No router sees what the others send. So each has an even
part of what all may send, and is dealt it in units of a mean request, each for one worker:

- All are dealt together what the workers can do, and no more than is safe if all that can be spent is spent
  at once. What is not spent in time expires.
- What they can do follows from what warm workers do: from the time that a reader takes for a token, and from
  what writers complete, as all routers tell each other.
- The units of all workers are one row, dealt to one router after the other (control/allowance.py): a router
  with little traffic has its next unit soon, whichever worker it is for.

docs/design/slow-start.md has the argument in full and what it assumes.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from itertools import accumulate
from math import gcd, sqrt

from basaltspread import interface as api
from basaltspread.control.allowance import GOLDEN_RATIO, Allowance, Pace, Unit
from basaltspread.control.capacity_estimates import CapacityEstimates
from basaltspread.control.engine_index import EngineIndex
from basaltspread.control.load_view import Request, Worker
from basaltspread.interface import Role

REQUESTS_OF_SLACK = 2.0  # that any worker survives in a window
LEAST_UNIT = 1.0  # mean requests of a unit
LIFETIMES = (0.5, 4.0)  # windows for which what is earned can be spent, at the least and at the most
UNKNOWN_LIFETIME = 2.0  # the same for a worker of which hardly anything is known
MOST_WEIGHED = 128  # workers whose parts are all looked at
MOST_REJECTED = 8
PACE_STEP = 20_000  # us for which the pace is not worked out anew
LONG_AGO = 60_000_000  # us after which units are counted from another start


class SlowStart:
    """One router's part of what workers in slow start may be sent. Each call costs O(units that it has)."""

    def __init__(self, settings: api.Settings, available: EngineIndex, estimates: CapacityEstimates) -> None:
        """`available` are the workers that are up, kept up to date by the router."""
        self._settings, self._rules, self.index = settings, settings.rules, available
        self.estimates = estimates
        self._began = -1
        self._allowances: dict[Role, Allowance] = {}
        self._spent = self._expired = 0.0  # mean requests
        self.processes = 1  # of this router that run now and share its part

    def begin(self, now: int) -> None:
        """This process starts to decide: what an earlier one could spend is gone."""
        if self._began < 0:
            self._began = now
            self.estimates.begin(now)

    def is_cold(self, now: int, worker: Worker) -> bool:
        return worker.started > 0 and now - worker.warming_since < self._rules.warm_within

    def completed(self, now: int, worker: Worker, work: float) -> None:
        """A worker completed so many mean requests; counts by how many were warm then: the few that are left
        later have not done what all did before."""
        if not self.is_cold(now, worker):
            warm_weight = self.index.warm_weight(now, worker.role)
            self.estimates.completed_rate[worker.role].add(now, work / max(1.0, warm_weight))

    def admits(self, now: int, request: Request, worker: Worker) -> bool:
        """Whether this request may go to this worker now."""
        if not self.is_cold(now, worker):
            return True
        # One alone must leave room for all that may be sent beside it.
        if self._size(request, worker.role) > sqrt(self._allowed(now, worker)) + REQUESTS_OF_SLACK:
            return False
        return self._unit(now, request, worker) is not None

    def spend(self, now: int, request: Request, worker: Worker) -> None:
        """The request is sent to a worker that admits it."""
        if not self.is_cold(now, worker):
            return
        size = self._size(request, worker.role)
        self._spent += size
        unit = self._unit(now, request, worker)
        if unit is not None:
            self._dealt(now, worker.role).spend(unit, size)

    def offered(self, now: int, role: Role) -> list[Worker]:
        """The workers for which this router has units; costs O(units)."""
        names = {unit.worker for unit in self._dealt(now, role).units if unit.worker is not None}
        found = (self.index.named(name) for name in sorted(names))
        return [worker for worker in found if worker is not None]

    def figures(self, now: int) -> api.SlowStartFigures:
        """What operators are shown."""
        learning = self.estimates.typical_prompt() is None or self.estimates.time_for_token() <= 0
        cold = sum(self.index.cold_count(now, role) for role in Role)
        return api.SlowStartFigures(cold, self._spent, self._expired, learning)

    def warmth(self, now: int, worker: Worker) -> float:
        """The part of a warm worker's capacity that the settings grant it at the least; 1 for a warm one."""
        if not self.is_cold(now, worker):
            return 1.0
        grown = min(1.0, max(0, now - worker.warming_since) / self._rules.warm_within)
        return self._rules.cold_start_share + (1 - self._rules.cold_start_share) * grown

    def cold_capacity(self, now: int, role: Role) -> float:
        """What all workers in slow start can do, in warm workers of weight 1."""
        weight, grown = self.index.cold_part(now, role)
        share = self._rules.cold_start_share
        capacity = weight * share + (1 - share) * grown
        known = self.index.cold_count(now, role) * self.index.second_largest_weight(role)
        if role is Role.READER or weight <= known:
            return capacity
        return capacity * known / weight

    def _size(self, request: Request, role: Role) -> float:
        """In mean requests; a mean one as long as nothing is known."""
        return self.estimates.size(request.a, role) or LEAST_UNIT

    def _unit(self, now: int, request: Request, worker: Worker) -> Unit | None:
        """The unit that this request would be sent for to this worker, if there is one."""
        units = self._dealt(now, worker.role).units
        if not units:
            return None
        size = self._size(request, worker.role)
        # Of those larger than a unit as many go that a unit is one of work on the mean.
        fitting = (unit for unit in units if unit.worker == worker.name and unit.largest >= size)
        return min(fitting, key=lambda unit: unit.largest, default=None)

    def _assign(self, now: int, role: Role, units: list[Unit]) -> None:
        """Say whom these units are for, by what each worker can do of what all can."""
        cold = self.index.in_slow_start(now, role)
        if not cold:
            return
        few = len(cold) <= MOST_WEIGHED
        ends = list(accumulate(self._part(now, worker) for worker in cold)) if few else []
        for unit in units:
            if few:
                position = bisect_right(ends, unit.place * ends[-1])
                unit.worker = cold[min(position, len(cold) - 1)].name
            else:
                unit.worker = self._by_rejection(now, cold, unit)

    def _by_rejection(self, now: int, cold: Sequence[Worker], unit: Unit) -> str:
        """The same without a look at all: of evenly chosen ones, each is taken by its part of the largest."""
        place, worker = unit.place, cold[0]
        largest = max(self._part(now, worker) for worker in cold[:MOST_WEIGHED])
        for _ in range(MOST_REJECTED):
            position = place * len(cold)
            worker = cold[int(position)]
            if position % 1.0 * largest <= self._part(now, worker):
                break
            place = (place + GOLDEN_RATIO) % 1.0
        return worker.name

    def _part(self, now: int, worker: Worker) -> float:
        """What it can do, in warm workers of weight 1. No writer is taken for larger than any other."""
        weight = self.index.weight(worker)
        if worker.role is not Role.READER:
            weight = min(weight, self.index.largest_weight(worker.role, besides=worker) or weight)
        return weight * self.warmth(now, worker)

    def _dealt(self, now: int, role: Role) -> Allowance:
        """This router's allowance, with all units that it has been dealt by now."""
        allowance = self._allowances.get(role)
        if allowance is None or now - allowance.at > LONG_AGO:
            since, pace = self._oldest_start(now, role), self._pace(now, role)
            begin = max(self._began, now - pace.lifetime, since)
            routers = max(1, self._settings.routers)
            allowance = Allowance(begin, self._number(), routers, begin - since, pace)
            self._allowances[role] = allowance
        elif now - allowance.at < PACE_STEP:
            return allowance
        self._expired += allowance.deal(now, self._pace(now, role))
        if new := [unit for unit in allowance.units if unit.worker is None]:
            self._assign(now, role, new)
        return allowance

    def _oldest_start(self, now: int, role: Role) -> int:
        cold = self.index.oldest_cold(now, role)
        return cold.warming_since if cold is not None else now

    def _pace(self, now: int, role: Role) -> Pace:
        """How units come to this router.

        What arrives at a worker in a window was dealt in it, in the time that a connection takes to come up,
        or in the lifetime before: so much together is at most what is safe."""
        window = max(1, self._rules.cold_window)
        sent_within = 1 + self._settings.limits.connect_timeout / window  # windows
        cold = self.index.cold_count(now, role)
        if not cold:
            return Pace(0.0, window)
        allowed = self._warm_rate(now, role) * window * self._rules.cold_multiple
        allowed *= self.cold_capacity(now, role) / cold  # of a mean one
        # What a token takes is measured; what writers complete is a mean of few requests of each router.
        safe = max(REQUESTS_OF_SLACK, allowed + sqrt(allowed) if role is Role.READER else allowed)
        can = allowed / max(1.0, self._rules.cold_multiple)
        if role is not Role.READER or can <= 0:  # it may do far more than was seen
            can = max(can, REQUESTS_OF_SLACK / (UNKNOWN_LIFETIME + sent_within))
        shortest, longest = LIFETIMES
        lifetime = min(longest, max(shortest, safe / can - sent_within))
        in_window = min(can, safe / (lifetime + sent_within))
        parts = max(1, self._settings.routers) * self.processes
        return Pace(cold * in_window / window / parts, max(1, int(lifetime * window)))

    def _allowed(self, now: int, worker: Worker) -> float:
        """N: mean requests in a window of which the settings say that it survives them."""
        warm = self._warm_rate(now, worker.role) * self._part(now, worker)
        return warm * self._rules.cold_window * self._rules.cold_multiple

    def _warm_rate(self, now: int, role: Role) -> float:
        """Mean requests a microsecond that a warm worker of weight 1 can do, as peers and this router know. A
        token's time is that of the largest reader; no writer is taken for larger than any known."""
        if role is not Role.READER:
            warm = self.index.warm_weight(now, role) > 0
            return self.estimates.fleet_rate(now, role, warm)
        token_time, prompt = self.estimates.time_for_token(), self.estimates.typical_prompt()
        largest = self.index.largest_weight(role)
        if token_time <= 0 or prompt is None or largest <= 0:
            return 0.0
        return 1.0 / largest / (token_time * prompt)

    def _number(self) -> int:
        """Of this router in the order in which units are dealt."""
        routers = max(1, self._settings.routers)
        step = routers * 5 // 8 + 1
        while gcd(step, routers) != 1:
            step += 1
        return step * self._settings.router % routers
