"""Prometheus metrics of second attempts."""

from prometheus_client import CollectorRegistry, Counter


class HedgingMetrics:
    """Count second attempts.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the process.
    """

    __slots__ = ("_declined", "_sent")

    def __init__(self, registry: CollectorRegistry) -> None:
        self._sent = Counter(
            "toucanspool_second_attempts",
            "Second attempts by the attempt that answered.",
            ["service", "winner"],
            registry=registry,
        )
        self._declined = Counter(
            "toucanspool_second_attempts_declined",
            "Slow calls without a second attempt, by the reason.",
            ["service", "reason"],
            registry=registry,
        )

    def record_second_attempt(self, service: str, winner: str) -> None:
        """Count a second attempt; the winner is ``first``, ``second`` or ``none``."""
        self._sent.labels(service, winner).inc()

    def record_declined(self, service: str, reason: str) -> None:
        """Count a slow call that got no second attempt."""
        self._declined.labels(service, reason).inc()
