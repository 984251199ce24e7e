"""When an attempt has waited too long: which worker is taken for silent, and which attempt is called back."""

from __future__ import annotations

from basaltspread import interface as api
from basaltspread.control.load_view import Attempt, Request
from basaltspread.interface import Effect
from basaltspread.policy.admission import WAIT_HOLDING, Admission
from basaltspread.policy.health import Health
from basaltspread.policy.router_state import SECOND, TAUGHT

PATIENCE = 6.0  # times the learnt usual time that an attempt may take
FIRST_PATIENCE = 3 * SECOND // 2  # us, as long as nothing is learnt
LEAST_PATIENCE = SECOND // 2  # no time-out is shorter: scheduling noise is not a fault


class Silence(Health, Admission):
    """Verdicts on attempts that are out."""

    def _check_silence(self, request: Request, out: Attempt) -> None:
        """Call back what waits many times longer than usual, if nothing came from the worker since (it is
        struck then) or if it has answered what was sent later: this was lost."""
        worker = out.worker
        stuck = out.reading and self._is_stuck(out)
        silent = worker.heard_at < out.sent_at or stuck
        if not silent and worker.newest_answered <= out.sent_at:
            return
        if self.now - out.sent_at < self._patience(out, silent, stuck):
            return
        if silent:
            self._strike(worker)
        risky = request.cls.effect is not Effect.SAFE and not out.reading  # it may have run: wait instead
        if not risky and self._no_further(request) is None:
            self._cancel(request)

    def _patience(self, out: Attempt, silent: bool, stuck: bool) -> float:
        """For how long this attempt may wait, in us."""
        worker, usual = out.worker, self.read_time if out.reading else self.first_time
        pending = sum(worker.reads.values()) if out.reading and not stuck else out.need
        slow = usual.of(pending) + self.stage_wait[worker.role].mean(self.now)  # a jam is no silence
        patience = max(LEAST_PATIENCE, PATIENCE * slow)
        if usual.count < TAUGHT:  # who has seen little is not quicker to call a jam silence
            told = self.many and self.estimates.agreed
            first = max(LEAST_PATIENCE, PATIENCE * out.need * self.token_time) if told else FIRST_PATIENCE
            patience = max(first, patience)
        if out.reading and silent and self.dark.get(worker.zone, (0, 0))[0] > self.now:
            patience = int(self.s.rules.release_within * WAIT_HOLDING)  # its place waits for a lost read
        return patience

    def _is_stuck(self, out: Attempt) -> bool:
        """Readers answer in turn: stuck is one that brought nothing for many times its longest read."""
        worker = out.worker
        most = max(worker.reads.values(), default=out.need)
        quiet = self.now - max(out.sent_at, worker.heard_at)
        slow = self.read_time.of(most) + self.stage_wait[worker.role].mean(self.now)
        return self.read_time.count >= TAUGHT and quiet >= max(LEAST_PATIENCE, PATIENCE * slow)

    def _cancel(self, request: Request) -> None:
        out = request.out
        if out is not None and self.s.limits.cancel and not out.cancelled:
            out.cancelled = True
            request.failed.append(out.worker.name)
            self.out.append(api.Cancel(request.id, out.number))
