"""Checks that stalls of lock-step groups are noticed, remembered and avoided."""

import random

from toucanspool.retries.ejection import Ejector
from toucanspool.routing.balancer import LeastLoadBalancer
from toucanspool.routing.group_health import MEMORY_S, GroupHealth
from toucanspool.routing.upstream import Listing
from toucanspool.routing.upstreams import UpstreamList

MAX_PAUSE_S = 0.12
PASS_S = 0.07


def make(**group_of):
    health = GroupHealth(MAX_PAUSE_S)
    health.set_groups(group_of or {"a1": "a", "a2": "a", "b1": "b"})
    for upstream in ("a1", "b1"):
        health.start_stream(upstream, 0.0)
    return health


def run(health, upstream, begin, end):
    """Let a stream have an event with each pass from one time to another."""
    at = begin
    while at <= end:
        health.record_event(upstream, at)
        at += PASS_S


def test_a_group_whose_streams_have_events_counts_in_full():
    health = make()
    run(health, "a1", 0.0, 2.0)
    assert health.penalty("a1", 0, 2.0) == 1.0
    assert health.penalty("unknown", 0, 2.0) == 1.0


def test_a_silence_of_one_rank_shows_in_its_whole_group_while_it_lasts():
    health = make()
    run(health, "a1", 0.0, 1.0)
    run(health, "b1", 0.0, 2.0)
    assert health.penalty("a2", 0, 1.0 + 2 * MAX_PAUSE_S) == 1.0
    assert health.penalty("a2", 0, 2.0) > 2.0
    assert health.penalty("b1", 0, 2.0) == 1.0


def test_an_idle_group_is_not_silent():
    health = make()
    health.end_stream("a1")
    assert health.penalty("a1", 0, 10.0) == 1.0
    health.start_stream("a1", 10.0)
    assert health.penalty("a1", 0, 10.0 + MAX_PAUSE_S) == 1.0


def test_a_stall_is_remembered_and_forgotten():
    health = make()
    health.record_event("a1", 0.0)
    health.record_event("a1", 1.5)
    soon, later = (health.penalty("a1", 0, at) for at in (1.6, 1.5 + 0.3))
    run(health, "a1", 1.8, 1.5 + 8 * MEMORY_S)
    assert soon > later > 3.0
    assert health.penalty("a1", 0, 1.5 + 8 * MEMORY_S) < 1.1


def test_urgent_calls_avoid_a_group_that_stalls_and_less_urgent_ones_fill_it():
    upstreams, health = UpstreamList(), make(a1="a", b1="b")
    listings = [
        Listing(name=n, service="s", host="h", port=1, slots=5) for n in ("a1", "b1")
    ]
    upstreams.replace(listings, 1, now=0.0)
    balancer = LeastLoadBalancer(
        upstreams, Ejector(random.Random(1)), "z", random.Random(1), group_health=health
    )
    health.record_event("a1", 0.0)
    health.record_event("a1", 1.5)
    run(health, "b1", 0.0, 1.5)
    upstreams.find("b1").in_flight = 3

    def choose(tolerance):
        return balancer.choose(
            "s", (), 1.5, prefer_local=False, tolerance=tolerance
        ).name

    assert choose(None) == "a1"
    assert choose(0) == "b1"
    assert choose(1.0) == "a1"
    upstreams.find("b1").in_flight = 5
    assert choose(0) == "a1"
