"""Estimate of the time of a pass."""

from toucanspool.groups.pass_clock import PassClock

PASS_S = 0.04


def observe(clock: PassClock, first_pass: int, seconds: float, at: float) -> None:
    for count in range(int(seconds / 0.2) + 1):
        now = 0.2 * count
        clock.observe(first_pass + int(now / PASS_S + 1e-9), at + now)


def test_a_pass_is_taken_for_no_longer_than_it_is():
    clock = PassClock()
    assert clock.pass_ms is None
    observe(clock, 7, 2.0, at=50.0)
    assert 0.7 * PASS_S < clock.pass_s <= PASS_S


def test_idle_time_does_not_make_passes_long():
    clock = PassClock()
    observe(clock, 7, 2.0, at=50.0)
    observe(clock, 57, 0.0, at=60.0)
    assert clock.pass_s <= PASS_S


def test_a_group_formed_again_is_measured_anew():
    clock = PassClock()
    observe(clock, 500, 2.0, at=50.0)
    observe(clock, 0, 2.0, at=53.0)
    assert 0.7 * PASS_S < clock.pass_s <= PASS_S
