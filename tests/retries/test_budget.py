"""Proves that retries stay within a fraction of requests, whatever the order."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from toucanspool.retries.budget import (
    BURST_RETRIES,
    FRACTION,
    REFILL_PER_S,
    RESERVE_RETRIES,
    RetryBudget,
)

STEPS = st.lists(
    st.tuples(st.sampled_from(["request", "take"]), st.floats(0.0, 3.0)), max_size=200
)


class Unbounded(RetryBudget):
    """Grant every retry."""

    def take(self, now):
        """Grant a retry."""
        self.retries += 1
        return True


def overdrawn(budget_class, steps):
    budget, now, granted = budget_class(0.0), 0.0, []
    requests = []
    for step, passed_s in steps:
        now += passed_s
        if step == "request":
            budget.request(now)
            requests.append(now)
        elif budget.take(now):
            granted.append(now)
    return any(
        _beyond([t for t in granted if since <= t], requests, since, now)
        for since in [0.0, *granted]
    )


def _beyond(granted, requests, since, now):
    recent = sum(t >= since for t in requests)
    earned = FRACTION * recent + REFILL_PER_S * (now - since)
    return len(granted) > max(BURST_RETRIES, RESERVE_RETRIES) + earned + 1e-6


@settings(derandomize=True, deadline=None, max_examples=200)
@given(STEPS)
def test_no_span_of_time_grants_more_than_it_earned(steps):
    assert not overdrawn(RetryBudget, steps)


def test_the_oracle_notices_a_budget_without_bound():
    assert overdrawn(Unbounded, [("take", 0.0)] * 20)


@pytest.mark.parametrize(("requests", "granted"), [(0, 3), (100, 10)])
def test_a_burst_is_bounded(requests, granted):
    budget = RetryBudget(0.0)
    for _ in range(requests):
        budget.request(0.0)
    assert sum(budget.take(0.0) for _ in range(50)) == granted
    assert budget.denied == 50 - granted


def test_a_quiet_process_can_retry_again_after_a_while():
    budget = RetryBudget(0.0)
    while budget.take(0.0):
        pass
    assert budget.take(1.0 / REFILL_PER_S)


def test_a_clock_that_steps_back_earns_nothing():
    budget = RetryBudget(10.0)
    while budget.take(10.0):
        pass
    assert not budget.take(0.0)
    assert not budget.take(11.0)
