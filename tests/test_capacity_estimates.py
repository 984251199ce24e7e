"""What routers tell each other of the whole fleet, and what admission makes of it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from basaltspread import core
from basaltspread import interface as api
from basaltspread.control.capacity_estimates import DEMAND_MEMORY, CapacityEstimates
from basaltspread.control.picture import BadWord, Picture
from basaltspread.interface import Role
from tests.helpers import MS, SECOND, Drive, entry, settings

ROUTERS = 50
TOLD = api.PeerEstimates(40.0, 2400.0, 12 / SECOND, 0.0, 2.4 * 2400 / SECOND, 0.5)
WARM = dict.fromkeys(Role, True)


def thin() -> api.Settings:
    base = settings(routers=ROUTERS, fields=("memory_share", "prompt_k_waiting"), weights_mean_size=True)
    return replace(base, limits=replace(base.limits, peers=True, probes=True))


def hear_all(estimates: CapacityEstimates, start: int, seconds: float, told: api.PeerEstimates = TOLD) -> int:
    """All routers tell in turn for so long; the time after that."""
    step = SECOND // 16
    for now in range(start, start + int(seconds * SECOND), step):
        estimates.hear(now, told)
    return start + int(seconds * SECOND)


def test_estimates_reach_a_peer_as_they_were_told() -> None:
    message = Picture(thin()).estimates(TOLD)
    assert len(message) <= 8
    assert Picture.is_of_fleet(message)
    heard = Picture.read_estimates(message)
    for name in ("token_time", "prompt_tokens", "writer_rate", "demand", "read_part"):
        assert getattr(heard, name) == pytest.approx(getattr(TOLD, name), rel=0.05), name
    assert heard.mixed_rate == 0.0


def test_estimates_that_are_cut_short_are_refused_and_counted() -> None:
    message = Picture(thin()).estimates(TOLD)
    for broken in (message[:-1], message + b"x", message[:1]):
        with pytest.raises(BadWord):
            Picture.read_estimates(broken)
    with pytest.raises(BadWord):
        Picture(thin()).read(message)  # it names no engine


def test_a_restarted_router_knows_from_its_peers_what_slow_start_needs() -> None:
    """A process that followed a kill sent nothing to engines in slow start before its fifth own prompt."""
    d = Drive(thin(), (entry("r1", 0), entry("w1", 1)))
    slow_start, estimates = d.router.slow_start, d.router.estimates
    assert slow_start.figures(d.now).learning
    hear_all(estimates, d.now, 0.5)
    assert not slow_start.figures(d.now).learning
    assert estimates.time_for_token() == 40.0
    assert estimates.typical_prompt() == 2400.0
    assert estimates.fleet_rate(d.now, Role.WRITER, True) == pytest.approx(12 / SECOND)


def test_most_peers_that_saw_only_reads_which_waited_do_not_hide_what_a_token_takes() -> None:
    estimates = CapacityEstimates(thin())
    for number in range(40):
        estimates.hear(number, replace(TOLD, token_time=40.0 if number % 3 == 0 else 90.0 + number))
    assert estimates.time_for_token() == 40.0


def test_demand_is_what_all_routers_clients_ask() -> None:
    estimates = CapacityEstimates(thin())
    estimates.begin(0)
    assert estimates.demand(SECOND) is None
    now = hear_all(estimates, 0, 20)
    assert estimates.demand(now) == pytest.approx(ROUTERS * TOLD.demand * TOLD.read_part, rel=0.1)
    now = hear_all(estimates, now, 5 * DEMAND_MEMORY / SECOND, replace(TOLD, demand=3 * TOLD.demand))
    assert estimates.demand(now) == pytest.approx(3 * ROUTERS * TOLD.demand * TOLD.read_part, rel=0.1)


def test_each_router_tells_once_a_round_and_what_it_was_asked_since() -> None:
    estimates = CapacityEstimates(replace(thin(), router=7))
    estimates.begin(0)
    arrival = api.Arrival("q", "s", "", 0, 2400, 200, 0, 0, 5 * SECOND, 0, False, False)
    told = []
    for now in range(0, 32 * SECOND, 500 * MS):
        estimates.arrived(arrival)
        if (message := estimates.to_tell(now, WARM)) is not None:
            told.append(message)
    assert 9 <= len(told) <= 11  # a round takes 50 sixteenths of a second
    assert told[-1].demand * SECOND == pytest.approx(2 * 2400, rel=0.2)


def test_estimates_are_told_by_a_real_reducer_and_heard_by_its_module() -> None:
    d = Drive(thin())
    state = core.State(thin(), d.router)
    state.picture = Picture(thin())
    for _ in range(3):
        core.reduce(state, d.now, core.PeerTold(state.picture.estimates(TOLD)))
    assert d.router.estimates.agreed


# --- admission by what the fleet can do


def share_with(warm: int, cold: int, demand: float) -> float:
    """Of what no cold reader is allowed, the part that is let to the warm ones; `demand` in warm readers."""
    d = Drive(thin(), (*(entry(f"r{i}", 0) for i in range(warm + cold)), entry("w1", 1)))
    can = 1 / TOLD.token_time
    told = replace(TOLD, demand=demand * can / ROUTERS, read_part=1.0)
    d.now = hear_all(d.router.estimates, d.now, 20, told)
    d.listed(*(entry(f"r{i}", 0, started=d.now) for i in range(warm, warm + cold)))
    return d.router._warm_readers_share()


def test_what_readers_can_do_is_let_in_whatever_was_refused_before() -> None:
    """Admission went by what waited at crowded readers, and stayed shut as others had started."""
    assert share_with(24, 0, 12.0) == 1.0
    assert share_with(4, 0, 12.0) == pytest.approx(4 / 12, rel=0.1)
    few, more = share_with(4, 0, 12.0), share_with(4, 20, 12.0)
    assert more > few, "what cold ones read is not asked of the warm"
    assert share_with(12, 12, 12.0) == 1.0


def test_all_is_let_in_as_long_as_the_demand_is_not_known() -> None:
    d = Drive(thin(), (entry("r1", 0), entry("w1", 1)))
    assert d.router._warm_readers_share() == 1.0
