"""The refusal of a request that there is no room for."""

import random
from enum import Enum

MIN_RETRY_AFTER_S = 1.0
MIN_SPREAD_S = 2.0
MAX_RETRY_AFTER_S = 60.0
RECENT_S = 5.0


class ShedCause(Enum):
    """Name why a request was shed; each value is a sentence for a manager."""

    FULL = "There is more work than room, and this request had the lowest claim."
    WAITED = "The request waited as long as requests may wait."


class Shed(Exception):
    """Report that a request was not run for want of room.

    Parameters
    ----------
    cause : ShedCause
        Why.
    retry_after_s : float
        When the caller may come back, in seconds from now.
    """

    def __init__(self, cause: ShedCause, retry_after_s: float) -> None:
        super().__init__(cause.value)
        self.cause = cause
        self.retry_after_s = retry_after_s


class RetryAfter:
    """Spread the return of callers that were shed.

    The more requests were shed of late against the rate of service, the wider
    their returns are spread, so that they come back no faster than they can be
    served.

    Parameters
    ----------
    rng : random.Random
        Source of the spread.
    """

    __slots__ = ("_at", "_rng", "_shed")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._shed = 0.0
        self._at = 0.0

    def draw(self, rate: float, now: float) -> float:
        """Count one request shed and return when it may come back.

        Parameters
        ----------
        rate : float
            Rate of service, in cost a second; 0 where unknown.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
            Seconds from now, 1 to 60.
        """
        fade = max(0.0, 1.0 - (now - self._at) / RECENT_S)
        self._shed = self._shed * fade + 1.0
        self._at = now
        spread_s = self._shed / rate if rate > 0.0 else 0.0
        widest_s = MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S
        spread_s = min(widest_s, max(MIN_SPREAD_S, spread_s))
        return MIN_RETRY_AFTER_S + self._rng.uniform(0.0, spread_s)
