"""What a gateway knows and decides with, joined together."""

import random
import time

import structlog

from toucanspool.gateway.dialect import Dialect
from toucanspool.gateway.front import Front
from toucanspool.gateway.relay import Relay
from toucanspool.gateway.stream import StreamRelay
from toucanspool.limits.gate import Gate
from toucanspool.limits.pace import Pace
from toucanspool.limits.stream_room import StreamRoom
from toucanspool.membership.entries import Entries
from toucanspool.retries.ejection import Ejector
from toucanspool.retries.shared_budget import SharedBudget
from toucanspool.routing.placing import Placing
from toucanspool.routing.routes import Route, RouteTable
from toucanspool.routing.upstreams import UpstreamList
from toucanspool.settings.settings import RetryBudget
from toucanspool.telemetry.call_metrics import CallMetrics

_log = structlog.get_logger()


class GatewayCore:
    """Hold the state of a gateway.

    Parameters
    ----------
    entries : Entries
        The entries that share the upstreams.
    dialect : Dialect
        Translates headers.
    retries : RetryBudget
        Settings of the budget of repeats.
    failure_domain : str
        Where this entry runs.
    rng : random.Random
        Source of draws.
    metrics : CallMetrics
        Where gauges are set.

    Attributes
    ----------
    routes : RouteTable or None
        Those in force; None before the first.
    upstreams : UpstreamList
        Those known.
    front : Front
        Where calls enter.
    """

    __slots__ = (
        "_budget",
        "_entries",
        "_metrics",
        "_placing",
        "_rng",
        "_rooms",
        "ejector",
        "front",
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
    ) -> None:
        self._entries = entries
        self._rng = rng
        self._metrics = metrics
        self._rooms: dict[str, StreamRoom] = {}
        self.routes: RouteTable | None = None
        self.upstreams = UpstreamList()
        self.ejector = Ejector(rng)
        self._placing = Placing(self.upstreams, self.ejector, failure_domain, rng)
        self._budget = SharedBudget(
            ratio=retries.ratio, window_s=retries.window_s, extra=retries.extra
        )
        relay = Relay(self._placing, self.ejector, self._budget, dialect)
        streams = StreamRelay(relay, dialect, self._paused)
        self.front = Front(relay, streams, self._gate_of)

    def set_retries(self, retries: RetryBudget) -> None:
        """Put new bounds of repeats in force.

        Parameters
        ----------
        retries : RetryBudget
            The bounds.
        """
        self._budget.bound(
            ratio=retries.ratio, window_s=retries.window_s, extra=retries.extra
        )

    def put_routes(self, routes: RouteTable) -> None:
        """Put routes in force unless they are older than those in force.

        Parameters
        ----------
        routes : RouteTable
            The routes.
        """
        before = self.routes.version if self.routes else 0
        if routes.version <= before:
            return
        self.routes = routes
        self._metrics.version.set(routes.version)
        for route in routes.routes:
            for name, _ in route.services:
                if routes.service(name).engine and route.pause_s:
                    self._limit(name, route)
        _log.info(
            "routes in force",
            version=routes.version,
            before=before,
            routes=len(routes.routes),
            keys=len(routes.keys),
        )

    def upstreams_changed(self) -> None:
        """Take note that upstreams have come, gone or changed."""
        pools = {u.name: u.listing.service for u in self.upstreams}
        self.ejector.update(pools, time.monotonic(), pools=pools)

    def tick(self) -> None:
        """Adapt limits and shares to what was seen since the last call."""
        now = time.monotonic()
        entries = len(self._entries.live)
        self._budget.entries = entries
        self._placing.start_at(self._entries.position)
        for name, room in self._rooms.items():
            engine = self.routes.service(name).engine
            ready = len(self.upstreams.ready(name))
            if engine is None or not ready:
                continue
            room.adapt(engine, ready, entries, self._entries.peer_streams(name), now)
            self._metrics.limit.labels(name).set(room.capacity)
            self._metrics.running.labels(name).set(room.running)

    def limits(self) -> dict[str, dict[str, float]]:
        """Return the limits in force with what they were adapted to, for the log."""
        return {
            name: room.told(self._entries.peer_streams(name))
            for name, room in self._rooms.items()
        }

    def carried(self) -> dict[str, float]:
        """Return how many streams this entry carried of late, by service."""
        return {name: round(room.carried, 2) for name, room in self._rooms.items()}

    def _gate_of(self, service: str) -> Gate | None:
        room = self._rooms.get(service)
        return room.gate if room else None

    def _limit(self, service: str, route: Route) -> None:
        room = self._rooms.get(service)
        if room is None:
            pace = Pace(route.pause_s, route.timeout_s)
            self._rooms[service] = StreamRoom(self._rng, pace)
        else:
            room.pace.pause_s, room.pace.answer_s = route.pause_s, route.timeout_s

    def _paused(self, service: str, seconds: float) -> None:
        room = self._rooms.get(service)
        if room is not None:
            room.pace.paused(seconds)
