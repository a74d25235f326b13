"""A token bucket holds no more than it may, and nothing when it starts."""

import math

import pytest

from toucanspool.routing.token_bucket import TokenBucket


def test_a_new_bucket_is_empty_and_fills_at_its_rate():
    bucket = TokenBucket(2.0, 1.0, 10.0)
    assert bucket.wait_s(10.0) == pytest.approx(0.5)
    assert bucket.wait_s(10.5) == 0.0


def test_idle_time_saves_up_no_more_than_the_depth():
    bucket = TokenBucket(2.0, 1.0, 0.0)
    assert bucket.wait_s(100.0) == 0.0
    bucket.take(100.0)
    assert bucket.wait_s(100.0) == pytest.approx(0.5)


def test_a_higher_rate_does_not_count_for_the_time_before():
    bucket = TokenBucket(0.0, 1.0, 0.0)
    assert bucket.wait_s(50.0) == math.inf
    bucket.configure(1.0, 1.0, 100.0)
    assert bucket.wait_s(100.0) == pytest.approx(1.0)


def test_an_emptied_bucket_has_lost_what_was_saved_up():
    bucket = TokenBucket(1.0, 1.0, 0.0)
    bucket.empty(100.0)
    assert bucket.wait_s(100.0) == pytest.approx(1.0)


def test_a_clock_that_stands_still_adds_nothing():
    bucket = TokenBucket(1.0, 1.0, 10.0)
    bucket.take(10.0)
    assert bucket.wait_s(9.0) == pytest.approx(2.0)
