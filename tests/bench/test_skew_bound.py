"""Tests of the lower bound of the skew."""

import numpy as np
import pytest

from bench.skew_bound import skew_bound
from standins.expert_demand import ShiftingDemand
from toucanspool.groups.copies import ExpertCopies
from toucanspool.groups.few_slots.slot_search import SlotSearch


def test_even_demand_allows_no_skew():
    demand = np.full((2, 8), 1.0 / 8.0)
    assert skew_bound(demand, np.ones(4), 2) == pytest.approx(1.0)


def test_a_hot_expert_without_spare_slots_is_carried_by_one_rank():
    demand = np.array([[0.5, 0.25, 0.125, 0.125]])
    assert skew_bound(demand, np.ones(4), 1) == pytest.approx(2.0)


def test_a_slow_rank_lowers_the_mean_speed():
    demand = np.full((1, 8), 1.0 / 8.0)
    slowdowns = np.array([1.0, 1.0, 1.0, 4.0])
    assert skew_bound(demand, slowdowns, 8) == pytest.approx(4.0 / 3.25)


@pytest.mark.parametrize("seed", range(3))
def test_no_placement_found_is_below_the_bound(seed):
    world = ShiftingDemand(seed, sets=3, ranks=12, experts=30)
    copies = ExpertCopies.round_robin(3, 12, 30, 4)
    for _ in range(4):
        copies = SlotSearch(copies, world.shares, world.slowdowns).run(
            max_per_rank=12, max_per_set=4
        )
        skew = copies.skew(world.shares, world.slowdowns)
        assert skew >= skew_bound(world.shares, world.slowdowns, 4)
