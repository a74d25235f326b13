"""How the tokens of an expert with several copies are split over them."""

from typing import Protocol

import numpy as np

from toucanspool.groups.expert_map import EMPTY, MAX_WEIGHT, FloatArray, IntArray

SOLVE_ROUNDS = 60
SMALLEST_TIME = 0.1
SMALLEST_SHARE = 1e-3
CLOSE_ENOUGH = 0.001


class Split(Protocol):
    """Choose the share of each copy in one layer."""

    def shares(
        self,
        experts: IntArray,
        loads: FloatArray,
        speeds: FloatArray,
        start: FloatArray,
        *,
        rounds: int = SOLVE_ROUNDS,
    ) -> FloatArray:
        """Return the part of its expert's tokens that each slot gets.

        Parameters
        ----------
        experts : ndarray of int, shape (ranks, slots)
            The expert in each slot, `EMPTY` where there is none.
        loads : ndarray of float, shape (n_experts,)
            Tokens of each expert, in any unit.
        speeds : ndarray of float, shape (ranks,)
            Speed of each rank; 1 is normal.
        start : ndarray of float, shape (ranks, slots)
            Shares to start from; 0 in a new copy.
        rounds : int, default=SOLVE_ROUNDS
            The most rounds of an iterative way.

        Returns
        -------
        ndarray of float, shape (ranks, slots)
        """
        ...


class MinMaxSplit:
    """Split so that the slowest rank's time is as low as the copies allow.

    Each round divides a copy's share by its rank's time. The fixed point has equal
    times on all ranks that share an expert, which is also where the largest time is
    smallest.

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
        share = np.maximum(start.ravel()[used], SMALLEST_SHARE)
        share /= np.bincount(expert, share, minlength=loads.size)[expert]
        target = loads.sum() / speeds.sum()
        scale = 1.0 / (speeds * target)
        best, best_peak = share, np.inf
        for _ in range(rounds):
            times = np.bincount(rank, load * share, minlength=ranks) * scale
            peak = times.max()
            if peak < best_peak:
                best, best_peak = share, peak
            if peak < 1.0 + CLOSE_ENOUGH:
                break
            share = share / np.maximum(times, SMALLEST_TIME)[rank]
            share = np.maximum(share, SMALLEST_SHARE)
            share /= np.bincount(expert, share, minlength=loads.size)[expert]
        result = np.zeros(flat.size)
        result[used] = best
        return result.reshape(ranks, slots)


def as_weights(shares: FloatArray) -> IntArray:
    """Return shares as whole weights of an `ExpertMap`.

    Parameters
    ----------
    shares : ndarray of float
        Shares from 0 to 1.

    Returns
    -------
    ndarray of int
        0 to `MAX_WEIGHT`.
    """
    return np.rint(shares * MAX_WEIGHT).astype(np.uint16)
