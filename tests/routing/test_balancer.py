"""LeastLoadBalancer chooses by load, slowdown and health."""

import random
from collections import Counter

from toucanspool.retries.ejection import AttemptResult, Ejector
from toucanspool.routing.balancer import LeastLoadBalancer
from toucanspool.routing.upstream import Listing
from toucanspool.routing.upstreams import UpstreamList


def listing(name: str, **more: object) -> Listing:
    options = {"service": "s", "host": "10.0.0.1", "port": 80, **more}
    return Listing(name=name, **options)


class Harness:
    """Hold a balancer with its upstreams and ejector."""

    def __init__(self, *listings: Listing) -> None:
        self.upstreams = UpstreamList()
        self.upstreams.replace(listings, 1, now=0.0)
        self.ejector = Ejector(random.Random(1))
        self.ejector.update([u.name for u in self.upstreams], 0.0)
        self.balancer = LeastLoadBalancer(
            self.upstreams, self.ejector, "one", random.Random(1)
        )
        self.balancer.set_tie_offset(0.0)

    def choose(
        self, *, tried: tuple[str, ...] = (), prefer_local: bool = False
    ) -> str | None:
        """Return the name of the chosen upstream."""
        upstream = self.balancer.choose("s", tried, 0.0, prefer_local=prefer_local)
        return upstream.name if upstream else None

    def place_calls(self, count: int) -> Counter:
        """Choose upstreams for calls that stay in flight, and count them by name."""
        placed: Counter = Counter()
        for _ in range(count):
            name = self.choose()
            self.upstreams.find(name).in_flight += 1
            placed[name] += 1
        return placed


def test_calls_are_spread_evenly():
    harness = Harness(*(listing(f"u{n}") for n in range(4)))
    assert set(harness.place_calls(12).values()) == {3}


def test_entries_with_spaced_tie_offsets_load_upstreams_evenly():
    placed: Counter = Counter()
    for entry in range(6):
        harness = Harness(*(listing(f"u{n:02}") for n in range(12)))
        harness.balancer.set_tie_offset(entry / 6)
        placed += harness.place_calls(4)
    assert set(placed.values()) == {2}


def test_requests_of_other_entries_count_and_decay():
    harness = Harness(listing("u0"), listing("u1"))
    harness.upstreams.find("u0").report_load(5, 1, now=0.0)
    assert harness.choose() == "u1"
    assert harness.upstreams.find("u0").load(0.0) == 6.0
    assert harness.upstreams.find("u0").load(5.0) < 0.1


def test_a_slow_upstream_gets_less():
    harness = Harness(*(listing(f"u{n}") for n in range(4)))
    harness.upstreams.set_slowdowns({"u0": 4.0})
    placed = harness.place_calls(13)
    assert placed["u0"] == 1


def test_a_draining_upstream_and_other_services_get_nothing():
    harness = Harness(
        listing("u0", ready=False), listing("u1", service="t"), listing("u2")
    )
    assert harness.choose() == "u2"


def test_tried_upstreams_are_excluded():
    harness = Harness(listing("u0"), listing("u1"))
    assert harness.choose(tried=("u0",)) == "u1"
    assert harness.choose(tried=("u0", "u1")) is None


def test_an_ejected_upstream_gets_nothing_while_others_are_well():
    harness = Harness(*(listing(f"u{n}") for n in range(3)))
    harness.ejector.record("u0", AttemptResult.UNREACHABLE, 0.0)
    assert "u0" not in harness.place_calls(9)


def test_the_own_failure_domain_goes_first_among_equals():
    harness = Harness(
        listing("u0", failure_domain="two"), listing("u1", failure_domain="one")
    )
    assert harness.choose(prefer_local=True) == "u1"
    harness.upstreams.find("u1").in_flight = 1
    assert harness.choose(prefer_local=True) == "u0"


def test_a_restarted_upstream_begins_without_load():
    harness = Harness(listing("u0", started_ms=1))
    harness.upstreams.find("u0").in_flight = 3
    harness.upstreams.change({"u0": listing("u0", started_ms=2)}, 2, now=0.0)
    assert harness.upstreams.find("u0").in_flight == 0


def test_an_upstream_that_is_gone_is_not_chosen():
    harness = Harness(listing("u0"))
    harness.upstreams.change({"u0": None}, 2, now=0.0)
    assert harness.choose() is None
