"""Counters and latency histograms of calls by route."""

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from toucanspool.telemetry.metrics import Quantiles


class CallMetrics:
    """Count calls and keep their times.

    Attributes
    ----------
    running, limit : Gauge
        Streams admitted, and how many may be.
    version : Gauge
        Version of the routes in force.
    """

    __slots__ = (
        "_answers",
        "_first_byte",
        "_refusals",
        "_registry",
        "_whole",
        "limit",
        "running",
        "version",
    )

    def __init__(self) -> None:
        registry = self._registry = CollectorRegistry()
        self._first_byte = Quantiles(
            "toucanspool_first_byte_seconds", "Time to the first event of streams."
        )
        self._whole = Quantiles(
            "toucanspool_answer_seconds", "Time to the end of answers."
        )
        registry.register(self._first_byte)
        registry.register(self._whole)
        self._answers = Counter(
            "toucanspool_answers", "Answers by status.", ["status"], registry=registry
        )
        self._refusals = Counter(
            "toucanspool_refusals", "Refusals by cause.", ["cause"], registry=registry
        )
        self.running = Gauge(
            "toucanspool_streams", "Streams admitted.", ["service"], registry=registry
        )
        self.limit = Gauge(
            "toucanspool_stream_limit",
            "Streams at most.",
            ["service"],
            registry=registry,
        )
        self.version = Gauge(
            "toucanspool_routes_version", "Routes in force.", registry=registry
        )

    def begun(self, seconds: float) -> None:
        """Count the first event of a stream."""
        self._first_byte.record(seconds)

    def answered(self, status: int, seconds: float) -> None:
        """Count the end of an answer."""
        self._answers.labels(str(status)).inc()
        self._whole.record(seconds)

    def refused(self, cause: str) -> None:
        """Count a refusal."""
        self._refusals.labels(cause).inc()

    def page(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self._registry)
