"""The way of each tool call to a server: queue, limit, try, pause, further try, second copy, end.

It owns jobs (a job is a call that has no outcome yet), the servers' state and every number that binds
them. Each input returns decisions, and each job ends in exactly one `Settle`, unless it is called off. It
must never do I/O, read a clock or word a message; and it must never let an unsafe job begin twice: `begun` is
set with the first byte of its one try, and no path leads from there to another `Start`.

What a try's ending means for its job stands in one table (`FATES`), by the same endings as an engine's.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from basaltspread.control import budget
from basaltspread.control.decisions import Decision, Key, Note, Settle, Start, Stop, Tell, Trial, WakeAt
from basaltspread.control.health import Health
from basaltspread.control.limits import AdaptiveLimit
from basaltspread.control.queues import FairQueue
from basaltspread.control.routes import Candidate, RouteTable, Server, choose
from basaltspread.endings import OUTCOMES, TOOL_FAULTS, Ending, ToolFault
from basaltspread.structures.sketch import Sketch

MS = 1000
TRIES = 3  # of a safe call, in all, copies included
PAUSE, LONGEST_PAUSE = 50 * MS, 1000 * MS  # between two tries: the first pause, and the most it grows to
NO_ROOM_PAUSE = 50 * MS  # where the gateway itself lacks a descriptor
LEAST_HEDGE = 20 * MS  # a second copy never goes out sooner
HEDGE_SEEN = 20  # answers of a tool, before its percentiles say anything
SKETCHES = 1024  # tools whose times are kept; others share one sketch
USUAL = 50.0 * MS  # us that a call is taken to last while nothing is known


class Fate(Enum):
    """What a try's ending says."""

    ANSWERED = auto()  # the reply is there
    NOT_OURS = auto()  # the gateway's own lack, or its own wish: says nothing of the server
    UNMADE = auto()  # the server has certainly not acted on it, and may be down
    TURNED_AWAY = auto()  # the same, and it is well but has no room
    FAILED = auto()  # the call may have been made


FATES: dict[Ending, Fate] = {
    Ending.SERVED: Fate.ANSWERED,
    Ending.NO_DESCRIPTOR: Fate.NOT_OURS,
    Ending.LOCAL_FAULT: Fate.NOT_OURS,
    Ending.WITHDRAWN: Fate.NOT_OURS,
    Ending.TURNED_AWAY: Fate.TURNED_AWAY,
    Ending.REFUSED: Fate.UNMADE,
    Ending.CONNECT_TIMED_OUT: Fate.UNMADE,
    Ending.BROKE_UNSENT: Fate.UNMADE,
}  # all others: FAILED


# --- state ----------------------------------------------------------------------------------------------


@dataclass(slots=True, eq=False)
class Station:
    """A server as it is known here."""

    spec: Server
    limit: AdaptiveLimit
    health: Health = field(default_factory=Health)
    out: int = 0  # tries at it
    unbegun: dict[tuple[Key, int], None] = field(default_factory=dict)  # of them, without their first byte
    gone: bool = False  # not in the table any more
    answers: int = 0
    failures: int = 0


@dataclass(slots=True)
class Try:
    station: Station
    started: int
    begun: bool = False
    heard: int = 0  # when a byte of its reply, or word of its progress, last came


@dataclass(slots=True)
class Job:
    key: Key
    tool: str
    tenant: int
    once: bool  # written once at the most
    deadline: int
    servers: tuple[str, ...] = ()
    tries: int = 0
    begun: bool = False  # a first byte of it has gone out
    out: dict[int, Try] = field(default_factory=dict)
    tried: set[str] = field(default_factory=set)
    fault: ToolFault = ToolFault.UNAVAILABLE  # of its last try
    numbers: int = 0  # of tries, also of those that do not count


class Dispatcher:
    """All tool calls of one gateway on their way. An input costs O(log n) in the calls that wait and O(s) in
    the servers of one route, however many calls are open; a job takes some 700 bytes.

    `room` is the number of tries that may be out at once, for the descriptors they need. Times are
    microseconds. Reaching a bound has a counter: `tool_queue_full`, `tool_calls_hopeless`, `tool_room_full`,
    `tool_retries_denied`.
    """

    def __init__(
        self, table: RouteTable, shares: Mapping[int, float] | None = None, seed: int = 0, room: int = 128
    ) -> None:
        self.table, self.room = table, room
        self._shares = dict(shares or {})
        self._lots = random.Random(seed)
        self.jobs: dict[Key, Job] = {}
        self.stations: dict[str, Station] = {}
        self.budget = budget.RetryBudget(table.policy.retry_share, table.policy.retry_reserve)
        self.out = 0
        self._drained: set[str] = set()  # by an operator or by the server itself, listed or not
        self._queues: dict[tuple[str, ...], FairQueue] = {}
        self._pools_of: dict[str, list[tuple[str, ...]]] = {}
        self._times: dict[str, Sketch] = {}
        self._decided: list[Decision] = []
        for spec in table.servers.values():
            self._add_station(spec)

    # --- inputs: each returns what is decided ---------------------------------------------------------

    def submit(self, now: int, key: Key, tool: str, tenant: int, once: bool, deadline: int) -> list[Decision]:
        """A call. Raises ValueError if a job with this key is open."""
        if key in self.jobs:
            raise ValueError(f"{key} is open")
        job = self.jobs[key] = Job(key, tool, tenant, once, deadline)
        self._decide(WakeAt(deadline, ("tool_late", *key)))
        self._admit(job, now)
        return self._done()

    def begun(self, now: int, key: Key, number: int) -> list[Decision]:
        """The first byte of this try is about to go out."""
        job, attempt = self._find(key, number)
        if job is not None and attempt is not None and not attempt.begun:
            job.begun = attempt.begun = True
            attempt.heard = attempt.started = now  # a connection's coming up says little of the server
            attempt.station.unbegun.pop((key, number), None)
            silence = attempt.station.spec.silence
            if silence:
                self._decide(WakeAt(now + silence, ("tool_silent", *key, number)))
            if job.tries == 1 and not job.once and len(job.servers) > 1 and self.table.policy.hedge:
                usual = self._times.get(job.tool)
                if usual is not None and usual.weight >= HEDGE_SEEN:
                    wait = max(LEAST_HEDGE, int(usual.quantile(self.table.policy.hedge_percentile)))
                    self._decide(WakeAt(now + wait, ("tool_hedge", *key, number)))
        return self._done()

    def heard(self, now: int, key: Key, number: int) -> None:
        """A byte of the reply, or word of its progress: puts silence off, and never the deadline."""
        _, attempt = self._find(key, number)
        if attempt is not None:
            attempt.heard = now

    def ended(self, now: int, key: Key, number: int, ending: Ending) -> list[Decision]:
        """A try has ended by itself."""
        job, attempt = self._find(key, number)
        if job is not None and attempt is not None:
            self._leave(job, number)
            self._end_try(job, attempt, ending, now)
            self._pump_for(attempt.station, now)
        return self._done()

    def call_off(self, now: int, key: Key) -> list[Decision]:
        """Nobody waits for this call any more. An unsafe one that has begun is heard out: it stays a job."""
        job = self.jobs.get(key)
        if job is not None and not (job.once and job.begun):
            self._drop(job, now, tell=True)
        return self._done()

    def woken(self, now: int, token: tuple[Any, ...]) -> list[Decision]:
        """A time has come that a WakeAt named."""
        match token:
            case ("tool_late", request, call):
                self._late((request, call), now)
            case ("tool_again", request, call):
                job = self.jobs.get((request, call))
                if job is not None and not job.out and not self._is_waiting(job):
                    self._admit(job, now)
            case ("tool_hedge", request, call, number):
                self._hedge((request, call), number, now)
            case ("tool_silent", request, call, number):
                self._silent((request, call), number, now)
            case ("tool_trial", server):
                station = self.stations.get(server)
                if station is not None and not station.health.draining and station.health.due(now):
                    self._decide(Note("tool_trials"), Trial(station.spec))
        return self._done()

    def tried(self, now: int, server: str, ok: bool) -> list[Decision]:
        """A trial has ended."""
        station = self.stations.get(server)
        if station is not None:
            if station.health.tried(ok, now, self._lots.random()):
                station.limit.cool()
                self._decide(Note("tool_servers_back"), Tell(f"tool server {server} answers again"))
                self._pump_for(station, now)
            elif not ok:
                self._decide(WakeAt(station.health.until, ("tool_trial", server)))
        return self._done()

    def drain(self, now: int, server: str, on: bool) -> list[Decision]:
        """A server drains, or is used again; on an operator's word or its own. What has begun there ends
        there; what has not goes elsewhere at once."""
        if on == (server in self._drained):
            return []
        self._drained.symmetric_difference_update({server})
        station = self.stations.get(server)
        if station is not None:
            station.health.draining = on
            self._decide(Tell(f"tool server {server} {'drains' if on else 'is used again'}"))
            if on:
                self._withdraw(station, now)
            else:
                station.limit.cool()
                if station.health.until > 0:
                    self._decide(WakeAt(max(now, station.health.until), ("tool_trial", server)))
            self._pump_for(station, now)
            if on:
                self._refuse_stranded(station, now)
        return self._done()

    def draining(self, server: str) -> bool:
        return server in self._drained

    def reroute(self, now: int, table: RouteTable) -> list[Decision]:
        """A new table: it binds at once all that has not begun; what is under way ends where it is."""
        old, self.table = self.table, table
        self.budget.reconfigure(table.policy.retry_share, table.policy.retry_reserve)
        for name, station in list(self.stations.items()):
            spec = table.servers.get(name)
            same = spec is not None and (spec.address, spec.path, spec.protocol) == (
                station.spec.address, station.spec.path, station.spec.protocol,
            )  # fmt: skip
            if spec is None or not same:
                station.gone = True
                del self.stations[name]
                self._withdraw(station, now, requeue=False)
            else:
                station.spec = spec
                station.limit.most, station.limit.adaptive = spec.most, table.policy.adaptive
                station.limit.limit = min(station.limit.limit, float(spec.most))
        self._drained &= {*self.stations, *table.servers}
        for spec in table.servers.values():
            if spec.name not in self.stations:
                self._add_station(spec)
        waiting = [key for queue in self._queues.values() for key in queue]
        self._queues.clear()
        self._pools_of.clear()
        idle = [job for job in self.jobs.values() if not job.out and (job.servers or job.key in waiting)]
        for job in idle:
            if not table.find(job.tool):  # also one in its pause: nothing will take it when it is over
                self._settle(job, ToolFault.NO_ROUTE)
        for key in waiting:
            if key in self.jobs:
                self._admit(self.jobs[key], now, again=True)
        if old.routes != table.routes:
            self._decide(Note("tool_reroutes"))
        return self._done()

    # --- what operators see, and the next process learns ----------------------------------------------

    def figures(self) -> dict[str, Any]:
        """Of each server and of the whole, in plain types."""
        return {
            "open": len(self.jobs),
            "out": self.out,
            "waiting": sum(len(queue) for queue in self._queues.values()),
            "retry_tokens": round(self.budget.tokens, 2),
            "servers": {
                name: {
                    "address": s.spec.address,
                    "state": "draining" if s.health.draining else s.health.condition.value,
                    "out": s.out, "limit": round(s.limit.limit, 2),
                    "answers": s.answers, "failures": s.failures,
                }
                for name, s in sorted(self.stations.items())
            },
        }  # fmt: skip

    def knowledge(self) -> dict[str, Any]:
        """For the process that takes over: limits as they were learnt, and who drains."""
        limits = {n: s.limit.limit for n, s in self.stations.items() if s.health.usable()}
        return {"limits": limits, "drained": sorted(self._drained)}

    def recall(self, now: int, told: Mapping[str, Any]) -> list[Decision]:
        """Half of what the other process had reached: both are at the servers for a while."""
        decided = []
        for name in told["drained"]:
            decided += self.drain(now, str(name), True)
        for name, limit in told["limits"].items():
            station = self.stations.get(name)
            if station is not None:
                half = min(float(limit) / 2, float(station.limit.most))
                station.limit.limit = max(station.limit.limit, half)
        return decided

    # --- on the way to a server -----------------------------------------------------------------------

    def _admit(self, job: Job, now: int, again: bool = False) -> None:
        """Into the queue of its route, or turned away at once where its time can't be kept."""
        job.servers = self.table.find(job.tool)
        if not job.servers:
            self._settle(job, ToolFault.NO_ROUTE)
            return
        queue = self._queue(job.servers)
        if not again and self._hopeless(job, queue, now):
            self._decide(Note("tool_calls_hopeless"))
            self._settle(job, ToolFault.OVERLOADED)
            return
        pushed_out = queue.push(job.key, job.tenant, job.deadline)
        self._pump(job.servers, now)
        if pushed_out is not None and pushed_out in self.jobs:
            self._decide(Note("tool_queue_full"))
            self._settle(self.jobs[pushed_out], ToolFault.OVERLOADED)

    def _hopeless(self, job: Job, queue: FairQueue, now: int) -> bool:
        """Whether it would not be answered in time, as far as can be known: then it is better told so now,
        while it has certainly not been made."""
        stations = [self.stations[name] for name in job.servers if name in self.stations]
        if all(s.health.draining for s in stations):
            return True
        rest = self._usual(job.tool)
        usable = [s for s in stations if s.health.usable()]
        if not usable:
            back = min(s.health.until for s in stations if not s.health.draining)
            return max(back, now) + rest > job.deadline
        if any(s.limit.room(s.out) for s in usable) and not len(queue):
            return False
        together = sum(s.limit.limit if s.limit.adaptive else s.limit.most for s in usable)
        wait = queue.ahead(job.tenant) * rest / max(1.0, together)
        return now + wait + rest / 2 > job.deadline

    def _pump_for(self, station: Station, now: int) -> None:
        """Room may have come up at this server."""
        pools = [p for p in self._pools_of.get(station.spec.name, ()) if self._queues.get(p)]
        pools.sort(key=lambda p: self._head_deadline(p))
        for pool in pools:
            self._pump(pool, now)
        if self.out < self.room <= self.out + 1:  # the gateway's own room was full: others may go on too
            for pool in list(self._queues):
                if pool not in pools:
                    self._pump(pool, now)

    def _head_deadline(self, pool: tuple[str, ...]) -> int:
        key = self._queues[pool].peek()
        return self.jobs[key].deadline if key is not None else 0

    def _pump(self, pool: tuple[str, ...], now: int) -> None:
        """Starts whoever is next while a server has room."""
        queue = self._queues[pool]
        while len(queue):
            key = queue.peek()
            assert key is not None
            job = self.jobs[key]
            if job.deadline - now < self._least(job.tool):
                queue.remove(key)
                self._decide(Note("tool_calls_hopeless"))
                self._settle(job, ToolFault.OVERLOADED)
                continue
            if self.out >= self.room:
                self._decide(Note("tool_room_full"))
                return
            station = self._choose(job)
            if station is None:
                return
            queue.pop(lambda k: self._usual(self.jobs[k].tool) / 1e6)
            self._start(job, station, now)

    def _choose(self, job: Job, but: Station | None = None) -> Station | None:
        candidates = [
            Candidate(s.spec.name, s.spec.weight, not self.table.zone or s.spec.zone == self.table.zone,
                      s.spec.name not in job.tried, s.out / max(1.0, s.limit.limit))
            for name in job.servers
            if (s := self.stations.get(name)) is not None and s is not but
            and s.health.usable() and s.limit.room(s.out)
        ]  # fmt: skip
        name = choose(candidates, self._lots.random())
        return self.stations[name] if name is not None else None

    def _start(self, job: Job, station: Station, now: int) -> None:
        """The one place from which a try begins."""
        assert not (job.once and job.begun), "an unsafe call is written once"
        job.numbers += 1
        job.tries += 1
        if job.tries == 1:
            self.budget.first(now)
        number = job.numbers
        job.out[number] = Try(station, now, heard=now)
        job.tried.add(station.spec.name)
        station.out += 1
        self.out += 1
        station.unbegun[job.key, number] = None
        self._decide(Note("tool_calls_written" if job.tries == 1 else "tool_calls_resent"))
        self._decide(Start(job.key, number, station.spec, job.once, job.deadline - now))

    # --- how a try ends -------------------------------------------------------------------------------

    def _leave(self, job: Job, number: int) -> Try:
        attempt = job.out.pop(number)
        attempt.station.out -= 1
        attempt.station.unbegun.pop((job.key, number), None)
        self.out -= 1
        return attempt

    def _end_try(self, job: Job, attempt: Try, ending: Ending, now: int) -> None:
        fate = FATES.get(ending, Fate.FAILED)
        if fate is Fate.NOT_OURS and attempt.begun:  # a front that says so is wrong: it may have been made
            fate = Fate.FAILED
        self._learn(job, attempt, fate, ending, now)
        if fate is Fate.ANSWERED:
            self._settle(job, None, now)
        elif job.out:
            return  # the other copy may still answer
        elif fate is Fate.NOT_OURS:
            job.tries -= 1
            if ending is Ending.WITHDRAWN:
                self._admit(job, now, again=True)
            else:
                self._decide(WakeAt(now + NO_ROOM_PAUSE, ("tool_again", *job.key)))
        else:
            job.fault = TOOL_FAULTS[OUTCOMES[ending]]
            if job.once and fate is Fate.FAILED and job.begun:
                self._settle(job, ToolFault.OUTCOME_UNKNOWN)
            elif job.once and job.begun:
                self._settle(job, job.fault)  # not made, but written: never again
            else:
                self._again(job, now)

    def _learn(self, job: Job, attempt: Try, fate: Fate, ending: Ending, now: int) -> None:
        station = attempt.station
        if fate is Fate.ANSWERED:
            took = now - attempt.started
            station.answers += 1
            station.health.succeeded()
            station.limit.answered(job.tool, took, station.out + 1, now)
            self._sketch(job.tool).add(float(took))
        elif fate is Fate.TURNED_AWAY:
            station.limit.overloaded(now)
        elif fate is not Fate.NOT_OURS:
            station.failures += 1
            if ending in (Ending.TIMED_OUT, Ending.STALLED):
                station.limit.overloaded(now)
            if station.health.failed_once(now, self._lots.random()) and not station.gone:
                self._decide(Note("tool_servers_rested"), Tell(f"tool server {station.spec.name} rests"))
                self._decide(WakeAt(station.health.until, ("tool_trial", station.spec.name)))

    def _again(self, job: Job, now: int) -> None:
        """Another try after a pause, if there is time, a try left, and room in the budget for all calls. An
        unsafe call comes here only if not a byte of it has gone out; it goes to a server not tried yet."""
        wait = budget.pause(job.tries, PAUSE, LONGEST_PAUSE, self._lots.random())
        others = set(self.table.find(job.tool)) - job.tried
        in_time = now + wait + self._least(job.tool) < job.deadline
        if job.tries >= TRIES or not in_time or (job.once and not others):
            self._settle(job, job.fault)
        elif not self.budget.spend(now):
            self._decide(Note("tool_retries_denied"))
            self._settle(job, job.fault)
        else:
            self._decide(WakeAt(now + wait, ("tool_again", *job.key)))

    def _hedge(self, key: Key, number: int, now: int) -> None:
        """A second copy of a safe call that takes longer than nearly all others, where nobody waits."""
        job, attempt = self._find(key, number)
        if job is None or attempt is None or len(job.out) != 1 or job.once or job.tries >= TRIES:
            return
        if len(self._queues.get(job.servers, ())) or self.out >= self.room:
            return
        station = self._choose(job, but=attempt.station)
        if station is None or station.spec.name in job.tried:
            return
        if not self.budget.spend(now):
            self._decide(Note("tool_retries_denied"))
            return
        self._decide(Note("tool_calls_hedged"))
        self._start(job, station, now)

    def _silent(self, key: Key, number: int, now: int) -> None:
        job, attempt = self._find(key, number)
        if job is None or attempt is None:
            return
        silence = attempt.station.spec.silence
        if not silence:
            return
        if now < attempt.heard + silence:
            self._decide(WakeAt(attempt.heard + silence, ("tool_silent", *key, number)))
            return
        self._leave(job, number)
        self._decide(Note("tools_stalled"), Stop(key, number, attempt.station.spec, tell=True))
        self._end_try(job, attempt, Ending.STALLED, now)
        self._pump_for(attempt.station, now)

    def _late(self, key: Key, now: int) -> None:
        job = self.jobs.get(key)
        if job is None or now < job.deadline:
            return  # an id may come again: what was set for its last use must not end this one
        out = list(job.out.values())
        for attempt in out:  # a server that lets calls run out of time is overloaded or stuck
            if attempt.begun:
                self._learn(job, attempt, Fate.FAILED, Ending.TIMED_OUT, now)
        if job.once and job.begun:
            fault = ToolFault.OUTCOME_UNKNOWN
        elif job.begun:
            fault = ToolFault.DEADLINE
        else:
            fault = ToolFault.UNAVAILABLE if out or job.tries else ToolFault.OVERLOADED
        self._settle(job, fault, now)
        for attempt in out:
            self._pump_for(attempt.station, now)

    # --- how a job ends -------------------------------------------------------------------------------

    def _settle(self, job: Job, fault: ToolFault | None, now: int = 0) -> None:
        """The one end of a job that is not called off."""
        self._drop(job, now, tell=True)
        self._decide(Settle(job.key, fault))

    def _drop(self, job: Job, now: int, tell: bool) -> None:
        del self.jobs[job.key]
        queue = self._queues.get(job.servers)
        if queue is not None:
            queue.remove(job.key)
        stations = []
        for number, attempt in list(job.out.items()):
            self._leave(job, number)
            stations.append(attempt.station)
            self._decide(Stop(job.key, number, attempt.station.spec, tell and attempt.begun))
        for station in stations:
            if now:
                self._pump_for(station, now)

    # --- servers --------------------------------------------------------------------------------------

    def _withdraw(self, station: Station, now: int, requeue: bool = True) -> None:
        """What waits for a connection to it would go out whenever that comes up."""
        for key, number in list(station.unbegun):
            job = self.jobs[key]
            attempt = self._leave(job, number)
            self._decide(Note("tools_withdrawn"), Stop(key, number, station.spec, tell=False))
            job.tried.discard(station.spec.name)
            if requeue:
                self._end_try(job, attempt, Ending.WITHDRAWN, now)
            elif not job.out:
                job.tries -= 1
                job.servers = ()
                self._decide(WakeAt(now, ("tool_again", *key)))

    def _refuse_stranded(self, station: Station, now: int) -> None:
        """Calls that wait for nobody but servers that drain."""
        for pool in self._pools_of.get(station.spec.name, ()):
            if all(name in self._drained for name in pool):
                for key in list(self._queues.get(pool, ())):
                    self._decide(Note("tool_calls_hopeless"))
                    self._settle(self.jobs[key], ToolFault.UNAVAILABLE)

    def _add_station(self, spec: Server) -> None:
        limit = AdaptiveLimit(spec.most, self.table.policy.adaptive)
        health = Health(draining=spec.name in self._drained)
        self.stations[spec.name] = Station(spec, limit, health)

    # --- small things ---------------------------------------------------------------------------------

    def _find(self, key: Key, number: int) -> tuple[Job | None, Try | None]:
        job = self.jobs.get(key)
        return job, job.out.get(number) if job is not None else None

    def _is_waiting(self, job: Job) -> bool:
        return job.key in self._queues.get(job.servers, ())

    def _queue(self, pool: tuple[str, ...]) -> FairQueue:
        if pool not in self._queues:
            self._queues[pool] = FairQueue(self.table.policy.queue, self._shares)
            for name in pool:
                self._pools_of.setdefault(name, []).append(pool)
        return self._queues[pool]

    def _sketch(self, tool: str) -> Sketch:
        if tool not in self._times and len(self._times) >= SKETCHES:
            tool = ""
        return self._times.setdefault(tool, Sketch())

    def _usual(self, tool: str) -> float:
        sketch = self._times.get(tool)
        return sketch.quantile(0.5) if sketch is not None and sketch.weight else USUAL

    def _least(self, tool: str) -> float:
        """With less time than this, hardly any call of the tool has been answered."""
        sketch = self._times.get(tool)
        return sketch.quantile(0.1) / 2 if sketch is not None and sketch.weight >= HEDGE_SEEN else 0.0

    def _decide(self, *decisions: Decision) -> None:
        self._decided.extend(decisions)

    def _done(self) -> list[Decision]:
        decided, self._decided = self._decided, []
        return decided


def invariants(dispatcher: Dispatcher) -> list[str]:
    """What must hold after every input; each breach in words."""
    breaches = []
    out: dict[int, int] = {}
    tries: Iterable[tuple[Job, Try]] = ((j, t) for j in dispatcher.jobs.values() for t in j.out.values())
    total = 0
    for job, attempt in tries:
        total += 1
        out[id(attempt.station)] = out.get(id(attempt.station), 0) + 1
        if job.once and len(job.out) > 1:
            breaches.append(f"{job.key}: two tries of an unsafe call are out")
        if job.key in dispatcher._queues.get(job.servers, ()):
            breaches.append(f"{job.key}: waits and is out")
    if total != dispatcher.out:
        breaches.append(f"{dispatcher.out} tries counted, {total} out")
    if dispatcher.out > dispatcher.room:
        breaches.append(f"{dispatcher.out} tries out, room for {dispatcher.room}")
    for name, station in dispatcher.stations.items():
        if station.out != out.get(id(station), 0):
            breaches.append(f"{name}: {station.out} counted, {out.get(id(station), 0)} out")
        if station.health.draining and station.unbegun:
            breaches.append(f"{name} drains, and something new is on its way there")
    for pool, queue in dispatcher._queues.items():
        if len(queue) > queue.most:
            breaches.append(f"{pool}: {len(queue)} wait, at most {queue.most}")
        for key in queue:
            waiting = dispatcher.jobs.get(key)
            if waiting is None or waiting.servers != pool:
                breaches.append(f"{key} waits for {pool} and is no job of it")
            elif waiting.once and waiting.begun:
                breaches.append(f"{key}: unsafe, has begun, and waits to be written")
    if dispatcher.budget.tokens < 0 or dispatcher.budget.tokens > dispatcher.budget.reserve:
        breaches.append(f"budget at {dispatcher.budget.tokens}")
    return breaches
