"""Encoding of expert maps and expert counts."""

import numpy as np
import pytest

from toucanspool.groups.expert_map import EMPTY
from toucanspool.groups.rank_arrays import (
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
