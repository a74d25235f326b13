"""Choice of the upstream for the second attempt at a call."""

from collections.abc import Collection

from toucanspool.retries.ejection import Ejector
from toucanspool.routing.regions import Regions
from toucanspool.routing.upstream import Upstream
from toucanspool.routing.upstreams import UpstreamList

# An upstream whose requests take longer by this factor is slow itself.
MAX_SLOWDOWN = 1.2
# Loads that differ by less than this, in requests, count as equal. It covers the decay
# of a reported load between two reports.
LOAD_TOLERANCE = 0.5


class SecondChoice:
    """Choose an upstream that is free enough to take a second copy of a call.

    Load condition: one upstream is slow, perhaps with its whole failure domain, and
    others are free. Upstreams that are full, limited, slow, ejected or in their slow
    start get no second attempt.

    Parameters
    ----------
    upstreams : UpstreamList
        Upstreams to choose from.
    ejector : Ejector
        Provides the weight of each upstream by its health.
    regions : Regions, optional
        Regions of the upstreams; by default, none is known.
    """

    __slots__ = ("_ejector", "_regions", "_upstreams")

    def __init__(
        self,
        upstreams: UpstreamList,
        ejector: Ejector,
        regions: Regions | None = None,
    ) -> None:
        self._upstreams = upstreams
        self._ejector = ejector
        self._regions = regions or Regions()

    def choose(
        self,
        first: Upstream,
        now: float,
        *,
        regions: Collection[str] | None = None,
    ) -> Upstream | None:
        """Return the upstream for a second attempt.

        Parameters
        ----------
        first : Upstream
            Upstream of the first attempt.
        now : float
            Seconds on the monotonic clock.
        regions : collection of str or None
            Regions in which the call may run; None for any upstream.

        Returns
        -------
        Upstream or None
            None if no other one is free.
        """
        available = self._regions.select(
            self._upstreams.available(first.listing.service, now), regions
        )
        free = [
            (self._upstreams.load(upstream, now), upstream)
            for upstream in available
            if upstream is not first and self._is_sound(upstream, now)
        ]
        free = [option for option in free if option[0] + 1.0 <= option[1].listing.slots]
        if not free:
            return None
        domain = first.listing.failure_domain
        most_load = min(load for load, _ in free) + LOAD_TOLERANCE

        def cost(option: tuple[float, Upstream]) -> tuple[bool, bool, float]:
            load, upstream = option
            as_free = load <= most_load
            elsewhere = upstream.listing.failure_domain != domain
            return not as_free, not elsewhere, load

        return min(free, key=cost)[1]

    def _is_sound(self, upstream: Upstream, now: float) -> bool:
        return (
            not upstream.bounded
            and self._upstreams.slowdown(upstream) <= MAX_SLOWDOWN
            and self._ejector.weight(upstream.name, now) >= 1.0
        )
