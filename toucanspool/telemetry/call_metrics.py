"""Prometheus metrics of the calls that a gateway serves."""

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from toucanspool.telemetry.hedging_metrics import HedgingMetrics
from toucanspool.telemetry.metrics import LatencySummary
from toucanspool.wire.client_limits import ClientLimits


class CallMetrics:
    """Record counts and latencies of calls.

    Attributes
    ----------
    streams : Gauge
        Streams that are admitted now, by service.
    stream_limit : Gauge
        Largest number of streams admitted at once, by service.
    evacuated_domains : Gauge
        Failure domains that get no new calls.
    routes_version : Gauge
        Version of the routes in force.
    store_age : Gauge
        Seconds since the store's last answer, by table.
    cold_upstreams : Gauge
        Upstreams that are cold, by service.
    held_bytes : Gauge
        Bytes held for requests and replies under way.
    """

    __slots__ = (
        "_answer_time",
        "_answers",
        "_connections",
        "_crashes",
        "_evicted",
        "_first_byte_time",
        "_hedging",
        "_refusals",
        "_registry",
        "_slow_readers",
        "_socket_bytes",
        "cold_upstreams",
        "evacuated_domains",
        "held_bytes",
        "routes_version",
        "store_age",
        "stream_limit",
        "streams",
    )

    def __init__(self) -> None:
        registry = self._registry = CollectorRegistry()
        self._hedging: HedgingMetrics | None = None
        self._first_byte_time = LatencySummary(
            "toucanspool_first_byte_seconds", "Time to the first event of streams."
        )
        self._answer_time = LatencySummary(
            "toucanspool_answer_seconds", "Time to the end of answers."
        )
        registry.register(self._first_byte_time)
        registry.register(self._answer_time)
        self._answers = Counter(
            "toucanspool_answers", "Answers by status.", ["status"], registry=registry
        )
        self._refusals = Counter(
            "toucanspool_refusals", "Refusals by cause.", ["cause"], registry=registry
        )
        self._crashes = Counter(
            "toucanspool_upstream_crashes",
            "Crashes of upstreams that broke replies off.",
            registry=registry,
        )
        self.streams = Gauge(
            "toucanspool_streams", "Streams admitted.", ["service"], registry=registry
        )
        self.stream_limit = Gauge(
            "toucanspool_stream_limit",
            "Streams at most.",
            ["service"],
            registry=registry,
        )
        self.evacuated_domains = Gauge(
            "toucanspool_evacuated_domains",
            "Failure domains that get no new calls.",
            registry=registry,
        )
        self.routes_version = Gauge(
            "toucanspool_routes_version", "Routes in force.", registry=registry
        )
        self.store_age = Gauge(
            "toucanspool_store_age_seconds",
            "Time since the store's last answer.",
            ["table"],
            registry=registry,
        )
        self.cold_upstreams = Gauge(
            "toucanspool_cold_upstreams",
            "Upstreams that are cold.",
            ["service"],
            registry=registry,
        )

        self.held_bytes = Gauge(
            "toucanspool_held_bytes",
            "Bytes held for requests and replies under way.",
            registry=registry,
        )
        self._socket_bytes = Gauge(
            "toucanspool_socket_bytes",
            "Bytes that the kernel may hold for connections in use.",
            registry=registry,
        )
        self._connections = Gauge(
            "toucanspool_connections", "Connections of clients.", registry=registry
        )
        self._evicted = Gauge(
            "toucanspool_evicted_connections",
            "Connections that were closed to make room for others.",
            registry=registry,
        )
        self._slow_readers = Counter(
            "toucanspool_slow_readers",
            "Callers that were disconnected because they read too slowly.",
            registry=registry,
        )

    def watch_clients(self, limits: ClientLimits) -> None:
        """Export what is held for clients.

        Parameters
        ----------
        limits : ClientLimits
            Counts it.
        """
        self.held_bytes.set_function(lambda: limits.memory.held_bytes)
        self._socket_bytes.set_function(lambda: limits.buffers.reserved_bytes)
        self._connections.set_function(lambda: len(limits.connections))
        self._evicted.set_function(lambda: limits.connections.evicted)

    def record_slow_reader(self) -> None:
        """Count a caller that was disconnected because it read too slowly."""
        self._slow_readers.inc()

    @property
    def hedging(self) -> HedgingMetrics:
        """Return the metrics of second attempts; exported only once they are used."""
        if self._hedging is None:
            self._hedging = HedgingMetrics(self._registry)
        return self._hedging

    def record_first_event(self, seconds: float) -> None:
        """Record the time from the request to the first event of a stream."""
        self._first_byte_time.record(seconds)

    def record_answer(self, status: int, seconds: float) -> None:
        """Record the HTTP status and the total time of an answer."""
        self._answers.labels(str(status)).inc()
        self._answer_time.record(seconds)

    def record_refusal(self, cause: str) -> None:
        """Count a refused call by its cause."""
        self._refusals.labels(cause).inc()

    def record_crash(self) -> None:
        """Count a crash of an upstream that broke replies off."""
        self._crashes.inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
