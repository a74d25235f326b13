"""The list of upstreams while its store is away, restored from an old copy, or late."""

from toucanspool.routing.cold_starts import ColdRule
from toucanspool.routing.upstream import Listing
from toucanspool.routing.upstreams import (
    RELIST_GRACE_S,
    STALE_LISTING_S,
    UpstreamList,
)

LONG_S = 30.0


def listing(name: str, **more: object) -> Listing:
    options = {"service": "s", "host": "10.0.0.1", "port": 80, "started_ms": 1, **more}
    return Listing(name=name, **options)


def listed(*names: str) -> UpstreamList:
    upstreams = UpstreamList()
    upstreams.replace([listing(name) for name in names], 1, now=0.0)
    return upstreams


def ready(upstreams: UpstreamList) -> list[str]:
    return [upstream.name for upstream in upstreams.ready("s")]


def test_an_upstream_that_is_gone_is_removed_at_once():
    upstreams = listed("a", "b")
    upstreams.change({"a": None}, 2, now=1.0)
    assert ready(upstreams) == ["b"]


def test_upstreams_that_lapsed_with_the_store_away_stay_in_use_until_listed_again():
    upstreams = listed("a", "b")
    upstreams.store_regained(10.0)
    upstreams.change({"a": None, "b": None}, 2, now=10.0)
    assert ready(upstreams) == ["a", "b"]
    upstreams.change({"a": listing("a")}, 3, now=11.0)
    assert upstreams.expire(10.0 + RELIST_GRACE_S)
    assert ready(upstreams) == ["a"]


def test_upstreams_missing_from_a_restored_list_stay_in_use_for_the_same_time():
    upstreams = listed("a", "b")
    upstreams.store_regained(10.0)
    upstreams.replace([], 2, now=10.0)
    assert not upstreams.expire(10.0 + RELIST_GRACE_S / 2)
    assert ready(upstreams) == ["a", "b"]
    upstreams.expire(10.0 + RELIST_GRACE_S)
    assert ready(upstreams) == []


def test_a_restored_list_brings_no_upstream_back_that_had_left():
    upstreams = listed("a", "b")
    upstreams.change({"a": None}, 2, now=1.0)
    upstreams.store_regained(3.0)
    upstreams.replace([listing("a"), listing("b")], 3, now=3.0)
    assert ready(upstreams) == ["b"]
    upstreams.change({"a": None}, 4, now=6.0)
    upstreams.expire(LONG_S)
    assert ready(upstreams) == ["b"]


def test_an_upstream_that_had_left_returns_once_it_is_listed_again():
    upstreams = listed("a")
    upstreams.change({"a": None}, 2, now=1.0)
    upstreams.store_regained(3.0)
    upstreams.replace([listing("a")], 3, now=3.0)
    upstreams.change({"a": listing("a")}, 4, now=3.5)
    assert ready(upstreams) == ["a"]


def test_an_upstream_that_stays_listed_after_a_lapse_returns():
    upstreams = listed("a")
    upstreams.change({"a": None}, 2, now=1.0)
    upstreams.store_regained(3.0)
    upstreams.replace([listing("a")], 3, now=3.0)
    assert upstreams.expire(3.0 + STALE_LISTING_S)
    assert ready(upstreams) == ["a"]


def test_a_draining_upstream_is_not_ready_again_by_an_older_record():
    upstreams = listed("a")
    upstreams.change({"a": listing("a", ready=False)}, 2, now=1.0)
    upstreams.replace([listing("a")], 3, now=2.0)
    assert ready(upstreams) == []


def test_another_incarnation_of_a_draining_upstream_is_ready():
    upstreams = listed("a")
    upstreams.change({"a": listing("a", ready=False)}, 2, now=1.0)
    upstreams.change({"a": listing("a", started_ms=2)}, 3, now=2.0)
    assert ready(upstreams) == ["a"]


def test_an_upstream_that_said_it_is_leaving_stays_out_though_listed_again():
    upstreams = listed("a", "b")
    upstreams.find("a").leave()
    assert ready(upstreams) == ["b"]
    upstreams.change({"a": None}, 2, now=1.0)
    upstreams.change({"a": listing("a")}, 3, now=2.0)
    assert ready(upstreams) == ["b"]


def test_an_upstream_that_wants_no_requests_gets_them_again_after_its_time():
    upstreams = listed("a", "b")
    upstreams.find("a").pause(10.0, 2.0)
    assert [u.name for u in upstreams.available("s", 11.9)] == ["b"]
    assert [u.name for u in upstreams.available("s", 12.0)] == ["a", "b"]


def cold_list(*listings: Listing) -> UpstreamList:
    upstreams = UpstreamList()
    rules = {"s": ColdRule(start_s=20.0, per_s=2.0)}
    upstreams.cold_starts.set_rules(rules, upstreams, 0.0)
    upstreams.replace(listings, 1, now=0.0)
    return upstreams


def test_an_upstream_of_the_first_list_is_cold_only_if_its_row_says_so():
    upstreams = cold_list(listing("a"), listing("b", cold_remaining_s=3.0))
    assert not upstreams.find("a").bounded
    assert upstreams.find("b").cold.remaining_s(1.0) == 2.0


def test_an_upstream_that_starts_anew_is_cold_until_a_later_row_says_otherwise():
    upstreams = cold_list(listing("a", cold_remaining_s=0.0))
    again = listing("a", started_ms=2, cold_remaining_s=0.0)
    upstreams.change({"a": again}, 2, now=10.0)
    assert upstreams.find("a").bounded
    assert upstreams.find("a").cold.remaining_s(10.0) == 20.0
    upstreams.change({"a": again}, 3, now=12.0)
    assert upstreams.find("a").cold.remaining_s(12.0) == 0.0


def test_an_upstream_that_is_new_in_the_list_is_cold():
    upstreams = cold_list()
    upstreams.change({"a": listing("a")}, 2, now=10.0)
    assert upstreams.find("a").cold.remaining_s(10.0) == 20.0


def test_an_upstream_that_returns_to_the_list_without_a_start_is_not_cold():
    upstreams = cold_list(listing("a"))
    upstreams.change({"a": None}, 2, now=1.0)
    upstreams.change({"a": listing("a")}, 3, now=3.0)
    assert not upstreams.find("a").bounded


def test_the_upstreams_of_a_domain_that_is_taken_back_count_as_cold():
    upstreams = cold_list(
        listing("a", failure_domain="one"), listing("b", failure_domain="two")
    )
    upstreams.take_back("one", 5.0)
    assert upstreams.find("a").cold.remaining_s(5.0) == 20.0
    assert not upstreams.find("b").bounded


def test_a_list_restored_from_an_older_copy_does_not_make_an_upstream_warm():
    upstreams = cold_list(listing("a", cold_remaining_s=10.0))
    upstreams.store_regained(2.0)
    upstreams.replace([listing("a", cold_remaining_s=0.0)], 2, now=2.0)
    assert upstreams.find("a").cold.remaining_s(2.0) == 8.0


def test_rules_that_come_after_the_list_bound_its_cold_upstreams_at_once():
    upstreams = UpstreamList()
    upstreams.replace([listing("a", cold_remaining_s=9.0)], 1, now=0.0)
    assert not upstreams.find("a").bounded
    rules = {"s": ColdRule(start_s=20.0, per_s=2.0)}
    upstreams.cold_starts.set_rules(rules, upstreams, 1.0)
    assert upstreams.find("a").bounded


def test_the_smaller_of_a_named_limit_and_a_cold_start_applies():
    upstream = cold_list(listing("a", cold_remaining_s=60.0)).find("a")
    upstream.cold.set_share(2.0, 1.0, 0.0)
    upstream.name_limit(1.0, 0.0, 0.0)
    upstream.limit.set_part(0.5, 0.0)
    assert (upstream.per_s, upstream.own_per_s) == (1.0, 0.5)
    assert upstream.wait_s(1.0) == 1.0
    upstream.name_limit(40.0, 3.0, 3.0)
    assert (upstream.per_s, upstream.own_per_s) == (2.0, 2.0)
    upstream.start_request(10.0)
    assert upstream.wait_s(10.0) == 0.5
