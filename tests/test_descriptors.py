"""The budget of descriptors, and what the gateway does for itself while clients hold all that is common."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from basaltspread.control.descriptor_budget import (
    RESERVED,
    RESERVES,
    DescriptorBudget,
    DescriptorUse,
    HeldDescriptor,
)

USES = list(DescriptorUse)
STEPS = st.lists(st.tuples(st.integers(0, 3), st.sampled_from(USES), st.integers(0, 30)), max_size=200)
COMMON = 10  # descriptors


@given(STEPS)
def test_no_use_can_take_anothers_reserve_and_all_keep_to_the_limit(
    steps: list[tuple[int, DescriptorUse, int]],
) -> None:
    budget, held = DescriptorBudget(RESERVED + COMMON), list[HeldDescriptor]()
    for step, use, number in steps:
        if step == 0 and held:
            held.pop(number % len(held)).free()
        elif step == 1 and held:
            other = held.pop(number % len(held))
            other.free()
            other.free()  # said twice
        else:
            own, full = budget.by_use[use], budget.is_full()
            granted = budget.take(use)
            assert (granted is None) == (full and own >= RESERVES.get(use, 0))
            if granted is not None:
                held.append(granted)
        assert not list(budget.breaches())
        assert budget.used == len(held) <= COMMON + sum(RESERVES.values())
        assert budget.by_use == {use: sum(h.use is use for h in held) for use in USES}


def test_a_connection_that_is_kept_counts_for_what_it_serves() -> None:
    """A release's connection that a request took over held a place of the releases' reserve."""
    budget = DescriptorBudget(RESERVED + COMMON)
    held = budget.take(DescriptorUse.RELEASE)
    assert held is not None
    held.use_for(DescriptorUse.ENGINE)
    assert (budget.by_use[DescriptorUse.RELEASE], budget.by_use[DescriptorUse.ENGINE]) == (0, 1)
    held.free()
    held.use_for(DescriptorUse.RELEASE)
    assert budget.used == 0 and not list(budget.breaches())
