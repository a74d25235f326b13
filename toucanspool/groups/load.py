"""Load of a group's experts, estimated from the reports of its ranks."""

from dataclasses import dataclass

import numpy as np

from toucanspool.groups.expert_map import ExpertMap, FloatArray, IntArray

# Half-lives of the mean that is the estimate, of the mean that detects changes, and
# of the variance.
SLOW_HALF_LIFE_S = 15.0
FAST_HALF_LIFE_S = 1.5
NOISE_HALF_LIFE_S = 60.0
# Difference of the two means that counts as a change, in standard errors.
CHANGE_SIGMAS = 4.5
# Factor on the standard error after a restart, since restarts select outliers.
RESTART_ERROR_FACTOR = 1.5
# A sample is used if the reports cover at least this share of an expert's tokens.
MIN_OBSERVED_SHARE = 0.25
# The variance of an expert counts as known from this number of samples.
MIN_NOISE_SAMPLES = 5
# Limit of one sample's contribution to the variance, in variances.
OUTLIER_VARIANCES = 9.0
# Smallest load that relative deviations are taken from, in mean loads.
MIN_RELATIVE_LOAD = 0.01


@dataclass(slots=True, frozen=True, eq=False)
class RankReport:
    """Report the work of one rank since its previous report.

    Parameters
    ----------
    rank : int
        The rank.
    version : int
        Version of the expert map that the rank ran on.
    at : float
        Time of the measurement, in seconds on the reader's monotonic clock.
    steps : int
        Number of steps.
    busy_s : float
        Time that the rank worked in these steps, in seconds, without waiting for
        other ranks.
    tokens : ndarray of int, shape (layers, slots)
        Tokens that each slot processed.
    """

    rank: int
    version: int
    at: float
    steps: int
    busy_s: float
    tokens: IntArray


class LoadEstimate:
    """Estimate the load of each expert and the standard error of the estimate.

    Two exponential means run side by side. The slow one is the estimate. Where the
    fast one differs from it by more than noise explains, the slow one restarts from
    the fast one with a larger error, since restarts select outliers.

    The variance is relative to the square of the load. It is computed from
    differences between successive samples, which a drift hardly affects. A sudden
    change counts as an outlier of bounded size.

    Parameters
    ----------
    layers : int
        Number of layers of the model.
    n_experts : int
        Number of experts in each layer.

    References
    ----------
    J. von Neumann, R. H. Kent, H. R. Bellinson, B. I. Hart, "The mean square
    successive difference", Ann. Math. Statist. 12(2), 1941.
    """

    __slots__ = (
        "_fast_mean",
        "_last_sample",
        "_mean",
        "_observed_share",
        "_observed_tokens",
        "_sample_count",
        "_updated_at",
        "_variance",
        "_variance_factor",
    )

    def __init__(self, layers: int, n_experts: int) -> None:
        shape = (layers, n_experts)
        self._mean = np.full(shape, 1.0 / n_experts)
        self._fast_mean = self._mean.copy()
        self._last_sample = self._mean.copy()
        self._variance = np.zeros(shape)
        self._variance_factor = np.ones(shape)
        self._sample_count = np.zeros(shape, dtype=int)
        self._observed_tokens = np.zeros(shape)
        self._observed_share = np.zeros(shape)
        self._updated_at: float | None = None

    @property
    def loads(self) -> FloatArray:
        """Return the share of its layer's tokens that each expert gets.

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
        return self._mean * np.sqrt(self._variance * self._variance_factor)

    @property
    def ready(self) -> bool:
        """Return whether the variance of nearly all experts is known."""
        known = self._sample_count >= MIN_NOISE_SAMPLES
        return bool(known.mean() > 0.9)

    def observe(self, report: RankReport, map_: ExpertMap) -> None:
        """Add a report to the next sample.

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
        self._observed_tokens[index] += report.tokens[layer, slot] / report.steps
        self._observed_share[index] += shares[layer, slot]

    def update(self, now: float) -> None:
        """Update the estimate with the reports since the last call.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        observed = self._observed_share >= MIN_OBSERVED_SHARE
        if self._updated_at is None:
            self._updated_at = now - 1.0
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0.0 or not observed.any():
            return
        self._updated_at = now
        sample = self._sample(observed)
        self._update_variance(sample, observed, elapsed_s)
        self._update_means(sample, observed, elapsed_s)
        self._observed_tokens.fill(0.0)
        self._observed_share.fill(0.0)

    def _sample(self, observed: np.ndarray) -> FloatArray:
        tokens = np.divide(
            self._observed_tokens,
            self._observed_share,
            out=np.zeros(observed.shape),
            where=observed,
        )
        total = tokens.sum(axis=1, keepdims=True)
        known = np.where(observed, self._mean, 0.0).sum(axis=1, keepdims=True)
        return tokens * np.divide(
            known, total, out=np.ones_like(total), where=total > 0
        )

    def _update_variance(
        self, sample: FloatArray, observed: np.ndarray, elapsed_s: float
    ) -> None:
        scale = np.maximum(self._mean, MIN_RELATIVE_LOAD / self._mean.shape[1])
        half_square = 0.5 * ((sample - self._last_sample) / scale) ** 2
        known = self._sample_count >= MIN_NOISE_SAMPLES
        bound = np.where(known, OUTLIER_VARIANCES * self._variance, np.inf)
        half_square = np.minimum(half_square, bound)
        min_gain = 1.0 / np.maximum(self._sample_count, 1)
        gain = np.maximum(_smoothing_gain(elapsed_s, NOISE_HALF_LIFE_S), min_gain)
        gain = np.where(observed & (self._sample_count > 0), gain, 0.0)
        self._variance += gain * (half_square - self._variance)
        self._last_sample = np.where(observed, sample, self._last_sample)
        self._sample_count += observed

    def _update_means(
        self, sample: FloatArray, observed: np.ndarray, elapsed_s: float
    ) -> None:
        slow_gain = np.maximum(
            _smoothing_gain(elapsed_s, SLOW_HALF_LIFE_S),
            self._variance_factor / (1.0 + self._variance_factor),
        )
        slow_gain = np.where(self._sample_count <= 1, 1.0, slow_gain)
        slow_gain = np.where(observed, slow_gain, 0.0)
        self._mean += slow_gain * (sample - self._mean)
        self._variance_factor *= (1.0 - slow_gain) ** 2
        self._variance_factor += slow_gain**2
        fast = _smoothing_gain(elapsed_s, FAST_HALF_LIFE_S)
        fast_gain = np.where(self._sample_count <= 1, 1.0, fast)
        self._fast_mean += np.where(observed, fast_gain, 0.0) * (
            sample - self._fast_mean
        )
        fast_factor = fast / (2.0 - fast)
        sigma = self._mean * np.sqrt(
            self._variance * (fast_factor + self._variance_factor)
        )
        limit = CHANGE_SIGMAS * sigma
        changed = np.abs(self._fast_mean - self._mean) > limit
        changed &= self._sample_count >= MIN_NOISE_SAMPLES
        self._mean = np.where(changed, self._fast_mean, self._mean)
        restart_factor = fast_factor * RESTART_ERROR_FACTOR**2
        self._variance_factor = np.where(changed, restart_factor, self._variance_factor)
        self._mean /= self._mean.sum(axis=1, keepdims=True)


def _smoothing_gain(elapsed_s: float, half_life_s: float) -> float:
    """Return the weight of a new sample in an exponential mean."""
    return 1.0 - 0.5 ** (elapsed_s / half_life_s)
