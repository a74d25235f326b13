"""Load reports stay within their rate limit, and each entry is reported to in turn."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from toucanspool.agent.report_scheduler import REPORTS_PER_S, ReportScheduler

TICK_S = 0.25


class _Unbounded(ReportScheduler):
    """Report to all connections at each tick, without a rate limit."""

    def due(self, conns, is_busy, now):
        return list(conns)


def _run_ticks(scheduler, conns, busy, seconds):
    reported = []
    for tick in range(int(seconds / TICK_S)):
        reported.append(scheduler.due(conns, lambda conn: conn in busy, tick * TICK_S))
    return reported


def _within_limit(reported, seconds):
    return sum(map(len, reported)) <= REPORTS_PER_S * (seconds + 1)


@pytest.mark.parametrize("entries", [1, 7, 370])
@pytest.mark.parametrize("busy", [0, 70])
def test_reports_a_second_are_bounded(entries, busy):
    reported = _run_ticks(ReportScheduler(), range(entries), set(range(busy)), 60)
    assert _within_limit(reported, 60)


def test_the_oracle_sees_reports_to_all():
    assert not _within_limit(_run_ticks(_Unbounded(), range(370), set(), 60), 60)


def test_every_idle_entry_gets_its_turn():
    reported = _run_ticks(ReportScheduler(), range(370), set(range(70)), 200)
    assert {conn for due in reported for conn in due} == set(range(370))


def test_busy_entries_are_told_more_often():
    reported = [
        c for due in _run_ticks(ReportScheduler(), range(20), {0, 1}, 60) for c in due
    ]
    assert reported.count(0) > 5 * reported.count(19)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.sets(st.integers(0, 30)), max_size=80), st.sets(st.integers(0, 30)))
def test_no_one_is_told_twice_or_after_leaving(listed, busy):
    scheduler = ReportScheduler()
    for tick, conns in enumerate(listed):
        due = scheduler.due(sorted(conns), lambda conn: conn in busy, tick * TICK_S)
        assert len(due) == len(set(due))
        assert set(due) <= conns


def test_turns_are_even():
    reported = [
        c for due in _run_ticks(ReportScheduler(), range(12), set(), 120) for c in due
    ]
    counts = [reported.count(conn) for conn in range(12)]
    assert max(counts) - min(counts) <= 1
