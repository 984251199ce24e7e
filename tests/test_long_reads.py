"""Calm days whose reads take longer than what is held may wait."""

from __future__ import annotations

from basaltspread.lab.long_reads import LEARNT, day
from basaltspread.lab.served_days import build

MOST_EMPTIED = 0.01  # of the reads that end once gateways have had a request


def test_releases_took_the_states_of_reads_that_went_on() -> None:
    """Their writes found no state, they were read again, and readers got slower: the calm day collapsed."""
    plan = day(0.1)
    world = build(plan).run(plan.length)
    late = [at for at in world.emptied_at if at >= LEARNT]
    assert (world.breaches, len(late) <= MOST_EMPTIED * world.costs["writes"]) == ([], True), len(late)
