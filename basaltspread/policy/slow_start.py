"""Slow start: how much this router may send to a worker that has started lately.

Such a worker fails when all routers together send it over N + 2 * sqrt(N) + 2 mean requests in a window; N is
the settings' multiple of what it can do by then. No router sees what the others send. So for each slot of the
time since the start each draws an allowance, and these add up whatever each has seen:

- Expected is the routers' even part of what a warm reader can read by the time that it takes for a token. Of
  others, it is the mean rate that one completed for this router: means add up to the fleet's, maxima do not.
- Fractions are rounded by offsets that divide [0, 1) evenly among all routers (systematic sampling).
- It is spent by the size of each request, in its slot or never, and not given back. A slot is as long as a
  window and the longest time from send to arrival, so that what arrives in a window was drawn for two slots;
  for three where a place is reserved, which has to be used by the end of the next slot.

docs/design/slow-start.md has the argument in full and what it assumes.
"""

from __future__ import annotations

from math import gcd, sqrt

from basaltspread import interface as api
from basaltspread.control.engine_index import EngineIndex
from basaltspread.control.load_view import Request, Reservation, Worker
from basaltspread.control.request_sizes import RequestSizes
from basaltspread.interface import Role
from basaltspread.structures.averages import Rate
from basaltspread.structures.hashing import HASH_MASK, hashed, rank

ROOTS_OF_SLACK = 2.0  # the limit's slack for chance: so many roots of N,
REQUESTS_OF_SLACK = 2.0  # and so many requests
SLOTS_OF_SENDS = 2  # slots whose allowances may arrive within one window
SLOTS_OF_RESERVATIONS = 3
LEAST_UNIT = 1.0  # mean requests to which allowances are rounded, at the least
LARGEST_UNIT = REQUESTS_OF_SLACK  # larger requests go to warm workers: one alone may be over the limit


class SlowStart:
    """One router's part of what workers in slow start may be sent; each allowance is kept with its worker.
    Each call costs O(1)."""

    def __init__(self, settings: api.Settings, available: EngineIndex) -> None:
        """`available` are the workers that are up, kept up to date by the router."""
        self._settings, self._rules, self._available = settings, settings.rules, available
        self._slot_length = max(1, settings.rules.cold_window + settings.limits.connect_timeout)
        self._began = -1
        self._spent = self._expired = 0.0  # mean requests sent to cold workers, and allowed and not sent
        self.processes = 1  # of this router that run now and share its part
        self.sizes = RequestSizes(len(settings.classes))
        self.token_time = 0.0  # microseconds that a warm reader takes for a token; 0: not known
        # Mean requests a microsecond that a warm worker of weight 1 completed for this router.
        self.completed_rate = {role: Rate(max(1, self._rules.warm_within // 2)) for role in Role}

    def begin(self, now: int) -> None:
        """This process starts to decide. What an earlier one did in the current slot is unknown."""
        if self._began < 0:
            self._began = now
            for rate in self.completed_rate.values():
                rate.since = now

    def is_cold(self, now: int, worker: Worker) -> bool:
        return worker.started > 0 and now - worker.warming_since < self._rules.warm_within

    def completed(self, now: int, worker: Worker, work: float) -> None:
        """A worker completed so many mean requests; counts by how many were warm then: the few that are left
        later have not done what all did before."""
        if not self.is_cold(now, worker):
            warm_weight = self._available.warm_weight(now, worker.role)
            self.completed_rate[worker.role].add(now, work / max(1.0, warm_weight))

    def admits(self, now: int, request: Request, worker: Worker) -> bool:
        """Whether this request may go to this worker now."""
        if not self.is_cold(now, worker) or self.has_reserved(now, request, worker):
            return True
        size = self.sizes.size(request.a, worker.role)
        if size is None or size > LARGEST_UNIT:
            return False
        slot = self._slot(now, worker)
        if worker.allowance_slot != slot:
            unit = max(LEAST_UNIT, size)
            part = self._expected_part(now, worker, slot, unit)
            if part <= 0:
                return False
            self._expired += max(0.0, worker.allowance)
            worker.allowance_slot = slot
            worker.allowance = unit * int(part / unit + self._offset(worker, slot))
        return worker.allowance >= size

    def spend(self, now: int, request: Request, worker: Worker) -> None:
        """The request is sent, or will be by the end of the next slot, to a worker that admits it."""
        if self.is_cold(now, worker) and not self.has_reserved(now, request, worker):
            size = self.sizes.size(request.a, worker.role) or LEAST_UNIT
            self._spent += size
            worker.allowance -= size

    def figures(self, now: int) -> api.SlowStartFigures:
        """What operators are shown."""
        learning = self.sizes.typical_prompt() is None or self.token_time <= 0
        cold = sum(self._available.cold_count(now, role) for role in Role)
        return api.SlowStartFigures(cold, self._spent, self._expired, learning)

    def reserve(self, now: int, request: Request, worker: Worker) -> None:
        self.spend(now, request, worker)
        cold = self.is_cold(now, worker)
        request.reservation = Reservation(worker, self._slot(now, worker)) if cold else None

    def has_reserved(self, now: int, request: Request, worker: Worker) -> bool:
        reserved = request.reservation
        if reserved is None or reserved.worker is not worker:
            return False
        return self._slot(now, worker) <= reserved.slot + 1

    def _slot(self, now: int, worker: Worker) -> int:
        return (now - worker.warming_since) // self._slot_length

    def warmth(self, now: int, worker: Worker) -> float:
        """The part of a warm worker's capacity that the settings grant it at the least."""
        grown = min(1.0, max(0, now - worker.warming_since) / self._rules.warm_within)
        return self._rules.cold_start_share + (1 - self._rules.cold_start_share) * grown

    def _expected_part(self, now: int, worker: Worker, slot: int, unit: float) -> float:
        """This router's allowance for a slot, in mean requests, before it is rounded to whole units."""
        slot_start = worker.warming_since + slot * self._slot_length
        if slot_start < self._began:
            return 0.0
        routers, reader = max(1, self._settings.routers), worker.role is Role.READER
        warm = self._reading_rate(worker) if reader else routers * self._completed_rate(now, worker)
        allowed = warm * self._rules.cold_window * self._rules.cold_multiple * self.warmth(slot_start, worker)
        reserves = self._settings.places_ahead and not reader
        slots = SLOTS_OF_RESERVATIONS if reserves else SLOTS_OF_SENDS
        limit = allowed + ROOTS_OF_SLACK * sqrt(allowed) + REQUESTS_OF_SLACK - slots * unit
        # Readers' parts are equal and leave less to chance: half of the slack is kept for what is measured.
        total = min(limit, allowed + sqrt(allowed) if reader else allowed)
        least = REQUESTS_OF_SLACK if unit <= LEAST_UNIT else 0.0  # for a worker of unknown capacity
        return max(total, least) / slots / routers / self.processes

    def _reading_rate(self, worker: Worker) -> float:
        """Typical prompts a microsecond that it reads when warm; a token's time is that of the largest."""
        if self.token_time <= 0 or (prompt := self.sizes.typical_prompt()) is None:
            return 0.0
        own = self._available.weight(worker)
        largest = max(own, self._available.largest_weight(Role.READER))
        return own / largest / (self.token_time * prompt)

    def _completed_rate(self, now: int, worker: Worker) -> float:
        """Mean requests a microsecond that a warm worker like this one completes for this router. With none
        left nothing can be completed: what was known then goes on to hold."""
        rate = self.completed_rate[worker.role]
        known_at = now if self._available.warm_weight(now, worker.role) > 0 else rate.when
        own = self._available.weight(worker)
        largest = self._available.largest_weight(worker.role, besides=worker)
        like = min(own, largest) if largest > 0 else own  # as large as any known
        return rate.over(known_at, self._slot_length) * like

    def _offset(self, worker: Worker, slot: int) -> float:
        """What is added before rounding down, in [0, 1): evenly divided among all routers, in an order and
        from a beginning that change with worker and slot."""
        routers = max(1, self._settings.routers)
        key = rank(hashed(f"slow start {slot}"), worker.hash)
        step = 1 + (key >> 32) % routers
        while gcd(step, routers) != 1:
            step += 1
        first = (key & HASH_MASK >> 32) / (1 << 32)
        return (step * self._settings.router % routers + first) / routers
