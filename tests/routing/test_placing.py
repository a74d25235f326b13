"""The choice of an upstream by load, pace and health."""

import random
from collections import Counter

from toucanspool.retries.ejection import Ejector, Result
from toucanspool.routing.placing import Placing
from toucanspool.routing.upstreams import Listing, UpstreamList


def listing(name: str, **more: object) -> Listing:
    options = {"service": "s", "host": "10.0.0.1", "port": 80, **more}
    return Listing(name=name, **options)


class Bench:
    """Hold a placing and what it knows."""

    def __init__(self, *listings: Listing) -> None:
        self.upstreams = UpstreamList()
        self.upstreams.replace(listings, 1)
        self.ejector = Ejector(random.Random(1))
        self.ejector.update([u.name for u in self.upstreams], 0.0)
        self.placing = Placing(self.upstreams, self.ejector, "one", random.Random(1))
        self.placing.start_at(0.0)

    def choose(self, *, tried: tuple[str, ...] = (), near: bool = False) -> str | None:
        """Return the name of the upstream chosen."""
        found = self.placing.choose("s", tried, 0.0, near=near)
        return found.name if found else None

    def place(self, count: int) -> Counter:
        """Place calls that stay, and count them by upstream."""
        placed: Counter = Counter()
        for _ in range(count):
            name = self.choose()
            self.upstreams.find(name).in_flight += 1
            placed[name] += 1
        return placed


def test_calls_are_spread_evenly():
    bench = Bench(*(listing(f"u{n}") for n in range(4)))
    assert set(bench.place(12).values()) == {3}


def test_entries_that_start_apart_load_all_upstreams_alike():
    placed: Counter = Counter()
    for entry in range(6):
        bench = Bench(*(listing(f"u{n:02}") for n in range(12)))
        bench.placing.start_at(entry / 6)
        placed += bench.place(4)
    assert set(placed.values()) == {2}


def test_what_other_entries_send_counts_and_fades():
    bench = Bench(listing("u0"), listing("u1"))
    bench.upstreams.find("u0").report_load(5, 1, now=0.0)
    assert bench.choose() == "u1"
    assert bench.upstreams.find("u0").load(0.0) == 6.0
    assert bench.upstreams.find("u0").load(5.0) < 0.1


def test_a_slow_upstream_gets_less():
    bench = Bench(*(listing(f"u{n}") for n in range(4)))
    bench.upstreams.set_slowdowns({"u0": 4.0})
    placed = bench.place(13)
    assert placed["u0"] == 1


def test_a_draining_upstream_and_other_services_get_nothing():
    bench = Bench(listing("u0", ready=False), listing("u1", service="t"), listing("u2"))
    assert bench.choose() == "u2"


def test_upstreams_that_were_tried_come_last():
    bench = Bench(listing("u0"), listing("u1"))
    assert bench.choose(tried=("u0",)) == "u1"
    assert bench.choose(tried=("u0", "u1")) is None


def test_an_ejected_upstream_gets_nothing_while_others_are_well():
    bench = Bench(*(listing(f"u{n}") for n in range(3)))
    bench.ejector.record("u0", Result.UNREACHABLE, 0.0)
    assert "u0" not in bench.place(9)


def test_the_own_failure_domain_goes_first_among_equals():
    bench = Bench(
        listing("u0", failure_domain="two"), listing("u1", failure_domain="one")
    )
    assert bench.choose(near=True) == "u1"
    bench.upstreams.find("u1").in_flight = 1
    assert bench.choose(near=True) == "u0"


def test_an_upstream_that_started_again_begins_without_load():
    bench = Bench(listing("u0", started_ms=1))
    bench.upstreams.find("u0").in_flight = 3
    bench.upstreams.change({"u0": listing("u0", started_ms=2)}, 2)
    assert bench.upstreams.find("u0").in_flight == 0


def test_an_upstream_that_is_gone_is_not_chosen():
    bench = Bench(listing("u0"))
    bench.upstreams.change({"u0": None}, 2)
    assert bench.choose() is None
