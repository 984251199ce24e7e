"""Whether a request is taken, tried on or given up, by the wait that it has to expect.

What could not be answered in time only adds to a jam: it is refused at once, where that is truthful, so that
its client asks elsewhere (deadline-aware admission control).
"""

from __future__ import annotations

from math import exp

from basaltspread import interface as api
from basaltspread.control.load_view import Request
from basaltspread.interface import Effect, KeyScope, RefusalReason, Role
from basaltspread.policy.reader_draw import ChosenReader
from basaltspread.policy.router_state import SECOND
from basaltspread.policy.waits import Waits
from basaltspread.structures.hashing import HASH_MASK, hashed

ADMIT = 0.8  # expected wait for a first token, over the aim, up to which a request is taken
ADMIT_LESSER = 0.5  # the same for work past its tenant's share and for clients' repetitions
ADMIT_SEEN = 0.5  # part of both for a wait that is an average, not just told: half the requests wait longer
BACKLOG_TIME = 2 * SECOND  # in which readers are to be done with what waits there now
LEAST_FREE = 0.2  # part of what warm readers can do that is left for what is new, whatever waits
WATCH_STEP = 20_000  # us between two looks at waiting requests and silent workers
WAIT_HOLDING = 0.3  # share of the release limit that a held state may wait for a writer
WAIT_EMPTY = SECOND // 4  # how long a request that holds nothing may wait for a reader


class Admission(Waits):
    """Verdicts on single requests."""

    def _over_share(self, arrival: api.Arrival) -> bool:
        """Whether the tenant is past this router's part of its quota: a bucket that fills at 1/n of it."""
        tenants, tenant = self.s.tenants, arrival.tenant
        quota = tenants[tenant].quota_per_s if tenant < len(tenants) else 0
        return quota > 0 and not self.quotas[tenant].take(self.now)

    def _bearable(self, request: Request, reading: float = 0.0) -> float:
        """Expected wait up to which one is taken: the tightest aim, and what its prompt adds to its own."""
        aim = self.tightest + max(0.0, request.aim - request.cls.aim - reading)
        return aim * (ADMIT_LESSER if request.over_share or request.a.is_retry else ADMIT)

    def _too_busy(self, request: Request, chosen: ChosenReader) -> api.Grounds | None:
        """Many routers: why not to send a read there, by what it and the writers let wait. What is over is
        thinned by a lot that all draw alike for a turn of a session, asked again or not."""
        if not self.many:
            return None
        reader = chosen.worker
        allowed = self._bearable(request, chosen.unread(request) * self.token_time) * ADMIT_SEEN
        wait = self._wait_at(reader, self._pool_wait(Role.READER))
        lot = hashed(f"lot{request.a.session or request.id} {request.a.prompt_tokens}") / HASH_MASK
        if not self.slow_start.is_cold(self.now, reader) and lot >= self._warm_readers_share():
            return self._grounds(request, RefusalReason.READERS_BUSY, wait, allowed)
        told = reader.busy_until > self.now or self._lately(reader)
        writers = self._pool_wait(Role.WRITER)
        wait = wait * (ADMIT_SEEN if told else 1) + writers
        if wait <= allowed or lot < (allowed / wait) ** 2:
            return None
        reason = RefusalReason.WRITERS_BUSY if writers > wait / 2 else RefusalReason.READERS_BUSY
        return self._grounds(request, reason, wait, allowed)

    def _warm_readers_share(self) -> float:
        """Of what goes to no reader in slow start, the part that warm readers can read beside what waits
        there: what peers say is asked for against what all readers that are up can do now. Waits alone tell
        it late."""
        demand, largest = self.estimates.demand(self.now), self.index.largest_weight(Role.READER)
        if demand is None or self.token_time <= 0 or largest <= 0:
            return 1.0
        warm = self.index.warm_weight(self.now, Role.READER) / largest / self.token_time
        cold = self.slow_start.cold_capacity(self.now, Role.READER) / largest / self.token_time
        elsewhere = exp(-cold / demand) if demand > 0 else 1.0  # units and requests meet by chance
        backlog = max(0.0, self._pool_wait(Role.READER) - ADMIT * ADMIT_SEEN * self.tightest)
        free = max(LEAST_FREE, 1.0 - backlog / BACKLOG_TIME)
        rest = demand * elsewhere
        return warm * free / rest if rest > warm * free else 1.0

    def _grounds(
        self, request: Request, reason: RefusalReason, wait: float = 0.0, allowed: float = 0.0
    ) -> api.Grounds:
        return api.Grounds(reason, int(wait), int(allowed), request.sent, self.looked_at)

    def _no_further(self, request: Request) -> RefusalReason | None:
        """Why another attempt is not allowed or is hopeless; hopeless ones only add work to a jam."""
        reads = self.read_time.of(self.read_time.size) if request.reader is None else 0
        least = (self.first_time.of(request.a.prompt_tokens) + reads) / 2
        unread = self.many and request.reader is None
        # Past its aim and not even read: of no use in a jam, and worth little to its client otherwise.
        jam = self._pool_wait(Role.READER) > ADMIT * ADMIT_SEEN * self.tightest
        late = unread and jam and self.now - request.arrived > request.aim
        if request.sent >= self.s.limits.max_attempts:
            return RefusalReason.ATTEMPTS_SPENT
        if late:
            return RefusalReason.UNREAD_LATE
        if request.deadline - self.now <= least:
            return RefusalReason.TIME_SHORT
        held_long = request.reader is not None and self._held_long(request)
        return RefusalReason.HELD_LONG if held_long else None

    def _held_long(self, request: Request) -> bool:
        """Whether what is held for it, with no attempt out, can't wait for one more connection to come up."""
        kept = self.s.rules.release_within - self.s.limits.connect_timeout + WATCH_STEP
        return request.holds and self.now - request.idle_since > max(kept, WATCH_STEP)

    def _keep_waiting(self, request: Request) -> bool:
        """Wait a little for a worker; far within the release limit while something is held."""
        limit = self.s.rules.release_within * WAIT_HOLDING if request.holds else WAIT_EMPTY
        in_time = request.deadline - self.now >= 3 * WATCH_STEP
        waits = self.now - request.idle_since <= limit and in_time
        if waits:
            self.unanswered[request.id] = None
        return waits

    def _refusable(self, request: Request) -> bool:
        """Whether a refusal is true: it has not run, or may run again."""
        cls = request.cls
        if cls.effect is Effect.SAFE or (request.ran is None and not request.a.is_resumed):
            return True
        return cls.effect is Effect.KEYED and cls.key_scope is KeyScope.ALL

    def _retry_after(self) -> int:
        if not self.s.limits.retry_after:
            return 0
        wait = max(SECOND // 4, int(min(self._expected_wait(), 1e9)))
        return min(self.s.limits.max_retry_after, wait)
