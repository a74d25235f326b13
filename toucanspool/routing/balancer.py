"""The load balancer for calls that are matched by route."""

import math
import random
from collections.abc import Collection

from toucanspool.retries.ejection import Ejector
from toucanspool.routing.regions import Regions
from toucanspool.routing.upstream import Upstream
from toucanspool.routing.upstreams import UpstreamList

# Extra load, in requests, counted for an upstream in another failure domain.
CROSS_DOMAIN_LOAD = 0.25
MIN_WEIGHT = 0.01
# Refused callers who are to come back once an upstream is warm come this far apart.
WARM_SPACING_S = 0.05

AllowedRegions = frozenset[str] | None


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
    regions : Regions, optional
        Regions of the upstreams; by default, none is known.

    Methods that take the regions in which a call may run consider only upstreams in
    one of them, and all if that is None.
    """

    __slots__ = (
        "_ejector",
        "_failure_domain",
        "_regions",
        "_reserved",
        "_tie_offset",
        "_upstreams",
    )

    def __init__(
        self,
        upstreams: UpstreamList,
        ejector: Ejector,
        failure_domain: str,
        rng: random.Random,
        *,
        regions: Regions | None = None,
    ) -> None:
        self._upstreams = upstreams
        self._regions = regions or Regions()
        self._ejector = ejector
        self._failure_domain = failure_domain
        self._tie_offset = rng.random()
        self._reserved: dict[tuple[str, AllowedRegions], float] = {}

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

    def next_available_s(
        self,
        service: str,
        tried: Collection[str],
        now: float,
        *,
        regions: AllowedRegions = None,
    ) -> float:
        """Return the time until an untried upstream wants a request, in seconds.

        Parameters
        ----------
        service : str
            Name of the service.
        tried : collection of str
            Upstreams that have failed the call; they are excluded.
        now : float
            Seconds on the monotonic clock.
        regions : frozenset of str or None
            Regions in which the call may run.

        Returns
        -------
        float
            0 if an upstream wants one now, infinity if none will.
        """
        ready = self._ready(service, regions)
        waits = [u.wait_s(now) for u in ready if u.name not in tried]
        return min(waits, default=math.inf)

    def evacuated(self, service: str, regions: AllowedRegions) -> bool:
        """Return whether all upstreams of a service that don't leave are evacuated.

        Parameters
        ----------
        service : str
            Name of the service.
        regions : frozenset of str or None
            Regions in which the call may run.

        Returns
        -------
        bool
            False if the service has no such upstream.
        """
        staying = self._regions.select(self._staying(service), regions)
        evacuations = self._upstreams.evacuations
        return bool(staying) and all(
            upstream.listing.failure_domain in evacuations for upstream in staying
        )

    def outside(self, service: str, regions: AllowedRegions) -> bool:
        """Return whether all upstreams of a service that don't leave are elsewhere.

        Parameters
        ----------
        service : str
            Name of the service.
        regions : frozenset of str or None
            Regions in which the call may run.

        Returns
        -------
        bool
            False if the service has no such upstream.
        """
        staying = self._staying(service)
        return bool(staying) and not self._regions.select(staying, regions)

    def reserve_s(
        self, service: str, now: float, *, regions: AllowedRegions = None
    ) -> float:
        """Return when an upstream wants a request that is refused now.

        Where limits keep requests out, refused callers are told times that are as far
        apart as the limits admit them, so that they don't all return for the first.

        Parameters
        ----------
        service : str
            Name of the service.
        now : float
            Seconds on the monotonic clock.
        regions : frozenset of str or None
            Regions in which the call may run.

        Returns
        -------
        float
            Seconds; 0 if an upstream wants requests now, or none is ready.
        """
        wait_s = self.next_available_s(service, (), now, regions=regions)
        ready = self._ready(service, regions)
        if not wait_s or any(not upstream.bounded for upstream in ready):
            return wait_s if wait_s < math.inf else 0.0
        per_s = sum(upstream.own_per_s for upstream in ready)
        # Entries without a part of cold upstreams spread their callers as if they had.
        per_s = per_s or sum(u.cold.fair_per_s for u in ready if u.cold.bounded)
        if not per_s:
            return wait_s if wait_s < math.inf else 0.0
        before = self._reserved.get((service, regions), -math.inf)
        at = before + 1.0 / per_s
        warm_at = now + min(
            (u.cold.remaining_s(now) for u in ready if not u.limit.limited),
            default=math.inf,
        )
        if at > warm_at:
            at = min(at, max(warm_at, before) + WARM_SPACING_S)
        wait_s = max(wait_s if wait_s < math.inf else 1.0 / per_s, at - now)
        self._reserved[service, regions] = now + wait_s
        return wait_s

    def limits(self, service: str, *, regions: AllowedRegions = None) -> list[float]:
        """Return this entry's parts of the limits of ready upstreams.

        Parameters
        ----------
        service : str
            Name of the service.
        regions : frozenset of str or None
            Regions in which the call may run.

        Returns
        -------
        list of float
            Requests a second, for each upstream that names a limit.
        """
        ready = self._ready(service, regions)
        return [u.own_per_s for u in ready if u.bounded]

    def choose(
        self,
        service: str,
        tried: Collection[str],
        now: float,
        *,
        prefer_local: bool,
        regions: AllowedRegions = None,
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
        regions : frozenset of str or None
            Regions in which the call may run.

        Returns
        -------
        Upstream or None
        """
        available = self._regions.select(
            self._upstreams.available(service, now), regions
        )
        untried = [upstream for upstream in available if upstream.name not in tried]
        usable = [
            (self._weight(upstream, now), position, upstream)
            for position, upstream in enumerate(untried)
        ]
        # Where all are ejected, uses them anyway.
        usable = [option for option in usable if option[0] > 0.0] or usable
        if not usable:
            return None
        # Cold upstreams get calls only while no warm one has a free slot.
        warm = [option for option in usable if not option[2].cold.bounded]
        if len(warm) < len(usable) and any(
            self._has_free_slot(upstream, now) for _, _, upstream in warm
        ):
            usable = warm
        first = int(self._tie_offset * len(untried))

        def cost(option: tuple[float, int, Upstream]) -> tuple[float, int]:
            weight, position, upstream = option
            load = self._upstreams.load(upstream, now)
            if prefer_local and upstream.listing.failure_domain != self._failure_domain:
                load += CROSS_DOMAIN_LOAD
            penalty = self._upstreams.slowdown(upstream) / max(weight, MIN_WEIGHT)
            return (load + 1.0) * penalty, (position - first) % len(untried)

        return min(usable, key=cost)[2]

    def _ready(self, service: str, regions: AllowedRegions) -> list[Upstream]:
        return self._regions.select(self._upstreams.ready(service), regions)

    def _staying(self, service: str) -> list[Upstream]:
        return [
            upstream
            for upstream in self._upstreams
            if upstream.listing.service == service and not upstream.leaving
        ]

    def _weight(self, upstream: Upstream, now: float) -> float:
        weight = self._ejector.weight(upstream.name, now)
        # A cold upstream's rate is bounded already. Its slow start follows.
        return 1.0 if weight and upstream.cold.bounded else weight

    def _has_free_slot(self, upstream: Upstream, now: float) -> bool:
        return self._upstreams.load(upstream, now) < upstream.listing.slots
