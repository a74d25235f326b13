"""Load shedding: the error for shed requests and their retry delays."""

import random
from enum import Enum

MIN_RETRY_AFTER_S = 1.0
MIN_JITTER_S = 2.0
MAX_RETRY_AFTER_S = 60.0
SHED_WINDOW_S = 5.0


class ShedCause(Enum):
    """Name the cause of shedding; each value is a sentence for operators."""

    FULL = "There is more work than room, and this request had the lowest claim."
    WAITED = "The request waited as long as requests may wait."


class Shed(Exception):
    """Report that a request was shed without being run.

    Parameters
    ----------
    cause : ShedCause
        Cause of the shedding.
    retry_after_s : float
        Time after which the caller may retry, in seconds.
    """

    def __init__(self, cause: ShedCause, retry_after_s: float) -> None:
        super().__init__(cause.value)
        self.cause = cause
        self.retry_after_s = retry_after_s


class RetryAfter:
    """Draw the delays after which shed callers may retry.

    The jitter grows with the number of recently shed requests relative to the
    service rate, so that retries arrive no faster than they can be served.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter.
    min_s : float, default=1.0
        Shortest delay, in seconds.
    min_jitter_s : float, default=2.0
        Smallest range of the jitter added to the shortest delay, in seconds.
    """

    __slots__ = ("_min_jitter_s", "_min_s", "_recent_shed", "_rng", "_updated_at")

    def __init__(
        self,
        rng: random.Random,
        *,
        min_s: float = MIN_RETRY_AFTER_S,
        min_jitter_s: float = MIN_JITTER_S,
    ) -> None:
        self._rng = rng
        self._min_s = min_s
        self._min_jitter_s = min_jitter_s
        self._recent_shed = 0.0
        self._updated_at = 0.0

    def draw(self, service_rate: float, now: float) -> float:
        """Count a shed request and return the delay of its retry.

        Parameters
        ----------
        service_rate : float
            Service rate, in cost per second; 0 if unknown.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
            Seconds, at most 60.
        """
        decay = max(0.0, 1.0 - (now - self._updated_at) / SHED_WINDOW_S)
        self._recent_shed = self._recent_shed * decay + 1.0
        self._updated_at = now
        jitter_s = self._recent_shed / service_rate if service_rate > 0.0 else 0.0
        max_jitter_s = MAX_RETRY_AFTER_S - self._min_s
        jitter_s = min(max_jitter_s, max(self._min_jitter_s, jitter_s))
        return self._min_s + self._rng.uniform(0.0, jitter_s)
