"""Checks that retries stay within their fraction of requests in any order of calls."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from toucanspool.retries.budget import (
    BURST_RETRIES,
    REFILL_PER_S,
    RESERVE_RETRIES,
    RETRY_FRACTION,
    RetryBudget,
)

STEPS = st.lists(
    st.tuples(st.sampled_from(["request", "take"]), st.floats(0.0, 3.0)), max_size=200
)


class Unlimited(RetryBudget):
    """Allow every retry."""

    def try_withdraw(self, now):
        """Allow a retry."""
        self.retries += 1
        return True


def overdrawn(budget_class, steps):
    budget, now, allowed = budget_class(0.0), 0.0, []
    requests = []
    for step, elapsed_s in steps:
        now += elapsed_s
        if step == "request":
            budget.record_request(now)
            requests.append(now)
        elif budget.try_withdraw(now):
            allowed.append(now)
    return any(
        _over_limit([t for t in allowed if since <= t], requests, since, now)
        for since in [0.0, *allowed]
    )


def _over_limit(allowed, requests, since, now):
    recent = sum(t >= since for t in requests)
    earned = RETRY_FRACTION * recent + REFILL_PER_S * (now - since)
    return len(allowed) > max(BURST_RETRIES, RESERVE_RETRIES) + earned + 1e-6


@settings(derandomize=True, deadline=None, max_examples=200)
@given(STEPS)
def test_no_span_of_time_grants_more_than_it_earned(steps):
    assert not overdrawn(RetryBudget, steps)


def test_the_check_detects_an_unlimited_budget():
    assert overdrawn(Unlimited, [("take", 0.0)] * 20)


@pytest.mark.parametrize(("requests", "allowed"), [(0, 3), (100, 10)])
def test_a_burst_is_limited(requests, allowed):
    budget = RetryBudget(0.0)
    for _ in range(requests):
        budget.record_request(0.0)
    assert sum(budget.try_withdraw(0.0) for _ in range(50)) == allowed
    assert budget.denied == 50 - allowed


def test_a_quiet_process_can_retry_again_after_a_while():
    budget = RetryBudget(0.0)
    while budget.try_withdraw(0.0):
        pass
    assert budget.try_withdraw(1.0 / REFILL_PER_S)


def test_a_clock_that_steps_back_earns_nothing():
    budget = RetryBudget(10.0)
    while budget.try_withdraw(10.0):
        pass
    assert not budget.try_withdraw(0.0)
    assert not budget.try_withdraw(11.0)
