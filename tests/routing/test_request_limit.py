"""An entry's part of the requests that an upstream takes."""

import math

import pytest

from toucanspool.routing.request_limit import (
    BURST_REQUESTS,
    MIN_PER_S,
    RequestLimit,
)


def sent(limit: RequestLimit, start: float, end: float, *, gap_s: float = 0.01) -> int:
    """Send a request whenever the limit admits one; return how many were sent."""
    number = 0
    for step in range(round((end - start) / gap_s)):
        now = start + step * gap_s
        if limit.wait_s(now) <= 0.0:
            limit.count_request(now)
            number += 1
    return number


@pytest.mark.parametrize("part", [1.0, 0.25])
def test_requests_follow_the_entrys_part_of_the_limit(part):
    limit = RequestLimit(8.0, 0.0, part)
    assert sent(limit, 0.0, 20.0) == pytest.approx(160 * part, abs=1)


def test_a_new_limit_admits_nothing_at_once():
    limit = RequestLimit(math.inf, -math.inf, 1.0)
    assert limit.wait_s(1.0) == 0.0
    limit.name(2.0, 100.0, 100.0)
    assert limit.wait_s(100.0) == pytest.approx(0.5)


def test_what_is_saved_up_is_bounded_for_all_entries_together():
    limits = [RequestLimit(1.0, 0.0, part) for part in (0.5, 0.3, 0.2)]
    burst = sum(sent(limit, 60.0, 60.1) for limit in limits)
    assert burst <= BURST_REQUESTS


def test_an_entry_without_a_part_sends_nothing():
    limit = RequestLimit(5.0, 0.0, 0.0)
    assert limit.wait_s(1000.0) == math.inf


def test_an_upstream_that_takes_nothing_is_asked_now_and_then():
    limit = RequestLimit(0.0, 0.0, 1.0)
    assert sent(limit, 0.0, 100.0) == pytest.approx(100 * MIN_PER_S, abs=1)


def test_a_changed_part_counts_from_now_on():
    limit = RequestLimit(1.0, 0.0, 0.0)
    limit.set_part(1.0, 100.0)
    assert limit.wait_s(100.0) == pytest.approx(1.0)


def test_a_limit_that_is_named_again_admits_no_burst():
    limit = RequestLimit(1.0, 0.0, 1.0)
    for number in range(50):
        limit.name(1.0, 0.1 * number, 0.1 * number)
    assert sent(limit, 5.0, 5.1) <= BURST_REQUESTS
    limit.name(math.inf, 6.0, 6.0)
    assert limit.wait_s(6.0) == 0.0
    limit.name(1.0, 7.0, 7.0)
    assert limit.wait_s(7.0) == pytest.approx(1.0)
