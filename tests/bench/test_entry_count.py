"""Tests that the benchmarks' baseline gives teams with larger shares more entries."""

import pytest

from bench.entry_count import entry_count, share_per_entry


@pytest.mark.parametrize(
    ("share", "total", "entries", "count"),
    [
        (1.0, 4500.0, 370, 3),
        (50.0, 1000.0, 370, 111),
        (1000.0, 1000.0, 370, 370),
        (1.0, 10.0, 7, 5),
        (1.0, 1.0, 1, 1),
        (1.0, 0.0, 7, 3),
    ],
)
def test_a_team_uses_entries_by_its_share(share, total, entries, count):
    assert entry_count(share, total, entries) == count


def test_the_shares_at_the_entries_add_up_to_the_share():
    count = entry_count(5.0, 100.0, 370)
    assert share_per_entry(5.0, count) * count == pytest.approx(5.0)
