"""Whether a request is taken, tried on or given up, by the wait that it has to expect.

What could not be answered in time only adds to a jam: it is refused at once, where that is truthful, so that
its client asks elsewhere (deadline-aware admission control).
"""

from __future__ import annotations

from basaltspread import interface as api
from basaltspread.control.load_view import Request, Worker
from basaltspread.interface import Effect, KeyScope, Role
from basaltspread.policy.router_state import SECOND
from basaltspread.policy.waits import Waits
from basaltspread.structures.hashing import HASH_MASK, hashed

ADMIT = 0.8  # expected wait for a first token, over the aim, up to which a request is taken
ADMIT_LESSER = 0.5  # the same for work past its tenant's share and for clients' repetitions
ADMIT_SEEN = 0.5  # part of both for a wait that is an average, not just told: half the requests wait longer
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

    def _promising(self, request: Request, reader: Worker, need: int) -> bool:
        """Many routers: whether to send a read there, by what it and the writers let wait. What is over is
        thinned by a lot that all draw alike for a turn of a session, asked again or not."""
        if not self.many:
            return True
        allowed = self._bearable(request, need * self.token_time) * ADMIT_SEEN
        wait = self._wait_at(reader, self._pool_wait(Role.READER))
        told = reader.busy_until > self.now or self._lately(reader)
        wait = wait * (ADMIT_SEEN if told else 1) + self._pool_wait(Role.WRITER)
        lot = hashed(f"lot{request.a.session or request.id} {request.a.prompt_tokens}") / HASH_MASK
        return wait <= allowed or lot < (allowed / wait) ** 2

    def _another_pays(self, request: Request) -> bool:
        """Whether another attempt is allowed and not hopeless; hopeless ones only add work to a jam."""
        reads = self.read_time.of(self.read_time.size) if request.reader is None else 0
        least = (self.first_time.of(request.a.prompt_tokens) + reads) / 2
        unread = self.many and request.reader is None
        late = unread and self.now - request.arrived > request.aim  # not even read: of no use
        in_time = request.deadline - self.now > least and not late
        free = request.reader is None or not self._held_long(request)
        return in_time and free and request.sent < self.s.limits.max_attempts

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
