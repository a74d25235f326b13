"""The list of upstreams that is known to one entry."""

import math
from collections.abc import Iterable, Iterator, Mapping

import structlog

from toucanspool.routing.cold_starts import ColdStarts
from toucanspool.routing.evacuation import Evacuations
from toucanspool.routing.slowdowns import Slowdowns
from toucanspool.routing.upstream import Listing, Upstream

# Upstreams that a list misses right after an outage of its store are kept for this
# long. The platform promises that live ones are listed again within that time.
RELIST_GRACE_S = 2.0
# A store that came back from an older copy may list upstreams that had left. It drops
# them after three missed heartbeats, within this time.
STALE_LISTING_S = 5.0
# Upstreams that are gone are remembered for this long, in case they are listed again.
MEMORY_S = 60.0

_log = structlog.get_logger()


class UpstreamList:
    """Hold the upstreams of all services by name.

    The list comes from a store that may lose entries while it is away, or come back
    from an older copy. So entries that are missing right after an outage are kept for
    a grace period, and an upstream that has left returns only once it is listed again
    after that.

    Attributes
    ----------
    evacuations : Evacuations
        Failure domains whose upstreams get no new calls.
    cold_starts : ColdStarts
        Which upstreams are cold.
    version : int
        Version of the list.
    """

    __slots__ = (
        "_by_name",
        "_departed",
        "_grace_until",
        "_missing",
        "_read",
        "_slowdowns",
        "_stale",
        "_usual_loads",
        "evacuations",
        "cold_starts",
        "version",
    )

    def __init__(self) -> None:
        self._by_name: dict[str, Upstream] = {}
        self._slowdowns = Slowdowns()
        self._usual_loads: dict[str, float] = {}
        self._grace_until = -math.inf
        self._missing: set[str] = set()
        self.cold_starts = ColdStarts()
        self._departed: dict[tuple[str, int], tuple[float, Upstream]] = {}
        self._stale: dict[str, tuple[float, Listing]] = {}
        self.evacuations = Evacuations(self.take_back)
        self._read = False
        self.version = 0

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[Upstream]:
        return iter(self._by_name.values())

    def find(self, name: str) -> Upstream | None:
        """Return an upstream by name, or None."""
        return self._by_name.get(name)

    def set_slowdowns(self, slowdowns: Mapping[str, float]) -> None:
        """Replace the slowdown factors; see `Slowdowns.replace`."""
        self._slowdowns.replace(slowdowns)

    def slowdown(self, upstream: Upstream) -> float:
        """Return the factor by which requests on an upstream take longer."""
        return self._slowdowns.factor(upstream.name)

    def set_usual_load(self, service: str, load: float) -> None:
        """Set the mean number of requests of other entries at a service's upstreams.

        Parameters
        ----------
        service : str
            Name of the service.
        load : float
            Requests per upstream.
        """
        self._usual_loads[service] = load

    def load(self, upstream: Upstream, now: float) -> float:
        """Return the estimated number of requests at an upstream; see `Upstream`."""
        usual_load = self._usual_loads.get(upstream.listing.service, 0.0)
        return upstream.load(now, usual_load)

    def store_regained(self, now: float) -> None:
        """Keep missing upstreams for a grace period, since the store was away.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        self._grace_until = now + RELIST_GRACE_S

    def replace(self, listings: Iterable[Listing], version: int, *, now: float) -> None:
        """Replace the list.

        Parameters
        ----------
        listings : iterable of Listing
            All upstreams.
        version : int
            Version of the list.
        now : float
            Seconds on the monotonic clock.
        """
        by_name = {listing.name: listing for listing in listings}
        for name in self._by_name.keys() - by_name.keys():
            self._remove(name, version, now)
        for listing in by_name.values():
            departed = (listing.name, listing.started_ms) in self._departed
            if departed and now < self._grace_until:
                self._stale[listing.name] = now + STALE_LISTING_S, listing
            else:
                self._put(listing, version, now)
        self.version, self._read = version, True

    def change(
        self, changes: Mapping[str, Listing | None], version: int, *, now: float
    ) -> None:
        """Apply changes of the list.

        Parameters
        ----------
        changes : mapping of str to Listing or None
            Records by name; None removes an upstream.
        version : int
            Version of the list.
        now : float
            Seconds on the monotonic clock.
        """
        for name, listing in changes.items():
            self._stale.pop(name, None)
            if listing is None:
                self._remove(name, version, now)
            else:
                self._put(listing, version, now)
        self.version = version

    def expire(self, now: float) -> bool:
        """End grace periods that are over; return whether the list has changed.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
        """
        self.evacuations.expire(now)
        missing = sorted(self._missing) if now >= self._grace_until else []
        for name in missing:
            self._remove(name, self.version, now)
        relisted = [n for n, (until, _) in self._stale.items() if now >= until]
        for name in relisted:
            self._put(self._stale.pop(name)[1], self.version, now)
        for incarnation, (gone_at, _) in list(self._departed.items()):
            if now >= gone_at + MEMORY_S:
                del self._departed[incarnation]
        return bool(missing or relisted)

    def ready(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that may get calls, sorted by name.

        Those that are leaving or in evacuated failure domains are left out.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        list of Upstream
        """
        upstreams = [
            upstream
            for upstream in self._by_name.values()
            if upstream.listing.service == service
            and not upstream.leaving
            and upstream.listing.failure_domain not in self.evacuations
        ]
        upstreams.sort(key=lambda upstream: upstream.name)
        return upstreams

    def unpaused(self, service: str, now: float) -> list[Upstream]:
        """Return the ready upstreams of a service that have not asked for a pause.

        Parameters
        ----------
        service : str
            Name of the service.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        list of Upstream
        """
        return [u for u in self.ready(service) if u.paused_until <= now]

    def available(self, service: str, now: float) -> list[Upstream]:
        """Return the ready upstreams of a service that want requests now.

        Parameters
        ----------
        service : str
            Name of the service.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        list of Upstream
        """
        return [u for u in self.ready(service) if u.wait_s(now) <= 0.0]

    def take_back(self, failure_domain: str, now: float) -> None:
        """Presume that the upstreams of a failure domain are cold.

        Called when the failure domain gets calls again after it got none.

        Parameters
        ----------
        failure_domain : str
            Name of the failure domain.
        now : float
            Seconds on the monotonic clock.
        """
        for upstream in self:
            if upstream.listing.failure_domain == failure_domain:
                self.cold_starts.take_back(upstream, now)

    def _put(self, listing: Listing, version: int, now: float) -> None:
        self._missing.discard(listing.name)
        known = self._by_name.get(listing.name)
        if known is None or known.listing.started_ms != listing.started_ms:
            self._add(listing, version, now)
            return
        if not listing.ready and not known.leaving:
            known.leaving = True
            _log.info("upstream draining", upstream=listing.name, version=version)
        known.listing = listing
        old = now < self._grace_until
        self.cold_starts.read_row(known, now, started=False, old=old)

    def _add(self, listing: Listing, version: int, now: float) -> None:
        incarnation = listing.name, listing.started_ms
        # Upstreams of the first list have not started just now.
        started = self._read and incarnation not in self._departed
        _, upstream = self._departed.pop(incarnation, (0.0, Upstream(listing)))
        upstream.listing = listing
        old = now < self._grace_until
        self.cold_starts.read_row(upstream, now, started=started, old=old)
        upstream.leaving = upstream.leaving or not listing.ready
        self._by_name[listing.name] = upstream
        _log.info(
            "upstream listed",
            upstream=listing.name,
            service=listing.service,
            address=listing.address,
            ready=not upstream.leaving,
            version=version,
        )

    def _remove(self, name: str, version: int, now: float) -> None:
        if name not in self._by_name:
            return
        if now < self._grace_until:
            self._missing.add(name)
            return
        self._missing.discard(name)
        upstream = self._by_name.pop(name)
        self._departed[upstream.incarnation] = now, upstream
        _log.info("upstream gone", upstream=name, version=version)
