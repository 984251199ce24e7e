"""Carries out what the reducer asks for: the timer wheel, budgets, signals and counters, and what two
processes of one gateway share.

It must never decide what becomes of a request, and it changes the core's state only by feeding inputs to the
reducer.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import logging
import signal
import socket
import sys
from collections import Counter, deque
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

from basaltspread import core
from basaltspread.control.descriptor_budget import DescriptorBudget
from basaltspread.control.memory import MemoryLedger, capacity_for
from basaltspread.core import guards, invariants
from basaltspread.core.guards import Denial
from basaltspread.net import resident
from basaltspread.net.clock import Clock, ClockFile
from basaltspread.net.links import Pool
from basaltspread.net.shared_files import BanFile, DepartureFile, Overlap
from basaltspread.net.timed_module import TimedModule

log = logging.getLogger("basaltspread")
TICK = 0.005  # s, of the timer wheel
DECISION_TIME = 20_000  # us of one turn of the loop in which decisions are begun
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
FAULT_PAUSE = 0.2  # s before a task that must last begins anew
OTHER_STEP = 0.05  # s between two looks at this gateway's other process
LEAST_CAPACITY = 256 * 1024  # bytes for peers, however little the limit leaves


class TimerWheel:
    """Coarse timers: what is due within a tick fires together, and the loop wakes only for ticks that hold
    something. A timer in a tick that holds others costs an append, a first one a push on a heap of ticks."""

    def __init__(
        self,
        fire: Callable[[list[tuple[Any, ...]]], None],
        now: Callable[[], int],
        late: Callable[[int, int], None],
    ) -> None:
        """`fire` gets all that is due in one turn; `late` is told the time and the lag of each, in us."""
        self._fire, self._now, self._late = fire, now, late
        self._slots: dict[int, list[tuple[Any, ...]]] = {}
        self._ticks: list[int] = []  # those of the slots, a heap
        self._alarm: asyncio.TimerHandle | None = None  # for the first of them
        self._tick_us = int(TICK * 1_000_000)

    def set(self, at: int, token: tuple[Any, ...]) -> None:
        now = self._now()
        tick = max(-(-at // self._tick_us), now // self._tick_us + 1)
        slot = self._slots.get(tick)
        if slot is not None:
            slot.append(token)
            return
        self._slots[tick] = [token]
        heapq.heappush(self._ticks, tick)
        if self._ticks[0] == tick:
            self._wake(now)

    def _wake(self, now: int) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        pause = max(0, self._ticks[0] * self._tick_us - now) / 1_000_000
        self._alarm = asyncio.get_running_loop().call_later(pause, self._turn)

    def _turn(self) -> None:
        self._alarm = None
        due: list[tuple[Any, ...]] = []
        now = self._now()
        if self._ticks:
            self._late(now, max(0, now - self._ticks[0] * self._tick_us))
        while self._ticks and self._ticks[0] * self._tick_us <= now:
            due += self._slots.pop(heapq.heappop(self._ticks))
        if due:
            self._fire(due)
        if self._ticks and self._alarm is None:
            self._wake(self._now())


class Runtime:
    """Feeds inputs to the reducer and hands each effect to whoever carries it out."""

    def __init__(
        self, state: core.State, sockets: int, memory_mb: int, connect_timeout: float, idle: float,
        bans: BanFile | None = None, overlap: Overlap | None = None, clock_file: ClockFile | None = None,
        departures: DepartureFile | None = None,
    ) -> None:  # fmt: skip
        self.state, self.bans, self._overlap, self._clock_file = state, bans, overlap, clock_file
        self.clock = Clock()
        if bans is not None:
            bans.clock_offset = self.clock.from_monotonic(0)
        if clock_file is not None:
            clock_file.load(self.clock)
        self._departures = departures
        self._processes = 1
        self.looked_at_files = False
        self._tell_owed = False  # the other process has not been told yet what is known here
        self._file_faults: set[str] = set()  # what failed when last tried: each is logged once
        self.counters: Counter[str] = Counter()
        self.load = state.load
        self._decided_for: int | None = (
            None  # us of this turn of the loop spent on decisions; None: none was made
        )
        state.module = TimedModule(
            state.module, self.load, lambda: self.clock.now(), lambda: len(state.workers)
        )
        self.descriptors = DescriptorBudget(sockets)
        self._resident = resident.resident_size()
        self._reserved = 0  # bytes that tables of fixed size may come to need
        self.gauges: list[Callable[[], dict[str, int]]] = []  # figures of other parts
        self.memory = MemoryLedger(LEAST_CAPACITY)
        self.pool = Pool(self.descriptors, connect_timeout, idle, self.counters, self.memory.piece)
        self.reconfigure(sockets, memory_mb)
        self.wheel = TimerWheel(self._wake, self.clock.now, self.load.late)
        self.over = asyncio.Event()
        self.on_terminate: list[Callable[[], None]] = []
        self._queue: deque[core.Input] = deque()
        self._feeding = False
        self._tasks: set[asyncio.Task[None]] = set()
        self.carry: dict[type, Callable[[Any], None]] = {
            core.Wake: lambda e: self.wheel.set(e.at, e.token),
            core.Count: lambda e: self.count(e.name),
            core.Say: lambda e: log.info("%s", e.text),
            core.KeepBans: self._keep_bans,
            core.KeepDepartures: self._keep_departures,
            core.Exit: lambda e: self.over.set(),
        }
        self.feed(core.Sharing(1))
        told = departures.load(self.clock.from_monotonic(0)) if departures is not None else None
        if told is not None:
            self.feed(told)
        self.look_at_other(tell=False)

    def reconfigure(self, sockets: int, memory_mb: int) -> None:
        """The limits; what is over a lower one comes down as it ends."""
        self._limits = sockets, memory_mb
        self.memory_mb = memory_mb // self._processes
        self.descriptors.set_limit(sockets // self._processes)
        while self.descriptors.is_over() and self.pool.shed():
            pass
        limit = memory_mb * resident.MEBIBYTE // self._processes - self._reserved
        self.memory.resize(max(LEAST_CAPACITY, capacity_for(limit, self._resident)))

    def reserve(self, size: int) -> None:
        """So many bytes of the limit are not for peers."""
        self._reserved += size
        self.reconfigure(*self._limits)

    def measure_memory(self) -> None:
        """All that serving needs is there: what is left of the limit is for peers."""
        resident.keep_heap_small()
        self._resident = resident.resident_size()
        self.reconfigure(*self._limits)
        left = capacity_for(self.memory_mb * resident.MEBIBYTE, self._resident)
        if left < LEAST_CAPACITY:
            log.warning(
                "a limit of %d MB leaves %d KB for clients beside the %d KB of this process",
                self.memory_mb, left // 1024, self._resident // 1024,
            )  # fmt: skip

    def send_denial(self, request: str, number: int, client_gone: bool) -> Denial | None:
        """Asks the guard of sends, in the turn in which the first byte is to go out."""
        found = self.state.requests.get(request)
        if found is None or number >= len(found.attempts):
            denial: Denial | None = Denial.REQUEST_OVER
        else:
            attempt, now = found.attempts[number], self.clock.now()
            denial = guards.may_send(self.state, now, found, attempt, client_gone)
        if denial is not None:
            self._note_withheld(f"attempt {request}/{number}", denial)
        return denial

    def place_denied(self, request: str, worker: str) -> bool:
        """The same for a place that is asked for."""
        denial = guards.may_ask_place(self.state, self.state.requests.get(request), worker)
        if denial is not None:
            self._note_withheld(f"place of {request} at {worker}", denial)
        return denial is not None

    def _note_withheld(self, what: str, denial: Denial) -> None:
        self.count(f"sends_withheld_{denial.value}")
        log.info("%s is not sent: %s", what, denial.value)

    def count(self, name: str) -> None:
        self.counters[name] += 1

    def feed(self, event: core.Input) -> None:
        self._queue.append(event)
        self._work()

    def _wake(self, tokens: list[tuple[Any, ...]]) -> None:
        self._queue.extend(core.Woken(token) for token in tokens)
        self._work()

    def _work(self) -> None:
        if self._feeding:
            return
        self._feeding = True
        try:
            self._react_and_decide()
        finally:
            self._feeding = False

    def _react_and_decide(self) -> None:
        """All inputs that wait, then decisions as long as this turn of the loop has time for them. A decision
        may take long: what else is due, answers and closes above all, must not wait for more than one."""
        while True:
            if self._queue:
                self._carry_out(core.react(self.state, self.clock.now(), self._queue.popleft()))
            elif self.state.undecided and (self._decided_for or 0) < DECISION_TIME:
                self._decide()
            else:
                return

    def _decide(self) -> None:
        """One decision. The first of a turn asks for the next turn, in which there is time for more."""
        began = self.clock.now()
        if self._decided_for is None:
            self._decided_for = 0
            asyncio.get_running_loop().call_soon(self._next_turn, began)
        effects = core.decide(self.state, began)
        self._decided_for += self.clock.now() - began
        self._carry_out(effects)

    def _next_turn(self, began: int) -> None:
        now = self.clock.now()
        self.load.late(now, now - began)
        self._decided_for = None
        self._work()

    def _carry_out(self, effects: list[core.Effect]) -> None:
        for effect in effects:
            try:
                self.carry[type(effect)](effect)
            except Exception:
                self.count("effect_faults")
                log.exception("effect fault: %s", type(effect).__name__)

    def spawn(self, work: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
        """A task that is kept, and whose unexpected end is logged and ends nothing else."""
        task = asyncio.get_running_loop().create_task(self._guarded(work, name), name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: work.close())  # cancelled before its first step, it never began
        return task

    def spawn_lasting(self, work: Callable[[], Coroutine[Any, Any, None]], name: str) -> asyncio.Task[None]:
        """The same for one that must outlive its faults: it begins anew a moment after one."""

        async def again() -> None:
            while True:
                try:
                    return await work()
                except Exception:
                    self.count("task_faults")
                    log.exception("task fault, which begins anew: %s", name)
                await asyncio.sleep(FAULT_PAUSE)

        return self.spawn(again(), name)

    async def _guarded(self, work: Coroutine[Any, Any, None], name: str) -> None:
        try:
            await work
        except asyncio.CancelledError:
            raise
        except Exception:
            self.count("task_faults")
            log.exception("task fault: %s", name)

    def print_counters(self) -> None:
        state = self.state
        for fault in self.memory.breaches():
            self.count("invariant_memory")
            log.error("invariant broken: memory: %s", fault)
        for fault in self.descriptors.breaches():
            self.count("invariant_descriptors")
            log.error("invariant broken: descriptors: %s", fault)
        for breach in invariants.of_state(state, self.clock.now()):
            self.count(f"invariant_{breach.invariant.value}")
            log.error("%s", breach)
        self.counters["now_requests"] = len(state.requests)
        self.counters["now_releases"] = len(state.releases)
        for name, figure in self._gauges().items():
            self.counters[name] = figure
        line = " ".join(f"{name}={value}" for name, value in sorted(self.counters.items()))
        print(f"counters {line}", file=sys.stderr, flush=True)

    def _gauges(self) -> dict[str, int]:
        now = self.clock.now()
        more = {name: figure for gauge in self.gauges for name, figure in gauge().items()}
        held = core.held_figures(self.state, now)
        return {
            "now_oldest_held_us": held.oldest,
            "release_us": held.release_time,
            "release_waves": held.release_waves,
            "most_release_us": held.longest_release,
            "now_held_entries": held.entries,
            "now_late_questions": held.late_questions,
            "now_untaken_sends": held.untaken_sends,
            "now_engines": len(self.state.workers),
            "resident_bytes": resident.resident_size(),
            **self.memory.figures(),
            **self.descriptors.figures(),
            **more,
            **self.load.figures(now),
        }

    def watch_signals(self, reload: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._terminate)
        loop.add_signal_handler(signal.SIGINT, self._terminate)
        loop.add_signal_handler(signal.SIGHUP, reload)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)

    async def watch_other(self) -> None:
        """The other process's calls bind this one too, well within the time that a drain allows, and both
        together keep the limits of one."""
        while self.bans is not None or self._overlap is not None:
            self.look_at_other()
            await asyncio.sleep(OTHER_STEP)

    def look_at_other(self, tell: bool = True) -> None:
        """One look at the files that processes share. What fails is tried again at the next."""
        self.looked_at_files = True
        with self.noting_file_faults("bans"):
            if self.bans is not None:
                self.bans.retry()
        with self.noting_file_faults("clock"):
            if self._clock_file is not None:
                self._clock_file.keep(self.clock)
        told = self.bans.news() if self.bans is not None else None
        if told is not None:
            self.feed(told)
        with self.noting_file_faults("overlap"):
            processes = 1 if self._overlap is None or self._overlap.alone() else 2
            if processes != self._processes:
                self._share_with(processes, tell)
            if self._tell_owed and self._overlap is not None:
                self._overlap.tell(core.knowledge(self.state, self.clock.now()))
                self._tell_owed = False

    def _share_with(self, processes: int, tell: bool) -> None:
        self._processes = processes
        self._tell_owed = tell and processes > 1
        self.feed(core.Sharing(processes))
        self.reconfigure(*self._limits)
        log.info("another process of this gateway %s", "runs" if processes > 1 else "has ended")

    @contextlib.contextmanager
    def noting_file_faults(self, what: str) -> Iterator[None]:
        """A fault of the folder is counted each time, logged as it begins and as it is over."""
        try:
            yield
        except OSError as error:
            self.count(f"file_faults_{what}")
            if what not in self._file_faults:
                self._file_faults.add(what)
                log.error("files of %s fail, and are tried again: %s", what, error)
            return
        if what in self._file_faults:
            self._file_faults.discard(what)
            log.info("files of %s are written again", what)

    async def take_over(self) -> None:
        """Learn from the process that this one is to replace, before clients come."""
        if self._overlap is not None and self._processes > 1:
            try:
                knowledge = await self._overlap.told()
            except (OSError, ValueError) as error:
                log.error("what the other process knew can't be read: %s", error)
                return
            if knowledge is not None:
                self.feed(core.Recalled(knowledge))

    def hand_on(self, about: dict[str, Any], descriptors: list[int]) -> bool:
        return self._overlap is not None and self._overlap.hand_on(about, descriptors)

    def take_over_streams(self, take: Callable[[Any, list[socket.socket]], None]) -> None:
        if self._overlap is not None:
            self._overlap.take_over_streams(take)

    def _keep_bans(self, effect: core.KeepBans) -> None:
        with self.noting_file_faults("bans"):
            if self.bans is not None:
                self.bans.keep(effect)

    def _keep_departures(self, effect: core.KeepDepartures) -> None:
        with self.noting_file_faults("departures"):
            if self._departures is not None:
                self._departures.keep(effect, self.clock.from_monotonic(0))

    def kept(self, engine: str) -> bool:
        """Whether all that operators ordered of this engine is on disk, where it is kept at all."""
        return self.bans is None or not self.bans.pending(engine)

    @staticmethod
    def hold_signals() -> None:
        """All is done: a signal that comes twice must not turn the end in order into a kill. The loop gives
        its handlers back when it closes."""
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)

    def _terminate(self) -> None:
        log.info("stopping: finishing %d requests", len(self.state.requests))
        for call in self.on_terminate:
            call()
        self.feed(core.Terminate())

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            self.clock.wall_shifts()  # a step is noticed also while no list comes
            self.counters["wall_clock_steps"] = self.clock.steps
            self.pool.sweep()
