"""Tests of the copies of experts and of the search for better ones."""

import numpy as np
import pytest

from toucanspool.groups.copies import ExpertCopies
from toucanspool.groups.copy_search import CopySearch
from toucanspool.groups.expert_map import EMPTY

SETS, RANKS, EXPERTS, SLOTS = 3, 12, 96, 11
NO_SLOWDOWNS = np.ones(RANKS)


def demand(seed: int) -> np.ndarray:
    rng = np.random.default_rng(seed)
    popularity = 1.0 / np.arange(1, EXPERTS + 1) ** 1.3
    demands = np.stack([popularity[rng.permutation(EXPERTS)] for _ in range(SETS)])
    return demands / demands.sum(axis=1, keepdims=True)


def round_robin() -> ExpertCopies:
    return ExpertCopies.round_robin(SETS, RANKS, EXPERTS, SLOTS)


def test_experts_are_dealt_in_turn():
    lists = round_robin().lists()
    assert list(lists[0, 1][:3]) == [1, 13, 25]
    assert (lists[:, :, 8:] == EMPTY).all()


def test_lists_and_back():
    copies = round_robin()
    again = ExpertCopies.from_lists(copies.lists(), EXPERTS)
    assert np.array_equal(again.held, copies.held)


def test_even_demand_is_left_alone():
    even = np.full((SETS, EXPERTS), 1.0 / EXPERTS)
    assert (
        CopySearch(round_robin(), even, NO_SLOWDOWNS).run(
            max_per_rank=1, max_per_set=4, min_gain=0.02
        )
        == []
    )


@pytest.mark.parametrize("seed", range(8))
def test_one_copy_a_rank_lowers_the_skew_by_a_third(seed):
    copies, shares = round_robin(), demand(seed)
    changes = CopySearch(copies, shares, NO_SLOWDOWNS).run(
        max_per_rank=1, max_per_set=4, min_gain=0.02
    )
    assert (
        copies.with_changes(changes).skew(shares, NO_SLOWDOWNS)
        < copies.skew(shares, NO_SLOWDOWNS) * 2 / 3
    )
    taken = [change.rank for change in changes if change.expert != EMPTY]
    assert max(np.bincount(taken)) <= 1


@pytest.mark.parametrize("seed", range(8))
def test_every_expert_keeps_a_copy_through_changes_of_demand(seed):
    copies = round_robin()
    for shift in range(6):
        shares = demand(100 * seed + shift)
        changes = CopySearch(copies, shares, NO_SLOWDOWNS).run(
            max_per_rank=2, max_per_set=4, min_gain=0.02
        )
        copies = copies.with_changes(changes)
        assert copies.held.any(axis=1).all()
        assert (copies.held.sum(axis=2) <= SLOTS).all()


def test_a_few_rounds_come_near_the_even_load():
    copies, shares = round_robin(), demand(3)
    for _ in range(5):
        changes = CopySearch(copies, shares, NO_SLOWDOWNS).run(
            max_per_rank=1, max_per_set=4, min_gain=0.01
        )
        copies = copies.with_changes(changes)
    assert copies.skew(shares, NO_SLOWDOWNS) < 1.25


@pytest.mark.parametrize("seed", range(4))
def test_a_slow_rank_gives_its_work_to_the_others(seed):
    copies, shares = round_robin(), demand(seed)
    slowdowns = NO_SLOWDOWNS.copy()
    slowdowns[2] = 6.0
    for _ in range(6):
        changes = CopySearch(copies, shares, slowdowns).run(
            max_per_rank=1, max_per_set=4, min_gain=0.02
        )
        copies = copies.with_changes(changes)
    assert copies.loads(shares)[:, 2].max() < 0.3
    assert copies.skew(shares, slowdowns) < 2.0


@pytest.mark.parametrize("seed", range(4))
def test_a_rank_takes_no_more_copies_in_a_set_than_its_engine_does(seed):
    copies, shares = round_robin(), demand(seed)
    changes = CopySearch(copies, shares, NO_SLOWDOWNS).run(
        max_per_rank=9, max_per_set=1, min_gain=0.001
    )
    taken = [(c.layer_set, c.rank) for c in changes if c.expert != EMPTY]
    assert taken
    assert len(taken) == len(set(taken))
