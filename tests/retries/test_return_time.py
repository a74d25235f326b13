"""Plays an outage of a whole service, and counts whom the return times save."""

import pytest

from toucanspool.retries.return_time import MAX_LEFT_FRACTION, ReturnTimes

DEADLINE_S, LEAST_S = 8.0, 0.3
CALLS_PER_S = 5.0


def play(outage_s, *, fixed_s=None):
    """Return the fraction of callers in an outage whose second try comes after it."""
    returns, saved, calls = ReturnTimes(), 0, int(outage_s * CALLS_PER_S)
    for n in range(calls):
        returns.record("s", turned_away=True)
        after_s = fixed_s or returns.return_s("s", LEAST_S, DEADLINE_S)
        saved += n / CALLS_PER_S + after_s >= outage_s
    return saved / calls


@pytest.mark.parametrize("outage_s", [2.0, 3.0, 4.0])
def test_callers_of_a_long_outage_are_not_told_to_come_back_into_it(outage_s):
    """Guards against callers who come back once, too early, and are lost."""
    # As late as callers may come back, this part of them could be saved at most.
    most = MAX_LEFT_FRACTION * DEADLINE_S / outage_s
    assert play(outage_s) >= 0.75 * min(1.0, most)
    assert play(outage_s, fixed_s=LEAST_S) < 0.5 * play(outage_s)


def test_a_single_call_that_is_turned_away_comes_back_soon():
    returns = ReturnTimes()
    for n in range(40):
        returns.record("s", turned_away=n % 20 == 0)
    assert returns.return_s("s", LEAST_S, DEADLINE_S) < 2 * LEAST_S


def test_callers_with_little_time_come_back_no_later_than_they_wait():
    returns = ReturnTimes()
    for _ in range(20):
        returns.record("s", turned_away=True)
    assert returns.return_s("s", LEAST_S, 0.5) == LEAST_S
    assert returns.return_s("s", LEAST_S, 2.0) <= 2.0 / 3.0
