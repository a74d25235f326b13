"""The components of a gateway and how they are connected."""

import random
import time
from collections.abc import Callable

import structlog

from toucanspool.gateway.call_dispatcher import CallDispatcher
from toucanspool.gateway.cold_sharing import ColdSharing
from toucanspool.gateway.crash_guard import CrashGuard
from toucanspool.gateway.crash_watch import Crash, CrashWatch
from toucanspool.gateway.dialect import Dialect
from toucanspool.gateway.limit_sharing import LimitSharing
from toucanspool.gateway.relay import Relay
from toucanspool.gateway.stream import StreamRelay
from toucanspool.gateway.upstream_chooser import UpstreamChooser
from toucanspool.limits.adaptive_limit import AdaptiveLimit
from toucanspool.limits.graceful_stop import GracefulStop
from toucanspool.limits.stream_limiter import StreamLimiter
from toucanspool.membership.entries import Entries
from toucanspool.retries.ejection import Ejector
from toucanspool.retries.hedging import HedgePolicy
from toucanspool.retries.quarantine import Quarantine
from toucanspool.retries.shared_budget import SharedBudget
from toucanspool.routing.balancer import LeastLoadBalancer
from toucanspool.routing.regions import Regions
from toucanspool.routing.routes import Route, RouteTable
from toucanspool.routing.second_choice import SecondChoice
from toucanspool.routing.upstreams import UpstreamList
from toucanspool.settings.hedging import Hedging
from toucanspool.settings.settings import ColdStarts, RetryBudget
from toucanspool.telemetry.call_metrics import CallMetrics

_log = structlog.get_logger()


class GatewayCore:
    """Hold the routes, upstreams and limits of a gateway.

    Parameters
    ----------
    entries : Entries
        The entries that share the upstreams.
    dialect : Dialect
        Translates headers.
    retries : RetryBudget
        Settings of the retry budget.
    failure_domain : str
        Failure domain of this entry.
    rng : random.Random
        Random source.
    metrics : CallMetrics
        Gauges of versions and limits.
    max_reply_bytes : int
        Limit on the size of a reply that is not a stream.
    on_crash : callable, optional
        Called with each crash of an upstream; it must record it in `quarantine`.
    started_at : float, optional
        Start of this process, in seconds on the monotonic clock; now by default.
    cold_starts : ColdStarts, optional
        Settings of the bound on cold upstreams; by default there is none.

    Attributes
    ----------
    routes : RouteTable or None
        Routes in force; None until some are set.
    upstreams : UpstreamList
        Known upstreams.
    regions : Regions
        Regions of the upstreams; none is known at first.
    ejector : Ejector
        Health of the upstreams.
    quarantine : Quarantine
        Prompts that crash upstreams.
    limit_sharing : LimitSharing
        This entry's parts of the limits that upstreams name.
    dispatcher : CallDispatcher
        Admits calls and forwards them.
    """

    __slots__ = (
        "_balancer",
        "_budget",
        "_cold_settings",
        "_cold_sharing",
        "_entries",
        "_hedging",
        "_metrics",
        "_on_crash",
        "_relay",
        "_rng",
        "_stream_limits",
        "dispatcher",
        "ejector",
        "limit_sharing",
        "quarantine",
        "regions",
        "routes",
        "upstreams",
    )

    def __init__(
        self,
        entries: Entries,
        dialect: Dialect,
        retries: RetryBudget,
        *,
        failure_domain: str,
        rng: random.Random,
        metrics: CallMetrics,
        max_reply_bytes: int,
        on_crash: Callable[[Crash], None] | None = None,
        started_at: float | None = None,
        cold_starts: ColdStarts | None = None,
    ) -> None:
        self._on_crash = on_crash or self._record_crash
        self._entries = entries
        self._rng = rng
        self._metrics = metrics
        self._hedging: Hedging | None = None
        self._stream_limits: dict[str, StreamLimiter] = {}
        self.routes: RouteTable | None = None
        self.upstreams = UpstreamList()
        self.regions = Regions()
        self.limit_sharing = LimitSharing(self.upstreams, entries)
        self.ejector = Ejector(rng)
        self._cold_settings = cold_starts
        self._cold_sharing = ColdSharing(self.upstreams, entries, self.ejector, metrics)
        self._balancer = LeastLoadBalancer(
            self.upstreams, self.ejector, failure_domain, rng, regions=self.regions
        )
        self._budget = SharedBudget(
            ratio=retries.ratio,
            window_s=retries.window_s,
            extra=retries.extra,
            started_at=time.monotonic() if started_at is None else started_at,
        )
        self.quarantine = Quarantine()
        guard = CrashGuard(self.quarantine, CrashWatch(self._count_crash))
        graceful_stop = GracefulStop()
        self._relay = relay = Relay(
            UpstreamChooser(self._balancer, guard),
            self.ejector,
            self._budget,
            self.limit_sharing,
            dialect,
            guard,
            max_reply_bytes,
            graceful_stop,
        )
        streams = StreamRelay(relay, dialect, self._record_gap)
        self.dispatcher = CallDispatcher(
            relay, streams, self._stream_limits.get, graceful_stop
        )

    def set_retry_budget(self, retries: RetryBudget) -> None:
        """Change the settings of the retry budget.

        Parameters
        ----------
        retries : RetryBudget
            The new settings.
        """
        self._budget.configure(
            ratio=retries.ratio, window_s=retries.window_s, extra=retries.extra
        )

    def set_cold_starts(self, settings: ColdStarts | None) -> None:
        """Change the settings of the bound on cold upstreams; None for no bound."""
        self._cold_settings = settings
        self._cold_sharing.configure(settings, self.routes, time.monotonic())

    def set_hedging(self, hedging: Hedging | None) -> None:
        """Change the settings of second attempts; None for none."""
        if hedging == self._hedging:
            return
        self._hedging = hedging
        runner = self._relay.runner
        runner.policy = None
        if hedging is not None and hedging.ratio > 0.0:
            runner.enable(
                HedgePolicy(hedging),
                SecondChoice(self.upstreams, self.ejector, self.regions),
                self._is_full,
                self._metrics.hedging,
            )

    def set_routes(self, routes: RouteTable) -> None:
        """Put routes in force unless their version is not newer.

        Parameters
        ----------
        routes : RouteTable
            The routes.
        """
        before = self.routes.version if self.routes else 0
        if routes.version <= before:
            return
        self.routes = routes
        self._cold_sharing.configure(self._cold_settings, routes, time.monotonic())
        self._metrics.routes_version.set(routes.version)
        for route in routes.routes:
            for name, _ in route.services:
                if routes.service(name).engine and route.gap_target_s:
                    self._set_stream_limit(name, route)
        for name, stream_limit in self._stream_limits.items():
            stream_limit.by_urgency = routes.urgency(name).routes_differ
        _log.info(
            "routes in force",
            version=routes.version,
            before=before,
            routes=len(routes.routes),
            keys=len(routes.keys),
        )

    def upstreams_changed(self) -> None:
        """Update the ejector after a change of the upstream list."""
        now = time.monotonic()
        pools = {u.name: u.listing.service for u in self.upstreams}
        self.ejector.update(pools, now, pools=pools)

    def tick(self) -> None:
        """Adapt limits, retry budget and tie offset to recent load and live entries."""
        now = time.monotonic()
        self.quarantine.expire(now)
        if self.upstreams.expire(now):
            self.upstreams_changed()
        self._metrics.evacuated_domains.set(len(self.upstreams.evacuations))
        self.limit_sharing.update(now)
        self._cold_sharing.update(now)
        entries = len(self._entries.live)
        self._budget.entries = entries
        self._balancer.set_tie_offset(self._entries.position)
        for name, stream_limit in self._stream_limits.items():
            engine = self.routes.service(name).engine
            wanting = self.upstreams.unpaused(name, now)
            if engine is None or not wanting:
                continue
            adaptive_limit = stream_limit.adaptive_limit
            usable = sum(
                adaptive_limit.usable_fraction(engine, upstream.per_s)
                for upstream in wanting
            )
            others = self._entries.peer_streams(name, now)
            stream_limit.adapt(
                engine, len(wanting), entries, others, now, usable=usable
            )
            if others:
                usual_load = sum(others) / len(others) * (entries - 1) / len(wanting)
                self.upstreams.set_usual_load(name, usual_load)
            self._metrics.stream_limit.labels(name).set(stream_limit.capacity)
            self._metrics.streams.labels(name).set(stream_limit.running)

    def limits(self) -> dict[str, dict[str, float]]:
        """Return the stream limits and their inputs by service, for the log."""
        now = time.monotonic()
        return {
            name: stream_limit.log_fields(self._entries.peer_streams(name, now))
            for name, stream_limit in self._stream_limits.items()
        }

    def mean_streams(self) -> dict[str, float]:
        """Return the recent number of concurrent streams by service."""
        return {
            name: round(stream_limit.mean_running, 2)
            for name, stream_limit in self._stream_limits.items()
        }

    def _count_crash(self, crash: Crash) -> None:
        self._metrics.record_crash()
        self._on_crash(crash)

    def _record_crash(self, crash: Crash) -> None:
        self.quarantine.record_crash(crash.id, crash.calls, time.monotonic())

    def _is_full(self, service: str) -> bool:
        stream_limit = self._stream_limits.get(service)
        return stream_limit is not None and stream_limit.full

    def _set_stream_limit(self, service: str, route: Route) -> None:
        stream_limit = self._stream_limits.get(service)
        if stream_limit is None:
            adaptive_limit = AdaptiveLimit(route.gap_target_s, route.timeout_s)
            self._stream_limits[service] = StreamLimiter(self._rng, adaptive_limit)
        else:
            (
                stream_limit.adaptive_limit.max_pause_s,
                stream_limit.adaptive_limit.max_response_s,
            ) = (
                route.gap_target_s,
                route.timeout_s,
            )

    def _record_gap(self, service: str, gap_s: float) -> None:
        stream_limit = self._stream_limits.get(service)
        if stream_limit is not None:
            stream_limit.adaptive_limit.record_pause(gap_s)
