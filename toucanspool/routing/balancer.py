"""The load balancer for calls that are matched by route."""

import random
from collections.abc import Collection

from toucanspool.retries.ejection import Ejector
from toucanspool.routing.upstream import Upstream
from toucanspool.routing.upstreams import UpstreamList

# Extra load, in requests, counted for an upstream in another failure domain.
CROSS_DOMAIN_LOAD = 0.25
MIN_WEIGHT = 0.01


class LeastLoadBalancer:
    """Choose the upstream with the least load, weighted by speed and health.

    Entries that see the same loads would all choose the same upstream, so each
    entry breaks ties starting at a different position in the list.

    Parameters
    ----------
    upstreams : UpstreamList
        Upstreams to choose from.
    ejector : Ejector
        Provides the weight of each upstream by its health.
    failure_domain : str
        Failure domain of this entry.
    rng : random.Random
        Draws the initial tie offset.
    """

    __slots__ = ("_ejector", "_failure_domain", "_tie_offset", "_upstreams")

    def __init__(
        self,
        upstreams: UpstreamList,
        ejector: Ejector,
        failure_domain: str,
        rng: random.Random,
    ) -> None:
        self._upstreams = upstreams
        self._ejector = ejector
        self._failure_domain = failure_domain
        self._tie_offset = rng.random()

    @property
    def list_version(self) -> int:
        """Return the version of the upstream list."""
        return self._upstreams.version

    def set_tie_offset(self, offset: float) -> None:
        """Set the position in the upstream list at which ties are broken.

        Parameters
        ----------
        offset : float
            Fraction of the list, from 0 to 1. Entries with evenly spaced offsets
            load the upstreams evenly.
        """
        self._tie_offset = offset

    def load(self, upstream: Upstream, now: float) -> float:
        """Return the estimated number of requests at an upstream."""
        return self._upstreams.load(upstream, now)

    def next_available_s(self, service: str, now: float) -> float:
        """Return the time until a ready upstream wants requests again, in seconds.

        Parameters
        ----------
        service : str
            Name of the service.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
            0 if an upstream wants requests now, or none is ready.
        """
        waits = [u.paused_until - now for u in self._upstreams.ready(service)]
        return max(0.0, min(waits, default=0.0))

    def choose(
        self, service: str, tried: Collection[str], now: float, *, prefer_local: bool
    ) -> Upstream | None:
        """Return the upstream for a call, or None where none is left to try.

        Parameters
        ----------
        service : str
            Name of the service.
        tried : collection of str
            Upstreams that have failed the call; they are excluded.
        now : float
            Seconds on the monotonic clock.
        prefer_local : bool
            Whether to prefer the entry's own failure domain among equals.

        Returns
        -------
        Upstream or None
        """
        available = self._upstreams.available(service, now)
        untried = [upstream for upstream in available if upstream.name not in tried]
        usable = [
            (self._ejector.weight(upstream.name, now), position, upstream)
            for position, upstream in enumerate(untried)
        ]
        # Where all are ejected, uses them anyway.
        usable = [option for option in usable if option[0] > 0.0] or usable
        if not usable:
            return None
        first = int(self._tie_offset * len(untried))

        def cost(option: tuple[float, int, Upstream]) -> tuple[float, int]:
            weight, position, upstream = option
            load = self._upstreams.load(upstream, now)
            if prefer_local and upstream.listing.failure_domain != self._failure_domain:
                load += CROSS_DOMAIN_LOAD
            penalty = self._upstreams.slowdown(upstream) / max(weight, MIN_WEIGHT)
            return (load + 1.0) * penalty, (position - first) % len(untried)

        return min(usable, key=cost)[2]
