"""Percentiles of recent response times follow the load, within bounded memory."""

import pytest

from toucanspool.retries.latency import (
    HALF_WINDOW_S,
    MAX_KINDS,
    RecentLatencies,
    size_class,
)

KIND = ("desk", "r", 1)


def record(latencies, seconds, *, count=100, now=0.0, kind=KIND):
    for _ in range(count):
        latencies.record(kind, seconds, now)


def test_the_percentile_is_that_of_the_samples():
    latencies = RecentLatencies(95.0)
    for ms in range(1, 101):
        latencies.record(KIND, ms / 1000, 0.0)
    assert latencies.estimate_s(KIND, 0.0) == pytest.approx(0.095, rel=0.02)


@pytest.mark.parametrize(
    ("percentile", "enough"), [(50.0, 20), (95.0, 20), (99.0, 100), (99.9, 1000)]
)
def test_too_few_samples_give_no_percentile(percentile, enough):
    latencies = RecentLatencies(percentile)
    record(latencies, 0.1, count=enough - 1)
    assert latencies.estimate_s(KIND, 0.0) is None
    record(latencies, 0.1, count=1)
    assert latencies.estimate_s(KIND, 0.0) == pytest.approx(0.1, rel=0.02)


def test_older_samples_than_the_window_are_forgotten():
    latencies = RecentLatencies(95.0)
    record(latencies, 3.0, now=0.0)
    record(latencies, 0.1, now=HALF_WINDOW_S)
    assert latencies.estimate_s(KIND, HALF_WINDOW_S) > 2.0
    assert latencies.estimate_s(KIND, 2 * HALF_WINDOW_S) == pytest.approx(0.1, rel=0.02)
    assert latencies.estimate_s(KIND, 9 * HALF_WINDOW_S) is None


def test_kinds_are_apart_and_the_least_recently_used_one_is_dropped():
    latencies = RecentLatencies(95.0)
    record(latencies, 0.1)
    for number in range(MAX_KINDS):
        record(latencies, 2.0, kind=("desk", "r", number + 2))
    assert len(latencies) == MAX_KINDS
    assert latencies.estimate_s(KIND, 0.0) is None


@pytest.mark.parametrize("seconds", [0.0, 1e-9, 1e6])
def test_times_out_of_the_histograms_range_count(seconds):
    latencies = RecentLatencies(95.0)
    record(latencies, seconds)
    assert 0.0 < latencies.estimate_s(KIND, 0.0) < 61.0


def test_sizes_within_a_factor_of_four_are_of_one_class():
    assert [size_class(n) for n in (0, 1, 3, 4, 15, 16, 1 << 22)] == [
        *(0, 1, 1, 2, 2, 3, 12)
    ]
