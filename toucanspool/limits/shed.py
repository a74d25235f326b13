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
    least_s : float, default=1.0
        The shortest time told, in seconds.
    spread_s : float, default=2.0
        The least spread beyond it, in seconds.
    """

    __slots__ = ("_at", "_least_s", "_rng", "_shed", "_spread_s")

    def __init__(
        self,
        rng: random.Random,
        *,
        least_s: float = MIN_RETRY_AFTER_S,
        spread_s: float = MIN_SPREAD_S,
    ) -> None:
        self._rng = rng
        self._least_s = least_s
        self._spread_s = spread_s
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
            Seconds from now, at most 60.
        """
        fade = max(0.0, 1.0 - (now - self._at) / RECENT_S)
        self._shed = self._shed * fade + 1.0
        self._at = now
        spread_s = self._shed / rate if rate > 0.0 else 0.0
        widest_s = MAX_RETRY_AFTER_S - self._least_s
        spread_s = min(widest_s, max(self._spread_s, spread_s))
        return self._least_s + self._rng.uniform(0.0, spread_s)
