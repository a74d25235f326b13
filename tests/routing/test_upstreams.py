"""The list of upstreams while its store is away, restored from an old copy, or late."""

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
