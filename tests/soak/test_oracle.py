"""Each check of the soak fails where its promise is broken."""

import time

import pytest

from soak.oracle import DRAIN_S, PIECES, Oracle

ALL = [f"c piece {number}" for number in range(1, PIECES + 1)]


def told(oracle: Oracle) -> list[str]:
    return [broken.promise for broken in oracle.broken]


def test_a_good_run_tells_nothing():
    oracle = Oracle()
    oracle.sent("c", once=True)
    oracle.ran("c", "u", leaving_s=0.0)
    oracle.whole("c", b"answer to c")
    oracle.stream("c", ALL, complete=True)
    oracle.stream("c", ALL[:3], complete=False)
    oracle.held("c", 1.0, 1.5, 1.0)
    assert told(oracle) == []


def test_a_second_run_of_a_call_that_may_run_once():
    oracle = Oracle()
    oracle.sent("c", once=True)
    oracle.ran("c", "u", leaving_s=0.0)
    oracle.ran("c", "v", leaving_s=0.0)
    assert told(oracle) == ["at most once"]


def test_a_refusal_of_a_call_that_ran_or_runs_later():
    oracle = Oracle()
    oracle.sent("c", once=True)
    oracle.ran("c", "u", leaving_s=0.0)
    oracle.refuse("c", 503)
    oracle.refuse("d", 503)
    oracle.ran("d", "u", leaving_s=0.0)
    assert told(oracle) == ["not run is true"] * 2


def test_work_for_an_upstream_that_leaves():
    oracle = Oracle()
    oracle.ran("c", "u", leaving_s=DRAIN_S + 0.1)
    assert told(oracle) == ["leaving"]
    oracle.apart_at = time.monotonic()
    oracle.ran("d", "u", leaving_s=DRAIN_S + 0.1)
    assert len(oracle.broken) == 1


def test_another_calls_answer():
    oracle = Oracle()
    oracle.whole("c", b"answer to d")
    assert told(oracle) == ["one's own whole answer"]


@pytest.mark.parametrize(
    "events", [ALL[1:], ALL[:2] + ALL[3:], ALL[:2] + ALL[1:], [*ALL, "c piece 9"]]
)
def test_pieces_that_are_missing_or_come_twice(events):
    oracle = Oracle()
    oracle.stream("c", events, complete=True)
    assert told(oracle) == ["no piece missing or twice"]


def test_a_cut_stream_that_looks_complete():
    oracle = Oracle()
    oracle.stream("c", ALL[:3], complete=True)
    assert told(oracle) == ["a cut stream does not look complete"]


def test_a_call_that_is_held_too_long_by_an_entry_that_runs():
    oracle = Oracle()
    oracle.held("c", 1.0, 3.0, 1.0)
    assert told(oracle) == ["held no longer than its route's time"]
    oracle.paused_at = 1.5
    oracle.held("d", 1.0, 3.0, 1.0)
    assert len(oracle.broken) == 1


def test_time_for_which_the_soak_stood_still_is_not_the_entrys():
    oracle = Oracle()
    oracle.stalls.append((2.5, 1.2))
    oracle.held("c", 1.0, 3.0, 1.0)
    assert told(oracle) == []
    oracle.held("d", 1.0, 4.0, 1.0)
    assert told(oracle) == ["held no longer than its route's time"]


def test_a_stall_before_or_after_a_call_excuses_nothing():
    oracle = Oracle()
    oracle.stalls += [(0.9, 0.5), (5.0, 1.0)]
    oracle.held("c", 1.0, 3.0, 1.0)
    assert told(oracle) == ["held no longer than its route's time"]
