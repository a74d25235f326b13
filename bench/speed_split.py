"""The split of tokens by rank speed, which lost against the solved one."""

import numpy as np

from toucanspool.groups.expert_map import EMPTY, FloatArray, IntArray
from toucanspool.groups.split import SOLVE_ROUNDS


class SpeedSplit:
    """Split in proportion to the speed of the ranks."""

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
        """Return shares by speed; see `Split`."""
        wanted = np.where(experts == EMPTY, 0.0, speeds[:, None])
        return normal_shares(experts, wanted, loads.size)


def normal_shares(experts: IntArray, wanted: FloatArray, n_experts: int) -> FloatArray:
    """Scale wanted parts so that those of each expert add up to 1.

    Parameters
    ----------
    experts : ndarray of int, shape (ranks, slots)
        The expert in each slot, `EMPTY` where there is none.
    wanted : ndarray of float, shape (ranks, slots)
        A positive part for each copy; 0 in empty slots.
    n_experts : int
        Number of experts.

    Returns
    -------
    ndarray of float, shape (ranks, slots)
    """
    used = experts != EMPTY
    totals = np.bincount(experts[used], wanted[used], minlength=n_experts)
    shares = np.zeros(experts.shape)
    shares[used] = wanted[used] / totals[experts[used]]
    return shares
