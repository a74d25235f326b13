"""Tests of the demand for experts, estimated from counts."""

import numpy as np

from toucanspool.groups.demand import Demand


def counts(hot: int) -> np.ndarray:
    values = np.full((1, 8), 100.0)
    values[0, hot] = 5000.0
    return values


def test_shares_add_up_to_one():
    demand = Demand()
    demand.add(counts(0), 0.0)
    assert np.isclose(demand.shares.sum(), 1.0)


def test_few_counts_are_not_enough():
    demand = Demand()
    demand.add(np.full((1, 8), 10.0), 0.0)
    assert not demand.ready


def test_a_shift_shows_within_a_second():
    demand = Demand()
    for tick in range(20):
        demand.add(counts(0), tick * 0.2)
    for tick in range(20, 25):
        demand.add(counts(5), tick * 0.2)
    assert demand.shares[0].argmax() == 5


def test_a_shift_shows_in_the_first_counts_after_it():
    demand = Demand()
    for tick in range(20):
        demand.add(counts(0), tick * 0.2)
    demand.add(counts(5), 4.0)
    assert np.allclose(demand.shares, counts(5) / counts(5).sum())


def test_only_the_sets_that_shifted_are_forgotten():
    demand = Demand()
    for tick in range(5):
        demand.add(np.vstack([counts(0), counts(1)]), tick * 0.2)
    before = demand.shares[0].copy()
    demand.add(np.vstack([counts(0), counts(5)]), 1.0)
    assert np.allclose(demand.shares[0], before)
    assert np.allclose(demand.shares[1], counts(5)[0] / counts(5).sum())


def test_a_handful_of_counts_is_no_shift():
    demand = Demand()
    for tick in range(5):
        demand.add(counts(0), tick * 0.2)
    demand.add(counts(5) / 100.0, 1.0)
    assert demand.shares[0].argmax() == 0


def test_the_mix_of_requests_is_no_shift():
    rng = np.random.default_rng(1)
    demand = Demand()
    usual = counts(0)
    for tick in range(5):
        demand.add(usual, tick * 0.2)
    mixed = usual * rng.uniform(0.7, 1.3, usual.shape)
    demand.add(mixed, 1.0)
    assert not np.allclose(demand.shares, mixed / mixed.sum(), atol=1e-4)


def test_counts_of_a_few_ranks_at_a_time_are_no_shift_though_they_vary():
    rng = np.random.default_rng(1)
    demand = Demand()
    usual = rng.uniform(500.0, 1500.0, (1, 64))
    for tick in range(30):
        demand.add(usual * rng.lognormal(0.0, 0.4, usual.shape), tick * 0.2)
    error = np.abs(demand.shares - usual / usual.sum()).sum() / 2.0
    assert error < 0.1


def test_a_shift_shows_within_half_a_second_though_counts_vary():
    rng = np.random.default_rng(1)
    demand = Demand()
    usual = rng.uniform(500.0, 1500.0, (1, 64))
    for tick in range(20):
        demand.add(usual * rng.lognormal(0.0, 0.3, usual.shape), tick * 0.2)
    shifted = np.roll(usual, 7)
    shifted[0, 3] += 40000.0
    for tick in range(20, 23):
        demand.add(shifted * rng.lognormal(0.0, 0.3, usual.shape), tick * 0.2)
    error = np.abs(demand.shares - shifted / shifted.sum()).sum() / 2.0
    assert error < 0.15
