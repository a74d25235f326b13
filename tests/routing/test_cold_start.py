"""When an upstream counts as cold, and what it then gets from this entry."""

import math

import pytest

from toucanspool.routing.cold_start import STALE_ROW_S, ColdStart

PER_S = 4.0


def cold(remaining_s: float = 10.0, *, now: float = 0.0) -> ColdStart:
    """Return an upstream that a row says is cold."""
    state = ColdStart()
    state.list(remaining_s, now)
    state.update(PER_S, now)
    return state


def test_a_row_says_how_long_from_when_it_is_read():
    state = cold(10.0, now=5.0)
    assert not state.expire(14.9)
    assert state.expire(15.0)
    assert not state.expire(15.1)


def test_the_latest_row_counts_and_one_that_says_nothing_changes_nothing():
    state = cold(10.0)
    state.list(None, 1.0)
    assert state.remaining_s(1.0) == 9.0
    state.list(2.0, 1.0)
    assert state.remaining_s(1.0) == 2.0


def test_a_row_of_an_older_copy_of_the_list_shortens_nothing():
    state = cold(10.0)
    state.list(0.0, 1.0, old=True)
    assert state.remaining_s(1.0) == 9.0
    state.list(30.0, 1.0, old=True)
    assert state.remaining_s(1.0) == 30.0


def test_a_health_reply_counts_also_if_the_list_says_that_it_is_warm():
    state = ColdStart()
    state.report(5.0, 0.0)
    state.list(0.0, 1.0)
    assert state.remaining_s(1.0) == 4.0
    state.report(0.0, 2.0)
    assert state.remaining_s(2.0) == 0.0


def test_what_is_presumed_holds_until_a_later_row_is_read():
    state = ColdStart()
    state.presume(20.0, 0.0)
    state.list(0.0, STALE_ROW_S / 2)
    assert state.remaining_s(STALE_ROW_S / 2) > 0.0
    state.list(None, STALE_ROW_S + 1.0)
    assert state.remaining_s(STALE_ROW_S + 1.0) > 0.0
    state.list(0.0, STALE_ROW_S + 2.0)
    assert state.remaining_s(STALE_ROW_S + 2.0) == 0.0


def test_the_bound_begins_once_and_only_where_there_is_a_rate():
    state = ColdStart()
    state.list(10.0, 0.0)
    assert not state.update(0.0, 0.0)
    assert state.wait_s(0.0) == 0.0
    assert state.update(PER_S, 0.0)
    assert not state.update(PER_S, 1.0)
    assert state.wait_s(1.0) == math.inf


def test_a_bound_whose_rate_is_taken_away_ends():
    state = cold()
    state.update(0.0, 1.0)
    assert state.expire(1.0)


def test_an_upstream_that_becomes_cold_again_gets_nothing_at_once():
    state = cold(1.0)
    state.set_share(2.0, 1.0, 0.0)
    assert state.wait_s(0.9) == 0.0
    assert state.expire(1.0)
    state.list(10.0, 50.0)
    state.update(PER_S, 50.0)
    assert state.wait_s(50.0) == math.inf
    state.set_share(2.0, 1.0, 50.0)
    assert state.wait_s(50.0) == pytest.approx(0.5)


def test_a_part_that_is_lost_and_got_back_has_saved_up_nothing():
    state = cold()
    state.set_share(1.0, 1.0, 0.0)
    assert state.wait_s(5.0) == 0.0
    state.set_share(0.0, 1.0, 5.0)
    assert state.wait_s(5.0) == math.inf
    state.set_share(1.0, 1.0, 6.0)
    assert state.wait_s(6.0) == pytest.approx(1.0)
