"""Checks that slow passes lower the load as far as that keeps them on time."""

import random

from tests.limits.test_adaptive_limit import ENGINE, ENTRIES, PAUSE_S, UPSTREAMS
from toucanspool.limits.adaptive_limit import AdaptiveLimit, pass_s
from toucanspool.limits.slow_passes import MIN_FRACTION, WINDOW_S, SlowPasses

# Slowdown of passes right after a shift of demand, and once the map has followed.
SHIFTED, SETTLED = 1.6, 1.15
SHIFT_INTERVAL_S, SETTLING_S = 4.0, 0.6
UPDATE_INTERVAL_S = 0.1


def test_the_lowest_recent_load_holds_until_it_is_old():
    slow = SlowPasses()
    for load, at in ((4.0, 0.0), (3.0, 1.0), (3.5, 2.0)):
        slow.record(load, at)
    assert slow.limit(4.5, 3.0) == 3.0
    assert slow.limit(4.5, 1.5 + WINDOW_S) == 3.5
    assert slow.limit(4.5, 3.0 + WINDOW_S) == 4.5


def test_passes_that_are_too_slow_to_be_avoided_do_not_count():
    slow = SlowPasses()
    slow.record(0.1, 0.0)
    assert slow.limit(4.0, 1.0) == 4.0
    slow.record(MIN_FRACTION * 4.0, 0.5)
    assert slow.limit(4.0, 1.0) == MIN_FRACTION * 4.0


def play(*, avoid):
    """Return the fraction of shifts of demand that make a pass late."""
    limit = AdaptiveLimit(PAUSE_S, 8.0)
    limit.avoid_slow_passes = avoid
    rng, running, shifts, late = random.Random(1), 0, set(), set()
    for step in range(600):
        now = 100.0 + step * UPDATE_INTERVAL_S
        shifted = step * UPDATE_INTERVAL_S % SHIFT_INTERVAL_S < SETTLING_S
        slowdown = SHIFTED if shifted else SETTLED
        pause_s = slowdown * pass_s(ENGINE, running * ENTRIES / UPSTREAMS)
        for _ in range(running):
            limit.record_pause(pause_s * rng.uniform(0.98, 1.02))
        if shifted and now > 100.0 + WINDOW_S:
            shift = int(step * UPDATE_INTERVAL_S // SHIFT_INTERVAL_S)
            shifts.add(shift)
            late |= {shift} if pause_s > PAUSE_S else set()
        streams = limit.adapt(ENGINE, UPSTREAMS, ENTRIES, running, now)
        # Running streams end after some seconds, so a lower limit takes effect slowly.
        running = max(int(streams), running - 1) if running > streams else int(streams)
    return len(late) / len(shifts)


def test_passes_after_a_shift_of_demand_stay_on_time():
    assert play(avoid=False) > 0.9
    assert play(avoid=True) <= 0.05
