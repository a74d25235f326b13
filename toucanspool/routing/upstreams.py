"""The upstreams known to one entry, with what it knows of their load."""

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

import structlog

REPORT_MEMORY_S = 1.0

_log = structlog.get_logger()


@dataclass(slots=True, frozen=True, kw_only=True)
class Listing:
    """Hold what the list of upstreams says of one.

    Parameters
    ----------
    name : str
        Name of this start of the upstream.
    service : str
        Its service.
    host : str
        IP number.
    port : int
        Port.
    failure_domain : str
        Where it runs.
    ready : bool
        Whether it takes new work; False while it drains.
    slots : int
        Requests that it works on at once.
    started_ms : int
        When it started, in Unix milliseconds by its own clock; 0 if not told.
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
        """Return its address as ``HOST:PORT``."""
        return f"{self.host}:{self.port}"


class Upstream:
    """Follow one upstream.

    Parameters
    ----------
    listing : Listing
        What the list says.

    Attributes
    ----------
    listing : Listing
        The newest.
    in_flight : int
        Calls of this entry that it has not finished.
    """

    __slots__ = ("_others", "_reported_at", "in_flight", "listing")

    def __init__(self, listing: Listing) -> None:
        self.listing = listing
        self.in_flight = 0
        self._others = 0.0
        self._reported_at = -math.inf

    @property
    def name(self) -> str:
        """Return its name."""
        return self.listing.name

    def report_load(self, running: int, waiting: int, now: float) -> None:
        """Take the load that it tells with a reply.

        Parameters
        ----------
        running, waiting : int
            Its requests from all entries.
        now : float
            Seconds on the monotonic clock.
        """
        self._others = float(max(0, running + waiting - self.in_flight))
        self._reported_at = now

    def load(self, now: float) -> float:
        """Return the requests that it is thought to have.

        What it told of other entries' requests fades with its age.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
        """
        age_s = now - self._reported_at
        return self.in_flight + self._others * math.exp(-age_s / REPORT_MEMORY_S)


class UpstreamList:
    """Keep the upstreams by name and by service."""

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
        """Take how slow upstreams are.

        Parameters
        ----------
        slowdowns : mapping of str to float
            By name, how many times as long as usual work takes; 1 for those that
            are not named.
        """
        for name in slowdowns.keys() | self._slowdowns.keys():
            before, after = self._slowdowns.get(name, 1.0), slowdowns.get(name, 1.0)
            if before != after:
                _log.info("pace changed", upstream=name, pace=after, before=before)
        self._slowdowns = dict(slowdowns)

    def slowdown(self, upstream: Upstream) -> float:
        """Return how many times as long as usual an upstream's work takes."""
        return self._slowdowns.get(upstream.name, 1.0)

    def replace(self, listings: Iterable[Listing], version: int) -> None:
        """Take the whole list.

        Parameters
        ----------
        listings : iterable of Listing
            All upstreams.
        version : int
            Version of the list.
        """
        named = {listing.name: listing for listing in listings}
        for name in self._by_name.keys() - named.keys():
            self._remove(name, version)
        for listing in named.values():
            self._put(listing, version)
        self.version = version

    def change(self, changes: Mapping[str, Listing | None], version: int) -> None:
        """Take changes of the list.

        Parameters
        ----------
        changes : mapping of str to Listing or None
            By name; None for an upstream that is gone.
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
        """Return the upstreams of a service that take new work, by name.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        list of Upstream
        """
        found = [
            upstream
            for upstream in self._by_name.values()
            if upstream.listing.service == service and upstream.listing.ready
        ]
        found.sort(key=lambda upstream: upstream.name)
        return found

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
