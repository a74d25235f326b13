"""What is in demand of a group's experts, from the counts of its ranks."""

import numpy as np

from toucanspool.groups.expert_map import FloatArray

HALF_LIFE_S = 0.6
# Counts below this say little of what is in demand.
LEAST_COUNTS = 2000.0


class Demand:
    """Keep a fading sum of the counts of chosen experts.

    Parameters
    ----------
    half_life_s : float, default=0.6
        Time after which a count weighs half, in seconds.
    """

    __slots__ = ("_at", "_half_life_s", "_sum")

    def __init__(self, *, half_life_s: float = HALF_LIFE_S) -> None:
        self._half_life_s = half_life_s
        self._sum: FloatArray | None = None
        self._at = 0.0

    @property
    def known(self) -> bool:
        """Return whether enough was counted to plan by."""
        return self._sum is not None and float(self._sum.sum()) >= LEAST_COUNTS

    @property
    def shares(self) -> FloatArray:
        """Return each expert's part of its set's demand.

        Returns
        -------
        ndarray of float, shape (sets, experts)
            Each set adds up to 1.
        """
        assert self._sum is not None
        total = np.maximum(self._sum.sum(axis=1, keepdims=True), 1.0)
        return self._sum / total

    def count(self, picks: FloatArray, now: float) -> None:
        """Count what the ranks chose since the last call.

        Parameters
        ----------
        picks : ndarray, shape (sets, experts)
            The sum over all ranks.
        now : float
            Seconds on the monotonic clock.
        """
        if self._sum is None or self._sum.shape != picks.shape:
            self._sum = np.zeros(picks.shape)
        else:
            self._sum *= 0.5 ** ((now - self._at) / self._half_life_s)
        self._sum += picks
        self._at = now
