"""The soak's check of cold upstreams tells of requests beyond the bound, and no others.

A check that stays silent would let a product pass that crashes cold upstreams.
"""

from soak.cold_watch import COLD_PER_S, OVERRUN, SLACK, ColdWatch
from soak.oracle import Oracle

ALLOWED = int(COLD_PER_S * OVERRUN + SLACK)


def violations(requests: int, *, seconds: float = 0.9, stall=()) -> int:
    """Return how many are told of requests from two gateways within a time."""
    oracle = Oracle(stalls=list(stall))
    watch = ColdWatch(oracle)
    for number in range(requests):
        at = 100.0 + seconds * number / (requests - 1)
        watch.record_request("u", f"g{number % 2}", at)
    assert watch.check() == requests
    return len(oracle.violations)


def test_requests_within_the_bound():
    assert not violations(ALLOWED)


def test_requests_beyond_the_bound_from_all_gateways_together():
    assert violations(ALLOWED + 1) == 1


def test_requests_in_different_seconds():
    assert not violations(2 * ALLOWED, seconds=2.1)


def test_requests_that_a_stall_of_the_soak_has_gathered():
    assert not violations(ALLOWED + 1, stall=[(100.5, 0.4)])
    assert violations(ALLOWED + 1, stall=[(99.9, 0.4)])
