"""The soak's check of deadly requests tells of those that go on, and only of those."""

import random

import pytest

from soak import deadly_requests
from soak.deadly_requests import (
    CONTACT_S,
    CRASHES,
    MAX_LATE_ARRIVALS,
    DeadlyRequests,
)
from soak.oracle import Oracle
from tests.soak.doubles import Clock, Gateway

BODY = b"deadly 0"


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(deadly_requests, "time", clock)
    monkeypatch.setattr("soak.oracle.time", clock)
    return clock


def violations(clock, gateway: Gateway, *, arrivals: int, late_s: float) -> int:
    """Return how many are told of arrivals some time after the last crash."""
    oracle = Oracle()
    requests = DeadlyRequests(oracle, list, lambda call: gateway, random.Random(1))
    requests.send("/read/", 0.0)
    assert requests.is_deadly(BODY)
    for _ in range(CRASHES):
        requests.record_crash(BODY)
    clock.now += late_s
    for _ in range(arrivals):
        requests.record_arrival("c", BODY)
    return len(oracle.violations)


def test_as_many_late_arrivals_as_are_allowed(clock):
    late_s = 2 * CONTACT_S
    assert not violations(clock, Gateway(), arrivals=MAX_LATE_ARRIVALS, late_s=late_s)


def test_more_late_arrivals(clock):
    late_s, arrivals = 2 * CONTACT_S, MAX_LATE_ARRIVALS + 2
    assert violations(clock, Gateway(), arrivals=arrivals, late_s=late_s) == 2


def test_arrivals_soon_after_the_crash(clock):
    assert not violations(clock, Gateway(), arrivals=20, late_s=CONTACT_S / 2)


def test_arrivals_from_a_gateway_that_was_disturbed(clock):
    late_s = 2 * CONTACT_S
    assert not violations(clock, Gateway(1.0), arrivals=20, late_s=late_s)
