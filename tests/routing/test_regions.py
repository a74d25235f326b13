"""Calls that are bound to regions run on no upstream elsewhere."""

import random

import pytest

from tests.routing.test_routes import route
from toucanspool.retries.ejection import Ejector
from toucanspool.routing.balancer import LeastLoadBalancer
from toucanspool.routing.regions import Regions, combine_regions
from toucanspool.routing.routes import RouteTable
from toucanspool.routing.upstream import Listing
from toucanspool.routing.upstreams import UpstreamList

NORTH, SOUTH = frozenset({"north"}), frozenset({"south"})
ZONES = {"one": "north", "two": "south"}


@pytest.mark.parametrize(
    ("route_regions", "team_regions", "combined"),
    [
        ((), (), None),
        (["north"], (), NORTH),
        ((), ["north"], NORTH),
        (["north", "south"], ["south", "west"], SOUTH),
        (["north"], ["south"], frozenset()),
    ],
)
def test_a_call_may_run_in_the_regions_of_both_its_route_and_its_team(
    route_regions, team_regions, combined
):
    assert combine_regions(route_regions, team_regions) == combined


class Harness:
    """Hold a balancer of one upstream in each of three failure domains.

    The region of the third is not known.
    """

    def __init__(self) -> None:
        self.upstreams = UpstreamList()
        listings = [
            Listing(
                name=domain,
                service="s",
                host="10.0.0.1",
                port=80,
                failure_domain=domain,
            )
            for domain in ("one", "two", "three")
        ]
        self.upstreams.replace(listings, 1, now=0.0)
        self.ejector = Ejector(random.Random(1))
        self.ejector.update([u.name for u in self.upstreams], 0.0)
        self.balancer = LeastLoadBalancer(
            self.upstreams,
            self.ejector,
            "one",
            random.Random(1),
            regions=Regions(ZONES),
        )

    def chosen(self, regions: frozenset[str] | None) -> set[str]:
        """Return the upstreams that calls get, each in turn failing the call."""
        tried: set[str] = set()
        while upstream := self.balancer.choose(
            "s", tried, 0.0, prefer_local=True, regions=regions
        ):
            tried.add(upstream.name)
        return tried


@pytest.mark.parametrize(
    ("regions", "chosen"),
    [
        (None, {"one", "two", "three"}),
        (NORTH, {"one"}),
        (NORTH | SOUTH, {"one", "two"}),
        (frozenset({"west"}), set()),
        (frozenset(), set()),
        # An upstream whose region is not known is in no region, whatever its name.
        (frozenset({""}), set()),
    ],
)
def test_upstreams_in_other_regions_are_never_chosen(regions, chosen):
    assert Harness().chosen(regions) == chosen


def test_without_a_table_of_regions_all_upstreams_are_in_the_region_of_the_entry():
    # A deployment with one region needs no table.
    regions, upstreams = Regions(), list(Harness().upstreams)
    regions.replace({}, elsewhere="north")
    assert regions.select(upstreams, NORTH) == upstreams
    assert regions.select(upstreams, SOUTH) == []


def test_a_call_does_not_wait_for_upstreams_in_other_regions():
    harness = Harness()
    harness.upstreams.find("one").pause(0.0, 9.0)
    assert harness.balancer.next_available_s("s", (), 0.0, regions=NORTH) == 9.0
    assert harness.balancer.reserve_s("s", 0.0, regions=NORTH) == 9.0
    assert harness.balancer.reserve_s("s", 0.0) == 0.0


def test_a_domain_outside_does_not_count_for_evacuations():
    harness = Harness()
    harness.upstreams.evacuations.change("one", True, 0.0)
    assert harness.balancer.evacuated("s", NORTH)
    assert not harness.balancer.evacuated("s", SOUTH)
    assert not harness.balancer.evacuated("s", None)


def test_no_upstream_within_the_regions_is_told_from_no_upstream_at_all():
    balancer = Harness().balancer
    assert balancer.outside("s", frozenset({"west"}))
    assert not balancer.outside("s", NORTH)
    assert not balancer.outside("other", NORTH)
    assert not balancer.outside("s", None)


def test_the_regions_of_a_host_are_those_of_all_its_routes():
    north, south = (
        route(r, f"/{r}/", allowed_regions=frozenset({r})) for r in NORTH | SOUTH
    )
    free = route("free", "/free/")
    assert RouteTable(version=1, routes=[north, south]).host_regions(
        "A.Example:80"
    ) == {
        "north",
        "south",
    }
    assert RouteTable(version=1, routes=[north, free]).host_regions("a.example") is None
    assert RouteTable(version=1, routes=[north]).host_regions("b.example") is None
