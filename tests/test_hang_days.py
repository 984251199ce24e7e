"""Days on which engines hang, in the virtual fleet: those that broke a rule once, and some of all."""

from __future__ import annotations

from dataclasses import replace

import pytest

from basaltspread import core
from basaltspread.lab.entities import WRITER, Gateway
from basaltspread.lab.world import World
from tests.hang_days import Happening, Trouble, draw, engine_names, play
from tests.hang_mutants import MUTANTS, Mutant
from tests.helpers import MS, SECOND

# Days on which the state of a read that was given up behind a cut stayed held: engines that are cut off work
# on it, and give no sign of life.
READ_GIVEN_UP_BEHIND_A_CUT = (282, 313, 595, 665, 1084)
DRAWN = range(60)


@pytest.mark.parametrize("seed", [*READ_GIVEN_UP_BEHIND_A_CUT, *DRAWN])
def test_a_day_on_which_engines_hang_breaks_no_rule(seed: int) -> None:
    assert play(draw(seed)).breaches == ()


def test_what_writers_take_behind_a_cut_as_they_wake_up_is_released() -> None:
    """All of a zone hang, the zone is cut off meanwhile, and they take what was asked for before."""
    for seed in range(12):
        plan = draw(seed)
        writers = [
            n for n, kind, zone in engine_names(plan.readers, plan.writers) if (kind, zone) == (WRITER, 1)
        ]
        hang = Happening(Trouble.HANG, 2 * SECOND, 1500 * MS, tuple(writers))
        cut = Happening(Trouble.CUT, 2300 * MS, 3 * SECOND, number=1)
        crossed = replace(plan, frozen_accepts=1.0, late_connects=0.0, happenings=(hang, cut))
        assert play(crossed).breaches == (), seed


def test_reads_whose_connections_lead_nowhere_leave_nothing_held_while_their_readers_answer_others() -> None:
    """Of prompts of usual length; a place is kept longer for a long one, whose read takes that long."""
    for seed in range(20):
        plan = draw(seed)
        engines = tuple(name for name, _, _ in engine_names(plan.readers, plan.writers))
        lost = Happening(Trouble.LOST, 1500 * MS, 4 * SECOND, engines)
        assert play(replace(plan, swollen=0.0, happenings=(lost,))).breaches == (), seed


def test_what_may_be_held_always_has_its_next_look_due(monkeypatch: pytest.MonkeyPatch) -> None:
    """After every input, in every gateway: a clock that nothing wakes would never run out."""
    feed, looks = World.feed, list[int | None]()

    def fed(world: World, gateway: Gateway, event: core.Input) -> None:
        feed(world, gateway, event)
        if gateway.state is None:
            return
        assert gateway.state.release_calls >= 0
        held = [r for r in gateway.state.requests.values() if r.held.since() is not None and r.stream is None]
        looks.extend(request.held_check_at for request in held)
        assert all(request.held_check_at is not None for request in held), event

    monkeypatch.setattr(World, "feed", fed)
    for seed in range(6):
        play(draw(seed))
    assert len(looks) > 1000


def test_the_same_seed_gives_the_same_day_and_verdict() -> None:
    assert draw(7) == draw(7)
    assert play(draw(7)) == play(draw(7))


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_every_mutant_fits_the_code(mutant: Mutant) -> None:
    assert mutant.fits()
