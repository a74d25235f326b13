"""Encoding of expert maps and expert counts."""

import numpy as np
import pytest

from toucanspool.groups.expert_map import EMPTY
from toucanspool.groups.rank_arrays import (
    apply_changes,
    pack_changes,
    pack_counts,
    pack_lists,
    pack_map,
    unpack_counts,
    unpack_map,
)


def test_a_map_comes_back_as_it_was():
    lists = np.arange(2 * 3 * 4).reshape(2, 3, 4)
    lists[0, 0, 3] = EMPTY
    assert (unpack_map(pack_map(lists), 4).reshape(2, 3, 4) == lists).all()


def test_lists_of_a_rank_are_padded():
    assert unpack_map(pack_lists([[5, 2], [7]], 3), 3).tolist() == [
        [5, 2, EMPTY],
        [7, EMPTY, EMPTY],
    ]


def test_bytes_that_are_no_map_are_told():
    with pytest.raises(ValueError, match="incorrect header"):
        unpack_map(b"no map", 3)


def test_a_map_of_24_ranks_is_small():
    lists = np.tile(np.arange(96).reshape(24, 4), (16, 1, 1))
    assert len(pack_map(lists)) < 0.6 * lists.size * 2


def test_few_picks_come_back_exactly():
    counts = np.array([[0, 3, 200], [1, 0, 7]])
    data, unit = pack_counts(counts)
    assert (unpack_counts(data, unit, (2, 3)) == counts).all()


def test_many_picks_keep_their_shares():
    counts = np.random.default_rng(1).integers(0, 60_000, (3, 96))
    data, unit = pack_counts(counts)
    assert len(data) == counts.size
    assert np.allclose(unpack_counts(data, unit, counts.shape), counts, atol=unit)


def test_picks_of_another_shape_are_left_out():
    assert unpack_counts(b"123", 1.0, (2, 2)) is None


def random_map(seed: int) -> np.ndarray:
    """Return a map of 12 sets, 64 ranks and 5 slots, a quarter of them empty."""
    rng = np.random.default_rng(seed)
    lists = np.full((12, 64, 5), EMPTY, dtype=np.int16)
    for layer_set in range(12):
        for rank in range(64):
            size = rng.integers(3, 6)
            lists[layer_set, rank, :size] = sorted(rng.choice(256, size, replace=False))
    return lists


def changed(lists: np.ndarray, ranks: int) -> np.ndarray:
    """Return a map in which some ranks have another expert in every set."""
    after = lists.copy()
    for layer_set in range(12):
        for rank in range(ranks):
            row = after[layer_set, rank]
            row[0] = next(e for e in range(256) if e not in row)
            after[layer_set, rank] = sorted(row[row != EMPTY]) + [EMPTY] * sum(
                row == EMPTY
            )
    return after


def test_a_map_comes_back_from_its_changes():
    before = random_map(1)
    after = changed(before, 20)
    assert (apply_changes(before, pack_changes(before, after)) == after).all()


def test_changes_of_a_large_map_take_a_fraction_of_its_bytes():
    before = random_map(1)
    after = changed(before, 10)
    assert len(pack_changes(before, after)) < len(pack_map(after)) / 4


def test_changes_of_another_map_are_told():
    before = random_map(1)
    data = pack_changes(before, changed(before, 20))
    with pytest.raises(ValueError, match="another map"):
        apply_changes(random_map(2), data)


def test_bytes_that_are_no_changes_are_told():
    with pytest.raises(ValueError, match="incorrect header"):
        apply_changes(random_map(1), b"no changes")
