"""Estimate of how long the passes of a lock-step group take."""

import math
from collections import deque

# Intervals that count: longer ones tell of another load.
N_INTERVALS = 3
# Over a shorter time, one pass more or less makes a large difference.
MIN_INTERVAL_S = 0.35


class PassClock:
    """Estimate the shortest time of a pass from the passes that have begun.

    The estimate is a lower bound: one more pass may have begun right before the first
    observation of an interval.
    """

    __slots__ = ("_last_at", "_last_step", "_recent")

    def __init__(self) -> None:
        self._last_at = -math.inf
        self._last_step = 0
        self._recent: deque[float] = deque(maxlen=N_INTERVALS)

    @property
    def pass_s(self) -> float:
        """Return the time of the shortest recent pass, in seconds, or infinity."""
        return min(self._recent, default=math.inf)

    @property
    def pass_ms(self) -> int | None:
        """Return the same in milliseconds for logs; None if unknown."""
        return round(self.pass_s * 1000) if self._recent else None

    def observe(self, step: int, now: float) -> None:
        """Take note of the latest pass that has begun.

        Parameters
        ----------
        step : int
            Number of that pass. It is lower than before in a group formed again.
        now : float
            Current time, in monotonic seconds.
        """
        passes, interval_s = step - self._last_step, now - self._last_at
        if passes >= 0 and interval_s < MIN_INTERVAL_S:
            return
        if passes > 0 and math.isfinite(interval_s):
            self._recent.append(interval_s / (passes + 1))
        self._last_step, self._last_at = step, now
