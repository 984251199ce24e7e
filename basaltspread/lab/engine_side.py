"""The virtual fleet's engines: how they start, fail and answer, and what they hold."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

from basaltspread import core
from basaltspread import interface as api
from basaltspread.core import Ending, Place
from basaltspread.lab.entities import MEAN_ANSWER, MEAN_PROMPT, READER, Ask, Engine, Gateway, Job, Unread
from basaltspread.lab.fleet_state import (
    FIRST_TIME,
    NEAR_TOKENS_PER_US,
    OTHER_CELL,
    OTHER_ZONE,
    SLACK,
    STREAM_TIME,
)
from basaltspread.lab.gateway_side import GatewaySide
from basaltspread.lab.overload import EngineArrival
from basaltspread.lab.prefix_cache import Prompt
from basaltspread.lab.queues import ReadQueue, WriteSlots
from basaltspread.lab.settings import MS, SECOND

CONNECT = 250 * MS
CUT_LOOK = 20 * MS  # between two looks whether a cut is over
PROBE_WAIT, RELEASE_WAIT = SECOND, SECOND // 2  # for an answer
REPORT_PERIOD, REPORT_DELAY = (620 * MS, 1100 * MS), (150 * MS, 460 * MS)
REPORT_NOISE = 0.1
PEER_DELAY, PEER_WAVES = (1 * MS, 39 * MS), 5  # of a peers' message
FALL_TOLD = (1200 * MS, 4500 * MS)  # after which a gateway hears that an engine has gone
FULL = 20  # requests lately at an engine that fill its memory


def job_key(request: str, number: int) -> str:
    """By which an engine's queue knows an attempt."""
    return f"{request}#{number}"


class EngineSide(GatewaySide):
    """What comes of everything that gateways send."""

    def replace_engine(self, name: str) -> list[str]:
        """Its machine goes, and a cold one comes for it."""
        old = self.engines[name].entry
        self.die(name)
        self.add_engine(name + "+", old.kind, old.zone, self.now)
        return [name, name + "+"]

    def die(self, name: str) -> None:
        engine = self.engines[name]
        engine.alive = False
        for unread in engine.unread:
            unread.lost()
        engine.unread, engine.postponed = [], []
        self._lose_jobs(engine)
        for held in self.held.values():
            held.lost_with(name)

    def come_back_cold(self, name: str) -> None:
        """A new process on the same machine, under the same name."""
        engine = self.engines[name]
        engine.alive, engine.silent, engine.hung, engine.frozen = True, False, False, False
        self._lose_jobs(engine)
        engine.entry = replace(engine.entry, started=self.now)
        self.equip(engine)

    def hang(self, name: str, time: int) -> None:
        """It takes work in, answers nothing, and answers all at once in the end."""
        self.engines[name].hung = True
        self.after(time, lambda: self._go_on(self.engines[name]))

    def freeze(self, name: str) -> None:
        """Its process stands still, its machine does not."""
        self.engines[name].frozen = True

    def thaw(self, name: str) -> None:
        """It goes on: with what it had begun, then with all that came meanwhile, closed or not."""
        engine = self.engines[name]
        engine.frozen = False
        self._go_on(engine)
        unread, engine.unread = engine.unread, []
        for one in unread:
            one.read()

    def _go_on(self, engine: Engine) -> None:
        engine.hung = False
        postponed, engine.postponed = engine.postponed, []
        for answer in postponed:
            answer()

    def _answer(self, engine: Engine, answer: Callable[[], None]) -> None:
        if engine.hung or engine.frozen:
            engine.postponed.append(answer)
        else:
            answer()

    def drain(self, name: str) -> None:
        engine = self.engines[name]
        engine.entry = replace(engine.entry, state=api.WorkerState.DRAINING)

    def carry(self, g: Gateway, effect: Any) -> None:
        match effect:
            case core.Wake():
                self.later(g, effect.at - self.now, core.Woken(effect.token))
            case core.StartAttempt():
                self.asks[effect.request].out.add(effect.number)
                self.asks[effect.request].workers[effect.number] = effect.worker
                self._connect(g, effect)
            case core.AbandonAttempt():
                q = self.asks[effect.request]
                if self.reaches(g, worker := q.workers.get(effect.number, "")):
                    q.close_known.add(effect.number)
                    self._give_up_job(self.engines[worker], effect.request, effect.number)
                self._closed(effect.request, effect.number)
            case core.AskPlace():
                self.after(1 * MS, lambda: self._place(g, effect))
            case core.AbandonPlace():
                self._place_over(g, effect.request, effect.worker, 0, Place.UNANSWERED)
            case core.SendRelease():
                self._release(g, effect)
            case core.StartProbe():
                self.after(1 * MS, lambda: self._probe(g, effect.worker))
            case core.TellPeers():
                self.costs["bytes told"] += len(effect.payload) * (len(self.gateways) - 1)
                self._tell_peers(g, effect.payload)
            case core.Answer():
                self.answered(effect.request, effect.verdict.value)
            case core.EndStream():
                self.answered(effect.request, "served")
            case core.BreakClient():
                self.answered(effect.request, "broken")

    def _tell_peers(self, sender: Gateway, payload: bytes) -> None:
        """Reaches each other gateway a little later; with queues in a few waves, as their days have many."""
        told = core.PeerTold(payload)
        if not self.queues:
            for other in self.gateways:
                if other is not sender:
                    self.later(other, self.noise.randrange(1, 39) * MS, told)
            return
        self.costs["messages told"] += 1
        others = [(other, other.life) for other in self.gateways if other is not sender]
        start = self.noise.randrange(PEER_WAVES)
        for wave in range(PEER_WAVES):
            part = ((wave + start) % PEER_WAVES + self.noise.random()) / PEER_WAVES
            delay = int(PEER_DELAY[0] + part * (PEER_DELAY[1] - PEER_DELAY[0]))
            self.after(delay, partial(self._peers_told, others[wave::PEER_WAVES], told))

    def _peers_told(self, others: list[tuple[Gateway, int]], told: core.PeerTold) -> None:
        for other, life in others:
            if other.life == life:
                self.feed(other, told)

    def _closed(self, request: str, number: int) -> None:
        q = self.asks[request]
        q.out.discard(number)
        if self.held[request].fetching == number:
            self.held[request].fetching = None
        if number in q.arrived:  # while connections don't come up, the time for what is held runs on
            q.arrived.discard(number)
            q.idle_since = self.now

    def _end(self, g: Gateway, effect: core.StartAttempt, ending: Ending, kept: int = 0) -> None:
        if g.state is not None and effect.number in self.asks[effect.request].out:
            self._closed(effect.request, effect.number)
            self.feed(g, core.Ended(effect.request, effect.number, ending, kept))

    def _end_later(self, g: Gateway, effect: core.StartAttempt, wait: int, ending: Ending) -> None:
        life = g.life
        self.after(wait, lambda: self._end(g, effect, ending) if g.life == life else None)

    def _open(self, g: Gateway, effect: core.StartAttempt, life: int) -> bool:
        return g.life == life and g.state is not None and effect.number in self.asks[effect.request].out

    def _connect(self, g: Gateway, effect: core.StartAttempt) -> None:
        life = g.life

        def came_up() -> None:
            if not self._open(g, effect, life):
                return
            engine = self.engines[effect.worker]
            if not self.reaches(g, effect.worker) and self.keeps_connections:
                self._written_only(g, effect)
            elif not self.reaches(g, effect.worker):
                self._end_later(g, effect, CONNECT, Ending.CONNECT_TIMED_OUT)
            elif not engine.alive:
                self.costs["refused"] += 1
                self._end(g, effect, Ending.REFUSED)
            elif engine.loses and self.noise.random() < engine.loses:
                self._written_only(g, effect)
            elif engine.frozen and self.noise.random() < self.frozen_accepts:
                self._written_only(g, effect)
                engine.unread.append(Unread(
                    lambda: self._arrived(g, effect, engine, life) if self._open(g, effect, life) else None,
                    lambda: self._end(g, effect, Ending.RESET),
                ))  # fmt: skip
            elif engine.frozen:
                self._end_later(g, effect, CONNECT, Ending.CONNECT_TIMED_OUT)
            else:
                self._sent(g, effect, engine, life)

        late = self.noise.random() < self.late_connects
        time = self.noise.randrange(SECOND) if late else 1 * MS
        if time >= CONNECT:
            self._end_later(g, effect, CONNECT, Ending.CONNECT_TIMED_OUT)
        else:
            self.after(time, came_up)

    def _written_only(self, g: Gateway, effect: core.StartAttempt) -> None:
        """On a connection that was open: the system takes the bytes, and the engine never does."""
        self.feed(g, core.Begun(effect.request, effect.number))
        self.feed(g, core.Written(effect.request, effect.number))

    def _probe(self, g: Gateway, name: str) -> None:
        engine = self.engines[name]
        self.costs["probes"] += 1
        if engine.frozen:
            late = core.Probed(name, Ending.TIMED_OUT, PROBE_WAIT)
            self._wait_for(g, engine, PROBE_WAIT, late, lambda waits: self._probe(g, name) if waits else None)
        elif not self.reaches(g, name) or engine.hung:
            self.later(g, CONNECT, core.Probed(name, Ending.CONNECT_TIMED_OUT, CONNECT))
        elif not engine.alive:
            self.later(g, 1 * MS, core.Probed(name, Ending.REFUSED, 1 * MS))
        else:
            report = {"prompt_k_waiting": 0.0}
            if engine.work is not None:
                report = engine.report
            elif "memory_share" in self.settings.report_fields:  # an engine that has just come back is empty
                lately = sum(s > self.now - STREAM_TIME for s in self.engines[name].sends)
                report["memory_share"] = min(1.0, lately / FULL)
            wait = 2 * MS + self._probe_wait(engine)
            if wait < PROBE_WAIT:
                self.later(g, wait, core.Probed(name, Ending.SERVED, wait, report))
            else:
                self.later(g, PROBE_WAIT, core.Probed(name, Ending.TIMED_OUT, PROBE_WAIT))

    def _probe_wait(self, engine: Engine) -> int:
        """For which a probe waits there, in us: with deep probes it is served in turn."""
        if not self.deep_probes or not isinstance(engine.work, ReadQueue):
            return 0
        return engine.work.time_to_read(self.now, 0)

    def _sent(self, g: Gateway, effect: core.StartAttempt, engine: Engine, life: int) -> None:
        rid = effect.request
        told = g.told.get(effect.worker)
        if told is not None and self.now > told + self.settings.rules.drain_grace + SLACK:
            self.breach("drain", f"{rid} to {effect.worker}")
        self.feed(g, core.Begun(rid, effect.number))
        self.feed(g, core.Written(rid, effect.number))
        if self._open(g, effect, life):
            self._arrived(g, effect, engine, life)

    def _arrived(self, g: Gateway, effect: core.StartAttempt, engine: Engine, life: int) -> None:
        """An engine that runs has its last byte."""
        rid, q = effect.request, self.asks[effect.request]
        arrival = self._arrival(g, effect, engine)
        engine.arrivals.append(arrival)
        if self._falls(engine, arrival):
            self.fall(effect.worker)
            self._end(g, effect, Ending.RESET)
            return
        q.arrived.add(effect.number)
        self.costs["attempts"] += 1
        if not effect.reading:
            self.costs["writes"] += 1
            self.costs["writes_with_place"] += effect.worker in self.held[rid].places
            self.costs["writes_without_state"] += not self.held[rid].states
            self.held[rid].places.clear()  # taken here, or given up by a write elsewhere
            if q.unsafe and q.may_have_run:
                self.breach("unsafe twice", rid)
            q.may_have_run = True
        if effect.reading:
            self.held[rid].reading.add(effect.number)
        if engine.sick:
            self.costs["errors"] += 1
            self._end_later(g, effect, 2 * MS, Ending.SERVER_ERROR)
        elif effect.reading and engine.work is not None:
            self._queue(g, effect, engine, life)
        elif effect.reading:
            self.after(self._reading_time(engine, q), lambda: self._answer(
                engine, lambda: self._read(g, effect, engine, life)
            ))  # fmt: skip
        elif not self.held[rid].states:
            q.may_have_run = False
            self._end_later(g, effect, 1 * MS, Ending.STATE_GONE)
        else:
            self.held[rid].fetching = effect.number
            if engine.work is not None:
                self._queue(g, effect, engine, life)
                return
            time = self._slow(engine, FIRST_TIME)
            self.after(time, lambda: self._answer(engine, lambda: self._first(g, effect, engine, life)))

    def answered(self, name: str, answer: str) -> None:
        """A client has its final answer."""
        raise NotImplementedError

    # --- engines that can do so much and no more

    def fall(self, name: str) -> None:
        """A cold engine that got too much: it stays down, and discovery tells of it."""
        self.costs["fallen"] += 1
        self.die(name)
        self.tell([name], *FALL_TOLD)

    def _falls(self, engine: Engine, arrival: EngineArrival) -> bool:
        """Whether this arrival is more than a cold engine survives."""
        warm_at = engine.entry.started + self.settings.rules.warm_within
        return (
            engine.budget is not None and self.now < warm_at and engine.budget.falls(self.now, arrival.work)
        )

    def _queue(self, g: Gateway, effect: core.StartAttempt, engine: Engine, life: int) -> None:
        """An attempt joins what the engine has to do, or is turned away."""
        q, key = self.asks[effect.request], job_key(effect.request, effect.number)
        match engine.work:
            case ReadQueue():
                prompt = Prompt(q.prompt_tokens, q.prefix, q.prefix_tokens, q.session)
                refusal = engine.work.offer(self.now, key, q.prompt_tokens, prompt if self.caches else None)
            case WriteSlots():
                fetch_time = self._fetch_time(effect.request, engine)
                refusal = engine.work.offer(self.now, key, q.prompt_tokens, q.answer_tokens, fetch_time)
            case _:
                return
        if refusal is not None:
            self.costs["turned away"] += 1
            q.may_have_run = q.may_have_run and effect.reading
            self._end_later(g, effect, 1 * MS, Ending.TURNED_AWAY)
            return
        engine.jobs[key] = Job(g, effect, life)
        self._await_work(engine)

    def _fetch_time(self, request: str, writer: Engine) -> int:
        """For which a state is under way from its reader, in us."""
        reader = self.engines.get(next(iter(self.held[request].states), ""))
        if not self.caches or reader is None:
            return 0
        there, here = reader.entry, writer.entry
        factor = OTHER_ZONE if there.zone != here.zone else OTHER_CELL if there.cell != here.cell else 1.0
        return int(self.asks[request].prompt_tokens / NEAR_TOKENS_PER_US * factor)

    def _await_work(self, engine: Engine) -> None:
        """Look at the engine when the next thing there ends."""
        due = engine.work.next_end() if engine.work is not None else None
        if due is None or (engine.wake_at is not None and self.now <= engine.wake_at <= due):
            return
        engine.wake_at, work = due, engine.work
        self.at(due, lambda: self._work_due(engine) if engine.work is work else None)

    def _work_due(self, engine: Engine) -> None:
        if engine.wake_at is not None and engine.wake_at <= self.now:
            engine.wake_at = None
        match engine.work:
            case ReadQueue():
                for ended in engine.work.ended(self.now):
                    job = engine.jobs.pop(ended.key)
                    self._answer(engine, lambda job=job, kept=ended.kept: self._read(  # type: ignore[misc]
                        job.gateway, job.effect, engine, job.life, kept
                    ))  # fmt: skip
            case WriteSlots():
                for ended in engine.work.first_tokens(self.now):
                    job = engine.jobs[ended.key]
                    self._answer(engine, lambda job=job: self._first(  # type: ignore[misc]
                        job.gateway, job.effect, engine, job.life
                    ))  # fmt: skip
                for ended in engine.work.ended(self.now):
                    job = engine.jobs.pop(ended.key)
                    self._answer(engine, lambda job=job: self._whole(engine, job))  # type: ignore[misc]
        self._await_work(engine)

    def _whole(self, engine: Engine, job: Job) -> None:
        """An answer has been written to its end."""
        if self.reaches(job.gateway, engine.entry.name):
            life = job.life
            if job.gateway.life == life:
                self._end(job.gateway, job.effect, Ending.SERVED)

    def _give_up_job(self, engine: Engine, request: str, number: int) -> None:
        """The engine's system knows that the connection of an attempt is closed."""
        key = job_key(request, number)
        if engine.work is None or key not in engine.jobs:
            return
        engine.work.give_up(self.now, key)
        if key not in engine.work.keys():
            del engine.jobs[key]
        self._await_work(engine)

    def _lose_jobs(self, engine: Engine) -> None:
        """Its process ends: connections are reset where that is heard."""
        jobs, engine.jobs, engine.work = list(engine.jobs.values()), {}, None
        engine.budget = None
        for job in jobs:
            if self.reaches(job.gateway, engine.entry.name) and job.gateway.life == job.life:
                self._end(job.gateway, job.effect, Ending.RESET)

    def lose_clients(self, g: Gateway) -> None:
        """A process of a gateway has died: engines that hear of it drop what waits for it."""
        for name, engine in self.engines.items():
            if engine.work is not None and self.reaches(g, name):
                for job in [job for job in engine.jobs.values() if job.gateway is g]:
                    self._give_up_job(engine, job.effect.request, job.effect.number)

    def watch_loads(self) -> None:
        """From now on each engine renews its load report now and then, and tells it late."""
        for engine in list(self.engines.values()):
            self._report_loads(engine)

    def _report_loads(self, engine: Engine) -> None:
        report = {}
        match engine.work:
            case ReadQueue():
                noise = self.noise.uniform(1 - REPORT_NOISE, 1 + REPORT_NOISE)
                report = {"prompt_k_waiting": engine.work.waiting_tokens / 1000 * noise, "memory_share": 0.0}
            case WriteSlots():
                noise = self.noise.uniform(1 - REPORT_NOISE, 1 + REPORT_NOISE)
                share = min(1.0, engine.work.memory_share * noise)
                report = {"prompt_k_waiting": 0.0, "memory_share": share}
        if not engine.alive:
            return
        work = engine.work

        def told() -> None:
            if engine.work is work:
                engine.report = report

        self.after(self.noise.randrange(*REPORT_DELAY), told)
        self.after(self.noise.randrange(*REPORT_PERIOD), lambda: self._report_loads(engine))

    def _arrival(self, g: Gateway, effect: core.StartAttempt, engine: Engine) -> EngineArrival:
        q, known = self.asks[effect.request], g.known.get(effect.worker)
        told = known is not None and known.entry.started == engine.entry.started
        return EngineArrival(self.now, self.work(q, effect.reading), told, effect.request, g.number)

    @staticmethod
    def work(q: Ask, reading: bool) -> float:
        """In requests of mean work, as the clients' ordinary requests are: a reader reads the prompt, a
        writer takes it in and writes the answer."""
        prompt, answer = q.prompt_tokens / MEAN_PROMPT, q.answer_tokens / MEAN_ANSWER
        return prompt if reading else (prompt + answer) / 2

    def _reading_time(self, engine: Engine, q: Ask) -> int:
        """Of a prompt alone at this engine: the mean one takes as long as its capacity says."""
        mean = SECOND / self.capacity[READER] / self.warmth(engine, self.now)
        return int(mean * q.prompt_tokens / MEAN_PROMPT * self.noise.uniform(0.9, 1.4))

    def _slow(self, engine: Engine, time: int) -> int:
        return int(time * self.noise.uniform(0.7, 1.6) / self.warmth(engine, self.now))

    def _read(self, g: Gateway, effect: core.StartAttempt, engine: Engine, life: int, kept: int = 0) -> None:
        """The state stays, unless the engine knows that its reader has gone. It tells how many tokens of the
        prompt it had `kept`."""
        if not engine.alive:
            if self.reaches(g, effect.worker) and self._open(g, effect, life):
                self._end(g, effect, Ending.RESET)
            return
        heard = self.reaches(g, effect.worker)
        known = effect.number in self.asks[effect.request].close_known
        if (heard or known) and not self._open(g, effect, life):
            return
        held = self.held[effect.request]
        held.reading.discard(effect.number)
        if effect.number in held.emptied:
            self.costs["reads_emptied"] += 1
            self.emptied_at.append(self.now - self.began)
        else:
            held.states[effect.worker] = self.now
        if heard:
            self._end(g, effect, Ending.READ, kept)

    def _first(self, g: Gateway, effect: core.StartAttempt, engine: Engine, life: int) -> None:
        if not self._open(g, effect, life):
            return
        if not engine.alive:
            self._end(g, effect, Ending.RESET)
        elif self.reaches(g, effect.worker):
            self.asks[effect.request].streams = True
            self.asks[effect.request].first_token_at = self.now
            self.first_tokens.append(self.now - self.asks[effect.request].came_at)
            self.held.pop(effect.request, None)
            self.feed(g, core.FirstEvent(effect.request, effect.number))
            if engine.work is None:  # else its end comes by the work that it has
                time = int(STREAM_TIME * self.asks[effect.request].answer_tokens / MEAN_ANSWER)
                self._end_later(g, effect, time, Ending.SERVED)

    def _place(self, g: Gateway, effect: core.AskPlace) -> None:
        """A writer that runs takes the question; a frozen one as it thaws, whoever waits for its answer."""
        engine, key = self.engines[effect.worker], (effect.request, effect.worker)
        if not engine.alive or not self.reaches(g, effect.worker):
            self.questions.add(key)
            self._place_over(g, *key, effect.number, Place.NOT_ASKED, CONNECT)
            return
        self.questions.add(key)
        if engine.frozen:
            engine.unread.append(Unread(
                lambda: self._take_place(g, effect, engine),
                lambda: self._place_over(g, *key, effect.number, Place.UNANSWERED),
            ))  # fmt: skip
        else:
            self._take_place(g, effect, engine)

    def _take_place(self, g: Gateway, effect: core.AskPlace, engine: Engine) -> None:
        said, q = Place.HELD, self.asks[effect.request]
        kept = effect.worker in self.held[effect.request].places  # asked for again: it has the room already
        if not kept and self.noise.random() < self.places_refused:
            said = Place.NOT_HELD
        else:
            self.held[effect.request].places = {effect.worker: self.now}  # a new one replaces it
            q.idle_since = self.now
        if said is Place.HELD and self.noise.random() < self.places_lost:
            said = Place.UNKNOWN  # its answer does not tell, the place is held
        self._answer_place(g, effect, said)

    def _answer_place(self, g: Gateway, effect: core.AskPlace, said: Place) -> None:
        """Behind a cut the answer waits until that is over."""
        if self.reaches(g, effect.worker):
            self._place_over(g, effect.request, effect.worker, effect.number, said, 1 * MS)
        elif self.engines[effect.worker].alive:
            self.after(CUT_LOOK, lambda: self._answer_place(g, effect, said))
        else:
            self._place_over(g, effect.request, effect.worker, effect.number, Place.UNANSWERED)

    def _place_over(
        self, g: Gateway, request: str, worker: str, number: int, said: Place, wait: int = 0
    ) -> None:
        if (request, worker) in self.questions:
            self.questions.discard((request, worker))
            self.later(g, wait, core.PlaceEnded(request, number, worker, said))

    def _wait_for(
        self, g: Gateway, engine: Engine, wait: int, late: core.Input, read: Callable[[bool], None]
    ) -> None:
        """A small call to a frozen engine: it is read as that thaws, whether anybody waits for it or not."""
        life, until = g.life, self.now + wait

        def waits() -> bool:
            return self.now < until and g.life == life

        def give_up() -> None:
            if pending in engine.unread and g.life == life:
                self.feed(g, late)

        pending = Unread(lambda: read(waits()), lambda: self.feed(g, late) if waits() else None)
        engine.unread.append(pending)
        self.after(wait, give_up)

    def _release(self, g: Gateway, effect: core.SendRelease, heard: bool = True) -> None:
        """`heard`: the gateway waits for its answer."""
        engine, there = self.engines[effect.worker], self.reaches(g, effect.worker)
        if there and engine.alive and engine.frozen:
            late = core.ReleaseEnded(effect.request, effect.worker, Ending.TIMED_OUT)
            self._wait_for(g, engine, RELEASE_WAIT, late, lambda waits: self._release(g, effect, waits))
            return
        if there and engine.alive and engine.hung:  # it answers nothing, and passes nothing on
            self.costs["releases"] += 1
            self.later(g, RELEASE_WAIT, core.ReleaseEnded(effect.request, effect.worker, Ending.TIMED_OUT))
            return
        done = there and engine.alive
        if done:
            self.after(1 * MS, lambda: self.held[effect.request].release())
        ending = Ending.SERVED if done else Ending.CONNECT_TIMED_OUT
        self.costs["releases"] += 1
        if heard:
            ended = core.ReleaseEnded(effect.request, effect.worker, ending)
            self.later(g, 2 * MS if there else CONNECT, ended)
