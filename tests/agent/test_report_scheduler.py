"""Prove that load reports stay within their bound and that each entry gets its turn."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from toucanspool.agent.report_scheduler import REPORTS_PER_S, ReportScheduler

TICK_S = 0.25


class _Unbounded(ReportScheduler):
    """Report to all each time, as without the bound."""

    def due(self, conns, busy, now):
        return list(conns)


def _run(rota, conns, busy, seconds):
    told = []
    for tick in range(int(seconds / TICK_S)):
        told.append(rota.due(conns, lambda conn: conn in busy, tick * TICK_S))
    return told


def _bounded(told, seconds):
    return sum(map(len, told)) <= REPORTS_PER_S * (seconds + 1)


@pytest.mark.parametrize("entries", [1, 7, 370])
@pytest.mark.parametrize("busy", [0, 70])
def test_reports_a_second_are_bounded(entries, busy):
    told = _run(ReportScheduler(), range(entries), set(range(busy)), 60)
    assert _bounded(told, 60)


def test_the_oracle_sees_reports_to_all():
    assert not _bounded(_run(_Unbounded(), range(370), set(), 60), 60)


def test_every_idle_entry_gets_its_turn():
    told = _run(ReportScheduler(), range(370), set(range(70)), 200)
    assert {conn for due in told for conn in due} == set(range(370))


def test_busy_entries_are_told_more_often():
    told = [c for due in _run(ReportScheduler(), range(20), {0, 1}, 60) for c in due]
    assert told.count(0) > 5 * told.count(19)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.sets(st.integers(0, 30)), max_size=80), st.sets(st.integers(0, 30)))
def test_no_one_is_told_twice_or_after_leaving(listed, busy):
    rota = ReportScheduler()
    for tick, conns in enumerate(listed):
        due = rota.due(sorted(conns), lambda conn: conn in busy, tick * TICK_S)
        assert len(due) == len(set(due))
        assert set(due) <= conns


def test_turns_are_even():
    told = [c for due in _run(ReportScheduler(), range(12), set(), 120) for c in due]
    counts = [told.count(conn) for conn in range(12)]
    assert max(counts) - min(counts) <= 1
