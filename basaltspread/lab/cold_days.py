"""Days on which engines start cold under faults, drawn from a seed, for the virtual fleet.

`python -m basaltspread.lab.cold_days --days 200` plays many of them and prints each that breaks a rule with
the window that broke it; the suite plays a bounded set. The same seed gives the same day and verdict.
"""

from __future__ import annotations

import argparse
import random
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from itertools import combinations

from basaltspread.lab.entities import READER, WRITER, Engine
from basaltspread.lab.overload import EngineArrival, Window
from basaltspread.lab.settings import MS, SECOND
from basaltspread.lab.world import World

LENGTH = 12.0  # seconds in which clients come
COLD_AT = 4 * SECOND  # until then the gateways learn what warm engines do
ZONES = 3
FAIR_STEP = 100 * MS


@dataclass(frozen=True)
class Plan:
    """One day: its size, which engines come back cold, and what else happens."""

    seed: int
    gateways: int = 30
    readers: int = 6
    writers: int = 6
    rate: float = 30.0
    load: float = 0.6
    starts: str = "replaced"
    faults: tuple[str, ...] = ()
    caches: bool = False  # engines keep what they read, and clients hold conversations
    priced: bool = False  # probes and peers' messages cost what the operators' site says
    length: float = 12.0  # s in which clients come

    def __str__(self) -> str:
        size = f"{self.gateways} gateways, {self.readers}+{self.writers} engines, {self.rate:.0f}/s"
        faults = "+".join(self.faults) or "no fault"
        kind = (" caches" if self.caches else "") + (" priced" if self.priced else "")
        return f"seed {self.seed}: {size}, load {self.load:.2f}, {self.starts}, {faults}{kind}"


@dataclass
class Played:
    """What came of one day."""

    plan: Plan
    breaches: list[str]
    served: float
    use: list[float] = field(default_factory=list)  # of each cold engine's limit, by its fullest window
    cold_work: float = 0.0  # mean requests that cold engines got
    fair_work: float = 0.0  # the same, if each got its even part of all, times its warmth
    first_tokens: list[int] = field(default_factory=list)  # microseconds from arrival

    @property
    def overloads(self) -> list[str]:
        return [breach for breach in self.breaches if breach.startswith("pushed over")]


# --- which engines start cold


def replaced_at_once(world: World) -> None:
    for name in _most(world):
        world.tell(world.replace_engine(name), 50 * MS, 300 * MS)


def replaced_in_steps(world: World) -> None:
    def replace_one(name: str) -> None:
        world.tell(world.replace_engine(name), 50 * MS, 300 * MS)

    for i, name in enumerate(_most(world)):
        world.after(i * 250 * MS, lambda name=name: replace_one(name))  # type: ignore[misc]


def zone_back_cold(world: World) -> None:
    names = [n for n, e in world.engines.items() if e.entry.zone == 0]
    for name in names:
        world.engines[name].silent = True

    def return_cold() -> None:
        for name in names:
            world.come_back_cold(name)
        world.tell(names, 50 * MS, 300 * MS)

    world.after(1500 * MS, return_cold)


def one_joins(world: World) -> None:
    for role in (READER, WRITER):
        world.add_engine(f"new{role}", role, zone=1, started=world.now)
    world.tell([f"new{READER}", f"new{WRITER}"], 50 * MS, 300 * MS)


STARTS: dict[str, Callable[[World], None]] = {
    "replaced": replaced_at_once,
    "steps": replaced_in_steps,
    "zone": zone_back_cold,
    "join": one_joins,
}


def _most(world: World) -> list[str]:
    """Five of six of each kind."""
    names: list[str] = []
    for role in (READER, WRITER):
        of_role = [n for n, e in world.engines.items() if e.entry.kind == role]
        names += of_role[: max(1, len(of_role) * 5 // 6)]
    return names


# --- faults


def burst(world: World) -> None:
    def faster() -> None:
        world.rate *= 1.5

    world.after(COLD_AT + SECOND, faster)


def past_burst(world: World) -> None:
    """Twice as much for a second, some time before engines start cold."""

    def change(factor: float) -> None:
        world.rate *= factor

    world.after(COLD_AT - 2500 * MS, lambda: change(2.0))
    world.after(COLD_AT - 1500 * MS, lambda: change(0.5))


def uneven(world: World) -> None:
    for g in world.gateways:
        g.traffic = 0.2 + world.rng.paretovariate(1.5)


def shift(world: World) -> None:
    """Traffic moves to other gateways, and most of it to one zone."""
    for g in world.gateways:
        g.traffic = 6.0 if g.number % 4 == 0 else 0.5

    def move() -> None:
        for g in world.gateways:
            g.traffic = 6.0 if g.zone == 1 else 0.5

    world.after(COLD_AT + 500 * MS, move)


def swollen(world: World) -> None:
    world.swollen = 0.1


def mass_kill(world: World) -> None:
    def kill() -> None:
        for g in world.gateways:
            if world.rng.random() < 0.7:
                world.kill(g, world.rng.randrange(300 * MS, SECOND))

    world.after(COLD_AT + 1200 * MS, kill)


def restarts(world: World) -> None:
    for i, g in enumerate(world.gateways):
        world.after(COLD_AT + i * 150 * MS, lambda g=g: world.kill(g, 300 * MS))  # type: ignore[misc]


def handover(world: World) -> None:
    def replace_all() -> None:
        for g in list(world.gateways):
            world.after(world.rng.randrange(1500 * MS), lambda g=g: world.hand_over(g))  # type: ignore[misc]

    world.after(COLD_AT + 400 * MS, replace_all)


def readers_hang(world: World) -> None:
    _hang(world, READER)


def writers_hang(world: World) -> None:
    _hang(world, WRITER)


def _hang(world: World, role: int) -> None:
    def hang() -> None:
        for name, engine in list(world.engines.items()):
            if engine.alive and engine.entry.kind == role and world.rng.random() < 0.7:
                world.hang(name, 1500 * MS)

    world.after(COLD_AT + 800 * MS, hang)
    world.after(COLD_AT + 3800 * MS, hang)


def late_connects(world: World) -> None:
    world.late_connects = 0.3


def places_refused(world: World) -> None:
    world.places_refused = 0.7


def places_lost(world: World) -> None:
    world.places_lost = 0.4


def repeats(world: World) -> None:
    world.clients_repeat = True


def stale_lists(world: World) -> None:
    """A third of the gateways hear of everything up to four seconds late."""
    slow = [g.number for g in world.gateways if world.rng.random() < 0.3]
    world.late_lists = {number: world.rng.randrange(SECOND, 4 * SECOND) for number in slow}


def peers_cut(world: World) -> None:
    world.after(COLD_AT + 500 * MS, lambda: world.cut.add(2))
    world.after(COLD_AT + 4500 * MS, world.cut.clear)


FAULTS: dict[str, Callable[[World], None]] = {
    "burst": burst,
    "past burst": past_burst,
    "uneven": uneven,
    "shift": shift,
    "swollen": swollen,
    "kill": mass_kill,
    "restarts": restarts,
    "handover": handover,
    "readers hang": readers_hang,
    "writers hang": writers_hang,
    "late connects": late_connects,
    "places refused": places_refused,
    "places lost": places_lost,
    "repeats": repeats,
    "stale lists": stale_lists,
    "peers cut": peers_cut,
}


# --- days


def draw(seed: int) -> Plan:
    """A day from its seed alone: each start with no fault, one, or two."""
    rng = random.Random(seed)
    kinds = [(), *((f,) for f in FAULTS), *combinations(FAULTS, 2)]
    gateways = rng.randrange(20, 41)
    return Plan(
        seed,
        gateways,
        readers=rng.choice((3, 6, 9, 18)),
        writers=rng.choice((3, 6, 9, 18)),
        rate=gateways * rng.choice((0.5, 1.0, 2.0, 4.0)),
        load=rng.uniform(0.45, 0.75),
        starts=rng.choice(list(STARTS)),
        faults=rng.choice(kinds),
    )


def build(plan: Plan) -> World:
    world = World(
        plan.seed,
        plan.gateways,
        plan.readers,
        plan.writers,
        plan.rate,
        zones=ZONES,
        memory=True,
        load=plan.load,
        count_sends=False,
    )
    for fault in plan.faults:
        FAULTS[fault](world)
    world.after(COLD_AT, lambda: STARTS[plan.starts](world))
    return world


def play(plan: Plan) -> Played:
    world = build(plan).run(LENGTH)
    cold = [e for e in world.engines.values() if e.entry.started]
    work = sum(arrival.work for e in cold for arrival in world.cold_arrivals(e))
    fair = sum(fair_work(world, plan, e) for e in cold)
    return Played(
        plan, world.breaches, world.share("served"), world.cold_use(), work, fair, world.first_tokens
    )


def fair_work(world: World, plan: Plan, engine: Engine) -> float:
    """Of the clients' requests while they come, at the plan's rate."""
    engines = plan.readers if engine.entry.kind == READER else plan.writers
    end = world.began + int(LENGTH * SECOND)
    steps = range(engine.entry.started, end, FAIR_STEP)
    return sum(world.warmth(engine, at) for at in steps) * plan.rate / engines * FAIR_STEP / SECOND


def trace(world: World) -> Iterable[tuple[str, Window]]:
    """The fullest broken window of each engine that was overloaded."""
    for name, engine in world.engines.items():
        breach = world.overload(engine)
        if breach is not None:
            yield name, breach


def line(world: World, arrival: EngineArrival) -> str:
    at = (arrival.at - world.began) / SECOND
    told = "told" if arrival.told else "not told"
    sender = f"{arrival.request:>6} from gateway {arrival.gateway:<3}"
    return f"  {at:7.3f} s  {sender} work {arrival.work:5.2f}  {told}"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0, help="seed of the first day")
    parser.add_argument("--days", type=int, default=100)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--trace", action="store_true", help="print the arrivals of each broken window")
    options = parser.parse_args()
    plans = [draw(seed) for seed in range(options.first, options.first + options.days)]
    with ProcessPoolExecutor(options.processes) as pool:
        days = list(pool.map(play, plans))
    for day in days:
        for breach in day.breaches[:4]:
            print(f"{day.plan}: {breach}")
        if options.trace and day.overloads:
            world = build(day.plan).run(LENGTH)
            for name, window in trace(world):
                print(f" {name}: {window.work:.1f} of {window.limit:.1f}, N {window.allowed:.1f}")
                print("\n".join(line(world, arrival) for arrival in window.arrivals))
    summarize(days)
    return int(any(day.breaches for day in days))


def summarize(days: list[Played]) -> None:
    use = sorted(share for day in days for share in day.use)
    waits = sorted(time for day in days for time in day.first_tokens)
    overloaded = sum(bool(day.overloads) for day in days)
    broken = sum(bool(day.breaches) for day in days)
    print(f"{len(days)} days, {overloaded} with an overload, {broken} with any breach")
    print(f"served {sum(day.served for day in days) / len(days):.4f}")
    cold, fair = sum(day.cold_work for day in days), sum(day.fair_work for day in days)
    print(f"work at cold engines {cold:.0f} mean requests, {cold / max(fair, 1):.2f} of an even part")
    if use:
        median, high = use[len(use) // 2], use[len(use) * 99 // 100]
        print(f"limit used: median {median:.2f}, 99% {high:.2f}, most {use[-1]:.2f}")
    if waits:
        median, late = waits[len(waits) // 2] / SECOND, waits[len(waits) * 95 // 100] / SECOND
        print(f"first token: median {median:.3f} s, 95% {late:.3f} s")


if __name__ == "__main__":
    raise SystemExit(main())
