"""Checks the rates by which urgent levels get room and neglected ones are noticed."""

import pytest

from toucanspool.limits.level_rates import IDLE_TTL_S, TIME_CONSTANT_S, LevelRates


def test_rates_follow_the_arrivals_of_more_urgent_levels():
    rates = LevelRates()
    for n in range(1000):
        rates.record_arrival(n % 2, n * 0.1)
    assert rates.per_s(100.0, below=1) == pytest.approx(5.0, rel=0.1)
    assert rates.per_s(100.0) == pytest.approx(10.0, rel=0.1)
    assert rates.per_s(100.0, below=0) == 0.0
    assert rates.per_s(100.0 + 5 * TIME_CONSTANT_S) < 0.1


def test_a_level_is_neglected_while_others_are_admitted_in_its_place():
    rates = LevelRates()
    for n in range(10):
        rates.record_arrival(0, n * 0.1)
        rates.record_admission(0, n * 0.1)
        rates.record_arrival(2, n * 0.1)
    assert rates.is_neglected(2, 1.0)
    assert not rates.is_neglected(0, 1.0)
    rates.record_admission(2, 1.0)
    rates.record_admission(2, 1.0)
    rates.record_admission(2, 1.0)
    assert not rates.is_neglected(2, 1.0)


def test_a_level_of_which_all_are_refused_like_the_others_is_not_neglected():
    rates = LevelRates()
    for n in range(10):
        rates.record_arrival(n % 3, n * 0.1)
    assert not any(rates.is_neglected(level, 1.0) for level in range(3))


def test_levels_without_requests_are_forgotten():
    rates = LevelRates()
    rates.record_arrival(1, 0.0)
    rates.record_arrival(2, IDLE_TTL_S + 1.0)
    assert set(rates.levels) == {2}
