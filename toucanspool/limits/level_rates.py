"""Recent rates of arrivals and admissions by level of urgency."""

import math
from collections.abc import Collection

# One entry sees about a request a second of each level. Over this time there are enough
# to tell how much of a level is admitted.
TIME_CONSTANT_S = 10.0
# A level is neglected if the admitted fraction of its requests is less than this part
# of the fraction of all requests. Below a quarter, callers call a level starved; the
# distance allows for what other entries admit, which this one doesn't see.
MIN_RELATIVE_FRACTION = 0.35
# Part of a request by which a level may be short. With less, levels with few requests
# would be neglected most of the time.
NEGLECT_SLACK = 0.25
# Levels without a request for this long are forgotten.
IDLE_TTL_S = 60.0


class LevelRates:
    """Track how many requests of each level arrive and are admitted.

    A level is the priority of a request; 0 is the most urgent.
    """

    __slots__ = ("_admitted", "_arrived", "_arrived_at", "_updated_at")

    def __init__(self) -> None:
        self._arrived: dict[int, float] = {}
        self._admitted: dict[int, float] = {}
        self._arrived_at: dict[int, float] = {}
        self._updated_at = 0.0

    @property
    def levels(self) -> Collection[int]:
        """Return the levels with recent requests."""
        return self._arrived.keys()

    def record_arrival(self, level: int, now: float) -> None:
        """Count a request.

        Parameters
        ----------
        level : int
            Level of the request.
        now : float
            Seconds on the monotonic clock.
        """
        self._decay(now)
        self._arrived[level] = self._arrived.get(level, 0.0) + 1.0
        self._arrived_at[level] = now

    def record_admission(self, level: int, now: float) -> None:
        """Count a request that is admitted; its arrival has been counted before."""
        self._decay(now)
        self._admitted[level] = self._admitted.get(level, 0.0) + 1.0

    def per_s(self, now: float, *, below: float = math.inf) -> float:
        """Return the recent arrivals, of all levels or of the more urgent ones.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        below : float, optional
            Only levels with lower numbers count, which are more urgent.

        Returns
        -------
        float
            Requests per second.
        """
        self._decay(now)
        arrived = sum(n for level, n in self._arrived.items() if level < below)
        return arrived / TIME_CONSTANT_S

    def is_neglected(self, level: int, now: float) -> bool:
        """Return whether too few requests of a level are admitted.

        Parameters
        ----------
        level : int
            The level.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
        """
        self._decay(now)
        arrived = sum(self._arrived.values())
        if not arrived:
            return False
        admitted_fraction = min(1.0, sum(self._admitted.values()) / arrived)
        due = MIN_RELATIVE_FRACTION * admitted_fraction * self._arrived.get(level, 0.0)
        return due - self._admitted.get(level, 0.0) >= NEGLECT_SLACK

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0.0:
            return
        self._updated_at = now
        factor = math.exp(-elapsed_s / TIME_CONSTANT_S)
        for counts in (self._arrived, self._admitted):
            for level in counts:
                counts[level] *= factor
        for level, at in list(self._arrived_at.items()):
            if now - at > IDLE_TTL_S:
                for counts in (self._arrived, self._admitted, self._arrived_at):
                    counts.pop(level, None)
