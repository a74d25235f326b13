"""Prometheus metrics of an entry, and a summary metric of latencies."""

from collections.abc import Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import Metric

MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000  # one hour
SIGNIFICANT_DIGITS = 2  # of a recorded latency
EXPORTED_QUANTILES = (0.5, 0.95, 0.99)
US_PER_S = 1e6
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class LatencySummary:
    """Export a histogram of latencies as a Prometheus summary.

    Parameters
    ----------
    name : str
        Name of the metric.
    documentation : str
        Help text of the metric.
    """

    __slots__ = ("_documentation", "_histogram", "_name", "_sum_s")

    def __init__(self, name: str, documentation: str) -> None:
        self._name = name
        self._documentation = documentation
        self._histogram = HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
        self._sum_s = 0.0

    def record(self, seconds: float) -> None:
        """Add one latency to the histogram.

        Parameters
        ----------
        seconds : float
            The latency.
        """
        self._histogram.record_value(max(MIN_LATENCY_US, int(seconds * US_PER_S)))
        self._sum_s += seconds

    def quantile(self, q: float) -> float:
        """Return a quantile of the recorded latencies, in seconds.

        Parameters
        ----------
        q : float
            The quantile, from 0 to 1.

        Returns
        -------
        float
        """
        return self._histogram.get_value_at_percentile(q * 100) / US_PER_S

    def collect(self) -> Iterator[Metric]:
        """Yield the summary metric; called by the Prometheus registry."""
        metric = Metric(self._name, self._documentation, "summary")
        for q in EXPORTED_QUANTILES:
            labels = {"quantile": str(q)}
            metric.add_sample(self._name, labels, self.quantile(q))
        count = self._histogram.get_total_count()
        metric.add_sample(self._name + "_count", {}, count)
        metric.add_sample(self._name + "_sum", {}, self._sum_s)
        yield metric


class Metrics:
    """Hold the Prometheus metrics of an entry.

    Attributes
    ----------
    first_byte_time : LatencySummary
        Time from the request to the first byte of the answer.
    answer_time : LatencySummary
        Time from the request to the end of the answer.
    requests : Counter
        Replies, by HTTP status.
    running : Gauge
        Requests that are running now.
    revision : Gauge
        Revision of the configuration that is in use.
    """

    __slots__ = (
        "_registry",
        "answer_time",
        "first_byte_time",
        "requests",
        "revision",
        "running",
    )

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self.first_byte_time = LatencySummary(
            "toucanspool_first_byte_seconds", "Time to the first byte of answers."
        )
        self.answer_time = LatencySummary(
            "toucanspool_answer_seconds", "Time to the end of answers."
        )
        self._registry.register(self.first_byte_time)
        self._registry.register(self.answer_time)
        self.requests = Counter(
            "toucanspool_requests",
            "Replies by status.",
            ["status"],
            registry=self._registry,
        )
        self.running = Gauge(
            "toucanspool_running", "Requests that run.", registry=self._registry
        )
        self.revision = Gauge(
            "toucanspool_revision", "Configuration in force.", registry=self._registry
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
