"""Tests of the choice of a group's next placement."""

from dataclasses import replace

import numpy as np
import pytest

from standins.expert_demand import ShiftingDemand
from tests.limits.test_adaptive_limit import ENGINE
from toucanspool.groups.copies import ExpertCopies
from toucanspool.groups.copy_search import CopySearch
from toucanspool.groups.map_planner import copies_per_rank, plan_copies

MANY_SLOTS = replace(
    ENGINE,
    layer_sets=3,
    experts=96,
    expert_slots=11,
    copies_per_set=4,
    expert_copy_s=0.4,
)
FEW_SLOTS = replace(
    ENGINE,
    layer_sets=12,
    experts=144,
    expert_slots=3,
    copies_per_set=2,
    expert_copy_s=0.0058,
)
FAST_LINK, SLOW_LINK = 1e9, 3e6


@pytest.mark.parametrize("seed", range(4))
def test_groups_with_many_slots_are_planned_as_before(seed):
    """Guards against other plans at the sizes in use: 12 ranks, 11 slots."""
    world = ShiftingDemand(seed, sets=3, ranks=12, experts=96)
    copies = ExpertCopies.round_robin(3, 12, 96, 11)
    for _ in range(3):
        changes = CopySearch(copies, world.shares, world.slowdowns).run(
            max_per_rank=1, max_per_set=4, min_gain=0.01
        )
        planned = plan_copies(
            copies, world.shares, world.slowdowns, MANY_SLOTS, link_bits_per_s=SLOW_LINK
        )
        assert np.array_equal(planned.held, copies.with_changes(changes).held)
        copies = planned
        world.shift()


@pytest.mark.parametrize(
    ("slots", "copy_s", "expected"),
    [(11, 0.4, 1), (11, 0.076, 3), (11, 0.006, 10), (5, 0.0365, 5), (3, 0.0058, 26)],
)
def test_a_plan_takes_no_longer_to_copy_than_demand_lasts(slots, copy_s, expected):
    engine = replace(ENGINE, expert_slots=slots, expert_copy_s=copy_s)
    assert copies_per_rank(engine) == expected


def test_a_first_plan_over_a_slow_link_is_small_and_later_ones_follow():
    """Guards against a group that waits under a high skew while long orders arrive."""
    world = ShiftingDemand(1, sets=12, ranks=72, experts=144)
    copies = ExpertCopies.round_robin(12, 72, 144, 3)

    def planned(before: ExpertCopies, link: float) -> tuple[ExpertCopies, int]:
        after = plan_copies(
            before, world.shares, world.slowdowns, FEW_SLOTS, link_bits_per_s=link
        )
        return after, int((after.held & ~before.held).sum())

    _, fast_copies = planned(copies, FAST_LINK)
    first, slow_copies = planned(copies, SLOW_LINK)
    assert slow_copies < fast_copies * 2 / 3
    before = copies.skew(world.shares, world.slowdowns)
    after = first.skew(world.shares, world.slowdowns)
    assert after < before / 2
    second, _ = planned(first, SLOW_LINK)
    assert second.skew(world.shares, world.slowdowns) < after
