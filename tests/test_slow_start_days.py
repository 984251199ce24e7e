"""Days on which engines start cold under faults: those that broke the rule once, and some of each fault."""

from __future__ import annotations

import pytest

from basaltspread.lab.cold_days import FAULTS, STARTS, Plan, draw, play

# Seeds that overloaded a cold engine when a lot by session and draws each had a budget of their own, with
# what the fullest window held of its limit. `python -m basaltspread.lab.cold_days --first SEED --days 1
# --trace` prints such a window; docs/FLEET-ACCEPTANCE.md has one in full.
ONCE_OVERLOADED = {
    152: "readers, 18.2 of 17.9: a burst, and peers that did not hear each other",
    174: "readers, 19.4 of 16.4: traffic that moved, and gateways that restarted",
    358: "readers, 26.6 of 19.3: reads that ended together after a hang, in a burst",
    382: "readers, 18.2 of 17.5: a mass kill, and connections that came up late",
    441: "readers, 18.9 of 17.4: reads that ended together after a hang",
    469: "readers, 37.8 of 35.4: a burst, and reads that ended together after a hang",
    659: "readers, 5.6 of 5.5: traffic that moved, and clients that came again",
}


# The smallest such day: no fault but that five of six engines are replaced at once.
SMALLEST = Plan(9, gateways=20, readers=18, writers=3, rate=80.0, load=0.7, starts="replaced")


def overloads(plan: Plan) -> list[str]:
    return play(plan).overloads


@pytest.mark.parametrize("seed", ONCE_OVERLOADED)
def test_days_that_overloaded_a_cold_engine_once(seed: int) -> None:
    assert overloads(draw(seed)) == []


def test_the_smallest_day_that_overloaded_a_cold_engine() -> None:
    assert overloads(SMALLEST) == []


@pytest.mark.parametrize("fault", FAULTS)
def test_no_fault_alone_overloads_a_cold_engine(fault: str) -> None:
    """Thin gateways, half of the engines many and half few, as traffic is spread over large fleets."""
    for seed, starts in enumerate(STARTS):
        size = 6 if seed % 2 else 12
        plan = Plan(seed, gateways=24 + 4 * seed, readers=size, writers=size, rate=40.0, starts=starts)
        assert overloads(Plan(**{**vars(plan), "faults": (fault,)})) == []


@pytest.mark.parametrize("seed", range(2000, 2024))
def test_drawn_days(seed: int) -> None:
    played = play(draw(seed))
    assert played.overloads == []
    assert played.served > 0.5


def test_cold_engines_are_not_starved() -> None:
    """They get half of an even part of all requests at the least, of a fleet at six tenths of its load."""
    got = wanted = 0.0
    for seed in range(4):
        plan = Plan(seed, gateways=30, readers=6, writers=6, rate=60.0, load=0.6, starts="join")
        played = play(plan)
        got += played.cold_work
        wanted += played.fair_work
    assert got >= 0.5 * wanted
