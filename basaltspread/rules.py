"""Every decision of a basaltspread router. The types that go in and out are in interface.py.

The ordinary path: a request arrives and is admitted; a reader is chosen (gap test, capped prefix match,
hashed fallback, fewest running); a place is held at the roomiest near writer; when the read ends the
request goes to that writer; its first token hands it to the client. Everything else here answers trouble.
"""

from __future__ import annotations

from collections.abc import Callable
from math import dist, exp2, sqrt
from typing import Any

from basaltspread import interface as api
from basaltspread.control import snapshot
from basaltspread.control.held_prefixes import BLOCK, ENTRY_LIFE, HeldPrefixes
from basaltspread.control.load_view import Attempt, Request, Worker
from basaltspread.interface import Effect, KeyScope, Outcome, Role
from basaltspread.policy.slow_start import SlowStart
from basaltspread.structures.averages import Rate, Recent, Usual
from basaltspread.structures.bucket import Bucket
from basaltspread.structures.hashing import HASH_MASK, hashed, rank
from basaltspread.structures.shares import KeyShares

SECOND = 1_000_000
# The design's ordinary path.
TABLE_BLOCKS = 200_000  # blocks the prefix table may hold
GAP = 16  # requests between the busiest and the idlest reader, fleet-wide, that ends prefix matching
LOAD_FACTOR = 2.0  # deviations over the mean that a reader with a match may be busy
NEAR_EQUAL = GAP / 2  # requests within which old reports tell no reader from another
HOME_SPREAD = 3.0  # homes of a text for each reader that its requests alone would keep busy; one with reports
HOME_PRIOR = 20  # requests before a text's share is believed
SPARE = 1.0  # requests that never make a difference between readers: counts are small whole numbers
EVIDENCE_MEMORY = 2 * SECOND  # half-life of what a report tells; what faded is the pool's average
LAG_MEMORY = 1 * SECOND  # half-life of what is known of a reader's queue, or as long as the queue itself
AFFINITY = 3.0  # times the reading saved that a match may wait: a text read twice also costs memory
AFFINITY_AIM = 0.25  # share of its aim that a request may wait for that beyond the plain saving
COLD_LATER = 0.5  # share of its aim by which a read may end later at a reader in slow start
NEAR_CALM = 0.25  # expected wait, over the tightest aim, up to which the own zone's readers come first
LONG_READ = 0.4  # share of the tightest aim that a read takes of which other routers are told
LAG_SLACK = 30_000.0  # us that a reader with a match may always be slower
NEAR_MARGIN = 0.10  # share of a writer's memory that a nearer one may be fuller and still be preferred
ROOM_MEMORY = 4 * SECOND  # half-life of a reported memory share: answers come and go in about that time
REPORT_AGE = 1 * SECOND  # that a report has mostly reached before the next: as old as engines keep them
EQUAL_ROOM = 0.05  # share of memory within which writers are drawn by lot: else all rush to the same one
PLACE_TRIES = 2  # writers asked to hold a place, a request
# Time-outs and health.
PATIENCE = 6.0  # times the learnt usual time that an attempt may take
FIRST_PATIENCE = 3 * SECOND // 2  # us, as long as nothing is learnt
LEAST_PATIENCE = SECOND // 2  # no time-out is shorter: scheduling noise is not a fault
REST = 1 * SECOND  # first rest of a worker that failed; doubles each time
LONGEST_REST = 8 * SECOND
LIST_LATE = 3 * SECOND  # in which the list mostly tells of a start
FAULTS_TELL = 1.7  # errors and broken connections, halved by each answer, that tell of a worker
MOST_RESTING = 0.25  # share of a pool that must be left; with less, rests count for nothing
FULL_REST = SECOND // 4  # a worker that said "full" is passed over for this long
LEARN_LINK = 0.15  # the same for one cell's link
ALL_CELLS = -1  # stands for them where link times are pooled
TAUGHT = 10  # samples from which a learnt figure is used
SEEN_WAITS = 9  # waits, over a whole pool, whose median counts: one router of many has hardly more at a time
UNREAD_PART = 0.5  # of an unread end's wait, for its pool: in plain overload many end so, others do not wait
SEEN_MEMORY = 8 * SECOND  # for which one counts: without news a request is let through to see
RATE_MEMORIES = (SECOND, 4 * SECOND)  # half-lives of measured rates: quick, and steady
# Admission.
ADMIT = 0.8  # expected wait for a first token, over the aim, up to which a request is taken
ADMIT_LESSER = 0.5  # the same for work past its tenant's share and for clients' repetitions
ADMIT_SEEN = 0.5  # part of both for a wait that is an average, not just told: half the requests wait longer
MEDIAN_STEP = 1.2  # factor by which one first token moves the running median
LATELY_FACTOR = 4.0  # times the latest first-token times that a wait is never thought to exceed
USUAL_GAPS = 2.0  # mean gaps between first tokens that are no sign of a jam
FREE_OPEN = 4  # requests without a first token up to which their number says nothing
SHARE_BURST = 2.0  # seconds of its quota that a tenant may send at once
LEAST_BURST = 8.0  # requests that it may always: with many routers 2 s of one router's part is none
# Waiting and watching.
WATCH_STEP = 20_000  # us between two looks at waiting requests and silent workers
WAIT_HOLDING = 0.3  # share of the release limit that a held state may wait for a writer
WAIT_EMPTY = SECOND // 4  # how long a request that holds nothing may wait for a reader
WATCH_TIMER = 1
NOTHING_ARRIVED = (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
Figures = dict[str, float]  # by worker name


class Router:
    """One router's decisions. The same settings and events give the same actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:  # seed: nothing is drawn from it now
        self.s, self.now = settings, 0
        self.out: list[api.Action] = []
        self.fleet: dict[str, Worker] = {}
        self.up: dict[Role, list[Worker]] = {role: [] for role in Role}
        self.requests: dict[str, Request] = {}
        self.held = HeldPrefixes(TABLE_BLOCKS)
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.Arrival: self._arrived, api.AttemptEnded: self._ended, api.FirstToken: self._first_token,
            api.PlaceAnswer: self._place_answer, api.ClientGone: self._client_gone,
            api.StateLetGo: self._state_let_go,
            api.WorkerList: self._listed, api.TimerFired: self._timer, api.ProbeEnded: self._probed,
        }  # fmt: skip
        self.many, self.tightest = settings.many, min((c.aim for c in settings.classes), default=SECOND)
        self.asked = KeyShares(ENTRY_LIFE, HOME_PRIOR)  # how often each text is asked for
        self.stage_wait = {role: Recent(SEEN_WAITS, SEEN_MEMORY) for role in Role}  # us
        self.slow_start, self.timer_set, self.calm = SlowStart(settings, self.up), False, False
        self.read_time, self.first_time = Usual(), Usual()
        self.near_time, self.far_time = 0.0, dict[int, float]()  # to a first token within, out of a cell
        self.dark = dict[int, tuple[int, int]]()  # zone -> left out until, failures in a row
        self.unanswered = dict[str, None]()  # admitted, no first token yet
        self.token_time, self.latency, self.first_at = 0.0, 0.0, 0  # us to read one at best, to a first one
        self.first_rates = [Rate(m) for m in RATE_MEMORIES]
        parts = [t.quota_per_s / max(1, settings.routers) for t in settings.tenants]
        self.quotas = [Bucket(p / SECOND, max(LEAST_BURST, SHARE_BURST * p)) for p in parts]

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        self.now, self.out = now, []
        for event in events:  # peers' messages are read elsewhere, and come as probes' results
            self.handlers.get(type(event), lambda _: None)(event)
        if not self.timer_set and self.unanswered:
            self.timer_set = True
            self.out.append(api.SetTimer(max(WATCH_STEP, self.s.tick), WATCH_TIMER))
        return self.out

    def resting(self, now: int) -> set[str]:
        """Workers left out for their failures, for the operators; as in _pool, never most of a role."""
        pools = [(p, {w.name for w in p if max(w.rest_until, w.gone_until) > now}) for p in self.up.values()]
        return {n for pool, rest in pools if len(rest) <= (1 - MOST_RESTING) * len(pool) for n in rest}

    def share_with(self, processes: int) -> None:
        """So many processes of this router run now, this one among them."""
        self.slow_start.processes = max(1, processes)

    def knowledge(self, now: int) -> dict[str, Any]:
        return snapshot.take(self, now)

    def recall(self, now: int, told: dict[str, Any]) -> None:
        snapshot.restore(self, now, told)

    # --- fleet view: list, health, load ---------------------------------------------------------------

    def _listed(self, event: api.WorkerList) -> None:
        self.slow_start.begin(self.now)
        if event.kind is not api.ListKind.FAILED:
            named = {e.name for e in event.entries}
            for entry in event.entries:
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
            if event.kind is not api.ListKind.DELTA:
                for worker in self.fleet.values():
                    if worker.name not in named:
                        worker.state = api.WorkerState.REMOVED
        for w in list(self.fleet.values()):
            if w.state is api.WorkerState.REMOVED and not w.reads and not w.writes:
                del self.fleet[w.name]
        up = [w for w in self.fleet.values() if w.state is api.WorkerState.UP]
        self.up.update({role: [w for w in up if w.role is role] for role in Role})
        if self.s.list_must_be_asked and event.kind in (api.ListKind.CACHED, api.ListKind.FAILED):
            self.out.append(api.WatchList(True))

    def _strike(self, w: Worker, unreached: bool = False) -> None:
        """Rest who failed or fell silent; where no connection came up its zone too, until one answers."""
        if unreached and self.many:
            times = self.dark.get(w.zone, (0, 0))[1]
            self.dark[w.zone] = (self.now + min(LONGEST_REST, REST << min(times, 8)), times + 1)
        if w.rest_until <= self.now:
            w.rest_until = self.now + min(LONGEST_REST, REST << min(w.strikes, 8))
            w.strikes += 1

    def _probed(self, event: api.ProbeEnded) -> None:
        """A worker's load, or a fault there, as it was asked or as another router tells."""
        w = self.fleet.get(event.worker)
        if w is None:
            return
        if (long := event.report.get(api.READING)) is not None:  # another router's long read is there
            until = max(w.busy_until, self.now) + int(long * SECOND)
            w.busy_until = min(until, self.now + LONGEST_REST)  # whatever a peer says
            return
        w.report = {} if event.report else w.report  # told anew, even where the figures are as before
        w.told(self.now, dict(event.report), self.read_time.size)
        if "prompt_k_waiting" in event.report:
            w.lag, w.lag_at = event.report["prompt_k_waiting"] * 1000 * self.token_time, self.now
        if event.outcome is Outcome.CONNECT_FAILED and event.detail != 1:
            self._strike(w, True)
        elif event.outcome is Outcome.SERVED and event.elapsed > 0:  # here; another's says nothing of the way
            until, times = self.dark.get(w.zone, (0, 0))  # it may be cold, and the list be about to say so
            self.dark[w.zone] = min(until, self.now + LIST_LATE), times
        self._failed(w, event.outcome, event.detail == 1, 1.0)

    def _failed(self, w: Worker, outcome: Outcome, refused: bool, weight: float) -> None:
        """What an error, a break or a refused connection says of the worker. Each of many routers would meet
        a sick one anew: its first own error tells, or two of others'. Harms where it was chance."""
        if self.many and outcome is Outcome.CONNECT_FAILED and refused:  # until a new start is told
            w.gone_until = self.now + LONGEST_REST
        w.faults += weight if outcome is Outcome.ERROR else outcome is Outcome.RESET
        if self.many and outcome is Outcome.ERROR and w.faults >= FAULTS_TELL:
            w.rest_until, w.strikes = max(w.rest_until, self.now + LONGEST_REST), w.strikes + 1

    def _pool(self, q: Request, roles: tuple[Role, ...]) -> list[Worker]:
        """Workers of these roles that may work now, who failed this request last; rests never empty it."""
        listed = [w for role in roles for w in self.up[role] if q.ran is None or self._scope_ok(q, w)]
        listed = [w for w in listed if w.gone_until <= self.now] or listed
        free = [w for w in listed if w.full_until <= self.now]
        open_now = [w for w in free if self.slow_start.admits(self.now, q, w)]
        pool = [w for w in open_now if w.rest_until <= self.now]
        if len(pool) < MOST_RESTING * len(listed):
            pool = open_now
        pool = [w for w in pool if self.dark.get(w.zone, (0, 0))[0] <= self.now] or pool
        pool = [w for w in pool if w.turned.get(q.a.tenant, (0, 0))[0] <= self.now] or pool
        if self.many and q.cls.effect is Effect.UNSAFE:  # who failed lately is tried with others first
            pool = [w for w in pool if w.faults < 1] or pool
        return [w for w in pool if w.name not in q.failed] or pool

    def _took(self, w: Worker, q: Request) -> None:
        w.served[q.a.tenant], w.strikes, w.faults = self.now, w.strikes // 2, w.faults / 2
        w.turned.pop(q.a.tenant, None)
        self.dark.pop(w.zone, None)

    def _turned_away(self, w: Worker, q: Request, sent_at: int) -> None:
        """A full worker is left alone for a moment; one that took other tenants' by this tenant alone."""
        if not any(at > sent_at - SECOND for tenant, at in w.served.items() if tenant != q.a.tenant):
            w.full_until = self.now + FULL_REST
            return
        times = w.turned.get(q.a.tenant, (0, 0))[1]
        w.turned[q.a.tenant] = (self.now + min(LONGEST_REST, REST << min(times, 8)), times + 1)

    def _scope_ok(self, q: Request, w: Worker) -> bool:
        """A keyed request that may have run goes only to the group that discards its repeats."""
        if q.ran is None or q.cls.effect is Effect.SAFE:
            return True
        if q.cls.effect is Effect.UNSAFE or self.now - q.ran_at >= q.cls.key_window:
            return False
        same = {KeyScope.ALL: True, KeyScope.ZONE: w.zone == q.ran.zone, KeyScope.CELL: w.cell == q.ran.cell}
        return same[q.cls.key_scope]

    # --- reader choice ----------------------------------------------------------------------------------

    def _choose_reader(self, q: Request, pool: list[Worker]) -> tuple[Worker, int]:
        """The design's order: gap test, then capped match or home, else fewest running; and what it holds."""
        few_calm = not self.many and self._expected_wait() <= NEAR_CALM * self.tightest
        self.calm = few_calm or bool(self._lags())  # of many, a full zone shows in readers' waits
        counts, wait = self._counts(pool), self._pool_wait(Role.READER)
        waits = {w.name: self._wait_at(w, wait) for w in pool}
        homes = self._home_readers(q.a, pool)
        shared = min(q.a.prefix_tokens, q.a.prompt_tokens) if q.a.prefix else 0
        held = {w.name: self.held.tokens(q.a, w, self.now) for w in pool}
        believed = {w.name: max(held[w.name], shared if w in homes else 0) for w in pool}
        mean = sum(counts.values()) / len(counts)
        gap = GAP + LOAD_FACTOR * mean if self.many else GAP / max(1, self.s.routers)
        even = max(counts.values()) - min(counts.values()) <= gap
        w = self._match_or_home(q, homes, believed, counts, waits, pool) if even else None
        w = w or self._fewest_running(q.a, pool, counts, waits)
        otherwise = waits[w.name] + (q.a.prompt_tokens - believed[w.name]) * self.token_time
        w = self._soon_when_cold(q, pool, otherwise) or w
        return w, believed[w.name] if self.many else held[w.name]  # few see what was sent

    def _soon_when_cold(self, q: Request, pool: list[Worker], otherwise: float) -> Worker | None:
        """Many routers: a reader in slow start that ends the whole read little later than `otherwise`. Few
        requests come where an allowance is, and it can't be kept for one that suits the reader better."""
        cold = [w for w in pool if self.many and self.slow_start.is_cold(self.now, w)]
        tokens = {w: sum(w.reads.values()) + q.a.prompt_tokens for w in cold}
        times = {w: tokens[w] * self.token_time / self.slow_start.warmth(self.now, w) for w in cold}
        best = min(times, key=lambda w: times[w], default=None)
        return best if best is not None and times[best] < otherwise + COLD_LATER * q.aim else None

    def _counts(self, pool: list[Worker]) -> Figures:
        """Own unfinished reads; with many routers the others' too, as reports tell, fading to the average."""
        counts = {w.name: float(len(w.reads)) for w in pool}
        if self.many:
            average = sum(w.others for w in pool) / len(pool)
            for w in pool:
                fresh = exp2((w.told_at - self.now) / EVIDENCE_MEMORY)
                counts[w.name] += average + (w.others - average) * fresh
        return counts

    def _home_readers(self, a: api.Arrival, pool: list[Worker]) -> list[Worker]:
        """Readers that all routers of a zone agree on for this text, by what it needs of that zone's."""
        key = hashed(a.prefix or a.session or a.request)
        ranked = sorted(pool, key=lambda w: (self._far(w), -rank(key, w.hash)))
        near = [w for w in pool if self.many and not self._far(w)] or pool
        return ranked[: self._homes(a.prefix, len(near))]

    def _far(self, w: Worker) -> bool:
        return self.calm and w.zone != self.s.zone  # in a jam a zone's own are not enough

    def _match_or_home(self, q: Request, homes: list[Worker], held: dict[str, int], counts: Figures,
                       waits: Figures, pool: list[Worker]) -> Worker | None:  # fmt: skip
        """The first by tokens believed held that is under the cap and not slower than they save."""
        a, key, believed = q.a, hashed(q.a.session or q.a.request), dict(held)
        if a.session and self.many:  # its earlier prompts went through routers that chose as this one would
            believed[max(homes, key=lambda w: rank(key, w.hash)).name] = a.prompt_tokens
        busy = sum(counts.values()) / len(counts) + NEAR_EQUAL * self.many
        patient = min(waits.values()) + self._pool_wait(Role.READER)
        matches = [w for w in pool if believed[w.name] or w in homes]
        order = {w.name: (counts[w.name] > busy, w not in homes, -rank(key, w.hash)) for w in matches}
        matches.sort(key=lambda w: (-believed[w.name], order[w.name]))
        for w in matches:
            if self._not_hot(w, pool, counts) and waits[w.name] <= patient + self._saves(q, believed[w.name]):
                return w
        return None

    def _fewest_running(self, a: api.Arrival, pool: list[Worker], counts: Figures, waits: Figures) -> Worker:
        """Fewest running; near-equals by the text's rank: what spills gathers at the same next home."""
        most = min(counts.values()) + (NEAR_EQUAL if self.many else 0)
        key = hashed(a.prefix or a.session or a.request)
        equal = [w for w in pool if counts[w.name] <= most and self._not_hot(w, pool, counts)]
        unseen = self._unseen(pool) * self.read_time.size * self.token_time  # else all rush to the same one
        calm = min(waits[w.name] for w in equal) + LAG_SLACK + unseen
        calmest = [w for w in equal if waits[w.name] <= calm]
        return max(calmest, key=lambda w: (not self._far(w), rank(key, w.hash)))

    def _homes(self, prefix: str, readers: int) -> int:
        """Readers over which a text is spread: more for one that would fill its home. A session has one."""
        if not prefix:
            return 1
        share = self.asked.add(prefix, self.now)
        homes, wanted = 1, share * readers * (1 if self.many and self.calm else HOME_SPREAD)
        while homes < wanted:
            homes *= 2  # in powers, so that routers that count a little differently mostly agree
        return min(homes, readers)

    def _wait_at(self, w: Worker, pool: float) -> float:
        """How long a read sent there now would wait: as lately seen, fading to its pool's, or for own."""
        memory = max(LAG_MEMORY, w.lag) if self.many else LAG_MEMORY  # one rarely heard lasts as it is deep
        lately = pool + (w.lag - pool) * exp2((w.lag_at - self.now) / memory)
        return max(lately, sum(w.reads.values()) * self.token_time, w.busy_until - self.now)

    def _lags(self) -> list[float]:
        """Many routers: what readers let wait that were told of lately; none where these are too few."""
        lags = [w.lag for w in self.up[Role.READER] if self.many and self._lately(w)]
        return lags if len(lags) > MOST_RESTING * len(self.up[Role.READER]) else []

    def _pool_wait(self, role: Role) -> float:
        """What a pool lets wait: the mean of what was told of its readers lately, else as this router saw."""
        if role is Role.READER and (lags := self._lags()):
            return sum(lags) / len(lags)
        return self.stage_wait[role].median(self.now) if self.many else 0.0

    def _lately(self, w: Worker) -> bool:
        return bool(w.report) and self.now - w.lag_at < 2 * REPORT_AGE

    def _saves(self, q: Request, tokens: int) -> float:
        saved = tokens * self.token_time + LAG_SLACK
        return max(saved, min(AFFINITY * saved, AFFINITY_AIM * q.aim))

    def _not_hot(self, w: Worker, pool: list[Worker], counts: Figures) -> bool:
        """The design's cap over the other readers: of n none is over sqrt(n-1) deviations from the mean."""
        others = [p for p in pool if p is not w]
        if not others:
            return True
        told = [len(p.reads) + (p.others if self.many else 0.0) for p in others]
        mean = sum(counts[p.name] for p in others) / len(others)
        deviation = dist(told, [sum(told) / len(told)] * len(told)) / sqrt(len(told))
        return counts[w.name] <= mean + LOAD_FACTOR * deviation + SPARE

    # --- writer choice ----------------------------------------------------------------------------------

    def _room(self, w: Worker, average: float) -> float:
        """Free share of memory: as told, fading to the pool's average, less own sends; else own streams."""
        if "memory_share" not in self.s.report_fields or not w.memory:
            return -sum(w.writes.values()) / w.weight
        told = 1 - w.report["memory_share"] if "memory_share" in w.report else average
        fresh = exp2((w.told_at - self.now) / ROOM_MEMORY)
        return average + (told - average) * fresh - sum(w.sent.values()) / w.memory

    def _choose_writer(self, q: Request, near: Worker | None) -> Worker | None:
        pool = self._pool(q, (Role.WRITER, Role.MIXED))
        pool = [w for w in pool if w.name not in q.asked] or pool
        if not pool:
            return None
        heard = [1 - w.report["memory_share"] for w in pool if "memory_share" in w.report]
        average = sum(heard) / len(heard) if heard else 1.0
        rooms, key = {w.name: self._room(w, average) for w in pool}, hashed(q.id)
        unseen = self._unseen(pool) * self.first_time.size / (pool[0].memory or 1e18)
        top, alike = max(rooms.values()), EQUAL_ROOM + unseen
        spread = NEAR_MARGIN * (1 if "memory_share" in self.s.report_fields else abs(min(rooms.values())))
        if self._link(near) in self.far_time and self.near_time > 0:
            # Slow links: a nearer writer may be fuller by as much as answers leaving this cell begin later.
            spread *= max(1.0, self.far_time[self._link(near)] / self.near_time)
        cell = [w for w in pool if near is not None and w.cell == near.cell]
        zone = [w for w in pool if near is not None and w.zone == near.zone]
        for group in (cell, zone, pool):
            best = max((rooms[w.name] for w in group), default=top - spread - 1)
            if best >= top - spread:
                equal = [w for w in group if rooms[w.name] >= best - alike]
                return max(equal, key=lambda w: rank(key, w.hash))
        return None

    def _unseen(self, pool: list[Worker]) -> float:
        """Requests that all routers send one of these before its next report: by so many it may differ."""
        sent = self.first_rates[1].young(self.now) * REPORT_AGE * self.s.routers
        return sent / len(pool) if self.many else 0.0

    def _link(self, w: Worker | None) -> int:
        return ALL_CELLS if self.many or w is None else w.cell  # one of many routers rarely sees one

    def _hold_place(self, q: Request) -> None:
        """Hold a place ahead at the roomiest near writer; one further try if the first refuses."""
        if self.s.places_ahead and q.out is not None and len(q.asked) < PLACE_TRIES:
            w = self._choose_writer(q, q.out.worker)
            if w is not None and w.name not in q.asked:
                q.place, q.holds = w, True
                q.asked.append(w.name)
                self.slow_start.reserve(self.now, q, w)
                self.out.append(api.HoldPlace(q.id, w.name))

    def _move_place(self, q: Request) -> None:
        """What was reserved at a cold worker was not used in time: another may have room."""
        q.reservation, q.place, q.placed = None, None, False
        self._hold_place(q)

    # --- request lifecycle ------------------------------------------------------------------------------

    def _arrived(self, a: api.Arrival) -> None:
        q = Request(a, self.s.classes[a.request_class], self.now, self._over_share(a))
        self.requests[q.id] = q
        self.slow_start.sizes.arrived(a)
        if a.is_resumed or self.many or self._expected_wait() <= self._bearable(q):  # else it comes too late
            self.unanswered[q.id] = None
            self._advance(q)
        else:
            self._give_up(q)

    def _advance(self, q: Request) -> None:
        """The one owner of "nothing in flight: send or release", called after every event of a request."""
        if q.out is not None:
            return
        if q.done:
            if q.holds:
                self.out.append(api.Release(q.id))
            self.requests.pop(q.id, None)
            return
        if q.reader is None and self._held_long(q):  # a place alone: readers are tried on without it
            q.holds, q.place, q.placed, q.reservation = False, None, False, None
            self.out.append(api.Release(q.id))
        barred = q.ran is not None and q.cls.effect is Effect.UNSAFE
        if barred or not self._another_pays(q):
            self._give_up(q)
        elif not (self._send_write(q, q.reader) if q.reader is not None else self._send_read(q)):
            if not self._keep_waiting(q):
                self._give_up(q)

    def _another_pays(self, q: Request) -> bool:
        """Whether another attempt is allowed and not hopeless; hopeless ones only add work to a jam."""
        reads = self.read_time.of(self.read_time.size) if q.reader is None else 0
        least = (self.first_time.of(q.a.prompt_tokens) + reads) / 2
        late = self.many and q.reader is None and self.now - q.arrived > q.aim  # not even read: of no use
        in_time = q.deadline - self.now > least and not late
        free = q.reader is None or not self._held_long(q)
        return in_time and free and q.sent < self.s.limits.max_attempts

    def _held_long(self, q: Request) -> bool:
        """Whether what is held for it, with no attempt out, can't wait for one more connection to come up."""
        kept = self.s.rules.release_within - self.s.limits.connect_timeout + WATCH_STEP
        return q.holds and self.now - q.idle_since > max(kept, WATCH_STEP)

    def _keep_waiting(self, q: Request) -> bool:
        """Wait a little for a worker; far within the release limit while something is held."""
        limit = self.s.rules.release_within * WAIT_HOLDING if q.holds else WAIT_EMPTY
        waits = self.now - q.idle_since <= limit and q.deadline - self.now >= 3 * WATCH_STEP
        if waits:
            self.unanswered[q.id] = None
        return waits

    def _timer(self, event: api.TimerFired) -> None:
        self.timer_set = False  # there is no other
        for name in list(self.unanswered):
            q = self.requests[name]
            if q.out is None:
                self._advance(q)
            elif not q.out.cancelled:
                if q.reservation and not self.slow_start.has_reserved(self.now, q, q.reservation.worker):
                    self._move_place(q)
                if 0 < q.out.tell_again_at <= self.now:  # it takes more than its size: half as long again?
                    self._tell_long(q.out, (self.now - q.out.sent_at) / 2)
                self._check_silence(q, q.out)

    def _check_silence(self, q: Request, out: Attempt) -> None:
        """Call back what waits many times longer than usual, if nothing came from the worker since (it is
        struck then) or if it has answered what was sent later: this was lost."""
        w, usual = out.worker, self.read_time if out.reading else self.first_time
        stuck = out.reading and self._is_stuck(w, out)
        silent = w.heard_at < out.sent_at or stuck
        if not silent and w.newest_answered <= out.sent_at:
            return
        pending = sum(w.reads.values()) if out.reading and not stuck else out.need
        slow = usual.of(pending) + self.stage_wait[w.role].mean(self.now)  # a jam is no silence
        patience = max(LEAST_PATIENCE, PATIENCE * slow)
        if usual.count < TAUGHT:  # who has seen little is not quicker to call a jam silence
            patience = max(FIRST_PATIENCE, patience)
        if out.reading and silent and self.dark.get(w.zone, (0, 0))[0] > self.now:
            patience = int(self.s.rules.release_within * WAIT_HOLDING)  # its place waits for a lost read
        if self.now - out.sent_at < patience:
            return
        if silent:
            self._strike(w)
        risky = q.cls.effect is not Effect.SAFE and not out.reading  # it may have run: wait instead
        if not risky and self._another_pays(q):
            self._cancel(q)

    def _is_stuck(self, w: Worker, out: Attempt) -> bool:
        """Readers answer in turn: stuck is one that brought nothing for many times its longest read."""
        most, quiet = max(w.reads.values(), default=out.need), self.now - max(out.sent_at, w.heard_at)
        slow = self.read_time.of(most) + self.stage_wait[w.role].mean(self.now)
        return self.read_time.count >= TAUGHT and quiet >= max(LEAST_PATIENCE, PATIENCE * slow)

    def _cancel(self, q: Request) -> None:
        if q.out is not None and self.s.limits.cancel and not q.out.cancelled:
            q.out.cancelled = True
            q.failed.append(q.out.worker.name)
            self.out.append(api.Cancel(q.id, q.out.number))

    def _send_read(self, q: Request) -> bool:
        pool = self._pool(q, (Role.READER,))
        if not pool:
            roles = (Role.MIXED, Role.WRITER) if self.s.writers_read else (Role.MIXED,)
            return not self.up[Role.READER] and bool(self._pool(q, roles)) and self._send_write(q, None)
        w, held = self._choose_reader(q, pool)
        need = max(1, q.a.prompt_tokens - held)
        if not self._promising(q, w, need):
            self._give_up(q)
            return True
        out = self._send(q, w, True, need, self.read_time.of(need))
        out.promised, w.reads[q.id] = self.held.tokens(q.a, w, self.now), need
        self._tell_long(out, need * self.token_time)
        self.held.sent(q.a, w, self.now)
        q.place, q.placed, q.asked = None, False, []
        self._hold_place(q)
        return True

    def _send_write(self, q: Request, reader: Worker | None) -> bool:
        w = q.place
        if w is None or w.name in q.failed or w not in self._pool(q, (Role.WRITER, Role.MIXED)):
            q.asked = []
            w = self._choose_writer(q, reader)
        if w is None:
            return False
        tokens = q.a.prompt_tokens
        self._send(q, w, False, tokens, self.first_time.of(tokens)).source = reader
        w.writes[q.id] = w.sent[q.id] = tokens
        return True

    def _send(self, q: Request, w: Worker, reading: bool, need: int, usual: float) -> Attempt:
        timeout = left = q.deadline - self.now
        another = q.cls.effect is Effect.SAFE and q.sent + 1 < self.s.limits.max_attempts
        if another and not self.s.limits.cancel:
            timeout = min(left, max(LEAST_PATIENCE, int(PATIENCE * usual)))  # no other way to call it back
        q.out = out = Attempt(q.sent, w, reading, self.now, need)
        q.sent += 1
        self.slow_start.spend(self.now, q, w)
        q.reservation = None
        self.out.append(api.Send(q.id, w.name, max(1, timeout)))
        return out

    def _tell_long(self, out: Attempt, time: float) -> None:
        """Readers read in turn, unseen by others. Who just started knows no speed: it saw queues alone."""
        if self.many and self.read_time.count >= TAUGHT and time > LONG_READ * self.tightest:
            out.tell_again_at = 0 if out.tell_again_at else self.now + int(time)  # once: it may be lost
            self.out.append(api.LongRead(out.worker.name, int(time)))

    def _place_answer(self, event: api.PlaceAnswer) -> None:
        q = self.requests.get(event.request)
        if q is None or q.out is None or q.out.number != event.attempt or not q.out.reading:
            return  # too late: the read has ended and the request has gone on
        if q.place is not None and event.worker in q.asked and event.worker != q.place.name:
            return  # of an earlier place; some hosts name the reader, whose attempt carries the answer
        q.placed = event.held
        if not event.held:
            q.reservation = None
            if q.place is not None and self.s.report_fields:  # fresher than any report: no room there
                q.place.report, q.place.told_at = {**q.place.report, "memory_share": 1.0}, self.now
            self.stage_wait[Role.WRITER].add(self.now, q.aim / 2)  # who was refused would have waited
            q.place = None
            if not q.done:
                self._hold_place(q)

    def _first_token(self, event: api.FirstToken) -> None:
        w = self.fleet.get(event.worker)
        q = self.requests.get(event.request)
        if w is not None:
            w.heard_at = self.now
        if q is None or w is None or q.out is None:
            return
        w.newest_answered = max(w.newest_answered, q.out.sent_at)
        q.streaming, q.holds = True, False
        self._took(w, q)
        self.unanswered.pop(q.id, None)
        self.slow_start.completed(self.now, w, 1.0)
        if not q.done:
            self.stage_wait[w.role].add(self.now, event.elapsed)
            self.first_time.add(event.elapsed, q.a.prompt_tokens)
            per_token = event.elapsed / max(BLOCK, q.a.prompt_tokens)
            source = q.out.source
            if source is not None and source.cell == w.cell:
                self.near_time += LEARN_LINK * (per_token - self.near_time)
            elif source is not None:
                far = self.far_time.get(self._link(source), self.near_time)
                self.far_time[self._link(source)] = far + LEARN_LINK * (per_token - far)
            took = max(1.0, self.now - q.arrived)  # a running median: one late straggler moves it one step
            last, self.first_at = self.latency or took, self.now
            self.latency = min(max(took, last / MEDIAN_STEP), last * MEDIAN_STEP)
            for rate in self.first_rates:
                rate.add(self.now, 1.0)

    def _ended(self, event: api.AttemptEnded) -> None:
        w = self.fleet.get(event.worker)
        if w is not None and event.outcome in (Outcome.READ, Outcome.SERVED, Outcome.FULL, Outcome.ERROR):
            w.heard_at = self.now
            w.told(self.now, dict(event.report), self.read_time.size)
        q = self.requests.get(event.request)
        if q is None or q.out is None or q.out.number != event.attempt:
            return
        attempt, w, q.out = q.out, q.out.worker, None
        if event.outcome not in NOTHING_ARRIVED:  # else the time for what is held runs on
            q.idle_since = self.now
        w.reads.pop(q.id, None)
        w.writes.pop(q.id, None)
        w.sent.pop(q.id, None)
        if event.outcome in (Outcome.READ, Outcome.SERVED):
            w.newest_answered = max(w.newest_answered, attempt.sent_at)
        q.done = q.done or event.request_ended
        if q.done:
            self.unanswered.pop(q.id, None)
        self._judge(q, attempt, event)
        if not q.done and self.now >= q.deadline:
            self._give_up(q)
        else:
            self._advance(q)

    def _judge(self, q: Request, attempt: Attempt, event: api.AttemptEnded) -> None:
        """What one outcome says of the worker and of the request."""
        w, outcome = attempt.worker, event.outcome
        not_run = (Outcome.FULL, Outcome.READ, *NOTHING_ARRIVED)
        if not attempt.reading and outcome not in not_run and q.ran is None:
            q.ran, q.ran_at = w, attempt.sent_at
        if outcome is Outcome.READ:
            q.reader, q.holds = w, True
            self._took(w, q)
            read = max(1, q.a.prompt_tokens - event.detail)
            if event.detail < BLOCK and attempt.promised >= BLOCK:  # a flush: nothing noted before counts
                w.void_before = max(w.void_before, attempt.sent_at - 1)
            best = event.elapsed / read
            self.token_time = min(best, self.token_time * 1.002) if self.token_time else best
            self.slow_start.token_time = self.token_time
            lag = max(0.0, event.elapsed - read * self.token_time)
            self.stage_wait[w.role].add(self.now, lag)
            if "prompt_k_waiting" in event.report:
                lag = event.report["prompt_k_waiting"] * 1000 * self.token_time
            old = 0.6 * exp2((w.lag_at - self.now) / LAG_MEMORY)  # rarely heard: the newest counts alone
            w.lag, w.lag_at = lag + old * (w.lag - lag), self.now
            self.read_time.add(event.elapsed, read)
        elif outcome is Outcome.SERVED:
            self.slow_start.sizes.answered(q.a, event.elapsed)
        elif outcome is Outcome.FULL:
            if event.detail == 1:
                q.reader = q.place = None  # the state is lost: read again
            else:
                self._turned_away(w, q, attempt.sent_at)
                self._unread(attempt, q.aim)
                q.failed.append(w.name)
                if w is q.place and q.placed:  # the state has moved there: no other writer can have it
                    q.reader = q.place = None
        else:
            if outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
                self._unread(attempt, event.elapsed)
            q.failed.append(w.name)
            failed = outcome is Outcome.CONNECT_FAILED
            silent = outcome is Outcome.TIMEOUT and w.heard_at < attempt.sent_at
            if w is q.place and q.placed and not attempt.reading:
                q.reader = q.place = None  # the state has moved there, and is lost with it
            self._failed(w, outcome, event.detail == 1, FAULTS_TELL if self.many else 1.0)
            if silent or failed or w.faults >= FAULTS_TELL:
                self._strike(w, failed and event.elapsed >= self.s.limits.connect_timeout)

    def _unread(self, attempt: Attempt, waited: float) -> None:
        """Many routers: what ended unread had waited this long. A jam is not judged by its survivors."""
        if self.many and attempt.reading:
            w = attempt.worker
            w.lag, w.lag_at = max(w.lag, waited), self.now
            self.stage_wait[w.role].add(self.now, UNREAD_PART * waited)

    def _client_gone(self, event: api.ClientGone) -> None:
        q = self.requests.get(event.request)
        if q is None:
            return
        q.done = True
        self.unanswered.pop(q.id, None)
        if not q.streaming:
            self._cancel(q)
        self._advance(q)

    def _state_let_go(self, event: api.StateLetGo) -> None:
        """Nothing is held for it any more: what goes on has to be read again."""
        q = self.requests.get(event.request)
        if q is None:
            return
        q.holds, q.reader, q.place, q.placed, q.reservation = False, None, None, False, None
        self._advance(q)

    def _give_up(self, q: Request) -> None:
        """The final answer, at once: refused where that is truthful, else failed."""
        safe = q.cls.effect is Effect.SAFE or (q.ran is None and not q.a.is_resumed)
        if safe or (q.cls.effect is Effect.KEYED and q.cls.key_scope is KeyScope.ALL):
            wait = max(SECOND // 4, int(min(self._expected_wait(), 1e9)))
            wait = min(self.s.limits.max_retry_after, wait) if self.s.limits.retry_after else 0
            self.out.append(api.Refuse(q.id, wait))
        else:
            self.out.append(api.Fail(q.id))
        q.done = True
        self.unanswered.pop(q.id, None)
        self._advance(q)

    # --- admission --------------------------------------------------------------------------------------

    def _expected_wait(self) -> float:
        """Time to a first token to expect now: requests without one over the rate of them (Little's law)."""
        rate = max(r.young(self.now) for r in self.first_rates)  # the short one follows a burst at once
        if self.first_time.count < TAUGHT:
            return 0.0
        if len(self.unanswered) < FREE_OPEN:  # too few to tell: what the pools lately let wait
            return sum(self._pool_wait(role) for role in Role)
        silence = self.now - self.first_at - USUAL_GAPS / max(rate, 1e-9)  # few requests, few first tokens
        return min(len(self.unanswered) / max(rate, 1e-9), LATELY_FACTOR * max(self.latency, silence))

    def _over_share(self, a: api.Arrival) -> bool:
        """Whether the tenant is past this router's part of its quota: a bucket that fills at 1/n of it."""
        quota = self.s.tenants[a.tenant].quota_per_s if a.tenant < len(self.s.tenants) else 0
        return quota > 0 and not self.quotas[a.tenant].take(self.now)

    def _bearable(self, q: Request, reading: float = 0.0) -> float:
        """Expected wait up to which one is taken: the tightest aim, and what its prompt adds to its own."""
        aim = self.tightest + max(0.0, q.aim - q.cls.aim - reading)
        return aim * (ADMIT_LESSER if q.over_share or q.a.is_retry else ADMIT)

    def _promising(self, q: Request, w: Worker, need: int) -> bool:
        """Many routers: whether to send a read there, by what it and the writers let wait. What is over is
        thinned by a lot that all draw alike for a turn of a session, asked again or not."""
        allowed = self._bearable(q, need * self.token_time) * ADMIT_SEEN
        wait, after = self._wait_at(w, self._pool_wait(Role.READER)), self._pool_wait(Role.WRITER)
        wait = wait * (ADMIT_SEEN if w.busy_until > self.now or self._lately(w) else 1) + after
        lot = hashed(f"lot{q.a.session or q.id} {q.a.prompt_tokens}") / HASH_MASK
        return not self.many or wait <= allowed or lot < (allowed / wait) ** 2
