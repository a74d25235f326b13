"""Placement of calls by many entries, played without a network.

Guards against calls that wait at full upstreams while others have free slots. Each
entry sees only its own calls and the loads in the replies to them, and callers keep to
a few entries.
"""

import heapq
import random

from toucanspool.retries.ejection import Ejector
from toucanspool.routing.balancer import LeastLoadBalancer
from toucanspool.routing.upstream import Listing
from toucanspool.routing.upstreams import UpstreamList

ENTRIES, UPSTREAMS, SLOTS = 33, 64, 3
CALL_S, SECONDS = 1.8, 20.0
# Share of the slots that is taken on average.
UTILIZATION = 0.6


class Play:
    """Play calls with exponential gaps; a third of the entries has no callers.

    Attributes
    ----------
    waited : float
        Fraction of the calls that came to an upstream whose slots were taken.
    """

    def __init__(self, *, usual_load: bool, seed: int = 1) -> None:
        self._rng = random.Random(seed)
        self._running = [0] * UPSTREAMS
        self._entries = [self._make_entry(index) for index in range(ENTRIES)]
        if usual_load:
            for upstreams, _ in self._entries:
                upstreams.set_usual_load("s", UTILIZATION * SLOTS)
        self._play()

    def _make_entry(self, index: int) -> tuple[UpstreamList, LeastLoadBalancer]:
        upstreams = UpstreamList()
        listings = [
            Listing(name=f"u{n:02}", service="s", host="10.0.0.1", port=80)
            for n in range(UPSTREAMS)
        ]
        upstreams.replace(listings, 1, now=0.0)
        ejector = Ejector(self._rng)
        balancer = LeastLoadBalancer(upstreams, ejector, "one", self._rng)
        balancer.set_tie_offset(index / ENTRIES)
        return upstreams, balancer

    def _play(self) -> None:
        weights = [index % 3 for index in range(ENTRIES)]
        rate = UTILIZATION * UPSTREAMS * SLOTS / CALL_S
        now, calls, waited = 0.0, 0, 0
        ends: list[tuple[float, int, int, object]] = []
        while now < SECONDS:
            now += self._rng.expovariate(rate)
            while ends and ends[0][0] <= now:
                _, _, index, upstream = heapq.heappop(ends)
                self._running[index] -= 1
                upstream.in_flight -= 1
            _, balancer = self._rng.choices(self._entries, weights)[0]
            upstream = balancer.choose("s", (), now, prefer_local=False)
            index = int(upstream.name[1:])
            self._running[index] += 1
            upstream.in_flight += 1
            calls += 1
            waiting = max(0, self._running[index] - SLOTS)
            waited += waiting > 0
            upstream.report_load(self._running[index] - waiting, waiting, now)
            end = now + CALL_S * self._rng.uniform(0.5, 1.5)
            heapq.heappush(ends, (end, calls, index, upstream))
        self.waited = waited / calls


def test_fewer_calls_wait_if_unknown_loads_count_as_usual():
    without = sum(Play(usual_load=False, seed=seed).waited for seed in range(3)) / 3
    known = sum(Play(usual_load=True, seed=seed).waited for seed in range(3)) / 3
    assert known < 0.8 * without
