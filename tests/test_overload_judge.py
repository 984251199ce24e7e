"""The judge of overloaded cold engines, on logs made by hand on both sides of the line."""

from __future__ import annotations

import pytest

from basaltspread.lab.overload import EngineArrival, overload_limit, windows, worst_breach
from tests.helpers import MS, SECOND

ALLOWED = 4.0  # N: the limit is 4 + 2 * 2 + 2 = 10


def log(*arrivals: tuple[int, float, bool]) -> list[EngineArrival]:
    return [EngineArrival(at, work, told) for at, work, told in arrivals]


def breaks(arrivals: list[EngineArrival], allowed: float = ALLOWED) -> bool:
    return worst_breach(arrivals, lambda _: allowed, SECOND) is not None


def test_the_limit_is_n_and_twice_its_root_and_two() -> None:
    assert overload_limit(ALLOWED) == 10.0
    assert overload_limit(0.0) == 2.0


@pytest.mark.parametrize(("count", "broken"), [(10, False), (11, True)])
def test_mean_requests_up_to_the_limit_are_survived(count: int, broken: bool) -> None:
    assert breaks(log(*((i * 10 * MS, 1.0, True) for i in range(count)))) is broken


@pytest.mark.parametrize(("work", "broken"), [(3.33, False), (3.34, True)])
def test_work_counts_and_not_the_number_of_requests(work: float, broken: bool) -> None:
    assert breaks(log(*((i * MS, work, True) for i in range(3)))) is broken


@pytest.mark.parametrize(("last", "broken"), [(SECOND - 1, True), (SECOND, False)])
def test_the_window_slides_and_its_end_is_open(last: int, broken: bool) -> None:
    # Eleven requests on both sides of a boundary of whole seconds: 0.4 s to 0.4 s + `last`.
    start = 400 * MS
    steps = [start + last * i // 10 for i in range(11)]
    assert breaks(log(*((at, 1.0, True) for at in steps))) is broken


@pytest.mark.parametrize(("told", "broken"), [(8, False), (9, True)])
def test_over_two_thirds_must_come_from_gateways_that_were_told(told: int, broken: bool) -> None:
    # Of 12, two thirds are 8.
    assert breaks(log(*((i * MS, 1.0, i < told) for i in range(12)))) is broken


def test_the_told_share_is_one_of_work() -> None:
    arrivals = log((0, 9.0, True), (1, 1.0, False), (2, 1.0, False), (3, 1.0, False))
    assert breaks(arrivals)  # 9 of 12, though one request of four
    assert not breaks([EngineArrival(a.at, a.work, not a.told) for a in arrivals])


def test_each_window_is_held_to_what_the_engine_could_do_at_its_start() -> None:
    arrivals = log(*((i * MS, 1.0, True) for i in range(11)))
    later = [EngineArrival(a.at + 5 * SECOND, a.work, a.told) for a in arrivals]

    def warming(now: int) -> float:
        return 4.0 + now / SECOND

    assert worst_breach(arrivals, warming, SECOND) is not None
    assert worst_breach(later, warming, SECOND) is None  # 9 + 2 * 3 + 2 = 17


def test_the_worst_of_several_breaches_is_reported_with_its_arrivals() -> None:
    small = [(i * MS, 1.0, True) for i in range(11)]
    large = [(3 * SECOND + i * MS, 1.0, True) for i in range(14)]
    worst = worst_breach(log(*large, *small), lambda _: ALLOWED, SECOND)
    assert worst is not None
    assert (worst.start, worst.work, len(worst.arrivals)) == (3 * SECOND, 14.0, 14)
    assert len(windows(log(*large, *small), lambda _: ALLOWED, SECOND)) == 25
