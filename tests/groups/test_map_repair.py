"""Completion of a map from what ranks on different maps hold."""

import numpy as np
import pytest

from toucanspool.groups.expert_map import EMPTY
from toucanspool.groups.map_repair import complete_map


def test_a_complete_map_is_left_as_it_is():
    lists = np.array([[[0, 1], [2, 3], [1, 2]]], dtype=np.int16)
    assert (complete_map(lists, 4) == lists).all()


def test_a_missing_expert_takes_an_empty_slot_before_that_of_a_copy():
    lists = np.array([[[0, 1], [0, EMPTY], [2, EMPTY]]], dtype=np.int16)
    complete = complete_map(lists, 4)
    assert (complete != lists).sum() == 1
    assert 3 in complete


@pytest.mark.parametrize("seed", range(20))
def test_ranks_on_two_maps_get_all_experts_with_few_new_ones_each(seed):
    rng = np.random.default_rng(seed)
    sets, ranks, slots, experts = 3, 12, 11, 96
    maps = []
    for _ in range(2):
        copies = np.resize(np.arange(experts), ranks * slots)
        maps.append(rng.permuted(copies)[None, :].repeat(sets, 0))
    first, second = (m.reshape(sets, ranks, slots).astype(np.int16) for m in maps)
    lists = np.where(rng.random((1, ranks, 1)) < 0.3, first, second)
    complete = complete_map(lists, experts)
    missing = [experts - len(np.unique(lists[s])) for s in range(sets)]
    for layer_set in range(sets):
        assert set(complete[layer_set].ravel()) == set(range(experts))
        changed = (complete[layer_set] != lists[layer_set]).sum(axis=1)
        assert changed.sum() == missing[layer_set]
        assert changed.max() <= -(-missing[layer_set] // ranks) + 1
