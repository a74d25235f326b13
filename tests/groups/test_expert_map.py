"""Tests that invalid maps are rejected and that valid ones survive encoding."""

import contextlib

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from toucanspool.groups.expert_map import EMPTY, BadMap, ExpertMap
from toucanspool.groups.packing import pack


@settings(derandomize=True, deadline=None, max_examples=30)
@given(
    seed=st.integers(0, 2**31),
    layers=st.integers(1, 3),
    ranks=st.integers(2, 9),
    slots=st.integers(1, 4),
    spare=st.integers(0, 9),
)
def test_packed_map_survives_the_wire(seed, layers, ranks, slots, spare):
    rng = np.random.default_rng(seed)
    n_experts = max(1, ranks * slots - spare)
    loads = rng.dirichlet(np.ones(n_experts), layers)
    speeds = rng.uniform(0.1, 1.0, ranks)
    map_ = pack(loads, speeds, slots, version=seed)
    assert ExpertMap.decode(map_.encode()) == map_
    assert map_.copy_counts().min() >= 1
    assert np.allclose(map_.rank_loads(loads).sum(axis=1), 1.0)


@pytest.mark.parametrize(
    ("experts", "weights", "error"),
    [
        ([[[0, 1], [0, EMPTY]]], None, "no copy of expert 2"),
        ([[[0, 0], [1, 2]]], None, "twice on rank 0"),
        ([[[0, 1], [2, 3]]], None, "that there is not"),
        ([[[0, 1], [2, EMPTY]]], [[[1, 0], [1, 0]]], "no copy of expert 1 gets"),
        ([[[0, 1], [2, EMPTY]]], [[[1, 1], [1, 1]]], "an empty slot has a weight"),
        ([[[0, 1], [2, EMPTY]]], [[[1, 1], [1, 70_000]]], "a weight is not in"),
        ([[[0, 1], [2, EMPTY]]], [[[1, 1]]], "weights need the shape"),
        ([[0, 1, 2]], None, "experts need the shape"),
        ([[[0.5, 1], [2, 0]]], None, "whole numbers"),
        ([[[0, 1], [2, 65_536]]], None, "that there is not"),
    ],
)
def test_broken_map_is_refused(experts, weights, error):
    with pytest.raises(BadMap, match=error):
        ExpertMap(version=1, n_experts=3, experts=experts, weights=weights)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(data=st.data())
def test_damaged_bytes_are_refused_or_the_same(data):
    map_ = ExpertMap(version=3, n_experts=3, experts=[[[0, 1], [2, 0]]])
    good = map_.encode()
    at = data.draw(st.integers(0, len(good) - 1))
    value = data.draw(st.integers(0, 255))
    bad = good[:at] + bytes([value]) + good[at + 1 :]
    with contextlib.suppress(BadMap):
        assert ExpertMap.decode(bad) == map_


def test_map_cannot_be_changed():
    map_ = ExpertMap(version=3, n_experts=3, experts=[[[0, 1], [2, 0]]])
    for array in (map_.experts, map_.weights, map_.shares):
        with pytest.raises(ValueError, match="read-only"):
            array[0, 0, 0] = 1


def test_new_copies_are_counted_by_rank():
    old = ExpertMap(version=1, n_experts=3, experts=[[[0, 1], [2, 0]]])
    same = ExpertMap(version=2, n_experts=3, experts=[[[1, 0], [0, 2]]])
    new = ExpertMap(version=2, n_experts=3, experts=[[[0, 2], [1, EMPTY]]])
    assert same.copies_new_to(old) == 0
    assert new.copies_new_to(old) == 2
