"""What the outcomes of attempts teach of workers, links and usual times."""

from __future__ import annotations

from math import exp2

from basaltspread import interface as api
from basaltspread.control.held_prefixes import BLOCK
from basaltspread.control.load_view import Attempt, Request, Worker
from basaltspread.interface import Outcome
from basaltspread.policy.health import FAULTS_TELL
from basaltspread.policy.router_state import NOTHING_ARRIVED, SECOND
from basaltspread.policy.waits import LAG_MEMORY
from basaltspread.policy.writer_choice import WriterChoice

LEARN_LINK = 0.15  # weight of a new sample of a cell's link
MEDIAN_STEP = 1.2  # factor by which one first token moves the running median
OWN_LAG = 0.6  # weight of what was known of a reader's queue against a new sample of it


class Learning(WriterChoice):
    """Updates of what is known, and of the request that an outcome is about."""

    def _learn_first_token(self, request: Request, out: Attempt, elapsed: int) -> None:
        worker, prompt = out.worker, request.a.prompt_tokens
        self.stage_wait[worker.role].add(self.now, elapsed)
        self.first_time.add(elapsed, prompt)
        self._learn_link(out.source, worker, elapsed / max(BLOCK, prompt))
        took = max(1.0, self.now - request.arrived)  # a running median: one late straggler moves it one step
        last, self.first_at = self.latency or took, self.now
        self.latency = min(max(took, last / MEDIAN_STEP), last * MEDIAN_STEP)
        for rate in self.first_rates:
            rate.add(self.now, 1.0)

    def _learn_link(self, source: Worker | None, worker: Worker, per_token: float) -> None:
        """How long a state takes from one worker to the other, with all else up to the first token."""
        if source is None:
            return
        if source.cell == worker.cell:
            self.near_time += LEARN_LINK * (per_token - self.near_time)
        else:
            far = self.far_time.get(self._link(source), self.near_time)
            self.far_time[self._link(source)] = far + LEARN_LINK * (per_token - far)

    def _judge(self, request: Request, attempt: Attempt, event: api.AttemptEnded) -> None:
        """What one outcome says of the worker and of the request."""
        outcome = event.outcome
        not_run = (Outcome.FULL, Outcome.READ, *NOTHING_ARRIVED)
        if not attempt.reading and outcome not in not_run and request.ran is None:
            request.ran, request.ran_at = attempt.worker, attempt.sent_at
        if outcome is Outcome.READ:
            self._judge_read(request, attempt, event)
        elif outcome is Outcome.SERVED:
            self.estimates.sizes.answered(request.a, event.elapsed)
            self.answer_times.add(event.elapsed, 1)
        elif outcome is Outcome.FULL:
            self._judge_full(request, attempt, event.detail == 1)
        else:
            self._judge_failure(request, attempt, event)

    def _judge_read(self, request: Request, attempt: Attempt, event: api.AttemptEnded) -> None:
        worker = attempt.worker
        request.reader, request.holds = worker, True
        self._took(worker, request)
        arrival = request.a
        text = min(arrival.prefix_tokens, arrival.prompt_tokens) if arrival.prefix else 0
        self.hits.add(attempt.place, arrival.prompt_tokens, text, event.detail, attempt.promised)
        read = max(1, request.a.prompt_tokens - event.detail)
        if event.detail < BLOCK and attempt.promised >= BLOCK:  # a flush: nothing noted before counts
            worker.void_before = max(worker.void_before, attempt.sent_at - 1)
        best, warmth = event.elapsed / read, self.slow_start.warmth(self.now, worker)
        known = self.estimates.token_time
        if warmth == 1.0 or not known:
            self.estimates.token_time = min(best, known * 1.002) if known else best
        lag = max(0.0, event.elapsed - read * self.token_time / warmth)
        self.stage_wait[worker.role].add(self.now, lag)
        if "prompt_k_waiting" in event.report:
            lag = self._told_lag(worker, event.report["prompt_k_waiting"])
        old = OWN_LAG * exp2((worker.lag_at - self.now) / LAG_MEMORY)  # rarely heard: the newest counts alone
        worker.figures_at = self.now
        worker.lag, worker.lag_at = lag + old * (worker.lag - lag), self.now
        self.read_time.add(event.elapsed, read)
        self.estimates.was_read(request.a.prompt_tokens, read)

    def _judge_full(self, request: Request, attempt: Attempt, no_state: bool) -> None:
        worker = attempt.worker
        if no_state:
            request.reader = request.place = None  # the state is lost: read again
            return
        if not attempt.reading:  # it would have waited
            self.stage_wait[worker.role].add(self.now, request.aim / 2)
        self._turned_away(worker, request, attempt.sent_at)
        self._unread(attempt, request.aim)
        request.failed.append(worker.name)
        if worker is request.place and request.placed:
            request.reader = request.place = None  # the state has moved there: no other writer can have it

    def _came_late(self, request: Request, attempt: Attempt, event: api.AttemptEnded) -> bool:
        """Whether one connection came up late to a writer that runs and holds a place: nothing was sent, the
        state has moved there, and the request goes there once more."""
        worker = attempt.worker
        holds = worker is request.place and request.placed and not attempt.reading
        refused = event.detail == 1
        runs = worker.heard_at > attempt.sent_at - SECOND
        if refused or not holds or not runs or worker.name in request.late:
            return False
        request.late.append(worker.name)
        return True

    def _judge_failure(self, request: Request, attempt: Attempt, event: api.AttemptEnded) -> None:
        worker, outcome = attempt.worker, event.outcome
        if outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            self._unread(attempt, event.elapsed)
        failed = outcome is Outcome.CONNECT_FAILED
        if failed and self._came_late(request, attempt, event):
            return
        request.failed.append(worker.name)
        silent = outcome is Outcome.TIMEOUT and worker.heard_at < attempt.sent_at
        if worker is request.place and request.placed and not attempt.reading:
            request.reader = request.place = None  # the state has moved there, and is lost with it
        self._failed(worker, outcome, event.detail == 1, FAULTS_TELL if self.many else 1.0)
        if silent or failed or worker.faults >= FAULTS_TELL:
            self._strike(worker, failed and event.elapsed >= self.s.limits.connect_timeout)
