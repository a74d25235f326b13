"""Entries tell each other what upstreams have named, and share it."""

import math
import time

import pytest

from toucanspool.backing.table import Row
from toucanspool.gateway.limit_sharing import LAPSE_S, MAX_REPORTED_LIMITS, LimitSharing
from toucanspool.membership.entries import Entries
from toucanspool.membership.entry_record import ENTRY_PREFIX, EntryRecord
from toucanspool.routing.upstream import Listing, Upstream
from toucanspool.routing.upstreams import UpstreamList

NAMES = ("e1", "e2", "e3")


class Entry:
    """Hold one entry's view of the upstreams ``u0`` to ``u2``."""

    def __init__(self, name: str, *, started_ms: int = 1, n_upstreams: int = 3) -> None:
        self.upstreams = UpstreamList()
        listings = [
            Listing(name=f"u{n}", service="s", host="h", port=1, started_ms=started_ms)
            for n in range(n_upstreams)
        ]
        self.upstreams.replace(listings, 1, now=0.0)
        self.entries = Entries(EntryRecord(name, "a:1", "b:1"))
        self.entries.replace(
            Row(ENTRY_PREFIX + other, EntryRecord(other, "a:1", "b:1").encode(), 1)
            for other in NAMES
        )
        self.sharing = LimitSharing(self.upstreams, self.entries)

    def upstream(self, name: str = "u0") -> Upstream:
        """Return an upstream by name."""
        upstream = self.upstreams.find(name)
        assert upstream is not None
        return upstream

    def name_limit(self, per_s: float) -> None:
        """Have ``u0`` name a limit to this entry."""
        now = time.monotonic()
        self.upstream().name_limit(per_s, now, now)

    def tell(self, other: "Entry") -> None:
        """Answer a probe of another entry."""
        other.sharing.adopt(self.sharing.report(), "e1", time.monotonic())


def test_an_entry_knows_what_an_upstream_named_to_another():
    first, second = Entry("e1"), Entry("e2")
    first.name_limit(2.0)
    first.tell(second)
    assert second.upstream().limit.per_s == 2.0
    assert not second.upstream("u1").limit.limited


def test_a_limit_that_has_ended_ends_at_the_others_and_does_not_return():
    first, second = Entry("e1"), Entry("e2")
    first.name_limit(2.0)
    first.tell(second)
    second.name_limit(math.inf)
    first.tell(second)
    assert not second.upstream().limit.limited
    second.tell(first)
    assert not first.upstream().limit.limited


def test_the_limit_of_an_earlier_incarnation_does_not_count():
    first, second = Entry("e1"), Entry("e2", started_ms=2)
    first.name_limit(2.0)
    first.tell(second)
    assert not second.upstream().limit.limited


@pytest.mark.parametrize(
    "report", [5, "u0", [["u0"]], [["u0", 1, "many", 0.0]], [["u0", 1, -1.0, 0.0]]]
)
def test_an_unreadable_report_changes_nothing(report):
    entry = Entry("e1")
    entry.sharing.adopt(report, "e2", time.monotonic())
    assert not entry.upstream().limit.limited


def test_a_report_is_bounded():
    entry = Entry("e1", n_upstreams=2 * MAX_REPORTED_LIMITS)
    now = time.monotonic()
    for upstream in entry.upstreams:
        upstream.name_limit(1.0, now, now)
    assert len(entry.sharing.report()) == MAX_REPORTED_LIMITS


def test_the_parts_of_all_entries_add_up_whether_or_not_loads_are_known():
    entries = [Entry(name) for name in NAMES]
    for loads in (None, {"s": 4.0}):
        parts = []
        for entry in entries:
            now = time.monotonic()
            entry.name_limit(1.0)
            for name in NAMES:
                entry.entries.record_probe(name, ready=True, now=now, loads=loads)
            entry.sharing._loads["s"] = 4.0
            entry.sharing.update(now)
            parts.append(entry.upstream().limit.own_per_s)
        assert sum(parts) == pytest.approx(1.0, rel=0.01)


def test_a_limit_has_an_equal_part_before_the_first_division():
    entry = Entry("e1")
    entry.sharing.update(time.monotonic())
    entry.name_limit(3.0)
    assert entry.upstream().limit.own_per_s == pytest.approx(1.0)


def test_a_limit_that_nobody_has_named_for_long_is_forgotten():
    entry = Entry("e1")
    entry.name_limit(0.0)
    now = time.monotonic()
    entry.sharing.update(now + LAPSE_S - 1.0)
    assert entry.upstream().limit.limited
    entry.sharing.update(now + LAPSE_S + 1.0)
    assert entry.upstream().wait_s(now + LAPSE_S + 1.0) == 0.0


def test_entries_that_probe_this_one_have_parts_before_they_are_listed():
    entry = Entry("e1")
    now = time.monotonic()
    entry.entries.replace([])
    entry.sharing.update(now)
    entry.name_limit(3.0)
    assert entry.upstream().limit.own_per_s == pytest.approx(3.0)
    entry.entries.reports.record_prober("e2", now)
    entry.sharing.update(now)
    assert entry.upstream().limit.own_per_s == pytest.approx(1.5)


def test_entries_that_only_others_know_have_parts():
    entry = Entry("e1")
    now = time.monotonic()
    entry.name_limit(3.0)
    entry.entries.record_probe("e2", ready=True, now=now, count=6)
    entry.sharing.update(now)
    assert entry.upstream().limit.own_per_s == pytest.approx(0.5)
    entry.sharing.update(now + 10.0)
    assert entry.upstream().limit.own_per_s == pytest.approx(1.0)
