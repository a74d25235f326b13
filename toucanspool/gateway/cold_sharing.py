"""An entry's parts of the requests that cold upstreams tolerate."""

import math
from collections import Counter

import structlog

from toucanspool.membership.entries import Entries
from toucanspool.retries.ejection import Ejector
from toucanspool.routing.cold_parts import ColdBound, cold_share, divide_cold_rate
from toucanspool.routing.cold_starts import ColdRule
from toucanspool.routing.rendezvous import rank_names
from toucanspool.routing.routes import RouteTable
from toucanspool.routing.upstream import Upstream
from toucanspool.routing.upstreams import UpstreamList
from toucanspool.settings.settings import ColdStarts
from toucanspool.telemetry.call_metrics import CallMetrics

# The others read the list of entries each 2 s. Until then they don't know an entry that
# is new in it, and use its part of cold upstreams themselves.
SETTLE_S = 2.5

_log = structlog.get_logger()


class ColdSharing:
    """Keep this entry's parts of the rates of cold upstreams.

    Each entry works out by itself which entries use a cold upstream, from the list of
    entries and the probes between them. Handles the load of calls while upstreams are
    cold: these get no more than they tolerate from all entries together.

    Parameters
    ----------
    upstreams : UpstreamList
        Upstreams, whose parts are kept up to date.
    entries : Entries
        The entries.
    ejector : Ejector
        Told of upstreams that become warm, whose slow start begins then.
    metrics : CallMetrics
        Gauge of the cold upstreams.
    """

    __slots__ = (
        "_bound",
        "_ejector",
        "_entries",
        "_known",
        "_listed_at",
        "_metrics",
        "_ranked",
        "_services",
        "_upstreams",
    )

    def __init__(
        self,
        upstreams: UpstreamList,
        entries: Entries,
        ejector: Ejector,
        metrics: CallMetrics,
    ) -> None:
        self._upstreams = upstreams
        self._entries = entries
        self._ejector = ejector
        self._metrics = metrics
        self._bound: ColdBound | None = None
        self._listed_at = math.inf
        self._known: set[str] = set()
        self._ranked: dict[str, list[str]] = {}
        self._services: set[str] = set()

    def configure(
        self, settings: ColdStarts | None, routes: RouteTable | None, now: float
    ) -> None:
        """Apply settings, and what the routes say of the services.

        Parameters
        ----------
        settings : ColdStarts or None
            What cold upstreams tolerate; None for no bound.
        routes : RouteTable or None
            Routes in force, with the rates of the services.
        now : float
            Seconds on the monotonic clock.
        """
        self._bound = ColdBound(settings.overrun, settings.slack) if settings else None
        services = routes.services if routes and settings else {}
        rules = {
            name: ColdRule(service.cold_start_s, service.cold_per_s)
            for name, service in services.items()
        }
        self._upstreams.cold_starts.set_rules(rules, self._upstreams, now)

    def update(self, now: float) -> None:
        """Update this entry's parts, and end the bounds of upstreams that are warm.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        if self._entries.own_listed:
            self._listed_at = min(self._listed_at, now)
        cold = []
        for upstream in self._upstreams:
            if upstream.cold.expire(now):
                self._ejector.start_slowly(upstream.name, now)
                _log.info(
                    "upstream warm",
                    upstream=upstream.name,
                    service=upstream.listing.service,
                )
            elif upstream.cold.bounded:
                cold.append(upstream)
        if cold and self._bound is not None:
            self._divide(cold, self._bound, now)
        self._count(cold)

    def _divide(self, cold: list[Upstream], bound: ColdBound, now: float) -> None:
        live = self._entries.live_names(now)
        known = self._entries.known_names(now)
        # Others may know entries that this one does not.
        total = max(len(known), self._entries.reports.highest_count(now))
        coverage = len(live) / total
        settled = now >= self._listed_at + SETTLE_S and not self._entries.leaving
        for upstream in cold:
            division = divide_cold_rate(upstream.cold.per_s, bound, len(known))
            share = 0.0
            if settled:
                ranked = self._rank(upstream.name, known)
                share = cold_share(
                    ranked, self._entries.own_name, live, coverage, division
                )
            upstream.cold.set_share(share * division.per_s, division.per_s / total, now)

    def _rank(self, upstream: str, known: set[str]) -> list[str]:
        """Return the known entries in an upstream's order; kept until they change."""
        if known != self._known:
            self._known = known
            self._ranked.clear()
        if upstream not in self._ranked:
            self._ranked[upstream] = rank_names(upstream, sorted(known))
        return self._ranked[upstream]

    def _count(self, cold: list[Upstream]) -> None:
        counts = Counter(upstream.listing.service for upstream in cold)
        for service in counts.keys() | self._services:
            self._metrics.cold_upstreams.labels(service).set(counts[service])
        self._services |= counts.keys()
