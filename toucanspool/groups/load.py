"""What the reports of a group's ranks say of the load of its experts."""

from dataclasses import dataclass

import numpy as np

from toucanspool.groups.expert_map import ExpertMap, FloatArray, IntArray

SLOW_HALF_LIFE_S = 15.0
FAST_HALF_LIFE_S = 1.5
NOISE_HALF_LIFE_S = 60.0
CHANGE_SIGMAS = 4.5
RESTART_DOUBT = 1.5
MIN_SHARE_SEEN = 0.25
MIN_NOISE_SAMPLES = 5
OUTLIER_VARIANCES = 9.0
SMALLEST_LOAD = 0.01


@dataclass(slots=True, frozen=True, eq=False)
class RankReport:
    """Hold what one rank says of its work since its last report.

    Parameters
    ----------
    rank : int
        The rank.
    version : int
        Version of the expert map that it ran on.
    at : float
        When the report was true, in seconds on the reader's monotonic clock.
    steps : int
        Steps counted.
    busy_s : float
        Time of its own work in these steps, in seconds, without waiting for
        other ranks.
    tokens : ndarray of int, shape (layers, slots)
        Tokens that each slot worked on.
    """

    rank: int
    version: int
    at: float
    steps: int
    busy_s: float
    tokens: IntArray


class LoadEstimate:
    """Smooth the load of each expert, and know how noisy the result is.

    Two exponential means run side by side. The slow one is the estimate; where
    the fast one has left it by more than noise explains, the slow one restarts
    from the fast one, with a larger error, since a restart picks outliers. The
    variance, relative to the square of the load, comes
    from differences between successive samples, which a drift hardly touches;
    a sudden change counts as an outlier of bounded size.

    Parameters
    ----------
    layers : int
        Layers of the model.
    n_experts : int
        Experts in each layer.

    References
    ----------
    J. von Neumann, R. H. Kent, H. R. Bellinson, B. I. Hart, "The mean square
    successive difference", Ann. Math. Statist. 12(2), 1941.
    """

    __slots__ = (
        "_fast",
        "_folded_at",
        "_last",
        "_mean",
        "_noise",
        "_sample_count",
        "_seen_share",
        "_seen_tokens",
        "_spread",
    )

    def __init__(self, layers: int, n_experts: int) -> None:
        shape = (layers, n_experts)
        self._mean = np.full(shape, 1.0 / n_experts)
        self._fast = self._mean.copy()
        self._last = self._mean.copy()
        self._noise = np.zeros(shape)
        self._spread = np.ones(shape)
        self._sample_count = np.zeros(shape, dtype=int)
        self._seen_tokens = np.zeros(shape)
        self._seen_share = np.zeros(shape)
        self._folded_at: float | None = None

    @property
    def loads(self) -> FloatArray:
        """Return each expert's part of its layer's tokens.

        Returns
        -------
        ndarray of float, shape (layers, n_experts)
            Each layer adds up to 1.
        """
        return self._mean

    @property
    def errors(self) -> FloatArray:
        """Return the standard error of each value of `loads`.

        Returns
        -------
        ndarray of float, shape (layers, n_experts)
        """
        return self._mean * np.sqrt(self._noise * self._spread)

    @property
    def ready(self) -> bool:
        """Return whether the noise of nearly all experts is known."""
        known = self._sample_count >= MIN_NOISE_SAMPLES
        return bool(known.mean() > 0.9)

    def observe(self, report: RankReport, map_: ExpertMap) -> None:
        """Count a report.

        Parameters
        ----------
        report : RankReport
            The report.
        map_ : ExpertMap
            The map that the rank ran on.
        """
        if report.steps <= 0:
            return
        experts = map_.experts[:, report.rank, :]
        shares = map_.shares[:, report.rank, :]
        layer, slot = np.nonzero(shares > 0)
        index = (layer, experts[layer, slot])
        self._seen_tokens[index] += report.tokens[layer, slot] / report.steps
        self._seen_share[index] += shares[layer, slot]

    def update(self, now: float) -> None:
        """Bring what was observed since the last call into the estimate.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        seen = self._seen_share >= MIN_SHARE_SEEN
        if self._folded_at is None:
            self._folded_at = now - 1.0
        gap_s = now - self._folded_at
        if gap_s <= 0.0 or not seen.any():
            return
        self._folded_at = now
        sample = self._sample(seen)
        self._measure_noise(sample, seen, gap_s)
        self._smooth(sample, seen, gap_s)
        self._seen_tokens.fill(0.0)
        self._seen_share.fill(0.0)

    def _sample(self, seen: np.ndarray) -> FloatArray:
        tokens = np.divide(
            self._seen_tokens, self._seen_share, out=np.zeros(seen.shape), where=seen
        )
        total = tokens.sum(axis=1, keepdims=True)
        known = np.where(seen, self._mean, 0.0).sum(axis=1, keepdims=True)
        return tokens * np.divide(
            known, total, out=np.ones_like(total), where=total > 0
        )

    def _measure_noise(
        self, sample: FloatArray, seen: np.ndarray, gap_s: float
    ) -> None:
        scale = np.maximum(self._mean, SMALLEST_LOAD / self._mean.shape[1])
        half_square = 0.5 * ((sample - self._last) / scale) ** 2
        known = self._sample_count >= MIN_NOISE_SAMPLES
        bound = np.where(known, OUTLIER_VARIANCES * self._noise, np.inf)
        half_square = np.minimum(half_square, bound)
        floor = 1.0 / np.maximum(self._sample_count, 1)
        gain = np.maximum(_gain(gap_s, NOISE_HALF_LIFE_S), floor)
        gain = np.where(seen & (self._sample_count > 0), gain, 0.0)
        self._noise += gain * (half_square - self._noise)
        self._last = np.where(seen, sample, self._last)
        self._sample_count += seen

    def _smooth(self, sample: FloatArray, seen: np.ndarray, gap_s: float) -> None:
        slow_gain = np.maximum(
            _gain(gap_s, SLOW_HALF_LIFE_S), self._spread / (1.0 + self._spread)
        )
        slow_gain = np.where(self._sample_count <= 1, 1.0, slow_gain)
        slow_gain = np.where(seen, slow_gain, 0.0)
        self._mean += slow_gain * (sample - self._mean)
        self._spread *= (1.0 - slow_gain) ** 2
        self._spread += slow_gain**2
        fast = _gain(gap_s, FAST_HALF_LIFE_S)
        fast_gain = np.where(self._sample_count <= 1, 1.0, fast)
        self._fast += np.where(seen, fast_gain, 0.0) * (sample - self._fast)
        fast_spread = fast / (2.0 - fast)
        sigma = self._mean * np.sqrt(self._noise * (fast_spread + self._spread))
        limit = CHANGE_SIGMAS * sigma
        left = np.abs(self._fast - self._mean) > limit
        left &= self._sample_count >= MIN_NOISE_SAMPLES
        self._mean = np.where(left, self._fast, self._mean)
        doubtful = fast_spread * RESTART_DOUBT**2
        self._spread = np.where(left, doubtful, self._spread)
        self._mean /= self._mean.sum(axis=1, keepdims=True)


def _gain(gap_s: float, half_life_s: float) -> float:
    return 1.0 - 0.5 ** (gap_s / half_life_s)
