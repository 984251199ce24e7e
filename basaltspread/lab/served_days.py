"""Days judged by what is served: engines that can do so much and no more, many gateways with little traffic
each, and policies to compare with, on the same requests.

`python -m basaltspread.lab.served_days --days 100` plays days drawn from their seeds and prints the worst.
The same seed gives the same day and the same verdict.
"""

from __future__ import annotations

import argparse
import random
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from itertools import combinations, pairwise

from basaltspread.lab.cold_days import COLD_AT, FAULTS, ZONES, Plan
from basaltspread.lab.entities import READER, WRITER
from basaltspread.lab.gate import Shortfall, Tally, shortfalls, tally
from basaltspread.lab.reference import RandomChoice, Reference
from basaltspread.lab.settings import MS, SECOND
from basaltspread.lab.troubles import DAY_STARTS, TROUBLES
from basaltspread.lab.world import World

CALM_FAULTS = {"burst", "shift", "uneven", "deep probes"}  # what a day without a fault may have
UNDER_RANDOM = 0.02  # by which a day may serve less than random choice
COULD_STEP = 100 * MS
RANDOM_RATES = (0.3, 0.6, 1.2, 2.5, 5.0)  # requests a second of each gateway
ENGINES = (10, 24, 48, 100, 200)  # of each kind
MOST_REQUESTS_PER_S = 600.0
MEAN_ENGINE_RATES = (0.5, 30.0)  # mean requests a second that an engine can do


@dataclass
class ServedDay:
    """What came of one day."""

    plan: Plan
    own: Tally
    informed: Tally
    plain: Tally
    could: list[float]  # of each third: what the engines that run can do over what is asked, at most 1
    breaches: list[str]
    shortfalls: list[Shortfall]  # of the gate
    worse: list[Shortfall]  # than random choice
    cold_busy: dict[int, float]  # by kind of engine: the used part of what cold ones could do
    fallen: int
    emptied: int  # reads that ended well and left no state, as a release had gone round meanwhile

    @property
    def reached(self) -> float:
        """Own worth over the informed policy's."""
        best = self.informed.total().share
        return self.own.total().share / best if best else 1.0

    def __str__(self) -> str:
        def shares(day: Tally) -> str:
            return " ".join(f"{worth.share:.2f}" for worth in day.thirds())

        could = " ".join(f"{share:.2f}" for share in self.could)
        busy = " ".join(f"{share:.2f}" for share in self.cold_busy.values())
        missing = "; ".join(str(one) for one in (*self.shortfalls, *self.worse)) or "gate held"
        broken = Counted(self.breaches)
        return (
            f"{self.reached:.2f} | {self.plan} | own {shares(self.own)} | informed {shares(self.informed)}"
            f" | random {shares(self.plain)} | could {could} | cold busy {busy} | fallen {self.fallen}"
            f" | reads emptied {self.emptied}"
            f" | {broken} | {missing}"
        )


class Counted:
    """Breaches by their rules."""

    def __init__(self, breaches: Iterable[str]) -> None:
        self._rules: dict[str, int] = {}
        for breach in breaches:
            rule = breach.partition(":")[0]
            self._rules[rule] = self._rules.get(rule, 0) + 1

    def __str__(self) -> str:
        return ", ".join(f"{count} {rule}" for rule, count in self._rules.items()) or "no breach"


def build(plan: Plan, kind: type[World] = World) -> World:
    """A day before it is played."""
    world = kind(
        plan.seed, plan.gateways, plan.readers, plan.writers, plan.rate, zones=ZONES, memory=True,
        load=plan.load, count_sends=False, queues=True,
        caches=plan.caches, priced=plan.priced,
    )  # fmt: skip
    for fault in plan.faults:
        TROUBLES[fault](world)
    world.after(COLD_AT, lambda: DAY_STARTS[plan.starts](world))
    return world


def play(plan: Plan) -> ServedDay:
    """The day under the gateways and under both policies, judged."""
    world, could, length = build(plan), Could(plan.length), plan.length
    world.after(0, lambda: could.watch(world))
    world.run(length)
    own = tally(world, length)
    informed = tally(build(plan, Reference).run(length), length)
    plain = tally(build(plan, RandomChoice).run(length), length)
    calm = plan.starts == "calm" and CALM_FAULTS.issuperset(plan.faults)
    missing, worse = shortfalls(own, informed, plain, calm), worse_than_chance(own, plain)
    return ServedDay(
        plan, own, informed, plain, could.thirds(), world.breaches, missing, worse, could.cold_busy(),
        world.costs["fallen"], world.costs["reads_emptied"],
    )  # fmt: skip


def worse_than_chance(own: Tally, plain: Tally) -> list[Shortfall]:
    """No day may serve less than random choice does."""
    bound = Shortfall("against chance", own.total().share, plain.total().share - UNDER_RANDOM)
    return [bound] if bound.served < bound.wanted else []


class Could:
    """What the engines that run can do over what is asked, sampled through the day."""

    def __init__(self, length: float) -> None:
        self._samples: list[float] = []
        self._length = int(length * SECOND)
        self._cold_could = {READER: 0.0, WRITER: 0.0}
        self._cold_done = {READER: 0.0, WRITER: 0.0}
        self._busy: dict[str, float] = {}

    def watch(self, world: World) -> None:
        if world.now >= world.began + self._length:
            return
        can = {READER: 0.0, WRITER: 0.0}
        for name, engine in world.engines.items():
            if not engine.alive or engine.silent or engine.hung or engine.work is None:
                continue
            kind, warmth = engine.entry.kind, world.warmth(engine, world.now)
            can[kind] += warmth * world.capacity[kind]
            before = min(self._busy.get(name, 0.0), engine.work.busy_time)  # a new process begins at 0
            self._busy[name] = engine.work.busy_time
            if engine.entry.started:
                self._cold_could[kind] += COULD_STEP
                self._cold_done[kind] += engine.work.busy_time - before
        asked = world.rate * (1 + 7 * world.swollen)
        self._samples.append(min(1.0, min(can.values()) / asked))
        world.after(COULD_STEP, lambda: self.watch(world))

    def thirds(self) -> list[float]:
        count = len(self._samples)
        cuts = [count * third // 3 for third in range(4)]
        return [sum(self._samples[a:b]) / max(1, b - a) for a, b in pairwise(cuts)]

    def cold_busy(self) -> dict[int, float]:
        return {
            kind: self._cold_done[kind] / could if could else 0.0 for kind, could in self._cold_could.items()
        }


def draw(seed: int) -> Plan:
    """A day of a large fleet from its seed alone: each start with no fault, one, or two."""
    rng = random.Random(f"served {seed}")
    kinds = [(), *((f,) for f in FAULTS), *combinations(FAULTS, 2)]
    gateways = rng.choice((100, 150, 200, 250, 300))
    rate = min(MOST_REQUESTS_PER_S, gateways * rng.choice(RANDOM_RATES))
    load = rng.uniform(0.3, 0.7)
    least, most = MEAN_ENGINE_RATES
    sizes = [size for size in ENGINES if least <= rate / load / size <= most] or [ENGINES[0]]
    return Plan(
        seed, gateways, readers=rng.choice(sizes), writers=rng.choice(sizes), rate=rate, load=load,
        starts=rng.choice(list(DAY_STARTS)), faults=rng.choice(kinds),
    )  # fmt: skip


LARGE = Plan(0, gateways=200, readers=24, writers=24, rate=240.0, load=0.5)
# Days on which much starts cold and traffic is thin.
ROWS = (
    replace(LARGE, seed=11, starts="replaced"),
    replace(LARGE, seed=21, load=0.6, starts="steps", faults=("kill",)),
    replace(LARGE, seed=21, load=0.6, starts="steps", faults=("repeats",)),
    replace(LARGE, seed=35, load=0.6, starts="steps", faults=("restarts",)),
    replace(LARGE, seed=33, starts="steps", faults=("kill", "swollen")),
    replace(LARGE, seed=11, starts="replaced", faults=("swollen",)),
    replace(LARGE, seed=34, load=0.6, starts="zone", faults=("kill",)),
    replace(LARGE, seed=41, load=0.6, starts="steps", faults=("kill",), readers=50, writers=50, rate=1000.0),
    replace(LARGE, seed=53, load=0.3, starts="steps", faults=("kill",), rate=60.0),
    replace(LARGE, seed=54, load=0.6, starts="replaced", faults=("kill",), readers=100, writers=100,
            rate=400.0),
    replace(LARGE, seed=54, load=0.6, starts="join", readers=100, writers=100, rate=400.0),
    replace(LARGE, seed=54, load=0.6, starts="join", readers=48, writers=48, rate=400.0),
    replace(LARGE, seed=12, starts="join"),
    replace(LARGE, seed=12, starts="calm"),
)  # fmt: skip


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0, help="seed of the first day")
    parser.add_argument("--days", type=int, default=0, help="drawn days; none: the days of ROWS")
    parser.add_argument("--gateways", type=int, help="in place of each day's own number")
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--worst", type=int, default=10, help="how many of the worst days are printed")
    options = parser.parse_args()
    plans = [draw(seed) for seed in range(options.first, options.first + options.days)] or list(ROWS)
    if options.gateways:
        plans = [replace(plan, gateways=options.gateways) for plan in plans]
    with ProcessPoolExecutor(options.processes) as pool:
        days = list(pool.map(play, plans))
    shown = sorted(days, key=lambda day: day.reached)[: options.worst] if options.days else days
    return print_days(days, shown)


def print_days(days: Sequence[ServedDay], shown: Sequence[ServedDay] | None = None) -> int:
    """Some of these days, and the exit status: 1 if one is under a bound or has a breach."""
    for day in days if shown is None else shown:
        print(day)
    failed = [day for day in days if day.shortfalls or day.worse]
    mean = sum(day.reached for day in days) / len(days)
    worst = min(day.reached for day in days)
    overloads = sum(any(b.startswith("pushed over") for b in day.breaches) for day in days)
    broken = sum(bool(day.breaches) for day in days)
    print(
        f"{len(days)} days: {len(failed)} under a bound, {overloads} with an overload, {broken} with any"
        f" breach; worth over the informed policy's: mean {mean:.3f}, least {worst:.3f}"
    )
    return int(bool(failed) or broken > 0)


if __name__ == "__main__":
    raise SystemExit(main())
