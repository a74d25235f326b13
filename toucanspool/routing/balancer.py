"""The choice of an upstream for a call by route."""

import random
from collections.abc import Collection

from toucanspool.retries.ejection import Ejector
from toucanspool.routing.upstreams import Upstream, UpstreamList

CROSS_DOMAIN_LOAD = 0.25
MIN_WEIGHT = 0.01


class LeastLoadBalancer:
    """Choose the upstream with the least load for its share of work.

    Entries that know the same loads would all choose the same upstream, so each
    entry breaks ties from a starting point of its own.

    Parameters
    ----------
    upstreams : UpstreamList
        Those known.
    ejector : Ejector
        Which of them fail.
    failure_domain : str
        Where this entry runs.
    rng : random.Random
        Draws the starting point.
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
        """Return the version of the list that is chosen from."""
        return self._upstreams.version

    def set_tie_offset(self, offset: float) -> None:
        """Break ties from a point in the list of upstreams.

        Parameters
        ----------
        offset : float
            From 0 to 1; entries that spread these evenly load upstreams evenly.
        """
        self._tie_offset = offset

    def choose(
        self, service: str, tried: Collection[str], now: float, *, prefer_local: bool
    ) -> Upstream | None:
        """Return an upstream that takes new work, or None.

        Parameters
        ----------
        service : str
            The service.
        tried : collection of str
            Upstreams that the call has been sent to; used again only where there
            is no other.
        now : float
            Seconds on the monotonic clock.
        prefer_local : bool
            Whether the entry's own failure domain is preferred among equals.

        Returns
        -------
        Upstream or None
        """
        ready = self._upstreams.ready(service)
        fresh = [upstream for upstream in ready if upstream.name not in tried]
        usable = [
            (self._ejector.weight(upstream.name, now), position, upstream)
            for position, upstream in enumerate(fresh)
        ]
        usable = [entry for entry in usable if entry[0] > 0.0] or usable
        if not usable:
            return None
        first = int(self._tie_offset * len(fresh))

        def cost(entry: tuple[float, int, Upstream]) -> tuple[float, int]:
            weight, position, upstream = entry
            load = upstream.load(now)
            if prefer_local and upstream.listing.failure_domain != self._failure_domain:
                load += CROSS_DOMAIN_LOAD
            slowness = self._upstreams.slowdown(upstream) / max(weight, MIN_WEIGHT)
            return (load + 1.0) * slowness, (position - first) % len(fresh)

        return min(usable, key=cost)[2]
