"""Counters and latency quantiles, in the text form that usual scrapers read."""

from collections.abc import Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import Metric

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)
US_PER_S = 1e6
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Quantiles:
    """Keep a histogram of times and give it to scrapers as a summary.

    Parameters
    ----------
    name : str
        The metric's name.
    text : str
        What it measures.
    """

    __slots__ = ("_histogram", "_name", "_sum_s", "_text")

    def __init__(self, name: str, text: str) -> None:
        self._name = name
        self._text = text
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self._sum_s = 0.0

    def record(self, seconds: float) -> None:
        """Count one time.

        Parameters
        ----------
        seconds : float
            The time.
        """
        self._histogram.record_value(max(LOWEST_US, int(seconds * US_PER_S)))
        self._sum_s += seconds

    def quantile(self, part: float) -> float:
        """Return a quantile in seconds.

        Parameters
        ----------
        part : float
            From 0 to 1.

        Returns
        -------
        float
        """
        return self._histogram.get_value_at_percentile(part * 100) / US_PER_S

    def collect(self) -> Iterator[Metric]:
        """Yield the summary; called by the registry."""
        metric = Metric(self._name, self._text, "summary")
        for part in QUANTILES:
            labels = {"quantile": str(part)}
            metric.add_sample(self._name, labels, self.quantile(part))
        count = self._histogram.get_total_count()
        metric.add_sample(self._name + "_count", {}, count)
        metric.add_sample(self._name + "_sum", {}, self._sum_s)
        yield metric


class Metrics:
    """Hold the Prometheus metrics of an entry.

    Attributes
    ----------
    first_byte_time : Quantiles
        Time from the request to the first byte of the answer.
    answer_time : Quantiles
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
        self.first_byte_time = Quantiles(
            "toucanspool_first_byte_seconds", "Time to the first byte of answers."
        )
        self.answer_time = Quantiles(
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
