"""Each check of the soak's oracle reports a violation of its guarantee."""

import time

import pytest

from soak.oracle import DRAIN_DELAY_S, MAX_READ_BYTES, STREAM_EVENTS, Oracle

ALL_EVENTS = [f"c piece {number}" for number in range(1, STREAM_EVENTS + 1)]


def violated(oracle: Oracle) -> list[str]:
    return [violation.guarantee for violation in oracle.violations]


def test_a_good_run_tells_nothing():
    oracle = Oracle()
    oracle.record_call("c", once=True)
    oracle.record_run("c", "u", draining_s=0.0)
    oracle.check_answer("c", b"answer to c")
    oracle.check_stream("c", ALL_EVENTS, complete=True)
    oracle.check_stream("c", ALL_EVENTS[:3], complete=False)
    oracle.check_duration("c", 1.0, 1.5, 1.0)
    assert violated(oracle) == []


def test_a_second_run_of_a_call_that_may_run_once():
    oracle = Oracle()
    oracle.record_call("c", once=True)
    oracle.record_run("c", "u", draining_s=0.0)
    oracle.record_run("c", "v", draining_s=0.0)
    assert violated(oracle) == ["at most once"]


def test_a_refusal_of_a_call_that_ran_or_runs_later():
    oracle = Oracle()
    oracle.record_call("c", once=True)
    oracle.record_run("c", "u", draining_s=0.0)
    oracle.record_refusal("c", 503)
    oracle.record_refusal("d", 503)
    oracle.record_run("d", "u", draining_s=0.0)
    assert violated(oracle) == ["not run is true"] * 2


def test_work_for_an_upstream_that_leaves():
    oracle = Oracle()
    oracle.record_run("c", "u", draining_s=DRAIN_DELAY_S + 0.1)
    assert violated(oracle) == ["leaving"]
    oracle.last_store_fault_at = time.monotonic()
    oracle.record_run("d", "u", draining_s=DRAIN_DELAY_S + 0.1)
    assert len(oracle.violations) == 1


def test_a_reply_that_is_read_without_limit():
    oracle = Oracle()
    oracle.check_read("c", MAX_READ_BYTES)
    assert violated(oracle) == []
    oracle.check_read("c", MAX_READ_BYTES + 1)
    assert violated(oracle) == ["replies are bounded"]


def test_another_calls_answer():
    oracle = Oracle()
    oracle.check_answer("c", b"answer to d")
    assert violated(oracle) == ["one's own whole answer"]


@pytest.mark.parametrize(
    "events",
    [
        ALL_EVENTS[1:],
        ALL_EVENTS[:2] + ALL_EVENTS[3:],
        ALL_EVENTS[:2] + ALL_EVENTS[1:],
        [*ALL_EVENTS, "c piece 9"],
    ],
)
def test_pieces_that_are_missing_or_come_twice(events):
    oracle = Oracle()
    oracle.check_stream("c", events, complete=True)
    assert violated(oracle) == ["no piece missing or twice"]


def test_a_cut_stream_that_looks_complete():
    oracle = Oracle()
    oracle.check_stream("c", ALL_EVENTS[:3], complete=True)
    assert violated(oracle) == ["a cut stream does not look complete"]


def test_a_call_that_is_held_too_long_by_an_entry_that_runs():
    oracle = Oracle()
    oracle.check_duration("c", 1.0, 3.0, 1.0)
    assert violated(oracle) == ["held no longer than its route's time"]
    oracle.last_pause_at = 1.5
    oracle.check_duration("d", 1.0, 3.0, 1.0)
    assert len(oracle.violations) == 1


def test_time_for_which_the_soak_stood_still_is_not_the_entrys():
    oracle = Oracle()
    oracle.stalls.append((2.5, 1.2))
    oracle.check_duration("c", 1.0, 3.0, 1.0)
    assert violated(oracle) == []
    oracle.check_duration("d", 1.0, 4.0, 1.0)
    assert violated(oracle) == ["held no longer than its route's time"]


def test_a_stall_before_or_after_a_call_excuses_nothing():
    oracle = Oracle()
    oracle.stalls += [(0.9, 0.5), (5.0, 1.0)]
    oracle.check_duration("c", 1.0, 3.0, 1.0)
    assert violated(oracle) == ["held no longer than its route's time"]
