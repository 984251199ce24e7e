"""Days on which engines hang and wake up under other troubles, drawn from a seed, for the virtual fleet.

`python -m tests.hang_days --days 2000` plays many of them, prints each that breaks a rule, and cuts its
troubles down to those that matter; the suite plays some. The same seed gives the same day and verdict.
"""

from __future__ import annotations

import argparse
import functools
import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from enum import Enum

from basaltspread.lab.entities import READER, WRITER
from basaltspread.lab.world import World
from soak.schedule import cut_down
from tests.helpers import MS, SECOND

LENGTH = 8.0  # seconds in which clients come
QUIET_START = SECOND
LAST_START = 5 * SECOND
ZONES = 3
HANG_LENGTHS = ((200 * MS, 500 * MS), (500 * MS, SECOND), (SECOND, 4 * SECOND))  # round the limit of 0.5 s
LOST_SHARE = 0.5  # of what is written, while connections lead nowhere
WAKES_APART = 40 * MS  # where engines wake up one by one


class Trouble(Enum):
    """What can happen on such a day."""

    HANG = "engines hang, and wake up together"
    HANG_ONE_BY_ONE = "engines hang, and wake up one by one"
    HANG_RESTART = "engines hang, and start anew"
    LOST = "connections to engines that run lead nowhere"
    CUT = "a zone is cut off from the others"
    DRAIN = "engines drain and go"
    DIE = "engines die, and come back cold"
    KILL = "a gateway is killed, and starts again"
    HAND_OVER = "a new version of a gateway takes over"


DRAWN = tuple(trouble for trouble in Trouble if trouble is not Trouble.LOST)
HANGS = (Trouble.HANG, Trouble.HANG_ONE_BY_ONE, Trouble.HANG_RESTART)


@dataclass(frozen=True)
class Happening:
    """One trouble: when, for how long, and with which engines, zone or gateway."""

    trouble: Trouble
    start: int  # us from the day's beginning
    length: int
    engines: tuple[str, ...] = ()
    number: int = 0

    def __str__(self) -> str:
        whom = ", ".join(self.engines) or str(self.number)
        return f"{self.start / SECOND:.3f} s, {self.length / SECOND:.3f} s long: {self.trouble.value}: {whom}"


@dataclass(frozen=True)
class Plan:
    """One day."""

    seed: int
    gateways: int
    readers: int
    writers: int
    rate: float
    places_refused: float
    places_lost: float
    late_connects: float
    swollen: float
    frozen_accepts: float
    clients_leave: float
    happenings: tuple[Happening, ...]


@dataclass(frozen=True)
class Played:
    """What came of one day."""

    plan: Plan
    breaches: tuple[str, ...]
    served: float

    def rules(self) -> Counter[str]:
        return Counter(breach.partition(":")[0] for breach in self.breaches)


def engine_names(readers: int, writers: int) -> list[tuple[str, int, int]]:
    """Name, kind and zone of each engine that a day begins with."""
    return [
        (f"{'abcdef'[i % ZONES]}{i}", WRITER if i >= readers else READER, i % ZONES)
        for i in range(readers + writers)
    ]


def draw(seed: int) -> Plan:
    """At least one trouble is a hang of many engines."""
    rng = random.Random(seed)
    readers, writers = rng.randint(4, 9), rng.randint(4, 10)
    kinds = [rng.choice(HANGS), *rng.choices(DRAWN, k=rng.randint(0, 3))]
    happenings = tuple(_draw_one(rng, kind, readers, writers) for kind in kinds)
    return Plan(
        seed, rng.randint(3, 8), readers, writers, rng.uniform(20.0, 45.0), rng.choice((0.0, 0.2, 0.5)),
        rng.choice((0.0, 0.3)), rng.choice((0.0, 0.1)), rng.choice((0.0, 0.1)), rng.choice((1.0, 0.5)),
        rng.choice((0.0, 0.15)), happenings,
    )  # fmt: skip


def _draw_one(rng: random.Random, trouble: Trouble, readers: int, writers: int) -> Happening:
    start = rng.randrange(QUIET_START, LAST_START)
    length = rng.randrange(*rng.choice(HANG_LENGTHS))
    number = rng.randrange(ZONES)
    if trouble in (*HANGS, Trouble.LOST):
        return Happening(trouble, start, length, _hanging(rng, readers, writers))
    if trouble in (Trouble.DRAIN, Trouble.DIE):
        names = [name for name, _, _ in engine_names(readers, writers)]
        return Happening(trouble, start, length, tuple(rng.sample(names, 2)))
    return Happening(trouble, start, length, number=number)


def _hanging(rng: random.Random, readers: int, writers: int) -> tuple[str, ...]:
    """Up to three quarters of one role or both, in one zone or all."""
    kinds = rng.choice(((READER,), (WRITER,), (READER, WRITER)))
    zones = rng.choice(((0,), (0, 1), tuple(range(ZONES))))
    share, out = rng.uniform(0.25, 0.75), list[str]()
    for kind in kinds:
        names = [n for n, k, zone in engine_names(readers, writers) if k == kind and zone in zones]
        out += names[: max(1, round(share * len(names)))]
    return tuple(out)


def build(plan: Plan) -> World:
    world = World(
        plan.seed, plan.gateways, plan.readers, plan.writers, plan.rate, zones=ZONES, count_sends=False
    )
    world.places_refused, world.places_lost = plan.places_refused, plan.places_lost
    world.late_connects, world.swollen = plan.late_connects, plan.swollen
    world.frozen_accepts, world.clients_leave = plan.frozen_accepts, plan.clients_leave
    for happening in plan.happenings:
        world.after(happening.start, functools.partial(_begin, world, happening))
    return world


def _begin(world: World, happening: Happening) -> None:
    acts: dict[Trouble, Callable[[World, Happening], None]] = {
        Trouble.CUT: _cut, Trouble.DRAIN: _drain, Trouble.DIE: _die, Trouble.KILL: _kill,
        Trouble.HAND_OVER: _hand_over, Trouble.LOST: _lose,
    }  # fmt: skip
    acts.get(happening.trouble, _hang)(world, happening)


def _alive(world: World, happening: Happening) -> list[str]:
    return [n for n in happening.engines if world.engines[n].alive and not world.engines[n].frozen]


def _hang(world: World, happening: Happening) -> None:
    names = _alive(world, happening)
    for number, name in enumerate(names):
        world.freeze(name)
        apart = number * WAKES_APART if happening.trouble is Trouble.HANG_ONE_BY_ONE else 0
        world.after(happening.length + apart, functools.partial(_wake, world, happening, name))


def _wake(world: World, happening: Happening, name: str) -> None:
    if not world.engines[name].alive:
        return
    if happening.trouble is Trouble.HANG_RESTART:
        world.die(name)
        world.come_back_cold(name)
        world.tell([name], 1 * MS, 500 * MS)
    else:
        world.thaw(name)


def _lose(world: World, happening: Happening) -> None:
    names = _alive(world, happening)
    for name in names:
        world.engines[name].loses = LOST_SHARE

    def over() -> None:
        for name in names:
            world.engines[name].loses = 0.0

    world.after(happening.length, over)


def _cut(world: World, happening: Happening) -> None:
    world.cut.add(happening.number)
    world.after(happening.length, lambda: world.cut.discard(happening.number))


def _drain(world: World, happening: Happening) -> None:
    names = _alive(world, happening)
    for name in names:
        world.drain(name)
    world.tell(names, 1 * MS, 100 * MS)


def _die(world: World, happening: Happening) -> None:
    names = _alive(world, happening)
    for name in names:
        world.die(name)

    def come_back() -> None:
        for name in names:
            world.come_back_cold(name)
        world.tell(names, 1 * MS, 500 * MS)

    world.after(happening.length, come_back)


def _kill(world: World, happening: Happening) -> None:
    gateway = world.gateways[happening.number % len(world.gateways)]
    if gateway.state is not None and not gateway.leaving:
        world.kill(gateway, happening.length)


def _hand_over(world: World, happening: Happening) -> None:
    world.hand_over(world.gateways[happening.number % len(world.gateways)])


def play(plan: Plan) -> Played:
    world = build(plan).run(LENGTH)
    return Played(plan, tuple(world.breaches), world.share("served"))


def fewest(day: Played) -> list[Happening]:
    """The troubles without which this day's first rule would not be broken."""
    rule = next(iter(day.rules()))

    def still_fails(happenings: Sequence[Happening]) -> bool:
        return rule in play(replace(day.plan, happenings=tuple(happenings))).rules()

    return cut_down(day.plan.happenings, still_fails)


def days(seeds: Iterable[int], processes: int) -> list[Played]:
    with ProcessPoolExecutor(processes) as pool:
        return list(pool.map(play, [draw(seed) for seed in seeds], chunksize=4))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0, help="seed of the first day")
    parser.add_argument("--days", type=int, default=100)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument(
        "--cut", action="store_true", help="cut failing days down to the troubles that matter"
    )
    options = parser.parse_args()
    played = days(range(options.first, options.first + options.days), options.processes)
    broken = [day for day in played if day.breaches]
    for day in broken:
        print(f"seed {day.plan.seed}: {dict(day.rules())}, first {day.breaches[0]}")
        if options.cut:
            print("\n".join(f"  needed: {happening}" for happening in fewest(day)))
    total = sum((day.rules() for day in broken), Counter[str]())
    served = sum(day.served for day in played) / len(played)
    print(f"{len(played)} days, {len(broken)} with a breach, {dict(total)}; served {served:.4f}")
    return int(bool(broken))


if __name__ == "__main__":
    raise SystemExit(main())
