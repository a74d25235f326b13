"""The demand for experts from counts."""

import numpy as np

from toucanspool.groups.demand import Demand


def counts(hot: int) -> np.ndarray:
    made = np.full((1, 8), 100.0)
    made[0, hot] = 5000.0
    return made


def test_shares_add_up_to_one():
    demand = Demand()
    demand.count(counts(0), 0.0)
    assert np.isclose(demand.shares.sum(), 1.0)


def test_little_is_not_known():
    demand = Demand()
    demand.count(np.full((1, 8), 10.0), 0.0)
    assert not demand.known


def test_a_shift_shows_within_a_second():
    demand = Demand()
    for tick in range(20):
        demand.count(counts(0), tick * 0.2)
    for tick in range(20, 25):
        demand.count(counts(5), tick * 0.2)
    assert demand.shares[0].argmax() == 5
