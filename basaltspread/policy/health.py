"""Which workers are avoided: those that failed, fell silent, refused connections or said they are full.

A worker that failed is left out for a time that doubles with each failure in a row (outlier ejection); no
rest empties a pool.
"""

from __future__ import annotations

from collections.abc import Sequence

from basaltspread import interface as api
from basaltspread.control.load_view import Request, Worker
from basaltspread.interface import Effect, KeyScope, Outcome, Role
from basaltspread.policy.router_state import SECOND, RouterState

REST = 1 * SECOND  # first rest of a worker that failed; doubles each time
LONGEST_REST = 8 * SECOND
LIST_LATE = 3 * SECOND  # in which the list mostly tells of a start
FAULTS_TELL = 1.7  # errors and broken connections, halved by each answer, that tell of a worker
MOST_RESTING = 0.25  # share of a pool that must be left; with less, rests count for nothing
FULL_REST = SECOND // 4  # a worker that said "full" is passed over for this long


def rest_after(failures: int) -> int:
    """For how long a worker or zone is left out after so many failures in a row before this one, in us."""
    return min(LONGEST_REST, REST << min(failures, 8))


class Health(RouterState):
    """Failures of workers, and the pools that are left without them."""

    def resting(self, now: int) -> set[str]:
        """Workers left out for their failures, for the operators; as in _pool, never most of a role. Costs a
        look at each worker."""
        found = set[str]()
        for role in Role:
            pool = self.index.group(role).members
            rest = {w.name for w in pool if max(w.rest_until, w.gone_until) > now}
            if len(rest) <= (1 - MOST_RESTING) * len(pool):
                found |= rest
        return found

    def _strike(self, worker: Worker, unreached: bool = False) -> None:
        """Rest who failed or fell silent; where no connection came up its zone too, until one answers."""
        if unreached and self.many:
            times = self.dark.get(worker.zone, (0, 0))[1]
            self.dark[worker.zone] = (self.now + rest_after(times), times + 1)
        if worker.rest_until <= self.now:
            worker.rest_until = self.now + rest_after(worker.strikes)
            worker.strikes += 1

    def _probed(self, event: api.ProbeEnded) -> None:
        """A worker's load, or a fault there, as it was asked or as another router tells."""
        worker = self.fleet.get(event.worker)
        if worker is None:
            return
        if (long := event.report.get(api.READING)) is not None:  # another router's long read is there
            until = max(worker.busy_until, self.now) + int(long * SECOND)
            worker.busy_until = min(until, self.now + LONGEST_REST)  # whatever a peer says
            return
        # Told anew, even where the figures are as before.
        worker.report = {} if event.report else worker.report
        worker.told(self.now, dict(event.report), self.read_time.size)
        if "prompt_k_waiting" in event.report:
            worker.lag, worker.lag_at = self._told_lag(worker, event.report["prompt_k_waiting"]), self.now
        if event.outcome is Outcome.CONNECT_FAILED and event.detail != 1:
            self._strike(worker, True)
        elif event.outcome is Outcome.SERVED and event.elapsed > 0:  # here; another's says nothing of the way
            until, times = self.dark.get(
                worker.zone, (0, 0)
            )  # it may be cold, and the list be about to say so
            self.dark[worker.zone] = min(until, self.now + LIST_LATE), times
        self._failed(worker, event.outcome, event.detail == 1, 1.0)

    def _failed(self, worker: Worker, outcome: Outcome, refused: bool, weight: float) -> None:
        """What an error, a break or a refused connection says of the worker. Each of many routers would meet
        a sick one anew: its first own error tells, or two of others'. Harms where it was chance."""
        if self.many and outcome is Outcome.CONNECT_FAILED and refused:  # until a new start is told
            worker.gone_until = self.now + LONGEST_REST
        worker.faults += weight if outcome is Outcome.ERROR else outcome is Outcome.RESET
        if self.many and outcome is Outcome.ERROR and worker.faults >= FAULTS_TELL:
            worker.rest_until = max(worker.rest_until, self.now + LONGEST_REST)
            worker.strikes += 1

    def _pool(self, request: Request, looked_at: Sequence[Worker]) -> list[Worker]:
        """Of these workers, those that may work now, who failed this request last; rests never empty it."""
        now, tenant = self.now, request.a.tenant
        looked_at = self._with_offered(looked_at)
        listed = [w for w in looked_at if request.ran is None or self._scope_ok(request, w)]
        listed = [w for w in listed if w.gone_until <= now] or listed
        free = [w for w in listed if w.full_until <= now]
        open_now = [w for w in free if self.slow_start.admits(now, request, w)]
        self._note_candidates(len(looked_at), free, open_now)
        pool = [w for w in open_now if w.rest_until <= now]
        if len(pool) < MOST_RESTING * len(open_now):
            pool = open_now
        if self.dark:
            pool = [w for w in pool if self.dark.get(w.zone, (0, 0))[0] <= now] or pool
        pool = [w for w in pool if w.turned.get(tenant, (0, 0))[0] <= now] or pool
        if self.many and request.cls.effect is Effect.UNSAFE:  # who failed lately is tried with others first
            pool = [w for w in pool if w.faults < 1] or pool
        if not request.failed:
            return pool
        return [w for w in pool if w.name not in request.failed] or pool

    def _with_offered(self, looked_at: Sequence[Worker]) -> Sequence[Worker]:
        """With all in slow start of these roles that this router may send something now."""
        names = {worker.name for worker in looked_at}
        roles = {worker.role for worker in looked_at}
        offered = [w for role in roles for w in self.slow_start.offered(self.now, role)]
        return [*looked_at, *(worker for worker in offered if worker.name not in names)]

    def _note_candidates(self, looked_at: int, free: list[Worker], open_now: list[Worker]) -> None:
        """For the log: what the latest decision had to choose from."""
        cold = sum(self.slow_start.is_cold(self.now, w) for w in free)
        warm = len(free) - cold
        resting = sum(w.rest_until > self.now for w in free)
        left_out = looked_at - len(free) + resting
        self.looked_at = api.Candidates(warm, cold, len(open_now) - warm, left_out)

    def _took(self, worker: Worker, request: Request) -> None:
        tenant = request.a.tenant
        worker.served[tenant], worker.strikes, worker.faults = (
            self.now,
            worker.strikes // 2,
            worker.faults / 2,
        )
        worker.turned.pop(tenant, None)
        self.dark.pop(worker.zone, None)

    def _turned_away(self, worker: Worker, request: Request, sent_at: int) -> None:
        """A full worker is left alone for a moment; one that took other tenants' by this tenant alone."""
        tenant = request.a.tenant
        if not any(at > sent_at - SECOND for other, at in worker.served.items() if other != tenant):
            worker.full_until = self.now + FULL_REST
            return
        times = worker.turned.get(tenant, (0, 0))[1]
        worker.turned[tenant] = (self.now + rest_after(times), times + 1)

    def _scope_ok(self, request: Request, worker: Worker) -> bool:
        """A keyed request that may have run goes only to the group that discards its repeats."""
        cls, ran = request.cls, request.ran
        if ran is None or cls.effect is Effect.SAFE:
            return True
        if cls.effect is Effect.UNSAFE or self.now - request.ran_at >= cls.key_window:
            return False
        same = {
            KeyScope.ALL: True,
            KeyScope.ZONE: worker.zone == ran.zone,
            KeyScope.CELL: worker.cell == ran.cell,
        }
        return same[cls.key_scope]
