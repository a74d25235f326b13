"""LeastLoadBalancer chooses by load, slowdown and health."""

import random
from collections import Counter
from itertools import pairwise

from toucanspool.retries.ejection import AttemptResult, Ejector
from toucanspool.routing.balancer import WARM_SPACING_S, LeastLoadBalancer
from toucanspool.routing.cold_starts import ColdRule
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


def with_cold(cold_s: float, *names: str, slots: int = 2) -> Harness:
    """Return a harness with a warm upstream ``w`` and cold ones of these names."""
    cold = [listing(name, slots=slots, cold_remaining_s=cold_s) for name in names]
    harness = Harness(*cold, listing("w", slots=slots))
    rules = {"s": ColdRule(start_s=cold_s, per_s=4.0)}
    harness.upstreams.cold_starts.set_rules(rules, harness.upstreams, -100.0)
    return harness


def share(harness: Harness, name: str, per_s: float, fair_per_s: float = 0.0) -> None:
    """Give this entry a part of a cold upstream that is due at time 0."""
    cold = harness.upstreams.find(name).cold
    cold.set_share(per_s, fair_per_s, -100.0)


def test_warm_upstreams_get_calls_first_while_they_have_a_free_slot():
    harness = with_cold(60.0, "c")
    share(harness, "c", 1.0)
    assert harness.place_calls(2) == {"w": 2}
    assert harness.choose() == "c"


def test_a_full_warm_upstream_gets_calls_if_the_cold_one_may_get_none():
    harness = with_cold(60.0, "c")
    assert harness.place_calls(5) == {"w": 5}


def test_an_ejected_warm_upstream_is_no_reason_to_spare_the_cold_one():
    harness = with_cold(60.0, "c")
    share(harness, "c", 1.0)
    harness.ejector.record("w", AttemptResult.UNREACHABLE, 0.0)
    assert harness.choose() == "c"


def test_a_cold_upstream_in_its_slow_start_is_used_when_the_warm_ones_are_full():
    harness = with_cold(60.0, "c")
    share(harness, "c", 1.0)
    harness.ejector.start_slowly("c", 0.0)
    harness.place_calls(2)
    assert harness.choose() == "c"


def test_callers_refused_while_all_upstreams_are_cold_come_back_apart():
    harness = with_cold(60.0, "c", "d")
    harness.upstreams.change({"w": None}, 2, now=0.0)
    for name in ("c", "d"):
        harness.upstreams.find(name).cold.set_share(0.5, 0.1, 0.0)
    times = [harness.balancer.reserve_s("s", 0.0) for _ in range(5)]
    assert times == [2.0, 3.0, 4.0, 5.0, 6.0]


def test_an_entry_without_a_part_of_cold_upstreams_spreads_its_callers_too():
    harness = with_cold(60.0, "c", "d")
    harness.upstreams.change({"w": None}, 2, now=0.0)
    for name in ("c", "d"):
        harness.upstreams.find(name).cold.set_share(0.0, 0.25, 0.0)
    times = [harness.balancer.reserve_s("s", 0.0) for _ in range(4)]
    assert times == [2.0, 4.0, 6.0, 8.0]


def test_callers_are_not_told_to_come_long_after_the_first_upstream_is_warm():
    harness = with_cold(3.0, "c")
    harness.upstreams.change({"w": None}, 2, now=0.0)
    harness.upstreams.find("c").cold.set_share(1.0, 0.1, 0.0)
    times = [round(harness.balancer.reserve_s("s", 0.0), 6) for _ in range(5)]
    late = [round(3.0 + n * WARM_SPACING_S, 6) for n in (1, 2)]
    assert times == [1.0, 2.0, 3.0, *late]


def test_the_load_of_an_upstream_that_becomes_warm_grows_without_a_jump():
    harness = with_cold(1.0, "c", slots=5)
    share(harness, "c", 1.0)
    warm = [listing(f"w{n}", slots=5) for n in range(9)]
    harness.upstreams.change({u.name: u for u in warm}, 2, now=-60.0)
    for upstream in harness.upstreams:
        upstream.cold.expire(1.0)
        upstream.in_flight = 0 if upstream.name == "c" else 4
    assert not harness.upstreams.find("c").bounded
    harness.ejector.start_slowly("c", 1.0)
    loads = []
    for second in range(1, 12):
        # Each call that ends is followed by another one.
        for upstream in harness.upstreams:
            for _ in range(upstream.in_flight):
                upstream.in_flight -= 1
                chosen = harness.balancer.choose("s", (), second, prefer_local=False)
                chosen.in_flight += 1
        loads.append(harness.upstreams.find("c").in_flight)
    assert loads[0] <= 1
    assert loads[-1] >= 3
    assert all(after - before <= 1 for before, after in pairwise(loads))
