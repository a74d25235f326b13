"""Policies of the routing benchmark: baselines and `HeadroomPolicy`."""

import random
from collections.abc import Sequence

from toucanspool.routing.candidate import Candidate
from toucanspool.routing.headroom import HeadroomPolicy
from toucanspool.routing.policy import Choice, RoutingRequest
from toucanspool.routing.prefix import PrefixIndex


class RoundRobin:
    """Choose the candidates in rotation."""

    def __init__(self, rng: random.Random) -> None:
        self._turn = rng.randrange(1 << 20)

    def choose(
        self, request: RoutingRequest, candidates: Sequence[Candidate], now: float
    ) -> Choice:
        """Return the next candidate."""
        self._turn += 1
        return Choice(candidates[self._turn % len(candidates)], "next in turn")


class LeastReported:
    """Choose the candidate with the least reported load, ties at random."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, request: RoutingRequest, candidates: Sequence[Candidate], now: float
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
        self, request: RoutingRequest, candidates: Sequence[Candidate], now: float
    ) -> Choice:
        """Return the less loaded of two."""
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        best = min(drawn, key=lambda c: c.running + c.waiting + c.in_flight)
        return Choice(best, f"least load of {len(drawn)} drawn")


class LeastOfSix:
    """Choose the candidate with the least expected work of six drawn at random."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, request: RoutingRequest, candidates: Sequence[Candidate], now: float
    ) -> Choice:
        """Return the sampled candidate with the least load times step time."""
        drawn = self._rng.sample(candidates, min(6, len(candidates)))
        best = min(drawn, key=_expected_ms)
        return Choice(best, f"least expected work of {len(drawn)} drawn")


def _expected_ms(candidate: Candidate) -> float:
    waiting = candidate.waiting + candidate.sent_since_report
    return candidate.step_ms * (1.0 + 2.0 * waiting + 0.25 * candidate.running)


def headroom_policy(rng: random.Random) -> HeadroomPolicy:
    """Return the policy in the configuration that an entry uses."""
    return HeadroomPolicy(rng, prefixes=PrefixIndex())


POLICIES = {
    "round robin": RoundRobin,
    "least reported": LeastReported,
    "power of two": PowerOfTwo,
    "least of six": LeastOfSix,
    "expected, no caches": HeadroomPolicy,
    "expected": headroom_policy,
}
