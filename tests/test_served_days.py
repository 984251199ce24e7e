"""The operators' gate on what is served, on days of large fleets whose gateways have little traffic each."""

from __future__ import annotations

from basaltspread.lab.served_days import ROWS, ServedDay, play

REPLACED, KILLED = ROWS[0], ROWS[1]
OF_COULD = 0.8  # of what the engines that run could do, in each third of a day


def short_thirds(day: ServedDay) -> list[str]:
    """Thirds in which less is served than engines could do."""
    pairs = zip(day.own.thirds(), day.could, strict=True)
    return [f"{worth.share:.2f} of {could:.2f}" for worth, could in pairs if worth.share < OF_COULD * could]


def test_too_little_is_served_where_most_engines_start_cold() -> None:
    """Each gateway alone kept the whole fleet's rule, and refused what cold engines could do."""
    day = play(REPLACED)
    assert (day.breaches, day.shortfalls) == ([], [])


def test_thin_gateways_use_what_cold_engines_can_do() -> None:
    assert short_thirds(play(REPLACED)) == []


def test_killed_gateways_use_what_cold_engines_can_do() -> None:
    assert short_thirds(play(KILLED)) == []
