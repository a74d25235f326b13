"""The soak's check of limits tells of requests beyond them, and only of those."""

import pytest

from soak import limit_watch
from soak.limit_watch import CONTACT_S, EXTRA_REQUESTS, LIMIT_FACTOR, WINDOW_S
from soak.oracle import Oracle
from tests.soak.doubles import Clock, Gateway

LIMIT = 2.0
ALLOWED = int(LIMIT_FACTOR * LIMIT * WINDOW_S + EXTRA_REQUESTS)


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(limit_watch, "time", clock)
    return clock


def violations(clock, requests: int, gateway: Gateway, *, gap_s: float = 0.1) -> int:
    """Return how many are told of the last requests within one window."""
    oracle = Oracle()
    watch = limit_watch.LimitWatch(oracle, lambda call: gateway)
    watch.record_request("u", "c", LIMIT)
    clock.now += CONTACT_S + WINDOW_S
    for _ in range(requests):
        watch.record_request("u", "c", LIMIT)
        clock.now += gap_s
    return len(oracle.violations)


def test_requests_within_the_limit(clock):
    assert not violations(clock, ALLOWED, Gateway())


def test_requests_beyond_the_limit(clock):
    assert violations(clock, ALLOWED + 2, Gateway()) == 2


def test_requests_of_a_gateway_that_was_disturbed(clock):
    assert not violations(clock, ALLOWED + 2, Gateway(undisturbed_s=1.0))


def test_requests_in_different_windows(clock):
    assert not violations(clock, 2 * ALLOWED, Gateway(), gap_s=1.1 * WINDOW_S / ALLOWED)


def test_requests_without_a_limit(clock):
    oracle = Oracle()
    watch = limit_watch.LimitWatch(oracle, lambda call: Gateway())
    for _ in range(10 * ALLOWED):
        watch.record_request("u", "c", None)
    assert not oracle.violations
