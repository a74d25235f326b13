"""The state of one upstream that a routing policy decides on."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(slots=True)
class Candidate:
    """Hold the load, health and location of an upstream as one entry sees them.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    failure_domain : str
        Failure domain that it runs in.
    labels : mapping of str to str
        Labels of the upstream.
    running : int
        Running requests in the last load report.
    waiting : int
        Queued requests in the last load report.
    step_ms : float
        Duration of a decoding step in the last load report, in milliseconds.
    reported_at : float
        When the report was measured, in seconds on this process's monotonic
        clock; 0 before the first report.
    in_flight : int
        Unfinished requests that this entry has sent.
    sent_since_report : int
        Requests that this entry has sent since the report was measured.
    weight : float
        Share of the normal load that it may get; below 1 during slow start.
    prefixes : frozenset of str
        Hashes of prompt prefixes that it probably has cached.
    """

    upstream: str
    failure_domain: str
    labels: Mapping[str, str] = field(default_factory=dict)
    running: int = 0
    waiting: int = 0
    step_ms: float = 0.0
    reported_at: float = 0.0
    in_flight: int = 0
    sent_since_report: int = 0
    weight: float = 1.0
    prefixes: frozenset[str] = frozenset()
