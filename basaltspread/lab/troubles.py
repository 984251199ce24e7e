"""What goes wrong on the operators' days by name, beyond the days of cold starts (cold_days.py).

Each is a function that arranges its trouble in a world before that is played; times are in microseconds from
the day's begin.
"""

from __future__ import annotations

from collections.abc import Callable

from basaltspread.lab.cold_days import COLD_AT, FAULTS, STARTS
from basaltspread.lab.entities import READER, WRITER
from basaltspread.lab.queues import ReadQueue, WriteSlots
from basaltspread.lab.settings import MS, SECOND
from basaltspread.lab.world import World

STEP_TOLD = (50 * MS, 300 * MS)
SLOWER = 4  # times
LOST_PART = 0.7  # of what is written to an engine that loses writes
DISCOVERY_DOWN = 8 * SECOND
MANY_TEXTS = 1500
OVERLOAD, OVERLOAD_TIME = 2.2, 4 * SECOND


def every(world: World, number: int, role: int | None = None) -> list[str]:
    """The names of each so-manieth engine, of one kind or of all."""
    names = [name for name, engine in world.engines.items() if role in (None, engine.entry.kind)]
    return names[::number]


def overload(world: World) -> None:
    """More than engines can do for a while, then as before."""

    def change(factor: float) -> None:
        world.rate *= factor

    world.after(COLD_AT, lambda: change(OVERLOAD))
    world.after(COLD_AT + OVERLOAD_TIME, lambda: change(1 / OVERLOAD))


def slow_engines(world: World) -> None:
    """One of eight engines is slow."""
    for name in every(world, 8):
        match world.engines[name].work:
            case ReadQueue() | WriteSlots() as work:
                work.slow_down(SLOWER)


def sick_engines(world: World) -> None:
    """One of eight engines answers with errors."""
    for name in every(world, 8):
        world.engines[name].sick = True


def lost_writes(world: World) -> None:
    """One of eight engines loses most of what is written to it."""
    for name in every(world, 8):
        world.engines[name].loses = LOST_PART


def one_in_twenty_hangs(world: World) -> None:
    for name in every(world, 20):
        world.after(COLD_AT + SECOND, lambda name=name: world.hang(name, 3 * SECOND))  # type: ignore[misc]


def tenths_restarted(world: World) -> None:
    """All gateways, a tenth at a time."""
    for g in world.gateways:
        begin = COLD_AT + g.number % 10 * 600 * MS
        world.after(begin, lambda g=g: world.kill(g, 300 * MS))  # type: ignore[misc]


def discovery_down(world: World) -> None:
    """Nobody hears of a change for a while."""

    def down() -> None:
        world.late_lists = {g.number: DISCOVERY_DOWN for g in world.gateways}

    world.after(COLD_AT - SECOND, down)
    world.after(COLD_AT - SECOND + DISCOVERY_DOWN, world.late_lists.clear)


def zone_apart(world: World) -> None:
    """A zone hears itself alone."""
    world.after(COLD_AT, lambda: world.cut.add(1))
    world.after(COLD_AT + 6 * SECOND, world.cut.clear)


def clients_leave(world: World) -> None:
    world.clients_leave = 0.05


def many_texts(world: World) -> None:
    """So many that no reader keeps most of them."""
    world.texts = MANY_TEXTS


def readers_silent(world: World) -> None:
    """Four in five readers fall silent together, twice."""

    def set_silent(names: list[str], silent: bool) -> None:
        for name in names:
            world.engines[name].silent = silent

    readers = [n for n, e in world.engines.items() if e.entry.kind == READER]
    names = [name for name in readers if world.rng.random() < 0.8]
    for begin in (COLD_AT, 2 * COLD_AT):
        world.after(begin, lambda: set_silent(names, True))
        world.after(begin + 1500 * MS, lambda: set_silent(names, False))


def deep_probes(world: World) -> None:
    """Readers answer probes in turn with what they read."""
    world.deep_probes = True


TROUBLES: dict[str, Callable[[World], None]] = {
    **FAULTS,
    "overload": overload,
    "slow engines": slow_engines,
    "sick engines": sick_engines,
    "lost writes": lost_writes,
    "one in twenty hangs": one_in_twenty_hangs,
    "tenths restarted": tenths_restarted,
    "discovery down": discovery_down,
    "zone apart": zone_apart,
    "clients leave": clients_leave,
    "readers silent": readers_silent,
    "many texts": many_texts,
    "deep probes": deep_probes,
}


def quiet(world: World) -> None:
    """No engine starts, dies or hangs."""


def _replaced_in_steps(world: World, part: float, within: int) -> None:
    names: list[str] = []
    for role in (READER, WRITER):
        of_role = [n for n, e in world.engines.items() if e.entry.kind == role]
        names += of_role[: int(part * len(of_role))]
    world.rng.shuffle(names)
    for i, name in enumerate(names):
        at = i * within // max(1, len(names))
        world.after(at, lambda name=name: world.tell(world.replace_engine(name), *STEP_TOLD))  # type: ignore[misc]


def half_in_steps(world: World) -> None:
    _replaced_in_steps(world, 0.5, 6 * SECOND)


def six_in_ten(world: World) -> None:
    _replaced_in_steps(world, 0.6, 7 * SECOND)


DAY_STARTS: dict[str, Callable[[World], None]] = {
    **STARTS,
    "calm": quiet,
    "half in steps": half_in_steps,
    "six in ten": six_in_ten,
}
