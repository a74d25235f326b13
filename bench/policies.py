"""Policies of the routing benchmark: the baselines and the product's."""

import random
from collections.abc import Sequence

from toucanspool.routing.candidate import Candidate
from toucanspool.routing.headroom import HeadroomPolicy
from toucanspool.routing.policy import Choice, RoutingRequest
from toucanspool.routing.prefix import PrefixIndex


class RoundRobin:
    """Choose each candidate in turn."""

    def __init__(self, rng: random.Random) -> None:
        self._turn = rng.randrange(1 << 20)

    def choose(
        self, work: RoutingRequest, candidates: Sequence[Candidate], now: float
    ) -> Choice:
        """Return the next candidate."""
        self._turn += 1
        return Choice(candidates[self._turn % len(candidates)], "next in turn")


class LeastReported:
    """Choose the candidate with the least reported load, ties at random."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, work: RoutingRequest, candidates: Sequence[Candidate], now: float
    ) -> Choice:
        """Return the candidate with the least reported load."""
        least = min(c.running + c.waiting for c in candidates)
        tied = [c for c in candidates if c.running + c.waiting == least]
        return Choice(self._rng.choice(tied), "least reported load")


class PowerOfTwo:
    """Choose the less loaded of two candidates drawn at random.

    References
    ----------
    M. Mitzenmacher, "The power of two choices in randomized load balancing",
    IEEE TPDS 12(10), 2001.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, work: RoutingRequest, candidates: Sequence[Candidate], now: float
    ) -> Choice:
        """Return the less loaded of two."""
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        best = min(drawn, key=lambda c: c.running + c.waiting + c.in_flight)
        return Choice(best, f"least load of {len(drawn)} drawn")


class LeastOfSix:
    """Choose the least expected work of six candidates drawn at random."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, work: RoutingRequest, candidates: Sequence[Candidate], now: float
    ) -> Choice:
        """Return the candidate whose load times step time is least."""
        drawn = self._rng.sample(candidates, min(6, len(candidates)))
        best = min(drawn, key=_expected_ms)
        return Choice(best, f"least expected work of {len(drawn)} drawn")


def _expected_ms(option: Candidate) -> float:
    waiting = option.waiting + option.sent_since_report
    return option.step_ms * (1.0 + 2.0 * waiting + 0.25 * option.running)


def expected(rng: random.Random) -> HeadroomPolicy:
    """Return the product's policy as an entry makes it."""
    return HeadroomPolicy(rng, prefixes=PrefixIndex())


POLICIES = {
    "round robin": RoundRobin,
    "least reported": LeastReported,
    "power of two": PowerOfTwo,
    "least of six": LeastOfSix,
    "expected, no caches": HeadroomPolicy,
    "expected": expected,
}
