"""What is in demand of a group's experts, from the counts of its ranks."""

import numpy as np

from toucanspool.groups.expert_map import FloatArray

# Counts of one look differ by a few in 100 from those of the looks before, by the
# mix of requests; long memory evens that out.
HALF_LIFE_S = 1.0
# Part of a set's demand that has gone to other experts when what was counted before
# is forgotten: a shift, not the mix of requests.
SHIFT_PART = 0.2
# With fewer counts in a set, chance alone moves about a tenth of them.
SHIFT_COUNTS = 2000.0
# Counts below this say little of what is in demand.
LEAST_COUNTS = 2000.0


class Demand:
    """Keep a fading sum of the counts of chosen experts.

    Where the newest counts of a set are unlike the sum, the sum is forgotten: demand
    has shifted, and a mean of before and after describes neither.

    Parameters
    ----------
    half_life_s : float, default=1.0
        Time after which a count weighs half, in seconds.
    shift_part : float, default=0.2
        Part of a set's demand that must have moved for that, from 0 to 1.
    """

    __slots__ = ("_at", "_half_life_s", "_shift_part", "_sum")

    def __init__(
        self, *, half_life_s: float = HALF_LIFE_S, shift_part: float = SHIFT_PART
    ) -> None:
        self._half_life_s = half_life_s
        self._shift_part = shift_part
        self._sum: FloatArray | None = None
        self._at = 0.0

    @property
    def ready(self) -> bool:
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
        return _parts(self._sum)

    def add(self, picks: FloatArray, now: float) -> None:
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
            self._sum[self._shifted(self._sum, picks)] = 0.0
        self._sum += picks
        self._at = now

    def _shifted(self, before: FloatArray, picks: FloatArray) -> np.ndarray:
        """Return which sets' demand has shifted, as a mask of shape (sets,)."""
        apart = np.abs(_parts(before) - _parts(picks)).sum(axis=1) / 2.0
        enough = picks.sum(axis=1) >= SHIFT_COUNTS
        return enough & (apart > self._shift_part)


def _parts(counts: FloatArray) -> FloatArray:
    return counts / np.maximum(counts.sum(axis=1, keepdims=True), 1.0)
