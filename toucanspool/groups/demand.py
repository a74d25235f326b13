"""Demand for a group's experts, estimated from the token counts of its ranks."""

import numpy as np

from toucanspool.groups.expert_map import FloatArray

# Successive counts differ by a few percent with the mix of requests; averaging over
# this time evens that out.
HALF_LIFE_S = 1.0
# Fraction of a set's demand that must have moved to other experts before the older
# counts are discarded. It exceeds what the mix of requests moves.
SHIFT_FRACTION = 0.2
# A shift must also move this multiple of what successive counts move on average, which
# is much where counts come from a few ranks at a time.
SHIFT_FACTOR = 2.0
# Weight of the newest counts in that average.
VARIATION_WEIGHT = 0.2
# With fewer counts in a set, chance alone moves about a tenth of them.
MIN_SHIFT_COUNTS = 2000.0
# With fewer counts the estimate is too noisy to plan by.
MIN_COUNTS = 2000.0


class Demand:
    """Estimate the demand for experts by an exponentially decaying sum of counts.

    The sum of a set is discarded when the newest counts differ too much from it. The
    demand has then shifted, and a mean of old and new counts describes neither.

    Parameters
    ----------
    half_life_s : float, default=1.0
        Time after which a count has half its weight, in seconds.
    shift_fraction : float, default=0.2
        Fraction of a set's demand that must have moved to discard its sum, 0 to 1.
    """

    __slots__ = (
        "_half_life_s",
        "_shift_fraction",
        "_sum",
        "_updated_at",
        "_variation",
    )

    def __init__(
        self,
        *,
        half_life_s: float = HALF_LIFE_S,
        shift_fraction: float = SHIFT_FRACTION,
    ) -> None:
        self._half_life_s = half_life_s
        self._shift_fraction = shift_fraction
        self._sum: FloatArray | None = None
        self._updated_at = 0.0
        self._variation: FloatArray | None = None

    @property
    def ready(self) -> bool:
        """Return whether there are enough counts to plan by."""
        return self._sum is not None and float(self._sum.sum()) >= MIN_COUNTS

    @property
    def shares(self) -> FloatArray:
        """Return the share of its set's demand that each expert has.

        Returns
        -------
        ndarray of float, shape (sets, experts)
            Each set adds up to 1.
        """
        assert self._sum is not None
        return _normalized(self._sum)

    def add(self, counts: FloatArray, now: float) -> None:
        """Add the token counts since the last call.

        Parameters
        ----------
        counts : ndarray, shape (sets, experts)
            Tokens routed to each expert, summed over all ranks.
        now : float
            Seconds on the monotonic clock.
        """
        if self._sum is None or self._sum.shape != counts.shape:
            self._sum = np.zeros(counts.shape)
            self._variation = np.zeros(counts.shape[0])
        else:
            self._sum *= 0.5 ** ((now - self._updated_at) / self._half_life_s)
            self._sum[self._shifted(self._sum, counts)] = 0.0
        self._sum += counts
        self._updated_at = now

    def _shifted(self, before: FloatArray, counts: FloatArray) -> np.ndarray:
        """Return the mask of sets whose demand has shifted, of shape (sets,)."""
        assert self._variation is not None
        distance = np.abs(_normalized(before) - _normalized(counts)).sum(axis=1) / 2.0
        enough = counts.sum(axis=1) >= MIN_SHIFT_COUNTS
        enough &= before.sum(axis=1) > 0.0
        threshold = np.maximum(self._shift_fraction, SHIFT_FACTOR * self._variation)
        shifted = enough & (distance > threshold)
        usual = enough & ~shifted
        self._variation[usual] += VARIATION_WEIGHT * (distance - self._variation)[usual]
        return shifted


def _normalized(counts: FloatArray) -> FloatArray:
    return counts / np.maximum(counts.sum(axis=1, keepdims=True), 1.0)
