"""What a routing policy knows of one upstream."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(slots=True)
class Candidate:
    """Hold the load and place of an upstream, as one entry sees it.

    Parameters
    ----------
    upstream : str
        The upstream's name.
    failure_domain : str
        Where it runs.
    labels : mapping of str to str
        Its labels.
    running : int
        Requests that the last report counted as running.
    waiting : int
        Requests that the last report counted as waiting.
    step_ms : float
        Time of one decoding step, in milliseconds, by the last report.
    reported_at : float
        When the report was true, in seconds on this process's monotonic clock;
        0 before the first.
    in_flight : int
        Requests of this entry that the upstream has not finished.
    sent_since_report : int
        Requests that this entry has sent since the report was true.
    weight : float
        Share of its normal work that it may get: under 1 in slow start.
    prefixes : frozenset of str
        Prompt prefixes that it is believed to have cached.
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
