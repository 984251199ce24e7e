"""A basaltspread router, which leads each request to its end. The types that go in and out: interface.py.

The ordinary path: a request arrives and is admitted; a reader is chosen (gap test, capped prefix match,
hashed fallback, fewest running); a place is held at the roomiest near writer; when the read ends the
request goes to that writer; its first token hands it to the client. Everything else here answers trouble.
The single decisions are in the modules of policy/.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from basaltspread import interface as api
from basaltspread.control import snapshot
from basaltspread.control.load_view import Attempt, Request, Worker
from basaltspread.interface import Effect, Outcome, RefusalReason, Role
from basaltspread.policy.admission import WATCH_STEP
from basaltspread.policy.candidates import Candidates
from basaltspread.policy.learning import Learning
from basaltspread.policy.reader_choice import ReaderChoice
from basaltspread.policy.router_state import NOTHING_ARRIVED, TAUGHT, RouterState
from basaltspread.policy.silence import LEAST_PATIENCE, PATIENCE, Silence

LONG_READ = 0.4  # share of the tightest aim that a read takes of which other routers are told
WATCH_TIMER = 1


class Router(ReaderChoice, Learning, Silence):
    """One router's decisions. The same settings and events give the same actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:  # seed: nothing is drawn from it now
        RouterState.__init__(self, settings)
        self.candidates = Candidates(self.index, self.held, settings.zone)
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.Arrival: self._arrived, api.AttemptEnded: self._ended, api.FirstToken: self._first_token,
            api.PlaceAnswer: self._place_answer, api.ClientGone: self._client_gone,
            api.StateReleased: self._state_released, api.PeerEstimates: self._estimates_told,
            api.WorkerList: self._listed, api.TimerFired: self._timer, api.ProbeEnded: self._probed,
        }  # fmt: skip

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        self.now, self.out = now, []
        for event in events:  # peers' messages are read elsewhere, and come as probes' results
            self.handlers.get(type(event), lambda _: None)(event)
        if not self.timer_set and self.unanswered:
            self.timer_set = True
            self.out.append(api.SetTimer(max(WATCH_STEP, self.s.tick), WATCH_TIMER))
        return self.out

    def share_with(self, processes: int) -> None:
        """So many processes of this router run now, this one among them."""
        self.slow_start.processes = max(1, processes)

    def slow_start_figures(self, now: int) -> api.SlowStartFigures:
        return self.slow_start.figures(now)

    def knowledge(self, now: int) -> dict[str, Any]:
        return snapshot.take(self, now)

    def recall(self, now: int, told: dict[str, Any]) -> None:
        snapshot.restore(self, now, told)

    def _tell_estimates(self) -> None:
        warm = {role: self.index.warm_weight(self.now, role) > 0 for role in Role}
        told = self.estimates.to_tell(self.now, warm)
        if told is not None:
            self.out.append(told)

    def _estimates_told(self, told: api.PeerEstimates) -> None:
        self.estimates.hear(self.now, told)

    # --- the list of workers ----------------------------------------------------------------------------

    def _listed(self, event: api.WorkerList) -> None:
        """Costs a few steps for each entry; a whole list one more for each worker."""
        self.slow_start.begin(self.now)
        if event.kind is not api.ListKind.FAILED:
            for entry in event.entries:
                self._entry_told(entry)
            if event.kind is not api.ListKind.DELTA:
                self._remove_all_but({entry.name for entry in event.entries})
        for worker in list(self.leaving.values()):
            self._forget_if_idle(worker)
        if self.s.list_must_be_asked and event.kind in (api.ListKind.CACHED, api.ListKind.FAILED):
            self.out.append(api.WatchList(True))

    def _entry_told(self, entry: api.WorkerEntry) -> None:
        worker = self.fleet.get(entry.name)
        known = self.s.kinds[entry.kind : entry.kind + 1]
        role, memory = (known[0].role, known[0].memory_tokens) if known else (Role.MIXED, 0)
        new = worker is None or entry.started > worker.started or role is not worker.role
        if worker is None:
            worker = self.fleet[entry.name] = Worker(entry, role, memory)
        worker.update(entry)
        worker.role, worker.memory = role, memory
        if new:
            worker.restarted(self.now)
            self.dark.pop(worker.zone, None)  # machines there start again
        self._file(worker)

    def _remove_all_but(self, named: set[str]) -> None:
        for worker in self.fleet.values():
            if worker.name not in named:
                worker.state = api.WorkerState.REMOVED
                self._file(worker)

    def _file(self, worker: Worker) -> None:
        """Its entry has changed."""
        self.index.put(worker)
        if worker.state is api.WorkerState.REMOVED:
            self.leaving[worker.name] = worker
        else:
            self.leaving.pop(worker.name, None)

    def _forget_if_idle(self, worker: Worker) -> None:
        if not worker.reads and not worker.writes:
            del self.leaving[worker.name]
            del self.fleet[worker.name]

    # --- a request's way --------------------------------------------------------------------------------

    def _arrived(self, arrival: api.Arrival) -> None:
        cls = self.s.classes[arrival.request_class]
        request = Request(arrival, cls, self.now, self._over_share(arrival))
        self.requests[request.id] = request
        self.estimates.arrived(arrival)
        self._tell_estimates()
        wait, allowed = self._expected_wait(), self._bearable(request)
        if arrival.is_resumed or self.many or wait <= allowed:
            self.unanswered[request.id] = None
            self._advance(request)
        else:  # it comes too late
            self._give_up(request, self._grounds(request, RefusalReason.FLEET_BUSY, wait, allowed))

    def _advance(self, request: Request) -> None:
        """The one owner of "nothing in flight: send or release", called after every event of a request."""
        if request.out is not None:
            return
        if request.done:
            if request.holds:
                self.out.append(api.Release(request.id))
            self.requests.pop(request.id, None)
            return
        if request.reader is None and self._held_long(request):  # a place alone: readers are tried without it
            self._nothing_held(request)
            self.out.append(api.Release(request.id))
        barred = request.ran is not None and request.cls.effect is Effect.UNSAFE
        reason = RefusalReason.MAY_HAVE_RUN if barred else self._no_further(request)
        if reason is not None:
            self._give_up(request, self._grounds(request, reason))
        elif not self._send_next(request) and not self._keep_waiting(request):
            self._give_up(request, self._grounds(request, RefusalReason.NO_WORKER))

    @staticmethod
    def _nothing_held(request: Request) -> None:
        request.holds = False
        request.reader, request.place, request.placed = None, None, False

    def _send_next(self, request: Request) -> bool:
        """Whether it could be sent, or its end was decided."""
        if request.reader is not None:
            return self._send_write(request, request.reader)
        return self._send_read(request)

    def _timer(self, event: api.TimerFired) -> None:
        self.timer_set = False  # there is no other
        for name in list(self.unanswered):
            request = self.requests[name]
            if request.out is None:
                self._advance(request)
            elif not request.out.cancelled:
                self._watch(request, request.out)

    def _watch(self, request: Request, out: Attempt) -> None:
        if 0 < out.tell_again_at <= self.now:  # it takes more than its size: half as long again?
            self._tell_long(out, (self.now - out.sent_at) / 2)
        self._check_silence(request, out)

    def _send_read(self, request: Request) -> bool:
        pool, homes = self._reader_pool(request)
        if not pool:
            return self._send_unread(request)
        chosen = self._choose_reader(request, pool, homes)
        grounds = self._too_busy(request, chosen)
        if grounds is not None and (others := [w for w in pool if w is not chosen.worker]):
            chosen = self._choose_reader(request, others, homes.without(chosen.worker))
            grounds = self._too_busy(request, chosen)
        if grounds is not None:  # one busy reader is no reason, where another would not let it wait
            self._give_up(request, grounds)
            return True
        worker, need = chosen.worker, chosen.unread(request)
        out = self._send(request, worker, True, need, self.read_time.of(need))
        out.place = chosen.place
        out.promised, worker.reads[request.id] = self.held.tokens(request.a, worker, self.now), need
        self._tell_long(out, need * self.token_time)
        self.held.sent(request.a, worker, self.now)
        request.place, request.placed, request.asked = None, False, []
        self._hold_place(request)
        return True

    def _send_unread(self, request: Request) -> bool:
        """Where no reader is listed, to a worker that reads the prompt itself."""
        if len(self.index.group(Role.READER)):
            return False
        pool = self._writer_pool(request, None)
        if not self.s.writers_read:
            pool = [worker for worker in pool if worker.role is Role.MIXED]
        return bool(pool) and self._send_write(request, None)

    def _send_write(self, request: Request, reader: Worker | None) -> bool:
        worker, pool = request.place, self._writer_pool(request, reader)
        if worker is None or worker.name in request.failed or worker not in pool:
            request.asked = []
            worker = self._choose_writer(request, reader, pool)
        else:
            self.chosen_for = api.ChoiceReason.PLACE
        if worker is None:
            return False
        tokens = request.a.prompt_tokens
        out = self._send(request, worker, False, tokens, self.first_time.of(tokens))
        out.source = reader
        worker.writes[request.id] = worker.sent[request.id] = tokens
        return True

    def _send(self, request: Request, worker: Worker, reading: bool, need: int, usual: float) -> Attempt:
        timeout = left = request.deadline - self.now
        another = request.cls.effect is Effect.SAFE and request.sent + 1 < self.s.limits.max_attempts
        if another and not self.s.limits.cancel:
            timeout = min(left, max(LEAST_PATIENCE, int(PATIENCE * usual)))  # no other way to call it back
        request.out = out = Attempt(request.sent, worker, reading, self.now, need)
        request.sent += 1
        self.slow_start.spend(self.now, request, worker)
        self.candidates.recent.used(worker)
        self.out.append(api.Send(request.id, worker.name, max(1, timeout), self._choice_grounds(worker)))
        return out

    def _choice_grounds(self, worker: Worker) -> api.ChoiceGrounds:
        """For the log: why this worker was just chosen, and how old its figures are."""
        wait = self._wait_at(worker, self._pool_wait(worker.role))
        age = None if worker.figures_at is None else self.now - worker.figures_at
        return api.ChoiceGrounds(self.chosen_for, int(wait), age, self.looked_at)

    def _tell_long(self, out: Attempt, time: float) -> None:
        """Readers read in turn, unseen by others. Who just started knows no speed: it saw queues alone."""
        if self.many and self.read_time.count >= TAUGHT and time > LONG_READ * self.tightest:
            out.tell_again_at = 0 if out.tell_again_at else self.now + int(time)  # once: it may be lost
            self.out.append(api.LongRead(out.worker.name, int(time)))

    def _place_answer(self, event: api.PlaceAnswer) -> None:
        request = self.requests.get(event.request)
        if request is None or request.out is None or not request.out.reading:
            return
        if request.out.number != event.attempt:
            return  # too late: the read has ended and the request has gone on
        place = request.place
        if place is not None and event.worker in request.asked and event.worker != place.name:
            return  # of an earlier place; some hosts name the reader, whose attempt carries the answer
        request.placed = event.held
        if place is not None:
            place.heard_at = self.now  # it runs
        if not event.held:
            self._place_refused(request, place)

    def _place_refused(self, request: Request, place: Worker | None) -> None:
        request.place = None
        if place is not None and self.s.report_fields:  # fresher than any report: no room there
            place.report, place.told_at = {**place.report, "memory_share": 1.0}, self.now
        if not request.done:
            self._hold_place(request)

    def _first_token(self, event: api.FirstToken) -> None:
        worker = self.fleet.get(event.worker)
        if worker is None:
            return
        worker.heard_at = self.now
        request = self.requests.get(event.request)
        if request is None or request.out is None:
            return
        worker.newest_answered = max(worker.newest_answered, request.out.sent_at)
        request.streaming, request.holds = True, False
        self._took(worker, request)
        self.unanswered.pop(request.id, None)
        self.slow_start.completed(self.now, worker, 1.0)
        if not request.done:
            self._learn_first_token(request, request.out, event.elapsed)

    def _ended(self, event: api.AttemptEnded) -> None:
        worker = self.fleet.get(event.worker)
        said = event.outcome in (Outcome.READ, Outcome.SERVED, Outcome.FULL, Outcome.ERROR)
        if worker is not None and said:
            worker.heard_at = self.now
            worker.told(self.now, dict(event.report), self.read_time.size)
        request = self.requests.get(event.request)
        if request is None or request.out is None or request.out.number != event.attempt:
            return
        attempt, request.out = request.out, None
        worker = attempt.worker
        if event.outcome not in NOTHING_ARRIVED:  # else the time for what is held runs on
            request.idle_since = self.now
        for open_calls in (worker.reads, worker.writes, worker.sent):
            open_calls.pop(request.id, None)
        if event.outcome in (Outcome.READ, Outcome.SERVED):
            worker.newest_answered = max(worker.newest_answered, attempt.sent_at)
        request.done = request.done or event.request_ended
        if request.done:
            self.unanswered.pop(request.id, None)
        self._judge(request, attempt, event)
        if not request.done and self.now >= request.deadline:
            self._give_up(request, self._grounds(request, RefusalReason.DEADLINE))
        else:
            self._advance(request)

    def _client_gone(self, event: api.ClientGone) -> None:
        request = self.requests.get(event.request)
        if request is None:
            return
        request.done = True
        self.unanswered.pop(request.id, None)
        if not request.streaming:
            self._cancel(request)
        self._advance(request)

    def _state_released(self, event: api.StateReleased) -> None:
        """Nothing is held for it any more: what goes on has to be read again."""
        request = self.requests.get(event.request)
        if request is not None:
            self._nothing_held(request)
            self._advance(request)

    def _give_up(self, request: Request, grounds: api.Grounds) -> None:
        """The final answer, at once: refused where that is truthful, else failed."""
        if self._refusable(request):
            self.out.append(api.Refuse(request.id, self._retry_after(), grounds))
        else:
            self.out.append(api.Fail(request.id, grounds))
        request.done = True
        self.unanswered.pop(request.id, None)
        self._advance(request)
