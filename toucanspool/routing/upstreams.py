"""The upstreams known to one entry and their load."""

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

import structlog

# Time constant by which a reported load decays.
REPORT_DECAY_S = 1.0

_log = structlog.get_logger()


@dataclass(slots=True, frozen=True, kw_only=True)
class Listing:
    """Hold one record of the upstream list.

    Parameters
    ----------
    name : str
        Name of the upstream instance.
    service : str
        Name of the service that it runs.
    host : str
        IP address.
    port : int
        TCP port.
    failure_domain : str
        Failure domain that it runs in.
    ready : bool
        Whether it accepts new requests; False while it drains.
    slots : int
        Requests that it runs concurrently.
    started_ms : int
        Start time by its own clock, in Unix milliseconds; 0 if unknown. A change
        means that the upstream has restarted.
    """

    name: str
    service: str
    host: str
    port: int
    failure_domain: str = ""
    ready: bool = True
    slots: int = 1
    started_ms: int = 0

    @property
    def address(self) -> str:
        """Return the address as ``HOST:PORT``."""
        return f"{self.host}:{self.port}"


class Upstream:
    """Track the load of one upstream.

    Parameters
    ----------
    listing : Listing
        Record of the upstream list.

    Attributes
    ----------
    listing : Listing
        Latest record of the upstream list.
    in_flight : int
        Unfinished calls of this entry.
    """

    __slots__ = ("_other_requests", "_reported_at", "in_flight", "listing")

    def __init__(self, listing: Listing) -> None:
        self.listing = listing
        self.in_flight = 0
        self._other_requests = 0.0
        self._reported_at = -math.inf

    @property
    def name(self) -> str:
        """Return the upstream's name."""
        return self.listing.name

    def report_load(self, running: int, waiting: int, now: float) -> None:
        """Update the load from a reply's headers.

        Parameters
        ----------
        running, waiting : int
            Requests of all entries.
        now : float
            Seconds on the monotonic clock.
        """
        self._other_requests = float(max(0, running + waiting - self.in_flight))
        self._reported_at = now

    def load(self, now: float) -> float:
        """Return the estimated number of requests at the upstream.

        The reported requests of other entries decay with the report's age.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
        """
        age_s = now - self._reported_at
        return self.in_flight + self._other_requests * math.exp(-age_s / REPORT_DECAY_S)


class UpstreamList:
    """Hold the upstreams of all services by name."""

    __slots__ = ("_by_name", "_slowdowns", "version")

    def __init__(self) -> None:
        self._by_name: dict[str, Upstream] = {}
        self._slowdowns: dict[str, float] = {}
        self.version = 0

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[Upstream]:
        return iter(self._by_name.values())

    def find(self, name: str) -> Upstream | None:
        """Return an upstream by name, or None."""
        return self._by_name.get(name)

    def set_slowdowns(self, slowdowns: Mapping[str, float]) -> None:
        """Replace the slowdown factors.

        Parameters
        ----------
        slowdowns : mapping of str to float
            By name, the factor by which requests take longer than normal; 1 for
            upstreams that are missing.
        """
        for name in slowdowns.keys() | self._slowdowns.keys():
            before, after = self._slowdowns.get(name, 1.0), slowdowns.get(name, 1.0)
            if before != after:
                _log.info("pace changed", upstream=name, pace=after, before=before)
        self._slowdowns = dict(slowdowns)

    def slowdown(self, upstream: Upstream) -> float:
        """Return the factor by which requests on an upstream take longer."""
        return self._slowdowns.get(upstream.name, 1.0)

    def replace(self, listings: Iterable[Listing], version: int) -> None:
        """Replace the list.

        Parameters
        ----------
        listings : iterable of Listing
            All upstreams.
        version : int
            Version of the list.
        """
        by_name = {listing.name: listing for listing in listings}
        for name in self._by_name.keys() - by_name.keys():
            self._remove(name, version)
        for listing in by_name.values():
            self._put(listing, version)
        self.version = version

    def change(self, changes: Mapping[str, Listing | None], version: int) -> None:
        """Apply changes of the list.

        Parameters
        ----------
        changes : mapping of str to Listing or None
            Records by name; None removes an upstream.
        version : int
            Version of the list.
        """
        for name, listing in changes.items():
            if listing is None:
                self._remove(name, version)
            else:
                self._put(listing, version)
        self.version = version

    def ready(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that accept requests, sorted by name.

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
            if upstream.listing.service == service and upstream.listing.ready
        ]
        upstreams.sort(key=lambda upstream: upstream.name)
        return upstreams

    def _put(self, listing: Listing, version: int) -> None:
        known = self._by_name.get(listing.name)
        if known is None or known.listing.started_ms != listing.started_ms:
            self._by_name[listing.name] = Upstream(listing)
            _log.info(
                "upstream listed",
                upstream=listing.name,
                service=listing.service,
                address=listing.address,
                ready=listing.ready,
                version=version,
            )
            return
        if known.listing.ready != listing.ready:
            _log.info(
                "upstream changed",
                upstream=listing.name,
                ready=listing.ready,
                version=version,
            )
        known.listing = listing

    def _remove(self, name: str, version: int) -> None:
        if self._by_name.pop(name, None) is not None:
            _log.info("upstream gone", upstream=name, version=version)
