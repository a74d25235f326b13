"""Split of tokens by rank speed, a baseline; `MinMaxSplit` did better."""

import numpy as np

from toucanspool.groups.expert_map import EMPTY, FloatArray, IntArray
from toucanspool.groups.split import SOLVE_ROUNDS


class SpeedSplit:
    """Split tokens in proportion to the speeds of the ranks."""

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
        """Return shares proportional to speed; see `Split`."""
        weights = np.where(experts == EMPTY, 0.0, speeds[:, None])
        return normalize_shares(experts, weights, loads.size)


def normalize_shares(
    experts: IntArray, weights: FloatArray, n_experts: int
) -> FloatArray:
    """Scale weights so that the shares of each expert add up to 1.

    Parameters
    ----------
    experts : ndarray of int, shape (ranks, slots)
        The expert in each slot, `EMPTY` where there is none.
    weights : ndarray of float, shape (ranks, slots)
        Positive weight of each copy; 0 in empty slots.
    n_experts : int
        Number of experts.

    Returns
    -------
    ndarray of float, shape (ranks, slots)
    """
    used = experts != EMPTY
    totals = np.bincount(experts[used], weights[used], minlength=n_experts)
    shares = np.zeros(experts.shape)
    shares[used] = weights[used] / totals[experts[used]]
    return shares
