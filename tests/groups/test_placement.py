"""Tests that plans give valid maps, pay for their moves and ignore noise."""

from dataclasses import replace

import numpy as np
import pytest
from group_reports import optimized_map
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.speed_split import SpeedSplit
from toucanspool.groups import placement
from toucanspool.groups.expert_map import EMPTY, ExpertMap
from toucanspool.groups.packing import pack
from toucanspool.groups.placement import Planner
from toucanspool.groups.placement_settings import PlacementSettings
from toucanspool.groups.split import MinMaxSplit

EAGER = PlacementSettings(min_gain=0.001, switch_s=0.0, noise_sigmas=0.0)


def random_group(layers=2, ranks=8, n_experts=16):
    rng = np.random.default_rng(5)
    return rng.dirichlet(np.ones(n_experts), layers), np.ones(ranks)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    seed=st.integers(0, 2**31),
    ranks=st.integers(2, 10),
    slots=st.integers(1, 4),
    spare=st.integers(0, 6),
    split=st.sampled_from([MinMaxSplit(), SpeedSplit()]),
    moves=st.integers(0, 6),
)
def test_every_plan_is_valid_and_tells_its_moves(
    seed, ranks, slots, spare, split, moves
):
    rng = np.random.default_rng(seed)
    n_experts = max(1, ranks * slots - spare)
    before, loads = rng.dirichlet(np.full(n_experts, 0.5), (2, 2))
    speeds = rng.uniform(0.02, 1.0, ranks)
    map_ = pack(before, np.ones(ranks), slots, split=split)
    cfg = replace(EAGER, max_load_s=moves * 0.0441)
    plan = Planner(cfg, split=split).plan(map_, loads, speeds)
    if plan is None:
        return
    assert len(plan.moves) <= placement.EXTENDED_BUDGET_FACTOR * moves
    assert plan.map.version == map_.version + 1
    assert plan.map.copy_counts().min() >= 1
    experts = map_.experts.copy()
    for move in plan.moves:
        assert experts[move.layer, move.rank, move.slot] == move.replaced
        experts[move.layer, move.rank, move.slot] = move.expert
    assert np.array_equal(experts, plan.map.experts)
    peaks = [(m.rank_loads(loads) / speeds).max(axis=1).sum() for m in (map_, plan.map)]
    assert 1 - peaks[1] / peaks[0] == pytest.approx(plan.gain, abs=0.01)


def test_moves_that_cost_more_than_they_save_are_left_out():
    loads, speeds = random_group()
    map_ = optimized_map(loads, 8, 3)
    shifted = np.roll(loads, 3, axis=1)
    cheap = Planner(EAGER).plan(map_, shifted, speeds)
    expensive = Planner(replace(EAGER, move_weight=1e9)).plan(map_, shifted, speeds)
    assert cheap.moves
    assert expensive is None or not expensive.moves
    assert EAGER.benefit(cheap.gain) > EAGER.move_cost * len(cheap.moves)


def noisy_plan(cfg, seed):
    rng = np.random.default_rng(seed)
    loads, speeds = random_group()
    map_ = optimized_map(loads, 8, 3)
    errors = 0.01 * loads
    seen = loads + rng.normal(0.0, errors)
    seen /= seen.sum(axis=1, keepdims=True)
    return Planner(cfg).plan(map_, seen, speeds, errors=errors)


@pytest.mark.parametrize("seed", range(20))
def test_noise_makes_no_plan(seed):
    assert noisy_plan(PlacementSettings(), seed) is None


def test_without_the_test_of_noise_it_makes_plans():
    cfg = PlacementSettings(noise_sigmas=0.0)
    assert any(noisy_plan(cfg, seed) is not None for seed in range(20))


def test_slow_rank_gets_less():
    loads, speeds = random_group()
    map_ = optimized_map(loads, 8, 3)
    speeds[2] = 0.5
    plan = Planner(EAGER).plan(map_, loads, speeds)
    part = plan.map.rank_loads(loads)[:, 2] / map_.rank_loads(loads)[:, 2]
    assert (part < 0.7).all()


def test_search_cut_short_goes_on(monkeypatch):
    monkeypatch.setattr(placement, "MAX_LAYER_MOVES", 1)
    loads, speeds = random_group()
    map_ = optimized_map(loads, 8, 3)
    shifted = np.roll(loads, 3, axis=1)
    planner = Planner(replace(EAGER, min_gain=0.01))
    first = planner.plan(map_, shifted, speeds)
    second = planner.plan(first.map, shifted, speeds)
    assert second is not None
    assert second.skew_after < first.skew_after


def test_large_gain_keeps_to_the_small_budget():
    loads, speeds = random_group()
    map_ = optimized_map(loads, 8, 3)
    cfg = replace(EAGER, max_load_s=2 * 0.0441)
    plan = Planner(cfg).plan(map_, np.roll(loads, 3, axis=1), speeds)
    assert len(plan.moves) == 2


def count_slices(planner, map_, loads):
    speeds = np.ones(map_.ranks)
    slices = (planner.plan_slices(map_, loads, speeds) for _ in range(10))
    return [sum(1 for _ in each) for each in slices]


def test_search_that_finds_nothing_is_not_repeated():
    map_ = ExpertMap(version=0, n_experts=2, experts=[[[0], [1]]])
    cfg = replace(EAGER, min_gain=PlacementSettings().min_gain)
    first, *later = count_slices(Planner(cfg), map_, np.array([[0.6, 0.4]]))
    assert first > 1
    assert later == [1] * 9


def test_search_that_finds_what_does_not_pay_is_not_repeated():
    loads, _ = random_group()
    map_ = optimized_map(loads, 8, 3)
    cfg = replace(EAGER, min_gain=PlacementSettings().min_gain, switch_s=1e6)
    first, *later = count_slices(Planner(cfg), map_, np.roll(loads, 3, axis=1))
    assert first > 1
    assert later == [1] * 9


def test_swap_helps_where_no_slot_is_spare():
    experts = [[[0, 1], [2, 3]]]
    map_ = ExpertMap(version=0, n_experts=4, experts=experts)
    loads = np.array([[0.4, 0.35, 0.15, 0.1]])
    plan = Planner(EAGER).plan(map_, loads, np.ones(2))
    assert len(plan.moves) == 2
    assert plan.map.rank_loads(loads).max() == pytest.approx(0.5, abs=0.051)


def test_empty_slots_are_used_first():
    experts = [[[0, EMPTY], [1, 2]]]
    map_ = ExpertMap(version=0, n_experts=3, experts=experts)
    plan = Planner(EAGER).plan(map_, np.array([[0.1, 0.8, 0.1]]), np.ones(2))
    assert plan.moves[0].replaced == EMPTY
    assert "1 expert copy moves in 1 layer (44 MB)" in plan.reason


def test_min_max_split_is_never_slower_than_split_by_speed():
    loads, speeds = random_group(ranks=10)
    map_ = pack(loads, speeds, 3, split=SpeedSplit())
    experts = map_.experts[0].astype(int)
    start = map_.shares[0]
    peaks = {
        split: (loads[0][experts] * split.shares(experts, loads[0], speeds, start))
        .sum(axis=1)
        .max()
        for split in (MinMaxSplit(), SpeedSplit())
    }
    solved, by_speed = peaks.values()
    assert solved < by_speed
