"""The rules over a whole fleet: many gateways at once, through deaths, drains, silence and cold starts."""

from __future__ import annotations

from dataclasses import replace

import pytest

from basaltspread import core
from basaltspread import interface as api
from basaltspread.lab.world import World
from tests.helpers import MS, SECOND


def day(seed: int) -> World:
    """Thin: a gateway sees one request a second, and each engine once a minute."""
    return World(seed, gateways=90, readers=24, writers=36, rate=90.0)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_calm_day_serves_and_keeps_the_rules(seed: int) -> None:
    world = day(seed).run(4)
    assert world.breaches == []
    assert world.share("served") > 0.97


@pytest.mark.parametrize("seed", [3, 4, 6])
def test_zones_that_do_not_hear_each_other_leave_nothing_held(seed: int) -> None:
    world = day(seed)
    world.after(1 * SECOND, lambda: world.cut.add(seed % 3))
    world.after(7 * SECOND, world.cut.clear)
    world.run(7)
    assert world.breaches == []
    assert world.share("served") > 0.97  # 0.935 to 0.955 if each engine behind the cut is found out by itself


@pytest.mark.parametrize("seed", [1, 2])
def test_engines_that_fall_silent(seed: int) -> None:
    world = day(seed)
    names = list(world.engines)

    def silence(on: bool) -> None:
        for i in range(0, 60, 5):
            world.engines[names[i]].silent = on

    world.after(2 * SECOND, lambda: silence(True))
    world.after(6 * SECOND, lambda: silence(False))
    world.run(8)
    assert world.breaches == []
    assert world.share("served") > 0.8


@pytest.mark.parametrize("seed", [1, 2])
def test_most_gateways_die_at_once(seed: int) -> None:
    world = day(seed)

    def fall() -> None:
        for g in world.gateways:
            if world.rng.random() < 0.7:
                world.kill(g, world.rng.randrange(SECOND, 4 * SECOND))

    world.after(2 * SECOND, fall)
    world.run(8)
    assert world.breaches == []
    assert world.share("served") > 0.8


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_most_engines_are_replaced_by_cold_ones_while_gateways_restart(seed: int) -> None:
    world = day(seed)
    names = list(world.engines)
    world.rng.shuffle(names)

    def swap(name: str) -> None:
        world.tell(world.replace_engine(name), 50 * MS, 1500 * MS)

    for i, name in enumerate(names[:36]):
        world.after(2 * SECOND + i * 190 * MS, lambda name=name: swap(name))  # type: ignore[misc]
    for i, g in enumerate(world.gateways[::10]):
        world.after((3 + i % 4) * SECOND, lambda g=g: world.kill(g, SECOND))  # type: ignore[misc]
    world.run(12)
    assert world.breaches == []
    assert world.share("served") > 0.7


@pytest.mark.parametrize("killed", [False, True])
@pytest.mark.parametrize("talk", [False, True])
def test_cold_engines_under_a_burst_are_not_pushed_over_by_the_sum_of_thirty_gateways(
    talk: bool, killed: bool
) -> None:
    """Five of six writers and as many readers come back cold, their reports say that they are empty, and half
    as much again comes; with and without words between gateways, and after a mass kill."""
    world = World(5, gateways=30, readers=6, writers=6, rate=30.0, talk=talk, memory=True)
    names = list(world.engines)

    def come_back() -> None:
        for name in names[:5] + names[6:11]:
            world.tell(world.replace_engine(name), 50 * MS, 300 * MS)

    def burst() -> None:
        world.rate *= 1.5
        for g in world.gateways:
            if killed and world.rng.random() < 0.7:
                world.kill(g, world.rng.randrange(300 * MS, SECOND))

    world.after(4 * SECOND, come_back)
    world.after(5 * SECOND, burst)
    world.run(12)
    assert world.breaches == []
    assert world.share("served") > (0.75 if killed else 0.95)


@pytest.mark.parametrize("seed", [1, 2])
def test_drains_bind_every_gateway(seed: int) -> None:
    world = day(seed)

    def drain(name: str) -> None:
        world.drain(name)
        world.tell([name], 50 * MS, SECOND)

    for i, name in enumerate(list(world.engines)[::5]):
        world.after(2 * SECOND + i * 500 * MS, lambda name=name: drain(name))  # type: ignore[misc]
    world.run(6)
    assert world.breaches == []
    assert world.share("served") > 0.9


def sick_day(seed: int, gateways: int, talk: bool = True) -> World:
    """Two writers of 20 answer each request with an error from the second second on."""
    world = World(seed, gateways, readers=20, writers=20, rate=min(100.0, 2.0 * gateways), talk=talk)

    def fall_ill() -> None:
        for engine in [e for e in world.engines.values() if e.entry.kind == 1][:2]:
            engine.sick = True

    world.after(2 * SECOND, fall_ill)
    return world.run(10)


@pytest.mark.parametrize(("gateways", "most"), [(4, 20), (40, 24), (200, 40)])
def test_the_whole_fleet_spends_few_requests_on_finding_a_failing_engine(gateways: int, most: int) -> None:
    world = sick_day(1, gateways)
    assert world.breaches == []
    assert world.costs["errors"] <= most
    assert world.costs["attempts"] <= 2.4 * len(world.asks)


def test_each_gateway_by_itself_spends_many_more() -> None:
    """What the shared picture is for: the same day, with gateways that may not talk."""
    alone, together = sick_day(1, 40, talk=False), sick_day(1, 40)
    assert alone.breaches == together.breaches == []
    assert alone.costs["errors"] >= 2.5 * together.costs["errors"]
    assert together.costs["probes"] <= len(together.asks)
    # At 0.003 a probe and 0.0025 for 256 bytes, a request each: under a hundredth of the worth.
    assert 0.003 * together.costs["probes"] + 0.0025 * together.costs["bytes told"] / 256 < 0.01 * len(
        together.asks
    )


@pytest.mark.parametrize("seed", [1, 2])
def test_gateways_that_start_from_an_old_list_do_not_each_find_every_dead_engine(seed: int) -> None:
    """A release: half of the engines are gone, and 28 of 40 gateways start with the list from before, while
    discovery has no room for them."""
    world = World(seed, gateways=40, readers=20, writers=20, rate=80.0)
    old = [dict(g.known) for g in world.gateways]
    names = list(world.engines)[::2]

    def release() -> None:
        for name in names:
            world.die(name)
        for g, known in zip(world.gateways[:28], old[:28], strict=True):
            g.known = known
            world.kill(g, world.rng.randrange(300 * MS, SECOND))
        for g in world.gateways[28:]:
            world.later(g, SECOND, core.ListTold(api.ListKind.DELTA, 2, tuple(
                core.Listed(replace(world.engines[n].entry, state=api.WorkerState.REMOVED), n) for n in names
            )))  # fmt: skip

    world.after(2 * SECOND, release)
    world.run(8)
    assert world.breaches == []
    assert world.share("served") > 0.85
    assert world.costs["refused"] <= 8 * len(names)  # 28 each, if every gateway found every one by itself
