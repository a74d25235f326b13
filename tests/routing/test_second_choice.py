"""Second attempts go only to upstreams that are free, sound and, if so, elsewhere."""

import random

import pytest

from toucanspool.retries.ejection import AttemptResult, Ejector
from toucanspool.routing.regions import Regions
from toucanspool.routing.second_choice import SecondChoice
from toucanspool.routing.upstream import Listing
from toucanspool.routing.upstreams import UpstreamList

NOW = 100.0


def fleet(*domains: str, slots: int = 4):
    upstreams = UpstreamList()
    listings = [
        Listing(
            name=f"u{n}",
            service="s",
            host="h",
            port=n,
            failure_domain=domain,
            slots=slots,
        )
        for n, domain in enumerate(domains)
    ]
    upstreams.replace(listings, 1, now=0.0)
    ejector = Ejector(random.Random(1))
    ejector.update([listing.name for listing in listings], 0.0)
    return upstreams, ejector


def choose(upstreams, ejector) -> str | None:
    chosen = SecondChoice(upstreams, ejector).choose(upstreams.find("u0"), NOW)
    return chosen and chosen.name


def test_another_failure_domain_is_preferred_among_those_that_are_as_free():
    upstreams, ejector = fleet("a", "a", "b")
    assert choose(upstreams, ejector) == "u2"
    upstreams.find("u2").in_flight = 1
    assert choose(upstreams, ejector) == "u1"


def test_the_only_upstream_gets_no_second_attempt():
    assert choose(*fleet("a")) is None


def pause(upstreams, ejector):
    upstreams.find("u1").pause(NOW, 1.0)


def limit(upstreams, ejector):
    upstreams.find("u1").name_limit(100.0, NOW - 50.0, NOW - 50.0)


def fill(upstreams, ejector):
    upstreams.find("u1").report_load(3, 1, NOW)


def leave(upstreams, ejector):
    upstreams.find("u1").leave()


def slow_down(upstreams, ejector):
    upstreams.set_slowdowns({"u1": 1.5})


def eject(upstreams, ejector):
    ejector.record("u1", AttemptResult.UNREACHABLE, NOW)


def start_slowly(upstreams, ejector):
    ejector.update(["u0"], NOW - 5.0)
    ejector.update(["u0", "u1"], NOW - 5.0)


@pytest.mark.parametrize(
    "obstacle", [pause, limit, fill, leave, slow_down, eject, start_slowly]
)
def test_an_upstream_that_is_not_free_and_sound_gets_none(obstacle):
    upstreams, ejector = fleet("a", "b")
    assert choose(upstreams, ejector) == "u1"
    obstacle(upstreams, ejector)
    assert choose(upstreams, ejector) is None


def test_a_call_that_is_bound_to_regions_gets_none_outside_of_them():
    """Guards against a call that runs in a region where it must not."""
    upstreams, ejector = fleet("a", "b", "c")
    regions = Regions({"a": "north", "b": "south", "c": "north"})
    second_choice, first = (
        SecondChoice(upstreams, ejector, regions),
        upstreams.find("u0"),
    )
    upstreams.find("u2").in_flight = 1
    assert second_choice.choose(first, NOW).name == "u1"
    north = frozenset({"north"})
    assert second_choice.choose(first, NOW, regions=north).name == "u2"
    upstreams.find("u2").leave()
    assert second_choice.choose(first, NOW, regions=north) is None
