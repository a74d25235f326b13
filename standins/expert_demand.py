"""Sampled demand for the experts of a lock-step group, with shifts and slow ranks."""

import numpy as np

SHIFT_S = 4.0
# Fraction of the experts whose popularity moves to others in a shift.
MOVED_FRACTION = (0.62, 0.79)
USUAL_TAIL = (0.7, 1.1)
HEAVY_TAIL = (1.1, 1.5)
# Part of the demand that all experts share alike.
COMMON_FRACTION = 0.25
MAX_SLOWDOWN = 5.0
# Ranks that are slow at a time, at most, and the shifts for which they stay slow.
MAX_SLOW_RANKS = 2
SLOW_SHIFTS = 2
# Relative deviation of the counts of one read, from the mix of requests.
COUNT_SIGMA = 0.1
COUNTS_PER_READ = 20_000


class ShiftingDemand:
    """Draw a group's demand and slowdowns from one shift to the next.

    Parameters
    ----------
    seed : int
        Seed of all draws.
    sets, ranks, experts : int
        Sizes of the group.
    tail : tuple of float, default=USUAL_TAIL
        Range of the exponent of Zipf's law, drawn for each set.

    Attributes
    ----------
    shares : ndarray of float, shape (sets, experts)
        Share of its set's tokens that goes to each expert.
    slowdowns : ndarray of float, shape (ranks,)
        Ratio of each rank's time for its work to the usual time.
    """

    def __init__(
        self,
        seed: int,
        *,
        sets: int,
        ranks: int,
        experts: int,
        tail: tuple[float, float] = USUAL_TAIL,
    ) -> None:
        self._rng = np.random.default_rng(seed)
        self._shift = 0
        exponents = self._rng.uniform(*tail, (sets, 1))
        popularity = np.arange(1, experts + 1) ** -exponents
        popularity = self._rng.permuted(popularity, axis=1)
        self._popularity = popularity / popularity.sum(axis=1, keepdims=True)
        self.slowdowns = np.ones(ranks)
        self._draw()

    def shift(self) -> None:
        """Move the popularity of most experts to others, and change the slow ranks."""
        sets, experts = self._popularity.shape
        for row in self._popularity:
            count = round(self._rng.uniform(*MOVED_FRACTION) * experts)
            moved = self._rng.choice(experts, count, replace=False)
            row[moved] = row[self._rng.permutation(moved)]
        self._shift += 1
        self._draw()

    def counts(self, shares: np.ndarray) -> np.ndarray:
        """Return the counts of one read, with the noise of the mix of requests.

        Parameters
        ----------
        shares : ndarray of float, shape (sets, experts)
            Mean shares of the demand in the time that the read covers.

        Returns
        -------
        ndarray of int, shape (sets, experts)
        """
        mixed = shares * self._rng.lognormal(0.0, COUNT_SIGMA, shares.shape)
        return self._rng.poisson(mixed * COUNTS_PER_READ)

    def _draw(self) -> None:
        experts = self._popularity.shape[1]
        self.shares = (
            1.0 - COMMON_FRACTION
        ) * self._popularity + COMMON_FRACTION / experts
        if self._shift % SLOW_SHIFTS == 0:
            self.slowdowns = np.ones(self.slowdowns.size)
            count = self._rng.integers(MAX_SLOW_RANKS + 1)
            slow = self._rng.choice(self.slowdowns.size, count, replace=False)
            self.slowdowns[slow] = self._rng.uniform(1.5, MAX_SLOWDOWN, count)
