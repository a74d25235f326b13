"""Evacuated failure domains get no new calls until they are taken back."""

import pytest

from toucanspool.routing.evacuation import RESTORED_GRACE_S, Evacuations
from toucanspool.routing.upstream import Listing
from toucanspool.routing.upstreams import UpstreamList


class Harness:
    """Hold evacuations and the failure domains that were taken back, with times."""

    def __init__(self, *domains: str) -> None:
        self.taken_back: list[tuple[str, float]] = []
        self.evacuations = Evacuations(lambda *event: self.taken_back.append(event))
        self.evacuations.replace(domains, 0.0)


def test_a_snapshot_replaces_all_evacuations():
    harness = Harness("one", "two")
    harness.evacuations.replace(["two", "three"], 5.0)
    assert set(harness.evacuations) == {"two", "three"}
    assert harness.taken_back == [("one", 5.0)]


def test_a_change_evacuates_one_domain_and_takes_it_back():
    harness = Harness("one")
    harness.evacuations.change("two", True, 1.0)
    assert set(harness.evacuations) == {"one", "two"}
    harness.evacuations.change("two", False, 2.0)
    harness.evacuations.change("two", False, 3.0)
    assert set(harness.evacuations) == {"one"}
    assert harness.taken_back == [("two", 2.0)]


def test_a_restored_table_takes_no_domain_back_before_its_grace_period_ends():
    harness = Harness("one")
    harness.evacuations.replace([], 10.0, restored=True)
    # Another snapshot of the same era, as after a gap in the history.
    harness.evacuations.replace([], 11.0)
    harness.evacuations.expire(10.0 + RESTORED_GRACE_S - 0.1)
    assert "one" in harness.evacuations
    harness.evacuations.expire(10.0 + RESTORED_GRACE_S)
    assert "one" not in harness.evacuations
    assert harness.taken_back == [("one", 10.0 + RESTORED_GRACE_S)]


def test_a_domain_evacuated_again_after_a_lapse_stays_evacuated():
    harness = Harness("one", "two")
    harness.evacuations.replace([], 10.0, restored=True)
    harness.evacuations.change("one", True, 11.0)
    harness.evacuations.replace(["one", "two"], 12.0)
    harness.evacuations.expire(100.0)
    assert set(harness.evacuations) == {"one", "two"}


def test_the_operator_may_take_a_domain_back_within_the_grace_period():
    harness = Harness("one")
    harness.evacuations.replace([], 10.0, restored=True)
    harness.evacuations.change("one", False, 11.0)
    assert not list(harness.evacuations)


def listing(name: str, domain: str) -> Listing:
    return Listing(
        name=name, service="s", host="10.0.0.1", port=80, failure_domain=domain
    )


@pytest.fixture
def upstreams() -> UpstreamList:
    upstreams = UpstreamList()
    listings = [listing("a", "one"), listing("b", "two")]
    upstreams.replace(listings, 1, now=0.0)
    return upstreams


def test_upstreams_of_an_evacuated_domain_are_not_ready(upstreams):
    upstreams.evacuations.change("one", True, 1.0)
    assert [u.name for u in upstreams.ready("s")] == ["b"]
    assert [u.name for u in upstreams.available("s", 1.0)] == ["b"]
    upstreams.evacuations.change("one", False, 2.0)
    assert [u.name for u in upstreams.ready("s")] == ["a", "b"]


def test_an_upstream_listed_later_in_an_evacuated_domain_is_not_ready(upstreams):
    upstreams.evacuations.change("three", True, 1.0)
    upstreams.change({"c": listing("c", "three")}, 2, now=2.0)
    assert [u.name for u in upstreams.ready("s")] == ["a", "b"]


def test_the_list_learns_of_domains_taken_back_and_of_ended_grace_periods(monkeypatch):
    taken_back = []
    monkeypatch.setattr(
        UpstreamList, "take_back", lambda self, *event: taken_back.append(event)
    )
    upstreams = UpstreamList()
    upstreams.evacuations.replace(["one", "two"], 1.0)
    upstreams.evacuations.change("one", False, 2.0)
    upstreams.evacuations.replace([], 3.0, restored=True)
    upstreams.expire(3.0 + RESTORED_GRACE_S)
    assert taken_back == [("one", 2.0), ("two", 3.0 + RESTORED_GRACE_S)]
