"""Split of an expert's tokens over its copies."""

from typing import Protocol

import numpy as np

from toucanspool.groups.expert_map import EMPTY, MAX_WEIGHT, FloatArray, IntArray

# Maximum number of rounds of an iterative split.
SOLVE_ROUNDS = 60
# Lower bound of the relative time that a share is divided by, which limits its growth
# in one round.
MIN_RELATIVE_TIME = 0.1
# Lower bound of a copy's share, so that it can grow again.
MIN_SHARE = 1e-3
# Excess over the ideal time at which the iteration stops, as a fraction.
PEAK_TOLERANCE = 0.001


class Split(Protocol):
    """Compute the share of each copy in one layer."""

    def shares(
        self,
        experts: IntArray,
        loads: FloatArray,
        speeds: FloatArray,
        start: FloatArray,
        *,
        rounds: int = SOLVE_ROUNDS,
    ) -> FloatArray:
        """Return the share of its expert's tokens that each slot gets.

        Parameters
        ----------
        experts : ndarray of int, shape (ranks, slots)
            The expert in each slot; `EMPTY` for an empty slot.
        loads : ndarray of float, shape (n_experts,)
            Tokens of each expert, in any unit.
        speeds : ndarray of float, shape (ranks,)
            Relative speed of each rank; 1 is normal.
        start : ndarray of float, shape (ranks, slots)
            Shares to start from; 0 for a new copy.
        rounds : int, default=SOLVE_ROUNDS
            Maximum number of rounds of an iterative split.

        Returns
        -------
        ndarray of float, shape (ranks, slots)
        """
        ...


class MinMaxSplit:
    """Minimize the time of the slowest rank for a given set of copies.

    Each round divides a copy's share by its rank's time. At the fixed point all ranks
    that share an expert take equal times, which also minimizes the largest time.

    References
    ----------
    J. Kivinen, M. K. Warmuth, "Exponentiated gradient versus gradient descent
    for linear predictors", Information and Computation 132(1), 1997.
    W. C. Jordan, S. C. Graves, "Principles on the benefits of manufacturing
    process flexibility", Management Science 41(4), 1995.
    """

    __slots__ = ()

    def shares(
        self,
        experts: IntArray,
        loads: FloatArray,
        speeds: FloatArray,
        start: FloatArray,
        *,
        rounds: int = SOLVE_ROUNDS,
    ) -> FloatArray:
        """Return shares by exponentiated gradient; see `Split`."""
        ranks, slots = experts.shape
        flat = experts.ravel()
        used = np.flatnonzero(flat != EMPTY)
        expert = flat[used].astype(np.intp)
        rank = used // slots
        load = loads[expert]
        share = np.maximum(start.ravel()[used], MIN_SHARE)
        share /= np.bincount(expert, share, minlength=loads.size)[expert]
        ideal_time = loads.sum() / speeds.sum()
        scale = 1.0 / (speeds * ideal_time)
        best, best_peak = share, np.inf
        for _ in range(rounds):
            times = np.bincount(rank, load * share, minlength=ranks) * scale
            peak = times.max()
            if peak < best_peak:
                best, best_peak = share, peak
            if peak < 1.0 + PEAK_TOLERANCE:
                break
            share = share / np.maximum(times, MIN_RELATIVE_TIME)[rank]
            share = np.maximum(share, MIN_SHARE)
            share /= np.bincount(expert, share, minlength=loads.size)[expert]
        result = np.zeros(flat.size)
        result[used] = best
        return result.reshape(ranks, slots)


def as_weights(shares: FloatArray) -> IntArray:
    """Convert shares to the integer weights of an `ExpertMap`.

    Parameters
    ----------
    shares : ndarray of float
        Shares from 0 to 1.

    Returns
    -------
    ndarray of int
        Weights from 0 to `MAX_WEIGHT`.
    """
    return np.rint(shares * MAX_WEIGHT).astype(np.uint16)
